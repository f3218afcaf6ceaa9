/* catchup.h: whether an instance that does not read the platform's store itself
   has to read it now, judged by the reports of the instances that do (see
   readers.h). Pure: no I/O, the caller passes the time. One Catchup for each
   kind of objects. */
#ifndef MEMBER_CATCHUP_H
#define MEMBER_CATCHUP_H

#include <stdbool.h>

/* A reader's report that the store does not answer it counts for this many
   seconds: two report intervals and the transfer. */
#define CATCHUP_UNAVAILABLE_S 1.5

typedef struct Catchup {
  double stale_s;        /* a reader's report counts for this long */
  double contiguous_at;  /* last report that continues what is known here */
  double read_at;        /* last report of a read, contiguous or not */
  double unavailable_at; /* last report that the store does not answer */
  double missing_since;  /* something is missing since then; 0: nothing is */
} Catchup;

void catchup_init(Catchup *c, double now, double stale_s);
/* A reader reported what it read. `contiguous`: nothing is missing between what
   is known here and the report. */
void catchup_note_read(Catchup *c, double now, bool contiguous);
/* A reader reported that the store does not answer it. */
void catchup_note_unavailable(Catchup *c, double now);
/* This process stalled, so that any update may be missing. */
void catchup_note_gap(Catchup *c, double now);
/* The store answered this instance: nothing is missing. */
void catchup_note_answer(Catchup *c);

bool catchup_is_lagging(const Catchup *c);
/* Every reader that sends reports has reported that the store does not answer.
 */
bool catchup_store_is_unavailable(const Catchup *c, double now);
/* This instance need not read the store at present. */
bool catchup_can_skip_store(const Catchup *c, double now);
/* Time until which catchup_can_skip_store stays true without a new report. */
double catchup_skip_until(const Catchup *c);

#endif
