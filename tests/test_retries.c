/* test_retries.c: the bound holds in every sliding window, over all instances.
 */
#include <criterion/criterion.h>

#include <glib.h>

#include "route/retries.h"

#define INSTANCES 7
#define WINDOW 10.0
#define STEP 0.1

static const RetriesOptions options = {
    .ratio = 0.2, .window_s = WINDOW, .extra = 54};

/* Retries and requests of all instances, step by step, under any pattern. */
static void check_windows(const int *first, const int *again, int n) {
  int span = (int)(WINDOW / STEP);
  for (int end = span; end < n; end++) {
    double requests = 0, retries = 0;
    for (int i = end - span; i < end; i++) {
      requests += first[i];
      retries += again[i];
    }
    cr_assert_leq(retries, options.ratio * requests + options.extra,
                  "%g retries for %g requests in the window that ends at %g s",
                  retries, requests, end * STEP);
  }
}

Test(retries, no_sliding_window_has_more_than_its_share) {
  for (guint32 seed = 1; seed <= 20; seed++) {
    enum { N = 600 };
    int first[N] = {0}, again[N] = {0};
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
          retries_note_first(all[k], i * STEP, "svc");
          first[i]++;
        }
        for (int r = g_rand_int_range(rand, 0, 6); r > 0; r--)
          again[i] += retries_take(all[k], i * STEP, "svc");
      }
    check_windows(first, again, N);
    for (int k = 0; k < INSTANCES; k++) retries_free(all[k]);
    g_rand_free(rand);
  }
}

static int take_all(Retries *r, double now, const char *service) {
  int n = 0;
  while (retries_take(r, now, service)) n++;
  return n;
}

/* Those that are gone, or our own earlier life, may have used their part in
   the window that still runs. */
Test(retries, a_smaller_fleet_has_larger_parts_only_after_a_window) {
  Retries *r = retries_new(&options);
  retries_set_instances(r, 0, 9);
  cr_assert_eq(take_all(r, 5, "a"), 0, "a restart begins with nothing");
  cr_assert_eq(take_all(r, 10.5, "a"), 6);
  retries_set_instances(r, 30, 3);
  cr_assert_eq(take_all(r, 35, "a"), 6, "six others went just now");
  cr_assert_eq(take_all(r, 46, "a"), 18);
  retries_set_instances(r, 47, 27);
  cr_assert_eq(take_all(r, 60, "a"), 2, "more come: at once");
  retries_free(r);
}

Test(retries, services_do_not_share) {
  Retries *r = retries_new(&options);
  retries_set_instances(r, 0, 1);
  cr_assert_eq(take_all(r, 20, "a"), 54);
  cr_assert(retries_take(r, 20, "b"));
  retries_free(r);
}
