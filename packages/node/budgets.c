/* budgets.c: one call to the store for each budget at a time. */
#include "node/budgets.h"

#include <string.h>

#include "kernel/log.h"
#include "platform/document.h"

#define KIND "budgets" /* of our own, in the platform's store */
#define CALLS_MOST 8   /* at once, of one instance */

struct Budgets {
  struct ev_loop *loop;
  Store *store;
  Leases *leases;
  int calls;
  void (*changed)(void *ctx);
  void *ctx;
};

typedef struct BudgetCall {
  Budgets *set;
  char *customer;
  bool write;
} BudgetCall;

static void log_result(const BudgetCall *c, ErrKind kind) {
  LeaseState s = leases_state(c->set->leases, c->customer);
  log_info("budget", "s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I", "customer", c->customer,
           "call", c->write ? "write" : "read", "outcome",
           err_info(kind)->name, "budget", (json_int_t)s.budget, "given",
           (json_int_t)s.given, "free", (json_int_t)s.free, "reserved",
           (json_int_t)s.reserved, "settled", (json_int_t)s.settled);
}

static void on_done(void *ctx, const StoreAnswer *a) {
  BudgetCall *c = ctx;
  Budgets *b = c->set;
  Document d = {0};
  if (a->body) document_read(a->body, &d);
  b->calls--;
  leases_result(b->leases, ev_now(b->loop), c->customer, a->kind, d.revision,
                d.content);
  log_result(c, a->kind);
  g_free(c->customer);
  g_free(c);
  b->changed(b->ctx);
  budgets_run(b);
}

static void start(Budgets *b, const LeaseCall *call) {
  BudgetCall *c = g_new0(BudgetCall, 1);
  c->set = b;
  c->customer = g_strdup(call->customer);
  c->write = call->kind == LEASE_WRITE;
  b->calls++;
  if (c->write)
    store_put(b->store, KIND, c->customer, call->revision, call->content,
              on_done, c);
  else
    store_get(b->store, KIND, c->customer, on_done, c);
}

void budgets_run(Budgets *b) {
  LeaseCall call;
  while (b->calls < CALLS_MOST &&
         leases_call(b->leases, ev_now(b->loop), &call))
    start(b, &call);
}

Budgets *budgets_open(struct ev_loop *loop, Store *store, Leases *leases,
                      void (*changed)(void *ctx), void *ctx) {
  Budgets *b = g_new0(Budgets, 1);
  b->loop = loop;
  b->store = store;
  b->leases = leases;
  b->changed = changed;
  b->ctx = ctx;
  return b;
}
