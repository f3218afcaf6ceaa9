/* parts.c: chains of part ids, with the time of their last use. */
#include "route/parts.h"

#include <xxhash.h>

#define KEEP_S 60.0 /* a part unused for longer counts as lost */
/* The others are told again after this: one that has just started knows
   nothing, and prompts of one session come seconds apart. */
#define TELL_AGAIN_S 5.0

typedef struct Part {
  double since; /* it was sent there first */
  double used;  /* last, by anybody */
  double told;  /* when the others were told last; 0: never */
} Part;

/* What is forgotten is cleared out when the table has doubled since, but not
   below this size: each request adds its own part, 100 bytes. */
#define SWEEP_LEAST 512

struct Parts {
  GHashTable *known; /* name -> Part */
  guint sweep_at;    /* size at which it is cleared out next */
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

void parts_forget(Parts *p) {
  g_hash_table_remove_all(p->known);
}

/* Names part `i` together with all before it. */
static uint64_t chain(const RequestInfo *a, int i, uint64_t before) {
  uint64_t pair[2] = {before, a->parts[i].id};
  return XXH64(pair, sizeof pair, 0);
}

static gboolean is_lost(gpointer key, gpointer value, gpointer now) {
  (void)key;
  const Part *part = value;
  return *(double *)now - part->used >= KEEP_S;
}

static void sweep(Parts *p, double now) {
  if (g_hash_table_size(p->known) < p->sweep_at) return;
  g_hash_table_foreach_remove(p->known, is_lost, &now);
  p->sweep_at = MAX(SWEEP_LEAST, 2 * g_hash_table_size(p->known));
}

static Part *note(Parts *p, uint64_t name, double now) {
  Part *part = g_hash_table_lookup(p->known, &name);
  if (!part) {
    part = g_new0(Part, 1);
    part->since = now;
    g_hash_table_insert(p->known, g_memdup2(&name, sizeof name), part);
  }
  part->used = now;
  return part;
}

int parts_note(Parts *p, const RequestInfo *a, double now, uint64_t *news) {
  uint64_t name = 0;
  int n = 0;
  sweep(p, now);
  for (int i = 0; i < a->n_parts; i++) {
    name = chain(a, i, name);
    Part *part = note(p, name, now);
    bool shared = i + 1 < a->n_parts;
    if (!shared || (part->told > 0 && now - part->told < TELL_AGAIN_S))
      continue;
    part->told = now;
    news[n++] = name;
  }
  return n;
}

void parts_told(Parts *p, const uint64_t *names, int n, double now) {
  sweep(p, now);
  for (int i = 0; i < n; i++) note(p, names[i], now);
}

static bool has(const Parts *p, uint64_t name, double now, double age_s) {
  const Part *part = g_hash_table_lookup(p->known, &name);
  return part && now - part->used < KEEP_S && now - part->since >= age_s;
}

int64_t parts_kept(const Parts *p, const RequestInfo *a, double now,
                   double age_s) {
  int64_t n = 0;
  uint64_t id = 0;
  for (int i = 0; i < a->n_parts; i++) {
    id = chain(a, i, id);
    if (!has(p, id, now, age_s)) break;
    n += a->parts[i].tokens;
  }
  return n;
}

int parts_names(const RequestInfo *a, uint64_t *names, int most) {
  uint64_t name = 0;
  int n = 0;
  for (; n + 1 < a->n_parts && n < most; n++)
    names[n] = name = chain(a, n, name);
  return n;
}

int parts_known(const Parts *p, const uint64_t *names, int n, double now,
                double age_s) {
  int known = 0;
  while (known < n && has(p, names[known], now, age_s)) known++;
  return known;
}

int parts_count(const Parts *p) {
  return (int)g_hash_table_size(p->known);
}

int64_t parts_tokens(const RequestInfo *a) {
  int64_t n = 0;
  for (int i = 0; i < a->n_parts; i++) n += a->parts[i].tokens;
  return MAX(n, a->prompt_tokens);
}

int64_t parts_first(const RequestInfo *a, int n) {
  int64_t sum = 0;
  for (int i = 0; i < n && i < a->n_parts; i++) sum += a->parts[i].tokens;
  return sum;
}

int64_t parts_shared(const RequestInfo *a) {
  return parts_first(a, a->n_parts - 1);
}

uint64_t parts_key(const RequestInfo *a) {
  uint64_t id = 0;
  for (int i = 0; i + 1 < a->n_parts; i++) id = chain(a, i, id);
  return id;
}
