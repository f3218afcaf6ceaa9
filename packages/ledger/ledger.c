/* ledger.c: events in, actions out. */
#include "ledger/state.h"

#include <string.h>
#include <xxhash.h>

/* == actions == */

LedgerAction *ledger_act(Ledger *l, LedgerDo what) {
  LedgerAction *a = g_new0(LedgerAction, 1);
  a->what = what;
  g_queue_push_tail(&l->actions, a);
  return a;
}

LedgerMsg ledger_msg(LedgerKind kind, const char *budget, uint64_t grant) {
  LedgerMsg m = {.kind = kind, .grant = grant};
  g_strlcpy(m.budget, budget, sizeof m.budget);
  return m;
}

void ledger_send(Ledger *l, const char *to, const LedgerMsg *m) {
  if (!to[0]) return;
  if (strcmp(to, l->self) == 0) {
    g_queue_push_tail(&l->loop, g_memdup2(m, sizeof *m));
    return;
  }
  LedgerAction *a = ledger_act(l, LEDGER_DO_SEND);
  g_strlcpy(a->to, to, sizeof a->to);
  a->msg = *m;
}

void ledger_answer(Ledger *l, uint64_t handle, ErrKind cause, int retry_ms) {
  LedgerAction *a = ledger_act(l, LEDGER_DO_ANSWER);
  a->handle = handle;
  a->cause = cause;
  a->retry_ms = retry_ms;
}

bool ledger_next(Ledger *l, LedgerAction *a) {
  LedgerAction *next = g_queue_pop_head(&l->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

/* Worked out when it is first asked for: a view changes more often than most
   shards are used, and each costs a pass over all members. */
static const Member *first_home(const Ledger *l, int shard) {
  Ledger *cache = (Ledger *)l;
  if (l->homed[shard] == l->views) return l->first[shard];
  cache->homed[shard] = l->views;
  cache->first[shard] = view_home(l->view, l->region, l->keys[shard], 0);
  return l->first[shard];
}

bool ledger_ours(const Ledger *l, int shard) {
  const Member *m = first_home(l, shard);
  return m && strcmp(m->id, l->self) == 0;
}

const Member *ledger_home(const Ledger *l, int shard, int rank) {
  if (rank == 0) return first_home(l, shard);
  return view_home(l->view, l->region, l->keys[shard], rank);
}

const char *ledger_caretaker(const Ledger *l, int shard) {
  const Member *m = ledger_home(l, shard, 0);
  if (!m) m = view_home(l->view, NULL, l->keys[shard], 0);
  return m ? m->id : l->self;
}

/* == events == */

static void dispatch(Ledger *l, const char *from, const LedgerMsg *m) {
  switch (m->kind) {
  case LEDGER_DRAW: home_draw(l, from, m); break;
  case LEDGER_ALLOT: holder_allot(l, from, m); break;
  case LEDGER_REPORT: home_report(l, from, m); break;
  case LEDGER_REPORTED: holder_reported(l, m); break;
  case LEDGER_RAISE: witness_raise(l, from, m); break;
  case LEDGER_RAISED: witness_raised(l, from, m); break;
  case LEDGER_SEAL: witness_seal(l, from, m); break;
  case LEDGER_SEALED: witness_sealed(l, from, m); break;
  case LEDGER_RETURN: holder_recall(l, m); break;
  case LEDGER_RECALL: home_recall(l, from, m); break;
  case LEDGER_RECALLED: home_recalled(l, m); break;
  case LEDGER_KINDS: break;
  }
}

/* Messages to ourselves are handled before the event ends, then shards. */
static void finish(Ledger *l) {
  while (l->loop.length > 0 || l->touched.length > 0) {
    LedgerMsg *m = g_queue_pop_head(&l->loop);
    if (m) {
      dispatch(l, l->self, m);
      g_free(m);
      continue;
    }
    ShardState *s = g_queue_pop_head(&l->touched);
    s->queued = false;
    stored_pump(l, s);
  }
}

static void drop_index(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    if (l->by_shard[i]) g_ptr_array_free(l->by_shard[i], TRUE);
    l->by_shard[i] = NULL;
  }
}

Ledger *ledger_new(const char *self, const char *region, uint32_t seed) {
  Ledger *l = g_new0(Ledger, 1);
  g_strlcpy(l->self, self, sizeof l->self);
  g_strlcpy(l->region, region, sizeof l->region);
  l->rng = g_rand_new_with_seed(seed);
  l->view = view_new(NULL, 0);
  l->lanes = 1;
  l->views = 1;
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    char name[LIMIT_NAME_BYTES];
    shard_name(i, name);
    l->keys[i] = XXH64(name, strlen(name), 0);
  }
  l->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  l->closed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  l->purses =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, holder_purse_free);
  l->reservations =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  l->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  l->homes =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, home_budget_free);
  l->witnessed =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init(&l->actions);
  g_queue_init(&l->loop);
  g_queue_init(&l->touched);
  return l;
}

void ledger_free(Ledger *l) {
  LedgerAction a;
  while (ledger_next(l, &a)) g_free(a.text);
  g_queue_clear_full(&l->loop, g_free);
  g_queue_clear(&l->touched);
  drop_index(l);
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) stored_free(l->shards[i]);
  g_hash_table_destroy(l->reservations);
  g_hash_table_destroy(l->waiting);
  g_hash_table_destroy(l->purses);
  g_hash_table_destroy(l->rows);
  g_hash_table_destroy(l->closed);
  g_hash_table_destroy(l->homes);
  g_hash_table_destroy(l->witnessed);
  view_free(l->view);
  g_rand_free(l->rng);
  g_free(l);
}

void ledger_lanes(Ledger *l, int n) {
  l->lanes = n;
}

void ledger_faults(Ledger *l, LedgerFaults f) {
  l->faults = f;
}

void ledger_view(Ledger *l, double now, const View *v) {
  l->now = now;
  view_free(l->view);
  l->view = view_copy(v);
  bool small = v->n <= MEMBER_SMALL_INSTANCES;
  l->account_s = small ? LEDGER_ACCOUNT_SMALL_FLEET_S : LEDGER_ACCOUNT_S;
  l->agreed_s = small ? LEDGER_ACCOUNT_SMALL_FLEET_S : LEDGER_AGREED_S;
  l->regions = view_count_regions(v);
  l->near = view_count_members(v, l->region);
  l->views++;
  finish(l);
}

void ledger_budgets(Ledger *l, double now, const LedgerBudget *list, int n) {
  l->now = now;
  GHashTable *rows =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  drop_index(l);
  for (int i = 0; i < n; i++) {
    LedgerBudget *row = g_memdup2(&list[i], sizeof *row);
    const LedgerBudget *old = g_hash_table_lookup(l->rows, row->name);
    int shard = shard_index(row->name);
    if (!l->by_shard[shard]) l->by_shard[shard] = g_ptr_array_new();
    g_ptr_array_add(l->by_shard[shard], row);
    /* A row that is new to us is put there with the first draw. */
    if (ledger_ours(l, shard) && old && old->version != row->version)
      stored_shard(l, shard)->dirty = true;
    g_hash_table_insert(rows, row->name, row);
  }
  g_hash_table_destroy(l->rows);
  l->rows = rows;
  finish(l);
}

void ledger_reserve(Ledger *l, double now, uint64_t handle, const char *budget,
                    int64_t amount) {
  l->now = now;
  holder_reserve(l, handle, budget, amount);
  finish(l);
}

void ledger_settle(Ledger *l, double now, uint64_t handle, int64_t used) {
  l->now = now;
  holder_settle(l, handle, used);
  finish(l);
}

void ledger_receive(Ledger *l, double now, const char *from,
                    const LedgerMsg *m) {
  l->now = now;
  dispatch(l, from, m);
  finish(l);
}

void ledger_stored(Ledger *l, double now, int shard, ErrKind kind,
                   uint64_t version, const char *text) {
  l->now = now;
  stored_result(l, stored_shard(l, shard), kind, version, text);
  finish(l);
}

void ledger_tick(Ledger *l, double now, int64_t unix_s) {
  l->now = now;
  l->unix_s = unix_s;
  holder_tick(l);
  finish(l);
  home_tick(l);
  stored_tick(l);
  finish(l);
}

void ledger_away(Ledger *l, double now, bool away) {
  if (l->away == away) return;
  l->now = now;
  l->away = away;
  if (!away) stored_back(l);
  finish(l);
}

void ledger_drain(Ledger *l, double now) {
  l->now = now;
  l->draining = true;
}

bool ledger_drained(const Ledger *l) {
  if (!holder_empty(l)) return false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->homes);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HomeBudget *h = v;
    if (h->held) return false;
  }
  return true;
}

/* == what operators see == */

LedgerSums ledger_sums(const Ledger *l) {
  LedgerSums s = {.waiting = (int)g_hash_table_size(l->waiting),
                  .witnessed = (int)g_hash_table_size(l->witnessed)};
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->purses);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Purse *p = v;
    for (guint i = 0; i < p->accounts->len; i++) {
      const Account *a = p->accounts->pdata[i];
      s.accounts++;
      s.reserved += a->reserved;
      s.spent += a->spent;
      s.free += a->granted - a->returned - a->spent - a->reserved;
    }
  }
  g_hash_table_iter_init(&it, l->homes);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HomeBudget *h = v;
    if (!h->held) continue;
    s.grants++;
    s.home_free += home_free(h->held);
  }
  return s;
}
