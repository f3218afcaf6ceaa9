/* handover.h: how an instance that has just started gets the list of targets
   from a neighbour in a large fleet, part by part; pure. The platform's store
   would have to give each of a thousand instances fifty pages, for a price
   each.

   Whoever starts asks the one from whom it hears a reader's word, so that the
   list goes the way that the words go: no instance is asked by more than the
   few that it cares for. A neighbour that has nothing yet says so, and the next
   word is the next try. One that says nothing is lost, or of a build that does
   not know the question. */
#ifndef MEMBER_HANDOVER_H
#define MEMBER_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

/* A part that does not come is asked for again after so many seconds, once;
   then another neighbour is asked, and after two such the store. */
#define HANDOVER_RETRY_S 0.6
#define HANDOVER_MAX_TRIES 2
#define HANDOVER_MAX_UNRESPONSIVE 2
/* Nobody could give it for so long, in seconds, and up to twice as long: each
   by its own chance, so that they do not all ask the store at once. */
#define HANDOVER_FALLBACK_S 8.0
/* One list is given out for so long, in seconds; what changed since is told
   with it. Its parts are made once for all who ask. */
#define HANDOVER_LIST_TTL_S 5.0

/* What is asked for: a part, of the list as of a revision. */
typedef struct HandoverRequest {
  uint64_t part;     /* 0 first */
  uint64_t revision; /* of the list; 0 with part 0: any */
} HandoverRequest;

/* Who takes. */
typedef struct Handover {
  char source[LIMIT_ID_BYTES]; /* who is asked; "": nobody */
  HandoverRequest next;  /* the part that is awaited */
  double requested_at;
  int tries;
  int unresponsive; /* neighbours that did not answer, in a row */
} Handover;

typedef enum {
  HANDOVER_UNEXPECTED, /* it was not asked for: passed over */
  HANDOVER_NEXT_PART,  /* take it in, and ask for the next */
  HANDOVER_FIRST_PART, /* the same; what was taken in before is of another list
                        */
  HANDOVER_LAST_PART   /* take it in: it is the last */
} HandoverResult;

/* A word came by way of this neighbour: whether to ask it (for `h->next`). */
bool handover_try_neighbour(Handover *h, double now, const char *neighbour);
/* Whether to ask `h->from` once more. */
bool handover_retry_if_overdue(Handover *h, double now);
/* A part came. */
HandoverResult handover_receive_part(Handover *h, double now, const char *from,
                                     uint64_t part, uint64_t at, bool more);
/* It answered that it has nothing yet. */
void handover_note_no_list(Handover *h, const char *from);
/* Whether to ask the store. `chance` from 0 to 1, the same at each call. */
bool handover_must_read_store(const Handover *h, double now, double since,
                              double chance);

#endif
