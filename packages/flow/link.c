/* link.c: connects, writes requests, reads answers, keeps idle connections. */
#include "flow/link.h"

#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "flow/tunnel.h"
#include "http/strict.h"
#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"

#define READ_BYTES 16384 /* size of one read */
/* A body of up to this size is copied, and sent together with its head. */
#define SHORT_BODY_BYTES 16384
#define SWEEP_INTERVAL_S 1.0   /* between checks for old idle links */
#define MAX_SKIPPED_ANSWERS 1  /* of other exchanges, per exchange */
#define MAX_INTERIM_ANSWERS 32 /* with status 1xx, per exchange */
#define KEEP_ALIVE_RATIO 0.7   /* used part of the peer's keep-alive timeout */

#define TUNNEL_TIMEOUT_S 0.6 /* for a gateway to open a tunnel */
#define MAX_TUNNEL_ANSWER_BYTES 256

typedef enum {
  LINK_CONNECTING,
  LINK_TUNNELLING, /* the gateway was asked for a tunnel */
  LINK_OPEN,
  LINK_IDLE
} LinkState;

struct Link {
  Links *set;
  char *addr, *via; /* via: the gateway; NULL: direct */
  char *key;        /* of its list of idle links */
  int fd;
  LinkState state;
  ev_io read, write;
  ev_timer timer; /* to connect */
  http_parser parser;
  Strict strict;
  Headers headers;
  GString *tunnel_answer; /* of the gateway */
  GString *out;           /* the head of the request, or all of it */
  size_t out_off;
  const char *body; /* what is left to send of its body, the owner's */
  size_t body_left;
  bool sent;     /* a byte of the request was sent */
  bool answered; /* a byte of an answer was received */
  bool skipping; /* the current answer is for another exchange */
  bool done;     /* the answer is complete */
  bool no_body;  /* the answer has no body, regardless of its status */
  bool rejected, not_reusable, parsing, cancelled;
  bool refused; /* the connection was refused at once */
  int skips, interims;
  size_t skipped_bytes; /* of bodies of answers for other exchanges */
  double idle_since, keep_s;
  size_t window_bytes; /* of the system's receive buffer; 0: its own size */
  LinkEvents ev;
  LinkCheckedFn checked; /* of link_check; NULL: none */
  void *ctx;             /* of `ev` or `checked` */
  Link *next;            /* in the list of idle links of an address */
};

struct Links {
  struct ev_loop *loop;
  LinkOptions o;
  ev_timer sweep;
  GHashTable *idle; /* key -> Link*, most recently used first */
  double last_activity, last_direct_read;
  LinksConnectFn connect_fn; /* NULL: none */
  void *connect_ctx;
  LinksConnectFn attempt_fn; /* NULL: none */
  void *attempt_ctx;
};

static const http_parser_settings parser_settings;

/* == links == */

static void free_link(Link *l) {
  ev_io_stop(l->set->loop, &l->read);
  ev_io_stop(l->set->loop, &l->write);
  ev_timer_stop(l->set->loop, &l->timer);
  if (l->fd >= 0) close(l->fd);
  if (l->set->o.holdings)
    holdings_return_receive_bytes(l->set->o.holdings, l->window_bytes);
  headers_free(&l->headers);
  if (l->out) g_string_free(l->out, TRUE);
  if (l->tunnel_answer) g_string_free(l->tunnel_answer, TRUE);
  g_free(l->addr);
  g_free(l->via);
  g_free(l->key);
  g_free(l);
}

static void release_link(Link *l) {
  if (l->parsing)
    l->cancelled = true; /* freed when the parser returns */
  else
    free_link(l);
}

static void finish_exchange(Link *l, LinkEnd how) {
  LinkEvents ev = l->ev;
  void *ctx = l->ctx;
  l->ctx = NULL;
  release_link(l);
  ev.end(ctx, how);
}

static void fail_exchange(Link *l) {
  if (!l->out) { /* it was opened ahead of an exchange */
    free_link(l);
    return;
  }
  finish_exchange(l, !l->sent      ? LINK_NOT_SENT
                     : l->answered ? LINK_BROKEN
                                   : LINK_NO_ANSWER);
}

/* Whether a part of the request is not written yet. */
static bool has_unsent(const Link *l) {
  return l->out->len > 0 || l->body_left > 0;
}

/* Whether the peer can't have read the whole request. */
static bool is_request_cut(const Link *l) {
  return has_unsent(l) || sock_has_unsent(l->fd);
}

/* Removes an idle link from its list. */
static void remove_idle(Link *l) {
  Links *s = l->set;
  Link *first = g_hash_table_lookup(s->idle, l->key);
  if (first == l) {
    if (l->next)
      g_hash_table_insert(s->idle, g_strdup(l->key), l->next);
    else
      g_hash_table_remove(s->idle, l->key);
  } else {
    while (first && first->next != l) first = first->next;
    if (first) first->next = l->next;
  }
  l->next = NULL;
}

static void add_idle(Link *l) {
  Links *s = l->set;
  l->state = LINK_IDLE;
  l->idle_since = loopclock_now(s->loop);
  l->next = g_hash_table_lookup(s->idle, l->key);
  g_hash_table_insert(s->idle, g_strdup(l->key), l);
}

/* == the answer == */

/* Ends the exchange when the parser returns: `part` exceeds its limit. Returns
   what a callback of the parser returns. */
static int reject_length(Link *l, const char *part) {
  count_add(COUNT_ANSWERS_TOO_LONG, 1);
  log_warn("answer-too-long", "s:s,s:s", "part", part, "addr", l->addr);
  l->rejected = true;
  return -1;
}

static int on_begin(http_parser *p) {
  Link *l = p->data;
  headers_clear(&l->headers);
  if (l->done) l->not_reusable = true; /* an answer without a request */
  return l->done ? 1 : 0;
}

static int on_status(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  strict_reason(&l->strict, at, n);
  return 0;
}

static int on_field(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  strict_name(&l->strict, &l->headers, at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  strict_value(&l->strict, &l->headers, at, n);
  return 0;
}

static double keep_alive_s(const Link *l) {
  const char *v = headers_get(&l->headers, "Keep-Alive");
  const char *t = v ? strstr(v, "timeout=") : NULL;
  double max_s = l->set->o.max_idle_s;
  if (!t) return max_s;
  return MIN(max_s, atof(t + strlen("timeout=")) * KEEP_ALIVE_RATIO);
}

/* Whether the current answer has no body, whatever its fields state. */
static bool has_no_body(const Link *l) {
  unsigned status = l->parser.status_code;
  return l->no_body || status / 100 == 1 || status == 204 || status == 304;
}

static LinkFraming framing_of(const Link *l) {
  const http_parser *p = &l->parser;
  if (has_no_body(l)) return LINK_FRAMING_LENGTH;
  if (p->flags & F_CHUNKED) return LINK_FRAMING_CHUNKS;
  return p->flags & F_CONTENTLENGTH ? LINK_FRAMING_LENGTH : LINK_FRAMING_CLOSE;
}

/* Values of on_headers_complete. The parser takes what follows a head without a
   body for the next answer. */
#define HEAD_THEN_BODY 0
#define HEAD_ALONE 1

/* Ends the exchange: the answer is one that HTTP does not allow. */
static int reject_answer(Link *l) {
  count_add(COUNT_ANSWERS_INVALID, 1);
  log_warn("answer-invalid", "s:s,s:i", "addr", l->addr, "status",
           (int)l->parser.status_code);
  l->rejected = true;
  return -1;
}

static int on_head(http_parser *p) {
  Link *l = p->data;
  if (!strict_check_answer(&l->strict, p, &l->headers)) return reject_answer(l);
  if (p->status_code / 100 == 1)
    return ++l->interims > MAX_INTERIM_ANSWERS ? reject_length(l, "interim")
                                               : HEAD_ALONE;
  if (l->headers.too_many) {
    l->rejected = true;
    return -1;
  }
  LinkHead h = {.status = p->status_code,
                .headers = &l->headers,
                .framing = framing_of(l)};
  l->keep_s = keep_alive_s(l);
  LinkVerdict v = l->ev.head(l->ctx, &h);
  if (l->cancelled) return -1;
  l->skipping = v == LINK_SKIP;
  if (v == LINK_SKIP) {
    l->not_reusable = true; /* not reused after this */
    /* Nothing can follow one that ends with the connection. */
    l->rejected =
        ++l->skips > MAX_SKIPPED_ANSWERS || h.framing == LINK_FRAMING_CLOSE;
  }
  l->rejected |= v == LINK_REJECT;
  if (l->rejected) return -1;
  return has_no_body(l) ? HEAD_ALONE : HEAD_THEN_BODY;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  strict_body(&l->strict, p, at, n);
  if (l->strict.is_broken) return reject_answer(l);
  if (l->skipping) {
    l->skipped_bytes += n;
    return l->skipped_bytes > LIMIT_SKIPPED_BYTES ? reject_length(l, "foreign")
                                                  : 0;
  }
  l->rejected = !l->ev.body(l->ctx, at, n);
  return l->cancelled || l->rejected ? -1 : 0;
}

static int on_done(http_parser *p) {
  Link *l = p->data;
  if (p->status_code / 100 == 1) return 0;
  if (l->strict.is_broken) return reject_answer(l); /* after its head */
  if (l->skipping) {
    l->skipping = false;
    return 0;
  }
  l->done = true;
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_status = on_status,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_done,
};

/* Ends a complete exchange, and keeps the link if it can be reused. `closed`:
   the end of the connection ended it. */
static void finish_complete(Link *l, bool closed) {
  bool keep = !closed && !l->not_reusable && !has_unsent(l) && l->keep_s > 0 &&
              http_should_keep_alive(&l->parser);
  LinkEvents ev = l->ev;
  void *ctx = l->ctx;
  l->ctx = NULL;
  if (keep)
    add_idle(l);
  else
    release_link(l);
  ev.end(ctx, closed ? LINK_CLOSED : LINK_COMPLETE);
}

static void parse(Link *l, const char *p, size_t n) {
  l->parsing = true;
  strict_begin_input(&l->strict, p, n);
  size_t parsed_bytes = http_parser_execute(&l->parser, &parser_settings, p, n);
  bool bad = HTTP_PARSER_ERRNO(&l->parser) != HPE_OK || parsed_bytes < n;
  if (!l->cancelled && l->ev.read_done) l->ev.read_done(l->ctx);
  l->parsing = false;
  if (l->cancelled)
    free_link(l);
  else if (l->done) {
    l->not_reusable |= bad;
    finish_complete(l, n == 0);
  } else if (bad || n == 0)
    fail_exchange(l);
}

/* == events == */

static void note_read(const Link *l) {
  double now = loopclock_now(l->set->loop);
  l->set->last_activity = now;
  if (!l->via) l->set->last_direct_read = now;
}

static void read_tunnel_answer(Link *l);

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)revents;
  (void)loop;
  Link *l = w->data;
  char buf[READ_BYTES];
  if (l->state == LINK_TUNNELLING) {
    read_tunnel_answer(l);
    return;
  }
  ssize_t n = recv(l->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n > 0) note_read(l);
  if (l->state == LINK_IDLE) { /* closed, or unexpected data */
    remove_idle(l);
    free_link(l);
    return;
  }
  /* Nothing tells whether an answer is whole that ends before its request was
     sent: a reset that a failed write reported is read as an orderly end. */
  if (n < 0 || (n == 0 && is_request_cut(l))) {
    fail_exchange(l);
    return;
  }
  l->answered |= n > 0;
  parse(l, buf, (size_t)n);
}

/* Writes as much of the body as the socket accepts. Returns false when the
   connection is broken. */
static bool write_body(Link *l) {
  while (l->body_left > 0) {
    ssize_t n = send(l->fd, l->body, l->body_left, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
    l->body += n;
    l->body_left -= (size_t)n;
  }
  return true;
}

static void write_request(Link *l) {
  size_t left = l->out->len - l->out_off;
  bool ok = sock_write(l->fd, l->out, &l->out_off);
  l->sent |= l->out->len - l->out_off < left;
  if (ok && l->out->len == 0) ok = write_body(l);
  if (!ok) {
    /* An answer that the peer sent before it closed may still be read. */
    ev_io_stop(l->set->loop, &l->write);
    ev_feed_event(l->set->loop, &l->read, EV_READ);
    return;
  }
  if (has_unsent(l))
    ev_io_start(l->set->loop, &l->write);
  else
    ev_io_stop(l->set->loop, &l->write);
}

static void notify_attempt(const Link *l, LinkConnectResult how) {
  const Links *s = l->set;
  if (s->attempt_fn) s->attempt_fn(s->attempt_ctx, l->addr, l->via, how);
}

static void notify_connect(const Links *s, const char *addr, const char *via,
                           LinkConnectResult how) {
  if (s->connect_fn) s->connect_fn(s->connect_ctx, addr, via, how);
}

/* Reports the result of a check once; it may free the owner of `ctx`. */
static void end_check(Link *l, LinkConnectResult how) {
  LinkCheckedFn checked = l->checked;
  void *ctx = l->ctx;
  l->checked = NULL;
  l->ctx = NULL;
  if (how == LINK_CONNECTED)
    add_idle(l);
  else
    free_link(l);
  checked(ctx, how);
}

/* The connection failed. The exchange ends before connect_fn is called, so that
   connect_fn counts only the exchanges that continue. */
static void fail_connect(Link *l, LinkConnectResult how) {
  const Links *s = l->set;
  char *addr = g_strdup(l->addr), *via = g_strdup(l->via);
  notify_attempt(l, how);
  if (l->checked)
    end_check(l, how);
  else if (how == LINK_TUNNEL_FAILED && l->out)
    finish_exchange(l, LINK_NO_TUNNEL);
  else
    fail_exchange(l);
  notify_connect(s, addr, via, how);
  g_free(addr);
  g_free(via);
}

/* The connection to the peer is established. */
static void open_link(Link *l) {
  struct ev_loop *loop = l->set->loop;
  notify_attempt(l, LINK_CONNECTED);
  notify_connect(l->set, l->addr, l->via, LINK_CONNECTED);
  l->state = LINK_OPEN;
  l->set->last_activity = loopclock_now(loop);
  ev_timer_stop(loop, &l->timer);
  ev_io_start(loop, &l->read);
  if (l->out) {
    write_request(l);
    return;
  }
  ev_io_stop(loop, &l->write);
  l->keep_s = l->set->o.max_idle_s;
  if (l->checked)
    end_check(l, LINK_CONNECTED);
  else
    add_idle(l);
}

/* == tunnels == */

static void request_tunnel(Link *l) {
  struct ev_loop *loop = l->set->loop;
  char *head = g_strdup_printf("CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                               l->addr, l->addr);
  size_t length = strlen(head);
  /* It fits into the empty buffer of a new connection. */
  bool sent = send(l->fd, head, length, MSG_NOSIGNAL) == (ssize_t)length;
  g_free(head);
  if (!sent) {
    fail_connect(l, LINK_TUNNEL_FAILED);
    return;
  }
  l->state = LINK_TUNNELLING;
  l->tunnel_answer = g_string_new(NULL);
  ev_io_stop(loop, &l->write);
  ev_io_start(loop, &l->read);
  ev_timer_stop(loop, &l->timer);
  ev_timer_set(&l->timer, TUNNEL_TIMEOUT_S, 0);
  ev_timer_start(loop, &l->timer);
}

static void handle_tunnel_status(Link *l, int status) {
  switch (status) {
  case TUNNEL_OPENED: open_link(l); break;
  case TUNNEL_REFUSED: fail_connect(l, LINK_REFUSED); break;
  case TUNNEL_UNREACHABLE: fail_connect(l, LINK_UNREACHABLE); break;
  default: fail_connect(l, LINK_TUNNEL_FAILED);
  }
}

/* The peer sends nothing before its request, so nothing follows the answer. */
static void read_tunnel_answer(Link *l) {
  char buf[MAX_TUNNEL_ANSWER_BYTES];
  int status = 0;
  ssize_t n = recv(l->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n > 0) g_string_append_len(l->tunnel_answer, buf, n);
  const GString *a = l->tunnel_answer;
  bool complete = g_str_has_suffix(a->str, "\r\n\r\n");
  if (n > 0 && !complete && a->len < MAX_TUNNEL_ANSWER_BYTES) return;
  if (complete) sscanf(a->str, "HTTP/1.1 %3d", &status);
  handle_tunnel_status(l, status);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Link *l = w->data;
  if (l->state != LINK_CONNECTING) {
    write_request(l);
    return;
  }
  int error = sock_connect_error(l->fd);
  if (error == 0 && l->via)
    request_tunnel(l);
  else if (error == 0 || (error == ECONNRESET && l->checked))
    open_link(l); /* it was accepted, even if it was reset since */
  else if (l->via)
    fail_connect(l, LINK_TUNNEL_FAILED);
  else
    fail_connect(l, error == ECONNREFUSED ? LINK_REFUSED : LINK_UNREACHABLE);
}

static void on_connect_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Link *l = w->data;
  if (l->via)
    fail_connect(l, LINK_TUNNEL_FAILED);
  else
    fail_connect(l, l->refused ? LINK_REFUSED : LINK_UNREACHABLE);
}

/* == sending == */

/* Idle links to a peer are kept by its address and the gateway. */
static char *make_key(const char *addr, const char *via) {
  return via ? g_strconcat(addr, " ", via, NULL) : g_strdup(addr);
}

/* Returns an idle link that is fresh. One that has input is closed: its peer
   closed it, or sent bytes that belong to no request. */
static Link *take_fresh_idle(Links *s, const char *addr, const char *via,
                             double max_idle_s) {
  double now = loopclock_now(s->loop);
  char *key = make_key(addr, via);
  Link *l, *found = NULL;
  bool fresh = true; /* if one is not, the others of this address are older */
  while (!found && fresh && (l = g_hash_table_lookup(s->idle, key))) {
    double age = now - l->idle_since;
    fresh = age < max_idle_s && age < l->keep_s;
    remove_idle(l);
    if (fresh && !sock_has_input(l->fd))
      found = l;
    else
      free_link(l);
  }
  g_free(key);
  return found;
}

static Link *new_link(Links *s, const char *addr, const char *via) {
  Link *l = g_new0(Link, 1);
  l->set = s;
  l->addr = g_strdup(addr);
  l->via = g_strdup(via);
  l->key = make_key(addr, via);
  headers_init(&l->headers);
  if (s->o.holdings)
    l->window_bytes =
        holdings_take_receive_bytes(s->o.holdings, LIMIT_BODY_RECEIVE_BYTES);
  l->fd = sock_connect(via ? via : addr, l->window_bytes);
  l->refused = l->fd < 0 && errno == ECONNREFUSED;
  l->state = LINK_CONNECTING;
  ev_init(&l->read, on_readable);
  ev_init(&l->write, on_writable);
  if (l->fd >= 0) {
    sock_set_user_timeout(l->fd, s->o.user_timeout_ms);
    if (s->o.keepalive_probes) sock_enable_keepalive(l->fd);
    ev_io_set(&l->read, l->fd, EV_READ);
    ev_io_set(&l->write, l->fd, EV_WRITE);
  }
  ev_timer_init(&l->timer, on_connect_timeout,
                l->fd >= 0 ? s->o.connect_timeout_s : 0, 0);
  l->read.data = l->write.data = l->timer.data = l;
  return l;
}

static void connect_link(Link *l) {
  ev_timer_start(l->set->loop, &l->timer);
  if (l->fd >= 0) ev_io_start(l->set->loop, &l->write);
}

static void prepare_exchange(Link *l, GString *request, const GString *body,
                             const LinkEvents *ev, void *ctx) {
  if (l->out) g_string_free(l->out, TRUE);
  bool is_short = body && body->len <= SHORT_BODY_BYTES;
  if (is_short) g_string_append_len(request, body->str, (gssize)body->len);
  l->out = request;
  l->out_off = 0;
  l->body = body ? body->str : NULL;
  l->body_left = body && !is_short ? body->len : 0;
  l->sent = l->answered = l->skipping = l->done = false;
  l->no_body = g_str_has_prefix(request->str, "HEAD ");
  l->skips = l->interims = 0;
  l->skipped_bytes = 0;
  l->ev = *ev;
  l->ctx = ctx;
  http_parser_init(&l->parser, HTTP_RESPONSE);
  l->parser.data = l;
  l->strict = (Strict){0};
  headers_clear(&l->headers);
}

Link *link_send_via(Links *s, const char *addr, const char *via,
                    GString *request, const GString *body, double max_idle_s,
                    const LinkEvents *ev, void *ctx) {
  Link *l = take_fresh_idle(s, addr, via, max_idle_s);
  bool kept = l != NULL;
  if (!l) l = new_link(s, addr, via);
  prepare_exchange(l, request, body, ev, ctx);
  if (kept) {
    l->state = LINK_OPEN;
    write_request(l);
  } else {
    connect_link(l);
  }
  return l;
}

Link *link_send(Links *s, const char *addr, GString *request, double max_idle_s,
                const LinkEvents *ev, void *ctx) {
  return link_send_via(s, addr, NULL, request, NULL, max_idle_s, ev, ctx);
}

void link_preconnect_via(Links *s, const char *addr, const char *via) {
  connect_link(new_link(s, addr, via));
}

void link_preconnect(Links *s, const char *addr) {
  link_preconnect_via(s, addr, NULL);
}

Link *link_check(Links *s, const char *addr, const char *via, LinkCheckedFn fn,
                 void *ctx) {
  Link *l = new_link(s, addr, via);
  l->checked = fn;
  l->ctx = ctx;
  connect_link(l);
  return l;
}

double links_last_activity(const Links *s) {
  return s->last_activity;
}

double links_last_direct_read(const Links *s) {
  return s->last_direct_read;
}

void link_cancel(Link *l) {
  l->ctx = NULL;
  release_link(l);
}

void link_pause(Link *l) {
  ev_io_stop(l->set->loop, &l->read);
}

void link_resume(Link *l) {
  ev_io_start(l->set->loop, &l->read);
}

bool link_has_sent(const Link *l) {
  return l->sent;
}

/* == the set == */

static void free_list(Link *l) {
  while (l) {
    Link *next = l->next;
    free_link(l);
    l = next;
  }
}

/* Frees the links that are too old; they are at the tail of each list. */
static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Links *s = w->data;
  double now = loopclock_now(loop);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->idle);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Link *first = v, *prev = NULL, *l = first;
    while (l && now - l->idle_since < l->keep_s) {
      prev = l;
      l = l->next;
    }
    if (!l) continue;
    if (prev)
      prev->next = NULL;
    else
      g_hash_table_iter_remove(&it);
    free_list(l);
  }
}

void links_close_idle(Links *s, const char *addr) {
  Link *first = g_hash_table_lookup(s->idle, addr);
  g_hash_table_remove(s->idle, addr);
  free_list(first);
}

void links_close_idle_if(Links *s, bool (*fn)(void *ctx, const char *via),
                         void *ctx) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->idle);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Link *first = v;
    if (!fn(ctx, first->via)) continue;
    g_hash_table_iter_remove(&it);
    free_list(first);
  }
}

static bool is_any_link(void *ctx, const char *via) {
  (void)ctx;
  (void)via;
  return true;
}

void links_close_all_idle(Links *s) {
  links_close_idle_if(s, is_any_link, NULL);
}

Links *links_open(struct ev_loop *loop, const LinkOptions *o) {
  Links *s = g_new0(Links, 1);
  s->loop = loop;
  s->o = *o;
  s->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  ev_timer_init(&s->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
  s->sweep.data = s;
  ev_timer_start(loop, &s->sweep);
  return s;
}

void links_set_connect_fn(Links *s, LinksConnectFn fn, void *ctx) {
  s->connect_fn = fn;
  s->connect_ctx = ctx;
}

void links_set_attempt_fn(Links *s, LinksConnectFn fn, void *ctx) {
  s->attempt_fn = fn;
  s->attempt_ctx = ctx;
}

void links_close(Links *s) {
  ev_timer_stop(s->loop, &s->sweep);
  links_close_all_idle(s);
  g_hash_table_destroy(s->idle);
  g_free(s);
}
