/* entry.c: routes requests to their handlers, formats errors, and serves
   health, readiness and metrics. */
#include "entry/entry.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/text.h"

/* For a connection's thread. The kernel maps its pages on first use. */
#define CONNECTION_STACK_BYTES (512 << 10)
#define RETRY_MEMORY_MS 1000 /* Retry-After while memory is short */

/* == responses == */

void entry_add_headers(struct MHD_Response *response, const char *id, Ran ran) {
  if (id) MHD_add_response_header(response, "Loftpath-Request-Id", id);
  MHD_add_response_header(response, "Loftpath-Ran", err_ran_name(ran));
}

struct MHD_Response *entry_text_response(const char *type, const char *text) {
  return http_text_response(type, text, strlen(text));
}

static Count refusal_counter(ErrKind kind) {
  switch (kind) {
  case ERR_BUDGET_EMPTY: return COUNT_REFUSED_EMPTY;
  case ERR_BUDGET_HELD: return COUNT_REFUSED_HELD;
  case ERR_BUDGET_STORE: return COUNT_REFUSED_STORE;
  case ERR_BUDGET_CUT: return COUNT_REFUSED_CUT;
  case ERR_CAP_REACHED: return COUNT_REFUSED_CAP;
  case ERR_OVERLOADED: return COUNT_REFUSED_OVERLOAD;
  default: return COUNT_REFUSED_OTHER;
  }
}

struct MHD_Response *entry_error_response(const Err *err, const char *id,
                                          int *status) {
  const ErrInfo *info = err_info(err->kind);
  count_add(refusal_counter(err->kind), 1);
  json_t *o =
      json_pack("{s:{s:s,s:s,s:s,s:s,s:s?}}", "error", "kind", info->name,
                "message", err->text, "remedy", info->remedy, "ran",
                err_ran_name(err->ran), "request_id", id);
  char *s = json_dumps(o, JSON_COMPACT);
  struct MHD_Response *response = entry_text_response("application/json", s);
  free(s);
  json_decref(o);
  entry_add_headers(response, id, err->ran);
  /* Makes the caller reconnect, and so move to another instance. */
  if (err->kind == ERR_DRAINING)
    MHD_add_response_header(response, "Connection", "close");
  if (err->retry_ms > 0) {
    char after[16];
    snprintf(after, sizeof after, "%d", (err->retry_ms + 999) / 1000);
    MHD_add_response_header(response, "Retry-After", after);
  }
  *status = info->status;
  return response;
}

/* == health, readiness, metrics == */

static struct MHD_Response *handle_health(Entry *e, HttpRequest *r,
                                          int *status) {
  (void)e;
  (void)r;
  *status = 200;
  return entry_text_response("text/plain", "ok\n");
}

static struct MHD_Response *handle_ready(Entry *e, HttpRequest *r,
                                         int *status) {
  (void)r;
  bool is_ready =
      !atomic_load(&e->draining) && snapshots_version(e->snapshots) > 0;
  *status = is_ready ? 200 : 503;
  return entry_text_response("text/plain",
                             is_ready ? "ready\n" : "not ready\n");
}

static struct MHD_Response *handle_metrics(Entry *e, HttpRequest *r,
                                           int *status) {
  (void)r;
  GString *s = g_string_new(NULL);
  count_print(s);
  LedgerSums sums = fleet_sums(e->fleet);
  g_string_append_printf(
      s,
      "# TYPE loftpath_tokens_free gauge\nloftpath_tokens_free %" PRId64 "\n"
      "# TYPE loftpath_tokens_reserved gauge\nloftpath_tokens_reserved "
      "%" PRId64 "\n"
      "# TYPE loftpath_tokens_home gauge\nloftpath_tokens_home %" PRId64 "\n"
      "# TYPE loftpath_open_requests gauge\nloftpath_open_requests %d\n"
      "# TYPE loftpath_table_version gauge\nloftpath_table_version %" PRIu64
      "\n",
      sums.free, sums.reserved, sums.home_free_tokens,
      atomic_load(&e->open_requests), snapshots_version(e->snapshots));
  struct MHD_Response *response =
      entry_text_response("text/plain; version=0.0.4", s->str);
  g_string_free(s, TRUE);
  *status = 200;
  return response;
}

typedef struct Endpoint {
  const char *method, *path; /* a path that ends in '/' is a prefix */
  struct MHD_Response *(*handle_request)(Entry *e, HttpRequest *r, int *status);
  bool counts_as_open; /* a planned stop waits for its requests */
  bool is_parsed;      /* its body is held as values as well */
} Endpoint;

static const Endpoint endpoints[] = {
    {"POST", "/v1/chat/completions", chat_handle, true, true},
    {"GET", "/v1/models", chat_list_models, false, false},
    {NULL, "/services/", plain_handle, true, false},
    {NULL, "/admin/", admin_handle, false, true},
    {"GET", "/metrics", handle_metrics, false, false},
    {"GET", "/healthz", handle_health, false, false},
    {"GET", "/readyz", handle_ready, false, false},
};

static bool path_matches(const char *path, const char *pattern) {
  size_t n = strlen(pattern);
  if (pattern[n - 1] == '/') return strncmp(path, pattern, n) == 0;
  return strcmp(path, pattern) == 0;
}

/* Counts the request as open until the last byte of its response is sent. */
static void start_request(Entry *e, HttpRequest *r) {
  count_add(COUNT_REQUESTS, 1);
  atomic_fetch_add(&e->open_requests, 1);
  r->state = e;
}

static void finish_request(void *ctx, HttpRequest *r, bool complete) {
  (void)complete;
  Entry *e = ctx;
  if (r->state) atomic_fetch_sub(&e->open_requests, 1);
}

/* Memory that serving the request takes besides its body. */
static size_t extra_bytes(const Endpoint *p, const HttpRequest *r) {
  if (!p->is_parsed) return 0;
  return LIMIT_CHAT_COPIES * r->body->len +
         LIMIT_JSON_VALUE_BYTES * text_count_values(r->body->str, r->body->len);
}

/* The requests of a path up to its second slash share memory. */
static char *group_of(const char *path) {
  const char *name = strchr(path + 1, '/');
  size_t n = name ? (size_t)(name + 1 - path) : 0;
  return g_strndup(path, n + strcspn(path + n, "/"));
}

/* Whether there is memory to serve the request. One that can never be served
   is too large. */
static bool check_memory(const Endpoint *p, HttpRequest *r, Err *err) {
  if (!p->counts_as_open && r->body->len == 0 && !r->is_refused) return true;
  size_t extra = extra_bytes(p, r);
  if (!r->is_refused && !connection_may_ever_serve(r->caller, extra))
    return err_set(err, ERR_TOO_LARGE, "the body has too many values");
  char *group = group_of(r->path);
  bool ok = !r->is_refused && connection_serve(r->caller, group, extra);
  g_free(group);
  return ok || err_retry(err, ERR_OVERLOADED, RETRY_MEMORY_MS,
                         "this instance holds too many requests");
}

static struct MHD_Response *refuse_request(const Err *err, int *status) {
  struct MHD_Response *response = entry_error_response(err, NULL, status);
  MHD_add_response_header(response, "Connection", "close");
  return response;
}

static struct MHD_Response *handle_request(void *ctx, HttpRequest *r,
                                           int *status) {
  Entry *e = ctx;
  Err err = {0};
  for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
    if (!path_matches(r->path, endpoints[i].path)) continue;
    if (endpoints[i].method && strcmp(endpoints[i].method, r->method) != 0)
      continue;
    if (!check_memory(&endpoints[i], r, &err))
      return refuse_request(&err, status);
    if (endpoints[i].counts_as_open) start_request(e, r);
    return endpoints[i].handle_request(e, r, status);
  }
  err_set(&err, ERR_MALFORMED, "nothing is served at %s %.100s", r->method,
          r->path);
  struct MHD_Response *response = entry_error_response(&err, NULL, status);
  *status = 404;
  return response;
}

bool entry_open(Entry *e, Err *err) {
  HttpOptions o = {.max_body_bytes = e->options.max_body_bytes,
                   .max_header_bytes = e->options.max_header_bytes,
                   .max_connections = e->options.max_connections,
                   .memory_bytes = e->options.caller_bytes,
                   .idle_timeout_s = e->options.idle_timeout_s,
                   .stack_bytes = CONNECTION_STACK_BYTES};
  e->server = http_server_start(e->options.listen, &o, handle_request,
                                finish_request, e, err);
  return e->server != NULL;
}

void entry_drain(Entry *e) {
  atomic_store(&e->draining, true);
}

void entry_close(Entry *e) {
  http_server_stop(e->server);
  e->server = NULL;
}
