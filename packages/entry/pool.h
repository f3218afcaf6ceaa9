/* pool.h: pools. A pool holds the queue and the targets of one model or plain
   service; the threads of all requests share it. */
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
/* Returns NULL if no target of the table serves `name`. */
Pool *pools_find(Pools *p, const char *name);
/* Updates the targets of all pools from the table. */
void pools_set_table(Pools *p, const Table *t);
/* `n`: number of live instances. */
void pools_set_instance_count(Pools *p, int n);
/* Sets whether the platform lists the target as leaving. */
void pools_set_target_leaving(Pools *p, const char *target, bool leaving);
/* Dispatches queued requests and ends waits that are over. Returns true if
   requests are still queued; then call it again within 20 ms. */
bool pools_dispatch_waiting(Pools *p);
/* Called for each target of a pool, without holding a lock. */
typedef void PoolTargetVisitor(void *ctx, const char *pool,
                               const RouteState *s);
void pool_visit_targets(Pool *p, PoolTargetVisitor *fn, void *ctx);
void pools_visit_targets(Pools *p, PoolTargetVisitor *fn, void *ctx);
/* The process is about to exit: refuses what waits, which has not run, and all
   further requests. */
void pools_refuse_waiting(Pools *p);
/* Returns the names of the pools of models. Free the list with g_list_free; the
   names stay valid as long as `p`. */
GList *pools_list_models(Pools *p);
/* Records the result of a load query. `has_answered`: the target responded. */
void pools_report_load(Pools *p, const char *pool, const char *target,
                       bool has_answered, int running, int waiting,
                       double path_s);

/* Returns the number of requests for an adapter since the last call. */
int pool_take_adapter_demand(Pool *p, const char *adapter);
/* Sets the adapters of the targets to those that `plan` marks as loaded. */
void pool_set_adapters(Pool *p, const Plan *plan);

/* A request in a pool. */
typedef struct PoolTicket {
  QueueItem item;
  RouteRequest route_request;
  RouteChoice choice;
  double queued_s; /* time spent in the queue */
} PoolTicket;

/* Waits in the queue and chooses a target. Returns false with a typed error if
   the request is refused. */
bool pool_enter(Pool *p, PoolTicket *t, Err *e);
/* Chooses another target, for a request that certainly did not run or that may
   be repeated. Returns false if the retry budget is spent or no target is
   left. */
bool pool_retry(Pool *p, PoolTicket *t);
/* Records the end of a dispatch, with the times to the first byte and to the
   end. */
void pool_end_dispatch(Pool *p, const PoolTicket *t, RouteOutcome outcome,
                       double first_s, double all_s);
/* Records the end of the request, which used `tokens`. */
void pool_leave(Pool *p, const PoolTicket *t, int64_t tokens);

#endif
