/* placer.c: threads around the cores that place adapters. One watches the
   plans, one looks at the pools and carries out what their cores want. */
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

#define PREFIX "place/"
#define WATCH_S 10
#define STORE_WAIT_S 15 /* above WATCH_S */
#define CALL_S 3
#define STEP_US 200000
#define LOOK_S 1.0
#define LIST_S 30.0 /* a watch may miss events: all plans are listed */

/* One pool with targets that may be given adapters. */
typedef struct PlacePool {
  char name[LIMIT_NAME_BYTES + 8];
  Place *core;             /* of the deciding thread */
  Plan *plan;              /* under the lock: the newest that was read, */
  uint64_t version;        /* and its version */
  uint64_t applied, table; /* versions that the pool's targets have */
} PlacePool;

struct Placer {
  Entry *entry;
  atomic_bool stop;
  pthread_t watching, deciding;
  pthread_mutex_t lock; /* of `pools` and their plans */
  GHashTable *pools;    /* name -> PlacePool; never removed */
};

static bool running(const Placer *p) {
  return !atomic_load(&p->stop);
}

/* == plans == */

static void place_pool_free(gpointer v) {
  PlacePool *pp = v;
  place_free(pp->core);
  plan_free(pp->plan);
  g_free(pp);
}

/* Under the lock. */
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

/* Only ever to a newer plan: a stale read changes nothing. */
static void take_plan(Placer *p, const char *name, uint64_t version,
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

static void read_plan(Placer *p, Platform *store, const char *object) {
  PlatformAnswer a = platform_get(store, object);
  if (a.kind == ERR_NONE)
    take_plan(p, object + strlen(PREFIX), a.version, a.text);
  g_free(a.text);
}

/* Reads what the list has newer than we do. */
static void read_newer(Placer *p, Platform *store, json_t *list) {
  size_t i;
  json_t *o;
  json_array_foreach(list, i, o) {
    const char *name = json_string_value(json_object_get(o, "name"));
    json_int_t v = json_integer_value(json_object_get(o, "version"));
    if (!name || !g_str_has_prefix(name, PREFIX)) continue;
    pthread_mutex_lock(&p->lock);
    const PlacePool *pp = g_hash_table_lookup(p->pools, name + strlen(PREFIX));
    bool newer = !pp || (uint64_t)v > pp->version;
    pthread_mutex_unlock(&p->lock);
    if (newer) read_plan(p, store, name);
  }
}

static void rest(const Placer *p, double seconds) {
  for (double end = clock_now() + seconds; running(p) && clock_now() < end;)
    g_usleep(STEP_US);
}

static void *watch_plans(void *arg) {
  Placer *p = arg;
  Platform *store = platform_open(p->entry->options.platform, STORE_WAIT_S);
  uint64_t revision = 0;
  double listed = 0;
  while (running(p)) {
    bool list = clock_now() - listed >= LIST_S;
    PlatformAnswer a = list ? platform_list(store, PREFIX)
                            : platform_watch(store, PREFIX, revision, WATCH_S);
    json_t *o = a.text ? json_loads(a.text, 0, NULL) : NULL;
    if (a.kind != ERR_NONE || !o) {
      rest(p, 1);
    } else if (list) {
      read_newer(p, store, o);
      listed = clock_now();
    } else {
      json_int_t now = json_integer_value(json_object_get(o, "revision"));
      read_newer(p, store, json_object_get(o, "changed"));
      revision = (uint64_t)now;
    }
    json_decref(o);
    g_free(a.text);
  }
  platform_close(store);
  return NULL;
}

/* == a look at a pool == */

typedef struct Look {
  char pool[LIMIT_NAME_BYTES + 8];
  GArray *targets; /* PlaceTarget */
  GArray *wants;   /* PlaceWant */
  bool managed;    /* some target may be given adapters */
} Look;

static void look_clear(Look *l) {
  g_array_free(l->targets, TRUE);
  g_array_free(l->wants, TRUE);
  g_free(l);
}

static void add_target(void *ctx, const char *pool, const RouteState *s) {
  Look *l = ctx;
  (void)pool;
  PlaceTarget t = {.slots = s->target.slots,
                   .max_adapters = s->target.loadable_adapters,
                   .running = s->running,
                   .waiting = s->waiting,
                   .live = !s->leaving && !s->ejected};
  g_strlcpy(t.name, s->target.name, sizeof t.name);
  g_strlcpy(t.url, s->target.url, sizeof t.url);
  g_strlcpy(t.configured, s->target.adapters, sizeof t.configured);
  l->managed |= t.max_adapters > 0;
  g_array_append_val(l->targets, t);
}

static PlaceRequirement *find_want(const Look *l, const char *adapter) {
  for (guint i = 0; i < l->wants->len; i++) {
    PlaceRequirement *w = &g_array_index(l->wants, PlaceRequirement, i);
    if (strcmp(w->adapter, adapter) == 0) return w;
  }
  return NULL;
}

/* Services may share an adapter: the larger numbers count. */
static void add_wants(void *ctx, const Table *t) {
  Look *l = ctx;
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    bool ours = r->kind == TABLE_SERVICE && r->cells[TABLE_ADAPTER][0] &&
                strcmp(r->cells[TABLE_MODEL], l->pool + strlen("model/")) == 0;
    if (!ours) continue;
    PlaceRequirement w = {.min_targets = (int)r->numbers[TABLE_MIN_TARGETS],
                          .max_targets = (int)r->numbers[TABLE_MAX_TARGETS]};
    g_strlcpy(w.adapter, r->cells[TABLE_ADAPTER], sizeof w.adapter);
    PlaceRequirement *have = find_want(l, w.adapter);
    if (!have) {
      g_array_append_val(l->wants, w);
      continue;
    }
    have->min_targets = MAX(have->min_targets, w.min_targets);
    bool all = have->max_targets == 0 || w.max_targets == 0;
    have->max_targets = all ? 0 : MAX(have->max_targets, w.max_targets);
  }
}

static Look *look_at(Placer *p, const char *pool) {
  Look *l = g_new0(Look, 1);
  g_strlcpy(l->pool, pool, sizeof l->pool);
  l->targets = g_array_new(FALSE, TRUE, sizeof(PlaceTarget));
  l->wants = g_array_new(FALSE, TRUE, sizeof(PlaceRequirement));
  Pool *x = pools_find(p->entry->pools, pool);
  pool_each(x, add_target, l);
  snapshots_read(p->entry->snapshots, add_wants, l);
  for (guint i = 0; i < l->wants->len; i++) {
    PlaceRequirement *w = &g_array_index(l->wants, PlaceRequirement, i);
    w->recent_requests = pool_asked(x, w->adapter);
  }
  return l;
}

/* == actions of a core == */

static void object_name(const PlacePool *pp, char *out, size_t n) {
  g_strlcpy(out, PREFIX, n);
  g_strlcat(out, pp->name, n);
}

static void do_store(Placer *p, Platform *store, PlacePool *pp,
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
    take_plan(p, pp->name, r.version, put ? a->text : r.text);
  place_on_store_result(pp->core, clock_now(), a->seq, r.kind, r.version,
                        put ? NULL : r.text);
  g_free(r.text);
}

static void do_order(PlacePool *pp, const PlaceAction *a) {
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

static void act(Placer *p, Platform *store, PlacePool *pp) {
  PlaceAction a;
  while (running(p) && place_next_action(pp->core, &a)) {
    if (a.action == PLACE_SEND_ORDER)
      do_order(pp, &a);
    else
      do_store(p, store, pp, &a);
    g_free(a.text);
  }
}

/* == the deciding thread == */

static bool is_home(const Placer *p, const View *v, const char *pool) {
  const Member *m = view_home(v, NULL, XXH64(pool, strlen(pool), 0), 0);
  return m && strcmp(m->id, p->entry->options.instance) == 0;
}

/* Again when the table changed, too: it may have brought new targets. */
static void apply_plan(Placer *p, PlacePool *pp) {
  uint64_t table = snapshots_version(p->entry->snapshots);
  pthread_mutex_lock(&p->lock);
  bool same = pp->version == pp->applied && table == pp->table;
  Plan *plan = same ? NULL : plan_copy(pp->plan);
  pp->applied = pp->version;
  pthread_mutex_unlock(&p->lock);
  pp->table = table;
  if (same) return;
  pool_given(pools_find(p->entry->pools, pp->name), plan);
  plan_free(plan);
}

/* The home looks at its pool; the others only follow its plan. */
static void decide(Placer *p, Platform *store, const View *v,
                   const char *name) {
  bool home = is_home(p, v, name);
  Look *l = home ? look_at(p, name) : NULL;
  pthread_mutex_lock(&p->lock);
  PlacePool *pp = l && l->managed ? find_pool(p, name)
                                  : g_hash_table_lookup(p->pools, name);
  pthread_mutex_unlock(&p->lock);
  if (pp) place_set_home(pp->core, home);
  if (pp && home) {
    place_update(pp->core, clock_now(), (PlaceTarget *)(void *)l->targets->data,
                 (int)l->targets->len,
                 (PlaceRequirement *)(void *)l->wants->data,
                 (int)l->wants->len);
    act(p, store, pp);
  }
  if (pp) apply_plan(p, pp);
  if (l) look_clear(l);
}

static void *decide_all(void *arg) {
  Placer *p = arg;
  Platform *store = platform_open(p->entry->options.platform, CALL_S);
  while (running(p)) {
    View *v = fleet_copy_view(p->entry->fleet);
    GList *names = pools_models(p->entry->pools);
    for (GList *i = names; running(p) && i; i = i->next)
      decide(p, store, v, i->data);
    g_list_free(names);
    view_free(v);
    rest(p, LOOK_S);
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
  pthread_create(&p->watching, NULL, watch_plans, p);
  pthread_create(&p->deciding, NULL, decide_all, p);
  return p;
}

void placer_close(Placer *p) {
  atomic_store(&p->stop, true);
  pthread_join(p->watching, NULL);
  pthread_join(p->deciding, NULL);
  g_hash_table_destroy(p->pools);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}
