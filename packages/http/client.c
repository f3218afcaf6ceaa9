/* client.c: neon behind client.h. */
#include "http/client.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct HttpClient {
  ne_session *session;
  bool connected; /* a connection stood during this call */
  bool used;      /* the connection has carried an answer before */
};

struct HttpStream {
  HttpClient *client;
  ne_request *req;
  bool ended;
};

static pthread_once_t once = PTHREAD_ONCE_INIT;

static void init(void) {
  ne_sock_init();
}

static void on_status(void *data, ne_session_status status,
                      const ne_session_status_info *info) {
  (void)info;
  HttpClient *c = data;
  if (status == ne_status_connected) c->connected = true;
}

HttpClient *http_client(const char *addr, int connect_s, int read_s) {
  pthread_once(&once, init);
  char host[64];
  const char *colon = strrchr(addr, ':');
  if (!colon || (size_t)(colon - addr) >= sizeof host) return NULL;
  g_strlcpy(host, addr, (gsize)(colon - addr) + 1);
  HttpClient *c = g_new0(HttpClient, 1);
  c->session = ne_session_create("http", host, (unsigned)atoi(colon + 1));
  ne_set_connect_timeout(c->session, connect_s);
  ne_set_read_timeout(c->session, read_s);
  ne_set_notifier(c->session, on_status, c);
  return c;
}

void http_client_free(HttpClient *c) {
  if (!c) return;
  ne_session_destroy(c->session);
  g_free(c);
}

static ne_request *prepare(HttpClient *c, const HttpCall *call) {
  ne_request *req = ne_request_create(c->session, call->method, call->path);
  for (int i = 0; call->headers && call->headers[i]; i += 2)
    ne_add_request_header(req, call->headers[i], call->headers[i + 1]);
  if (call->len > 0) ne_set_request_body_buffer(req, call->body, call->len);
  /* neon would send again on a dead kept connection by itself; what may not
     be repeated goes on a connection of its own. */
  return req;
}

HttpStream *http_open(HttpClient *c, const HttpCall *call, bool retry_safe,
                      HttpAnswer *a) {
  memset(a, 0, sizeof *a);
  if (!retry_safe) ne_close_connection(c->session);
  bool kept = c->used && retry_safe;
  c->connected = false;
  ne_request *req = prepare(c, call);
  if (!retry_safe) ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
  int rc = ne_begin_request(req);
  if (rc != NE_OK) {
    a->sent = c->connected || kept;
    g_strlcpy(a->error, ne_get_error(c->session), sizeof a->error);
    ne_request_destroy(req);
    ne_close_connection(c->session);
    c->used = false;
    return NULL;
  }
  a->sent = true;
  a->status = ne_get_status(req)->code;
  c->used = true;
  HttpStream *s = g_new0(HttpStream, 1);
  s->client = c;
  s->req = req;
  return s;
}

const char *http_stream_header(const HttpStream *s, const char *name) {
  return ne_get_response_header(s->req, name);
}

long http_read(HttpStream *s, char *buf, size_t n) {
  if (s->ended) return 0;
  ssize_t got = ne_read_response_block(s->req, buf, n);
  if (got > 0) return got;
  if (got == 0 && ne_end_request(s->req) == NE_OK) {
    s->ended = true;
    return 0;
  }
  return -1;
}

void http_close(HttpStream *s) {
  if (!s) return;
  if (!s->ended) {
    ne_close_connection(s->client->session);
    s->client->used = false;
  }
  ne_request_destroy(s->req);
  g_free(s);
}

void http_call(HttpClient *c, const HttpCall *call, size_t max, HttpAnswer *a) {
  HttpStream *s = http_open(c, call, true, a);
  a->body = g_string_new(NULL);
  if (!s) return;
  const char *etag = http_stream_header(s, "ETag");
  if (etag) g_strlcpy(a->etag, etag, sizeof a->etag);
  char buf[8192];
  long n;
  while ((n = http_read(s, buf, sizeof buf)) > 0) {
    if (a->body->len + (size_t)n > max) break;
    g_string_append_len(a->body, buf, n);
  }
  a->whole = n == 0;
  http_close(s);
}

void http_answer_free(HttpAnswer *a) {
  if (a->body) g_string_free(a->body, TRUE);
  a->body = NULL;
}
