/* shard.c: the data and the token arithmetic of one shard of the budgets. */
#include "ledger/shard.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* == memory == */

static void grant_free(gpointer p) {
  ShardGrant *g = p;
  if (g->reports) g_hash_table_destroy(g->reports);
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

void shard_object_name(int index, char *out) {
  snprintf(out, LIMIT_NAME_BYTES, "budget/%03d", index);
}

ShardBudget *shard_find_budget(Shard *s, const char *name) {
  return g_hash_table_lookup(s->budgets, name);
}

ShardBudget *shard_ensure_budget(Shard *s, const char *name) {
  ShardBudget *b = shard_find_budget(s, name);
  if (b) return b;
  b = g_new0(ShardBudget, 1);
  g_strlcpy(b->name, name, sizeof b->name);
  b->grants = g_ptr_array_new_with_free_func(grant_free);
  g_hash_table_insert(s->budgets, b->name, b);
  return b;
}

ShardGrant *shard_find_grant(const ShardBudget *b, uint64_t id) {
  for (guint i = 0; i < b->grants->len; i++) {
    ShardGrant *g = b->grants->pdata[i];
    if (g->id == id) return g;
  }
  return NULL;
}

ShardGrant *shard_add_grant(ShardBudget *b, uint64_t id, const char *home,
                            const char *witness, const char *region) {
  assert(!shard_find_grant(b, id));
  ShardGrant *g = g_new0(ShardGrant, 1);
  g->id = id;
  g_strlcpy(g->home, home, sizeof g->home);
  g_strlcpy(g->witness, witness, sizeof g->witness);
  g_strlcpy(g->region, region, sizeof g->region);
  g_ptr_array_add(b->grants, g);
  return g;
}

/* == arithmetic == */

static int64_t sum_reports(const ShardGrant *g, bool only_final,
                           int64_t *spent) {
  GHashTableIter it;
  gpointer v;
  int64_t returned = 0;
  if (spent) *spent = 0;
  if (!g->reports) return 0;
  g_hash_table_iter_init(&it, g->reports);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ShardReport *r = v;
    returned += r->returned;
    if (spent && (r->final || !only_final)) *spent += r->spent;
  }
  return returned;
}

int64_t shard_grant_outstanding(const ShardGrant *g) {
  int64_t open = g->granted - g->returned;
  if (!g->sealed) return open;
  /* `limit` bounds the tokens ever allotted, so all tokens ever returned may be
     subtracted. */
  int64_t back = sum_reports(g, false, NULL);
  int64_t max_open = g->limit - MAX(back, g->known_returned);
  return max_open < open ? max_open : open;
}

int64_t shard_budget_in_grants(const ShardBudget *b) {
  int64_t n = b->closed_spent + b->written_off;
  for (guint i = 0; i < b->grants->len; i++)
    n += shard_grant_outstanding(b->grants->pdata[i]);
  return n;
}

int64_t shard_budget_remaining(const ShardBudget *b) {
  return b->total - shard_budget_in_grants(b) - b->ceiling.lost -
         b->ceiling.open;
}

int64_t shard_budget_spent(const ShardBudget *b) {
  int64_t spent = b->closed_spent;
  for (guint i = 0; i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    int64_t reported = 0;
    sum_reports(g, false, &reported);
    spent += reported > g->spent ? reported : g->spent;
  }
  return spent;
}

void shard_seal_grant(ShardGrant *g, int64_t limit, int64_t known, bool exact,
                      int64_t now) {
  if (g->sealed) return;
  g->sealed = true;
  g->limit_is_exact = exact;
  g->limit = limit;
  g->known_returned = known;
  g->changed_unix_s = now;
}

bool shard_apply_report(ShardGrant *g, const char *instance, int64_t returned,
                        int64_t spent, bool final, int64_t now) {
  if (!g->reports)
    g->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  ShardReport *r = g_hash_table_lookup(g->reports, instance);
  if (!r) {
    r = g_new0(ShardReport, 1);
    g_hash_table_insert(g->reports, g_strdup(instance), r);
  }
  /* Delayed and duplicated reports carry smaller or equal counts: keep the
     max. */
  bool changed =
      returned > r->returned || spent > r->spent || (final && !r->final);
  if (returned > r->returned) r->returned = returned;
  if (spent > r->spent) r->spent = spent;
  r->final = r->final || final;
  if (changed) g->changed_unix_s = now;
  return changed;
}

bool shard_remove_settled(ShardBudget *b, ShardGrant *g, int64_t now) {
  if (!g->sealed) return false;
  int64_t spent = 0;
  sum_reports(g, true, &spent);
  int64_t outstanding = shard_grant_outstanding(g);
  bool is_complete = g->limit_is_exact && outstanding <= spent;
  if (!is_complete && now - g->changed_unix_s < (int64_t)LEDGER_RETIRE_S)
    return false;
  if (!is_complete) sum_reports(g, false, &spent);
  b->closed_spent += spent; /* exceeds the outstanding tokens only if a target
                               used more than its limit */
  b->written_off += MAX(outstanding - spent, 0);
  return g_ptr_array_remove(b->grants, g);
}

void shard_close_grant(ShardBudget *b, ShardGrant *g) {
  b->closed_spent += MAX(shard_grant_outstanding(g), g->spent);
  g_ptr_array_remove(b->grants, g);
}
