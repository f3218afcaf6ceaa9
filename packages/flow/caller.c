/* caller.c: accepting, reading requests, writing answers. */
#include "flow/caller.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "kernel/limits.h"
#include "kernel/loopclock.h"

#define READ_BYTES 16384 /* of one read */
#define ACCEPT_MOST 64   /* connections taken in one turn */
#define SWEEP_S 0.5      /* between looks for callers that are too slow */
#define LINGER_S 1.0     /* for a caller that still sends to see its answer */
#define GIVE_UP_MS 5000  /* a caller that acknowledges nothing is gone */

typedef enum {
  CALLER_IDLE,    /* between requests */
  CALLER_READING, /* a request is coming in */
  CALLER_BUSY,    /* a request is being answered */
  CALLER_LINGER   /* all is said; until the caller closes, or LINGER_S */
} CallerState;

struct Caller {
  Callers *set;
  int fd;
  ev_io read, write;
  http_parser parser;
  CallerState state;
  double since; /* last progress, loop time */
  CallerReq req;
  Err err;
  GString *later; /* bytes that came while busy */
  GString *out;
  size_t out_off;
  size_t kept;  /* bytes that its owner holds of its answer */
  size_t waits; /* these and those of `out`, as the set counts them */
  bool full;    /* its owner waits until it has taken some */
  bool keep, chunked, closing, broken, failed, no_body;
  bool parsing; /* inside the parser: not to be freed */
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
  int n;
  size_t room;    /* of bodies and answers */
  size_t held;    /* by bodies */
  size_t pending; /* of answers that were not taken */
  int64_t sent;   /* bytes of all callers */
  bool draining;
  bool leaving; /* answers ask callers to leave */
};

static const http_parser_settings parser_settings;

/* == life of a connection == */

static void unlink_caller(Caller *c) {
  Callers *s = c->set;
  if (c->prev) c->prev->next = c->next;
  if (c->next) c->next->prev = c->prev;
  if (s->first == c) s->first = c->next;
  s->n--;
}

size_t caller_limit(const Caller *c) {
  const Callers *s = c->set;
  size_t used = s->held + s->pending - c->waits;
  size_t free_bytes = s->room > used ? s->room - used : 0;
  return CLAMP(free_bytes / 2, LIMIT_PENDING_MIN_BYTES,
               LIMIT_PENDING_MAX_BYTES);
}

/* Bytes that it has not taken. */
static size_t left_over(const Caller *c) {
  return c->out->len - c->out_off;
}

/* Counts the memory that it takes. */
static void count_pending(Caller *c) {
  size_t waits = (c->out->len > 0 ? c->out->allocated_len : 0) + c->kept;
  c->set->pending += waits - c->waits;
  c->waits = waits;
}

static void forget_body(Caller *c) {
  c->set->held -= c->req.body->len;
  g_string_truncate(c->req.body, 0);
}

static void free_caller(Caller *c) {
  Callers *s = c->set;
  ev_io_stop(s->loop, &c->read);
  ev_io_stop(s->loop, &c->write);
  forget_body(c);
  s->pending -= c->waits;
  unlink_caller(c);
  headers_free(&c->req.headers);
  g_string_free(c->req.target, TRUE);
  g_string_free(c->req.body, TRUE);
  g_string_free(c->out, TRUE);
  if (c->later) g_string_free(c->later, TRUE);
  g_free(c);
}

/* Ends the connection; its request hears that the caller is gone. */
static void drop(Caller *c) {
  Callers *s = c->set;
  if (c->broken) return;
  c->broken = true;
  bool busy = c->state == CALLER_BUSY;
  if (busy) s->ev.gone(s->ctx, c);
  close(c->fd);
  if (!c->parsing) free_caller(c);
}

static void arm_write(Caller *c) {
  if (c->out->len > 0 && !ev_is_active(&c->write))
    ev_io_start(c->set->loop, &c->write);
  if (c->out->len == 0) ev_io_stop(c->set->loop, &c->write);
}

/* A failure is told from the loop, so that whoever flushes may go on. */
void caller_flush(Caller *c) {
  if (c->broken || c->failed) return;
  if (!sock_write(c->fd, c->out, &c->out_off)) {
    c->failed = true;
    ev_feed_event(c->set->loop, &c->read, EV_READ);
    return;
  }
  count_pending(c);
  arm_write(c);
  if (!c->closing || c->out->len > 0) return;
  c->state = CALLER_LINGER;
  c->since = loopclock_now(c->set->loop);
  shutdown(c->fd, SHUT_WR);
  if (!ev_is_active(&c->read)) ev_io_start(c->set->loop, &c->read);
}

/* == parsing == */

static int on_begin(http_parser *p) {
  Caller *c = p->data;
  headers_clear(&c->req.headers);
  g_string_truncate(c->req.target, 0);
  forget_body(c);
  c->err = (Err){0};
  c->state = CALLER_READING;
  c->req.at = c->since = loopclock_now(c->set->loop);
  return 0;
}

static int on_url(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  g_string_append_len(c->req.target, at, (gssize)n);
  return 0;
}

static int on_field(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  headers_name_piece(&c->req.headers, at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  headers_value_piece(&c->req.headers, at, n);
  return 0;
}

static void check_head(Caller *c) {
  const CallerLimits *l = &c->set->limits;
  const Headers *h = &c->req.headers;
  if (h->too_many || h->text->len + c->req.target->len > l->max_header)
    err_set(&c->err, ERR_HEADER_TOO_LARGE, "the head is over %zu bytes",
            l->max_header);
  else if (headers_count(h, "Host") != 1)
    err_set(&c->err, ERR_MALFORMED, "there must be one Host field");
  else if (c->req.target->str[0] != '/')
    err_set(&c->err, ERR_MALFORMED, "the path must begin with a slash");
}

static int on_head(http_parser *p) {
  Caller *c = p->data;
  check_head(c);
  const char *expect = headers_get(&c->req.headers, "Expect");
  if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0 && !c->err.kind)
    g_string_append(c->out, "HTTP/1.1 100 Continue\r\n\r\n");
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  Caller *c = p->data;
  c->since = loopclock_now(c->set->loop);
  if (c->err.kind) return 0;
  if (c->req.body->len + n > c->set->limits.max_body) {
    err_set(&c->err, ERR_TOO_LARGE, "the body is over %zu bytes",
            c->set->limits.max_body);
    return 0;
  }
  c->set->held += n;
  g_string_append_len(c->req.body, at, (gssize)n);
  return 0;
}

static int on_done(http_parser *p) {
  Caller *c = p->data;
  c->keep = http_should_keep_alive(p) && !c->err.kind;
  c->req.method = http_method_str((enum http_method)p->method);
  c->no_body = p->method == HTTP_HEAD;
  c->state = CALLER_BUSY;
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

/* The head alone may already be too large. */
static bool head_too_long(const Caller *c) {
  return c->state == CALLER_READING &&
         c->req.headers.text->len > c->set->limits.max_header;
}

static void refuse(Caller *c, ErrKind kind, const char *why) {
  if (!c->err.kind) err_set(&c->err, kind, "%s", why);
  c->keep = false;
  c->state = CALLER_BUSY;
  c->req.method = "GET";
  c->set->ev.request(c->set->ctx, c, &c->req, &c->err);
}

static void keep_for_later(Caller *c, const char *p, size_t n) {
  if (n == 0) return;
  if (!c->later) c->later = g_string_new(NULL);
  g_string_append_len(c->later, p, (gssize)n);
  /* A caller that sends on and on while it waits is read no further. */
  if (c->later->len > READ_BYTES) ev_io_stop(c->set->loop, &c->read);
}

static void parse(Caller *c, const char *p, size_t n) {
  Callers *s = c->set;
  if (c->state == CALLER_BUSY) {
    keep_for_later(c, p, n);
    return;
  }
  bool outer = c->parsing;
  c->parsing = true;
  size_t used = http_parser_execute(&c->parser, &parser_settings, p, n);
  enum http_errno bad = HTTP_PARSER_ERRNO(&c->parser);
  if (bad == HPE_PAUSED) {
    http_parser_pause(&c->parser, 0);
    keep_for_later(c, p + used, n - used);
    s->ev.request(s->ctx, c, &c->req, c->err.kind ? &c->err : NULL);
  } else if (bad == HPE_HEADER_OVERFLOW || head_too_long(c)) {
    refuse(c, ERR_HEADER_TOO_LARGE, "the head is too large");
  } else if (bad != HPE_OK) {
    refuse(c, ERR_MALFORMED, http_errno_description(bad));
  } else if (c->err.kind == ERR_TOO_LARGE) {
    refuse(c, ERR_TOO_LARGE, c->err.text);
  } else if (c->out->len > 0) { /* it waits for our word to send its body */
    caller_flush(c);
  }
  c->parsing = outer;
  if (c->broken && !outer) free_caller(c);
}

/* == events == */

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Caller *c = w->data;
  char buf[READ_BYTES];
  ssize_t n = c->failed ? 0 : recv(c->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) {
    drop(c);
    return;
  }
  c->set->sent += n;
  if (c->state != CALLER_LINGER) parse(c, buf, (size_t)n);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Caller *c = w->data;
  c->since = loopclock_now(c->set->loop);
  caller_flush(c);
  if (!c->full || c->failed ||
      left_over(c) + LIMIT_PENDING_STEP_BYTES > caller_limit(c))
    return;
  c->full = false;
  if (c->data) c->set->ev.drained(c->set->ctx, c);
}

static void add_caller(Callers *s, int fd) {
  Caller *c = g_new0(Caller, 1);
  c->set = s;
  c->fd = fd;
  c->since = loopclock_now(s->loop);
  headers_init(&c->req.headers);
  c->req.target = g_string_new(NULL);
  c->req.body = g_string_new(NULL);
  c->out = g_string_new(NULL);
  http_parser_init(&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  sock_user_timeout(fd, GIVE_UP_MS);
  sock_send_bound(fd, LIMIT_SEND_BUFFER_BYTES);
  ev_io_init(&c->read, on_readable, fd, EV_READ);
  ev_io_init(&c->write, on_writable, fd, EV_WRITE);
  c->read.data = c->write.data = c;
  c->next = s->first;
  if (s->first) s->first->prev = c;
  s->first = c;
  s->n++;
  ev_io_start(s->loop, &c->read);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Callers *s = w->data;
  for (int i = 0; i < ACCEPT_MOST; i++) {
    int fd = sock_accept(s->fd);
    if (fd < 0) return;
    add_caller(s, fd);
  }
}

static bool overdue(const Caller *c, double now) {
  const CallerLimits *l = &c->set->limits;
  switch (c->state) {
  case CALLER_IDLE:
    return now - c->since > l->idle_s || (c->set->draining && !c->later);
  case CALLER_READING: return now - c->since > l->header_s;
  case CALLER_BUSY: return false;
  case CALLER_LINGER: /* what is left of its answer is delivered, also late */
    return now - c->since > (c->out->len > 0 ? l->idle_s : LINGER_S);
  }
  return false;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Callers *s = w->data;
  double now = loopclock_now(loop);
  for (Caller *c = s->first, *next; c; c = next) {
    next = c->next;
    if (!overdue(c, now)) continue;
    if (c->state == CALLER_READING)
      refuse(c, ERR_TOO_SLOW, "the request did not come in time");
    else
      drop(c);
  }
}

/* == answers == */

static const char *reason(int status) {
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

void caller_head(Caller *c, int status, const char *fields, int64_t length) {
  bool bare = c->no_body || status == 204 || status == 304;
  c->chunked = length == CALLER_CHUNKED && !bare;
  if (c->chunked && c->parser.http_minor == 0) { /* ends with the connection */
    c->chunked = false;
    c->keep = false;
  }
  if (c->set->draining || c->set->leaving) c->keep = false;
  g_string_append_printf(c->out, "HTTP/1.1 %d %s\r\n%s", status, reason(status),
                         fields);
  if (c->chunked)
    headers_put(c->out, "Transfer-Encoding", "chunked");
  else if (length != CALLER_CHUNKED && status != 204 && status != 304)
    g_string_append_printf(c->out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                           length);
  if (!c->keep) headers_put(c->out, "Connection", "close");
  g_string_append(c->out, "\r\n");
}

void caller_body(Caller *c, const char *data, size_t n) {
  if (n == 0 || c->no_body) return;
  if (c->chunked) g_string_append_printf(c->out, "%zx\r\n", n);
  g_string_append_len(c->out, data, (gssize)n);
  if (c->chunked) g_string_append_len(c->out, "\r\n", 2);
}

/* Reads on with what came meanwhile. */
static void next_request(Caller *c) {
  Callers *s = c->set;
  c->state = CALLER_IDLE;
  c->since = loopclock_now(s->loop);
  c->data = NULL;
  forget_body(c);
  if (!ev_is_active(&c->read)) ev_io_start(s->loop, &c->read);
  GString *later = c->later;
  c->later = NULL;
  if (!later) return;
  parse(c, later->str, later->len);
  g_string_free(later, TRUE);
}

void caller_end(Caller *c) {
  if (c->chunked) g_string_append(c->out, "0\r\n\r\n");
  c->closing = !c->keep;
  c->data = NULL;
  c->full = false;
  c->since = loopclock_now(c->set->loop);
  if (c->closing) c->state = CALLER_LINGER;
  caller_flush(c);
  if (!c->closing) next_request(c);
}

void caller_abort(Caller *c) {
  if (c->broken) return;
  c->state = CALLER_IDLE;
  c->broken = true;
  sock_reset(c->fd);
  if (!c->parsing) free_caller(c);
}

void caller_hold(Caller *c, size_t bytes) {
  c->kept = bytes;
  count_pending(c);
}

bool caller_full(Caller *c) {
  c->full = left_over(c) > caller_limit(c);
  return c->full;
}

void caller_set(Caller *c, void *data) {
  c->data = data;
}

void *caller_get(const Caller *c) {
  return c->data;
}

/* == the set == */

Callers *callers_open(struct ev_loop *loop, const char *addr,
                      const CallerEvents *ev, void *ctx, Err *e) {
  int fd = sock_listen(addr, e);
  if (fd < 0) return NULL;
  Callers *s = g_new0(Callers, 1);
  s->loop = loop;
  s->fd = fd;
  s->ev = *ev;
  s->ctx = ctx;
  s->limits = (CallerLimits){.max_header = 32768,
                             .max_body = LIMIT_BODY_BYTES,
                             .header_s = 5,
                             .idle_s = 60};
  ev_io_init(&s->accept, on_accept, fd, EV_READ);
  ev_timer_init(&s->sweep, on_sweep, SWEEP_S, SWEEP_S);
  s->accept.data = s->sweep.data = s;
  ev_io_start(loop, &s->accept);
  ev_timer_start(loop, &s->sweep);
  return s;
}

void callers_limits(Callers *s, const CallerLimits *l) {
  s->limits = *l;
}

void callers_leave(Callers *s, bool leave) {
  s->leaving = leave;
}

int64_t callers_sent(const Callers *s) {
  return s->sent;
}

void callers_drain(Callers *s) {
  s->draining = true;
}

void callers_room(Callers *s, size_t bytes) {
  s->room = bytes;
}

size_t callers_held(const Callers *s) {
  return s->held;
}

void callers_close(Callers *s) {
  ev_io_stop(s->loop, &s->accept);
  ev_timer_stop(s->loop, &s->sweep);
  close(s->fd);
  while (s->first) {
    s->first->state = CALLER_IDLE;
    drop(s->first);
  }
  g_free(s);
}
