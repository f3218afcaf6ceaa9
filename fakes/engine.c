/* engine.c: stand-in for a model engine with continuous batching in its
   simplest form: `slots` streams at once, the best priority first, a prefill
   time by uncached prompt bytes and a steady time between tokens.

   POST /v1/chat/completions, GET /resume?id=&from=, POST /cancel?id=, GET
   /load, POST /adapters?fence=N, GET /stats, POST /fault?mode=M&ms=N  modes:
   none, slow (times ten), error, cut (ends a stream after three tokens), drop
   (breaks its connection there, the run can be resumed), hang. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"

#define PARK_US 8000000 /* a run without a connection waits this long */

/* What is remembered of a run after its end, for a late cancel. */
typedef struct Trace {
  int prompt, sent;
  bool cancel, ended, leave; /* leave: its connection is given up */
} Trace;

typedef struct Run {
  char id[96];
  Trace *trace;
  int prompt, max, sent, token_ms;
  bool stream, cut, drop, ended;
  GString *text;
  GPtrArray *events; /* all that were made, for a resume */
  gint64 next;       /* microseconds */
  gint64 parked;     /* when its connection broke */
} Run;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t freed = PTHREAD_COND_INITIALIZER;
static int slots = 8, running, waiting[10];
static int token_ms = 10;
static double prefill_us = 20; /* for one uncached prompt token */
static int64_t tokens, prompts, runs, cancelled, cached_tokens, resumed;
static GHashTable *prefixes, *by_id;
static GHashTable *parked; /* id -> Run without a connection */
static char mode[16] = "none", asked_model[64] = "";
/* Adapters that it was ordered to have: fenced, and slow to load. */
#define LOAD_US 300000
static json_t *adapters, *coming;
static uint64_t fence;
static int64_t orders, late_orders;
static gint64 loaded_at;

/* == slots, by priority == */

static bool better_waits(int priority) {
  for (int i = 0; i < priority; i++)
    if (waiting[i] > 0) return true;
  return false;
}

static void take_slot(int priority) {
  pthread_mutex_lock(&lock);
  waiting[priority]++;
  while (running >= slots || better_waits(priority))
    pthread_cond_wait(&freed, &lock);
  waiting[priority]--;
  running++;
  runs++;
  pthread_cond_broadcast(&freed);
  pthread_mutex_unlock(&lock);
}

static void free_slot(Run *r, bool whole) {
  pthread_mutex_lock(&lock);
  running--;
  r->trace->ended = true;
  tokens += r->sent;
  prompts += r->prompt;
  if (!whole) cancelled++;
  pthread_cond_broadcast(&freed);
  pthread_mutex_unlock(&lock);
}

/* == runs == */

/* One token for every four bytes, never fewer than one a message. */
static int count_prompt(json_t *messages) {
  size_t i;
  json_t *m;
  int n = 0;
  json_array_foreach(messages, i, m) {
    const char *s = json_string_value(json_object_get(m, "content"));
    n += 4 + (s ? (int)(strlen(s) + 3) / 4 : 0);
  }
  return n;
}

static int cached_part(json_t *messages, int prompt) {
  json_t *first = json_array_get(messages, 0);
  const char *s = json_string_value(json_object_get(first, "content"));
  char *key = g_strndup(s ? s : "", 1024);
  bool hit = !g_hash_table_add(prefixes, key);
  int part = (int)strlen(s ? s : "") / 4;
  int n = hit ? MIN(part, prompt) : 0;
  cached_tokens += n;
  return n;
}

static json_t *usage(const Run *r) {
  return json_pack("{s:i,s:i,s:i}", "prompt_tokens", r->prompt,
                   "completion_tokens", r->sent, "total_tokens",
                   r->prompt + r->sent);
}

static json_t *chunk(const Run *r, const char *delta, const char *finish) {
  json_t *d = delta[0] ? json_pack("{s:s}", "content", delta) : json_object();
  json_t *choice = json_pack("{s:i,s:o,s:s?}", "index", 0, "delta", d,
                             "finish_reason", finish);
  return json_pack("{s:s,s:s,s:[o]}", "id", r->id, "object",
                   "chat.completion.chunk", "choices", choice);
}

static void push(Run *r, json_t *o) {
  char *s = json_dumps(o, JSON_COMPACT);
  char *event = g_strdup_printf("data: %s\n\n", s);
  g_string_append(r->text, event);
  g_ptr_array_add(r->events, event);
  free(s);
  json_decref(o);
}

/* Each token names the run, so that a crossed stream can be seen. */
static void next_token(Run *r, char *word, size_t n) {
  snprintf(word, n, "%s-%d ", r->id, r->sent++);
  r->trace->sent = r->sent;
}

static void wait_until(gint64 t) {
  gint64 now = g_get_monotonic_time();
  if (t > now) g_usleep((gulong)(t - now));
}

static void fill_stream(Run *r) {
  char word[128];
  if (r->sent < r->max) {
    wait_until(r->next);
    r->next += (gint64)r->token_ms * 1000;
    next_token(r, word, sizeof word);
    push(r, chunk(r, word, NULL));
    return;
  }
  push(r, chunk(r, "", "stop"));
  json_t *last =
      json_pack("{s:s,s:s,s:[],s:o}", "id", r->id, "object",
                "chat.completion.chunk", "choices", "usage", usage(r));
  push(r, last);
  g_string_append(r->text, "data: [DONE]\n\n");
  r->ended = true;
}

static ssize_t read_stream(void *ctx, uint64_t pos, char *buf, size_t max) {
  (void)pos;
  Run *r = ctx;
  if (r->text->len == 0 && r->ended) return MHD_CONTENT_READER_END_OF_STREAM;
  if (r->cut && r->sent >= 3) return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->drop && r->sent >= 3) return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->trace->cancel || r->trace->leave)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->text->len == 0) fill_stream(r);
  size_t n = MIN(max, r->text->len);
  memcpy(buf, r->text->str, n);
  g_string_erase(r->text, 0, (gssize)n);
  return (ssize_t)n;
}

static void free_run(Run *r) {
  free_slot(r, r->ended);
  g_string_free(r->text, TRUE);
  g_ptr_array_free(r->events, TRUE);
  g_free(r);
}

/* The connection is over; a stream that is not waits to be resumed. */
static void end_run(void *ctx) {
  Run *r = ctx;
  if (!r->stream || r->ended || r->cut || r->trace->cancel) {
    free_run(r);
    return;
  }
  pthread_mutex_lock(&lock);
  r->parked = g_get_monotonic_time();
  g_hash_table_replace(parked, r->id, r);
  pthread_mutex_unlock(&lock);
}

static gboolean is_over(gpointer id, gpointer run, gpointer over) {
  (void)id;
  Run *r = run;
  bool late = g_get_monotonic_time() - r->parked > PARK_US;
  if (!late && !r->trace->cancel) return FALSE;
  g_ptr_array_add(over, r);
  return TRUE;
}

/* Frees what nobody resumed. */
static void *reap(void *unused) {
  (void)unused;
  for (;;) {
    GPtrArray *over = g_ptr_array_new();
    g_usleep(20000);
    pthread_mutex_lock(&lock);
    g_hash_table_foreach_remove(parked, is_over, over);
    pthread_mutex_unlock(&lock);
    for (guint i = 0; i < over->len; i++) free_run(over->pdata[i]);
    g_ptr_array_free(over, TRUE);
  }
  return NULL;
}

/* Takes a run over from its connection, broken or not. */
static Run *take_parked(const char *id) {
  for (int i = 0; i < 100; i++) {
    pthread_mutex_lock(&lock);
    Run *r = g_hash_table_lookup(parked, id);
    Trace *t = g_hash_table_lookup(by_id, id);
    if (r) g_hash_table_remove(parked, id);
    if (t && !t->ended && !r) t->leave = true;
    bool gone = !t || t->ended;
    pthread_mutex_unlock(&lock);
    if (r || gone) return r;
    g_usleep(10000);
  }
  return NULL;
}

static struct MHD_Response *stream(Run *r, int *status) {
  *status = 200;
  struct MHD_Response *m = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, 4096, read_stream, r, end_run);
  MHD_add_response_header(m, "Content-Type", "text/event-stream");
  return m;
}

static struct MHD_Response *resume(const HttpReq *q, int *status) {
  const char *id = http_arg(q, "id"), *from = http_arg(q, "from");
  Run *r = id ? take_parked(id) : NULL;
  if (!r) return fake_json_response(status, 404, json_object());
  r->trace->leave = r->drop = false;
  g_string_truncate(r->text, 0);
  for (guint i = from ? (guint)atoi(from) : 0; i < r->events->len; i++)
    g_string_append(r->text, r->events->pdata[i]);
  resumed++;
  return stream(r, status);
}

static struct MHD_Response *whole(Run *r, int *status) {
  GString *all = g_string_new(NULL);
  char word[128];
  while (r->sent < r->max && !r->trace->cancel) {
    wait_until(r->next);
    r->next += (gint64)r->token_ms * 1000;
    next_token(r, word, sizeof word);
    g_string_append(all, word);
  }
  r->ended = true;
  json_t *choice =
      json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message", "role",
                "assistant", "content", all->str, "finish_reason", "stop");
  json_t *o =
      json_pack("{s:s,s:s,s:[o],s:o}", "id", r->id, "object", "chat.completion",
                "choices", choice, "usage", usage(r));
  g_string_free(all, TRUE);
  end_run(r);
  return fake_json_response(status, 200, o);
}

static Run *new_run(const HttpReq *q, json_t *body) {
  json_t *messages = json_object_get(body, "messages");
  json_t *max = json_object_get(body, "max_tokens");
  const char *id = http_header(q, "X-Request-Id");
  Run *r = g_new0(Run, 1);
  g_strlcpy(r->id, id ? id : "none", sizeof r->id);
  r->prompt = count_prompt(messages);
  r->max = max ? (int)json_integer_value(max) : 16;
  const char *model = json_string_value(json_object_get(body, "model"));
  g_strlcpy(asked_model, model ? model : "", sizeof asked_model);
  r->stream = json_is_true(json_object_get(body, "stream"));
  r->text = g_string_new(NULL);
  r->events = g_ptr_array_new_with_free_func(g_free);
  pthread_mutex_lock(&lock);
  int fresh = r->prompt - cached_part(messages, r->prompt);
  bool slow = strcmp(mode, "slow") == 0;
  r->cut = strcmp(mode, "cut") == 0;
  r->drop = strcmp(mode, "drop") == 0;
  r->token_ms = slow ? token_ms * 10 : token_ms;
  r->trace = g_new0(Trace, 1);
  r->trace->prompt = r->prompt;
  g_hash_table_insert(by_id, g_strdup(r->id), r->trace);
  pthread_mutex_unlock(&lock);
  r->next =
      g_get_monotonic_time() + (gint64)(fresh * prefill_us * (slow ? 10 : 1));
  return r;
}

static struct MHD_Response *complete(const HttpReq *q, int *status) {
  if (strcmp(mode, "error") == 0)
    return fake_json_response(status, 500,
                              json_pack("{s:s}", "error", "told to fail"));
  while (strcmp(mode, "hang") == 0) g_usleep(20000);
  json_t *body = json_loadb(q->body->str, q->body->len, 0, NULL);
  if (!json_is_array(json_object_get(body, "messages"))) {
    json_decref(body);
    return fake_json_response(status, 400,
                              json_pack("{s:s}", "error", "no messages"));
  }
  const char *p = http_header(q, "X-Priority");
  take_slot(p ? CLAMP(atoi(p), 0, 9) : 5);
  Run *r = new_run(q, body);
  json_decref(body);
  return r->stream ? stream(r, status) : whole(r, status);
}

static int waiting_sum(void) {
  int n = 0;
  for (int i = 0; i < 10; i++) n += waiting[i];
  return n;
}

/* Stops a run and tells what it counted; 404 for a run it does not know. */
static struct MHD_Response *cancel(const HttpReq *q, int *status) {
  const char *id = http_arg(q, "id");
  pthread_mutex_lock(&lock);
  Trace *t = id ? g_hash_table_lookup(by_id, id) : NULL;
  if (t) t->cancel = true;
  pthread_mutex_unlock(&lock);
  if (!t) return fake_json_response(status, 404, json_object());
  for (int i = 0; i < 100 && !t->ended; i++) g_usleep(5000);
  return fake_json_response(status, 200,
                            json_pack("{s:i,s:i}", "prompt_tokens", t->prompt,
                                      "completion_tokens", t->sent));
}

static struct MHD_Response *load(int *status) {
  pthread_mutex_lock(&lock);
  json_t *o = json_pack("{s:i,s:i,s:i}", "running", running, "waiting",
                        waiting_sum(), "slots", slots);
  pthread_mutex_unlock(&lock);
  return fake_json_response(status, 200, o);
}

static struct MHD_Response *order(const HttpReq *q, int *status) {
  const char *f = http_arg(q, "fence");
  uint64_t n = f ? strtoull(f, NULL, 10) : 0;
  json_t *body = json_loadb(q->body->str, q->body->len, 0, NULL);
  json_t *list = json_object_get(body, "adapters");
  gint64 now = g_get_monotonic_time();
  pthread_mutex_lock(&lock);
  bool late = n < fence;
  orders++;
  late_orders += late;
  if (!late && !json_equal(coming, list)) {
    json_decref(coming);
    coming = json_incref(list);
    loaded_at = now + LOAD_US;
  }
  if (!late) fence = n;
  bool loading = now < loaded_at;
  if (!loading) {
    json_decref(adapters);
    adapters = json_incref(coming);
  }
  pthread_mutex_unlock(&lock);
  json_decref(body);
  if (late) return fake_json_response(status, 409, json_object());
  return fake_json_response(status, 200,
                            json_pack("{s:b}", "loading", (int)loading));
}

static struct MHD_Response *handle(void *ctx, HttpReq *r, int *status) {
  (void)ctx;
  if (strcmp(r->path, "/v1/chat/completions") == 0) return complete(r, status);
  if (strcmp(r->path, "/resume") == 0) return resume(r, status);
  if (strcmp(r->path, "/cancel") == 0) return cancel(r, status);
  if (strcmp(r->path, "/load") == 0) return load(status);
  if (strcmp(r->path, "/adapters") == 0) return order(r, status);
  if (strcmp(r->path, "/fault") == 0) {
    const char *m = http_arg(r, "mode");
    g_strlcpy(mode, m ? m : "none", sizeof mode);
    return fake_json_response(status, 200, json_object());
  }
  if (strcmp(r->path, "/stats") == 0)
    return fake_json_response(
        status, 200,
        json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:O,s:I,s:I}", "model",
                  asked_model, "resumed", (json_int_t)resumed, "tokens",
                  (json_int_t)tokens, "prompt_tokens", (json_int_t)prompts,
                  "runs", (json_int_t)runs, "cancelled", (json_int_t)cancelled,
                  "cached", (json_int_t)cached_tokens, "adapters", adapters,
                  "orders", (json_int_t)orders, "late_orders",
                  (json_int_t)late_orders));
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
  if (argc > 4) prefill_us = atof(argv[4]);
  prefixes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  adapters = json_array();
  coming = json_array();
  by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  parked = g_hash_table_new(g_str_hash, g_str_equal);
  pthread_t reaper;
  pthread_create(&reaper, NULL, reap, NULL);
  return fake_serve(argv[1], handle, 5000);
}
