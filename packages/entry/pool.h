/* pool.h: queue and targets of one model or plain service, shared by request
   threads. */
#ifndef ENTRY_POOL_H
#define ENTRY_POOL_H

#include "kernel/err.h"
#include "place/plan.h"
#include "queue/queue.h"
#include "route/route.h"
#include "table/table.h"

typedef struct Pool Pool;
typedef struct Pools Pools;

Pools *pools_new(uint32_t seed);
void pools_free(Pools *p);
/* NULL when no target of the table serves it. */
Pool *pools_find(Pools *p, const char *name);
/* Brings the targets to what the table says. */
void pools_table(Pools *p, const Table *t);
/* How many instances there are. */
void pools_peers(Pools *p, int n);
/* The platform's word on one target. */
void pools_leaving(Pools *p, const char *target, bool leaving);
/* Lets waits end and turns come; true while somebody waits: then call again
   within 20 ms. */
bool pools_tick(Pools *p);
/* Called for a target of a pool, outside any lock of the request path. */
typedef void PoolVisit(void *ctx, const char *pool, const RouteState *s);
void pool_each(Pool *p, PoolVisit *fn, void *ctx);
void pools_each(Pools *p, PoolVisit *fn, void *ctx);
/* Names of the pools of models, which last as long as `p`; g_list_free. */
GList *pools_models(Pools *p);
void pools_report(Pools *p, const char *pool, const char *target, bool heard,
                  int running, int waiting, double path_s);

/* Requests that asked for an adapter since the last call. */
int pool_asked(Pool *p, const char *adapter);
/* Which adapters its targets have loaded by order. */
void pool_given(Pool *p, const Plan *plan);

/* A request in a pool. */
typedef struct PoolTicket {
  QueueItem item;
  RouteRequest ask;
  RouteChoice choice;
  double queued_s; /* how long it waited */
} PoolTicket;

/* Waits for the turn and a target. False with a typed error when refused. */
bool pool_enter(Pool *p, PoolTicket *t, Err *e);
/* Another target for a request that certainly did not run, or that may be
   repeated. False when the retry budget is spent or no target is left. */
bool pool_again(Pool *p, PoolTicket *t);
/* One dispatch is over. */
void pool_done(Pool *p, const PoolTicket *t, RouteOutcome outcome,
               double first_s, double all_s);
/* The request is over; `tokens` used. */
void pool_leave(Pool *p, const PoolTicket *t, int64_t tokens);

#endif
