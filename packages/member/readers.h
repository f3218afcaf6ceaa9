/* readers.h: which instances read the platform's store for the others; pure.
   In a large fleet a few readers of each region follow it and report to the
   rest, so that the number of priced calls does not grow with the fleet.
   Nothing is agreed: each instance judges by the view and by the reports that
   it received, and one that receives none reads for itself. */
#ifndef MEMBER_READERS_H
#define MEMBER_READERS_H

#include "member/view.h"

/* Readers of a region: the loss of one is covered by the others. */
#define READERS_PER_REGION 3
/* Seconds without a report after which the next choice reads in its place. */
#define READERS_TIMEOUT_S 3.0
/* While the store is unavailable the next choices try it as well, since it may
   reject some instances and serve others; not all of them, for each call is
   priced. With a third of the instances rejected, eight choices are all
   rejected once in thousands of times. */
#define READERS_MAX_TRYING 8
/* Seconds between two connection attempts of an instance that reads nothing,
   while the readers report that the store is unavailable. An attempt is no call
   and is not priced. An instance that reaches the store has to follow a new
   configuration within 2 s. */
#define READERS_PROBE_INTERVAL_S 1.0
/* Calls a second of all these instances together, where the store accepts
   connections and answers no reader; the rate does not grow with the fleet. The
   first eight choices make some twenty calls a second. */
#define READERS_FLEET_CALLS_PER_S 16.0

/* How a call to the store ended. */
typedef enum {
  READERS_STORE_ANSWERED,
  READERS_STORE_REFUSED,     /* a connection, but no answer on it */
  READERS_STORE_UNREACHABLE, /* no connection */
  READERS_STORE_RESULTS
} ReadersStoreResult;

typedef enum {
  READERS_DUTY_NONE, /* other instances report to this one */
  READERS_DUTY_OWN,  /* read for this instance only: the fleet is small */
  READERS_DUTY_ALL   /* read, and report to the others */
} ReadersDuty;

typedef struct Readers Readers;

/* `self` and `region` are those of this instance. */
Readers *readers_new(const char *self, const char *region);
void readers_free(Readers *r);
/* Instance `id` reported how its call to the store ended. */
void readers_note_report(Readers *r, double now, const char *id,
                         ReadersStoreResult result);
/* The same for a call of this instance. */
void readers_note_own_call(Readers *r, double now, ReadersStoreResult result);
/* The members have changed; `v` is not kept. */
void readers_update_view(Readers *r, const View *v);
/* What this instance has to read at present. An instance that the store
   answers, while it does not answer the first choices, reads for all, too. */
ReadersDuty readers_duty(Readers *r, double now);

/* The next two are for an instance that reads nothing, while the readers report
   that the store is unavailable. A partition may leave only this instance in
   reach of the store: with 84 of 86 instances cut off, the two others learned
   of a configuration 8 s late, since the eight that tried the store were all
   cut off. */

/* True when a connection attempt to the store is due; schedules the next. */
bool readers_probe_is_due(Readers *r, double now);
/* The attempt succeeded. True when a request on the connection is due, and
   schedules the next: at once where no reader got a connection, in turn where
   others got one and no answer. */
bool readers_request_is_due(Readers *r, double now);

#endif
