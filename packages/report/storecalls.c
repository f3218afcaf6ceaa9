/* storecalls.c: keeps one sum per purpose, kind, operation and outcome. */
#include "report/storecalls.h"

#include <glib.h>
#include <string.h>

#include "report/lines.h"

struct ReportStoreCalls {
  GHashTable *sums; /* row label -> long[2]: calls in normal operation, and
                       calls shortly after the store failed one */
  long total;
};

ReportStoreCalls *report_storecalls_new(void) {
  ReportStoreCalls *c = g_new0(ReportStoreCalls, 1);
  c->sums = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void report_storecalls_free(ReportStoreCalls *c) {
  g_hash_table_destroy(c->sums);
  g_free(c);
}

static void add_calls(ReportStoreCalls *c, const char *row_label,
                      bool after_failure, long n) {
  long *sum = g_hash_table_lookup(c->sums, row_label);
  if (!sum) {
    sum = g_new0(long, 2);
    g_hash_table_insert(c->sums, g_strdup(row_label), sum);
  }
  sum[after_failure] += n;
  c->total += n;
}

/* An entry is [kind, purpose, op, outcome, after_failure, number]. */
static void add_entry(ReportStoreCalls *c, json_t *entry) {
  const char *kind, *purpose, *op, *outcome;
  int after_failure;
  json_int_t n;
  char row_label[128];
  if (json_unpack(entry, "[s,s,s,s,b,I]", &kind, &purpose, &op, &outcome,
                  &after_failure, &n) != 0)
    return;
  g_snprintf(row_label, sizeof row_label, "%-8s %-12s %-9s %-8s", purpose, kind,
             op, outcome);
  add_calls(c, row_label, after_failure, (long)n);
}

void report_storecalls_add(ReportStoreCalls *c, const json_t *line) {
  json_t *entry;
  size_t i;
  if (!report_event_is(line, "store-calls")) return;
  json_array_foreach(json_object_get(line, "calls"), i, entry)
      add_entry(c, entry);
}

static gint compare_call_counts(gconstpointer a, gconstpointer b,
                                gpointer sums) {
  const long *x = g_hash_table_lookup(sums, a),
             *y = g_hash_table_lookup(sums, b);
  long m = x[0] + x[1], n = y[0] + y[1];
  return m < n ? 1 : m > n ? -1 : strcmp(a, b);
}

void report_storecalls_print(const ReportStoreCalls *c, FILE *out) {
  GList *rows = g_hash_table_get_keys(c->sums);
  rows = g_list_sort_with_data(rows, compare_call_counts, c->sums);
  fprintf(out, "\n%-8s %-12s %-9s %-8s %8s %8s\n", "purpose", "kind", "call",
          "outcome", "calm", "trouble");
  for (GList *i = rows; i; i = i->next) {
    const long *n = g_hash_table_lookup(c->sums, i->data);
    fprintf(out, "%s %8ld %8ld\n", (const char *)i->data, n[0], n[1]);
  }
  fprintf(out, "%ld calls to the store\n", c->total);
  g_list_free(rows);
}
