/* evacuation.c: a set of names. */
#include "route/evacuation.h"

struct Evacuation {
  GHashTable *dcs; /* name -> itself */
};

Evacuation *evacuation_new(void) {
  Evacuation *e = g_new0(Evacuation, 1);
  e->dcs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return e;
}

void evacuation_free(Evacuation *e) {
  g_hash_table_destroy(e->dcs);
  g_free(e);
}

bool evacuation_set(Evacuation *e, const char *dc, bool on) {
  if (!on) return g_hash_table_remove(e->dcs, dc);
  if (evacuation_count(e) == EVACUATION_MAX_DCS) return false;
  if (evacuation_contains(e, dc)) return false;
  return g_hash_table_add(e->dcs, g_strdup(dc));
}

static gboolean is_not_listed(gpointer dc, gpointer value, gpointer dcs) {
  (void)value;
  return !g_hash_table_contains(dcs, dc);
}

bool evacuation_replace(Evacuation *e, GHashTable *dcs) {
  bool changed = g_hash_table_foreach_remove(e->dcs, is_not_listed, dcs) > 0;
  GHashTableIter it;
  gpointer dc;
  g_hash_table_iter_init(&it, dcs);
  while (g_hash_table_iter_next(&it, &dc, NULL))
    changed |= evacuation_set(e, dc, true);
  return changed;
}

bool evacuation_contains(const Evacuation *e, const char *dc) {
  return g_hash_table_contains(e->dcs, dc);
}

int evacuation_count(const Evacuation *e) {
  return (int)g_hash_table_size(e->dcs);
}
