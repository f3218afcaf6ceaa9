/* layup.c: the outage reserve, which is the number of tokens that a home holds
   to serve demand while the store is down. */
#include "ledger/state.h"

#include <math.h>

#define DEMAND_AVERAGE_S 30.0 /* over which a region's demand is averaged */
#define SLOW_AVERAGE_S 300.0  /* the same, for the outage reserve */
#define RESERVE_DIVISOR 2.0   /* regions share the rest divided by this */
#define NEAR_END_RATIO                                                         \
  0.3 /* of the total: a budget with less left is near its end */
/* Max reserve near the end, as a part of the total for all regions. The reserve
   is lost when all instances die, and 0.97 of a budget has to be usable. With
   0.02, many budgets ended with 0.95 to 0.97 used. */
#define NEAR_END_RESERVE_RATIO 0.01
#define SUBSTITUTE_RESERVE_S                                                   \
  1.0 /* max reserve of a home that is not the first choice */
/* Seconds of demand added to the reserve per second after an outage. It is slow
   because the store has only just come back, and because the reserve is lost if
   all instances are killed. Outages are expected to be at least 9 s apart. */
#define REBUILD_S_PER_S 0.8
#define MIN_AVERAGE_S 2.0 /* an average over less time is not meaningful */
#define RESERVE_RATIO 1.2 /* tokens in reserve per token of measured demand */
#define MAX_UNWITNESSED_RESERVE_S 60.0 /* while the grant has no witness */

/* == demand == */

static const LedgerBudget *find_row(const Ledger *l, const HomeBudget *h) {
  return g_hash_table_lookup(l->rows, h->name);
}

/* Corrects a decaying average that started `age` seconds ago, less than its
   full time, for its start at 0. */
static double correct_for_start(double mean, double age, double tau) {
  return mean / (1 - exp(-age / tau));
}

/* Tokens a second that this region uses. */
static double measured_demand_per_s(const Ledger *l, const HomeBudget *h) {
  double age = MAX(l->now - h->started_at, MIN_AVERAGE_S);
  return MAX(correct_for_start(h->slow_demand_per_s, age, SLOW_AVERAGE_S),
             correct_for_start(h->demand_per_s, age, DEMAND_AVERAGE_S));
}

/* Demand counts tokens that were used, not the max that was reserved, so
   returned tokens are subtracted. */
void outage_note_allotted(HomeBudget *h, int64_t tokens) {
  h->demand_per_s = MAX(0, h->demand_per_s + (double)tokens / DEMAND_AVERAGE_S);
  h->slow_demand_per_s =
      MAX(0, h->slow_demand_per_s + (double)tokens / SLOW_AVERAGE_S);
}

/* == size of the reserve == */

/* Seconds of demand that this home should hold according to the table. */
static double configured_reserve_s(const Ledger *l, const HomeBudget *h) {
  const LedgerBudget *row = find_row(l, h);
  double s = row ? row->outage_reserve_s : 0;
  if (h->home_grant && !h->home_grant->witness[0] &&
      s > MAX_UNWITNESSED_RESERVE_S)
    s = MAX_UNWITNESSED_RESERVE_S;
  if (!ledger_is_home(l, shard_index(h->name)) && s > SUBSTITUTE_RESERVE_S)
    s = SUBSTITUTE_RESERVE_S;
  return s;
}

double outage_reserve_tokens(const Ledger *l, const HomeBudget *h) {
  return measured_demand_per_s(l, h) * RESERVE_RATIO *
         MIN(configured_reserve_s(l, h), h->reserve_cap_s);
}

int64_t outage_reserve_max(const Ledger *l, const HomeBudget *h, int64_t have,
                           int64_t remaining) {
  const LedgerBudget *row = find_row(l, h);
  double total = row ? (double)row->total : 0;
  double rest = (double)(have + remaining);
  double share = rest / RESERVE_DIVISOR;
  if (rest < NEAR_END_RATIO * total)
    share = MIN(share, NEAR_END_RESERVE_RATIO * total);
  return (int64_t)(share / MAX(l->regions, 1));
}

/* == time == */

/* Lowers the cap as an outage consumes the reserve, and raises it again slowly
   afterwards. */
static void update_reserve_cap(Ledger *l, HomeBudget *h, double dt) {
  double rate = measured_demand_per_s(l, h) * RESERVE_RATIO;
  if (!l->store_down && sync_shard(l, shard_index(h->name))->down_since == 0) {
    h->reserve_cap_s = MIN(h->reserve_cap_s + dt * REBUILD_S_PER_S,
                           configured_reserve_s(l, h));
    return;
  }
  double left = rate > 0 ? (double)home_free_tokens(h->home_grant) / rate : 0;
  h->reserve_cap_s = MIN(h->reserve_cap_s, left);
}

void outage_tick(Ledger *l, HomeBudget *h, double dt) {
  h->demand_per_s *= exp(-dt / DEMAND_AVERAGE_S);
  h->slow_demand_per_s *= exp(-dt / SLOW_AVERAGE_S);
  if (h->home_grant) update_reserve_cap(l, h, dt);
}
