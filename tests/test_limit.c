/* test_limit.c: targets in need name how many requests a second they take of
   all instances together; none gets more, however many instances decide, while
   the limit falls and ends, while counts are lost, not told or kept twice. The
   bound is the users': in any 4 s one and a half times what the limit allows,
   and 5. */
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
#define WAY_S 0.01 /* to a target, at most */

typedef struct Sim {
  Targets *set[DECIDERS];
  int n;
  bool silent[DECIDERS];  /* it gets no answers */
  int side[DECIDERS];     /* of a cut: which count answers it */
  Tally *tally[DECIDERS]; /* of each side of a cut */
  int sides;
  double limit[TARGETS]; /* as the target names it now */
  GArray *arrivals[TARGETS];
  GHashTable *numbers; /* hash -> number + 1 of a target */
  GRand *dice;
  uint64_t runs;
  int served, refused;
} Sim;

static Sim sim;

static Targets *decider(double now, int rank, int of) {
  Targets *s = targets_new("a", g_rand_int(sim.dice));
  targets_parts_are_told(s, of < FLEET_SMALL);
  targets_place(s, now, rank, of);
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
    tally_members(sim.tally[k], -100, n, permits_count_none, NULL);
  }
  for (int i = 0; i < n; i++) sim.set[i] = decider(-100, i, n);
  for (int i = 0; i < TARGETS; i++) {
    char id[LIMIT_NAME];
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

/* The answer names the target's limit; who counts there is told. */
static void answered(int who, double now, Target *t, int number) {
  TallyLimit m = {.target = target_hash(t), .limit = sim.limit[number]};
  TargetNews news = target_limit(t, now, sim.limit[number]);
  if (news != TARGET_KNOWN && !sim.silent[who])
    tally_limit(sim.tally[sim.side[who]], now, &m);
}

/* All on a side hear of changes, as who counts there tells them. */
static void spread(double now) {
  TallyLimit m;
  for (int k = 0; k < sim.sides; k++)
    while (tally_limit_news(sim.tally[k], now, 2, &m))
      for (int i = 0; i < sim.n; i++)
        if (sim.side[i] == k && !sim.silent[i])
          targets_limit_told(sim.set[i], m.target, m.limit);
}

static void request(int who, double now) {
  RequestInfo prompt = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TargetAsk ask = {.service = "engines", .ask = &prompt};
  Tally *tally = sim.silent[who] ? NULL : sim.tally[sim.side[who]];
  TargetChoice c =
      permits_choose(sim.set[who], tally, (uint64_t)who, now, &ask, &sim.runs);
  if (!c.target) {
    cr_assert_eq(c.none, TARGET_NONE_FULL);
    cr_assert(c.back_s > 0 && c.back_s < 4.001, "%g", c.back_s);
    sim.refused++;
    return;
  }
  uint64_t h = target_hash(c.target);
  int number = GPOINTER_TO_INT(g_hash_table_lookup(sim.numbers, &h)) - 1;
  double at = now + WAY_S * g_rand_double(sim.dice);
  target_sent(c.target, now, &prompt, &c);
  target_done(c.target, now, TARGET_OK, false, c.fresh, RUN_S);
  g_array_append_val(sim.arrivals[number], at);
  answered(who, now, c.target, number);
  sim.served++;
}

static void load(double from, double until, double per_s) {
  double told = from;
  for (double now = from; now < until; now += 1 / per_s) {
    bool only = g_rand_int_range(sim.dice, 0, 5) == 0;
    request(only ? 0 : g_rand_int_range(sim.dice, 0, sim.n), now);
    if (now < told) continue;
    spread(now);
    told = now + 0.1;
  }
}

/* == what targets got == */

static gint by_time(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static int in_window(int number, double from, double until) {
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

static int got(int number, double from, double until) {
  int n = 0;
  for (guint i = 0; i < sim.arrivals[number]->len; i++) {
    double at = g_array_index(sim.arrivals[number], double, i);
    n += at >= from && at < until;
  }
  return n;
}

static void check(double limit, int number, double from, double until) {
  int most = in_window(number, from, until);
  cr_assert_leq(most, OVERRUN * limit * WINDOW_S + EXTRA,
                "%d instances, limit %g: %d in %g s", sim.n, limit, most,
                WINDOW_S);
}

static const int sizes[] = {3, 7, 74, DECIDERS};
static const double limits[] = {0, 0.3, 0.7, 1, 1.7, 5, 8, 100};
#define SIZES (int)G_N_ELEMENTS(sizes)
#define LIMITS (int)G_N_ELEMENTS(limits)

Test(limit, one_target_in_need_gets_what_it_takes_and_no_more) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      sim.limit[3] = limits[l];
      load(0, 14, 200);
      check(limits[l], 3, 3, 14);
      cr_assert_geq(got(3, 4, 14), MIN(0.7 * limits[l], 5) * 10, "%g: %d",
                    limits[l], got(3, 4, 14));
      cr_assert_eq(sim.refused, 0, "the others have room");
      end();
    }
}

Test(limit, all_in_need_get_what_they_take_and_no_more) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      double per_s = MAX(40, 2 * limits[l] * TARGETS);
      load(0, 12, per_s);
      int all = 0;
      for (int i = 0; i < TARGETS; i++) {
        check(limits[l], i, 3, 12);
        all += got(i, 4, 12);
      }
      cr_assert_geq(all, 0.75 * limits[l] * TARGETS * 8, "%d: %g: %d", sizes[k],
                    limits[l], all);
      end();
    }
}

Test(limit, it_holds_after_it_falls_and_is_gone_when_it_ends) {
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
    cr_assert_geq(got(3, 20, 26), 30, "%d after it ended", got(3, 20, 26));
    end();
  }
}

/* Half of the instances get no answers; their own parts hold. */
Test(limit, it_holds_where_counts_are_not_told) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      load(0, 4, 200);
      for (int i = 0; i < sim.n; i += 2) sim.silent[i] = true;
      load(4, 14, 200);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 14);
      end();
    }
}

/* A few of the instances and the rest do not hear of each other, and both
   reach all targets; then all are together again, counted by side `after`. */
static void cut(int n, double limit, int after) {
  begin(n);
  for (int i = 0; i < TARGETS; i++) sim.limit[i] = limit;
  double per_s = MAX(40, MIN(10 * limit, 300) * TARGETS);
  int small = MAX(1, n / 10);
  load(0, 4, per_s);
  tally_members(sim.tally[0], 4, n - small, permits_count_all, NULL);
  tally_members(sim.tally[1], 4, small, permits_count_none, NULL);
  for (int i = 0; i < n; i++) {
    sim.side[i] = i < small;
    int of = sim.side[i] ? small : n - small;
    targets_place(sim.set[i], 4, sim.side[i] ? i : i - small, of);
  }
  load(4, 16, per_s);
  for (int i = 0; i < n; i++) {
    sim.side[i] = after;
    targets_place(sim.set[i], 16, i, n);
  }
  tally_members(sim.tally[after], 16, n, permits_count_all, NULL);
  load(16, 24, per_s);
  for (int i = 0; i < TARGETS; i++) check(limit, i, 3, 24);
  end();
}

Test(limit, it_holds_on_two_sides_of_a_cut_and_after_it) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++)
      for (int after = 0; after < 2; after++) cut(sizes[k], limits[l], after);
}

/* Each instance is cut off from all others, and reaches all targets. */
Test(limit, it_holds_where_each_instance_is_alone) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      double per_s = MAX(300, MIN(4 * limits[l], 100) * TARGETS);
      load(0, 4, per_s);
      for (int i = 0; i < sim.n; i++) {
        sim.side[i] = i;
        targets_place(sim.set[i], 4, 0, 1);
        tally_members(sim.tally[i], 4, 1,
                      i == 0 ? permits_count_all : permits_count_none, NULL);
      }
      load(4, 16, per_s);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 16);
      end();
    }
}

/* Who counted is lost again and again, and another begins without its count. */
Test(limit, it_holds_while_who_counts_is_lost) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 0; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      for (int round = 0; round < 5; round++) {
        load(round * 3, round * 3 + 3, 200);
        tally_members(sim.tally[0], round * 3 + 3, sim.n, permits_count_none,
                      NULL);
      }
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 15);
      end();
    }
}

/* A third of the instances know nothing of before. */
Test(limit, it_holds_while_instances_restart) {
  for (int k = 0; k < SIZES; k++)
    for (int l = 1; l < LIMITS; l++) {
      begin(sizes[k]);
      for (int i = 0; i < TARGETS; i++) sim.limit[i] = limits[l];
      load(0, 8, 60);
      for (int i = 0; i < sim.n; i += 3) {
        targets_free(sim.set[i]);
        sim.set[i] = decider(8, i, sim.n);
        TallyLimit m = {.limit = limits[l]};
        for (int t = 0; t < TARGETS; t++) {
          char id[LIMIT_NAME];
          snprintf(id, sizeof id, "t%02d", t);
          m.target = text_hash(id);
          /* It is told as soon as it is known to who counts. */
          if (limits[l] < 100)
            targets_limit_told(sim.set[i], m.target, m.limit);
        }
      }
      load(8, 16, 60);
      for (int i = 0; i < TARGETS; i++) check(limits[l], i, 3, 16);
      end();
    }
}

/* Those who are refused are told to come back one after the other. */
Test(limit, callers_come_back_at_the_pace_of_the_pool) {
  begin(1);
  RequestInfo prompt = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TargetAsk ask = {
      .service = "engines", .ask = &prompt, .engine = true, .no_permit = true};
  for (int i = 0; i < TARGETS; i++) {
    char id[LIMIT_NAME];
    snprintf(id, sizeof id, "t%02d", i);
    targets_limit_told(sim.set[0], text_hash(id), 1);
  }
  double first = targets_pick(sim.set[0], 1, &ask).back_s, last = first;
  for (int i = 1; i < TARGETS; i++) {
    double back = targets_pick(sim.set[0], 1, &ask).back_s;
    cr_assert_float_eq(back - last, 1.0 / TARGETS, 1e-6);
    last = back;
  }
  for (int i = 0; i < 1000; i++)
    last = targets_pick(sim.set[0], 1, &ask).back_s;
  cr_assert_lt(last, 4.001);
  end();
}
