/* loftpath.c: the command-line tool for operators. */
#include <argp.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "http/client.h"
#include "kernel/err.h"
#include "report/account.h"
#include "report/explain.h"
#include "report/lines.h"
#include "table/table.h"

#define REQUEST_TIMEOUT_S 30
#define RESPONSE_MAX_BYTES (64 << 20)
#define IN_FORCE_POLL_US 100000
/* Max time that a table normally takes from its acceptance until all instances
   use it. */
#define IN_FORCE_MAX_S 10

enum { EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_REFUSED, EXIT_FAULT_FOUND };

static const char doc[] =
    "loftpath -- look at and steer a fleet\v"
    "Commands:\n"
    "  check FILE     check a table, send nothing\n"
    "  diff FILE      what applying FILE would change\n"
    "  apply FILE     make FILE the table, and wait until it is in force\n"
    "  show           the table in force, as CSV\n"
    "  history        who changed the table and when\n"
    "  budgets        each budget: total, spent, held, free\n"
    "  bills          billed tokens by budget\n"
    "  targets        targets as the instance sees them\n"
    "  instances      members of the fleet\n"
    "  status         what is wrong first, then what to do\n"
    "  drain          planned stop of the instance asked\n"
    "  hash KEY       SHA-256 of a customer's key, for the table\n"
    "  account [LOG]  which requests were late or lost and why, from log "
    "lines\n"
    "  explain ID LOG one request: its lines and what led to them\n\n"
    "Exit: 0 fine, 1 failed, 2 usage, 3 refused, 4 status found a fault.\n"
    "Environment: LOFTPATH_ADDRESS, LOFTPATH_ADMIN_KEY.";

static const struct argp_option options[] = {
    {"address", 'a', "IP:PORT", 0, "An instance of the fleet", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {"base", 'b', "VERSION", 0,
     "apply: the version the file was made on; default: its '# version' line",
     0},
    {"wait", 'w', "SECONDS", 0, "apply: wait this long for all instances", 0},
    {0}};

typedef struct Args {
  /* operand: FILE, KEY, ID or the LOG of account; log_path: the LOG of explain
   */
  const char *address, *admin_key, *command, *operand, *log_path, *base_version;
  int wait_timeout_s;
  bool json;
} Args;

static error_t parse_option(int k, char *arg, struct argp_state *state) {
  Args *a = state->input;
  switch (k) {
  case 'a': a->address = arg; break;
  case 'j': a->json = true; break;
  case 'b': a->base_version = arg; break;
  case 'w': a->wait_timeout_s = atoi(arg); break;
  case ARGP_KEY_ARG:
    if (state->arg_num == 0)
      a->command = arg;
    else if (state->arg_num == 1)
      a->operand = arg;
    else if (state->arg_num == 2)
      a->log_path = arg;
    else
      argp_usage(state);
    break;
  case ARGP_KEY_NO_ARGS: argp_usage(state); break;
  default: return ARGP_ERR_UNKNOWN;
  }
  return 0;
}

/* == requests == */

static bool send_request(const Args *a, const char *address, const char *method,
                         const char *path, const char *body,
                         HttpResponse *response) {
  char auth[512];
  snprintf(auth, sizeof auth, "Bearer %s", a->admin_key);
  const char *headers[] = {"Authorization", auth, NULL};
  HttpClient *c = http_client_new(address, 5, REQUEST_TIMEOUT_S);
  if (!c) {
    fprintf(stderr, "loftpath: '%s' is not ip:port\n", address);
    memset(response, 0, sizeof *response);
    return false;
  }
  http_client_request(
      c,
      &(HttpClientRequest){.method = method,
                           .path = path,
                           .headers = headers,
                           .body = body,
                           .body_bytes = body ? strlen(body) : 0},
      RESPONSE_MAX_BYTES, response);
  http_client_free(c);
  return response->status == 200 && response->complete;
}

/* Prints why a request failed and frees the response. Returns the exit code. */
static int print_failure(const Args *a, HttpResponse *response) {
  int code = response->status ? EXIT_REFUSED : EXIT_FAILED;
  json_t *o =
      response->body && response->body->len
          ? json_loadb(response->body->str, response->body->len, 0, NULL)
          : NULL;
  json_t *e = json_object_get(o, "error"), *line;
  const char *message = json_string_value(json_object_get(e, "message"));
  const char *remedy = json_string_value(json_object_get(e, "remedy"));
  size_t i;
  if (message)
    fprintf(stderr, "loftpath: %s\n", message);
  else
    fprintf(stderr, "loftpath: no answer from %s: %s\n", a->address,
            response->error);
  json_array_foreach(json_object_get(e, "errors"), i, line)
      fprintf(stderr, "  %s\n", json_string_value(line));
  if (remedy) fprintf(stderr, "  remedy: %s\n", remedy);
  json_decref(o);
  http_response_free(response);
  return code;
}

/* Returns the JSON at `path`. On failure prints why, sets *code to the exit
   code and returns NULL. */
static json_t *get_json(const Args *a, const char *path, int *code) {
  HttpResponse response;
  *code = EXIT_OK;
  if (!send_request(a, a->address, "GET", path, NULL, &response)) {
    *code = print_failure(a, &response);
    return NULL;
  }
  json_t *o = json_loadb(response.body->str, response.body->len, 0, NULL);
  http_response_free(&response);
  return o;
}

/* == tables of text == */

typedef struct Column {
  const char *title, *field;
  int width; /* negative: left-aligned */
} Column;

static void print_cell(const Column *c, const json_t *v) {
  char text[64] = "";
  if (json_is_integer(v))
    snprintf(text, sizeof text, "%lld", (long long)json_integer_value(v));
  else if (json_is_real(v))
    snprintf(text, sizeof text, "%.3f", json_real_value(v));
  else if (json_is_boolean(v))
    snprintf(text, sizeof text, "%s", json_is_true(v) ? "yes" : "-");
  else if (json_is_string(v))
    snprintf(text, sizeof text, "%s", json_string_value(v));
  printf("%*s ", c->width, text);
}

static void print_rows(const Column *columns, json_t *rows) {
  size_t i;
  json_t *row;
  for (const Column *c = columns; c->title; c++)
    printf("%*s ", c->width, c->title);
  printf("\n");
  json_array_foreach(rows, i, row) {
    for (const Column *c = columns; c->title; c++)
      print_cell(c, json_object_get(row, c->field));
    printf("\n");
  }
}

/* Prints the JSON list at `path` as a table, or as JSON if that is requested or
   `columns` is NULL. Returns the exit code. */
static int print_list(const Args *a, const char *path, const Column *columns) {
  int code;
  json_t *o = get_json(a, path, &code);
  if (!o) return code;
  if (a->json || !columns) {
    json_dumpf(o, stdout, JSON_INDENT(2));
    printf("\n");
  } else {
    print_rows(columns, o);
  }
  json_decref(o);
  return EXIT_OK;
}

static int cmd_budgets(const Args *a) {
  static const Column columns[] = {
      {"budget", "name", -32}, {"total", "total", 12},
      {"spent", "spent", 12},  {"held", "held", 12},
      {"free", "free", 12},    {"retired", "retired", 9},
      {"sealed", "sealed", 6}, {NULL, NULL, 0}};
  return print_list(a, "/admin/budgets", columns);
}

static int cmd_targets(const Args *a) {
  static const Column columns[] = {{"target", "name", -20},
                                   {"pool", "pool", -24},
                                   {"datacentre", "datacentre", -12},
                                   {"adapters", "adapters", -16},
                                   {"given", "given", -16},
                                   {"slots", "slots", 6},
                                   {"running", "running", 7},
                                   {"waiting", "waiting", 7},
                                   {"age", "age", 7},
                                   {"leaving", "leaving", 7},
                                   {"ejected", "ejected", 7},
                                   {"failures", "failures", 8},
                                   {NULL, NULL, 0}};
  return print_list(a, "/admin/targets", columns);
}

static int cmd_instances(const Args *a) {
  static const Column columns[] = {{"instance", "id", -32},
                                   {"region", "region", -12},
                                   {"datacentre", "datacentre", -12},
                                   {"http", "http", -21},
                                   {"table", "table", 8},
                                   {"leaving", "leaving", 7},
                                   {NULL, NULL, 0}};
  return print_list(a, "/admin/instances", columns);
}

static int cmd_history(const Args *a) {
  static const Column columns[] = {{"version", "version", 8},
                                   {"who", "who", -20},
                                   {"unix time", "t", 12},
                                   {"edit", "id", -36},
                                   {NULL, NULL, 0}};
  return print_list(a, "/admin/history", columns);
}

static int cmd_bills(const Args *a) {
  return print_list(a, "/admin/bills", NULL);
}

/* == status: each check prints the faults that it finds and returns their
   number == */

static int print_fault(const char *what, const char *name, const char *remedy) {
  printf("  ! %s %s\n      %s\n", what, name, remedy);
  return 1;
}

static int check_targets(json_t *o) {
  size_t i;
  json_t *t;
  int n = 0;
  json_array_foreach(json_object_get(o, "targets"), i, t) {
    const char *name = json_string_value(json_object_get(t, "name"));
    if (json_is_true(json_object_get(t, "ejected")))
      n += print_fault("target does not answer or fails:", name,
                       "it is left out and tried again by itself; look at the "
                       "target if it stays");
  }
  return n;
}

/* Reports instances that have kept an older table for longer than
   IN_FORCE_MAX_S. */
static int check_instances(json_t *o) {
  size_t i;
  json_t *m;
  int n = 0;
  json_array_foreach(json_object_get(o, "instances"), i, m) {
    const char *id = json_string_value(json_object_get(m, "id"));
    if (json_number_value(json_object_get(m, "stuck_s")) > IN_FORCE_MAX_S)
      n += print_fault("instance keeps an older table:", id,
                       "look at its log; if it says nothing, restart it");
  }
  return n;
}

static int check_budgets(const Args *a) {
  int code, n = 0;
  json_t *list = get_json(a, "/admin/budgets", &code), *b;
  size_t i;
  json_array_foreach(list, i, b) {
    json_int_t total = json_integer_value(json_object_get(b, "total"));
    json_int_t spent = json_integer_value(json_object_get(b, "spent"));
    const char *name = json_string_value(json_object_get(b, "name"));
    if (total > 0 && total - spent <= total / 100)
      n +=
          print_fault("budget has less than one part in a hundred left:", name,
                      "raise its tokens in the table and apply, or let it end");
  }
  json_decref(list);
  return n;
}

static int cmd_status(const Args *a) {
  int code, n = 0;
  json_t *o = get_json(a, "/admin/status", &code);
  if (!o) return code;
  if (a->json) {
    json_dumpf(o, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(o);
    return EXIT_OK;
  }
  printf("WRONG NOW\n");
  if (!json_is_true(json_object_get(o, "store_up")))
    n += print_fault(
        "the platform's store does not answer", "",
        "requests go on from the outage reserve; call the platform's "
        "operators; do not restart instances");
  else
    n += check_budgets(a);
  n += check_targets(o);
  n += check_instances(o);
  if (n == 0) printf("  nothing\n");
  printf("\nFLEET  table version %lld, %zu instances, %zu targets, asked %s\n",
         (long long)json_integer_value(json_object_get(o, "table")),
         json_array_size(json_object_get(o, "instances")),
         json_array_size(json_object_get(o, "targets")),
         json_string_value(json_object_get(o, "instance")));
  printf("  requests open here %lld, tokens ready here %lld, held as home "
         "%lld\n",
         (long long)json_integer_value(json_object_get(o, "open")),
         (long long)json_integer_value(json_object_get(o, "free")),
         (long long)json_integer_value(json_object_get(o, "home_free")));
  json_decref(o);
  return n ? EXIT_FAULT_FOUND : EXIT_OK;
}

/* == table == */

static char *read_file(const char *path) {
  char *text = NULL;
  GError *e = NULL;
  if (path && g_file_get_contents(path, &text, NULL, &e)) return text;
  fprintf(stderr, "loftpath: %s\n", e ? e->message : "name a file");
  g_clear_error(&e);
  return NULL;
}

static Table *parse_table_file(const char *path, char **text) {
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  char *csv = read_file(path);
  Table *t = csv ? table_read_csv(csv, errors, NULL) : NULL;
  for (guint i = 0; i < errors->len; i++)
    fprintf(stderr, "%s: %s\n", path, (char *)errors->pdata[i]);
  g_ptr_array_free(errors, TRUE);
  if (text && t)
    *text = csv;
  else
    g_free(csv);
  return t;
}

static int cmd_check(const Args *a) {
  Table *t = parse_table_file(a->operand, NULL);
  if (!t) return EXIT_REFUSED;
  printf("%s: %u rows, no fault found\n", a->operand, t->sorted_rows->len);
  table_free(t);
  return EXIT_OK;
}

static int cmd_show(const Args *a) {
  HttpResponse response;
  if (!send_request(a, a->address, "GET", "/admin/table", NULL, &response))
    return print_failure(a, &response);
  fwrite(response.body->str, 1, response.body->len, stdout);
  http_response_free(&response);
  return EXIT_OK;
}

/* Prints the changes between the table in force and `new_table`. Returns their
   number, or -1 if the fleet does not respond. */
static int print_diff(const Args *a, const Table *new_table) {
  HttpResponse response;
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  if (!send_request(a, a->address, "GET", "/admin/table", NULL, &response)) {
    print_failure(a, &response);
    return -1;
  }
  Table *current_table = table_read_csv(response.body->str, errors, NULL);
  if (!current_table) current_table = table_new();
  GPtrArray *changes = table_diff(current_table, new_table);
  for (guint i = 0; i < changes->len; i++) {
    char *line = table_describe_change(changes->pdata[i]);
    printf("%s\n", line);
    g_free(line);
  }
  int n = (int)changes->len;
  g_ptr_array_unref(changes);
  g_ptr_array_free(errors, TRUE);
  table_free(current_table);
  http_response_free(&response);
  return n;
}

static int cmd_diff(const Args *a) {
  Table *new_table = parse_table_file(a->operand, NULL);
  if (!new_table) return EXIT_REFUSED;
  int n = print_diff(a, new_table);
  if (n == 0) printf("no difference\n");
  table_free(new_table);
  return n < 0 ? EXIT_FAILED : EXIT_OK;
}

/* Returns the number of instances that have not confirmed `version`. If `print`
   is set, also prints the version of each instance. Returns 1 if the list of
   instances is not available. */
static int count_unconfirmed_instances(const Args *a, json_int_t version,
                                       bool print) {
  int code, n = 0;
  json_t *list = get_json(a, "/admin/instances", &code), *m;
  size_t i;
  if (!list) return 1;
  json_array_foreach(list, i, m) {
    json_int_t v = json_integer_value(json_object_get(m, "table"));
    if (print)
      printf("  %-32s version %lld%s\n",
             json_string_value(json_object_get(m, "id")), (long long)v,
             v < version ? "  NOT CONFIRMED" : "");
    n += v < version;
  }
  json_decref(list);
  return n;
}

static int wait_until_in_force(const Args *a, json_int_t version) {
  int polls = a->wait_timeout_s * 1000000 / IN_FORCE_POLL_US;
  for (int i = 0;
       i < polls && count_unconfirmed_instances(a, version, false) > 0; i++)
    g_usleep(IN_FORCE_POLL_US);
  int n = count_unconfirmed_instances(a, version, true);
  if (n == 0) {
    printf("version %lld is in force everywhere\n", (long long)version);
    return EXIT_OK;
  }
  printf("version %lld is accepted; %d instances have not confirmed it\n",
         (long long)version, n);
  return EXIT_FAILED;
}

static int cmd_apply(const Args *a) {
  char *csv = NULL;
  Table *new_table = parse_table_file(a->operand, &csv);
  if (!new_table) return EXIT_REFUSED;
  int n = print_diff(a, new_table);
  table_free(new_table);
  if (n < 0) {
    g_free(csv);
    return EXIT_FAILED;
  }
  uint64_t id[2] = {0};
  if (getrandom(id, sizeof id, 0) != sizeof id) id[0] = (uint64_t)getpid();
  const char *who = g_get_user_name();
  char *path = g_strdup_printf(
      "/admin/table?id=%016llx%016llx&who=%s%s%s", (unsigned long long)id[0],
      (unsigned long long)id[1], who, a->base_version ? "&base=" : "",
      a->base_version ? a->base_version : "");
  /* The id makes it safe to send the request again if its response is lost. */
  HttpResponse response;
  bool ok = false;
  for (int i = 0; i < 3 && !ok; i++) {
    if (i > 0) http_response_free(&response);
    ok = send_request(a, a->address, "POST", path, csv, &response);
    if (response.status && response.status != 503) break;
  }
  g_free(path);
  g_free(csv);
  if (!ok) return print_failure(a, &response);
  json_t *o = json_loadb(response.body->str, response.body->len, 0, NULL);
  json_int_t version = json_integer_value(json_object_get(o, "version"));
  json_decref(o);
  http_response_free(&response);
  return wait_until_in_force(a, version);
}

static int cmd_drain(const Args *a) {
  HttpResponse response;
  if (!send_request(a, a->address, "POST", "/admin/drain", NULL, &response))
    return print_failure(a, &response);
  printf("%s\n", response.body->str);
  http_response_free(&response);
  return EXIT_OK;
}

static int cmd_hash(const Args *a) {
  if (!a->operand) {
    fprintf(stderr, "loftpath: hash needs a key\n");
    return EXIT_USAGE;
  }
  char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, a->operand, -1);
  printf("%s\n", hex);
  g_free(hex);
  return EXIT_OK;
}

/* == logs == */

static FILE *open_log(const char *path) {
  FILE *f = path ? fopen(path, "r") : stdin;
  if (!f) fprintf(stderr, "loftpath: %s can't be read\n", path);
  return f;
}

static int cmd_account(const Args *a) {
  FILE *in = open_log(a->operand);
  if (!in) return EXIT_FAILED;
  ReportLosses *losses = report_losses_new();
  long skipped = 0;
  json_t *line;
  while ((line = report_read_event(in, &skipped))) {
    report_losses_add(losses, line);
    json_decref(line);
  }
  report_losses_print(losses, stdout);
  fflush(stdout); /* so that the note on stderr follows the tables */
  if (skipped > 0)
    fprintf(stderr, "loftpath: %ld lines are no events\n", skipped);
  report_losses_free(losses);
  if (in != stdin) fclose(in);
  return EXIT_OK;
}

static int cmd_explain(const Args *a) {
  if (!a->operand || !a->log_path) {
    fprintf(stderr, "loftpath: explain needs a request's id and a log file\n");
    return EXIT_USAGE;
  }
  FILE *in = open_log(a->log_path);
  if (!in) return EXIT_FAILED;
  bool found = report_explain(in, a->operand, stdout);
  fclose(in);
  if (found) return EXIT_OK;
  fprintf(stderr,
          "loftpath: no request %s in the log: look at the others' "
          "logs, or in an older one\n",
          a->operand);
  return EXIT_FAILED;
}

static const struct {
  const char *name;
  int (*run)(const Args *a);
} commands[] = {
    {"check", cmd_check},         {"diff", cmd_diff},
    {"apply", cmd_apply},         {"show", cmd_show},
    {"history", cmd_history},     {"budgets", cmd_budgets},
    {"bills", cmd_bills},         {"targets", cmd_targets},
    {"instances", cmd_instances}, {"status", cmd_status},
    {"drain", cmd_drain},         {"hash", cmd_hash},
    {"account", cmd_account},     {"explain", cmd_explain},
};

int main(int argc, char **argv) {
  Args a = {.address = getenv("LOFTPATH_ADDRESS"),
            .admin_key = getenv("LOFTPATH_ADMIN_KEY"),
            .wait_timeout_s = 10};
  struct argp argp = {options, parse_option, "COMMAND [FILE [LOG]]", doc, 0, 0,
                      0};
  argp_parse(&argp, argc, argv, 0, NULL, &a);
  if (!a.address) a.address = "127.0.0.1:8080";
  if (!a.admin_key) a.admin_key = "";
  for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
    if (strcmp(commands[i].name, a.command) == 0) return commands[i].run(&a);
  fprintf(stderr, "loftpath: there is no command '%s': see loftpath --help\n",
          a.command);
  return EXIT_USAGE;
}
