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

/* A target counts for at most this in the wait of a service: one that has
   stopped answering says nothing about the others. */
#define MAX_STATE_WAIT_S 2.0

/* Starts count for a second, plus some milliseconds for the message. */
#define START_WINDOW_S 1.02
/* An instance sends as soon as it has a permit; a later report was lost or is
   of another request. */
#define PERMIT_MAX_AGE_S 2.0
/* The service, slots and counting instance of a target change rarely. */
#define TARGET_REFRESH_S 1.0

typedef struct RunKey {
  uint64_t from, run;
} RunKey;

typedef struct Run {
  RunKey key;
  int64_t tokens;
  double at;
  bool rated;   /* it counts in the rates of the target */
  double since; /* it is unread, or read, since then */
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
  TallyTarget info;
  bool is_known;    /* `info` is set */
  double looked_at; /* when it was last looked up */
  RatesTarget rates;
  RatesPool *pool; /* of info.pool; NULL: unknown */
} Count;

struct Tally {
  GHashTable *counts;        /* target -> Count */
  double members_changed_at; /* when the members last changed */
  QuotaShare share;          /* the number of members; the rank is not used */
  TallyFindTarget find;      /* NULL: no rates are learned */
  void *find_ctx;
  GHashTable *pools; /* text_hash of a service -> RatesPool */
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
  t->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return t;
}

void tally_free(Tally *t) {
  g_hash_table_destroy(t->counts);
  g_hash_table_destroy(t->pools);
  g_free(t);
}

void tally_set_find_target(Tally *t, TallyFindTarget find, void *ctx) {
  t->find = find;
  t->find_ctx = ctx;
}

static RatesPool *ensure_rates_pool(Tally *t, uint64_t pool) {
  RatesPool *p = g_hash_table_lookup(t->pools, &pool);
  if (p) return p;
  p = g_new0(RatesPool, 1);
  g_hash_table_insert(t->pools, g_memdup2(&pool, sizeof pool), p);
  return p;
}

/* Looks the target up again if the last time is TARGET_REFRESH_S ago. */
static void refresh_info(Tally *t, Count *c, double now, uint64_t target) {
  if (!t->find || (c->looked_at > 0 && now - c->looked_at < TARGET_REFRESH_S))
    return;
  c->looked_at = now;
  c->is_known = t->find(t->find_ctx, target, &c->info);
  if (!c->is_known) return;
  c->rates.slots = c->info.slots;
  c->pool = ensure_rates_pool(t, c->info.pool);
}

static bool is_rated(const Count *c) {
  return c->is_known && c->info.managed;
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
  refresh_info(t, c, now, target);
  return c;
}

/* == rates == */

/* A run was reported first, or with another number of unread tokens than
   `before`. */
static void rate_run(Count *c, double now, Run *r, int64_t before,
                     bool is_first) {
  if (is_first && is_rated(c)) {
    rates_note_arrival(&c->rates, now, r->tokens > 0);
    r->rated = true;
    r->since = now;
  } else if (r->rated && before > 0 && r->tokens == 0) {
    rates_note_read(&c->rates, c->pool, now, before, r->since);
    r->since = now;
  } else if (r->rated && before == 0 && r->tokens > 0) {
    /* A repeated first report that arrived after the next one. */
    rates_drop(&c->rates, now, false);
    r->rated = false;
  }
}

/* A run that ended before its prompt was read was rejected, or its report was
   lost: neither tells how fast the target is. */
static void rate_end(Count *c, double now, const Run *r) {
  if (!r->rated) return;
  if (r->tokens > 0)
    rates_drop(&c->rates, now, true);
  else
    rates_note_done(&c->rates, c->pool, now, r->since);
}

static void rate_expiry(Count *c, double now, Run *r) {
  if (r->rated) rates_drop(&c->rates, now, r->tokens > 0);
  r->rated = false;
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
    if (r) rate_end(c, now, r);
    if (r) drop_run(c, r);
    return;
  }
  bool is_first = !r;
  if (!r) {
    r = g_new0(Run, 1);
    r->key = key;
    record_start(c, now, &key);
    g_hash_table_insert(c->runs, &r->key, r);
  }
  int64_t before = r->tokens;
  c->tokens += m->tokens - before;
  r->tokens = m->tokens;
  r->at = now;
  rate_run(c, now, r, before, is_first);
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
  Count *c = count;
  const Ours *ours = data;
  c->looked_at = 0; /* whether it is ours may have changed */
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

static RatesEstimate estimate(const Count *c, double now) {
  return rates_estimate(&c->rates, c->pool, now, c->info.start_token_s);
}

bool tally_rate(Tally *t, double now, const TallyQuery *a, TallyRate *out) {
  const Count *c = ensure_count(t, now, a->target);
  if (!is_rated(c)) return false;
  *out = (TallyRate){
      .number = a->number, .target = a->target, .rate = estimate(c, now)};
  return true;
}

static void add_to_state(const Count *c, double now, TallyPoolState *out) {
  RatesEstimate e = estimate(c, now);
  int open = (int)g_hash_table_size(c->runs);
  out->targets++;
  if (e.token_s > 0) out->tokens_per_s += 1 / e.token_s;
  out->wait_s += MIN(
      rates_wait_s(open, c->info.slots, (double)c->tokens, e.token_s, e.slot_s),
      MAX_STATE_WAIT_S);
  out->read_per_s += rates_read_per_s(&c->rates, now);
}

bool tally_pool_state(Tally *t, double now, uint64_t pool,
                      TallyPoolState *out) {
  GHashTableIter it;
  gpointer k, v;
  *out = (TallyPoolState){0};
  g_hash_table_iter_init(&it, t->counts);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    Count *c = v;
    refresh_info(t, c, now, *(uint64_t *)k);
    if (is_rated(c) && c->info.ours && c->info.pool == pool)
      add_to_state(c, now, out);
  }
  return out->targets > 0;
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
    if (now - r->at >= PREFILL_MAX_AGE_S && r->tokens > 0) {
      rate_expiry(c, now, r);
      c->tokens -= r->tokens;
      r->tokens = 0;
    }
    if (now - r->at < RUN_MAX_AGE_S) continue;
    rate_expiry(c, now, r);
    g_hash_table_iter_remove(&it);
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
