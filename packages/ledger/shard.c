/* shard.c: arithmetic of a budget shard. */
#include "ledger/shard.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* == memory == */

static void grant_free(gpointer p) {
  ShardGrant *g = p;
  if (g->back) g_hash_table_destroy(g->back);
  g_free(g);
}

static void budget_free(gpointer p) {
  ShardBudget *b = p;
  g_ptr_array_free(b->grants, TRUE);
  g_free(b);
}

Shard *shard_new(void) {
  Shard *s = g_new0(Shard, 1);
  s->budgets =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, budget_free);
  return s;
}

void shard_free(Shard *s) {
  if (!s) return;
  g_hash_table_destroy(s->budgets);
  g_free(s);
}

int shard_index(const char *budget) {
  return (int)(XXH64(budget, strlen(budget), 0) % LIMIT_BUDGET_SHARDS);
}

void shard_name(int index, char *out) {
  snprintf(out, LIMIT_NAME_BYTES, "budget/%03d", index);
}

ShardBudget *shard_budget(Shard *s, const char *name) {
  return g_hash_table_lookup(s->budgets, name);
}

ShardBudget *shard_budget_add(Shard *s, const char *name) {
  ShardBudget *b = shard_budget(s, name);
  if (b) return b;
  b = g_new0(ShardBudget, 1);
  g_strlcpy(b->name, name, sizeof b->name);
  b->grants = g_ptr_array_new_with_free_func(grant_free);
  g_hash_table_insert(s->budgets, b->name, b);
  return b;
}

ShardGrant *shard_grant(const ShardBudget *b, uint64_t id) {
  for (guint i = 0; i < b->grants->len; i++) {
    ShardGrant *g = b->grants->pdata[i];
    if (g->id == id) return g;
  }
  return NULL;
}

ShardGrant *shard_grant_add(ShardBudget *b, uint64_t id, const char *home,
                            const char *witness, const char *region) {
  assert(!shard_grant(b, id));
  ShardGrant *g = g_new0(ShardGrant, 1);
  g->id = id;
  g_strlcpy(g->home, home, sizeof g->home);
  g_strlcpy(g->witness, witness, sizeof g->witness);
  g_strlcpy(g->region, region, sizeof g->region);
  g_ptr_array_add(b->grants, g);
  return g;
}

/* == arithmetic == */

static int64_t sum_back(const ShardGrant *g, bool only_final, int64_t *spent) {
  GHashTableIter it;
  gpointer v;
  int64_t returned = 0;
  if (spent) *spent = 0;
  if (!g->back) return 0;
  g_hash_table_iter_init(&it, g->back);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ShardBack *r = v;
    returned += r->returned;
    if (spent && (r->final || !only_final)) *spent += r->spent;
  }
  return returned;
}

int64_t shard_outstanding(const ShardGrant *g) {
  int64_t open = g->granted - g->returned;
  if (!g->sealed) return open;
  /* `limit` counts all that was ever given out, so all that ever came back
     may be taken off it. */
  int64_t back = sum_back(g, false, NULL);
  int64_t bound = g->limit - MAX(back, g->known);
  return bound < open ? bound : open;
}

int64_t shard_remaining(const ShardBudget *b) {
  int64_t left = b->total - b->closed - b->retired;
  for (guint i = 0; i < b->grants->len; i++)
    left -= shard_outstanding(b->grants->pdata[i]);
  return left;
}

int64_t shard_spent(const ShardBudget *b) {
  int64_t spent = b->closed;
  for (guint i = 0; i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    int64_t back = 0;
    sum_back(g, false, &back);
    spent += back > g->spent ? back : g->spent;
  }
  return spent;
}

void shard_seal(ShardGrant *g, int64_t limit, int64_t known, bool exact,
                int64_t now) {
  if (g->sealed) return;
  g->sealed = true;
  g->exact = exact;
  g->limit = limit;
  g->known = known;
  g->changed = now;
}

bool shard_report(ShardGrant *g, const char *instance, int64_t returned,
                  int64_t spent, bool final, int64_t now) {
  if (!g->back)
    g->back = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  ShardBack *r = g_hash_table_lookup(g->back, instance);
  if (!r) {
    r = g_new0(ShardBack, 1);
    g_hash_table_insert(g->back, g_strdup(instance), r);
  }
  /* Late and doubled reports carry smaller or equal counts: keep the max. */
  bool news =
      returned > r->returned || spent > r->spent || (final && !r->final);
  if (returned > r->returned) r->returned = returned;
  if (spent > r->spent) r->spent = spent;
  r->final = r->final || final;
  if (news) g->changed = now;
  return news;
}

bool shard_fold(ShardBudget *b, ShardGrant *g, int64_t now) {
  if (!g->sealed) return false;
  int64_t spent = 0;
  sum_back(g, true, &spent);
  int64_t out = shard_outstanding(g);
  bool whole = g->exact && out <= spent;
  if (!whole && now - g->changed < (int64_t)LEDGER_RETIRE_S) return false;
  if (!whole) sum_back(g, false, &spent);
  b->closed += spent; /* more than `out` only if a target broke its bound */
  b->retired += MAX(out - spent, 0);
  return g_ptr_array_remove(b->grants, g);
}

void shard_close(ShardBudget *b, ShardGrant *g) {
  b->closed += MAX(shard_outstanding(g), g->spent);
  g_ptr_array_remove(b->grants, g);
}
