/* plain.c: plain services, passed through whole. */
#include <stdio.h>
#include <string.h>

#include "entry/exchange.h"
#include "http/client.h"
#include "kernel/count.h"
#include "kernel/log.h"

#define CONNECT_S 2
#define READ_S 30
#define ANSWER_MAX (8 << 20)

typedef struct Plain {
  Exchange x;
  HttpRequest *r;
  char path[512];
  HttpResponse answer;
  char type[64];
} Plain;

/* "/services/NAME/rest" -> NAME and "/rest". */
static bool split_path(const char *path, char *name, size_t n, char *rest,
                       size_t m) {
  const char *from = path + strlen("/services/");
  const char *slash = strchr(from, '/');
  size_t len = slash ? (size_t)(slash - from) : strlen(from);
  if (len == 0 || len >= n) return false;
  memcpy(name, from, len);
  name[len] = '\0';
  return g_strlcpy(rest, slash ? slash : "/", m) < m;
}

static enum MHD_Result add_arg(void *ctx, enum MHD_ValueKind kind,
                               const char *key, const char *value) {
  (void)kind;
  GString *s = ctx;
  char *k = g_uri_escape_string(key, NULL, FALSE);
  char *v = value ? g_uri_escape_string(value, NULL, FALSE) : NULL;
  g_string_append_printf(s, "%c%s%s%s", strchr(s->str, '?') ? '&' : '?', k,
                         v ? "=" : "", v ? v : "");
  g_free(k);
  g_free(v);
  return MHD_YES;
}

static bool add_query(Plain *p) {
  GString *s = g_string_new(p->path);
  MHD_get_connection_values(p->r->connection, MHD_GET_ARGUMENT_KIND, add_arg,
                            s);
  bool fits = g_strlcpy(p->path, s->str, sizeof p->path) < sizeof p->path;
  g_string_free(s, TRUE);
  return fits;
}

/* One call on a connection of its own, read whole. */
static void call(Plain *p) {
  const char *type = http_request_header(p->r, "Content-Type");
  const char *headers[] = {"X-Request-Id", p->x.id, "Content-Type",
                           type ? type : "application/octet-stream", NULL};
  HttpClientRequest c = {.method = p->r->method,
                         .path = p->path,
                         .headers = headers,
                         .body = p->r->body->str,
                         .body_bytes = p->r->body->len};
  HttpClient *client =
      http_client_new(p->x.ticket.choice.url, CONNECT_S, READ_S);
  HttpStream *s = http_stream_open(client, &c, false, &p->answer);
  p->answer.body = g_string_new(NULL);
  char buf[8192];
  long n = -1;
  if (s) {
    const char *t = http_stream_header(s, "Content-Type");
    g_strlcpy(p->type, t ? t : "application/octet-stream", sizeof p->type);
    while ((n = http_stream_read(s, buf, sizeof buf)) > 0 &&
           p->answer.body->len + (size_t)n <= ANSWER_MAX)
      g_string_append_len(p->answer.body, buf, n);
  }
  p->answer.complete = n == 0;
  http_stream_close(s);
  http_client_free(client);
}

/* Calls until a target answered, may have run it, or none is left. */
static bool dispatch(Plain *p, Err *err) {
  for (;;) {
    call(p);
    if (p->answer.complete) {
      exchange_first(&p->x);
      return true;
    }
    Ran ran = p->answer.sent ? RAN_MAYBE : RAN_NOT;
    log_warn("target-failed", "s:s,s:s,s:b,s:s", "request", p->x.id, "target",
             p->x.ticket.choice.name, "sent", (int)p->answer.sent, "error",
             p->answer.error);
    bool last = ran == RAN_MAYBE && !p->x.service.repeat;
    http_response_free(&p->answer);
    if (!last && exchange_again(&p->x, ran, p->x.reserved, err)) continue;
    if (ran == RAN_MAYBE) {
      if (last) pool_done(p->x.pool, &p->x.ticket, ROUTE_FAILED, 0, 0);
      err_set(err, last ? ERR_MAY_HAVE_RUN : ERR_TARGET_FAILED,
              "%s was sent the request and did not answer",
              p->x.ticket.choice.name);
      err->ran = RAN_MAYBE;
      exchange_unknown(&p->x, p->x.reserved);
    } else {
      err_retry(err, ERR_TARGET_FAILED, 1000, "no target could be reached");
      exchange_not_run(&p->x);
    }
    return false;
  }
}

static struct MHD_Response *give(const char *id, int code, const char *type,
                                 const char *body, size_t len, int *status) {
  struct MHD_Response *m = http_text_response(type, body ? body : "", len);
  entry_headers(m, id, RAN_YES);
  *status = code;
  return m;
}

static struct MHD_Response *finish(Plain *p, int *status) {
  OnceAnswer a = {.status = p->answer.status,
                  .body = p->answer.body->str,
                  .len = p->answer.body->len};
  g_strlcpy(a.type, p->type, sizeof a.type);
  exchange_ran(&p->x, p->x.reserved, &a);
  struct MHD_Response *m =
      give(p->x.id, a.status, a.type, a.body, a.len, status);
  http_response_free(&p->answer);
  return m;
}

static struct MHD_Response *replay(const Plain *p, OnceAnswer *a, int *status) {
  count_add(COUNT_REPLAYS, 1);
  struct MHD_Response *m =
      give(p->x.id, a->status, a->type, a->body, a->len, status);
  MHD_add_response_header(m, "Loftpath-Replayed", a->body ? "true" : "status");
  g_free(a->body);
  return m;
}

static struct MHD_Response *serve(Plain *p, int *status) {
  Err err = {0};
  OnceAnswer kept = {0};
  if (!p->x.service.plain) {
    err_set(&err, ERR_NO_SERVICE, "%s is a model", p->x.service.name);
    return entry_error(&err, p->x.id, status);
  }
  if (!add_query(p)) {
    err_set(&err, ERR_TOO_LARGE, "the path is too long");
    return entry_error(&err, p->x.id, status);
  }
  ExchangeStart s = exchange_start(&p->x, p->r, p->x.service.cost, &kept, &err);
  if (s == EXCHANGE_REPLAY) return replay(p, &kept, status);
  if (s == EXCHANGE_GO && dispatch(p, &err)) return finish(p, status);
  return entry_error(&err, p->x.id, status);
}

struct MHD_Response *plain_handle(Entry *e, HttpRequest *r, int *status) {
  Err err = {0};
  char name[LIMIT_NAME];
  Plain p = {.r = r};
  if (!split_path(r->path, name, sizeof name, p.path, sizeof p.path)) {
    err_set(&err, ERR_NO_SERVICE, "the path names no service");
    return entry_error(&err, NULL, status);
  }
  if (!exchange_who(&p.x, e, r, name, &err))
    return entry_error(&err, p.x.id[0] ? p.x.id : NULL, status);
  return serve(&p, status);
}
