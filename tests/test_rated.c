/* test_rated.c: the choice of a target by the rates that counting instances
   report, and that nothing changes without them. */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "kernel/text.h"
#include "route/targets.h"

#define SLOTS 16

static TargetInfo info(int i, int slots) {
  TargetInfo t = {.slots = slots, .revision = 10, .service = "m", .dc = "a"};
  snprintf(t.id, sizeof t.id, "i-%d", i);
  snprintf(t.addr, sizeof t.addr, "10.0.0.%d:80", i);
  return t;
}

static uint64_t hash_of(int i) {
  char id[LIMIT_NAME_BYTES];
  snprintf(id, sizeof id, "i-%d", i);
  return text_hash(id);
}

static Targets *seeded_targets(uint32_t seed, int n, int slots) {
  Targets *s = targets_new("a", seed);
  for (int i = 0; i < n; i++) {
    TargetInfo t = info(i, slots);
    targets_set(s, 0, &t);
  }
  return s;
}

static Targets *targets_with(int n, int slots) {
  return seeded_targets(1, n, slots);
}

static TallyRate rate(int i, double token_s, double slot_s) {
  return (TallyRate){
      .target = hash_of(i),
      .rate = {.token_s = token_s, .slot_s = slot_s, .tokens = 10000}};
}

static void apply(Targets *s, double now, int i, double token_s,
                  double slot_s) {
  TallyRate m = rate(i, token_s, slot_s);
  cr_assert(targets_apply_rate(s, now, &m));
}

static TargetRequest engine_request(const RequestInfo *a, bool rated) {
  return (TargetRequest){.service = "m",
                         .info = a,
                         .engine = true,
                         .rated = rated,
                         .slots = SLOTS};
}

/* == what rates change == */

Test(rated, engine_wait_is_unread_tokens_at_the_rate_of_the_target) {
  Targets *s = targets_with(2, 1);
  RequestInfo a = {.prompt_tokens = 1000};
  TargetRequest r = engine_request(&a, true);
  TallyReport reports[2] = {{.target = hash_of(0), .tokens = 4000},
                            {.target = hash_of(1), .tokens = 3000}};
  r.reports = reports;
  r.n_reports = 2;
  apply(s, 1, 0, 1 / 20000.0, 0.4);
  apply(s, 1, 1, 1 / 5000.0, 0.4); /* fewer tokens, but slower */
  TargetChoice c = targets_pick(s, 1, &r);
  cr_assert_str_eq(target_id(c.target), "i-0");
  cr_assert(c.rated && c.rate_age_s == 0 && c.wait_is_reported);
  r.n_reports = 0;
  cr_assert(!targets_pick(s, 1, &r).wait_is_reported);
  cr_assert_float_eq(c.wait_s, 5000 / 20000.0, 1e-6);
  cr_assert_float_eq(c.token_s, 1 / 20000.0, 1e-9);
  targets_free(s);
}

Test(rated, engine_without_a_free_slot_is_late_whatever_its_rate) {
  Targets *s = targets_with(2, 1);
  RequestInfo a = {.prompt_tokens = 100};
  TargetRequest r = engine_request(&a, true);
  TallyReport reports[2] = {{.target = hash_of(0), .open = SLOTS + 7},
                            {.target = hash_of(1), .tokens = 2000}};
  r.reports = reports;
  r.n_reports = 2;
  apply(s, 1, 0, 1 / 20000.0, 2);
  apply(s, 1, 1, 1 / 20000.0, 2);
  TargetChoice c = targets_pick(s, 1, &r);
  cr_assert_str_eq(target_id(c.target), "i-1");
  r.n_reports = 1;
  c = targets_pick(s, 1, &r);
  cr_assert_float_eq(c.wait_s, 8 * 2.0 / SLOTS + 100 / 20000.0, 1e-6);
  targets_free(s);
}

/* Guards against targets that stay idle because a pool is divided between long
   and short prompts, as small fleets do, while others have long queues. */
Test(rated, prompts_of_one_length_use_all_targets) {
  Targets *s = targets_with(6, 1);
  RequestInfo a = {.prompt_tokens = 4000};
  TargetRequest r = engine_request(&a, true);
  targets_set_parts_exchanged(s, true);
  TallyRate start = rate(0, 1 / 20000.0, 0.4);
  start.rate.tokens = 0; /* without a sample */
  cr_assert(targets_apply_rate(s, 1, &start));
  for (int i = 0; i < 60; i++) {
    TargetChoice c = targets_pick(s, 1, &r);
    target_note_sent(c.target, 1, &a, &c);
    cr_expect_leq(c.load.open, i / 6, "%s", target_id(c.target));
  }
  targets_free(s);
}

Test(rated, plain_wait_is_that_of_a_slot) {
  Targets *s = targets_with(2, 6);
  RequestInfo a = {0};
  TargetRequest r = {.service = "m", .info = &a, .rated = true};
  TallyReport reports[2] = {{.target = hash_of(0), .open = 17},
                            {.target = hash_of(1), .open = 12}};
  r.reports = reports;
  r.n_reports = 2;
  apply(s, 1, 0, 0, 0.06);
  apply(s, 1, 1, 0, 0.06);
  TargetChoice c = targets_pick(s, 1, &r);
  cr_assert_str_eq(target_id(c.target), "i-1");
  cr_assert_float_eq(c.wait_s, 0.06 + 7 * 0.06 / 6, 1e-6);
  reports[0].open = 1;
  reports[1].open = 5;
  c = targets_pick(s, 1, &r);
  cr_assert_str_eq(target_id(c.target), "i-0", "both have a free slot");
  cr_assert_float_eq(c.wait_s, 0.06, 1e-6);
  targets_free(s);
}

/* The counting instance of a target is frozen or lost. */
Test(rated, target_without_a_rate_has_that_of_its_service) {
  Targets *s = targets_with(2, 1);
  RequestInfo a = {.prompt_tokens = 1000};
  TargetRequest r = engine_request(&a, true);
  TallyReport report = {.target = hash_of(1)};
  r.reports = &report;
  r.n_reports = 1;
  apply(s, 1, 0, 1 / 10000.0, 0.4);
  TargetChoice c = targets_pick(s, 1, &r);
  cr_assert_str_eq(target_id(c.target), "i-1");
  cr_assert(c.rated && isinf(c.rate_age_s));
  cr_assert_float_eq(c.wait_s, 0.1, 1e-6);
  targets_free(s);
}

Test(rated, second_query_is_for_other_targets) {
  Targets *s = targets_with(9, 1);
  RequestInfo a = {.prompt_tokens = 1000};
  TargetRequest r = engine_request(&a, true);
  uint64_t first[TARGETS_MAX_QUERIED], more[TARGETS_MAX_QUERIED];
  for (int round = 0; round < 50; round++) {
    int n = targets_to_query(s, 1, &r, first);
    cr_assert_geq(n, 2);
    TallyReport reports[TARGETS_MAX_QUERIED] = {
        {.target = first[0]}, {.target = first[1]}, {.target = first[2]}};
    r.reports = reports;
    r.n_reports = n;
    int k = targets_to_query_more(s, 1, &r, first, n, more);
    cr_assert_gt(k, 0);
    for (int i = 0; i < k; i++)
      for (int j = 0; j < n; j++) cr_assert_neq(more[i], first[j]);
    r.n_reports = 0;
  }
  targets_free(s);
}

Test(rated, impossible_rates_have_no_effect) {
  Targets *s = targets_with(2, 1);
  RequestInfo a = {.prompt_tokens = 1000};
  TargetRequest r = engine_request(&a, true);
  const double bad[] = {-1, NAN, INFINITY, 1e9};
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    TallyRate m = rate(0, bad[i], 0.4);
    cr_assert(!targets_apply_rate(s, 1, &m));
    m = rate(0, 1 / 20000.0, bad[i]);
    cr_assert(!targets_apply_rate(s, 1, &m));
  }
  cr_assert(!targets_pick(s, 1, &r).rated);
  cr_assert(!targets_rate_is_fresh(s, 1, hash_of(0)));
  TallyRate unknown = rate(77, 1 / 20000.0, 0.4);
  cr_assert(targets_apply_rate(s, 1, &unknown), "it may not be listed yet");
  targets_free(s);
}

/* == what they leave as it is == */

/* Chooses for requests of both kinds, with reports and without. Returns a
   digest of all choices and queried targets. */
static uint64_t choices_of(Targets *s, bool rated) {
  uint64_t digest = 0;
  for (int k = 0; k < 400; k++) {
    double now = 2 + k * 0.01;
    RequestInfo a = {.prompt_tokens = k % 2 ? 0 : 500 + k * 10, .n_parts = 1};
    a.parts[0] = (RequestPart){(uint64_t)k % 7 + 1, k % 2 ? 0 : 400};
    TargetRequest r = engine_request(&a, rated);
    r.engine = k % 2 == 0;
    uint64_t out[TARGETS_MAX_QUERIED];
    TallyReport reports[TARGETS_MAX_QUERIED];
    int n = targets_to_query(s, now, &r, out);
    for (int i = 0; i < n; i++)
      reports[i] = (TallyReport){
          .target = out[i], .open = (k + i) % 5, .tokens = (k * 37 + i) % 9000};
    r.reports = reports;
    r.n_reports = k % 3 == 0 ? 0 : n;
    TargetChoice c = targets_pick(s, now, &r);
    target_note_sent(c.target, now, &a, &c);
    digest = digest * 31 + target_hash(c.target) + (uint64_t)(c.wait_s * 1e9);
    for (int i = 0; i < n; i++) digest = digest * 31 + out[i];
    cr_assert(!c.rated);
  }
  return digest;
}

/* A service that is not managed: what is received must not matter. */
Test(rated, choices_of_other_services_are_the_same_as_without_rates) {
  for (int exchanged = 0; exchanged < 2; exchanged++) {
    Targets *with = targets_with(20, SLOTS), *without = targets_with(20, SLOTS);
    targets_set_parts_exchanged(with, exchanged);
    targets_set_parts_exchanged(without, exchanged);
    for (int i = 0; i < 20; i++) apply(with, 1, i, 1 / (5000.0 * (i + 1)), i);
    cr_assert_eq(choices_of(with, false), choices_of(without, false));
    targets_free(with);
    targets_free(without);
  }
}

/* No counting instance of this build answers. */
Test(rated, choices_without_any_rate_are_those_of_other_services) {
  for (int exchanged = 0; exchanged < 2; exchanged++) {
    Targets *with = targets_with(20, SLOTS), *without = targets_with(20, SLOTS);
    targets_set_parts_exchanged(with, exchanged);
    targets_set_parts_exchanged(without, exchanged);
    cr_assert_eq(choices_of(with, true), choices_of(without, false));
    targets_free(with);
    targets_free(without);
  }
}

/* == a large fleet before uneven engines == */

/* 60 instances and 90 engines that read 60,000 tokens per second on average;
   prompts of 500 to 12,000 tokens, which take 0.7 of what all engines read. */
#define INSTANCES 60
#define TARGETS 90
#define SPEED 60000.0
#define MEAN_TOKENS 6250
#define LOAD 0.7
#define SECONDS 6
#define AIM_S 0.3

typedef struct Reading {
  TallyRun run;
  int who;
  double sent, until;
} Reading;

typedef struct Sim {
  Targets *set[INSTANCES];
  Tally *tally;
  GHashTable *index; /* hash of a target -> its index + 1 */
  double free_at[TARGETS];
  GArray *reading; /* Reading */
  bool rated, changing;
  int late, requests, second_queries;
} Sim;

static bool find_target(void *ctx, uint64_t target, TallyTarget *out) {
  const Sim *s = ctx;
  if (!targets_describe(s->set[0], target, out)) return false;
  out->managed = s->rated;
  out->ours = true;
  out->slots = SLOTS;
  return true;
}

/* 0.5 to 2 times the average; or the same for all but one engine in seven,
   whose work takes 2.5 times as long for 600 ms */
static double speed_of(const Sim *s, int k, double now) {
  if (!s->changing) return SPEED * pow(2, (double)(k % 7 - 3) / 3);
  return ((int)(now / 0.6) * 31 + k) % 7 == 0 ? SPEED / 2.5 : SPEED;
}

static void sim_open(Sim *s, bool rated, bool changing) {
  memset(s, 0, sizeof *s);
  s->rated = rated;
  s->changing = changing;
  s->tally = tally_new();
  s->reading = g_array_new(FALSE, FALSE, sizeof(Reading));
  s->index = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  tally_set_find_target(s->tally, find_target, s);
  for (int i = 0; i < INSTANCES; i++)
    s->set[i] = seeded_targets((uint32_t)i + 1, TARGETS, SLOTS);
  for (int k = 0; k < TARGETS; k++) {
    uint64_t h = hash_of(k);
    g_hash_table_insert(s->index, g_memdup2(&h, sizeof h),
                        GINT_TO_POINTER(k + 1));
  }
}

static void sim_close(Sim *s) {
  for (int i = 0; i < INSTANCES; i++) targets_free(s->set[i]);
  g_hash_table_destroy(s->index);
  g_array_free(s->reading, TRUE);
  tally_free(s->tally);
}

static int query(Sim *s, double now, int who, const uint64_t *targets, int n,
                 TallyReport *reports) {
  for (int i = 0; i < n; i++) {
    TallyQuery q = {.target = targets[i]};
    TallyRate m;
    if (tally_rate(s->tally, now, &q, &m))
      targets_apply_rate(s->set[who], now, &m);
    reports[i] = tally_report(s->tally, now, &q);
  }
  return n;
}

static TargetChoice choose(Sim *s, double now, int who, const RequestInfo *a) {
  uint64_t known[2 * TARGETS_MAX_QUERIED];
  TallyReport reports[2 * TARGETS_MAX_QUERIED];
  Targets *set = s->set[who];
  TargetRequest r = engine_request(a, s->rated);
  r.reports = reports;
  int n = targets_to_query(set, now, &r, known);
  r.n_reports = query(s, now, who, known, n, reports);
  TargetChoice c = targets_pick(set, now, &r);
  if (!c.rated || c.wait_s <= AIM_S) return c;
  s->second_queries++;
  int more = targets_to_query_more(set, now, &r, known, n, known + n);
  r.n_reports += query(s, now, who, known + n, more, reports + n);
  return targets_pick(set, now, &r);
}

static void send_prompt(Sim *s, double now, int who, uint64_t number,
                        int64_t tokens) {
  RequestInfo a = {.prompt_tokens = tokens};
  TargetChoice c = choose(s, now, who, &a);
  uint64_t hash = target_hash(c.target);
  int k = GPOINTER_TO_INT(g_hash_table_lookup(s->index, &hash)) - 1;
  s->free_at[k] = MAX(s->free_at[k], now);
  s->free_at[k] += (double)tokens / speed_of(s, k, s->free_at[k]);
  s->requests++;
  s->late += s->free_at[k] - now > AIM_S;
  target_note_sent(c.target, now, &a, &c);
  Reading g = {.run = {.target = hash, .run = number, .open = true},
               .who = who,
               .until = s->free_at[k]};
  g.run.tokens = tokens;
  tally_apply_run(s->tally, now, (uint64_t)who, &g.run);
  g_array_append_val(s->reading, g);
}

static gint compare_ends(gconstpointer a, gconstpointer b) {
  double x = ((const Reading *)a)->until, y = ((const Reading *)b)->until;
  return x < y ? -1 : x > y;
}

/* Reports the prompts that were read until now; their answers are short. */
static void report_read(Sim *s, double now) {
  guint i = 0;
  g_array_sort(s->reading, compare_ends);
  for (; i < s->reading->len; i++) {
    Reading *g = &g_array_index(s->reading, Reading, i);
    if (g->until > now) break;
    g->run.tokens = 0;
    tally_apply_run(s->tally, g->until, (uint64_t)g->who, &g->run);
    g->run.open = false;
    tally_apply_run(s->tally, g->until, (uint64_t)g->who, &g->run);
  }
  if (i > 0) g_array_remove_range(s->reading, 0, i);
}

static double run_sim(bool rated, bool changing) {
  static Sim sim;
  Sim *s = &sim;
  GRand *rng = g_rand_new_with_seed(3);
  sim_open(s, rated, changing);
  double total = 0, now = 1;
  for (int k = 0; k < TARGETS; k++) total += speed_of(s, k, 0);
  for (uint64_t i = 0; now < 1 + SECONDS; i++) {
    now += -log(1 - g_rand_double(rng)) * MEAN_TOKENS / (LOAD * total);
    report_read(s, now);
    send_prompt(s, now, g_rand_int_range(rng, 0, INSTANCES), i + 1,
                g_rand_int_range(rng, 500, 12000));
  }
  cr_log_info("rated %d, changing %d: %d of %d late, %d second queries", rated,
              changing, s->late, s->requests, s->second_queries);
  double late = (double)s->late / s->requests;
  sim_close(s);
  g_rand_free(rng);
  return late;
}

Test(rated, uneven_engines_answer_on_time) {
  double without = run_sim(false, false), with = run_sim(true, false);
  cr_assert_lt(with, 0.01, "%.4f late, %.4f without rates", with, without);
  cr_assert_lt(with, without / 10, "%.4f late, %.4f without rates", with,
               without);
}

/* Guards against rates that are followed too far: a cost of reading at the rate
   of the target made twice as many late as without rates. */
Test(rated, engines_that_change_their_speed_answer_on_time) {
  double without = run_sim(false, true), with = run_sim(true, true);
  cr_assert_lt(with, without * 0.9, "%.4f late, %.4f without rates", with,
               without);
}
