/* parts.c: chained hashes of parts with the time of their last use. */
#include "route/parts.h"

#include <xxhash.h>

/* A part that is unused for longer counts as evicted. */
#define PART_KEEP_S 60.0
/* The other instances get a part again after this: one that has just started
   knows none, and the prompts of a session are seconds apart. */
#define RESEND_S 5.0

typedef struct Part {
  double since;   /* when it was first sent there */
  double used;    /* last use by any instance */
  double sent_at; /* when it was last sent to the other instances; 0: never */
} Part;

/* Expired parts are removed when the table has doubled since the last time,
   but not below this size: each request adds its own part of 100 bytes. */
#define MIN_SWEEP_SIZE 512

struct Parts {
  GHashTable *known; /* name -> Part */
  guint sweep_at;    /* size at which expired parts are removed next */
};

Parts *parts_new(void) {
  Parts *p = g_new0(Parts, 1);
  p->known = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return p;
}

void parts_free(Parts *p) {
  g_hash_table_destroy(p->known);
  g_free(p);
}

void parts_clear(Parts *p) {
  g_hash_table_remove_all(p->known);
}

/* Hash of part `i` and all parts before it. */
static uint64_t hash_prefix(const RequestInfo *a, int i, uint64_t before) {
  uint64_t pair[2] = {before, a->parts[i].id};
  return XXH64(pair, sizeof pair, 0);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now) {
  (void)key;
  const Part *part = value;
  return *(double *)now - part->used >= PART_KEEP_S;
}

static void expire_parts(Parts *p, double now) {
  if (g_hash_table_size(p->known) < p->sweep_at) return;
  g_hash_table_foreach_remove(p->known, is_expired, &now);
  p->sweep_at = MAX(MIN_SWEEP_SIZE, 2 * g_hash_table_size(p->known));
}

static Part *touch_part(Parts *p, uint64_t name, double now) {
  Part *part = g_hash_table_lookup(p->known, &name);
  if (!part) {
    part = g_new0(Part, 1);
    part->since = now;
    g_hash_table_insert(p->known, g_memdup2(&name, sizeof name), part);
  }
  part->used = now;
  return part;
}

int parts_note_prompt(Parts *p, const RequestInfo *a, double now,
                      uint64_t *to_send) {
  uint64_t name = 0;
  int n = 0;
  expire_parts(p, now);
  for (int i = 0; i < a->n_parts; i++) {
    name = hash_prefix(a, i, name);
    Part *part = touch_part(p, name, now);
    bool shared = i + 1 < a->n_parts;
    if (!shared || (part->sent_at > 0 && now - part->sent_at < RESEND_S))
      continue;
    part->sent_at = now;
    to_send[n++] = name;
  }
  return n;
}

void parts_apply_report(Parts *p, const uint64_t *names, int n, double now) {
  expire_parts(p, now);
  for (int i = 0; i < n; i++) touch_part(p, names[i], now);
}

static bool has_part(const Parts *p, uint64_t name, double now, double age_s) {
  const Part *part = g_hash_table_lookup(p->known, &name);
  return part && now - part->used < PART_KEEP_S && now - part->since >= age_s;
}

int64_t parts_cached_tokens(const Parts *p, const RequestInfo *a, double now,
                            double age_s) {
  int64_t n = 0;
  uint64_t id = 0;
  for (int i = 0; i < a->n_parts; i++) {
    id = hash_prefix(a, i, id);
    if (!has_part(p, id, now, age_s)) break;
    n += a->parts[i].tokens;
  }
  return n;
}

int parts_names(const RequestInfo *a, uint64_t *names, int max_names) {
  uint64_t name = 0;
  int n = 0;
  for (; n + 1 < a->n_parts && n < max_names; n++)
    names[n] = name = hash_prefix(a, n, name);
  return n;
}

int parts_count_known(const Parts *p, const uint64_t *names, int n, double now,
                      double age_s) {
  int known = 0;
  while (known < n && has_part(p, names[known], now, age_s)) known++;
  return known;
}

int parts_count(const Parts *p) {
  return (int)g_hash_table_size(p->known);
}

int64_t parts_prompt_tokens(const RequestInfo *a) {
  int64_t n = 0;
  for (int i = 0; i < a->n_parts; i++) n += a->parts[i].tokens;
  return MAX(n, a->prompt_tokens);
}

int64_t parts_prefix_tokens(const RequestInfo *a, int n) {
  int64_t sum = 0;
  for (int i = 0; i < n && i < a->n_parts; i++) sum += a->parts[i].tokens;
  return sum;
}

int64_t parts_shared_tokens(const RequestInfo *a) {
  return parts_prefix_tokens(a, a->n_parts - 1);
}

uint64_t parts_key(const RequestInfo *a) {
  uint64_t id = 0;
  for (int i = 0; i + 1 < a->n_parts; i++) id = hash_prefix(a, i, id);
  return id;
}
