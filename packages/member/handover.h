/* handover.h: how a newly started instance of a large fleet gets the list of
   targets from a neighbour, part by part; pure. Reading it from the platform's
   store would cost fifty priced pages for each of a thousand instances.

   A starting instance requests the list from the neighbour that forwards it
   readers' reports, so that the list follows the tree of the reports: no
   instance serves more requesters than the few that it forwards to. A neighbour
   without a list replies so, and the next report triggers the next attempt. A
   neighbour that does not reply is lost, or runs a build without this request.
 */
#ifndef MEMBER_HANDOVER_H
#define MEMBER_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

/* A part that does not arrive is requested again after this many seconds, once.
   Then the request goes to another neighbour, and after two unresponsive ones
   to the store.
 */
#define HANDOVER_RETRY_S 0.6
#define HANDOVER_MAX_TRIES 2
#define HANDOVER_MAX_UNRESPONSIVE 2
/* Without a list from a neighbour for this many seconds, and up to twice as
   many, the store is read. The time is random for each instance, so that they
   do not all read the store at once. */
#define HANDOVER_FALLBACK_S 8.0
/* A snapshot of the list is handed out for this many seconds, with the changes
   since then. Its parts are made once for all requesters. */
#define HANDOVER_LIST_TTL_S 5.0

/* A request for one part of the list as of one revision. */
typedef struct HandoverRequest {
  uint64_t part;     /* 0 first */
  uint64_t revision; /* of the list; 0 with part 0: any */
} HandoverRequest;

/* State of the instance that receives the list. */
typedef struct Handover {
  char source[LIMIT_ID_BYTES]; /* neighbour that is asked; "": none */
  HandoverRequest next;        /* the part that is awaited */
  double requested_at;
  int tries;
  int unresponsive; /* neighbours in a row that did not reply */
} Handover;

typedef enum {
  HANDOVER_UNEXPECTED, /* not requested: ignore it */
  HANDOVER_NEXT_PART,  /* apply it and request the next part */
  HANDOVER_FIRST_PART, /* the same; parts applied before are of another list */
  HANDOVER_LAST_PART   /* apply it; the list is complete */
} HandoverResult;

/* A reader's report arrived through this neighbour. True: send it a request for
   `h->next`. */
bool handover_try_neighbour(Handover *h, double now, const char *neighbour);
/* True: repeat the request to `h->source`. Gives the source up after the last
   try. */
bool handover_retry_if_overdue(Handover *h, double now);
/* A part arrived. */
HandoverResult handover_receive_part(Handover *h, double now, const char *from,
                                     uint64_t part, uint64_t revision,
                                     bool more);
/* The neighbour replied that it has no list yet. */
void handover_note_no_list(Handover *h, const char *from);
/* True: read the store instead. `chance` from 0 to 1, the same at each call. */
bool handover_must_read_store(const Handover *h, double now, double since,
                              double chance);

#endif
