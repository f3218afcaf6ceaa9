/* quota.h: how many requests a target gets in a time window from all instances
   together; pure. Two things bound a target. It is cold: it has just started
   or had no work, and would be overloaded by much more than it can take then.
   Or it is short of capacity and reports a limit in its answers.

   The bounds protect targets from instances that don't know each other's
   choices: from the full traffic when a data centre's targets come back cold
   together, and from a fleet in which each instance sends less than a target's
   limit but all together send more. The instance that counts a target's work
   (tally.h) gives a permit for each request to a bounded target. While it does
   not answer, each instance has a small fixed share. */
#ifndef ROUTE_QUOTA_H
#define ROUTE_QUOTA_H

#include <math.h>
#include <stdbool.h>
#include <stdint.h>

/* No limit on the requests per second. */
#define QUOTA_UNLIMITED HUGE_VAL
/* Max number of requests in one window, whatever the bound. */
#define QUOTA_MAX_SENDS 64

/* The bounds on a target. */
typedef struct QuotaBounds {
  double cold_per_s; /* requests in any second; 0: the target is warm */
  double limit;      /* requests per second; QUOTA_UNLIMITED */
  bool over_limit;   /* the other targets would be late: it gets the tolerated
                        overrun instead of its limit */
} QuotaBounds;

/* Our rank among the instances, which share the bounds on each target. */
typedef struct QuotaShare {
  int rank,
      rank_count;    /* our rank and the number of instances; of 0: unknown */
  int current_count; /* number of instances now */
  double rank_until; /* the rank stays in force although there are fewer */
  double rank_known_at; /* when the rank was first known */
  int low_count;        /* lowest recent number of instances */
  double low_until;     /* end of the validity of low_count */
} QuotaShare;

/* The times of the last requests sent to a target. */
typedef struct QuotaSends {
  double at[QUOTA_MAX_SENDS]; /* ring buffer */
  int n;                      /* total number sent */
} QuotaSends;

/* We are the `rank`-th (from 0) of `of` instances, in an order that all
   share. */
void quota_set_rank(QuotaShare *s, double now, int rank, int of);
/* Fraction of the instances that are reachable, 0 to 1. The instance that
   counts for these gives out only that fraction of a bound, since the others
   may be cut off and have a count of their own. */
double quota_reachable_share(const QuotaShare *s, double now);

bool quota_is_bounded(const QuotaBounds *b);
/* Length of the longest window of these bounds. */
double quota_longest_window_s(const QuotaBounds *b);
void quota_note_send(QuotaSends *s, double now);
/* How many of the last QUOTA_MAX_SENDS requests were sent within the last
   `window_s`. */
int quota_count_recent(const QuotaSends *s, double now, double window_s);
/* Seconds until one more request may be sent; 0: now. `sent`: all requests
   that the target got. `reach`: quota_reachable_share of the requester. */
double quota_wait_s(const QuotaSends *sent, double now, const QuotaBounds *b,
                    double reach);
/* Whether our fixed share allows one more request while no instance counts for
   us. `own`: what we sent; `target`: its hash. The share is empty for a window
   after our rank is first known, since an earlier run of this instance may
   have used it. */
bool quota_allows_fixed_share(const QuotaShare *s, const QuotaSends *own,
                              double now, const QuotaBounds *b,
                              uint64_t target);

#endif
