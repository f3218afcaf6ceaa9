/* test_tally.c: the count of a fleet's work at targets, and what a choice by it
   is worth: many instances with few requests each, one count a target. */
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

static TallyWord ask(Tally *t, double now) {
  TallyAsk a = {.number = 5, .target = T, .parts = {2, {11, 12}}};
  return tally_word(t, now, &a);
}

Test(tally, requests_count_from_their_start_to_their_end) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900), b = run_of(1, true, 100);
  tally_take(t, 1, 8, &a);
  tally_take(t, 1, 9, &b); /* the same number of another sender */
  TallyWord w = ask(t, 1.1);
  cr_assert(w.number == 5 && w.target == T);
  cr_assert(w.open == 2 && w.tokens == 1000);
  a.tokens = 0;
  tally_take(t, 1.2, 8, &a);
  tally_take(t, 1.2, 8, &a); /* told twice */
  w = ask(t, 1.3);
  cr_assert(w.open == 2 && w.tokens == 100);
  a.open = false;
  tally_take(t, 2, 8, &a);
  w = ask(t, 2);
  cr_assert(w.open == 1 && w.tokens == 100);
  tally_free(t);
}

/* For targets that bear a number of requests in a second. */
Test(tally, starts_of_the_last_second_are_told_once_it_was_seen_whole) {
  Tally *t = tally_new();
  cr_assert_gt(ask(t, 1).starts, 50, "what came before is not known");
  for (int i = 0; i < 4; i++) {
    TallyRun a = run_of((uint64_t)i, true, 10);
    tally_take(t, 3 + i * 0.4, 8, &a);
    a.tokens = 0;
    tally_take(t, 3 + i * 0.4, 8, &a); /* it was read: no start */
  }
  cr_assert_eq(ask(t, 4.3).starts, 3);
  cr_assert_eq(ask(t, 6).starts, 0);
  tally_free(t);
}

/* The word of an end is lost, or its sender. */
Test(tally, what_is_not_heard_of_again_runs_out) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900);
  tally_take(t, 1, 8, &a);
  tally_sweep(t, 3);
  cr_assert_eq(ask(t, 3).tokens, 900);
  tally_sweep(t, 5);
  cr_assert(ask(t, 5).tokens == 0 && ask(t, 5).open == 1);
  tally_sweep(t, 17);
  cr_assert_eq(ask(t, 17).open, 0);
  tally_free(t);
}

Test(tally, parts_are_known_at_once_and_ripe_when_read) {
  Tally *t = tally_new();
  TallyRun a = run_of(1, true, 900);
  a.parts = (TallyParts){1, {11}};
  cr_assert_eq(ask(t, 1).known, 0);
  tally_take(t, 1, 8, &a);
  cr_assert(ask(t, 1.1).known == 1 && ask(t, 1.1).ripe == 0);
  a.parts = (TallyParts){2, {11, 12}};
  tally_take(t, 1.2, 9, &a);
  cr_assert(ask(t, 1.6).known == 2 && ask(t, 1.6).ripe == 1);
  tally_free(t);
}

/* == the load that it answers == */

/* 295 instances and 160 targets that read 50,000 tokens a second; 611 prompts a
   second, of 4,000 tokens of their own and of shared parts that stand once for
   a thousand sessions. All are new at the start. Each instance knows what it
   sent itself; with the count it asks for it. */
#define INSTANCES 295
#define TARGETS 160
#define SESSIONS 1000
#define PROMPTS 611 /* a second */
#define RATE 50000.0
#define SECONDS 8
#define AIM 1.0

typedef struct Sim {
  Targets *set[INSTANCES];
  Tally *tally;
  GHashTable *index; /* hash of a target -> its number + 1 */
  double free_at[TARGETS];
  GHashTable *read[TARGETS]; /* session -> itself */
  int late;
  int64_t again; /* tokens of shared parts read beyond the first time */
  bool first[SESSIONS];
  GArray *reading; /* Reading */
} Sim;

typedef struct Reading {
  TallyRun run;
  int who;
  double until;
} Reading;

static void sim_open(Sim *s, bool told) {
  memset(s, 0, sizeof *s);
  s->tally = told ? tally_new() : NULL;
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
    char id[LIMIT_NAME];
    snprintf(id, sizeof id, "t-%d", k);
    uint64_t h = text_hash(id);
    g_hash_table_insert(s->index, g_memdup2(&h, sizeof h),
                        GINT_TO_POINTER(k + 1));
    s->read[k] = g_hash_table_new(NULL, NULL);
  }
}

static void sim_close(Sim *s) {
  for (int i = 0; i < INSTANCES; i++) targets_free(s->set[i]);
  for (int k = 0; k < TARGETS; k++) g_hash_table_destroy(s->read[k]);
  g_hash_table_destroy(s->index);
  g_array_free(s->reading, TRUE);
  if (s->tally) tally_free(s->tally);
}

static int ask_words(Sim *s, double now, int who, TargetAsk *a,
                     const RequestInfo *prompt, TallyWord *words) {
  uint64_t out[TARGETS_ASKED];
  TallyAsk q = {.parts = {1, {prompt->parts[0].id}}};
  int n = targets_to_ask(s->set[who], now, a, out);
  for (int i = 0; i < n; i++) {
    q.target = out[i];
    words[i] = tally_word(s->tally, now, &q);
  }
  return n;
}

/* One prompt: chosen, read behind what stands before it. */
static void one(Sim *s, double now, int who, int session, int64_t shared,
                uint64_t number) {
  RequestInfo prompt = {.prompt_tokens = shared + 4000, .n_parts = 2};
  TallyWord words[TARGETS_ASKED];
  TargetAsk a = {.service = "m", .ask = &prompt, .engine = true};
  prompt.parts[0] = (RequestPart){(uint64_t)session + 1, shared};
  prompt.parts[1] = (RequestPart){number + 1000000, 4000};
  if (s->tally) {
    a.n_words = ask_words(s, now, who, &a, &prompt, words);
    a.words = words;
  }
  TargetChoice c = targets_pick(s->set[who], now, &a);
  uint64_t hash = target_hash(c.target);
  int k = GPOINTER_TO_INT(g_hash_table_lookup(s->index, &hash)) - 1;
  gpointer key = GINT_TO_POINTER(session + 1);
  bool had = g_hash_table_contains(s->read[k], key);
  if (!had && s->first[session]) s->again += shared;
  s->first[session] = true;
  g_hash_table_add(s->read[k], key);
  double read_s = (double)(4000 + (had ? 0 : shared)) / RATE;
  s->free_at[k] = MAX(s->free_at[k], now) + read_s;
  s->late += s->free_at[k] - now > AIM;
  target_sent(c.target, now, &prompt, &c);
  TallyRun r = {.target = hash, .run = number, .open = true};
  r.tokens = (int64_t)(read_s * RATE);
  r.parts = (TallyParts){1, {prompt.parts[0].id}};
  if (!s->tally) return;
  tally_take(s->tally, now, (uint64_t)who, &r);
  Reading g = {.run = r, .who = who, .until = s->free_at[k]};
  g_array_append_val(s->reading, g);
}

/* Who sent it tells when its first byte has come. */
static void tell_read(Sim *s, double now) {
  for (guint i = s->reading->len; i-- > 0;) {
    Reading g = g_array_index(s->reading, Reading, i);
    if (g.until > now) continue;
    g.run.open = false;
    tally_take(s->tally, now, (uint64_t)g.who, &g.run);
    g_array_remove_index_fast(s->reading, i);
  }
}

static void play(Sim *s) {
  GRand *rng = g_rand_new_with_seed(3);
  int n = SECONDS * PROMPTS;
  for (int i = 0; i < n; i++) {
    double now = 1 + (double)i / PROMPTS;
    int session = g_rand_int_range(rng, 0, SESSIONS);
    int64_t shared = 2000 + (session * 7919) % 20000;
    one(s, now, g_rand_int_range(rng, 0, INSTANCES), session, shared,
        (uint64_t)i + 1);
    if (s->tally) tell_read(s, now);
  }
  g_rand_free(rng);
}

Test(tally, a_choice_by_counts_leaves_fewer_late) {
  static Sim blind, told;
  sim_open(&blind, false);
  play(&blind);
  sim_open(&told, true);
  play(&told);
  cr_log_info(
      "late of %d: %d blind, %d by counts; read again %d and %d thousand",
      SECONDS * PROMPTS, blind.late, told.late, (int)(blind.again / 1000),
      (int)(told.again / 1000));
  cr_assert_lt(told.late, blind.late / 2, "%d of %d", told.late, blind.late);
  cr_assert_lt(told.again, 1000000, "%d", (int)told.again);
  sim_close(&blind);
  sim_close(&told);
}
