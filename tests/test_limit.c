/* test_limit.c: targets short of capacity report how many requests per second
   they accept from all instances together. None may get more, however many
   instances send, while the limit falls and ends, and while counts are lost,
   not answered or kept twice. The tolerated bound in any 4 s is one and a half
   times what the limit allows, plus 5. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "permits.h"
#include "route/quota.h"
#include "route/targets.h"

#define TARGETS 12
#define DECIDERS 985
#define WINDOW_S 4.0
#define OVERRUN 1.5
#define EXTRA 5
#define RUN_S 0.5
#define MAX_PATH_S 0.01 /* longest time to a target */

typedef struct Sim {
  Targets *set[DECIDERS];
  int n;
  bool gets_no_answers[DECIDERS]; /* from counting instances */
  int side[DECIDERS];             /* of a partition: which count answers it */
  Tally *tally[DECIDERS];         /* one for each side of a partition */
  int sides;
  double limit[TARGETS]; /* as the target reports it now */
  GArray *arrivals[TARGETS];
  GHashTable *numbers; /* hash -> index of a target + 1 */
  GRand *dice;
  uint64_t runs;
  int served, refused;
} Sim;

static Sim sim;

static Targets *new_decider(double now, int rank, int of) {
  Targets *s = targets_new("a", g_rand_int(sim.dice));
  targets_set_parts_exchanged(s, of < FLEET_SMALL_INSTANCES);
  targets_set_rank(s, now, rank, of);
  for (int i = 0; i < TARGETS; i++) {
    TargetInfo t = {.dc = "a", .slots = 64, .revision = 1};
    snprintf(t.id, sizeof t.id, "t%02d", i);
    g_strlcpy(t.service, "engines", sizeof t.service);
    targets_set(s, now, &t);
  }
  return s;
}

static void begin(int n) {
  memset(&sim, 0, sizeof sim);
  sim.n = n;
  sim.dice = g_rand_new_with_seed(5);
  sim.numbers =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  sim.sides = n;
  for (int k = 0; k < n; k++) {
    sim.tally[k] = tally_new();
    tally_set_members(sim.tally[k], -100, n, permits_count_none, NULL);
  }
  for (int i = 0; i < n; i++) sim.set[i] = new_decider(-100, i, n);
  for (int i = 0; i < TARGETS; i++) {
    char id[LIMIT_NAME_BYTES];
    snprintf(id, sizeof id, "t%02d", i);
    uint64_t h = text_hash(id);
    g_hash_table_insert(sim.numbers, g_memdup2(&h, sizeof h),
                        GINT_TO_POINTER(i + 1));
    sim.limit[i] = QUOTA_UNLIMITED;
    sim.arrivals[i] = g_array_new(FALSE, FALSE, sizeof(double));
  }
}

static void end(void) {
  for (int i = 0; i < sim.n; i++) targets_free(sim.set[i]);
  for (int k = 0; k < sim.sides; k++) tally_free(sim.tally[k]);
  for (int i = 0; i < TARGETS; i++) g_array_free(sim.arrivals[i], TRUE);
  g_hash_table_destroy(sim.numbers);
  g_rand_free(sim.dice);
}

/* == one request == */

/* The answer reports the target's limit, which is sent to the counting
   instance. */
static void apply_answer(int who, double now, Target *t, int number) {
  TallyLimit m = {.target = target_hash(t), .limit = sim.limit[number]};
  TargetLimitChange change = target_set_limit(t, now, sim.limit[number]);
  if (change != TARGET_LIMIT_KNOWN && !sim.gets_no_answers[who])
    tally_set_limit(sim.tally[sim.side[who]], now, &m);
}

/* Sends changed limits from the counting instance to all instances of its
   side. */
static void send_limits(double now) {
  TallyLimit m;
  for (int k = 0; k < sim.sides; k++)
    while (tally_next_limit(sim.tally[k], now, 2, &m))
      for (int i = 0; i < sim.n; i++)
        if (sim.side[i] == k && !sim.gets_no_answers[i])
          targets_apply_limit(sim.set[i], m.target, m.limit);
}

static void request(int who, double now) {
  RequestInfo prompt = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TargetRequest ask = {.service = "engines", .info = &prompt};
  Tally *tally = sim.gets_no_answers[who] ? NULL : sim.tally[sim.side[who]];
  TargetChoice c =
      permits_choose(sim.set[who], tally, (uint64_t)who, now, &ask, &sim.runs);
  if (!c.target) {
    cr_assert_eq(c.none, TARGET_NONE_FULL);
    cr_assert(c.retry_after_s > 0 && c.retry_after_s < 4.001, "%g",
              c.retry_after_s);
    sim.refused++;
    return;
  }
  uint64_t h = target_hash(c.target);
  int number = GPOINTER_TO_INT(g_hash_table_lookup(sim.numbers, &h)) - 1;
  double at = now + MAX_PATH_S * g_rand_double(sim.dice);
  target_note_sent(c.target, now, &prompt, &c);
  target_note_done(c.target, now, TARGET_OK, false, c.uncached_tokens, RUN_S);
  g_array_append_val(sim.arrivals[number], at);
  apply_answer(who, now, c.target, number);
  sim.served++;
}

static void load(double from, double until, double per_s) {
  double next_update = from;
  for (double now = from; now < until; now += 1 / per_s) {
    bool is_first = g_rand_int_range(sim.dice, 0, 5) == 0;
    request(is_first ? 0 : g_rand_int_range(sim.dice, 0, sim.n), now);
    if (now < next_update) continue;
    send_limits(now);
    next_update = now + 0.1;
  }
}

/* == arrivals at targets == */

static gint by_time(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static int max_in_window(int number, double from, double until) {
  GArray *a = sim.arrivals[number];
  int most = 0;
  g_array_sort(a, by_time);
  for (guint last = 0, first = 0; last < a->len; last++) {
    double at = g_array_index(a, double, last);
    while (at - g_array_index(a, double, first) >= WINDOW_S ||
           g_array_index(a, double, first) < from)
      if (++first > last) break;
    if (at >= from && at < until) most = MAX(most, (int)(last - first) + 1);
  }
  return most;
}

static int count_arrivals(int number, double from, double until) {
  int n = 0;
  for (guint i = 0; i < sim.arrivals[number]->len; i++) {
    double at = g_array_index(sim.arrivals[number], double, i);
    n += at >= from && at < until;
  }
  return n;
}

static void check(double limit, int number, double from, double until) {
  int most = max_in_window(number, from, until);
  cr_assert_leq(most, OVERRUN * limit * WINDOW_S + EXTRA,
                "%d instances, limit %g: %d in %g s", sim.n, limit, most,
                WINDOW_S);
}

static const int sizes[] = {3, 7, 74, DECIDERS};
static const double limits[] = {0, 0.3, 0.7, 1, 1.7, 5, 8, 100};
#define SIZES (int)G_N_ELEMENTS(sizes)
#define LIMITS (int)G_N_ELEMENTS(limits)

Test(limit, one_limited_target_gets_its_limit_and_no_more) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      sim.limit[3] = limits[l];
      load(0, 14, 200);
      check(limits[l], 3, 3, 14);
      cr_assert_geq(count_arrivals(3, 4, 14), MIN(0.7 * limits[l], 5) * 10,
                    "%g: %d", limits[l], count_arrivals(3, 4, 14));
      cr_assert_eq(sim.refused, 0, "the other targets have capacity");
      end();
    }
}

Test(limit, all_limited_targets_get_their_limit_and_no_more) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      double per_s = MAX(40, 2 * limits[l] * TARGETS);
      load(0, 12, per_s);
      int all = 0;
      for (int i = 0; i < TARGETS; i++) {
        check(limits[l], i, 3, 12);
        all += count_arrivals(i, 4, 12);
      }
      cr_assert_geq(all, 0.75 * limits[l] * TARGETS * 8, "%d: %g: %d", sizes[k],
                    limits[l], all);
      end();
    }
}

Test(limit, limit_holds_after_it_falls_and_ends) {
  for (int k = 0; k < SIZES; k++) {
    begin(sizes[k]);
    sim.limit[3] = 100;
    load(0, 6, 200);
    sim.limit[3] = 0.7;
    load(6, 16, 200);
    sim.limit[3] = QUOTA_UNLIMITED;
    load(16, 26, 200);
    check(100, 3, 3, 6);
    check(0.7, 3, 9, 16);
    cr_assert_geq(count_arrivals(3, 20, 26), 30, "%d after the limit ended",
                  count_arrivals(3, 20, 26));
    end();
  }
}

/* Half of the instances get no answers; their fixed shares keep the bound. */
Test(limit, limit_holds_without_answers_from_counting_instances) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      load(0, 4, 200);
      for (int i = 0; i < sim.n; i += 2) sim.gets_no_answers[i] = true;
      load(4, 14, 200);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 14);
      end();
    }
}

/* A few of the instances and the rest don't exchange messages, but both sides
   reach all targets; then the partition ends and side `after` counts for
   all. */
static void check_partition(int n, double limit, int after) {
  begin(n);
  for (int i = 0; i < TARGETS; i++) sim.limit[i] = limit;
  double per_s = MAX(40, MIN(10 * limit, 300) * TARGETS);
  int small = MAX(1, n / 10);
  load(0, 4, per_s);
  tally_set_members(sim.tally[0], 4, n - small, permits_count_all, NULL);
  tally_set_members(sim.tally[1], 4, small, permits_count_none, NULL);
  for (int i = 0; i < n; i++) {
    sim.side[i] = i < small;
    int of = sim.side[i] ? small : n - small;
    targets_set_rank(sim.set[i], 4, sim.side[i] ? i : i - small, of);
  }
  load(4, 16, per_s);
  for (int i = 0; i < n; i++) {
    sim.side[i] = after;
    targets_set_rank(sim.set[i], 16, i, n);
  }
  tally_set_members(sim.tally[after], 16, n, permits_count_all, NULL);
  load(16, 24, per_s);
  for (int i = 0; i < TARGETS; i++) check(limit, i, 3, 24);
  end();
}

Test(limit, limit_holds_during_and_after_a_partition) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++)
      for (int after = 0; after < 2; after++)
        check_partition(sizes[k], limits[l], after);
}

/* Each instance is cut off from all others, but reaches all targets. */
Test(limit, limit_holds_with_every_instance_isolated) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      double per_s = MAX(300, MIN(4 * limits[l], 100) * TARGETS);
      load(0, 4, per_s);
      for (int i = 0; i < sim.n; i++) {
        sim.side[i] = i;
        targets_set_rank(sim.set[i], 4, 0, 1);
        tally_set_members(sim.tally[i], 4, 1,
                          i == 0 ? permits_count_all : permits_count_none,
                          NULL);
      }
      load(4, 16, per_s);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 16);
      end();
    }
}

/* The counting instance is lost repeatedly, and another begins without its
   count. */
Test(limit, limit_holds_while_counting_instances_are_lost) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      for (int round = 0; round < 5; round++) {
        load(round * 3, round * 3 + 3, 200);
        tally_set_members(sim.tally[0], round * 3 + 3, sim.n,
                          permits_count_none, NULL);
      }
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 15);
      end();
    }
}

/* A third of the instances lose their state. */
Test(limit, limit_holds_while_instances_restart) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      load(0, 8, 60);
      for (int i = 0; i < sim.n; i += 3) {
        targets_free(sim.set[i]);
        sim.set[i] = new_decider(8, i, sim.n);
        TallyLimit m = {.limit = limits[l]};
        for (int t = 0; t < TARGETS; t++) {
          char id[LIMIT_NAME_BYTES];
          snprintf(id, sizeof id, "t%02d", t);
          m.target = text_hash(id);
          /* A new instance gets it as soon as the counting instance knows
             it. */
          if (limits[l] < 100)
            targets_apply_limit(sim.set[i], m.target, m.limit);
        }
      }
      load(8, 16, 60);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 16);
      end();
    }
}

/* Refused callers get staggered retry times. */
Test(limit, callers_retry_at_the_rate_of_the_pool) {
  begin(1);
  RequestInfo prompt = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TargetRequest ask = {.service = "engines",
                       .info = &prompt,
                       .engine = true,
                       .permits_exhausted = true};
  for (int i = 0; i < TARGETS; i++) {
    char id[LIMIT_NAME_BYTES];
    snprintf(id, sizeof id, "t%02d", i);
    targets_apply_limit(sim.set[0], text_hash(id), 1);
  }
  double first = targets_pick(sim.set[0], 1, &ask).retry_after_s, last = first;
  for (int i = 1; i < TARGETS; i++) {
    double retry_s = targets_pick(sim.set[0], 1, &ask).retry_after_s;
    cr_assert_float_eq(retry_s - last, 1.0 / TARGETS, 1e-6);
    last = retry_s;
  }
  for (int i = 0; i < 1000; i++)
    last = targets_pick(sim.set[0], 1, &ask).retry_after_s;
  cr_assert_lt(last, 4.001);
  end();
}
