/* test_division.c: the line of first bytes, the parts of a prompt, and the
   division of a pool between long and short prompts. */
#include <criterion/criterion.h>
#include <math.h>

#include "route/division.h"
#include "route/fit.h"
#include "route/parts.h"

#define RATE 45000.0 /* tokens a second of the first line */

/* == the line == */

static double rate_after(double rate, double base, int points) {
  Fit f;
  GRand *r = g_rand_new_with_seed(5);
  fit_start(&f, 0.01, 1 / RATE, 5000);
  for (int i = 0; i < points; i++) {
    double x = g_rand_double_range(r, 200, 9000);
    fit_add(&f, x, (base + x / rate) * g_rand_double_range(r, 0.9, 1.1));
  }
  g_rand_free(r);
  return 1 / fit_slope(&f);
}

/* Engines three times as slow or as fast as the first line. */
Test(fit, it_follows_slow_and_fast_engines_within_a_hundred_answers) {
  double slow = rate_after(RATE / 3, 0.06, 100);
  double fast = rate_after(RATE * 3, 0.004, 100);
  cr_assert(slow > RATE / 3 * 0.7 && slow < RATE / 3 * 1.4, "%.0f", slow);
  cr_assert(fast > RATE * 3 * 0.6 && fast < RATE * 3 * 1.6, "%.0f", fast);
}

Test(fit, it_never_falls_below_nothing) {
  Fit f;
  fit_start(&f, 0.01, 1 / RATE, 5000);
  for (int i = 0; i < 200; i++) fit_add(&f, 9000 - 40 * i, 0.01 * i);
  cr_assert_geq(fit_slope(&f), 0);
  cr_assert_geq(fit_at(&f, 100000), 0);
}

/* == parts == */

static RequestInfo prompt(uint64_t shared, uint64_t own) {
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 3};
  a.parts[0] = (RequestPart){1, 2000};
  a.parts[1] = (RequestPart){shared, 4000};
  a.parts[2] = (RequestPart){own, 3000};
  return a;
}

Test(parts, a_part_counts_only_behind_all_before_it) {
  Parts *p = parts_new();
  RequestInfo a = prompt(5, 6), b = prompt(5, 7), c = prompt(9, 6);
  cr_assert_eq(parts_kept(p, &a, 1, 0), 0);
  uint64_t news[REQUEST_MAX_PARTS];
  parts_note(p, &a, 1, news);
  cr_assert_eq(parts_kept(p, &a, 2, 0), 9000);
  cr_assert_eq(parts_kept(p, &b, 2, 0), 6000, "its own part is new");
  cr_assert_eq(parts_kept(p, &c, 2, 0), 2000,
               "the last part has other parents");
  cr_assert_eq(parts_kept(p, &a, 100, 0), 0, "long unused");
  parts_forget(p);
  cr_assert_eq(parts_kept(p, &a, 2, 0), 0);
  cr_assert_eq(parts_shared(&a), 6000);
  cr_assert_eq(parts_key(&a), parts_key(&b));
  cr_assert_neq(parts_key(&a), parts_key(&c));
  parts_free(p);
}

Test(parts, others_learn_of_shared_parts_and_are_told_again_after_a_while) {
  Parts *p = parts_new(), *other = parts_new();
  RequestInfo a = prompt(5, 6), b = prompt(5, 7), c = prompt(8, 7);
  uint64_t news[REQUEST_MAX_PARTS];
  cr_assert_eq(parts_note(p, &a, 1, news), 2, "not its own part");
  parts_told(other, news, 2, 1);
  cr_assert_eq(parts_kept(other, &b, 2, 0), 6000);
  cr_assert_eq(parts_note(p, &b, 2, news), 0, "nothing new");
  cr_assert_eq(parts_note(p, &c, 3, news), 1, "one part is new");
  cr_assert_eq(parts_note(p, &b, 8, news), 2, "told again");
  parts_free(p);
  parts_free(other);
}

/* Each request has a part of its own: they filled the memory for good. */
Test(parts, what_is_lost_is_not_remembered_for_ever) {
  Parts *p = parts_new();
  uint64_t news[REQUEST_MAX_PARTS];
  for (uint64_t i = 0; i < 20000; i++) {
    RequestInfo a = prompt(i % 50, 1000 + i);
    parts_note(p, &a, 1 + (double)i * 0.1, news);
  }
  cr_assert_lt(parts_count(p), 2000, "%d", parts_count(p));
  RequestInfo a = prompt(49, 1000 + 19999);
  cr_assert_eq(parts_kept(p, &a, 2001, 0), 9000, "what is used is kept");
  parts_free(p);
}

/* == the division == */

/* `held` of a hundred streams beside long prompts had too long a pause. */
static void streams(Division *d, double now, int held) {
  for (int i = 0; i < 100; i++) division_stream(d, now, i < held);
}

Test(division, a_pool_is_shared_where_streams_are_seldom_held_up) {
  Division *d = division_new();
  cr_assert_lt(division_count(d, 1, 12), 12, "divided until it is known");
  streams(d, 2, 1);
  cr_assert_eq(division_count(d, 2, 12), 12);
  streams(d, 3, 6); /* 7 of 200: no reason to change yet */
  cr_assert_eq(division_count(d, 3, 12), 12);
  streams(d, 4, 30);
  cr_assert_lt(division_count(d, 4, 12), 12);
  streams(d, 5, 2); /* 39 of 400 */
  cr_assert_lt(division_count(d, 5, 12), 12);
  division_free(d);
}

Test(division, the_border_follows_what_is_to_be_read) {
  Division *d = division_new();
  division_read(d, 1, true, 300000);
  division_read(d, 1, false, 100000);
  cr_assert_eq(division_count(d, 1, 12), 9);
  cr_assert_eq(division_count(d, 1, 2), 2, "two are not divided");
  division_read(d, 2, false, 500000);
  cr_assert_eq(division_count(d, 2, 12), 4);
  for (int i = 0; i < 10; i++) division_read(d, 3, false, 1000000);
  cr_assert_eq(division_count(d, 3, 12), 1, "one is left for either");
  division_free(d);
}

Test(division, a_border_that_is_nearly_right_stays) {
  Division *d = division_new();
  division_read(d, 1, true, 800000);
  division_read(d, 1, false, 400000);
  cr_assert_eq(division_count(d, 1, 12), 8);
  division_read(d, 1, false, 60000); /* 7.7 of 12 */
  cr_assert_eq(division_count(d, 1, 12), 8);
  cr_assert_eq(division_count(d, 1, 11), 7, "one target left");
  cr_assert_eq(division_count(d, 1, 12), 8);
  division_free(d);
}

Test(division, all_instances_draw_the_same_border_from_what_they_tell) {
  Division *a = division_new(), *b = division_new();
  division_read(a, 1, true, 900000);
  division_read(b, 1, false, 300000);
  streams(a, 1, 20);
  streams(b, 1, 20);
  DivisionWord wa = division_own(a, 1.5), wb = division_own(b, 1.5);
  division_told(a, 1.5, 2, &wb);
  division_told(b, 1.5, 1, &wa);
  cr_assert_eq(division_count(a, 2, 12), division_count(b, 2, 12));
  cr_assert_eq(division_count(a, 2, 12), 9);
  for (int i = 0; i < 5; i++) division_told(a, 2, 2, &wb);
  cr_assert_eq(division_count(a, 2, 12), 9, "told again is not added");
  cr_assert_eq(division_own(a, 2).short_read < 11000, 1, "nor taken for ours");
  division_free(a);
  division_free(b);
}
