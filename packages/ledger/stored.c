/* stored.c: one conditional update at a time per shard; every wish is put into
   whatever version is found, so a lost race or a lost answer is just read
   again. */
#include "ledger/state.h"
#include "store/pace.h"

#include <string.h>

#define REFRESH 30.0 /* a shard that is ours is looked at this often */
#define FIRST_READ                                                             \
  3.0                 /* the same without a cause after its first sight: while \
                         instances start, each thinks that it is the home */
#define UNSEALED 10.0 /* a report waits this long for its grant's seal */
/* Seconds between two writes of budgets nearly used up. */
#define DRY_EVERY 1.0
/* Seconds over which the homes come back to the store after an outage. */
#define BACK_SPREAD 0.2

ShardState *stored_shard(Ledger *l, int index) {
  ShardState *s = l->shards[index];
  if (s) return s;
  s = l->shards[index] = g_new0(ShardState, 1);
  s->index = index;
  s->budgets = g_ptr_array_new();
  s->read_at = l->now + FIRST_READ * (0.5 + g_rand_double(l->rng));
  return s;
}

void stored_free(ShardState *s) {
  if (!s) return;
  shard_free(s->doc);
  g_ptr_array_free(s->budgets, TRUE);
  g_free(s);
}

/* == putting wishes into the document == */

static bool apply_row(ShardBudget *b, const LedgerBudget *row) {
  if (b->tv >= row->version) return false;
  b->total = row->total;
  b->tv = row->version;
  return true;
}

static bool apply_seals(Ledger *l, HomeBudget *h, ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < h->seals->len; i++) {
    const Seal *s = h->seals->pdata[i];
    ShardGrant *g = shard_grant(b, s->grant);
    if (!g || g->sealed || !s->have) continue;
    /* Only the witness that the document names knows the limit: one that the
       home has left meanwhile agreed to less than was given out. */
    if (strcmp(g->witness, s->witness) != 0) continue;
    shard_seal(g, s->limit, s->back, false, l->unix_s);
    changed = true;
  }
  return changed;
}

/* A grant whose home and witness are both gone can't be sealed. What its
   holders report is kept all the same, or none of them could ever stop. */
static bool never_sealed(const Ledger *l, const Late *x, const ShardGrant *g) {
  return l->now - x->since >= UNSEALED && !view_find(l->view, g->home);
}

/* A grant that is sealed here is sealed for good. One that is missing here may
   be newer than our copy: only a copy read since can say that it is gone. */
static bool apply_late(Ledger *l, ShardState *s, HomeBudget *h,
                       ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < h->late->len; i++) {
    Late *x = h->late->pdata[i];
    ShardGrant *g = shard_grant(b, x->grant);
    x->applied = g ? g->sealed || never_sealed(l, x, g) : s->fresh > x->since;
    if (!g && !x->applied) s->reread = s->dirty = true;
    if (!g || !x->applied) continue;
    changed |=
        shard_report(g, x->holder, x->returned, x->spent, x->final, l->unix_s);
  }
  return changed;
}

/* Hands over: what nobody holds goes back, and the grant is sealed with just
   what was given out, so that the reports to come account for all of it. */
static bool apply_handover(Ledger *l, Held *g, ShardBudget *b, ShardGrant *sg) {
  if (!sg || sg->sealed) return false;
  g->returned += home_free(g);
  sg->returned = g->returned;
  sg->spent = g->spent;
  if (g->given - g->back <= g->spent) {
    shard_close(b, sg);
    return true;
  }
  shard_seal(sg, g->given, g->back, true, l->unix_s);
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, g->shares);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const Share *s = v;
    shard_report(sg, k, s->returned, s->spent, false, l->unix_s);
  }
  return true;
}

/* Reports that others took in while we seemed gone. */
static void take_back(Held *g, const ShardGrant *sg) {
  GHashTableIter it;
  gpointer k, v;
  if (!sg->back) return;
  g_hash_table_iter_init(&it, sg->back);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const ShardBack *r = v;
    home_take(g, k, r->returned, r->spent);
  }
}

static bool apply_held(Ledger *l, const ShardState *s, HomeBudget *h,
                       ShardBudget *b) {
  Held *g = h->held;
  if (!g) return false;
  ShardGrant *sg = shard_grant(b, g->id);
  if (sg) take_back(g, sg);
  if (g->frozen) return apply_handover(l, g, b, sg);
  if ((sg && sg->sealed) || (!sg && g->stored)) return false;
  bool changed = false;
  if (sg) {
    /* What is spent may wait for its time or for another cause to write. */
    bool due = l->now - s->wrote >= l->report_every;
    changed = sg->returned != g->returned || (due && sg->spent != g->spent);
    sg->returned = g->returned;
    if (changed) sg->spent = g->spent;
    if (g->moved && strcmp(sg->witness, g->moving_to) != 0) {
      g_strlcpy(sg->witness, g->moving_to, sizeof sg->witness);
      changed = true;
    }
  }
  int64_t left = shard_remaining(b);
  if (left < 0 && home_free(g) > 0) { /* the table lowered the total */
    int64_t n = MIN(-left, home_free(g));
    g->returned += n;
    if (sg) sg->returned = g->returned;
    return true;
  }
  int64_t n = home_plan(l, h, left);
  if (n <= 0) return changed;
  if (!sg) sg = shard_grant_add(b, g->id, l->self, g->witness, l->region);
  sg->granted += n;
  sg->spent = g->spent;
  sg->changed = l->unix_s;
  return true;
}

static bool apply_folds(Ledger *l, ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < b->grants->len;) {
    if (shard_fold(b, b->grants->pdata[i], l->unix_s))
      changed = true;
    else
      i++;
  }
  return changed;
}

static bool apply(Ledger *l, ShardState *s) {
  bool changed = false;
  const GPtrArray *rows = l->by_shard[s->index];
  for (guint i = 0; rows && i < rows->len; i++) {
    const LedgerBudget *row = rows->pdata[i];
    changed |= apply_row(shard_budget_add(s->doc, row->name), row);
  }
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    ShardBudget *b = shard_budget(s->doc, h->name);
    if (!b) continue;
    changed |= apply_seals(l, h, b);
    changed |= apply_late(l, s, h, b);
    changed |= apply_held(l, s, h, b);
    changed |= apply_folds(l, b);
  }
  return changed;
}

/* == after a version is known to be the store's == */

static void confirm_held(HomeBudget *h, const ShardBudget *b) {
  Held *g = h->held;
  if (!g) return;
  const ShardGrant *sg = b ? shard_grant(b, g->id) : NULL;
  bool over = sg ? sg->sealed : (g->stored || g->frozen);
  if (over) {
    home_drop(h);
    return;
  }
  if (!sg) return;
  if (!g->stored && strcmp(g->witness, sg->witness) != 0) {
    /* Chosen anew while the first update was on its way: a successor will ask
       the one that the document names. */
    g_strlcpy(g->witness, sg->witness, sizeof g->witness);
    g->limit = g->limit_asked = 0;
  }
  g->stored = true;
  g->granted = sg->granted;
  g->stored_spent = sg->spent;
  g->stored_returned = sg->returned;
  if (g->moving && g->moved && strcmp(sg->witness, g->moving_to) == 0) {
    g_strlcpy(g->witness, sg->witness, sizeof g->witness);
    g->moving = g->moved = false;
  }
}

static void confirm_late(Ledger *l, HomeBudget *h) {
  for (guint i = 0; i < h->late->len;) {
    const Late *x = h->late->pdata[i];
    if (!x->applied) {
      i++;
      continue;
    }
    LedgerMsg r = ledger_msg(LEDGER_REPORTED, h->name, x->grant);
    r.returned = x->returned;
    r.spent = x->spent;
    r.final = true;
    ledger_send(l, x->holder, &r);
    g_ptr_array_remove_index(h->late, i);
  }
}

static void confirm_seals(HomeBudget *h, const ShardBudget *b) {
  for (guint i = 0; i < h->seals->len;) {
    const Seal *s = h->seals->pdata[i];
    const ShardGrant *g = b ? shard_grant(b, s->grant) : NULL;
    if (!g || g->sealed)
      g_ptr_array_remove_index(h->seals, i);
    else
      i++;
  }
}

/* Wishes that the document now shows are done with. */
static void confirm_wishes(Ledger *l, ShardState *s) {
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    const ShardBudget *b = shard_budget(s->doc, h->name);
    confirm_held(h, b);
    confirm_late(l, h);
    confirm_seals(h, b);
    h->remaining = b ? shard_remaining(b) : 0;
    h->unspent = b ? b->total - b->retired - shard_spent(b) : 0;
  }
}

static void confirm(Ledger *l, ShardState *s) {
  s->seen = s->version;
  s->fresh = l->now;
  s->backoff = 0;
  s->down_since = 0;
  s->read_at = l->now + REFRESH * (0.75 + g_rand_double(l->rng) / 2);
  confirm_wishes(l, s);
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    bool back = !h->held || h->held->stored_returned >= h->held->returned;
    if (h->tell_recaller && back) {
      h->tell_recaller = false;
      LedgerMsg m = ledger_msg(LEDGER_RECALLED, h->name, 0);
      ledger_send(l, h->recaller, &m);
    }
  }
  home_watch_grants(l, s);
  for (guint i = 0; i < s->budgets->len; i++)
    home_pump(l, s->budgets->pdata[i]);
}

/* == store operations == */

static void start(Ledger *l, ShardState *s, LedgerDo what) {
  LedgerAction *a = ledger_act(l, what);
  a->shard = s->index;
  s->busy = true;
  s->started = l->now;
  s->putting = what == LEDGER_DO_PUT;
  if (!s->putting) return;
  a->version = s->version;
  a->text = shard_encode(s->doc);
}

/* What was put into a document that is dropped was not put anywhere. */
static void forget_doc(ShardState *s) {
  shard_free(s->doc);
  s->doc = NULL;
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    for (guint k = 0; k < h->late->len; k++)
      ((Late *)h->late->pdata[k])->applied = false;
  }
}

/* A stop does not wait for others to say that the store is back. */
static bool waits_for_store(const Ledger *l) {
  return l->away && !l->draining;
}

/* The last tokens of a budget are few, and its homes would hand them to and fro
   with each request: three budgets of 40 made 949 of 2,236 writes of a fleet of
   295. Requests that wait are served from what comes back to the home. */
static bool nearly_dry(const Ledger *l, const ShardState *s) {
  for (guint i = 0; i < s->budgets->len; i++) {
    const HomeBudget *h = s->budgets->pdata[i];
    const LedgerBudget *row = g_hash_table_lookup(l->rows, h->name);
    double least = row ? LEDGER_MAX_UNUSED_RATIO * (double)row->total : 0;
    if ((double)h->remaining >= least) return false;
  }
  return s->budgets->len > 0;
}

void stored_back(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    if (s) s->retry_at = l->now + BACK_SPREAD * g_rand_double(l->rng);
  }
}

void stored_pump(Ledger *l, ShardState *s) {
  if (s->busy || !s->dirty || l->now < s->retry_at) return;
  if (waits_for_store(l)) return;
  bool wrote = l->now - s->wrote < DRY_EVERY && s->wrote > 0;
  if (wrote && !l->draining && nearly_dry(l, s)) return;
  if (s->reread) forget_doc(s);
  s->reread = false;
  if (!s->doc) {
    start(l, s, LEDGER_DO_GET);
    return;
  }
  s->dirty = false;
  if (apply(l, s))
    start(l, s, LEDGER_DO_PUT);
  else
    confirm_wishes(l, s);
}

void stored_touch(Ledger *l, ShardState *s) {
  s->dirty = true;
  if (s->queued) return;
  s->queued = true;
  g_queue_push_tail(&l->touched, s);
}

static void back_off(Ledger *l, ShardState *s) {
  s->retry_at = l->now + pace_backoff(&s->backoff, g_rand_double(l->rng));
}

static void got(Ledger *l, ShardState *s, uint64_t version, const char *text) {
  /* A read may be served from an old copy: never step back. */
  bool stale = version < s->seen;
  Shard *doc = stale ? NULL : text ? shard_decode(text) : shard_new();
  if (!doc) { /* stale, or not ours to mend: ask again later */
    s->dirty = true;
    back_off(l, s);
    return;
  }
  forget_doc(s);
  s->doc = doc;
  s->version = version;
  s->dirty = true;
  confirm(l, s);
}

void stored_result(Ledger *l, ShardState *s, ErrKind kind, uint64_t version,
                   const char *text) {
  if (!s->busy) return;
  bool putting = s->putting;
  s->busy = s->putting = false;
  switch (kind) {
  case ERR_NONE:
    if (putting) {
      s->version = version;
      s->wrote = l->now;
      confirm(l, s);
    } else {
      got(l, s, version, text);
    }
    break;
  case ERR_STORE_ABSENT: got(l, s, 0, NULL); break;
  case ERR_STORE_CONFLICT:
    forget_doc(s);
    s->dirty = true;
    s->retry_at = l->now + g_rand_double(l->rng) * 0.02;
    break;
  default: /* no answer: it may have taken effect, so read before all else */
    forget_doc(s);
    s->dirty = true;
    if (s->down_since == 0) s->down_since = l->now;
    back_off(l, s);
    for (guint i = 0; i < s->budgets->len; i++)
      home_pump(l, s->budgets->pdata[i]);
    break;
  }
  stored_pump(l, s);
}

void stored_tick(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    bool ours = l->by_shard[i] && ledger_ours(l, i) && !l->draining;
    if (!s && !ours) continue;
    if (!s) s = stored_shard(l, i);
    if (ours && l->now >= s->read_at && !s->busy) {
      s->read_at = l->now + REFRESH;
      s->reread = s->dirty = true;
    }
    if (ours && l->now - s->watched >= LEDGER_IDLE_CHECK_S) {
      s->watched = l->now;
      home_watch_grants(l, s);
    }
    stored_pump(l, s);
  }
}
