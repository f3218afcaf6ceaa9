/* place.c: changes to the plan of a pool (replacement of lost targets, growth
   and shrinking by load) and the orders that carry it out. */
#include "place/place.h"

#include <stdio.h>
#include <string.h>

#include "kernel/list.h"

/* An adapter whose mean load is above this gets one more target. */
#define GROW_LOAD_RATIO 0.8
/* A target to be added has a lower load than this. */
#define CANDIDATE_MAX_LOAD_RATIO 0.6
/* An adapter whose mean load is below this gives up one target. */
#define SHRINK_LOAD_RATIO 0.2
/* The load has to be high for the first time before an adapter gets a target,
   and low for the second before it gives one up. The second is longer, since
   loading an adapter costs more than keeping it. */
#define GROW_AFTER_S 10.0
#define SHRINK_AFTER_S 120.0
/* Minimum time between two changes because of load. */
#define CHANGE_INTERVAL_S 10.0
/* A target keeps an adapter for this time after the plan says that it is
   leaving. By then all instances know, since the time is above the duration of
   one watch call to the store. */
#define LEAVE_DELAY_S 15.0
/* An order that the target has not confirmed is sent again after this time. */
#define ORDER_RETRY_S 1.0
/* A confirmed order is sent again after this time, since the target may have
   restarted. The plan is also read again after it. */
#define REFRESH_S 30.0
#define STORE_RETRY_S 2.0 /* after a failed store call */

typedef enum {
  UNREAD, /* the plan has to be read from the store */
  READING,
  READY, /* the plan is known and no store call is pending */
  WRITING
} Phase;

/* Since when the load of an adapter has been high or low. */
typedef struct Demand {
  double busy_since, idle_since; /* 0: the load is not high or low */
} Demand;

/* The last order to a target. */
typedef struct Order {
  char applied[LIMIT_ADAPTERS_BYTES]; /* adapters that it last confirmed */
  bool confirmed;                     /* the target has confirmed an order */
  double sent_at;
} Order;

struct Place {
  bool home;
  PlaceFaults faults;
  Phase phase;
  Plan *plan;            /* as stored at `version` */
  Plan *pending;         /* being written, in phase WRITING */
  uint64_t version, seq; /* seq: of the last store call */
  /* After a failed store call, none is made before retry_at. load_change_at:
     last change because of load. */
  double now, retry_at, load_change_at, plan_read_at;
  GHashTable *demands; /* adapter -> Demand */
  GHashTable *orders;  /* target -> Order */
  GHashTable *leaving; /* "target;adapter" -> double, when it was first seen to
                          be leaving */
  GQueue actions;
  /* Arguments of the current place_update call. */
  const PlaceTarget *targets;
  const PlaceRequirement *requirements;
  int n_targets, n_requirements;
  char reason[128];
};

/* == state == */

static GHashTable *new_string_table(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

Place *place_new(void) {
  Place *p = g_new0(Place, 1);
  p->plan = plan_new();
  p->demands = new_string_table();
  p->orders = new_string_table();
  p->leaving = new_string_table();
  g_queue_init(&p->actions);
  return p;
}

static void reset_state(Place *p) {
  PlaceAction a;
  while (place_next_action(p, &a)) g_free(a.text);
  g_clear_pointer(&p->pending, plan_free);
  g_hash_table_remove_all(p->demands);
  g_hash_table_remove_all(p->orders);
  g_hash_table_remove_all(p->leaving);
  p->phase = UNREAD;
}

void place_free(Place *p) {
  reset_state(p);
  plan_free(p->plan);
  g_hash_table_destroy(p->demands);
  g_hash_table_destroy(p->orders);
  g_hash_table_destroy(p->leaving);
  g_free(p);
}

void place_set_faults(Place *p, PlaceFaults f) {
  p->faults = f;
}

void place_set_home(Place *p, bool home) {
  if (p->home && !home) reset_state(p);
  p->home = home;
}

bool place_next_action(Place *p, PlaceAction *a) {
  PlaceAction *next = g_queue_pop_head(&p->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

static PlaceAction *queue_action(Place *p, PlaceActionKind action) {
  PlaceAction *a = g_new0(PlaceAction, 1);
  a->action = action;
  if (action != PLACE_SEND_ORDER) a->seq = ++p->seq;
  g_queue_push_tail(&p->actions, a);
  return a;
}

/* Returns the value of `key`; a new one is zeroed. */
static void *get_or_add(GHashTable *t, const char *key, size_t size) {
  void *v = g_hash_table_lookup(t, key);
  if (v) return v;
  v = g_malloc0(size);
  g_hash_table_insert(t, g_strdup(key), v);
  return v;
}

/* == current state of the pool == */

static const PlaceTarget *find_target(const Place *p, const char *name) {
  for (int i = 0; i < p->n_targets; i++)
    if (strcmp(p->targets[i].name, name) == 0) return &p->targets[i];
  return NULL;
}

static const PlaceRequirement *find_requirement(const Place *p,
                                                const char *adapter) {
  for (int i = 0; i < p->n_requirements; i++)
    if (strcmp(p->requirements[i].adapter, adapter) == 0)
      return &p->requirements[i];
  return NULL;
}

static double load_of(const PlaceTarget *t) {
  return (double)(t->running + t->waiting) / MAX(t->slots, 1);
}

static bool has_adapter(const Plan *plan, const PlaceTarget *t,
                        const char *adapter) {
  const PlanItem *x = plan_find(plan, t->name, adapter);
  return list_has(t->configured, adapter) || (x && x->state != PLAN_LEAVING);
}

/* Counts the live targets that have the adapter by the plan or by their
   configuration, and sets *load to their mean load. */
static int count_live(const Place *p, const Plan *plan, const char *adapter,
                      double *load) {
  int n = 0;
  double sum = 0;
  for (int i = 0; i < p->n_targets; i++) {
    const PlaceTarget *t = &p->targets[i];
    if (!t->live || !has_adapter(plan, t, adapter)) continue;
    sum += load_of(t);
    n++;
  }
  *load = n > 0 ? sum / n : 0;
  return n;
}

/* Counts the adapters that the plan assigns to the target. */
static int count_planned(const Plan *plan, const char *target) {
  int n = 0;
  for (guint i = 0; i < plan->items->len; i++)
    n += strcmp(g_array_index(plan->items, PlanItem, i).target, target) == 0;
  return n;
}

/* Returns the target with the lowest load among those that can take the adapter
   and have a load below `max_load`, or NULL. */
static const PlaceTarget *find_candidate(const Place *p, const Plan *plan,
                                         const char *adapter, double max_load) {
  const PlaceTarget *best = NULL;
  for (int i = 0; i < p->n_targets; i++) {
    const PlaceTarget *t = &p->targets[i];
    bool room = t->live && count_planned(plan, t->name) < t->max_adapters;
    bool is_present =
        plan_find(plan, t->name, adapter) || has_adapter(plan, t, adapter);
    if (!room || is_present || load_of(t) >= max_load) continue;
    if (!best || load_of(t) < load_of(best)) best = t;
  }
  return best;
}

/* Returns the target with the lowest load among those that have loaded the
   adapter by the plan, or NULL. */
static const PlaceTarget *find_surplus(const Place *p, const Plan *plan,
                                       const char *adapter) {
  const PlaceTarget *best = NULL;
  for (int i = 0; i < p->n_targets; i++) {
    const PlaceTarget *t = &p->targets[i];
    const PlanItem *x = plan_find(plan, t->name, adapter);
    if (!x || x->state != PLAN_LOADED) continue;
    if (!best || load_of(t) < load_of(best)) best = t;
  }
  return best;
}

/* == decisions: each returns whether it changed the copy of the plan == */

/* Removes one item whose target is no longer in the configuration table, or
   marks one adapter that no service uses as leaving. */
static bool retire_obsolete(Place *p, Plan *plan) {
  for (guint i = 0; i < plan->items->len; i++) {
    PlanItem *x = &g_array_index(plan->items, PlanItem, i);
    if (!find_target(p, x->target)) {
      snprintf(p->reason, sizeof p->reason, "%.40s is not in the table",
               x->target);
      plan_remove(plan, x->target, x->adapter);
      return true;
    }
    if (x->state == PLAN_LEAVING || find_requirement(p, x->adapter)) continue;
    snprintf(p->reason, sizeof p->reason, "no service uses %.40s", x->adapter);
    x->state = PLAN_LEAVING;
    return true;
  }
  return false;
}

/* Updates the states of items by the orders that targets confirmed. */
static bool apply_reports(Place *p, Plan *plan) {
  bool changed = false;
  for (guint i = plan->items->len; i > 0; i--) {
    PlanItem *x = &g_array_index(plan->items, PlanItem, i - 1);
    const Order *o = g_hash_table_lookup(p->orders, x->target);
    if (!o || !o->confirmed) continue;
    bool is_present = list_has(o->applied, x->adapter);
    bool loaded = x->state == PLAN_LOADING && is_present;
    bool unloaded = x->state == PLAN_LEAVING && !is_present;
    if (!loaded && !unloaded) continue;
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

/* Gives one adapter another target if fewer live targets than its minimum have
   it. The load does not matter. */
static bool ensure_minimum(Place *p, Plan *plan) {
  double load;
  for (int i = 0; i < p->n_requirements; i++) {
    const PlaceRequirement *req = &p->requirements[i];
    int n = count_live(p, plan, req->adapter, &load);
    if (n >= req->min_targets) continue;
    const PlaceTarget *t = find_candidate(p, plan, req->adapter, G_MAXDOUBLE);
    if (!t) continue;
    snprintf(p->reason, sizeof p->reason, "%.40s is on %d of %d targets",
             req->adapter, n, req->min_targets);
    plan_set(plan, t->name, req->adapter, PLAN_LOADING);
    return true;
  }
  return false;
}

/* Sets *since to when `condition` became true, 0 while it is false. Returns
   whether it has been true for `seconds`. */
static bool has_lasted(double *since, bool condition, double now,
                       double seconds) {
  if (!condition) *since = 0;
  if (condition && *since == 0) *since = now;
  return condition && now - *since >= seconds;
}

static bool add_target(Place *p, Plan *plan, const PlaceRequirement *req,
                       double load) {
  const PlaceTarget *t =
      find_candidate(p, plan, req->adapter, CANDIDATE_MAX_LOAD_RATIO);
  if (!t) return false;
  snprintf(p->reason, sizeof p->reason, "load of %.40s is high: %.2f",
           req->adapter, load);
  plan_set(plan, t->name, req->adapter, PLAN_LOADING);
  return true;
}

static bool drop_target(Place *p, Plan *plan, const PlaceRequirement *req,
                        double load) {
  const PlaceTarget *t = find_surplus(p, plan, req->adapter);
  if (!t) return false;
  snprintf(p->reason, sizeof p->reason, "load of %.40s is low: %.2f",
           req->adapter, load);
  plan_set(plan, t->name, req->adapter, PLAN_LEAVING);
  return true;
}

/* Updates the load times of all adapters, and makes at most one change. */
static bool adjust_to_demand(Place *p, Plan *plan) {
  bool changed = false,
       may_change = p->now - p->load_change_at >= CHANGE_INTERVAL_S;
  for (int i = 0; i < p->n_requirements; i++) {
    const PlaceRequirement *req = &p->requirements[i];
    Demand *d = get_or_add(p->demands, req->adapter, sizeof *d);
    double load;
    int n = count_live(p, plan, req->adapter, &load);
    bool may_grow = req->max_targets == 0 || n < req->max_targets;
    bool is_busy = has_lasted(&d->busy_since, load > GROW_LOAD_RATIO, p->now,
                              GROW_AFTER_S);
    bool is_idle = has_lasted(&d->idle_since, load < SHRINK_LOAD_RATIO, p->now,
                              SHRINK_AFTER_S);
    if (changed || !may_change) continue;
    if (is_busy && may_grow && req->recent_requests > 0)
      changed = add_target(p, plan, req, load);
    else if (is_idle && n > req->min_targets)
      changed = drop_target(p, plan, req, load);
    if (changed) d->busy_since = d->idle_since = 0;
  }
  if (changed) p->load_change_at = p->now;
  return changed;
}

/* == orders == */

/* Lists all adapters that a target should have now. One that is leaving is
   listed until all instances know that it leaves. */
static void list_wanted_adapters(Place *p, const PlaceTarget *t, char *list) {
  g_strlcpy(list, t->configured, LIMIT_ADAPTERS_BYTES);
  plan_list_adapters(p->plan, t->name, 1 << PLAN_LOADING | 1 << PLAN_LOADED,
                     list);
  for (guint i = 0; i < p->plan->items->len; i++) {
    const PlanItem *x = &g_array_index(p->plan->items, PlanItem, i);
    if (x->state != PLAN_LEAVING || strcmp(x->target, t->name) != 0) continue;
    char key[2 * LIMIT_NAME_BYTES + 2];
    snprintf(key, sizeof key, "%s;%s", x->target, x->adapter);
    double *since = get_or_add(p->leaving, key, sizeof *since);
    if (*since == 0) *since = p->now;
    if (p->now - *since < LEAVE_DELAY_S)
      list_add(list, LIMIT_ADAPTERS_BYTES, x->adapter);
  }
}

static void send_order(Place *p, const PlaceTarget *t) {
  Order *o = get_or_add(p->orders, t->name, sizeof *o);
  char list[LIMIT_ADAPTERS_BYTES];
  list_wanted_adapters(p, t, list);
  bool is_applied = o->confirmed && strcmp(list, o->applied) == 0;
  if (o->sent_at > 0 &&
      p->now - o->sent_at < (is_applied ? REFRESH_S : ORDER_RETRY_S))
    return;
  o->sent_at = p->now;
  PlaceAction *a = queue_action(p, PLACE_SEND_ORDER);
  a->version = p->version;
  g_strlcpy(a->target, t->name, sizeof a->target);
  g_strlcpy(a->url, t->url, sizeof a->url);
  g_strlcpy(a->adapters, list, sizeof a->adapters);
}

static void send_all_orders(Place *p) {
  for (int i = 0; i < p->n_targets; i++)
    if (p->targets[i].live && count_planned(p->plan, p->targets[i].name) > 0)
      send_order(p, &p->targets[i]);
}

void place_on_order_result(Place *p, double now, const char *target,
                           uint64_t fence, const char *adapters,
                           PlaceOrderResult answer) {
  Order *o = g_hash_table_lookup(p->orders, target);
  p->now = now;
  if (answer == PLACE_FENCED && fence == p->version && p->phase == READY)
    p->phase = UNREAD; /* another instance wrote a newer plan */
  if (!o || answer != PLACE_DONE) return;
  g_strlcpy(o->applied, adapters, sizeof o->applied);
  o->confirmed = true;
}

/* == reading and writing the plan == */

static void put_plan(Place *p, Plan *next) {
  PlaceAction *a = queue_action(p, PLACE_PUT_PLAN);
  a->version = p->version;
  a->text = plan_to_json(next);
  g_strlcpy(a->reason, p->reason, sizeof a->reason);
  plan_free(p->pending);
  p->pending = next;
  p->phase = WRITING;
  if (!p->faults.no_fence) return;
  plan_free(p->plan);
  p->plan = plan_copy(next);
  send_all_orders(p);
}

static void update_plan(Place *p) {
  Plan *next = plan_copy(p->plan);
  bool changed = apply_reports(p, next) || retire_obsolete(p, next) ||
                 ensure_minimum(p, next);
  changed = changed || adjust_to_demand(p, next);
  if (changed)
    put_plan(p, next);
  else
    plan_free(next);
}

void place_update(Place *p, double now, const PlaceTarget *targets,
                  int n_targets, const PlaceRequirement *requirements,
                  int n_requirements) {
  p->now = now;
  p->targets = targets;
  p->n_targets = n_targets;
  p->requirements = requirements;
  p->n_requirements = n_requirements;
  /* A read may have returned an old plan, which only another read shows. */
  if (p->phase == READY && now - p->plan_read_at >= REFRESH_S)
    p->phase = UNREAD;
  if (p->home && now >= p->retry_at) {
    if (p->phase == UNREAD) {
      queue_action(p, PLACE_GET_PLAN);
      p->phase = READING;
    } else if (p->phase == READY) {
      send_all_orders(p);
      update_plan(p);
    }
  }
  p->targets = NULL;
  p->requirements = NULL;
  p->n_targets = p->n_requirements = 0;
}

static void on_plan_read(Place *p, uint64_t version, Plan *plan) {
  if (!plan) { /* it is damaged: an operator has to repair it */
    p->phase = UNREAD;
    p->retry_at = p->now + STORE_RETRY_S;
    return;
  }
  plan_free(p->plan);
  p->plan = plan;
  p->version = version;
  p->plan_read_at = p->now;
  p->phase = READY;
}

static void on_plan_written(Place *p, uint64_t version) {
  plan_free(p->plan);
  p->plan = g_steal_pointer(&p->pending);
  p->version = version;
  p->phase = READY;
}

void place_on_store_result(Place *p, double now, uint64_t seq, ErrKind kind,
                           uint64_t version, const char *text) {
  Phase phase = p->phase;
  if (seq != p->seq) return; /* of an earlier time as home */
  p->now = now;
  if (phase == READING && kind == ERR_NONE)
    on_plan_read(p, version, plan_parse(text));
  else if (phase == READING && kind == ERR_STORE_ABSENT)
    on_plan_read(p, 0, plan_new());
  else if (phase == WRITING && kind == ERR_NONE)
    on_plan_written(p, version);
  else if (phase == READING || phase == WRITING) {
    p->phase = UNREAD; /* after a write: a read shows whether it took effect */
    if (kind != ERR_STORE_CONFLICT) p->retry_at = now + STORE_RETRY_S;
  }
}
