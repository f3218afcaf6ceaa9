/* cold.h: how many requests a cold target gets in a second, from all instances
   together; pure. A target that has just started, or was left without work, is
   slow for some seconds and falls over under much more than it then bears.

   The load that this answers: a data centre's targets come back cold together,
   half of the others are gone, and 74 instances that know nothing of each
   other's choices have all of the traffic to place. Each instance takes its
   fixed part of the bound where nobody counts for all; where somebody does,
   most of the bound is given out by the count. */
#ifndef ROUTE_COLD_H
#define ROUTE_COLD_H

#include <stdbool.h>
#include <stdint.h>

/* Part of the bound that is given out by the count of all. It is a few
   milliseconds old: with 800 requests a second for 47 cold targets one or two
   more are chosen meanwhile. */
#define COLD_COUNTED 0.75
/* Part that is dealt out to the instances for when the count is not told; and
   where nobody counts. With COLD_COUNTED below 1: both may be used at once. */
#define COLD_DEALT 0.1
#define COLD_DEALT_ALONE 0.9
/* Instances that are gone may be cut off and use their parts all the same. They
   are reckoned with for this long, in seconds: as long as a target that started
   in the cut stays cold, many times over. */
#define COLD_KEEP_S 60.0

/* How all instances share the bound of each target. */
typedef struct ColdShare {
  double overrun, extra; /* bound = overrun x a target's rate + extra */
  int rank, of;          /* our place among the instances; of 0: unknown */
  int now_of;            /* how many of them there are now */
  double until;          /* the place counts, though there are fewer */
  double since;          /* when it was first known */
} ColdShare;

/* Sends of one instance to one target that are remembered; it sends no more of
   them in a second while the target is cold. */
#define COLD_SENDS 32

/* What we sent to one target. */
typedef struct Cold {
  double sent[COLD_SENDS]; /* when we last sent it something */
  int n;                   /* that were sent in all */
} Cold;

/* We are `rank`-th (0 first) of `of` instances, in an order that all share. For
   a second after the first time we have no part, since an earlier life may have
   used it. */
void cold_place(ColdShare *s, double now, int rank, int of);
/* Requests that a target bears in a second at most; `rate` as it says. */
double cold_bound(const ColdShare *s, double rate);
/* Whether we may send it one more. `counted`: what all sent it in the last
   second, as the one who counts says; below 0: nobody said. `target`: hash of
   its id. */
bool cold_admits(const ColdShare *s, const Cold *c, double now, double rate,
                 uint64_t target, int counted);
/* We sent it a request. */
void cold_sent(Cold *c, double now);

#endif
