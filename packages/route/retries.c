/* retries.c: counts in a ring of buckets for each service. */
#include "route/retries.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKETS                                                                \
  20 /* of one window; one more is counted, so that every                      \
        sliding window lies within what is counted */

#define NOBODY_YET 1000000 /* instances: the others are not known yet */

typedef struct Counts {
  int64_t at; /* number of the newest bucket */
  int first[BUCKETS + 1];
  int again[BUCKETS + 1];
} Counts;

struct Retries {
  RetriesOptions o;
  int instances, before; /* before: larger, and counts until `until` */
  double until;
  GHashTable *services; /* name -> Counts */
};

Retries *retries_new(const RetriesOptions *o) {
  Retries *r = g_new0(Retries, 1);
  r->o = *o;
  r->instances = NOBODY_YET;
  r->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void retries_free(Retries *r) {
  g_hash_table_destroy(r->services);
  g_free(r);
}

static int sharing(const Retries *r, double now) {
  return now < r->until ? MAX(r->before, r->instances) : r->instances;
}

void retries_instances(Retries *r, double now, int n) {
  n = MAX(n, 1);
  int present = sharing(r, now);
  if (n < r->instances) {
    r->before = present;
    r->until = now + r->o.window_s;
  }
  r->instances = n;
}

/* The counts of a service, moved on to now. */
static Counts *counts(Retries *r, double now, const char *service) {
  int64_t at = (int64_t)floor(now / (r->o.window_s / BUCKETS));
  Counts *c = g_hash_table_lookup(r->services, service);
  if (!c) {
    c = g_new0(Counts, 1);
    c->at = at;
    g_hash_table_insert(r->services, g_strdup(service), c);
  }
  int64_t gone = MIN(at - c->at, BUCKETS + 1);
  for (int64_t i = 1; i <= gone; i++) {
    int k = (int)((c->at + i) % (BUCKETS + 1));
    c->first[k] = c->again[k] = 0;
  }
  if (at > c->at) c->at = at;
  return c;
}

void retries_first(Retries *r, double now, const char *service) {
  Counts *c = counts(r, now, service);
  c->first[c->at % (BUCKETS + 1)]++;
}

bool retries_take(Retries *r, double now, const char *service) {
  Counts *c = counts(r, now, service);
  int first = 0, again = 0;
  for (int i = 0; i <= BUCKETS; i++) {
    first += c->first[i];
    again += c->again[i];
  }
  /* The oldest bucket lies partly outside of the window that ends now. */
  first -= c->first[(c->at + 1) % (BUCKETS + 1)];
  double most = r->o.ratio * first + floor(r->o.extra / sharing(r, now));
  if (again + 1 > most) return false;
  c->again[c->at % (BUCKETS + 1)]++;
  return true;
}
