/* history.c: compares each configuration with the one before. */
#include "conf/history.h"

#include <math.h>
#include <xxhash.h>

#include "kernel/text.h"

/* A host whose stream route was removed is remembered for this long: streams
   last for less, and the table stays small. */
#define REMOVED_MEMORY_S 3600.0

typedef struct Entry {
  double changed_at; /* requests moved from it or to it; -INFINITY: never */
  bool is_split;     /* a route is split between it and another service */
  double longest_s;  /* longest time-out of its stream routes */
  double before_s;   /* the same in the configuration before */
  /* A longer one of earlier configurations, for the streams that began. */
  double earlier_s, earlier_until;
} Entry;

struct ConfHistory {
  GHashTable *services; /* text_hash of the name -> Entry */
  GHashTable *removed;  /* text_hash of a host -> double*, the time of the last
                           removal of a stream route */
  bool has_first;
  double first_at; /* time of the first configuration */
};

ConfHistory *conf_history_new(void) {
  ConfHistory *h = g_new0(ConfHistory, 1);
  h->services =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  h->removed =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return h;
}

void conf_history_free(ConfHistory *h) {
  g_hash_table_destroy(h->services);
  g_hash_table_destroy(h->removed);
  g_free(h);
}

static Entry *ensure_entry(ConfHistory *h, const char *service) {
  uint64_t key = text_hash(service);
  Entry *e = g_hash_table_lookup(h->services, &key);
  if (e) return e;
  e = g_new0(Entry, 1);
  e->changed_at = -INFINITY;
  g_hash_table_insert(h->services, g_memdup2(&key, sizeof key), e);
  return e;
}

/* == changes == */

static const ConfRoute *find_stream_route(const Conf *c, const ConfRoute *r) {
  const ConfRoute *found = conf_find_route(c, r->host, r->prefix);
  return found && found->kind == CONF_STREAM ? found : NULL;
}

static bool has_service(const ConfRoute *r, const char *service) {
  for (int i = 0; i < r->n_splits; i++)
    if (g_str_equal(r->splits[i].service, service)) return true;
  return false;
}

static bool have_same_services(const ConfRoute *a, const ConfRoute *b) {
  for (int i = 0; i < a->n_splits; i++)
    if (!has_service(b, a->splits[i].service)) return false;
  for (int i = 0; i < b->n_splits; i++)
    if (!has_service(a, b->splits[i].service)) return false;
  return true;
}

static void mark_changed(ConfHistory *h, double at, const ConfRoute *r) {
  for (int i = 0; i < r->n_splits; i++) {
    Entry *e = ensure_entry(h, r->splits[i].service);
    e->changed_at = MAX(e->changed_at, at);
  }
}

static void note_removed(ConfHistory *h, double now, const ConfRoute *r) {
  uint64_t key = text_hash(r->host);
  g_hash_table_replace(h->removed, g_memdup2(&key, sizeof key),
                       g_memdup2(&now, sizeof now));
}

/* An added route takes requests of one that was removed before. */
static void note_added(ConfHistory *h, const ConfRoute *r) {
  uint64_t key = text_hash(r->host);
  const double *at = g_hash_table_lookup(h->removed, &key);
  if (at) mark_changed(h, *at, r);
}

/* Compares a route with the one that has its requests in the other
   configuration; `is_old`: it is a route of the earlier one. */
static void compare_route(ConfHistory *h, double now, const ConfRoute *r,
                          const Conf *other, bool is_old) {
  const ConfRoute *o = find_stream_route(other, r);
  if (!o && is_old) note_removed(h, now, r);
  if (!o && !is_old) note_added(h, r);
  if (!o || have_same_services(r, o)) return;
  mark_changed(h, now, r);
  mark_changed(h, now, o);
}

static void compare_routes(ConfHistory *h, double now, const Conf *c,
                           const Conf *other, bool is_old) {
  for (guint i = 0; i < c->routes->len; i++) {
    const ConfRoute *r = c->routes->pdata[i];
    if (r->kind == CONF_STREAM) compare_route(h, now, r, other, is_old);
  }
}

/* == the present configuration == */

static void reset_entry(Entry *e) {
  e->before_s = e->longest_s;
  e->longest_s = 0;
  e->is_split = false;
}

/* Streams that began before the time-out was lowered may last as long as it
   allowed. */
static void keep_longer(Entry *e, double now) {
  if (e->longest_s >= e->before_s) return;
  if (now >= e->earlier_until || e->before_s > e->earlier_s)
    e->earlier_s = e->before_s;
  e->earlier_until = MAX(e->earlier_until, now + e->before_s);
}

static void apply_route(ConfHistory *h, const ConfRoute *r) {
  for (int i = 0; i < r->n_splits; i++) {
    Entry *e = ensure_entry(h, r->splits[i].service);
    e->is_split |= r->n_splits > 1;
    e->longest_s = MAX(e->longest_s, r->timeout_s);
  }
}

static void apply_routes(ConfHistory *h, double now, const Conf *c) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, h->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) reset_entry(v);
  for (guint i = 0; i < c->routes->len; i++) {
    const ConfRoute *r = c->routes->pdata[i];
    if (r->kind == CONF_STREAM) apply_route(h, r);
  }
  g_hash_table_iter_init(&it, h->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) keep_longer(v, now);
}

static gboolean is_forgettable(gpointer key, gpointer at, gpointer now) {
  (void)key;
  return *(double *)now - *(double *)at > REMOVED_MEMORY_S;
}

void conf_history_note(ConfHistory *h, double now, const Conf *old,
                       const Conf *next) {
  g_hash_table_foreach_remove(h->removed, is_forgettable, &now);
  if (!h->has_first) h->first_at = now;
  h->has_first = true;
  if (old) {
    compare_routes(h, now, old, next, true);
    compare_routes(h, now, next, old, false);
  }
  apply_routes(h, now, next);
}

ConfHistoryKind conf_history_of(const ConfHistory *h, double now,
                                uint64_t service, double memory_s) {
  const Entry *e = g_hash_table_lookup(h->services, &service);
  if (e && (e->is_split || now - e->changed_at < memory_s))
    return CONF_HISTORY_SEVERAL;
  if (!h->has_first || now - h->first_at < memory_s) return CONF_HISTORY_SHORT;
  return CONF_HISTORY_ONE;
}

static double longest_of(const Entry *e, double now) {
  return now < e->earlier_until ? MAX(e->longest_s, e->earlier_s)
                                : e->longest_s;
}

double conf_history_longest_s(const ConfHistory *h, double now,
                              uint64_t service) {
  const Entry *e = g_hash_table_lookup(h->services, &service);
  return e ? longest_of(e, now) : 0;
}

double conf_history_longest_of_all_s(const ConfHistory *h, double now) {
  GHashTableIter it;
  gpointer v;
  double longest_s = 0;
  g_hash_table_iter_init(&it, h->services);
  while (g_hash_table_iter_next(&it, NULL, &v))
    longest_s = MAX(longest_s, longest_of(v, now));
  return longest_s;
}

/* == routes == */

static uint64_t hash_route(const ConfRoute *r) {
  char *place = g_strconcat(r->host, " ", r->prefix, NULL);
  uint64_t h = text_hash(place), services = 0;
  g_free(place);
  for (int i = 0; i < r->n_splits; i++)
    services += text_hash(r->splits[i].service);
  return XXH64(&services, sizeof services, h);
}

static bool has_service_hash(const ConfRoute *r, uint64_t service) {
  for (int i = 0; i < r->n_splits; i++)
    if (text_hash(r->splits[i].service) == service) return true;
  return false;
}

/* A sum, which does not depend on the order of the routes. */
uint64_t conf_stream_routes(const Conf *c, uint64_t service) {
  uint64_t sum = 0;
  for (guint i = 0; i < c->routes->len; i++) {
    const ConfRoute *r = c->routes->pdata[i];
    if (r->kind == CONF_STREAM && has_service_hash(r, service))
      sum += hash_route(r);
  }
  return sum;
}
