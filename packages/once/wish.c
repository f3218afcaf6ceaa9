/* wish.c: claim queries, the runner's side of claims: choice of the home,
   resends, and the next home if one does not reply. */
#include "once/state.h"

#include <string.h>

#define NO_REPLY_WAIT_S 0.6     /* then the next home is queried */
#define QUEUED_CLAIM_WAIT_S 1.5 /* the same, if the home has queued a claim */
#define QUEUED_OUTCOME_WAIT_S 10.0 /* or an outcome, which no caller awaits */
#define UNRESPONSIVE_S 5.0 /* a home that did not reply is skipped so long */
#define MAX_RESEND_S 5.0   /* longest time between resends */
#define HOME_SALT 0x636c61696dULL

void claimquery_free(gpointer p) {
  ClaimQuery *w = p;
  once_answer_clear(&w->answer);
  g_free(w);
}

static ClaimQuery *find_query(const Once *o, uint64_t nonce) {
  return g_hash_table_lookup(o->queries, &nonce);
}

static void drop_query(Once *o, uint64_t nonce) {
  g_hash_table_remove(o->queries, &nonce);
}

/* == choice of the home == */

static bool is_unresponsive(const Once *o, int shard, const char *id) {
  const UnresponsiveHome *q = &o->unresponsive[shard];
  return o->now < q->until && strcmp(q->id, id) == 0;
}

/* Picks the shard's home in the whole fleet; if that one is unresponsive or
   gone, the home within the region; otherwise this instance. Any instance may
   act as home: a common one only saves writes. `previous`: the home that did
   not reply, or "". */
static const char *pick_home(const Once *o, OnceKey key, const char *previous) {
  int shard = claim_shard_index(key);
  const char *regions[] = {NULL, o->region};
  bool passed = previous[0] == '\0';
  for (int i = 0; i < 2; i++) {
    const Member *m =
        view_home(o->view, regions[i], HOME_SALT + (uint64_t)shard, 0);
    if (!m) continue;
    bool same = strcmp(m->id, previous) == 0;
    if (passed && !same && !is_unresponsive(o, shard, m->id)) return m->id;
    passed |= same;
  }
  return o->self;
}

static void send_query(Once *o, ClaimQuery *w) {
  OnceMsg m = {.kind = w->kind,
               .key = w->key,
               .nonce = w->nonce,
               .digest = w->digest,
               .answer = once_answer_copy(&w->answer, LIMIT_CLAIM_ANSWER)};
  w->sent_at = o->now;
  once_send(o, w->to, &m);
}

static void assign_home(Once *o, ClaimQuery *w, const char *id) {
  w->sent_to_several |= w->to[0] && strcmp(w->to, id) != 0;
  g_strlcpy(w->to, id, sizeof w->to);
  w->assigned_at = o->now;
  w->queued = false;
  w->resend_s = ONCE_RESEND;
  send_query(o, w);
}

static void assign_next_home(Once *o, ClaimQuery *w) {
  if (strcmp(w->to, o->self) == 0) { /* all were queried: start again */
    assign_home(o, w, pick_home(o, w->key, ""));
    return;
  }
  UnresponsiveHome *q = &o->unresponsive[claim_shard_index(w->key)];
  if (!w->queued) {
    g_strlcpy(q->id, w->to, sizeof q->id);
    q->until = o->now + UNRESPONSIVE_S;
  }
  assign_home(o, w, pick_home(o, w->key, w->to));
}

/* == queries == */

static ClaimQuery *add_query(Once *o, const Run *r, OnceMsgKind kind) {
  ClaimQuery *w = g_new0(ClaimQuery, 1);
  *w = (ClaimQuery){.kind = kind,
                    .key = r->key,
                    .nonce = r->nonce,
                    .digest = r->digest,
                    .handle = r->handle};
  g_hash_table_replace(o->queries, &w->nonce, w);
  return w;
}

void claimquery_claim(Once *o, const Run *r) {
  assign_home(o, add_query(o, r, ONCE_CLAIM), pick_home(o, r->key, ""));
}

void claimquery_outcome(Once *o, const Run *r) {
  ClaimQuery *w = add_query(o, r, ONCE_OUTCOME);
  const OnceAnswer *a = &r->answer;
  w->answer =
      r->unknown ? (OnceAnswer){0} : once_answer_copy(a, LIMIT_CLAIM_ANSWER);
  bool text = w->answer.body &&
              g_utf8_validate(w->answer.body, (gssize)w->answer.len, NULL);
  if (!text) {
    g_clear_pointer(&w->answer.body, g_free);
    w->answer.len = 0;
  }
  assign_home(o, w, pick_home(o, r->key, ""));
}

void claimquery_release(Once *o, const Run *r) {
  ClaimQuery *w = find_query(o, r->nonce);
  if (!w) {
    assign_home(o, add_query(o, r, ONCE_RELEASE), pick_home(o, r->key, ""));
    return;
  }
  w->kind = ONCE_RELEASE; /* goes first to the home that has the claim */
  assign_home(o, w, w->to);
}

/* == replies == */

static void clear_unresponsive(Once *o, const ClaimQuery *w, const char *from) {
  UnresponsiveHome *q = &o->unresponsive[claim_shard_index(w->key)];
  if (strcmp(q->id, from) == 0) q->until = 0;
}

void claimquery_decided(Once *o, const char *from, const OnceMsg *m) {
  ClaimQuery *w = find_query(o, m->nonce);
  if (!w || w->kind != ONCE_CLAIM) return; /* late reply to a released claim */
  clear_unresponsive(o, w, from);
  uint64_t handle = w->handle, nonce = w->nonce;
  /* This home refused the claim, but another one may still store it: release
     it. */
  if (m->verdict == ONCE_NO_CLAIM && w->sent_to_several) {
    w->kind = ONCE_RELEASE;
    assign_home(o, w, w->to);
  } else
    drop_query(o, nonce);
  run_claim_decided(o, handle, nonce, m->verdict, &m->answer);
}

void claimquery_queued(Once *o, const char *from, const OnceMsg *m) {
  ClaimQuery *w = find_query(o, m->nonce);
  if (!w || strcmp(w->to, from) != 0) return;
  clear_unresponsive(o, w, from);
  w->queued = true;
}

void claimquery_stored(Once *o, const char *from, const OnceMsg *m) {
  const ClaimQuery *w = find_query(o, m->nonce);
  if (!w || w->kind == ONCE_CLAIM) return;
  clear_unresponsive(o, w, from);
  drop_query(o, m->nonce);
}

/* == time == */

static double wait_limit_s(const ClaimQuery *w) {
  if (!w->queued) return NO_REPLY_WAIT_S;
  return w->kind == ONCE_CLAIM ? QUEUED_CLAIM_WAIT_S : QUEUED_OUTCOME_WAIT_S;
}

static void tick_query(Once *o, ClaimQuery *w) {
  bool us = strcmp(w->to, o->self) == 0;
  if (!us && !view_find(o->view, w->to)) {
    assign_home(o, w, pick_home(o, w->key, ""));
    return;
  }
  if (o->now - w->assigned_at >= wait_limit_s(w)) {
    assign_next_home(o, w);
    return;
  }
  if (o->now - w->sent_at < w->resend_s) return;
  w->resend_s = MIN(w->resend_s * 2, MAX_RESEND_S);
  send_query(o, w);
}

void claimquery_tick(Once *o) {
  GList *all = g_hash_table_get_values(o->queries);
  for (GList *i = all; i; i = i->next) tick_query(o, i->data);
  g_list_free(all);
}
