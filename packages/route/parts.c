/* parts.c: chains of part ids, with the time of their last use. */
#include "route/parts.h"

#include <xxhash.h>

#define KEEP_S 60.0 /* a part unused for longer counts as lost */

struct Parts {
  GHashTable *used; /* chain of ids -> double*, last use */
};

Parts *parts_new(void) {
  Parts *p = g_new0(Parts, 1);
  p->used = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return p;
}

void parts_free(Parts *p) {
  g_hash_table_destroy(p->used);
  g_free(p);
}

void parts_forget(Parts *p) {
  g_hash_table_remove_all(p->used);
}

/* Names part `i` together with all before it. */
static uint64_t chain(const Ask *a, int i, uint64_t before) {
  uint64_t pair[2] = {before, a->parts[i].id};
  return XXH64(pair, sizeof pair, 0);
}

static void note(Parts *p, uint64_t id, double now) {
  double *used = g_hash_table_lookup(p->used, &id);
  if (!used) {
    used = g_new(double, 1);
    g_hash_table_insert(p->used, g_memdup2(&id, sizeof id), used);
  }
  *used = now;
}

void parts_note(Parts *p, const Ask *a, double now) {
  uint64_t id = 0;
  for (int i = 0; i < a->n_parts; i++) {
    id = chain(a, i, id);
    note(p, id, now);
  }
}

static bool has(const Parts *p, uint64_t id, double now) {
  const double *used = g_hash_table_lookup(p->used, &id);
  return used && now - *used < KEEP_S;
}

int64_t parts_kept(const Parts *p, const Ask *a, double now) {
  int64_t n = 0;
  uint64_t id = 0;
  for (int i = 0; i < a->n_parts; i++) {
    id = chain(a, i, id);
    if (!has(p, id, now)) break;
    n += a->parts[i].tokens;
  }
  return n;
}

int64_t parts_tokens(const Ask *a) {
  int64_t n = 0;
  for (int i = 0; i < a->n_parts; i++) n += a->parts[i].tokens;
  return MAX(n, a->tokens_in);
}

int64_t parts_shared(const Ask *a) {
  int64_t n = 0;
  for (int i = 0; i + 1 < a->n_parts; i++) n += a->parts[i].tokens;
  return n;
}

uint64_t parts_key(const Ask *a) {
  uint64_t id = 0;
  for (int i = 0; i + 1 < a->n_parts; i++) id = chain(a, i, id);
  return id;
}
