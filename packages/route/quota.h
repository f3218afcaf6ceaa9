/* quota.h: how many requests a target gets in a window of time, from all
   instances together; pure. Two things bound a target: it has just started, or
   was left without work, and falls over under much more than it then bears
   (cold); or it is in need, and names a rate in its answers (limit).

   It protects targets from instances that know nothing of each other's choices:
   from all of the traffic when a data centre's targets come back cold together,
   and from a fleet of which each instance sends less than a target's limit, and
   all together more.
   Whoever counts a target's work (tally.h) gives a permit for each request to a
   bounded target. Where it gives no answer, each instance has a fixed small
   part. */
#ifndef ROUTE_QUOTA_H
#define ROUTE_QUOTA_H

#include <math.h>
#include <stdbool.h>
#include <stdint.h>

/* No limit: a target takes as many requests a second as come. */
#define QUOTA_UNLIMITED HUGE_VAL
/* Requests that one window holds at most, whatever the bound. */
#define QUOTA_MAX_SENDS 64

/* What bounds a target. */
typedef struct QuotaBounds {
  double cold_per_s; /* requests in any second; 0: it is warm */
  double limit;      /* requests a second that it takes; QUOTA_UNLIMITED */
  bool over_limit;   /* others would be late: in place of its limit it gets what
                     the users tolerate beyond it */
} QuotaBounds;

/* Our place among the instances, which share the bounds of each target. */
typedef struct QuotaShare {
  int rank, of;      /* our place; of 0: unknown */
  int current_count; /* how many of them there are now */
  double until;      /* the place counts, though there are fewer */
  double since;      /* when it was first known */
  int low_count;     /* the fewest that there were lately, */
  double low_until;  /* until then */
} QuotaShare;

/* When a target was last sent something. */
typedef struct QuotaSends {
  double at[QUOTA_MAX_SENDS]; /* a ring */
  int n;                      /* that were sent in all */
} QuotaSends;

/* We are `rank`-th (0 first) of `of` instances, in an order that all share. */
void quota_set_rank(QuotaShare *s, double now, int rank, int of);
/* Part of the instances that are within reach, 0 to 1: who counts for these
   gives out no more than that part of a bound, since the others may be cut off
   and have a count of their own. */
double quota_reachable_share(const QuotaShare *s, double now);

bool quota_is_bounded(const QuotaBounds *b);
/* Seconds of the longest window of these bounds. */
double quota_longest_window_s(const QuotaBounds *b);
void quota_note_send(QuotaSends *s, double now);
/* How many of the last QUOTA_UNITS were sent within so many seconds. */
int quota_count_recent(const QuotaSends *s, double now, double window_s);
/* Seconds until one more may be sent, where `sent` is all that the target got;
   0: now. `reach`: quota_reach of those who ask. */
double quota_wait_s(const QuotaSends *sent, double now, const QuotaBounds *b,
                    double reach);
/* Whether our fixed part has one more, where nobody counts for us. `own`: what
   we sent; `target`: hash of its id. For a window after our place was first
   known there is none, since an earlier life may have used it. */
bool quota_allows_fixed_share(const QuotaShare *s, const QuotaSends *own,
                              double now, const QuotaBounds *b,
                              uint64_t target);

#endif
