/* home.c: takes grants from the store, allots them to holders, recalls free
   tokens and seals the grants of homes that are gone. */
#include "ledger/state.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* A home returns tokens above this many times its target. */
#define SURPLUS_RATIO 1.5
#define SURPLUS_WRITE_INTERVAL_S 1.0 /* between writes for that alone */
/* The store answers in 4 ms. After this time another home may have a faster
   connection to it. */
#define STORE_SLOW_S 0.08
#define REFILL_BELOW_RATIO 0.8 /* of the outage reserve */
/* Of the outage reserve; a smaller refill is not worth a write. */
#define MIN_REFILL_RATIO 0.1
#define RECALL_INTERVAL_S 1.0 /* between two recalls of one budget */
#define RECALL_WAIT_S 0.4     /* time for a recall to take effect */
/* The same when nothing passes through the store: holders are 3 ms away. */
#define RECALL_AWAY_WAIT_S 0.03
/* A draw is refused only after a read of the store that is no older than this
   when the draw arrives. With 0.25 s, reads of budgets were a fifth of all
   store calls. */
#define FRESH_READ_S 1.0
#define RECALL_EFFECT_S 2.0 /* how long another home's recall lasts */
/* A home that is not the first choice hands its grant over when it has received
   no DRAW for this long. */
#define UNUSED_GRANT_S 5.0
/* Beyond its present need, one holder gets at most the free tokens divided by
   this. A holder requests seconds of its own demand, so that shares follow
   demand. Equal shares do not work for customers that send all requests to one
   instance: with equal shares for 86 instances that one had tokens for 0.1 s at
   a time, and half of the customer's requests were refused while the instance's
   link was full. */
#define ALLOT_DIVISOR 4
#define REPORT_WRITES_PER_S 15.0 /* of spend reports, for the whole fleet */
/* A home decides a draw this long before the holder's wait ends. */
#define DRAW_GRACE_S 0.2
#define NEED_DRAWS 16     /* for which a large need counts */
#define DENIED_NOTE_S 1.0 /* between two notes of denials for the log */

/* == arithmetic == */

int64_t home_free_tokens(const HomeGrant *g) {
  return g->granted - g->returned - (g->allotted - g->returned_by_holders);
}

int64_t home_total_need(const Ledger *l, const HomeBudget *h) {
  int64_t n = 0;
  for (guint i = 0; i < h->draws->len; i++)
    n += priority_pressing_tokens(l, h, h->draws->pdata[i]);
  return n;
}

/* Tokens to take from the store now, of the `remaining` ones there. Beyond the
   present need a region holds no more than its share of the rest, so that
   grants shrink with the budget. */
int64_t home_plan_draw(const Ledger *l, const HomeBudget *h,
                       int64_t remaining) {
  if (!h->home_grant || h->home_grant->frozen || remaining <= 0) return 0;
  int64_t have = home_free_tokens(h->home_grant);
  int64_t need = home_total_need(l, h) - have;
  int64_t ahead = (int64_t)outage_reserve_tokens(l, h) - have;
  int64_t cap = MAX(0, outage_reserve_max(l, h, have, remaining) - have);
  if (need > 0) ahead = MAX(ahead, need + LEDGER_MIN_DRAW_TOKENS);
  int64_t n = MAX(need, MIN(ahead, cap));
  return CLAMP(n, 0, remaining);
}

/* == memory == */

static void grant_free(gpointer p) {
  HomeGrant *g = p;
  if (!g) return;
  g_hash_table_destroy(g->shares);
  g_array_free(g->statements, TRUE);
  g_free(g);
}

void home_budget_free(gpointer p) {
  HomeBudget *h = p;
  grant_free(h->home_grant);
  g_ptr_array_free(h->former_grants, TRUE);
  g_ptr_array_free(h->draws, TRUE);
  g_ptr_array_free(h->orphan_reports, TRUE);
  g_ptr_array_free(h->seals, TRUE);
  g_clear_pointer(&h->demands, g_hash_table_destroy);
  g_free(h);
}

HomeBudget *home_budget(Ledger *l, const char *budget) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, budget);
  if (h) return h;
  h = g_new0(HomeBudget, 1);
  g_strlcpy(h->name, budget, sizeof h->name);
  h->former_grants = g_ptr_array_new_with_free_func(grant_free);
  h->draws = g_ptr_array_new_with_free_func(g_free);
  h->orphan_reports = g_ptr_array_new_with_free_func(g_free);
  h->seals = g_ptr_array_new_with_free_func(g_free);
  h->recalled_at = -1;
  h->started_at = h->ticked_at = l->now;
  h->reserve_cap_s = INFINITY;
  g_hash_table_insert(l->home_budgets, h->name, h);
  ShardState *s = sync_shard(l, shard_index(budget));
  g_ptr_array_add(s->budgets, h);
  const ShardBudget *b = s->doc ? shard_find_budget(s->doc, budget) : NULL;
  if (b) sync_note_remaining(l, h, b);
  return h;
}

static ShardState *shard_of(Ledger *l, const HomeBudget *h) {
  return sync_shard(l, shard_index(h->name));
}

/* The budget in the last document that was read; NULL: there is none. */
static const ShardBudget *find_stored(const Ledger *l, const HomeBudget *h) {
  const ShardState *s = l->shards[shard_index(h->name)];
  return s && s->doc ? shard_find_budget(s->doc, h->name) : NULL;
}

static void touch_shard(Ledger *l, const HomeBudget *h) {
  sync_touch(l, shard_of(l, h));
}

/* Stops allotting from this grant, so that it can be handed over. Holders that
   still need tokens send their DRAW again. */
void home_freeze_grant(Ledger *l, HomeBudget *h) {
  h->home_grant->frozen = true;
  g_ptr_array_set_size(h->draws, 0);
  touch_shard(l, h);
}

/* == allotting == */

static HomeGrant *grant_new(Ledger *l) {
  HomeGrant *g = g_new0(HomeGrant, 1);
  do g->id = (uint64_t)g_rand_int(l->rng) << 32 | g_rand_int(l->rng);
  while (g->id == 0);
  g->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  g->statements = g_array_new(FALSE, TRUE, sizeof(Statement));
  witness_choose(l, g->id, "", g->witness);
  return g;
}

static HolderShare *find_share(HomeGrant *g, const char *holder, bool create) {
  HolderShare *s = g_hash_table_lookup(g->shares, holder);
  if (s || !create) return s;
  s = g_new0(HolderShare, 1);
  g_hash_table_insert(g->shares, g_strdup(holder), s);
  return s;
}

static void send_allot(Ledger *l, const HomeBudget *h, const char *holder,
                       int64_t granted, ErrKind cause) {
  LedgerMsg m = ledger_make_msg(LEDGER_ALLOT, h->name,
                                h->home_grant ? h->home_grant->id : 0);
  m.granted = granted;
  m.cause = cause;
  ledger_send(l, holder, &m);
}

static void allot(Ledger *l, HomeBudget *h, const Draw *d, int64_t n) {
  HomeGrant *g = h->home_grant;
  assert(n <= home_free_tokens(g) && n <= witness_headroom(g));
  HolderShare *s = find_share(g, d->holder, true);
  s->granted += n;
  g->allotted += n;
  outage_note_allotted(h, n);
  send_allot(l, h, d->holder, s->granted, ERR_NONE);
}

static LedgerBudgetState budget_state(const Ledger *l, const HomeBudget *h) {
  const ShardBudget *b = find_stored(l, h);
  LedgerBudgetState x = {.remaining = h->remaining, .unspent = h->unspent};
  if (h->home_grant) x.unallotted = home_free_tokens(h->home_grant);
  if (!b) return x;
  x.total = b->total;
  for (guint i = 0; i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    if (g->sealed || strcmp(g->home, l->self) == 0) continue;
    int64_t *sum =
        view_find(l->view, g->home) ? &x.in_other_grants : &x.in_lost_grants;
    *sum += shard_grant_outstanding(g);
  }
  return x;
}

static void note_denied(Ledger *l, HomeBudget *h, ErrKind cause) {
  if (h->denied_at > 0 && l->now - h->denied_at < DENIED_NOTE_S) return;
  h->denied_at = l->now;
  LedgerAction *a = ledger_add_action(l, LEDGER_ACTION_DENIED);
  a->msg = ledger_make_msg(LEDGER_ALLOT, h->name, 0);
  a->cause = cause;
  a->state = budget_state(l, h);
}

static void deny_draw(Ledger *l, HomeBudget *h, const Draw *d, ErrKind cause) {
  if (cause != ERR_NONE) note_denied(l, h, cause);
  const HolderShare *s =
      h->home_grant ? find_share(h->home_grant, d->holder, false) : NULL;
  send_allot(l, h, d->holder, s ? s->granted : 0, cause);
}

/* Requests free tokens of this budget back from this home's holders, and with
   `other_homes` from the other homes too. */
static void recall_free_tokens(Ledger *l, HomeBudget *h, bool other_homes) {
  if (l->faults.no_recall) return;
  GHashTableIter it;
  gpointer k, v;
  if (h->home_grant) {
    LedgerMsg m = ledger_make_msg(LEDGER_RETURN, h->name, h->home_grant->id);
    g_hash_table_iter_init(&it, h->home_grant->shares);
    while (g_hash_table_iter_next(&it, &k, &v)) {
      const HolderShare *s = v;
      if (s->granted - s->returned - s->spent > 0) ledger_send(l, k, &m);
    }
  }
  const ShardBudget *b = find_stored(l, h);
  for (guint i = 0; other_homes && b && i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    if (g->sealed || strcmp(g->home, l->self) == 0) continue;
    LedgerMsg m = ledger_make_msg(LEDGER_RECALL, h->name, g->id);
    ledger_send(l, g->home, &m);
  }
}

bool home_is_held(const Ledger *l, const HomeBudget *h) {
  const ShardBudget *b = find_stored(l, h);
  return b ? sync_is_held(l, b) : h->is_held;
}

bool home_is_away(Ledger *l, const HomeBudget *h) {
  bool is_held = h->is_known && home_is_held(l, h);
  return l->store_down || shard_of(l, h)->down_since > 0 || is_held;
}

/* Whether other holders may still have tokens of the grant. */
static bool can_recall(const HomeBudget *h, const char *asker) {
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, h->home_grant->shares);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const HolderShare *s = v;
    if (strcmp(k, asker) != 0 && s->granted - s->returned - s->spent > 0)
      return true;
  }
  return false;
}

/* The same for a budget of managed services while the home is without the
   store. The draw waits only for what a recall may return, and not at all where
   another home may reach the store, or where the tokens are kept for more
   urgent requests. */
static ErrKind find_refusal_cause_away(Ledger *l, HomeBudget *h,
                                       const Draw *d) {
  bool is_away_for_all = l->store_down || home_is_held(l, h);
  if (!is_away_for_all || d->need <= home_free_tokens(h->home_grant))
    return ERR_BUDGET_STORE;
  if (!can_recall(h, d->holder)) return ERR_BUDGET_STORE;
  if (h->recalled_at < 0 || l->now - h->recalled_at >= RECALL_INTERVAL_S) {
    h->recalled_at = l->now;
    recall_free_tokens(l, h, false);
  }
  bool is_recalled = l->now - h->recalled_at >= RECALL_AWAY_WAIT_S;
  return is_recalled ? ERR_BUDGET_STORE : ERR_NONE;
}

/* The cause for refusing a draw, or ERR_NONE while it may still be served. */
static ErrKind find_refusal_cause(Ledger *l, HomeBudget *h, const Draw *d) {
  ShardState *s = shard_of(l, h);
  bool is_late = l->now >= d->deadline;
  bool is_slow = s->call_pending && l->now - s->call_started_at > STORE_SLOW_S;
  bool is_down =
      l->store_down || s->down_since > 0 || is_slow || home_is_held(l, h);
  ErrKind cause = is_down                ? ERR_BUDGET_STORE
                  : h->unspent < d->need ? ERR_BUDGET_EMPTY
                                         : ERR_BUDGET_HELD;
  if (is_late)
    return s->confirmed_at < d->received_at && !is_down ? ERR_BUDGET_STORE
                                                        : cause;
  if (home_is_away(l, h) && priority_is_managed(l, h))
    return find_refusal_cause_away(l, h, d);
  if (!is_down && h->remaining > 0 &&
      home_free_tokens(h->home_grant) + h->remaining >= d->need)
    return ERR_NONE; /* the next update of the store provides it */
  if (!is_down && s->confirmed_at < d->received_at - FRESH_READ_S) {
    if (!s->call_pending) s->must_reread = true;
    return ERR_NONE;
  }
  if (h->recalled_at < 0 || l->now - h->recalled_at >= RECALL_INTERVAL_S) {
    h->recalled_at = l->now;
    recall_free_tokens(l, h, true);
    return ERR_NONE;
  }
  if (l->now - h->recalled_at < RECALL_WAIT_S) return ERR_NONE;
  if (!is_down && s->confirmed_at < h->recalled_at + RECALL_WAIT_S) {
    if (!s->call_pending)
      s->must_reread = true; /* check once more for returned tokens */
    return ERR_NONE;
  }
  return cause;
}

/* The draw needs more than the home has stated that it gives out: it waits for
   a write, or for the allowance to grow. True when it is decided. */
static bool await_allowance(Ledger *l, HomeBudget *h, const Draw *d) {
  h->home_grant->needs_allowance = true;
  touch_shard(l, h);
  if (l->now < d->deadline) return false;
  deny_draw(l, h, d, ERR_BUDGET_STORE);
  return true;
}

/* True when the draw is decided. */
static bool try_draw(Ledger *l, HomeBudget *h, const Draw *d) {
  HomeGrant *g = h->home_grant;
  int64_t have = home_free_tokens(g);
  int64_t usable = priority_usable_tokens(l, h, d);
  int64_t pressing = priority_pressing_tokens(l, h, d);
  int64_t room = allowance_room(l, g);
  if (d->need <= usable && d->need > room) return await_allowance(l, h, d);
  if (d->need <= usable && d->need <= witness_headroom(g)) {
    int64_t max_share = MAX(have / ALLOT_DIVISOR, MIN(pressing, usable));
    max_share = MAX(max_share, priority_share_tokens(l, h, d));
    int64_t n = CLAMP(d->want, d->need, MAX(d->need, max_share));
    n = MIN(n, MIN(witness_headroom(g), MAX(room, 0)));
    if (n > 0)
      allot(l, h, d, n);
    else
      deny_draw(l, h, d, ERR_NONE); /* shows that this home is reachable */
    witness_request_headroom(l, h, 0);
    return true;
  }
  if (d->need <= usable) {
    witness_request_headroom(l, h, MIN(pressing, usable));
    return l->now >= d->deadline ? (deny_draw(l, h, d, ERR_BUDGET_CUT), true)
                                 : false;
  }
  ErrKind cause = find_refusal_cause(l, h, d);
  if (cause == ERR_NONE) return false;
  if (cause == ERR_BUDGET_STORE) priority_note_denied(l, h, d);
  deny_draw(l, h, d, cause);
  return true;
}

void home_serve_draws(Ledger *l, HomeBudget *h) {
  if (!h->home_grant || h->home_grant->frozen) return;
  for (guint i = 0; i < h->draws->len;) {
    if (try_draw(l, h, h->draws->pdata[i]))
      g_ptr_array_remove_index(h->draws, i);
    else
      i++;
  }
  if (home_total_need(l, h) > home_free_tokens(h->home_grant))
    touch_shard(l, h);
}

/* Returns free tokens to the store, except `keep` and the need of open
   draws. */
static void return_to_store(Ledger *l, HomeBudget *h, int64_t keep) {
  HomeGrant *g = h->home_grant;
  if (!g || g->frozen) return;
  int64_t n = home_free_tokens(g) - home_total_need(l, h) - keep;
  if (n <= 0) return;
  g->returned += n;
  touch_shard(l, h);
}

/* == messages == */

static void apply_counts(HomeGrant *g, HolderShare *s, int64_t returned,
                         int64_t spent) {
  int64_t back = returned - s->returned, more = spent - s->spent;
  if (back > 0) {
    s->returned += back;
    g->returned_by_holders += back;
  }
  if (more > 0) {
    s->spent += more;
    g->spent += more;
  }
}

void home_apply_counts(HomeGrant *g, const char *holder, int64_t returned,
                       int64_t spent) {
  HolderShare *s = find_share(g, holder, false);
  if (s) apply_counts(g, s, returned, spent);
}

static void apply_report(const Ledger *l, HomeBudget *h, HolderShare *s,
                         const LedgerMsg *m) {
  /* Fault injection: counts the cumulative number again. */
  int64_t counted_twice = l->faults.add_reports ? s->returned : 0;
  int64_t before = h->home_grant->returned_by_holders;
  apply_counts(h->home_grant, s, m->returned + counted_twice, m->spent);
  outage_note_allotted(h, before - h->home_grant->returned_by_holders);
}

void home_on_draw(Ledger *l, const char *from, const LedgerMsg *m) {
  if (l->draining || !g_hash_table_contains(l->rows, m->budget)) return;
  HomeBudget *h = home_budget(l, m->budget);
  if (h->home_grant && h->home_grant->frozen) return;
  if (!h->home_grant) h->home_grant = grant_new(l);
  HolderShare *s = find_share(h->home_grant, from, false);
  if (s && m->grant == h->home_grant->id) apply_report(l, h, s, m);
  int64_t known_granted = m->grant == h->home_grant->id ? m->granted : 0;
  if (s && s->granted > known_granted) { /* the last ALLOT was lost */
    send_allot(l, h, from, s->granted, ERR_NONE);
    return;
  }
  Draw *d = NULL;
  for (guint i = 0; i < h->draws->len && !d; i++)
    if (strcmp(((Draw *)h->draws->pdata[i])->holder, from) == 0)
      d = h->draws->pdata[i];
  if (!d) {
    d = g_new0(Draw, 1);
    g_strlcpy(d->holder, from, sizeof d->holder);
    d->received_at = l->now;
    d->deadline = l->now + LEDGER_DRAW_WAIT_S - DRAW_GRACE_S;
    g_ptr_array_add(h->draws, d);
  }
  d->need = m->need;
  h->large_need = MAX(m->need, h->large_need - h->large_need / NEED_DRAWS);
  d->want = m->want;
  h->home_grant->drawn_at = l->now;
  home_serve_draws(l, h);
}

static void add_orphan_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = home_budget(l, m->budget);
  OrphanReport *report = NULL;
  for (guint i = 0; i < h->orphan_reports->len && !report; i++) {
    OrphanReport *x = h->orphan_reports->pdata[i];
    if (x->grant == m->grant && strcmp(x->holder, from) == 0) report = x;
  }
  if (!report) {
    report = g_new0(OrphanReport, 1);
    report->grant = m->grant;
    report->received_at = l->now;
    g_strlcpy(report->holder, from, sizeof report->holder);
    g_ptr_array_add(h->orphan_reports, report);
  }
  report->returned = MAX(report->returned, m->returned);
  report->spent = MAX(report->spent, m->spent);
  report->final = report->final || m->final;
  report->applied = false;
  touch_shard(l, h);
}

void home_on_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  bool is_own_grant = h && h->home_grant && h->home_grant->id == m->grant;
  if (!is_own_grant) {
    int shard = shard_index(m->budget);
    bool is_recipient = strcmp(ledger_report_recipient(l, shard), l->self) == 0;
    if (is_recipient || ledger_is_home(l, shard)) add_orphan_report(l, from, m);
    return;
  }
  HolderShare *s = find_share(h->home_grant, from, false);
  if (s) apply_report(l, h, s, m);
  LedgerMsg r = ledger_make_msg(LEDGER_REPORT_ACK, m->budget, m->grant);
  r.returned = m->returned;
  r.spent = m->spent;
  ledger_send(l, from, &r);
  if (l->now < h->return_until) return_to_store(l, h, 0);
  home_serve_draws(l, h);
}

void home_on_recall(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  if (!h || !h->home_grant || h->home_grant->frozen) return;
  bool already_recalled = l->now < h->return_until;
  h->return_until = l->now + RECALL_EFFECT_S;
  g_strlcpy(h->recaller, from, sizeof h->recaller);
  h->notify_recaller = true;
  if (!already_recalled) recall_free_tokens(l, h, false);
  return_to_store(l, h, 0);
}

void home_on_recall_done(Ledger *l, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  if (!h || h->draws->len == 0) return;
  shard_of(l, h)->must_reread = true;
  touch_shard(l, h);
}

/* == homes that are gone == */

static PendingSeal *find_seal(HomeBudget *h, uint64_t grant) {
  for (guint i = 0; i < h->seals->len; i++) {
    PendingSeal *s = h->seals->pdata[i];
    if (s->grant == grant) return s;
  }
  return NULL;
}

/* A witness knows more exactly what was given out than the grant's allowance
   tells, and it may not be in the view yet. */
static bool may_answer(const Ledger *l, const ShardGrant *g,
                       const PendingSeal *s) {
  if (view_find(l->view, g->witness)) return true;
  if (!g->witness[0] || allowance_has_other_life(l, g->witness)) return false;
  return l->now - s->gone_since < LEDGER_SEAL_AFTER_S;
}

static void seal_orphan(Ledger *l, const ShardBudget *b, const ShardGrant *g) {
  HomeBudget *h = home_budget(l, b->name);
  PendingSeal *s = find_seal(h, g->id);
  if (!s) {
    s = g_new0(PendingSeal, 1);
    s->grant = g->id;
    s->gone_since = l->now;
    g_strlcpy(s->home, g->home, sizeof s->home);
    g_ptr_array_add(h->seals, s);
  }
  if (strcmp(s->witness, g->witness) != 0) { /* the home has changed it */
    g_strlcpy(s->witness, g->witness, sizeof s->witness);
    s->is_answered = false;
    s->sent_at = 0;
  }
  if (s->is_answered) return;
  allowance_ask_end(l, b->name, s);
  ShardState *shard = shard_of(l, h);
  if (!may_answer(l, g, s) && allowance_seal(l, shard, b->name, g, s)) {
    sync_touch(l, shard);
    return;
  }
  /* After a restore the document may name an earlier witness, until the later
     one has written the grant. */
  bool is_known = s->has_ended && !ledger_may_lack_grants(l);
  bool too_early = !is_known && l->now - s->gone_since < LEDGER_SEAL_AFTER_S;
  if (too_early || l->now - s->sent_at < 1.0) return;
  s->sent_at = l->now;
  if (!g->witness[0]) {
    /* Without a witness the home could allot all of the grant, so all of it
       counts as outstanding until it is written off. */
    s->is_answered = true;
    s->limit = INT64_MAX / 4;
    shard_of(l, h)->dirty = true;
    return;
  }
  LedgerMsg m = ledger_make_msg(LEDGER_SEAL, b->name, g->id);
  if (view_find(l->view, g->witness)) ledger_send(l, g->witness, &m);
}

/* True for grants of this region when this instance is their home, and for
   grants of a region without members when it is the first choice of the
   fleet. */
static bool must_watch(const Ledger *l, const ShardState *s,
                       const ShardGrant *g) {
  if (strcmp(g->region, l->region) == 0) return ledger_is_home(l, s->index);
  if (view_count_members(l->view, g->region) > 0) return false;
  const Member *m = view_home(l->view, NULL, l->shard_keys[s->index], 0);
  return m && strcmp(m->id, l->self) == 0;
}

void home_check_grants(Ledger *l, ShardState *s) {
  GHashTableIter it;
  gpointer v;
  if (!s->doc || l->draining) return;
  g_hash_table_iter_init(&it, s->doc->budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ShardBudget *b = v;
    for (guint i = 0; i < b->grants->len; i++) {
      const ShardGrant *g = b->grants->pdata[i];
      if (g->sealed || strcmp(g->home, l->self) == 0) continue;
      if (view_find(l->view, g->home)) {
        HomeBudget *h = g_hash_table_lookup(l->home_budgets, b->name);
        PendingSeal *seal = h ? find_seal(h, g->id) : NULL;
        if (seal && !seal->is_answered) g_ptr_array_remove(h->seals, seal);
        continue;
      }
      if (must_watch(l, s, g)) seal_orphan(l, b, g);
    }
  }
}

/* == time == */

void home_drop_grant(const Ledger *l, HomeBudget *h) {
  HomeGrant *g = h->home_grant;
  h->home_grant = NULL;
  if (!g->stored || l->era == 0) {
    grant_free(g);
    return;
  }
  g->ended_at = l->now;
  g->frozen = true;
  g_ptr_array_add(h->former_grants, g);
}

/* Forgets former grants whose end every backup contains. */
static void tick_former_grants(const Ledger *l, HomeBudget *h) {
  for (guint i = h->former_grants->len; i-- > 0;) {
    const HomeGrant *g = h->former_grants->pdata[i];
    if (l->now - g->ended_at >= BACKUP_MAX_AGE_S)
      g_ptr_array_remove_index_fast(h->former_grants, i);
  }
}

static void tick_grant(Ledger *l, HomeBudget *h) {
  HomeGrant *g = h->home_grant;
  int shard = shard_index(h->name);
  /* Hands over when another instance is the home now, or when this one drains.
     A drain waits until the instance's own holder has released the grant;
     other holders report to the successor. It doesn't wait for accounts of
     other homes: those of a dead home may take longer than the platform's limit
     for a stop. */
  bool other_is_home = ledger_home(l, shard, 0) && !ledger_is_home(l, shard) &&
                       l->now - g->drawn_at >= UNUSED_GRANT_S;
  bool may_leave = l->draining && holder_has_released(l, h->name, g->id);
  if (!g->frozen && ((other_is_home && !l->draining) || may_leave))
    home_freeze_grant(l, h);
  if (g->frozen) {
    touch_shard(l, h);
    return;
  }
  witness_tick(l, h);
  home_serve_draws(l, h);
  double reserve = outage_reserve_tokens(l, h);
  int64_t have = home_free_tokens(g);
  int64_t share = outage_reserve_max(l, h, have, MAX(h->remaining, 0));
  int64_t keep = MAX(MIN((int64_t)reserve, share), LEDGER_MIN_DRAW_TOKENS);
  bool may_write =
      l->now - shard_of(l, h)->written_at > SURPLUS_WRITE_INTERVAL_S;
  if (may_write && (double)have > SURPLUS_RATIO * (double)keep &&
      h->draws->len == 0)
    return_to_store(l, h, keep);
  int64_t plan = home_plan_draw(l, h, h->remaining);
  bool is_low = have < (int64_t)(reserve * REFILL_BELOW_RATIO);
  bool is_refill = is_low && plan > (int64_t)(reserve * MIN_REFILL_RATIO);
  if (is_refill || allowance_is_due(l, h)) touch_shard(l, h);
}

/* The interval between writes of spend reports. It grows with the number of
   shards in use, so that the fleet keeps the platform's rate at any size. */
static double report_write_interval_s(const Ledger *l) {
  int n = 0;
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++)
    n += l->rows_by_shard[i] != NULL;
  double spread = n * l->lanes * MAX(l->regions, 1) / REPORT_WRITES_PER_S;
  return MAX(LEDGER_WRITE_INTERVAL_S, spread);
}

static bool is_unused(const HomeBudget *h) {
  return !h->home_grant && h->former_grants->len == 0 && h->draws->len == 0 &&
         h->orphan_reports->len == 0 && h->seals->len == 0;
}

/* No operation is in progress that a tick could advance. */
static bool is_at_rest(const Ledger *l, const HomeBudget *h) {
  const HomeGrant *g = h->home_grant;
  if (l->draining || h->draws->len > 0 || !g) return false;
  return !g->frozen && !g->replacing_witness && g->limit_requested <= g->limit;
}

void home_tick(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  l->report_write_s = report_write_interval_s(l);
  g_hash_table_iter_init(&it, l->home_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    HomeBudget *h = v;
    double dt = l->now - h->ticked_at;
    if (dt < LEDGER_IDLE_CHECK_S && is_at_rest(l, h)) continue;
    h->ticked_at = l->now;
    outage_tick(l, h, dt);
    priority_tick_home(l, h);
    tick_former_grants(l, h);
    if (h->home_grant) tick_grant(l, h);
    ShardState *s = shard_of(l, h);
    bool has_unstored =
        h->home_grant &&
        (h->home_grant->spent > h->home_grant->stored_spent ||
         h->home_grant->returned > h->home_grant->stored_returned);
    if (has_unstored && l->now - s->written_at >= l->report_write_s)
      s->dirty = true;
    if (!is_unused(h) || s->call_pending) continue;
    g_ptr_array_remove(s->budgets, h);
    g_hash_table_iter_remove(&it);
  }
}
