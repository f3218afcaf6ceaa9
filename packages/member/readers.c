/* readers.c: the first few choices by rendezvous that are heard of. */
#include "member/readers.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "kernel/text.h"

#define KEY                                                                    \
  0x72656164          /* of the rendezvous: any number, the same everywhere    \
                       */
#define FORGET_S 60.0 /* an id that is not heard of again */

/* What an instance last said. */
typedef struct Word {
  double well; /* it read the store then, or was first looked for */
  double read; /* it read the store then; 0: it never said so */
  double away; /* the store did not answer it then; 0: it never said so */
} Word;

struct Readers {
  char self[LIMIT_ID_BYTES];
  char region[LIMIT_NAME_BYTES];
  GHashTable *heard; /* id -> Word */
  double phase;      /* 0 to 1: our place in a round of all */
  double served;     /* when the store last answered us */
  double refused;    /* it last took somebody's connection and did not answer */
  double knock_at, ask_at; /* not before */
  int members;             /* of the fleet */
  bool small;              /* the fleet */
  int n;
  char choice[VIEW_MAX_HOMES][LIMIT_ID_BYTES]; /* the first ones, of `n` */
};

Readers *readers_new(const char *self, const char *region) {
  Readers *r = g_new0(Readers, 1);
  g_strlcpy(r->self, self, sizeof r->self);
  g_strlcpy(r->region, region, sizeof r->region);
  r->phase = (double)text_hash(self) / (double)UINT64_MAX;
  r->served = r->refused = -INFINITY;
  r->small = true;
  r->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void readers_free(Readers *r) {
  g_hash_table_destroy(r->heard);
  g_free(r);
}

static Word *word_of(Readers *r, double now, const char *id) {
  Word *w = g_hash_table_lookup(r->heard, id);
  if (w) return w;
  w = g_new0(Word, 1);
  w->well = now;
  g_hash_table_insert(r->heard, g_strdup(id), w);
  return w;
}

/* Seconds of a round in which each instance asks the store once. */
static double round_s(const Readers *r) {
  return MAX(READERS_PROBE_INTERVAL_S, r->members / READERS_FLEET_CALLS_PER_S);
}

/* The store takes connections and does not answer there. */
static void note_refused(Readers *r, double now) {
  bool first = now - r->refused >= READERS_TIMEOUT_S;
  if (first) r->ask_at = now + r->phase * round_s(r);
  r->refused = now;
}

void readers_note_report(Readers *r, double now, const char *id,
                         ReadersStoreResult word) {
  Word *w = word_of(r, now, id);
  if (word == READERS_STORE_ANSWERED) {
    w->well = w->read = now;
    w->away = 0;
    return;
  }
  if (word == READERS_STORE_REFUSED) note_refused(r, now);
  w->well = now - READERS_TIMEOUT_S;
  w->read = 0;
  w->away = now;
}

void readers_note_own_call(Readers *r, double now, ReadersStoreResult word) {
  if (word == READERS_STORE_ANSWERED) r->served = now;
  if (word == READERS_STORE_REFUSED) note_refused(r, now);
}

bool readers_probe_is_due(Readers *r, double now) {
  if (now < r->knock_at) return false;
  r->knock_at = now + READERS_PROBE_INTERVAL_S;
  return true;
}

bool readers_request_is_due(Readers *r, double now) {
  bool refused = now - r->refused < READERS_TIMEOUT_S;
  if (refused && now < r->ask_at) return false;
  r->ask_at = now + round_s(r);
  return true;
}

static gboolean is_old(gpointer id, gpointer word, gpointer now) {
  (void)id;
  const Word *w = word;
  return *(double *)now - MAX(w->well, w->away) > FORGET_S;
}

void readers_update_view(Readers *r, const View *v) {
  const Member *first[VIEW_MAX_HOMES];
  r->members = v->n;
  r->small = v->n < FLEET_SMALL_INSTANCES;
  r->n = view_homes(v, r->region, KEY, first, VIEW_MAX_HOMES);
  for (int i = 0; i < r->n; i++)
    g_strlcpy(r->choice[i], first[i]->id, LIMIT_ID_BYTES);
}

/* The store answers us and not the first choices: we read in their place,
   unless enough others do who come before us by their ids. */
static bool steps_in(const Readers *r, double now) {
  int before = 0;
  GHashTableIter it;
  gpointer id, word;
  if (now - r->served >= READERS_TIMEOUT_S) return false;
  g_hash_table_iter_init(&it, r->heard);
  while (g_hash_table_iter_next(&it, &id, &word)) {
    const Word *w = word;
    bool reads = w->read > 0 && now - w->read < READERS_TIMEOUT_S;
    before += reads && strcmp(id, r->self) < 0;
  }
  return before < READERS_PER_REGION;
}

ReadersDuty readers_duty(Readers *r, double now) {
  int well = 0, away = 0;
  if (r->small) return READERS_DUTY_OWN;
  g_hash_table_foreach_remove(r->heard, is_old, &now);
  for (int i = 0; well < READERS_PER_REGION && well + away < READERS_MAX_TRYING;
       i++) {
    /* We leave, or nobody of the first choices is heard. */
    if (i == r->n) return READERS_DUTY_OWN;
    if (strcmp(r->choice[i], r->self) == 0) return READERS_DUTY_ALL;
    /* Whoever was not looked for before has its time to speak. */
    const Word *w = word_of(r, now, r->choice[i]);
    well += now - w->well < READERS_TIMEOUT_S;
    away += w->away > 0 && now - w->away < READERS_TIMEOUT_S;
  }
  /* Only the first choices' own words count here: at the end of an outage all
     instances are answered at once, and would all begin to read. */
  if (well < READERS_PER_REGION && steps_in(r, now)) return READERS_DUTY_ALL;
  return READERS_DUTY_NONE;
}
