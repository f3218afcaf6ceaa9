/* priority.c: demand by priority, and the priorities that are rejected while a
   home can't refill. Only for budgets that managed services use; the load that
   this is for: a customer that sends hundreds of requests per second to one
   instance, of 800 to 12,000 tokens each, through outages of the store.
   docs/design/reserve.md. */
#include "ledger/state.h"

#include <math.h>
#include <string.h>

/* Time constant of a holder's demand. Bursts last 3 to 10 s. */
#define DEMAND_AVERAGE_S 2.0
/* A home uses a holder's report for this long. Holders that use a budget report
   at least twice a second. */
#define DEMAND_VALID_S 1.0
/* A budget without any report for this long is served as before. */
#define MANAGED_S 10.0
#define CUTOFF_VALID_S 1.0
/* While a cutoff is in force, between two reports to the home, which answers
   with the cutoff. */
#define CUTOFF_RENEW_S 0.25
/* Store outages last 4 to 9 s. */
#define OUTAGE_MIN_S 4.0
#define OUTAGE_MAX_S 9.0
/* Least time that an outage is expected to last, however long it has lasted. */
#define OUTAGE_LEFT_MIN_S 1.0
/* Weight of one settlement in the average of used by reserved tokens. */
#define USED_WEIGHT 0.05

/* == expected end of an outage == */

/* Expected rest of an outage that has lasted `elapsed_s`: half of what is
   possible, and beyond the longest known ones a quarter of its age. */
static double outage_left_s(double elapsed_s) {
  double left = elapsed_s < OUTAGE_MIN_S
                    ? (OUTAGE_MIN_S + OUTAGE_MAX_S) / 2 - elapsed_s
                : elapsed_s < OUTAGE_MAX_S ? (OUTAGE_MAX_S - elapsed_s) / 2
                                           : elapsed_s / 4;
  return MAX(left, OUTAGE_LEFT_MIN_S);
}

int ledger_outage_left_ms(const Ledger *l, double now) {
  if (!l->store_down) return 0;
  double left_ms = 1000 * outage_left_s(now - l->store_down_since);
  return (int)MIN(left_ms, LEDGER_MAX_RETRY_MS);
}

/* == holder == */

static double reserved_per_s(const Ledger *l, const HolderBudget *b,
                             int priority) {
  return b->priority_per_s[priority] *
         exp(-(l->now - b->priority_decayed_at) / DEMAND_AVERAGE_S);
}

double priority_holder_demand_per_s(const Ledger *l, const HolderBudget *b) {
  double sum = 0;
  if (b->managed_at == 0) return 0;
  for (int i = 0; i < LEDGER_PRIORITIES; i++) sum += reserved_per_s(l, b, i);
  return sum;
}

void priority_note_request(const Ledger *l, HolderBudget *b, int priority,
                           int64_t amount) {
  if (priority < 0) return;
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    b->priority_per_s[i] = reserved_per_s(l, b, i);
  b->priority_decayed_at = l->now;
  b->managed_at = l->now;
  b->priority_per_s[priority] += (double)amount / DEMAND_AVERAGE_S;
}

void priority_note_settled(HolderBudget *b, int64_t reserved, int64_t used) {
  if (reserved <= 0) return;
  double ratio = MIN((double)used / (double)reserved, 1.0);
  b->unused_ratio += USED_WEIGHT * (1 - ratio - b->unused_ratio);
}

bool priority_is_managed_here(const Ledger *l, const HolderBudget *b) {
  return b->managed_at > 0 && l->now - b->managed_at < MANAGED_S;
}

/* The cutoff in force at this holder; LEDGER_PRIORITIES: none. */
static int current_cutoff(const Ledger *l, const HolderBudget *b) {
  bool valid = b->cutoff_at > 0 && l->now - b->cutoff_at < CUTOFF_VALID_S;
  return valid && !l->faults.no_cutoff ? b->cutoff : LEDGER_PRIORITIES;
}

bool priority_store_is_away(const Ledger *l, const HolderBudget *b) {
  /* In a small fleet each instance reads the store for itself, and none knows
     of the others. */
  return l->store_down ||
         (b->all_away_at > 0 && l->now - b->all_away_at < CUTOFF_VALID_S);
}

int priority_retry_ms(const Ledger *l, const HolderBudget *b) {
  int left_ms = ledger_outage_left_ms(l, l->now);
  if (left_ms > 0) return left_ms;
  bool is_stated =
      priority_store_is_away(l, b) && current_cutoff(l, b) < LEDGER_PRIORITIES;
  return is_stated ? b->cutoff_retry_ms : 0;
}

bool priority_is_rejected(const Ledger *l, const HolderBudget *b, int priority,
                          int *retry_ms) {
  *retry_ms = b->cutoff_retry_ms;
  /* While others reach the store, another home may refill. */
  return priority_store_is_away(l, b) && priority >= current_cutoff(l, b);
}

void priority_send_demand(Ledger *l, HolderBudget *b, const char *home) {
  if (!priority_is_managed_here(l, b)) return;
  LedgerMsg m = ledger_make_msg(LEDGER_DEMAND, b->name, 0);
  const Waiter *head = b->waiters.head ? b->waiters.head->data : NULL;
  m.priority = head && head->priority >= 0 ? head->priority : LEDGER_PRIORITIES;
  for (GList *i = b->waiters.head; i; i = i->next) {
    const Waiter *w = i->data;
    /* Requests of other services come last. */
    m.waiting[w->priority >= 0 ? w->priority : LEDGER_PRIORITIES - 1] +=
        w->amount;
  }
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    m.tokens_per_s[i] =
        (int64_t)(reserved_per_s(l, b, i) * (1 - b->unused_ratio));
  b->demand_sent_at = l->now;
  ledger_send(l, home, &m);
}

/* A substitute home has less than the first choice, so its cutoff doesn't
   replace that one's. */
static bool accepts_cutoff(const Ledger *l, const HolderBudget *b,
                           const char *from) {
  const Member *home = ledger_home(l, b->shard, 0);
  return (home && strcmp(home->id, from) == 0) ||
         current_cutoff(l, b) == LEDGER_PRIORITIES ||
         strcmp(b->cutoff_home, from) == 0;
}

void priority_on_cutoff(Ledger *l, const char *from, const LedgerMsg *m) {
  HolderBudget *b = g_hash_table_lookup(l->holder_budgets, m->budget);
  if (!b || m->priority < 0 || !accepts_cutoff(l, b, from)) return;
  g_strlcpy(b->cutoff_home, from, sizeof b->cutoff_home);
  bool changed = current_cutoff(l, b) != m->priority;
  b->cutoff = m->priority;
  b->cutoff_retry_ms = m->retry_ms;
  b->cutoff_at = l->now;
  b->needs_tick = true;
  if (changed) ledger_add_action(l, LEDGER_ACTION_NOTE)->msg = *m;
  if (changed) holder_apply_cutoff(l, b);
}

void priority_tick_holder(Ledger *l, HolderBudget *b) {
  if (current_cutoff(l, b) == LEDGER_PRIORITIES) return;
  b->needs_tick = true;
  const Member *home = ledger_home(l, b->shard, 0);
  if (home && l->now - b->demand_sent_at >= CUTOFF_RENEW_S)
    priority_send_demand(l, b, home->id);
}

/* == home == */

/* One holder's latest report. */
typedef struct HolderDemand {
  int priority; /* of its first waiting request */
  int64_t waiting[LEDGER_PRIORITIES];
  int64_t tokens_per_s[LEDGER_PRIORITIES];
  double received_at;
} HolderDemand;

bool priority_is_managed(const Ledger *l, const HomeBudget *h) {
  return h->demands && l->now - h->demand_at < MANAGED_S;
}

static const HolderDemand *find_demand(const Ledger *l, const HomeBudget *h,
                                       const char *holder) {
  if (!h->demands) return NULL;
  const HolderDemand *d = g_hash_table_lookup(h->demands, holder);
  return d && l->now - d->received_at < DEMAND_VALID_S ? d : NULL;
}

/* Demand of the priorities before `priority`, of all holders. */
static double more_urgent_per_s(const Ledger *l, const HomeBudget *h,
                                int priority) {
  GHashTableIter it;
  gpointer v;
  double sum = 0;
  if (!h->demands) return 0;
  g_hash_table_iter_init(&it, h->demands);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HolderDemand *d = v;
    if (l->now - d->received_at >= DEMAND_VALID_S) continue;
    for (int i = 0; i < priority; i++) sum += (double)d->tokens_per_s[i];
  }
  return sum;
}

double priority_demand_per_s(const Ledger *l, const HomeBudget *h) {
  return more_urgent_per_s(l, h, LEDGER_PRIORITIES);
}

/* The store answers, but the tokens that are left may not be drawn yet after a
   restore. */
static bool is_only_held(const Ledger *l, const HomeBudget *h) {
  const ShardState *s = l->shards[shard_index(h->name)];
  return !l->store_down && s && s->down_since == 0 && home_is_held(l, h);
}

/* Tokens that the home keeps for requests that are more urgent than `priority`,
   for the rest of the outage, but no longer than the row's reserve is for. */
static int64_t kept_tokens(const Ledger *l, const HomeBudget *h, int priority) {
  const LedgerBudget *row = g_hash_table_lookup(l->rows, h->name);
  if (h->away_since == 0 || l->faults.no_cutoff) return 0;
  double left_s = h->away_since + OUTAGE_MAX_S - l->now;
  if (is_only_held(l, h))
    left_s = MAX(ceiling_hold_left_s(l), OUTAGE_LEFT_MIN_S);
  left_s = MAX(left_s, OUTAGE_LEFT_MIN_S);
  double kept_s = MIN(left_s, row ? row->outage_reserve_s : 0);
  return (int64_t)(kept_s * more_urgent_per_s(l, h, priority));
}

int64_t priority_usable_tokens(const Ledger *l, const HomeBudget *h,
                               const Draw *d) {
  int64_t have = home_free_tokens(h->home_grant);
  const HolderDemand *demand = find_demand(l, h, d->holder);
  if (!demand) return have;
  return have - kept_tokens(l, h, MIN(demand->priority, LEDGER_PRIORITIES - 1));
}

int64_t priority_pressing_tokens(const Ledger *l, const HomeBudget *h,
                                 const Draw *d) {
  const HolderDemand *demand = find_demand(l, h, d->holder);
  if (!demand || d->need <= 0) return d->need;
  int64_t have = home_free_tokens(h->home_grant), sum = 0;
  for (int i = 0; i < LEDGER_PRIORITIES; i++) {
    int64_t usable = have - sum - kept_tokens(l, h, i);
    bool is_away = h->away_since > 0;
    sum += is_away ? CLAMP(demand->waiting[i], 0, MAX(usable, 0))
                   : demand->waiting[i];
  }
  return MAX(d->need, MIN(d->want, sum));
}

int64_t priority_share_tokens(const Ledger *l, const HomeBudget *h,
                              const Draw *d) {
  const HolderDemand *demand = find_demand(l, h, d->holder);
  double all = priority_demand_per_s(l, h), own = 0;
  if (!demand || h->away_since > 0 || all <= 0) return 0;
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    own += (double)demand->tokens_per_s[i];
  return (int64_t)((double)home_free_tokens(h->home_grant) * own / all);
}

/* The first priority that gets nothing; LEDGER_PRIORITIES: all are served. */
static int find_cutoff(const Ledger *l, const HomeBudget *h) {
  if (h->away_since == 0 || !h->home_grant || h->home_grant->granted == 0)
    return LEDGER_PRIORITIES;
  int64_t have = home_free_tokens(h->home_grant);
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    if (have <= kept_tokens(l, h, i)) return i;
  return LEDGER_PRIORITIES;
}

static void note_store(Ledger *l, HomeBudget *h) {
  bool is_away = home_is_away(l, h);
  if (!is_away) h->away_since = 0;
  if (is_away && h->away_since == 0)
    h->away_since = l->store_down ? l->store_down_since : l->now;
}

static void send_cutoff(Ledger *l, const HomeBudget *h, const char *holder,
                        int cutoff) {
  if (h->away_since == 0 || cutoff == LEDGER_PRIORITIES) return;
  LedgerMsg r = ledger_make_msg(LEDGER_CUTOFF, h->name, 0);
  r.priority = cutoff;
  double left_s = is_only_held(l, h)
                      ? MAX(ceiling_hold_left_s(l), OUTAGE_LEFT_MIN_S)
                      : outage_left_s(l->now - h->away_since);
  r.retry_ms = (int)MIN(1000 * left_s, LEDGER_MAX_RETRY_MS);
  ledger_send(l, holder, &r);
}

void priority_on_demand(Ledger *l, const char *from, const LedgerMsg *m) {
  if (l->draining || l->faults.no_demand) return;
  if (!g_hash_table_contains(l->rows, m->budget)) return;
  HomeBudget *h = home_budget(l, m->budget);
  if (!h->demands)
    h->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  HolderDemand *d = g_hash_table_lookup(h->demands, from);
  if (!d) {
    d = g_new0(HolderDemand, 1);
    g_hash_table_insert(h->demands, g_strdup(from), d);
  }
  d->priority = m->priority;
  memcpy(d->waiting, m->waiting, sizeof d->waiting);
  memcpy(d->tokens_per_s, m->tokens_per_s, sizeof d->tokens_per_s);
  d->received_at = h->demand_at = l->now;
  note_store(l, h);
  /* A holder that hears nothing discards its cutoff after CUTOFF_VALID_S. */
  send_cutoff(l, h, from, find_cutoff(l, h));
}

void priority_note_denied(Ledger *l, HomeBudget *h, const Draw *d) {
  const HolderDemand *demand = find_demand(l, h, d->holder);
  if (demand && h->home_grant->granted > 0)
    send_cutoff(l, h, d->holder, MIN(find_cutoff(l, h), demand->priority));
}

void priority_tick_home(Ledger *l, HomeBudget *h) {
  GHashTableIter it;
  gpointer v;
  if (!h->demands) return;
  note_store(l, h);
  g_hash_table_iter_init(&it, h->demands);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HolderDemand *d = v;
    if (l->now - d->received_at >= MANAGED_S) g_hash_table_iter_remove(&it);
  }
  if (g_hash_table_size(h->demands) == 0)
    g_clear_pointer(&h->demands, g_hash_table_destroy);
}
