/* route.c: the ways to choose a target, compared: routers with old load reports
   before targets of eight slots, in virtual time, at the size of today and at
   that of two years from now. The targets are queues with a prefill and a
   decode time, nothing more. Prints one JSON line for each policy, age of
   reports, fault and size; and the order of the queue with and without classes.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "queue/queue.h"
#include "route/route.h"

#define SLOTS 8
#define FAMILIES 40      /* kinds of prompts that share a prefix */
#define PREFIX 2048      /* tokens of it */
#define PREFILL_S 0.0002 /* of one token that is not cached */
#define DECODE_S 1.0     /* of an answer, on average */
#define LOAD 0.75        /* of what the targets can decode */

typedef struct Size {
  int routers, targets;
  double run_s;
} Size;

static const Size today = {8, 12, 300};
/* A model's share of 2,400 workers before the instances of one region, and of
   all; and a pool that is larger than any of these. */
static const Size sizes[] = {{50, 13, 300}, {350, 92, 60}, {8, 200, 60}};

typedef enum { HEALTHY, DIES, SLOWS, ERRORS, FAULTS } Fault;

static const char *const faults[] = {"healthy", "one dies",
                                     "one slows to a "
                                     "tenth",
                                     "one answers errors fast"};
static const char *const policies[] = {"ours", "round robin", "least",
                                       "nearest", "prefix only"};

typedef struct Job {
  double at; /* when it ends */
  int router, target;
  double sent, first;
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
  GArray *first; /* seconds to the first token */
  GSequence *jobs;
  int failed, requests;
  int64_t cached, asked;
} Sim;

static int by_time(gconstpointer a, gconstpointer b, gpointer unused) {
  (void)unused;
  double x = ((const Job *)a)->at, y = ((const Job *)b)->at;
  return x < y ? -1 : x > y;
}

static bool faulty(const Sim *s, Fault f, int target, double now) {
  return target == 0 && now > s->size.run_s / 3 && f != HEALTHY;
}

static Sim *sim_new(RoutePolicy policy, Size size) {
  Sim *s = g_new0(Sim, 1);
  s->rng = g_rand_new_with_seed(3);
  s->first = g_array_new(FALSE, FALSE, sizeof(double));
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
  g_array_free(s->first, TRUE);
  g_rand_free(s->rng);
  g_free(s);
}

static int busy(const Target *t, double now) {
  int n = 0;
  for (int i = 0; i < SLOTS; i++) n += t->free_at[i] > now;
  return n;
}

/* Seconds of work queued beyond the slots, as waiting requests. */
static int waiting(const Target *t, double now) {
  double over = 0;
  for (int i = 0; i < SLOTS; i++)
    over += MAX(t->free_at[i] - now - DECODE_S, 0);
  return (int)(over / DECODE_S);
}

static void report_all(Sim *s, double now, Fault f) {
  for (int r = 0; r < s->size.routers; r++)
    for (int i = 0; i < s->size.targets; i++) {
      char name[16];
      snprintf(name, sizeof name, "t%d", i);
      const Target *t = &s->targets[i];
      double path = i % 3 == r % 3 ? 0.001 : 0.004;
      if (f == DIES && faulty(s, f, i, now))
        route_note_unresponsive(s->routers[r], now, name);
      else
        route_apply_load(s->routers[r], now, name, busy(t, now),
                         waiting(t, now), path);
    }
}

/* Puts a job on the target's first free slot. */
static void serve(Sim *s, Job *j, int family, double now, Fault f) {
  Target *t = &s->targets[j->target];
  int slot = 0;
  for (int i = 1; i < SLOTS; i++)
    if (t->free_at[i] < t->free_at[slot]) slot = i;
  bool hit = g_hash_table_contains(t->cached, GINT_TO_POINTER(family + 1));
  double slow = f == SLOWS && faulty(s, f, j->target, now) ? 10 : 1;
  double prefill = (hit ? 64 : PREFIX) * PREFILL_S * slow;
  double decode = -log(1 - g_rand_double(s->rng)) * DECODE_S * slow;
  double start = MAX(now, t->free_at[slot]);
  s->asked += PREFIX;
  s->cached += hit ? PREFIX : 0;
  g_hash_table_add(t->cached, GINT_TO_POINTER(family + 1));
  j->first = start + prefill - now;
  j->at = start + prefill + decode;
  t->free_at[slot] = j->at;
  t->served++;
}

static void arrive(Sim *s, double now, Fault f) {
  int router = g_rand_int_range(s->rng, 0, s->size.routers);
  int family = (int)(pow(g_rand_double(s->rng), 2) * FAMILIES);
  char prompt[PREFIX * 4];
  memset(prompt, 'a' + family % 26, sizeof prompt);
  prompt[0] = (char)('A' + family);
  RouteRequest ask = {.tokens = PREFIX};
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
  j->sent = now;
  bool bad = faulty(s, f, j->target, now);
  if (bad && (f == DIES || f == ERRORS)) {
    j->fails = true;
    j->at = now + (f == DIES ? 0.5 : 0.01);
    s->failed++;
  } else {
    serve(s, j, family, now, f);
    g_array_append_val(s->first, j->first);
  }
  g_sequence_insert_sorted(s->jobs, j, by_time, NULL);
}

static void end_jobs(Sim *s, double now) {
  GSequenceIter *it;
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(s->jobs))) {
    const Job *j = g_sequence_get(it);
    if (j->at > now) return;
    char name[16];
    snprintf(name, sizeof name, "t%d", j->target);
    route_note_done(s->routers[j->router], j->at, name,
                    j->fails ? ROUTE_FAILED : ROUTE_OK, PREFIX, j->first,
                    j->at - j->sent);
    g_sequence_remove(it);
  }
}

static int by_value(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double quantile(GArray *a, double q) {
  qsort(a->data, a->len, sizeof(double), by_value);
  return a->len ? g_array_index(a, double, (guint)(q * (a->len - 1))) : 0;
}

static void compare(RoutePolicy policy, double age, Fault f, Size size) {
  Sim *s = sim_new(policy, size);
  double rate = LOAD * size.targets * SLOTS / (DECODE_S + 0.1);
  double next_report = 0;
  for (double now = 0; now < size.run_s;) {
    now += -log(1 - g_rand_double(s->rng)) / rate;
    end_jobs(s, now);
    if (now >= next_report) {
      report_all(s, now, f);
      next_report = now + age;
    }
    arrive(s, now, f);
  }
  int most = 0;
  for (int i = 0; i < size.targets; i++) most = MAX(most, s->targets[i].served);
  printf("{\"bench\":\"route\",\"routers\":%d,\"targets\":%d,"
         "\"policy\":\"%s\",\"report_age_s\":%.1f,"
         "\"fault\":\"%s\",\"first_ms_50\":%.0f,\"first_ms_95\":%.0f,"
         "\"first_ms_99\":%.0f,\"cached_share\":%.2f,\"failed_share\":%.4f,"
         "\"most_over_mean\":%.2f}\n",
         size.routers, size.targets, policies[policy], age, faults[f],
         quantile(s->first, 0.5) * 1e3, quantile(s->first, 0.95) * 1e3,
         quantile(s->first, 0.99) * 1e3, (double)s->cached / (double)s->asked,
         (double)s->failed / s->requests,
         (double)most * size.targets / (double)s->first->len);
  sim_free(s);
}

/* == order == */

typedef struct Waiting {
  double came;
  bool urgent;
} Waiting;

/* One pool of `slots`; a fifth of the requests are short and urgent. */
static void order(double load, bool plain) {
  const int slots = 16;
  GRand *r = g_rand_new_with_seed(9);
  Queue *q = queue_new();
  queue_set_fifo(q, plain);
  double free_at[16] = {0};
  GArray *urgent = g_array_new(FALSE, FALSE, sizeof(double));
  GArray *letters = g_array_new(FALSE, FALSE, sizeof(double));
  GArray *all = g_array_new(FALSE, TRUE, sizeof(Waiting));
  const double mean = 0.2 * 0.5 + 0.8 * 4.0, rate = slots / mean;
  int refused[2] = {0, 0}, count[2] = {0, 0};
  double next = 0;
  for (double now = 0; now < 600; now += 0.01) {
    while (next <= now) {
      Waiting w = {now, g_rand_double(r) < 0.2};
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
      const Waiting *w = &g_array_index(all, Waiting, out.handle - 1);
      if (out.refused != ERR_NONE) {
        refused[w->urgent]++;
        continue;
      }
      double waited = now - w->came;
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
      compare((RoutePolicy)p, ages[a], HEALTHY, today);
  for (int p = 0; p < ROUTE_POLICIES; p++)
    for (int f = DIES; f < FAULTS; f++)
      compare((RoutePolicy)p, 1, (Fault)f, today);
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
    for (int p = 0; p < ROUTE_POLICIES; p++)
      compare((RoutePolicy)p, 1, HEALTHY, sizes[i]);
  for (int i = 0; i < 4; i++) {
    order(loads[i], false);
    order(loads[i], true);
  }
  return 0;
}
