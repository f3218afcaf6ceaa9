/* pool.c: a list that is sorted on demand, and consistent hashing onto a ring
   with several probes. */
#include "route/pool.h"

#include <xxhash.h>

#include "route/state.h"

/* Up to this many added members are inserted one by one, a few microseconds
   each; more of them are sorted together with the rest. */
#define MAX_INSERTED_MEMBERS 32
/* Probes of the ring for each prompt; the member that follows one most closely
   is its home. With a single probe the members' shares differ as their gaps
   do, up to tenfold; with this many, by a tenth. */
#define RING_PROBES 21
/* Members that don't pass the filter, skipped after a probe. */
#define MAX_SKIPPED_MEMBERS 16

/* The initial line of first-byte times. It has lost its weight after some
   thirty answers. */
#define INITIAL_FIRST_BYTE_S 0.01
#define INITIAL_SPAN_TOKENS 5000

Pool *pool_new(const char *service) {
  Pool *p = g_new0(Pool, 1);
  g_strlcpy(p->service, service, sizeof p->service);
  p->members = g_ptr_array_new();
  p->division = division_new();
  p->versions = versions_new();
  p->hash = text_hash(service);
  fit_init(&p->first_byte, INITIAL_FIRST_BYTE_S, TARGETS_DEFAULT_TOKEN_S,
           INITIAL_SPAN_TOKENS);
  return p;
}

void pool_free(gpointer data) {
  Pool *p = data;
  g_ptr_array_free(p->members, TRUE);
  division_free(p->division);
  versions_free(p->versions);
  g_free(p);
}

void pool_add(Pool *p, Target *t) {
  g_ptr_array_add(p->members, t);
}

void pool_remove(Pool *p, Target *t) {
  guint i;
  if (!g_ptr_array_find(p->members, t, &i)) return;
  g_ptr_array_remove_index(p->members, i);
  if (i < p->n_sorted) p->n_sorted--;
}

/* == order == */

static gint compare_hashes(gconstpointer a, gconstpointer b, gpointer visits) {
  const Target *x = *(const Target *const *)a, *y = *(const Target *const *)b;
  ++*(uint64_t *)visits;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* The first of the sorted members whose hash is not lower. */
static guint lower_bound(Pool *p, uint64_t hash) {
  guint low = 0, high = p->n_sorted;
  while (low < high) {
    guint mid = low + (high - low) / 2;
    const Target *t = p->members->pdata[mid];
    p->visits++;
    if (t->hash < hash)
      low = mid + 1;
    else
      high = mid;
  }
  return low;
}

static void insert_next_sorted(Pool *p) {
  guint from = p->n_sorted;
  Target *t = p->members->pdata[from];
  guint to = lower_bound(p, t->hash);
  gpointer *list = p->members->pdata;
  memmove(&list[to + 1], &list[to], (from - to) * sizeof *list);
  list[to] = t;
  p->n_sorted++;
}

GPtrArray *pool_sorted_members(Pool *p) {
  guint n = p->members->len;
  if (n - p->n_sorted <= MAX_INSERTED_MEMBERS) {
    while (p->n_sorted < n) insert_next_sorted(p);
    return p->members;
  }
  g_ptr_array_sort_with_data(p->members, compare_hashes, &p->visits);
  p->n_sorted = n;
  return p->members;
}

/* == homes == */

/* The first member from a point of the ring on that passes the filter; NULL:
   none does nearby. */
static Target *find_successor(Pool *p, uint64_t at, PoolFilter filter,
                              const void *ctx) {
  guint n = p->members->len, i = lower_bound(p, at);
  for (guint k = 0; k < MIN(n, MAX_SKIPPED_MEMBERS); k++) {
    Target *t = p->members->pdata[(i + k) % n];
    p->visits++;
    if (filter(ctx, t)) return t;
  }
  return NULL;
}

uint64_t pool_group(const Pool *p, uint64_t hash) {
  guint bits = 0;
  if (p->members->len <= POOL_SMALL_MAX_MEMBERS) return hash;
  for (guint groups = p->members->len / POOL_GROUP_MIN_MEMBERS; groups > 1;
       groups /= 2)
    bits++;
  return hash >> (64 - bits) << (64 - bits);
}

int pool_group_members(Pool *p, const Target *t, PoolFilter filter,
                       const void *ctx, Target **out, int max_members) {
  GPtrArray *members = pool_sorted_members(p);
  uint64_t group = pool_group(p, t->hash);
  guint from = lower_bound(p, group), at = lower_bound(p, t->hash), end = at;
  int n = 0;
  while (end < members->len &&
         pool_group(p, ((Target *)members->pdata[end])->hash) == group)
    end++;
  for (guint k = 1; k < end - from && n < max_members; k++) {
    Target *other = members->pdata[from + (at - from + k) % (end - from)];
    p->visits++;
    if (filter(ctx, other)) out[n++] = other;
  }
  return n;
}

int pool_homes(Pool *p, uint64_t key, PoolFilter filter, const void *ctx,
               Target *homes[POOL_MAX_HOMES]) {
  Target *first = NULL;
  uint64_t lowest = UINT64_MAX;
  if (pool_sorted_members(p)->len == 0) return 0;
  for (uint64_t k = 0; k < RING_PROBES; k++) {
    uint64_t at = XXH64(&key, sizeof key, k);
    Target *t = find_successor(p, at, filter, ctx);
    if (!t || t->hash - at >= lowest) continue;
    first = t;
    lowest = t->hash - at;
  }
  if (!first) return 0;
  homes[0] = first;
  return 1 + pool_group_members(p, first, filter, ctx, &homes[1],
                                POOL_MAX_HOMES - 1);
}
