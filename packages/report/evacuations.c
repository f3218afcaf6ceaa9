/* evacuations.c: a row for each data centre. */
#include "report/evacuations.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "report/lines.h"

typedef struct Row {
  double first, last;   /* when an instance first took it in, and last spoke */
  GHashTable *in_force; /* instances where it is, as they last said */
  int most;             /* instances where it was in force at the same time */
} Row;

struct Evacuations {
  GHashTable *rows; /* data centre -> Row */
};

static void row_free(gpointer p) {
  Row *r = p;
  g_hash_table_destroy(r->in_force);
  g_free(r);
}

Evacuations *report_evacuations_new(void) {
  Evacuations *e = g_new0(Evacuations, 1);
  e->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
  return e;
}

void report_evacuations_free(Evacuations *e) {
  g_hash_table_destroy(e->rows);
  g_free(e);
}

static Row *row_of(Evacuations *e, const char *dc, double at) {
  Row *r = g_hash_table_lookup(e->rows, dc);
  if (r) return r;
  r = g_new0(Row, 1);
  r->first = at;
  r->in_force = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert(e->rows, g_strdup(dc), r);
  return r;
}

void report_evacuations_add(Evacuations *e, const json_t *line) {
  if (!line_is(line, "evacuation")) return;
  const char *instance = line_text(line, "instance");
  Row *r = row_of(e, line_text(line, "datacentre"), line_number(line, "t"));
  r->last = line_number(line, "t");
  if (json_is_true(json_object_get(line, "in_force")))
    g_hash_table_add(r->in_force, g_strdup(instance));
  else
    g_hash_table_remove(r->in_force, instance);
  r->most = MAX(r->most, (int)g_hash_table_size(r->in_force));
}

static gint by_name(gconstpointer a, gconstpointer b) {
  return strcmp(a, b);
}

void report_evacuations_print(const Evacuations *e, double begin, FILE *out) {
  GList *names = g_list_sort(g_hash_table_get_keys(e->rows), by_name);
  if (names)
    fprintf(out, "\n%-24s %8s %8s %8s %8s\n", "evacuated", "since", "last",
            "most", "now");
  for (GList *i = names; i; i = i->next) {
    const Row *r = g_hash_table_lookup(e->rows, i->data);
    fprintf(out, "%-24s %8.1f %8.1f %8d %8u\n", (const char *)i->data,
            r->first - begin, r->last - begin, r->most,
            g_hash_table_size(r->in_force));
  }
  g_list_free(names);
}
