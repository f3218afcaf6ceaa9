/* versions.c: counts the targets of each software version. */
#include "route/versions.h"

#include <glib.h>

#include "kernel/text.h"

struct Versions {
  GHashTable *counts; /* version -> number of targets, above 0 */
  uint64_t last;      /* the version that was added last */
  bool has_last;
  bool has_changed;  /* another version than `last` was known before */
  double changed_at; /* when the set of versions last changed */
};

Versions *versions_new(void) {
  Versions *v = g_new0(Versions, 1);
  v->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  return v;
}

void versions_free(Versions *v) {
  g_hash_table_destroy(v->counts);
  g_free(v);
}

uint64_t versions_hash(const char *name) {
  return name[0] ? text_hash(name) : 0;
}

static int count_of(const Versions *v, uint64_t version) {
  return GPOINTER_TO_INT(g_hash_table_lookup(v->counts, &version));
}

static void set_count(Versions *v, uint64_t version, int n) {
  if (n > 0)
    g_hash_table_insert(v->counts, g_memdup2(&version, sizeof version),
                        GINT_TO_POINTER(n));
  else
    g_hash_table_remove(v->counts, &version);
}

void versions_add(Versions *v, double now, uint64_t version) {
  int n = count_of(v, version);
  /* All targets of a service may end and start again at the same version. */
  bool is_back =
      g_hash_table_size(v->counts) == 0 && v->has_last && v->last == version;
  if (n == 0 && !is_back) v->changed_at = now;
  set_count(v, version, n + 1);
  v->has_changed |= v->has_last && v->last != version;
  v->last = version;
  v->has_last = true;
}

void versions_remove(Versions *v, double at, uint64_t version) {
  int n = count_of(v, version);
  if (n == 0) return;
  set_count(v, version, n - 1);
  bool others_remain = g_hash_table_size(v->counts) > 0;
  if (n > 1 || !others_remain) return;
  v->changed_at = MAX(v->changed_at, at);
}

bool versions_only(const Versions *v, uint64_t *version) {
  *version = v->last;
  return v->has_last && !v->has_changed;
}

bool versions_are_several(const Versions *v) {
  return g_hash_table_size(v->counts) > 1;
}

bool versions_sole(const Versions *v, double now, double memory_s,
                   uint64_t *version) {
  GHashTableIter it;
  gpointer key;
  if (g_hash_table_size(v->counts) != 1) return false;
  if (now - v->changed_at < memory_s) return false;
  g_hash_table_iter_init(&it, v->counts);
  g_hash_table_iter_next(&it, &key, NULL);
  *version = *(const uint64_t *)key;
  return true;
}
