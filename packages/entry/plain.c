/* plain.c: proxies requests for plain services, with the complete response
   buffered. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "entry/body.h"
#include "entry/exchange.h"
#include "http/client.h"
#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/log.h"

#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 30

/* Only the form counts: numbers may be longer than 64 bits. */
#define JSON_FLAGS (JSON_DECODE_ANY | JSON_DECODE_INT_AS_REAL | JSON_ALLOW_NUL)

typedef struct Plain {
  Exchange x;
  HttpRequest *r;
  char path[512];
  HttpResponse answer;
  char type[64];
} Plain;

/* Splits "/services/NAME/rest", which is decoded, into NAME and "/rest" as it
   was sent. */
static bool split_path(const char *path, char *name, size_t n, char *rest,
                       size_t m) {
  const char *from = path + strlen("/services/");
  const char *slash = strchr(from, '/');
  size_t len = slash ? (size_t)(slash - from) : strlen(from);
  if (len == 0 || len >= n) return false;
  memcpy(name, from, len);
  name[len] = '\0';
  char *escaped = g_uri_escape_string(
      slash ? slash : "/", G_URI_RESERVED_CHARS_ALLOWED_IN_PATH, FALSE);
  bool fits = g_strlcpy(rest, escaped, m) < m;
  g_free(escaped);
  return fits;
}

static enum MHD_Result append_argument(void *ctx, enum MHD_ValueKind kind,
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

static bool append_query(Plain *p) {
  GString *s = g_string_new(p->path);
  MHD_get_connection_values(p->r->connection, MHD_GET_ARGUMENT_KIND,
                            append_argument, s);
  bool fits = g_strlcpy(p->path, s->str, sizeof p->path) < sizeof p->path;
  g_string_free(s, TRUE);
  return fits;
}

static void free_answer(Plain *p) {
  body_free(p->answer.body);
  p->answer.body = NULL;
}

/* == the end of an answer == */

static bool is_json_type(const char *type) {
  static const char json[] = "application/json", suffix[] = "+json";
  size_t n = strcspn(type, "; "), m = sizeof suffix - 1;
  return (n == sizeof json - 1 && g_ascii_strncasecmp(type, json, n) == 0) ||
         (n > m && g_ascii_strncasecmp(type + n - m, suffix, m) == 0);
}

/* Whether an answer is whole that has neither a length nor chunks, so that the
   end of the connection ends it: JSON shows it, unless it is a mere number or
   the like. For others the target has to answer once more: the connections of a
   killed process end in the same way. One that stands still has as long as for
   an answer. A living target that ends another answer too soon can't be told
   from one that ends it properly. */
static bool is_whole_unframed(const Plain *p) {
  if (is_json_type(p->type)) {
    const GString *b = p->answer.body;
    json_t *o = json_loadb(b->str, b->len, JSON_FLAGS, NULL);
    bool is_closed = json_is_object(o) || json_is_array(o), is_json = o;
    json_decref(o);
    if (is_closed || !is_json) return is_closed;
  }
  g_usleep(LIMIT_END_CHECK_DELAY_MS * 1000);
  return http_answers(p->x.ticket.choice.url, READ_TIMEOUT_S);
}

/* == dispatch == */

/* Sends the request on a new connection and reads the complete response. */
static void call_target(Plain *p) {
  const char *type = http_request_header(p->r, "Content-Type");
  const char *headers[] = {"X-Request-Id", p->x.id, "Content-Type",
                           type ? type : "application/octet-stream", NULL};
  HttpClientRequest c = {.method = p->r->method,
                         .path = p->path,
                         .headers = headers,
                         .body = p->r->body->str,
                         .body_bytes = p->r->body->len};
  HttpClient *client = http_client_new(p->x.ticket.choice.url,
                                       CONNECT_TIMEOUT_S, READ_TIMEOUT_S);
  HttpStream *s = http_stream_open(client, &c, false, &p->answer);
  p->answer.body = g_string_new(NULL);
  bool is_whole = false;
  if (s) {
    const char *t = http_stream_header(s, "Content-Type");
    g_strlcpy(p->type, t ? t : "application/octet-stream", sizeof p->type);
    is_whole = body_read(s, p->r->caller, p->answer.body, NULL, NULL);
  }
  p->answer.complete = is_whole && (p->answer.framed || is_whole_unframed(p));
  http_stream_close(s);
  http_client_free(client);
}

/* Sends the request until a target responds or no retry is allowed: a target
   may have run the request, or none is left. */
static bool dispatch_request(Plain *p, Err *err) {
  for (;;) {
    call_target(p);
    if (p->answer.complete) {
      exchange_record_first_byte(&p->x);
      return true;
    }
    Ran ran = p->answer.sent ? RAN_MAYBE : RAN_NOT;
    log_warn("target-failed", "s:s,s:s,s:b,s:s", "request", p->x.id, "target",
             p->x.ticket.choice.name, "sent", (int)p->answer.sent, "error",
             p->answer.error);
    bool is_final = ran == RAN_MAYBE && !p->x.service.is_repeatable;
    free_answer(p);
    if (!is_final && exchange_retry(&p->x, ran, p->x.reserved_tokens, err))
      continue;
    if (ran == RAN_MAYBE) {
      if (is_final)
        pool_end_dispatch(p->x.pool, &p->x.ticket, ROUTE_FAILED, 0, 0);
      err_set(err, is_final ? ERR_MAY_HAVE_RUN : ERR_TARGET_FAILED,
              "%s was sent the request and did not answer",
              p->x.ticket.choice.name);
      err->ran = RAN_MAYBE;
      exchange_end_unknown(&p->x, p->x.reserved_tokens);
    } else {
      err_retry(err, ERR_TARGET_FAILED, 1000, "no target could be reached");
      exchange_end_not_run(&p->x);
    }
    return false;
  }
}

static struct MHD_Response *finish_request(Plain *p, int *status) {
  OnceAnswer a = {.status = p->answer.status,
                  .body = p->answer.body->str,
                  .len = p->answer.body->len};
  g_strlcpy(a.type, p->type, sizeof a.type);
  exchange_complete(&p->x, p->x.reserved_tokens, &a);
  struct MHD_Response *response = body_take(p->type, p->answer.body);
  entry_add_headers(response, p->x.id, RAN_YES);
  *status = a.status;
  p->answer.body = NULL;
  return response;
}

static struct MHD_Response *replay_response(const Plain *p, OnceAnswer *a,
                                            int *status) {
  count_add(COUNT_REPLAYS, 1);
  struct MHD_Response *response =
      http_text_response(a->type, a->body ? a->body : "", a->len);
  entry_add_headers(response, p->x.id, RAN_YES);
  *status = a->status;
  MHD_add_response_header(response, "Loftpath-Replayed",
                          a->body ? "true" : "status");
  g_free(a->body);
  return response;
}

static struct MHD_Response *serve_request(Plain *p, int *status) {
  Err err = {0};
  OnceAnswer kept_answer = {0};
  if (!p->x.service.is_plain) {
    err_set(&err, ERR_NO_SERVICE, "%s is a model", p->x.service.name);
    return entry_error_response(&err, p->x.id, status);
  }
  if (!append_query(p)) {
    err_set(&err, ERR_TOO_LARGE, "the path is too long");
    return entry_error_response(&err, p->x.id, status);
  }
  ExchangeStart s =
      exchange_start(&p->x, p->r, p->x.service.cost_tokens, &kept_answer, &err);
  if (s == EXCHANGE_REPLAY) return replay_response(p, &kept_answer, status);
  if (s == EXCHANGE_DISPATCHED && dispatch_request(p, &err))
    return finish_request(p, status);
  return entry_error_response(&err, p->x.id, status);
}

struct MHD_Response *plain_handle(Entry *e, HttpRequest *r, int *status) {
  Err err = {0};
  char name[LIMIT_NAME_BYTES];
  Plain p = {.r = r};
  if (!split_path(r->path, name, sizeof name, p.path, sizeof p.path)) {
    err_set(&err, ERR_NO_SERVICE, "the path names no service");
    return entry_error_response(&err, NULL, status);
  }
  if (!exchange_identify(&p.x, e, r, name, &err))
    return entry_error_response(&err, p.x.id[0] ? p.x.id : NULL, status);
  return serve_request(&p, status);
}
