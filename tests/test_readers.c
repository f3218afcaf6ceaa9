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
static bool away[FLEET]; /* the store does not answer it */

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
    away[i] = false;
  }
  view = view_new(list, n);
  for (int i = 0; i < n; i++) readers_update_view(all[i], view);
}

static void stop(int n) {
  for (int i = 0; i < n; i++) readers_free(all[i]);
  view_free(view);
}

static bool reads(int i, double now) {
  return readers_duty(all[i], now) == READERS_DUTY_ALL;
}

/* Simulates a second in which the readers report to all that are up; returns the
   number of readers. */
static int second(double now, int n) {
  int reading = 0;
  for (int i = 0; i < n; i++) {
    char id[LIMIT_ID_BYTES];
    if (!up[i] || !reads(i, now)) continue;
    id_of(i, id);
    reading++;
    for (int k = 0; k < n; k++)
      if (up[k] && k != i) readers_note_report(all[k], now, id, away[i]);
  }
  return reading;
}

Test(readers, a_small_fleet_reads_each_for_itself) {
  start(FLEET_SMALL_INSTANCES - 1);
  cr_assert_eq(second(1, FLEET_SMALL_INSTANCES - 1), 0);
  for (int i = 0; i < FLEET_SMALL_INSTANCES - 1; i++)
    cr_assert_eq(readers_duty(all[i], 2), READERS_DUTY_OWN);
  stop(FLEET_SMALL_INSTANCES - 1);
}

Test(readers, a_few_read_for_a_large_fleet) {
  start(FLEET);
  for (int t = 1; t < 100; t++)
    cr_assert_eq(second(t, FLEET), READERS_PER_REGION);
  stop(FLEET);
}

Test(readers, others_take_the_place_of_those_that_fall_silent) {
  start(FLEET);
  for (int t = 1; t < 10; t++) second(t, FLEET);
  for (int i = 0; i < FLEET; i++)
    up[i] = !reads(i, 10); /* all readers are lost */
  int n = 0;
  for (int t = 10; t < 15; t++) n = second(t, FLEET);
  cr_assert_eq(n, READERS_PER_REGION, "%d read after five seconds", n);
  for (int i = 0; i < FLEET; i++) up[i] = true;
  second(16, FLEET);
  cr_assert_eq(second(17, FLEET), READERS_PER_REGION,
               "the first choices are back");
  stop(FLEET);
}

/* Each call is priced, also while the store is unavailable. */
Test(readers, while_the_store_is_away_a_few_try_it_for_all) {
  start(FLEET);
  for (int t = 1; t < 10; t++) second(t, FLEET);
  for (int i = 0; i < FLEET; i++) away[i] = true;
  int n = 0;
  for (int t = 10; t < 30; t++) n = second(t, FLEET);
  cr_assert_eq(n, READERS_MAX_TRYING, "%d try", n);
  for (int i = 0; i < FLEET; i++) away[i] = false;
  second(31, FLEET);
  cr_assert_eq(second(32, FLEET), READERS_PER_REGION, "the store is available again");
  stop(FLEET);
}

Test(readers, who_is_served_while_the_first_are_turned_away_reads_for_all) {
  start(FLEET);
  for (int t = 1; t < 10; t++) second(t, FLEET);
  for (int i = 0; i < FLEET; i++) away[i] = reads(i, 10);
  int n = 0, served = 0;
  for (int t = 10; t < 20; t++) n = second(t, FLEET);
  for (int i = 0; i < FLEET; i++) served += reads(i, 20) && !away[i];
  cr_assert_eq(served, READERS_PER_REGION, "the store answers %d of %d readers",
               served, n);
  cr_assert_leq(n, READERS_MAX_TRYING);
  stop(FLEET);
}

/* == network partitions that leave a few in reach of the store == */

/* A large fleet with simplified feeds: a reader calls the store every 0.6 s and
   reports to all others; any other instance reads for itself when it gets no
   report for 1.5 s. Steps of 0.2 s, as in the feed. */
#define MOST 295
#define STEP_S 0.2
#define STALE_S 1.5
#define READ_S 0.6

typedef enum { ANSWERS, TURNS_AWAY, CUT_OFF } Way;

typedef struct Instance {
  Readers *readers;
  char id[LIMIT_ID_BYTES];
  Way way;     /* its connection to the store */
  int version; /* of the data that it knows */
  double told; /* last report of a read, with its version */
  double away; /* last report that the store does not answer */
  double read_at;
  bool knocked;
} Instance;

static Instance fleet[MOST];
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

static void begin(Instance *x) {
  x->readers = readers_new(x->id, "r");
  x->told = x->away = -STALE_S;
  x->read_at = 0;
  x->knocked = false;
}

static void begin_all(int n) {
  size = n;
  newest = 1;
  clock_s = 0;
  for (int i = 0; i < n; i++) {
    fleet[i] = (Instance){.version = 1};
    snprintf(fleet[i].id, LIMIT_ID_BYTES, "n%03d.1", i);
    begin(&fleet[i]);
  }
  fill_view();
}

static void end_all(void) {
  for (int i = 0; i < size; i++) readers_free(fleet[i].readers);
}

static void tell_all(const Instance *x, ReadersStoreResult word) {
  for (int i = 0; i < size; i++) {
    Instance *y = &fleet[i];
    if (y == x) continue;
    readers_note_report(y->readers, clock_s, x->id, word);
    if (word != READERS_STORE_ANSWERED) {
      y->away = clock_s;
      continue;
    }
    y->told = clock_s;
    y->version = x->version > y->version ? x->version : y->version;
  }
}

/* One call to the store; a reader reports its result. */
static void ask_store(Instance *x) {
  static const ReadersStoreResult words[] = {
      READERS_STORE_ANSWERED, READERS_STORE_REFUSED, READERS_STORE_UNREACHABLE};
  if (x->way != CUT_OFF) calls++;
  if (x->way == ANSWERS) x->version = newest;
  readers_note_own_call(x->readers, clock_s, words[x->way]);
  if (readers_duty(x->readers, clock_s) == READERS_DUTY_ALL)
    tell_all(x, words[x->way]);
}

static void look(Instance *x) {
  if (x->knocked && x->way != CUT_OFF) {
    x->knocked = false;
    if (readers_request_is_due(x->readers, clock_s)) ask_store(x);
    return;
  }
  x->knocked = readers_probe_is_due(x->readers, clock_s) || x->knocked;
}

static void step(Instance *x) {
  bool reads = readers_duty(x->readers, clock_s) != READERS_DUTY_NONE;
  bool told = clock_s - x->told < STALE_S;
  bool away = clock_s - x->away < STALE_S;
  if (!reads && told) return;
  if (!reads && away) {
    look(x);
    return;
  }
  if (clock_s < x->read_at) return;
  x->read_at = clock_s + READ_S;
  ask_store(x);
}

static void run_until(double until) {
  for (; clock_s < until; clock_s += STEP_S)
    for (int i = 0; i < size; i++) step(&fleet[i]);
}

/* All but the `n_left` instances `left` lose the store. */
static void leave_out(Way others, const int *left, int n_left) {
  for (int i = 0; i < size; i++) fleet[i].way = others;
  for (int k = 0; k < n_left; k++) fleet[left[k]].way = ANSWERS;
}

static int behind(void) {
  int n = 0;
  for (int i = 0; i < size; i++) n += fleet[i].version < newest;
  return n;
}

/* The instances that stay in reach of the store; none is among the first eight
   choices of its fleet. */
static const int few[] = {3, 40, 77};

/* The partition begins at 10 s. The instances that still reach the store find
   that out within 3 s, and have 2 s to learn of a change after that. */
static void check_cut(int n, int n_left) {
  begin_all(n);
  run_until(10);
  leave_out(CUT_OFF, few, n_left);
  run_until(14);
  newest = 2;
  run_until(16);
  for (int k = 0; k < n_left; k++)
    cr_assert_eq(fleet[few[k]].version, 2, "%d of %d", few[k], n);
  run_until(18);
  cr_assert_eq(behind(), 0, "%d of %d got no report of it", behind(), n);
  newest = 3;
  run_until(20);
  cr_assert_eq(behind(), 0, "%d of %d", behind(), n);
  end_all();
}

Test(readers, who_is_left_out_of_a_cut_reads_and_tells) {
  static const int sizes[] = {86, MOST};
  for (int s = 0; s < 2; s++)
    for (int left = 1; left <= 3; left++) check_cut(sizes[s], left);
}

/* Two are cut off before the others, and reach the store again while those do
   not. */
Test(readers, whose_cut_ends_first_reads_and_tells) {
  begin_all(86);
  run_until(5);
  fleet[few[0]].way = fleet[few[1]].way = CUT_OFF;
  run_until(8);
  for (int i = 0; i < size; i++) fleet[i].way = CUT_OFF;
  run_until(11);
  fleet[few[0]].way = fleet[few[1]].way = ANSWERS;
  run_until(14);
  newest = 2;
  run_until(16);
  cr_assert_eq(fleet[few[0]].version, 2);
  cr_assert_eq(fleet[few[1]].version, 2);
  end_all();
}

Test(readers, who_restarts_beside_a_cut_reads_and_tells) {
  begin_all(86);
  run_until(10);
  leave_out(CUT_OFF, few, 1);
  run_until(12);
  Instance *x = &fleet[few[1]];
  readers_free(x->readers);
  snprintf(x->id, LIMIT_ID_BYTES, "n%03d.2", few[1]);
  begin(x);
  fill_view();
  run_until(16);
  newest = 2;
  run_until(18);
  cr_assert_eq(x->version, 2);
  end_all();
}

/* The store answers one instance and rejects the others: it finds out within a
   round. */
Test(readers, who_is_served_while_others_are_turned_away_is_found) {
  begin_all(86);
  run_until(10);
  leave_out(TURNS_AWAY, few, 1);
  run_until(10 + 86 / READERS_FLEET_CALLS_PER_S + 3);
  newest = 2;
  run_until(clock_s + 2);
  cr_assert_eq(fleet[few[0]].version, 2);
  end_all();
}

/* Calls in 10 s of an outage for the whole fleet. Each is priced, also a rejected
   one; those of an instance that is cut off do not arrive. */
static int calls_of_outage(int n, Way way) {
  begin_all(n);
  run_until(10);
  leave_out(way, NULL, 0);
  run_until(16);
  calls = 0;
  run_until(26);
  end_all();
  return calls;
}

Test(readers, calls_of_an_outage_do_not_grow_with_the_fleet) {
  double most = 10 * (READERS_MAX_TRYING / READ_S + READERS_FLEET_CALLS_PER_S);
  int small = calls_of_outage(86, TURNS_AWAY);
  int large = calls_of_outage(MOST, TURNS_AWAY);
  cr_assert_leq(small, most * 1.1, "%d calls", small);
  cr_assert_leq(large, most * 1.1, "%d calls", large);
  cr_assert_eq(calls_of_outage(MOST, CUT_OFF), 0);
}
