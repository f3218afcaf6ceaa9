/* readers.c: the first few choices by rendezvous that are heard of. */
#include "member/readers.h"

#include <glib.h>
#include <string.h>

#define KEY                                                                    \
  0x72656164          /* of the rendezvous: any number, the same everywhere    \
                       */
#define FORGET_S 60.0 /* an id that is not heard of again */

struct Readers {
  char self[LIMIT_ID];
  char region[LIMIT_NAME];
  GHashTable *heard; /* id -> double*, last word, or when first looked for */
};

Readers *readers_new(const char *self, const char *region) {
  Readers *r = g_new0(Readers, 1);
  g_strlcpy(r->self, self, sizeof r->self);
  g_strlcpy(r->region, region, sizeof r->region);
  r->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void readers_free(Readers *r) {
  g_hash_table_destroy(r->heard);
  g_free(r);
}

static double *word_of(Readers *r, double now, const char *id) {
  double *at = g_hash_table_lookup(r->heard, id);
  if (at) return at;
  at = g_memdup2(&now, sizeof now);
  g_hash_table_insert(r->heard, g_strdup(id), at);
  return at;
}

void readers_heard(Readers *r, double now, const char *id) {
  *word_of(r, now, id) = now;
}

static gboolean is_old(gpointer id, gpointer at, gpointer now) {
  (void)id;
  return *(double *)now - *(double *)at > FORGET_S;
}

ReadersDuty readers_duty(Readers *r, double now, const View *v) {
  if (v->n < FLEET_SMALL) return READERS_OWN;
  g_hash_table_foreach_remove(r->heard, is_old, &now);
  int found = 0;
  for (int rank = 0; found < READERS; rank++) {
    const Member *m = view_home(v, r->region, KEY, rank);
    if (!m) return READERS_OWN; /* we leave, and nobody else is heard */
    if (strcmp(m->id, r->self) == 0) return READERS_ALL;
    /* Whoever was not looked for before has its time to speak. */
    if (now - *word_of(r, now, m->id) < READERS_SILENT) found++;
  }
  return READERS_NOTHING;
}
