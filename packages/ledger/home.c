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

int64_t home_free(const Held *g) {
  return g->granted - g->returned - (g->given - g->back);
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
int64_t home_plan(const Ledger *l, const HomeBudget *h, int64_t remaining) {
  if (!h->held || h->held->frozen || remaining <= 0) return 0;
  int64_t have = home_free(h->held);
  int64_t need = needs(h) - have;
  int64_t ahead = (int64_t)layup_tokens(l, h) - have;
  int64_t cap = MAX(0, layup_share(l, h, have, remaining) - have);
  if (need > 0) ahead = MAX(ahead, need + LEDGER_MIN_DRAW_TOKENS);
  int64_t n = MAX(need, MIN(ahead, cap));
  return CLAMP(n, 0, remaining);
}

/* == memory == */

static void held_free(Held *g) {
  if (!g) return;
  g_hash_table_destroy(g->shares);
  g_free(g);
}

void home_budget_free(gpointer p) {
  HomeBudget *h = p;
  held_free(h->held);
  g_ptr_array_free(h->draws, TRUE);
  g_ptr_array_free(h->late, TRUE);
  g_ptr_array_free(h->seals, TRUE);
  g_free(h);
}

HomeBudget *home_budget(Ledger *l, const char *budget) {
  HomeBudget *h = g_hash_table_lookup(l->homes, budget);
  if (h) return h;
  h = g_new0(HomeBudget, 1);
  g_strlcpy(h->name, budget, sizeof h->name);
  h->draws = g_ptr_array_new_with_free_func(g_free);
  h->late = g_ptr_array_new_with_free_func(g_free);
  h->seals = g_ptr_array_new_with_free_func(g_free);
  h->recalled = -1;
  h->born = h->looked = l->now;
  h->ready_s = INFINITY;
  g_hash_table_insert(l->homes, h->name, h);
  g_ptr_array_add(stored_shard(l, shard_index(budget))->budgets, h);
  return h;
}

static ShardState *shard_of(Ledger *l, const HomeBudget *h) {
  return stored_shard(l, shard_index(h->name));
}

static void touch(Ledger *l, const HomeBudget *h) {
  stored_touch(l, shard_of(l, h));
}

/* This grant gives out no more: it is handed over, and who still needs tokens
   asks again. */
void home_freeze(Ledger *l, HomeBudget *h) {
  h->held->frozen = true;
  g_ptr_array_set_size(h->draws, 0);
  touch(l, h);
}

/* == giving out == */

static Held *held_new(Ledger *l) {
  Held *g = g_new0(Held, 1);
  do g->id = (uint64_t)g_rand_int(l->rng) << 32 | g_rand_int(l->rng);
  while (g->id == 0);
  g->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  witness_pick(l, g->id, "", g->witness);
  return g;
}

static Share *share_of(Held *g, const char *holder, bool make) {
  Share *s = g_hash_table_lookup(g->shares, holder);
  if (s || !make) return s;
  s = g_new0(Share, 1);
  g_hash_table_insert(g->shares, g_strdup(holder), s);
  return s;
}

static void send_allot(Ledger *l, const HomeBudget *h, const char *holder,
                       int64_t granted, ErrKind cause) {
  LedgerMsg m = ledger_msg(LEDGER_ALLOT, h->name, h->held ? h->held->id : 0);
  m.granted = granted;
  m.cause = cause;
  ledger_send(l, holder, &m);
}

static void give(Ledger *l, HomeBudget *h, const Draw *d, int64_t n) {
  Held *g = h->held;
  assert(n <= home_free(g) && n <= witness_room(g));
  Share *s = share_of(g, d->holder, true);
  s->granted += n;
  g->given += n;
  layup_used(h, n);
  send_allot(l, h, d->holder, s->granted, ERR_NONE);
}

static void deny(Ledger *l, HomeBudget *h, const Draw *d, ErrKind cause) {
  const Share *s = h->held ? share_of(h->held, d->holder, false) : NULL;
  send_allot(l, h, d->holder, s ? s->granted : 0, cause);
}

/* Asks everybody who may hold free tokens of this budget to give them back. */
static void recall(Ledger *l, HomeBudget *h, bool elsewhere) {
  if (l->faults.no_recall) return;
  GHashTableIter it;
  gpointer k, v;
  if (h->held) {
    LedgerMsg m = ledger_msg(LEDGER_RETURN, h->name, h->held->id);
    g_hash_table_iter_init(&it, h->held->shares);
    while (g_hash_table_iter_next(&it, &k, &v)) {
      const Share *s = v;
      if (s->granted - s->returned - s->spent > 0) ledger_send(l, k, &m);
    }
  }
  const ShardState *s = shard_of(l, h);
  const ShardBudget *b = s->doc ? shard_budget(s->doc, h->name) : NULL;
  for (guint i = 0; elsewhere && b && i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    if (g->sealed || strcmp(g->home, l->self) == 0) continue;
    LedgerMsg m = ledger_msg(LEDGER_RECALL, h->name, g->id);
    ledger_send(l, g->home, &m);
  }
}

/* Why a draw can't be met, or ERR_NONE while there is still hope. */
static ErrKind hopeless(Ledger *l, HomeBudget *h, const Draw *d) {
  ShardState *s = shard_of(l, h);
  bool late = l->now >= d->deadline;
  bool slow = s->busy && l->now - s->started > STORE_SLOW;
  bool down = l->away || s->down_since > 0 || slow;
  ErrKind cause = down                   ? ERR_BUDGET_STORE
                  : h->unspent < d->need ? ERR_BUDGET_EMPTY
                                         : ERR_BUDGET_HELD;
  if (late) return s->fresh < d->since && !down ? ERR_BUDGET_STORE : cause;
  if (!down && h->remaining > 0 && home_free(h->held) + h->remaining >= d->need)
    return ERR_NONE; /* the next update of the store brings it */
  if (!down && s->fresh < d->since - FRESH) {
    if (!s->busy) s->reread = true;
    return ERR_NONE;
  }
  if (h->recalled < 0 || l->now - h->recalled >= RECALL_EVERY) {
    h->recalled = l->now;
    recall(l, h, true);
    return ERR_NONE;
  }
  if (l->now - h->recalled < RECALL_WAIT) return ERR_NONE;
  if (!down && s->fresh < h->recalled + RECALL_WAIT) {
    if (!s->busy) s->reread = true; /* a last look at what came back */
    return ERR_NONE;
  }
  return cause;
}

/* True when the draw is decided. */
static bool pump_draw(Ledger *l, HomeBudget *h, const Draw *d) {
  Held *g = h->held;
  int64_t have = home_free(g);
  if (d->need <= have && d->need <= witness_room(g)) {
    int64_t fair = have / GIVE_SHARE;
    int64_t n = CLAMP(d->want, d->need, MAX(d->need, fair));
    n = MIN(n, witness_room(g));
    if (n > 0)
      give(l, h, d, n);
    else
      deny(l, h, d, ERR_NONE); /* nothing to spare, but we are here */
    witness_want(l, h, 0);
    return true;
  }
  if (d->need <= have) {
    witness_want(l, h, d->need);
    return l->now >= d->deadline ? (deny(l, h, d, ERR_BUDGET_CUT), true)
                                 : false;
  }
  ErrKind cause = hopeless(l, h, d);
  if (cause == ERR_NONE) return false;
  deny(l, h, d, cause);
  return true;
}

void home_pump(Ledger *l, HomeBudget *h) {
  if (!h->held || h->held->frozen) return;
  for (guint i = 0; i < h->draws->len;) {
    if (pump_draw(l, h, h->draws->pdata[i]))
      g_ptr_array_remove_index(h->draws, i);
    else
      i++;
  }
  if (needs(h) > home_free(h->held)) touch(l, h);
}

/* Returns what is free beyond our own open draws to the store. */
static void give_to_store(Ledger *l, HomeBudget *h, int64_t keep) {
  Held *g = h->held;
  if (!g || g->frozen) return;
  int64_t n = home_free(g) - needs(h) - keep;
  if (n <= 0) return;
  g->returned += n;
  touch(l, h);
}

/* == messages == */

static void take_counts(Held *g, Share *s, int64_t returned, int64_t spent) {
  int64_t back = returned - s->returned, more = spent - s->spent;
  if (back > 0) {
    s->returned += back;
    g->back += back;
  }
  if (more > 0) {
    s->spent += more;
    g->spent += more;
  }
}

void home_take(Held *g, const char *holder, int64_t returned, int64_t spent) {
  Share *s = share_of(g, holder, false);
  if (s) take_counts(g, s, returned, spent);
}

static void take_report(const Ledger *l, HomeBudget *h, Share *s,
                        const LedgerMsg *m) {
  /* The switch adds up what is cumulative. */
  int64_t twice = l->faults.add_reports ? s->returned : 0;
  int64_t before = h->held->back;
  take_counts(h->held, s, m->returned + twice, m->spent);
  layup_used(h, before - h->held->back);
}

void home_draw(Ledger *l, const char *from, const LedgerMsg *m) {
  if (l->draining || !g_hash_table_contains(l->rows, m->budget)) return;
  HomeBudget *h = home_budget(l, m->budget);
  if (h->held && h->held->frozen) return;
  if (!h->held) h->held = held_new(l);
  Share *s = share_of(h->held, from, false);
  if (s && m->grant == h->held->id) take_report(l, h, s, m);
  int64_t known = m->grant == h->held->id ? m->granted : 0;
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
    d->since = l->now;
    d->deadline = l->now + LEDGER_DRAW_WAIT_S - DRAW_GRACE;
    g_ptr_array_add(h->draws, d);
  }
  d->need = m->need;
  d->want = m->want;
  h->held->drawn = l->now;
  home_pump(l, h);
}

static void late_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = home_budget(l, m->budget);
  Late *late = NULL;
  for (guint i = 0; i < h->late->len && !late; i++) {
    Late *x = h->late->pdata[i];
    if (x->grant == m->grant && strcmp(x->holder, from) == 0) late = x;
  }
  if (!late) {
    late = g_new0(Late, 1);
    late->grant = m->grant;
    late->since = l->now;
    g_strlcpy(late->holder, from, sizeof late->holder);
    g_ptr_array_add(h->late, late);
  }
  late->returned = MAX(late->returned, m->returned);
  late->spent = MAX(late->spent, m->spent);
  late->final = late->final || m->final;
  late->applied = false;
  touch(l, h);
}

void home_report(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->homes, m->budget);
  bool mine = h && h->held && h->held->id == m->grant;
  if (!mine) {
    int shard = shard_index(m->budget);
    bool ours = strcmp(ledger_caretaker(l, shard), l->self) == 0;
    if (ours || ledger_ours(l, shard)) late_report(l, from, m);
    return;
  }
  Share *s = share_of(h->held, from, false);
  if (s) take_report(l, h, s, m);
  LedgerMsg r = ledger_msg(LEDGER_REPORTED, m->budget, m->grant);
  r.returned = m->returned;
  r.spent = m->spent;
  ledger_send(l, from, &r);
  if (l->now < h->giving_until) give_to_store(l, h, 0);
  home_pump(l, h);
}

void home_recall(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->homes, m->budget);
  if (!h || !h->held || h->held->frozen) return;
  bool again = l->now < h->giving_until;
  h->giving_until = l->now + GIVING;
  g_strlcpy(h->recaller, from, sizeof h->recaller);
  h->tell_recaller = true;
  if (!again) recall(l, h, false);
  give_to_store(l, h, 0);
}

void home_recalled(Ledger *l, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->homes, m->budget);
  if (!h || h->draws->len == 0) return;
  shard_of(l, h)->reread = true;
  touch(l, h);
}

/* == homes that are gone == */

static Seal *seal_of(HomeBudget *h, uint64_t grant) {
  for (guint i = 0; i < h->seals->len; i++) {
    Seal *s = h->seals->pdata[i];
    if (s->grant == grant) return s;
  }
  return NULL;
}

static void chase(Ledger *l, const ShardBudget *b, const ShardGrant *g) {
  HomeBudget *h = home_budget(l, b->name);
  Seal *s = seal_of(h, g->id);
  if (!s) {
    s = g_new0(Seal, 1);
    s->grant = g->id;
    s->gone_since = l->now;
    g_ptr_array_add(h->seals, s);
  }
  if (strcmp(s->witness, g->witness) != 0) { /* the home moved it meanwhile */
    g_strlcpy(s->witness, g->witness, sizeof s->witness);
    s->have = false;
    s->sent = 0;
  }
  bool wait = l->now - s->gone_since < LEDGER_SEAL_AFTER_S;
  if (wait || s->have || l->now - s->sent < 1.0) return;
  s->sent = l->now;
  if (!g->witness[0]) {
    /* It could give out all of it; counted whole until it is written off. */
    s->have = true;
    s->limit = INT64_MAX / 4;
    shard_of(l, h)->dirty = true;
    return;
  }
  LedgerMsg m = ledger_msg(LEDGER_SEAL, b->name, g->id);
  if (view_find(l->view, g->witness)) ledger_send(l, g->witness, &m);
}

/* We look after the grants of our own region, and of a region where nobody is
   left. */
static bool our_duty(const Ledger *l, const ShardState *s,
                     const ShardGrant *g) {
  if (strcmp(g->region, l->region) == 0) return ledger_ours(l, s->index);
  if (view_count_members(l->view, g->region) > 0) return false;
  const Member *m = view_home(l->view, NULL, l->keys[s->index], 0);
  return m && strcmp(m->id, l->self) == 0;
}

void home_watch_grants(Ledger *l, ShardState *s) {
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
        HomeBudget *h = g_hash_table_lookup(l->homes, b->name);
        Seal *seal = h ? seal_of(h, g->id) : NULL;
        if (seal && !seal->have) g_ptr_array_remove(h->seals, seal);
        continue;
      }
      if (our_duty(l, s, g)) chase(l, b, g);
    }
  }
}

/* == time == */

void home_drop(HomeBudget *h) {
  held_free(h->held);
  h->held = NULL;
}

static void tick_held(Ledger *l, HomeBudget *h) {
  Held *g = h->held;
  int shard = shard_index(h->name);
  /* Another instance is the home now, or we leave: hand over. A drain waits
     for what our own holder has of this grant, the rest reports to the
     successor. Accounts of other homes are not waited for: with a home that
     is lost they may last longer than the platform lets us live. */
  bool other = ledger_home(l, shard, 0) && !ledger_ours(l, shard) &&
               l->now - g->drawn >= LINGER;
  bool leaving = l->draining && holder_left(l, h->name, g->id);
  if (!g->frozen && ((other && !l->draining) || leaving)) home_freeze(l, h);
  if (g->frozen) {
    touch(l, h);
    return;
  }
  witness_tick(l, h);
  home_pump(l, h);
  double lay = layup_tokens(l, h);
  int64_t have = home_free(g);
  int64_t share = layup_share(l, h, have, MAX(h->remaining, 0));
  int64_t keep = MAX(MIN((int64_t)lay, share), LEDGER_MIN_DRAW_TOKENS);
  bool paced = l->now - shard_of(l, h)->wrote > SURPLUS_EVERY;
  if (paced && (double)have > SURPLUS * (double)keep && h->draws->len == 0)
    give_to_store(l, h, keep);
  int64_t plan = home_plan(l, h, h->remaining);
  bool low = have < (int64_t)(lay * REFILL_BELOW);
  if (low && plan > (int64_t)(lay * REFILL_LEAST)) touch(l, h);
}

/* Spend reports may wait; the more shards are in use, the longer, so that the
   platform's rate holds at any size. */
static double write_every(const Ledger *l) {
  int n = 0;
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) n += l->by_shard[i] != NULL;
  double spread = n * l->lanes * MAX(l->regions, 1) / REPORT_WRITES;
  return MAX(LEDGER_WRITE_INTERVAL_S, spread);
}

static bool idle(const HomeBudget *h) {
  return !h->held && h->draws->len == 0 && h->late->len == 0 &&
         h->seals->len == 0;
}

/* Nothing is under way that a tick could help on. */
static bool quiet(const Ledger *l, const HomeBudget *h) {
  const Held *g = h->held;
  if (l->draining || h->draws->len > 0 || !g) return false;
  return !g->frozen && !g->moving && g->limit_asked <= g->limit;
}

void home_tick(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  l->report_every = write_every(l);
  g_hash_table_iter_init(&it, l->homes);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    HomeBudget *h = v;
    double dt = l->now - h->looked;
    if (dt < LEDGER_IDLE_CHECK_S && quiet(l, h)) continue;
    h->looked = l->now;
    layup_tick(l, h, dt);
    if (h->held) tick_held(l, h);
    ShardState *s = shard_of(l, h);
    bool news = h->held && (h->held->spent > h->held->stored_spent ||
                            h->held->returned > h->held->stored_returned);
    if (news && l->now - s->wrote >= l->report_every) s->dirty = true;
    if (!idle(h) || s->busy) continue;
    g_ptr_array_remove(s->budgets, h);
    g_hash_table_iter_remove(&it);
  }
}
