/* test_pool.c: the cost of adding and choosing among thousands of targets, in
   visits to single targets, and the homes of prompts there.

   The load that this is for: a thousand instances with half a request per
   second each and ten thousand targets, so that work done once for each target
   or member dominates. */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "route/targets.h"

static const int sizes[] = {1000, 10000, 20000};
#define SIZES G_N_ELEMENTS(sizes)

static void add(Targets *s, int i) {
  TargetInfo t = {.slots = 64, .revision = 10};
  snprintf(t.id, sizeof t.id, "i-%08x", (unsigned)i * 2654435761U);
  snprintf(t.addr, sizeof t.addr, "10.0.%d.%d:80", i / 256, i % 256);
  g_strlcpy(t.service, "svc", sizeof t.service);
  g_strlcpy(t.dc, i % 2 ? "a" : "b", sizeof t.dc);
  targets_set(s, 0, &t);
}

static Targets *targets_with(int n, uint32_t seed) {
  Targets *s = targets_new("a", seed);
  for (int i = 0; i < n; i++) add(s, i);
  return s;
}

static RequestInfo prompt(uint64_t key) {
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  a.parts[0] = (RequestPart){key, 8000};
  a.parts[1] = (RequestPart){key + 1000000, 1000};
  return a;
}

static TargetChoice choose(Targets *s, double now, const RequestInfo *a) {
  TargetRequest request = {.service = "svc", .info = a, .engine = true};
  return targets_pick(s, now, &request);
}

/* Adding n targets costs at most the visits of one sort, and one visit for
   each later target. */
Test(pool, adding_many_targets_costs_one_sort) {
  for (size_t k = 0; k < SIZES; k++) {
    int n = sizes[k];
    Targets *s = targets_with(n, 1);
    RequestInfo a = prompt(1);
    cr_assert_not_null(choose(s, 1, &a).target);
    double highest = 2.0 * n * log2(n);
    cr_assert_lt((double)targets_visits(s), highest, "%d", n);
    targets_free(s);
  }
}

Test(pool, later_target_costs_no_sort) {
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = targets_with(sizes[k], 1);
    RequestInfo a = prompt(1);
    choose(s, 1, &a);
    uint64_t before = targets_visits(s);
    for (int i = 0; i < 100; i++) {
      add(s, sizes[k] + i);
      choose(s, 1, &a);
    }
    uint64_t each = (targets_visits(s) - before) / 100;
    cr_assert_lt(each, 800, "%d: %d visits", sizes[k], (int)each);
    targets_free(s);
  }
}

/* The number of visits for a choice does not grow with the pool: twenty times
   as many targets cost a few more steps of a binary search. */
Test(pool, choice_visits_a_bounded_number_of_targets) {
  double lowest = INFINITY, highest = 0;
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = targets_with(sizes[k], 1);
    uint64_t queried[TARGETS_MAX_QUERIED];
    RequestInfo a = prompt(1);
    choose(s, 1, &a);
    uint64_t before = targets_visits(s);
    for (uint64_t i = 0; i < 100; i++) {
      a = prompt(i);
      TargetRequest request = {.service = "svc", .info = &a, .engine = true};
      cr_assert_geq(targets_to_query(s, 1, &request, queried), 1);
      cr_assert_not_null(choose(s, 1, &a).target);
    }
    double each = (double)(targets_visits(s) - before) / 100;
    lowest = MIN(lowest, each);
    highest = MAX(highest, each);
    targets_free(s);
  }
  cr_assert_lt(highest, 2000);
  cr_assert_lt(highest, 1.5 * lowest, "%g to %g visits", lowest, highest);
}

Test(pool, homes_do_not_depend_on_the_order_of_additions) {
  int all = 2000;
  Targets *s = targets_with(all, 1), *other = targets_new("b", 99);
  for (int i = all - 1; i >= 0; i--) add(other, i);
  for (uint64_t k = 0; k < 200; k++) {
    RequestInfo a = prompt(k);
    TargetRequest request = {.service = "svc", .info = &a, .engine = true};
    uint64_t here[TARGETS_MAX_QUERIED], there[TARGETS_MAX_QUERIED];
    int n = targets_to_query(s, 1, &request, here);
    cr_assert_eq(targets_to_query(other, 1, &request, there), n);
    cr_assert_eq(here[0], there[0], "%d", (int)k);
    cr_assert(n < 2 || (here[1] == there[1] && here[0] != here[1]));
  }
  targets_free(s);
  targets_free(other);
}

/* The sender of a request queries a single instance, however large the pool
   is. */
Test(pool, queried_targets_have_one_counting_instance) {
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = targets_with(sizes[k], 1);
    GHashTable *counters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    int whole = 0;
    for (uint64_t i = 0; i < 300; i++) {
      RequestInfo a = prompt(i);
      TargetRequest request = {.service = "svc", .info = &a, .engine = true};
      uint64_t queried[TARGETS_MAX_QUERIED];
      int n = targets_to_query(s, 1, &request, queried);
      whole += n == TARGETS_MAX_QUERIED;
      for (int x = 1; x < n; x++)
        cr_assert_eq(targets_counter(s, queried[x]),
                     targets_counter(s, queried[0]));
    }
    cr_assert_gt(whole, 285, "%d: groups of fewer than three should be rare",
                 whole);
    for (int i = 0; i < sizes[k]; i++) {
      char id[LIMIT_NAME_BYTES];
      snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
      uint64_t name = targets_counter(s, targets_hash_by_id(s, id));
      g_hash_table_add(counters, g_memdup2(&name, sizeof name));
    }
    double each = (double)sizes[k] / g_hash_table_size(counters);
    cr_assert(each >= 8 && each <= 20, "%d: %g targets per counting instance",
              sizes[k], each);
    g_hash_table_destroy(counters);
    targets_free(s);
  }
}

Test(pool, each_target_of_a_small_pool_has_its_own_counter) {
  Targets *s = targets_with(160, 1);
  uint64_t hash = targets_hash_by_id(s, "i-00000000");
  cr_assert_eq(targets_counter(s, hash), hash);
  cr_assert_eq(targets_counter(s, 12345), 0, "unknown target");
  targets_free(s);
}

/* The first home of each of many prompts. */
static void find_homes(Targets *s, uint64_t *homes, int prompts) {
  for (int k = 0; k < prompts; k++) {
    RequestInfo a = prompt((uint64_t)k);
    uint64_t queried[TARGETS_MAX_QUERIED];
    TargetRequest request = {.service = "svc", .info = &a, .engine = true};
    targets_to_query(s, 1, &request, queried);
    homes[k] = queried[0];
  }
}

Test(pool, homes_are_balanced_and_stable) {
  enum { TARGETS = 600, PROMPTS = 12000 };
  Targets *s = targets_with(TARGETS, 1);
  uint64_t *before = g_new(uint64_t, PROMPTS),
           *after = g_new(uint64_t, PROMPTS);
  GHashTable *counts = g_hash_table_new(g_int64_hash, g_int64_equal);
  int highest = 0, moved = 0;
  find_homes(s, before, PROMPTS);
  for (int k = 0; k < PROMPTS; k++) {
    int n = GPOINTER_TO_INT(g_hash_table_lookup(counts, &before[k])) + 1;
    g_hash_table_insert(counts, &before[k], GINT_TO_POINTER(n));
    highest = MAX(highest, n);
  }
  cr_assert_lt(highest, 3 * PROMPTS / TARGETS, "%d of %d at one", highest,
               PROMPTS / TARGETS);
  for (int i = 0; i < 6; i++) {
    char id[LIMIT_NAME_BYTES];
    snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
    targets_remove(s, 1, id, false);
  }
  find_homes(s, after, PROMPTS);
  for (int k = 0; k < PROMPTS; k++) moved += before[k] != after[k];
  cr_assert_lt(moved, 3 * 6 * PROMPTS / TARGETS, "%d moved", moved);
  g_hash_table_destroy(counts);
  g_free(before);
  g_free(after);
  targets_free(s);
}

/* The few usable targets are found where nearly all are unusable. */
Test(pool, last_usable_targets_are_found) {
  int n = 5000;
  Targets *s = targets_with(n, 1);
  for (int i = 0; i < n - 2; i++) {
    char id[LIMIT_NAME_BYTES];
    snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
    targets_remove(s, 0, id, false);
  }
  for (uint64_t k = 0; k < 20; k++) {
    RequestInfo a = prompt(k);
    cr_assert_not_null(choose(s, 1, &a).target);
  }
  targets_free(s);
}

/* Sixteen sampled targets besides the homes instead of all: plain requests,
   and each instance knows only its own. */
Test(pool, sampled_targets_share_the_work) {
  Targets *s = targets_with(2000, 3);
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  int highest = 0;
  for (int i = 0; i < 4000; i++) {
    TargetChoice c = targets_pick(s, 1, &request);
    target_note_sent(c.target, 1, &a, &c);
    highest = MAX(highest, target_open(c.target));
  }
  cr_assert_leq(highest, 5, "two each on average, %d at most", highest);
  targets_free(s);
}
