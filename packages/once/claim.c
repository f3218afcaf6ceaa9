/* claim.c: claims of requests that may not be repeated, in shards of the
   platform's store. All wishes for a shard go into one conditional update;
   the first claim of a key stands. */
#include "once/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PRUNE_AT 512 /* entries; from here on the old ones go */

void once_claim_name(int shard, char *out) {
  snprintf(out, LIMIT_NAME, "claim/%02d", shard);
}

static void claim_free(gpointer p) {
  Claim *c = p;
  g_free(c->body);
  once_answer_clear(&c->answer);
  g_free(c);
}

static ClaimShard *shard_of(Once *o, OnceKey key) {
  int i = (int)(key.lo % LIMIT_CLAIM_SHARDS);
  ClaimShard *s = o->shards[i];
  if (s) return s;
  s = o->shards[i] = g_new0(ClaimShard, 1);
  s->index = i;
  s->claims = g_ptr_array_new_with_free_func(claim_free);
  return s;
}

void claim_shard_free(ClaimShard *s) {
  if (!s) return;
  json_decref(s->doc);
  g_ptr_array_free(s->claims, TRUE);
  g_free(s);
}

/* == one wish and the document == */

static void nonce_text(uint64_t nonce, char out[20]) {
  snprintf(out, 20, "%016" PRIx64, nonce);
}

static bool is_ours(json_t *entry, uint64_t nonce) {
  char mine[20];
  nonce_text(nonce, mine);
  const char *s = json_string_value(json_object_get(entry, "nonce"));
  return s && strcmp(s, mine) == 0;
}

static OnceVerdict found(Once *o, Claim *c, json_t *entry) {
  if (is_ours(entry, c->nonce)) return ONCE_RUN; /* a lost answer of ours */
  json_int_t digest = json_integer_value(json_object_get(entry, "digest"));
  if ((uint64_t)digest != c->digest) return ONCE_MISMATCH;
  json_t *status = json_object_get(entry, "status");
  if (status) {
    const char *body = json_string_value(json_object_get(entry, "body"));
    const char *type = json_string_value(json_object_get(entry, "type"));
    c->answer.status = (int)json_integer_value(status);
    c->answer.body = g_strdup(body);
    c->answer.len = body ? strlen(body) : 0;
    g_strlcpy(c->answer.type, type ? type : "", sizeof c->answer.type);
    return ONCE_REPLAY;
  }
  if (json_object_get(entry, "unknown")) return ONCE_MAYBE;
  const char *by = json_string_value(json_object_get(entry, "by"));
  return by && view_find(o->view, by) ? ONCE_PENDING : ONCE_MAYBE;
}

/* True when the document was changed. */
static bool take(Once *o, ClaimShard *s, Claim *c, const char *key) {
  json_t *entry = json_object_get(s->doc, key);
  c->decided = true;
  if (entry) {
    c->verdict = found(o, c, entry);
    return false;
  }
  char nonce[20];
  nonce_text(c->nonce, nonce);
  c->verdict = ONCE_RUN;
  json_object_set_new(s->doc, key,
                      json_pack("{s:s,s:s,s:I,s:I}", "by", o->self, "nonce",
                                nonce, "digest", (json_int_t)c->digest, "t",
                                (json_int_t)o->unix_s));
  return true;
}

static bool finish(ClaimShard *s, Claim *c, const char *key) {
  json_t *entry = json_object_get(s->doc, key);
  c->decided = true;
  if (!entry || !is_ours(entry, c->nonce)) return false;
  if (c->unknown) {
    if (json_object_get(entry, "unknown")) return false;
    json_object_set_new(entry, "unknown", json_true());
    return true;
  }
  if (json_object_get(entry, "status")) return false;
  json_object_set_new(entry, "status", json_integer(c->status));
  json_object_set_new(entry, "type", json_string(c->type));
  if (c->body) json_object_set_new(entry, "body", json_string(c->body));
  return true;
}

static bool release(ClaimShard *s, Claim *c, const char *key) {
  json_t *entry = json_object_get(s->doc, key);
  c->decided = true;
  if (!entry || !is_ours(entry, c->nonce)) return false;
  json_object_del(s->doc, key);
  return true;
}

static bool prune(const Once *o, json_t *doc) {
  if (json_object_size(doc) < PRUNE_AT) return false;
  bool changed = false;
  void *it = json_object_iter(doc);
  while (it) {
    void *next = json_object_iter_next(doc, it);
    json_t *t = json_object_get(json_object_iter_value(it), "t");
    if (o->unix_s - json_integer_value(t) > ONCE_CLAIM_KEEP) {
      json_object_del(doc, json_object_iter_key(it));
      changed = true;
    }
    it = next;
  }
  return changed;
}

static bool apply(Once *o, ClaimShard *s) {
  bool changed = prune(o, s->doc);
  for (guint i = 0; i < s->claims->len; i++) {
    Claim *c = s->claims->pdata[i];
    char key[33];
    once_key_text(c->key, key);
    once_answer_clear(&c->answer);
    switch (c->op) {
    case CLAIM_TAKE: changed |= take(o, s, c, key); break;
    case CLAIM_FINISH: changed |= finish(s, c, key); break;
    case CLAIM_RELEASE: changed |= release(s, c, key); break;
    }
  }
  return changed;
}

/* == store operations == */

static void forget_doc(ClaimShard *s) {
  json_decref(s->doc);
  s->doc = NULL;
  for (guint i = 0; i < s->claims->len; i++)
    ((Claim *)s->claims->pdata[i])->decided = false;
}

/* The document is the store's: what was decided in it is true. */
static void confirm(Once *o, ClaimShard *s) {
  s->seen = s->version;
  s->backoff = 0;
  for (guint i = 0; i < s->claims->len;) {
    Claim *c = s->claims->pdata[i];
    if (!c->decided) {
      i++;
      continue;
    }
    g_ptr_array_steal_index(s->claims, i);
    if (c->op == CLAIM_TAKE)
      once_claimed(o, c->handle, c->nonce, c->verdict, &c->answer);
    claim_free(c);
  }
}

static void start(Once *o, ClaimShard *s, OnceDo what) {
  OnceAction *a = once_act(o, what);
  a->shard = s->index;
  s->busy = true;
  s->putting = what == ONCE_DO_PUT;
  if (!s->putting) return;
  char *text = json_dumps(s->doc, JSON_COMPACT);
  a->version = s->version;
  a->text = g_strdup(text);
  free(text);
}

static void pump(Once *o, ClaimShard *s) {
  if (s->busy || s->claims->len == 0 || o->now < s->retry_at) return;
  if (!s->doc) {
    start(o, s, ONCE_DO_GET);
    return;
  }
  if (apply(o, s)) {
    start(o, s, ONCE_DO_PUT);
    return;
  }
  /* Nothing to write, but a kept document may be old: what it says is only
     taken after a read. */
  forget_doc(s);
  start(o, s, ONCE_DO_GET);
}

static void got(Once *o, ClaimShard *s, uint64_t version, const char *text) {
  json_t *doc = version < s->seen ? NULL
                : text            ? json_loads(text, 0, NULL)
                                  : json_object();
  if (!json_is_object(doc)) {
    json_decref(doc);
    s->retry_at = o->now + LEDGER_BACKOFF_MIN;
    return;
  }
  forget_doc(s);
  s->doc = doc;
  s->version = version;
  if (apply(o, s))
    start(o, s, ONCE_DO_PUT);
  else
    confirm(o, s);
}

void claim_result(Once *o, int shard, ErrKind kind, uint64_t version,
                  const char *text) {
  ClaimShard *s = o->shards[shard];
  if (!s || !s->busy) return;
  bool putting = s->putting;
  s->busy = s->putting = false;
  switch (kind) {
  case ERR_NONE:
    if (!putting) {
      got(o, s, version, text);
      break;
    }
    s->version = version;
    confirm(o, s);
    break;
  case ERR_STORE_ABSENT: got(o, s, 0, NULL); break;
  case ERR_STORE_CONFLICT: forget_doc(s); break;
  default:
    forget_doc(s);
    s->backoff = CLAMP(s->backoff * 2, LEDGER_BACKOFF_MIN, LEDGER_BACKOFF_MAX);
    s->retry_at = o->now + s->backoff * (0.5 + g_rand_double(o->rng));
    break;
  }
  pump(o, s);
}

void claim_add(Once *o, Claim *c) {
  ClaimShard *s = shard_of(o, c->key);
  g_ptr_array_add(s->claims, c);
  pump(o, s);
}

void claim_cancel(Once *o, const Run *r) {
  ClaimShard *s = shard_of(o, r->key);
  for (guint i = 0; i < s->claims->len; i++) {
    Claim *c = s->claims->pdata[i];
    if (c->op != CLAIM_TAKE || c->nonce != r->nonce) continue;
    if (s->busy && s->putting) break; /* it may take effect yet */
    g_ptr_array_remove_index(s->claims, i);
    break;
  }
  Claim *c = g_new0(Claim, 1);
  *c = (Claim){.op = CLAIM_RELEASE, .key = r->key, .nonce = r->nonce};
  claim_add(o, c);
}

void claim_tick(Once *o) {
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++)
    if (o->shards[i]) pump(o, o->shards[i]);
}
