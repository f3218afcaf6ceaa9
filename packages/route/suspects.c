/* suspects.c: counts marks, names and clears suspects. */
#include "route/suspects.h"

#include <glib.h>

#include "kernel/count.h"
#include "route/fair.h"

#define MARKS_TO_NAME 2 /* number of targets that ended under a suspect */
/* Max number of requests kept as a home, and of suspects, 100 bytes each. They
   don't expire, since the harmful one may return after an hour. */
#define MAX_COUNTS 4096
#define MAX_NAMED 1024
/* Last attempts that ended well: half a minute of the busiest instance, with
   40 requests a second. */
#define MAX_SUCCESSES 2048
/* Successes are kept for this long after a mark or a message about one. */
#define TRACK_SUCCESSES_S 60.0

/* A request in a table. */
typedef struct Entry {
  Digest digest;
  uint64_t owner;
  double first, last; /* times of marks */
  int n;
  uint64_t targets[MARKS_TO_NAME]; /* the first ones that ended under it */
} Entry;

typedef struct Success {
  Digest digest;
  double at;
} Success;

struct Suspects {
  GHashTable *counts; /* Digest -> Entry, where we are a home */
  GHashTable *named;  /* Digest -> Entry */
  Success successes[MAX_SUCCESSES];
  int64_t success_count; /* total number ever added */
  double last_mark_at;
  GQueue to_send; /* SuspectsMsg* */
};

Suspects *suspects_new(void) {
  Suspects *s = g_new0(Suspects, 1);
  s->counts =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->named =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->last_mark_at = -TRACK_SUCCESSES_S;
  g_queue_init(&s->to_send);
  return s;
}

void suspects_free(Suspects *s) {
  g_hash_table_destroy(s->counts);
  g_hash_table_destroy(s->named);
  g_queue_clear_full(&s->to_send, g_free);
  g_free(s);
}

/* == tables of bounded size == */

static FairEntry fair_entry_of(gconstpointer value) {
  const Entry *e = value;
  return (FairEntry){.owner = e->owner, .rank = e->last};
}

static void evict_if_full(GHashTable *table, guint max_entries) {
  if (g_hash_table_size(table) < max_entries) return;
  Entry *victim = fair_choose_evicted(table, fair_entry_of);
  g_hash_table_remove(table, &victim->digest);
  count_add(COUNT_SUSPECTS_SHED, 1);
}

static Entry *find_entry(GHashTable *table, Digest d) {
  return g_hash_table_lookup(table, &d);
}

static Entry *insert_entry(GHashTable *table, guint max_entries,
                           const SuspectsMsg *m, double first) {
  evict_if_full(table, max_entries);
  Entry *e = g_new0(Entry, 1);
  e->digest = m->digest;
  e->owner = m->owner;
  e->first = first;
  g_hash_table_insert(table, &e->digest, e);
  return e;
}

/* == attempts that ended well == */

static bool succeeded_since(const Suspects *s, Digest d, double since) {
  int n = (int)MIN(s->success_count, MAX_SUCCESSES);
  for (int i = 0; i < n; i++)
    if (s->successes[i].at >= since && digest_equal(s->successes[i].digest, d))
      return true;
  return false;
}

static void queue_message(Suspects *s, const SuspectsMsg *m) {
  g_queue_push_tail(&s->to_send, g_memdup2(m, sizeof *m));
}

static void clear_suspect(Suspects *s, Digest d) {
  SuspectsMsg m = {.kind = SUSPECTS_CLEARED, .digest = d};
  g_hash_table_remove(s->named, &d);
  g_hash_table_remove(s->counts, &d);
  queue_message(s, &m);
}

void suspects_note_success(Suspects *s, double now, Digest d) {
  s->successes[s->success_count++ % MAX_SUCCESSES] = (Success){d, now};
  if (find_entry(s->named, d))
    clear_suspect(s, d);
  else
    g_hash_table_remove(s->counts, &d);
}

bool suspects_track_successes(const Suspects *s, double now) {
  return suspects_has_any(s) || now - s->last_mark_at < TRACK_SUCCESSES_S;
}

/* == marks == */

void suspects_mark(Suspects *s, double now, const EndsMark *mark) {
  SuspectsMsg m = {.kind = SUSPECTS_MARK,
                   .digest = mark->digest,
                   .owner = mark->owner,
                   .target = mark->target};
  s->last_mark_at = now;
  queue_message(s, &m);
}

static void apply_named(Suspects *s, double now, const SuspectsMsg *m) {
  double first = now - m->first_mark_age_s;
  if (succeeded_since(s, m->digest, first)) {
    clear_suspect(s, m->digest);
    return;
  }
  Entry *e = find_entry(s->named, m->digest);
  if (!e) e = insert_entry(s->named, MAX_NAMED, m, first);
  e->last = now;
}

/* Each instance that had requests at a target reports its end. */
static bool has_target(const Entry *e, uint64_t target) {
  for (int i = 0; i < MIN(e->n, MARKS_TO_NAME); i++)
    if (e->targets[i] == target) return true;
  return false;
}

/* Counts a mark as one of the request's homes. Once the request is named, each
   further mark names it again: its sender did not receive the name, or the
   attempt was already under way. */
static void apply_mark(Suspects *s, double now, const SuspectsMsg *m) {
  Entry *e = find_entry(s->counts, m->digest);
  if (!e) e = insert_entry(s->counts, MAX_COUNTS, m, now);
  e->last = now;
  if (has_target(e, m->target)) return;
  if (e->n < MARKS_TO_NAME) e->targets[e->n] = m->target;
  e->n++;
  if (e->n < MARKS_TO_NAME) return;
  SuspectsMsg named = {.kind = SUSPECTS_NAMED,
                       .digest = m->digest,
                       .owner = m->owner,
                       .first_mark_age_s = now - e->first};
  queue_message(s, &named);
  apply_named(s, now, &named);
}

void suspects_apply_message(Suspects *s, double now, const SuspectsMsg *m) {
  switch (m->kind) {
  case SUSPECTS_MARK:
    s->last_mark_at = now;
    apply_mark(s, now, m);
    break;
  case SUSPECTS_NAMED:
    s->last_mark_at = now;
    apply_named(s, now, m);
    break;
  case SUSPECTS_CLEARED:
    g_hash_table_remove(s->named, &m->digest);
    g_hash_table_remove(s->counts, &m->digest);
    break;
  case SUSPECTS_KINDS: break;
  }
}

/* == look-ups == */

bool suspects_has_any(const Suspects *s) {
  return g_hash_table_size(s->named) > 0;
}

bool suspects_has(const Suspects *s, Digest d) {
  return g_hash_table_contains(s->named, &d);
}

bool suspects_next_message(Suspects *s, SuspectsMsg *m) {
  SuspectsMsg *first = g_queue_pop_head(&s->to_send);
  if (!first) return false;
  *m = *first;
  g_free(first);
  return true;
}
