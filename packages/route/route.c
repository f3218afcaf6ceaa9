/* route.c: filter, cost, choice, ejection and the retry budget. */
#include "route/route.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/list.h"

#define EWMA 0.1      /* weight of a new sample */
#define PATH_EWMA 0.3 /* the same; the path is seldom measured */
#define FAILS 3       /* failures in a row that eject */
#define EJECT_MIN 1.0 /* seconds, doubled each time */
#define EJECT_MAX 30.0
#define BLOCKS_KEPT 65536 /* block hashes remembered of one pool */
#define RETRY_SHARE 0.1   /* retries for each success */
#define RETRY_BURST 5.0
#define STALE_MAX 5.0      /* seconds of age that still raise the margin */
#define STALE_GROWTH 0.02  /* margin for each second of age, of a full wait */
#define NEAR_BEST 0.2      /* choices within this part of the best cost... */
#define NEAR_SECONDS 0.005 /* ...or this many seconds are as good */

typedef struct State {
  RouteTarget t;
  const char *given; /* interned: adapters that it was ordered to load */
  bool leaving;
  int running, waiting; /* as reported */
  int own;              /* our dispatches in progress */
  int since;            /* our dispatches since the report, still open */
  double reported;      /* 0: never */
  double path_s, prefill_s, service_s;
  bool path_known;
  int fails;
  int64_t failures;
  double ejected_until, eject_s;
  double retries; /* left after its failures */
  bool ejected, probing;
  GHashTable *fresh, *old; /* block hashes sent there, two generations */
} State;

/* One candidate of a choice. */
typedef struct Price {
  State *s;
  RouteChoice c;
  double score;
} Price;

struct Route {
  GPtrArray *list; /* State* */
  GRand *rng;
  RoutePolicy policy;
  int peers; /* instances that choose as we do */
  guint turn;
  double retries;
  GHashTable *customers; /* name -> double*, retries left */
  int64_t ejections;
  GArray *prices; /* Price, of the choice being made */
};

/* == memory == */

static GHashTable *block_set(void) {
  return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void state_free(gpointer p) {
  State *s = p;
  g_hash_table_destroy(s->fresh);
  g_hash_table_destroy(s->old);
  g_free(s);
}

static State *state_new(const RouteTarget *t) {
  State *s = g_new0(State, 1);
  s->t = *t;
  s->given = "";
  s->path_s = 0.001;
  s->prefill_s = 0.0001;
  s->service_s = 1.0;
  s->eject_s = EJECT_MIN;
  s->retries = RETRY_BURST;
  s->fresh = block_set();
  s->old = block_set();
  return s;
}

Route *route_new(uint32_t seed, RoutePolicy policy) {
  Route *r = g_new0(Route, 1);
  r->list = g_ptr_array_new_with_free_func(state_free);
  r->rng = g_rand_new_with_seed(seed);
  r->policy = policy;
  r->peers = 1;
  r->retries = RETRY_BURST;
  r->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  r->prices = g_array_new(FALSE, FALSE, sizeof(Price));
  return r;
}

void route_free(Route *r) {
  g_ptr_array_free(r->list, TRUE);
  g_rand_free(r->rng);
  g_hash_table_destroy(r->customers);
  g_array_free(r->prices, TRUE);
  g_free(r);
}

static State *find(const Route *r, const char *name) {
  for (guint i = 0; i < r->list->len; i++) {
    State *s = r->list->pdata[i];
    if (strcmp(s->t.name, name) == 0) return s;
  }
  return NULL;
}

void route_targets(Route *r, const RouteTarget *list, int n) {
  GPtrArray *next = g_ptr_array_new_with_free_func(state_free);
  for (int i = 0; i < n; i++) {
    State *s = find(r, list[i].name);
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

void route_given(Route *r, const char *name, const char *adapters) {
  State *s = find(r, name);
  if (s) s->given = g_intern_string(adapters);
}

void route_leaving(Route *r, const char *name, bool leaving) {
  State *s = find(r, name);
  if (s) s->leaving = leaving;
}

void route_peers(Route *r, int n) {
  r->peers = MAX(n, 1);
}

int route_count(const Route *r) {
  return (int)r->list->len;
}

/* == prefixes == */

int route_blocks(const char *prompt, size_t len, uint64_t *blocks) {
  int n = 0;
  uint64_t h = 0; /* each block's hash is seeded with the one before it */
  while (n < ROUTE_BLOCKS && (size_t)(n + 1) * ROUTE_BLOCK <= len) {
    h = XXH64(prompt + (size_t)n * ROUTE_BLOCK, ROUTE_BLOCK, h);
    blocks[n++] = h;
  }
  return n;
}

static bool has_block(const State *s, const uint64_t *b) {
  return g_hash_table_contains(s->fresh, b) || g_hash_table_contains(s->old, b);
}

/* Blocks of the ask that the target is thought to have cached. */
static int cached_blocks(const State *s, const RouteAsk *ask) {
  int n = 0;
  while (n < ask->n && has_block(s, &ask->blocks[n])) n++;
  return n;
}

static void remember(const Route *r, State *s, const RouteAsk *ask) {
  for (int i = 0; i < ask->n; i++)
    g_hash_table_add(s->fresh,
                     g_memdup2(&ask->blocks[i], sizeof ask->blocks[i]));
  if (g_hash_table_size(s->fresh) < BLOCKS_KEPT / 2 / r->list->len) return;
  g_hash_table_destroy(s->old);
  s->old = s->fresh;
  s->fresh = block_set();
}

/* == ejection == */

static int ejected_count(const Route *r) {
  int n = 0;
  for (guint i = 0; i < r->list->len; i++)
    n += ((State *)r->list->pdata[i])->ejected;
  return n;
}

static void eject(Route *r, State *s, double now) {
  /* Never more than half: with most of them failing the fault is elsewhere,
     and refusing everything would help nobody. */
  bool allowed = s->ejected || 2 * (ejected_count(r) + 1) <= route_count(r);
  if (!allowed) return;
  if (!s->ejected) r->ejections++;
  s->ejected = true;
  s->probing = false;
  s->ejected_until = now + s->eject_s * (0.75 + g_rand_double(r->rng) / 2);
  s->eject_s = MIN(s->eject_s * 2, EJECT_MAX);
}

static void failed(Route *r, State *s, double now) {
  s->fails++;
  s->failures++;
  if (s->fails >= FAILS || s->ejected) eject(r, s, now);
}

static void succeeded(State *s) {
  s->fails = 0;
  s->ejected = s->probing = false;
  s->eject_s = EJECT_MIN;
}

/* == load == */

/* In progress there: the report, and what we sent since. */
static int inflight(const State *s) {
  int reported = s->running + s->waiting;
  return MAX(reported + s->since, s->own);
}

/* The same as it is likely to be now: what was reported has partly ended, and
   the other instances have sent there about what we have. */
static double likely(const Route *r, const State *s, double now) {
  double age = s->reported > 0 ? now - s->reported : 0;
  double left = (s->running + s->waiting) * exp(-age / s->service_s);
  return MAX(left + (double)s->since * r->peers, s->own);
}

/* Targets of one data centre are as far as each other, and most of them are
   asked by other instances than us. */
static void saw_path(Route *r, const State *s, double path_s) {
  for (guint i = 0; i < r->list->len; i++) {
    State *x = r->list->pdata[i];
    bool there = x == s || (s->t.dc[0] && strcmp(x->t.dc, s->t.dc) == 0);
    if (!there) continue;
    x->path_s += (path_s - x->path_s) * (x->path_known ? PATH_EWMA : 1);
    x->path_known = true;
  }
}

void route_report(Route *r, double now, const char *name, int running,
                  int waiting, double path_s) {
  State *s = find(r, name);
  if (!s) return;
  s->running = running;
  s->waiting = waiting;
  s->since = 0;
  s->reported = now;
  if (path_s >= 0) saw_path(r, s, path_s);
  /* A live answer ends an ejection only through a probe with real work. */
  if (!s->ejected && path_s >= 0) s->fails = 0;
}

void route_silent(Route *r, double now, const char *name) {
  State *s = find(r, name);
  if (s) failed(r, s, now);
}

int route_room(const Route *r, double now) {
  int room = 0;
  for (guint i = 0; i < r->list->len; i++) {
    const State *s = r->list->pdata[i];
    bool out = s->leaving || (s->ejected && now < s->ejected_until);
    if (!out) room += s->t.slots - inflight(s);
  }
  return room;
}

double route_rate(const Route *r) {
  double rate = 0;
  for (guint i = 0; i < r->list->len; i++) {
    const State *s = r->list->pdata[i];
    if (!s->leaving && !s->ejected) rate += s->t.slots / s->service_s;
  }
  return rate;
}

/* == choice == */

static bool tried(const RouteAsk *ask, const char *name) {
  for (int i = 0; i < 4 && ask->tried[i]; i++)
    if (strcmp(ask->tried[i], name) == 0) return true;
  return false;
}

static bool asked(const char *what) {
  return what && what[0];
}

static bool fits(const State *s, const RouteAsk *ask) {
  const RouteTarget *t = &s->t;
  const char *adapter = ask->adapter;
  if (asked(adapter) && !list_has(t->adapters, adapter) &&
      !list_has(s->given, adapter))
    return false;
  if (asked(ask->version) && strcmp(t->version, ask->version) != 0)
    return false;
  return !asked(ask->dcs) || list_has(ask->dcs, t->dc);
}

static bool may_take(const State *s, double now, const RouteAsk *ask) {
  if (s->leaving || tried(ask, s->t.name) || !fits(s, ask)) return false;
  if (!s->ejected) return true;
  return now >= s->ejected_until && !s->probing; /* one probe at a time */
}

static void price(const Route *r, const State *s, double now,
                  const RouteAsk *ask, RouteChoice *c) {
  int64_t cached = (int64_t)cached_blocks(s, ask) * ROUTE_BLOCK / 4;
  c->cached = MIN(cached, ask->tokens);
  c->path = s->path_s;
  c->prefill = (double)(ask->tokens - c->cached) * s->prefill_s;
  double there = likely(r, s, now), over = there + 1 - s->t.slots;
  c->wait = over > 0 ? over * s->service_s / s->t.slots : 0;
  /* An old report hides what others sent since; the fuller the target was,
     the likelier that it is full by now. */
  double age = s->reported > 0 ? MIN(now - s->reported, STALE_MAX) : STALE_MAX;
  double load = there / s->t.slots;
  c->margin = age * STALE_GROWTH * load * s->service_s;
  c->cost = c->path + c->prefill + c->wait + c->margin;
}

static double rank(const Route *r, const State *s, const RouteAsk *ask,
                   const RouteChoice *c, guint i) {
  if (ask->prefer && strcmp(ask->prefer, s->t.name) == 0) return -1;
  switch (r->policy) {
  case ROUTE_ROUND_ROBIN:
    return (double)((i + r->list->len - r->turn % r->list->len) % r->list->len);
  case ROUTE_LEAST: return (double)inflight(s) / s->t.slots;
  case ROUTE_NEAREST: return c->path;
  case ROUTE_PREFIX: return c->prefill;
  default: return c->cost;
  }
}

static void dispatched(const Route *r, State *s, const RouteAsk *ask,
                       RouteChoice *c) {
  s->own++;
  s->since++;
  c->probe = s->ejected;
  s->probing = s->ejected;
  remember(r, s, ask);
  g_strlcpy(c->name, s->t.name, sizeof c->name);
  g_strlcpy(c->url, s->t.url, sizeof c->url);
}

bool route_pick(Route *r, double now, const RouteAsk *ask, RouteChoice *out) {
  double best = INFINITY;
  g_array_set_size(r->prices, 0);
  for (guint i = 0; i < r->list->len; i++) {
    Price p = {.s = r->list->pdata[i]};
    if (!may_take(p.s, now, ask)) continue;
    price(r, p.s, now, ask, &p.c);
    p.score = rank(r, p.s, ask, &p.c, i);
    best = MIN(best, p.score);
    g_array_append_val(r->prices, p);
  }
  guint n = r->prices->len;
  if (n == 0) return false;
  r->turn++;
  /* Among those about as good as the best the choice is by lot, so that many
     instances with the same old reports do not all take the same one. */
  double slack = 0;
  if (r->policy == ROUTE_OURS) slack = MAX(best * NEAR_BEST, NEAR_SECONDS);
  const Price *pick = NULL;
  int seen = 0;
  for (guint i = 0; i < n; i++) {
    const Price *p = &g_array_index(r->prices, Price, i);
    if (p->score > best + slack) continue;
    if (g_rand_int_range(r->rng, 0, ++seen) == 0) pick = p;
  }
  *out = pick->c;
  out->candidates = (int)n;
  out->left_out = (int)(r->list->len - n);
  dispatched(r, pick->s, ask, out);
  return true;
}

void route_done(Route *r, double now, const char *name, RouteOutcome outcome,
                int64_t fresh_tokens, double first_s, double all_s) {
  State *s = find(r, name);
  if (!s) return;
  s->own = MAX(s->own - 1, 0);
  s->since = MAX(s->since - 1, 0);
  if (outcome != ROUTE_OK) {
    failed(r, s, now);
    return;
  }
  succeeded(s);
  r->retries = MIN(r->retries + RETRY_SHARE, RETRY_BURST);
  s->retries = MIN(s->retries + RETRY_SHARE, RETRY_BURST);
  if (all_s > 0) s->service_s += (all_s - s->service_s) * EWMA;
  bool clear = inflight(s) < s->t.slots && fresh_tokens > 64;
  if (first_s > s->path_s && clear) {
    double each = (first_s - s->path_s) / (double)fresh_tokens;
    s->prefill_s += (each - s->prefill_s) * EWMA;
  }
}

static double *customer_retries(Route *r, const char *customer) {
  double *left = g_hash_table_lookup(r->customers, customer);
  if (left) return left;
  left = g_new(double, 1);
  *left = RETRY_BURST;
  g_hash_table_insert(r->customers, g_strdup(customer), left);
  return left;
}

void route_succeeded(Route *r, const char *customer) {
  double *left = customer_retries(r, customer);
  *left = MIN(*left + RETRY_SHARE, RETRY_BURST);
}

bool route_may_retry(Route *r, const char *customer, const char *target) {
  State *s = find(r, target);
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
  const State *s = r->list->pdata[i];
  return (RouteState){.target = s->t,
                      .given = s->given,
                      .running = s->running,
                      .waiting = s->waiting,
                      .own = s->own,
                      .leaving = s->leaving,
                      .ejected = s->ejected,
                      .age = s->reported > 0 ? now - s->reported : -1,
                      .path_s = s->path_s,
                      .failures = s->failures};
}
