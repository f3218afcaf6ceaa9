/* client.c: sends requests and reads answers on a non-blocking socket, with a
   timeout for each step. An answer may come before its request was sent. */
#include "http/client.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "http/strict.h"
#include "kernel/buffer.h"
#include "kernel/clock.h"
#include "kernel/limits.h"

#define READ_BYTES 16384       /* size of one read */
#define MAX_INTERIM_ANSWERS 32 /* with status 1xx, per request */

/* Read timeouts that the whole body of a limited response may take. Each piece
   of a body that trickles without end arrives within one. */
#define BODY_READ_TIMEOUTS 4

/* What a proxy states in place of a server that does not answer. */
#define HTTP_BAD_GATEWAY 502
#define HTTP_GATEWAY_TIMEOUT 504

struct HttpClient {
  char addr[64]; /* ip:port */
  int connect_s, read_s;
  int fd;        /* -1: not connected */
  bool reusable; /* the connection has carried a response; the next request
                    reuses it */
};

struct HttpStream {
  HttpClient *client;
  http_parser parser;
  Strict strict;
  Headers headers;
  GString *request; /* its head */
  size_t request_off;
  const char *body; /* what is left to send of the request's body */
  size_t body_left;
  bool sent;       /* a byte of the request was sent */
  bool cant_send;  /* the peer takes no more */
  bool may_retry;  /* the connection ended without a byte of an answer */
  bool has_head;   /* of the final answer */
  bool is_whole;   /* the answer was received to its end */
  bool is_invalid; /* HTTP does not allow it */
  bool no_body;    /* the request has the method HEAD */
  bool has_surplus;
  int interims;
  GString *output; /* of the body, not passed on yet */
  const char *error;
  /* see http_stream_limit */
  double ends_at; /* by clock_now; 0: not limited */
  int pieces;     /* received so far */
};

/* == connections == */

static void disconnect(HttpClient *c) {
  if (c->fd >= 0) close(c->fd);
  c->fd = -1;
  c->reusable = false;
}

/* Waits for events of the socket. Returns those that came, 0 after a
   timeout. */
static int wait_for(const HttpClient *c, int events, int timeout_s) {
  struct pollfd p = {c->fd, (short)events, 0};
  int n;
  do n = poll(&p, 1, timeout_s * 1000);
  while (n < 0 && errno == EINTR);
  return n > 0 ? p.revents : 0;
}

static bool connect_client(HttpClient *c) {
  c->fd = sock_connect(c->addr, 0);
  if (c->fd < 0) return false;
  if (wait_for(c, POLLOUT, c->connect_s) != 0 && sock_connect_error(c->fd) == 0)
    return true;
  disconnect(c);
  return false;
}

HttpClient *http_client_new(const char *addr, int connect_s, int read_s) {
  struct sockaddr_in in;
  HttpClient *c = g_new0(HttpClient, 1);
  c->connect_s = connect_s;
  c->read_s = read_s;
  c->fd = -1;
  if (sock_parse_address(addr, &in) &&
      g_strlcpy(c->addr, addr, sizeof c->addr) < sizeof c->addr)
    return c;
  g_free(c);
  return NULL;
}

void http_client_free(HttpClient *c) {
  if (!c) return;
  disconnect(c);
  g_free(c);
}

/* == reading an answer == */

static int on_begin(http_parser *p) {
  HttpStream *s = p->data;
  headers_clear(&s->headers);
  return 0;
}

static int on_status(http_parser *p, const char *at, size_t n) {
  HttpStream *s = p->data;
  strict_reason(&s->strict, at, n);
  return 0;
}

static int on_name(http_parser *p, const char *at, size_t n) {
  HttpStream *s = p->data;
  strict_name(&s->strict, &s->headers, at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  HttpStream *s = p->data;
  strict_value(&s->strict, &s->headers, at, n);
  return 0;
}

static int reject_answer(HttpStream *s) {
  s->is_invalid = true;
  return -1;
}

/* Values of on_headers_complete. The parser takes what follows a head without a
   body for the next answer. */
#define HEAD_THEN_BODY 0
#define HEAD_ALONE 1

static int on_head(http_parser *p) {
  HttpStream *s = p->data;
  if (!strict_check_answer(&s->strict, p, &s->headers) || s->headers.too_many)
    return reject_answer(s);
  if (p->status_code / 100 == 1)
    return ++s->interims > MAX_INTERIM_ANSWERS ? reject_answer(s) : HEAD_ALONE;
  s->has_head = true;
  return s->no_body ? HEAD_ALONE : HEAD_THEN_BODY;
}

static int on_chunk(http_parser *p) {
  HttpStream *s = p->data;
  s->pieces++;
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  HttpStream *s = p->data;
  strict_body(&s->strict, p, at, n);
  if (s->strict.is_broken) return reject_answer(s);
  buffer_append(s->output, at, n, 0);
  return 0;
}

static int on_done(http_parser *p) {
  HttpStream *s = p->data;
  if (p->status_code / 100 == 1) return 0;
  if (s->strict.is_broken) return reject_answer(s); /* after its head */
  s->is_whole = true;
  http_parser_pause(p, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_status = on_status,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_chunk_header = on_chunk,
    .on_body = on_body,
    .on_message_complete = on_done,
};

/* Returns false when the answer is invalid, or can't go on. */
static bool parse(HttpStream *s, const char *p, size_t n) {
  strict_begin_input(&s->strict, p, n);
  size_t used = http_parser_execute(&s->parser, &parser_settings, p, n);
  s->has_surplus = s->is_whole && used < n;
  return s->is_whole || (!s->is_invalid && used == n &&
                         HTTP_PARSER_ERRNO(&s->parser) == HPE_OK);
}

static bool fail(HttpStream *s, const char *error) {
  s->error = error;
  return false;
}

static bool has_unsent(const HttpStream *s) {
  return s->request->len > s->request_off || s->body_left > 0;
}

/* Reads once. Returns false when the answer is cut or invalid. Nothing tells
   whether one is whole that ends before its request was sent. */
static bool receive(HttpStream *s) {
  char buf[READ_BYTES];
  ssize_t n = recv(s->client->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return true;
  if (n < 0) return fail(s, strerror(errno));
  if (n == 0 && (has_unsent(s) || sock_has_unsent(s->client->fd)))
    return fail(s, "the connection ended");
  s->may_retry &= n <= 0;
  s->pieces += !(s->parser.flags & F_CHUNKED);
  if (!parse(s, buf, (size_t)n))
    return fail(s, s->is_invalid ? "HTTP does not allow the answer"
                                 : "the answer is damaged");
  return s->is_whole || n > 0 || fail(s, "the connection ended");
}

/* == sending a request == */

static void send_piece(HttpStream *s, const char *p, size_t n, size_t *sent) {
  ssize_t k = send(s->client->fd, p, n, MSG_NOSIGNAL);
  *sent = k > 0 ? (size_t)k : 0;
  s->sent |= k > 0;
  s->cant_send = k < 0 && errno != EAGAIN && errno != EINTR;
}

static void send_some(HttpStream *s) {
  size_t n;
  if (s->request_off < s->request->len) {
    send_piece(s, s->request->str + s->request_off,
               s->request->len - s->request_off, &n);
    s->request_off += n;
    return;
  }
  send_piece(s, s->body, s->body_left, &n);
  s->body += n;
  s->body_left -= n;
}

/* Waits until a piece of the answer has come, or one of the request could be
   sent. Returns false when the exchange has failed. */
static bool exchange_some(HttpStream *s) {
  bool sends = has_unsent(s) && !s->cant_send;
  int came =
      wait_for(s->client, POLLIN | (sends ? POLLOUT : 0), s->client->read_s);
  if (came == 0) {
    s->may_retry = false;
    return fail(s, "no answer came in time");
  }
  if ((came & ~POLLOUT) && !receive(s)) return false;
  if (!s->is_whole && sends && (came & POLLOUT)) send_some(s);
  return true;
}

static bool read_head(HttpStream *s) {
  while (!s->has_head)
    if (!exchange_some(s)) return false;
  return true;
}

static GString *format_head(const HttpClient *c, const HttpClientRequest *r) {
  GString *out = g_string_new(NULL);
  g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r->method,
                         r->path, c->addr);
  for (int i = 0; r->headers && r->headers[i]; i += 2)
    headers_write(out, r->headers[i], r->headers[i + 1]);
  if (r->body_bytes > 0 || strcmp(r->method, "POST") == 0 ||
      strcmp(r->method, "PUT") == 0)
    g_string_append_printf(out, "Content-Length: %zu\r\n", r->body_bytes);
  g_string_append(out, "\r\n");
  return out;
}

/* == streams == */

static HttpStream *new_stream(HttpClient *c, const HttpClientRequest *r) {
  HttpStream *s = g_new0(HttpStream, 1);
  s->client = c;
  s->request = format_head(c, r);
  s->body = r->body;
  s->body_left = r->body_bytes;
  s->no_body = strcmp(r->method, "HEAD") == 0;
  s->may_retry = true;
  s->output = g_string_new(NULL);
  headers_init(&s->headers);
  http_parser_init(&s->parser, HTTP_RESPONSE);
  s->parser.data = s;
  return s;
}

static void free_stream(HttpStream *s) {
  headers_free(&s->headers);
  g_string_free(s->request, TRUE);
  g_string_free(s->output, TRUE);
  g_free(s);
}

/* The body of any other response ends with the connection. */
static bool is_framed(const HttpStream *s) {
  unsigned status = s->parser.status_code;
  return status == 204 || status == 304 || s->no_body ||
         (s->parser.flags & (F_CHUNKED | F_CONTENTLENGTH));
}

/* Sends the request on the open connection. Returns NULL on failure. */
static HttpStream *try_request(HttpClient *c, const HttpClientRequest *request,
                               HttpResponse *response, bool *may_retry) {
  HttpStream *s = new_stream(c, request);
  bool ok = read_head(s);
  response->sent |= s->sent;
  *may_retry = s->may_retry;
  if (ok) return s;
  g_strlcpy(response->error, s->error, sizeof response->error);
  free_stream(s);
  disconnect(c);
  return NULL;
}

static HttpStream *connect_and_try(HttpClient *c,
                                   const HttpClientRequest *request,
                                   HttpResponse *response) {
  bool may_retry;
  if (connect_client(c)) return try_request(c, request, response, &may_retry);
  g_strlcpy(response->error, "could not connect", sizeof response->error);
  return NULL;
}

HttpStream *http_stream_open(HttpClient *c, const HttpClientRequest *request,
                             bool retry_safe, HttpResponse *response) {
  memset(response, 0, sizeof *response);
  if (strpbrk(request->path, " \r\n")) { /* it would end the line */
    g_strlcpy(response->error, "the path is not valid", sizeof response->error);
    return NULL;
  }
  if (!retry_safe) disconnect(c);
  HttpStream *s = NULL;
  bool may_retry = true;
  if (c->reusable) s = try_request(c, request, response, &may_retry);
  /* A connection that was kept may have been closed meanwhile. */
  if (!s && may_retry) s = connect_and_try(c, request, response);
  if (!s) return NULL;
  response->status = (int)s->parser.status_code;
  response->framed = is_framed(s);
  return s;
}

const char *http_stream_header(const HttpStream *s, const char *name) {
  return headers_get(&s->headers, name);
}

void http_stream_limit(HttpStream *s) {
  s->ends_at = clock_now() + BODY_READ_TIMEOUTS * s->client->read_s;
}

static bool is_over_limit(const HttpStream *s) {
  return s->ends_at > 0 &&
         (s->pieces > LIMIT_ANSWER_PIECES || clock_now() > s->ends_at);
}

long http_stream_read(HttpStream *s, char *buf, size_t n) {
  if (is_over_limit(s)) return -1;
  while (s->output->len == 0) {
    if (s->is_whole) return 0;
    if (s->error || !exchange_some(s) || is_over_limit(s)) return -1;
  }
  size_t taken = MIN(n, s->output->len);
  memcpy(buf, s->output->str, taken);
  g_string_erase(s->output, 0, (gssize)taken);
  return (long)taken;
}

void http_stream_close(HttpStream *s) {
  if (!s) return;
  HttpClient *c = s->client;
  c->reusable = s->is_whole && s->output->len == 0 && !s->has_surplus &&
                !has_unsent(s) && http_should_keep_alive(&s->parser);
  if (!c->reusable) disconnect(c);
  free_stream(s);
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
