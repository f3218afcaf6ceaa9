/* test_place.c: what a pool's home decides, and what its orders may do. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "kernel/list.h"
#include "place/place.h"

#define TARGETS 4

/* == a store, four targets and up to two homes == */

typedef struct Shop {
  char *text; /* the plan's object */
  uint64_t version, fence[TARGETS];
  char loaded[TARGETS][LIMIT_ADAPTERS_BYTES];
  bool checks[TARGETS], dead[TARGETS]; /* checks: who sends an order */
  int orders, late_orders, puts;
  bool lose; /* the next answer of the store */
  PlaceTarget targets[TARGETS];
  PlaceWant want;
  double now;
} Shop;

static Shop *shop_new(void) {
  Shop *s = g_new0(Shop, 1);
  for (int i = 0; i < TARGETS; i++) {
    PlaceTarget *t = &s->targets[i];
    snprintf(t->name, sizeof t->name, "t%d", i);
    t->slots = 10;
    t->loads = 2;
    t->live = true;
    s->checks[i] = true;
  }
  s->want = (PlaceWant){.adapter = "tuned", .least = 1, .asked = 1};
  return s;
}

static void shop_free(Shop *s) {
  g_free(s->text);
  g_free(s);
}

static void serve_put(Shop *s, Place *p, const PlaceAction *a) {
  ErrKind kind = ERR_STORE_CONFLICT;
  if (a->version == s->version) {
    g_free(s->text);
    s->text = g_strdup(a->text);
    s->version++;
    s->puts++;
    kind = s->lose ? ERR_STORE_UNKNOWN : ERR_NONE;
    s->lose = false;
  }
  place_stored(p, s->now, a->seq, kind, s->version, NULL);
}

static void serve_order(Shop *s, Place *p, const PlaceAction *a) {
  int i = a->target[1] - '0';
  PlaceAnswer answer = PLACE_DONE;
  if (s->dead[i]) answer = PLACE_FAILED;
  if (s->checks[i] && a->version < s->fence[i]) {
    s->late_orders++;
    answer = PLACE_FENCED;
  }
  if (answer == PLACE_DONE) {
    s->orders++;
    s->fence[i] = a->version;
    g_strlcpy(s->loaded[i], a->adapters, LIMIT_ADAPTERS_BYTES);
  }
  place_ordered(p, s->now, a->target, a->version, a->adapters, answer);
}

static void act(Shop *s, Place *p) {
  PlaceAction a;
  while (place_next(p, &a)) {
    if (a.what == PLACE_DO_GET)
      place_stored(p, s->now, a.seq, s->text ? ERR_NONE : ERR_STORE_ABSENT,
                   s->version, s->text);
    if (a.what == PLACE_DO_PUT) serve_put(s, p, &a);
    if (a.what == PLACE_DO_ORDER) serve_order(s, p, &a);
    g_free(a.text);
  }
}

static void look(Shop *s, Place *p) {
  place_look(p, s->now, s->targets, TARGETS, &s->want, s->want.adapter[0] != 0);
}

static void run(Shop *s, Place *p, int seconds) {
  for (int i = 0; i < seconds; i++) {
    look(s, p);
    act(s, p);
    s->now += 1;
  }
}

static Place *home(void) {
  Place *p = place_new();
  place_home(p, true);
  return p;
}

static int loaded(const Shop *s) {
  int n = 0;
  for (int i = 0; i < TARGETS; i++) n += list_has(s->loaded[i], "tuned");
  return n;
}

/* Targets to which requests may go. */
static int routable(const Shop *s) {
  Plan *plan = plan_read(s->text);
  int n = 0;
  for (guint i = 0; i < plan->items->len; i++)
    n += g_array_index(plan->items, PlanItem, i).state == PLAN_LOADED;
  plan_free(plan);
  return n;
}

static void busy(Shop *s, double load) {
  for (int i = 0; i < TARGETS; i++)
    s->targets[i].running =
        list_has(s->loaded[i], "tuned") ? (int)(load * 10) : 1;
}

/* == decisions == */

Test(place, an_adapter_that_is_asked_for_is_loaded_where_it_is_calm) {
  Shop *s = shop_new();
  Place *p = home();
  for (int i = 0; i < TARGETS; i++) s->targets[i].running = 5 - i;
  run(s, p, 5);
  cr_assert_str_eq(s->loaded[3], "tuned");
  cr_assert_eq(loaded(s), 1);
  cr_assert_eq(routable(s), 1);
  place_free(p);
  shop_free(s);
}

Test(place, the_operators_own_placement_counts_and_stays) {
  Shop *s = shop_new();
  Place *p = home();
  g_strlcpy(s->targets[0].fixed, "tuned;base", LIMIT_ADAPTERS_BYTES);
  run(s, p, 5);
  cr_assert_eq(s->orders, 0);
  s->want.least = 2;
  g_strlcpy(s->targets[1].fixed, "other", LIMIT_ADAPTERS_BYTES);
  s->targets[2].running = s->targets[3].running = 9;
  run(s, p, 5);
  cr_assert_str_eq(s->loaded[1], "other;tuned");
  place_free(p);
  shop_free(s);
}

Test(place, it_grows_when_busy_for_long_and_shrinks_when_calm_for_longer) {
  Shop *s = shop_new();
  Place *p = home();
  run(s, p, 5);
  for (int i = 0; i < 8;
       i++) { /* busy for eight seconds only, again and again */
    busy(s, 1);
    run(s, p, 8);
    busy(s, 0.5);
    run(s, p, 2);
  }
  cr_assert_eq(loaded(s), 1);
  for (int i = 0; i < 15; i++) {
    busy(s, 1);
    run(s, p, 1);
  }
  cr_assert_eq(loaded(s), 2);
  int puts = s->puts;
  for (int i = 0; i < 100; i++) { /* between the marks nothing moves */
    busy(s, i % 2 ? 0.3 : 0.7);
    run(s, p, 1);
  }
  cr_assert_eq(s->puts, puts);
  busy(s, 0);
  run(s, p, 130);
  cr_assert_eq(routable(s), 1);
  cr_assert_eq(loaded(s), 2); /* not before all instances know */
  run(s, p, 40);
  cr_assert_eq(loaded(s), 1);
  run(s, p, 600);
  cr_assert_eq(loaded(s), 1); /* never below the least */
  place_free(p);
  shop_free(s);
}

/* Two adapters are busy alike: they do not move in the same ten seconds. */
Test(place, demand_moves_one_adapter_in_ten_seconds) {
  Shop *s = shop_new();
  Place *p = home();
  PlaceWant wants[2] = {{.adapter = "a", .least = 1, .asked = 1},
                        {.adapter = "b", .least = 1, .asked = 1}};
  int before = 0, most = 0, changes[200] = {0};
  for (int second = 0; second < 200; second++) {
    for (int i = 0; i < TARGETS; i++)
      s->targets[i].running = s->loaded[i][0] ? 20 : 1;
    place_look(p, s->now, s->targets, TARGETS, wants, 2);
    act(s, p);
    s->now += 1;
    int now = 0;
    for (int i = 0; i < TARGETS; i++)
      now += list_has(s->loaded[i], "a") + list_has(s->loaded[i], "b");
    changes[second] = second > 5 ? now - before : 0;
    before = now;
  }
  for (int second = 9; second < 200; second++) {
    int sum = 0;
    for (int i = 0; i < 9; i++) sum += changes[second - i];
    most = MAX(most, sum);
  }
  cr_assert_eq(most, 1);
  cr_assert_geq(before, 3);
  place_free(p);
  shop_free(s);
}

Test(place, it_grows_no_further_than_the_table_says) {
  Shop *s = shop_new();
  Place *p = home();
  s->want.most = 3;
  for (int second = 0; second < 100; second++) {
    busy(s, 2);
    run(s, p, 1);
  }
  cr_assert_eq(loaded(s), 3);
  place_free(p);
  shop_free(s);
}

Test(place, a_lost_target_is_replaced_at_once) {
  Shop *s = shop_new();
  Place *p = home();
  run(s, p, 5);
  int first = list_has(s->loaded[0], "tuned") ? 0 : 1;
  s->dead[first] = true;
  s->targets[first].live = false;
  run(s, p, 4);
  cr_assert_eq(loaded(s), 2);
  cr_assert_geq(routable(s), 1);
  place_free(p);
  shop_free(s);
}

Test(place, an_adapter_that_nobody_asks_for_is_unloaded) {
  Shop *s = shop_new();
  Place *p = home();
  run(s, p, 5);
  s->want.adapter[0] = '\0'; /* the service's row is gone */
  run(s, p, 3);
  cr_assert_eq(routable(s), 0);
  cr_assert_eq(loaded(s), 1);
  run(s, p, 30);
  cr_assert_eq(loaded(s), 0);
  cr_assert_str_eq(s->text, "[]");
  place_free(p);
  shop_free(s);
}

/* == homes that sleep, stores that lose answers == */

Test(place, a_lost_answer_of_the_store_is_read_again) {
  Shop *s = shop_new();
  Place *p = home();
  s->lose = true;
  run(s, p, 2);
  cr_assert_eq(s->orders, 0); /* nothing is ordered on a guess */
  run(s, p, 8);
  cr_assert_eq(loaded(s), 1);
  cr_assert_eq(s->puts, 2); /* the plan, and that it is loaded */
  place_free(p);
  shop_free(s);
}

/* The home sleeps over a takeover; what it ordered before it slept comes late.
 */
static void sleep_over(Shop *s, PlaceFaults f) {
  Place *old = home(), *new = home();
  place_faults(old, f);
  run(s, old, 5);
  /* It decides on another target, and sleeps before anything leaves. */
  s->want.least = 2;
  look(s, old);
  s->want.least = 1;
  s->want.adapter[0] = '\0';
  run(s, new, 30); /* the new home takes everything away */
  cr_assert_eq(loaded(s), 0);
  act(s, old); /* it wakes up */
  s->want.adapter[0] = 't';
  s->want.least = 0;
  run(s, old, 3);
  place_free(old);
  place_free(new);
}

Test(place, late_orders_of_a_paused_home_do_nothing_at_targets_that_check) {
  Shop *s = shop_new();
  sleep_over(s, (PlaceFaults){0});
  cr_assert_eq(loaded(s), 0);
  shop_free(s);
}

/* Targets that do not check get what was decided, never what was not kept. */
Test(place, a_paused_home_orders_nothing_that_was_not_kept) {
  Shop *s = shop_new();
  for (int i = 0; i < TARGETS; i++) s->checks[i] = false;
  sleep_over(s, (PlaceFaults){0});
  cr_assert_eq(loaded(s), 0);
  shop_free(s);
}

Test(place, orders_before_the_plan_is_kept_would_go_wrong) {
  Shop *s = shop_new();
  for (int i = 0; i < TARGETS; i++) s->checks[i] = false;
  sleep_over(s, (PlaceFaults){.no_fence = true});
  cr_assert_gt(loaded(s), 0, "the switch does nothing");
  shop_free(s);
}

/* At targets that do not check an old list may come late; it is put right. */
Test(place, what_a_target_forgot_is_ordered_again) {
  Shop *s = shop_new();
  Place *p = home();
  run(s, p, 5);
  for (int i = 0; i < TARGETS; i++) s->loaded[i][0] = '\0';
  run(s, p, 35);
  cr_assert_eq(loaded(s), 1);
  place_free(p);
  shop_free(s);
}

Test(place, a_result_of_an_earlier_time_as_home_is_not_taken) {
  Shop *s = shop_new();
  Place *p = home();
  run(s, p, 5);
  s->want.least = 2;
  look(s, p); /* a PUT is on its way */
  PlaceAction a, late = {0};
  while (place_next(p, &a)) {
    if (a.what == PLACE_DO_PUT) late = a;
    if (a.what != PLACE_DO_PUT) g_free(a.text);
  }
  place_home(p, false);
  place_home(p, true);
  s->now += 1;
  look(s, p); /* reads */
  place_stored(p, s->now, late.seq, ERR_NONE, 99, NULL);
  act(s, p);
  run(s, p, 5);
  cr_assert_eq(loaded(s), 2); /* and not an empty plan at version 99 */
  g_free(late.text);
  place_free(p);
  shop_free(s);
}
