/* test_tally.c: the count of a fleet's work at targets, and its effect on
   choices: many instances with few requests each, and one count for each
   target. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "kernel/text.h"
#include "route/tally.h"
#include "route/targets.h"

#define T 77 /* hash of a target */

static TallyRun run_of(uint64_t run, bool open, int64_t tokens) {
  return (TallyRun){.target = T, .run = run, .open = open, .tokens = tokens};
}

static TallyReport query(Tally *t, double now) {
  TallyQuery a = {.number = 5, .target = T, .parts = {2, {11, 12}}};
  return tally_report(t, now, &a);
}

Test(tally, requests_are_counted_from_start_to_end) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900), b = run_of(1, true, 100);
  tally_apply_run(t, 1, 8, &a);
  tally_apply_run(t, 1, 9, &b); /* the same number from another sender */
  TallyReport w = query(t, 1.1);
  cr_assert(w.number == 5 && w.target == T);
  cr_assert(w.open == 2 && w.tokens == 1000);
  a.tokens = 0;
  tally_apply_run(t, 1.2, 8, &a);
  tally_apply_run(t, 1.2, 8, &a); /* a repeated report */
  w = query(t, 1.3);
  cr_assert(w.open == 2 && w.tokens == 100);
  a.open = false;
  tally_apply_run(t, 2, 8, &a);
  w = query(t, 2);
  cr_assert(w.open == 1 && w.tokens == 100);
  tally_free(t);
}

/* For targets that can take a number of requests per second. */
Test(tally, recent_starts_are_reported_after_a_full_second) {
  Tally *t = tally_new();
  cr_assert_gt(query(t, 1).starts, 50, "earlier starts are unknown");
  for (int i = 0; i < 4; i++) {
    TallyRun a = run_of((uint64_t)i, true, 10);
    tally_apply_run(t, 3 + i * 0.4, 8, &a);
    a.tokens = 0;
    tally_apply_run(t, 3 + i * 0.4, 8,
                    &a); /* the prompt was read: not a new start */
  }
  cr_assert_eq(query(t, 4.3).starts, 3);
  cr_assert_eq(query(t, 6).starts, 0);
  tally_free(t);
}

/* The report of an end is lost, or its sender is. */
Test(tally, runs_without_updates_expire) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900);
  tally_apply_run(t, 1, 8, &a);
  tally_sweep(t, 3);
  cr_assert_eq(query(t, 3).tokens, 900);
  tally_sweep(t, 5);
  cr_assert(query(t, 5).tokens == 0 && query(t, 5).open == 1);
  tally_sweep(t, 17);
  cr_assert_eq(query(t, 17).open, 0);
  tally_free(t);
}

Test(tally, parts_are_known_at_once_and_finished_when_read) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900);
  a.parts = (TallyParts){1, {11}};
  cr_assert_eq(query(t, 1).known_parts, 0);
  tally_apply_run(t, 1, 8, &a);
  cr_assert(query(t, 1.1).known_parts == 1 &&
            query(t, 1.1).finished_parts == 0);
  a.parts = (TallyParts){2, {11, 12}};
  tally_apply_run(t, 1.2, 9, &a);
  cr_assert(query(t, 1.6).known_parts == 2 &&
            query(t, 1.6).finished_parts == 1);
  tally_free(t);
}

/* == choice by counts under load == */

/* 295 instances and 160 targets that read 50,000 tokens per second; 611
   prompts per second, with 4,000 tokens of their own and shared parts, which
   differ between a thousand sessions. No part is cached at the start. Each
   instance knows what it sent itself; with the count it also queries that. */
#define INSTANCES 295
#define TARGETS 160
#define SESSIONS 1000
#define PROMPTS 611 /* per second */
#define RATE 50000.0
#define SECONDS 8
#define AIM_S 1.0

typedef struct Sim {
  Targets *set[INSTANCES];
  Tally *tally;
  GHashTable *index; /* hash of a target -> its index + 1 */
  double free_at[TARGETS];
  GHashTable *cached_sessions[TARGETS]; /* session -> itself */
  int late;
  int64_t reread_tokens; /* tokens of shared parts read more than once */
  bool first[SESSIONS];
  GArray *reading; /* Reading */
} Sim;

typedef struct Reading {
  TallyRun run;
  int who;
  double until;
} Reading;

static void sim_open(Sim *s, bool counted) {
  memset(s, 0, sizeof *s);
  s->tally = counted ? tally_new() : NULL;
  s->reading = g_array_new(FALSE, FALSE, sizeof(Reading));
  s->index = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  for (int i = 0; i < INSTANCES; i++) {
    s->set[i] = targets_new("dc", (uint32_t)i + 1);
    for (int k = 0; k < TARGETS; k++) {
      TargetInfo t = {.service = "m", .dc = "dc", .slots = 64};
      snprintf(t.id, sizeof t.id, "t-%d", k);
      targets_set(s->set[i], 0, &t);
    }
  }
  for (int k = 0; k < TARGETS; k++) {
    char id[LIMIT_NAME_BYTES];
    snprintf(id, sizeof id, "t-%d", k);
    uint64_t h = text_hash(id);
    g_hash_table_insert(s->index, g_memdup2(&h, sizeof h),
                        GINT_TO_POINTER(k + 1));
    s->cached_sessions[k] = g_hash_table_new(NULL, NULL);
  }
}

static void sim_close(Sim *s) {
  for (int i = 0; i < INSTANCES; i++) targets_free(s->set[i]);
  for (int k = 0; k < TARGETS; k++) g_hash_table_destroy(s->cached_sessions[k]);
  g_hash_table_destroy(s->index);
  g_array_free(s->reading, TRUE);
  if (s->tally) tally_free(s->tally);
}

static int query_reports(Sim *s, double now, int who, TargetRequest *a,
                         const RequestInfo *prompt, TallyReport *reports) {
  uint64_t out[TARGETS_MAX_QUERIED];
  TallyQuery q = {.parts = {1, {prompt->parts[0].id}}};
  int n = targets_to_query(s->set[who], now, a, out);
  for (int i = 0; i < n; i++) {
    q.target = out[i];
    reports[i] = tally_report(s->tally, now, &q);
  }
  return n;
}

/* One prompt: chooses a target, where it is read after those sent before. */
static void send_prompt(Sim *s, double now, int who, int session,
                        int64_t shared, uint64_t number) {
  RequestInfo prompt = {.prompt_tokens = shared + 4000, .n_parts = 2};
  TallyReport reports[TARGETS_MAX_QUERIED];
  TargetRequest a = {.service = "m", .info = &prompt, .engine = true};
  prompt.parts[0] = (RequestPart){(uint64_t)session + 1, shared};
  prompt.parts[1] = (RequestPart){number + 1000000, 4000};
  if (s->tally) {
    a.n_reports = query_reports(s, now, who, &a, &prompt, reports);
    a.reports = reports;
  }
  TargetChoice c = targets_pick(s->set[who], now, &a);
  uint64_t hash = target_hash(c.target);
  int k = GPOINTER_TO_INT(g_hash_table_lookup(s->index, &hash)) - 1;
  gpointer key = GINT_TO_POINTER(session + 1);
  bool was_cached = g_hash_table_contains(s->cached_sessions[k], key);
  if (!was_cached && s->first[session]) s->reread_tokens += shared;
  s->first[session] = true;
  g_hash_table_add(s->cached_sessions[k], key);
  double read_s = (double)(4000 + (was_cached ? 0 : shared)) / RATE;
  s->free_at[k] = MAX(s->free_at[k], now) + read_s;
  s->late += s->free_at[k] - now > AIM_S;
  target_note_sent(c.target, now, &prompt, &c);
  TallyRun r = {.target = hash, .run = number, .open = true};
  r.tokens = (int64_t)(read_s * RATE);
  r.parts = (TallyParts){1, {prompt.parts[0].id}};
  if (!s->tally) return;
  tally_apply_run(s->tally, now, (uint64_t)who, &r);
  Reading g = {.run = r, .who = who, .until = s->free_at[k]};
  g_array_append_val(s->reading, g);
}

/* The sender reports the arrival of the first byte. */
static void report_finished(Sim *s, double now) {
  for (guint i = s->reading->len; i-- > 0;) {
    Reading g = g_array_index(s->reading, Reading, i);
    if (g.until > now) continue;
    g.run.open = false;
    tally_apply_run(s->tally, now, (uint64_t)g.who, &g.run);
    g_array_remove_index_fast(s->reading, i);
  }
}

static void run_sim(Sim *s) {
  GRand *rng = g_rand_new_with_seed(3);
  int n = SECONDS * PROMPTS;
  for (int i = 0; i < n; i++) {
    double now = 1 + (double)i / PROMPTS;
    int session = g_rand_int_range(rng, 0, SESSIONS);
    int64_t shared = 2000 + (session * 7919) % 20000;
    send_prompt(s, now, g_rand_int_range(rng, 0, INSTANCES), session, shared,
                (uint64_t)i + 1);
    if (s->tally) report_finished(s, now);
  }
  g_rand_free(rng);
}

Test(tally, choice_by_counts_makes_fewer_prompts_late) {
  static Sim blind, counted;
  sim_open(&blind, false);
  run_sim(&blind);
  sim_open(&counted, true);
  run_sim(&counted);
  cr_log_info("late of %d: %d without counts, %d with them; %d and %d thousand "
              "tokens read again",
              SECONDS * PROMPTS, blind.late, counted.late,
              (int)(blind.reread_tokens / 1000),
              (int)(counted.reread_tokens / 1000));
  cr_assert_lt(counted.late, blind.late / 2, "%d of %d", counted.late,
               blind.late);
  cr_assert_lt(counted.reread_tokens, 1000000, "%d",
               (int)counted.reread_tokens);
  sim_close(&blind);
  sim_close(&counted);
}
