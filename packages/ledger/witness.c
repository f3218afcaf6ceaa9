/* witness.c: limits on what a home may allot. The witness of a grant is another
   instance that stores the grant's limit, so that a successor of the home can
   read the limit when the home is gone. The home requests higher limits ahead
   of need, and replaces a witness that is gone. */
#include "ledger/state.h"

#include <string.h>

/* A witness that doesn't answer in this time is replaced. */
#define WITNESS_TIMEOUT_S 0.5

/* == the witness's side == */

static WitnessedGrant *ensure_witnessed(Ledger *l, uint64_t grant) {
  WitnessedGrant *w = g_hash_table_lookup(l->witnessed, &grant);
  if (w) return w;
  w = g_new0(WitnessedGrant, 1);
  g_hash_table_insert(l->witnessed, g_memdup2(&grant, sizeof grant), w);
  return w;
}

/* The limit only grows, and stays as it is once the grant is sealed, so that a
   home never allots more under this witness than the limit that the witness
   reports to a successor. */
void witness_on_raise(Ledger *l, const char *from, const LedgerMsg *m) {
  if (m->grant == 0) { /* whether this instance runs, and its clock */
    LedgerMsg r = ledger_make_msg(LEDGER_RAISE_ACK, m->budget, 0);
    r.granted = (int64_t)((l->now - l->began_at) * 1000);
    r.need = m->need;
    ledger_send(l, from, &r);
    return;
  }
  WitnessedGrant *w = ensure_witnessed(l, m->grant);
  bool must_refuse = w->sealed && !l->faults.no_witness_check;
  if (!must_refuse && m->limit > w->limit) w->limit = m->limit;
  if (m->returned > w->returned_to_home) w->returned_to_home = m->returned;
  g_strlcpy(w->budget, m->budget, sizeof w->budget);
  g_strlcpy(w->home, from, sizeof w->home);
  w->raised_at = l->now;
  LedgerMsg r = ledger_make_msg(LEDGER_RAISE_ACK, m->budget, m->grant);
  r.limit = w->limit;
  r.sealed = must_refuse;
  ledger_send(l, from, &r);
}

void witness_on_seal(Ledger *l, const char *from, const LedgerMsg *m) {
  WitnessedGrant *w = ensure_witnessed(l, m->grant);
  w->sealed = true;
  LedgerMsg r = ledger_make_msg(LEDGER_SEAL_ACK, m->budget, m->grant);
  r.limit = w->limit;
  r.returned = w->returned_to_home;
  ledger_send(l, from, &r);
}

/* == grants that a restored store lost == */

/* Whether a document may have lost the grant, and its home can't write it. One
   that was not raised lately is in the backup, or was closed. */
static bool may_be_lost(const Ledger *l, const WitnessedGrant *w) {
  return w->limit > 0 && w->found_era < l->era &&
         w->raised_at > l->restored_at - BACKUP_MAX_AGE_S &&
         !view_find(l->view, w->home);
}

/* The document may name an earlier witness, which agreed to less. */
static bool restore_witnessed(const Ledger *l, const WitnessedGrant *w,
                              uint64_t id, ShardBudget *b) {
  ShardGrant *g = shard_find_grant(b, id);
  int64_t open = w->limit - w->returned_to_home;
  if (g && (g->sealed || g->granted - g->returned >= open)) return false;
  if (!g) g = shard_add_grant(b, id, w->home, l->self, l->region);
  g_strlcpy(g->witness, l->self, sizeof g->witness);
  g->granted = g->returned + open;
  g->changed_unix_s = l->unix_s;
  return true;
}

bool witness_restore_grants(Ledger *l, ShardBudget *b) {
  GHashTableIter it;
  gpointer k, v;
  bool changed = false;
  if (!ledger_may_lack_grants(l)) return false;
  g_hash_table_iter_init(&it, l->witnessed);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    WitnessedGrant *w = v;
    uint64_t id = *(const uint64_t *)k;
    if (strcmp(w->budget, b->name) != 0 || !may_be_lost(l, w)) continue;
    w->found_era = l->era;
    changed |= restore_witnessed(l, w, id, b);
  }
  return changed;
}

void witness_touch_lost_grants(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->witnessed);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const WitnessedGrant *w = v;
    if (!may_be_lost(l, w)) continue;
    home_budget(l, w->budget);
    sync_touch(l, sync_shard(l, shard_index(w->budget)));
  }
}

/* == the home's side == */

static ShardState *shard_of(Ledger *l, const HomeBudget *h) {
  return sync_shard(l, shard_index(h->name));
}

static void touch_shard(Ledger *l, const HomeBudget *h) {
  sync_touch(l, shard_of(l, h));
}

int64_t witness_headroom(const HomeGrant *g) {
  if (!g->witness[0] && !g->replacing_witness) return INT64_MAX;
  return g->limit - g->allotted;
}

void witness_choose(const Ledger *l, uint64_t grant, const char *avoid,
                    char *out) {
  const Member *self = view_find(l->view, l->self), *m;
  const Member *best = NULL, *fallback = NULL;
  for (int r = 0; (m = view_home(l->view, l->region, grant, r)); r++) {
    if (strcmp(m->id, l->self) == 0) continue;
    if (strcmp(m->id, avoid) == 0) {
      fallback = m;
      continue;
    }
    bool other_dc = !self || strcmp(self->dc, m->dc) != 0;
    if (!best || other_dc) best = m;
    if (other_dc) break;
  }
  if (!best) best = fallback;
  g_strlcpy(out, best ? best->id : "", LIMIT_ID_BYTES);
}

static void send_raise(Ledger *l, HomeBudget *h, const char *to) {
  HomeGrant *g = h->home_grant;
  LedgerMsg m = ledger_make_msg(LEDGER_RAISE, h->name, g->id);
  m.limit = g->limit_requested;
  m.returned = g->returned_by_holders; /* a successor need not write these off
                                          if this home dies */
  g->raise_sent_at = l->now;
  if (g->unanswered_since == 0) g->unanswered_since = l->now;
  ledger_send(l, to, &m);
}

/* Returns true, and records the witness `id` as unresponsive, when it has not
   answered in time. The home doesn't wait until such a witness has left the
   view, because callers wait for the tokens; replacing a witness is safe at any
   time. */
static bool mark_if_unresponsive(const Ledger *l, HomeGrant *g,
                                 const char *id) {
  if (g->unanswered_since == 0 ||
      l->now - g->unanswered_since < WITNESS_TIMEOUT_S)
    return false;
  g_strlcpy(g->unresponsive, id, sizeof g->unresponsive);
  g->unanswered_since = 0;
  return true;
}

void witness_request_headroom(Ledger *l, HomeBudget *h, int64_t n) {
  HomeGrant *g = h->home_grant;
  if (g->replacing_witness || !g->witness[0]) return;
  double per_s = MAX(h->demand_per_s, priority_demand_per_s(l, h));
  int64_t ahead = (int64_t)(per_s * l->witness_ahead_s);
  /* Tokens up to the limit are written off if this home dies, so the home
     requests few in advance for a small budget. For a large budget it requests
     enough that not every allotment needs a RAISE. */
  ahead = MAX(ahead, MIN(LEDGER_MIN_DRAW_TOKENS, h->remaining / 2048));
  ahead = MIN(ahead, MAX(home_free_tokens(g) - n, 0));
  if (g->limit_requested - g->allotted >= n + ahead / 2) return;
  g->limit_requested = g->allotted + n + ahead;
  send_raise(l, h, g->witness);
}

static bool has_draw_over_limit(const HomeBudget *h) {
  for (guint i = 0; i < h->draws->len; i++)
    if (((Draw *)h->draws->pdata[i])->need > witness_headroom(h->home_grant))
      return true;
  return false;
}

/* Starts to replace the grant's witness: the next witness agrees to a limit
   that covers what was allotted so far, then the shard's document is written
   with its name. Until then the home allots nothing above the old limit. */
static void replace_witness(Ledger *l, HomeBudget *h) {
  HomeGrant *g = h->home_grant;
  char next[LIMIT_ID_BYTES];
  witness_choose(l, g->id, g->unresponsive, next);
  if (strcmp(next, g->witness) == 0) return;
  if (!next[0]) {
    /* No other instance is left to be the witness, so the limit can't be
       raised. While the store is up, the grant can be exchanged for one without
       a witness. */
    bool store_is_down = shard_of(l, h)->down_since > 0;
    if (!store_is_down && has_draw_over_limit(h)) home_freeze_grant(l, h);
    return;
  }
  if (!g->witness[0]) g->limit = g->allotted;
  g->limit = MAX(g->limit, g->allotted);
  g->limit_requested = g->limit;
  g->replacing_witness = true;
  g->next_witness_agreed = false;
  g_strlcpy(g->next_witness, next, sizeof g->next_witness);
  send_raise(l, h, next);
}

void witness_on_raise_ack(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  HomeGrant *g = h ? h->home_grant : NULL;
  if (h && m->grant == 0) {
    allowance_on_life(l, h, from, m);
    home_check_grants(l, shard_of(l, h));
  }
  if (!g || g->id != m->grant) return;
  bool is_expected =
      strcmp(from, g->replacing_witness ? g->next_witness : g->witness) == 0;
  if (!is_expected) return;
  g->unanswered_since = 0;
  if (m->sealed) { /* a successor sealed the grant, so it has ended */
    shard_of(l, h)->must_reread = true;
    home_freeze_grant(l, h);
    return;
  }
  if (g->replacing_witness) {
    if (m->limit < g->limit) return;
    g->next_witness_agreed = true;
    touch_shard(l, h);
    return;
  }
  if (m->limit > g->limit) g->limit = MIN(m->limit, g->limit_requested);
  home_serve_draws(l, h);
}

void witness_on_seal_ack(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->home_budgets, m->budget);
  for (guint i = 0; h && i < h->seals->len; i++) {
    PendingSeal *s = h->seals->pdata[i];
    if (s->grant != m->grant || strcmp(s->witness, from) != 0) continue;
    s->is_answered = true;
    s->limit = m->limit;
    s->returned_to_home = m->returned;
    touch_shard(l, h);
  }
}

/* == time == */

void witness_tick(Ledger *l, HomeBudget *h) {
  HomeGrant *g = h->home_grant;
  if (g->replacing_witness) {
    const Member *m = view_find(l->view, g->next_witness);
    bool is_lost = !g->next_witness_agreed &&
                   (!m || mark_if_unresponsive(l, g, g->next_witness));
    if (is_lost) {
      g->replacing_witness = false;
      replace_witness(l, h);
    } else if (!g->next_witness_agreed &&
               l->now - g->raise_sent_at >= LEDGER_RESEND_S) {
      send_raise(l, h, g->next_witness);
    }
    return;
  }
  const Member *m = g->witness[0] ? view_find(l->view, g->witness) : NULL;
  bool is_unresponsive = m && mark_if_unresponsive(l, g, g->witness);
  if (!g->stored && g->limit == 0 && (!m || is_unresponsive)) {
    /* The stored document doesn't name the witness yet, so this home may choose
       another at once. */
    witness_choose(l, g->id, g->unresponsive, g->witness);
    g->limit_requested = 0; /* the next draw sends a RAISE to the new one */
    return;
  }
  if (g->stored && (!m || m->leaving || is_unresponsive)) {
    replace_witness(l, h);
    if (g->replacing_witness) return;
  }
  if (!g->witness[0]) return;
  bool raise_is_pending = g->limit_requested > g->limit;
  if (raise_is_pending && l->now - g->raise_sent_at >= LEDGER_RESEND_S)
    send_raise(l, h, g->witness);
}
