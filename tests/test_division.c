/* test_division.c: the line of first-byte times, the parts of a prompt, and
   the division of a pool between long and short prompts. */
#include <criterion/criterion.h>
#include <math.h>

#include "route/division.h"
#include "route/fit.h"
#include "route/parts.h"

#define TOKENS_PER_S 45000.0 /* of the initial line */

/* == line of first-byte times == */

static double rate_after(double rate, double base, int points) {
  Fit f;
  GRand *r = g_rand_new_with_seed(5);
  fit_init(&f, 0.01, 1 / TOKENS_PER_S, 5000);
  for (int i = 0; i < points; i++) {
    double x = g_rand_double_range(r, 200, 9000);
    fit_add(&f, x, (base + x / rate) * g_rand_double_range(r, 0.9, 1.1));
  }
  g_rand_free(r);
  return 1 / fit_slope(&f);
}

/* Engines three times as slow or as fast as the initial line, within a hundred
   answers. */
Test(fit, line_follows_slow_and_fast_engines) {
  double slow = rate_after(TOKENS_PER_S / 3, 0.06, 100);
  double fast = rate_after(TOKENS_PER_S * 3, 0.004, 100);
  cr_assert(slow > TOKENS_PER_S / 3 * 0.7 && slow < TOKENS_PER_S / 3 * 1.4,
            "%.0f", slow);
  cr_assert(fast > TOKENS_PER_S * 3 * 0.6 && fast < TOKENS_PER_S * 3 * 1.6,
            "%.0f", fast);
}

Test(fit, line_is_never_negative) {
  Fit f;
  fit_init(&f, 0.01, 1 / TOKENS_PER_S, 5000);
  for (int i = 0; i < 200; i++) fit_add(&f, 9000 - 40 * i, 0.01 * i);
  cr_assert_geq(fit_slope(&f), 0);
  cr_assert_geq(fit_value(&f, 100000), 0);
}

/* == parts == */

static RequestInfo prompt(uint64_t shared, uint64_t own) {
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 3};
  a.parts[0] = (RequestPart){1, 2000};
  a.parts[1] = (RequestPart){shared, 4000};
  a.parts[2] = (RequestPart){own, 3000};
  return a;
}

Test(parts, part_is_cached_only_after_all_previous_parts) {
  Parts *p = parts_new();
  RequestInfo a = prompt(5, 6), b = prompt(5, 7), c = prompt(9, 6);
  cr_assert_eq(parts_cached_tokens(p, &a, 1, 0), 0);
  uint64_t to_send[REQUEST_MAX_PARTS];
  parts_note_prompt(p, &a, 1, to_send);
  cr_assert_eq(parts_cached_tokens(p, &a, 2, 0), 9000);
  cr_assert_eq(parts_cached_tokens(p, &b, 2, 0), 6000,
               "its own part is not cached");
  cr_assert_eq(parts_cached_tokens(p, &c, 2, 0), 2000,
               "the last part follows other parts");
  cr_assert_eq(parts_cached_tokens(p, &a, 100, 0), 0, "expired");
  parts_clear(p);
  cr_assert_eq(parts_cached_tokens(p, &a, 2, 0), 0);
  cr_assert_eq(parts_shared_tokens(&a), 6000);
  cr_assert_eq(parts_key(&a), parts_key(&b));
  cr_assert_neq(parts_key(&a), parts_key(&c));
  parts_free(p);
}

Test(parts, shared_parts_are_sent_and_resent) {
  Parts *p = parts_new(), *other = parts_new();
  RequestInfo a = prompt(5, 6), b = prompt(5, 7), c = prompt(8, 7);
  uint64_t to_send[REQUEST_MAX_PARTS];
  cr_assert_eq(parts_note_prompt(p, &a, 1, to_send), 2,
               "not the request's own part");
  parts_apply_report(other, to_send, 2, 1);
  cr_assert_eq(parts_cached_tokens(other, &b, 2, 0), 6000);
  cr_assert_eq(parts_note_prompt(p, &b, 2, to_send), 0, "nothing new");
  cr_assert_eq(parts_note_prompt(p, &c, 3, to_send), 1, "one part is new");
  cr_assert_eq(parts_note_prompt(p, &b, 8, to_send), 2, "sent again");
  parts_free(p);
  parts_free(other);
}

/* Guards against unbounded growth: each request has a part of its own, and
   these were kept forever. */
Test(parts, expired_parts_are_removed) {
  Parts *p = parts_new();
  uint64_t to_send[REQUEST_MAX_PARTS];
  for (uint64_t i = 0; i < 20000; i++) {
    RequestInfo a = prompt(i % 50, 1000 + i);
    parts_note_prompt(p, &a, 1 + (double)i * 0.1, to_send);
  }
  cr_assert_lt(parts_count(p), 2000, "%d", parts_count(p));
  RequestInfo a = prompt(49, 1000 + 19999);
  cr_assert_eq(parts_cached_tokens(p, &a, 2001, 0), 9000,
               "used parts are kept");
  parts_free(p);
}

/* == division == */

/* Of a hundred streams beside long prompts, `stalled` had a pause that was too
   long. */
static void add_streams(Division *d, double now, int stalled) {
  for (int i = 0; i < 100; i++) division_note_stream(d, now, i < stalled);
}

Test(division, pool_is_divided_only_if_streams_stall) {
  Division *d = division_new();
  cr_assert_lt(division_count_long(d, 1, 12), 12,
               "divided until there is evidence");
  add_streams(d, 2, 1);
  cr_assert_eq(division_count_long(d, 2, 12), 12);
  add_streams(d, 3, 6); /* 7 of 200: below the threshold for a change */
  cr_assert_eq(division_count_long(d, 3, 12), 12);
  add_streams(d, 4, 30);
  cr_assert_lt(division_count_long(d, 4, 12), 12);
  add_streams(d, 5, 2); /* 39 of 400 */
  cr_assert_lt(division_count_long(d, 5, 12), 12);
  division_free(d);
}

Test(division, border_follows_the_tokens_to_read) {
  Division *d = division_new();
  division_note_prefill(d, 1, true, 300000);
  division_note_prefill(d, 1, false, 100000);
  cr_assert_eq(division_count_long(d, 1, 12), 9);
  cr_assert_eq(division_count_long(d, 1, 2), 2, "two targets are not divided");
  division_note_prefill(d, 2, false, 500000);
  cr_assert_eq(division_count_long(d, 2, 12), 4);
  for (int i = 0; i < 10; i++) division_note_prefill(d, 3, false, 1000000);
  cr_assert_eq(division_count_long(d, 3, 12), 1,
               "at least one target for each side");
  division_free(d);
}

Test(division, border_stays_if_nearly_right) {
  Division *d = division_new();
  division_note_prefill(d, 1, true, 800000);
  division_note_prefill(d, 1, false, 400000);
  cr_assert_eq(division_count_long(d, 1, 12), 8);
  division_note_prefill(d, 1, false, 60000); /* 7.7 of 12 */
  cr_assert_eq(division_count_long(d, 1, 12), 8);
  cr_assert_eq(division_count_long(d, 1, 11), 7, "one target fewer");
  cr_assert_eq(division_count_long(d, 1, 12), 8);
  division_free(d);
}

Test(division, instances_with_equal_reports_agree_on_the_border) {
  Division *a = division_new(), *b = division_new();
  division_note_prefill(a, 1, true, 900000);
  division_note_prefill(b, 1, false, 300000);
  add_streams(a, 1, 20);
  add_streams(b, 1, 20);
  DivisionReport wa = division_own_report(a, 1.5),
                 wb = division_own_report(b, 1.5);
  division_apply_report(a, 1.5, 2, &wb);
  division_apply_report(b, 1.5, 1, &wa);
  cr_assert_eq(division_count_long(a, 2, 12), division_count_long(b, 2, 12));
  cr_assert_eq(division_count_long(a, 2, 12), 9);
  for (int i = 0; i < 5; i++) division_apply_report(a, 2, 2, &wb);
  cr_assert_eq(division_count_long(a, 2, 12), 9,
               "a repeated report is not added");
  cr_assert_eq(division_own_report(a, 2).short_tokens < 11000, 1,
               "nor counted as our own");
  division_free(a);
  division_free(b);
}
