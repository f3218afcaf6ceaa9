/* engine.c: stand-in for a model engine with a minimal form of continuous
   batching: `slots` concurrent streams, the best priority first, a prefill time
   proportional to the uncached prompt and a constant time between tokens.

   POST /v1/chat/completions, GET /resume?id=&from=, POST /cancel?id=, GET
   /load, POST /adapters?fence=N, GET /stats, POST /fault?mode=M&ms=N  modes:
   none, slow (ten times slower), error, cut (ends a stream after three tokens),
   drop (closes the connection there; the run can be resumed), hang. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"

/* How long a run without a connection can be resumed. */
#define RESUME_TIMEOUT_US 8000000

/* The record of a run that outlives it, for a cancel after its end. */
typedef struct Trace {
  int prompt_tokens, sent_tokens;
  /* must_detach: its connection must close */
  bool cancel_requested, ended, must_detach;
} Trace;

typedef struct Run {
  char id[96];
  Trace *trace;
  int prompt_tokens, max_tokens, sent_tokens, token_ms;
  bool stream, cut_short, drop_connection, ended;
  GString *text;
  GPtrArray *events;    /* all events so far, for a resume */
  gint64 next_token_us; /* when the next token is due, in microseconds */
  gint64 detached_at;   /* when its connection closed */
} Run;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static int slots = 8, running, waiting[10];
static int token_ms = 10;
static double prefill_us_per_token = 20; /* uncached prompt tokens only */
static int64_t token_total, prompt_token_total, run_count, cancelled_count,
    cached_tokens, resumed_count;
static GHashTable *prefixes, *by_id;
static GHashTable *detached_runs; /* id -> Run without a connection */
static char fault_mode[16] = "none", last_model[64] = "";
/* Adapters that the last valid order lists. Orders carry a fence, and loading
   takes ADAPTER_LOAD_US. */
#define ADAPTER_LOAD_US 300000
static json_t *loaded_adapters, *ordered_adapters;
static uint64_t latest_fence;
static int64_t order_count, stale_orders;
static gint64 loaded_at;

/* == slots, by priority == */

static bool higher_priority_waits(int priority) {
  for (int i = 0; i < priority; i++)
    if (waiting[i] > 0) return true;
  return false;
}

static void acquire_slot(int priority) {
  pthread_mutex_lock(&lock);
  waiting[priority]++;
  while (running >= slots || higher_priority_waits(priority))
    pthread_cond_wait(&slot_freed, &lock);
  waiting[priority]--;
  running++;
  run_count++;
  pthread_cond_broadcast(&slot_freed);
  pthread_mutex_unlock(&lock);
}

static void release_slot(Run *r, bool whole) {
  pthread_mutex_lock(&lock);
  running--;
  r->trace->ended = true;
  token_total += r->sent_tokens;
  prompt_token_total += r->prompt_tokens;
  if (!whole) cancelled_count++;
  pthread_cond_broadcast(&slot_freed);
  pthread_mutex_unlock(&lock);
}

/* == runs == */

/* One token per four bytes, rounded up, plus four per message. */
static int count_prompt_tokens(json_t *messages) {
  size_t i;
  json_t *m;
  int n = 0;
  json_array_foreach(messages, i, m) {
    const char *s = json_string_value(json_object_get(m, "content"));
    n += 4 + (s ? (int)(strlen(s) + 3) / 4 : 0);
  }
  return n;
}

static int count_cached_tokens(json_t *messages, int prompt) {
  json_t *first = json_array_get(messages, 0);
  const char *s = json_string_value(json_object_get(first, "content"));
  char *key = g_strndup(s ? s : "", 1024);
  bool hit = !g_hash_table_add(prefixes, key);
  int part = (int)strlen(s ? s : "") / 4;
  int n = hit ? MIN(part, prompt) : 0;
  cached_tokens += n;
  return n;
}

static json_t *make_usage(const Run *r) {
  return json_pack("{s:i,s:i,s:i}", "prompt_tokens", r->prompt_tokens,
                   "completion_tokens", r->sent_tokens, "total_tokens",
                   r->prompt_tokens + r->sent_tokens);
}

static json_t *make_chunk(const Run *r, const char *delta, const char *finish) {
  json_t *d = delta[0] ? json_pack("{s:s}", "content", delta) : json_object();
  json_t *choice = json_pack("{s:i,s:o,s:s?}", "index", 0, "delta", d,
                             "finish_reason", finish);
  return json_pack("{s:s,s:s,s:[o]}", "id", r->id, "object",
                   "chat.completion.chunk", "choices", choice);
}

static void append_event(Run *r, json_t *o) {
  char *s = json_dumps(o, JSON_COMPACT);
  char *event = g_strdup_printf("data: %s\n\n", s);
  g_string_append(r->text, event);
  g_ptr_array_add(r->events, event);
  free(s);
  json_decref(o);
}

/* Each token names its run, so that mixed-up streams are detected. */
static void next_token(Run *r, char *token, size_t n) {
  snprintf(token, n, "%s-%d ", r->id, r->sent_tokens++);
  r->trace->sent_tokens = r->sent_tokens;
}

static void wait_until(gint64 t) {
  gint64 now = g_get_monotonic_time();
  if (t > now) g_usleep((gulong)(t - now));
}

static void append_next_event(Run *r) {
  char token[128];
  if (r->sent_tokens < r->max_tokens) {
    wait_until(r->next_token_us);
    r->next_token_us += (gint64)r->token_ms * 1000;
    next_token(r, token, sizeof token);
    append_event(r, make_chunk(r, token, NULL));
    return;
  }
  append_event(r, make_chunk(r, "", "stop"));
  json_t *last =
      json_pack("{s:s,s:s,s:[],s:o}", "id", r->id, "object",
                "chat.completion.chunk", "choices", "usage", make_usage(r));
  append_event(r, last);
  g_string_append(r->text, "data: [DONE]\n\n");
  r->ended = true;
}

static ssize_t read_stream(void *ctx, uint64_t pos, char *buf, size_t max) {
  (void)pos;
  Run *r = ctx;
  if (r->text->len == 0 && r->ended) return MHD_CONTENT_READER_END_OF_STREAM;
  if (r->cut_short && r->sent_tokens >= 3)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->drop_connection && r->sent_tokens >= 3)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->trace->cancel_requested || r->trace->must_detach)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->text->len == 0) append_next_event(r);
  size_t n = MIN(max, r->text->len);
  memcpy(buf, r->text->str, n);
  g_string_erase(r->text, 0, (gssize)n);
  return (ssize_t)n;
}

static void free_run(Run *r) {
  release_slot(r, r->ended);
  g_string_free(r->text, TRUE);
  g_ptr_array_free(r->events, TRUE);
  g_free(r);
}

/* Called when the connection ends; an unfinished stream waits for a resume. */
static void on_connection_end(void *ctx) {
  Run *r = ctx;
  if (!r->stream || r->ended || r->cut_short || r->trace->cancel_requested) {
    free_run(r);
    return;
  }
  pthread_mutex_lock(&lock);
  r->detached_at = g_get_monotonic_time();
  g_hash_table_replace(detached_runs, r->id, r);
  pthread_mutex_unlock(&lock);
}

static gboolean collect_expired_run(gpointer id, gpointer run,
                                    gpointer expired) {
  (void)id;
  Run *r = run;
  bool timed_out = g_get_monotonic_time() - r->detached_at > RESUME_TIMEOUT_US;
  if (!timed_out && !r->trace->cancel_requested) return FALSE;
  g_ptr_array_add(expired, r);
  return TRUE;
}

/* Frees the runs that were not resumed in time or were cancelled. */
static void *reap_expired_runs(void *unused) {
  (void)unused;
  for (;;) {
    GPtrArray *expired = g_ptr_array_new();
    g_usleep(20000);
    pthread_mutex_lock(&lock);
    g_hash_table_foreach_remove(detached_runs, collect_expired_run, expired);
    pthread_mutex_unlock(&lock);
    for (guint i = 0; i < expired->len; i++) free_run(expired->pdata[i]);
    g_ptr_array_free(expired, TRUE);
  }
  return NULL;
}

/* Detaches a run from its connection, closing that if it is open. */
static Run *detach_run(const char *id) {
  for (int i = 0; i < 100; i++) {
    pthread_mutex_lock(&lock);
    Run *r = g_hash_table_lookup(detached_runs, id);
    Trace *t = g_hash_table_lookup(by_id, id);
    if (r) g_hash_table_remove(detached_runs, id);
    if (t && !t->ended && !r) t->must_detach = true;
    bool gone = !t || t->ended;
    pthread_mutex_unlock(&lock);
    if (r || gone) return r;
    g_usleep(10000);
  }
  return NULL;
}

static struct MHD_Response *stream_response(Run *r, int *status) {
  *status = 200;
  struct MHD_Response *m = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, 4096, read_stream, r, on_connection_end);
  MHD_add_response_header(m, "Content-Type", "text/event-stream");
  return m;
}

static struct MHD_Response *resume_run(const HttpRequest *q, int *status) {
  const char *id = http_request_argument(q, "id"),
             *from = http_request_argument(q, "from");
  Run *r = id ? detach_run(id) : NULL;
  if (!r) return fake_json_response(status, 404, json_object());
  r->trace->must_detach = r->drop_connection = false;
  g_string_truncate(r->text, 0);
  for (guint i = from ? (guint)atoi(from) : 0; i < r->events->len; i++)
    g_string_append(r->text, r->events->pdata[i]);
  resumed_count++;
  return stream_response(r, status);
}

static struct MHD_Response *complete_response(Run *r, int *status) {
  GString *all = g_string_new(NULL);
  char token[128];
  while (r->sent_tokens < r->max_tokens && !r->trace->cancel_requested) {
    wait_until(r->next_token_us);
    r->next_token_us += (gint64)r->token_ms * 1000;
    next_token(r, token, sizeof token);
    g_string_append(all, token);
  }
  r->ended = true;
  json_t *choice =
      json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message", "role",
                "assistant", "content", all->str, "finish_reason", "stop");
  json_t *o =
      json_pack("{s:s,s:s,s:[o],s:o}", "id", r->id, "object", "chat.completion",
                "choices", choice, "usage", make_usage(r));
  g_string_free(all, TRUE);
  on_connection_end(r);
  return fake_json_response(status, 200, o);
}

static Run *new_run(const HttpRequest *q, json_t *body) {
  json_t *messages = json_object_get(body, "messages");
  json_t *max = json_object_get(body, "max_tokens");
  const char *id = http_request_header(q, "X-Request-Id");
  Run *r = g_new0(Run, 1);
  g_strlcpy(r->id, id ? id : "none", sizeof r->id);
  r->prompt_tokens = count_prompt_tokens(messages);
  r->max_tokens = max ? (int)json_integer_value(max) : 16;
  const char *model = json_string_value(json_object_get(body, "model"));
  g_strlcpy(last_model, model ? model : "", sizeof last_model);
  r->stream = json_is_true(json_object_get(body, "stream"));
  r->text = g_string_new(NULL);
  r->events = g_ptr_array_new_with_free_func(g_free);
  pthread_mutex_lock(&lock);
  int fresh =
      r->prompt_tokens - count_cached_tokens(messages, r->prompt_tokens);
  bool slow = strcmp(fault_mode, "slow") == 0;
  r->cut_short = strcmp(fault_mode, "cut") == 0;
  r->drop_connection = strcmp(fault_mode, "drop") == 0;
  r->token_ms = slow ? token_ms * 10 : token_ms;
  r->trace = g_new0(Trace, 1);
  r->trace->prompt_tokens = r->prompt_tokens;
  g_hash_table_insert(by_id, g_strdup(r->id), r->trace);
  pthread_mutex_unlock(&lock);
  r->next_token_us = g_get_monotonic_time() +
                     (gint64)(fresh * prefill_us_per_token * (slow ? 10 : 1));
  return r;
}

static struct MHD_Response *handle_completion(const HttpRequest *q,
                                              int *status) {
  if (strcmp(fault_mode, "error") == 0)
    return fake_json_response(status, 500,
                              json_pack("{s:s}", "error", "told to fail"));
  while (strcmp(fault_mode, "hang") == 0) g_usleep(20000);
  json_t *body = json_loadb(q->body->str, q->body->len, 0, NULL);
  if (!json_is_array(json_object_get(body, "messages"))) {
    json_decref(body);
    return fake_json_response(status, 400,
                              json_pack("{s:s}", "error", "no messages"));
  }
  const char *p = http_request_header(q, "X-Priority");
  acquire_slot(p ? CLAMP(atoi(p), 0, 9) : 5);
  Run *r = new_run(q, body);
  json_decref(body);
  return r->stream ? stream_response(r, status) : complete_response(r, status);
}

static int count_waiting(void) {
  int n = 0;
  for (int i = 0; i < 10; i++) n += waiting[i];
  return n;
}

/* Stops a run and reports its token counts; 404 for an unknown run. */
static struct MHD_Response *cancel_run(const HttpRequest *q, int *status) {
  const char *id = http_request_argument(q, "id");
  pthread_mutex_lock(&lock);
  Trace *t = id ? g_hash_table_lookup(by_id, id) : NULL;
  if (t) t->cancel_requested = true;
  pthread_mutex_unlock(&lock);
  if (!t) return fake_json_response(status, 404, json_object());
  for (int i = 0; i < 100 && !t->ended; i++) g_usleep(5000);
  return fake_json_response(status, 200,
                            json_pack("{s:i,s:i}", "prompt_tokens",
                                      t->prompt_tokens, "completion_tokens",
                                      t->sent_tokens));
}

static struct MHD_Response *report_load(int *status) {
  pthread_mutex_lock(&lock);
  json_t *o = json_pack("{s:i,s:i,s:i}", "running", running, "waiting",
                        count_waiting(), "slots", slots);
  pthread_mutex_unlock(&lock);
  return fake_json_response(status, 200, o);
}

static struct MHD_Response *handle_order(const HttpRequest *q, int *status) {
  const char *f = http_request_argument(q, "fence");
  uint64_t n = f ? strtoull(f, NULL, 10) : 0;
  json_t *body = json_loadb(q->body->str, q->body->len, 0, NULL);
  json_t *list = json_object_get(body, "adapters");
  gint64 now = g_get_monotonic_time();
  pthread_mutex_lock(&lock);
  bool stale = n < latest_fence;
  order_count++;
  stale_orders += stale;
  if (!stale && !json_equal(ordered_adapters, list)) {
    json_decref(ordered_adapters);
    ordered_adapters = json_incref(list);
    loaded_at = now + ADAPTER_LOAD_US;
  }
  if (!stale) latest_fence = n;
  bool loading = now < loaded_at;
  if (!loading) {
    json_decref(loaded_adapters);
    loaded_adapters = json_incref(ordered_adapters);
  }
  pthread_mutex_unlock(&lock);
  json_decref(body);
  if (stale) return fake_json_response(status, 409, json_object());
  return fake_json_response(status, 200,
                            json_pack("{s:b}", "loading", (int)loading));
}

static struct MHD_Response *handle_request(void *ctx, HttpRequest *r,
                                           int *status) {
  (void)ctx;
  if (strcmp(r->path, "/v1/chat/completions") == 0)
    return handle_completion(r, status);
  if (strcmp(r->path, "/resume") == 0) return resume_run(r, status);
  if (strcmp(r->path, "/cancel") == 0) return cancel_run(r, status);
  if (strcmp(r->path, "/load") == 0) return report_load(status);
  if (strcmp(r->path, "/adapters") == 0) return handle_order(r, status);
  if (strcmp(r->path, "/fault") == 0) {
    const char *m = http_request_argument(r, "mode");
    g_strlcpy(fault_mode, m ? m : "none", sizeof fault_mode);
    return fake_json_response(status, 200, json_object());
  }
  if (strcmp(r->path, "/stats") == 0)
    return fake_json_response(
        status, 200,
        json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:O,s:I,s:I}", "model",
                  last_model, "resumed", (json_int_t)resumed_count, "tokens",
                  (json_int_t)token_total, "prompt_tokens",
                  (json_int_t)prompt_token_total, "runs", (json_int_t)run_count,
                  "cancelled", (json_int_t)cancelled_count, "cached",
                  (json_int_t)cached_tokens, "adapters", loaded_adapters,
                  "orders", (json_int_t)order_count, "late_orders",
                  (json_int_t)stale_orders));
  return fake_json_response(status, 404, json_object());
}

int main(int argc, char **argv) {
  if (argc < 2) {
    fprintf(stderr,
            "usage: fake_engine IP:PORT [SLOTS [TOKEN_MS [PREFILL_US]]]\n");
    return 2;
  }
  if (argc > 2) slots = atoi(argv[2]);
  if (argc > 3) token_ms = atoi(argv[3]);
  if (argc > 4) prefill_us_per_token = atof(argv[4]);
  prefixes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  loaded_adapters = json_array();
  ordered_adapters = json_array();
  by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  detached_runs = g_hash_table_new(g_str_hash, g_str_equal);
  pthread_t reaper;
  pthread_create(&reaper, NULL, reap_expired_runs, NULL);
  return fake_serve(argv[1], handle_request, 5000);
}
