/* test_quota.c: a data centre's targets come back cold together, half of the
   others are gone and traffic has doubled. No target may get more than it can
   take in any second, however many instances send. There are 94 engines, a
   cold one takes 6.6 x 1.5 + 5 requests per second from all instances, and 800
   requests per second come, a fifth of them to one instance. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "permits.h"
#include "route/quota.h"
#include "route/targets.h"

#define TARGETS 94
#define COLD_FROM 47 /* targets from this one on are cold */
#define RATE 6.6
#define OVERRUN 1.5
#define EXTRA 5.0
#define BOUND (RATE * OVERRUN + EXTRA)
#define REQUESTS_S 800
#define RUN_S 2.0 /* duration of a request */
/* Time until the counting instance has received a report. */
#define REPORT_DELAY_S 0.006
#define MAX_PATH_S 0.01 /* longest time to a target */
#define DECIDERS 300

/* A report that arrives later: a run at a target begins or ends. */
typedef struct DelayedReport {
  double at;
  int side;
  uint64_t from;
  TallyRun run;
} DelayedReport;

static Targets *deciders[DECIDERS];
static int n_deciders;
static bool gets_answers[DECIDERS]; /* by counting instances, to queries and
                                       permit requests */
static int side[DECIDERS];          /* of a partition */
static Tally *tallies[2];
static GQueue start_reports; /* DelayedReport* */
static GQueue end_reports;
static GArray *arrivals[TARGETS]; /* times */
static GHashTable *numbers;       /* hash -> index of a target */
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

/* An instance that knows the `left` warm targets and all cold ones. */
static Targets *new_decider(double now, int rank, int of, int left) {
  Targets *s = targets_new("a", g_rand_int(dice));
  targets_set_parts_exchanged(s, of < FLEET_SMALL_INSTANCES);
  targets_set_cold_bound(s, OVERRUN, EXTRA);
  targets_set_rank(s, now, rank, of);
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
  g_queue_init(&start_reports);
  g_queue_init(&end_reports);
  numbers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  for (int k = 0; k < 2; k++) {
    tallies[k] = tally_new();
    tally_set_members(tallies[k], -100, n, permits_count_none, NULL);
  }
  for (int i = 0; i < n; i++) {
    deciders[i] = new_decider(0, i, n, left);
    gets_answers[i] = true;
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
  g_queue_clear_full(&start_reports, g_free);
  g_queue_clear_full(&end_reports, g_free);
  g_hash_table_destroy(numbers);
  g_rand_free(dice);
}

static void delay_report(GQueue *q, double at, int who, TallyRun run) {
  DelayedReport *t = g_new0(DelayedReport, 1);
  *t = (DelayedReport){
      .at = at, .side = side[who], .from = (uint64_t)who, .run = run};
  g_queue_push_tail(q, t);
}

static void deliver(GQueue *q, double now) {
  DelayedReport *t;
  while ((t = g_queue_peek_head(q)) && t->at <= now) {
    tally_apply_run(tallies[t->side], now, t->from, &t->run);
    g_free(g_queue_pop_head(q));
  }
}

static int query_counts(int who, double now, const TargetRequest *ask,
                        TallyReport *reports) {
  uint64_t queried[TARGETS_MAX_QUERIED];
  if (!gets_answers[who] || n_deciders < FLEET_SMALL_INSTANCES) return 0;
  int n = targets_to_query(deciders[who], now, ask, queried);
  for (int i = 0; i < n; i++) {
    TallyQuery a = {.number = 1, .target = queried[i]};
    reports[i] = tally_report(tallies[side[who]], now, &a);
  }
  return n;
}

static void request(int who, double now) {
  RequestInfo a = {.prompt_tokens = 3000, .max_output_tokens = 100};
  TallyReport reports[TARGETS_MAX_QUERIED];
  TargetRequest ask = {.service = "engines",
                       .info = &a,
                       .engine = true,
                       .cold_rate_per_s = RATE};
  ask.n_reports = query_counts(who, now, &ask, reports);
  ask.reports = reports;
  Tally *tally = gets_answers[who] ? tallies[side[who]] : NULL;
  TargetChoice c =
      permits_choose(deciders[who], tally, (uint64_t)who, now, &ask, &runs);
  if (!c.target) {
    cr_assert_eq(c.none, TARGET_NONE_FULL);
    cr_assert(c.retry_after_s > 0 && c.retry_after_s < 10);
    refused++;
    return;
  }
  uint64_t h = target_hash(c.target);
  if (!c.bounded) runs++;
  TallyRun run = {.target = h, .run = runs, .open = true, .tokens = 3000};
  target_note_sent(c.target, now, &a, &c);
  delay_report(&start_reports, now + REPORT_DELAY_S, who, run);
  run.open = false;
  delay_report(&end_reports, now + RUN_S, who, run);
  double at = now + MAX_PATH_S * g_rand_double(dice);
  int number = GPOINTER_TO_INT(g_hash_table_lookup(numbers, &h));
  g_array_append_val(arrivals[number], at);
}

static void load(double from, double until) {
  double step = 1.0 / REQUESTS_S;
  for (double now = from; now < until; now += step) {
    deliver(&start_reports, now);
    deliver(&end_reports, now);
    bool is_first = g_rand_int_range(dice, 0, 5) == 0;
    request(is_first ? 0 : g_rand_int_range(dice, 0, n_deciders), now);
  }
}

static gint by_time(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* The most requests that a cold target got in any second. */
static int max_per_second(void) {
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

/* The fraction of the bound of all cold targets that was used in that time. */
static double used_ratio(double from, double until) {
  double n = 0;
  for (int i = COLD_FROM; i < TARGETS; i++)
    for (guint k = 0; k < arrivals[i]->len; k++)
      n += g_array_index(arrivals[i], double, k) >= from;
  return n / (until - from) / (BOUND * (TARGETS - COLD_FROM));
}

static const int sizes[] = {7, 74, DECIDERS};

Test(cold, cold_targets_stay_within_their_bound) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], COLD_FROM / 2);
    load(0, 6);
    cr_assert_leq(max_per_second(), BOUND, "%d deciders: %d", sizes[k],
                  max_per_second());
    end();
  }
}

Test(cold, most_of_the_bound_is_used_under_load) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 6);
    double part = used_ratio(2, 6); /* the second before is unknown */
    cr_assert_leq(max_per_second(), BOUND, "%d deciders: %d", sizes[k],
                  max_per_second());
    cr_assert_geq(part, 0.7, "%d deciders: %g", sizes[k], part);
    end();
  }
}

/* Half of the instances get no answers to their queries. */
Test(cold, bound_holds_without_answers_from_counting_instances) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    for (int i = 0; i < n_deciders; i += 2) gets_answers[i] = false;
    load(0, 4);
    cr_assert_leq(max_per_second(), BOUND, "%d deciders: %d", sizes[k],
                  max_per_second());
    end();
  }
}

/* The two sides don't exchange messages, but both reach all targets. */
Test(cold, bound_holds_on_two_sides_of_a_partition) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 1);
    int small = n_deciders / 3;
    tally_set_members(tallies[1], 1, small, permits_count_none, NULL);
    for (int i = 0; i < n_deciders; i++) {
      side[i] = i < small;
      int of = side[i] ? small : n_deciders - small;
      targets_set_rank(deciders[i], 1, side[i] ? i : i - small, of);
    }
    load(1, 5);
    cr_assert_leq(max_per_second(), BOUND, "%d deciders: %d", sizes[k],
                  max_per_second());
    end();
  }
}

/* A third of the instances restart: they don't know what they sent before, and
   the others still include the former ones. */
Test(cold, bound_holds_while_instances_restart) {
  for (int k = 0; k < 3; k++) {
    begin(sizes[k], 0);
    load(0, 2);
    for (int i = 0; i < n_deciders; i += 3) {
      targets_free(deciders[i]);
      deciders[i] = new_decider(2, i, n_deciders, 0);
    }
    load(2, 5);
    cr_assert_leq(max_per_second(), BOUND, "%d deciders: %d", sizes[k],
                  max_per_second());
    end();
  }
}

Test(cold, answer_can_mark_a_target_cold) {
  begin(7, 1);
  Targets *s = deciders[0];
  RequestInfo a = {0};
  TargetRequest ask = {.service = "engines",
                       .info = &a,
                       .engine = true,
                       .cold_rate_per_s = 1e-9};
  ask.permits_exhausted = true;
  Target *t = targets_pick(s, 1, &ask).target;
  cr_assert_str_eq(target_id(t), "t000", "the warm target");
  cr_assert_not(targets_pick(s, 1, &ask).bounded);
  target_set_cold(t, 1, 3);
  cr_assert_null(targets_pick(s, 2, &ask).target);
  cr_assert_eq(targets_pick(s, 2, &ask).none, TARGET_NONE_FULL);
  cr_assert_eq(targets_pick(s, 4.1, &ask).target, t, "it is warm again");
  ask.permits_exhausted = false;
  cr_assert(targets_pick(s, 2, &ask).bounded, "a cold target needs a permit");
  end();
}

Test(cold, instance_without_a_rank_has_no_share) {
  QuotaShare s = {0};
  QuotaSends none = {0};
  QuotaBounds b = {.cold_per_s = BOUND, .limit = QUOTA_UNLIMITED};
  cr_assert(!quota_allows_fixed_share(&s, &none, 1, &b, 5));
  cr_assert_eq(quota_reachable_share(&s, 1), 0);
  cr_assert_gt(quota_wait_s(&none, 1, &b, quota_reachable_share(&s, 1)), 0);
  quota_set_rank(&s, 1, 0, 1);
  cr_assert(!quota_allows_fixed_share(&s, &none, 2, &b, 5));
  cr_assert(quota_allows_fixed_share(&s, &none, 3, &b, 5));
}
