/* retries.c: counts in a ring of buckets for each service. */
#include "route/retries.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Buckets of one window; one more is counted, so that the counted time covers
   every sliding window. */
#define WINDOW_BUCKETS 20

/* While the number of instances is unknown, our part of the extra retries is
   zero. */
#define INITIAL_INSTANCES 1000000

typedef struct Counts {
  int64_t at; /* number of the newest bucket */
  int first[WINDOW_BUCKETS + 1];
  int retried[WINDOW_BUCKETS + 1];
} Counts;

struct Retries {
  RetriesOptions o;
  int instances, previous_instances; /* the previous, larger number counts until
                                        previous_until */
  double previous_until;
  GHashTable *services; /* name -> Counts */
};

Retries *retries_new(const RetriesOptions *o) {
  Retries *r = g_new0(Retries, 1);
  r->o = *o;
  r->instances = INITIAL_INSTANCES;
  r->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void retries_free(Retries *r) {
  g_hash_table_destroy(r->services);
  g_free(r);
}

static int instances_sharing(const Retries *r, double now) {
  return now < r->previous_until ? MAX(r->previous_instances, r->instances)
                                 : r->instances;
}

void retries_set_instances(Retries *r, double now, int n) {
  n = MAX(n, 1);
  int present = instances_sharing(r, now);
  if (n < r->instances) {
    r->previous_instances = present;
    r->previous_until = now + r->o.window_s;
  }
  r->instances = n;
}

/* The counts of a service, advanced to `now`. */
static Counts *current_counts(Retries *r, double now, const char *service) {
  int64_t at = (int64_t)floor(now / (r->o.window_s / WINDOW_BUCKETS));
  Counts *c = g_hash_table_lookup(r->services, service);
  if (!c) {
    c = g_new0(Counts, 1);
    c->at = at;
    g_hash_table_insert(r->services, g_strdup(service), c);
  }
  int64_t gone = MIN(at - c->at, WINDOW_BUCKETS + 1);
  for (int64_t i = 1; i <= gone; i++) {
    int k = (int)((c->at + i) % (WINDOW_BUCKETS + 1));
    c->first[k] = c->retried[k] = 0;
  }
  if (at > c->at) c->at = at;
  return c;
}

void retries_note_first(Retries *r, double now, const char *service) {
  Counts *c = current_counts(r, now, service);
  c->first[c->at % (WINDOW_BUCKETS + 1)]++;
}

bool retries_take(Retries *r, double now, const char *service) {
  Counts *c = current_counts(r, now, service);
  int first = 0, retried = 0;
  for (int i = 0; i <= WINDOW_BUCKETS; i++) {
    first += c->first[i];
    retried += c->retried[i];
  }
  /* The oldest bucket is partly outside the window that ends now. */
  first -= c->first[(c->at + 1) % (WINDOW_BUCKETS + 1)];
  double max_retries =
      r->o.ratio * first + floor(r->o.extra / instances_sharing(r, now));
  if (retried + 1 > max_retries) return false;
  c->retried[c->at % (WINDOW_BUCKETS + 1)]++;
  return true;
}
