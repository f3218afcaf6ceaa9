/* suspects.c: marks are counted, suspects named and cleared. */
#include "route/suspects.h"

#include <glib.h>

#include "kernel/count.h"
#include "route/fair.h"

#define MARKS_NAMED 2 /* targets that ended under it make it a suspect */
/* Requests that are kept, as a home and as suspects; 100 bytes each. Nothing is
   forgotten by time: the bad one may come again after an hour. */
#define COUNTS_MOST 4096
#define NAMED_MOST 1024
/* Attempts that ended well, the last ones: half a minute of the busiest
   instance of the users' days, 40 requests a second. */
#define GOOD_MOST 2048
/* Seconds for which they are kept after a mark, or a word of one. */
#define LOOK_S 60.0

/* One request, as it is kept in a table. */
typedef struct Entry {
  Digest digest;
  uint64_t owner;
  double first, last; /* marks */
  int n;
  uint64_t targets[MARKS_NAMED]; /* that ended under it, the first ones */
} Entry;

typedef struct Good {
  Digest digest;
  double at;
} Good;

struct Suspects {
  GHashTable *counts; /* Digest -> Entry, where we are its home */
  GHashTable *named;  /* Digest -> Entry */
  Good good[GOOD_MOST];
  int64_t goods; /* that were put there in all */
  double heard;  /* of a mark */
  GQueue out;    /* SuspectsMsg* */
};

Suspects *suspects_new(void) {
  Suspects *s = g_new0(Suspects, 1);
  s->counts = g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->named = g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->heard = -LOOK_S;
  g_queue_init(&s->out);
  return s;
}

void suspects_free(Suspects *s) {
  g_hash_table_destroy(s->counts);
  g_hash_table_destroy(s->named);
  g_queue_clear_full(&s->out, g_free);
  g_free(s);
}

/* == tables of bounded size == */

static FairEntry look(gconstpointer value) {
  const Entry *e = value;
  return (FairEntry){.owner = e->owner, .age = e->last};
}

static void shed(GHashTable *table, guint most) {
  if (g_hash_table_size(table) < most) return;
  Entry *victim = fair_victim(table, look);
  g_hash_table_remove(table, &victim->digest);
  count_add(COUNT_SUSPECTS_SHED, 1);
}

static Entry *find(GHashTable *table, Digest d) {
  return g_hash_table_lookup(table, &d);
}

static Entry *put(GHashTable *table, guint most, const SuspectsMsg *m,
                  double first) {
  shed(table, most);
  Entry *e = g_new0(Entry, 1);
  e->digest = m->digest;
  e->owner = m->owner;
  e->first = first;
  g_hash_table_insert(table, &e->digest, e);
  return e;
}

/* == attempts that ended well == */

static bool ran_since(const Suspects *s, Digest d, double since) {
  int n = (int)MIN(s->goods, GOOD_MOST);
  for (int i = 0; i < n; i++)
    if (s->good[i].at >= since && digest_equal(s->good[i].digest, d))
      return true;
  return false;
}

static void send(Suspects *s, const SuspectsMsg *m) {
  g_queue_push_tail(&s->out, g_memdup2(m, sizeof *m));
}

static void clear(Suspects *s, Digest d) {
  SuspectsMsg m = {.kind = SUSPECTS_CLEARED, .digest = d};
  g_hash_table_remove(s->named, &d);
  g_hash_table_remove(s->counts, &d);
  send(s, &m);
}

void suspects_ran(Suspects *s, double now, Digest d) {
  s->good[s->goods++ % GOOD_MOST] = (Good){d, now};
  if (find(s->named, d))
    clear(s, d);
  else
    g_hash_table_remove(s->counts, &d);
}

bool suspects_looks(const Suspects *s, double now) {
  return suspects_any(s) || now - s->heard < LOOK_S;
}

/* == marks == */

void suspects_mark(Suspects *s, double now, const EndsMark *mark) {
  SuspectsMsg m = {.kind = SUSPECTS_MARK,
                   .digest = mark->digest,
                   .owner = mark->owner,
                   .target = mark->target};
  s->heard = now;
  send(s, &m);
}

static void take_named(Suspects *s, double now, const SuspectsMsg *m) {
  double first = now - m->age_s;
  if (ran_since(s, m->digest, first)) {
    clear(s, m->digest);
    return;
  }
  Entry *e = find(s->named, m->digest);
  if (!e) e = put(s->named, NAMED_MOST, m, first);
  e->last = now;
}

/* Each instance at which requests broke with a target tells of its end. */
static bool is_known(const Entry *e, uint64_t target) {
  for (int i = 0; i < MIN(e->n, MARKS_NAMED); i++)
    if (e->targets[i] == target) return true;
  return false;
}

/* We are one of its homes. Once it is named, each further mark names it again:
   it comes from somebody who has not heard, or that was under way. */
static void take_mark(Suspects *s, double now, const SuspectsMsg *m) {
  Entry *e = find(s->counts, m->digest);
  if (!e) e = put(s->counts, COUNTS_MOST, m, now);
  e->last = now;
  if (is_known(e, m->target)) return;
  if (e->n < MARKS_NAMED) e->targets[e->n] = m->target;
  e->n++;
  if (e->n < MARKS_NAMED) return;
  SuspectsMsg named = {.kind = SUSPECTS_NAMED,
                       .digest = m->digest,
                       .owner = m->owner,
                       .age_s = now - e->first};
  send(s, &named);
  take_named(s, now, &named);
}

void suspects_take(Suspects *s, double now, const SuspectsMsg *m) {
  switch (m->kind) {
  case SUSPECTS_MARK:
    s->heard = now;
    take_mark(s, now, m);
    break;
  case SUSPECTS_NAMED:
    s->heard = now;
    take_named(s, now, m);
    break;
  case SUSPECTS_CLEARED:
    g_hash_table_remove(s->named, &m->digest);
    g_hash_table_remove(s->counts, &m->digest);
    break;
  case SUSPECTS_KINDS: break;
  }
}

/* == look-ups == */

bool suspects_any(const Suspects *s) {
  return g_hash_table_size(s->named) > 0;
}

bool suspects_has(const Suspects *s, Digest d) {
  return g_hash_table_contains(s->named, &d);
}

bool suspects_next(Suspects *s, SuspectsMsg *m) {
  SuspectsMsg *first = g_queue_pop_head(&s->out);
  if (!first) return false;
  *m = *first;
  g_free(first);
  return true;
}
