/* witness.c: who agrees to how much a home gives out. The witness's side keeps
   one number a grant; the home's side asks for more room, and for another
   witness when its own is gone. */
#include "ledger/state.h"

#include <string.h>

#define SILENT 0.5 /* seconds until an unanswered witness is replaced */

/* == the witness's side == */

static Witnessed *witnessed(Ledger *l, uint64_t grant) {
  Witnessed *w = g_hash_table_lookup(l->witnessed, &grant);
  if (w) return w;
  w = g_new0(Witnessed, 1);
  g_hash_table_insert(l->witnessed, g_memdup2(&grant, sizeof grant), w);
  return w;
}

/* The limit only grows, and not at all once sealed: what a home gave out under
   this witness is never more than what the witness will tell a successor. */
void witness_raise(Ledger *l, const char *from, const LedgerMsg *m) {
  Witnessed *w = witnessed(l, m->grant);
  bool refuse = w->sealed && !l->faults.no_witness_check;
  if (!refuse && m->limit > w->limit) w->limit = m->limit;
  if (m->returned > w->back) w->back = m->returned;
  LedgerMsg r = ledger_msg(LEDGER_RAISED, m->budget, m->grant);
  r.limit = w->limit;
  r.sealed = refuse;
  ledger_send(l, from, &r);
}

void witness_seal(Ledger *l, const char *from, const LedgerMsg *m) {
  Witnessed *w = witnessed(l, m->grant);
  w->sealed = true;
  LedgerMsg r = ledger_msg(LEDGER_SEALED, m->budget, m->grant);
  r.limit = w->limit;
  r.returned = w->back;
  ledger_send(l, from, &r);
}

/* == the home's side == */

static ShardState *shard_of(Ledger *l, const HomeBudget *h) {
  return stored_shard(l, shard_index(h->name));
}

static void touch(Ledger *l, const HomeBudget *h) {
  stored_touch(l, shard_of(l, h));
}

/* What may still be given out without asking the witness. */
int64_t witness_room(const Held *g) {
  if (!g->witness[0] && !g->moving) return INT64_MAX;
  return g->limit - g->given;
}

void witness_pick(const Ledger *l, uint64_t grant, const char *silent,
                  char *out) {
  const Member *self = view_find(l->view, l->self), *m;
  const Member *best = NULL, *quiet = NULL;
  for (int r = 0; (m = view_home(l->view, l->region, grant, r)); r++) {
    if (strcmp(m->id, l->self) == 0) continue;
    if (strcmp(m->id, silent) == 0) {
      quiet = m;
      continue;
    }
    bool far = !self || strcmp(self->dc, m->dc) != 0;
    if (!best || far) best = m;
    if (far) break;
  }
  if (!best) best = quiet;
  g_strlcpy(out, best ? best->id : "", LIMIT_ID_BYTES);
}

static void send_raise(Ledger *l, HomeBudget *h, const char *to) {
  Held *g = h->held;
  LedgerMsg m = ledger_msg(LEDGER_RAISE, h->name, g->id);
  m.limit = g->limit_asked;
  m.returned = g->back; /* so that it need not be written off with us */
  g->raise_sent = l->now;
  if (g->unanswered == 0) g->unanswered = l->now;
  ledger_send(l, to, &m);
}

/* A witness that says nothing is not waited for until it is out of the view:
   callers wait for its word. To move is safe at any time. */
static bool is_silent(const Ledger *l, Held *g, const char *id) {
  if (g->unanswered == 0 || l->now - g->unanswered < SILENT) return false;
  g_strlcpy(g->silent, id, sizeof g->silent);
  g->unanswered = 0;
  return true;
}

/* Asks for room for `n` more tokens and for a few seconds of demand. */
void witness_want(Ledger *l, HomeBudget *h, int64_t n) {
  Held *g = h->held;
  if (g->moving || !g->witness[0]) return;
  int64_t ahead = (int64_t)(h->rate * l->agreed_s);
  /* What is agreed ahead is written off should we be lost: little of a small
     budget, enough of a large one that not each gift needs a word. */
  ahead = MAX(ahead, MIN(LEDGER_MIN_DRAW_TOKENS, h->remaining / 2048));
  ahead = MIN(ahead, MAX(home_free(g) - n, 0));
  if (g->limit_asked - g->given >= n + ahead / 2) return;
  g->limit_asked = g->given + n + ahead;
  send_raise(l, h, g->witness);
}

static bool needs_room(const HomeBudget *h) {
  for (guint i = 0; i < h->draws->len; i++)
    if (((Draw *)h->draws->pdata[i])->need > witness_room(h->held)) return true;
  return false;
}

/* The grant gets another witness: it agrees to what was given out so far, then
   the document names it. Until then nothing beyond the old limit is given. */
static void move_witness(Ledger *l, HomeBudget *h) {
  Held *g = h->held;
  char next[LIMIT_ID_BYTES];
  witness_pick(l, g->id, g->silent, next);
  if (strcmp(next, g->witness) == 0) return;
  if (!next[0]) {
    /* Nobody is left: bound by the last limit, unless the store can take this
       grant back for one without a witness. */
    bool down = shard_of(l, h)->down_since > 0;
    if (!down && needs_room(h)) home_freeze(l, h);
    return;
  }
  if (!g->witness[0]) g->limit = g->given;
  g->limit = MAX(g->limit, g->given);
  g->limit_asked = g->limit;
  g->moving = true;
  g->moved = false;
  g_strlcpy(g->moving_to, next, sizeof g->moving_to);
  send_raise(l, h, next);
}

void witness_raised(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->homes, m->budget);
  Held *g = h ? h->held : NULL;
  if (!g || g->id != m->grant) return;
  bool asked = strcmp(from, g->moving ? g->moving_to : g->witness) == 0;
  if (!asked) return;
  g->unanswered = 0;
  if (m->sealed) { /* somebody took us for gone: this grant is over */
    shard_of(l, h)->reread = true;
    home_freeze(l, h);
    return;
  }
  if (g->moving) {
    if (m->limit < g->limit) return;
    g->moved = true;
    touch(l, h);
    return;
  }
  if (m->limit > g->limit) g->limit = MIN(m->limit, g->limit_asked);
  home_pump(l, h);
}

void witness_sealed(Ledger *l, const char *from, const LedgerMsg *m) {
  HomeBudget *h = g_hash_table_lookup(l->homes, m->budget);
  for (guint i = 0; h && i < h->seals->len; i++) {
    Seal *s = h->seals->pdata[i];
    if (s->grant != m->grant || strcmp(s->witness, from) != 0) continue;
    s->have = true;
    s->limit = m->limit;
    s->back = m->returned;
    touch(l, h);
  }
}

/* == time == */

void witness_tick(Ledger *l, HomeBudget *h) {
  Held *g = h->held;
  if (g->moving) {
    const Member *m = view_find(l->view, g->moving_to);
    bool lost = !g->moved && (!m || is_silent(l, g, g->moving_to));
    if (lost) {
      g->moving = false;
      move_witness(l, h);
    } else if (!g->moved && l->now - g->raise_sent >= LEDGER_RESEND_S) {
      send_raise(l, h, g->moving_to);
    }
    return;
  }
  const Member *m = g->witness[0] ? view_find(l->view, g->witness) : NULL;
  bool silent = m && is_silent(l, g, g->witness);
  if (!g->stored && g->limit == 0 && (!m || silent)) {
    /* No document names it yet: choose freely. */
    witness_pick(l, g->id, g->silent, g->witness);
    g->limit_asked = 0; /* the next draw asks the new one */
    return;
  }
  if (g->stored && (!m || m->leaving || silent)) {
    move_witness(l, h);
    if (g->moving) return;
  }
  if (!g->witness[0]) return;
  bool open = g->limit_asked > g->limit;
  if (open && l->now - g->raise_sent >= LEDGER_RESEND_S)
    send_raise(l, h, g->witness);
}
