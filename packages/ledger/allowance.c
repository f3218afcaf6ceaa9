/* allowance.c: the allowance of a grant, which bounds what its home has given
   out when the home and its witness are both lost. With each write of the
   document the home states how many tokens it has out at holders at most, now
   and for some seconds more; then a successor that knows when the home ended
   frees the rest. docs/design/allowance.md, spec/allowance.pml. */
#include "ledger/state.h"
#include "store/revision.h"

#include <math.h>
#include <string.h>

/* The allowance grows for this long after a write, and is all of the grant
   then: the home is without the store, or there is no demand. */
#define SPAN_S 5.0
/* Seconds of demand that may be given out at once, so that not every request
   needs a write. */
#define AHEAD_S 0.25
/* Large draws that may be given out at once besides: a customer that asks
   seldom asks for more than the demand of a moment. */
#define LARGE_DRAWS 3
/* Growth per token of demand: requests come in bursts. */
#define GROWTH_RATIO 1.2
/* Between two writes of one budget that only state its allowance, where so many
   budgets are in use that reports of what was spent are written each 10 s. */
#define RENEW_S 1.0
/* Part of a budget that may be lost with the home without a further write. */
#define EXPOSED_RATIO 0.01
/* The clocks of instances differ by less, unless one is wrong. */
#define CLOCK_SKEW_MS 250
/* What another instance stated of its clock counts for this long. */
#define CLOCK_VALID_S 60.0
/* More tokens than were ever returned to a home. A grant that is sealed by its
   allowance counts as if so many had been given out and returned: what holders
   report as returned may have been given out again before. */
#define EVER_RETURNED (INT64_C(1) << 50)

/* == clocks == */

void allowance_note_clock(Ledger *l, const char *from, int64_t unix_ms) {
  ClockSample *c = g_hash_table_lookup(l->clocks, from);
  if (unix_ms <= 0) return;
  if (!c) {
    c = g_new0(ClockSample, 1);
    g_hash_table_insert(l->clocks, g_strdup(from), c);
  }
  c->ahead_ms = (double)unix_ms - l->now * 1000;
  c->at = l->now;
}

int64_t allowance_unix_ms(const Ledger *l) {
  return l->unix_ms > 0 ? l->unix_ms + (int64_t)((l->now - l->unix_at) * 1000)
                        : 0;
}

/* The time at `at` by the clock that is most behind, or most ahead, of this
   instance's and others' clocks. Any one of them may be wrong; 0: no other is
   known. */
static int64_t extreme_unix_ms(const Ledger *l, double at, bool most_ahead) {
  double ahead_ms = (double)allowance_unix_ms(l) - l->now * 1000;
  int others = 0;
  GHashTableIter it;
  gpointer id, v;
  if (l->unix_ms == 0) return 0;
  g_hash_table_iter_init(&it, l->clocks);
  while (g_hash_table_iter_next(&it, &id, &v)) {
    const ClockSample *c = v;
    if (l->now - c->at > CLOCK_VALID_S || !view_find(l->view, id)) continue;
    others++;
    ahead_ms =
        most_ahead ? MAX(ahead_ms, c->ahead_ms) : MIN(ahead_ms, c->ahead_ms);
  }
  return others > 0 ? (int64_t)(ahead_ms + at * 1000) : 0;
}

void allowance_forget_clocks(Ledger *l) {
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, l->clocks);
  while (g_hash_table_iter_next(&it, &id, NULL))
    if (!view_find(l->view, id)) g_hash_table_iter_remove(&it);
}

/* == the home's side == */

static int64_t out_at_holders(const HomeGrant *g) {
  return g->allotted - g->returned_by_holders;
}

static double growth(const ShardAllowance *a, int64_t elapsed_ms) {
  return (double)a->per_s * (double)elapsed_ms / 1000;
}

int64_t allowance_room(const Ledger *l, const HomeGrant *g) {
  if (l->faults.ignore_allowance) return INT64_MAX;
  int64_t room = INT64_MAX;
  for (guint i = 0; i < g->statements->len; i++) {
    const Statement *s = &g_array_index(g->statements, Statement, i);
    int64_t elapsed_ms = (int64_t)((l->now - s->sent_at) * 1000);
    if (elapsed_ms >= s->a.span_ms) continue;
    int64_t limit = s->a.base + (int64_t)growth(&s->a, elapsed_ms);
    room = MIN(room, limit - out_at_holders(g));
  }
  return room;
}

static bool same_allowance(const ShardAllowance *a, const ShardAllowance *b) {
  return a->base == b->base && a->per_s == b->per_s &&
         a->since_ms == b->since_ms && a->span_ms == b->span_ms &&
         a->era == b->era;
}

static const Statement *stored_statement(const HomeGrant *g) {
  for (guint i = 0; i < g->statements->len; i++) {
    const Statement *s = &g_array_index(g->statements, Statement, i);
    if (s->is_stored) return s;
  }
  return NULL;
}

bool allowance_is_due(const Ledger *l, const HomeBudget *h) {
  const HomeGrant *g = h->home_grant;
  if (!l->states_allowances || !g || !g->stored || g->frozen || l->draining)
    return false;
  if (extreme_unix_ms(l, l->now, false) == 0) return false;
  const Statement *s = stored_statement(g);
  if (!s) return home_free_tokens(g) > 0;
  if (g->needs_allowance) return true;
  const LedgerBudget *row = g_hash_table_lookup(l->rows, h->name);
  double renew_s = RENEW_S * l->report_write_s / LEDGER_WRITE_INTERVAL_S;
  double exposed = (double)MIN(allowance_room(l, g), home_free_tokens(g));
  return l->now - s->sent_at >= renew_s && row &&
         exposed > EXPOSED_RATIO * (double)row->total;
}

/* States the allowance in a document that is about to be written. */
static void state_allowance(Ledger *l, const ShardState *s, HomeBudget *h,
                            ShardGrant *sg) {
  HomeGrant *g = h->home_grant;
  Statement x = {.sent_at = l->now, .on_version = s->version};
  x.a.since_ms = extreme_unix_ms(l, l->now, false);
  if (x.a.since_ms > 0) {
    double demand = outage_demand_per_s(l, h);
    x.a.per_s = (int64_t)ceil(GROWTH_RATIO * demand);
    x.a.base = out_at_holders(g) + home_total_need(l, h) +
               (int64_t)(AHEAD_S * demand) + LARGE_DRAWS * h->large_need;
    x.a.span_ms = (int64_t)(SPAN_S * 1000);
    x.a.era = revision_era(s->version);
    g_array_append_val(g->statements, x);
  }
  sg->allowance = x.a;
  g->needs_allowance = false;
}

void allowance_state(Ledger *l, ShardState *s) {
  if (!l->states_allowances) return;
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    const ShardBudget *b = shard_find_budget(s->doc, h->name);
    if (!b || !h->home_grant || h->home_grant->frozen) continue;
    ShardGrant *sg = shard_find_grant(b, h->home_grant->id);
    if (sg && !sg->sealed) state_allowance(l, s, h, sg);
  }
}

/* A statement that was sent binds the home until the document has changed
   since: a write whose answer is lost may take effect later. */
void allowance_confirm(const Ledger *l, const ShardState *s, HomeGrant *g,
                       const ShardGrant *sg) {
  bool is_stored = false;
  for (guint i = g->statements->len; i-- > 0;) {
    Statement *x = &g_array_index(g->statements, Statement, i);
    x->is_stored = same_allowance(&x->a, &sg->allowance);
    is_stored |= x->is_stored;
    bool is_open = x->on_version == s->version && !l->faults.forget_statements;
    if (!x->is_stored && !is_open) g_array_remove_index(g->statements, i);
  }
  if (is_stored || sg->allowance.since_ms == 0) return;
  Statement x = {.a = sg->allowance, .sent_at = l->now, .is_stored = true};
  g_array_append_val(g->statements, x);
}

/* == the successor's side == */

/* Whether both ids are lives of one instance: "name.incarnation". */
static bool same_instance(const char *a, const char *b) {
  const char *dot = strrchr(a, '.');
  size_t n = dot ? (size_t)(dot - a) + 1 : 0;
  return n > 0 && strncmp(a, b, n) == 0 && !strchr(b + n, '.');
}

static const Member *find_other_life(const Ledger *l, const char *home) {
  for (int i = 0; i < l->view->n; i++) {
    const Member *m = &l->view->list[i];
    if (same_instance(home, m->id) && strcmp(home, m->id) != 0) return m;
  }
  return NULL;
}

bool allowance_has_other_life(const Ledger *l, const char *id) {
  return find_other_life(l, id) != NULL;
}

/* For no grant: builds that don't state their clock record a limit of 0. The
   answer repeats `need`: one to an earlier question proves nothing. */
static void ask(Ledger *l, const char *to, const char *budget,
                int64_t question) {
  LedgerMsg m = ledger_make_msg(LEDGER_RAISE, budget, 0);
  m.need = question;
  ledger_send(l, to, &m);
}

/* The view may show a life that ended before the home began. So another life of
   the instance must say itself that it runs, after the document was read that
   names the home: then that home ended before it began. */
void allowance_ask_end(Ledger *l, const char *budget, PendingSeal *s) {
  const Member *m = find_other_life(l, s->home);
  bool has_clock = extreme_unix_ms(l, l->now, true) > 0;
  if (!m || (s->has_ended && has_clock)) return;
  if (s->asked_at > 0 && l->now - s->asked_at < LEDGER_RESEND_S) return;
  s->asked_at = l->now;
  if (s->question == 0) s->question = (int64_t)g_rand_int(l->rng) + 1;
  bool is_self = strcmp(m->id, l->self) == 0;
  if (is_self) {
    s->has_ended = true;
    s->ended_at = l->began_at;
  } else {
    ask(l, m->id, budget, s->question);
  }
  if (!is_self || has_clock) return;
  char to[LIMIT_ID_BYTES];
  witness_choose(l, s->grant, "", to);
  ask(l, to, budget, 0);
}

void allowance_on_life(const Ledger *l, HomeBudget *h, const char *from,
                       const LedgerMsg *m) {
  if (m->clock_ms <= 0) return;
  for (guint i = 0; i < h->seals->len; i++) {
    PendingSeal *s = h->seals->pdata[i];
    bool is_answer = s->question > 0 && s->question == m->need;
    if (!is_answer || !same_instance(s->home, from) ||
        strcmp(s->home, from) == 0)
      continue;
    s->has_ended = true;
    s->ended_at = l->now - (double)m->granted / 1000;
  }
}

static void note_sealed(Ledger *l, const char *budget, const ShardGrant *g,
                        int64_t elapsed_ms, int64_t limit) {
  LedgerAction *a = ledger_add_action(l, LEDGER_ACTION_SEALED);
  a->msg = ledger_make_msg(LEDGER_SEAL, budget, g->id);
  a->sealed = (LedgerSealed){.granted = g->granted - g->returned,
                             .base = g->allowance.base,
                             .per_s = g->allowance.per_s,
                             .elapsed_ms = elapsed_ms,
                             .limit = limit};
  g_strlcpy(a->sealed.home, g->home, sizeof a->sealed.home);
}

bool allowance_seal(Ledger *l, const ShardState *shard, const char *budget,
                    const ShardGrant *g, PendingSeal *s) {
  const ShardAllowance *a = &g->allowance;
  bool is_current = a->era == l->era || l->faults.any_era;
  if (l->faults.no_allowance || a->since_ms == 0 || !is_current ||
      revision_era(shard->version) != l->era)
    return false;
  if (!s->has_ended && !l->faults.seal_unproved) return false;
  double at = s->has_ended ? s->ended_at : l->now;
  int64_t ended_ms = extreme_unix_ms(l, at, !l->faults.slowest_clock);
  int64_t elapsed_ms = ended_ms + CLOCK_SKEW_MS - a->since_ms;
  if (ended_ms == 0 || elapsed_ms < 0 || elapsed_ms >= a->span_ms) return false;
  s->is_answered = s->by_allowance = true;
  s->returned_to_home = EVER_RETURNED;
  int64_t limit = a->base + (int64_t)ceil(growth(a, elapsed_ms));
  s->limit = EVER_RETURNED + limit;
  note_sealed(l, budget, g, elapsed_ms, limit);
  return true;
}
