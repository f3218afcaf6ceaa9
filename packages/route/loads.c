/* loads.c: duties by rendezvous, and what to do when nobody speaks. */
#include "route/loads.h"

#include <string.h>
#include <xxhash.h>

#define EVERY_S 1.0     /* a target near us is asked this often */
#define VERIFY_S 5.0    /* one that was silent for us too is asked again */
#define FAILS 3         /* after so many times */
#define STALE 4         /* times that nothing was heard until others ask */
#define PATH_S 30.0     /* our own path to a data centre is measured */
#define RATE 10.0       /* calls a second of one instance, about */
#define TELL_BYTES 1500 /* a second, to the others of the region */
#define TELL_MSG_BYTES 16

typedef struct Watched {
  LoadsTarget t;
  uint64_t hash;
  bool duty, near;
  bool asking, verify; /* verify: somebody says that it is silent */
  bool known, ok;      /* our last answer */
  int running, waiting, fails;
  double asked, heard; /* -1: never */
  bool tell;           /* news that should not wait */
  double told;
} Watched;

struct Loads {
  char self[LIMIT_ID_BYTES];
  View *view;
  GPtrArray *list;     /* Watched* */
  GHashTable *by_hash; /* hash -> Watched */
  GHashTable *paths;   /* data centre -> double*, when we last asked there */
  double far_s, tell_s;
  guint ask_at, tell_at; /* where the search goes on */
};

Loads *loads_new(const char *self) {
  Loads *l = g_new0(Loads, 1);
  g_strlcpy(l->self, self, sizeof l->self);
  l->view = view_new(NULL, 0);
  l->list = g_ptr_array_new_with_free_func(g_free);
  l->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
  l->paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void loads_free(Loads *l) {
  view_free(l->view);
  g_hash_table_destroy(l->by_hash);
  g_hash_table_destroy(l->paths);
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

/* Who asks what. Targets of other regions are asked as often as the rate of
   calls leaves room for: in a small fleet just as often. */
static void assign(Loads *l) {
  const Member *me = view_find(l->view, l->self);
  int near = 0, far = 0;
  for (guint i = 0; i < l->list->len; i++) {
    Watched *w = l->list->pdata[i];
    const Member *m = me ? view_home(l->view, me->region, w->hash, 0) : NULL;
    w->duty = !m || strcmp(m->id, l->self) == 0;
    w->near = !me || dc_in_region(l->view, w->t.dc, me->region);
    near += w->duty && w->near;
    far += w->duty && !w->near;
  }
  int others = me ? view_count_members(l->view, me->region) - 1 : 0;
  l->far_s = MAX(EVERY_S, far / MAX(RATE - near, 1.0));
  l->tell_s = MAX(EVERY_S, (double)(near + far) * MAX(others, 0) *
                               TELL_MSG_BYTES / TELL_BYTES);
}

void loads_view(Loads *l, const View *v) {
  if (view_same_members(v, l->view)) return;
  view_free(l->view);
  l->view = view_copy(v);
  assign(l);
}

static Watched *watched_new(const LoadsTarget *t, uint64_t hash) {
  Watched *w = g_new0(Watched, 1);
  w->hash = hash;
  w->asked = w->heard = -1;
  w->t = *t;
  return w;
}

void loads_targets(Loads *l, const LoadsTarget *list, int n) {
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
  assign(l);
}

/* == asking == */

static double every(const Loads *l, const Watched *w) {
  return w->near ? EVERY_S : l->far_s;
}

static bool path_due(const Loads *l, const Watched *w, double now) {
  const double *last = g_hash_table_lookup(l->paths, w->t.dc);
  return !last || now - *last >= PATH_S;
}

static bool due(const Loads *l, const Watched *w, double now) {
  if (w->asking) return false;
  if (w->verify || path_due(l, w, now)) return true;
  double last = MAX(w->asked, w->heard), s = every(l, w);
  if (w->duty) return w->asked < 0 || now - w->asked >= s;
  /* Who has the duty tells each tell_s at the latest. */
  return last < 0 || now - last >= MAX(s, l->tell_s) * STALE;
}

bool loads_ask(Loads *l, double now, LoadsTarget *t) {
  for (guint k = 0; k < l->list->len; k++) {
    Watched *w = l->list->pdata[(l->ask_at + k) % l->list->len];
    if (!due(l, w, now)) continue;
    l->ask_at = (l->ask_at + k + 1) % l->list->len;
    w->asking = true;
    w->verify = false;
    w->asked = now;
    g_hash_table_insert(l->paths, g_strdup(w->t.dc),
                        g_memdup2(&now, sizeof now));
    *t = w->t;
    return true;
  }
  return false;
}

static Watched *find(const Loads *l, const char *name) {
  uint64_t hash = XXH64(name, strlen(name), 0);
  return g_hash_table_lookup(l->by_hash, &hash);
}

void loads_heard(Loads *l, double now, const char *name, bool ok, int running,
                 int waiting) {
  Watched *w = find(l, name);
  if (!w) return; /* the table dropped it meanwhile */
  w->asking = false;
  w->heard = now;
  if (w->duty && (!w->known || w->ok != ok)) w->tell = true;
  w->known = true;
  w->ok = ok;
  w->fails = ok ? 0 : w->fails + 1;
  w->running = running;
  w->waiting = waiting;
}

/* == telling == */

bool loads_tell(Loads *l, double now, LoadsMsg *m) {
  for (guint k = 0; k < l->list->len; k++) {
    Watched *w = l->list->pdata[(l->tell_at + k) % l->list->len];
    bool again = w->known && now - w->told >= l->tell_s && w->heard > w->told;
    if (!w->duty || !(w->tell || again)) continue;
    l->tell_at = (l->tell_at + k + 1) % l->list->len;
    w->tell = false;
    w->told = now;
    *m = (LoadsMsg){w->hash, w->running, w->waiting, !w->ok};
    return true;
  }
  return false;
}

const LoadsTarget *loads_told(Loads *l, double now, const LoadsMsg *m) {
  Watched *w = g_hash_table_lookup(l->by_hash, &m->target);
  if (!w) return NULL;
  if (m->silent) { /* cut off from us, or from the one that says so? */
    double wait = w->fails < FAILS ? EVERY_S : VERIFY_S;
    w->verify = !w->asking && (w->asked < 0 || now - w->asked >= wait);
    return NULL;
  }
  w->heard = now;
  return &w->t;
}
