/* test_pool.c: what learning and choosing among thousands of targets costs, in
   looks at single targets, and where prompts have their homes there.

   The load that this answers: a thousand instances with half a request a second
   each before ten thousand targets, so that what is done once for each target
   or member is most of the work. */
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

static Targets *some(int n, uint32_t seed) {
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
  TargetAsk ask = {.service = "svc", .ask = a, .engine = true};
  return targets_pick(s, now, &ask);
}

/* At most so many looks for n that come: those of one sort, and one look each
   for those that come later. */
Test(pool, learning_many_costs_one_sort) {
  for (size_t k = 0; k < SIZES; k++) {
    int n = sizes[k];
    Targets *s = some(n, 1);
    RequestInfo a = prompt(1);
    cr_assert_not_null(choose(s, 1, &a).target);
    double most = 2.0 * n * log2(n);
    cr_assert_lt((double)targets_looks(s), most, "%d", n);
    targets_free(s);
  }
}

Test(pool, one_that_comes_later_costs_no_sort) {
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = some(sizes[k], 1);
    RequestInfo a = prompt(1);
    choose(s, 1, &a);
    uint64_t before = targets_looks(s);
    for (int i = 0; i < 100; i++) {
      add(s, sizes[k] + i);
      choose(s, 1, &a);
    }
    uint64_t each = (targets_looks(s) - before) / 100;
    cr_assert_lt(each, 800, "%d: %d looks", sizes[k], (int)each);
    targets_free(s);
  }
}

/* A choice looks at a number of targets that does not follow the pool: twenty
   times as many cost a few steps more of a binary search. */
Test(pool, a_choice_looks_at_a_bounded_number) {
  double least = INFINITY, most = 0;
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = some(sizes[k], 1);
    uint64_t asked[TARGETS_ASKED];
    RequestInfo a = prompt(1);
    choose(s, 1, &a);
    uint64_t before = targets_looks(s);
    for (uint64_t i = 0; i < 100; i++) {
      a = prompt(i);
      TargetAsk ask = {.service = "svc", .ask = &a, .engine = true};
      cr_assert_geq(targets_to_ask(s, 1, &ask, asked), 1);
      cr_assert_not_null(choose(s, 1, &a).target);
    }
    double each = (double)(targets_looks(s) - before) / 100;
    least = MIN(least, each);
    most = MAX(most, each);
    targets_free(s);
  }
  cr_assert_lt(most, 2000);
  cr_assert_lt(most, 1.5 * least, "%g to %g looks", least, most);
}

Test(pool, instances_agree_on_homes_in_whatever_order_they_learned) {
  int all = 2000;
  Targets *s = some(all, 1), *other = targets_new("b", 99);
  for (int i = all - 1; i >= 0; i--) add(other, i);
  for (uint64_t k = 0; k < 200; k++) {
    RequestInfo a = prompt(k);
    TargetAsk ask = {.service = "svc", .ask = &a, .engine = true};
    uint64_t here[TARGETS_ASKED], there[TARGETS_ASKED];
    int n = targets_to_ask(s, 1, &ask, here);
    cr_assert_eq(targets_to_ask(other, 1, &ask, there), n);
    cr_assert_eq(here[0], there[0], "%d", (int)k);
    cr_assert(n < 2 || (here[1] == there[1] && here[0] != here[1]));
  }
  targets_free(s);
  targets_free(other);
}

/* Whoever sends a request speaks to one instance about it, whatever the pool.
 */
Test(pool, those_that_are_asked_for_have_one_counter) {
  for (size_t k = 0; k < SIZES; k++) {
    Targets *s = some(sizes[k], 1);
    GHashTable *counters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    int whole = 0;
    for (uint64_t i = 0; i < 300; i++) {
      RequestInfo a = prompt(i);
      TargetAsk ask = {.service = "svc", .ask = &a, .engine = true};
      uint64_t asked[TARGETS_ASKED];
      int n = targets_to_ask(s, 1, &ask, asked);
      whole += n == TARGETS_ASKED;
      for (int x = 1; x < n; x++)
        cr_assert_eq(targets_counter(s, asked[x]),
                     targets_counter(s, asked[0]));
    }
    cr_assert_gt(whole, 285, "%d: groups of fewer than three are rare", whole);
    for (int i = 0; i < sizes[k]; i++) {
      char id[LIMIT_NAME];
      snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
      uint64_t name = targets_counter(s, targets_life(s, id));
      g_hash_table_add(counters, g_memdup2(&name, sizeof name));
    }
    double each = (double)sizes[k] / g_hash_table_size(counters);
    cr_assert(each >= 8 && each <= 20, "%d: %g of each", sizes[k], each);
    g_hash_table_destroy(counters);
    targets_free(s);
  }
}

Test(pool, a_small_pool_has_a_counter_for_each) {
  Targets *s = some(160, 1);
  uint64_t life = targets_life(s, "i-00000000");
  cr_assert_eq(targets_counter(s, life), life);
  cr_assert_eq(targets_counter(s, 12345), 0, "it is not known");
  targets_free(s);
}

/* The first home of each of many prompts. */
static void homes_of(Targets *s, uint64_t *homes, int prompts) {
  for (int k = 0; k < prompts; k++) {
    RequestInfo a = prompt((uint64_t)k);
    uint64_t asked[TARGETS_ASKED];
    TargetAsk ask = {.service = "svc", .ask = &a, .engine = true};
    targets_to_ask(s, 1, &ask, asked);
    homes[k] = asked[0];
  }
}

Test(pool, homes_are_shared_out_and_stay_when_others_go) {
  enum { TARGETS = 600, PROMPTS = 12000 };
  Targets *s = some(TARGETS, 1);
  uint64_t *before = g_new(uint64_t, PROMPTS),
           *after = g_new(uint64_t, PROMPTS);
  GHashTable *counts = g_hash_table_new(g_int64_hash, g_int64_equal);
  int most = 0, moved = 0;
  homes_of(s, before, PROMPTS);
  for (int k = 0; k < PROMPTS; k++) {
    int n = GPOINTER_TO_INT(g_hash_table_lookup(counts, &before[k])) + 1;
    g_hash_table_insert(counts, &before[k], GINT_TO_POINTER(n));
    most = MAX(most, n);
  }
  cr_assert_lt(most, 3 * PROMPTS / TARGETS, "%d of %d at one", most,
               PROMPTS / TARGETS);
  for (int i = 0; i < 6; i++) {
    char id[LIMIT_NAME];
    snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
    targets_gone(s, 1, id, false);
  }
  homes_of(s, after, PROMPTS);
  for (int k = 0; k < PROMPTS; k++) moved += before[k] != after[k];
  cr_assert_lt(moved, 3 * 6 * PROMPTS / TARGETS, "%d moved", moved);
  g_hash_table_destroy(counts);
  g_free(before);
  g_free(after);
  targets_free(s);
}

/* Where next to all are out of use the few that are left are found. */
Test(pool, the_last_usable_ones_are_found) {
  int n = 5000;
  Targets *s = some(n, 1);
  for (int i = 0; i < n - 2; i++) {
    char id[LIMIT_NAME];
    snprintf(id, sizeof id, "i-%08x", (unsigned)i * 2654435761U);
    targets_gone(s, 0, id, false);
  }
  for (uint64_t k = 0; k < 20; k++) {
    RequestInfo a = prompt(k);
    cr_assert_not_null(choose(s, 1, &a).target);
  }
  targets_free(s);
}

/* Sixteen drawn ones beside the homes, against the walk of all: plain requests,
   each instance knowing its own alone. */
Test(pool, drawn_targets_share_the_work) {
  Targets *s = some(2000, 3);
  RequestInfo a = {0};
  TargetAsk ask = {.service = "svc", .ask = &a};
  int most = 0;
  for (int i = 0; i < 4000; i++) {
    TargetChoice c = targets_pick(s, 1, &ask);
    target_sent(c.target, 1, &a, &c);
    most = MAX(most, target_open(c.target));
  }
  cr_assert_leq(most, 5, "two each in the mean, %d at the busiest", most);
  targets_free(s);
}
