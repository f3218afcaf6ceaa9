/* tallies.c: the counter of a group of targets is the member that view_home
   selects first for the group's name. */
#include "fleet/tallies.h"

#include <string.h>

struct Tallies {
  Peer *peer;
  const Regions *regions;
  char self[LIMIT_ID_BYTES];
  uint64_t self_hash; /* text_hash of `self` */
  Tally *tally;
  const View *view;
  GHashTable *counters; /* group name -> Member of `view`; a cache */
  TalliesEvents ev;
  void *ctx;
};

static bool find_target(void *ctx, uint64_t target, TallyTarget *out);

Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     const TalliesEvents *ev, void *ctx) {
  Tallies *t = g_new0(Tallies, 1);
  t->peer = peer;
  t->regions = regions;
  t->self_hash = text_hash(self);
  t->tally = tally_new();
  tally_set_find_target(t->tally, find_target, t);
  t->counters =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  t->ev = *ev;
  t->ctx = ctx;
  g_strlcpy(t->self, self, sizeof t->self);
  return t;
}

void tallies_free(Tallies *t) {
  tally_free(t->tally);
  g_hash_table_destroy(t->counters);
  g_free(t);
}

/* Returns the counter for a group name; NULL: no member is known. */
static const Member *counter_of(Tallies *t, uint64_t name) {
  if (!t->view) return NULL;
  const Member *m = g_hash_table_lookup(t->counters, &name);
  if (m) return m;
  m = view_home(t->view, NULL, name, 0);
  if (m)
    g_hash_table_insert(t->counters, g_memdup2(&name, sizeof name),
                        (gpointer)m);
  return m;
}

static bool is_self(const Tallies *t, const Member *m) {
  return strcmp(m->id, t->self) == 0;
}

static bool counts_here(void *ctx, uint64_t name) {
  Tallies *t = ctx;
  const Member *m = counter_of(t, name);
  return m && is_self(t, m);
}

static bool find_target(void *ctx, uint64_t target, TallyTarget *out) {
  Tallies *t = ctx;
  if (!t->ev.find_target(t->ctx, target, out)) return false;
  out->ours = counts_here(t, out->counter);
  return true;
}

static bool counts_nowhere(void *ctx, uint64_t name) {
  (void)ctx;
  (void)name;
  return false;
}

void tallies_set_members(Tallies *t, double now, const View *v) {
  t->view = v;
  g_hash_table_remove_all(t->counters);
  tally_set_members(t->tally, now, v->n, counts_here, t);
}

void tallies_note_pause(Tallies *t, double now) {
  if (t->view)
    tally_set_members(t->tally, now, t->view->n, counts_nowhere, NULL);
}

static TallyParts parts_allowed_at(const Tallies *t, const Member *m,
                                   const TallyParts *parts, RegionSet allowed) {
  return tally_allowed_parts(parts, allowed,
                             regions_by_name(t->regions, m->region));
}

void tallies_request_tally(Tallies *t, double now, const TallyQuery *a) {
  const Member *m = counter_of(t, a->counter);
  if (!m) return;
  if (!is_self(t, m)) {
    TallyQuery out = *a;
    out.parts = parts_allowed_at(t, m, &a->parts, a->regions);
    peer_send_tally_query(t->peer, m->peer, m->id, &out);
    return;
  }
  TallyRate rate;
  if (tally_rate(t->tally, now, a, &rate)) t->ev.rate_received(t->ctx, &rate);
  TallyReport w = tally_report(t->tally, now, a);
  t->ev.tally_received(t->ctx, &w);
}

static void answer_query(Tallies *t, double now, const Member *from,
                         const TallyQuery *a) {
  TallyRate rate;
  if (tally_rate(t->tally, now, a, &rate))
    peer_send_rate(t->peer, from->peer, from->id, &rate);
  TallyReport w = tally_report(t->tally, now, a);
  peer_send_tally_report(t->peer, from->peer, from->id, &w);
}

bool tallies_pool_state(Tallies *t, double now, uint64_t pool,
                        TallyPoolState *out) {
  return tally_pool_state(t->tally, now, pool, out);
}

void tallies_report_run(Tallies *t, double now, const TallyRun *r) {
  const Member *m = counter_of(t, r->counter);
  if (!m) return;
  if (is_self(t, m)) {
    tally_apply_run(t->tally, now, t->self_hash, r);
    return;
  }
  TallyRun out = *r;
  out.parts = parts_allowed_at(t, m, &r->parts, r->regions);
  peer_send_tally_run(t->peer, m->peer, m->id, &out);
}

void tallies_request_permit(Tallies *t, double now,
                            const TallyPermitRequest *a) {
  const Member *m = counter_of(t, a->counter);
  if (!m) return;
  if (!is_self(t, m)) {
    peer_send_permit_request(t->peer, m->peer, m->id, a);
    return;
  }
  TallyPermit p = tally_decide_permit(t->tally, now, t->self_hash, a);
  t->ev.permit_answered(t->ctx, &p);
}

void tallies_report_limit(Tallies *t, double now, const TallyLimit *m) {
  const Member *to = counter_of(t, m->counter);
  if (!to) return;
  if (is_self(t, to)) {
    tally_set_limit(t->tally, now, m);
    return;
  }
  CodecLimit packet = {.msg = *m};
  peer_send_limit(t->peer, to->peer, to->id, &packet);
}

bool tallies_next_limit(Tallies *t, double now, double resend_s,
                        TallyLimit *m) {
  return tally_next_limit(t->tally, now, resend_s, m);
}

/* Only an instance that is the counter in its own view answers. If views differ
   and two instances receive the request in turn, one of them grants nothing. */
static void receive_permit_request(Tallies *t, double now, const Member *from,
                                   const TallyPermitRequest *a) {
  if (!counts_here(t, a->counter)) return;
  TallyPermit p = tally_decide_permit(t->tally, now, text_hash(from->id), a);
  peer_send_permit(t->peer, from->peer, from->id, &p);
}

bool tallies_receive(Tallies *t, double now, const Member *from,
                     const CodecMsg *m) {
  if (m->type == CODEC_TALLY_QUERY) {
    answer_query(t, now, from, &m->tally_query);
  } else if (m->type == CODEC_RATE) {
    t->ev.rate_received(t->ctx, &m->rate);
  } else if (m->type == CODEC_TALLY_REPORT) {
    t->ev.tally_received(t->ctx, &m->tally_report);
  } else if (m->type == CODEC_PERMIT_REQUEST) {
    receive_permit_request(t, now, from, &m->permit_request);
  } else if (m->type == CODEC_PERMIT) {
    t->ev.permit_answered(t->ctx, &m->permit);
  } else if (m->type == CODEC_LIMIT && !m->limit.to_all) {
    if (counts_here(t, m->limit.msg.counter))
      tally_set_limit(t->tally, now, &m->limit.msg);
  } else if (m->type == CODEC_TALLY_RUN) {
    tally_apply_run(t->tally, now, text_hash(from->id), &m->tally_run);
  } else {
    return false;
  }
  return true;
}

void tallies_remove_expired(Tallies *t, double now) {
  tally_sweep(t->tally, now);
}
