/* chat.c: chat completions, streamed and whole. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/exchange.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "target/engine.h"

#define MESSAGE_TOKENS 16 /* template tokens of a message, at most */
#define REQUEST_TOKENS 64 /* template tokens of a request, at most */
#define CONNECT_S 2
#define READ_S 60
#define RESUMES 2           /* times that one stream is taken up again */
#define WHOLE_MAX (8 << 20) /* bytes of an answer that is not streamed */

/* == reading the request == */

/* Every token covers at least one byte of what is sent, so the bytes of the
   body and a margin for the template are never below the engine's count. */
static int64_t prompt_bound(const HttpRequest *r, json_t *messages) {
  return (int64_t)r->body->len +
         (int64_t)json_array_size(messages) * MESSAGE_TOKENS + REQUEST_TOKENS;
}

static bool check_message(json_t *m, Err *err) {
  json_t *content = json_object_get(m, "content"), *part;
  size_t i;
  if (!json_is_string(json_object_get(m, "role")))
    return err_set(err, ERR_MALFORMED, "a message has no role");
  json_array_foreach(content, i, part) {
    const char *type = json_string_value(json_object_get(part, "type"));
    /* The tokens of a picture or a sound can't be bounded from its bytes. */
    if (!type || strcmp(type, "text") != 0)
      return err_set(err, ERR_MALFORMED, "only text content can be routed");
  }
  return true;
}

static json_t *parse(const HttpRequest *r, Err *err) {
  json_error_t bad;
  json_t *o =
      json_loadb(r->body->str, r->body->len, JSON_REJECT_DUPLICATES, &bad);
  json_t *messages = json_object_get(o, "messages"), *m;
  json_t *n = json_object_get(o, "n");
  size_t i;
  bool ok = true;
  if (!o)
    ok = err_set(err, ERR_MALFORMED, "not JSON: %s", bad.text);
  else if (!json_is_string(json_object_get(o, "model")))
    ok = err_set(err, ERR_MALFORMED, "model is missing or not a string");
  else if (json_array_size(messages) == 0)
    ok = err_set(err, ERR_MALFORMED, "messages is missing or empty");
  else if (n && json_integer_value(n) != 1)
    ok = err_set(err, ERR_MALFORMED, "n must be 1");
  json_array_foreach(messages, i, m) ok = ok && check_message(m, err);
  if (ok) return o;
  json_decref(o);
  return NULL;
}

/* == one request == */

typedef struct Chat {
  Exchange x;
  json_t *request;
  char *body;     /* as the engine gets it */
  int64_t prompt; /* bound */
  bool stream, wants_usage;
  HttpClient *client;
  HttpStream *upstream;
  GString *line, *out, *kept; /* kept: NULL once too large */
  int64_t usage;              /* -1: not told yet */
  int events;                 /* that came of the stream, whole ones */
  int resumes;
  bool done; /* the engine said [DONE] */
  bool ended, cut;
} Chat;

static void chat_free(Chat *c) {
  http_stream_close(c->upstream);
  http_client_free(c->client);
  json_decref(c->request);
  free(c->body);
  if (c->line) g_string_free(c->line, TRUE);
  if (c->out) g_string_free(c->out, TRUE);
  if (c->kept) g_string_free(c->kept, TRUE);
  g_free(c);
}

static void close_upstream(Chat *c) {
  http_stream_close(c->upstream);
  http_client_free(c->client);
  c->upstream = NULL;
  c->client = NULL;
}

/* Tokens of a run that ended early: the engine's own count if it has one, else
   all that was reserved. */
static int64_t consumed(Chat *c) {
  close_upstream(c);
  int64_t n = engine_cancel(c->x.ticket.choice.url, c->x.id);
  return n >= 0 ? n : c->x.reserved;
}

/* == dispatch == */

static HttpStream *open_once(Chat *c, HttpResponse *a) {
  EngineCall call = {.id = c->x.id,
                     .priority = c->x.service.priority,
                     .body = c->body,
                     .len = strlen(c->body)};
  c->client = http_client_new(c->x.ticket.choice.url, CONNECT_S, READ_S);
  c->upstream = engine_open(c->client, &call, a);
  return c->upstream;
}

/* Takes the run up again where it is, after the events we have. */
static bool resume(Chat *c) {
  HttpResponse a;
  if (!c->stream || c->resumes >= RESUMES) return false;
  c->resumes++;
  close_upstream(c);
  c->client = http_client_new(c->x.ticket.choice.url, CONNECT_S, READ_S);
  c->upstream = engine_resume(c->client, c->x.id, c->events, &a);
  bool ok = c->upstream && a.status == 200;
  log_info("resume", "s:s,s:s,s:i,s:b", "request", c->x.id, "target",
           c->x.ticket.choice.name, "events", c->events, "resumed", (int)ok);
  if (ok) count_add(COUNT_RESUMED, 1);
  if (!ok) close_upstream(c);
  return ok;
}

/* The router of an earlier try is lost; its run may still be going on. */
static bool resume_lost(Chat *c) {
  const char *at = c->x.run.target;
  return at[0] && strcmp(at, c->x.ticket.choice.name) == 0 && resume(c);
}

/* Dispatches until a target answers with 200; else false, and the exchange is
   over. Nothing has gone to the caller yet, so another target may be tried. */
static bool dispatch(Chat *c, Err *err) {
  if (resume_lost(c)) return true;
  for (;;) {
    HttpResponse a;
    if (open_once(c, &a) && a.status == 200) return true;
    Ran ran = a.sent ? RAN_MAYBE : RAN_NOT;
    bool bad_request = a.status >= 400 && a.status < 500 && a.status != 429;
    if (a.status == 429) ran = RAN_NOT; /* the engine's own word */
    log_warn("target-failed", "s:s,s:s,s:i,s:b,s:s", "request", c->x.id,
             "target", c->x.ticket.choice.name, "status", a.status, "sent",
             (int)a.sent, "error", a.error);
    err_retry(err, bad_request ? ERR_MALFORMED : ERR_TARGET_FAILED,
              bad_request ? 0 : 1000, "target %s answered %d",
              c->x.ticket.choice.name, a.status);
    if (bad_request) {
      close_upstream(c);
      pool_done(c->x.pool, &c->x.ticket, ROUTE_OK, 0, 0);
      exchange_not_run(&c->x);
      return false;
    }
    int64_t used = ran == RAN_NOT ? 0 : consumed(c);
    close_upstream(c);
    Err why = *err;
    if (exchange_again(&c->x, ran, used, err)) continue;
    if (err->kind == ERR_NONE) *err = why;
    exchange_give_up(&c->x, ran);
    err->ran = ran;
    return false;
  }
}

/* == whole answers == */

static struct MHD_Response *answer_whole(Chat *c, int *status) {
  GString *all = g_string_new(NULL);
  char buf[16384];
  long n;
  while ((n = http_stream_read(c->upstream, buf, sizeof buf)) > 0) {
    if (all->len == 0) exchange_first(&c->x);
    if (all->len + (size_t)n > WHOLE_MAX) {
      n = -1;
      break;
    }
    g_string_append_len(all, buf, n);
  }
  json_t *o = n == 0 ? json_loadb(all->str, all->len, 0, NULL) : NULL;
  Err err = {0};
  struct MHD_Response *m;
  if (!o) { /* cut, or not an answer */
    count_add(COUNT_TARGET_CUT, 1);
    pool_done(c->x.pool, &c->x.ticket, ROUTE_FAILED, 0, 0);
    exchange_unknown(&c->x, consumed(c));
    err_retry(&err, ERR_TARGET_CUT, 1000, "the target's answer was cut");
    err.ran = RAN_MAYBE;
    m = entry_error(&err, c->x.id, status);
  } else {
    int64_t used = engine_usage(o);
    OnceAnswer a = {.status = 200, .body = all->str, .len = all->len};
    g_strlcpy(a.type, "application/json", sizeof a.type);
    exchange_ran(&c->x, used >= 0 ? used : c->x.reserved, &a);
    *status = 200;
    m = http_text_response("application/json", all->str, all->len);
    entry_headers(m, c->x.id, RAN_YES);
  }
  json_decref(o);
  g_string_free(all, TRUE);
  chat_free(c);
  return m;
}

/* == streams == */

static void pass_on(Chat *c, const char *text, size_t len) {
  g_string_append_len(c->out, text, (gssize)len);
  if (!c->kept) return;
  g_string_append_len(c->kept, text, (gssize)len);
  if (c->kept->len <= LIMIT_ANSWER) return;
  g_string_free(c->kept, TRUE);
  c->kept = NULL;
}

/* Usage comes in a chunk without choices; callers see it if they asked. */
static bool take_usage(Chat *c, const char *data) {
  if (!strstr(data, "\"usage\"")) return false;
  json_t *o = json_loads(data, 0, NULL);
  int64_t n = engine_usage(o);
  bool only = json_array_size(json_object_get(o, "choices")) == 0;
  json_decref(o);
  if (n < 0) return false;
  c->usage = n;
  return only && !c->wants_usage;
}

static void take_line(Chat *c, const char *line, size_t len) {
  bool data = len > 6 && strncmp(line, "data: ", 6) == 0;
  if (data && strncmp(line + 6, "[DONE]", 6) == 0) {
    c->done = true; /* passed on once bill and answer are held elsewhere */
    return;
  }
  if (c->done) return;
  c->events += data;
  char *text = g_strndup(line, len);
  bool hide = data && take_usage(c, text + 6);
  g_free(text);
  if (hide || len == 0) return;
  pass_on(c, line, len);
  pass_on(c, "\n\n", 2);
}

static void take_bytes(Chat *c, const char *buf, size_t n) {
  g_string_append_len(c->line, buf, (gssize)n);
  char *end;
  while ((end = memchr(c->line->str, '\n', c->line->len))) {
    size_t len = (size_t)(end - c->line->str);
    size_t bare = len > 0 && c->line->str[len - 1] == '\r' ? len - 1 : len;
    take_line(c, c->line->str, bare);
    g_string_erase(c->line, 0, (gssize)len + 1);
  }
}

static void finish_stream(Chat *c) {
  static const char last[] = "data: [DONE]\n\n";
  int64_t used = c->usage >= 0 ? c->usage : c->x.reserved;
  OnceAnswer a = {.status = 200};
  g_strlcpy(a.type, "text/event-stream", sizeof a.type);
  pass_on(c, last, sizeof last - 1);
  if (c->kept) {
    a.body = c->kept->str;
    a.len = c->kept->len;
  }
  exchange_ran(&c->x, used, &a);
  c->ended = true;
}

/* An answer that was cut ends with an error event and an aborted connection:
   it can't be taken for a whole one. */
static void cut_stream(Chat *c) {
  count_add(COUNT_TARGET_CUT, 1);
  pool_done(c->x.pool, &c->x.ticket, ROUTE_FAILED, 0, 0);
  exchange_unknown(&c->x, consumed(c));
  g_string_append_printf(
      c->out,
      "data: {\"error\":{\"kind\":\"target-cut\",\"message\":\"the target's "
      "answer was cut\",\"remedy\":\"%s\",\"ran\":\"may-have-run\","
      "\"request_id\":\"%s\"}}\n\n",
      err_info(ERR_TARGET_CUT)->remedy, c->x.id);
  c->ended = c->cut = true;
}

static void fill(Chat *c) {
  char buf[8192];
  long n = http_stream_read(c->upstream, buf, sizeof buf);
  if (n > 0) {
    if (c->x.first == 0) exchange_first(&c->x);
    take_bytes(c, buf, (size_t)n);
    if (c->done) finish_stream(c);
    return;
  }
  if (c->done) {
    finish_stream(c);
    return;
  }
  g_string_truncate(c->line, 0); /* half a line comes again */
  if (!resume(c)) cut_stream(c);
}

static ssize_t read_stream(void *ctx, uint64_t pos, char *buf, size_t max) {
  (void)pos;
  Chat *c = ctx;
  while (c->out->len == 0 && !c->ended) fill(c);
  if (c->out->len == 0)
    return c->cut ? MHD_CONTENT_READER_END_WITH_ERROR
                  : MHD_CONTENT_READER_END_OF_STREAM;
  size_t n = MIN(max, c->out->len);
  memcpy(buf, c->out->str, n);
  g_string_erase(c->out, 0, (gssize)n);
  return (ssize_t)n;
}

/* The response is over; a stream that has not ended lost its caller. */
static void free_stream(void *ctx) {
  Chat *c = ctx;
  if (!c->ended) {
    count_add(COUNT_CALLER_GONE, 1);
    int64_t used = consumed(c);
    OnceAnswer none = {.status = 200};
    exchange_ran(&c->x, used, &none);
  }
  chat_free(c);
}

static struct MHD_Response *answer_stream(Chat *c, int *status) {
  c->line = g_string_new(NULL);
  c->out = g_string_new(NULL);
  c->kept = g_string_new(NULL);
  c->usage = -1;
  struct MHD_Response *m = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, 8192, read_stream, c, free_stream);
  MHD_add_response_header(m, "Content-Type", "text/event-stream");
  MHD_add_response_header(m, "Cache-Control", "no-store");
  entry_headers(m, c->x.id, RAN_MAYBE);
  *status = 200;
  return m;
}

/* == the handler == */

static struct MHD_Response *replay(const Exchange *x, OnceAnswer *a,
                                   int *status) {
  Err err = {0};
  count_add(COUNT_REPLAYS, 1);
  if (!a->body) {
    err_set(&err, ERR_MAY_HAVE_RUN, "it ran; the answer was not kept");
    err.ran = RAN_YES;
    return entry_error(&err, x->id, status);
  }
  struct MHD_Response *m = http_text_response(a->type, a->body, a->len);
  entry_headers(m, x->id, RAN_YES);
  MHD_add_response_header(m, "Loftpath-Replayed", "true");
  *status = a->status;
  g_free(a->body);
  return m;
}

static void prepare(Chat *c, const HttpRequest *r) {
  json_t *request = c->request;
  int64_t max = c->x.service.output, asked = engine_asked(request);
  if (asked > 0 && asked < max) max = asked;
  c->stream = json_is_true(json_object_get(request, "stream"));
  json_t *options = json_object_get(request, "stream_options");
  c->wants_usage = json_is_true(json_object_get(options, "include_usage"));
  c->prompt = prompt_bound(r, json_object_get(request, "messages"));
  engine_bound(request, max);
  engine_model(request, c->x.service.pool + strlen("model/"),
               c->x.service.adapter);
  c->body = json_dumps(request, JSON_COMPACT);
  char *messages =
      json_dumps(json_object_get(request, "messages"), JSON_COMPACT);
  c->x.ticket.ask.n =
      route_blocks(messages, strlen(messages), c->x.ticket.ask.blocks);
  /* The bound is for money; the likely count, for choosing. */
  c->x.ticket.ask.tokens = (int64_t)strlen(messages) / 4;
  free(messages);
  c->x.reserved = c->prompt + max;
}

struct MHD_Response *chat_handle(Entry *e, HttpRequest *r, int *status) {
  Err err = {0};
  Exchange x = {0};
  json_t *request = r->too_large ? NULL : parse(r, &err);
  const char *model = json_string_value(json_object_get(request, "model"));
  Err bad = err;
  if (!exchange_who(&x, e, r, model ? model : "", &err)) {
    /* A bad body is told before a missing model, but never before the key. */
    bool parsed = request || r->too_large;
    if (err.kind != ERR_UNAUTHORISED && !parsed) err = bad;
    if (err.kind == ERR_NO_SERVICE) err.kind = ERR_NO_MODEL;
    json_decref(request);
    return entry_error(&err, x.id[0] ? x.id : NULL, status);
  }
  if (x.service.plain) {
    json_decref(request);
    err_set(&err, ERR_NO_MODEL, "%s is a plain service", x.service.name);
    return entry_error(&err, x.id, status);
  }
  Chat *c = g_new0(Chat, 1);
  c->x = x;
  c->request = request;
  prepare(c, r);
  OnceAnswer kept = {0};
  ExchangeStart s = exchange_start(&c->x, r, c->x.reserved, &kept, &err);
  if (s == EXCHANGE_GO && dispatch(c, &err))
    return c->stream ? answer_stream(c, status) : answer_whole(c, status);
  struct MHD_Response *m = s == EXCHANGE_REPLAY
                               ? replay(&c->x, &kept, status)
                               : entry_error(&err, c->x.id, status);
  chat_free(c);
  return m;
}

/* == models == */

static void add_models(void *ctx, const Table *t) {
  json_t *list = ctx;
  for (guint i = 0; i < t->order->len; i++) {
    const TableRow *r = t->order->pdata[i];
    if (r->kind != TABLE_SERVICE || !r->cells[TABLE_MODEL][0]) continue;
    json_array_append_new(list,
                          json_pack("{s:s,s:s,s:s}", "id", r->name, "object",
                                    "model", "owned_by", "loftpath"));
  }
}

struct MHD_Response *chat_models(Entry *e, HttpRequest *r, int *status) {
  (void)r;
  json_t *list = json_array();
  snapshots_read(e->snapshots, add_models, list);
  json_t *o = json_pack("{s:s,s:o}", "object", "list", "data", list);
  char *s = json_dumps(o, JSON_COMPACT);
  struct MHD_Response *m = entry_text("application/json", s);
  *status = 200;
  free(s);
  json_decref(o);
  return m;
}
