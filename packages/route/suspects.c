/* suspects.c: counts marks, names and clears suspects. */
#include "route/suspects.h"

#include <glib.h>

#include "kernel/count.h"
#include "route/fair.h"

/* Number of targets that ended under a suspect. Parts are shared, so two
   targets that end at the same time are likely to have one in common. */
#define REQUEST_MARKS_TO_NAME 2
#define PART_MARKS_TO_NAME 3
/* From the naming of a part until it counts as a suspect: a message to all
   instances and one back, also between regions. */
#define PART_CLEAR_WAIT_S 0.25
/* Max number of requests kept as a home, and of suspects, 100 bytes each. They
   don't expire, since the harmful one may return after an hour. */
#define MAX_COUNTS 4096
#define MAX_NAMED 1024
/* What last succeeded, 64 bytes each: half a minute of the busiest instance,
   with 40 requests a second and the parts of their prompts. */
#define MAX_SUCCESSES 4096
/* Successes are kept for this long after a mark or a message about one. */
#define TRACK_SUCCESSES_S 60.0

/* A request or part in a table. */
typedef struct Entry {
  Digest digest;
  bool is_part;
  uint64_t owner;
  double first, last;  /* times of marks */
  double effective_at; /* named: it counts as a suspect from then on */
  int n;
  uint64_t targets[PART_MARKS_TO_NAME]; /* the first ones that ended under it */
} Entry;

typedef struct Success {
  Digest digest;
  double at;  /* of the last one */
  GList link; /* in `successes_by_age` */
} Success;

struct Suspects {
  GHashTable *counts;    /* Digest -> Entry, where we are a home */
  GHashTable *named;     /* Digest -> Entry */
  GHashTable *successes; /* Digest -> Success */
  GQueue successes_by_age;
  double last_mark_at;
  GQueue to_send; /* SuspectsMsg* */
};

Suspects *suspects_new(void) {
  Suspects *s = g_new0(Suspects, 1);
  s->counts =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->named =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  s->successes =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  g_queue_init(&s->successes_by_age);
  s->last_mark_at = -TRACK_SUCCESSES_S;
  g_queue_init(&s->to_send);
  return s;
}

void suspects_free(Suspects *s) {
  g_hash_table_destroy(s->counts);
  g_hash_table_destroy(s->named);
  g_hash_table_destroy(s->successes);
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
  e->is_part = m->is_part;
  e->owner = m->owner;
  e->first = first;
  g_hash_table_insert(table, &e->digest, e);
  return e;
}

/* == successes == */

static bool succeeded_since(const Suspects *s, Digest d, double since) {
  const Success *x = g_hash_table_lookup(s->successes, &d);
  return x && x->at >= since;
}

static Success *add_success(Suspects *s, Digest d) {
  if (g_hash_table_size(s->successes) >= MAX_SUCCESSES) {
    Success *oldest = g_queue_peek_head(&s->successes_by_age);
    g_queue_unlink(&s->successes_by_age, &oldest->link);
    g_hash_table_remove(s->successes, &oldest->digest);
  }
  Success *x = g_new0(Success, 1);
  x->digest = d;
  x->link.data = x;
  g_hash_table_insert(s->successes, &x->digest, x);
  g_queue_push_tail_link(&s->successes_by_age, &x->link);
  return x;
}

static void record_success(Suspects *s, double now, Digest d) {
  Success *x = g_hash_table_lookup(s->successes, &d);
  if (!x) x = add_success(s, d);
  g_queue_unlink(&s->successes_by_age, &x->link);
  g_queue_push_tail_link(&s->successes_by_age, &x->link);
  x->at = now;
}

static void queue_message(Suspects *s, const SuspectsMsg *m) {
  g_queue_push_tail(&s->to_send, g_memdup2(m, sizeof *m));
}

static void clear_suspect(Suspects *s, Digest d, bool is_part) {
  SuspectsMsg m = {.kind = SUSPECTS_CLEARED, .is_part = is_part, .digest = d};
  g_hash_table_remove(s->named, &d);
  g_hash_table_remove(s->counts, &d);
  queue_message(s, &m);
}

void suspects_note_success(Suspects *s, double now, Digest d) {
  const Entry *named = find_entry(s->named, d);
  record_success(s, now, d);
  if (named)
    clear_suspect(s, d, named->is_part);
  else
    g_hash_table_remove(s->counts, &d);
}

bool suspects_track_successes(const Suspects *s, double now) {
  return suspects_has_any(s) || now - s->last_mark_at < TRACK_SUCCESSES_S;
}

/* == marks == */

Digest suspects_part_digest(uint64_t part) {
  static const char kind[] = "part";
  DigestPart list[] = {{kind, sizeof kind}, {(const char *)&part, sizeof part}};
  return digest_of(list, G_N_ELEMENTS(list));
}

/* A target ends under many requests that share their parts; its messages are
   queued one after the other. */
static bool is_queued(const Suspects *s, const SuspectsMsg *m) {
  for (const GList *l = s->to_send.head; l; l = l->next) {
    const SuspectsMsg *q = l->data;
    if (q->kind == m->kind && q->target == m->target &&
        digest_equal(q->digest, m->digest))
      return true;
  }
  return false;
}

void suspects_mark(Suspects *s, double now, const EndsMark *mark) {
  SuspectsMsg m = {.kind = SUSPECTS_MARK,
                   .digest = mark->digest,
                   .owner = mark->owner,
                   .target = mark->target};
  s->last_mark_at = now;
  queue_message(s, &m);
  m.is_part = true;
  for (int i = 0; i < mark->n_parts; i++) {
    m.digest = suspects_part_digest(mark->parts[i]);
    if (!is_queued(s, &m)) queue_message(s, &m);
  }
}

static void apply_named(Suspects *s, double now, const SuspectsMsg *m) {
  double first = now - m->first_mark_age_s;
  if (succeeded_since(s, m->digest, first)) {
    clear_suspect(s, m->digest, m->is_part);
    return;
  }
  Entry *e = find_entry(s->named, m->digest);
  if (!e) {
    e = insert_entry(s->named, MAX_NAMED, m, first);
    e->effective_at = m->is_part ? now + PART_CLEAR_WAIT_S : now;
  }
  e->last = now;
}

static int marks_to_name(const Entry *e) {
  return e->is_part ? PART_MARKS_TO_NAME : REQUEST_MARKS_TO_NAME;
}

/* Each instance that had requests at a target reports its end. */
static bool has_target(const Entry *e, uint64_t target) {
  for (int i = 0; i < MIN(e->n, PART_MARKS_TO_NAME); i++)
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
  if (e->n < PART_MARKS_TO_NAME) e->targets[e->n] = m->target;
  e->n++;
  if (e->n < marks_to_name(e)) return;
  SuspectsMsg named = {.kind = SUSPECTS_NAMED,
                       .is_part = m->is_part,
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
    if (m->is_part) record_success(s, now, m->digest);
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

bool suspects_has(const Suspects *s, double now, Digest d) {
  const Entry *e = find_entry(s->named, d);
  return e && now >= e->effective_at;
}

bool suspects_is_sound(const Suspects *s, double now, Digest part,
                       Digest suspect) {
  const Entry *e = find_entry(s->named, suspect);
  return succeeded_since(s, part, e ? e->first : now - TRACK_SUCCESSES_S);
}

bool suspects_is_named(const Suspects *s, Digest d) {
  return find_entry(s->named, d) != NULL;
}

bool suspects_next_message(Suspects *s, SuspectsMsg *m) {
  SuspectsMsg *first = g_queue_pop_head(&s->to_send);
  if (!first) return false;
  *m = *first;
  g_free(first);
  return true;
}
