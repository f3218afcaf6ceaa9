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
  double age = MAX(l->now - h->started_at, YOUNG);
  return MAX(grown(h->slow_demand_per_s, age, SLOW_TAU),
             grown(h->demand_per_s, age, RATE_TAU));
}

/* Demand is what is used, not what was reserved at most: what comes back is
   taken off again. */
void outage_note_allotted(HomeBudget *h, int64_t tokens) {
  h->demand_per_s = MAX(0, h->demand_per_s + (double)tokens / RATE_TAU);
  h->slow_demand_per_s =
      MAX(0, h->slow_demand_per_s + (double)tokens / SLOW_TAU);
}

/* == what is laid up == */

/* Seconds of demand that the table asks this home to hold ready. */
static double reserve_s(const Ledger *l, const HomeBudget *h) {
  const LedgerBudget *row = row_of(l, h);
  double s = row ? row->outage_reserve_s : 0;
  if (h->home_grant && !h->home_grant->witness[0] && s > SOLE_RESERVE)
    s = SOLE_RESERVE;
  if (!ledger_is_home(l, shard_index(h->name)) && s > STAND_IN) s = STAND_IN;
  return s;
}

double outage_reserve_tokens(const Ledger *l, const HomeBudget *h) {
  return demand(l, h) * SPARE * MIN(reserve_s(l, h), h->reserve_cap_s);
}

int64_t outage_reserve_max(const Ledger *l, const HomeBudget *h, int64_t have,
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
  if (!l->store_down && sync_shard(l, shard_index(h->name))->down_since == 0) {
    h->reserve_cap_s = MIN(h->reserve_cap_s + dt * REBUILD, reserve_s(l, h));
    return;
  }
  double left = rate > 0 ? (double)home_free_tokens(h->home_grant) / rate : 0;
  h->reserve_cap_s = MIN(h->reserve_cap_s, left);
}

void outage_tick(Ledger *l, HomeBudget *h, double dt) {
  h->demand_per_s *= exp(-dt / RATE_TAU);
  h->slow_demand_per_s *= exp(-dt / SLOW_TAU);
  if (h->home_grant) follow_outage(l, h, dt);
}
