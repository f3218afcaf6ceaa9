/* trials.c: what the store says of trials. */
#include "route/trials.h"

#include "route/fair.h"

/* Tries that may tell nothing, as the caller left or the target refused it:
   each of them comes to a target, and three more may after the third that
   ended. */
#define TRIES_MOST 2
/* Seconds after which whoever tries it has been lost, or can't reach the store,
   and another one may: the longest request of the users' sheets has 15. */
#define OPEN_MOST_S 30.0
/* Objects in the store: a page of a listing has some five hundred. */
#define OBJECTS_MOST 400

typedef struct Kept {
  Trial trial;
  double since; /* it is open from then on, as known here */
} Kept;

struct Trials {
  GHashTable *all; /* Digest -> Kept */
};

Trials *trials_new(void) {
  Trials *t = g_new0(Trials, 1);
  t->all = g_hash_table_new_full(digest_hash, digest_equal_keys, NULL, g_free);
  return t;
}

void trials_free(Trials *t) {
  g_hash_table_destroy(t->all);
  g_free(t);
}

static Kept *find(const Trials *t, Digest d) {
  return g_hash_table_lookup(t->all, &d);
}

void trials_set(Trials *t, double now, const Trial *x) {
  Kept *k = find(t, x->digest);
  if (k && x->revision < k->trial.revision) return;
  if (!k) {
    k = g_new0(Kept, 1);
    k->trial.digest = x->digest;
    g_hash_table_insert(t->all, &k->trial.digest, k);
  }
  if (x->revision > k->trial.revision) k->since = now;
  k->trial = *x;
}

void trials_gone(Trials *t, Digest digest) {
  g_hash_table_remove(t->all, &digest);
}

static gboolean is_missing(gpointer key, gpointer value, gpointer names) {
  (void)value;
  char text[DIGEST_TEXT_BYTES];
  digest_format(*(const Digest *)key, text);
  return !g_hash_table_contains(names, text);
}

void trials_only(Trials *t, GHashTable *names) {
  g_hash_table_foreach_remove(t->all, is_missing, names);
}

bool trials_any(const Trials *t) {
  return g_hash_table_size(t->all) > 0;
}

/* == decisions == */

TrialsVerdict trials_verdict(const Trials *t, double now, Digest digest,
                             bool suspect) {
  const Kept *k = find(t, digest);
  if (!k) return suspect ? TRIALS_TRY : TRIALS_FREE;
  if (k->trial.open && now - k->since < OPEN_MOST_S) return TRIALS_BUSY;
  if (k->trial.ended || k->trial.tries >= TRIES_MOST) return TRIALS_HELD;
  return TRIALS_TRY;
}

Trial trials_begin(const Trials *t, Digest digest, uint64_t owner,
                   int64_t unix_ms) {
  const Kept *k = find(t, digest);
  Trial x = {.digest = digest, .owner = owner, .began = unix_ms};
  if (k) x = k->trial;
  x.open = true;
  x.tries++;
  return x;
}

Trial trials_close(const Trial *x, TrialsOutcome outcome) {
  Trial closed = *x;
  closed.open = false;
  closed.ended = outcome == TRIALS_ENDED;
  if (outcome == TRIALS_UNSENT) closed.tries--;
  return closed;
}

static FairEntry look(gconstpointer value) {
  const Trial *x = &((const Kept *)value)->trial;
  return (FairEntry){
      .owner = x->owner, .age = (double)x->began, .keep = x->open};
}

bool trials_shed(const Trials *t, Trial *x) {
  if (g_hash_table_size(t->all) < OBJECTS_MOST) return false;
  const Kept *victim = fair_victim(t->all, look);
  if (victim) *x = victim->trial;
  return victim != NULL;
}

/* == in the store == */

json_t *trials_write(const Trial *x) {
  return json_pack("{s:I,s:I,s:i,s:b,s:b,s:I}", "owner", (json_int_t)x->owner,
                   "by", (json_int_t)x->by, "tries", x->tries, "open",
                   (int)x->open, "ended", (int)x->ended, "began",
                   (json_int_t)x->began);
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
  x->began = began;
  return true;
}
