/* test_place.c: decisions of a pool's home, and the effect of its orders when
   homes pause or the store loses an answer. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "kernel/list.h"
#include "place/place.h"

#define TARGETS 4

/* == simulated store, four targets and up to two homes == */

typedef struct World {
  char *text; /* the stored plan */
  uint64_t version, fence[TARGETS];
  char loaded[TARGETS][LIMIT_ADAPTERS_BYTES];
  bool enforces_fence[TARGETS],
      dead[TARGETS]; /* rejects old fences; does not answer */
  int orders, stale_orders, puts;
  bool lose_next_answer; /* of the store to the next PUT, which it applies */
  PlaceTarget targets[TARGETS];
  PlaceRequirement want;
  double now;
} World;

static World *world_new(void) {
  World *s = g_new0(World, 1);
  for (int i = 0; i < TARGETS; i++) {
    PlaceTarget *t = &s->targets[i];
    snprintf(t->name, sizeof t->name, "t%d", i);
    t->slots = 10;
    t->max_adapters = 2;
    t->live = true;
    s->enforces_fence[i] = true;
  }
  s->want = (PlaceRequirement){
      .adapter = "tuned", .min_targets = 1, .recent_requests = 1};
  return s;
}

static void world_free(World *s) {
  g_free(s->text);
  g_free(s);
}

static void serve_put(World *s, Place *p, const PlaceAction *a) {
  ErrKind kind = ERR_STORE_CONFLICT;
  if (a->version == s->version) {
    g_free(s->text);
    s->text = g_strdup(a->text);
    s->version++;
    s->puts++;
    kind = s->lose_next_answer ? ERR_STORE_UNKNOWN : ERR_NONE;
    s->lose_next_answer = false;
  }
  place_on_store_result(p, s->now, a->seq, kind, s->version, NULL);
}

static void serve_order(World *s, Place *p, const PlaceAction *a) {
  int i = a->target[1] - '0';
  PlaceOrderResult answer = PLACE_DONE;
  if (s->dead[i]) answer = PLACE_FAILED;
  if (s->enforces_fence[i] && a->version < s->fence[i]) {
    s->stale_orders++;
    answer = PLACE_FENCED;
  }
  if (answer == PLACE_DONE) {
    s->orders++;
    s->fence[i] = a->version;
    g_strlcpy(s->loaded[i], a->adapters, LIMIT_ADAPTERS_BYTES);
  }
  place_on_order_result(p, s->now, a->target, a->version, a->adapters, answer);
}

static void perform_actions(World *s, Place *p) {
  PlaceAction a;
  while (place_next_action(p, &a)) {
    if (a.action == PLACE_GET_PLAN)
      place_on_store_result(p, s->now, a.seq,
                            s->text ? ERR_NONE : ERR_STORE_ABSENT, s->version,
                            s->text);
    if (a.action == PLACE_PUT_PLAN) serve_put(s, p, &a);
    if (a.action == PLACE_SEND_ORDER) serve_order(s, p, &a);
    g_free(a.text);
  }
}

static void update(World *s, Place *p) {
  place_update(p, s->now, s->targets, TARGETS, &s->want,
               s->want.adapter[0] != 0);
}

static void run(World *s, Place *p, int seconds) {
  for (int i = 0; i < seconds; i++) {
    update(s, p);
    perform_actions(s, p);
    s->now += 1;
  }
}

static Place *new_home(void) {
  Place *p = place_new();
  place_set_home(p, true);
  return p;
}

static int count_loaded(const World *s) {
  int n = 0;
  for (int i = 0; i < TARGETS; i++) n += list_has(s->loaded[i], "tuned");
  return n;
}

/* Counts the targets to which requests may go. */
static int count_routable(const World *s) {
  Plan *plan = plan_parse(s->text);
  int n = 0;
  for (guint i = 0; i < plan->items->len; i++)
    n += g_array_index(plan->items, PlanItem, i).state == PLAN_LOADED;
  plan_free(plan);
  return n;
}

static void set_load(World *s, double load) {
  for (int i = 0; i < TARGETS; i++)
    s->targets[i].running =
        list_has(s->loaded[i], "tuned") ? (int)(load * 10) : 1;
}

/* == decisions == */

Test(place, a_requested_adapter_is_loaded_on_the_least_busy_target) {
  World *s = world_new();
  Place *p = new_home();
  for (int i = 0; i < TARGETS; i++) s->targets[i].running = 5 - i;
  run(s, p, 5);
  cr_assert_str_eq(s->loaded[3], "tuned");
  cr_assert_eq(count_loaded(s), 1);
  cr_assert_eq(count_routable(s), 1);
  place_free(p);
  world_free(s);
}

Test(place, configured_adapters_count_and_stay) {
  World *s = world_new();
  Place *p = new_home();
  g_strlcpy(s->targets[0].configured, "tuned;base", LIMIT_ADAPTERS_BYTES);
  run(s, p, 5);
  cr_assert_eq(s->orders, 0);
  s->want.min_targets = 2;
  g_strlcpy(s->targets[1].configured, "other", LIMIT_ADAPTERS_BYTES);
  s->targets[2].running = s->targets[3].running = 9;
  run(s, p, 5);
  cr_assert_str_eq(s->loaded[1], "other;tuned");
  place_free(p);
  world_free(s);
}

Test(place, grows_after_sustained_load_and_shrinks_after_longer_idleness) {
  World *s = world_new();
  Place *p = new_home();
  run(s, p, 5);
  for (int i = 0; i < 8; i++) { /* busy for eight seconds at a time */
    set_load(s, 1);
    run(s, p, 8);
    set_load(s, 0.5);
    run(s, p, 2);
  }
  cr_assert_eq(count_loaded(s), 1);
  for (int i = 0; i < 15; i++) {
    set_load(s, 1);
    run(s, p, 1);
  }
  cr_assert_eq(count_loaded(s), 2);
  int puts = s->puts;
  for (int i = 0; i < 100; i++) { /* between the thresholds nothing changes */
    set_load(s, i % 2 ? 0.3 : 0.7);
    run(s, p, 1);
  }
  cr_assert_eq(s->puts, puts);
  set_load(s, 0);
  run(s, p, 130);
  cr_assert_eq(count_routable(s), 1);
  cr_assert_eq(count_loaded(s), 2); /* not unloaded before all instances know */
  run(s, p, 40);
  cr_assert_eq(count_loaded(s), 1);
  run(s, p, 600);
  cr_assert_eq(count_loaded(s), 1); /* never below the minimum */
  place_free(p);
  world_free(s);
}

/* Two adapters are equally busy: at most one of them changes within ten
   seconds. */
Test(place, demand_changes_one_adapter_in_ten_seconds) {
  World *s = world_new();
  Place *p = new_home();
  PlaceRequirement required[2] = {
      {.adapter = "a", .min_targets = 1, .recent_requests = 1},
      {.adapter = "b", .min_targets = 1, .recent_requests = 1}};
  int before = 0, most = 0, changes[200] = {0};
  for (int second = 0; second < 200; second++) {
    for (int i = 0; i < TARGETS; i++)
      s->targets[i].running = s->loaded[i][0] ? 20 : 1;
    place_update(p, s->now, s->targets, TARGETS, required, 2);
    perform_actions(s, p);
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
  world_free(s);
}

Test(place, growth_stops_at_the_configured_maximum) {
  World *s = world_new();
  Place *p = new_home();
  s->want.max_targets = 3;
  for (int second = 0; second < 100; second++) {
    set_load(s, 2);
    run(s, p, 1);
  }
  cr_assert_eq(count_loaded(s), 3);
  place_free(p);
  world_free(s);
}

Test(place, a_lost_target_is_replaced_at_once) {
  World *s = world_new();
  Place *p = new_home();
  run(s, p, 5);
  int first = list_has(s->loaded[0], "tuned") ? 0 : 1;
  s->dead[first] = true;
  s->targets[first].live = false;
  run(s, p, 4);
  cr_assert_eq(count_loaded(s), 2);
  cr_assert_geq(count_routable(s), 1);
  place_free(p);
  world_free(s);
}

Test(place, an_unused_adapter_is_unloaded) {
  World *s = world_new();
  Place *p = new_home();
  run(s, p, 5);
  s->want.adapter[0] = '\0'; /* the service was removed from the table */
  run(s, p, 3);
  cr_assert_eq(count_routable(s), 0);
  cr_assert_eq(count_loaded(s), 1);
  run(s, p, 30);
  cr_assert_eq(count_loaded(s), 0);
  cr_assert_str_eq(s->text, "[]");
  place_free(p);
  world_free(s);
}

/* == paused homes, lost answers of the store == */

Test(place, a_lost_store_answer_is_resolved_by_a_read) {
  World *s = world_new();
  Place *p = new_home();
  s->lose_next_answer = true;
  run(s, p, 2);
  cr_assert_eq(s->orders, 0); /* no order while the outcome is unknown */
  run(s, p, 8);
  cr_assert_eq(count_loaded(s), 1);
  cr_assert_eq(s->puts, 2); /* the plan, and its change to loaded */
  place_free(p);
  world_free(s);
}

/* A home pauses while another takes over; the orders that it queued before the
   pause are sent after it. */
static void pause_over_takeover(World *s, PlaceFaults f) {
  Place *old = new_home(), *new = new_home();
  place_set_faults(old, f);
  run(s, old, 5);
  /* It decides on another target and pauses before anything is sent. */
  s->want.min_targets = 2;
  update(s, old);
  s->want.min_targets = 1;
  s->want.adapter[0] = '\0';
  run(s, new, 30); /* the new home unloads everything */
  cr_assert_eq(count_loaded(s), 0);
  perform_actions(s, old); /* the old home resumes */
  s->want.adapter[0] = 't';
  s->want.min_targets = 0;
  run(s, old, 3);
  place_free(old);
  place_free(new);
}

Test(place, fencing_targets_reject_stale_orders_of_a_paused_home) {
  World *s = world_new();
  pause_over_takeover(s, (PlaceFaults){0});
  cr_assert_eq(count_loaded(s), 0);
  world_free(s);
}

/* Targets that don't check the fence may get old orders, but only of plans that
   were stored. */
Test(place, a_paused_home_sends_no_order_before_its_plan_is_stored) {
  World *s = world_new();
  for (int i = 0; i < TARGETS; i++) s->enforces_fence[i] = false;
  pause_over_takeover(s, (PlaceFaults){0});
  cr_assert_eq(count_loaded(s), 0);
  world_free(s);
}

Test(place, orders_before_the_plan_is_stored_cause_a_fault) {
  World *s = world_new();
  for (int i = 0; i < TARGETS; i++) s->enforces_fence[i] = false;
  pause_over_takeover(s, (PlaceFaults){.no_fence = true});
  cr_assert_gt(count_loaded(s), 0, "the fault switch has no effect");
  world_free(s);
}

/* A target that does not check the fence may apply an old list; the repeated
   order corrects it. */
Test(place, adapters_lost_by_a_target_are_ordered_again) {
  World *s = world_new();
  Place *p = new_home();
  run(s, p, 5);
  for (int i = 0; i < TARGETS; i++) s->loaded[i][0] = '\0';
  run(s, p, 35);
  cr_assert_eq(count_loaded(s), 1);
  place_free(p);
  world_free(s);
}

Test(place, a_result_from_an_earlier_term_as_home_is_ignored) {
  World *s = world_new();
  Place *p = new_home();
  run(s, p, 5);
  s->want.min_targets = 2;
  update(s, p); /* a PUT is pending */
  PlaceAction a, old_put = {0};
  while (place_next_action(p, &a)) {
    if (a.action == PLACE_PUT_PLAN) old_put = a;
    if (a.action != PLACE_PUT_PLAN) g_free(a.text);
  }
  place_set_home(p, false);
  place_set_home(p, true);
  s->now += 1;
  update(s, p); /* starts a GET */
  place_on_store_result(p, s->now, old_put.seq, ERR_NONE, 99, NULL);
  perform_actions(s, p);
  run(s, p, 5);
  cr_assert_eq(count_loaded(s), 2); /* not an empty plan at version 99 */
  g_free(old_put.text);
  place_free(p);
  world_free(s);
}
