/* tunnel.c: accepts tunnels, connects to their targets and passes bytes on. */
#include "flow/tunnel.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/sock.h"
#include "kernel/count.h"
#include "kernel/limits.h"

#define READ_BYTES 16384       /* size of one read, and of what is held back */
#define MAX_HEAD_BYTES 512     /* of the request for a tunnel */
#define DECISION_TIMEOUT_S 0.3 /* from a failure until its answer */
#define HEAD_TIMEOUT_S 1.0     /* to receive it */
#define MAX_ADDR_BYTES 64
/* The instance stops reading for up to 2 s while its caller is slow. */
#define CLIENT_USER_TIMEOUT_MS 5000
#define MAX_TUNNELS 1000        /* each takes two of 4,100 descriptors */
#define MAX_ACCEPTS_PER_TURN 64 /* per turn of the event loop */
#define TUNNEL_GROUP "CONNECT"  /* as which tunnels share the account */

typedef struct Tunnel Tunnel;

/* One of the two connections of a tunnel. */
typedef struct End {
  Tunnel *tunnel;
  int fd;
  ev_io read, write;
  GString *out; /* to be written to it */
  size_t out_off;
  size_t window_bytes; /* of the system's receive buffer */
} End;

struct Tunnel {
  Tunnels *set;
  End client, target;
  ev_timer timer;            /* to receive the head, then to connect */
  char addr[MAX_ADDR_BYTES]; /* of the target */
  GString *head;  /* of the request for the tunnel, then what followed it */
  bool open;      /* bytes are passed on */
  bool undecided; /* the attempt failed, and the answer is not known yet */
  bool has_head;
  End *closing; /* closed once its `out` is written; NULL: none */
  Holding held;
  HoldingsRequest serving; /* once its target is known */
  Tunnel *prev, *next;     /* newer, older */
};

struct Tunnels {
  struct ev_loop *loop;
  TunnelsOptions o;
  int fd;
  ev_io accept;
  size_t window_bytes; /* of the next connection */
  Tunnel *first;
  int n, heads; /* all; those that have not said where to */
};

/* == ends == */

static End *other_end(End *e) {
  Tunnel *t = e->tunnel;
  return e == &t->client ? &t->target : &t->client;
}

static size_t next_window(const Holdings *h) {
  return holdings_receive_bytes(h, LIMIT_BODY_RECEIVE_BYTES);
}

static size_t take_window(Tunnels *s) {
  return holdings_take_receive_bytes(s->o.holdings, LIMIT_BODY_RECEIVE_BYTES);
}

static void init_end(Tunnel *t, End *e, int fd, int user_timeout_ms,
                     void (*on_read)(struct ev_loop *, ev_io *, int),
                     void (*on_write)(struct ev_loop *, ev_io *, int)) {
  e->tunnel = t;
  e->fd = fd;
  e->out = g_string_new(NULL);
  ev_io_init(&e->read, on_read, fd, EV_READ);
  ev_io_init(&e->write, on_write, fd, EV_WRITE);
  e->read.data = e->write.data = e;
  sock_set_user_timeout(fd, user_timeout_ms);
  sock_enable_keepalive(fd);
}

static void close_end(End *e, bool reset) {
  if (!e->out) return; /* it was not opened */
  ev_io_stop(e->tunnel->set->loop, &e->read);
  ev_io_stop(e->tunnel->set->loop, &e->write);
  /* An end after bytes that were not passed on would appear to be the sender's.
     After an orderly one the system still sends what it has accepted. */
  sock_set_reset_on_close(e->fd, reset || e->out->len > 0);
  g_string_free(e->out, TRUE);
  close(e->fd);
}

/* Updates the account. A tunnel is closed by its own rules only. */
static void update_held(Tunnel *t) {
  Holdings *h = t->set->o.holdings;
  size_t bytes = holdings_connection_bytes(h);
  if (t->serving.bytes > 0) bytes += holdings_request_bytes(h);
  holdings_change(h, &t->held, (Holding){.bytes = bytes, .is_served = true});
}

static void end_held(Tunnel *t) {
  Holdings *h = t->set->o.holdings;
  holdings_end(h, &t->serving);
  holdings_change(h, &t->held, (Holding){0});
  holdings_return_receive_bytes(h, t->client.window_bytes);
  holdings_return_receive_bytes(h, t->target.window_bytes);
}

static void free_tunnel(Tunnel *t, bool reset) {
  Tunnels *s = t->set;
  ev_timer_stop(s->loop, &t->timer);
  close_end(&t->client, reset);
  close_end(&t->target, reset);
  g_string_free(t->head, TRUE);
  end_held(t);
  if (!t->has_head) s->heads--;
  if (t->prev) t->prev->next = t->next;
  if (t->next) t->next->prev = t->prev;
  if (s->first == t) s->first = t->next;
  s->n--;
  g_free(t);
}

/* Writes what is held for this end; the other end is read meanwhile only if
   nothing is held. Returns false if the tunnel was freed. */
static bool flush_end(End *e) {
  Tunnel *t = e->tunnel;
  struct ev_loop *loop = t->set->loop;
  if (!sock_write(e->fd, e->out, &e->out_off)) {
    free_tunnel(t, true);
    return false;
  }
  bool held = e->out->len > 0;
  if (!held && t->closing == e) {
    free_tunnel(t, false);
    return false;
  }
  if (held)
    ev_io_start(loop, &e->write);
  else
    ev_io_stop(loop, &e->write);
  if (!t->open || t->closing) return true;
  if (held)
    ev_io_stop(loop, &other_end(e)->read);
  else
    ev_io_start(loop, &other_end(e)->read);
  return true;
}

/* == an open tunnel == */

static void pass_on(End *from) {
  char buf[READ_BYTES];
  Tunnel *t = from->tunnel;
  End *to = other_end(from);
  ssize_t n = recv(from->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n < 0) {
    free_tunnel(t, true); /* an answer that ends by a reset is not complete */
    return;
  }
  if (n > 0) {
    g_string_append_len(to->out, buf, n);
  } else {
    t->closing = to;
    ev_io_stop(t->set->loop, &t->client.read);
    ev_io_stop(t->set->loop, &t->target.read);
  }
  flush_end(to);
}

/* Bytes are passed on from now on. An end without the sender's own end, such as
   that of this process, must not appear to be an orderly one. */
static void open_tunnel(Tunnel *t) {
  t->open = true;
  sock_set_reset_on_close(t->client.fd, true);
  sock_set_reset_on_close(t->target.fd, true);
  g_string_append_len(t->target.out, t->head->str, (gssize)t->head->len);
  g_string_truncate(t->head, 0);
}

/* == opening == */

/* Sends the answer; one other than 200 ends the tunnel. Returns false if the
   tunnel was freed. */
static bool answer(Tunnel *t, TunnelStatus status) {
  count_add(status == TUNNEL_OPENED ? COUNT_TUNNELS_SERVED
                                    : COUNT_TUNNELS_REFUSED,
            1);
  g_string_append_printf(t->client.out, "HTTP/1.1 %d %s\r\n\r\n", (int)status,
                         status == TUNNEL_OPENED ? "OK" : "No Tunnel");
  if (status != TUNNEL_OPENED) {
    t->closing = &t->client;
    ev_io_stop(t->set->loop, &t->client.read);
  }
  return flush_end(&t->client);
}

static void set_timer(Tunnel *t, double seconds) {
  ev_timer_stop(t->set->loop, &t->timer);
  ev_timer_set(&t->timer, seconds, 0);
  ev_timer_start(t->set->loop, &t->timer);
}

/* The attempt to connect to the target has ended. Returns false if the tunnel
   was freed. */
static bool end_attempt(Tunnel *t, TunnelStatus status) {
  const TunnelsOptions *o = &t->set->o;
  TunnelStatus decided = o->attempted(o->ctx, t->addr, status);
  if (decided != TUNNEL_UNDECIDED) return answer(t, decided);
  t->undecided = true;
  set_timer(t, DECISION_TIMEOUT_S);
  return true;
}

void tunnels_decide(Tunnels *s, const char *addr, TunnelStatus status) {
  for (Tunnel *t = s->first, *next; t; t = next) {
    next = t->next;
    if (!t->undecided || (addr && strcmp(addr, t->addr) != 0)) continue;
    t->undecided = false;
    answer(t, status);
  }
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Tunnel *t = w->data;
  if (t->undecided) {
    t->undecided = false;
    answer(t, TUNNEL_UNAVAILABLE);
  } else if (t->target.out && !t->closing) {
    ev_io_stop(loop, &t->target.write);
    end_attempt(t, TUNNEL_UNREACHABLE);
  } else {
    free_tunnel(t, true);
  }
}

static void on_target_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  pass_on(w->data);
}

static void on_target_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)revents;
  End *e = w->data;
  Tunnel *t = e->tunnel;
  if (t->open) {
    flush_end(e);
    return;
  }
  ev_io_stop(loop, w);
  ev_timer_stop(loop, &t->timer);
  int error = sock_connect_error(e->fd);
  if (error != 0) {
    end_attempt(t, error == ECONNREFUSED ? TUNNEL_REFUSED : TUNNEL_UNREACHABLE);
    return;
  }
  open_tunnel(t);
  if (end_attempt(t, TUNNEL_OPENED)) flush_end(&t->target);
}

static void connect_target(Tunnel *t) {
  struct ev_loop *loop = t->set->loop;
  t->target.window_bytes = take_window(t->set);
  int fd = sock_connect(t->addr, t->target.window_bytes);
  if (fd < 0) {
    end_attempt(t, errno == ECONNREFUSED ? TUNNEL_REFUSED : TUNNEL_UNREACHABLE);
    return;
  }
  init_end(t, &t->target, fd, t->set->o.user_timeout_ms, on_target_readable,
           on_target_writable);
  ev_io_start(loop, &t->target.write);
  set_timer(t, t->set->o.connect_timeout_s);
}

/* Reads the head into `t->head`. Returns its length; 0: it is not complete, or
   the tunnel was freed. */
static size_t read_head(Tunnel *t) {
  char buf[MAX_HEAD_BYTES];
  ssize_t n = recv(t->client.fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return 0;
  if (n > 0) g_string_append_len(t->head, buf, n);
  const char *end = strstr(t->head->str, "\r\n\r\n");
  if (end) return (size_t)(end - t->head->str) + strlen("\r\n\r\n");
  if (n <= 0 || t->head->len >= MAX_HEAD_BYTES) free_tunnel(t, true);
  return 0;
}

/* Whether there is memory for one tunnel more. */
static bool has_room(Tunnel *t) {
  Holdings *h = t->set->o.holdings;
  size_t bytes = t->held.bytes + holdings_request_bytes(h);
  if (t->set->n > MAX_TUNNELS ||
      !holdings_serve(h, &t->serving, TUNNEL_GROUP, bytes))
    return false;
  update_held(t);
  return true;
}

static void on_head(Tunnel *t) {
  Tunnels *s = t->set;
  size_t length = read_head(t);
  if (length == 0) return;
  t->has_head = true;
  s->heads--;
  ev_timer_stop(s->loop, &t->timer);
  ev_io_stop(s->loop, &t->client.read);
  if (sscanf(t->head->str, "CONNECT %63s HTTP/1.1\r\n", t->addr) != 1) {
    answer(t, TUNNEL_DENIED);
    return;
  }
  g_string_erase(t->head, 0, (gssize)length);
  TunnelStatus status =
      has_room(t) ? s->o.check(s->o.ctx, t->addr) : TUNNEL_UNAVAILABLE;
  if (status == TUNNEL_OPENED)
    connect_target(t);
  else
    answer(t, status);
}

static void on_client_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  End *e = w->data;
  if (e->tunnel->open)
    pass_on(e);
  else
    on_head(e->tunnel);
}

static void on_client_writable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  flush_end(w->data);
}

static void add_tunnel(Tunnels *s, int fd) {
  Tunnel *t = g_new0(Tunnel, 1);
  t->set = s;
  t->head = g_string_new(NULL);
  t->next = s->first;
  if (s->first) s->first->prev = t;
  s->first = t;
  s->n++;
  s->heads++;
  init_end(t, &t->client, fd, CLIENT_USER_TIMEOUT_MS, on_client_readable,
           on_client_writable);
  sock_set_send_buffer(fd, LIMIT_SEND_BUFFER_BYTES);
  t->client.window_bytes = take_window(s);
  update_held(t);
  ev_timer_init(&t->timer, on_timeout, HEAD_TIMEOUT_S, 0);
  t->timer.data = t;
  ev_timer_start(s->loop, &t->timer);
  ev_io_start(s->loop, &t->client.read);
}

/* Another instance sends its head at once. */
static void drop_oldest_without_head(Tunnels *s) {
  Tunnel *oldest = NULL;
  for (Tunnel *t = s->first; t; t = t->next)
    if (!t->has_head) oldest = t;
  if (oldest) free_tunnel(oldest, true);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Tunnels *s = w->data;
  for (int i = 0, fd;
       i < MAX_ACCEPTS_PER_TURN && (fd = sock_accept(s->fd)) >= 0; i++) {
    add_tunnel(s, fd);
    if (s->heads > LIMIT_TUNNEL_HEADS) drop_oldest_without_head(s);
  }
  sock_change_receive_buffer(s->fd, &s->window_bytes,
                             next_window(s->o.holdings));
}

/* == the set == */

Tunnels *tunnels_open(struct ev_loop *loop, const TunnelsOptions *o, Err *e) {
  size_t window_bytes = next_window(o->holdings);
  int fd = sock_listen(o->listen_addr, holdings_backlog(o->holdings),
                       (int)window_bytes, e);
  if (fd < 0) return NULL;
  Tunnels *s = g_new0(Tunnels, 1);
  s->loop = loop;
  s->window_bytes = window_bytes;
  s->o = *o;
  s->fd = fd;
  ev_io_init(&s->accept, on_accept, fd, EV_READ);
  /* Heads that have arrived are read before connections are dropped. */
  ev_set_priority(&s->accept, EV_MINPRI);
  s->accept.data = s;
  ev_io_start(loop, &s->accept);
  return s;
}

void tunnels_close(Tunnels *s) {
  while (s->first) free_tunnel(s->first, true);
  ev_io_stop(s->loop, &s->accept);
  close(s->fd);
  g_free(s);
}

int tunnels_count(const Tunnels *s) {
  return s->n;
}
