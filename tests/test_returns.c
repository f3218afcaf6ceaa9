/* test_returns.c: the times that rejected callers are told to retry at. */
#include <criterion/criterion.h>

#include <math.h>

#include "route/returns.h"

#define SERVICE 7
#define PATIENT_S 4.0 /* a third of a deadline of 12 s */

/* The macros evaluate their arguments twice. */
static void check_near(double got, double expected, double error) {
  cr_assert_float_eq(got, expected, error, "%g instead of %g", got, expected);
}

static double promise(Returns *r, double now, double max_s, double per_s) {
  ReturnsCaller c = {.max_s = max_s, .per_s = per_s};
  return returns_promise(r, now, SERVICE, &c);
}

/* Guards against callers that return together and find the service as full as
   before. */
Test(returns, retries_are_as_far_apart_as_the_rate_says) {
  Returns *r = returns_new();
  double last = 0;
  for (int i = 0; i < 10; i++) {
    double s = promise(r, 100, PATIENT_S, 10);
    check_near(s, RETURNS_MIN_S + 0.1 * i, 1e-9);
    cr_assert_gt(s, last);
    last = s;
  }
  cr_assert_eq(returns_pending(r, 100, SERVICE), 10);
  returns_free(r);
}

/* Guards against an endless schedule: callers that give up would fill it, and
   those that come after them would be sent away from free capacity. */
Test(returns, a_caller_that_does_not_wait_that_long_takes_no_place) {
  Returns *r = returns_new();
  promise(r, 100, PATIENT_S, 1);
  for (int i = 0; i < 50; i++) {
    double s = promise(r, 100, 0.5, 1);
    check_near(s, RETURNS_MIN_S + 1, 1e-9);
  }
  cr_assert_eq(returns_pending(r, 100, SERVICE), 1);
  returns_free(r);
}

/* Guards against a Retry-After that ignores the queue: a caller back before it
   is read is rejected again and has no further try. */
Test(returns, nobody_is_told_to_return_before_the_cause_is_over) {
  Returns *r = returns_new();
  ReturnsCaller late = {.earliest_s = 2, .max_s = PATIENT_S, .per_s = 10};
  check_near(returns_promise(r, 100, SERVICE, &late), 2, 1e-9);
  ReturnsCaller from = {.max_s = PATIENT_S, .per_s = 10, .from = 103};
  check_near(returns_promise(r, 100, SERVICE, &from), 3, 1e-9);
  /* The time before both is still free. */
  check_near(promise(r, 100, PATIENT_S, 10), RETURNS_MIN_S, 1e-9);
  returns_free(r);
}

/* Guards against a fixed rate: without one from the allocation, a service that
   serves much would have its callers wait as those of one that serves
   little. */
Test(returns, without_a_stated_rate_the_served_one_applies) {
  Returns *r = returns_new();
  for (int i = 0; i < 400; i++)
    returns_note_served(r, 100 + i * 0.025, SERVICE, 10); /* 40 per second */
  ReturnsCaller c = {.max_s = PATIENT_S, .work = 10};
  double first = returns_promise(r, 110, SERVICE, &c);
  double step = returns_promise(r, 110, SERVICE, &c) - first;
  check_near(step, 1 / 10.0, 0.015); /* a quarter is for retries */
  c.work = 50;
  step = returns_promise(r, 110, SERVICE, &c) - first - step;
  check_near(step, 5 / 10.0, 0.075); /* that of a long prompt */
  /* Nothing was served for long: one in 5 s. */
  first = promise(r, 200, PATIENT_S, 0);
  check_near(promise(r, 200, PATIENT_S, 0) - first, 5, 1e-6);
  returns_free(r);
}

/* Guards against promises that are kept for good: once MAX_PROMISED were given,
   no further place was reserved. */
Test(returns, promises_of_hours_leave_room_for_later_ones) {
  Returns *r = returns_new();
  for (int i = 0; i < 10000; i++) promise(r, 100 + i, PATIENT_S, 10);
  cr_assert_eq(returns_pending(r, 100 + 9999, SERVICE), 1);
  check_near(promise(r, 100 + 9999, PATIENT_S, 10), RETURNS_MIN_S + 0.1, 1e-6);
  returns_free(r);
}

/* Guards against past promises that hold back later callers. */
Test(returns, the_past_is_dropped) {
  Returns *r = returns_new();
  for (int i = 0; i < 20; i++) promise(r, 100, PATIENT_S, 10);
  cr_assert_eq(returns_pending(r, 101.05, SERVICE), 10);
  check_near(promise(r, 104, PATIENT_S, 10), RETURNS_MIN_S, 1e-9);
  cr_assert_eq(returns_pending(r, 104, SERVICE), 1);
  returns_free(r);
}

/* Guards against callers that waited as they were told and find the place taken
   by others, and against promises that are claimed twice or early. */
Test(returns, a_caller_has_a_claim_at_its_time_and_shortly_after) {
  Returns *r = returns_new();
  ReturnsCaller c = {.id = 11, .max_s = PATIENT_S, .per_s = 10};
  cr_assert_not(returns_has_claims(r, 100, SERVICE));
  for (; c.id < 14; c.id++) returns_promise(r, 100, SERVICE, &c);
  cr_assert_not(returns_has_claims(r, 100, SERVICE));
  cr_assert(returns_has_claims(r, 100.1, SERVICE));
  cr_assert_not(returns_claim(r, 100, SERVICE, 11), "too early");
  cr_assert_not(returns_claim(r, 100.1, SERVICE, 12), "not its turn");
  cr_assert_not(returns_claim(r, 100.2, SERVICE + 1, 12));
  cr_assert(returns_claim(r, 100.19, SERVICE, 12), "10 ms early");
  cr_assert_not(returns_claim(r, 100.3, SERVICE, 12), "once only");
  cr_assert(returns_claim(r, 100.9, SERVICE, 11));
  cr_assert_not(returns_claim(r, 101.4, SERVICE, 13), "too late");
  cr_assert_not(returns_has_claims(r, 101.4, SERVICE));
  returns_free(r);
}

/* Guards against a place that is free again once it was used: twice as many
   callers returned as the rate allows. */
Test(returns, claimed_places_stay_taken) {
  Returns *r = returns_new();
  ReturnsCaller c = {.id = 11, .max_s = PATIENT_S, .per_s = 1};
  returns_promise(r, 100, SERVICE, &c);
  cr_assert(returns_claim(r, 100.1, SERVICE, 11));
  check_near(promise(r, 100.2, PATIENT_S, 1), 0.9, 1e-9);
  returns_free(r);
}

/* Guards against one service whose callers delay those of another. */
Test(returns, services_have_schedules_of_their_own) {
  Returns *r = returns_new();
  for (int i = 0; i < 20; i++) promise(r, 100, PATIENT_S, 10);
  ReturnsCaller c = {.max_s = PATIENT_S, .per_s = 10};
  check_near(returns_promise(r, 100, SERVICE + 1, &c), RETURNS_MIN_S, 1e-9);
  returns_free(r);
}

/* Guards against absurd values of a message that freeze a service's callers or
   make Retry-After invalid. */
Test(returns, invalid_values_have_no_effect) {
  static const double bad[] = {NAN, INFINITY, -INFINITY, -1, 1e300};
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
    Returns *r = returns_new();
    ReturnsCaller c = {.earliest_s = bad[i],
                       .max_s = PATIENT_S,
                       .per_s = bad[i],
                       .from = bad[i]};
    double s = returns_promise(r, 100, SERVICE, &c);
    check_near(s, RETURNS_MIN_S, 1e-9);
    s = returns_promise(r, 100, SERVICE, &c);
    check_near(s, RETURNS_MIN_S + 5, 1e-9);
    c.max_s = bad[i]; /* the caller's time left: unknown or over */
    s = returns_promise(r, 100, SERVICE, &c);
    cr_assert(isfinite(s) && s > 0, "%g gives %g", bad[i], s);
    returns_free(r);
  }
}
