/* claim.c: the home's side of claims. All wishes for a shard go into one
   conditional update of its head; the first claim of a key stands. A full head
   is sealed into a part, and many small parts are joined into one.
   docs/ONCE.md. */
#include "once/state.h"

#include <string.h>

#define FAILING_S 1.0 /* a store that fails for so long refuses at once */

/* == shards == */

int claim_shard(OnceKey key) {
  return (int)(key.lo % LIMIT_CLAIM_SHARDS);
}

static void claim_free(gpointer p) {
  Claim *c = p;
  if (!c) return;
  claim_free(c->next);
  once_answer_clear(&c->answer);
  g_free(c);
}

static ClaimShard *shard_of(Once *o, OnceKey key) {
  int i = claim_shard(key);
  ClaimShard *s = o->shards[i];
  if (!s) {
    s = o->shards[i] = g_new0(ClaimShard, 1);
    s->index = i;
    s->claims = g_ptr_array_new_with_free_func(claim_free);
    s->loose = g_array_new(FALSE, FALSE, sizeof(Loose));
    pace_init(&s->pace, CLAIM_SHARD_WRITES_PER_S, o->now);
  }
  s->used = o->now;
  return s;
}

void claim_shard_free(ClaimShard *s) {
  if (!s) return;
  claimdoc_free(s->doc);
  g_ptr_array_free(s->claims, TRUE);
  g_array_free(s->loose, TRUE);
  g_free(s);
}

static Claim *find_claim(const ClaimShard *s, uint64_t nonce) {
  for (guint i = 0; i < s->claims->len; i++) {
    Claim *c = s->claims->pdata[i];
    if (c->nonce == nonce) return c;
  }
  return NULL;
}

/* == one wish and the document == */

static const ClaimEntry *find_entry(const Once *o, const ClaimShard *s,
                                    OnceKey key) {
  if (o->faults.no_parts) return g_hash_table_lookup(s->doc->entries, &key);
  return claimdoc_find(s->doc, key);
}

static OnceVerdict judge(const Once *o, Claim *c, const ClaimEntry *e) {
  if (e->digest != c->digest) return ONCE_MISMATCH;
  switch (e->state) {
  case CLAIM_RAN:
    c->answer = (OnceAnswer){.status = e->status,
                             .body = g_strdup(e->body),
                             .len = e->body ? strlen(e->body) : 0};
    g_strlcpy(c->answer.type, e->type, sizeof c->answer.type);
    return ONCE_REPLAY;
  case CLAIM_OPEN: return view_find(o->view, e->by) ? ONCE_PENDING : ONCE_MAYBE;
  default: return ONCE_MAYBE;
  }
}

/* Each returns true when the document was changed. */

static bool take(Once *o, ClaimShard *s, Claim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  bool ours = e && e->nonce == c->nonce;
  once_answer_clear(&c->answer);
  if (ours) { /* a lost answer, or given up meanwhile */
    c->verdict = e->state == CLAIM_RELEASED ? ONCE_NO_CLAIM : ONCE_RUN;
    return false;
  }
  if (e && e->state != CLAIM_RELEASED) {
    c->verdict = judge(o, c, e);
    return false;
  }
  ClaimEntry *new = claimdoc_touch(s->doc, c->key);
  new->nonce = c->nonce;
  new->digest = c->digest;
  new->unix_s = o->unix_s;
  new->state = CLAIM_OPEN;
  new->by = g_intern_string(c->from);
  c->verdict = ONCE_RUN;
  return true;
}

static bool outcome(Once *o, ClaimShard *s, const Claim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  if (!e || e->nonce != c->nonce || e->state != CLAIM_OPEN) return false;
  ClaimEntry *new = claimdoc_touch(s->doc, c->key);
  const OnceAnswer *a = &c->answer;
  new->state = a->status ? CLAIM_RAN : CLAIM_UNKNOWN;
  new->status = a->status;
  new->type = g_intern_string(a->type);
  if (a->body) claimdoc_keep(s->doc, new, a->body, a->len);
  return true;
}

/* What was given up is remembered: a claim of it that comes late must not
   stand, since nobody would ever run it. */
static bool give_up(Once *o, ClaimShard *s, const Claim *c) {
  const ClaimEntry *e = find_entry(o, s, c->key);
  bool ours = e && e->nonce == c->nonce;
  if (e && !ours && e->state != CLAIM_RELEASED) return false;
  if (ours && e->state != CLAIM_OPEN) return false;
  ClaimEntry *new = claimdoc_touch(s->doc, c->key);
  new->nonce = c->nonce;
  new->digest = c->digest;
  new->unix_s = o->unix_s;
  new->state = CLAIM_RELEASED;
  new->by = "";
  return true;
}

static bool apply(Once *o, ClaimShard *s) {
  bool changed = false;
  for (guint i = 0; i < s->claims->len; i++) {
    Claim *c = s->claims->pdata[i];
    c->decided = true;
    switch (c->kind) {
    case ONCE_CLAIM: changed |= take(o, s, c); break;
    case ONCE_OUTCOME: changed |= outcome(o, s, c); break;
    default: changed |= give_up(o, s, c); break;
    }
  }
  return changed;
}

static void undecide(ClaimShard *s) {
  for (guint i = 0; i < s->claims->len; i++)
    ((Claim *)s->claims->pdata[i])->decided = false;
}

/* == answers == */

static void reply(Once *o, const Claim *c) {
  bool claim = c->kind == ONCE_CLAIM;
  OnceMsg m = {.kind = claim ? ONCE_CLAIMED : ONCE_KEPT,
               .key = c->key,
               .nonce = c->nonce,
               .verdict = c->verdict};
  if (claim && c->verdict == ONCE_REPLAY)
    m.answer = once_answer_copy(&c->answer, LIMIT_CLAIM_ANSWER_BYTES);
  once_send(o, c->from, &m);
}

/* The document is the store's: what was decided in it is true. */
static void confirm(Once *o, ClaimShard *s) {
  s->backoff = s->failing = 0;
  for (guint i = 0; i < s->claims->len;) {
    Claim *c = s->claims->pdata[i];
    if (!c->decided) {
      i++;
      continue;
    }
    g_ptr_array_steal_index(s->claims, i);
    reply(o, c);
    if (c->next) g_ptr_array_add(s->claims, g_steal_pointer(&c->next));
    claim_free(c);
  }
}

/* == the way of a shard == */

static void fail(Once *o, ClaimShard *s) {
  s->stale = true;
  undecide(s);
  if (s->failing == 0) s->failing = o->now;
  s->retry_at = o->now + pace_backoff(&s->backoff, g_rand_double(o->rng));
}

/* A claim is waited for; outcomes wait for company. */
static bool due(const Once *o, const ClaimShard *s) {
  for (guint i = 0; i < s->claims->len; i++) {
    const Claim *c = s->claims->pdata[i];
    bool urgent = c->kind == ONCE_CLAIM || o->draining;
    if (urgent || o->now - c->came >= CLAIM_LINGER_S) return true;
  }
  return false;
}

static void pump(Once *o, ClaimShard *s) {
  if (s->phase != SHARD_IDLE || o->now < s->retry_at || !due(o, s)) return;
  if (!s->doc || s->stale) {
    claimio_read(o, s);
    return;
  }
  if (claimio_read_parts(o, s)) return;
  bool small = o->view->n <= MEMBER_SMALL_INSTANCES;
  pace_rate(&s->pace, small ? CLAIM_SHARD_WRITES_SMALL_FLEET_PER_S : CLAIM_SHARD_WRITES_PER_S, o->now);
  Pace before = s->pace;
  double wait = pace_take(&s->pace, o->now, true);
  if (wait > 0) {
    s->retry_at = o->now + wait;
    return;
  }
  if (apply(o, s)) {
    claimio_write(o, s);
    return;
  }
  s->pace = before; /* nothing is written */
  if (s->checked) {
    confirm(o, s);
    return;
  }
  /* A kept document may be old: what it says is only taken after a read. */
  undecide(s);
  claimio_read(o, s);
}

static void on_head(Once *o, ClaimShard *s, uint64_t version,
                    const char *text) {
  ClaimDoc *d = version < s->seen ? NULL /* a stale read */
                : text            ? claimdoc_read(text)
                                  : claimdoc_new();
  if (!d) {
    fail(o, s);
    return;
  }
  if (s->doc) claimdoc_adopt(d, s->doc);
  claimdoc_free(s->doc);
  s->doc = d;
  s->version = s->seen = version;
  s->stale = false;
  s->checked = true;
  undecide(s);
  claimio_sweep(o, s);
}

static ClaimPart *find_part(const ClaimShard *s, uint64_t id) {
  for (guint i = 0; i < s->doc->parts->len; i++) {
    ClaimPart *p = s->doc->parts->pdata[i];
    if (p->id == id) return p;
  }
  return NULL;
}

static void on_part(Once *o, ClaimShard *s, uint64_t id, const char *text) {
  ClaimPart *p = find_part(s, id);
  bool ok = p && text && claimdoc_read_part(p, text);
  if (ok) p->seen = o->now;
  s->broken |= !ok;
  if (--s->reading > 0) {
    s->phase = SHARD_PARTS;
    return;
  }
  if (s->broken) fail(o, s); /* perhaps the head was old: read it again */
}

static void on_written(Once *o, ClaimShard *s, uint64_t version) {
  s->version = s->seen = version;
  s->checked = false;
  claimio_sweep(o, s);
  confirm(o, s);
}

void claim_stored(Once *o, int shard, uint64_t part, ErrKind kind,
                  uint64_t version, const char *text) {
  ClaimShard *s = o->shards[shard];
  if (!s || s->phase == SHARD_IDLE) return;
  ShardPhase phase = s->phase;
  s->phase = SHARD_IDLE;
  bool ok = kind == ERR_NONE, absent = kind == ERR_STORE_ABSENT;
  if (phase == SHARD_PARTS)
    on_part(o, s, part, ok ? text : NULL);
  else if (phase == SHARD_READING && (ok || absent))
    on_head(o, s, absent ? 0 : version, absent ? NULL : text);
  else if (phase == SHARD_SEALING && ok)
    claimio_write_head(o, s);
  else if (phase == SHARD_WRITING && ok)
    on_written(o, s, version);
  else if (phase == SHARD_WRITING && kind == ERR_STORE_CONFLICT) {
    s->stale = true;
    undecide(s);
  } else
    fail(o, s);
  pump(o, s);
}

/* == wishes of runners == */

static void refuse(Once *o, const char *to, const OnceMsg *m) {
  OnceMsg r = {.kind = ONCE_CLAIMED,
               .key = m->key,
               .nonce = m->nonce,
               .verdict = ONCE_NO_CLAIM};
  once_send(o, to, &r);
}

static Claim *claim_new(const Once *o, const char *from, const OnceMsg *m) {
  Claim *c = g_new0(Claim, 1);
  *c = (Claim){.kind = m->kind,
               .key = m->key,
               .nonce = m->nonce,
               .digest = m->digest,
               .came = o->now,
               .answer = once_answer_copy(&m->answer, LIMIT_CLAIM_ANSWER_BYTES)};
  g_strlcpy(c->from, from, sizeof c->from);
  return c;
}

/* Told again, or something else of a run whose last wish is still here. */
static void ask_again(Once *o, Claim *c, const char *from, const OnceMsg *m) {
  OnceMsg held = {.kind = ONCE_HELD, .key = m->key, .nonce = m->nonce};
  if (m->kind != c->kind && m->kind != ONCE_CLAIM) {
    if (!c->decided) {
      c->kind = m->kind; /* never made it to the store */
      once_answer_clear(&c->answer);
      c->answer = once_answer_copy(&m->answer, LIMIT_CLAIM_ANSWER_BYTES);
    } else if (!c->next)
      c->next = claim_new(o, from, m);
  }
  once_send(o, from, &held);
}

void claim_ask(Once *o, const char *from, const OnceMsg *m) {
  ClaimShard *s = shard_of(o, m->key);
  Claim *c = find_claim(s, m->nonce);
  if (c) {
    ask_again(o, c, from, m);
    return;
  }
  bool failing = s->failing > 0 && o->now - s->failing >= FAILING_S;
  if (failing && m->kind == ONCE_CLAIM && o->now < s->retry_at) {
    refuse(o, from, m);
    return;
  }
  g_ptr_array_add(s->claims, claim_new(o, from, m));
  s->checked = false;
  pump(o, s);
}

/* == time == */

/* Their runners gave up. */
static void drop_late(Once *o, ClaimShard *s) {
  for (guint i = s->claims->len; i > 0; i--) {
    const Claim *c = s->claims->pdata[i - 1];
    bool late = c->kind == ONCE_CLAIM && o->now - c->came >= ONCE_CLAIM_WAIT_S;
    if (late && !c->decided) g_ptr_array_remove_index(s->claims, i - 1);
  }
}

void claim_tick(Once *o) {
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++) {
    ClaimShard *s = o->shards[i];
    if (!s) continue;
    drop_late(o, s);
    pump(o, s);
    bool idle = s->phase == SHARD_IDLE && s->claims->len == 0;
    if (!idle || o->now - s->used < CLAIM_IDLE_S) continue;
    claim_shard_free(s);
    o->shards[i] = NULL;
  }
}

bool claim_drained(const Once *o) {
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++)
    if (o->shards[i] && o->shards[i]->claims->len > 0) return false;
  return true;
}
