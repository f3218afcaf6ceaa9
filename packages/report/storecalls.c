/* storecalls.c: one sum for each purpose, kind, operation and outcome. */
#include "report/storecalls.h"

#include <glib.h>
#include <string.h>

#include "report/lines.h"

struct StoreCalls {
  GHashTable *sums; /* what stands in the table -> long[2]: calm, in trouble */
  long all;
};

StoreCalls *report_storecalls_new(void) {
  StoreCalls *c = g_new0(StoreCalls, 1);
  c->sums = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void report_storecalls_free(StoreCalls *c) {
  g_hash_table_destroy(c->sums);
  g_free(c);
}

static void add(StoreCalls *c, const char *what, bool trouble, long n) {
  long *sum = g_hash_table_lookup(c->sums, what);
  if (!sum) {
    sum = g_new0(long, 2);
    g_hash_table_insert(c->sums, g_strdup(what), sum);
  }
  sum[trouble] += n;
  c->all += n;
}

/* [kind, purpose, op, outcome, trouble, number] */
static void add_cell(StoreCalls *c, json_t *cell) {
  const char *kind, *purpose, *op, *outcome;
  int trouble;
  json_int_t n;
  char what[128];
  if (json_unpack(cell, "[s,s,s,s,b,I]", &kind, &purpose, &op, &outcome,
                  &trouble, &n) != 0)
    return;
  g_snprintf(what, sizeof what, "%-8s %-12s %-9s %-8s", purpose, kind, op,
             outcome);
  add(c, what, trouble, (long)n);
}

void report_storecalls_add(StoreCalls *c, const json_t *line) {
  json_t *cell;
  size_t i;
  if (!line_is(line, "store-calls")) return;
  json_array_foreach(json_object_get(line, "calls"), i, cell) add_cell(c, cell);
}

static gint by_calls(gconstpointer a, gconstpointer b, gpointer sums) {
  const long *x = g_hash_table_lookup(sums, a),
             *y = g_hash_table_lookup(sums, b);
  long m = x[0] + x[1], n = y[0] + y[1];
  return m < n ? 1 : m > n ? -1 : strcmp(a, b);
}

void report_storecalls_print(const StoreCalls *c, FILE *out) {
  GList *rows = g_hash_table_get_keys(c->sums);
  rows = g_list_sort_with_data(rows, by_calls, c->sums);
  fprintf(out, "\n%-8s %-12s %-9s %-8s %8s %8s\n", "purpose", "kind", "call",
          "outcome", "calm", "trouble");
  for (GList *i = rows; i; i = i->next) {
    const long *n = g_hash_table_lookup(c->sums, i->data);
    fprintf(out, "%s %8ld %8ld\n", (const char *)i->data, n[0], n[1]);
  }
  fprintf(out, "%ld calls to the store\n", c->all);
  g_list_free(rows);
}
