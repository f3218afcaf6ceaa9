/* placer.c: the threads that run the placement logic of place/place.h. One
   watches the plans in the store. The other checks the pools and carries out
   the actions that the logic requests. */
#include "entry/placer.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "place/place.h"
#include "store/platform.h"
#include "target/engine.h"

#define PLAN_PREFIX "place/"
#define WATCH_TIMEOUT_S 10     /* how long the store holds a watch open */
#define STORE_TIMEOUT_S 15     /* must exceed WATCH_TIMEOUT_S */
#define STORE_CALL_TIMEOUT_S 3 /* of any other call */
#define SLEEP_STEP_US 200000
#define UPDATE_INTERVAL_S 1.0
/* All plans are listed at this interval, since a watch may miss events. */
#define LIST_INTERVAL_S 30.0

/* A pool whose targets can be ordered to load adapters. */
typedef struct PlacePool {
  char name[LIMIT_NAME_BYTES + 8];
  Place *core;      /* used by the update thread only */
  Plan *plan;       /* newest plan that was read; guarded by the lock */
  uint64_t version; /* version of `plan`; guarded by the lock */
  /* Versions of the plan and the table that the targets were last set from. */
  uint64_t applied_version, table_version;
} PlacePool;

struct Placer {
  Entry *entry;
  atomic_bool stop;
  pthread_t watch_thread, update_thread;
  pthread_mutex_t lock; /* guards `pools` and their plans */
  GHashTable *pools;    /* name -> PlacePool; entries are never removed */
};

static bool is_running(const Placer *p) {
  return !atomic_load(&p->stop);
}

/* == plans == */

static void place_pool_free(gpointer v) {
  PlacePool *pp = v;
  place_free(pp->core);
  plan_free(pp->plan);
  g_free(pp);
}

/* Adds the pool if it is absent. Requires the lock. */
static PlacePool *find_pool(Placer *p, const char *name) {
  PlacePool *pp = g_hash_table_lookup(p->pools, name);
  if (pp) return pp;
  pp = g_new0(PlacePool, 1);
  g_strlcpy(pp->name, name, sizeof pp->name);
  pp->core = place_new();
  pp->plan = plan_new();
  g_hash_table_insert(p->pools, pp->name, pp);
  return pp;
}

/* Replaces the plan of a pool if `version` is newer, so that a stale read has
   no effect. */
static void adopt_plan(Placer *p, const char *name, uint64_t version,
                       const char *text) {
  Plan *plan = plan_parse(text);
  if (!plan) return;
  pthread_mutex_lock(&p->lock);
  PlacePool *pp = find_pool(p, name);
  bool newer = version > pp->version;
  if (newer) {
    Plan *old = pp->plan;
    pp->plan = plan;
    pp->version = version;
    plan = old;
  }
  pthread_mutex_unlock(&p->lock);
  plan_free(plan);
}

static void fetch_plan(Placer *p, Platform *store, const char *object) {
  PlatformAnswer a = platform_get(store, object);
  if (a.kind == ERR_NONE)
    adopt_plan(p, object + strlen(PLAN_PREFIX), a.version, a.text);
  g_free(a.text);
}

/* Reads the plans that have a newer version in `list` than in memory. */
static void fetch_newer_plans(Placer *p, Platform *store, json_t *list) {
  size_t i;
  json_t *o;
  json_array_foreach(list, i, o) {
    const char *name = json_string_value(json_object_get(o, "name"));
    json_int_t v = json_integer_value(json_object_get(o, "version"));
    if (!name || !g_str_has_prefix(name, PLAN_PREFIX)) continue;
    pthread_mutex_lock(&p->lock);
    const PlacePool *pp =
        g_hash_table_lookup(p->pools, name + strlen(PLAN_PREFIX));
    bool newer = !pp || (uint64_t)v > pp->version;
    pthread_mutex_unlock(&p->lock);
    if (newer) fetch_plan(p, store, name);
  }
}

static void sleep_while_running(const Placer *p, double seconds) {
  for (double end = clock_now() + seconds; is_running(p) && clock_now() < end;)
    g_usleep(SLEEP_STEP_US);
}

static void *watch_plans(void *arg) {
  Placer *p = arg;
  Platform *store = platform_open(p->entry->options.platform, STORE_TIMEOUT_S);
  uint64_t revision = 0;
  double listed_at = 0;
  while (is_running(p)) {
    bool list = clock_now() - listed_at >= LIST_INTERVAL_S;
    PlatformAnswer a =
        list ? platform_list(store, PLAN_PREFIX)
             : platform_watch(store, PLAN_PREFIX, revision, WATCH_TIMEOUT_S);
    json_t *o = a.text ? json_loads(a.text, 0, NULL) : NULL;
    if (a.kind != ERR_NONE || !o) {
      sleep_while_running(p, 1);
    } else if (list) {
      fetch_newer_plans(p, store, o);
      listed_at = clock_now();
    } else {
      json_int_t now = json_integer_value(json_object_get(o, "revision"));
      fetch_newer_plans(p, store, json_object_get(o, "changed"));
      revision = (uint64_t)now;
    }
    json_decref(o);
    g_free(a.text);
  }
  platform_close(store);
  return NULL;
}

/* == state of a pool == */

typedef struct PoolState {
  char pool[LIMIT_NAME_BYTES + 8];
  GArray *targets;      /* PlaceTarget */
  GArray *requirements; /* PlaceRequirement */
  bool is_managed;      /* some target can be ordered to load adapters */
} PoolState;

static void free_pool_state(PoolState *state) {
  g_array_free(state->targets, TRUE);
  g_array_free(state->requirements, TRUE);
  g_free(state);
}

static void append_target(void *ctx, const char *pool, const RouteState *s) {
  PoolState *state = ctx;
  (void)pool;
  PlaceTarget t = {.slots = s->target.slots,
                   .max_adapters = s->target.loadable_adapters,
                   .running = s->running,
                   .waiting = s->waiting,
                   .live = !s->leaving && !s->ejected};
  g_strlcpy(t.name, s->target.name, sizeof t.name);
  g_strlcpy(t.url, s->target.url, sizeof t.url);
  g_strlcpy(t.configured, s->target.adapters, sizeof t.configured);
  state->is_managed |= t.max_adapters > 0;
  g_array_append_val(state->targets, t);
}

static PlaceRequirement *find_requirement(const PoolState *state,
                                          const char *adapter) {
  for (guint i = 0; i < state->requirements->len; i++) {
    PlaceRequirement *w =
        &g_array_index(state->requirements, PlaceRequirement, i);
    if (strcmp(w->adapter, adapter) == 0) return w;
  }
  return NULL;
}

/* Adds a requirement for each adapter that a service of the pool uses. If
   services share an adapter, the larger limits apply. */
static void add_requirements(void *ctx, const Table *t) {
  PoolState *state = ctx;
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    bool uses_adapter =
        r->kind == TABLE_SERVICE && r->cells[TABLE_ADAPTER][0] &&
        strcmp(r->cells[TABLE_MODEL], state->pool + strlen("model/")) == 0;
    if (!uses_adapter) continue;
    PlaceRequirement w = {.min_targets = (int)r->numbers[TABLE_MIN_TARGETS],
                          .max_targets = (int)r->numbers[TABLE_MAX_TARGETS]};
    g_strlcpy(w.adapter, r->cells[TABLE_ADAPTER], sizeof w.adapter);
    PlaceRequirement *have = find_requirement(state, w.adapter);
    if (!have) {
      g_array_append_val(state->requirements, w);
      continue;
    }
    have->min_targets = MAX(have->min_targets, w.min_targets);
    bool all = have->max_targets == 0 || w.max_targets == 0;
    have->max_targets = all ? 0 : MAX(have->max_targets, w.max_targets);
  }
}

static PoolState *inspect_pool(Placer *p, const char *pool) {
  PoolState *state = g_new0(PoolState, 1);
  g_strlcpy(state->pool, pool, sizeof state->pool);
  state->targets = g_array_new(FALSE, TRUE, sizeof(PlaceTarget));
  state->requirements = g_array_new(FALSE, TRUE, sizeof(PlaceRequirement));
  Pool *x = pools_find(p->entry->pools, pool);
  pool_visit_targets(x, append_target, state);
  snapshots_read(p->entry->snapshots, add_requirements, state);
  for (guint i = 0; i < state->requirements->len; i++) {
    PlaceRequirement *w =
        &g_array_index(state->requirements, PlaceRequirement, i);
    w->recent_requests = pool_take_adapter_demand(x, w->adapter);
  }
  return state;
}

/* == actions == */

static void object_name(const PlacePool *pp, char *out, size_t n) {
  g_strlcpy(out, PLAN_PREFIX, n);
  g_strlcat(out, pp->name, n);
}

static void run_store_action(Placer *p, Platform *store, PlacePool *pp,
                             PlaceAction *a) {
  char object[128];
  bool put = a->action == PLACE_PUT_PLAN;
  object_name(pp, object, sizeof object);
  PlatformAnswer r = put ? platform_put(store, object, a->version, a->text)
                         : platform_get(store, object);
  if (put)
    log_info("place", "s:s,s:s,s:s,s:I,s:b", "pool", pp->name, "reason",
             a->reason, "plan", a->text, "version", (json_int_t)r.version,
             "kept", (int)(r.kind == ERR_NONE));
  if (r.kind == ERR_NONE)
    adopt_plan(p, pp->name, r.version, put ? a->text : r.text);
  place_on_store_result(pp->core, clock_now(), a->seq, r.kind, r.version,
                        put ? NULL : r.text);
  g_free(r.text);
}

static void run_order_action(PlacePool *pp, const PlaceAction *a) {
  static const char *const names[] = {[PLACE_DONE] = "done",
                                      [PLACE_LOADING] = "loading",
                                      [PLACE_FENCED] = "fenced",
                                      [PLACE_FAILED] = "failed"};
  PlaceOrderResult r = engine_set_adapters(a->url, a->version, a->adapters);
  count_add(COUNT_ORDERS, 1);
  if (r == PLACE_FENCED) count_add(COUNT_ORDERS_FENCED, 1);
  log_info("order", "s:s,s:s,s:s,s:I,s:s", "pool", pp->name, "target",
           a->target, "adapters", a->adapters, "fence", (json_int_t)a->version,
           "answer", names[r]);
  place_on_order_result(pp->core, clock_now(), a->target, a->version,
                        a->adapters, r);
}

static void run_actions(Placer *p, Platform *store, PlacePool *pp) {
  PlaceAction a;
  while (is_running(p) && place_next_action(pp->core, &a)) {
    if (a.action == PLACE_SEND_ORDER)
      run_order_action(pp, &a);
    else
      run_store_action(p, store, pp, &a);
    g_free(a.text);
  }
}

/* == the update thread == */

static bool is_home(const Placer *p, const View *v, const char *pool) {
  const Member *m = view_home(v, NULL, XXH64(pool, strlen(pool), 0), 0);
  return m && strcmp(m->id, p->entry->options.instance) == 0;
}

/* Sets the adapters of the pool's targets if the plan or the table has changed;
   a new table may add targets. */
static void apply_plan(Placer *p, PlacePool *pp) {
  uint64_t table_version = snapshots_version(p->entry->snapshots);
  pthread_mutex_lock(&p->lock);
  bool same =
      pp->version == pp->applied_version && table_version == pp->table_version;
  Plan *plan = same ? NULL : plan_copy(pp->plan);
  pp->applied_version = pp->version;
  pthread_mutex_unlock(&p->lock);
  pp->table_version = table_version;
  if (same) return;
  pool_set_adapters(pools_find(p->entry->pools, pp->name), plan);
  plan_free(plan);
}

/* Updates the plan if this instance is home of the pool; applies the plan in
   any case. */
static void update_pool(Placer *p, Platform *store, const View *v,
                        const char *name) {
  bool is_pool_home = is_home(p, v, name);
  PoolState *state = is_pool_home ? inspect_pool(p, name) : NULL;
  pthread_mutex_lock(&p->lock);
  PlacePool *pp = state && state->is_managed
                      ? find_pool(p, name)
                      : g_hash_table_lookup(p->pools, name);
  pthread_mutex_unlock(&p->lock);
  if (pp) place_set_home(pp->core, is_pool_home);
  if (pp && is_pool_home) {
    place_update(pp->core, clock_now(),
                 (PlaceTarget *)(void *)state->targets->data,
                 (int)state->targets->len,
                 (PlaceRequirement *)(void *)state->requirements->data,
                 (int)state->requirements->len);
    run_actions(p, store, pp);
  }
  if (pp) apply_plan(p, pp);
  if (state) free_pool_state(state);
}

static void *update_pools(void *arg) {
  Placer *p = arg;
  Platform *store =
      platform_open(p->entry->options.platform, STORE_CALL_TIMEOUT_S);
  while (is_running(p)) {
    View *v = fleet_copy_view(p->entry->fleet);
    GList *names = pools_list_models(p->entry->pools);
    for (GList *i = names; is_running(p) && i; i = i->next)
      update_pool(p, store, v, i->data);
    g_list_free(names);
    view_free(v);
    sleep_while_running(p, UPDATE_INTERVAL_S);
  }
  platform_close(store);
  return NULL;
}

/* == open and close == */

Placer *placer_open(Entry *e) {
  Placer *p = g_new0(Placer, 1);
  p->entry = e;
  pthread_mutex_init(&p->lock, NULL);
  p->pools =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, place_pool_free);
  pthread_create(&p->watch_thread, NULL, watch_plans, p);
  pthread_create(&p->update_thread, NULL, update_pools, p);
  return p;
}

void placer_close(Placer *p) {
  atomic_store(&p->stop, true);
  pthread_join(p->watch_thread, NULL);
  pthread_join(p->update_thread, NULL);
  g_hash_table_destroy(p->pools);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}
