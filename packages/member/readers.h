/* readers.h: which instances read the platform's store for the others; pure.
   In a large fleet a few of each region follow it and tell the rest, so that
   its priced calls do not grow with the fleet. Nothing is agreed: each
   instance judges by the view and by whom it heard, and one that hears nobody
   reads for itself. */
#ifndef MEMBER_READERS_H
#define MEMBER_READERS_H

#include "member/view.h"

#define READERS_PER_REGION                                                     \
  3 /* of a region; one that is cut off is not missed */
/* Seconds without a word after which the next choice reads in its place. */
#define READERS_TIMEOUT_S 3.0
/* While the store is away the next choices try it as well, since it may turn
   away some instances and serve others; but not all of them, for each call is
   priced. With a third of the instances turned away, eight all miss it once in
   thousands of times. */
#define READERS_MAX_TRYING 8
/* Seconds between two looks of an instance that reads nothing, while those who
   read say that the store is away, whether a connection to it comes up: that is
   no call and costs nothing there. An instance that reaches the store has to
   follow a new configuration within 2 s. */
#define READERS_PROBE_INTERVAL_S 1.0
/* Calls a second of all these instances together, where the store takes
   connections and serves nobody who reads: no more at any size of the fleet.
   The first eight make some twenty. */
#define READERS_FLEET_CALLS_PER_S 16.0

/* How the store met a call. */
typedef enum {
  READERS_STORE_ANSWERED, /* it answered */
  READERS_STORE_REFUSED, /* a connection came up, and it did not answer there */
  READERS_STORE_UNREACHABLE, /* no connection came up */
  READERS_STORE_RESULTS
} ReadersStoreResult;

typedef enum {
  READERS_DUTY_NONE, /* others tell us */
  READERS_DUTY_OWN,  /* for ourselves: the fleet is small */
  READERS_DUTY_ALL   /* for ourselves and the others */
} ReadersDuty;

typedef struct Readers Readers;

/* `self` and `region` are those of this instance. */
Readers *readers_new(const char *self, const char *region);
void readers_free(Readers *r);
/* Instance `id` told us what it read, or how the store failed it. */
void readers_note_report(Readers *r, double now, const char *id,
                         ReadersStoreResult word);
/* The same of a call of our own. */
void readers_note_own_call(Readers *r, double now, ReadersStoreResult word);
/* The members have changed; `v` is not kept. */
void readers_update_view(Readers *r, const View *v);
/* What this instance has to read at present. One that the store answers while
   it does not answer the first choices reads for all, too. */
ReadersDuty readers_duty(Readers *r, double now);

/* The store is said to be away, and we read nothing. A cut may leave out just
   us: with 84 of 86 instances cut off, the two others learned of a
   configuration 8 s late, since the eight that try the store were all cut. */

/* Whether to see now if a connection to the store comes up. */
bool readers_probe_is_due(Readers *r, double now);
/* It did: whether to ask for news on it. At once where nobody got a connection;
   in turn where others got one and no answer. */
bool readers_request_is_due(Readers *r, double now);

#endif
