/* entry.c: the listener, the error shape and what belongs to no service. */
#include "entry/entry.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/count.h"

#define STACK (512 << 10) /* of a connection's thread; touched as needed */

/* == answers == */

void entry_headers(struct MHD_Response *m, const char *id, Ran ran) {
  if (id) MHD_add_response_header(m, "Loftpath-Request-Id", id);
  MHD_add_response_header(m, "Loftpath-Ran", err_ran(ran));
}

struct MHD_Response *entry_text(const char *type, const char *text) {
  return http_text_response(type, text, strlen(text));
}

static Count refusal(ErrKind kind) {
  switch (kind) {
  case ERR_BUDGET_EMPTY: return COUNT_REFUSED_EMPTY;
  case ERR_BUDGET_HELD: return COUNT_REFUSED_HELD;
  case ERR_BUDGET_STORE: return COUNT_REFUSED_STORE;
  case ERR_BUDGET_CUT: return COUNT_REFUSED_CUT;
  case ERR_CAP: return COUNT_REFUSED_CAP;
  case ERR_OVERLOADED: return COUNT_REFUSED_OVERLOAD;
  default: return COUNT_REFUSED_OTHER;
  }
}

struct MHD_Response *entry_error(const Err *err, const char *id, int *status) {
  const ErrInfo *info = err_info(err->kind);
  count_add(refusal(err->kind), 1);
  json_t *o =
      json_pack("{s:{s:s,s:s,s:s,s:s,s:s?}}", "error", "kind", info->name,
                "message", err->text, "remedy", info->remedy, "ran",
                err_ran(err->ran), "request_id", id);
  char *s = json_dumps(o, JSON_COMPACT);
  struct MHD_Response *m = entry_text("application/json", s);
  free(s);
  json_decref(o);
  entry_headers(m, id, err->ran);
  /* Nobody should come back to an instance that leaves. */
  if (err->kind == ERR_DRAINING)
    MHD_add_response_header(m, "Connection", "close");
  if (err->retry_ms > 0) {
    char after[16];
    snprintf(after, sizeof after, "%d", (err->retry_ms + 999) / 1000);
    MHD_add_response_header(m, "Retry-After", after);
  }
  *status = info->status;
  return m;
}

/* == paths without a service == */

static struct MHD_Response *health(Entry *e, HttpRequest *r, int *status) {
  (void)e;
  (void)r;
  *status = 200;
  return entry_text("text/plain", "ok\n");
}

static struct MHD_Response *ready(Entry *e, HttpRequest *r, int *status) {
  (void)r;
  bool up = !atomic_load(&e->draining) && snapshots_version(e->snapshots) > 0;
  *status = up ? 200 : 503;
  return entry_text("text/plain", up ? "ready\n" : "not ready\n");
}

static struct MHD_Response *metrics(Entry *e, HttpRequest *r, int *status) {
  (void)r;
  GString *s = g_string_new(NULL);
  count_print(s);
  LedgerSums n = fleet_sums(e->fleet);
  g_string_append_printf(
      s,
      "# TYPE loftpath_tokens_free gauge\nloftpath_tokens_free %" PRId64 "\n"
      "# TYPE loftpath_tokens_reserved gauge\nloftpath_tokens_reserved "
      "%" PRId64 "\n"
      "# TYPE loftpath_tokens_home gauge\nloftpath_tokens_home %" PRId64 "\n"
      "# TYPE loftpath_open_requests gauge\nloftpath_open_requests %d\n"
      "# TYPE loftpath_table_version gauge\nloftpath_table_version %" PRIu64
      "\n",
      n.free, n.reserved, n.home_free, atomic_load(&e->open),
      snapshots_version(e->snapshots));
  struct MHD_Response *m = entry_text("text/plain; version=0.0.4", s->str);
  g_string_free(s, TRUE);
  *status = 200;
  return m;
}

static const struct {
  const char *method, *path; /* a path that ends in / is a prefix */
  struct MHD_Response *(*handle)(Entry *e, HttpRequest *r, int *status);
  bool work; /* a planned stop waits for it */
} routes[] = {
    {"POST", "/v1/chat/completions", chat_handle, true},
    {"GET", "/v1/models", chat_models, false},
    {NULL, "/services/", plain_handle, true},
    {NULL, "/admin/", admin_handle, false},
    {"GET", "/metrics", metrics, false},
    {"GET", "/healthz", health, false},
    {"GET", "/readyz", ready, false},
};

static bool on_path(const char *path, const char *route) {
  size_t n = strlen(route);
  if (route[n - 1] == '/') return strncmp(path, route, n) == 0;
  return strcmp(path, route) == 0;
}

/* Open from here until the last byte of the answer has left. */
static void begin_work(Entry *e, HttpRequest *r) {
  count_add(COUNT_REQUESTS, 1);
  atomic_fetch_add(&e->open, 1);
  r->state = e;
}

static void end_work(void *ctx, HttpRequest *r, bool whole) {
  (void)whole;
  Entry *e = ctx;
  if (r->state) atomic_fetch_sub(&e->open, 1);
}

static struct MHD_Response *handle(void *ctx, HttpRequest *r, int *status) {
  Entry *e = ctx;
  for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
    if (!on_path(r->path, routes[i].path)) continue;
    if (routes[i].method && strcmp(routes[i].method, r->method) != 0) continue;
    if (routes[i].work) begin_work(e, r);
    return routes[i].handle(e, r, status);
  }
  Err err = {0};
  err_set(&err, ERR_MALFORMED, "nothing is served at %s %.100s", r->method,
          r->path);
  struct MHD_Response *m = entry_error(&err, NULL, status);
  *status = 404;
  return m;
}

bool entry_open(Entry *e, Err *err) {
  HttpOptions o = {.max_body_bytes = e->options.max_body,
                   .max_header_bytes = e->options.max_header,
                   .max_connections = e->options.max_connections,
                   .idle_timeout_s = e->options.idle_s,
                   .stack_bytes = STACK};
  e->server =
      http_server_start(e->options.listen, &o, handle, end_work, e, err);
  return e->server != NULL;
}

void entry_drain(Entry *e) {
  atomic_store(&e->draining, true);
}

void entry_close(Entry *e) {
  http_server_stop(e->server);
  e->server = NULL;
}
