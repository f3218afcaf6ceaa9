/* returns.c: a sorted list of promised times for each service. */
#include "route/returns.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Served work is counted over about this time: a second has too few requests
   for a rate where an instance gets one or two in it. */
#define SERVED_WINDOW_S 4.0
/* Promised work per served work, where the allocation states no rate: the rest
   is for new requests, before which returning callers are served. With twice
   the load for 10 s, 43 of 200 new requests were on time and 26 callers served
   on their return; at a ratio of one, 19 and 77. */
#define SERVED_RATIO 0.25
/* Longest time between two retries, while next to nothing is served: one caller
   with a deadline of 15 s returns. */
#define MAX_GAP_S 5.0
#define MAX_PER_S 1e5 /* a higher rate is not one of an instance */
/* A time further ahead is not one that callers, with deadlines of seconds, are
   told; it is ignored. */
#define MAX_AHEAD_S 60.0
/* Promised times that are kept: at a rate that needs more, the spacing of
   single retries is below a millisecond. */
#define MAX_PROMISED 4096

typedef struct Promise {
  double at;
  uint64_t id; /* of the caller */
  bool claimed;
} Promise;

typedef struct Schedule {
  GArray *promises; /* Promise, ascending by time */
  double served;    /* work, fading over SERVED_WINDOW_S */
  double served_at;
} Schedule;

struct Returns {
  GHashTable *schedules; /* hash of a service -> Schedule */
};

static void schedule_free(gpointer p) {
  Schedule *s = p;
  g_array_free(s->promises, TRUE);
  g_free(s);
}

Returns *returns_new(void) {
  Returns *r = g_new0(Returns, 1);
  r->schedules =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, schedule_free);
  return r;
}

void returns_free(Returns *r) {
  g_hash_table_destroy(r->schedules);
  g_free(r);
}

static Schedule *ensure_schedule(Returns *r, uint64_t service) {
  Schedule *s = g_hash_table_lookup(r->schedules, &service);
  if (s) return s;
  s = g_new0(Schedule, 1);
  s->promises = g_array_new(FALSE, FALSE, sizeof(Promise));
  g_hash_table_insert(r->schedules, g_memdup2(&service, sizeof service), s);
  return s;
}

/* == rate == */

static double faded_served(const Schedule *s, double now) {
  return s->served * exp(-MAX(0, now - s->served_at) / SERVED_WINDOW_S);
}

void returns_note_served(Returns *r, double now, uint64_t service,
                         double work) {
  Schedule *s = ensure_schedule(r, service);
  s->served = faded_served(s, now) + MAX(work, 1);
  s->served_at = now;
}

/* Returns the time between a caller's retry and those before and after it. */
static double gap_of(const Schedule *s, double now, const ReturnsCaller *c) {
  if (c->per_s > 0 && c->per_s <= MAX_PER_S) return 1 / c->per_s;
  double work_per_s = SERVED_RATIO * faded_served(s, now) / SERVED_WINDOW_S;
  return MIN(MAX_GAP_S, MAX(c->work, 1) / work_per_s);
}

/* == schedule == */

static const Promise *promise_at(const Schedule *s, guint i) {
  return &g_array_index(s->promises, Promise, i);
}

/* Drops promises that no later one has to keep away from. Those that are
   claimed stay until then: without them a claim would free its place at once,
   and twice as many callers returned as the rate allows. */
static void drop_past(Schedule *s, double now) {
  guint n = 0;
  while (n < s->promises->len && promise_at(s, n)->at + MAX_GAP_S <= now) n++;
  if (n > 0) g_array_remove_range(s->promises, 0, n);
}

/* Returns the first time from `at` on that is `gap` away from all others. */
static double find_free(const Schedule *s, double at, double gap) {
  for (guint i = 0; i < s->promises->len; i++) {
    double t = promise_at(s, i)->at;
    if (t + gap <= at) continue;
    if (t >= at + gap) break;
    at = t + gap;
  }
  return at;
}

static void reserve(Schedule *s, Promise p) {
  guint i = s->promises->len;
  if (i == MAX_PROMISED) return;
  while (i > 0 && promise_at(s, i - 1)->at > p.at) i--;
  g_array_insert_val(s->promises, i, p);
}

static bool is_sane_delay(double s) {
  return s > 0 && s <= MAX_AHEAD_S;
}

double returns_promise(Returns *r, double now, uint64_t service,
                       const ReturnsCaller *c) {
  Schedule *s = ensure_schedule(r, service);
  double at = now + RETURNS_MIN_S;
  drop_past(s, now);
  if (is_sane_delay(c->earliest_s)) at = MAX(at, now + c->earliest_s);
  if (is_sane_delay(c->from - now)) at = MAX(at, c->from);
  at = find_free(s, at, gap_of(s, now, c));
  if (at - now <= c->max_s) reserve(s, (Promise){.at = at, .id = c->id});
  return at - now;
}

static bool is_claimable(const Promise *p, double now) {
  return !p->claimed && p->at - RETURNS_CLAIM_EARLY_S <= now &&
         now < p->at + RETURNS_CLAIM_S;
}

bool returns_claim(Returns *r, double now, uint64_t service, uint64_t id) {
  Schedule *s = g_hash_table_lookup(r->schedules, &service);
  if (!s) return false;
  drop_past(s, now);
  for (guint i = 0; i < s->promises->len; i++) {
    Promise *p = &g_array_index(s->promises, Promise, i);
    if (!is_claimable(p, now) || p->id != id) continue;
    p->claimed = true;
    return true;
  }
  return false;
}

bool returns_has_claims(const Returns *r, double now, uint64_t service) {
  const Schedule *s = g_hash_table_lookup(r->schedules, &service);
  for (guint i = 0; s && i < s->promises->len; i++)
    if (is_claimable(promise_at(s, i), now)) return true;
  return false;
}

int returns_pending(const Returns *r, double now, uint64_t service) {
  const Schedule *s = g_hash_table_lookup(r->schedules, &service);
  int n = 0;
  for (guint i = 0; s && i < s->promises->len; i++)
    n += promise_at(s, i)->at > now;
  return n;
}
