/* chat.c: chat completions, streamed or in a single response. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/body.h"
#include "entry/exchange.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "target/engine.h"

/* Tokens that the chat template of an engine may add. */
#define TEMPLATE_MAX_TOKENS_PER_MESSAGE 16
#define TEMPLATE_MAX_TOKENS_PER_REQUEST 64
#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 60
#define RESUMES_MAX 2 /* per stream */

/* == reading the request == */

/* Returns an upper bound of the engine's count of prompt tokens: the bytes of
   the body and a margin for the template. Every token of the prompt takes up
   at least one byte of the body. */
static int64_t bound_prompt_tokens(const HttpRequest *r, json_t *messages) {
  return (int64_t)r->body->len +
         (int64_t)json_array_size(messages) * TEMPLATE_MAX_TOKENS_PER_MESSAGE +
         TEMPLATE_MAX_TOKENS_PER_REQUEST;
}

static bool check_message(json_t *message, Err *err) {
  json_t *content = json_object_get(message, "content"), *part;
  size_t i;
  if (!json_is_string(json_object_get(message, "role")))
    return err_set(err, ERR_MALFORMED, "a message has no role");
  json_array_foreach(content, i, part) {
    const char *type = json_string_value(json_object_get(part, "type"));
    /* The size of an image or audio part gives no bound on its tokens. */
    if (!type || strcmp(type, "text") != 0)
      return err_set(err, ERR_MALFORMED, "only text content can be routed");
  }
  return true;
}

static json_t *parse_request(const HttpRequest *r, Err *err) {
  json_error_t bad;
  json_t *o =
      json_loadb(r->body->str, r->body->len, JSON_REJECT_DUPLICATES, &bad);
  json_t *messages = json_object_get(o, "messages"), *message;
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
  json_array_foreach(messages, i, message) ok =
      ok && check_message(message, err);
  if (ok) return o;
  json_decref(o);
  return NULL;
}

/* == one request == */

typedef struct Chat {
  Exchange x;
  Connection *caller;
  char *body; /* sent to the engine */
  int64_t prompt_max_tokens;
  bool is_streamed, wants_usage;
  HttpClient *client;
  HttpStream *upstream;
  /* kept_answer: for replays; NULL once it exceeds LIMIT_KEPT_ANSWER_BYTES */
  GString *line, *output, *kept_answer;
  size_t silent_bytes; /* received since the last line that was passed on */
  int64_t used_tokens; /* -1: not reported yet */
  int events;          /* complete events received */
  int resumes;
  bool is_done; /* the engine sent [DONE] */
  bool is_ended, is_truncated;
} Chat;

static void chat_free(Chat *c) {
  http_stream_close(c->upstream);
  http_client_free(c->client);
  free(c->body);
  if (c->line) g_string_free(c->line, TRUE);
  if (c->output) g_string_free(c->output, TRUE);
  if (c->kept_answer) g_string_free(c->kept_answer, TRUE);
  g_free(c);
}

static void close_upstream(Chat *c) {
  http_stream_close(c->upstream);
  http_client_free(c->client);
  c->upstream = NULL;
  c->client = NULL;
}

/* Cancels the run at the target. Returns the tokens that it consumed: the
   engine's count if it gives one, else all that were reserved. */
static int64_t cancel_run(Chat *c) {
  close_upstream(c);
  int64_t n = engine_cancel(c->x.ticket.choice.url, c->x.id);
  return n >= 0 ? n : c->x.reserved_tokens;
}

/* == dispatch == */

static HttpStream *send_request(Chat *c, HttpResponse *a) {
  EngineCall call = {.id = c->x.id,
                     .priority = c->x.service.priority,
                     .body = c->body,
                     .len = strlen(c->body)};
  c->client = http_client_new(c->x.ticket.choice.url, CONNECT_TIMEOUT_S,
                              READ_TIMEOUT_S);
  c->upstream = engine_start(c->client, &call, a);
  return c->upstream;
}

/* Resumes a streamed run at the same target, after the events received so
   far. */
static bool resume_run(Chat *c) {
  HttpResponse a;
  if (!c->is_streamed || c->resumes >= RESUMES_MAX) return false;
  c->resumes++;
  close_upstream(c);
  c->client = http_client_new(c->x.ticket.choice.url, CONNECT_TIMEOUT_S,
                              READ_TIMEOUT_S);
  c->upstream = engine_resume(c->client, c->x.id, c->events, &a);
  bool ok = c->upstream && a.status == 200;
  log_info("resume", "s:s,s:s,s:i,s:b", "request", c->x.id, "target",
           c->x.ticket.choice.name, "events", c->events, "resumed", (int)ok);
  if (ok) count_add(COUNT_RESUMED, 1);
  if (!ok) close_upstream(c);
  return ok;
}

/* Resumes the run of an earlier attempt whose instance was lost; the run may
   still be in progress at the target. */
static bool resume_earlier_run(Chat *c) {
  const char *earlier_target = c->x.run.target;
  return earlier_target[0] &&
         strcmp(earlier_target, c->x.ticket.choice.name) == 0 && resume_run(c);
}

/* Sends the request to one target after another until one responds with 200.
   Returns false if none does; the exchange has then ended. Nothing has been
   sent to the caller at this point, so trying another target is safe. */
static bool dispatch_request(Chat *c, Err *err) {
  if (resume_earlier_run(c)) return true;
  for (;;) {
    HttpResponse a;
    if (send_request(c, &a) && a.status == 200) return true;
    Ran ran = a.sent ? RAN_MAYBE : RAN_NOT;
    bool bad_request = a.status >= 400 && a.status < 500 && a.status != 429;
    /* 429: the engine reports that it refused the run. */
    if (a.status == 429) ran = RAN_NOT;
    log_warn("target-failed", "s:s,s:s,s:i,s:b,s:s", "request", c->x.id,
             "target", c->x.ticket.choice.name, "status", a.status, "sent",
             (int)a.sent, "error", a.error);
    err_retry(err, bad_request ? ERR_MALFORMED : ERR_TARGET_FAILED,
              bad_request ? 0 : 1000, "target %s answered %d",
              c->x.ticket.choice.name, a.status);
    if (bad_request) {
      close_upstream(c);
      pool_end_dispatch(c->x.pool, &c->x.ticket, ROUTE_OK, 0, 0);
      exchange_end_not_run(&c->x);
      return false;
    }
    int64_t used = ran == RAN_NOT ? 0 : cancel_run(c);
    close_upstream(c);
    Err dispatch_error = *err;
    if (exchange_retry(&c->x, ran, used, err)) continue;
    if (err->kind == ERR_NONE) *err = dispatch_error;
    exchange_give_up(&c->x, ran);
    err->ran = ran;
    return false;
  }
}

/* == complete responses == */

static void note_first_byte(void *exchange) {
  exchange_record_first_byte(exchange);
}

static struct MHD_Response *respond_complete(Chat *c, int *status) {
  GString *all = g_string_new(NULL);
  bool is_whole =
      body_read(c->upstream, c->caller, all, note_first_byte, &c->x);
  json_t *o = is_whole ? json_loadb(all->str, all->len, 0, NULL) : NULL;
  Err err = {0};
  struct MHD_Response *response;
  if (!o) { /* truncated, or not JSON */
    count_add(COUNT_TARGET_CUT, 1);
    pool_end_dispatch(c->x.pool, &c->x.ticket, ROUTE_FAILED, 0, 0);
    exchange_end_unknown(&c->x, cancel_run(c));
    err_retry(&err, ERR_TARGET_CUT, 1000, "the target's answer was cut");
    err.ran = RAN_MAYBE;
    response = entry_error_response(&err, c->x.id, status);
    body_free(all);
  } else {
    int64_t used = engine_usage_tokens(o);
    OnceAnswer a = {.status = 200, .body = all->str, .len = all->len};
    g_strlcpy(a.type, "application/json", sizeof a.type);
    exchange_complete(&c->x, used >= 0 ? used : c->x.reserved_tokens, &a);
    *status = 200;
    response = body_take("application/json", all);
    entry_add_headers(response, c->x.id, RAN_YES);
  }
  json_decref(o);
  chat_free(c);
  return response;
}

/* == streams == */

static void append_output(Chat *c, const char *text, size_t len) {
  g_string_append_len(c->output, text, (gssize)len);
  if (!c->kept_answer) return;
  g_string_append_len(c->kept_answer, text, (gssize)len);
  if (c->kept_answer->len <= LIMIT_KEPT_ANSWER_BYTES) return;
  g_string_free(c->kept_answer, TRUE);
  c->kept_answer = NULL;
}

/* Stores the usage of a chunk. Returns true if the chunk must be hidden from
   the caller: it holds only usage, and the caller did not request that. */
static bool record_usage(Chat *c, const char *data) {
  if (!strstr(data, "\"usage\"")) return false;
  json_t *o = json_loads(data, 0, NULL);
  int64_t n = engine_usage_tokens(o);
  bool is_usage_only = json_array_size(json_object_get(o, "choices")) == 0;
  json_decref(o);
  if (n < 0) return false;
  c->used_tokens = n;
  return is_usage_only && !c->wants_usage;
}

static void process_line(Chat *c, const char *line, size_t len) {
  bool data = len > 6 && strncmp(line, "data: ", 6) == 0;
  if (data && strncmp(line + 6, "[DONE]", 6) == 0) {
    /* finish_stream sends [DONE] once other instances hold bill and answer. */
    c->is_done = true;
    return;
  }
  if (c->is_done) return;
  c->events += data;
  char *text = g_strndup(line, len);
  bool is_hidden = data && record_usage(c, text + 6);
  g_free(text);
  if (is_hidden || len == 0) return;
  append_output(c, line, len);
  append_output(c, "\n\n", 2);
}

/* Returns false if the answer is damaged: nothing could be passed on for more
   than LIMIT_EVENT_BYTES. */
static bool process_bytes(Chat *c, const char *buf, size_t n) {
  size_t searched = c->line->len, passed_on = c->output->len;
  g_string_append_len(c->line, buf, (gssize)n);
  char *end;
  while (
      (end = memchr(c->line->str + searched, '\n', c->line->len - searched))) {
    size_t len = (size_t)(end - c->line->str);
    size_t trimmed_len =
        len > 0 && c->line->str[len - 1] == '\r' ? len - 1 : len;
    process_line(c, c->line->str, trimmed_len);
    g_string_erase(c->line, 0, (gssize)len + 1);
    searched = 0;
  }
  c->silent_bytes =
      c->output->len > passed_on ? c->line->len : c->silent_bytes + n;
  return c->silent_bytes <= LIMIT_EVENT_BYTES;
}

static void record_too_long(const Chat *c) {
  count_add(COUNT_ANSWERS_TOO_LONG, 1);
  log_warn("answer-too-long", "s:s,s:s,s:s", "part", "event", "target",
           c->x.ticket.choice.name, "request", c->x.id);
}

static void finish_stream(Chat *c) {
  static const char last[] = "data: [DONE]\n\n";
  int64_t used = c->used_tokens >= 0 ? c->used_tokens : c->x.reserved_tokens;
  OnceAnswer a = {.status = 200};
  g_strlcpy(a.type, "text/event-stream", sizeof a.type);
  append_output(c, last, sizeof last - 1);
  if (c->kept_answer) {
    a.body = c->kept_answer->str;
    a.len = c->kept_answer->len;
  }
  exchange_complete(&c->x, used, &a);
  c->is_ended = true;
}

/* Ends a truncated response with an error event and aborts the connection, so
   that the caller can't take it for a complete one. */
static void end_truncated_stream(Chat *c) {
  count_add(COUNT_TARGET_CUT, 1);
  pool_end_dispatch(c->x.pool, &c->x.ticket, ROUTE_FAILED, 0, 0);
  exchange_end_unknown(&c->x, cancel_run(c));
  g_string_append_printf(
      c->output,
      "data: {\"error\":{\"kind\":\"target-cut\",\"message\":\"the target's "
      "answer was cut\",\"remedy\":\"%s\",\"ran\":\"may-have-run\","
      "\"request_id\":\"%s\"}}\n\n",
      err_info(ERR_TARGET_CUT)->remedy, c->x.id);
  c->is_ended = c->is_truncated = true;
}

static void read_upstream(Chat *c) {
  char buf[8192];
  long n = http_stream_read(c->upstream, buf, sizeof buf);
  bool damaged = n <= 0;
  if (n > 0) {
    if (c->x.first_byte_at == 0) exchange_record_first_byte(&c->x);
    damaged = !process_bytes(c, buf, (size_t)n);
    if (damaged) record_too_long(c);
  }
  if (c->is_done) {
    finish_stream(c);
    return;
  }
  if (!damaged) return;
  /* A resumed run sends an incomplete line again. */
  g_string_truncate(c->line, 0);
  c->silent_bytes = 0;
  if (!resume_run(c)) end_truncated_stream(c);
}

static ssize_t read_output(void *ctx, uint64_t pos, char *buf, size_t max) {
  (void)pos;
  Chat *c = ctx;
  while (c->output->len == 0 && !c->is_ended) read_upstream(c);
  if (c->output->len == 0)
    return c->is_truncated ? MHD_CONTENT_READER_END_WITH_ERROR
                           : MHD_CONTENT_READER_END_OF_STREAM;
  size_t n = MIN(max, c->output->len);
  memcpy(buf, c->output->str, n);
  g_string_erase(c->output, 0, (gssize)n);
  return (ssize_t)n;
}

/* Called at the end of the response. If the stream has not ended, the caller
   has disconnected. */
static void close_stream(void *ctx) {
  Chat *c = ctx;
  if (!c->is_ended) {
    count_add(COUNT_CALLER_GONE, 1);
    int64_t used = cancel_run(c);
    OnceAnswer none = {.status = 200};
    exchange_complete(&c->x, used, &none);
  }
  chat_free(c);
}

static struct MHD_Response *respond_stream(Chat *c, int *status) {
  c->line = g_string_new(NULL);
  c->output = g_string_new(NULL);
  c->kept_answer = g_string_new(NULL);
  c->used_tokens = -1;
  struct MHD_Response *response = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, 8192, read_output, c, close_stream);
  MHD_add_response_header(response, "Content-Type", "text/event-stream");
  MHD_add_response_header(response, "Cache-Control", "no-store");
  entry_add_headers(response, c->x.id, RAN_MAYBE);
  *status = 200;
  return response;
}

/* == the handler == */

static struct MHD_Response *replay_response(const Exchange *x, OnceAnswer *a,
                                            int *status) {
  Err err = {0};
  count_add(COUNT_REPLAYS, 1);
  if (!a->body) {
    err_set(&err, ERR_MAY_HAVE_RUN, "it ran; the answer was not kept");
    err.ran = RAN_YES;
    return entry_error_response(&err, x->id, status);
  }
  struct MHD_Response *response = http_text_response(a->type, a->body, a->len);
  entry_add_headers(response, x->id, RAN_YES);
  MHD_add_response_header(response, "Loftpath-Replayed", "true");
  *status = a->status;
  g_free(a->body);
  return response;
}

/* Releases `request`. */
static void prepare_request(Chat *c, const HttpRequest *r, json_t *request) {
  int64_t max = c->x.service.max_output_tokens,
          requested_tokens = engine_requested_max_tokens(request);
  if (requested_tokens > 0 && requested_tokens < max) max = requested_tokens;
  c->is_streamed = json_is_true(json_object_get(request, "stream"));
  json_t *options = json_object_get(request, "stream_options");
  c->wants_usage = json_is_true(json_object_get(options, "include_usage"));
  c->prompt_max_tokens =
      bound_prompt_tokens(r, json_object_get(request, "messages"));
  engine_limit_output(request, max);
  engine_set_model(request, c->x.service.pool + strlen("model/"),
                   c->x.service.adapter);
  char *messages =
      json_dumps(json_object_get(request, "messages"), JSON_COMPACT);
  c->x.ticket.route_request.n_blocks = route_hash_blocks(
      messages, strlen(messages), c->x.ticket.route_request.blocks);
  /* The bound is for reserving tokens; this estimate is for routing. */
  c->x.ticket.route_request.tokens = (int64_t)strlen(messages) / 4;
  free(messages);
  c->body = json_dumps(request, JSON_COMPACT);
  json_decref(request);
  c->x.reserved_tokens = c->prompt_max_tokens + max;
}

struct MHD_Response *chat_handle(Entry *e, HttpRequest *r, int *status) {
  Err err = {0};
  Exchange x = {0};
  json_t *request = r->too_large ? NULL : parse_request(r, &err);
  const char *model = json_string_value(json_object_get(request, "model"));
  Err bad = err;
  if (!exchange_identify(&x, e, r, model ? model : "", &err)) {
    /* A malformed body takes precedence over an unknown model, but not over an
       invalid key. */
    bool parsed = request || r->too_large;
    if (err.kind != ERR_UNAUTHORISED && !parsed) err = bad;
    if (err.kind == ERR_NO_SERVICE) err.kind = ERR_NO_MODEL;
    json_decref(request);
    return entry_error_response(&err, x.id[0] ? x.id : NULL, status);
  }
  if (x.service.is_plain) {
    json_decref(request);
    err_set(&err, ERR_NO_MODEL, "%s is a plain service", x.service.name);
    return entry_error_response(&err, x.id, status);
  }
  Chat *c = g_new0(Chat, 1);
  c->x = x;
  c->caller = r->caller;
  prepare_request(c, r, request);
  r->is_streamed = c->is_streamed;
  OnceAnswer kept_answer = {0};
  ExchangeStart s =
      exchange_start(&c->x, r, c->x.reserved_tokens, &kept_answer, &err);
  if (s == EXCHANGE_DISPATCHED && dispatch_request(c, &err))
    return c->is_streamed ? respond_stream(c, status)
                          : respond_complete(c, status);
  struct MHD_Response *response =
      s == EXCHANGE_REPLAY ? replay_response(&c->x, &kept_answer, status)
                           : entry_error_response(&err, c->x.id, status);
  chat_free(c);
  return response;
}

/* == models == */

static void append_models(void *ctx, const Table *t) {
  json_t *list = ctx;
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    if (r->kind != TABLE_SERVICE || !r->cells[TABLE_MODEL][0]) continue;
    json_array_append_new(list,
                          json_pack("{s:s,s:s,s:s}", "id", r->name, "object",
                                    "model", "owned_by", "loftpath"));
  }
}

struct MHD_Response *chat_list_models(Entry *e, HttpRequest *r, int *status) {
  (void)r;
  json_t *list = json_array();
  snapshots_read(e->snapshots, append_models, list);
  json_t *o = json_pack("{s:s,s:o}", "object", "list", "data", list);
  char *s = json_dumps(o, JSON_COMPACT);
  struct MHD_Response *response = entry_text_response("application/json", s);
  *status = 200;
  free(s);
  json_decref(o);
  return response;
}
