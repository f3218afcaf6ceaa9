/* fair.c: counts entries by owner. */
#include "route/fair.h"

/* The owner with the most entries that may be evicted; *count: their number. */
static uint64_t largest_owner(GHashTable *table,
                              FairEntry (*read_entry)(gconstpointer),
                              gsize *count) {
  GHashTable *sizes =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  GHashTableIter it;
  gpointer v;
  uint64_t owner = 0;
  *count = 0;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FairEntry e = read_entry(v);
    if (e.is_pinned) continue;
    gsize n = GPOINTER_TO_SIZE(g_hash_table_lookup(sizes, &e.owner)) + 1;
    g_hash_table_replace(sizes, g_memdup2(&e.owner, sizeof e.owner),
                         GSIZE_TO_POINTER(n));
    if (n <= *count) continue;
    *count = n;
    owner = e.owner;
  }
  g_hash_table_destroy(sizes);
  return owner;
}

gpointer fair_choose_evicted(GHashTable *table,
                             FairEntry (*read_entry)(gconstpointer value)) {
  GHashTableIter it;
  gpointer v, victim = NULL;
  double lowest = 0;
  gsize n;
  uint64_t owner = largest_owner(table, read_entry, &n);
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    FairEntry e = read_entry(v);
    if (e.is_pinned || e.owner != owner) continue;
    if (victim && e.rank >= lowest) continue;
    victim = v;
    lowest = e.rank;
  }
  return victim;
}
