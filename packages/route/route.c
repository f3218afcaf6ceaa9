/* route.c: filter, cost, choice, ejection and retry budgets. */
#include "route/route.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/list.h"

#define SAMPLE_WEIGHT 0.1      /* weight of a new sample */
#define PATH_SAMPLE_WEIGHT 0.3 /* higher, since the path is seldom measured */
#define EJECT_AFTER_FAILURES 3 /* failures in a row that eject a target */
#define EJECT_MIN_S 1.0        /* doubled with each ejection */
#define EJECT_MAX_S 30.0
#define MAX_KEPT_BLOCKS 65536   /* block hashes kept for one pool */
#define RETRIES_PER_SUCCESS 0.1 /* retries for each success */
#define MAX_SAVED_RETRIES 5.0
#define STALE_MAX_S 5.0 /* the margin does not grow with age above this */
/* Margin per second of age, relative to a full wait. */
#define STALE_MARGIN_PER_S 0.02
#define NEAR_BEST_RATIO 0.2 /* costs within this fraction of the lowest... */
#define NEAR_BEST_S 0.005   /* ...or within this time count as equal */

typedef struct TargetState {
  RouteTarget t;
  const char *assigned_adapters; /* interned: adapters that the fleet ordered it
                                    to load */
  bool leaving;
  int running, waiting;  /* as reported */
  int own_open;          /* our dispatches in progress */
  int sent_since_report; /* those of them sent since the report */
  double reported_at;    /* 0: never */
  double path_s, prefill_s, service_s;
  bool path_known;
  int consecutive_failures;
  int64_t failures;
  double ejected_until, eject_s;
  double retries; /* remaining retries */
  bool ejected, probing;
  GHashTable *recent_blocks,
      *older_blocks; /* block hashes sent there, two generations */
} TargetState;

/* A candidate of a choice. */
typedef struct Candidate {
  TargetState *s;
  RouteChoice c;
  double score;
} Candidate;

struct Route {
  GPtrArray *list; /* State* */
  GRand *rng;
  RoutePolicy policy;
  int instances; /* number that choose among these targets */
  guint next_turn;
  double retries;
  GHashTable *customers; /* name -> double*, remaining retries */
  int64_t ejections;
  GArray *priced; /* Candidate, of the current choice */
};

/* == construction == */

static GHashTable *block_set(void) {
  return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void state_free(gpointer p) {
  TargetState *s = p;
  g_hash_table_destroy(s->recent_blocks);
  g_hash_table_destroy(s->older_blocks);
  g_free(s);
}

static TargetState *state_new(const RouteTarget *t) {
  TargetState *s = g_new0(TargetState, 1);
  s->t = *t;
  s->assigned_adapters = "";
  s->path_s = 0.001;
  s->prefill_s = 0.0001;
  s->service_s = 1.0;
  s->eject_s = EJECT_MIN_S;
  s->retries = MAX_SAVED_RETRIES;
  s->recent_blocks = block_set();
  s->older_blocks = block_set();
  return s;
}

Route *route_new(uint32_t seed, RoutePolicy policy) {
  Route *r = g_new0(Route, 1);
  r->list = g_ptr_array_new_with_free_func(state_free);
  r->rng = g_rand_new_with_seed(seed);
  r->policy = policy;
  r->instances = 1;
  r->retries = MAX_SAVED_RETRIES;
  r->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  r->priced = g_array_new(FALSE, FALSE, sizeof(Candidate));
  return r;
}

void route_free(Route *r) {
  g_ptr_array_free(r->list, TRUE);
  g_rand_free(r->rng);
  g_hash_table_destroy(r->customers);
  g_array_free(r->priced, TRUE);
  g_free(r);
}

static TargetState *find_state(const Route *r, const char *name) {
  for (guint i = 0; i < r->list->len; i++) {
    TargetState *s = r->list->pdata[i];
    if (strcmp(s->t.name, name) == 0) return s;
  }
  return NULL;
}

void route_set_targets(Route *r, const RouteTarget *list, int n) {
  GPtrArray *next = g_ptr_array_new_with_free_func(state_free);
  for (int i = 0; i < n; i++) {
    TargetState *s = find_state(r, list[i].name);
    if (s) {
      for (guint k = 0; k < r->list->len; k++)
        if (r->list->pdata[k] == s) {
          g_ptr_array_steal_index_fast(r->list, k);
          break;
        }
      s->t = list[i];
    }
    g_ptr_array_add(next, s ? s : state_new(&list[i]));
  }
  g_ptr_array_free(r->list, TRUE);
  r->list = next;
}

void route_set_assigned_adapters(Route *r, const char *name,
                                 const char *adapters) {
  TargetState *s = find_state(r, name);
  if (s) s->assigned_adapters = g_intern_string(adapters);
}

void route_set_leaving(Route *r, const char *name, bool leaving) {
  TargetState *s = find_state(r, name);
  if (s) s->leaving = leaving;
}

void route_set_instances(Route *r, int n) {
  r->instances = MAX(n, 1);
}

int route_count(const Route *r) {
  return (int)r->list->len;
}

/* == prefixes == */

int route_hash_blocks(const char *prompt, size_t len, uint64_t *blocks) {
  int n = 0;
  uint64_t h = 0; /* each block's hash is seeded with the one before it */
  while (n < ROUTE_MAX_BLOCKS && (size_t)(n + 1) * ROUTE_BLOCK_BYTES <= len) {
    h = XXH64(prompt + (size_t)n * ROUTE_BLOCK_BYTES, ROUTE_BLOCK_BYTES, h);
    blocks[n++] = h;
  }
  return n;
}

static bool has_block(const TargetState *s, const uint64_t *b) {
  return g_hash_table_contains(s->recent_blocks, b) ||
         g_hash_table_contains(s->older_blocks, b);
}

/* Blocks of the prompt that the target has probably cached. */
static int cached_blocks(const TargetState *s, const RouteRequest *request) {
  int n = 0;
  while (n < request->n_blocks && has_block(s, &request->blocks[n])) n++;
  return n;
}

static void remember_blocks(const Route *r, TargetState *s,
                            const RouteRequest *request) {
  for (int i = 0; i < request->n_blocks; i++)
    g_hash_table_add(s->recent_blocks,
                     g_memdup2(&request->blocks[i], sizeof request->blocks[i]));
  if (g_hash_table_size(s->recent_blocks) < MAX_KEPT_BLOCKS / 2 / r->list->len)
    return;
  g_hash_table_destroy(s->older_blocks);
  s->older_blocks = s->recent_blocks;
  s->recent_blocks = block_set();
}

/* == ejection == */

static int ejected_count(const Route *r) {
  int n = 0;
  for (guint i = 0; i < r->list->len; i++)
    n += ((TargetState *)r->list->pdata[i])->ejected;
  return n;
}

static void eject(Route *r, TargetState *s, double now) {
  /* Never ejects more than half of the targets: if most of them fail, the
     cause is elsewhere, and refusing all requests would not help. */
  bool allowed = s->ejected || 2 * (ejected_count(r) + 1) <= route_count(r);
  if (!allowed) return;
  if (!s->ejected) r->ejections++;
  s->ejected = true;
  s->probing = false;
  s->ejected_until = now + s->eject_s * (0.75 + g_rand_double(r->rng) / 2);
  s->eject_s = MIN(s->eject_s * 2, EJECT_MAX_S);
}

static void record_failure(Route *r, TargetState *s, double now) {
  s->consecutive_failures++;
  s->failures++;
  if (s->consecutive_failures >= EJECT_AFTER_FAILURES || s->ejected)
    eject(r, s, now);
}

static void record_success(TargetState *s) {
  s->consecutive_failures = 0;
  s->ejected = s->probing = false;
  s->eject_s = EJECT_MIN_S;
}

/* == load == */

/* Requests in progress there: the reported ones and those sent since. */
static int count_inflight(const TargetState *s) {
  int reported = s->running + s->waiting;
  return MAX(reported + s->sent_since_report, s->own_open);
}

/* Estimates the current number: some of the reported requests have ended, and
   the other instances have sent about as many as this one. */
static double estimate_inflight(const Route *r, const TargetState *s,
                                double now) {
  double age = s->reported_at > 0 ? now - s->reported_at : 0;
  double left = (s->running + s->waiting) * exp(-age / s->service_s);
  return MAX(left + (double)s->sent_since_report * r->instances, s->own_open);
}

/* All targets of a data centre share the latency of its path, since other
   instances query most of them. */
static void record_path(Route *r, const TargetState *s, double path_s) {
  for (guint i = 0; i < r->list->len; i++) {
    TargetState *x = r->list->pdata[i];
    bool there = x == s || (s->t.dc[0] && strcmp(x->t.dc, s->t.dc) == 0);
    if (!there) continue;
    x->path_s +=
        (path_s - x->path_s) * (x->path_known ? PATH_SAMPLE_WEIGHT : 1);
    x->path_known = true;
  }
}

void route_apply_load(Route *r, double now, const char *name, int running,
                      int waiting, double path_s) {
  TargetState *s = find_state(r, name);
  if (!s) return;
  s->running = running;
  s->waiting = waiting;
  s->sent_since_report = 0;
  s->reported_at = now;
  if (path_s >= 0) record_path(r, s, path_s);
  /* Only a probe with a real request ends an ejection, not an answer to a
     query. */
  if (!s->ejected && path_s >= 0) s->consecutive_failures = 0;
}

void route_note_unresponsive(Route *r, double now, const char *name) {
  TargetState *s = find_state(r, name);
  if (s) record_failure(r, s, now);
}

int route_free_slots(const Route *r, double now) {
  int room = 0;
  for (guint i = 0; i < r->list->len; i++) {
    const TargetState *s = r->list->pdata[i];
    bool out = s->leaving || (s->ejected && now < s->ejected_until);
    if (!out) room += s->t.slots - count_inflight(s);
  }
  return room;
}

double route_max_rate(const Route *r) {
  double rate = 0;
  for (guint i = 0; i < r->list->len; i++) {
    const TargetState *s = r->list->pdata[i];
    if (!s->leaving && !s->ejected) rate += s->t.slots / s->service_s;
  }
  return rate;
}

/* == choice == */

static bool was_tried(const RouteRequest *request, const char *name) {
  for (int i = 0; i < 4 && request->tried[i]; i++)
    if (strcmp(request->tried[i], name) == 0) return true;
  return false;
}

static bool is_required(const char *what) {
  return what && what[0];
}

static bool meets_requirements(const TargetState *s,
                               const RouteRequest *request) {
  const RouteTarget *t = &s->t;
  const char *adapter = request->adapter;
  if (is_required(adapter) && !list_has(t->adapters, adapter) &&
      !list_has(s->assigned_adapters, adapter))
    return false;
  if (is_required(request->version) &&
      strcmp(t->version, request->version) != 0)
    return false;
  return !is_required(request->dcs) || list_has(request->dcs, t->dc);
}

static bool may_send_to(const TargetState *s, double now,
                        const RouteRequest *request) {
  if (s->leaving || was_tried(request, s->t.name) ||
      !meets_requirements(s, request))
    return false;
  if (!s->ejected) return true;
  return now >= s->ejected_until && !s->probing; /* one probe at a time */
}

static void compute_cost(const Route *r, const TargetState *s, double now,
                         const RouteRequest *request, RouteChoice *c) {
  int64_t cached = (int64_t)cached_blocks(s, request) * ROUTE_BLOCK_BYTES / 4;
  c->cached = MIN(cached, request->tokens);
  c->path = s->path_s;
  c->prefill = (double)(request->tokens - c->cached) * s->prefill_s;
  double there = estimate_inflight(r, s, now), over = there + 1 - s->t.slots;
  c->wait = over > 0 ? over * s->service_s / s->t.slots : 0;
  /* An old report hides what other instances sent since; the higher the load
     was, the more likely the target is full by now. */
  double age =
      s->reported_at > 0 ? MIN(now - s->reported_at, STALE_MAX_S) : STALE_MAX_S;
  double load = there / s->t.slots;
  c->margin = age * STALE_MARGIN_PER_S * load * s->service_s;
  c->cost = c->path + c->prefill + c->wait + c->margin;
}

static double compute_score(const Route *r, const TargetState *s,
                            const RouteRequest *request, const RouteChoice *c,
                            guint i) {
  if (request->preferred && strcmp(request->preferred, s->t.name) == 0)
    return -1;
  switch (r->policy) {
  case ROUTE_ROUND_ROBIN:
    return (double)((i + r->list->len - r->next_turn % r->list->len) %
                    r->list->len);
  case ROUTE_LEAST_LOADED: return (double)count_inflight(s) / s->t.slots;
  case ROUTE_NEAREST: return c->path;
  case ROUTE_PREFIX: return c->prefill;
  default: return c->cost;
  }
}

static void record_dispatch(const Route *r, TargetState *s,
                            const RouteRequest *request, RouteChoice *c) {
  s->own_open++;
  s->sent_since_report++;
  c->probe = s->ejected;
  s->probing = s->ejected;
  remember_blocks(r, s, request);
  g_strlcpy(c->name, s->t.name, sizeof c->name);
  g_strlcpy(c->url, s->t.url, sizeof c->url);
}

bool route_pick(Route *r, double now, const RouteRequest *request,
                RouteChoice *out) {
  double best = INFINITY;
  g_array_set_size(r->priced, 0);
  for (guint i = 0; i < r->list->len; i++) {
    Candidate p = {.s = r->list->pdata[i]};
    if (!may_send_to(p.s, now, request)) continue;
    compute_cost(r, p.s, now, request, &p.c);
    p.score = compute_score(r, p.s, request, &p.c, i);
    best = MIN(best, p.score);
    g_array_append_val(r->priced, p);
  }
  guint n = r->priced->len;
  if (n == 0) return false;
  r->next_turn++;
  /* Chooses at random among those about as good as the best, so that instances
     with the same old reports do not all choose the same one. */
  double slack = 0;
  if (r->policy == ROUTE_OURS) slack = MAX(best * NEAR_BEST_RATIO, NEAR_BEST_S);
  const Candidate *pick = NULL;
  int seen = 0;
  for (guint i = 0; i < n; i++) {
    const Candidate *p = &g_array_index(r->priced, Candidate, i);
    if (p->score > best + slack) continue;
    if (g_rand_int_range(r->rng, 0, ++seen) == 0) pick = p;
  }
  *out = pick->c;
  out->candidates = (int)n;
  out->excluded_count = (int)(r->list->len - n);
  record_dispatch(r, pick->s, request, out);
  return true;
}

void route_note_done(Route *r, double now, const char *name,
                     RouteOutcome outcome, int64_t uncached_tokens,
                     double first_s, double all_s) {
  TargetState *s = find_state(r, name);
  if (!s) return;
  s->own_open = MAX(s->own_open - 1, 0);
  s->sent_since_report = MAX(s->sent_since_report - 1, 0);
  if (outcome != ROUTE_OK) {
    record_failure(r, s, now);
    return;
  }
  record_success(s);
  r->retries = MIN(r->retries + RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES);
  s->retries = MIN(s->retries + RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES);
  if (all_s > 0) s->service_s += (all_s - s->service_s) * SAMPLE_WEIGHT;
  bool clear = count_inflight(s) < s->t.slots && uncached_tokens > 64;
  if (first_s > s->path_s && clear) {
    double each = (first_s - s->path_s) / (double)uncached_tokens;
    s->prefill_s += (each - s->prefill_s) * SAMPLE_WEIGHT;
  }
}

static double *customer_retries(Route *r, const char *customer) {
  double *left = g_hash_table_lookup(r->customers, customer);
  if (left) return left;
  left = g_new(double, 1);
  *left = MAX_SAVED_RETRIES;
  g_hash_table_insert(r->customers, g_strdup(customer), left);
  return left;
}

void route_note_success(Route *r, const char *customer) {
  double *left = customer_retries(r, customer);
  *left = MIN(*left + RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES);
}

bool route_may_retry(Route *r, const char *customer, const char *target) {
  TargetState *s = find_state(r, target);
  double *theirs = customer_retries(r, customer);
  if (r->retries < 1 || *theirs < 1 || (s && s->retries < 1)) return false;
  r->retries -= 1;
  *theirs -= 1;
  if (s) s->retries -= 1;
  return true;
}

int64_t route_ejections(const Route *r) {
  return r->ejections;
}

RouteState route_state(const Route *r, double now, int i) {
  const TargetState *s = r->list->pdata[i];
  return (RouteState){.target = s->t,
                      .assigned_adapters = s->assigned_adapters,
                      .running = s->running,
                      .waiting = s->waiting,
                      .own_open = s->own_open,
                      .leaving = s->leaving,
                      .ejected = s->ejected,
                      .report_age_s =
                          s->reported_at > 0 ? now - s->reported_at : -1,
                      .path_s = s->path_s,
                      .failures = s->failures};
}
