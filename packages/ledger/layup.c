/* layup.c: how many tokens a home holds ready for when the store is away. */
#include "ledger/state.h"

#include <math.h>

#define RATE_TAU 30.0  /* seconds over which a region's demand is averaged */
#define SLOW_TAU 300.0 /* the same, for what is laid up */
#define END_SHARE 2.0  /* a region lays up one part in so many of the rest */
#define END_REST 0.3   /* of the total: below this a budget is near its end */
/* Of the total, that a region lays up then. What is laid up is lost with all
   instances, and a budget is used up as far as the users ask when 0.97 of it
   is: with 0.02 many ended between 0.95 and that. */
#define END_LAID_UP 0.01
#define STAND_IN 1.0 /* seconds laid up by a home that is not the first */
/* Seconds of demand laid up again in a second, after an outage used them up:
   the store has just come back, and what is held when all are killed is lost.
   Outages on the users' days are 9 s apart or more. */
#define REBUILD 0.8
#define YOUNG 2.0         /* a mean of less time than this says little */
#define SPARE 1.2         /* laid up for each token of measured demand */
#define SOLE_RESERVE 60.0 /* seconds laid up at most without a witness */

/* == demand == */

static const LedgerBudget *row_of(const Ledger *l, const HomeBudget *h) {
  return g_hash_table_lookup(l->rows, h->name);
}

/* A young average has not yet seen its whole time. */
static double grown(double mean, double age, double tau) {
  return mean / (1 - exp(-age / tau));
}

/* Tokens a second that this region used. */
static double demand(const Ledger *l, const HomeBudget *h) {
  double age = MAX(l->now - h->born, YOUNG);
  return MAX(grown(h->slow, age, SLOW_TAU), grown(h->rate, age, RATE_TAU));
}

/* Demand is what is used, not what was reserved at most: what comes back is
   taken off again. */
void layup_used(HomeBudget *h, int64_t tokens) {
  h->rate = MAX(0, h->rate + (double)tokens / RATE_TAU);
  h->slow = MAX(0, h->slow + (double)tokens / SLOW_TAU);
}

/* == what is laid up == */

/* Seconds of demand that the table asks this home to hold ready. */
static double reserve_s(const Ledger *l, const HomeBudget *h) {
  const LedgerBudget *row = row_of(l, h);
  double s = row ? row->reserve_s : 0;
  if (h->held && !h->held->witness[0] && s > SOLE_RESERVE) s = SOLE_RESERVE;
  if (!ledger_ours(l, shard_index(h->name)) && s > STAND_IN) s = STAND_IN;
  return s;
}

double layup_tokens(const Ledger *l, const HomeBudget *h) {
  return demand(l, h) * SPARE * MIN(reserve_s(l, h), h->ready_s);
}

int64_t layup_share(const Ledger *l, const HomeBudget *h, int64_t have,
                    int64_t remaining) {
  const LedgerBudget *row = row_of(l, h);
  double total = row ? (double)row->total : 0;
  double rest = (double)(have + remaining);
  double share = rest / END_SHARE;
  if (rest < END_REST * total) share = MIN(share, END_LAID_UP * total);
  return (int64_t)(share / MAX(l->regions, 1));
}

/* == time == */

/* Follows what an outage uses up, and lets it grow again after it. */
static void follow_outage(Ledger *l, HomeBudget *h, double dt) {
  double rate = demand(l, h) * SPARE;
  if (!l->away && stored_shard(l, shard_index(h->name))->down_since == 0) {
    h->ready_s = MIN(h->ready_s + dt * REBUILD, reserve_s(l, h));
    return;
  }
  double left = rate > 0 ? (double)home_free(h->held) / rate : 0;
  h->ready_s = MIN(h->ready_s, left);
}

void layup_tick(Ledger *l, HomeBudget *h, double dt) {
  h->rate *= exp(-dt / RATE_TAU);
  h->slow *= exp(-dt / SLOW_TAU);
  if (h->held) follow_outage(l, h, dt);
}
