/* poll.c: the threads that dispatch waiting requests and query targets. The
   logic of route/loads.h decides which targets this instance queries. */
#include "entry/poll.h"

#include <pthread.h>
#include <string.h>

#include "kernel/clock.h"
#include "route/loads.h"
#include "target/engine.h"

/* The dispatch thread sleeps for one of these between two passes: the first
   while requests are queued, otherwise the second, which is also the interval
   at which it schedules queries. */
#define DISPATCH_INTERVAL_US 20000
#define IDLE_INTERVAL_US 100000
#define QUERY_THREAD_COUNT 4

struct Poller {
  Entry *entry;
  atomic_bool stop;
  pthread_t dispatch_thread, query_threads[QUERY_THREAD_COUNT];
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t query_added;
  Loads *loads;
  GQueue queries; /* LoadsTarget *: targets to query */
};

static bool is_running(const Poller *p) {
  return !atomic_load(&p->stop);
}

/* == queries == */

static LoadsTarget *wait_for_query(Poller *p) {
  pthread_mutex_lock(&p->lock);
  while (is_running(p) && p->queries.length == 0)
    pthread_cond_wait(&p->query_added, &p->lock);
  LoadsTarget *t = g_queue_pop_head(&p->queries);
  pthread_mutex_unlock(&p->lock);
  return t;
}

/* Runs in several threads, so that a target that does not answer delays the
   queries of the others only a little. engine_get_load gives up after about a
   second. */
static void *query_targets(void *arg) {
  Poller *p = arg;
  LoadsTarget *t;
  while ((t = wait_for_query(p))) {
    EngineLoad load = {0};
    double round_trip_s;
    bool answered = engine_get_load(t->url, &load, &round_trip_s);
    pools_report_load(p->entry->pools, t->pool, t->name, answered, load.running,
                      load.waiting, round_trip_s);
    pthread_mutex_lock(&p->lock);
    loads_apply_answer(p->loads, clock_now(), t->name, answered, load.running,
                       load.waiting);
    pthread_mutex_unlock(&p->lock);
    g_free(t);
  }
  return NULL;
}

/* == messages == */

/* Called for each load message from another instance. */
static void receive_load(void *ctx, const LoadsMsg *m) {
  Poller *p = ctx;
  LoadsTarget t;
  pthread_mutex_lock(&p->lock);
  const LoadsTarget *target = loads_apply_message(p->loads, clock_now(), m);
  if (target) t = *target;
  pthread_mutex_unlock(&p->lock);
  if (target)
    pools_report_load(p->entry->pools, t.pool, t.name, true, m->running,
                      m->waiting, ROUTE_PATH_UNKNOWN);
}

/* Queues the queries that are due for the query threads and sends the load
   messages that are due to the other instances. */
static void schedule_queries(Poller *p) {
  LoadsTarget t;
  LoadsMsg m;
  double now = clock_now();
  GArray *messages = g_array_new(FALSE, FALSE, sizeof(LoadsMsg));
  pthread_mutex_lock(&p->lock);
  while (loads_next_query(p->loads, now, &t)) {
    g_queue_push_tail(&p->queries, g_memdup2(&t, sizeof t));
    pthread_cond_signal(&p->query_added);
  }
  while (loads_next_message(p->loads, now, &m)) g_array_append_val(messages, m);
  pthread_mutex_unlock(&p->lock);
  for (guint i = 0; i < messages->len; i++)
    fleet_send_load(p->entry->fleet, &g_array_index(messages, LoadsMsg, i));
  g_array_free(messages, TRUE);
}

static void *dispatch_requests(void *arg) {
  Poller *p = arg;
  double next_schedule_at = 0;
  while (is_running(p)) {
    bool has_waiting = pools_dispatch_waiting(p->entry->pools);
    if (clock_now() >= next_schedule_at) {
      schedule_queries(p);
      next_schedule_at = clock_now() + IDLE_INTERVAL_US / 1e6;
    }
    g_usleep(has_waiting ? DISPATCH_INTERVAL_US : IDLE_INTERVAL_US);
  }
  return NULL;
}

/* == open and close == */

static void append_target(void *ctx, const char *pool, const RouteState *s) {
  LoadsTarget t = {0};
  g_strlcpy(t.name, s->target.name, sizeof t.name);
  g_strlcpy(t.url, s->target.url, sizeof t.url);
  g_strlcpy(t.dc, s->target.dc, sizeof t.dc);
  g_strlcpy(t.pool, pool, sizeof t.pool);
  g_array_append_val((GArray *)ctx, t);
}

void poller_set_targets(Poller *p) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(LoadsTarget));
  pools_visit_targets(p->entry->pools, append_target, list);
  pthread_mutex_lock(&p->lock);
  loads_set_targets(p->loads, (LoadsTarget *)(void *)list->data,
                    (int)list->len);
  pthread_mutex_unlock(&p->lock);
  g_array_free(list, TRUE);
}

void poller_set_view(Poller *p, const View *v) {
  pthread_mutex_lock(&p->lock);
  loads_set_view(p->loads, v);
  pthread_mutex_unlock(&p->lock);
}

Poller *poller_open(Entry *e) {
  Poller *p = g_new0(Poller, 1);
  p->entry = e;
  p->loads = loads_new(e->options.instance);
  g_queue_init(&p->queries);
  pthread_mutex_init(&p->lock, NULL);
  pthread_cond_init(&p->query_added, NULL);
  fleet_on_load(e->fleet, receive_load, p);
  pthread_create(&p->dispatch_thread, NULL, dispatch_requests, p);
  for (int i = 0; i < QUERY_THREAD_COUNT; i++)
    pthread_create(&p->query_threads[i], NULL, query_targets, p);
  return p;
}

void poller_close(Poller *p) {
  fleet_on_load(p->entry->fleet, NULL, NULL);
  atomic_store(&p->stop, true);
  pthread_join(p->dispatch_thread, NULL);
  pthread_mutex_lock(&p->lock);
  pthread_cond_broadcast(&p->query_added);
  pthread_mutex_unlock(&p->lock);
  for (int i = 0; i < QUERY_THREAD_COUNT; i++)
    pthread_join(p->query_threads[i], NULL);
  g_queue_clear_full(&p->queries, g_free);
  loads_free(p->loads);
  pthread_cond_destroy(&p->query_added);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}
