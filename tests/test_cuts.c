/* test_cuts.c: answers of the store that are cut at each of their bytes, by the
   end or a reset of the connection, read by both clients of a store. */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "http/client.h"
#include "kernel/loopclock.h"
#include "store/objects.h"
#include "store/platform.h"

#define REQUEST_BYTES 4096
#define TIMEOUT_S 2 /* of a blocking call */

/* A store that sends the first bytes of one answer to each request and ends the
   connection. */
typedef struct Server {
  int fd;
  char addr[32];
  const char *answer;
  size_t n; /* bytes of it that are sent */
  bool reset;
  pthread_t thread;
} Server;

static bool read_request(int fd) {
  char buf[REQUEST_BYTES];
  size_t n = 0;
  for (;;) {
    ssize_t got = recv(fd, buf + n, sizeof buf - 1 - n, 0);
    if (got <= 0) return false;
    n += (size_t)got;
    buf[n] = '\0';
    const char *end = strstr(buf, "\r\n\r\n");
    const char *length = strstr(buf, "Content-Length: ");
    if (!end) continue;
    size_t body =
        length ? strtoul(length + strlen("Content-Length: "), NULL, 10) : 0;
    if ((size_t)(buf + n - end) >= strlen("\r\n\r\n") + body) return true;
  }
}

static void *run_server(void *arg) {
  const Server *s = arg;
  for (int fd; (fd = accept(s->fd, NULL, NULL)) >= 0;) {
    if (read_request(fd)) {
      size_t at = 0;
      for (ssize_t n = 1; at < s->n && n > 0; at += (size_t)MAX(n, 0))
        n = send(fd, s->answer + at, s->n - at, MSG_NOSIGNAL);
      if (s->reset && s->n > 0) usleep(500); /* it is read before the reset */
    }
    sock_set_reset_on_close(fd, s->reset);
    close(fd);
  }
  return NULL;
}

/* Each cut is logged. */
static GLogWriterOutput drop_line(GLogLevelFlags level, const GLogField *fields,
                                  gsize n, gpointer ctx) {
  (void)level;
  (void)fields;
  (void)n;
  (void)ctx;
  return G_LOG_WRITER_HANDLED;
}

static void start_server(Server *s) {
  struct sockaddr_in in = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t n = sizeof in;
  *s = (Server){.fd = socket(AF_INET, SOCK_STREAM, 0)};
  cr_assert_eq(bind(s->fd, (struct sockaddr *)&in, sizeof in), 0);
  cr_assert_eq(listen(s->fd, 64), 0);
  getsockname(s->fd, (struct sockaddr *)&in, &n);
  snprintf(s->addr, sizeof s->addr, "127.0.0.1:%d", ntohs(in.sin_port));
  pthread_create(&s->thread, NULL, run_server, s);
  static bool is_silent;
  if (!is_silent) g_log_set_writer_func(drop_line, NULL, NULL);
  is_silent = true;
}

static void stop_server(Server *s) {
  shutdown(s->fd, SHUT_RDWR);
  pthread_join(s->thread, NULL);
  close(s->fd);
}

/* == answers == */

/* TRAILERS: chunks with extensions and trailers; INTERIM: a length, after an
   interim answer that states a body */
typedef enum {
  LENGTH,
  CHUNKS,
  NEITHER,
  HTTP_1_0,
  TRAILERS,
  INTERIM,
  FRAME_COUNT
} Frame;

/* Returns an answer with this body. */
static GString *make_answer(Frame frame, const char *status, const char *body) {
  GString *a = g_string_new(NULL);
  size_t n = strlen(body), half = n / 2;
  if (frame == INTERIM)
    g_string_append(a, "HTTP/1.1 103 X\r\nContent-Length: 2\r\nA: b\r\n\r\n");
  g_string_append_printf(a, "HTTP/1.%d %s\r\nETag: \"4\"\r\n",
                         frame != HTTP_1_0, status);
  if (frame == LENGTH || frame == INTERIM)
    g_string_append_printf(a, "Content-Length: %zu\r\n\r\n%s", n, body);
  else if (frame == CHUNKS)
    g_string_append_printf(
        a,
        "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%.*s\r\n%zx\r\n%s\r\n"
        "0\r\n\r\n",
        half, (int)half, body, n - half, body + half);
  else if (frame == TRAILERS)
    g_string_append_printf(a,
                           "Transfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n"
                           "%04zx;a=b\r\n%s\r\n0;a\r\nA: b\r\nB: c\r\n\r\n",
                           n, body);
  else
    g_string_append_printf(a, "\r\n%s", body);
  return a;
}

static const char list[] =
    "{\"entries\": [{\"meta\": {\"name\": \"a\", \"revision\": 3}, \"spec\": "
    "{\"x\": 1}}, {\"meta\": {\"name\": \"b\", \"revision\": 4}, \"spec\": "
    "{}}], \"more\": false, \"at\": 4}";
static const char damaged_list[] =
    "{\"entries\": [{\"meta\": {\"name\": \"a\", \"revision\": \x01}}, "
    "{\"meta\": {\"name\": \"b\", \"revision\": 4}}], \"more\": false, "
    "\"at\": 4}";
static const char changes[] =
    "{\"events\": [{\"object\": {\"meta\": {\"name\": \"a\", \"revision\": 3}, "
    "\"spec\": {}}, \"gone\": true}], \"at\": 4}";
static const char object[] =
    "{\"meta\": {\"name\": \"a\", \"revision\": 4}, \"spec\": {\"n\": 12}}";

/* == the client on the event loop == */

typedef struct Result {
  struct ev_loop *loop;
  bool ended;
  ErrKind kind;
  bool has_body;
} Result;

static void on_done(void *ctx, const StoreAnswer *a) {
  Result *r = ctx;
  cr_assert(!r->ended, "a call ended twice");
  r->ended = true;
  r->kind = a->kind;
  r->has_body = a->body != NULL;
  ev_break(r->loop, EVBREAK_ALL);
}

typedef enum { LIST, DAMAGED, WATCH, GET, CREATE, PUT, DELETE, OP_COUNT } Op;

static const char *const bodies[OP_COUNT] = {
    [LIST] = list,    [DAMAGED] = damaged_list, [WATCH] = changes,
    [GET] = object,   [CREATE] = object,        [PUT] = object,
    [DELETE] = object};

static void call_store(Store *s, Op op, Result *r) {
  const char *kind = "kind";
  switch (op) {
  case LIST:
  case DAMAGED: store_list(s, CALLS_SELF, kind, "", false, on_done, r); break;
  case WATCH: store_watch(s, CALLS_SELF, kind, 3, 1, on_done, r); break;
  case GET: store_get(s, CALLS_SELF, kind, "a", on_done, r); break;
  case CREATE:
  case PUT:
    store_put(s, CALLS_SELF, kind, "a", op == PUT ? 3 : 0, json_object(),
              on_done, r);
    break;
  default: store_delete(s, CALLS_SELF, kind, "a", 3, on_done, r);
  }
  while (!r->ended) ev_run(r->loop, EVRUN_ONCE);
}

static Result start_result(void) {
  Result r = {.loop = ev_default_loop(EVFLAG_AUTO)};
  if (!ev_userdata(r.loop)) loopclock_start(r.loop);
  ev_now_update(r.loop);
  return r;
}

static Result run_call(const Server *server, Op op) {
  Result r = start_result();
  Store *s = store_open(r.loop, server->addr);
  call_store(s, op, &r);
  store_close(s);
  return r;
}

static void check_cuts(Frame frame, const char *status, ErrKind whole) {
  Server s;
  start_server(&s);
  for (int op = 0; op < OP_COUNT; op++) {
    GString *a = make_answer(frame, status, bodies[op]);
    s.answer = a->str;
    for (int reset = 0; reset <= 1; reset++)
      /* Each byte for an orderly end; a reset takes another path for all. */
      for (s.n = 0; s.n < a->len; s.n += reset ? 17 : 1) {
        s.reset = reset;
        Result r = run_call(&s, (Op)op);
        cr_assert(r.kind == ERR_STORE_UNKNOWN && !r.has_body,
                  "frame %d, call %d, reset %d: %zu of %zu bytes gave %d",
                  frame, op, reset, s.n, a->len, r.kind);
      }
    s.n = a->len;
    s.reset = false;
    Result r = run_call(&s, (Op)op);
    cr_assert(r.kind == whole && r.has_body, "frame %d, call %d: %d", frame, op,
              r.kind);
    g_string_free(a, TRUE);
  }
  stop_server(&s);
}

/* Guards against a list, a change or a write's answer that was cut and is taken
   for a whole one. */
Test(cuts, a_cut_answer_of_the_store_is_none) {
  for (int frame = 0; frame < FRAME_COUNT; frame++)
    check_cuts((Frame)frame, "200 OK", ERR_NONE);
}

/* Guards against a conflict whose object was cut. */
Test(cuts, a_cut_conflict_is_none) {
  for (int frame = 0; frame < FRAME_COUNT; frame++)
    check_cuts((Frame)frame, "409 X", ERR_STORE_CONFLICT);
}

/* Guards against a long list of targets, which is read member by member, of
   which the last members are missing. */
Test(cuts, a_cut_long_list_of_targets_is_none) {
  GString *body = g_string_new("{\"entries\": [");
  Server s;
  for (int i = 0; i < 2000; i++)
    g_string_append_printf(body,
                           "%s{\"meta\": {\"name\": \"t%d\", \"revision\": %d},"
                           " \"spec\": {\"service\": \"desk\", \"slots\": 8, "
                           "\"state\": \"ready\"}}",
                           i ? ", " : "", i, i + 1);
  g_string_append(body, "], \"more\": false, \"at\": 2000}");
  cr_assert_gt(body->len, 128 << 10);
  start_server(&s);
  for (int frame = NEITHER; frame <= HTTP_1_0; frame++) {
    GString *a = make_answer((Frame)frame, "200 OK", body->str);
    s.answer = a->str;
    for (s.n = a->len - 50; s.n <= a->len; s.n++) {
      Result r = start_result();
      Store *store = store_open(r.loop, s.addr);
      store_list(store, CALLS_SELF, "servers", "", false, on_done, &r);
      while (!r.ended) ev_run(r.loop, EVRUN_ONCE);
      cr_assert_eq(r.kind, s.n < a->len ? ERR_STORE_UNKNOWN : ERR_NONE,
                   "%zu of %zu bytes", s.n, a->len);
      store_close(store);
    }
    g_string_free(a, TRUE);
  }
  stop_server(&s);
  g_string_free(body, TRUE);
}

/* == the blocking client == */

static PlatformAnswer call_platform(Platform *p, Op op) {
  switch (op) {
  case LIST: return platform_list(p, "x/");
  case DAMAGED: return platform_members(p);
  case WATCH: return platform_watch(p, "x/", 3, 1);
  case GET: return platform_get(p, "a");
  case DELETE: return platform_delete(p, "a");
  default: return platform_put(p, "a", op == PUT ? 3 : 0, "{}");
  }
}

static ErrKind run_platform_call(const Server *s, Op op) {
  Platform *p = platform_open(s->addr, TIMEOUT_S);
  PlatformAnswer a = call_platform(p, op);
  cr_assert(a.kind != ERR_NONE || a.text);
  g_free(a.text);
  platform_close(p);
  return a.kind;
}

/* Guards against a cut list of instances that removes those it lacks, and a cut
   object or answer to a write that is taken for a whole one. */
Test(cuts, a_cut_answer_of_the_platform_is_none) {
  Server s;
  start_server(&s);
  for (int frame = 0; frame < FRAME_COUNT; frame++)
    for (int op = 0; op < OP_COUNT; op++) {
      GString *a = make_answer((Frame)frame, "200 OK", list);
      s.answer = a->str;
      for (int reset = 0; reset <= 1; reset++)
        for (s.n = 0; s.n < a->len; s.n += reset ? 17 : 1) {
          s.reset = reset;
          ErrKind kind = run_platform_call(&s, (Op)op);
          cr_assert_eq(kind, ERR_STORE_UNKNOWN,
                       "frame %d, call %d, reset %d: %zu of %zu bytes gave %d",
                       frame, op, reset, s.n, a->len, kind);
        }
      s.n = a->len;
      s.reset = false;
      cr_assert_eq(run_platform_call(&s, (Op)op), ERR_NONE);
      g_string_free(a, TRUE);
    }
  stop_server(&s);
}

/* == the blocking client by itself == */

/* What a front sees of an answer: its status, 0 without a head, and whether the
   client takes its body for complete. */
static HttpResponse read_answer(const Server *s, bool retry_safe) {
  HttpResponse r;
  char buf[64];
  long n = -1;
  HttpClient *c = http_client_new(s->addr, TIMEOUT_S, TIMEOUT_S);
  HttpStream *stream = http_stream_open(
      c, &(HttpClientRequest){.method = "GET", .path = "/"}, retry_safe, &r);
  while (stream && (n = http_stream_read(stream, buf, sizeof buf)) > 0) {
  }
  r.complete = n == 0;
  http_stream_close(stream);
  http_client_free(c);
  return r;
}

static bool is_right_answer(const HttpResponse *r, const GString *a,
                            const Server *s, size_t head_bytes) {
  if (s->n < head_bytes) return r->status == 0 && !r->complete;
  if (s->n == a->len && !s->reset) return r->status == 200 && r->complete;
  if (s->reset) return !r->complete; /* bytes before it may be lost */
  return r->status == 200 && r->complete == !r->framed;
}

/* Guards against a head, an interim head, a size of a chunk or a trailer that
   was cut, where the answer then counts as one with a head or as complete. */
Test(cuts, an_answer_cut_at_any_byte_is_not_complete) {
  Server s;
  start_server(&s);
  for (int frame = 0; frame < FRAME_COUNT; frame++) {
    GString *a = make_answer((Frame)frame, "200 OK", "whole");
    const char *last = g_strrstr(a->str, "HTTP/1.");
    size_t head_bytes =
        (size_t)(strstr(last, "\r\n\r\n") - a->str) + strlen("\r\n\r\n");
    s.answer = a->str;
    for (s.n = 0; s.n <= a->len; s.n++)
      for (int how = 0; how < 4; how++) {
        s.reset = how & 1;
        if (s.reset && s.n == a->len) continue; /* either is right */
        HttpResponse r = read_answer(&s, how & 2);
        cr_assert(is_right_answer(&r, a, &s, head_bytes),
                  "frame %d, reset %d: %zu of %zu bytes: %d, complete %d",
                  frame, s.reset, s.n, a->len, r.status, r.complete);
      }
    g_string_free(a, TRUE);
  }
  stop_server(&s);
}
