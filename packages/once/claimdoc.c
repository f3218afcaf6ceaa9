/* claimdoc.c: encoding and decoding of heads and parts of claim shards, and
   lookups in them. */
#include "once/claimdoc.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/text.h"
#include "once/state.h"

/* == entries == */

static void entry_free(gpointer p) {
  ClaimEntry *e = p;
  g_free(e->body);
  g_free(e);
}

static GHashTable *entries_new(void) {
  return g_hash_table_new_full(once_key_hash, once_key_equal, NULL, entry_free);
}

static void add_entry(GHashTable *entries, ClaimEntry *e) {
  g_hash_table_replace(entries, &e->key, e);
}

static ClaimEntry *entry_copy(const ClaimEntry *e) {
  ClaimEntry *c = g_memdup2(e, sizeof *e);
  c->body = NULL;
  return c;
}

static json_t *json_from_hex(uint64_t n) {
  char s[20];
  snprintf(s, sizeof s, "%" PRIx64, n);
  return json_string(s);
}

static uint64_t hex_value(json_t *s) {
  const char *t = json_string_value(s);
  return t ? strtoull(t, NULL, 16) : 0;
}

/* Format: [key, nonce, digest, time of claim, state, runner], followed for
   CLAIM_RAN by status, content type, and body or null. */
static json_t *encode_entry(const ClaimEntry *e) {
  char key[33];
  once_key_to_hex(e->key, key);
  json_t *a = json_pack("[s,o,o,I,i,s]", key, json_from_hex(e->nonce),
                        json_from_hex(e->digest), (json_int_t)e->unix_s,
                        (int)e->state, e->runner);
  if (e->state != CLAIM_RAN) return a;
  json_array_append_new(a, json_integer(e->status));
  json_array_append_new(a, json_string(e->type));
  json_array_append_new(a, e->body ? json_string(e->body) : json_null());
  return a;
}

static bool parse_key(const char *text, OnceKey *k) {
  if (!text || strlen(text) != 32) return false;
  return sscanf(text, "%16" SCNx64 "%16" SCNx64, &k->hi, &k->lo) == 2;
}

static ClaimEntry *decode_entry(json_t *a) {
  OnceKey key;
  json_int_t state = json_integer_value(json_array_get(a, 4));
  const char *by = json_string_value(json_array_get(a, 5));
  const char *type = json_string_value(json_array_get(a, 7));
  bool ok = parse_key(json_string_value(json_array_get(a, 0)), &key) && by &&
            state >= 0 && state < CLAIM_STATE_COUNT &&
            (state != CLAIM_RAN || type);
  if (!ok) return NULL;
  ClaimEntry *e = g_new0(ClaimEntry, 1);
  e->key = key;
  e->nonce = hex_value(json_array_get(a, 1));
  e->digest = hex_value(json_array_get(a, 2));
  e->unix_s = json_integer_value(json_array_get(a, 3));
  e->state = (ClaimState)state;
  e->runner = g_intern_string(by);
  e->status = (int)json_integer_value(json_array_get(a, 6));
  e->type = type ? g_intern_string(type) : NULL;
  e->body = g_strdup(json_string_value(json_array_get(a, 8)));
  return e;
}

static json_t *encode_entries(GHashTable *entries) {
  json_t *a = json_array();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    json_array_append_new(a, encode_entry(v));
  return a;
}

/* Returns NULL if any entry is damaged, because a verdict from an incomplete
   shard could be wrong. */
static GHashTable *decode_entries(json_t *a) {
  if (!json_is_array(a)) return NULL;
  GHashTable *entries = entries_new();
  size_t i;
  json_t *x;
  json_array_foreach(a, i, x) {
    ClaimEntry *e = decode_entry(x);
    if (!e) {
      g_hash_table_destroy(entries);
      return NULL;
    }
    add_entry(entries, e);
  }
  return entries;
}

/* == parts == */

void claimdoc_part_free(gpointer p) {
  ClaimPart *part = p;
  if (part->entries) g_hash_table_destroy(part->entries);
  g_free(part);
}

char *claimdoc_encode_part(const ClaimPart *p) {
  return text_take_json(
      json_pack("{s:o}", "entries", encode_entries(p->entries)));
}

bool claimdoc_decode_part(ClaimPart *p, const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  GHashTable *entries = decode_entries(json_object_get(o, "entries"));
  json_decref(o);
  bool ok = entries && g_hash_table_size(entries) == p->count;
  if (ok)
    p->entries = entries;
  else if (entries)
    g_hash_table_destroy(entries);
  return ok;
}

static ClaimPart *decode_part_ref(json_t *a) {
  ClaimPart *p = g_new0(ClaimPart, 1);
  p->id = hex_value(json_array_get(a, 0));
  p->count = (guint)json_integer_value(json_array_get(a, 1));
  p->unix_s = json_integer_value(json_array_get(a, 2));
  return p;
}

/* == heads == */

static ClaimDoc *doc_new(GHashTable *entries) {
  ClaimDoc *d = g_new0(ClaimDoc, 1);
  d->entries = entries;
  d->parts = g_ptr_array_new_with_free_func(claimdoc_part_free);
  return d;
}

ClaimDoc *claimdoc_new(void) {
  return doc_new(entries_new());
}

void claimdoc_free(ClaimDoc *d) {
  if (!d) return;
  g_hash_table_destroy(d->entries);
  g_ptr_array_free(d->parts, TRUE);
  g_free(d);
}

char *claimdoc_encode_head(const ClaimDoc *d) {
  json_t *parts = json_array();
  for (guint i = 0; i < d->parts->len; i++) {
    const ClaimPart *p = d->parts->pdata[i];
    json_array_append_new(parts,
                          json_pack("[o,i,I]", json_from_hex(p->id),
                                    (int)p->count, (json_int_t)p->unix_s));
  }
  return text_take_json(json_pack("{s:o,s:o}", "parts", parts, "entries",
                                  encode_entries(d->entries)));
}

ClaimDoc *claimdoc_decode_head(const char *text) {
  json_t *o = json_loads(text, 0, NULL), *parts = json_object_get(o, "parts");
  GHashTable *entries = decode_entries(json_object_get(o, "entries"));
  if (!entries || !json_is_array(parts)) {
    if (entries) g_hash_table_destroy(entries);
    json_decref(o);
    return NULL;
  }
  ClaimDoc *d = doc_new(entries);
  size_t i;
  json_t *a;
  json_array_foreach(parts, i, a) g_ptr_array_add(d->parts, decode_part_ref(a));
  json_decref(o);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, d->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimEntry *e = v;
    if (e->body) d->body_bytes += strlen(e->body);
  }
  return d;
}

/* == lookups and changes == */

const ClaimEntry *claimdoc_find(const ClaimDoc *d, OnceKey key) {
  const ClaimEntry *e = g_hash_table_lookup(d->entries, &key);
  for (guint i = d->parts->len; !e && i > 0; i--) {
    const ClaimPart *p = d->parts->pdata[i - 1];
    e = g_hash_table_lookup(p->entries, &key);
  }
  return e;
}

ClaimEntry *claimdoc_edit_entry(ClaimDoc *d, OnceKey key) {
  ClaimEntry *e = g_hash_table_lookup(d->entries, &key);
  if (e) return e;
  const ClaimEntry *old = claimdoc_find(d, key);
  e = old ? entry_copy(old) : g_new0(ClaimEntry, 1);
  e->key = key;
  add_entry(d->entries, e);
  return e;
}

static ClaimEntry *entry_of_oldest_body(const ClaimDoc *d) {
  ClaimEntry *oldest = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, d->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    ClaimEntry *e = v;
    if (e->body && (!oldest || e->unix_s < oldest->unix_s)) oldest = e;
  }
  return oldest;
}

void claimdoc_keep_body(ClaimDoc *d, ClaimEntry *e, const char *body,
                        size_t len) {
  ClaimEntry *old;
  while (d->body_bytes + len > CLAIM_HEAD_ANSWER_BYTES &&
         (old = entry_of_oldest_body(d))) {
    d->body_bytes -= strlen(old->body);
    g_clear_pointer(&old->body, g_free);
  }
  e->body = g_strndup(body, len);
  d->body_bytes += strlen(e->body);
}

void claimdoc_adopt_parts(ClaimDoc *d, ClaimDoc *old) {
  for (guint i = 0; i < d->parts->len; i++) {
    ClaimPart *p = d->parts->pdata[i];
    for (guint k = 0; k < old->parts->len; k++) {
      ClaimPart *q = old->parts->pdata[k];
      if (q->id != p->id) continue;
      p->entries = g_steal_pointer(&q->entries);
      p->first_read_at = q->first_read_at;
    }
  }
}

static void set_part_summary(ClaimPart *p) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, p->entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    p->unix_s = MAX(p->unix_s, ((ClaimEntry *)v)->unix_s);
  p->count = g_hash_table_size(p->entries);
}

ClaimPart *claimdoc_seal_head(ClaimDoc *d, uint64_t id, double now) {
  ClaimPart *p = g_new0(ClaimPart, 1);
  p->id = id;
  p->first_read_at = now;
  p->entries = d->entries;
  set_part_summary(p);
  d->entries = entries_new();
  d->body_bytes = 0;
  g_ptr_array_add(d->parts, p);
  return p;
}

ClaimPart *claimdoc_merge_parts(ClaimDoc *d, guint n, uint64_t id) {
  ClaimPart *all = g_new0(ClaimPart, 1);
  guint first = d->parts->len - n;
  all->id = id;
  all->entries = entries_new();
  for (guint i = first; i < d->parts->len;
       i++) { /* newer entries replace older */
    const ClaimPart *p = d->parts->pdata[i];
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->entries);
    while (g_hash_table_iter_next(&it, NULL, &v))
      add_entry(all->entries, entry_copy(v));
    all->first_read_at = MAX(all->first_read_at, p->first_read_at);
  }
  set_part_summary(all);
  g_ptr_array_remove_range(d->parts, first, n);
  g_ptr_array_add(d->parts, all);
  return all;
}
