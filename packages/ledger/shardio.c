/* shardio.c: encodes and decodes a shard as JSON. A shard is written often and
   contains a grant for each budget and region. To keep it small, arrays replace
   objects, and each id is stored once and then referred to by its index:

   {"ids": [ID...], "budgets": {NAME: [total, tv, closed, retired, [GRANT...]]}}
   and after the grants, where there is a ceiling:
     [era, ceiling, next, next_unix_s, lost, open, open_era, open_unix_s]
   Builds that do not know it pass over it and write the budget without it.
   GRANT: [id, home, witness, region, granted, returned, spent], then
     {ID: [returned, spent, final]}, the reports of a grant that is not sealed,
   or [limit, known, exact, changed, {reports}] of one that is; after the
   reports of one that is not, where its home states an allowance: [base, per_s,
   since_ms, span_ms, era] Builds that do not know it pass over it, and write
   the grant without it. */
#include <jansson.h>

#include "kernel/text.h"
#include "ledger/shard.h"

/* Of an allowance: sums with it don't overflow. */
#define MAX_TOKENS (INT64_C(1) << 48)

/* == encoding == */

typedef struct IdTable {
  json_t *list;
  GHashTable *indexes; /* name -> its index in `list`, plus 1 */
} IdTable;

static json_t *intern_id(IdTable *n, const char *name) {
  gpointer at = g_hash_table_lookup(n->indexes, name);
  if (!at) {
    json_array_append_new(n->list, json_string(name));
    at = GSIZE_TO_POINTER(json_array_size(n->list));
    g_hash_table_insert(n->indexes, g_strdup(name), at);
  }
  return json_integer((json_int_t)GPOINTER_TO_SIZE(at) - 1);
}

static json_t *encode_reports(const ShardGrant *g) {
  json_t *reports = json_object();
  GHashTableIter it;
  gpointer k, v;
  if (!g->reports) return reports;
  g_hash_table_iter_init(&it, g->reports);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const ShardReport *r = v;
    json_object_set_new(reports, k,
                        json_pack("[I,I,b]", (json_int_t)r->returned,
                                  (json_int_t)r->spent, (int)r->final));
  }
  return reports;
}

static json_t *encode_allowance(const ShardAllowance *a) {
  return json_pack("[I,I,I,I,I]", (json_int_t)a->base, (json_int_t)a->per_s,
                   (json_int_t)a->since_ms, (json_int_t)a->span_ms,
                   (json_int_t)a->era);
}

static json_t *encode_grant(IdTable *n, const ShardGrant *g) {
  /* In a fixed order: that of arguments depends on the compiler. */
  json_t *region = intern_id(n, g->region);
  json_t *witness = intern_id(n, g->witness);
  json_t *home = intern_id(n, g->home);
  json_t *o = json_pack("[I,o,o,o,I,I,I]", (json_int_t)g->id, home, witness,
                        region, (json_int_t)g->granted, (json_int_t)g->returned,
                        (json_int_t)g->spent);
  bool has_allowance = !g->sealed && g->allowance.since_ms > 0;
  if (!g->sealed && !g->reports && !has_allowance) return o;
  json_t *tail = encode_reports(g);
  if (g->sealed)
    tail = json_pack("[I,I,b,I,o]", (json_int_t)g->limit,
                     (json_int_t)g->known_returned, (int)g->limit_is_exact,
                     (json_int_t)g->changed_unix_s, tail);
  json_array_append_new(o, tail);
  if (has_allowance) json_array_append_new(o, encode_allowance(&g->allowance));
  return o;
}

static json_t *encode_budget(IdTable *n, const ShardBudget *b) {
  json_t *grants = json_array();
  for (guint i = 0; i < b->grants->len; i++)
    json_array_append_new(grants, encode_grant(n, b->grants->pdata[i]));
  json_t *o = json_pack(
      "[I,I,I,I,o]", (json_int_t)b->total, (json_int_t)b->table_version,
      (json_int_t)b->closed_spent, (json_int_t)b->written_off, grants);
  const ShardCeiling *c = &b->ceiling;
  if (c->era > 0)
    json_array_append_new(
        o, json_pack("[I,I,I,I,I,I,I,I]", (json_int_t)c->era,
                     (json_int_t)c->ceiling, (json_int_t)c->next,
                     (json_int_t)c->next_unix_s, (json_int_t)c->lost,
                     (json_int_t)c->open, (json_int_t)c->open_era,
                     (json_int_t)c->open_unix_s));
  return o;
}

static int compare_names(gconstpointer a, gconstpointer b) {
  return strcmp(a, b);
}

char *shard_encode(const Shard *s) {
  IdTable n = {json_array(),
               g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  json_t *budgets = json_object();
  /* Sorted, so that equal shards have the same text. */
  GList *names = g_list_sort(g_hash_table_get_keys(s->budgets), compare_names);
  for (GList *i = names; i; i = i->next)
    json_object_set_new(
        budgets, i->data,
        encode_budget(&n, g_hash_table_lookup(s->budgets, i->data)));
  g_list_free(names);
  g_hash_table_destroy(n.indexes);
  return text_take_json(
      json_pack("{s:o,s:o}", "ids", n.list, "budgets", budgets));
}

/* == decoding: a text with anything unexpected is rejected == */

static bool decode_reports(ShardGrant *g, json_t *reports, int64_t changed) {
  const char *k;
  json_t *v;
  json_object_foreach(reports, k, v) {
    json_int_t returned, spent;
    int final;
    if (json_unpack(v, "[I,I,b]", &returned, &spent, &final) != 0) return false;
    shard_apply_report(g, k, returned, spent, final != 0, changed);
  }
  return true;
}

static bool decode_tail(ShardGrant *g, json_t *tail) {
  json_int_t limit, known, changed;
  int exact;
  json_t *reports;
  if (!tail) return true;
  if (json_is_object(tail)) return decode_reports(g, tail, 0);
  if (json_unpack(tail, "[I,I,b,I,o]", &limit, &known, &exact, &changed,
                  &reports) != 0)
    return false;
  shard_seal_grant(g, limit, known, exact != 0, changed);
  return decode_reports(g, reports, changed);
}

static bool decode_allowance(ShardGrant *g, json_t *o) {
  json_int_t base, per_s, since_ms, span_ms, era;
  if (!o || g->sealed) return true;
  if (json_unpack(o, "[I,I,I,I,I]", &base, &per_s, &since_ms, &span_ms, &era) !=
      0)
    return false;
  g->allowance =
      (ShardAllowance){base, per_s, since_ms, span_ms, (uint64_t)era};
  return base >= 0 && per_s >= 0 && since_ms > 0 && span_ms >= 0 && era >= 0 &&
         base <= MAX_TOKENS && per_s <= MAX_TOKENS;
}

static bool decode_grant(ShardBudget *b, json_t *ids, json_t *o) {
  json_int_t id, indexes[3], granted, returned, spent;
  const char *names[3];
  if (json_unpack(o, "[I,I,I,I,I,I,I]", &id, &indexes[0], &indexes[1],
                  &indexes[2], &granted, &returned, &spent) != 0)
    return false;
  for (int i = 0; i < 3; i++) {
    json_t *name = json_array_get(ids, (size_t)indexes[i]);
    names[i] = json_string_value(name);
    if (!names[i]) return false;
  }
  if (shard_find_grant(b, (uint64_t)id)) return false;
  ShardGrant *g =
      shard_add_grant(b, (uint64_t)id, names[0], names[1], names[2]);
  g->granted = granted;
  g->returned = returned;
  g->spent = spent;
  return decode_tail(g, json_array_get(o, 7)) &&
         decode_allowance(g, json_array_get(o, 8));
}

static bool decode_ceiling(ShardBudget *b, json_t *o) {
  json_int_t era, ceiling, next, next_unix_s, lost, open, open_era, open_unix_s;
  if (!o) return true;
  if (json_unpack(o, "[I,I,I,I,I,I,I,I]", &era, &ceiling, &next, &next_unix_s,
                  &lost, &open, &open_era, &open_unix_s) != 0)
    return false;
  bool is_valid = era > 0 && ceiling >= 0 && next >= 0 && next_unix_s >= 0 &&
                  lost >= 0 && open >= 0 && open_era >= 0 && open_unix_s >= 0;
  b->ceiling = (ShardCeiling){.era = (uint64_t)era,
                              .ceiling = ceiling,
                              .next = next,
                              .next_unix_s = next_unix_s,
                              .lost = lost,
                              .open = open,
                              .open_era = (uint64_t)open_era,
                              .open_unix_s = open_unix_s};
  return is_valid;
}

static bool decode_budget(Shard *s, json_t *ids, const char *name, json_t *o) {
  json_int_t total, tv, closed, retired;
  json_t *grants, *g;
  size_t i;
  if (json_unpack(o, "[I,I,I,I,o]", &total, &tv, &closed, &retired, &grants) !=
          0 ||
      !json_is_array(grants))
    return false;
  ShardBudget *b = shard_ensure_budget(s, name);
  b->total = total;
  b->table_version = (uint64_t)tv;
  b->closed_spent = closed;
  b->written_off = retired;
  json_array_foreach(grants, i, g) {
    if (!decode_grant(b, ids, g)) return false;
  }
  return decode_ceiling(b, json_array_get(o, 5));
}

static Shard *decode_document(json_t *all) {
  json_t *ids, *budgets, *o;
  const char *name;
  if (json_unpack(all, "{s:o,s:o}", "ids", &ids, "budgets", &budgets) != 0 ||
      !json_is_object(budgets))
    return NULL;
  Shard *s = shard_new();
  json_object_foreach(budgets, name, o) {
    if (decode_budget(s, ids, name, o)) continue;
    shard_free(s);
    return NULL;
  }
  return s;
}

Shard *shard_decode(const char *text) {
  json_t *all = json_loads(text, 0, NULL);
  Shard *s = all ? decode_document(all) : NULL;
  json_decref(all);
  return s;
}
