/* origins.c: a table of records, the oldest of which are dropped. */
#include "route/origins.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "route/versions.h"

/* A stream may last for as long as its caller waits for it, and is resumed
   soon after. */
#define KEEP_S (2 * VERSIONS_MEMORY_S)
/* 100 bytes each. An instance of the largest fleet has some three thousand. */
#define MAX_RECORDS 16384

typedef struct Record {
  uint64_t key, service, version;
  double at;
  bool shared;
  GList link; /* in `by_age` */
} Record;

struct Origins {
  GHashTable *records; /* key -> Record */
  GQueue by_age;       /* Record*, the oldest first */
};

Origins *origins_new(void) {
  Origins *o = g_new0(Origins, 1);
  o->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init(&o->by_age);
  return o;
}

void origins_free(Origins *o) {
  g_hash_table_destroy(o->records);
  g_free(o);
}

uint64_t origins_key(const char *customer, const char *attempt) {
  uint64_t h = XXH64(customer, strlen(customer) + 1, 0);
  return XXH64(attempt, strlen(attempt) + 1, h);
}

uint64_t origins_service_key(const char *service, const char *customer,
                             const char *attempt) {
  uint64_t h = XXH64(service, strlen(service) + 1, 0);
  h = XXH64(customer, strlen(customer) + 1, h);
  return XXH64(attempt, strlen(attempt) + 1, h);
}

/* == records == */

static void drop_record(Origins *o, Record *r) {
  g_queue_unlink(&o->by_age, &r->link);
  g_hash_table_remove(o->records, &r->key);
}

static Record *add_record(Origins *o, uint64_t key) {
  if (g_hash_table_size(o->records) >= MAX_RECORDS)
    drop_record(o, g_queue_peek_head(&o->by_age));
  Record *r = g_new0(Record, 1);
  r->key = key;
  r->link.data = r;
  g_hash_table_insert(o->records, &r->key, r);
  g_queue_push_tail_link(&o->by_age, &r->link);
  return r;
}

void origins_set(Origins *o, double now, const OriginsMsg *record,
                 bool shared) {
  Record *r = g_hash_table_lookup(o->records, &record->key);
  if (!r) r = add_record(o, record->key);
  g_queue_unlink(&o->by_age, &r->link);
  g_queue_push_tail_link(&o->by_age, &r->link);
  r->service = record->service;
  r->version = record->version;
  r->shared |= shared;
  r->at = now;
}

void origins_remove(Origins *o, uint64_t key) {
  Record *r = g_hash_table_lookup(o->records, &key);
  if (r) drop_record(o, r);
}

bool origins_find(const Origins *o, uint64_t key, OriginsMsg *out) {
  const Record *r = g_hash_table_lookup(o->records, &key);
  if (!r) return false;
  out->service = r->service;
  out->version = r->version;
  return true;
}

bool origins_take_unshared(Origins *o, OriginsNeeded needed, void *ctx,
                           OriginsMsg *out) {
  for (GList *l = o->by_age.head; l; l = l->next) {
    Record *r = l->data;
    if (r->shared || !needed(ctx, r->service)) continue;
    r->shared = true;
    *out = (OriginsMsg){.kind = ORIGINS_RECORD,
                        .key = r->key,
                        .service = r->service,
                        .version = r->version};
    return true;
  }
  return false;
}

void origins_sweep(Origins *o, double now, double longest_s) {
  double keep_s = MAX(KEEP_S, longest_s);
  Record *r;
  while ((r = g_queue_peek_head(&o->by_age)) && now - r->at > keep_s)
    drop_record(o, r);
}

/* == answers == */

OriginsMsg origins_combine(const OriginsMsg *a, const OriginsMsg *b) {
  OriginsMsg stronger = a->kind >= b->kind ? *a : *b;
  bool is_conflict = a->kind == b->kind && a->version != b->version;
  /* A version replaced another between the two observations. */
  if (stronger.kind == ORIGINS_SOLE && is_conflict)
    stronger.kind = ORIGINS_SEVERAL;
  return stronger;
}

bool origins_is_conclusive(const OriginsMsg *a) {
  return a->kind == ORIGINS_SOLE || a->kind == ORIGINS_KNOWN;
}
