/* test_rates.c: rates of targets as their counting instance learns them, from
   reports of targets with known speeds. */
#include <criterion/criterion.h>
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "peer/codec.h"
#include "route/rates.h"
#include "route/tally.h"

#define POOL 5 /* text_hash of the service */
#define SLOTS 16
#define START_TOKEN_S (1 / 40000.0)

static bool find_target(void *ctx, uint64_t target, TallyTarget *out) {
  (void)ctx;
  (void)target;
  *out = (TallyTarget){.pool = POOL,
                       .managed = true,
                       .ours = true,
                       .slots = SLOTS,
                       .start_token_s = START_TOKEN_S};
  return true;
}

static Tally *rated_tally(void) {
  Tally *t = tally_new();
  tally_set_find_target(t, find_target, NULL);
  return t;
}

/* == a target that reads one prompt after the other == */

typedef struct Event {
  double at;
  TallyRun run;
} Event;

typedef struct Sim {
  Tally *tally;
  GArray *events; /* Event, to be reported, in any order */
  uint64_t last_run;
  double slot_s; /* time of a stream */
  GRand *rand;
  double lost, doubled; /* probability of either for each report */
} Sim;

static Sim sim_new(void) {
  return (Sim){.tally = rated_tally(),
               .events = g_array_new(FALSE, FALSE, sizeof(Event)),
               .slot_s = 0.4,
               .rand = g_rand_new_with_seed(7)};
}

static void sim_free(Sim *s) {
  tally_free(s->tally);
  g_array_free(s->events, TRUE);
  g_rand_free(s->rand);
}

static gint compare_events(gconstpointer a, gconstpointer b) {
  double x = ((const Event *)a)->at, y = ((const Event *)b)->at;
  return x < y ? -1 : x > y;
}

/* Adds the three reports of a request. */
static void add_request(Sim *s, uint64_t target, double sent, double read,
                        int64_t tokens) {
  TallyRun m = {
      .target = target, .run = ++s->last_run, .open = true, .tokens = tokens};
  Event e[3] = {{sent, m}, {read, m}, {read + s->slot_s, m}};
  e[1].run.tokens = e[2].run.tokens = 0;
  e[2].run.open = false;
  g_array_append_vals(s->events, e, 3);
}

/* Reports everything up to `until`. */
static void deliver(Sim *s, double until) {
  double swept = 0;
  g_array_sort(s->events, compare_events);
  guint i = 0;
  for (; i < s->events->len; i++) {
    const Event *e = &g_array_index(s->events, Event, i);
    if (e->at > until) break;
    if (e->at >= swept + 1) tally_sweep(s->tally, swept = e->at);
    if (g_rand_double(s->rand) < s->lost) continue;
    tally_apply_run(s->tally, e->at, 3, &e->run);
    if (g_rand_double(s->rand) < s->doubled)
      tally_apply_run(s->tally, e->at, 3, &e->run);
  }
  if (i > 0) g_array_remove_range(s->events, 0, i);
}

static RatesEstimate rate_of(Sim *s, double now, uint64_t target) {
  TallyQuery q = {.number = 1, .target = target};
  TallyRate m;
  cr_assert(tally_rate(s->tally, now, &q, &m));
  cr_assert(m.number == 1 && m.target == target);
  return m.rate;
}

/* Prompts of 500 to 4,000 tokens at random times, with a part `load` of the
   time needed to read them. `speed`: tokens per second at a time. */
static void add_load(Sim *s, uint64_t target, double from, double to,
                     double load, double (*speed)(double at, uint64_t target)) {
  double at = from, free_at = from;
  while (at < to) {
    int64_t tokens = g_rand_int_range(s->rand, 500, 4000);
    at += -log(1 - g_rand_double(s->rand)) * 2250 / (load * speed(at, target));
    free_at = MAX(free_at, at);
    free_at += (double)tokens / speed(free_at, target);
    add_request(s, target, at, free_at, tokens);
  }
}

static double equal_speed(double at, uint64_t target) {
  (void)at;
  (void)target;
  return 20000;
}

/* 0.5 to 2 of the mean */
static double uneven_speed(double at, uint64_t target) {
  return equal_speed(at, target) * pow(2, ((double)target - 4) / 3);
}

/* An engine of 60,000 tokens per second that takes 2.5 times as long in every
 * second interval of 600 ms */
static double changing_speed(double at, uint64_t target) {
  double full = 3 * equal_speed(at, target);
  return (int)(at / 0.6) % 2 == 1 ? full / 2.5 : full;
}

static void check_rate(Sim *s, double now, uint64_t target, double speed,
                       double tolerance) {
  double got = 1 / rate_of(s, now, target).token_s;
  cr_assert(fabs(got / speed - 1) < tolerance, "target %d: %.0f for %.0f",
            (int)target, got, speed);
}

/* Guards against queues that count as reading, and against reading that is
   missed when prompts overlap. */
Test(rates, equal_speeds_are_learned_at_any_load) {
  for (double load = 0.1; load < 1.3; load += 0.2) {
    Sim s = sim_new();
    for (uint64_t k = 1; k <= 7; k++) add_load(&s, k, 1, 5, load, equal_speed);
    deliver(&s, 5);
    for (uint64_t k = 1; k <= 7; k++) check_rate(&s, 5, k, 20000, 0.1);
    sim_free(&s);
  }
}

Test(rates, uneven_speeds_are_learned) {
  Sim s = sim_new();
  for (uint64_t k = 1; k <= 7; k++) add_load(&s, k, 1, 4, 0.7, uneven_speed);
  deliver(&s, 4);
  for (uint64_t k = 1; k <= 7; k++)
    check_rate(&s, 4, k, uneven_speed(4, k), 0.1);
  sim_free(&s);
}

/* A second after its first request a target of half the speed differs from the
   mean. */
Test(rates, a_new_target_moves_from_the_rate_of_the_service_to_its_own) {
  Sim s = sim_new();
  for (uint64_t k = 2; k <= 7; k++) add_load(&s, k, 1, 4, 0.7, equal_speed);
  deliver(&s, 4);
  check_rate(&s, 4, 1, 20000, 0.1);
  add_load(&s, 1, 4, 6, 0.7, uneven_speed); /* half of the speed */
  deliver(&s, 5);
  check_rate(&s, 5, 1, 10000, 0.2);
  sim_free(&s);
}

/* Guards against an estimate that is still that of the interval before when a
   change of 600 ms ends. */
Test(rates, a_change_by_2_5_times_within_600_ms_is_followed) {
  Sim s = sim_new();
  add_load(&s, 1, 0.6, 60, 0.9, changing_speed);
  int followed = 0, checks = 0;
  for (int i = 10; i < 90; i++) {
    double at = (i + 0.95) * 0.6; /* near the end of an interval */
    deliver(&s, at);
    double ratio = 1 / rate_of(&s, at, 1).token_s / changing_speed(at, 1);
    followed += ratio > 1 / 1.4 && ratio < 1.4;
    checks++;
  }
  cr_log_info("followed %d of %d changes", followed, checks);
  cr_assert_gt(followed, checks * 3 / 4, "%d of %d", followed, checks);
  sim_free(&s);
}

/* Guards against estimates from a single instance's start: no target may look
   slow or fast because its counting instance is new. */
Test(rates, a_new_counting_instance_starts_from_the_rate_of_the_service) {
  Sim s = sim_new();
  check_rate(&s, 1, 1, 1 / START_TOKEN_S, 0.001);
  cr_assert_eq(rate_of(&s, 1, 1).tokens, 0);
  cr_assert_eq(rate_of(&s, 1, 1).age_s, RATES_MAX_AGE_S);
  cr_assert_eq(rate_of(&s, 1, 1).slot_s, 0, "unknown");
  /* Requests that were sent to the counting instance before it: their other
     reports arrive here. */
  for (uint64_t run = 1; run < 50; run++) {
    TallyRun m = {.target = 1, .run = run, .open = true};
    tally_apply_run(s.tally, 1 + (double)run * 0.01, 3, &m);
  }
  check_rate(&s, 2, 1, 1 / START_TOKEN_S, 0.001);
  add_load(&s, 2, 2, 5, 0.7, equal_speed);
  deliver(&s, 5);
  check_rate(&s, 5, 1, 20000, 0.1);
  sim_free(&s);
}

/* A lost report of the end of reading must not turn the idle time after it into
   reading time, and a repeated one must not count twice. */
Test(rates, lost_and_repeated_reports_hardly_change_a_rate) {
  for (double load = 0.1; load < 1; load += 0.4) {
    Sim s = sim_new();
    s.lost = 0.02;
    s.doubled = 0.1;
    for (uint64_t k = 1; k <= 7; k++) add_load(&s, k, 1, 20, load, equal_speed);
    deliver(&s, 20);
    for (uint64_t k = 1; k <= 7; k++) check_rate(&s, 20, k, 20000, 0.35);
    sim_free(&s);
  }
}

/* An instance ends, and none of its requests is reported any more. */
Test(rates, requests_of_a_lost_instance_do_not_count_as_reading) {
  Sim s = sim_new();
  for (uint64_t run = 1; run < 5; run++) {
    TallyRun m = {.target = 1, .run = run, .open = true, .tokens = 4000};
    tally_apply_run(s.tally, 1, 9, &m);
  }
  add_load(&s, 1, 1, 3, 0.3, equal_speed);
  deliver(&s, 3);
  check_rate(&s, 3, 1, 20000, 0.35);
  sim_free(&s);
}

/* While streams occupy all slots, waiting prompts are not being read. */
Test(rates, waiting_for_a_slot_is_no_reading) {
  Sim s = sim_new();
  s.slot_s = 2;
  for (int i = 0; i < SLOTS; i++)
    add_request(&s, 1, 1, 1 + (i + 1) * 0.05, 1000);
  /* It waits for the end of the first stream. */
  add_request(&s, 1, 1.9, 3.1, 1000);
  deliver(&s, 3.2);
  check_rate(&s, 3.2, 1, 20000, 0.1);
  sim_free(&s);
}

static bool find_unmanaged(void *ctx, uint64_t target, TallyTarget *out) {
  find_target(ctx, target, out);
  out->managed = false;
  return true;
}

static bool find_nothing(void *ctx, uint64_t target, TallyTarget *out) {
  (void)ctx;
  (void)target;
  (void)out;
  return false;
}

/* Guards against new messages for services that are not managed: a rate is sent
   only where tally_rate gives one. */
Test(rates, other_targets_have_no_rate_and_the_same_report) {
  TallyFindTarget find[] = {NULL, find_nothing, find_unmanaged, find_target};
  TallyReport expected = {0};
  for (size_t i = 0; i < G_N_ELEMENTS(find); i++) {
    Tally *t = tally_new();
    TallyPoolState state;
    TallyRate m;
    if (find[i]) tally_set_find_target(t, find[i], NULL);
    for (uint64_t run = 1; run < 20; run++) {
      TallyRun r = {.target = 1, .run = run, .open = true, .tokens = 900};
      tally_apply_run(t, (double)run, 3, &r);
      r.tokens = 0;
      if (run % 3) tally_apply_run(t, (double)run + 0.2, 3, &r);
      r.open = false;
      if (run % 5) tally_apply_run(t, (double)run + 0.5, 3, &r);
      tally_sweep(t, (double)run + 0.9);
    }
    TallyQuery q = {.number = 4, .target = 1};
    TallyReport report = tally_report(t, 21, &q);
    if (i == 0) expected = report;
    cr_assert_eq(memcmp(&report, &expected, sizeof report), 0);
    cr_assert_eq(tally_rate(t, 21, &q, &m), find[i] == find_target);
    cr_assert_eq(tally_pool_state(t, 21, POOL, &state), find[i] == find_target);
    tally_free(t);
  }
}

/* == slots == */

/* Plain targets: no prompt, and a queue before the slots. */
Test(rates, slot_use_of_a_plain_target_excludes_its_queue) {
  for (double load = 0.3; load < 1.3; load += 0.3) {
    Sim s = sim_new();
    s.slot_s = 0;
    double free_at[SLOTS] = {0}, at = 1;
    while (at < 4) {
      int first = 0;
      at += -log(1 - g_rand_double(s.rand)) * 0.06 / (load * SLOTS);
      for (int i = 1; i < SLOTS; i++)
        if (free_at[i] < free_at[first]) first = i;
      free_at[first] = MAX(free_at[first], at) + 0.06;
      add_request(&s, 1, at, free_at[first], 0);
    }
    deliver(&s, 4);
    double slot_s = rate_of(&s, 4, 1).slot_s;
    cr_assert(fabs(slot_s / 0.06 - 1) < 0.15, "%.4f at %.1f", slot_s, load);
    sim_free(&s);
  }
}

Test(rates, slot_use_of_an_engine_is_its_stream) {
  Sim s = sim_new();
  s.slot_s = 0.8;
  add_load(&s, 1, 1, 6, 0.5, equal_speed);
  deliver(&s, 6);
  RatesEstimate e = rate_of(&s, 6, 1);
  cr_assert(fabs(e.slot_s - 0.8) < 0.01, "%.3f", e.slot_s);
  sim_free(&s);
}

Test(rates, wait_is_the_longer_of_reading_and_of_a_slot) {
  double read = 1 / 20000.0;
  cr_assert_eq(rates_wait_s(3, 4, 0, read, 2), 0, "a slot is free");
  cr_assert_float_eq(rates_wait_s(3, 4, 10000, read, 2), 0.5, 1e-9);
  cr_assert_float_eq(rates_wait_s(4, 4, 0, read, 2), 0.5, 1e-9);
  cr_assert_float_eq(rates_wait_s(7, 4, 10000, read, 2), 2, 1e-9);
  cr_assert_float_eq(rates_wait_s(1, 0, 0, 0, 2), 2, 1e-9, "one slot at least");
}

/* == state of a service == */

Test(rates, state_of_a_service_sums_up_what_is_counted_here) {
  Sim s = sim_new();
  TallyPoolState state;
  cr_assert(!tally_pool_state(s.tally, 1, POOL, &state));
  cr_assert(state.targets == 0 && state.tokens_per_s == 0);
  for (uint64_t k = 1; k <= 7; k++) add_load(&s, k, 1, 8, 0.7, uneven_speed);
  deliver(&s, 7);
  cr_assert(tally_pool_state(s.tally, 7, POOL, &state));
  cr_assert(!tally_pool_state(s.tally, 7, POOL + 1, &(TallyPoolState){0}));
  tally_pool_state(s.tally, 7, POOL, &state);
  double sum = 0;
  for (uint64_t k = 1; k <= 7; k++) sum += uneven_speed(7, k);
  cr_assert_eq(state.targets, 7);
  cr_assert(fabs(state.tokens_per_s / sum - 1) < 0.1, "%.0f for %.0f",
            state.tokens_per_s, sum);
  cr_assert(fabs(state.read_per_s / (sum * 0.7) - 1) < 0.4, "%.0f for %.0f",
            state.read_per_s, sum * 0.7);
  cr_assert(state.wait_s >= 0 && state.wait_s < 7 * 2);
  sim_free(&s);
}

/* == invalid figures == */

/* Guards against a capacity that is taken for two thirds of what a target reads
   when it has read for a second. */
Test(rates, tokens_read_in_the_last_second_are_exact) {
  RatesTarget r = {.slots = SLOTS};
  RatesPool pool = {0};
  double now = 100;
  for (int i = 0; i < 22; i++, now += 0.05) {
    rates_note_arrival(&r, now, true);
    rates_note_read(&r, &pool, now + 0.05, 1000, now);
    rates_note_done(&r, &pool, now + 0.05, now + 0.05);
  }
  cr_expect(fabs(rates_read_per_s(&r, now) / 20000 - 1) < 0.1, "%.0f",
            rates_read_per_s(&r, now));
  cr_expect(fabs(rates_read_per_s(&r, now + 0.5) / 10000 - 1) < 0.25, "%.0f",
            rates_read_per_s(&r, now + 0.5));
  cr_expect_eq(rates_read_per_s(&r, now + 1.3), 0);
}

Test(rates, impossible_figures_are_invalid) {
  RatesEstimate good = {1 / 20000.0, 0.4, 0.1, 5000}, e;
  cr_assert(rates_is_valid(&good));
  const double bad[] = {-1, NAN, INFINITY, -INFINITY, 1e12};
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    e = good, e.token_s = bad[i];
    cr_assert(!rates_is_valid(&e));
    e = good, e.slot_s = bad[i];
    cr_assert(!rates_is_valid(&e));
    e = good, e.age_s = bad[i];
    cr_assert(!rates_is_valid(&e));
  }
  e = good, e.tokens = NAN;
  cr_assert(!rates_is_valid(&e));
  e = good, e.token_s = 1e-9;
  cr_assert(!rates_is_valid(&e), "faster than any engine");
  cr_assert(!rates_is_valid(&(RatesEstimate){0}), "it states nothing");
}

/* Reports with absurd tokens, or at times that run backwards. */
Test(rates, absurd_reports_leave_the_estimate_possible) {
  static const int64_t tokens[] = {1, INT64_MAX / 4, 3, 1 << 30};
  Sim s = sim_new();
  for (uint64_t i = 0; i < 400; i++) {
    TallyRun m = {.target = 1,
                  .run = i / 3,
                  .open = i % 3 < 2,
                  .tokens = i % 3 == 0 ? tokens[i / 3 % 4] : 0};
    tally_apply_run(s.tally, 10 - (double)(i % 7), 3, &m);
  }
  RatesEstimate e = rate_of(&s, 11, 1);
  cr_assert(rates_is_valid(&e), "%g %g %g %g", e.token_s, e.slot_s, e.age_s,
            e.tokens);
  sim_free(&s);
}

/* == at the instance that queries == */

Test(rates, a_received_rate_loses_its_weight_to_that_of_the_service) {
  RatesReceived slow = {0}, fast = {0};
  RatesMean mean = {0};
  RatesEstimate e = {1 / 10000.0, 0.4, 0, 5000};
  cr_assert_float_eq(rates_token_s(&slow, &mean, 1, START_TOKEN_S),
                     START_TOKEN_S, 1e-12, "nothing was received");
  for (int i = 0; i < 400; i++) {
    e.token_s = 1 / 10000.0;
    rates_receive(&slow, &mean, 1, &e);
    e.token_s = 1 / 30000.0;
    rates_receive(&fast, &mean, 1, &e);
  }
  cr_assert_float_eq(mean.token_s, 2 / 30000.0, 2e-6);
  cr_assert_float_eq(rates_token_s(&slow, &mean, 1, 0), 1 / 10000.0, 1e-9);
  double later = rates_token_s(&slow, &mean, 11, 0);
  cr_assert(later < 0.9 / 10000 && later > mean.token_s);
  cr_assert_float_eq(rates_token_s(&slow, &mean, 100, 0), mean.token_s, 1e-7);
  cr_assert_float_eq(rates_slot_s(&fast, &mean, 5), 0.4, 1e-9);
}

/* == cost == */

/* What an instance of 350 counts of 2,400 targets, and its part of 13,000
   requests per second, each of which queries three targets. */
#define COUNTED_TARGETS 7
#define REQUESTS_PER_S 37
#define RUNS_OF_A_TARGET 16
/* Control work of an instance has 11 KB/s and 1.3% of a core in all. */
#define MAX_RATE_BYTES_PER_S 4000
#define MAX_TARGET_BYTES 200
#define MAX_REPORT_US 5

static double cpu_s(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

/* Guards against state or messages that no longer fit a small instance. */
Test(rates, cost_fits_an_instance_of_350) {
  msgpack_sbuffer b;
  msgpack_sbuffer_init(&b);
  TallyRate m = {.number = 1000000,
                 .target = 0xfedcba9876543210,
                 .rate = {1 / 61800.0, 1.25, 0.113, 250000}};
  codec_put_rate(&b, &m);
  size_t bytes = b.size * TARGETS_MAX_QUERIED;
  b.size = 0;
  TallyQuery query = {.number = m.number, .target = m.target};
  TallyReport report = {.number = m.number, .target = m.target, .open = 9};
  TallyRun run = {.target = m.target, .run = m.number, .open = true};
  for (int i = 0; i < 3; i++) {
    codec_put_tally_query(&b, &query);
    codec_put_tally_report(&b, &report);
    codec_put_tally_run(&b, &run);
  }
  cr_log_info("counting of a plain request without rates: %d bytes",
              (int)b.size);
  msgpack_sbuffer_destroy(&b);
  cr_log_info("rates of a request: %d bytes, %.2f KB/s", (int)bytes,
              (double)bytes * REQUESTS_PER_S / 1000);
  cr_assert_lt(bytes * REQUESTS_PER_S, MAX_RATE_BYTES_PER_S);

  size_t before = mallinfo2().uordblks;
  Tally *t = rated_tally();
  size_t counts = 0, rates_only = sizeof(RatesTarget) + sizeof(TallyTarget);
  double began = cpu_s();
  int n = 0;
  for (int round = 0; round < 2000; round++)
    for (uint64_t k = 1; k <= COUNTED_TARGETS; k++) {
      double now = 1 + round * 0.01;
      TallyRun r = {.target = k, .run = (uint64_t)round, .open = true};
      r.tokens = 2000;
      tally_apply_run(t, now, 3, &r);
      r.tokens = 0;
      tally_apply_run(t, now + 0.005, 3, &r);
      r.run -= RUNS_OF_A_TARGET;
      r.open = false;
      tally_apply_run(t, now + 0.006, 3, &r);
      TallyQuery q = {.target = k};
      tally_rate(t, now + 0.007, &q, &m);
      n += 4;
    }
  double us = (cpu_s() - began) / n * 1e6;
  counts = mallinfo2().uordblks - before;
  cr_log_info("%d bytes a counted target with %d requests, of which rates %d; "
              "%.2f us a report or query; %d bytes a known target",
              (int)(counts / COUNTED_TARGETS), RUNS_OF_A_TARGET,
              (int)rates_only, us, (int)sizeof(RatesReceived));
  cr_assert_lt(rates_only, MAX_TARGET_BYTES);
  cr_assert_lt(us, MAX_REPORT_US);
  tally_free(t);
}

/* Guards against a fleet at a fifth of its capacity that was taken for short:
   with short prompts the time for the network and the batch counted as reading,
   and engines seemed to read a sixth of what they do. */
Test(rates, time_besides_reading_is_no_reading) {
  RatesPool pool = {0};
  RatesTarget r = {.slots = 16};
  const double token_s = 1 / 61800.0, besides_s = 0.03;
  double now = 1;
  for (int i = 0; i < 400; i++) {
    int64_t tokens = 300 + i * 37 % 900 + (i % 10 == 0 ? 9000 : 0);
    double since = now;
    rates_note_arrival(&r, now, true);
    now += besides_s + (double)tokens * token_s;
    rates_note_read(&r, &pool, now, tokens, since);
    rates_note_done(&r, &pool, now + 0.1, now);
    now += 0.3;
  }
  RatesEstimate e = rates_estimate(&r, &pool, now, token_s);
  cr_assert_float_eq(1 / e.token_s, 61800, 12000, "%.0f tokens per second",
                     1 / e.token_s);
}
