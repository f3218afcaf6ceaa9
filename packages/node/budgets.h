/* budgets.h: carries out what the leases want of the store. */
#ifndef NODE_BUDGETS_H
#define NODE_BUDGETS_H

#include "ledger/lease.h"
#include "platform/store.h"

typedef struct Budgets Budgets;

/* `changed` is called when requests that wait should ask again. */
Budgets *budgets_open(struct ev_loop *loop, Store *store, Leases *leases,
                      void (*changed)(void *ctx), void *ctx);
/* Starts the calls that are due. */
void budgets_run(Budgets *b);

#endif
