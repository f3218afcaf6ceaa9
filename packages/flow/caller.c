/* caller.c: accepts connections, reads requests and writes answers. */
#include "flow/caller.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "http/strict.h"
#include "kernel/buffer.h"
#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/loopclock.h"

#define READ_BYTES 16384        /* size of one read */
#define MAX_ACCEPTS_PER_TURN 64 /* per turn of the event loop */
#define SWEEP_INTERVAL_S 0.5    /* between checks for slow callers */
#define LINGER_TIMEOUT_S 1.0    /* for the caller to read the answer */
/* Data that the caller does not acknowledge, or has no room for, ends the
   connection after this: while a target is at work on the answer, and while the
   rest of a finished answer is delivered, also to callers that read slowly. */
#define UNACKED_TIMEOUT_MS 5000
#define DELIVERY_TIMEOUT_MS 30000
#define RETRY_NO_ROOM_MS 200 /* Retry-After of requests without room */

typedef enum {
  CALLER_IDLE,    /* between requests */
  CALLER_READING, /* a request is being received */
  CALLER_BUSY,    /* a request is being answered */
  CALLER_LINGER   /* answered; until the caller closes, or a timeout */
} CallerState;

struct Caller {
  Callers *set;
  int fd;
  ev_io read, write;
  http_parser parser;
  Strict strict;
  CallerState state;
  double progress_at; /* loop time of the last progress */
  CallerRequest req;
  Err err;
  GString *pending_input; /* received while busy */
  GString *out;
  size_t out_off;
  size_t owner_bytes;      /* of the answer, buffered by its owner */
  Holding held;            /* in the account */
  size_t window_bytes;     /* of the system's receive buffer at first */
  size_t receive_bytes;    /* of that buffer, for a long body */
  HoldingsRequest serving; /* its request, if it is served */
  bool awaits_drain;       /* its owner waits for `drained` */
  bool keep, closing, broken, failed, no_body;
  /* What marks the end of the answer if not a length: chunks, or nothing but
     the end of the connection. */
  bool chunked, unframed;
  bool parsing; /* inside the parser, so not to be freed */
  void *data;
  Caller *prev, *next;
};

struct Callers {
  struct ev_loop *loop;
  int fd;
  ev_io accept;
  ev_timer sweep;
  CallerLimits limits;
  CallerEvents ev;
  void *ctx;
  Caller *first;
  Holdings *holdings;
  size_t window_bytes;    /* of the next connection */
  int64_t bytes_received; /* from all callers */
  bool draining;
  bool leaving; /* answers close their connections */
};

static const http_parser_settings parser_settings;

/* == connections == */

static void unlink_caller(Caller *c) {
  Callers *s = c->set;
  if (c->prev) c->prev->next = c->next;
  if (c->next) c->next->prev = c->prev;
  if (s->first == c) s->first = c->next;
}

/* Bytes of the answer that are not sent yet. */
static size_t unsent_bytes(const Caller *c) {
  return c->out->len - c->out_off;
}

/* == what a caller holds == */

size_t caller_buffer_limit(const Caller *c) {
  return CLAMP(holdings_free_bytes(c->set->holdings, &c->held) / 2,
               LIMIT_PENDING_MIN_BYTES, LIMIT_PENDING_MAX_BYTES);
}

/* Updates the account after buffers of the caller have changed. */
static void update_held(Caller *c) {
  Holdings *h = c->set->holdings;
  size_t bytes = holdings_connection_bytes(h) + c->receive_bytes +
                 c->req.headers.text->allocated_len +
                 c->req.uri->allocated_len + c->req.body->allocated_len +
                 c->out->allocated_len + c->owner_bytes;
  if (c->pending_input) bytes += c->pending_input->allocated_len;
  if (c->serving.bytes > 0) bytes += holdings_request_bytes(h);
  holdings_change(h, &c->held,
                  (Holding){.bytes = bytes, .is_served = c->serving.bytes > 0});
}

/* A long body arrives faster through a larger buffer of the system. */
static void expect_long_body(Caller *c) {
  if (holdings_free_bytes(c->set->holdings, &c->held) <
      LIMIT_BODY_RECEIVE_BYTES)
    return;
  c->receive_bytes = LIMIT_BODY_RECEIVE_BYTES;
  sock_set_receive_buffer(c->fd, LIMIT_BODY_RECEIVE_BYTES);
}

/* Stops reading from a caller that keeps sending before its answer. What the
   system holds for it counts as memory of the process. */
static void stop_reading(Caller *c) {
  ev_io_stop(c->set->loop, &c->read);
  sock_set_receive_buffer(c->fd, (int)c->window_bytes);
}

/* Frees what the request holds, once it is no longer needed. */
static void clear_request(Caller *c) {
  headers_clear(&c->req.headers);
  buffer_clear(c->req.headers.text, LIMIT_IDLE_BUFFER_BYTES);
  buffer_clear(c->req.uri, LIMIT_IDLE_BUFFER_BYTES);
  buffer_clear(c->req.body, LIMIT_IDLE_BUFFER_BYTES);
  holdings_end(c->set->holdings, &c->serving);
  update_held(c);
}

bool caller_serve(Caller *c, const char *group) {
  Holdings *h = c->set->holdings;
  size_t bytes = c->held.bytes + holdings_request_bytes(h);
  if (!holdings_serve(h, &c->serving, group, bytes)) {
    c->keep = false; /* so that what it sends behind it is dropped */
    return false;
  }
  update_held(c);
  return true;
}

static void free_caller(Caller *c) {
  Callers *s = c->set;
  ev_io_stop(s->loop, &c->read);
  ev_io_stop(s->loop, &c->write);
  holdings_end(s->holdings, &c->serving);
  holdings_change(s->holdings, &c->held, (Holding){0});
  holdings_return_receive_bytes(s->holdings, c->window_bytes);
  unlink_caller(c);
  headers_free(&c->req.headers);
  g_string_free(c->req.uri, TRUE);
  g_string_free(c->req.body, TRUE);
  g_string_free(c->out, TRUE);
  if (c->pending_input) g_string_free(c->pending_input, TRUE);
  g_free(c);
}

/* Closes the connection; the owner of an open request is notified. */
static void close_caller(Caller *c) {
  Callers *s = c->set;
  if (c->broken) return;
  c->broken = true;
  bool busy = c->state == CALLER_BUSY;
  if (busy) s->ev.disconnected(s->ctx, c);
  close(c->fd);
  if (!c->parsing) free_caller(c);
}

static void update_write_watcher(Caller *c) {
  if (c->out->len > 0 && !ev_is_active(&c->write))
    ev_io_start(c->set->loop, &c->write);
  if (c->out->len == 0) ev_io_stop(c->set->loop, &c->write);
}

/* Reads what follows an answer. Input received during the answer is read from
   the event loop: a caller may have sent hundreds of requests, each of which is
   answered at once. */
static void read_on(Caller *c) {
  if (!ev_is_active(&c->read)) ev_io_start(c->set->loop, &c->read);
  if (c->pending_input) ev_feed_event(c->set->loop, &c->read, EV_READ);
}

/* A failure is reported later from the event loop, so that the code that
   flushes can continue. */
void caller_flush(Caller *c) {
  if (c->broken || c->failed) return;
  if (!sock_write(c->fd, c->out, &c->out_off)) {
    c->failed = true;
    ev_feed_event(c->set->loop, &c->read, EV_READ);
    return;
  }
  update_held(c);
  update_write_watcher(c);
  if (c->state == CALLER_IDLE && c->out->len == 0) read_on(c);
  if (!c->closing || c->out->len > 0) return;
  c->state = CALLER_LINGER;
  c->progress_at = loopclock_now(c->set->loop);
  if (c->unframed) sock_set_reset_on_close(c->fd, false);
  shutdown(c->fd, SHUT_WR);
  if (!ev_is_active(&c->read)) ev_io_start(c->set->loop, &c->read);
}

/* == parsing == */

static int on_begin(http_parser *p) {
  Caller *c = p->data;
  c->err = (Err){0};
  c->strict.is_broken = false;
  c->state = CALLER_READING;
  sock_set_user_timeout(c->fd, UNACKED_TIMEOUT_MS);
  c->req.received_at = c->progress_at = loopclock_now(c->set->loop);
  return 0;
}

static int on_url(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  g_string_append_len(c->req.uri, at, (gssize)n);
  return 0;
}

static int on_field(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  strict_name(&c->strict, &c->req.headers, at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  strict_value(&c->strict, &c->req.headers, at, n);
  return 0;
}

static void set_invalid(Caller *c) {
  err_set(&c->err, ERR_MALFORMED, "HTTP does not allow such a request");
}

static void check_head(Caller *c) {
  const CallerLimits *l = &c->set->limits;
  const Headers *h = &c->req.headers;
  if (h->too_many || h->text->len + c->req.uri->len > l->max_header)
    err_set(&c->err, ERR_HEADER_TOO_LARGE, "the head is over %zu bytes",
            l->max_header);
  else if (!strict_check_request(&c->strict, &c->parser, h))
    set_invalid(c);
  else if (headers_count(h, "Host") != 1)
    err_set(&c->err, ERR_MALFORMED, "there must be one Host field");
  else if (c->req.uri->str[0] != '/')
    err_set(&c->err, ERR_MALFORMED, "the path must begin with a slash");
}

/* Whether a body of this length, which is stated before it arrives, could be
   served now. */
static bool has_room(const Caller *c, uint64_t length) {
  const Holdings *h = c->set->holdings;
  size_t bytes = c->held.bytes + (size_t)length + holdings_request_bytes(h);
  return holdings_may_serve(h, "", bytes);
}

static int on_head(http_parser *p) {
  Caller *c = p->data;
  bool is_chunked = p->flags & F_CHUNKED;
  uint64_t length = p->flags & F_CONTENTLENGTH ? p->content_length : 0;
  check_head(c);
  if (!c->err.kind && length > c->set->limits.max_body)
    err_set(&c->err, ERR_TOO_LARGE, "the body is over %zu bytes",
            c->set->limits.max_body);
  else if (!c->err.kind && length > 0 && !has_room(c, length))
    err_retry(&c->err, ERR_OVERLOADED, RETRY_NO_ROOM_MS,
              "this instance holds too many requests");
  if (!c->err.kind && (is_chunked || length > c->window_bytes))
    expect_long_body(c);
  const char *expect = headers_get(&c->req.headers, "Expect");
  if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0 && !c->err.kind)
    g_string_append(c->out, "HTTP/1.1 100 Continue\r\n\r\n");
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  strict_body(&c->strict, p, at, n);
  c->progress_at = loopclock_now(c->set->loop);
  if (c->err.kind) return 0;
  size_t max = c->set->limits.max_body;
  if (c->req.body->len + n > max) {
    err_set(&c->err, ERR_TOO_LARGE, "the body is over %zu bytes", max);
    return 0;
  }
  /* The parser counts down what is left of a stated length. */
  if (p->flags & F_CONTENTLENGTH)
    max = c->req.body->len + n + (size_t)p->content_length;
  buffer_append(c->req.body, at, n, max);
  return 0;
}

static int on_done(http_parser *p) {
  Caller *c = p->data;
  if (c->strict.is_broken && !c->err.kind) set_invalid(c); /* after its head */
  c->keep = http_should_keep_alive(p) && !c->err.kind;
  c->req.method = http_method_str((enum http_method)p->method);
  c->no_body = p->method == HTTP_HEAD;
  c->state = CALLER_BUSY;
  c->receive_bytes = 0;
  http_parser_pause(p, 1); /* the next request waits for this answer */
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_done,
};

/* Whether the head is too large before it is complete. */
static bool is_head_too_long(const Caller *c) {
  return c->state == CALLER_READING &&
         c->req.headers.text->len + c->req.uri->len > c->set->limits.max_header;
}

static void reject_request(Caller *c, ErrKind kind, const char *why) {
  if (!c->err.kind) err_set(&c->err, kind, "%s", why);
  c->keep = false;
  c->state = CALLER_BUSY;
  c->req.method = "GET";
  buffer_clear(c->req.body, LIMIT_IDLE_BUFFER_BYTES);
  c->receive_bytes = 0;
  update_held(c);
  c->set->ev.request(c->set->ctx, c, &c->req, &c->err);
}

static void buffer_input(Caller *c, const char *p, size_t n) {
  if (n == 0) return;
  if (!c->pending_input) c->pending_input = g_string_new(NULL);
  g_string_append_len(c->pending_input, p, (gssize)n);
  if (c->pending_input->len > READ_BYTES) stop_reading(c);
}

static void parse(Caller *c, const char *p, size_t n) {
  Callers *s = c->set;
  if (c->state == CALLER_BUSY) {
    buffer_input(c, p, n);
    update_held(c);
    return;
  }
  bool was_parsing = c->parsing;
  c->parsing = true;
  strict_begin_input(&c->strict, p, n);
  size_t used = http_parser_execute(&c->parser, &parser_settings, p, n);
  enum http_errno bad = HTTP_PARSER_ERRNO(&c->parser);
  if (bad == HPE_PAUSED) {
    http_parser_pause(&c->parser, 0);
    buffer_input(c, p + used, n - used);
    update_held(c);
    s->ev.request(s->ctx, c, &c->req, c->err.kind ? &c->err : NULL);
  } else if (bad == HPE_HEADER_OVERFLOW || is_head_too_long(c)) {
    reject_request(c, ERR_HEADER_TOO_LARGE, "the head is too large");
  } else if (bad != HPE_OK) {
    reject_request(c, ERR_MALFORMED, http_errno_description(bad));
  } else if (c->err.kind == ERR_TOO_LARGE || c->err.kind == ERR_OVERLOADED) {
    reject_request(c, c->err.kind, c->err.text);
  } else if (c->out->len > 0) { /* it waits for 100 Continue */
    caller_flush(c);
  }
  if (!c->broken) update_held(c);
  c->parsing = was_parsing;
  if (c->broken && !was_parsing) free_caller(c);
}

/* == the limit of the account == */

/* Since when the caller has held what it does, without an end. */
static double held_since(const Caller *c) {
  return c->state == CALLER_READING ? c->req.received_at : c->progress_at;
}

/* Returns the caller to drop first, NULL if all are served. */
static Caller *find_heaviest(const Callers *s) {
  double now = loopclock_now(s->loop), most = 0;
  Caller *heaviest = NULL;
  for (Caller *c = s->first; c; c = c->next) {
    if (c->state == CALLER_BUSY) continue;
    double weight = holdings_weight(&c->held, now - held_since(c));
    if (weight <= most) continue; /* it came just now */
    most = weight;
    heaviest = c;
  }
  return heaviest;
}

/* Closing without an answer shows that the request was not read. An answer
   would take a connection for as long as its caller goes on sending. */
static void drop_caller(Caller *c) {
  count_add(COUNT_CALLERS_DROPPED, 1);
  close_caller(c);
}

/* Drops callers until the account is within its limit, or only requests that
   are served are left. To be called where no caller is in use. */
static void make_room(Callers *s) {
  Caller *c;
  while (holdings_is_over(s->holdings) && (c = find_heaviest(s)))
    drop_caller(c);
}

/* == events == */

/* Continues with input received during the last answer. */
static void parse_pending(Caller *c) {
  GString *input = c->pending_input;
  c->pending_input = NULL;
  parse(c, input->str, input->len);
  g_string_free(input, TRUE);
}

static void read_caller(Caller *c) {
  char buf[READ_BYTES];
  if (c->state == CALLER_IDLE && unsent_bytes(c) > 0 && !c->failed) {
    ev_io_stop(c->set->loop, &c->read); /* until its last answer is sent */
    return;
  }
  if (c->pending_input && c->state == CALLER_IDLE && !c->failed) {
    parse_pending(c);
    return;
  }
  ssize_t n = c->failed ? 0 : recv(c->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) {
    close_caller(c);
    return;
  }
  c->set->bytes_received += n;
  if (c->state != CALLER_LINGER) parse(c, buf, (size_t)n);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Caller *c = w->data;
  Callers *s = c->set;
  read_caller(c);
  make_room(s);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Caller *c = w->data;
  c->progress_at = loopclock_now(c->set->loop);
  caller_flush(c);
  if (!c->awaits_drain || c->failed ||
      unsent_bytes(c) + LIMIT_PENDING_STEP_BYTES > caller_buffer_limit(c))
    return;
  c->awaits_drain = false;
  if (c->data) c->set->ev.drained(c->set->ctx, c);
}

static void add_caller(Callers *s, int fd) {
  Caller *c = g_new0(Caller, 1);
  c->set = s;
  c->fd = fd;
  c->window_bytes = holdings_take_receive_bytes(
      s->holdings, holdings_caller_receive_bytes(s->holdings));
  c->progress_at = loopclock_now(s->loop);
  headers_init(&c->req.headers);
  c->req.uri = g_string_new(NULL);
  c->req.body = g_string_new(NULL);
  c->out = g_string_new(NULL);
  http_parser_init(&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  sock_set_user_timeout(fd, UNACKED_TIMEOUT_MS);
  sock_set_send_buffer(fd, LIMIT_SEND_BUFFER_BYTES);
  ev_io_init(&c->read, on_readable, fd, EV_READ);
  ev_io_init(&c->write, on_writable, fd, EV_WRITE);
  c->read.data = c->write.data = c;
  c->next = s->first;
  if (s->first) s->first->prev = c;
  s->first = c;
  update_held(c);
  ev_io_start(s->loop, &c->read);
}

/* The buffers of connections that wait to be accepted are as large as that of
   the listening socket. */
static void update_window(Callers *s) {
  size_t most = holdings_caller_receive_bytes(s->holdings);
  sock_change_receive_buffer(s->fd, &s->window_bytes,
                             holdings_receive_bytes(s->holdings, most));
}

/* No descriptor is left: one of the callers gives way, or those that connect
   wait until the next sweep. */
static void handle_full_table(Callers *s) {
  Caller *c = find_heaviest(s);
  if (c)
    drop_caller(c);
  else
    ev_io_stop(s->loop, &s->accept);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Callers *s = w->data;
  for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
    int fd = sock_accept(s->fd);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE)) handle_full_table(s);
    if (fd < 0) break;
    add_caller(s, fd);
    update_window(s);
  }
  make_room(s);
}

static bool is_overdue(const Caller *c, double now) {
  const CallerLimits *l = &c->set->limits;
  double idle_s = now - c->progress_at;
  switch (c->state) {
  case CALLER_IDLE:
  case CALLER_LINGER:
    if (c->out->len > 0) /* the rest of its answer */
      return idle_s > DELIVERY_TIMEOUT_MS / 1000.0;
    if (c->state == CALLER_LINGER) return idle_s > LINGER_TIMEOUT_S;
    return idle_s > l->idle_s || (c->set->draining && !c->pending_input);
  case CALLER_READING: return idle_s > l->header_s;
  case CALLER_BUSY: return false;
  }
  return false;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Callers *s = w->data;
  double now = loopclock_now(loop);
  for (Caller *c = s->first, *next; c; c = next) {
    next = c->next;
    if (!is_overdue(c, now)) continue;
    if (c->state == CALLER_READING)
      reject_request(c, ERR_TOO_SLOW, "the request did not come in time");
    else
      close_caller(c);
  }
  make_room(s);
  update_window(s);
  if (!ev_is_active(&s->accept)) ev_io_start(loop, &s->accept);
}

/* == answers == */

static const char *reason_phrase(int status) {
  static const struct {
    int status;
    const char *text;
  } list[] = {{200, "OK"},
              {400, "Bad Request"},
              {401, "Unauthorized"},
              {402, "Payment Required"},
              {404, "Not Found"},
              {408, "Request Timeout"},
              {413, "Content Too Large"},
              {429, "Too Many Requests"},
              {431, "Request Header Fields Too Large"},
              {500, "Internal Server Error"},
              {502, "Bad Gateway"},
              {503, "Service Unavailable"},
              {504, "Gateway Timeout"}};
  for (size_t i = 0; i < G_N_ELEMENTS(list); i++)
    if (list[i].status == status) return list[i].text;
  return "Status";
}

void caller_write_head(Caller *c, int status, const char *fields,
                       int64_t length) {
  bool bare = c->no_body || status == 204 || status == 304;
  bool is_open = length == CALLER_CHUNKED && !bare;
  c->chunked = is_open && c->parser.http_minor > 0;
  c->unframed = is_open && !c->chunked;
  if (c->unframed) {
    c->keep = false;
    sock_set_reset_on_close(c->fd, true); /* until the answer is sent */
  }
  if (c->set->draining || c->set->leaving) c->keep = false;
  g_string_append_printf(c->out, "HTTP/1.1 %d %s\r\n%s", status,
                         reason_phrase(status), fields);
  if (c->chunked)
    headers_write(c->out, "Transfer-Encoding", "chunked");
  else if (length != CALLER_CHUNKED && status != 204 && status != 304)
    g_string_append_printf(c->out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                           length);
  if (!c->keep) headers_write(c->out, "Connection", "close");
  g_string_append(c->out, "\r\n");
}

void caller_write_body(Caller *c, const char *data, size_t n) {
  if (n == 0 || c->no_body) return;
  if (c->chunked) g_string_append_printf(c->out, "%zx\r\n", n);
  buffer_append(c->out, data, n, 0);
  if (c->chunked) g_string_append_len(c->out, "\r\n", 2);
}

static void await_next_request(Caller *c) {
  c->state = CALLER_IDLE;
  c->progress_at = loopclock_now(c->set->loop);
  c->data = NULL;
  if (c->out->len == 0) read_on(c);
}

void caller_end_answer(Caller *c) {
  if (c->chunked) g_string_append(c->out, "0\r\n\r\n");
  c->closing = !c->keep;
  c->data = NULL;
  c->awaits_drain = false;
  c->progress_at = loopclock_now(c->set->loop);
  if (c->closing) c->state = CALLER_LINGER;
  sock_set_user_timeout(c->fd, DELIVERY_TIMEOUT_MS);
  clear_request(c);
  if (c->closing && c->pending_input) g_string_truncate(c->pending_input, 0);
  caller_flush(c);
  if (!c->closing) await_next_request(c);
}

void caller_abort(Caller *c) {
  if (c->broken) return;
  c->state = CALLER_IDLE;
  c->broken = true;
  sock_reset(c->fd);
  if (!c->parsing) free_caller(c);
}

void caller_set_held_bytes(Caller *c, size_t bytes) {
  c->owner_bytes = bytes;
  update_held(c);
}

bool caller_check_full(Caller *c) {
  c->awaits_drain = unsent_bytes(c) > caller_buffer_limit(c);
  return c->awaits_drain;
}

void caller_set_data(Caller *c, void *data) {
  c->data = data;
}

void *caller_get_data(const Caller *c) {
  return c->data;
}

/* == the set == */

Callers *callers_open(struct ev_loop *loop, const char *addr,
                      const CallerEvents *ev, void *ctx, Holdings *holdings,
                      Err *e) {
  size_t window_bytes = holdings_caller_receive_bytes(holdings);
  int fd = sock_listen(addr, holdings_backlog(holdings), (int)window_bytes, e);
  if (fd < 0) return NULL;
  Callers *s = g_new0(Callers, 1);
  s->holdings = holdings;
  s->window_bytes = window_bytes;
  s->loop = loop;
  s->fd = fd;
  s->ev = *ev;
  s->ctx = ctx;
  s->limits = (CallerLimits){.max_header = 32768,
                             .max_body = LIMIT_BODY_BYTES,
                             .header_s = 5,
                             .idle_s = 60};
  ev_io_init(&s->accept, on_accept, fd, EV_READ);
  ev_timer_init(&s->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
  s->accept.data = s->sweep.data = s;
  ev_io_start(loop, &s->accept);
  ev_timer_start(loop, &s->sweep);
  return s;
}

void callers_set_limits(Callers *s, const CallerLimits *l) {
  s->limits = *l;
}

void callers_set_max_body(Callers *s, size_t bytes) {
  s->limits.max_body = bytes;
}

void callers_set_leaving(Callers *s, bool leave) {
  s->leaving = leave;
}

int64_t callers_bytes_received(const Callers *s) {
  return s->bytes_received;
}

void callers_drain(Callers *s) {
  s->draining = true;
}

bool callers_are_sending(const Callers *s) {
  for (const Caller *c = s->first; c; c = c->next)
    if (c->out->len > 0) return true;
  return false;
}

void callers_close(Callers *s) {
  ev_io_stop(s->loop, &s->accept);
  ev_timer_stop(s->loop, &s->sweep);
  close(s->fd);
  while (s->first) {
    s->first->state = CALLER_IDLE;
    close_caller(s->first);
  }
  g_free(s);
}
