/* client.c: the HTTP client, implemented with neon. */
#include "http/client.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/clock.h"
#include "kernel/limits.h"

/* Read timeouts that the whole body of a limited response may take. Each piece
   of a body that trickles without end arrives within one. */
#define BODY_READ_TIMEOUTS 4

/* What a proxy states in place of a server that does not answer. */
#define HTTP_BAD_GATEWAY 502
#define HTTP_GATEWAY_TIMEOUT 504

struct HttpClient {
  ne_session *session;
  int read_s;
  bool connected; /* a connection was established for the current request */
  bool reusable;  /* the connection has carried a response; the next request
                     reuses it */
};

struct HttpStream {
  HttpClient *client;
  ne_request *req;
  bool complete;
  /* see http_stream_limit */
  double ends_at; /* by clock_now; 0: not limited */
  int pieces;     /* received so far */
};

static pthread_once_t once = PTHREAD_ONCE_INIT;

static void initialize_sockets(void) {
  ne_sock_init();
}

static void record_connection_status(void *data, ne_session_status status,
                                     const ne_session_status_info *info) {
  (void)info;
  HttpClient *c = data;
  if (status == ne_status_connected) c->connected = true;
}

HttpClient *http_client_new(const char *addr, int connect_s, int read_s) {
  pthread_once(&once, initialize_sockets);
  char host[64];
  const char *colon = strrchr(addr, ':');
  if (!colon || (size_t)(colon - addr) >= sizeof host) return NULL;
  g_strlcpy(host, addr, (gsize)(colon - addr) + 1);
  HttpClient *c = g_new0(HttpClient, 1);
  c->session = ne_session_create("http", host, (unsigned)atoi(colon + 1));
  ne_set_connect_timeout(c->session, connect_s);
  ne_set_read_timeout(c->session, read_s);
  c->read_s = read_s;
  ne_set_notifier(c->session, record_connection_status, c);
  return c;
}

void http_client_free(HttpClient *c) {
  if (!c) return;
  ne_session_destroy(c->session);
  g_free(c);
}

static ne_request *create_request(HttpClient *c,
                                  const HttpClientRequest *request) {
  ne_request *req =
      ne_request_create(c->session, request->method, request->path);
  for (int i = 0; request->headers && request->headers[i]; i += 2)
    ne_add_request_header(req, request->headers[i], request->headers[i + 1]);
  if (request->body_bytes > 0)
    ne_set_request_body_buffer(req, request->body, request->body_bytes);
  /* If the server has closed the persistent connection, neon itself sends the
     request again. Therefore http_stream_open uses a new connection for a
     request that must not be repeated. */
  return req;
}

/* neon reads the body of any other response until the connection ends. */
static bool is_framed(ne_request *req, const char *method) {
  int status = ne_get_status(req)->code;
  const char *coding = ne_get_response_header(req, "Transfer-Encoding");
  return status == 204 || status == 304 || strcmp(method, "HEAD") == 0 ||
         ne_get_response_header(req, "Content-Length") ||
         (coding && g_ascii_strcasecmp(coding, "identity") != 0);
}

HttpStream *http_stream_open(HttpClient *c, const HttpClientRequest *request,
                             bool retry_safe, HttpResponse *response) {
  memset(response, 0, sizeof *response);
  if (!retry_safe) ne_close_connection(c->session);
  bool reused = c->reusable && retry_safe;
  c->connected = false;
  ne_request *req = create_request(c, request);
  if (!retry_safe) ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
  int rc = ne_begin_request(req);
  if (rc != NE_OK) {
    /* On a reused connection the server may have received the request. */
    response->sent = c->connected || reused;
    g_strlcpy(response->error, ne_get_error(c->session),
              sizeof response->error);
    ne_request_destroy(req);
    ne_close_connection(c->session);
    c->reusable = false;
    return NULL;
  }
  response->sent = true;
  response->status = ne_get_status(req)->code;
  response->framed = is_framed(req, request->method);
  c->reusable = true;
  HttpStream *s = g_new0(HttpStream, 1);
  s->client = c;
  s->req = req;
  return s;
}

const char *http_stream_header(const HttpStream *s, const char *name) {
  return ne_get_response_header(s->req, name);
}

void http_stream_limit(HttpStream *s) {
  s->ends_at = clock_now() + BODY_READ_TIMEOUTS * s->client->read_s;
}

static bool is_over_limit(HttpStream *s) {
  return s->ends_at > 0 &&
         (++s->pieces > LIMIT_ANSWER_PIECES || clock_now() > s->ends_at);
}

long http_stream_read(HttpStream *s, char *buf, size_t n) {
  if (s->complete) return 0;
  if (is_over_limit(s)) return -1;
  ssize_t received = ne_read_response_block(s->req, buf, n);
  if (received > 0) return received;
  if (received == 0 && ne_end_request(s->req) == NE_OK) {
    s->complete = true;
    return 0;
  }
  return -1;
}

void http_stream_close(HttpStream *s) {
  if (!s) return;
  if (!s->complete) {
    ne_close_connection(s->client->session);
    s->client->reusable = false;
  }
  ne_request_destroy(s->req);
  g_free(s);
}

bool http_answers(const char *addr, int timeout_s) {
  HttpClient *c = http_client_new(addr, timeout_s, timeout_s);
  HttpClientRequest request = {.method = "OPTIONS", .path = "*"};
  HttpResponse response;
  HttpStream *s = http_stream_open(c, &request, false, &response);
  bool answers = s && response.status != HTTP_BAD_GATEWAY &&
                 response.status != HTTP_GATEWAY_TIMEOUT;
  http_stream_close(s);
  http_client_free(c);
  return answers;
}

void http_client_request(HttpClient *c, const HttpClientRequest *request,
                         size_t max_bytes, HttpResponse *response) {
  HttpStream *s = http_stream_open(c, request, true, response);
  response->body = g_string_new(NULL);
  if (!s) return;
  const char *etag = http_stream_header(s, "ETag");
  if (etag) g_strlcpy(response->etag, etag, sizeof response->etag);
  char buf[8192];
  long n;
  http_stream_limit(s);
  while ((n = http_stream_read(s, buf, sizeof buf)) > 0) {
    if (response->body->len + (size_t)n > max_bytes) break;
    g_string_append_len(response->body, buf, n);
  }
  response->complete = n == 0;
  http_stream_close(s);
}

void http_response_free(HttpResponse *response) {
  if (response->body) g_string_free(response->body, TRUE);
  response->body = NULL;
}
