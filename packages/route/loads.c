/* loads.c: assigns the queries by rendezvous hashing and replaces messages
   that don't arrive. */
#include "route/loads.h"

#include <string.h>
#include <xxhash.h>

/* Interval of the queries to a target near us. */
#define NEAR_INTERVAL_S 1.0
/* Interval for a target that did not respond to us either... */
#define RECHECK_INTERVAL_S 5.0
#define RECHECK_AFTER_FAILURES 3 /* ...after this many failures in a row */
/* Intervals without a message or answer after which other instances query a
   target. */
#define STALE_INTERVALS 4
/* Interval at which we measure our own path to a data centre. */
#define PATH_INTERVAL_S 30.0
/* Approximate limit of the queries of one instance. */
#define MAX_QUERIES_PER_S 10.0
/* Limit of what one instance sends to the others of its region. */
#define MESSAGE_BYTES_PER_S 1500
#define MESSAGE_BYTES 16

typedef struct Watched {
  LoadsTarget t;
  uint64_t hash;
  bool is_assigned, near;
  bool in_flight, verify; /* verify: an instance reported it unresponsive */
  bool known, ok;         /* about our last answer */
  int running, waiting, consecutive_failures;
  double queried_at, received_at; /* -1: never */
  bool send_now;                  /* a change that must not wait */
  double sent_at;
} Watched;

struct Loads {
  char self[LIMIT_ID_BYTES];
  View *view;
  GPtrArray *list;             /* Watched* */
  GHashTable *by_hash;         /* hash -> Watched */
  GHashTable *path_queried_at; /* data centre -> double*, time of our last query
                                  there */
  double far_interval_s, send_interval_s;
  guint query_cursor, send_cursor; /* where the search continues */
};

Loads *loads_new(const char *self) {
  Loads *l = g_new0(Loads, 1);
  g_strlcpy(l->self, self, sizeof l->self);
  l->view = view_new(NULL, 0);
  l->list = g_ptr_array_new_with_free_func(g_free);
  l->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
  l->path_queried_at =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void loads_free(Loads *l) {
  view_free(l->view);
  g_hash_table_destroy(l->by_hash);
  g_hash_table_destroy(l->path_queried_at);
  g_ptr_array_free(l->list, TRUE);
  g_free(l);
}

/* == duties == */

static bool dc_in_region(const View *v, const char *dc, const char *region) {
  for (int i = 0; i < v->n; i++)
    if (strcmp(v->list[i].dc, dc) == 0 &&
        strcmp(v->list[i].region, region) == 0)
      return true;
  return false;
}

/* Assigns the targets to query. Those of other regions are queried as often as
   the rate limit allows, in a small fleet as often as the near ones. */
static void assign_duties(Loads *l) {
  const Member *me = view_find(l->view, l->self);
  int near = 0, far = 0;
  for (guint i = 0; i < l->list->len; i++) {
    Watched *w = l->list->pdata[i];
    const Member *m = me ? view_home(l->view, me->region, w->hash, 0) : NULL;
    w->is_assigned = !m || strcmp(m->id, l->self) == 0;
    w->near = !me || dc_in_region(l->view, w->t.dc, me->region);
    near += w->is_assigned && w->near;
    far += w->is_assigned && !w->near;
  }
  int others = me ? view_count_members(l->view, me->region) - 1 : 0;
  l->far_interval_s =
      MAX(NEAR_INTERVAL_S, far / MAX(MAX_QUERIES_PER_S - near, 1.0));
  l->send_interval_s =
      MAX(NEAR_INTERVAL_S, (double)(near + far) * MAX(others, 0) *
                               MESSAGE_BYTES / MESSAGE_BYTES_PER_S);
}

void loads_set_view(Loads *l, const View *v) {
  if (view_same_members(v, l->view)) return;
  view_free(l->view);
  l->view = view_copy(v);
  assign_duties(l);
}

static Watched *watched_new(const LoadsTarget *t, uint64_t hash) {
  Watched *w = g_new0(Watched, 1);
  w->hash = hash;
  w->queried_at = w->received_at = -1;
  w->t = *t;
  return w;
}

void loads_set_targets(Loads *l, const LoadsTarget *list, int n) {
  GPtrArray *next = g_ptr_array_new_with_free_func(g_free);
  GHashTable *by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
  for (int i = 0; i < n; i++) {
    uint64_t hash = XXH64(list[i].name, strlen(list[i].name), 0);
    if (g_hash_table_contains(by_hash, &hash)) continue;
    const Watched *old = g_hash_table_lookup(l->by_hash, &hash);
    Watched *w =
        old ? g_memdup2(old, sizeof *old) : watched_new(&list[i], hash);
    w->t = list[i];
    g_ptr_array_add(next, w);
    g_hash_table_insert(by_hash, &w->hash, w);
  }
  g_hash_table_destroy(l->by_hash);
  g_ptr_array_free(l->list, TRUE);
  l->list = next;
  l->by_hash = by_hash;
  assign_duties(l);
}

/* == queries == */

static double query_interval_s(const Loads *l, const Watched *w) {
  return w->near ? NEAR_INTERVAL_S : l->far_interval_s;
}

static bool is_path_due(const Loads *l, const Watched *w, double now) {
  const double *last = g_hash_table_lookup(l->path_queried_at, w->t.dc);
  return !last || now - *last >= PATH_INTERVAL_S;
}

static bool is_query_due(const Loads *l, const Watched *w, double now) {
  if (w->in_flight) return false;
  if (w->verify || is_path_due(l, w, now)) return true;
  double last = MAX(w->queried_at, w->received_at), s = query_interval_s(l, w);
  if (w->is_assigned) return w->queried_at < 0 || now - w->queried_at >= s;
  /* The assigned instance sends a message at least every send_interval_s. */
  return last < 0 || now - last >= MAX(s, l->send_interval_s) * STALE_INTERVALS;
}

bool loads_next_query(Loads *l, double now, LoadsTarget *t) {
  for (guint k = 0; k < l->list->len; k++) {
    Watched *w = l->list->pdata[(l->query_cursor + k) % l->list->len];
    if (!is_query_due(l, w, now)) continue;
    l->query_cursor = (l->query_cursor + k + 1) % l->list->len;
    w->in_flight = true;
    w->verify = false;
    w->queried_at = now;
    g_hash_table_insert(l->path_queried_at, g_strdup(w->t.dc),
                        g_memdup2(&now, sizeof now));
    *t = w->t;
    return true;
  }
  return false;
}

static Watched *find_target(const Loads *l, const char *name) {
  uint64_t hash = XXH64(name, strlen(name), 0);
  return g_hash_table_lookup(l->by_hash, &hash);
}

void loads_apply_answer(Loads *l, double now, const char *name, bool ok,
                        int running, int waiting) {
  Watched *w = find_target(l, name);
  if (!w) return; /* the table dropped it in the meantime */
  w->in_flight = false;
  w->received_at = now;
  if (w->is_assigned && (!w->known || w->ok != ok)) w->send_now = true;
  w->known = true;
  w->ok = ok;
  w->consecutive_failures = ok ? 0 : w->consecutive_failures + 1;
  w->running = running;
  w->waiting = waiting;
}

/* == messages == */

bool loads_next_message(Loads *l, double now, LoadsMsg *m) {
  for (guint k = 0; k < l->list->len; k++) {
    Watched *w = l->list->pdata[(l->send_cursor + k) % l->list->len];
    bool is_repeat_due = w->known && now - w->sent_at >= l->send_interval_s &&
                         w->received_at > w->sent_at;
    if (!w->is_assigned || !(w->send_now || is_repeat_due)) continue;
    l->send_cursor = (l->send_cursor + k + 1) % l->list->len;
    w->send_now = false;
    w->sent_at = now;
    *m = (LoadsMsg){w->hash, w->running, w->waiting, !w->ok};
    return true;
  }
  return false;
}

const LoadsTarget *loads_apply_message(Loads *l, double now,
                                       const LoadsMsg *m) {
  Watched *w = g_hash_table_lookup(l->by_hash, &m->target);
  if (!w) return NULL;
  if (m->unresponsive) { /* unreachable for us, too, or only for the sender? */
    double wait = w->consecutive_failures < RECHECK_AFTER_FAILURES
                      ? NEAR_INTERVAL_S
                      : RECHECK_INTERVAL_S;
    w->verify =
        !w->in_flight && (w->queried_at < 0 || now - w->queried_at >= wait);
    return NULL;
  }
  w->received_at = now;
  return &w->t;
}
