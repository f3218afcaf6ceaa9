/* tally.c: counts requests and prompt parts by target. */
#include "route/tally.h"

#include <glib.h>

#include "route/parts.h"

/* A run whose end was never reported is counted for no longer than callers
   wait, which is 6 to 15 s. */
#define RUN_MAX_AGE_S 15.0
/* Prompts are read in a second or two, even in a queue; the report that one
   was read may be lost. */
#define PREFILL_MAX_AGE_S 3.0
/* A part that was sent this long ago has been read. */
#define PART_PREFILL_S 0.5
/* A target without messages is forgotten after this. */
#define TARGET_IDLE_FORGET_S 60.0

/* Starts count for a second, plus some milliseconds for the message. */
#define START_WINDOW_S 1.02
/* An instance sends as soon as it has a permit; a later report was lost or is
   of another request. */
#define PERMIT_MAX_AGE_S 2.0

typedef struct RunKey {
  uint64_t from, run;
} RunKey;

typedef struct Run {
  RunKey key;
  int64_t tokens;
  double at;
} Run;

/* A permit that was given and whose run was not reported yet. */
typedef struct Permit {
  RunKey key;
  double at;
} Permit;

typedef struct Count {
  GHashTable *runs;    /* RunKey -> Run, which holds its key */
  GHashTable *permits; /* RunKey -> Permit, which holds its key */
  int64_t tokens;      /* sum over runs */
  Parts *parts;
  double created_at,
      last_message_at; /* of the first and the last message about it */
  QuotaSends starts;   /* of runs and permits */
  bool has_counter;    /* `counter` is known */
  uint64_t counter;    /* identifies the counting instance */
  double limit;        /* QUOTA_UNLIMITED: none */
  bool limit_known;    /* an instance received it from the target itself */
  bool limit_changed;  /* since it was last sent */
  double limit_sent_at;
} Count;

struct Tally {
  GHashTable *counts;        /* target -> Count */
  double members_changed_at; /* when the members last changed */
  QuotaShare share;          /* the number of members; the rank is not used */
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

TallyParts tally_allowed_parts(const TallyParts *parts, RegionSet allowed,
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

static Count *ensure_count(Tally *t, double now, uint64_t target) {
  Count *c = g_hash_table_lookup(t->counts, &target);
  if (!c) {
    c = g_new0(Count, 1);
    c->runs = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    c->permits = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    c->limit = QUOTA_UNLIMITED;
    c->parts = parts_new();
    c->created_at = now;
    g_hash_table_insert(t->counts, g_memdup2(&target, sizeof target), c);
  }
  c->last_message_at = now;
  return c;
}

static void drop_run(Count *c, const Run *r) {
  c->tokens -= r->tokens;
  g_hash_table_remove(c->runs, &r->key);
}

/* == starts == */

/* Seconds during which an instance that has just become the counting one,
   because the members changed, does not know what the previous one counted. */
static double unknown_s(const Tally *t, const Count *c, double now,
                        double window_s) {
  double by_count = c->created_at + window_s - now;
  double by_members = t->members_changed_at + window_s - now;
  return MAX(0, MIN(by_count, by_members));
}

static int count_recent_starts(const Tally *t, const Count *c, double now) {
  if (unknown_s(t, c, now, START_WINDOW_S) > 0) return QUOTA_MAX_SENDS;
  return quota_count_recent(&c->starts, now, START_WINDOW_S);
}

/* A run begins. If it had a permit, it was counted with that. */
static void record_start(Count *c, double now, const RunKey *key) {
  if (!g_hash_table_remove(c->permits, key)) quota_note_send(&c->starts, now);
}

void tally_apply_run(Tally *t, double now, uint64_t from, const TallyRun *m) {
  Count *c = ensure_count(t, now, m->target);
  RunKey key = {from, m->run};
  Run *r = g_hash_table_lookup(c->runs, &key);
  parts_apply_report(c->parts, m->parts.names, m->parts.n, now);
  if (!m->open) {
    if (r) drop_run(c, r);
    return;
  }
  if (!r) {
    r = g_new0(Run, 1);
    r->key = key;
    record_start(c, now, &key);
    g_hash_table_insert(c->runs, &r->key, r);
  }
  c->tokens += m->tokens - r->tokens;
  r->tokens = m->tokens;
  r->at = now;
}

TallyReport tally_report(Tally *t, double now, const TallyQuery *a) {
  const Count *c = ensure_count(t, now, a->target);
  const TallyParts *p = &a->parts;
  return (TallyReport){
      .number = a->number,
      .target = a->target,
      .open = (int)g_hash_table_size(c->runs),
      .starts = count_recent_starts(t, c, now),
      .tokens = c->tokens,
      .known_parts = parts_count_known(c->parts, p->names, p->n, now, 0),
      .finished_parts =
          parts_count_known(c->parts, p->names, p->n, now, PART_PREFILL_S)};
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
  return c->has_counter && !ours->fn(ours->ctx, c->counter);
}

void tally_set_members(Tally *t, double now, int n,
                       bool (*ours)(void *ctx, uint64_t name), void *ctx) {
  Ours o = {ours, ctx};
  t->members_changed_at = now;
  quota_set_rank(&t->share, now, 0, n);
  g_hash_table_foreach_remove(t->counts, is_anothers, &o);
}

static Count *ensure_named_count(Tally *t, double now, uint64_t target,
                                 uint64_t counter) {
  Count *c = ensure_count(t, now, target);
  c->has_counter = true;
  c->counter = counter;
  return c;
}

/* A limit reported from the target itself takes precedence over what senders
   know; without one, the lowest that a sender knows counts. */
static QuotaBounds effective_bounds(Count *c, const TallyPermitRequest *a) {
  if (!c->limit_known) c->limit = MIN(c->limit, a->bounds.limit);
  QuotaBounds b = a->bounds;
  b.limit = c->limit;
  return b;
}

static void grant_permit(Count *c, double now, const RunKey *key) {
  Permit *p = g_new0(Permit, 1);
  p->key = *key;
  p->at = now;
  quota_note_send(&c->starts, now);
  g_hash_table_replace(c->permits, &p->key, p);
}

TallyPermit tally_decide_permit(Tally *t, double now, uint64_t from,
                                const TallyPermitRequest *a) {
  Count *c = ensure_named_count(t, now, a->target, a->counter);
  QuotaBounds b = effective_bounds(c, a);
  RunKey key = {from, a->run};
  double reach = MIN(a->reachable_share, quota_reachable_share(&t->share, now));
  double unknown = unknown_s(t, c, now, quota_longest_window_s(&b));
  double wait = MAX(unknown, quota_wait_s(&c->starts, now, &b, reach));
  TallyVerdict verdict = wait <= 0 ? TALLY_GIVEN : TALLY_FULL;
  if (unknown > 0) verdict = TALLY_UNKNOWN;
  if (verdict == TALLY_GIVEN) grant_permit(c, now, &key);
  return (TallyPermit){.number = a->number,
                       .target = a->target,
                       .verdict = verdict,
                       .wait_s = wait,
                       .limit = c->limit};
}

/* == limits == */

void tally_set_limit(Tally *t, double now, const TallyLimit *m) {
  Count *c = ensure_named_count(t, now, m->target, m->counter);
  c->limit_changed |= m->limit != c->limit;
  c->limit_known = true;
  c->limit = m->limit;
}

/* Whether the limit has to be sent to the other instances. */
static bool is_limit_due(const Count *c, double now, double resend_s) {
  if (c->limit_changed) return true;
  return c->limit < QUOTA_UNLIMITED && now - c->limit_sent_at >= resend_s;
}

bool tally_next_limit(Tally *t, double now, double resend_s, TallyLimit *m) {
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, t->counts);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    Count *c = v;
    if (!c->has_counter || !is_limit_due(c, now, resend_s)) continue;
    c->limit_changed = false;
    c->limit_sent_at = now;
    *m = (TallyLimit){*(uint64_t *)k, c->counter, c->limit};
    return true;
  }
  return false;
}

/* == state of a service == */

bool tally_pool_state(Tally *t, double now, uint64_t pool,
                      TallyPoolState *out) {
  (void)t;
  (void)now;
  (void)pool;
  *out = (TallyPoolState){0};
  return false;
}

/* == expiry == */

static gboolean is_permit_expired(gpointer key, gpointer permit, gpointer now) {
  (void)key;
  return *(double *)now - ((Permit *)permit)->at >= PERMIT_MAX_AGE_S;
}

static void expire_runs(Count *c, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, c->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Run *r = v;
    if (now - r->at >= PREFILL_MAX_AGE_S) {
      c->tokens -= r->tokens;
      r->tokens = 0;
    }
    if (now - r->at >= RUN_MAX_AGE_S) g_hash_table_iter_remove(&it);
  }
}

void tally_sweep(Tally *t, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, t->counts);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Count *c = v;
    expire_runs(c, now);
    g_hash_table_foreach_remove(c->permits, is_permit_expired, &now);
    if (now - c->last_message_at >= TARGET_IDLE_FORGET_S)
      g_hash_table_iter_remove(&it);
  }
}
