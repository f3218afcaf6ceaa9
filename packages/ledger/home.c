/* home.c: grants from the store, accounts to holders, recall, lost homes. */
#include "ledger/state.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define SURPLUS 1.5 /* more than so many times what is to be held goes back */
#define SURPLUS_EVERY 1.0 /* seconds between writes for that alone */
#define STORE_SLOW                                                             \
  0.08                   /* seconds; the store answers in 4 ms, so after this  \
                            another home may be nearer to it */
#define REFILL_BELOW 0.8 /* of what is to be laid up */
#define REFILL_LEAST 0.1 /* smaller refills are not worth a write */
#define RECALL_EVERY 1.0 /* seconds between two recalls of one budget */
#define RECALL_WAIT 0.4  /* seconds that a recall is given */
/* Seconds that a read of the store counts as new, before a draw is refused:
   with a quarter of one, reads of budgets were a fifth of all calls. */
#define FRESH 1.0
#define GIVING 2.0 /* seconds that a recall from elsewhere is obeyed */
/* A home that is not the first choice hands over when nobody asked it for this
   long. */
#define LINGER 5.0
/* One holder gets at most one part in so many of what is free beyond its
   present need. It asks for seconds of its own demand, so shares follow demand:
   some customers have one caller, whose instance does all their work; with
   equal shares for 86 instances it had tokens for 0.1 s at a time, and half of
   that customer's requests were refused while its link was full. */
#define GIVE_SHARE 4
#define REPORT_WRITES 15.0 /* spend reports a second of the whole fleet */
/* A draw is decided this long before its holder gives up. */
#define DRAW_GRACE 0.2

/* == arithmetic == */

int64_t home_free_tokens(const HomeGrant *g) {
  return g->granted - g->returned - (g->allotted - g->returned_by_holders);
}

static int64_t needs(const HomeBudget *h) {
  int64_t n = 0;
  for (guint i = 0; i < h->draws->len; i++)
    n += ((Draw *)h->draws->pdata[i])->need;
  return n;
}

/* How much to draw now, when `remaining` tokens are left in the store. Beyond
   present need a region holds no more than its share of the rest, so that
   grants shrink as the budget does. */
int64_t home_plan_draw(const Ledger *l, const HomeBudget *h,
                       int64_t remaining) {
  if (!h->home_grant || h->home_grant->frozen || remaining <= 0) return 0;
  int64_t have = home_free_tokens(h->home_grant);
  int64_t need = needs(h) - have;
  int64_t ahead = (int64_t)outage_reserve_tokens(l, h) - have;
  int64_t cap = MAX(0, outage_reserve_max(l, h, have, remaining) - have);
  if (need > 0) ahead = MAX(ahead, need + LEDGER_MIN_DRAW);
  int64_t n = MAX(need, MIN(ahead, cap));
  return CLAMP(n, 0, remaining);
}

/* == memory == */

static void held_free(HomeGrant *g) {
  if (!g) return;
  g_hash_table_destroy(g->shares);
  g_free(g);
}

void home_budget_free(gpointer p) {
  HomeBudget *h = p;
  held_free(h->home_grant);
  g_ptr_array_free(h->draws, TRUE);
  g_ptr_array_free(h->orphan_reports, TRUE);
  g_ptr_array_free(h->seals, TRUE);
  g_free(h);
}

HomeBudget *home_budget(Ledger *l, const char *budget) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, budget);
  if (h) return h;
  h = g_new0(HomeBudget, 1);
  g_strlcpy(h->name, budget, sizeof h->name);
  h->draws = g_ptr_array_new_with_free_func(g_free);
  h->orphan_reports = g_ptr_array_new_with_free_func(g_free);
  h->seals = g_ptr_array_new_with_free_func(g_free);
  h->recalled_at = -1;
  h->started_at = h->ticked_at = l->now;
  h->reserve_cap_s = INFINITY;
  g_hash_table_insert(l->home_budgets, h->name, h);
  g_ptr_array_add(sync_shard(l, shard_index(budget))->budgets, h);
  return h;
}

static ShardState *shard_of(Ledger *l, const HomeBudget *h) {
  return sync_shard(l, shard_index(h->name));
}

static void touch(Ledger *l, const HomeBudget *h) {
  sync_touch(l, shard_of(l, h));
}

/* This grant gives out no more: it is handed over, and who still needs tokens
   asks again. */
void home_freeze_grant(Ledger *l, HomeBudget *h) {
  h->home_grant->frozen = true;
  g_ptr_array_set_size(h->draws, 0);
  touch(l, h);
}

/* == giving out == */

static HomeGrant *held_new(Ledger *l) {
  HomeGrant *g = g_new0(HomeGrant, 1);
  do g->id = (uint64_t)g_rand_int(l->rng) << 32 | g_rand_int(l->rng);
  while (g->id == 0);
  g->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  witness_choose(l, g->id, "", g->witness);
  return g;
}

static HolderShare *share_of(HomeGrant *g, const char *holder, bool make) {
  HolderShare *s = g_hash_table_lookup(g->shares, holder);
  if (s || !make) return s;
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

static void give(Ledger *l, HomeBudget *h, const Draw *d, int64_t n) {
  HomeGrant *g = h->home_grant;
  assert(n <= home_free_tokens(g) && n <= witness_headroom(g));
  HolderShare *s = share_of(g, d->holder, true);
  s->granted += n;
  g->allotted += n;
  outage_note_allotted(h, n);
  send_allot(l, h, d->holder, s->granted, ERR_NONE);
}

static void deny(Ledger *l, HomeBudget *h, const Draw *d, ErrKind cause) {
  const HolderShare *s =
      h->home_grant ? share_of(h->home_grant, d->holder, false) : NULL;
  send_allot(l, h, d->holder, s ? s->granted : 0, cause);
}

/* Asks everybody who may hold free tokens of this budget to give them back. */
static void recall(Ledger *l, HomeBudget *h, bool elsewhere) {
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
  const ShardState *s = shard_of(l, h);
  const ShardBudget *b = s->doc ? shard_find_budget(s->doc, h->name) : NULL;
  for (guint i = 0; elsewhere && b && i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    if (g->sealed || strcmp(g->home, l->self) == 0) continue;
    LedgerMsg m = ledger_make_msg(LEDGER_RECALL, h->name, g->id);
    ledger_send(l, g->home, &m);
  }
}

/* Why a draw can't be met, or ERR_NONE while there is still hope. */
static ErrKind hopeless(Ledger *l, HomeBudget *h, const Draw *d) {
  ShardState *s = shard_of(l, h);
  bool late = l->now >= d->deadline;
  bool slow = s->call_pending && l->now - s->call_started_at > STORE_SLOW;
  bool down = l->store_down || s->down_since > 0 || slow;
  ErrKind cause = down                   ? ERR_BUDGET_STORE
                  : h->unspent < d->need ? ERR_BUDGET_EMPTY
                                         : ERR_BUDGET_HELD;
  if (late)
    return s->confirmed_at < d->received_at && !down ? ERR_BUDGET_STORE : cause;
  if (!down && h->remaining > 0 &&
      home_free_tokens(h->home_grant) + h->remaining >= d->need)
    return ERR_NONE; /* the next update of the store brings it */
  if (!down && s->confirmed_at < d->received_at - FRESH) {
    if (!s->call_pending) s->must_reread = true;
    return ERR_NONE;
  }
  if (h->recalled_at < 0 || l->now - h->recalled_at >= RECALL_EVERY) {
    h->recalled_at = l->now;
    recall(l, h, true);
    return ERR_NONE;
  }
  if (l->now - h->recalled_at < RECALL_WAIT) return ERR_NONE;
  if (!down && s->confirmed_at < h->recalled_at + RECALL_WAIT) {
    if (!s->call_pending)
      s->must_reread = true; /* a last look at what came back */
    return ERR_NONE;
  }
  return cause;
}

/* True when the draw is decided. */
static bool pump_draw(Ledger *l, HomeBudget *h, const Draw *d) {
  HomeGrant *g = h->home_grant;
  int64_t have = home_free_tokens(g);
  if (d->need <= have && d->need <= witness_headroom(g)) {
    int64_t fair = have / GIVE_SHARE;
    int64_t n = CLAMP(d->want, d->need, MAX(d->need, fair));
    n = MIN(n, witness_headroom(g));
    if (n > 0)
      give(l, h, d, n);
    else
      deny(l, h, d, ERR_NONE); /* nothing to spare, but we are here */
    witness_request_headroom(l, h, 0);
    return true;
  }
  if (d->need <= have) {
    witness_request_headroom(l, h, d->need);
    return l->now >= d->deadline ? (deny(l, h, d, ERR_BUDGET_CUT), true)
                                 : false;
  }
  ErrKind cause = hopeless(l, h, d);
  if (cause == ERR_NONE) return false;
  deny(l, h, d, cause);
  return true;
}

void home_serve_draws(Ledger *l, HomeBudget *h) {
  if (!h->home_grant || h->home_grant->frozen) return;
  for (guint i = 0; i < h->draws->len;) {
    if (pump_draw(l, h, h->draws->pdata[i]))
      g_ptr_array_remove_index(h->draws, i);
    else
      i++;
  }
  if (needs(h) > home_free_tokens(h->home_grant)) touch(l, h);
}

/* Returns what is free beyond our own open draws to the store. */
static void give_to_store(Ledger *l, HomeBudget *h, int64_t keep) {
  HomeGrant *g = h->home_grant;
  if (!g || g->frozen) return;
  int64_t n = home_free_tokens(g) - needs(h) - keep;
  if (n <= 0) return;
  g->returned += n;
  touch(l, h);
}

/* == messages == */

static void take_counts(HomeGrant *g, HolderShare *s, int64_t returned,
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
  HolderShare *s = share_of(g, holder, false);
  if (s) take_counts(g, s, returned, spent);
}

static void take_report(const Ledger *l, HomeBudget *h, HolderShare *s,
                        const LedgerMsg *m) {
  /* The switch adds up what is cumulative. */
  int64_t twice = l->faults.add_reports ? s->returned : 0;
  int64_t before = h->home_grant->returned_by_holders;
  take_counts(h->home_grant, s, m->returned + twice, m->spent);
  outage_note_allotted(h, before - h->home_grant->returned_by_holders);
}

void home_on_draw(Ledger *l, const char *from, const LedgerMsg *m) {
  if (l->draining || !g_hash_table_contains(l->rows, m->budget)) return;
  HomeBudget *h = home_budget(l, m->budget);
  if (h->home_grant && h->home_grant->frozen) return;
  if (!h->home_grant) h->home_grant = held_new(l);
  HolderShare *s = share_of(h->home_grant, from, false);
  if (s && m->grant == h->home_grant->id) take_report(l, h, s, m);
  int64_t known = m->grant == h->home_grant->id ? m->granted : 0;
  if (s && s->granted > known) { /* our last answer was lost */
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
    d->deadline = l->now + LEDGER_DRAW_WAIT - DRAW_GRACE;
    g_ptr_array_add(h->draws, d);
  }
  d->need = m->need;
  d->want = m->want;
  h->home_grant->drawn_at = l->now;
  home_serve_draws(l, h);
}

static void late_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = home_budget(l, m->budget);
  OrphanReport *late = NULL;
  for (guint i = 0; i < h->orphan_reports->len && !late; i++) {
    OrphanReport *x = h->orphan_reports->pdata[i];
    if (x->grant == m->grant && strcmp(x->holder, from) == 0) late = x;
  }
  if (!late) {
    late = g_new0(OrphanReport, 1);
    late->grant = m->grant;
    late->received_at = l->now;
    g_strlcpy(late->holder, from, sizeof late->holder);
    g_ptr_array_add(h->orphan_reports, late);
  }
  late->returned = MAX(late->returned, m->returned);
  late->spent = MAX(late->spent, m->spent);
  late->final = late->final || m->final;
  late->applied = false;
  touch(l, h);
}

void home_on_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  bool mine = h && h->home_grant && h->home_grant->id == m->grant;
  if (!mine) {
    int shard = shard_index(m->budget);
    bool ours = strcmp(ledger_report_recipient(l, shard), l->self) == 0;
    if (ours || ledger_is_home(l, shard)) late_report(l, from, m);
    return;
  }
  HolderShare *s = share_of(h->home_grant, from, false);
  if (s) take_report(l, h, s, m);
  LedgerMsg r = ledger_make_msg(LEDGER_REPORT_ACK, m->budget, m->grant);
  r.returned = m->returned;
  r.spent = m->spent;
  ledger_send(l, from, &r);
  if (l->now < h->return_until) give_to_store(l, h, 0);
  home_serve_draws(l, h);
}

void home_on_recall(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  if (!h || !h->home_grant || h->home_grant->frozen) return;
  bool again = l->now < h->return_until;
  h->return_until = l->now + GIVING;
  g_strlcpy(h->recaller, from, sizeof h->recaller);
  h->notify_recaller = true;
  if (!again) recall(l, h, false);
  give_to_store(l, h, 0);
}

void home_on_recall_done(Ledger *l, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  if (!h || h->draws->len == 0) return;
  shard_of(l, h)->must_reread = true;
  touch(l, h);
}

/* == homes that are gone == */

static PendingSeal *seal_of(HomeBudget *h, uint64_t grant) {
  for (guint i = 0; i < h->seals->len; i++) {
    PendingSeal *s = h->seals->pdata[i];
    if (s->grant == grant) return s;
  }
  return NULL;
}

static void chase(Ledger *l, const ShardBudget *b, const ShardGrant *g) {
  HomeBudget *h = home_budget(l, b->name);
  PendingSeal *s = seal_of(h, g->id);
  if (!s) {
    s = g_new0(PendingSeal, 1);
    s->grant = g->id;
    s->gone_since = l->now;
    g_ptr_array_add(h->seals, s);
  }
  if (strcmp(s->witness, g->witness) != 0) { /* the home moved it meanwhile */
    g_strlcpy(s->witness, g->witness, sizeof s->witness);
    s->is_answered = false;
    s->sent_at = 0;
  }
  bool wait = l->now - s->gone_since < LEDGER_SEAL_AFTER;
  if (wait || s->is_answered || l->now - s->sent_at < 1.0) return;
  s->sent_at = l->now;
  if (!g->witness[0]) {
    /* It could give out all of it; counted whole until it is written off. */
    s->is_answered = true;
    s->limit = INT64_MAX / 4;
    shard_of(l, h)->dirty = true;
    return;
  }
  LedgerMsg m = ledger_make_msg(LEDGER_SEAL, b->name, g->id);
  if (view_find(l->view, g->witness)) ledger_send(l, g->witness, &m);
}

/* We look after the grants of our own region, and of a region where nobody is
   left. */
static bool our_duty(const Ledger *l, const ShardState *s,
                     const ShardGrant *g) {
  if (strcmp(g->region, l->region) == 0) return ledger_is_home(l, s->index);
  if (view_count(l->view, g->region) > 0) return false;
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
        PendingSeal *seal = h ? seal_of(h, g->id) : NULL;
        if (seal && !seal->is_answered) g_ptr_array_remove(h->seals, seal);
        continue;
      }
      if (our_duty(l, s, g)) chase(l, b, g);
    }
  }
}

/* == time == */

void home_drop_grant(HomeBudget *h) {
  held_free(h->home_grant);
  h->home_grant = NULL;
}

static void tick_held(Ledger *l, HomeBudget *h) {
  HomeGrant *g = h->home_grant;
  int shard = shard_index(h->name);
  /* Another instance is the home now, or we leave: hand over. A drain waits
     for what our own holder has of this grant, the rest reports to the
     successor. Accounts of other homes are not waited for: with a home that
     is lost they may last longer than the platform lets us live. */
  bool other = ledger_home(l, shard, 0) && !ledger_is_home(l, shard) &&
               l->now - g->drawn_at >= LINGER;
  bool leaving = l->draining && holder_has_released(l, h->name, g->id);
  if (!g->frozen && ((other && !l->draining) || leaving))
    home_freeze_grant(l, h);
  if (g->frozen) {
    touch(l, h);
    return;
  }
  witness_tick(l, h);
  home_serve_draws(l, h);
  double lay = outage_reserve_tokens(l, h);
  int64_t have = home_free_tokens(g);
  int64_t share = outage_reserve_max(l, h, have, MAX(h->remaining, 0));
  int64_t keep = MAX(MIN((int64_t)lay, share), LEDGER_MIN_DRAW);
  bool paced = l->now - shard_of(l, h)->written_at > SURPLUS_EVERY;
  if (paced && (double)have > SURPLUS * (double)keep && h->draws->len == 0)
    give_to_store(l, h, keep);
  int64_t plan = home_plan_draw(l, h, h->remaining);
  bool low = have < (int64_t)(lay * REFILL_BELOW);
  if (low && plan > (int64_t)(lay * REFILL_LEAST)) touch(l, h);
}

/* Spend reports may wait; the more shards are in use, the longer, so that the
   platform's rate holds at any size. */
static double write_every(const Ledger *l) {
  int n = 0;
  for (int i = 0; i < LIMIT_SHARDS; i++) n += l->rows_by_shard[i] != NULL;
  double spread = n * l->lanes * MAX(l->regions, 1) / REPORT_WRITES;
  return MAX(LEDGER_WRITE_EVERY, spread);
}

static bool idle(const HomeBudget *h) {
  return !h->home_grant && h->draws->len == 0 && h->orphan_reports->len == 0 &&
         h->seals->len == 0;
}

/* Nothing is under way that a tick could help on. */
static bool quiet(const Ledger *l, const HomeBudget *h) {
  const HomeGrant *g = h->home_grant;
  if (l->draining || h->draws->len > 0 || !g) return false;
  return !g->frozen && !g->is_moving && g->limit_requested <= g->limit;
}

void home_tick(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  l->report_write_s = write_every(l);
  g_hash_table_iter_init(&it, l->home_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    HomeBudget *h = v;
    double dt = l->now - h->ticked_at;
    if (dt < LEDGER_LOOK && quiet(l, h)) continue;
    h->ticked_at = l->now;
    outage_tick(l, h, dt);
    if (h->home_grant) tick_held(l, h);
    ShardState *s = shard_of(l, h);
    bool news = h->home_grant &&
                (h->home_grant->spent > h->home_grant->stored_spent ||
                 h->home_grant->returned > h->home_grant->stored_returned);
    if (news && l->now - s->written_at >= l->report_write_s) s->dirty = true;
    if (!idle(h) || s->call_pending) continue;
    g_ptr_array_remove(s->budgets, h);
    g_hash_table_iter_remove(&it);
  }
}
