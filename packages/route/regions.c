/* regions.c: the list of regions, and the region of each data centre. */
#include "route/regions.h"

#include <glib.h>
#include <string.h>

struct Regions {
  GPtrArray *names; /* of regions, in the order of their bits */
  GHashTable *dcs;  /* data centre -> number of its region, from 1 */
};

static RegionsPath bypassed = REGIONS_PATHS;

/* The number of a region, from 1, assigned if it is new; 0: there are too
   many. */
static guint ensure_region_number(Regions *r, const char *region) {
  for (guint i = 0; i < r->names->len; i++)
    if (strcmp(r->names->pdata[i], region) == 0) return i + 1;
  if (r->names->len == REGIONS_MAX) return 0;
  g_ptr_array_add(r->names, g_strdup(region));
  return r->names->len;
}

static void add_dc(Regions *r, const char *dc, const char *region) {
  guint n = region[0] ? ensure_region_number(r, region) : 0;
  if (n > 0) g_hash_table_replace(r->dcs, g_strdup(dc), GUINT_TO_POINTER(n));
}

static RegionSet region_bit(guint number) {
  return number > 0 ? (RegionSet)1 << (number - 1) : 0;
}

Regions *regions_new(const char *dc, const char *region, const char *map) {
  Regions *r = g_new0(Regions, 1);
  r->names = g_ptr_array_new_with_free_func(g_free);
  r->dcs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  char **list = g_strsplit(map, ",", -1);
  add_dc(r, dc, region);
  for (int i = 0; list[i]; i++) {
    char *sign = strchr(list[i], '=');
    if (!sign) continue;
    *sign = '\0';
    add_dc(r, g_strstrip(list[i]), g_strstrip(sign + 1));
  }
  g_strfreev(list);
  return r;
}

void regions_free(Regions *r) {
  g_ptr_array_free(r->names, TRUE);
  g_hash_table_destroy(r->dcs);
  g_free(r);
}

RegionSet regions_by_name(const Regions *r, const char *region) {
  for (guint i = 0; i < r->names->len; i++)
    if (strcmp(r->names->pdata[i], region) == 0) return region_bit(i + 1);
  return 0;
}

RegionSet regions_of_dc(const Regions *r, const char *dc) {
  return region_bit(GPOINTER_TO_UINT(g_hash_table_lookup(r->dcs, dc)));
}

RegionSet regions_from_list(const Regions *r, char *const *names,
                            const char **unknown) {
  RegionSet set = REGIONS_BOUND;
  if (unknown) *unknown = NULL;
  if (!names) return REGIONS_ANY;
  for (int i = 0; names[i]; i++) {
    RegionSet one = regions_by_name(r, names[i]);
    if (one == 0 && unknown && !*unknown) *unknown = names[i];
    set |= one;
  }
  return set;
}

RegionSet regions_intersect(RegionSet a, RegionSet b) {
  if (a == REGIONS_ANY) return b;
  return b == REGIONS_ANY ? a : a & b;
}

bool regions_admit(RegionSet allowed, RegionSet at, RegionsPath path) {
  return allowed == REGIONS_ANY || path == bypassed || (allowed & at) != 0;
}

void regions_bypass_check(RegionsPath path) {
  bypassed = path;
}
