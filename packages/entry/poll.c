/* poll.c: threads around the core that decides whom to ask. */
#include "entry/poll.h"

#include <pthread.h>
#include <string.h>

#include "kernel/clock.h"
#include "route/loads.h"
#include "target/engine.h"

#define TURN_US 20000  /* while requests wait for their turn */
#define IDLE_US 100000 /* else */
#define THREADS 4

struct Poll {
  Entry *entry;
  atomic_bool stop;
  pthread_t turns, asking[THREADS];
  pthread_mutex_t lock; /* of what follows */
  pthread_cond_t more;
  Loads *loads;
  GQueue asks; /* LoadsTarget* to be asked */
};

static bool running(const Poll *p) {
  return !atomic_load(&p->stop);
}

/* == asking == */

static LoadsTarget *next_ask(Poll *p) {
  pthread_mutex_lock(&p->lock);
  while (running(p) && p->asks.length == 0)
    pthread_cond_wait(&p->more, &p->lock);
  LoadsTarget *t = g_queue_pop_head(&p->asks);
  pthread_mutex_unlock(&p->lock);
  return t;
}

/* A target that hangs holds up one of a few threads for a second only. */
static void *ask_targets(void *arg) {
  Poll *p = arg;
  LoadsTarget *t;
  while ((t = next_ask(p))) {
    EngineLoad load = {0};
    double path;
    bool ok = engine_get_load(t->url, &load, &path);
    pools_report(p->entry->pools, t->pool, t->name, ok, load.running,
                 load.waiting, path);
    pthread_mutex_lock(&p->lock);
    loads_apply_answer(p->loads, clock_now(), t->name, ok, load.running,
                       load.waiting);
    pthread_mutex_unlock(&p->lock);
    g_free(t);
  }
  return NULL;
}

/* == telling == */

static void on_load(void *ctx, const LoadsMsg *m) {
  Poll *p = ctx;
  LoadsTarget t;
  pthread_mutex_lock(&p->lock);
  const LoadsTarget *x = loads_apply_message(p->loads, clock_now(), m);
  if (x) t = *x;
  pthread_mutex_unlock(&p->lock);
  if (x)
    pools_report(p->entry->pools, t.pool, t.name, true, m->running, m->waiting,
                 ROUTE_PATH_UNKNOWN);
}

static void plan(Poll *p) {
  LoadsTarget t;
  LoadsMsg m;
  double now = clock_now();
  GArray *words = g_array_new(FALSE, FALSE, sizeof(LoadsMsg));
  pthread_mutex_lock(&p->lock);
  while (loads_next_query(p->loads, now, &t)) {
    g_queue_push_tail(&p->asks, g_memdup2(&t, sizeof t));
    pthread_cond_signal(&p->more);
  }
  while (loads_next_message(p->loads, now, &m)) g_array_append_val(words, m);
  pthread_mutex_unlock(&p->lock);
  for (guint i = 0; i < words->len; i++)
    fleet_send_load(p->entry->fleet, &g_array_index(words, LoadsMsg, i));
  g_array_free(words, TRUE);
}

static void *take_turns(void *arg) {
  Poll *p = arg;
  double next = 0;
  while (running(p)) {
    bool waiting = pools_tick(p->entry->pools);
    if (clock_now() >= next) {
      plan(p);
      next = clock_now() + IDLE_US / 1e6;
    }
    g_usleep(waiting ? TURN_US : IDLE_US);
  }
  return NULL;
}

/* == open and close == */

static void add_target(void *ctx, const char *pool, const RouteState *s) {
  LoadsTarget t = {0};
  g_strlcpy(t.name, s->target.name, sizeof t.name);
  g_strlcpy(t.url, s->target.url, sizeof t.url);
  g_strlcpy(t.dc, s->target.dc, sizeof t.dc);
  g_strlcpy(t.pool, pool, sizeof t.pool);
  g_array_append_val((GArray *)ctx, t);
}

void poll_targets(Poll *p) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(LoadsTarget));
  pools_each(p->entry->pools, add_target, list);
  pthread_mutex_lock(&p->lock);
  loads_set_targets(p->loads, (LoadsTarget *)(void *)list->data,
                    (int)list->len);
  pthread_mutex_unlock(&p->lock);
  g_array_free(list, TRUE);
}

void poll_view(Poll *p, const View *v) {
  pthread_mutex_lock(&p->lock);
  loads_set_view(p->loads, v);
  pthread_mutex_unlock(&p->lock);
}

Poll *poll_open(Entry *e) {
  Poll *p = g_new0(Poll, 1);
  p->entry = e;
  p->loads = loads_new(e->options.instance);
  g_queue_init(&p->asks);
  pthread_mutex_init(&p->lock, NULL);
  pthread_cond_init(&p->more, NULL);
  fleet_on_load(e->fleet, on_load, p);
  pthread_create(&p->turns, NULL, take_turns, p);
  for (int i = 0; i < THREADS; i++)
    pthread_create(&p->asking[i], NULL, ask_targets, p);
  return p;
}

void poll_close(Poll *p) {
  fleet_on_load(p->entry->fleet, NULL, NULL);
  atomic_store(&p->stop, true);
  pthread_join(p->turns, NULL);
  pthread_mutex_lock(&p->lock);
  pthread_cond_broadcast(&p->more);
  pthread_mutex_unlock(&p->lock);
  for (int i = 0; i < THREADS; i++) pthread_join(p->asking[i], NULL);
  g_queue_clear_full(&p->asks, g_free);
  loads_free(p->loads);
  pthread_cond_destroy(&p->more);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}
