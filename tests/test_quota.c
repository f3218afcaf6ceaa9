/* test_quota.c: a data centre's targets come back cold together, half of the
   others are gone and traffic has doubled: no target gets more than it bears in
   any second, however many instances decide. Figures of the users' sheet: 94
   engines, a cold one bears 6.6 x 1.5 + 5 requests a second from all, and 800
   requests a second come, a fifth of them to one instance. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "permits.h"
#include "route/quota.h"
#include "route/targets.h"

#define TARGETS 94
#define COLD_FROM 47 /* those from here on are cold */
#define RATE 6.6
#define OVERRUN 1.5
#define EXTRA 5.0
#define BOUND (RATE * OVERRUN + EXTRA)
#define REQUESTS_S 800
#define RUN_S 2.0    /* that a request takes */
#define TELL_S 0.006 /* until the one who counts has heard of it */
#define WAY_S 0.01   /* to a target, at most */
#define DECIDERS 300

/* Something that is told later: a run at a target begins or ends. */
typedef struct Tell {
  double at;
  int side;
  uint64_t from;
  TallyRun run;
} Tell;

static Targets *deciders[DECIDERS];
static int n_deciders;
static bool
    counted[DECIDERS];     /* it gets answers to its questions and permits */
static int side[DECIDERS]; /* of a cut */
static Tally *tallies[2];
static GQueue tells; /* Tell*, those that begin; and those that end */
static GQueue ends;
static GArray *arrivals[TARGETS]; /* times */
static GHashTable *numbers;       /* hash -> number of a target */
static GRand *dice;
static uint64_t runs;
static int refused;

static void target_info(TargetInfo *t, int i, double cold_s) {
  memset(t, 0, sizeof *t);
  snprintf(t->id, sizeof t->id, "t%03d", i);
  g_strlcpy(t->service, "engines", sizeof t->service);
  g_strlcpy(t->addr, "10.0.0.1:80", sizeof t->addr);
  g_strlcpy(t->dc, i < COLD_FROM ? "a" : "b", sizeof t->dc);
  t->slots = 64;
  t->cold_s = cold_s;
  t->revision = 1;
}

/* A decider that knows the `left` warm targets, and all cold ones. */
static Targets *decider(double now, int rank, int of, int left) {
  Targets *s = targets_new("a", g_rand_int(dice));
  targets_parts_are_told(s, of < FLEET_SMALL);
  targets_cold_bound(s, OVERRUN, EXTRA);
  targets_place(s, now, rank, of);
  for (int i = 0; i < TARGETS; i++) {
    TargetInfo t;
    if (i >= left && i < COLD_FROM) continue;
    target_info(&t, i, i < COLD_FROM ? 0 : 1000);
    targets_set(s, 0, &t);
  }
  return s;
}

static void begin(int n, int left) {
  dice = g_rand_new_with_seed(7);
  n_deciders = n;
  refused = 0;
  g_queue_init(&tells);
  g_queue_init(&ends);
  numbers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  for (int k = 0; k < 2; k++) {
    tallies[k] = tally_new();
    tally_members(tallies[k], -100, n, permits_count_none, NULL);
  }
  for (int i = 0; i < n; i++) {
    deciders[i] = decider(0, i, n, left);
    counted[i] = true;
    side[i] = 0;
  }
  for (int i = 0; i < TARGETS; i++) {
    TargetInfo t;
    target_info(&t, i, 0);
    uint64_t h = text_hash(t.id);
    g_hash_table_insert(numbers, g_memdup2(&h, sizeof h), GINT_TO_POINTER(i));
    arrivals[i] = g_array_new(FALSE, FALSE, sizeof(double));
  }
}

static void end(void) {
  for (int i = 0; i < n_deciders; i++) targets_free(deciders[i]);
  for (int k = 0; k < 2; k++) tally_free(tallies[k]);
  for (int i = 0; i < TARGETS; i++) g_array_free(arrivals[i], TRUE);
  g_queue_clear_full(&tells, g_free);
  g_queue_clear_full(&ends, g_free);
  g_hash_table_destroy(numbers);
  g_rand_free(dice);
}

static void later(GQueue *q, double at, int who, TallyRun run) {
  Tell *t = g_new0(Tell, 1);
  *t = (Tell){.at = at, .side = side[who], .from = (uint64_t)who, .run = run};
  g_queue_push_tail(q, t);
}

static void deliver(GQueue *q, double now) {
  Tell *t;
  while ((t = g_queue_peek_head(q)) && t->at <= now) {
    tally_take(tallies[t->side], now, t->from, &t->run);
    g_free(g_queue_pop_head(q));
  }
}

static int ask_counts(int who, double now, const TargetAsk *ask,
                      TallyWord *words) {
  uint64_t asked[TARGETS_ASKED];
  if (!counted[who] || n_deciders < FLEET_SMALL) return 0;
  int n = targets_to_ask(deciders[who], now, ask, asked);
  for (int i = 0; i < n; i++) {
    TallyAsk a = {.number = 1, .target = asked[i]};
    words[i] = tally_word(tallies[side[who]], now, &a);
  }
  return n;
}

static void request(int who, double now) {
  RequestInfo a = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TallyWord words[TARGETS_ASKED];
  TargetAsk ask = {
      .service = "engines", .ask = &a, .engine = true, .cold_rate = RATE};
  ask.n_words = ask_counts(who, now, &ask, words);
  ask.words = words;
  Tally *tally = counted[who] ? tallies[side[who]] : NULL;
  TargetChoice c =
      permits_choose(deciders[who], tally, (uint64_t)who, now, &ask, &runs);
  if (!c.target) {
    cr_assert_eq(c.none, TARGET_NONE_FULL);
    cr_assert(c.back_s > 0 && c.back_s < 10);
    refused++;
    return;
  }
  uint64_t h = target_hash(c.target);
  if (!c.bounded) runs++;
  TallyRun run = {.target = h, .run = runs, .open = true, .tokens = 3000};
  target_sent(c.target, now, &a, &c);
  later(&tells, now + TELL_S, who, run);
  run.open = false;
  later(&ends, now + RUN_S, who, run);
  double at = now + WAY_S * g_rand_double(dice);
  int number = GPOINTER_TO_INT(g_hash_table_lookup(numbers, &h));
  g_array_append_val(arrivals[number], at);
}

static void load(double from, double until) {
  double step = 1.0 / REQUESTS_S;
  for (double now = from; now < until; now += step) {
    deliver(&tells, now);
    deliver(&ends, now);
    bool only = g_rand_int_range(dice, 0, 5) == 0;
    request(only ? 0 : g_rand_int_range(dice, 0, n_deciders), now);
  }
}

static gint by_time(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* The most that a cold target got in any second. */
static int busiest(void) {
  int most = 0;
  for (int i = COLD_FROM; i < TARGETS; i++) {
    GArray *a = arrivals[i];
    g_array_sort(a, by_time);
    for (guint last = 0, first = 0; last < a->len; last++) {
      while (g_array_index(a, double, last) - g_array_index(a, double, first) >=
             1)
        first++;
      most = MAX(most, (int)(last - first) + 1);
    }
  }
  return most;
}

/* Part of the bound of all cold targets that was used from then on. */
static double used(double from, double until) {
  double n = 0;
  for (int i = COLD_FROM; i < TARGETS; i++)
    for (guint k = 0; k < arrivals[i]->len; k++)
      n += g_array_index(arrivals[i], double, k) >= from;
  return n / (until - from) / (BOUND * (TARGETS - COLD_FROM));
}

static const int sizes[] = {7, 74, DECIDERS};

Test(cold, no_target_gets_more_than_it_bears) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], COLD_FROM / 2);
    load(0, 6);
    cr_assert_leq(busiest(), BOUND, "%d deciders: %d", sizes[k], busiest());
    end();
  }
}

Test(cold, most_of_the_bound_is_used_where_it_is_needed) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 6);
    double part = used(2, 6); /* nothing is known of the second before */
    cr_assert_leq(busiest(), BOUND, "%d deciders: %d", sizes[k], busiest());
    cr_assert_geq(part, 0.7, "%d deciders: %g", sizes[k], part);
    end();
  }
}

/* Half of the instances get no answers to their questions. */
Test(cold, it_holds_while_counts_are_not_told) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    for (int i = 0; i < n_deciders; i += 2) counted[i] = false;
    load(0, 4);
    cr_assert_leq(busiest(), BOUND, "%d deciders: %d", sizes[k], busiest());
    end();
  }
}

/* Two sides do not hear of each other, and both reach all targets. */
Test(cold, it_holds_on_two_sides_of_a_cut) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 1);
    int small = n_deciders / 3;
    tally_members(tallies[1], 1, small, permits_count_none, NULL);
    for (int i = 0; i < n_deciders; i++) {
      side[i] = i < small;
      int of = side[i] ? small : n_deciders - small;
      targets_place(deciders[i], 1, side[i] ? i : i - small, of);
    }
    load(1, 5);
    cr_assert_leq(busiest(), BOUND, "%d deciders: %d", sizes[k], busiest());
    end();
  }
}

/* A third of the instances are new: what they sent before is not known to
   them, and the others still reckon with the former ones. */
Test(cold, it_holds_while_instances_restart) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 2);
    for (int i = 0; i < n_deciders; i += 3) {
      targets_free(deciders[i]);
      deciders[i] = decider(2, i, n_deciders, 0);
    }
    load(2, 5);
    cr_assert_leq(busiest(), BOUND, "%d deciders: %d", sizes[k], busiest());
    end();
  }
}

Test(cold, an_answer_that_says_so_makes_a_target_cold_at_once) {
  begin(7, 1);
  Targets *s = deciders[0];
  RequestInfo a = {0};
  TargetAsk ask = {
      .service = "engines", .ask = &a, .engine = true, .cold_rate = 1e-9};
  ask.no_permit = true;
  Target *t = targets_pick(s, 1, &ask).target;
  cr_assert_str_eq(target_id(t), "t000", "the warm one");
  cr_assert_not(targets_pick(s, 1, &ask).bounded);
  target_cold(t, 1, 3);
  cr_assert_null(targets_pick(s, 2, &ask).target);
  cr_assert_eq(targets_pick(s, 2, &ask).none, TARGET_NONE_FULL);
  cr_assert_eq(targets_pick(s, 4.1, &ask).target, t, "it is warm again");
  ask.no_permit = false;
  cr_assert(targets_pick(s, 2, &ask).bounded, "with a permit a cold one may");
  end();
}

Test(cold, who_does_not_know_its_place_sends_nothing) {
  QuotaShare s = {0};
  QuotaSends none = {0};
  QuotaBounds b = {.cold = BOUND, .limit = QUOTA_UNLIMITED};
  cr_assert(!quota_deals(&s, &none, 1, &b, 5));
  cr_assert_eq(quota_reach(&s, 1), 0);
  cr_assert_gt(quota_wait(&none, 1, &b, quota_reach(&s, 1)), 0);
  quota_place(&s, 1, 0, 1);
  cr_assert(!quota_deals(&s, &none, 2, &b, 5));
  cr_assert(quota_deals(&s, &none, 3, &b, 5));
}
