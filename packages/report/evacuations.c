/* evacuations.c: keeps one row per data centre. */
#include "report/evacuations.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "report/lines.h"

/* The evacuations of one data centre. */
typedef struct Row {
  /* times of the first and the last event, in seconds as the log has them */
  double started_at, last_event_at;
  /* ids of the instances whose last event has an evacuation in force */
  GHashTable *instances_in_force;
  int max_instances_in_force; /* largest size of the set so far */
} Row;

struct ReportEvacuations {
  GHashTable *rows; /* data centre -> Row */
};

static void free_row(gpointer p) {
  Row *r = p;
  g_hash_table_destroy(r->instances_in_force);
  g_free(r);
}

ReportEvacuations *report_evacuations_new(void) {
  ReportEvacuations *e = g_new0(ReportEvacuations, 1);
  e->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
  return e;
}

void report_evacuations_free(ReportEvacuations *e) {
  g_hash_table_destroy(e->rows);
  g_free(e);
}

static Row *find_or_add_row(ReportEvacuations *e, const char *dc,
                            double event_at) {
  Row *r = g_hash_table_lookup(e->rows, dc);
  if (r) return r;
  r = g_new0(Row, 1);
  r->started_at = event_at;
  r->instances_in_force =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert(e->rows, g_strdup(dc), r);
  return r;
}

void report_evacuations_add(ReportEvacuations *e, const json_t *line) {
  if (!report_event_is(line, "evacuation")) return;
  const char *instance = report_event_string(line, "instance");
  Row *r = find_or_add_row(e, report_event_string(line, "datacentre"),
                           report_event_number(line, "t"));
  r->last_event_at = report_event_number(line, "t");
  if (json_is_true(json_object_get(line, "in_force")))
    g_hash_table_add(r->instances_in_force, g_strdup(instance));
  else
    g_hash_table_remove(r->instances_in_force, instance);
  r->max_instances_in_force = MAX(
      r->max_instances_in_force, (int)g_hash_table_size(r->instances_in_force));
}

static gint compare_names(gconstpointer a, gconstpointer b) {
  return strcmp(a, b);
}

void report_evacuations_print(const ReportEvacuations *e, double begin,
                              FILE *out) {
  GList *names = g_list_sort(g_hash_table_get_keys(e->rows), compare_names);
  if (names)
    fprintf(out, "\n%-24s %8s %8s %8s %8s\n", "evacuated", "since", "last",
            "most", "now");
  for (GList *i = names; i; i = i->next) {
    const Row *r = g_hash_table_lookup(e->rows, i->data);
    fprintf(out, "%-24s %8.1f %8.1f %8d %8u\n", (const char *)i->data,
            r->started_at - begin, r->last_event_at - begin,
            r->max_instances_in_force,
            g_hash_table_size(r->instances_in_force));
  }
  g_list_free(names);
}
