/* demand.c: counts requests of managed services for the division of their
   capacity between customers (route/allocation.h). */
#include "flow/run.h"
#include "kernel/text.h"
#include "route/allocation.h"

int run_priority(const Run *x) {
  if (!x->service || !x->service->engine) return -1;
  int customer = x->customer ? x->customer->priority : -1;
  if (customer < 0) return x->route->priority;
  return customer * ALLOCATION_ROUTE_PRIORITIES +
         MIN(x->route->priority, ALLOCATION_ROUTE_PRIORITIES - 1);
}

static AllocationsDecision decision_of(const Run *x) {
  return (AllocationsDecision){.service = text_hash(x->service_name),
                               .customer = run_customer_hash(x),
                               .priority = run_priority(x),
                               .prompt_tokens = x->request.prompt_tokens,
                               .unread_tokens = -1};
}

void run_note_admitted(const Run *x) {
  if (!run_is_managed(x, MANAGED_SHARES)) return;
  AllocationsDecision d = decision_of(x);
  d.unread_tokens = x->choice.uncached_tokens;
  d.admitted = true;
  cluster_note_decision(x->relay->cluster, &d);
}

/* Whether the request failed because its service takes no more. */
static bool is_short_of_capacity(const Run *x, const Err *e) {
  bool known = x->service && !x->maybe_ran && !x->head_sent;
  return known && (e->kind == ERR_OVERLOADED || e->kind == ERR_NO_TARGET);
}

void run_note_rejected(const Run *x, const Err *e) {
  if (!is_short_of_capacity(x, e) || !run_is_managed(x, MANAGED_SHARES)) return;
  AllocationsDecision d = decision_of(x);
  double left_s = x->deadline - run_now(x);
  d.admitted = x->n_tried > 0;
  d.rejected = true;
  d.retry_promised = e->retry_ms > 0 && e->retry_ms / 1000.0 <=
                                            left_s / RUN_RETRY_DEADLINE_DIVISOR;
  cluster_note_decision(x->relay->cluster, &d);
}
