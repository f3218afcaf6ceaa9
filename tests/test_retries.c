/* test_retries.c: the bound holds in every sliding window, for all instances
   together. */
#include <criterion/criterion.h>

#include <glib.h>

#include "route/retries.h"

#define INSTANCES 7
#define WINDOW_S 10.0
#define STEP_S 0.1

static const RetriesOptions options = {
    .ratio = 0.2, .window_s = WINDOW_S, .extra = 54};

/* Checks the retries and requests of all instances in every window. */
static void check_windows(const int *first, const int *retried, int n) {
  int span = (int)(WINDOW_S / STEP_S);
  for (int end = span; end < n; end++) {
    double requests = 0, retries = 0;
    for (int i = end - span; i < end; i++) {
      requests += first[i];
      retries += retried[i];
    }
    cr_assert_leq(retries, options.ratio * requests + options.extra,
                  "%g retries for %g requests in the window that ends at %g s",
                  retries, requests, end * STEP_S);
  }
}

Test(retries, bound_holds_in_every_sliding_window) {
  for (guint32 seed = 1; seed <= 20; seed++) {
    enum { N = 600 };
    int first[N] = {0}, retried[N] = {0};
    GRand *rand = g_rand_new_with_seed(seed);
    Retries *all[INSTANCES];
    for (int k = 0; k < INSTANCES; k++) {
      all[k] = retries_new(&options);
      retries_set_instances(all[k], 0, INSTANCES);
    }
    for (int i = 0; i < N; i++)
      for (int k = 0; k < INSTANCES; k++) {
        bool busy = (i / 70 + k) % 3 != 0;
        for (int r = g_rand_int_range(rand, 0, busy ? 6 : 1); r > 0; r--) {
          retries_note_first(all[k], i * STEP_S, "svc");
          first[i]++;
        }
        for (int r = g_rand_int_range(rand, 0, 6); r > 0; r--)
          retried[i] += retries_take(all[k], i * STEP_S, "svc");
      }
    check_windows(first, retried, N);
    for (int k = 0; k < INSTANCES; k++) retries_free(all[k]);
    g_rand_free(rand);
  }
}

static int count_available(Retries *r, double now, const char *service) {
  int n = 0;
  while (retries_take(r, now, service)) n++;
  return n;
}

/* Instances that are gone, or an earlier run of our own, may have used their
   parts in the current window. */
Test(retries, shares_grow_only_a_window_after_the_fleet_shrinks) {
  Retries *r = retries_new(&options);
  retries_set_instances(r, 0, 9);
  cr_assert_eq(count_available(r, 5, "a"), 0, "no share after a restart");
  cr_assert_eq(count_available(r, 10.5, "a"), 6);
  retries_set_instances(r, 30, 3);
  cr_assert_eq(count_available(r, 35, "a"), 6, "six others left just now");
  cr_assert_eq(count_available(r, 46, "a"), 18);
  retries_set_instances(r, 47, 27);
  cr_assert_eq(count_available(r, 60, "a"), 2,
               "an added instance counts at once");
  retries_free(r);
}

Test(retries, services_have_separate_budgets) {
  Retries *r = retries_new(&options);
  retries_set_instances(r, 0, 1);
  cr_assert_eq(count_available(r, 20, "a"), 54);
  cr_assert(retries_take(r, 20, "b"));
  retries_free(r);
}
