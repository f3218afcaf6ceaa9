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

/* Starts count for a second; messages take milliseconds. */
#define START_S 1.02
/* Who was given a permit sends at once; a word of it later than this was lost
   or is of another request. */
#define PERMIT_S 2.0

typedef struct RunKey {
  uint64_t from, run;
} RunKey;

typedef struct Run {
  RunKey key;
  int64_t tokens;
  double at;
} Run;

/* A permit that was given, until its run is told. */
typedef struct Permit {
  RunKey key;
  double at;
} Permit;

typedef struct Count {
  GHashTable *runs;    /* RunKey -> Run, which holds its key */
  GHashTable *permits; /* RunKey -> Permit, which holds its key */
  int64_t tokens;      /* sum over runs */
  Parts *parts;
  double born, spoken; /* when it was first and last spoken of */
  QuotaSends starts;   /* of runs, and permits */
  bool named;          /* `counter` is known */
  uint64_t counter;    /* names who counts here */
  double limit;        /* QUOTA_UNLIMITED: none */
  bool limit_known;    /* we were told it as the target's own word */
  bool limit_news;     /* the others were not told of it */
  double told_at;      /* when they were */
} Count;

struct Tally {
  GHashTable *counts; /* target -> Count */
  double changed;     /* when the members last did */
  QuotaShare share;   /* how many of them there are; the place does not count */
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
  g_hash_table_destroy(c->permits);
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
    c->permits = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    c->limit = QUOTA_UNLIMITED;
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

/* == starts == */

/* Seconds for which who has just begun to count a target, since the members
   changed, does not know what it got before by another's count. */
static double unknown_for(const Tally *t, const Count *c, double now,
                          double window_s) {
  double by_count = c->born + window_s - now;
  double by_members = t->changed + window_s - now;
  return MAX(0, MIN(by_count, by_members));
}

static int recent_starts(const Tally *t, const Count *c, double now) {
  if (unknown_for(t, c, now, START_S) > 0) return QUOTA_UNITS;
  return quota_lately(&c->starts, now, START_S);
}

/* A run begins; one that had a permit was counted with that. */
static void note_start(Count *c, double now, const RunKey *key) {
  if (!g_hash_table_remove(c->permits, key)) quota_sent(&c->starts, now);
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
    note_start(c, now, &key);
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
                     .starts = recent_starts(t, c, now),
                     .tokens = c->tokens,
                     .known = parts_known(c->parts, p->names, p->n, now, 0),
                     .ripe =
                         parts_known(c->parts, p->names, p->n, now, RIPE_S)};
}

/* == permits == */

typedef struct Ours {
  bool (*fn)(void *ctx, uint64_t name);
  void *ctx;
} Ours;

static gboolean is_anothers(gpointer target, gpointer count, gpointer data) {
  (void)target;
  const Count *c = count;
  const Ours *ours = data;
  return c->named && !ours->fn(ours->ctx, c->counter);
}

void tally_members(Tally *t, double now, int n,
                   bool (*ours)(void *ctx, uint64_t name), void *ctx) {
  Ours o = {ours, ctx};
  t->changed = now;
  quota_place(&t->share, now, 0, n);
  g_hash_table_foreach_remove(t->counts, is_anothers, &o);
}

static Count *named_count(Tally *t, double now, uint64_t target,
                          uint64_t counter) {
  Count *c = count_of(t, now, target);
  c->named = true;
  c->counter = counter;
  return c;
}

/* What targets said, as we were told, beats what senders know; until we were,
   the lowest that a sender knows of counts. */
static QuotaBounds bounds_of(Count *c, const TallyPermitAsk *a) {
  if (!c->limit_known) c->limit = MIN(c->limit, a->bounds.limit);
  QuotaBounds b = a->bounds;
  b.limit = c->limit;
  return b;
}

static void give(Count *c, double now, const RunKey *key) {
  Permit *p = g_new0(Permit, 1);
  p->key = *key;
  p->at = now;
  quota_sent(&c->starts, now);
  g_hash_table_replace(c->permits, &p->key, p);
}

TallyPermit tally_permit(Tally *t, double now, uint64_t from,
                         const TallyPermitAsk *a) {
  Count *c = named_count(t, now, a->target, a->counter);
  QuotaBounds b = bounds_of(c, a);
  RunKey key = {from, a->run};
  double reach = MIN(a->reach, quota_reach(&t->share, now));
  double unknown = unknown_for(t, c, now, quota_window(&b));
  double wait = MAX(unknown, quota_wait(&c->starts, now, &b, reach));
  TallyVerdict verdict = wait <= 0 ? TALLY_GIVEN : TALLY_FULL;
  if (unknown > 0) verdict = TALLY_UNKNOWN;
  if (verdict == TALLY_GIVEN) give(c, now, &key);
  return (TallyPermit){.number = a->number,
                       .target = a->target,
                       .verdict = verdict,
                       .wait_s = wait,
                       .limit = c->limit};
}

/* == limits == */

void tally_limit(Tally *t, double now, const TallyLimit *m) {
  Count *c = named_count(t, now, m->target, m->counter);
  c->limit_news |= m->limit != c->limit;
  c->limit_known = true;
  c->limit = m->limit;
}

/* Whether the others are to hear of it. */
static bool is_due(const Count *c, double now, double again_s) {
  if (c->limit_news) return true;
  return c->limit < QUOTA_UNLIMITED && now - c->told_at >= again_s;
}

bool tally_limit_news(Tally *t, double now, double again_s, TallyLimit *m) {
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, t->counts);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    Count *c = v;
    if (!c->named || !is_due(c, now, again_s)) continue;
    c->limit_news = false;
    c->told_at = now;
    *m = (TallyLimit){*(uint64_t *)k, c->counter, c->limit};
    return true;
  }
  return false;
}

/* == what runs out == */

static gboolean is_old(gpointer key, gpointer permit, gpointer now) {
  (void)key;
  return *(double *)now - ((Permit *)permit)->at >= PERMIT_S;
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
    g_hash_table_foreach_remove(c->permits, is_old, &now);
    if (now - c->spoken >= FORGET_S) g_hash_table_iter_remove(&it);
  }
}
