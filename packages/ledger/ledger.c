/* ledger.c: the core's entry points, which take events and queue actions. */
#include "ledger/state.h"

#include <string.h>
#include <xxhash.h>

/* == actions == */

LedgerAction *ledger_add_action(Ledger *l, LedgerActionKind kind) {
  LedgerAction *a = g_new0(LedgerAction, 1);
  a->action = kind;
  g_queue_push_tail(&l->actions, a);
  return a;
}

LedgerMsg ledger_make_msg(LedgerKind kind, const char *budget, uint64_t grant) {
  LedgerMsg m = {.kind = kind, .grant = grant};
  g_strlcpy(m.budget, budget, sizeof m.budget);
  return m;
}

void ledger_send(Ledger *l, const char *to, const LedgerMsg *m) {
  if (!to[0]) return;
  if (strcmp(to, l->self) == 0) {
    g_queue_push_tail(&l->self_messages, g_memdup2(m, sizeof *m));
    return;
  }
  LedgerAction *a = ledger_add_action(l, LEDGER_ACTION_SEND);
  g_strlcpy(a->to, to, sizeof a->to);
  a->msg = *m;
  if (m->kind == LEDGER_RAISE || m->kind == LEDGER_RAISE_ACK)
    a->msg.clock_ms = allowance_unix_ms(l);
}

void ledger_add_answer(Ledger *l, uint64_t handle, ErrKind cause,
                       int retry_ms) {
  LedgerAction *a = ledger_add_action(l, LEDGER_ACTION_ANSWER);
  a->handle = handle;
  a->cause = cause;
  a->retry_ms = retry_ms;
}

bool ledger_next_action(Ledger *l, LedgerAction *a) {
  LedgerAction *next = g_queue_pop_head(&l->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

/* Computes a shard's home on first use in a view: views change more often than
   most shards are used, and finding a home takes a pass over all members. */
static const Member *cached_home(const Ledger *l, int shard) {
  Ledger *writable = (Ledger *)l;
  if (l->first_home_epoch[shard] == l->view_epoch) return l->first_homes[shard];
  writable->first_home_epoch[shard] = l->view_epoch;
  writable->first_homes[shard] =
      view_home(l->view, l->region, l->shard_keys[shard], 0);
  return l->first_homes[shard];
}

bool ledger_is_home(const Ledger *l, int shard) {
  const Member *m = cached_home(l, shard);
  return m && strcmp(m->id, l->self) == 0;
}

const Member *ledger_home(const Ledger *l, int shard, int rank) {
  if (rank == 0) return cached_home(l, shard);
  return view_home(l->view, l->region, l->shard_keys[shard], rank);
}

const char *ledger_report_recipient(const Ledger *l, int shard) {
  const Member *m = ledger_home(l, shard, 0);
  if (!m) m = view_home(l->view, NULL, l->shard_keys[shard], 0);
  return m ? m->id : l->self;
}

bool ledger_may_lack_grants(const Ledger *l) {
  return l->era > 0 && l->now - l->restored_at < RESTORE_LOSSES_S;
}

/* == events == */

static void dispatch(Ledger *l, const char *from, const LedgerMsg *m) {
  switch (m->kind) {
  case LEDGER_DRAW: home_on_draw(l, from, m); break;
  case LEDGER_ALLOT: holder_on_allot(l, from, m); break;
  case LEDGER_REPORT: home_on_report(l, from, m); break;
  case LEDGER_REPORT_ACK: holder_on_report_ack(l, m); break;
  case LEDGER_RAISE: witness_on_raise(l, from, m); break;
  case LEDGER_RAISE_ACK: witness_on_raise_ack(l, from, m); break;
  case LEDGER_SEAL: witness_on_seal(l, from, m); break;
  case LEDGER_SEAL_ACK: witness_on_seal_ack(l, from, m); break;
  case LEDGER_RETURN: holder_on_return(l, m); break;
  case LEDGER_RECALL: home_on_recall(l, from, m); break;
  case LEDGER_RECALL_DONE: home_on_recall_done(l, m); break;
  case LEDGER_DEMAND: priority_on_demand(l, from, m); break;
  case LEDGER_CUTOFF: priority_on_cutoff(l, from, m); break;
  case LEDGER_KIND_COUNT: break;
  }
}

/* Handles messages from this instance to itself, then touched shards, before
   the event ends. */
static void process_queued(Ledger *l) {
  while (l->self_messages.length > 0 || l->touched_shards.length > 0) {
    LedgerMsg *m = g_queue_pop_head(&l->self_messages);
    if (m) {
      dispatch(l, l->self, m);
      g_free(m);
      continue;
    }
    ShardState *s = g_queue_pop_head(&l->touched_shards);
    s->queued = false;
    sync_start_call(l, s);
  }
}

static void clear_rows_by_shard(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    if (l->rows_by_shard[i]) g_ptr_array_free(l->rows_by_shard[i], TRUE);
    l->rows_by_shard[i] = NULL;
  }
}

Ledger *ledger_new(const char *self, const char *region, uint32_t seed) {
  Ledger *l = g_new0(Ledger, 1);
  g_strlcpy(l->self, self, sizeof l->self);
  g_strlcpy(l->region, region, sizeof l->region);
  l->rng = g_rand_new_with_seed(seed);
  l->view = view_new(NULL, 0);
  l->clocks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  l->losses = g_array_new(FALSE, FALSE, sizeof(MemberLoss));
  l->lanes = 1;
  l->view_epoch = 1;
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    char name[LIMIT_NAME_BYTES];
    shard_object_name(i, name);
    l->shard_keys[i] = XXH64(name, strlen(name), 0);
  }
  l->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  l->closed_grants =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  l->holder_budgets =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, holder_budget_free);
  l->reservations =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  l->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  l->home_budgets =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, home_budget_free);
  l->witnessed =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init(&l->actions);
  g_queue_init(&l->self_messages);
  g_queue_init(&l->touched_shards);
  return l;
}

void ledger_free(Ledger *l) {
  LedgerAction a;
  while (ledger_next_action(l, &a)) g_free(a.text);
  g_queue_clear_full(&l->self_messages, g_free);
  g_queue_clear(&l->touched_shards);
  clear_rows_by_shard(l);
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) sync_shard_free(l->shards[i]);
  g_hash_table_destroy(l->reservations);
  g_hash_table_destroy(l->waiting);
  g_hash_table_destroy(l->holder_budgets);
  g_hash_table_destroy(l->rows);
  g_hash_table_destroy(l->closed_grants);
  g_hash_table_destroy(l->home_budgets);
  g_hash_table_destroy(l->witnessed);
  g_hash_table_destroy(l->clocks);
  view_free(l->view);
  g_array_free(l->losses, TRUE);
  g_rand_free(l->rng);
  g_free(l);
}

void ledger_set_lanes(Ledger *l, int n) {
  l->lanes = n;
}

void ledger_set_faults(Ledger *l, LedgerFaults f) {
  l->faults = f;
}

void ledger_set_view(Ledger *l, double now, const View *v) {
  l->now = now;
  ceiling_note_view(l, l->view, v);
  view_free(l->view);
  l->view = view_copy(v);
  allowance_forget_clocks(l);
  if (l->began_at == 0) l->began_at = now;
  bool is_small = v->n <= MEMBER_SMALL_INSTANCES;
  l->account_cover_s =
      is_small ? LEDGER_ACCOUNT_SMALL_FLEET_S : LEDGER_ACCOUNT_S;
  l->witness_ahead_s =
      is_small ? LEDGER_ACCOUNT_SMALL_FLEET_S : LEDGER_AGREED_S;
  l->regions = view_count_regions(v);
  l->region_members = view_count_members(v, l->region);
  l->view_epoch++;
  process_queued(l);
}

void ledger_set_budgets(Ledger *l, double now, const LedgerBudget *list,
                        int n) {
  l->now = now;
  GHashTable *rows =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  clear_rows_by_shard(l);
  for (int i = 0; i < n; i++) {
    LedgerBudget *row = g_memdup2(&list[i], sizeof *row);
    const LedgerBudget *previous = g_hash_table_lookup(l->rows, row->name);
    int shard = shard_index(row->name);
    if (!l->rows_by_shard[shard]) l->rows_by_shard[shard] = g_ptr_array_new();
    g_ptr_array_add(l->rows_by_shard[shard], row);
    /* A row that is new here is written to the shard with the first draw. */
    if (ledger_is_home(l, shard) && previous &&
        previous->version != row->version)
      sync_shard(l, shard)->dirty = true;
    g_hash_table_insert(rows, row->name, row);
  }
  g_hash_table_destroy(l->rows);
  l->rows = rows;
  process_queued(l);
}

void ledger_reserve(Ledger *l, double now, uint64_t handle, const char *budget,
                    int64_t amount, int priority) {
  l->now = now;
  holder_reserve(l, handle, budget, amount,
                 MIN(priority, LEDGER_PRIORITIES - 1));
  process_queued(l);
}

ErrKind ledger_wait_cause(Ledger *l, double now, uint64_t handle,
                          int *retry_ms) {
  l->now = now;
  return holder_wait_cause(l, handle, retry_ms);
}

void ledger_settle(Ledger *l, double now, uint64_t handle, int64_t used) {
  l->now = now;
  holder_settle(l, handle, used);
  process_queued(l);
}

void ledger_receive(Ledger *l, double now, const char *from,
                    const LedgerMsg *m) {
  l->now = now;
  allowance_note_clock(l, from, m->clock_ms);
  dispatch(l, from, m);
  process_queued(l);
}

void ledger_store_result(Ledger *l, double now, int shard, ErrKind kind,
                         uint64_t version, const char *text) {
  l->now = now;
  sync_result(l, sync_shard(l, shard), kind, version, text);
  process_queued(l);
}

void ledger_tick(Ledger *l, double now, int64_t unix_s) {
  l->now = now;
  l->unix_s = unix_s;
  holder_tick(l);
  process_queued(l);
  home_tick(l);
  sync_tick(l);
  process_queued(l);
}

void ledger_state_allowances(Ledger *l) {
  l->states_allowances = true;
}

void ledger_note_clock(Ledger *l, double now, int64_t unix_ms) {
  l->unix_at = now;
  l->unix_ms = unix_ms;
}

void ledger_set_store_down(Ledger *l, double now, bool down) {
  if (l->store_down == down) return;
  l->now = now;
  l->store_down = down;
  l->store_down_since = now;
  if (!down) sync_store_back(l);
  process_queued(l);
}

void ledger_note_store_era(Ledger *l, double now, uint64_t era) {
  l->now = now;
  sync_note_era(l, era);
  process_queued(l);
}

void ledger_drain(Ledger *l, double now) {
  l->now = now;
  l->draining = true;
}

bool ledger_is_drained(const Ledger *l) {
  if (!holder_is_empty(l)) return false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->home_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HomeBudget *h = v;
    if (h->home_grant) return false;
  }
  return true;
}

/* == sums for operators == */

LedgerSums ledger_sums(const Ledger *l) {
  LedgerSums s = {.waiting = (int)g_hash_table_size(l->waiting),
                  .witnessed = (int)g_hash_table_size(l->witnessed)};
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->holder_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HolderBudget *b = v;
    for (guint i = 0; i < b->accounts->len; i++) {
      const Account *a = b->accounts->pdata[i];
      s.accounts++;
      s.reserved += a->reserved;
      s.spent += a->spent;
      s.free += a->granted - a->returned - a->spent - a->reserved;
    }
  }
  g_hash_table_iter_init(&it, l->home_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HomeBudget *h = v;
    if (!h->home_grant) continue;
    s.grants++;
    s.home_free_tokens += home_free_tokens(h->home_grant);
  }
  return s;
}
