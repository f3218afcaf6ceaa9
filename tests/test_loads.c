/* test_loads.c: which instance queries which target, and what happens when
   none does. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/loads.h"

#define MAX_INSTANCES 64

typedef struct Fleet {
  Loads *list[MAX_INSTANCES];
  int n, queries[MAX_INSTANCES];
  bool dead[MAX_INSTANCES],
      cut[MAX_INSTANCES]; /* dead: stopped; cut: gets no answer from targets */
  double
      updated_at[MAX_INSTANCES]; /* about target 0, by a message or an answer */
} Fleet;

/* `n` instances and `targets` in `regions` of one data centre each. */
static void fleet_open(Fleet *f, int n, int targets, int regions) {
  Member m[MAX_INSTANCES] = {0};
  LoadsTarget *t = g_new0(LoadsTarget, targets);
  memset(f, 0, sizeof *f);
  f->n = n;
  for (int i = 0; i < n; i++) {
    snprintf(m[i].id, sizeof m[i].id, "i%d", i);
    snprintf(m[i].region, sizeof m[i].region, "r%d", i % regions);
    snprintf(m[i].dc, sizeof m[i].dc, "d%d", i % regions);
  }
  for (int i = 0; i < targets; i++) {
    snprintf(t[i].name, sizeof t[i].name, "t%d", i);
    snprintf(t[i].dc, sizeof t[i].dc, "d%d", i % regions);
  }
  View *v = view_new(m, n);
  for (int i = 0; i < n; i++) {
    f->list[i] = loads_new(m[i].id);
    loads_set_view(f->list[i], v);
    loads_set_targets(f->list[i], t, targets);
  }
  view_free(v);
  g_free(t);
}

static void fleet_close(Fleet *f) {
  for (int i = 0; i < f->n; i++) loads_free(f->list[i]);
}

static void deliver(Fleet *f, int from, int regions, double now,
                    const LoadsMsg *m) {
  for (int i = from % regions; i < f->n; i += regions) {
    if (i == from || f->dead[i]) continue;
    const LoadsTarget *t = loads_apply_message(f->list[i], now, m);
    if (t && strcmp(t->name, "t0") == 0) f->updated_at[i] = now;
  }
}

/* Advances the clock; answers come at once. */
static void run_until(Fleet *f, int regions, double from, double to) {
  for (double now = from; now < to; now += 0.1)
    for (int i = 0; i < f->n; i++) {
      LoadsTarget t;
      LoadsMsg m;
      if (f->dead[i]) continue;
      while (loads_next_query(f->list[i], now, &t)) {
        f->queries[i]++;
        if (!f->cut[i] && strcmp(t.name, "t0") == 0) f->updated_at[i] = now;
        loads_apply_answer(f->list[i], now, t.name, !f->cut[i], 3, 1);
      }
      while (loads_next_message(f->list[i], now, &m))
        deliver(f, i, regions, now, &m);
    }
}

static int total_queries(const Fleet *f) {
  int n = 0;
  for (int i = 0; i < f->n; i++) n += f->queries[i];
  return n;
}

Test(loads, region_queries_each_target_once_per_second) {
  Fleet f;
  fleet_open(&f, 8, 16, 1);
  run_until(&f, 1, 0, 60);
  /* 960 by assignment, a path query of each instance every half minute, and
     those at the start. */
  cr_assert(total_queries(&f) >= 900 && total_queries(&f) <= 1200, "%d queries",
            total_queries(&f));
  for (int i = 0; i < f.n; i++)
    cr_assert(60 - f.updated_at[i] < 3, "%d updated at %f", i, f.updated_at[i]);
  fleet_close(&f);
}

Test(loads, queries_of_a_large_fleet_stay_within_the_rate_limit) {
  Fleet f;
  fleet_open(&f, 56, 392, 7);
  run_until(&f, 7, 0, 10);
  memset(f.queries, 0, sizeof f.queries);
  run_until(&f, 7, 10, 70);
  for (int i = 0; i < f.n; i++)
    cr_assert(f.queries[i] < 60 * 25, "%d sent %d queries", i, f.queries[i]);
  cr_assert(total_queries(&f) < 56 * 60 * 16, "%d queries", total_queries(&f));
  for (int i = 0; i < f.n; i += 7)
    cr_assert(70 - f.updated_at[i] < 6, "%d updated at %f", i, f.updated_at[i]);
  fleet_close(&f);
}

/* The assigned instance stops, and the member view does not show it yet. */
Test(loads, instance_without_messages_queries_itself) {
  Fleet f;
  fleet_open(&f, 3, 6, 1);
  run_until(&f, 1, 0, 10);
  for (int dead = 0; dead < 3; dead++) {
    f.dead[dead] = true;
    run_until(&f, 1, 10 + 20 * dead, 30 + 20 * dead);
    for (int i = 0; i < 3; i++)
      cr_assert(i == dead || 30 + 20 * dead - f.updated_at[i] < 5,
                "instance %d without %d: updated at %f", i, dead,
                f.updated_at[i]);
    f.dead[dead] = false;
  }
  fleet_close(&f);
}

/* An instance that is cut off from a target does not make it unusable for the
   others. */
Test(loads, unresponsive_target_is_verified_by_others) {
  Fleet f;
  fleet_open(&f, 3, 6, 1);
  run_until(&f, 1, 0, 10);
  for (int i = 0; i < 3; i++) {
    f.cut[i] = true;
    run_until(&f, 1, 10 + 20 * i, 30 + 20 * i);
    for (int k = 0; k < 3; k++)
      cr_assert(k == i || 30 + 20 * i - f.updated_at[k] < 5,
                "instance %d with %d cut off", k, i);
    f.cut[i] = false;
  }
  fleet_close(&f);
}
