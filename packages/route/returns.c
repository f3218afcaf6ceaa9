/* returns.c: a sorted list of promised times for each service. */
#include "route/returns.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Served requests are counted over about this time: long enough for a rate of
   a few per second, short enough to follow a wave with a period of 13 s. */
#define SERVED_WINDOW_S 2.0
/* Rate while nothing was served. A lower one would put the second rejected
   caller beyond what callers with a deadline of 2.5 s wait for. */
#define MIN_PER_S 2.0
#define MAX_PER_S 1e5 /* a higher rate is not one of an instance */
/* A time further ahead is not one that callers, with deadlines of seconds, are
   told; it is ignored. */
#define MAX_AHEAD_S 60.0
/* Promised times that are kept: at a rate that needs more, the spacing of
   single retries is below a millisecond. */
#define MAX_PROMISED 4096

typedef struct Schedule {
  GArray *times; /* double, ascending */
  double served; /* requests, fading over SERVED_WINDOW_S */
  double served_at;
} Schedule;

struct Returns {
  GHashTable *schedules; /* hash of a service -> Schedule */
};

static void schedule_free(gpointer p) {
  Schedule *s = p;
  g_array_free(s->times, TRUE);
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
  s->times = g_array_new(FALSE, FALSE, sizeof(double));
  g_hash_table_insert(r->schedules, g_memdup2(&service, sizeof service), s);
  return s;
}

/* == rate == */

static double faded_served(const Schedule *s, double now) {
  return s->served * exp(-MAX(0, now - s->served_at) / SERVED_WINDOW_S);
}

void returns_note_served(Returns *r, double now, uint64_t service) {
  Schedule *s = ensure_schedule(r, service);
  s->served = faded_served(s, now) + 1;
  s->served_at = now;
}

static double rate_of(const Schedule *s, double now, double stated_per_s) {
  if (stated_per_s > 0 && stated_per_s <= MAX_PER_S) return stated_per_s;
  return MAX(MIN_PER_S, faded_served(s, now) / SERVED_WINDOW_S);
}

/* == schedule == */

static double time_at(const Schedule *s, guint i) {
  return g_array_index(s->times, double, i);
}

static void drop_past(Schedule *s, double now) {
  guint n = 0;
  while (n < s->times->len && time_at(s, n) <= now) n++;
  if (n > 0) g_array_remove_range(s->times, 0, n);
}

/* Returns the first time from `at` on that is `gap` away from all others. */
static double find_free(const Schedule *s, double at, double gap) {
  for (guint i = 0; i < s->times->len; i++) {
    double t = time_at(s, i);
    if (t + gap <= at) continue;
    if (t >= at + gap) break;
    at = t + gap;
  }
  return at;
}

static void reserve(Schedule *s, double at) {
  guint i = s->times->len;
  if (i == MAX_PROMISED) return;
  while (i > 0 && time_at(s, i - 1) > at) i--;
  g_array_insert_val(s->times, i, at);
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
  at = find_free(s, at, 1 / rate_of(s, now, c->per_s));
  if (at - now <= c->max_s) reserve(s, at);
  return at - now;
}

int returns_pending(const Returns *r, double now, uint64_t service) {
  const Schedule *s = g_hash_table_lookup(r->schedules, &service);
  int n = 0;
  for (guint i = 0; s && i < s->times->len; i++) n += time_at(s, i) > now;
  return n;
}
