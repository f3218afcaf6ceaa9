/* claim.c: the home's side of claims. All queued queries for a shard go into
   one conditional update of its head; the first claim of a key wins. A full
   head is sealed into a part, and many small parts are merged into one.
   docs/ONCE.md. */
#include "once/state.h"

#include <string.h>

/* Claims are refused at once if the store has failed for this long. */
#define REFUSE_AFTER_FAILING_S 1.0

/* == shards == */

int claim_shard_index(OnceKey key) {
  return (int)(key.lo % LIMIT_CLAIM_SHARDS);
}

static void free_claim(gpointer p) {
  QueuedClaim *c = p;
  if (!c) return;
  free_claim(c->follow_up);
  once_answer_clear(&c->answer);
  g_free(c);
}

static ClaimShard *get_shard(Once *o, OnceKey key) {
  int i = claim_shard_index(key);
  ClaimShard *s = o->shards[i];
  if (!s) {
    s = o->shards[i] = g_new0(ClaimShard, 1);
    s->index = i;
    s->claims = g_ptr_array_new_with_free_func(free_claim);
    s->unlisted = g_array_new(FALSE, FALSE, sizeof(UnlistedPart));
    pace_init(&s->pace, CLAIM_SHARD_WRITES_PER_S, o->now);
  }
  s->used_at = o->now;
  return s;
}

void claim_shard_free(ClaimShard *s) {
  if (!s) return;
  claimdoc_free(s->doc);
  g_ptr_array_free(s->claims, TRUE);
  g_array_free(s->unlisted, TRUE);
  g_free(s);
}

static QueuedClaim *find_claim(const ClaimShard *s, uint64_t nonce) {
  for (guint i = 0; i < s->claims->len; i++) {
    QueuedClaim *c = s->claims->pdata[i];
    if (c->nonce == nonce) return c;
  }
  return NULL;
}

/* == applying one query to the document == */

static const ClaimEntry *find_entry(const Once *o, const ClaimShard *s,
                                    OnceKey key) {
  if (o->faults.ignore_parts) return g_hash_table_lookup(s->doc->entries, &key);
  return claimdoc_find(s->doc, key);
}

static OnceVerdict judge_entry(const Once *o, QueuedClaim *c,
                               const ClaimEntry *e) {
  if (e->digest != c->digest) return ONCE_MISMATCH;
  switch (e->state) {
  case CLAIM_RAN:
    c->answer = (OnceAnswer){.status = e->status,
                             .body = g_strdup(e->body),
                             .len = e->body ? strlen(e->body) : 0};
    g_strlcpy(c->answer.type, e->type, sizeof c->answer.type);
    return ONCE_REPLAY;
  case CLAIM_OPEN:
    return view_find(o->view, e->runner) ? ONCE_PENDING : ONCE_OUTCOME_UNKNOWN;
  default: return ONCE_OUTCOME_UNKNOWN;
  }
}

/* Each returns true if it changed the document. */

static bool apply_claim(Once *o, ClaimShard *s, QueuedClaim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  bool same_run = e && e->nonce == c->nonce;
  once_answer_clear(&c->answer);
  /* The reply to an earlier write was lost, or the run has released its claim
     since. */
  if (same_run) {
    c->verdict = e->state == CLAIM_RELEASED ? ONCE_NO_CLAIM : ONCE_RUN;
    return false;
  }
  if (e && e->state != CLAIM_RELEASED) {
    c->verdict = judge_entry(o, c, e);
    return false;
  }
  ClaimEntry *new = claimdoc_edit_entry(s->doc, c->key);
  new->nonce = c->nonce;
  new->digest = c->digest;
  new->unix_s = o->unix_s;
  new->state = CLAIM_OPEN;
  new->runner = g_intern_string(c->from);
  c->verdict = ONCE_RUN;
  return true;
}

static bool apply_outcome(Once *o, ClaimShard *s, const QueuedClaim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  if (!e || e->nonce != c->nonce || e->state != CLAIM_OPEN) return false;
  ClaimEntry *new = claimdoc_edit_entry(s->doc, c->key);
  const OnceAnswer *a = &c->answer;
  new->state = a->status ? CLAIM_RAN : CLAIM_UNKNOWN;
  new->status = a->status;
  new->type = g_intern_string(a->type);
  if (a->body) claimdoc_keep_body(s->doc, new, a->body, a->len);
  return true;
}

/* Records the release even if there is no claim: a delayed claim of the same
   run must not take effect, because no instance would ever run it. */
static bool apply_release(Once *o, ClaimShard *s, const QueuedClaim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  bool same_run = e && e->nonce == c->nonce;
  if (e && !same_run && e->state != CLAIM_RELEASED) return false;
  if (same_run && e->state != CLAIM_OPEN) return false;
  ClaimEntry *new = claimdoc_edit_entry(s->doc, c->key);
  new->nonce = c->nonce;
  new->digest = c->digest;
  new->unix_s = o->unix_s;
  new->state = CLAIM_RELEASED;
  new->runner = "";
  return true;
}

static bool apply_claims(Once *o, ClaimShard *s) {
  bool changed = false;
  for (guint i = 0; i < s->claims->len; i++) {
    QueuedClaim *c = s->claims->pdata[i];
    c->decided = true;
    switch (c->kind) {
    case ONCE_CLAIM: changed |= apply_claim(o, s, c); break;
    case ONCE_OUTCOME: changed |= apply_outcome(o, s, c); break;
    default: changed |= apply_release(o, s, c); break;
    }
  }
  return changed;
}

static void clear_decisions(ClaimShard *s) {
  for (guint i = 0; i < s->claims->len; i++)
    ((QueuedClaim *)s->claims->pdata[i])->decided = false;
}

/* == replies == */

static void send_verdict(Once *o, const QueuedClaim *c) {
  bool claim = c->kind == ONCE_CLAIM;
  OnceMsg m = {.kind = claim ? ONCE_CLAIM_REPLY : ONCE_OUTCOME_STORED,
               .key = c->key,
               .nonce = c->nonce,
               .verdict = c->verdict};
  if (claim && c->verdict == ONCE_REPLAY)
    m.answer = once_answer_copy(&c->answer, LIMIT_CLAIM_ANSWER_BYTES);
  once_send(o, c->from, &m);
}

/* Replies to the decided queries. Called once the document is known to equal
   the stored one. */
static void reply_to_decided(Once *o, ClaimShard *s) {
  s->backoff = s->failing_since = 0;
  for (guint i = 0; i < s->claims->len;) {
    QueuedClaim *c = s->claims->pdata[i];
    if (!c->decided) {
      i++;
      continue;
    }
    g_ptr_array_steal_index(s->claims, i);
    send_verdict(o, c);
    if (c->follow_up)
      g_ptr_array_add(s->claims, g_steal_pointer(&c->follow_up));
    free_claim(c);
  }
}

/* == phases of a shard == */

static void record_failure(Once *o, ClaimShard *s) {
  s->stale = true;
  clear_decisions(s);
  if (s->failing_since == 0) s->failing_since = o->now;
  s->retry_at = o->now + pace_backoff(&s->backoff, g_rand_double(o->rng));
}

/* A claim is urgent, because a request waits for it; outcomes and releases wait
   for a while so that several share a write. */
static bool is_write_due(const Once *o, const ClaimShard *s) {
  for (guint i = 0; i < s->claims->len; i++) {
    const QueuedClaim *c = s->claims->pdata[i];
    bool urgent = c->kind == ONCE_CLAIM || o->draining;
    if (urgent || o->now - c->received_at >= CLAIM_LINGER_S) return true;
  }
  return false;
}

static void advance_shard(Once *o, ClaimShard *s) {
  if (s->phase != SHARD_IDLE || o->now < s->retry_at || !is_write_due(o, s))
    return;
  if (!s->doc || s->stale) {
    claimio_read_head(o, s);
    return;
  }
  if (claimio_read_parts(o, s)) return;
  bool small = o->view->n <= MEMBER_SMALL_INSTANCES;
  pace_set_rate(&s->pace,
                small ? CLAIM_SHARD_WRITES_SMALL_FLEET_PER_S
                      : CLAIM_SHARD_WRITES_PER_S,
                o->now);
  Pace before = s->pace;
  double wait = pace_take(&s->pace, o->now, true);
  if (wait > 0) {
    s->retry_at = o->now + wait;
    return;
  }
  if (apply_claims(o, s)) {
    claimio_write(o, s);
    return;
  }
  s->pace = before; /* nothing is written: return the permission */
  if (s->read_since_claim) {
    reply_to_decided(o, s);
    return;
  }
  /* A cached document may be out of date: verdicts from it need a read. */
  clear_decisions(s);
  claimio_read_head(o, s);
}

static void receive_head(Once *o, ClaimShard *s, uint64_t version,
                         const char *text) {
  ClaimDoc *d = version < s->newest_version ? NULL /* a stale read */
                : text                      ? claimdoc_decode_head(text)
                                            : claimdoc_new();
  if (!d) {
    record_failure(o, s);
    return;
  }
  if (s->doc) claimdoc_adopt_parts(d, s->doc);
  claimdoc_free(s->doc);
  s->doc = d;
  s->version = s->newest_version = version;
  s->stale = false;
  s->read_since_claim = true;
  clear_decisions(s);
  claimio_delete_unlisted(o, s);
}

static ClaimPart *find_part(const ClaimShard *s, uint64_t id) {
  for (guint i = 0; i < s->doc->parts->len; i++) {
    ClaimPart *p = s->doc->parts->pdata[i];
    if (p->id == id) return p;
  }
  return NULL;
}

static void receive_part(Once *o, ClaimShard *s, uint64_t id,
                         const char *text) {
  ClaimPart *p = find_part(s, id);
  bool ok = p && text && claimdoc_decode_part(p, text);
  if (ok) p->first_read_at = o->now;
  s->part_failed |= !ok;
  if (--s->parts_reading > 0) {
    s->phase = SHARD_READING_PARTS;
    return;
  }
  if (s->part_failed)
    record_failure(o, s); /* the head may be out of date: read it again */
}

static void complete_write(Once *o, ClaimShard *s, uint64_t version) {
  s->version = s->newest_version = version;
  s->read_since_claim = false;
  claimio_delete_unlisted(o, s);
  reply_to_decided(o, s);
}

void claim_store_answered(Once *o, int shard, uint64_t part, ErrKind kind,
                          uint64_t version, const char *text) {
  ClaimShard *s = o->shards[shard];
  if (!s || s->phase == SHARD_IDLE) return;
  ShardPhase phase = s->phase;
  s->phase = SHARD_IDLE;
  bool ok = kind == ERR_NONE, absent = kind == ERR_STORE_ABSENT;
  if (phase == SHARD_READING_PARTS)
    receive_part(o, s, part, ok ? text : NULL);
  else if (phase == SHARD_READING_HEAD && (ok || absent))
    receive_head(o, s, absent ? 0 : version, absent ? NULL : text);
  else if (phase == SHARD_WRITING_PART && ok)
    claimio_write_head(o, s);
  else if (phase == SHARD_WRITING_HEAD && ok)
    complete_write(o, s, version);
  else if (phase == SHARD_WRITING_HEAD && kind == ERR_STORE_CONFLICT) {
    s->stale = true;
    clear_decisions(s);
  } else
    record_failure(o, s);
  advance_shard(o, s);
}

/* == queries from runners == */

static void send_refusal(Once *o, const char *to, const OnceMsg *m) {
  OnceMsg r = {.kind = ONCE_CLAIM_REPLY,
               .key = m->key,
               .nonce = m->nonce,
               .verdict = ONCE_NO_CLAIM};
  once_send(o, to, &r);
}

static QueuedClaim *new_claim(const Once *o, const char *from,
                              const OnceMsg *m) {
  QueuedClaim *c = g_new0(QueuedClaim, 1);
  *c = (QueuedClaim){
      .kind = m->kind,
      .key = m->key,
      .nonce = m->nonce,
      .digest = m->digest,
      .received_at = o->now,
      .answer = once_answer_copy(&m->answer, LIMIT_CLAIM_ANSWER_BYTES)};
  g_strlcpy(c->from, from, sizeof c->from);
  return c;
}

/* Handles a repeated query, or another query about a run whose last one is
   still queued. */
static void handle_repeat(Once *o, QueuedClaim *c, const char *from,
                          const OnceMsg *m) {
  OnceMsg held = {.kind = ONCE_CLAIM_QUEUED, .key = m->key, .nonce = m->nonce};
  if (m->kind != c->kind && m->kind != ONCE_CLAIM) {
    if (!c->decided) {
      c->kind = m->kind; /* the earlier query is not stored */
      once_answer_clear(&c->answer);
      c->answer = once_answer_copy(&m->answer, LIMIT_CLAIM_ANSWER_BYTES);
    } else if (!c->follow_up)
      c->follow_up = new_claim(o, from, m);
  }
  once_send(o, from, &held);
}

void claim_receive(Once *o, const char *from, const OnceMsg *m) {
  ClaimShard *s = get_shard(o, m->key);
  QueuedClaim *c = find_claim(s, m->nonce);
  if (c) {
    handle_repeat(o, c, from, m);
    return;
  }
  bool failing = s->failing_since > 0 &&
                 o->now - s->failing_since >= REFUSE_AFTER_FAILING_S;
  if (failing && m->kind == ONCE_CLAIM && o->now < s->retry_at) {
    send_refusal(o, from, m);
    return;
  }
  g_ptr_array_add(s->claims, new_claim(o, from, m));
  s->read_since_claim = false;
  advance_shard(o, s);
}

/* == time == */

/* Drops claims that have waited so long that their runners have given up. */
static void drop_expired_claims(Once *o, ClaimShard *s) {
  for (guint i = s->claims->len; i > 0; i--) {
    const QueuedClaim *c = s->claims->pdata[i - 1];
    bool late =
        c->kind == ONCE_CLAIM && o->now - c->received_at >= ONCE_CLAIM_WAIT_S;
    if (late && !c->decided) g_ptr_array_remove_index(s->claims, i - 1);
  }
}

void claim_tick(Once *o) {
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++) {
    ClaimShard *s = o->shards[i];
    if (!s) continue;
    drop_expired_claims(o, s);
    advance_shard(o, s);
    bool idle = s->phase == SHARD_IDLE && s->claims->len == 0;
    if (!idle || o->now - s->used_at < CLAIM_IDLE_S) continue;
    claim_shard_free(s);
    o->shards[i] = NULL;
  }
}

bool claim_is_drained(const Once *o) {
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++)
    if (o->shards[i] && o->shards[i]->claims->len > 0) return false;
  return true;
}
