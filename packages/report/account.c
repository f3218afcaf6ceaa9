/* account.c: counts requests by route and cause, by time and by customer. */
#include "report/account.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "report/evacuations.h"
#include "report/lines.h"
#include "report/storecalls.h"

#define WINDOW_S 2.0 /* width of a row of the table over time */
#define CUSTOMERS_LISTED_MAX 8
/* Routes with less than one in this many requests share a row. With a thousand
   routes they would otherwise fill the table. */
#define RARE_ROUTE_RATIO 1000
#define RARE_ROUTES "(rare routes)"
#define CAUSE_WITHIN_OBJECTIVE "in aim"
#define CAUSE_LATE "late:"
#define CAUSE_FAILED "failed"

/* Fields of the event "request": inputs of the routing decision, and results.
 */
static const char *const input_fields[] = {
    "seconds", "first", "pause", "there", "unread", "fresh", "predicted"};
#define INPUT_FIELD_COUNT G_N_ELEMENTS(input_fields)

typedef struct CauseSum {
  long requests;
  double sums[INPUT_FIELD_COUNT];
  long refused; /* of `requests`; the next two are theirs */
  double refused_after_s, refused_after_max_s;
} CauseSum;

/* Causes of rejections by the expected time of an answer, as the event
   "request" names them, and as they are printed. */
static const char *const rejections[][2] = {{"deadline", "rejected: deadline"},
                                            {"late", "rejected: late"},
                                            {"share", "rejected: share"}};
#define REJECTION_COUNT G_N_ELEMENTS(rejections)

/* Requests of one customer that were refused. */
typedef struct CustomerSum {
  long refused, rejected[REJECTION_COUNT];
  double refused_after_s;
} CustomerSum;

typedef enum {
  OUTCOME_WITHIN_OBJECTIVE,
  OUTCOME_LATE,
  OUTCOME_REFUSED,
  OUTCOME_FAILED,
  OUTCOME_COUNT
} Outcome;

struct ReportLosses {
  GHashTable *routes;            /* route -> GHashTable: cause -> CauseSum */
  GHashTable *windows_by_number; /* number of a window -> long[OUTCOME_COUNT] */
  GHashTable *customers;         /* name -> CustomerSum */
  ReportEvacuations *evacuations;
  ReportStoreCalls *store_calls;
  double started_at; /* time of the first event */
  long requests;
};

/* == causes == */

static const char *classify_served_request(const json_t *line) {
  double aim = report_event_number(line, "aim");
  double pause_aim = report_event_number(line, "pause_aim");
  double first = report_event_number(line, "first");
  if (report_event_number(line, "status") >= 500)
    return CAUSE_FAILED ": target's own error";
  if (first == 0) first = report_event_number(line, "seconds");
  if (aim > 0 && first > aim) return CAUSE_LATE " first event";
  if (pause_aim > 0 && report_event_number(line, "pause") > pause_aim)
    return CAUSE_LATE " pause";
  return CAUSE_WITHIN_OBJECTIVE;
}

/* Returns the index in `rejections`, or REJECTION_COUNT. */
static size_t find_rejection(const json_t *line) {
  const char *cause = report_event_string(line, "cause");
  size_t i = 0;
  while (i < REJECTION_COUNT && strcmp(rejections[i][0], cause) != 0) i++;
  return i;
}

const char *report_request_cause(const json_t *line) {
  const char *outcome = report_event_string(line, "outcome");
  if (strcmp(outcome, "served") == 0) return classify_served_request(line);
  if (strcmp(outcome, "caller-gone") == 0) return CAUSE_FAILED ": caller left";
  if (strcmp(outcome, "cut") == 0) return CAUSE_FAILED ": broken off";
  size_t rejection = find_rejection(line);
  return rejection < REJECTION_COUNT ? rejections[rejection][1]
                                     : report_event_string(line, "error");
}

/* A request that was sent to a target and ended with an error of the instance
   counts as failed, not as refused. */
static Outcome classify_outcome(const json_t *line, const char *cause) {
  if (strcmp(cause, CAUSE_WITHIN_OBJECTIVE) == 0)
    return OUTCOME_WITHIN_OBJECTIVE;
  if (g_str_has_prefix(cause, CAUSE_LATE)) return OUTCOME_LATE;
  bool sent = report_event_number(line, "sends") > 0;
  return sent || g_str_has_prefix(cause, CAUSE_FAILED) ? OUTCOME_FAILED
                                                       : OUTCOME_REFUSED;
}

/* == collecting == */

static void destroy_table(gpointer p) {
  g_hash_table_destroy(p);
}

ReportLosses *report_losses_new(void) {
  ReportLosses *a = g_new0(ReportLosses, 1);
  a->routes =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_table);
  a->windows_by_number = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  a->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  a->evacuations = report_evacuations_new();
  a->store_calls = report_storecalls_new();
  a->started_at = INFINITY;
  return a;
}

void report_losses_free(ReportLosses *a) {
  g_hash_table_destroy(a->routes);
  g_hash_table_destroy(a->windows_by_number);
  g_hash_table_destroy(a->customers);
  report_evacuations_free(a->evacuations);
  report_storecalls_free(a->store_calls);
  g_free(a);
}

static GHashTable *find_or_add_route(ReportLosses *a, const char *route) {
  GHashTable *causes = g_hash_table_lookup(a->routes, route);
  if (causes) return causes;
  causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert(a->routes, g_strdup(route), causes);
  return causes;
}

static void count_refused(CauseSum *s, double after_s) {
  s->refused++;
  s->refused_after_s += after_s;
  s->refused_after_max_s = MAX(s->refused_after_max_s, after_s);
}

static void count_cause(ReportLosses *a, const json_t *line, const char *cause,
                        Outcome outcome) {
  GHashTable *causes = find_or_add_route(a, report_event_string(line, "route"));
  CauseSum *s = g_hash_table_lookup(causes, cause);
  if (!s) {
    s = g_new0(CauseSum, 1);
    g_hash_table_insert(causes, g_strdup(cause), s);
  }
  s->requests++;
  for (size_t i = 0; i < INPUT_FIELD_COUNT; i++)
    s->sums[i] += report_event_number(line, input_fields[i]);
  if (outcome == OUTCOME_REFUSED)
    count_refused(s, report_event_number(line, "seconds"));
}

static void count_window(ReportLosses *a, double since_start_s,
                         Outcome outcome) {
  gpointer window = GINT_TO_POINTER((int)floor(since_start_s / WINDOW_S));
  long *counts = g_hash_table_lookup(a->windows_by_number, window);
  if (!counts) {
    counts = g_new0(long, OUTCOME_COUNT);
    g_hash_table_insert(a->windows_by_number, window, counts);
  }
  counts[outcome]++;
}

static void count_refused_customer(ReportLosses *a, const json_t *line) {
  const char *name = report_event_string(line, "customer");
  CustomerSum *s = g_hash_table_lookup(a->customers, name);
  size_t rejection = find_rejection(line);
  if (!s) {
    s = g_new0(CustomerSum, 1);
    g_hash_table_insert(a->customers, g_strdup(name), s);
  }
  s->refused++;
  s->refused_after_s += report_event_number(line, "seconds");
  if (rejection < REJECTION_COUNT) s->rejected[rejection]++;
}

void report_losses_add(ReportLosses *a, const json_t *line) {
  double t = report_event_number(line, "t");
  a->started_at = MIN(a->started_at, t);
  report_evacuations_add(a->evacuations, line);
  report_storecalls_add(a->store_calls, line);
  if (!report_event_is(line, "request")) return;
  a->requests++;
  const char *cause = report_request_cause(line);
  Outcome outcome = classify_outcome(line, cause);
  count_cause(a, line, cause, outcome);
  count_window(a, t - a->started_at, outcome);
  if (outcome == OUTCOME_REFUSED) count_refused_customer(a, line);
}

/* == printing == */

static gint compare_windows(gconstpointer a, gconstpointer b) {
  return GPOINTER_TO_INT(a) - GPOINTER_TO_INT(b);
}

/* A row of the table of routes and causes. */
typedef struct Row {
  const char *route, *cause;
  CauseSum sum;
} Row;

static long count_route_requests(GHashTable *causes) {
  long n = 0;
  GHashTableIter it;
  gpointer sum;
  g_hash_table_iter_init(&it, causes);
  while (g_hash_table_iter_next(&it, NULL, &sum))
    n += ((const CauseSum *)sum)->requests;
  return n;
}

static Row *find_or_add_row(GArray *rows, const char *route,
                            const char *cause) {
  for (guint i = 0; i < rows->len; i++) {
    Row *row = &g_array_index(rows, Row, i);
    if (strcmp(row->route, route) == 0 && strcmp(row->cause, cause) == 0)
      return row;
  }
  Row row = {.route = route, .cause = cause};
  g_array_append_val(rows, row);
  return &g_array_index(rows, Row, rows->len - 1);
}

static void add_rows(GArray *rows, const char *route, GHashTable *causes) {
  GHashTableIter it;
  gpointer cause, v;
  g_hash_table_iter_init(&it, causes);
  while (g_hash_table_iter_next(&it, &cause, &v)) {
    const CauseSum *s = v;
    Row *row = find_or_add_row(rows, route, cause);
    row->sum.requests += s->requests;
    for (size_t i = 0; i < INPUT_FIELD_COUNT; i++)
      row->sum.sums[i] += s->sums[i];
    row->sum.refused += s->refused;
    row->sum.refused_after_s += s->refused_after_s;
    row->sum.refused_after_max_s =
        MAX(row->sum.refused_after_max_s, s->refused_after_max_s);
  }
}

/* Sorts losses first, in descending order, then requests served within their
   objective. */
static gint compare_rows_by_loss(gconstpointer a, gconstpointer b) {
  const Row *x = a, *y = b;
  int within = (strcmp(x->cause, CAUSE_WITHIN_OBJECTIVE) == 0) -
               (strcmp(y->cause, CAUSE_WITHIN_OBJECTIVE) == 0);
  if (within != 0) return within;
  if (x->sum.requests != y->sum.requests)
    return x->sum.requests < y->sum.requests ? 1 : -1;
  int route = strcmp(x->route, y->route);
  return route != 0 ? route : strcmp(x->cause, y->cause);
}

static void print_row(const Row *row, FILE *out) {
  fprintf(out, "%-14s %-28s %7ld", row->route, row->cause, row->sum.requests);
  for (size_t k = 0; k < INPUT_FIELD_COUNT; k++)
    fprintf(out, " %9.3f", row->sum.sums[k] / (double)row->sum.requests);
  fprintf(out, "\n");
}

static GArray *list_rows(const ReportLosses *a) {
  GArray *rows = g_array_new(FALSE, FALSE, sizeof(Row));
  GHashTableIter it;
  gpointer route, causes;
  g_hash_table_iter_init(&it, a->routes);
  while (g_hash_table_iter_next(&it, &route, &causes)) {
    bool is_rare =
        count_route_requests(causes) * RARE_ROUTE_RATIO < a->requests;
    add_rows(rows, is_rare ? RARE_ROUTES : route, causes);
  }
  g_array_sort(rows, compare_rows_by_loss);
  return rows;
}

static void print_routes(const GArray *rows, FILE *out) {
  fprintf(out, "%-14s %-28s %7s", "route", "cause", "n");
  for (size_t k = 0; k < INPUT_FIELD_COUNT; k++)
    fprintf(out, " %9s", input_fields[k]);
  fprintf(out, "\n");
  for (guint i = 0; i < rows->len; i++)
    print_row(&g_array_index(rows, Row, i), out);
}

/* Requests refused before they were sent, and how soon. */
static void print_refusals(const GArray *rows, FILE *out) {
  fprintf(out, "\n%-14s %-28s %7s %9s %9s\n", "route", "refused for", "n",
          "after s", "longest");
  for (guint i = 0; i < rows->len; i++) {
    const Row *row = &g_array_index(rows, Row, i);
    if (row->sum.refused == 0) continue;
    fprintf(out, "%-14s %-28s %7ld %9.3f %9.3f\n", row->route, row->cause,
            row->sum.refused,
            row->sum.refused_after_s / (double)row->sum.refused,
            row->sum.refused_after_max_s);
  }
}

static void print_windows(const ReportLosses *a, FILE *out) {
  GList *windows =
      g_list_sort(g_hash_table_get_keys(a->windows_by_number), compare_windows);
  fprintf(out, "\n%-8s %7s %7s %8s %7s\n", "second", "in aim", "late",
          "refused", "failed");
  for (GList *i = windows; i; i = i->next) {
    const long *n = g_hash_table_lookup(a->windows_by_number, i->data);
    fprintf(out, "%-8.0f %7ld %7ld %8ld %7ld\n",
            GPOINTER_TO_INT(i->data) * WINDOW_S, n[OUTCOME_WITHIN_OBJECTIVE],
            n[OUTCOME_LATE], n[OUTCOME_REFUSED], n[OUTCOME_FAILED]);
  }
  g_list_free(windows);
}

static gint compare_refused_counts(gconstpointer a, gconstpointer b,
                                   gpointer customers) {
  const CustomerSum *x = g_hash_table_lookup(customers, a);
  const CustomerSum *y = g_hash_table_lookup(customers, b);
  if (x->refused != y->refused) return x->refused < y->refused ? 1 : -1;
  return strcmp(a, b);
}

static void print_customers(const ReportLosses *a, FILE *out) {
  GList *names = g_hash_table_get_keys(a->customers);
  int n = 0;
  names = g_list_sort_with_data(names, compare_refused_counts, a->customers);
  fprintf(out, "\n%-24s %8s", "customer", "refused");
  for (size_t k = 0; k < REJECTION_COUNT; k++)
    fprintf(out, " %9s", rejections[k][0]);
  fprintf(out, " %9s\n", "after s");
  for (GList *i = names; i && n < CUSTOMERS_LISTED_MAX; i = i->next, n++) {
    const CustomerSum *s = g_hash_table_lookup(a->customers, i->data);
    fprintf(out, "%-24s %8ld", (const char *)i->data, s->refused);
    for (size_t k = 0; k < REJECTION_COUNT; k++)
      fprintf(out, " %9ld", s->rejected[k]);
    fprintf(out, " %9.3f\n", s->refused_after_s / (double)s->refused);
  }
  g_list_free(names);
}

void report_losses_print(const ReportLosses *a, FILE *out) {
  GArray *rows = list_rows(a);
  print_routes(rows, out);
  print_refusals(rows, out);
  g_array_free(rows, TRUE);
  print_windows(a, out);
  print_customers(a, out);
  report_evacuations_print(a->evacuations, a->started_at, out);
  report_storecalls_print(a->store_calls, out);
}
