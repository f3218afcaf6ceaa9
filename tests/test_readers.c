/* test_readers.c: which instances read the store for the others, in each one's
   own judgement. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "member/readers.h"

#define FLEET 20

static Readers *all[FLEET];
static View *view;
static bool up[FLEET];
static bool unavailable[FLEET]; /* the store does not answer it */

static void id_of(int i, char *out) {
  snprintf(out, LIMIT_ID_BYTES, "n%02d.1", i);
}

static void start(int n) {
  Member list[FLEET] = {0};
  for (int i = 0; i < n; i++) {
    id_of(i, list[i].id);
    g_strlcpy(list[i].region, "r", LIMIT_NAME_BYTES);
    all[i] = readers_new(list[i].id, "r");
    up[i] = true;
    unavailable[i] = false;
  }
  view = view_new(list, n);
  for (int i = 0; i < n; i++) readers_update_view(all[i], view);
}

static void stop(int n) {
  for (int i = 0; i < n; i++) readers_free(all[i]);
  view_free(view);
}

static bool is_reader(int i, double now) {
  return readers_duty(all[i], now) == READERS_DUTY_ALL;
}

/* Simulates a second in which the readers report to all that are up; returns
   the number of readers. */
static int simulate_second(double now, int n) {
  int reading = 0;
  for (int i = 0; i < n; i++) {
    char id[LIMIT_ID_BYTES];
    if (!up[i] || !is_reader(i, now)) continue;
    id_of(i, id);
    reading++;
    for (int k = 0; k < n; k++)
      if (up[k] && k != i) readers_note_report(all[k], now, id, unavailable[i]);
  }
  return reading;
}

Test(readers, a_small_fleet_reads_each_for_itself) {
  start(FLEET_SMALL_INSTANCES - 1);
  cr_assert_eq(simulate_second(1, FLEET_SMALL_INSTANCES - 1), 0);
  for (int i = 0; i < FLEET_SMALL_INSTANCES - 1; i++)
    cr_assert_eq(readers_duty(all[i], 2), READERS_DUTY_OWN);
  stop(FLEET_SMALL_INSTANCES - 1);
}

Test(readers, a_few_read_for_a_large_fleet) {
  start(FLEET);
  for (int t = 1; t < 100; t++)
    cr_assert_eq(simulate_second(t, FLEET), READERS_PER_REGION);
  stop(FLEET);
}

Test(readers, others_replace_unresponsive_readers) {
  start(FLEET);
  for (int t = 1; t < 10; t++) simulate_second(t, FLEET);
  for (int i = 0; i < FLEET; i++)
    up[i] = !is_reader(i, 10); /* all readers are lost */
  int n = 0;
  for (int t = 10; t < 15; t++) n = simulate_second(t, FLEET);
  cr_assert_eq(n, READERS_PER_REGION, "%d read after five seconds", n);
  for (int i = 0; i < FLEET; i++) up[i] = true;
  simulate_second(16, FLEET);
  cr_assert_eq(simulate_second(17, FLEET), READERS_PER_REGION,
               "the first choices are back");
  stop(FLEET);
}

/* Each call is priced, also while the store is unavailable. */
Test(readers, while_the_store_is_unavailable_a_few_try_it_for_all) {
  start(FLEET);
  for (int t = 1; t < 10; t++) simulate_second(t, FLEET);
  for (int i = 0; i < FLEET; i++) unavailable[i] = true;
  int n = 0;
  for (int t = 10; t < 30; t++) n = simulate_second(t, FLEET);
  cr_assert_eq(n, READERS_MAX_TRYING, "%d try", n);
  for (int i = 0; i < FLEET; i++) unavailable[i] = false;
  simulate_second(31, FLEET);
  cr_assert_eq(simulate_second(32, FLEET), READERS_PER_REGION,
               "the store is available again");
  stop(FLEET);
}

Test(readers, an_answered_instance_replaces_rejected_readers) {
  start(FLEET);
  for (int t = 1; t < 10; t++) simulate_second(t, FLEET);
  for (int i = 0; i < FLEET; i++) unavailable[i] = is_reader(i, 10);
  int n = 0, served = 0;
  for (int t = 10; t < 20; t++) n = simulate_second(t, FLEET);
  for (int i = 0; i < FLEET; i++) served += is_reader(i, 20) && !unavailable[i];
  cr_assert_eq(served, READERS_PER_REGION, "the store answers %d of %d readers",
               served, n);
  cr_assert_leq(n, READERS_MAX_TRYING);
  stop(FLEET);
}

/* == network partitions that leave a few in reach of the store == */

/* A large fleet with simplified feeds: a reader calls the store every 0.6 s and
   reports to all others; any other instance reads for itself when it gets no
   report for 1.5 s. Steps of 0.2 s, as in the feed. */
#define MAX_INSTANCES 295
#define STEP_S 0.2
#define STALE_S 1.5
#define READ_INTERVAL_S 0.6

typedef enum { STORE_ANSWERS, STORE_REJECTS, STORE_UNREACHABLE } StoreAccess;

typedef struct Instance {
  Readers *readers;
  char id[LIMIT_ID_BYTES];
  StoreAccess access;           /* its connection to the store */
  int version;                  /* of the data that it knows */
  double read_report_at;        /* last report of a read, with its version */
  double unavailable_report_at; /* last report that the store does not answer */
  double next_read_at;
  bool probed;
} Instance;

static Instance fleet[MAX_INSTANCES];
static int size, newest, calls;
static double clock_s;

static void fill_view(void) {
  Member *list = g_new0(Member, (gsize)size);
  for (int i = 0; i < size; i++) {
    g_strlcpy(list[i].id, fleet[i].id, LIMIT_ID_BYTES);
    g_strlcpy(list[i].region, "r", LIMIT_NAME_BYTES);
  }
  View *v = view_new(list, size);
  for (int i = 0; i < size; i++) readers_update_view(fleet[i].readers, v);
  view_free(v);
  g_free(list);
}

static void start_instance(Instance *x) {
  x->readers = readers_new(x->id, "r");
  x->read_report_at = x->unavailable_report_at = -STALE_S;
  x->next_read_at = 0;
  x->probed = false;
}

static void start_fleet(int n) {
  size = n;
  newest = 1;
  clock_s = 0;
  for (int i = 0; i < n; i++) {
    fleet[i] = (Instance){.version = 1};
    snprintf(fleet[i].id, LIMIT_ID_BYTES, "n%03d.1", i);
    start_instance(&fleet[i]);
  }
  fill_view();
}

static void stop_fleet(void) {
  for (int i = 0; i < size; i++) readers_free(fleet[i].readers);
}

static void report_to_all(const Instance *x, ReadersStoreResult result) {
  for (int i = 0; i < size; i++) {
    Instance *y = &fleet[i];
    if (y == x) continue;
    readers_note_report(y->readers, clock_s, x->id, result);
    if (result != READERS_STORE_ANSWERED) {
      y->unavailable_report_at = clock_s;
      continue;
    }
    y->read_report_at = clock_s;
    y->version = x->version > y->version ? x->version : y->version;
  }
}

/* One call to the store; a reader reports its result. */
static void call_store(Instance *x) {
  static const ReadersStoreResult results[] = {
      READERS_STORE_ANSWERED, READERS_STORE_REFUSED, READERS_STORE_UNREACHABLE};
  if (x->access != STORE_UNREACHABLE) calls++;
  if (x->access == STORE_ANSWERS) x->version = newest;
  readers_note_own_call(x->readers, clock_s, results[x->access]);
  if (readers_duty(x->readers, clock_s) == READERS_DUTY_ALL)
    report_to_all(x, results[x->access]);
}

static void probe_store(Instance *x) {
  if (x->probed && x->access != STORE_UNREACHABLE) {
    x->probed = false;
    if (readers_request_is_due(x->readers, clock_s)) call_store(x);
    return;
  }
  x->probed = readers_probe_is_due(x->readers, clock_s) || x->probed;
}

static void run_step(Instance *x) {
  bool is_reader = readers_duty(x->readers, clock_s) != READERS_DUTY_NONE;
  bool has_read_report = clock_s - x->read_report_at < STALE_S;
  bool store_unavailable = clock_s - x->unavailable_report_at < STALE_S;
  if (!is_reader && has_read_report) return;
  if (!is_reader && store_unavailable) {
    probe_store(x);
    return;
  }
  if (clock_s < x->next_read_at) return;
  x->next_read_at = clock_s + READ_INTERVAL_S;
  call_store(x);
}

static void run_until(double until) {
  for (; clock_s < until; clock_s += STEP_S)
    for (int i = 0; i < size; i++) run_step(&fleet[i]);
}

/* All but the `n_left` instances `left` lose the store. */
static void cut_off_others(StoreAccess others, const int *left, int n_left) {
  for (int i = 0; i < size; i++) fleet[i].access = others;
  for (int k = 0; k < n_left; k++) fleet[left[k]].access = STORE_ANSWERS;
}

static int count_lagging(void) {
  int n = 0;
  for (int i = 0; i < size; i++) n += fleet[i].version < newest;
  return n;
}

/* The instances that stay in reach of the store; none is among the first eight
   choices of its fleet. */
static const int reachable[] = {3, 40, 77};

/* The partition begins at 10 s. The instances that still reach the store find
   that out within 3 s, and have 2 s to learn of a change after that. */
static void check_partition(int n, int n_left) {
  start_fleet(n);
  run_until(10);
  cut_off_others(STORE_UNREACHABLE, reachable, n_left);
  run_until(14);
  newest = 2;
  run_until(16);
  for (int k = 0; k < n_left; k++)
    cr_assert_eq(fleet[reachable[k]].version, 2, "%d of %d", reachable[k], n);
  run_until(18);
  cr_assert_eq(count_lagging(), 0, "%d of %d got no report of it",
               count_lagging(), n);
  newest = 3;
  run_until(20);
  cr_assert_eq(count_lagging(), 0, "%d of %d", count_lagging(), n);
  stop_fleet();
}

Test(readers, instances_outside_a_partition_read_and_report) {
  static const int sizes[] = {86, MAX_INSTANCES};
  for (int s = 0; s < 2; s++)
    for (int left = 1; left <= 3; left++) check_partition(sizes[s], left);
}

/* Two are cut off before the others, and reach the store again while those do
   not. */
Test(readers, instances_whose_partition_heals_first_read_and_report) {
  start_fleet(86);
  run_until(5);
  fleet[reachable[0]].access = fleet[reachable[1]].access = STORE_UNREACHABLE;
  run_until(8);
  for (int i = 0; i < size; i++) fleet[i].access = STORE_UNREACHABLE;
  run_until(11);
  fleet[reachable[0]].access = fleet[reachable[1]].access = STORE_ANSWERS;
  run_until(14);
  newest = 2;
  run_until(16);
  cr_assert_eq(fleet[reachable[0]].version, 2);
  cr_assert_eq(fleet[reachable[1]].version, 2);
  stop_fleet();
}

Test(readers, an_instance_restarted_outside_a_partition_reads_and_reports) {
  start_fleet(86);
  run_until(10);
  cut_off_others(STORE_UNREACHABLE, reachable, 1);
  run_until(12);
  Instance *x = &fleet[reachable[1]];
  readers_free(x->readers);
  snprintf(x->id, LIMIT_ID_BYTES, "n%03d.2", reachable[1]);
  start_instance(x);
  fill_view();
  run_until(16);
  newest = 2;
  run_until(18);
  cr_assert_eq(x->version, 2);
  stop_fleet();
}

/* The store answers one instance and rejects the others: it finds out within a
   round. */
Test(readers, an_answered_instance_among_rejected_ones_reads) {
  start_fleet(86);
  run_until(10);
  cut_off_others(STORE_REJECTS, reachable, 1);
  run_until(10 + 86 / READERS_FLEET_CALLS_PER_S + 3);
  newest = 2;
  run_until(clock_s + 2);
  cr_assert_eq(fleet[reachable[0]].version, 2);
  stop_fleet();
}

/* Calls in 10 s of an outage for the whole fleet. Each is priced, also a
   rejected one; those of an instance that is cut off do not arrive. */
static int count_outage_calls(int n, StoreAccess access) {
  start_fleet(n);
  run_until(10);
  cut_off_others(access, NULL, 0);
  run_until(16);
  calls = 0;
  run_until(26);
  stop_fleet();
  return calls;
}

Test(readers, calls_of_an_outage_do_not_grow_with_the_fleet) {
  double max_calls =
      10 * (READERS_MAX_TRYING / READ_INTERVAL_S + READERS_FLEET_CALLS_PER_S);
  int small = count_outage_calls(86, STORE_REJECTS);
  int large = count_outage_calls(MAX_INSTANCES, STORE_REJECTS);
  cr_assert_leq(small, max_calls * 1.1, "%d calls", small);
  cr_assert_leq(large, max_calls * 1.1, "%d calls", large);
  cr_assert_eq(count_outage_calls(MAX_INSTANCES, STORE_UNREACHABLE), 0);
}
