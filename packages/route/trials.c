/* trials.c: keeps a copy of the trials in the store and decides by them whether
   a suspect may be sent to a target. */
#include "route/trials.h"

#include "kernel/text.h"
#include "route/fair.h"

/* A request is held back after this many attempts without a result, because the
   caller disconnected or the target refused. Each of them reaches a target:
   after the third target that ended, the request may reach three more. */
#define MAX_INCONCLUSIVE_TRIES 2
/* An attempt that is open for longer no longer prevents another one: the
   instance that made it is lost or can't reach the store, since the longest
   requests take 15 s. */
#define MAX_OPEN_S 30.0
/* The same for a part, which many requests wait for. Its result comes within
   seconds, as its target begins to write an answer. */
#define PART_MAX_OPEN_S 5.0
/* An instance is taken for lost if it is no member this long after we learned
   of its trial. One that has just started may not be known at once. */
#define PART_LOST_WAIT_S 1.0
/* Trials in the store, so that one page of a listing, about five hundred
   objects, has them all. */
#define MAX_STORED_TRIALS 400

/* Trials that prove that a part ends targets. The second is not beside requests
   that were under way when the part became a suspect. */
#define MAX_PART_ENDS 2
/* Time between the first trials of a part, and between all others: each may end
   a target. */
#define PART_RETRY_S 1.0
#define PART_FIRST_TRIES 3
#define PART_LATER_RETRY_S 60.0

/* Time in which a part that was named, and has had no trial, may be cleared. */
#define PART_UNTRIED_WAIT_S 0.5

typedef struct TrialEntry {
  Trial trial;
  double updated_at; /* when we learned of this revision */
} TrialEntry;

struct Trials {
  GHashTable *entries; /* Digest -> TrialEntry */
  GArray *members;     /* uint64_t: text_hash of their ids */
};

Trials *trials_new(void) {
  Trials *t = g_new0(Trials, 1);
  t->entries =
      g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  t->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
  return t;
}

void trials_free(Trials *t) {
  g_hash_table_destroy(t->entries);
  g_array_free(t->members, TRUE);
  g_free(t);
}

static TrialEntry *find_entry(const Trials *t, Digest d) {
  return g_hash_table_lookup(t->entries, &d);
}

void trials_set(Trials *t, double now, const Trial *x) {
  TrialEntry *entry = find_entry(t, x->digest);
  if (entry && x->revision < entry->trial.revision) return;
  if (!entry) {
    entry = g_new0(TrialEntry, 1);
    entry->trial.digest = x->digest;
    g_hash_table_insert(t->entries, &entry->trial.digest, entry);
  }
  if (x->revision > entry->trial.revision) entry->updated_at = now;
  entry->trial = *x;
}

void trials_remove(Trials *t, Digest digest) {
  g_hash_table_remove(t->entries, &digest);
}

static gboolean is_missing(gpointer key, gpointer value, gpointer names) {
  (void)value;
  char text[DIGEST_TEXT_BYTES];
  digest_format(*(const Digest *)key, text);
  return !g_hash_table_contains(names, text);
}

bool trials_find(const Trials *t, Digest digest, Trial *x) {
  const TrialEntry *entry = find_entry(t, digest);
  if (entry) *x = entry->trial;
  return entry != NULL;
}

void trials_retain_only(Trials *t, GHashTable *names) {
  g_hash_table_foreach_remove(t->entries, is_missing, names);
}

bool trials_has_any(const Trials *t) {
  return g_hash_table_size(t->entries) > 0;
}

void trials_set_members(Trials *t, const View *v) {
  g_array_set_size(t->members, 0);
  for (int i = 0; i < v->n; i++) {
    uint64_t id = text_hash(v->list[i].id);
    g_array_append_val(t->members, id);
  }
}

/* == decisions == */

static bool is_member(const Trials *t, uint64_t instance) {
  for (guint i = 0; i < t->members->len; i++)
    if (g_array_index(t->members, uint64_t, i) == instance) return true;
  return false;
}

static bool is_lost(const Trials *t, uint64_t instance) {
  return instance != 0 && t->members->len > 0 && !is_member(t, instance);
}

/* Whether its attempt may still be in progress. */
static bool is_in_progress(const Trials *t, double now,
                           const TrialEntry *entry) {
  const Trial *x = &entry->trial;
  double age_s = now - entry->updated_at;
  if (!x->open) return false;
  if (!x->is_part) return age_s < MAX_OPEN_S;
  if (age_s >= PART_LOST_WAIT_S && is_lost(t, x->instance)) return false;
  return age_s < PART_MAX_OPEN_S;
}

/* Whether it was named, and no trial of it began. */
static bool is_new_part(const Trial *x) {
  return x->tries == 0 && x->by == 0;
}

static TrialsVerdict part_verdict(const TrialEntry *entry, double now,
                                  bool suspect) {
  const Trial *x = &entry->trial;
  double age_s = now - entry->updated_at;
  if (is_new_part(x))
    return suspect || age_s >= PART_UNTRIED_WAIT_S ? TRIALS_TRY : TRIALS_FREE;
  double wait_s =
      x->tries < PART_FIRST_TRIES ? PART_RETRY_S : PART_LATER_RETRY_S;
  if (x->ends >= MAX_PART_ENDS) return TRIALS_HELD;
  return age_s < wait_s ? TRIALS_BUSY : TRIALS_TRY;
}

TrialsVerdict trials_verdict(const Trials *t, double now, Digest digest,
                             bool suspect) {
  const TrialEntry *entry = find_entry(t, digest);
  if (!entry) return suspect ? TRIALS_TRY : TRIALS_FREE;
  if (is_in_progress(t, now, entry)) return TRIALS_BUSY;
  if (entry->trial.is_part) return part_verdict(entry, now, suspect);
  if (entry->trial.ended || entry->trial.tries >= MAX_INCONCLUSIVE_TRIES)
    return TRIALS_HELD;
  return TRIALS_TRY;
}

Trial trials_begin(const Trials *t, Digest digest, uint64_t owner,
                   int64_t unix_ms) {
  const TrialEntry *entry = find_entry(t, digest);
  Trial x = {.digest = digest, .owner = owner, .began = unix_ms};
  if (entry) x = entry->trial;
  x.open = true;
  x.tries++;
  return x;
}

Trial trials_close(const Trial *x, TrialsOutcome outcome) {
  Trial closed = *x;
  closed.open = false;
  closed.ended = outcome == TRIALS_ENDED;
  if (x->is_part && outcome == TRIALS_ENDED) closed.ends++;
  if (outcome == TRIALS_UNSENT) closed.tries--;
  return closed;
}

static FairEntry fair_entry_of(gconstpointer value) {
  const Trial *x = &((const TrialEntry *)value)->trial;
  return (FairEntry){
      .owner = x->owner, .rank = (double)x->began, .is_pinned = x->open};
}

bool trials_choose_evicted(const Trials *t, Trial *x) {
  if (g_hash_table_size(t->entries) < MAX_STORED_TRIALS) return false;
  const TrialEntry *victim = fair_choose_evicted(t->entries, fair_entry_of);
  if (victim) *x = victim->trial;
  return victim != NULL;
}

/* == in the store == */

json_t *trials_write(const Trial *x) {
  json_t *o = json_pack("{s:I,s:I,s:i,s:b,s:b,s:I}", "owner",
                        (json_int_t)x->owner, "by", (json_int_t)x->by, "tries",
                        x->tries, "open", (int)x->open, "ended", (int)x->ended,
                        "began", (json_int_t)x->began);
  if (!x->is_part) return o;
  json_object_set_new(o, "part_ends", json_integer(x->ends));
  json_object_set_new(o, "instance", json_integer((json_int_t)x->instance));
  return o;
}

bool trials_read(const char *name, const json_t *content, uint64_t revision,
                 Trial *x) {
  json_int_t owner, by, began;
  int tries, open, ended;
  if (!digest_parse(name, &x->digest)) return false;
  if (json_unpack((json_t *)content, "{s:I,s:I,s:i,s:b,s:b,s:I}", "owner",
                  &owner, "by", &by, "tries", &tries, "open", &open, "ended",
                  &ended, "began", &began) != 0)
    return false;
  x->revision = revision;
  x->owner = (uint64_t)owner;
  x->by = (uint64_t)by;
  x->tries = tries;
  x->open = open;
  x->ended = ended;
  const json_t *ends = json_object_get(content, "part_ends");
  x->is_part = json_is_integer(ends);
  x->ends = x->is_part ? (int)json_integer_value(ends) : 0;
  x->instance =
      (uint64_t)json_integer_value(json_object_get(content, "instance"));
  x->began = began;
  return true;
}
