/* catchup.h: whether an instance that reads nothing in the platform's store has
   to ask it all the same, by what the readers tell; pure. One for each kind of
   objects. */
#ifndef MEMBER_CATCHUP_H
#define MEMBER_CATCHUP_H

#include <stdbool.h>

/* Seconds for which a reader's word counts that the store does not answer it:
   two such words, and the way. */
#define CATCHUP_UNAVAILABLE_S 1.5

typedef struct Catchup {
  double stale_s;       /* a reader's message counts for so long */
  double contiguous_at; /* the last one that led on from what is known here */
  double read_at;       /* the last one at all */
  double
      unavailable_at; /* a reader last said that the store does not answer it */
  double missing_since; /* something is missing from then on; 0: nothing is */
} Catchup;

void catchup_init(Catchup *c, double now, double stale_s);
/* A reader told what it read; `leads_on`: nothing is missing between what is
   known here and that. */
void catchup_note_read(Catchup *c, double now, bool leads_on);
/* A reader said that the store does not answer it. */
void catchup_note_unavailable(Catchup *c, double now);
/* We stood still, and may have missed anything. */
void catchup_note_gap(Catchup *c, double now);
/* The store answered us: nothing is missing. */
void catchup_note_answer(Catchup *c);

bool catchup_is_lagging(const Catchup *c);
/* All readers that are heard say that the store does not answer. */
bool catchup_store_is_unavailable(const Catchup *c, double now);
/* There is nothing to ask the store at present. */
bool catchup_can_skip_store(const Catchup *c, double now);
/* Until then, unless a message comes. */
double catchup_skip_until(const Catchup *c);

#endif
