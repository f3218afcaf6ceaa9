/* shardio.c: a budget shard as JSON. A shard is written often and holds a grant
   for each budget and region, so arrays stand in place of names, and an id is
   spelled once and then named by its place:

   {"ids": [ID...], "budgets": {NAME: [total, tv, closed, retired, [GRANT...]]}}
   GRANT: [id, home, witness, region, granted, returned, spent], then
     {ID: [returned, spent, final]}, the reports of a grant that is not sealed,
   or [limit, known, exact, changed, {reports}] of one that is. */
#include <jansson.h>

#include "kernel/text.h"
#include "ledger/shard.h"

/* == encoding == */

typedef struct Names {
  json_t *list;
  GHashTable *places; /* name -> its place and 1 */
} Names;

static json_t *place(Names *n, const char *name) {
  gpointer at = g_hash_table_lookup(n->places, name);
  if (!at) {
    json_array_append_new(n->list, json_string(name));
    at = GSIZE_TO_POINTER(json_array_size(n->list));
    g_hash_table_insert(n->places, g_strdup(name), at);
  }
  return json_integer((json_int_t)GPOINTER_TO_SIZE(at) - 1);
}

static json_t *encode_back(const ShardGrant *g) {
  json_t *back = json_object();
  GHashTableIter it;
  gpointer k, v;
  if (!g->back) return back;
  g_hash_table_iter_init(&it, g->back);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const ShardBack *r = v;
    json_object_set_new(back, k,
                        json_pack("[I,I,b]", (json_int_t)r->returned,
                                  (json_int_t)r->spent, (int)r->final));
  }
  return back;
}

static json_t *encode_grant(Names *n, const ShardGrant *g) {
  json_t *o = json_pack("[I,o,o,o,I,I,I]", (json_int_t)g->id, place(n, g->home),
                        place(n, g->witness), place(n, g->region),
                        (json_int_t)g->granted, (json_int_t)g->returned,
                        (json_int_t)g->spent);
  if (!g->sealed && !g->back) return o;
  json_t *last = encode_back(g);
  if (g->sealed)
    last = json_pack("[I,I,b,I,o]", (json_int_t)g->limit, (json_int_t)g->known,
                     (int)g->exact, (json_int_t)g->changed, last);
  json_array_append_new(o, last);
  return o;
}

static json_t *encode_budget(Names *n, const ShardBudget *b) {
  json_t *grants = json_array();
  for (guint i = 0; i < b->grants->len; i++)
    json_array_append_new(grants, encode_grant(n, b->grants->pdata[i]));
  return json_pack("[I,I,I,I,o]", (json_int_t)b->total, (json_int_t)b->tv,
                   (json_int_t)b->closed, (json_int_t)b->retired, grants);
}

static int by_name(gconstpointer a, gconstpointer b) {
  return strcmp(a, b);
}

char *shard_encode(const Shard *s) {
  Names n = {json_array(),
             g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  json_t *budgets = json_object();
  /* In order, so that the same shard is always the same text. */
  GList *names = g_list_sort(g_hash_table_get_keys(s->budgets), by_name);
  for (GList *i = names; i; i = i->next)
    json_object_set_new(
        budgets, i->data,
        encode_budget(&n, g_hash_table_lookup(s->budgets, i->data)));
  g_list_free(names);
  g_hash_table_destroy(n.places);
  return text_take_json(json_pack("{s:o,s:o}", "ids", n.list, "budgets", budgets));
}

/* == decoding: anything unexpected makes it no shard == */

static bool decode_back(ShardGrant *g, json_t *back, int64_t changed) {
  const char *k;
  json_t *v;
  json_object_foreach(back, k, v) {
    json_int_t returned, spent;
    int final;
    if (json_unpack(v, "[I,I,b]", &returned, &spent, &final) != 0) return false;
    shard_report(g, k, returned, spent, final != 0, changed);
  }
  return true;
}

static bool decode_last(ShardGrant *g, json_t *last) {
  json_int_t limit, known, changed;
  int exact;
  json_t *back;
  if (!last) return true;
  if (json_is_object(last)) return decode_back(g, last, 0);
  if (json_unpack(last, "[I,I,b,I,o]", &limit, &known, &exact, &changed,
                  &back) != 0)
    return false;
  shard_seal(g, limit, known, exact != 0, changed);
  return decode_back(g, back, changed);
}

static bool decode_grant(ShardBudget *b, json_t *ids, json_t *o) {
  json_int_t id, places[3], granted, returned, spent;
  const char *names[3];
  if (json_unpack(o, "[I,I,I,I,I,I,I]", &id, &places[0], &places[1], &places[2],
                  &granted, &returned, &spent) != 0)
    return false;
  for (int i = 0; i < 3; i++) {
    json_t *name = json_array_get(ids, (size_t)places[i]);
    names[i] = json_string_value(name);
    if (!names[i]) return false;
  }
  if (shard_grant(b, (uint64_t)id)) return false;
  ShardGrant *g =
      shard_grant_add(b, (uint64_t)id, names[0], names[1], names[2]);
  g->granted = granted;
  g->returned = returned;
  g->spent = spent;
  return decode_last(g, json_array_get(o, 7));
}

static bool decode_budget(Shard *s, json_t *ids, const char *name, json_t *o) {
  json_int_t total, tv, closed, retired;
  json_t *grants, *g;
  size_t i;
  if (json_unpack(o, "[I,I,I,I,o]", &total, &tv, &closed, &retired, &grants) !=
          0 ||
      !json_is_array(grants))
    return false;
  ShardBudget *b = shard_budget_add(s, name);
  b->total = total;
  b->tv = (uint64_t)tv;
  b->closed = closed;
  b->retired = retired;
  json_array_foreach(grants, i, g) {
    if (!decode_grant(b, ids, g)) return false;
  }
  return true;
}

static Shard *decode(json_t *all) {
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
  Shard *s = all ? decode(all) : NULL;
  json_decref(all);
  return s;
}
