/* link.c: connecting, writing a request, reading its answer, keeping. */
#include "flow/link.h"

#include <errno.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "kernel/loopclock.h"

#define READ_BYTES 16384 /* of one read */
#define SWEEP_S 1.0      /* between looks for idle links that are old */
#define SKIPS 1          /* foreign answers that one exchange skips */
#define KEEP_MARGIN 0.7  /* of the time that a target says it keeps */

typedef enum { LINK_CONNECTING, LINK_OPEN, LINK_IDLE } LinkState;

struct Link {
  Links *set;
  char *addr;
  int fd;
  LinkState state;
  ev_io read, write;
  ev_timer timer; /* of connecting */
  http_parser parser;
  Headers headers;
  GString *out;
  size_t out_off;
  bool sent;     /* a byte of the request has left */
  bool answered; /* a byte of an answer has come */
  bool skipping; /* the answer in the parser is another's */
  bool done;     /* our answer is complete */
  bool bare;     /* it has no body, whatever its head says */
  bool dropped, fouled, parsing, cancelled;
  bool refused; /* the attempt to connect was, at once */
  int skips;
  double since, keep_until;
  LinkEvents ev;
  void *ctx;
  Link *next; /* of the idle ones of an address */
};

struct Links {
  struct ev_loop *loop;
  LinkOptions o;
  ev_timer sweep;
  GHashTable *idle; /* addr -> Link*, the youngest first */
  double heard;
  LinksReach reach; /* NULL: nobody is told */
  void *reach_ctx;
};

static const http_parser_settings parser_settings;

/* == life == */

static void free_link(Link *l) {
  ev_io_stop(l->set->loop, &l->read);
  ev_io_stop(l->set->loop, &l->write);
  ev_timer_stop(l->set->loop, &l->timer);
  if (l->fd >= 0) close(l->fd);
  headers_free(&l->headers);
  if (l->out) g_string_free(l->out, TRUE);
  g_free(l->addr);
  g_free(l);
}

static void release(Link *l) {
  if (l->parsing)
    l->cancelled = true; /* freed when the parser is done */
  else
    free_link(l);
}

static void finish(Link *l, LinkEnd how) {
  LinkEvents ev = l->ev;
  void *ctx = l->ctx;
  l->ctx = NULL;
  release(l);
  ev.end(ctx, how);
}

static void fail(Link *l) {
  if (!l->out) { /* it was opened for the next exchange */
    free_link(l);
    return;
  }
  finish(l, !l->sent ? LINK_NOT_SENT : l->answered ? LINK_CUT : LINK_EMPTY);
}

/* Takes an idle link out of its list. */
static void take_out(Link *l) {
  Links *s = l->set;
  Link *first = g_hash_table_lookup(s->idle, l->addr);
  if (first == l) {
    if (l->next)
      g_hash_table_insert(s->idle, g_strdup(l->addr), l->next);
    else
      g_hash_table_remove(s->idle, l->addr);
  } else {
    while (first && first->next != l) first = first->next;
    if (first) first->next = l->next;
  }
  l->next = NULL;
}

static void put_idle(Link *l) {
  Links *s = l->set;
  l->state = LINK_IDLE;
  l->since = loopclock_now(s->loop);
  l->next = g_hash_table_lookup(s->idle, l->addr);
  g_hash_table_insert(s->idle, g_strdup(l->addr), l);
}

/* == the answer == */

static int on_begin(http_parser *p) {
  Link *l = p->data;
  headers_clear(&l->headers);
  if (l->done) l->fouled = true; /* more than we asked for */
  return l->done ? 1 : 0;
}

static int on_field(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  headers_name_piece(&l->headers, at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  headers_value_piece(&l->headers, at, n);
  return 0;
}

static double told_keep(const Link *l) {
  const char *v = headers_get(&l->headers, "Keep-Alive");
  const char *t = v ? strstr(v, "timeout=") : NULL;
  double most = l->set->o.keep_s;
  if (!t) return most;
  return MIN(most, atof(t + strlen("timeout=")) * KEEP_MARGIN);
}

static int on_head(http_parser *p) {
  Link *l = p->data;
  if (p->status_code / 100 == 1) return 0;
  if (l->headers.too_many) {
    l->dropped = true;
    return -1;
  }
  bool length = p->content_length != ULLONG_MAX && !(p->flags & F_CHUNKED);
  LinkHead h = {.status = p->status_code,
                .headers = &l->headers,
                .length = length ? (int64_t)p->content_length : -1};
  l->keep_until = told_keep(l);
  LinkVerdict v = l->ev.head(l->ctx, &h);
  if (l->cancelled) return -1;
  l->skipping = v == LINK_SKIP;
  if (v == LINK_SKIP) {
    l->fouled = true; /* not kept after this */
    l->dropped = ++l->skips > SKIPS;
  }
  l->dropped |= v == LINK_DROP;
  if (l->dropped) return -1;
  return l->bare ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  Link *l = p->data;
  if (l->skipping) return 0;
  l->ev.body(l->ctx, at, n);
  return l->cancelled ? -1 : 0;
}

static int on_done(http_parser *p) {
  Link *l = p->data;
  if (p->status_code / 100 == 1) return 0;
  if (l->skipping) {
    l->skipping = false;
    return 0;
  }
  l->done = true;
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_done,
};

/* The answer is whole: the link is kept if nothing speaks against it. */
static void whole(Link *l, bool at_end) {
  bool keep = !at_end && !l->fouled && l->out->len == 0 && l->keep_until > 0 &&
              http_should_keep_alive(&l->parser);
  LinkEvents ev = l->ev;
  void *ctx = l->ctx;
  l->ctx = NULL;
  if (keep)
    put_idle(l);
  else
    release(l);
  ev.end(ctx, LINK_WHOLE);
}

static void parse(Link *l, const char *p, size_t n) {
  l->parsing = true;
  size_t used = http_parser_execute(&l->parser, &parser_settings, p, n);
  bool bad = HTTP_PARSER_ERRNO(&l->parser) != HPE_OK || used < n;
  if (!l->cancelled && l->ev.batch) l->ev.batch(l->ctx);
  l->parsing = false;
  if (l->cancelled)
    free_link(l);
  else if (l->done) {
    l->fouled |= bad;
    whole(l, n == 0);
  } else if (bad || n == 0)
    fail(l);
}

/* == events == */

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)revents;
  Link *l = w->data;
  char buf[READ_BYTES];
  ssize_t n = recv(l->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n > 0) l->set->heard = loopclock_now(loop);
  if (l->state == LINK_IDLE) { /* closed, or bytes that nobody asked for */
    take_out(l);
    free_link(l);
    return;
  }
  if (n < 0) {
    fail(l);
    return;
  }
  l->answered |= n > 0;
  parse(l, buf, (size_t)n);
}

static void push(Link *l) {
  size_t left = l->out->len - l->out_off;
  bool ok = sock_write(l->fd, l->out, &l->out_off);
  l->sent |= l->out->len - l->out_off < left;
  if (!ok) {
    /* What the target said before it closed may still be read. */
    ev_io_stop(l->set->loop, &l->write);
    ev_feed_event(l->set->loop, &l->read, EV_READ);
    return;
  }
  if (l->out->len > 0)
    ev_io_start(l->set->loop, &l->write);
  else
    ev_io_stop(l->set->loop, &l->write);
}

static void tell_reach(Links *s, const char *addr, LinkReach how) {
  if (s->reach) s->reach(s->reach_ctx, addr, how);
}

/* No connection came up: the exchange ends first, so that whoever is told
   counts only those that go on. */
static void unreached(Link *l, LinkReach how) {
  Links *s = l->set;
  char *addr = g_strdup(l->addr);
  fail(l);
  tell_reach(s, addr, how);
  g_free(addr);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)revents;
  Link *l = w->data;
  if (l->state == LINK_CONNECTING) {
    int error = sock_error(l->fd);
    if (error != 0) {
      unreached(l, error == ECONNREFUSED ? LINK_REFUSED : LINK_SILENT);
      return;
    }
    tell_reach(l->set, l->addr, LINK_UP);
    l->state = LINK_OPEN;
    l->set->heard = loopclock_now(loop);
    ev_timer_stop(loop, &l->timer);
    ev_io_start(loop, &l->read);
  }
  if (l->out) {
    push(l);
    return;
  }
  ev_io_stop(loop, &l->write);
  l->keep_until = l->set->o.keep_s;
  put_idle(l);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Link *l = w->data;
  unreached(l, l->refused ? LINK_REFUSED : LINK_SILENT);
}

/* == sending == */

static Link *fresh_idle(Links *s, const char *addr, double fresh_s) {
  double now = loopclock_now(s->loop);
  Link *l = g_hash_table_lookup(s->idle, addr);
  if (!l) return NULL;
  double age = now - l->since;
  take_out(l);
  if (age < fresh_s && age < l->keep_until) return l;
  free_link(l); /* the others of this address are older still */
  return NULL;
}

static Link *new_link(Links *s, const char *addr) {
  Link *l = g_new0(Link, 1);
  l->set = s;
  l->addr = g_strdup(addr);
  headers_init(&l->headers);
  l->fd = sock_connect(addr);
  l->refused = l->fd < 0 && errno == ECONNREFUSED;
  l->state = LINK_CONNECTING;
  ev_init(&l->read, on_readable);
  ev_init(&l->write, on_writable);
  if (l->fd >= 0) {
    sock_user_timeout(l->fd, s->o.user_timeout_ms);
    if (s->o.probe) sock_probe(l->fd);
    ev_io_set(&l->read, l->fd, EV_READ);
    ev_io_set(&l->write, l->fd, EV_WRITE);
  }
  ev_timer_init(&l->timer, on_timer, l->fd >= 0 ? s->o.connect_s : 0, 0);
  l->read.data = l->write.data = l->timer.data = l;
  return l;
}

static void connect_link(Link *l) {
  ev_timer_start(l->set->loop, &l->timer);
  if (l->fd >= 0) ev_io_start(l->set->loop, &l->write);
}

static void prepare(Link *l, GString *request, const LinkEvents *ev,
                    void *ctx) {
  if (l->out) g_string_free(l->out, TRUE);
  l->out = request;
  l->out_off = 0;
  l->sent = l->answered = l->skipping = l->done = false;
  l->bare = g_str_has_prefix(request->str, "HEAD ");
  l->skips = 0;
  l->ev = *ev;
  l->ctx = ctx;
  http_parser_init(&l->parser, HTTP_RESPONSE);
  l->parser.data = l;
  headers_clear(&l->headers);
}

Link *link_send(Links *s, const char *addr, GString *request, double fresh_s,
                const LinkEvents *ev, void *ctx) {
  Link *l = fresh_idle(s, addr, fresh_s);
  bool kept = l != NULL;
  if (!l) l = new_link(s, addr);
  prepare(l, request, ev, ctx);
  if (kept) {
    l->state = LINK_OPEN;
    push(l);
  } else {
    connect_link(l);
  }
  return l;
}

void link_open(Links *s, const char *addr) {
  connect_link(new_link(s, addr));
}

double links_heard(const Links *s) {
  return s->heard;
}

void link_cancel(Link *l) {
  l->ctx = NULL;
  release(l);
}

void link_pause(Link *l) {
  ev_io_stop(l->set->loop, &l->read);
}

void link_resume(Link *l) {
  ev_io_start(l->set->loop, &l->read);
}

bool link_sent(const Link *l) {
  return l->sent;
}

/* == the set == */

static void drop_list(Link *l) {
  while (l) {
    Link *next = l->next;
    free_link(l);
    l = next;
  }
}

/* Cuts the tail of links that are too old off each list. */
static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Links *s = w->data;
  double now = loopclock_now(loop);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->idle);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Link *first = v, *prev = NULL, *l = first;
    while (l && now - l->since < l->keep_until) {
      prev = l;
      l = l->next;
    }
    if (!l) continue;
    if (prev)
      prev->next = NULL;
    else
      g_hash_table_iter_remove(&it);
    drop_list(l);
  }
}

void links_forget(Links *s, const char *addr) {
  Link *first = g_hash_table_lookup(s->idle, addr);
  g_hash_table_remove(s->idle, addr);
  drop_list(first);
}

void links_forget_all(Links *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->idle);
  while (g_hash_table_iter_next(&it, NULL, &v)) drop_list(v);
  g_hash_table_remove_all(s->idle);
}

Links *links_open(struct ev_loop *loop, const LinkOptions *o) {
  Links *s = g_new0(Links, 1);
  s->loop = loop;
  s->o = *o;
  s->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  ev_timer_init(&s->sweep, on_sweep, SWEEP_S, SWEEP_S);
  s->sweep.data = s;
  ev_timer_start(loop, &s->sweep);
  return s;
}

void links_watch(Links *s, LinksReach fn, void *ctx) {
  s->reach = fn;
  s->reach_ctx = ctx;
}

void links_close(Links *s) {
  ev_timer_stop(s->loop, &s->sweep);
  links_forget_all(s);
  g_hash_table_destroy(s->idle);
  g_free(s);
}
