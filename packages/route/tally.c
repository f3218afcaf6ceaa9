/* tally.c: requests and parts by target. */
#include "route/tally.h"

#include <glib.h>

#include "route/parts.h"

/* A run whose end was never told counts for no longer than callers wait: 6 to
   15 s on the users' sheets. */
#define RUN_S 15.0
/* Prompts are read in a second or two, also behind others; a word that one was
   read may be lost. */
#define READ_S 3.0
#define RIPE_S 0.5    /* a part that was sent this long ago has been read */
#define FORGET_S 60.0 /* a target that nobody speaks of */

/* Starts that are remembered: more in a second than any cold target bears. */
#define STARTS 64
#define START_S 1.02 /* they count for a second; messages take milliseconds */

typedef struct RunKey {
  uint64_t from, run;
} RunKey;

typedef struct Run {
  RunKey key;
  int64_t tokens;
  double at;
} Run;

typedef struct Count {
  GHashTable *runs; /* RunKey -> Run, which holds its key */
  int64_t tokens;   /* sum over runs */
  Parts *parts;
  double born, spoken;   /* when it was first and last spoken of */
  double starts[STARTS]; /* of the last runs, in a ring */
  int n_starts;          /* in all */
} Count;

struct Tally {
  GHashTable *counts; /* target -> Count */
};

static guint key_hash(gconstpointer p) {
  const RunKey *k = p;
  return (guint)(k->from ^ k->from >> 32 ^ k->run * 2654435761u);
}

static gboolean key_equal(gconstpointer a, gconstpointer b) {
  const RunKey *x = a, *y = b;
  return x->from == y->from && x->run == y->run;
}

static void count_free(gpointer p) {
  Count *c = p;
  g_hash_table_destroy(c->runs);
  parts_free(c->parts);
  g_free(c);
}

TallyParts tally_parts_to(const TallyParts *parts, RegionSet allowed,
                          RegionSet at) {
  if (regions_admit(allowed, at, REGIONS_COUNTER)) return *parts;
  return (TallyParts){0};
}

Tally *tally_new(void) {
  Tally *t = g_new0(Tally, 1);
  t->counts =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, count_free);
  return t;
}

void tally_free(Tally *t) {
  g_hash_table_destroy(t->counts);
  g_free(t);
}

static Count *count_of(Tally *t, double now, uint64_t target) {
  Count *c = g_hash_table_lookup(t->counts, &target);
  if (!c) {
    c = g_new0(Count, 1);
    c->runs = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    c->parts = parts_new();
    c->born = now;
    g_hash_table_insert(t->counts, g_memdup2(&target, sizeof target), c);
  }
  c->spoken = now;
  return c;
}

static void drop_run(Count *c, const Run *r) {
  c->tokens -= r->tokens;
  g_hash_table_remove(c->runs, &r->key);
}

/* Whoever has just begun to count a target does not know what it got in the
   second before, by another's count: it says the most. */
static int recent_starts(const Count *c, double now) {
  int n = 0;
  if (now - c->born < START_S) return STARTS;
  while (n < STARTS && n < c->n_starts &&
         now - c->starts[(c->n_starts - 1 - n) % STARTS] < START_S)
    n++;
  return n;
}

void tally_take(Tally *t, double now, uint64_t from, const TallyRun *m) {
  Count *c = count_of(t, now, m->target);
  RunKey key = {from, m->run};
  Run *r = g_hash_table_lookup(c->runs, &key);
  parts_told(c->parts, m->parts.names, m->parts.n, now);
  if (!m->open) {
    if (r) drop_run(c, r);
    return;
  }
  if (!r) {
    r = g_new0(Run, 1);
    r->key = key;
    c->starts[c->n_starts++ % STARTS] = now;
    g_hash_table_insert(c->runs, &r->key, r);
  }
  c->tokens += m->tokens - r->tokens;
  r->tokens = m->tokens;
  r->at = now;
}

TallyWord tally_word(Tally *t, double now, const TallyAsk *a) {
  const Count *c = count_of(t, now, a->target);
  const TallyParts *p = &a->parts;
  return (TallyWord){.number = a->number,
                     .target = a->target,
                     .open = (int)g_hash_table_size(c->runs),
                     .starts = recent_starts(c, now),
                     .tokens = c->tokens,
                     .known = parts_known(c->parts, p->names, p->n, now, 0),
                     .ripe =
                         parts_known(c->parts, p->names, p->n, now, RIPE_S)};
}

static void sweep_runs(Count *c, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, c->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Run *r = v;
    if (now - r->at >= READ_S) {
      c->tokens -= r->tokens;
      r->tokens = 0;
    }
    if (now - r->at >= RUN_S) g_hash_table_iter_remove(&it);
  }
}

void tally_sweep(Tally *t, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, t->counts);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Count *c = v;
    sweep_runs(c, now);
    if (now - c->spoken >= FORGET_S) g_hash_table_iter_remove(&it);
  }
}
