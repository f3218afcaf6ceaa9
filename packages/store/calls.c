/* calls.c: a table by kind of object; the rest are small numbers. */
#include "store/calls.h"

/* All counts of one kind of object. */
typedef struct Kind {
  gint64 n[CALLS_PURPOSES][CALLS_OPS][CALLS_OUTCOMES][2];
  gint64 told[CALLS_PURPOSES][CALLS_OPS][CALLS_OUTCOMES][2];
} Kind;

struct Calls {
  GHashTable *kinds; /* name -> Kind */
};

static const char *const purposes[CALLS_PURPOSES] = {"reader", "self", "budget",
                                                     "trial"};
static const char *const ops[CALLS_OPS] = {
    "old-list", "list", "watch", "get", "make", "put", "delete", "knock"};
static const char *const outcomes[CALLS_OUTCOMES] = {"served", "empty", "lost",
                                                     "refused", "unheard"};

Calls *calls_new(void) {
  Calls *c = g_new0(Calls, 1);
  c->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void calls_free(Calls *c) {
  g_hash_table_destroy(c->kinds);
  g_free(c);
}

void calls_note(Calls *c, const char *kind, CallsPurpose purpose, CallsOp op,
                CallsOutcome outcome, bool trouble) {
  Kind *k = g_hash_table_lookup(c->kinds, kind);
  if (!k) {
    k = g_new0(Kind, 1);
    g_hash_table_insert(c->kinds, g_strdup(kind), k);
  }
  k->n[purpose][op][outcome][trouble]++;
}

/* One count, for whoever goes through them. */
typedef struct Cell {
  const char *kind, *purpose, *op, *outcome;
  bool trouble;
  gint64 n;
  gint64 *told;
} Cell;

typedef void (*CellFn)(const Cell *cell, gpointer ctx);

/* Calls `fn` for each count that is not 0. */
static void each_cell(const char *name, Kind *k, CellFn fn, gpointer ctx) {
  const int all = CALLS_PURPOSES * CALLS_OPS * CALLS_OUTCOMES * 2;
  const gint64 *n = &k->n[0][0][0][0];
  gint64 *told = &k->told[0][0][0][0];
  for (int i = 0; i < all; i++) {
    int outcome = i / 2 % CALLS_OUTCOMES;
    int op = i / 2 / CALLS_OUTCOMES % CALLS_OPS;
    int purpose = i / 2 / CALLS_OUTCOMES / CALLS_OPS;
    Cell cell = {.kind = name,
                 .purpose = purposes[purpose],
                 .op = ops[op],
                 .outcome = outcomes[outcome],
                 .trouble = i % 2,
                 .n = n[i],
                 .told = &told[i]};
    if (n[i] > 0) fn(&cell, ctx);
  }
}

static void each(const Calls *c, CellFn fn, gpointer ctx) {
  GHashTableIter it;
  gpointer name, kind;
  g_hash_table_iter_init(&it, c->kinds);
  while (g_hash_table_iter_next(&it, &name, &kind))
    each_cell(name, kind, fn, ctx);
}

static void print_cell(const Cell *cell, gpointer out) {
  g_string_append_printf(
      out,
      "loftpath_store_calls_total{kind=\"%s\",purpose=\"%s\",op=\"%s\","
      "outcome=\"%s\",trouble=\"%d\"} %" G_GINT64_FORMAT "\n",
      cell->kind, cell->purpose, cell->op, cell->outcome, cell->trouble,
      cell->n);
}

void calls_print(const Calls *c, GString *out) {
  g_string_append(out, "# HELP loftpath_store_calls_total calls to the "
                       "platform's store by what they were for\n"
                       "# TYPE loftpath_store_calls_total counter\n");
  each(c, print_cell, out);
}

static void news_cell(const Cell *cell, gpointer list) {
  gint64 n = cell->n - *cell->told;
  if (n == 0) return;
  *cell->told = cell->n;
  json_array_append_new(list, json_pack("[s,s,s,s,b,I]", cell->kind,
                                        cell->purpose, cell->op, cell->outcome,
                                        (int)cell->trouble, (json_int_t)n));
}

json_t *calls_news(Calls *c) {
  json_t *list = json_array();
  each(c, news_cell, list);
  if (json_array_size(list) > 0) return list;
  json_decref(list);
  return NULL;
}
