/* pool.c: a list that is put into order when that is asked for, and hashing
   onto a ring with several probes. */
#include "route/pool.h"

#include <xxhash.h>

#include "route/state.h"

/* Members that were added since are moved into place one by one up to here, a
   few microseconds each; more of them are sorted with the rest. */
#define PLACE_MOST 32
/* Points of the ring that a prompt looks at; the member that follows one most
   closely is its home. With one, members' shares differ as their gaps do, up to
   tenfold; with so many, by a tenth. */
#define PROBES 21
#define SKIPS 16 /* members that don't fit, passed over after a point */

/* The line of first bytes before any was seen. Forgotten after some thirty
   answers. */
#define FIRST_BASE_S 0.01
#define FIRST_SPAN 5000 /* tokens */

Pool *pool_new(const char *service) {
  Pool *p = g_new0(Pool, 1);
  g_strlcpy(p->service, service, sizeof p->service);
  p->members = g_ptr_array_new();
  p->division = division_new();
  p->hash = text_hash(service);
  fit_start(&p->first, FIRST_BASE_S, TARGETS_TOKEN_S, FIRST_SPAN);
  return p;
}

void pool_free(gpointer data) {
  Pool *p = data;
  g_ptr_array_free(p->members, TRUE);
  division_free(p->division);
  g_free(p);
}

void pool_add(Pool *p, Target *t) {
  g_ptr_array_add(p->members, t);
}

void pool_remove(Pool *p, Target *t) {
  guint i;
  if (!g_ptr_array_find(p->members, t, &i)) return;
  g_ptr_array_remove_index(p->members, i);
  if (i < p->ordered) p->ordered--;
}

/* == order == */

static gint by_hash(gconstpointer a, gconstpointer b, gpointer looks) {
  const Target *x = *(const Target *const *)a, *y = *(const Target *const *)b;
  ++*(uint64_t *)looks;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* Of the members that are in order, the first whose hash is not below. */
static guint first_from(Pool *p, uint64_t hash) {
  guint low = 0, high = p->ordered;
  while (low < high) {
    guint mid = low + (high - low) / 2;
    const Target *t = p->members->pdata[mid];
    p->looks++;
    if (t->hash < hash)
      low = mid + 1;
    else
      high = mid;
  }
  return low;
}

static void place_next_action(Pool *p) {
  guint from = p->ordered;
  Target *t = p->members->pdata[from];
  guint to = first_from(p, t->hash);
  gpointer *list = p->members->pdata;
  memmove(&list[to + 1], &list[to], (from - to) * sizeof *list);
  list[to] = t;
  p->ordered++;
}

GPtrArray *pool_members(Pool *p) {
  guint n = p->members->len;
  if (n - p->ordered <= PLACE_MOST) {
    while (p->ordered < n) place_next_action(p);
    return p->members;
  }
  g_ptr_array_sort_with_data(p->members, by_hash, &p->looks);
  p->ordered = n;
  return p->members;
}

/* == homes == */

/* The first member from a point of the ring on that fits; NULL: none does
   nearby. */
static Target *follows(Pool *p, uint64_t at, PoolFits fits, const void *ctx) {
  guint n = p->members->len, i = first_from(p, at);
  for (guint k = 0; k < MIN(n, SKIPS); k++) {
    Target *t = p->members->pdata[(i + k) % n];
    p->looks++;
    if (fits(ctx, t)) return t;
  }
  return NULL;
}

uint64_t pool_group(const Pool *p, uint64_t hash) {
  guint bits = 0;
  if (p->members->len <= POOL_SMALL) return hash;
  for (guint groups = p->members->len / POOL_GROUP; groups > 1; groups /= 2)
    bits++;
  return hash >> (64 - bits) << (64 - bits);
}

int pool_near(Pool *p, const Target *t, PoolFits fits, const void *ctx,
              Target **out, int most) {
  GPtrArray *members = pool_members(p);
  uint64_t group = pool_group(p, t->hash);
  guint from = first_from(p, group), at = first_from(p, t->hash), end = at;
  int n = 0;
  while (end < members->len &&
         pool_group(p, ((Target *)members->pdata[end])->hash) == group)
    end++;
  for (guint k = 1; k < end - from && n < most; k++) {
    Target *other = members->pdata[from + (at - from + k) % (end - from)];
    p->looks++;
    if (fits(ctx, other)) out[n++] = other;
  }
  return n;
}

int pool_homes(Pool *p, uint64_t key, PoolFits fits, const void *ctx,
               Target *homes[POOL_HOMES]) {
  Target *first = NULL;
  uint64_t least = UINT64_MAX;
  if (pool_members(p)->len == 0) return 0;
  for (uint64_t k = 0; k < PROBES; k++) {
    uint64_t at = XXH64(&key, sizeof key, k);
    Target *t = follows(p, at, fits, ctx);
    if (!t || t->hash - at >= least) continue;
    first = t;
    least = t->hash - at;
  }
  if (!first) return 0;
  homes[0] = first;
  return 1 + pool_near(p, first, fits, ctx, &homes[1], POOL_HOMES - 1);
}
