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
  ClaimQuery *query = p;
  once_answer_clear(&query->answer);
  g_free(query);
}

static ClaimQuery *find_query(const Once *o, uint64_t nonce) {
  return g_hash_table_lookup(o->queries, &nonce);
}

static void drop_query(Once *o, uint64_t nonce) {
  g_hash_table_remove(o->queries, &nonce);
}

/* == choice of the home == */

static bool is_unresponsive(const Once *o, int shard, const char *id) {
  const UnresponsiveHome *home = &o->unresponsive[shard];
  return o->now < home->until && strcmp(home->id, id) == 0;
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

static void send_query(Once *o, ClaimQuery *query) {
  OnceMsg m = {.kind = query->kind,
               .key = query->key,
               .nonce = query->nonce,
               .digest = query->digest,
               .answer =
                   once_answer_copy(&query->answer, LIMIT_CLAIM_ANSWER_BYTES)};
  query->sent_at = o->now;
  once_send(o, query->to, &m);
}

static void assign_home(Once *o, ClaimQuery *query, const char *id) {
  query->sent_to_several |= query->to[0] && strcmp(query->to, id) != 0;
  g_strlcpy(query->to, id, sizeof query->to);
  query->assigned_at = o->now;
  query->queued = false;
  query->resend_s = ONCE_RESEND_S;
  send_query(o, query);
}

static void assign_next_home(Once *o, ClaimQuery *query) {
  if (strcmp(query->to, o->self) == 0) { /* all were queried: start again */
    assign_home(o, query, pick_home(o, query->key, ""));
    return;
  }
  UnresponsiveHome *home = &o->unresponsive[claim_shard_index(query->key)];
  if (!query->queued) {
    g_strlcpy(home->id, query->to, sizeof home->id);
    home->until = o->now + UNRESPONSIVE_S;
  }
  assign_home(o, query, pick_home(o, query->key, query->to));
}

/* == queries == */

static ClaimQuery *add_query(Once *o, const Run *r, OnceMsgKind kind) {
  ClaimQuery *query = g_new0(ClaimQuery, 1);
  *query = (ClaimQuery){.kind = kind,
                        .key = r->key,
                        .nonce = r->nonce,
                        .digest = r->digest,
                        .handle = r->handle};
  g_hash_table_replace(o->queries, &query->nonce, query);
  return query;
}

void claimquery_claim(Once *o, const Run *r) {
  assign_home(o, add_query(o, r, ONCE_CLAIM), pick_home(o, r->key, ""));
}

void claimquery_outcome(Once *o, const Run *r) {
  ClaimQuery *query = add_query(o, r, ONCE_OUTCOME);
  const OnceAnswer *a = &r->answer;
  query->answer = r->unknown ? (OnceAnswer){0}
                             : once_answer_copy(a, LIMIT_CLAIM_ANSWER_BYTES);
  bool text =
      query->answer.body &&
      g_utf8_validate(query->answer.body, (gssize)query->answer.len, NULL);
  if (!text) {
    g_clear_pointer(&query->answer.body, g_free);
    query->answer.len = 0;
  }
  assign_home(o, query, pick_home(o, r->key, ""));
}

void claimquery_release(Once *o, const Run *r) {
  ClaimQuery *query = find_query(o, r->nonce);
  if (!query) {
    assign_home(o, add_query(o, r, ONCE_RELEASE), pick_home(o, r->key, ""));
    return;
  }
  query->kind = ONCE_RELEASE; /* sent first to the home that has the claim */
  assign_home(o, query, query->to);
}

/* == replies == */

static void clear_unresponsive(Once *o, const ClaimQuery *query,
                               const char *from) {
  UnresponsiveHome *home = &o->unresponsive[claim_shard_index(query->key)];
  if (strcmp(home->id, from) == 0) home->until = 0;
}

void claimquery_decided(Once *o, const char *from, const OnceMsg *m) {
  ClaimQuery *query = find_query(o, m->nonce);
  if (!query || query->kind != ONCE_CLAIM)
    return; /* late reply to a released claim */
  clear_unresponsive(o, query, from);
  uint64_t handle = query->handle, nonce = query->nonce;
  /* This home refused the claim, but another one may still store it: release
     it. */
  if (m->verdict == ONCE_NO_CLAIM && query->sent_to_several) {
    query->kind = ONCE_RELEASE;
    assign_home(o, query, query->to);
  } else
    drop_query(o, nonce);
  run_claim_decided(o, handle, nonce, m->verdict, &m->answer);
}

void claimquery_queued(Once *o, const char *from, const OnceMsg *m) {
  ClaimQuery *query = find_query(o, m->nonce);
  if (!query || strcmp(query->to, from) != 0) return;
  clear_unresponsive(o, query, from);
  query->queued = true;
}

void claimquery_stored(Once *o, const char *from, const OnceMsg *m) {
  const ClaimQuery *query = find_query(o, m->nonce);
  if (!query || query->kind == ONCE_CLAIM) return;
  clear_unresponsive(o, query, from);
  drop_query(o, m->nonce);
}

/* == time == */

static double wait_limit_s(const ClaimQuery *query) {
  if (!query->queued) return NO_REPLY_WAIT_S;
  return query->kind == ONCE_CLAIM ? QUEUED_CLAIM_WAIT_S
                                   : QUEUED_OUTCOME_WAIT_S;
}

static void tick_query(Once *o, ClaimQuery *query) {
  bool us = strcmp(query->to, o->self) == 0;
  if (!us && !view_find(o->view, query->to)) {
    assign_home(o, query, pick_home(o, query->key, ""));
    return;
  }
  if (o->now - query->assigned_at >= wait_limit_s(query)) {
    assign_next_home(o, query);
    return;
  }
  if (o->now - query->sent_at < query->resend_s) return;
  query->resend_s = MIN(query->resend_s * 2, MAX_RESEND_S);
  send_query(o, query);
}

void claimquery_tick(Once *o) {
  GList *all = g_hash_table_get_values(o->queries);
  for (GList *i = all; i; i = i->next) tick_query(o, i->data);
  g_list_free(all);
}
