/* route.c: compares the policies that choose a target: routers with stale load
   reports and targets of eight slots, in virtual time, at several fleet sizes.
   The targets are modelled as queues with a prefill and a decode time. Prints
   one JSON line per policy, report age, fault and size; then measures the order
   of the queue with and without classes. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "queue/queue.h"
#include "route/route.h"

#define SLOTS 8
#define PREFIX_FAMILIES 40         /* groups of prompts that share a prefix */
#define PREFIX_TOKENS 2048         /* length of the shared prefix */
#define PREFILL_S_PER_TOKEN 0.0002 /* per uncached token */
#define MEAN_DECODE_S 1.0          /* mean per answer */
#define LOAD_SHARE 0.75            /* share of the targets' decode capacity */

typedef struct Size {
  int routers, targets;
  double run_s;
} Size;

static const Size base_size = {8, 12, 300};
/* A model's share of 2,400 workers with the instances of one region, then with
   those of all; and a pool larger than either. */
static const Size sizes[] = {{50, 13, 300}, {350, 92, 60}, {8, 200, 60}};

typedef enum {
  FAULT_NONE,
  FAULT_CRASH,
  FAULT_SLOW,
  FAULT_ERRORS,
  FAULT_COUNT
} Fault;

static const char *const faults[] = {"healthy", "one dies",
                                     "one slows to a "
                                     "tenth",
                                     "one answers errors fast"};
static const char *const policies[] = {"ours", "round robin", "least",
                                       "nearest", "prefix only"};

typedef struct Job {
  double ends_at;
  int router, target;
  double sent_at, first_token_delay_s;
  bool fails;
} Job;

typedef struct Target {
  double free_at[SLOTS];
  GHashTable *cached;
  int served;
} Target;

typedef struct Sim {
  GRand *rng;
  Size size;
  Route **routers;
  Target *targets;
  GArray *first_token_s; /* one per request */
  GSequence *jobs;
  int failed, requests;
  int64_t cached_tokens, prompt_tokens;
} Sim;

static int compare_jobs(gconstpointer a, gconstpointer b, gpointer unused) {
  (void)unused;
  double x = ((const Job *)a)->ends_at, y = ((const Job *)b)->ends_at;
  return x < y ? -1 : x > y;
}

static bool is_faulty(const Sim *s, Fault f, int target, double now) {
  return target == 0 && now > s->size.run_s / 3 && f != FAULT_NONE;
}

static Sim *sim_new(RoutePolicy policy, Size size) {
  Sim *s = g_new0(Sim, 1);
  s->rng = g_rand_new_with_seed(3);
  s->first_token_s = g_array_new(FALSE, FALSE, sizeof(double));
  s->jobs = g_sequence_new(g_free);
  s->size = size;
  s->routers = g_new0(Route *, size.routers);
  s->targets = g_new0(Target, size.targets);
  RouteTarget *list = g_new0(RouteTarget, size.targets);
  for (int i = 0; i < size.targets; i++) {
    snprintf(list[i].name, LIMIT_NAME_BYTES, "t%d", i);
    list[i].slots = SLOTS;
    s->targets[i].cached = g_hash_table_new(NULL, NULL);
  }
  for (int i = 0; i < size.routers; i++) {
    s->routers[i] = route_new((uint32_t)i + 1, policy);
    route_set_targets(s->routers[i], list, size.targets);
    if (policy == ROUTE_OURS) route_set_instances(s->routers[i], size.routers);
  }
  g_free(list);
  return s;
}

static void sim_free(Sim *s) {
  for (int i = 0; i < s->size.routers; i++) route_free(s->routers[i]);
  for (int i = 0; i < s->size.targets; i++)
    g_hash_table_destroy(s->targets[i].cached);
  g_free(s->routers);
  g_free(s->targets);
  g_sequence_free(s->jobs);
  g_array_free(s->first_token_s, TRUE);
  g_rand_free(s->rng);
  g_free(s);
}

static int count_busy_slots(const Target *t, double now) {
  int n = 0;
  for (int i = 0; i < SLOTS; i++) n += t->free_at[i] > now;
  return n;
}

/* Estimates the waiting requests from the work queued beyond the slots. */
static int estimate_waiting(const Target *t, double now) {
  double queued_s = 0;
  for (int i = 0; i < SLOTS; i++)
    queued_s += MAX(t->free_at[i] - now - MEAN_DECODE_S, 0);
  return (int)(queued_s / MEAN_DECODE_S);
}

static void report_loads(Sim *s, double now, Fault f) {
  for (int r = 0; r < s->size.routers; r++)
    for (int i = 0; i < s->size.targets; i++) {
      char name[16];
      snprintf(name, sizeof name, "t%d", i);
      const Target *t = &s->targets[i];
      double path = i % 3 == r % 3 ? 0.001 : 0.004;
      if (f == FAULT_CRASH && is_faulty(s, f, i, now))
        route_note_unresponsive(s->routers[r], now, name);
      else
        route_apply_load(s->routers[r], now, name, count_busy_slots(t, now),
                         estimate_waiting(t, now), path);
    }
}

/* Schedules a job on the slot of its target that is free first. */
static void schedule_job(Sim *s, Job *j, int family, double now, Fault f) {
  Target *t = &s->targets[j->target];
  int slot = 0;
  for (int i = 1; i < SLOTS; i++)
    if (t->free_at[i] < t->free_at[slot]) slot = i;
  bool is_cached =
      g_hash_table_contains(t->cached, GINT_TO_POINTER(family + 1));
  double slow = f == FAULT_SLOW && is_faulty(s, f, j->target, now) ? 10 : 1;
  double prefill =
      (is_cached ? 64 : PREFIX_TOKENS) * PREFILL_S_PER_TOKEN * slow;
  double decode = -log(1 - g_rand_double(s->rng)) * MEAN_DECODE_S * slow;
  double start = MAX(now, t->free_at[slot]);
  s->prompt_tokens += PREFIX_TOKENS;
  s->cached_tokens += is_cached ? PREFIX_TOKENS : 0;
  g_hash_table_add(t->cached, GINT_TO_POINTER(family + 1));
  j->first_token_delay_s = start + prefill - now;
  j->ends_at = start + prefill + decode;
  t->free_at[slot] = j->ends_at;
  t->served++;
}

static void dispatch_request(Sim *s, double now, Fault f) {
  int router = g_rand_int_range(s->rng, 0, s->size.routers);
  int family = (int)(pow(g_rand_double(s->rng), 2) * PREFIX_FAMILIES);
  char prompt[PREFIX_TOKENS * 4];
  memset(prompt, 'a' + family % 26, sizeof prompt);
  prompt[0] = (char)('A' + family);
  RouteRequest ask = {.tokens = PREFIX_TOKENS};
  ask.n_blocks = route_hash_blocks(prompt, sizeof prompt, ask.blocks);
  RouteChoice c;
  s->requests++;
  if (!route_pick(s->routers[router], now, &ask, &c)) {
    s->failed++;
    return;
  }
  Job *j = g_new0(Job, 1);
  j->router = router;
  j->target = atoi(c.name + 1);
  j->sent_at = now;
  bool target_is_faulty = is_faulty(s, f, j->target, now);
  if (target_is_faulty && (f == FAULT_CRASH || f == FAULT_ERRORS)) {
    j->fails = true;
    j->ends_at = now + (f == FAULT_CRASH ? 0.5 : 0.01);
    s->failed++;
  } else {
    schedule_job(s, j, family, now, f);
    g_array_append_val(s->first_token_s, j->first_token_delay_s);
  }
  g_sequence_insert_sorted(s->jobs, j, compare_jobs, NULL);
}

static void complete_jobs(Sim *s, double now) {
  GSequenceIter *it;
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(s->jobs))) {
    const Job *j = g_sequence_get(it);
    if (j->ends_at > now) return;
    char name[16];
    snprintf(name, sizeof name, "t%d", j->target);
    route_note_done(s->routers[j->router], j->ends_at, name,
                    j->fails ? ROUTE_FAILED : ROUTE_OK, PREFIX_TOKENS,
                    j->first_token_delay_s, j->ends_at - j->sent_at);
    g_sequence_remove(it);
  }
}

static int compare_doubles(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double quantile(GArray *a, double q) {
  qsort(a->data, a->len, sizeof(double), compare_doubles);
  return a->len ? g_array_index(a, double, (guint)(q * (a->len - 1))) : 0;
}

static void measure_policy(RoutePolicy policy, double age, Fault f, Size size) {
  Sim *s = sim_new(policy, size);
  double rate = LOAD_SHARE * size.targets * SLOTS / (MEAN_DECODE_S + 0.1);
  double next_report = 0;
  for (double now = 0; now < size.run_s;) {
    now += -log(1 - g_rand_double(s->rng)) / rate;
    complete_jobs(s, now);
    if (now >= next_report) {
      report_loads(s, now, f);
      next_report = now + age;
    }
    dispatch_request(s, now, f);
  }
  int max_served = 0;
  for (int i = 0; i < size.targets; i++)
    max_served = MAX(max_served, s->targets[i].served);
  printf("{\"bench\":\"route\",\"routers\":%d,\"targets\":%d,"
         "\"policy\":\"%s\",\"report_age_s\":%.1f,"
         "\"fault\":\"%s\",\"first_ms_50\":%.0f,\"first_ms_95\":%.0f,"
         "\"first_ms_99\":%.0f,\"cached_share\":%.2f,\"failed_share\":%.4f,"
         "\"most_over_mean\":%.2f}\n",
         size.routers, size.targets, policies[policy], age, faults[f],
         quantile(s->first_token_s, 0.5) * 1e3,
         quantile(s->first_token_s, 0.95) * 1e3,
         quantile(s->first_token_s, 0.99) * 1e3,
         (double)s->cached_tokens / (double)s->prompt_tokens,
         (double)s->failed / s->requests,
         (double)max_served * size.targets / (double)s->first_token_s->len);
  sim_free(s);
}

/* == queue order == */

typedef struct QueuedRequest {
  double queued_at;
  bool urgent;
} QueuedRequest;

/* One pool of `slots`; a fifth of the requests are short and urgent. `plain`:
   the queue ignores classes. */
static void measure_order(double load, bool plain) {
  const int slots = 16;
  GRand *r = g_rand_new_with_seed(9);
  Queue *q = queue_new();
  queue_set_fifo(q, plain);
  double free_at[16] = {0};
  GArray *urgent = g_array_new(FALSE, FALSE, sizeof(double));
  GArray *letters = g_array_new(FALSE, FALSE, sizeof(double));
  GArray *all = g_array_new(FALSE, TRUE, sizeof(QueuedRequest));
  const double mean = 0.2 * 0.5 + 0.8 * 4.0, rate = slots / mean;
  int refused[2] = {0, 0}, count[2] = {0, 0};
  double next = 0;
  for (double now = 0; now < 600; now += 0.01) {
    while (next <= now) {
      QueuedRequest w = {now, g_rand_double(r) < 0.2};
      g_array_append_val(all, w);
      QueueItem i = {.handle = all->len,
                     .class = w.urgent ? 0 : 7,
                     .weight = 1,
                     .tokens = w.urgent ? 100 : 1000,
                     .max_wait_s = w.urgent ? 3 : 30};
      g_strlcpy(i.customer, w.urgent ? "shuttle" : "letters",
                sizeof i.customer);
      int retry;
      count[w.urgent]++;
      refused[w.urgent] += queue_push(q, now, &i, rate, &retry) != ERR_NONE;
      next += -log(1 - g_rand_double(r)) / (load * rate);
    }
    for (int k = 0; k < slots; k++) {
      QueueDecision out;
      if (free_at[k] > now || !queue_pop(q, now, 1, rate, &out)) continue;
      const QueuedRequest *w =
          &g_array_index(all, QueuedRequest, out.handle - 1);
      if (out.refused != ERR_NONE) {
        refused[w->urgent]++;
        continue;
      }
      double waited = now - w->queued_at;
      g_array_append_val(w->urgent ? urgent : letters, waited);
      free_at[k] = now - log(1 - g_rand_double(r)) * (w->urgent ? 0.5 : 4.0);
      QueueItem i = {.tokens = 1};
      g_strlcpy(i.customer, w->urgent ? "shuttle" : "letters",
                sizeof i.customer);
      queue_done(q, &i, 1);
    }
  }
  printf("{\"bench\":\"order\",\"load\":%.1f,\"classes\":%s,\"urgent_ms_50\":"
         "%.0f,\"urgent_ms_99\":%.0f,\"urgent_refused\":%.4f,\"letters_ms_50\":"
         "%.0f,\"letters_ms_99\":%.0f,\"letters_refused\":%.4f}\n",
         load, plain ? "false" : "true", quantile(urgent, 0.5) * 1e3,
         quantile(urgent, 0.99) * 1e3, (double)refused[1] / count[1],
         quantile(letters, 0.5) * 1e3, quantile(letters, 0.99) * 1e3,
         (double)refused[0] / count[0]);
  g_array_free(urgent, TRUE);
  g_array_free(letters, TRUE);
  g_array_free(all, TRUE);
  queue_free(q);
  g_rand_free(r);
}

int main(void) {
  static const double ages[] = {0.1, 1, 5}, loads[] = {0.5, 0.9, 1.2, 2.0};
  for (int p = 0; p < ROUTE_POLICIES; p++)
    for (int a = 0; a < 3; a++)
      measure_policy((RoutePolicy)p, ages[a], FAULT_NONE, base_size);
  for (int p = 0; p < ROUTE_POLICIES; p++)
    for (int f = FAULT_CRASH; f < FAULT_COUNT; f++)
      measure_policy((RoutePolicy)p, 1, (Fault)f, base_size);
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
    for (int p = 0; p < ROUTE_POLICIES; p++)
      measure_policy((RoutePolicy)p, 1, FAULT_NONE, sizes[i]);
  for (int i = 0; i < 4; i++) {
    measure_order(loads[i], false);
    measure_order(loads[i], true);
  }
  return 0;
}
