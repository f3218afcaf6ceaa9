/* pool.c: makes the queue and the routing of a pool usable from many threads,
   with a lock and condition variables. */
#include "entry/pool.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "kernel/clock.h"
#include "kernel/count.h"

typedef struct PoolWaiter {
  pthread_cond_t ready;
  PoolTicket *ticket;
  bool done;
  ErrKind refused;
  int retry_ms;
} PoolWaiter;

#define STOP_RETRY_MS 1000 /* until other instances get all requests */

struct Pool {
  char name[LIMIT_NAME_BYTES + 8];
  pthread_mutex_t lock;
  Queue *queue;
  Route *route;
  GHashTable *waiters; /* handle -> PoolWaiter */
  /* adapter -> requests since the last pool_take_adapter_demand */
  GHashTable *adapter_requests;
  uint64_t last_handle;
  bool is_closed;            /* dispatches nothing more */
  int64_t counted_ejections; /* ejections already added to COUNT_EJECTED */
};

struct Pools {
  pthread_mutex_t lock; /* guards `pools_by_name`; pools are never removed */
  GHashTable *pools_by_name;
  uint32_t seed;
};

/* == one pool == */

static Pool *pool_new(const char *name, uint32_t seed) {
  Pool *p = g_new0(Pool, 1);
  g_strlcpy(p->name, name, sizeof p->name);
  pthread_mutex_init(&p->lock, NULL);
  p->queue = queue_new();
  p->route = route_new(seed, ROUTE_OURS);
  p->waiters = g_hash_table_new(g_int64_hash, g_int64_equal);
  p->adapter_requests =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return p;
}

static void pool_free(gpointer v) {
  Pool *p = v;
  queue_free(p->queue);
  route_free(p->route);
  g_hash_table_destroy(p->waiters);
  g_hash_table_destroy(p->adapter_requests);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}

static void wake_waiter(Pool *p, PoolWaiter *waiter, ErrKind refused,
                        int retry_ms) {
  g_hash_table_remove(p->waiters, &waiter->ticket->item.handle);
  waiter->refused = refused;
  waiter->retry_ms = retry_ms;
  waiter->done = true;
  pthread_cond_signal(&waiter->ready);
}

/* Dispatches queued requests while targets have room. Requires the lock. */
static void dispatch_waiting(Pool *p) {
  QueueDecision decision;
  double now = clock_now();
  count_add(COUNT_EJECTED, route_ejections(p->route) - p->counted_ejections);
  p->counted_ejections = route_ejections(p->route);
  while (!p->is_closed &&
         queue_pop(p->queue, now, route_free_slots(p->route, now),
                   route_max_rate(p->route), &decision)) {
    PoolWaiter *waiter = g_hash_table_lookup(p->waiters, &decision.handle);
    ErrKind refused = decision.refused;
    bool has_target = refused == ERR_NONE &&
                      route_pick(p->route, now, &waiter->ticket->route_request,
                                 &waiter->ticket->choice);
    if (refused == ERR_NONE && !has_target) {
      queue_done(p->queue, &waiter->ticket->item, 0);
      refused = ERR_NO_TARGET;
      decision.retry_ms = 1000;
    }
    wake_waiter(p, waiter, refused, decision.retry_ms);
  }
}

static bool has_available_target(const Pool *p, double now) {
  for (int i = 0; i < route_count(p->route); i++) {
    RouteState s = route_state(p->route, now, i);
    if (!s.leaving) return true;
  }
  return false;
}

static bool set_refusal(const Pool *p, ErrKind kind, int retry_ms, Err *e) {
  return err_retry(e, kind, retry_ms, "%s in pool %s", err_info(kind)->name,
                   p->name);
}

/* Counts each request for an adapter, whether or not it can be served. */
static void count_adapter_request(Pool *p, const char *adapter) {
  if (!adapter || !adapter[0]) return;
  int n = GPOINTER_TO_INT(g_hash_table_lookup(p->adapter_requests, adapter));
  g_hash_table_insert(p->adapter_requests, g_strdup(adapter),
                      GINT_TO_POINTER(n + 1));
}

int pool_take_adapter_demand(Pool *p, const char *adapter) {
  pthread_mutex_lock(&p->lock);
  int n = GPOINTER_TO_INT(g_hash_table_lookup(p->adapter_requests, adapter));
  g_hash_table_remove(p->adapter_requests, adapter);
  pthread_mutex_unlock(&p->lock);
  return n;
}

void pool_set_adapters(Pool *p, const Plan *plan) {
  pthread_mutex_lock(&p->lock);
  for (int i = 0; i < route_count(p->route); i++) {
    RouteState s = route_state(p->route, 0, i);
    char list[LIMIT_ADAPTERS_BYTES] = "";
    plan_list_adapters(plan, s.target.name, 1 << PLAN_LOADED, list);
    route_set_assigned_adapters(p->route, s.target.name, list);
  }
  dispatch_waiting(p);
  pthread_mutex_unlock(&p->lock);
}

bool pool_enter(Pool *p, PoolTicket *t, Err *e) {
  double now = clock_now();
  PoolWaiter waiter = {.ticket = t};
  int retry_ms = 1000;
  pthread_mutex_lock(&p->lock);
  t->item.handle = ++p->last_handle;
  count_adapter_request(p, t->route_request.adapter);
  ErrKind refused = p->is_closed ? ERR_DRAINING : ERR_NO_TARGET;
  if (!p->is_closed && has_available_target(p, now))
    refused = queue_push(p->queue, now, &t->item, route_max_rate(p->route),
                         &retry_ms);
  if (refused == ERR_NONE) {
    pthread_cond_init(&waiter.ready, NULL);
    g_hash_table_insert(p->waiters, &t->item.handle, &waiter);
    dispatch_waiting(p);
    while (!waiter.done) pthread_cond_wait(&waiter.ready, &p->lock);
    pthread_cond_destroy(&waiter.ready);
    refused = waiter.refused;
    retry_ms = waiter.retry_ms;
  }
  pthread_mutex_unlock(&p->lock);
  t->queued_s = clock_now() - now;
  return refused == ERR_NONE || set_refusal(p, refused, retry_ms, e);
}

static void refuse_waiting(Pool *p) {
  pthread_mutex_lock(&p->lock);
  p->is_closed = true;
  GList *waiters = g_hash_table_get_values(p->waiters);
  for (GList *i = waiters; i; i = i->next)
    wake_waiter(p, i->data, ERR_DRAINING, STOP_RETRY_MS);
  g_list_free(waiters);
  pthread_mutex_unlock(&p->lock);
}

void pools_refuse_waiting(Pools *p) {
  GHashTableIter it;
  gpointer v;
  pthread_mutex_lock(&p->lock);
  g_hash_table_iter_init(&it, p->pools_by_name);
  while (g_hash_table_iter_next(&it, NULL, &v)) refuse_waiting(v);
  pthread_mutex_unlock(&p->lock);
}

bool pool_retry(Pool *p, PoolTicket *t) {
  double now = clock_now();
  int n = 0;
  while (n < 4 && t->route_request.tried[n]) n++;
  if (n >= 3) return false;
  pthread_mutex_lock(&p->lock);
  t->route_request.tried[n] = g_intern_string(t->choice.name);
  bool ok = route_may_retry(p->route, t->item.customer, t->choice.name) &&
            route_pick(p->route, now, &t->route_request, &t->choice);
  pthread_mutex_unlock(&p->lock);
  if (ok) count_add(COUNT_RETRIES, 1);
  return ok;
}

void pool_end_dispatch(Pool *p, const PoolTicket *t, RouteOutcome outcome,
                       double first_s, double all_s) {
  pthread_mutex_lock(&p->lock);
  route_note_done(p->route, clock_now(), t->choice.name, outcome,
                  t->route_request.tokens - t->choice.cached, first_s, all_s);
  if (outcome == ROUTE_OK) route_note_success(p->route, t->item.customer);
  dispatch_waiting(p);
  pthread_mutex_unlock(&p->lock);
}

void pool_leave(Pool *p, const PoolTicket *t, int64_t tokens) {
  pthread_mutex_lock(&p->lock);
  queue_done(p->queue, &t->item, tokens);
  pthread_mutex_unlock(&p->lock);
}

/* == all pools == */

Pools *pools_new(uint32_t seed) {
  Pools *p = g_new0(Pools, 1);
  p->seed = seed;
  pthread_mutex_init(&p->lock, NULL);
  p->pools_by_name =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
  return p;
}

void pools_free(Pools *p) {
  g_hash_table_destroy(p->pools_by_name);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}

Pool *pools_find(Pools *p, const char *name) {
  pthread_mutex_lock(&p->lock);
  Pool *pool = g_hash_table_lookup(p->pools_by_name, name);
  pthread_mutex_unlock(&p->lock);
  return pool;
}

/* Returns a list of all pools, which stays valid since pools are never
   removed. */
static GList *list_pools(Pools *p) {
  pthread_mutex_lock(&p->lock);
  GList *all = g_hash_table_get_values(p->pools_by_name);
  pthread_mutex_unlock(&p->lock);
  return all;
}

static void format_pool_name(const TableRow *r, char *out, size_t n) {
  bool model = r->cells[TABLE_MODEL][0];
  snprintf(out, n, "%s/%s", model ? "model" : "service",
           r->cells[model ? TABLE_MODEL : TABLE_SERVES]);
}

static void add_pools(Pools *p, const Table *t) {
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    char name[LIMIT_NAME_BYTES + 8];
    if (r->kind != TABLE_TARGET) continue;
    format_pool_name(r, name, sizeof name);
    pthread_mutex_lock(&p->lock);
    if (!g_hash_table_contains(p->pools_by_name, name)) {
      Pool *pool = pool_new(name, ++p->seed);
      g_hash_table_insert(p->pools_by_name, pool->name, pool);
    }
    pthread_mutex_unlock(&p->lock);
  }
}

static void set_targets(Pool *p, const Table *t) {
  GArray *list = g_array_new(FALSE, TRUE, sizeof(RouteTarget));
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    char name[LIMIT_NAME_BYTES + 8];
    if (r->kind != TABLE_TARGET) continue;
    format_pool_name(r, name, sizeof name);
    if (strcmp(name, p->name) != 0) continue;
    RouteTarget x = {.slots = (int)r->numbers[TABLE_SLOTS],
                     .loadable_adapters =
                         (int)r->numbers[TABLE_MAX_LOADED_ADAPTERS]};
    g_strlcpy(x.name, r->name, sizeof x.name);
    g_strlcpy(x.url, r->cells[TABLE_URL], sizeof x.url);
    g_strlcpy(x.dc, r->cells[TABLE_DATACENTRE], sizeof x.dc);
    g_strlcpy(x.adapters, r->cells[TABLE_ADAPTER], sizeof x.adapters);
    g_strlcpy(x.version, r->cells[TABLE_VERSION], sizeof x.version);
    g_array_append_val(list, x);
  }
  pthread_mutex_lock(&p->lock);
  route_set_targets(p->route, (RouteTarget *)(void *)list->data,
                    (int)list->len);
  dispatch_waiting(p);
  pthread_mutex_unlock(&p->lock);
  g_array_free(list, TRUE);
}

void pools_set_table(Pools *p, const Table *t) {
  add_pools(p, t);
  GList *all = list_pools(p);
  for (GList *i = all; i; i = i->next) set_targets(i->data, t);
  g_list_free(all);
}

void pools_set_instance_count(Pools *p, int n) {
  GList *all = list_pools(p);
  for (GList *i = all; i; i = i->next) {
    Pool *pool = i->data;
    pthread_mutex_lock(&pool->lock);
    route_set_instances(pool->route, n);
    pthread_mutex_unlock(&pool->lock);
  }
  g_list_free(all);
}

void pools_set_target_leaving(Pools *p, const char *target, bool leaving) {
  GList *all = list_pools(p);
  for (GList *i = all; i; i = i->next) {
    Pool *pool = i->data;
    pthread_mutex_lock(&pool->lock);
    route_set_leaving(pool->route, target, leaving);
    pthread_mutex_unlock(&pool->lock);
  }
  g_list_free(all);
}

bool pools_dispatch_waiting(Pools *p) {
  GList *all = list_pools(p);
  bool waiting = false;
  for (GList *i = all; i; i = i->next) {
    Pool *pool = i->data;
    pthread_mutex_lock(&pool->lock);
    dispatch_waiting(pool);
    waiting |= queue_length(pool->queue) > 0;
    pthread_mutex_unlock(&pool->lock);
  }
  g_list_free(all);
  return waiting;
}

void pool_visit_targets(Pool *p, PoolTargetVisitor *fn, void *ctx) {
  for (int k = 0;; k++) {
    pthread_mutex_lock(&p->lock);
    bool ok = k < route_count(p->route);
    RouteState s = {0};
    if (ok) s = route_state(p->route, clock_now(), k);
    pthread_mutex_unlock(&p->lock);
    if (!ok) return;
    fn(ctx, p->name, &s);
  }
}

void pools_visit_targets(Pools *p, PoolTargetVisitor *fn, void *ctx) {
  GList *all = list_pools(p);
  for (GList *i = all; i; i = i->next) pool_visit_targets(i->data, fn, ctx);
  g_list_free(all);
}

GList *pools_list_models(Pools *p) {
  GList *all = list_pools(p), *models = NULL;
  for (GList *i = all; i; i = i->next) {
    Pool *pool = i->data;
    if (g_str_has_prefix(pool->name, "model/"))
      models = g_list_prepend(models, pool->name);
  }
  g_list_free(all);
  return models;
}

void pools_report_load(Pools *p, const char *name, const char *target,
                       bool has_answered, int running, int waiting,
                       double path_s) {
  Pool *pool = pools_find(p, name);
  if (!pool) return;
  pthread_mutex_lock(&pool->lock);
  if (has_answered)
    route_apply_load(pool->route, clock_now(), target, running, waiting,
                     path_s);
  else
    route_note_unresponsive(pool->route, clock_now(), target);
  dispatch_waiting(pool);
  pthread_mutex_unlock(&pool->lock);
}
