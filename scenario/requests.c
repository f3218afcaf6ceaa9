/* requests.c: the life of a scenario's request, and what is judged of it. */
#include <string.h>

#include "scenario/state.h"

#define SEND_S 0.001 /* from a decision to the dispatch it allows */

Request *requests_find(const World *w, uint64_t handle) {
  return g_hash_table_lookup(w->by_handle, &handle);
}

void requests_end(World *w, Request *q, WorldOutcome outcome) {
  q->outcome = outcome;
  q->answered = w->now;
  if (outcome == WORLD_DONE) w->sums.done++;
  if (outcome == WORLD_REPLAYED) w->sums.replayed++;
  if (outcome == WORLD_MAYBE) w->sums.maybe++;
  if (outcome == WORLD_LOST) w->sums.lost++;
  if (outcome != WORLD_REFUSED) return;
  w->sums.refused++;
  if (q->ran) world_broke(w, "a request answered 'not run' had run");
}

static void judge_refusal(World *w, const Request *q) {
  const Budget *b = world_find_budget(w, q->r.budget);
  bool covered = b && b->total - b->consumed - b->promised >= q->r.amount;
  bool about_budget =
      q->cause >= ERR_BUDGET_EMPTY && q->cause <= ERR_BUDGET_CUT;
  if (!covered || !about_budget) return;
  w->sums.false_refused++;
  if (b->consumed < b->total - b->total / 100) w->sums.false_refused_early++;
  w->sums.by_cause[q->cause]++;
}

static void on_granted(World *w, Request *q) {
  q->reserved = true;
  world_find_budget(w, q->r.budget)->promised += q->r.amount;
  Event *e = world_event(w, EV_SEND, q->r.node, w->now + SEND_S);
  e->request = (int)q->handle - 1;
  world_schedule(w, e);
}

void requests_reserved(World *w, int node, const LedgerAction *a) {
  Request *q = requests_find(w, a->handle);
  if (!q || q->outcome != WORLD_WAITING) return;
  if (a->cause == ERR_NONE) {
    on_granted(w, q);
    return;
  }
  q->cause = a->cause;
  judge_refusal(w, q);
  requests_end(w, q, WORLD_REFUSED);
  once_abort(w->nodes[node].once, w->now, q->handle);
}

void requests_verdict(World *w, int node, const OnceAction *a) {
  Request *q = requests_find(w, a->handle);
  if (!q || q->outcome != WORLD_WAITING) return;
  switch (a->verdict) {
  case ONCE_RUN:
    q->began = true;
    ledger_reserve(w->nodes[node].ledger, w->now, q->handle, q->r.budget,
                   q->r.amount);
    break;
  case ONCE_REPLAY: requests_end(w, q, WORLD_REPLAYED); break;
  case ONCE_PENDING:
  case ONCE_OUTCOME_UNKNOWN: requests_end(w, q, WORLD_MAYBE); break;
  case ONCE_MISMATCH:
    q->cause = ERR_KEY_REUSED;
    requests_end(w, q, WORLD_REFUSED);
    break;
  case ONCE_NO_CLAIM:
    q->cause = ERR_CLAIM_STORE;
    requests_end(w, q, WORLD_REFUSED);
    break;
  }
}

/* The target gets it: from here on the tokens are consumed. */
void requests_send(World *w, int i) {
  Request *q = w->requests->pdata[i];
  Budget *b = world_find_budget(w, q->r.budget);
  q->ran = true;
  q->outcome = WORLD_RUNNING;
  b->consumed += q->r.used;
  b->promised -= q->r.used;
  w->sums.consumed += q->r.used;
  if (b->consumed > b->total)
    world_broke(w,
                "budget %s: %" G_GINT64_FORMAT
                " tokens consumed of %" G_GINT64_FORMAT,
                b->name, b->consumed, b->total);
  if (q->r.once_only) {
    int n = GPOINTER_TO_INT(g_hash_table_lookup(w->runs, q->r.key)) + 1;
    g_hash_table_insert(w->runs, g_strdup(q->r.key), GINT_TO_POINTER(n));
    w->sums.runs_most = MAX(w->sums.runs_most, n);
    if (n > 1)
      world_broke(w, "request %s, which may not be repeated, ran %d times",
                  q->r.key, n);
  }
  once_dispatched(w->nodes[q->r.node].once, w->now, q->handle, "target");
  Event *e = world_event(w, EV_END, q->r.node, w->now + q->r.lasts_s);
  e->request = i;
  world_schedule(w, e);
}

void requests_finish(World *w, int i) {
  Request *q = w->requests->pdata[i];
  Node *n = &w->nodes[q->r.node];
  world_find_budget(w, q->r.budget)->promised -= q->r.amount - q->r.used;
  ledger_settle(n->ledger, w->now, q->handle, q->r.used);
  if (w->faults.ledger.settle_twice)
    ledger_settle(n->ledger, w->now, q->handle, 0);
  if (q->r.target_silent) {
    once_finish_unknown(n->once, w->now, q->handle);
    requests_end(w, q, WORLD_MAYBE);
    return;
  }
  OnceBill bill = {.tokens = q->r.used};
  OnceAnswer answer = {.status = 200, .body = (char *)"done", .len = 4};
  g_strlcpy(bill.customer, "c", sizeof bill.customer);
  g_strlcpy(bill.budget, q->r.budget, sizeof bill.budget);
  once_finish(n->once, w->now, q->handle, &bill, &answer);
}

void requests_done(World *w, const OnceAction *a) {
  Request *q = requests_find(w, a->handle);
  if (a->duplicate) w->sums.wasted += q->r.used;
  requests_end(w, q, WORLD_DONE);
}
