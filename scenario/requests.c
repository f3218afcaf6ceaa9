/* requests.c: the life cycle of a scenario's request, and the checks on it. */
#include <string.h>

#include "scenario/state.h"

#define DISPATCH_DELAY_S 0.001 /* from the reservation to the dispatch */

Request *requests_find(const World *w, uint64_t handle) {
  return g_hash_table_lookup(w->by_handle, &handle);
}

void requests_conclude(World *w, Request *q, WorldOutcome outcome) {
  q->outcome = outcome;
  q->answered_at = w->now;
  if (outcome == WORLD_DONE) w->sums.done++;
  if (outcome == WORLD_REPLAYED) w->sums.replayed++;
  if (outcome == WORLD_MAYBE) w->sums.maybe++;
  if (outcome == WORLD_LOST) w->sums.lost++;
  if (outcome != WORLD_REFUSED) return;
  w->sums.refused++;
  if (q->ran) world_report_violation(w, "a request answered 'not run' had run");
}

static void count_false_refusal(World *w, const Request *q) {
  const Budget *b = world_find_budget(w, q->params.budget);
  bool covered = b && b->total - b->consumed - b->unsettled >= q->params.amount;
  bool is_budget_refusal =
      q->cause >= ERR_BUDGET_EMPTY && q->cause <= ERR_BUDGET_CUT;
  if (!covered || !is_budget_refusal) return;
  w->sums.false_refusals++;
  if (b->consumed < b->total - b->total / 100) w->sums.early_false_refusals++;
  w->sums.false_refusals_by_cause[q->cause]++;
}

static void schedule_dispatch(World *w, Request *q) {
  q->reserved = true;
  world_find_budget(w, q->params.budget)->unsettled += q->params.amount;
  Event *e = world_new_event(w, EV_DISPATCH, q->params.node,
                             w->now + DISPATCH_DELAY_S);
  e->request = (int)q->handle - 1;
  world_schedule(w, e);
}

void requests_on_reservation(World *w, int node, const LedgerAction *a) {
  Request *q = requests_find(w, a->handle);
  if (!q || q->outcome != WORLD_WAITING) return;
  if (a->cause == ERR_NONE) {
    schedule_dispatch(w, q);
    return;
  }
  q->cause = a->cause;
  count_false_refusal(w, q);
  requests_conclude(w, q, WORLD_REFUSED);
  once_abort(w->nodes[node].once, w->now, q->handle);
}

void requests_on_verdict(World *w, int node, const OnceAction *a) {
  Request *q = requests_find(w, a->handle);
  if (!q || q->outcome != WORLD_WAITING) return;
  switch (a->verdict) {
  case ONCE_RUN:
    q->run_allowed = true;
    ledger_reserve(w->nodes[node].ledger, w->now, q->handle, q->params.budget,
                   q->params.amount, q->params.priority);
    break;
  case ONCE_REPLAY: requests_conclude(w, q, WORLD_REPLAYED); break;
  case ONCE_PENDING:
  case ONCE_OUTCOME_UNKNOWN: requests_conclude(w, q, WORLD_MAYBE); break;
  case ONCE_MISMATCH:
    q->cause = ERR_KEY_REUSED;
    requests_conclude(w, q, WORLD_REFUSED);
    break;
  case ONCE_NO_CLAIM:
    q->cause = ERR_CLAIM_STORE;
    requests_conclude(w, q, WORLD_REFUSED);
    break;
  case ONCE_NO_BILL:
    q->cause = ERR_BILL_STORE;
    requests_conclude(w, q, WORLD_REFUSED);
    break;
  }
}

void requests_dispatch(World *w, int i) {
  Request *q = w->requests->pdata[i];
  Budget *b = world_find_budget(w, q->params.budget);
  q->ran = true;
  q->outcome = WORLD_RUNNING;
  b->consumed += q->params.consumed_tokens;
  b->unsettled -= q->params.consumed_tokens;
  w->sums.consumed += q->params.consumed_tokens;
  if (b->consumed > b->total)
    world_report_violation(w,
                           "budget %s: %" G_GINT64_FORMAT
                           " tokens consumed of %" G_GINT64_FORMAT,
                           b->name, b->consumed, b->total);
  if (q->params.once_only) {
    int n =
        GPOINTER_TO_INT(g_hash_table_lookup(w->runs_by_key, q->params.key)) + 1;
    g_hash_table_insert(w->runs_by_key, g_strdup(q->params.key),
                        GINT_TO_POINTER(n));
    w->sums.max_runs_per_key = MAX(w->sums.max_runs_per_key, n);
    if (n > 1)
      world_report_violation(w, "non-repeatable request %s ran %d times",
                             q->params.key, n);
  }
  once_dispatched(w->nodes[q->params.node].once, w->now, q->handle, "target");
  Event *e = world_new_event(w, EV_FINISH, q->params.node,
                             w->now + q->params.duration_s);
  e->request = i;
  world_schedule(w, e);
}

void requests_finish(World *w, int i) {
  Request *q = w->requests->pdata[i];
  Node *n = &w->nodes[q->params.node];
  world_find_budget(w, q->params.budget)->unsettled -=
      q->params.amount - q->params.consumed_tokens;
  ledger_settle(n->ledger, w->now, q->handle, q->params.consumed_tokens);
  if (w->faults.ledger.settle_twice)
    ledger_settle(n->ledger, w->now, q->handle, 0);
  if (q->params.target_unresponsive) {
    once_finish_unknown(n->once, w->now, q->handle);
    requests_conclude(w, q, WORLD_MAYBE);
    return;
  }
  OnceBill bill = {.tokens = q->params.consumed_tokens};
  OnceAnswer answer = {.status = 200, .body = (char *)"done", .len = 4};
  g_strlcpy(bill.customer, "c", sizeof bill.customer);
  g_strlcpy(bill.budget, q->params.budget, sizeof bill.budget);
  once_finish(n->once, w->now, q->handle, &bill, &answer);
}

void requests_answered(World *w, const OnceAction *a) {
  Request *q = requests_find(w, a->handle);
  if (a->duplicate) w->sums.wasted += q->params.consumed_tokens;
  requests_conclude(w, q, WORLD_DONE);
}
