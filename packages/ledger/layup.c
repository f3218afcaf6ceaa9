/* layup.c: the outage reserve, the tokens that a home holds so that it can
   serve demand while the store is down. */
#include "ledger/state.h"

#include <math.h>

/* Time constant of the average of a region's demand. */
#define DEMAND_AVERAGE_S 30.0
/* Time constant of a second average; the larger average counts. */
#define SLOW_AVERAGE_S 300.0
/* Max reserve of all regions: unused tokens divided by this. */
#define RESERVE_DIVISOR 2.0
/* Unused part of the total below which a budget is near its end. */
#define NEAR_END_RATIO 0.3
/* Max reserve of all regions together near the end, as a part of the total. The
   reserve is lost when all instances die, and 0.97 of a budget has to be
   usable. With 0.02, many budgets ended with 0.95 to 0.97 used. */
#define NEAR_END_RESERVE_RATIO 0.01
/* Max seconds of demand, at a home that is not the first choice. */
#define MAX_SUBSTITUTE_RESERVE_S 1.0
/* Seconds of demand added to the reserve per second after an outage. It is slow
   because the store has only just come back, and because the reserve is lost if
   all instances are killed. Outages are expected to be at least 9 s apart. */
#define REBUILD_S_PER_S 0.8
#define MIN_AVERAGE_S 2.0 /* averages over less time are not meaningful */
#define RESERVE_RATIO 1.2 /* tokens in reserve per token of measured demand */
#define MAX_UNWITNESSED_RESERVE_S 60.0 /* while there is no witness */

/* == demand == */

static const LedgerBudget *find_row(const Ledger *l, const HomeBudget *h) {
  return g_hash_table_lookup(l->rows, h->name);
}

/* Corrects a decaying average for its start at 0 `age` seconds ago. `tau` is
   its time constant; while `age` is not much longer, the average is too low. */
static double remove_start_bias(double mean, double age, double tau) {
  return mean / (1 - exp(-age / tau));
}

double outage_demand_per_s(const Ledger *l, const HomeBudget *h) {
  double age = MAX(l->now - h->started_at, MIN_AVERAGE_S);
  double mean =
      MAX(remove_start_bias(h->slow_demand_per_s, age, SLOW_AVERAGE_S),
          remove_start_bias(h->demand_per_s, age, DEMAND_AVERAGE_S));
  /* For managed services a burst of seconds counts: a customer that sent 2 to 7
     times its usual load found a reserve for a tenth of an outage. */
  return MAX(mean, priority_demand_per_s(l, h));
}

/* Demand counts tokens that were used, not those that were reserved, so
   returned tokens are subtracted. */
void outage_note_allotted(HomeBudget *h, int64_t tokens) {
  h->demand_per_s = MAX(0, h->demand_per_s + (double)tokens / DEMAND_AVERAGE_S);
  h->slow_demand_per_s =
      MAX(0, h->slow_demand_per_s + (double)tokens / SLOW_AVERAGE_S);
}

/* == size of the reserve == */

/* Returns the reserve that the table sets for this home, in seconds of demand,
   after the limits for a missing witness and for a substitute home. */
static double configured_reserve_s(const Ledger *l, const HomeBudget *h) {
  const LedgerBudget *row = find_row(l, h);
  double s = row ? row->outage_reserve_s : 0;
  if (h->home_grant && !h->home_grant->witness[0] &&
      s > MAX_UNWITNESSED_RESERVE_S)
    s = MAX_UNWITNESSED_RESERVE_S;
  if (!ledger_is_home(l, shard_index(h->name)) && s > MAX_SUBSTITUTE_RESERVE_S)
    s = MAX_SUBSTITUTE_RESERVE_S;
  return s;
}

double outage_reserve_tokens(const Ledger *l, const HomeBudget *h) {
  return outage_demand_per_s(l, h) * RESERVE_RATIO *
         MIN(configured_reserve_s(l, h), h->reserve_cap_s);
}

int64_t outage_reserve_max(const Ledger *l, const HomeBudget *h, int64_t have,
                           int64_t remaining) {
  const LedgerBudget *row = find_row(l, h);
  double total = row ? (double)row->total : 0;
  double unused = (double)(have + remaining);
  double share = unused / RESERVE_DIVISOR;
  if (unused < NEAR_END_RATIO * total)
    share = MIN(share, NEAR_END_RESERVE_RATIO * total);
  return (int64_t)(share / MAX(l->regions, 1));
}

/* == time == */

/* During an outage, lowers the cap to the reserve that is left, so that the
   home does not build it up again at once when the store is back. Afterwards,
   raises the cap slowly. */
static void update_reserve_cap(Ledger *l, HomeBudget *h, double dt) {
  double rate = outage_demand_per_s(l, h) * RESERVE_RATIO;
  if (!l->store_down && sync_shard(l, shard_index(h->name))->down_since == 0) {
    h->reserve_cap_s = MIN(h->reserve_cap_s + dt * REBUILD_S_PER_S,
                           configured_reserve_s(l, h));
    return;
  }
  double reserve_left_s =
      rate > 0 ? (double)home_free_tokens(h->home_grant) / rate : 0;
  h->reserve_cap_s = MIN(h->reserve_cap_s, reserve_left_s);
}

void outage_tick(Ledger *l, HomeBudget *h, double dt) {
  h->demand_per_s *= exp(-dt / DEMAND_AVERAGE_S);
  h->slow_demand_per_s *= exp(-dt / SLOW_AVERAGE_S);
  if (h->home_grant) update_reserve_cap(l, h, dt);
}
