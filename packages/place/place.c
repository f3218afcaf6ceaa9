/* place.c: repair, growth and shrinking of a pool's placement, and its orders.
 */
#include "place/place.h"

#include <stdio.h>
#include <string.h>

#include "kernel/list.h"

#define FULL 0.8      /* busier than this, its targets need company */
#define FREE 0.6      /* a target to be added is less busy than this */
#define CALM 0.2      /* less busy than this, one target is too many */
#define FULL_S 10.0   /* for so long */
#define CALM_S 120.0  /* and so long: to load costs more than to keep */
#define CHANGE_S 10.0 /* between two changes that demand asks for */
#define LEAVE_S 15.0  /* all instances know by then; above a watch's wait */
#define ORDER_S 1.0   /* an order that is not carried out goes out again */
#define REPEAT_S 30.0 /* so does one that is: the target may have restarted */
#define RETRY_S 2.0   /* after a failure of the store */

typedef enum { UNREAD, READING, READY, WRITING } Phase;

/* What is remembered of an adapter's demand. */
typedef struct Demand {
  double full, calm; /* since when; 0: it is not */
} Demand;

/* The last order to a target. */
typedef struct Order {
  char done[LIMIT_ADAPTERS_BYTES]; /* what the target says that it has */
  bool told;                       /* it said so */
  double at;
} Order;

struct Place {
  bool home;
  PlaceFaults faults;
  Phase phase;
  Plan *plan; /* as it is in the store at `version` */
  Plan *next; /* WRITING */
  uint64_t version, seq;
  double now, retry_at, changed, read_at;
  GHashTable *demands; /* adapter -> Demand */
  GHashTable *orders;  /* target -> Order */
  GHashTable *leaving; /* "target;adapter" -> double, since when */
  GQueue actions;
  /* of the present look */
  const PlaceTarget *targets;
  const PlaceWant *wants;
  int n, m;
  char reason[128];
};

/* == memory == */

static GHashTable *names_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

Place *place_new(void) {
  Place *p = g_new0(Place, 1);
  p->plan = plan_new();
  p->demands = names_new();
  p->orders = names_new();
  p->leaving = names_new();
  g_queue_init(&p->actions);
  return p;
}

static void forget(Place *p) {
  PlaceAction a;
  while (place_next(p, &a)) g_free(a.text);
  g_clear_pointer(&p->next, plan_free);
  g_hash_table_remove_all(p->demands);
  g_hash_table_remove_all(p->orders);
  g_hash_table_remove_all(p->leaving);
  p->phase = UNREAD;
}

void place_free(Place *p) {
  forget(p);
  plan_free(p->plan);
  g_hash_table_destroy(p->demands);
  g_hash_table_destroy(p->orders);
  g_hash_table_destroy(p->leaving);
  g_free(p);
}

void place_faults(Place *p, PlaceFaults f) {
  p->faults = f;
}

void place_home(Place *p, bool home) {
  if (p->home && !home) forget(p);
  p->home = home;
}

bool place_next(Place *p, PlaceAction *a) {
  PlaceAction *next = g_queue_pop_head(&p->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

static PlaceAction *act(Place *p, PlaceDo what) {
  PlaceAction *a = g_new0(PlaceAction, 1);
  a->what = what;
  if (what != PLACE_DO_ORDER) a->seq = ++p->seq;
  g_queue_push_tail(&p->actions, a);
  return a;
}

/* The value of `key`, made with zeroes. */
static void *entry(GHashTable *t, const char *key, size_t size) {
  void *v = g_hash_table_lookup(t, key);
  if (v) return v;
  v = g_malloc0(size);
  g_hash_table_insert(t, g_strdup(key), v);
  return v;
}

/* == the pool as it is seen now == */

static const PlaceTarget *find_target(const Place *p, const char *name) {
  for (int i = 0; i < p->n; i++)
    if (strcmp(p->targets[i].name, name) == 0) return &p->targets[i];
  return NULL;
}

static const PlaceWant *find_want(const Place *p, const char *adapter) {
  for (int i = 0; i < p->m; i++)
    if (strcmp(p->wants[i].adapter, adapter) == 0) return &p->wants[i];
  return NULL;
}

static double load_of(const PlaceTarget *t) {
  return (double)(t->running + t->waiting) / MAX(t->slots, 1);
}

static bool has(const Plan *plan, const PlaceTarget *t, const char *adapter) {
  const PlanItem *x = plan_find(plan, t->name, adapter);
  return list_has(t->fixed, adapter) || (x && x->state != PLAN_LEAVING);
}

/* Live targets that have it, and how busy they are. */
static int count_live(const Place *p, const Plan *plan, const char *adapter,
                      double *load) {
  int n = 0;
  double sum = 0;
  for (int i = 0; i < p->n; i++) {
    const PlaceTarget *t = &p->targets[i];
    if (!t->live || !has(plan, t, adapter)) continue;
    sum += load_of(t);
    n++;
  }
  *load = n > 0 ? sum / n : 0;
  return n;
}

static int given(const Plan *plan, const char *target) {
  int n = 0;
  for (guint i = 0; i < plan->items->len; i++)
    n += strcmp(g_array_index(plan->items, PlanItem, i).target, target) == 0;
  return n;
}

/* The least busy target that could take the adapter. */
static const PlaceTarget *candidate(const Place *p, const Plan *plan,
                                    const char *adapter, double below) {
  const PlaceTarget *best = NULL;
  for (int i = 0; i < p->n; i++) {
    const PlaceTarget *t = &p->targets[i];
    bool room = t->live && given(plan, t->name) < t->loads;
    bool there = plan_find(plan, t->name, adapter) || has(plan, t, adapter);
    if (!room || there || load_of(t) >= below) continue;
    if (!best || load_of(t) < load_of(best)) best = t;
  }
  return best;
}

/* The least busy target that we gave it to. */
static const PlaceTarget *surplus(const Place *p, const Plan *plan,
                                  const char *adapter) {
  const PlaceTarget *best = NULL;
  for (int i = 0; i < p->n; i++) {
    const PlaceTarget *t = &p->targets[i];
    const PlanItem *x = plan_find(plan, t->name, adapter);
    if (!x || x->state != PLAN_LOADED) continue;
    if (!best || load_of(t) < load_of(best)) best = t;
  }
  return best;
}

/* == decisions, each on a copy of the plan; true when it was changed == */

/* Items whose target or service is no longer in the table. */
static bool tidy(Place *p, Plan *plan) {
  for (guint i = 0; i < plan->items->len; i++) {
    PlanItem *x = &g_array_index(plan->items, PlanItem, i);
    if (!find_target(p, x->target)) {
      snprintf(p->reason, sizeof p->reason, "%.40s is not in the table",
               x->target);
      plan_remove(plan, x->target, x->adapter);
      return true;
    }
    if (x->state == PLAN_LEAVING || find_want(p, x->adapter)) continue;
    snprintf(p->reason, sizeof p->reason, "no service asks for %.40s",
             x->adapter);
    x->state = PLAN_LEAVING;
    return true;
  }
  return false;
}

/* What targets said of their orders. */
static bool take_word(Place *p, Plan *plan) {
  bool changed = false;
  for (guint i = plan->items->len; i > 0; i--) {
    PlanItem *x = &g_array_index(plan->items, PlanItem, i - 1);
    const Order *o = g_hash_table_lookup(p->orders, x->target);
    if (!o || !o->told) continue;
    bool there = list_has(o->done, x->adapter);
    bool loaded = x->state == PLAN_LOADING && there;
    bool gone = x->state == PLAN_LEAVING && !there;
    if (!loaded && !gone) continue;
    snprintf(p->reason, sizeof p->reason, "%.40s %s %.40s", x->target,
             loaded ? "has loaded" : "has unloaded", x->adapter);
    if (loaded)
      x->state = PLAN_LOADED;
    else
      g_array_remove_index(plan->items, i - 1);
    changed = true;
  }
  return changed;
}

/* Fewer live targets than the table wants: at once. */
static bool repair(Place *p, Plan *plan) {
  double load;
  for (int i = 0; i < p->m; i++) {
    const PlaceWant *w = &p->wants[i];
    int n = count_live(p, plan, w->adapter, &load);
    if (n >= w->least) continue;
    const PlaceTarget *t = candidate(p, plan, w->adapter, G_MAXDOUBLE);
    if (!t) continue;
    snprintf(p->reason, sizeof p->reason, "%.40s is on %d targets of %d",
             w->adapter, n, w->least);
    plan_set(plan, t->name, w->adapter, PLAN_LOADING);
    return true;
  }
  return false;
}

static bool lasts(double *since, bool is, double now, double seconds) {
  if (!is) *since = 0;
  if (is && *since == 0) *since = now;
  return is && now - *since >= seconds;
}

static bool grow(Place *p, Plan *plan, const PlaceWant *w, double load) {
  const PlaceTarget *t = candidate(p, plan, w->adapter, FREE);
  if (!t) return false;
  snprintf(p->reason, sizeof p->reason, "%.40s is busy at %.2f", w->adapter,
           load);
  plan_set(plan, t->name, w->adapter, PLAN_LOADING);
  return true;
}

static bool shrink(Place *p, Plan *plan, const PlaceWant *w, double load) {
  const PlaceTarget *t = surplus(p, plan, w->adapter);
  if (!t) return false;
  snprintf(p->reason, sizeof p->reason, "%.40s is calm at %.2f", w->adapter,
           load);
  plan_set(plan, t->name, w->adapter, PLAN_LEAVING);
  return true;
}

/* Timers run for all; one change at a time. */
static bool follow_demand(Place *p, Plan *plan) {
  bool changed = false, may = p->now - p->changed >= CHANGE_S;
  for (int i = 0; i < p->m; i++) {
    const PlaceWant *w = &p->wants[i];
    Demand *d = entry(p->demands, w->adapter, sizeof *d);
    double load;
    int n = count_live(p, plan, w->adapter, &load);
    bool more = w->most == 0 || n < w->most;
    bool full = lasts(&d->full, load > FULL, p->now, FULL_S);
    bool calm = lasts(&d->calm, load < CALM, p->now, CALM_S);
    if (changed || !may) continue;
    if (full && more && w->asked > 0)
      changed = grow(p, plan, w, load);
    else if (calm && n > w->least)
      changed = shrink(p, plan, w, load);
    if (changed) d->full = d->calm = 0;
  }
  if (changed) p->changed = p->now;
  return changed;
}

/* == orders == */

/* All that a target is to have now. What leaves stays until all know. */
static void wanted(Place *p, const PlaceTarget *t, char *list) {
  g_strlcpy(list, t->fixed, LIMIT_ADAPTERS_BYTES);
  plan_adapters(p->plan, t->name, 1 << PLAN_LOADING | 1 << PLAN_LOADED, list);
  for (guint i = 0; i < p->plan->items->len; i++) {
    const PlanItem *x = &g_array_index(p->plan->items, PlanItem, i);
    if (x->state != PLAN_LEAVING || strcmp(x->target, t->name) != 0) continue;
    char key[2 * LIMIT_NAME_BYTES + 2];
    snprintf(key, sizeof key, "%s;%s", x->target, x->adapter);
    double *since = entry(p->leaving, key, sizeof *since);
    if (*since == 0) *since = p->now;
    if (p->now - *since < LEAVE_S)
      list_add(list, LIMIT_ADAPTERS_BYTES, x->adapter);
  }
}

static void order(Place *p, const PlaceTarget *t) {
  Order *o = entry(p->orders, t->name, sizeof *o);
  char list[LIMIT_ADAPTERS_BYTES];
  wanted(p, t, list);
  bool done = o->told && strcmp(list, o->done) == 0;
  if (o->at > 0 && p->now - o->at < (done ? REPEAT_S : ORDER_S)) return;
  o->at = p->now;
  PlaceAction *a = act(p, PLACE_DO_ORDER);
  a->version = p->version;
  g_strlcpy(a->target, t->name, sizeof a->target);
  g_strlcpy(a->url, t->url, sizeof a->url);
  g_strlcpy(a->adapters, list, sizeof a->adapters);
}

static void order_all(Place *p) {
  for (int i = 0; i < p->n; i++)
    if (p->targets[i].live && given(p->plan, p->targets[i].name) > 0)
      order(p, &p->targets[i]);
}

void place_ordered(Place *p, double now, const char *target, uint64_t fence,
                   const char *adapters, PlaceAnswer answer) {
  Order *o = g_hash_table_lookup(p->orders, target);
  p->now = now;
  if (answer == PLACE_FENCED && fence == p->version && p->phase == READY)
    p->phase = UNREAD; /* somebody wrote a newer plan */
  if (!o || answer != PLACE_DONE) return;
  g_strlcpy(o->done, adapters, sizeof o->done);
  o->told = true;
}

/* == the plan's way == */

static void put(Place *p, Plan *next) {
  PlaceAction *a = act(p, PLACE_DO_PUT);
  a->version = p->version;
  a->text = plan_text(next);
  g_strlcpy(a->reason, p->reason, sizeof a->reason);
  plan_free(p->next);
  p->next = next;
  p->phase = WRITING;
  if (!p->faults.no_fence) return;
  plan_free(p->plan);
  p->plan = plan_copy(next);
  order_all(p);
}

static void decide(Place *p) {
  Plan *next = plan_copy(p->plan);
  bool changed = take_word(p, next) || tidy(p, next) || repair(p, next);
  changed = changed || follow_demand(p, next);
  if (changed)
    put(p, next);
  else
    plan_free(next);
}

void place_look(Place *p, double now, const PlaceTarget *targets, int n,
                const PlaceWant *wants, int m) {
  p->now = now;
  p->targets = targets;
  p->n = n;
  p->wants = wants;
  p->m = m;
  /* A read may have been old, and nothing else would tell. */
  if (p->phase == READY && now - p->read_at >= REPEAT_S) p->phase = UNREAD;
  if (p->home && now >= p->retry_at) {
    if (p->phase == UNREAD) {
      act(p, PLACE_DO_GET);
      p->phase = READING;
    } else if (p->phase == READY) {
      order_all(p);
      decide(p);
    }
  }
  p->targets = NULL;
  p->wants = NULL;
  p->n = p->m = 0;
}

static void on_read(Place *p, uint64_t version, Plan *plan) {
  if (!plan) { /* not ours to repair: an operator looks at it */
    p->phase = UNREAD;
    p->retry_at = p->now + RETRY_S;
    return;
  }
  plan_free(p->plan);
  p->plan = plan;
  p->version = version;
  p->read_at = p->now;
  p->phase = READY;
}

static void on_written(Place *p, uint64_t version) {
  plan_free(p->plan);
  p->plan = g_steal_pointer(&p->next);
  p->version = version;
  p->phase = READY;
}

void place_stored(Place *p, double now, uint64_t seq, ErrKind kind,
                  uint64_t version, const char *text) {
  Phase phase = p->phase;
  if (seq != p->seq) return; /* of an earlier time as home */
  p->now = now;
  if (phase == READING && kind == ERR_NONE)
    on_read(p, version, plan_read(text));
  else if (phase == READING && kind == ERR_STORE_ABSENT)
    on_read(p, 0, plan_new());
  else if (phase == WRITING && kind == ERR_NONE)
    on_written(p, version);
  else if (phase == READING || phase == WRITING) {
    p->phase = UNREAD; /* what was written, if it was, is read */
    if (kind != ERR_STORE_CONFLICT) p->retry_at = now + RETRY_S;
  }
}
