/* test_loads.c: who asks which target, and what happens when nobody does. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/loads.h"

#define MOST 64

typedef struct Fleet {
  Loads *list[MOST];
  int n, asked[MOST];
  bool dead[MOST], cut[MOST]; /* gone; gets no answer from targets */
  double heard[MOST];         /* of target 0, by a word or by asking */
} Fleet;

/* `n` instances and `targets`, spread over `regions`, a data centre each. */
static void fleet_open(Fleet *f, int n, int targets, int regions) {
  Member m[MOST] = {0};
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

static void tell(Fleet *f, int from, int regions, double now,
                 const LoadsMsg *m) {
  for (int i = from % regions; i < f->n; i += regions) {
    if (i == from || f->dead[i]) continue;
    const LoadsTarget *t = loads_apply_message(f->list[i], now, m);
    if (t && strcmp(t->name, "t0") == 0) f->heard[i] = now;
  }
}

/* Runs the clock; answers come at once. */
static void run(Fleet *f, int regions, double from, double to) {
  for (double now = from; now < to; now += 0.1)
    for (int i = 0; i < f->n; i++) {
      LoadsTarget t;
      LoadsMsg m;
      if (f->dead[i]) continue;
      while (loads_next_query(f->list[i], now, &t)) {
        f->asked[i]++;
        if (!f->cut[i] && strcmp(t.name, "t0") == 0) f->heard[i] = now;
        loads_apply_answer(f->list[i], now, t.name, !f->cut[i], 3, 1);
      }
      while (loads_next_message(f->list[i], now, &m))
        tell(f, i, regions, now, &m);
    }
}

static int sum(const Fleet *f) {
  int n = 0;
  for (int i = 0; i < f->n; i++) n += f->asked[i];
  return n;
}

Test(loads, a_region_asks_each_target_once_a_second) {
  Fleet f;
  fleet_open(&f, 8, 16, 1);
  run(&f, 1, 0, 60);
  /* 960 by duty; a path of each instance each half minute, and the start. */
  cr_assert(sum(&f) >= 900 && sum(&f) <= 1200, "%d calls", sum(&f));
  for (int i = 0; i < f.n; i++)
    cr_assert(60 - f.heard[i] < 3, "%d heard at %f", i, f.heard[i]);
  fleet_close(&f);
}

Test(loads, calls_of_a_large_fleet_stay_within_their_rate) {
  Fleet f;
  fleet_open(&f, 56, 392, 7);
  run(&f, 7, 0, 10);
  memset(f.asked, 0, sizeof f.asked);
  run(&f, 7, 10, 70);
  for (int i = 0; i < f.n; i++)
    cr_assert(f.asked[i] < 60 * 25, "%d asked %d", i, f.asked[i]);
  cr_assert(sum(&f) < 56 * 60 * 16, "%d calls", sum(&f));
  for (int i = 0; i < f.n; i += 7)
    cr_assert(70 - f.heard[i] < 6, "%d heard at %f", i, f.heard[i]);
  fleet_close(&f);
}

/* The one with the duty dies, and the member view does not know yet. */
Test(loads, who_hears_nothing_asks) {
  Fleet f;
  fleet_open(&f, 3, 6, 1);
  run(&f, 1, 0, 10);
  for (int dead = 0; dead < 3; dead++) {
    f.dead[dead] = true;
    run(&f, 1, 10 + 20 * dead, 30 + 20 * dead);
    for (int i = 0; i < 3; i++)
      cr_assert(i == dead || 30 + 20 * dead - f.heard[i] < 5,
                "%d without %d: %f", i, dead, f.heard[i]);
    f.dead[dead] = false;
  }
  fleet_close(&f);
}

/* One that is cut off from a target does not condemn it for the others. */
Test(loads, silence_is_verified) {
  Fleet f;
  fleet_open(&f, 3, 6, 1);
  run(&f, 1, 0, 10);
  for (int i = 0; i < 3; i++) {
    f.cut[i] = true;
    run(&f, 1, 10 + 20 * i, 30 + 20 * i);
    for (int k = 0; k < 3; k++)
      cr_assert(k == i || 30 + 20 * i - f.heard[k] < 5, "%d with %d cut", k, i);
    f.cut[i] = false;
  }
  fleet_close(&f);
}
