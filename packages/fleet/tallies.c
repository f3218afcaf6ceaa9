/* tallies.c: targets are counted by the first choice of their group's name
   among the members. */
#include "fleet/tallies.h"

#include <string.h>

struct Tallies {
  Peer *peer;
  const Regions *regions;
  char self[LIMIT_ID];
  uint64_t hash; /* of `self` */
  Tally *tally;
  const View *view;
  GHashTable *counter; /* its name -> Member of `view`, as far as asked for */
  void (*told)(void *ctx, const TallyWord *w);
  void *ctx;
};

Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     void (*told)(void *ctx, const TallyWord *w), void *ctx) {
  Tallies *t = g_new0(Tallies, 1);
  t->peer = peer;
  t->regions = regions;
  t->hash = text_hash(self);
  t->tally = tally_new();
  t->counter = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  t->told = told;
  t->ctx = ctx;
  g_strlcpy(t->self, self, sizeof t->self);
  return t;
}

void tallies_free(Tallies *t) {
  tally_free(t->tally);
  g_hash_table_destroy(t->counter);
  g_free(t);
}

void tallies_view(Tallies *t, const View *v) {
  t->view = v;
  g_hash_table_remove_all(t->counter);
}

/* Who counts, by that name; NULL: nobody is known. */
static const Member *counter_of(Tallies *t, uint64_t name) {
  if (!t->view) return NULL;
  const Member *m = g_hash_table_lookup(t->counter, &name);
  if (m) return m;
  m = view_home(t->view, NULL, name, 0);
  if (m)
    g_hash_table_insert(t->counter, g_memdup2(&name, sizeof name), (gpointer)m);
  return m;
}

static bool is_self(const Tallies *t, const Member *m) {
  return strcmp(m->id, t->self) == 0;
}

static TallyParts parts_to(const Tallies *t, const Member *m,
                           const TallyParts *parts, RegionSet allowed) {
  return tally_parts_to(parts, allowed, regions_named(t->regions, m->region));
}

void tallies_ask(Tallies *t, double now, const TallyAsk *a) {
  const Member *m = counter_of(t, a->counter);
  if (!m) return;
  if (!is_self(t, m)) {
    TallyAsk out = *a;
    out.parts = parts_to(t, m, &a->parts, a->regions);
    peer_tally_ask(t->peer, m->peer, m->id, &out);
    return;
  }
  TallyWord w = tally_word(t->tally, now, a);
  t->told(t->ctx, &w);
}

void tallies_tell(Tallies *t, double now, const TallyRun *r) {
  const Member *m = counter_of(t, r->counter);
  if (!m) return;
  if (is_self(t, m)) {
    tally_take(t->tally, now, t->hash, r);
    return;
  }
  TallyRun out = *r;
  out.parts = parts_to(t, m, &r->parts, r->regions);
  peer_tally_run(t->peer, m->peer, m->id, &out);
}

bool tallies_take(Tallies *t, double now, const Member *from,
                  const CodecMsg *m) {
  if (m->type == CODEC_TALLY_ASK) {
    TallyWord w = tally_word(t->tally, now, &m->tally_ask);
    peer_tally_word(t->peer, from->peer, from->id, &w);
  } else if (m->type == CODEC_TALLY_WORD) {
    t->told(t->ctx, &m->tally_word);
  } else if (m->type == CODEC_TALLY_RUN) {
    tally_take(t->tally, now, text_hash(from->id), &m->tally_run);
  } else {
    return false;
  }
  return true;
}

void tallies_sweep(Tallies *t, double now) {
  tally_sweep(t->tally, now);
}
