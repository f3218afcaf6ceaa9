/* account.c: sums by route and cause, by moment, by customer. */
#include "report/account.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "report/evacuations.h"
#include "report/lines.h"
#include "report/storecalls.h"

#define WINDOW_S 2.0 /* of the table by moment */
#define TOP 8        /* customers that are listed */
/* Routes with fewer than one in so many requests share a line: a day with a
   thousand routes was mostly those. */
#define RARE 1000
#define RARE_ROUTES "(rare routes)"
#define IN_AIM "in aim"
#define LATE "late:"
#define FAILED "failed"

/* Inputs of a decision and what came of it, as the lines have them. */
static const char *const fields[] = {"seconds", "first", "pause",    "there",
                                     "unread",  "fresh", "predicted"};
#define FIELDS G_N_ELEMENTS(fields)

typedef struct Sum {
  long n;
  double sums[FIELDS];
} Sum;

typedef enum { OUT_IN_AIM, OUT_LATE, OUT_REFUSED, OUT_FAILED, OUTS } Out;

struct Account {
  GHashTable *routes;    /* route -> GHashTable: cause -> Sum */
  GHashTable *moments;   /* number of a window -> long[OUTS] */
  GHashTable *customers; /* name -> long*, requests refused */
  Evacuations *evacuations;
  StoreCalls *calls;
  double begin; /* of the first line */
  long n;       /* requests */
};

/* == causes == */

static const char *served_cause(const json_t *line) {
  double aim = line_number(line, "aim");
  double pause_aim = line_number(line, "pause_aim");
  double first = line_number(line, "first");
  if (line_number(line, "status") >= 500) return FAILED ": target's own error";
  if (first == 0) first = line_number(line, "seconds");
  if (aim > 0 && first > aim) return LATE " first event";
  if (pause_aim > 0 && line_number(line, "pause") > pause_aim)
    return LATE " pause";
  return IN_AIM;
}

const char *report_cause(const json_t *line) {
  const char *outcome = line_text(line, "outcome");
  if (strcmp(outcome, "served") == 0) return served_cause(line);
  if (strcmp(outcome, "caller-gone") == 0) return FAILED ": caller left";
  if (strcmp(outcome, "cut") == 0) return FAILED ": broken off";
  return line_text(line, "error");
}

/* What was sent to a target and ends with an error of ours has failed. */
static Out out_of(const json_t *line, const char *cause) {
  if (strcmp(cause, IN_AIM) == 0) return OUT_IN_AIM;
  if (g_str_has_prefix(cause, LATE)) return OUT_LATE;
  bool sent = line_number(line, "sends") > 0;
  return sent || g_str_has_prefix(cause, FAILED) ? OUT_FAILED : OUT_REFUSED;
}

/* == taking in == */

static void table_free(gpointer p) {
  g_hash_table_destroy(p);
}

Account *report_account_new(void) {
  Account *a = g_new0(Account, 1);
  a->routes =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, table_free);
  a->moments = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  a->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  a->evacuations = report_evacuations_new();
  a->calls = report_storecalls_new();
  a->begin = INFINITY;
  return a;
}

void report_account_free(Account *a) {
  g_hash_table_destroy(a->routes);
  g_hash_table_destroy(a->moments);
  g_hash_table_destroy(a->customers);
  report_evacuations_free(a->evacuations);
  report_storecalls_free(a->calls);
  g_free(a);
}

static GHashTable *causes_of(Account *a, const char *route) {
  GHashTable *causes = g_hash_table_lookup(a->routes, route);
  if (causes) return causes;
  causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert(a->routes, g_strdup(route), causes);
  return causes;
}

static void add_cause(Account *a, const json_t *line, const char *cause) {
  GHashTable *causes = causes_of(a, line_text(line, "route"));
  Sum *s = g_hash_table_lookup(causes, cause);
  if (!s) {
    s = g_new0(Sum, 1);
    g_hash_table_insert(causes, g_strdup(cause), s);
  }
  s->n++;
  for (size_t i = 0; i < FIELDS; i++)
    s->sums[i] += line_number(line, fields[i]);
}

static void add_moment(Account *a, double at, Out out) {
  gpointer window = GINT_TO_POINTER((int)floor(at / WINDOW_S));
  long *counts = g_hash_table_lookup(a->moments, window);
  if (!counts) {
    counts = g_new0(long, OUTS);
    g_hash_table_insert(a->moments, window, counts);
  }
  counts[out]++;
}

static void add_customer(Account *a, const char *name) {
  long *n = g_hash_table_lookup(a->customers, name);
  if (!n) {
    n = g_new0(long, 1);
    g_hash_table_insert(a->customers, g_strdup(name), n);
  }
  ++*n;
}

void report_account_add(Account *a, const json_t *line) {
  double t = line_number(line, "t");
  a->begin = MIN(a->begin, t);
  report_evacuations_add(a->evacuations, line);
  report_storecalls_add(a->calls, line);
  if (!line_is(line, "request")) return;
  a->n++;
  const char *cause = report_cause(line);
  Out out = out_of(line, cause);
  add_cause(a, line, cause);
  add_moment(a, t - a->begin, out);
  if (out == OUT_REFUSED) add_customer(a, line_text(line, "customer"));
}

/* == printing == */

static gint by_number(gconstpointer a, gconstpointer b) {
  return GPOINTER_TO_INT(a) - GPOINTER_TO_INT(b);
}

/* A line of the table. */
typedef struct Line {
  const char *route, *cause;
  Sum sum;
} Line;

static long requests_of(GHashTable *causes) {
  long n = 0;
  GHashTableIter it;
  gpointer sum;
  g_hash_table_iter_init(&it, causes);
  while (g_hash_table_iter_next(&it, NULL, &sum)) n += ((const Sum *)sum)->n;
  return n;
}

static Line *line_of(GArray *lines, const char *route, const char *cause) {
  for (guint i = 0; i < lines->len; i++) {
    Line *l = &g_array_index(lines, Line, i);
    if (strcmp(l->route, route) == 0 && strcmp(l->cause, cause) == 0) return l;
  }
  Line l = {.route = route, .cause = cause};
  g_array_append_val(lines, l);
  return &g_array_index(lines, Line, lines->len - 1);
}

static void add_lines(GArray *lines, const char *route, GHashTable *causes) {
  GHashTableIter it;
  gpointer cause, v;
  g_hash_table_iter_init(&it, causes);
  while (g_hash_table_iter_next(&it, &cause, &v)) {
    const Sum *s = v;
    Line *l = line_of(lines, route, cause);
    l->sum.n += s->n;
    for (size_t i = 0; i < FIELDS; i++) l->sum.sums[i] += s->sums[i];
  }
}

/* Losses first, the largest on top; then what was in aim. */
static gint by_loss(gconstpointer a, gconstpointer b) {
  const Line *x = a, *y = b;
  int fine = (strcmp(x->cause, IN_AIM) == 0) - (strcmp(y->cause, IN_AIM) == 0);
  if (fine != 0) return fine;
  if (x->sum.n != y->sum.n) return x->sum.n < y->sum.n ? 1 : -1;
  int route = strcmp(x->route, y->route);
  return route != 0 ? route : strcmp(x->cause, y->cause);
}

static void print_line(const Line *l, FILE *out) {
  fprintf(out, "%-14s %-28s %7ld", l->route, l->cause, l->sum.n);
  for (size_t k = 0; k < FIELDS; k++)
    fprintf(out, " %9.3f", l->sum.sums[k] / (double)l->sum.n);
  fprintf(out, "\n");
}

static void print_routes(const Account *a, FILE *out) {
  GArray *lines = g_array_new(FALSE, FALSE, sizeof(Line));
  GHashTableIter it;
  gpointer route, causes;
  g_hash_table_iter_init(&it, a->routes);
  while (g_hash_table_iter_next(&it, &route, &causes)) {
    bool rare = requests_of(causes) * RARE < a->n;
    add_lines(lines, rare ? RARE_ROUTES : route, causes);
  }
  g_array_sort(lines, by_loss);
  fprintf(out, "%-14s %-28s %7s", "route", "cause", "n");
  for (size_t k = 0; k < FIELDS; k++) fprintf(out, " %9s", fields[k]);
  fprintf(out, "\n");
  for (guint i = 0; i < lines->len; i++)
    print_line(&g_array_index(lines, Line, i), out);
  g_array_free(lines, TRUE);
}

static void print_moments(const Account *a, FILE *out) {
  GList *windows = g_list_sort(g_hash_table_get_keys(a->moments), by_number);
  fprintf(out, "\n%-8s %7s %7s %8s %7s\n", "second", "in aim", "late",
          "refused", "failed");
  for (GList *i = windows; i; i = i->next) {
    const long *n = g_hash_table_lookup(a->moments, i->data);
    fprintf(out, "%-8.0f %7ld %7ld %8ld %7ld\n",
            GPOINTER_TO_INT(i->data) * WINDOW_S, n[OUT_IN_AIM], n[OUT_LATE],
            n[OUT_REFUSED], n[OUT_FAILED]);
  }
  g_list_free(windows);
}

static gint by_refused(gconstpointer a, gconstpointer b, gpointer customers) {
  const long *x = g_hash_table_lookup(customers, a);
  const long *y = g_hash_table_lookup(customers, b);
  return *x < *y ? 1 : *x > *y ? -1 : strcmp(a, b);
}

static void print_customers(const Account *a, FILE *out) {
  GList *names = g_hash_table_get_keys(a->customers);
  int n = 0;
  names = g_list_sort_with_data(names, by_refused, a->customers);
  fprintf(out, "\n%-24s %8s\n", "customer", "refused");
  for (GList *i = names; i && n < TOP; i = i->next, n++)
    fprintf(out, "%-24s %8ld\n", (const char *)i->data,
            *(long *)g_hash_table_lookup(a->customers, i->data));
  g_list_free(names);
}

void report_account_print(const Account *a, FILE *out) {
  print_routes(a, out);
  print_moments(a, out);
  print_customers(a, out);
  report_evacuations_print(a->evacuations, a->begin, out);
  report_storecalls_print(a->calls, out);
}
