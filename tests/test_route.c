/* test_route.c: choice, ejection, retries. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/route.h"

static Route *fleet(int n, int slots) {
  RouteTarget list[200] = {0};
  for (int i = 0; i < n; i++) {
    snprintf(list[i].name, LIMIT_NAME_BYTES, "t%d", i);
    list[i].slots = slots;
  }
  Route *r = route_new(1, ROUTE_OURS);
  route_set_targets(r, list, n);
  for (int i = 0; i < n; i++) route_apply_load(r, 0, list[i].name, 0, 0, 0.001);
  return r;
}

static int count_picks(Route *r, double now, const char *name, int tries) {
  int n = 0;
  for (int i = 0; i < tries; i++) {
    RouteRequest request = {.tokens = 10};
    RouteChoice c;
    if (!route_pick(r, now, &request, &c)) continue;
    n += strcmp(c.name, name) == 0;
    route_note_done(r, now, c.name, ROUTE_OK, 10, 0.01, 1);
  }
  return n;
}

Test(route, leaving_target_gets_no_requests) {
  Route *r = fleet(3, 8);
  route_set_leaving(r, "t1", true);
  cr_assert_eq(count_picks(r, 0, "t1", 200), 0);
  route_set_leaving(r, "t1", false);
  cr_assert_gt(count_picks(r, 0, "t1", 200), 20);
  route_free(r);
}

/* Even in a large pool every target gets work. */
Test(route, all_of_two_hundred_targets_get_requests) {
  Route *r = fleet(200, 1);
  for (int i = 0; i < 200; i++) {
    RouteRequest request = {.tokens = 10};
    RouteChoice c;
    cr_assert(route_pick(r, 0, &request, &c));
    cr_assert_eq(c.candidates, 200);
  }
  for (int i = 0; i < 200; i++) cr_assert_eq(route_state(r, 0, i).own_open, 1);
  route_free(r);
}

Test(route, own_dispatches_count_until_the_next_load_report) {
  Route *r = fleet(2, 4);
  for (int i = 0; i < 8; i++) {
    RouteRequest request = {.tokens = 10};
    RouteChoice c;
    cr_assert(route_pick(r, 0, &request, &c));
  }
  cr_assert_eq(route_free_slots(r, 0), 0);
  RouteState a = route_state(r, 0, 0), b = route_state(r, 0, 1);
  cr_assert_eq(a.own_open, 4);
  cr_assert_eq(b.own_open, 4);
  route_free(r);
}

/* All instances have the same old report, in which one target has the lowest
   load. */
static int herd(int instances) {
  int count = 0;
  for (uint32_t k = 0; k < 8; k++) {
    Route *r = fleet(4, 8);
    route_set_instances(r, instances);
    for (int i = 0; i < 4; i++) {
      char name[8];
      snprintf(name, sizeof name, "t%d", i);
      route_apply_load(r, 0, name, i == 0 ? 2 : 5, 0, 0.001);
    }
    for (int i = 0; i < 4; i++) {
      RouteRequest request = {.tokens = 10};
      RouteChoice c;
      route_pick(r, 0.2, &request, &c);
      count += strcmp(c.name, "t0") == 0;
    }
    route_free(r);
  }
  return count;
}

Test(route, many_instances_do_not_herd_on_a_stale_report) {
  int alone = herd(1), together = herd(8);
  cr_assert(together <= 16 && together < alone,
            "%d of 32 sent to one of four, %d for a single instance", together,
            alone);
}

Test(route, equal_prefixes_go_to_the_same_target) {
  Route *r = fleet(4, 64);
  char prompt[8192];
  memset(prompt, 'x', sizeof prompt);
  RouteRequest request = {.tokens = 2048};
  request.n_blocks = route_hash_blocks(prompt, sizeof prompt, request.blocks);
  cr_assert_eq(request.n_blocks, 32);
  RouteChoice first, c;
  cr_assert(route_pick(r, 0, &request, &first));
  for (int i = 0; i < 20; i++) {
    cr_assert(route_pick(r, 0, &request, &c));
    cr_assert_str_eq(c.name, first.name);
    cr_assert_eq(c.cached, 2048);
  }
  route_free(r);
}

Test(route, at_most_half_of_the_targets_are_ejected) {
  Route *r = fleet(4, 8);
  for (int round = 0; round < 10; round++)
    for (int i = 0; i < 4; i++) {
      char name[8];
      snprintf(name, sizeof name, "t%d", i);
      route_note_unresponsive(r, 0, name);
    }
  int out = 0;
  for (int i = 0; i < 4; i++) out += route_state(r, 0, i).ejected;
  cr_assert_eq(out, 2);
  route_free(r);
}

Test(route, one_request_probes_an_ejected_target) {
  Route *r = fleet(2, 8);
  for (int i = 0; i < 3; i++) route_note_unresponsive(r, 0, "t0");
  cr_assert(route_state(r, 0, 0).ejected);
  cr_assert_eq(count_picks(r, 0.1, "t0", 50), 0);
  int probes = 0;
  for (int i = 0; i < 50; i++) {
    RouteRequest request = {.tokens = 10};
    RouteChoice c;
    cr_assert(route_pick(r, 40, &request, &c));
    probes += c.probe;
  }
  cr_assert_eq(probes, 1);
  route_note_done(r, 40, "t0", ROUTE_OK, 10, 0.01, 1);
  cr_assert_not(route_state(r, 40, 0).ejected);
  route_free(r);
}

Test(route, retries_stay_within_their_budget) {
  Route *r = fleet(2, 8);
  int retries = 0;
  for (int i = 0; i < 1000; i++) retries += route_may_retry(r, "c", "t0");
  cr_assert_leq(retries, 5);
  count_picks(r, 0, "t0", 100);
  for (int i = 0; i < 1000; i++) retries += route_may_retry(r, "c", "t0");
  cr_assert_leq(retries, 10, "one for ten successes, and a burst of five");
  route_free(r);
}

Test(route, failed_request_is_not_sent_to_the_same_target) {
  Route *r = fleet(2, 8);
  RouteRequest request = {.tokens = 10, .tried = {"t0"}};
  RouteChoice c;
  for (int i = 0; i < 20; i++) {
    cr_assert(route_pick(r, 0, &request, &c));
    cr_assert_str_eq(c.name, "t1");
  }
  request.tried[1] = "t1";
  cr_assert_not(route_pick(r, 0, &request, &c));
  route_free(r);
}

/* A single failing target or customer does not use up the retries of all. */
Test(route, retries_have_budgets_for_target_and_customer) {
  Route *r = fleet(3, 8);
  int n = 0;
  for (int i = 0; i < 20; i++) {
    char customer[8];
    snprintf(customer, sizeof customer, "c%d", i);
    n += route_may_retry(r, customer, "t1");
    /* Successes of another target refill the budget of the pool. */
    for (int k = 0; k < 20; k++)
      route_note_done(r, 0, "t0", ROUTE_OK, 10, 0.01, 1);
  }
  cr_assert_eq(n, 5, "the target's budget is used up: %d", n);
  cr_assert(route_may_retry(r, "c0", "t2"), "other budgets are not");
  route_free(r);
  r = fleet(3, 8);
  for (int i = 0; i < 3; i++) cr_assert(route_may_retry(r, "a", "t1"));
  count_picks(r, 0, "t0", 300); /* refills the budget of the pool */
  n = 0;
  while (n < 10 && route_may_retry(r, "a", "t2")) n++;
  cr_assert_eq(n, 2, "the customer's budget is not full");
  for (int i = 0; i < 20; i++) route_note_success(r, "a");
  cr_assert(route_may_retry(r, "a", "t2"), "successes earned two retries");
  route_free(r);
}

Test(route, only_targets_that_meet_the_requirements_are_candidates) {
  RouteTarget list[3] = {
      {.name = "a", .dc = "nord", .adapters = "x;tuned", .version = "v2"},
      {.name = "b", .dc = "sued", .adapters = "tuned2", .version = "v2"},
      {.name = "c", .dc = "west", .version = "v1"}};
  static const struct {
    RouteRequest request;
    const char *fit;
  } cases[] = {{{.adapter = "tuned"}, "a"},
               {{.adapter = "tuned2"}, "b"},
               {{.adapter = "tune"}, ""},
               {{.version = "v2"}, "ab"},
               {{.version = "v"}, ""},
               {{.dcs = "west;nord"}, "ac"},
               {{.dcs = "sue"}, ""},
               {{.adapter = ""}, "abc"},
               {{.dcs = "nord", .version = "v1"}, ""}};
  for (size_t k = 0; k < sizeof cases / sizeof *cases; k++) {
    Route *r = route_new(1, ROUTE_ROUND_ROBIN);
    RouteChoice c;
    for (int i = 0; i < 3; i++) list[i].slots = 8;
    route_set_targets(r, list, 3);
    bool ok = route_pick(r, 0, &cases[k].request, &c);
    cr_assert_eq(ok, cases[k].fit[0] != '\0', "case %zu", k);
    if (ok) cr_assert_not_null(strstr(cases[k].fit, c.name), "case %zu", k);
    if (ok) cr_assert_eq((size_t)c.candidates, strlen(cases[k].fit));
    route_free(r);
  }
}
