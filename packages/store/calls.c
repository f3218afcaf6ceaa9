/* calls.c: a hash table by kind of object; the other dimensions are array
   indexes. */
#include "store/calls.h"

/* All counts of one kind of object. */
typedef struct KindCounts {
  gint64 counts[CALLS_PURPOSE_COUNT][CALLS_OP_COUNT][CALLS_OUTCOME_COUNT][2];
  gint64 reported[CALLS_PURPOSE_COUNT][CALLS_OP_COUNT][CALLS_OUTCOME_COUNT][2];
} KindCounts;

struct Calls {
  GHashTable *kinds; /* name -> KindCounts */
};

static const char *const purposes[CALLS_PURPOSE_COUNT] = {
    "reader", "self", "budget", "trial", "stream"};
static const char *const ops[CALLS_OP_COUNT] = {
    "old-list", "list", "watch", "get", "make", "put", "delete", "knock"};
static const char *const outcomes[CALLS_OUTCOME_COUNT] = {
    "served", "empty", "lost", "refused", "unheard"};

Calls *calls_new(void) {
  Calls *c = g_new0(Calls, 1);
  c->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void calls_free(Calls *c) {
  g_hash_table_destroy(c->kinds);
  g_free(c);
}

void calls_record(Calls *c, const char *kind, CallsPurpose purpose, CallsOp op,
                  CallsOutcome outcome, bool trouble) {
  KindCounts *k = g_hash_table_lookup(c->kinds, kind);
  if (!k) {
    k = g_new0(KindCounts, 1);
    g_hash_table_insert(c->kinds, g_strdup(kind), k);
  }
  k->counts[purpose][op][outcome][trouble]++;
}

/* One count, as passed to a CellFn. */
typedef struct Cell {
  const char *kind, *purpose, *op, *outcome;
  bool trouble;
  gint64 n;
  gint64 *reported;
} Cell;

typedef void (*CellFn)(const Cell *cell, gpointer ctx);

/* Calls `fn` for each count that is not 0. */
static void each_cell(const char *name, KindCounts *k, CellFn fn,
                      gpointer ctx) {
  const int all =
      CALLS_PURPOSE_COUNT * CALLS_OP_COUNT * CALLS_OUTCOME_COUNT * 2;
  const gint64 *n = &k->counts[0][0][0][0];
  gint64 *reported = &k->reported[0][0][0][0];
  for (int i = 0; i < all; i++) {
    int outcome = i / 2 % CALLS_OUTCOME_COUNT;
    int op = i / 2 / CALLS_OUTCOME_COUNT % CALLS_OP_COUNT;
    int purpose = i / 2 / CALLS_OUTCOME_COUNT / CALLS_OP_COUNT;
    Cell cell = {.kind = name,
                 .purpose = purposes[purpose],
                 .op = ops[op],
                 .outcome = outcomes[outcome],
                 .trouble = i % 2,
                 .n = n[i],
                 .reported = &reported[i]};
    if (n[i] > 0) fn(&cell, ctx);
  }
}

static void each_kind(const Calls *c, CellFn fn, gpointer ctx) {
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

void calls_print_metrics(const Calls *c, GString *out) {
  g_string_append(out, "# HELP loftpath_store_calls_total calls to the "
                       "platform's store by what they were for\n"
                       "# TYPE loftpath_store_calls_total counter\n");
  each_kind(c, print_cell, out);
}

static void append_unreported(const Cell *cell, gpointer list) {
  gint64 n = cell->n - *cell->reported;
  if (n == 0) return;
  *cell->reported = cell->n;
  json_array_append_new(list, json_pack("[s,s,s,s,b,I]", cell->kind,
                                        cell->purpose, cell->op, cell->outcome,
                                        (int)cell->trouble, (json_int_t)n));
}

json_t *calls_take_unreported(Calls *c) {
  json_t *list = json_array();
  each_kind(c, append_unreported, list);
  if (json_array_size(list) > 0) return list;
  json_decref(list);
  return NULL;
}
