/* connections.c: a list of connections, and the account of what they hold. */
#include "http/connections.h"

#include <pthread.h>
#include <sys/socket.h>

#include "flow/sock.h"
#include "kernel/buffer.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/holdings.h"
#include "kernel/limits.h"

typedef enum {
  CONNECTION_IDLE,
  CONNECTION_ARRIVING, /* a request is being received */
  CONNECTION_SERVED,   /* it is being served */
  CONNECTION_ANSWERED  /* its whole answer waits for the caller */
} ConnectionState;

struct Connection {
  Connections *set;
  int fd;
  ConnectionState state;
  double since; /* when it began to be in that state, or to arrive */
  GString *body;
  size_t window_bytes;  /* of the system's receive buffer at first */
  size_t receive_bytes; /* of that buffer, for a long body */
  size_t extra_bytes, answer_bytes;
  Holding held;
  HoldingsRequest serving;
  bool is_dropped;
  Connection *prev, *next;
};

struct Connections {
  pthread_mutex_t lock;
  Holdings *holdings;
  size_t own_bytes;
  int listener;        /* -1: none */
  size_t window_bytes; /* of its connections */
  Connection *first;
};

Connections *connections_new(const ConnectionsOptions *o) {
  Connections *s = g_new0(Connections, 1);
  pthread_mutex_init(&s->lock, NULL);
  s->holdings = holdings_new(o->limit_bytes, o->max_connections);
  holdings_set_receive_limit(s->holdings,
                             o->limit_bytes / LIMIT_FRONT_RECEIVE_DIVISOR);
  s->listener = -1;
  s->own_bytes = MAX(o->own_bytes, holdings_connection_bytes(s->holdings));
  return s;
}

void connections_free(Connections *s) {
  holdings_free(s->holdings);
  pthread_mutex_destroy(&s->lock);
  g_free(s);
}

/* == the account == */

static bool is_served(const Connection *c) {
  return c->state == CONNECTION_SERVED;
}

/* A dropped connection ends in a moment, and counts no more. */
static void update_held(Connection *c) {
  Holding now = {.bytes = c->set->own_bytes + c->receive_bytes +
                          c->extra_bytes + c->answer_bytes,
                 .is_served = is_served(c)};
  if (c->body) now.bytes += c->body->allocated_len;
  if (is_served(c)) now.bytes += holdings_request_bytes(c->set->holdings);
  holdings_change(c->set->holdings, &c->held,
                  c->is_dropped ? (Holding){0} : now);
}

static Connection *find_heaviest(const Connections *s) {
  double now = clock_now(), most = 0;
  Connection *heaviest = NULL;
  for (Connection *c = s->first; c; c = c->next) {
    if (is_served(c) || c->is_dropped) continue;
    double weight = holdings_weight(&c->held, now - c->since);
    if (weight <= most) continue;
    most = weight;
    heaviest = c;
  }
  return heaviest;
}

/* The thread of the connection finds it closed, and ends. */
static void drop_connection(Connection *c) {
  count_add(COUNT_CALLERS_DROPPED, 1);
  c->is_dropped = true;
  if (c->body) buffer_clear(c->body, 0);
  shutdown(c->fd, SHUT_RDWR);
  update_held(c);
}

static void make_room(Connections *s) {
  Connection *c;
  while (holdings_is_over(s->holdings) && (c = find_heaviest(s)))
    drop_connection(c);
}

/* To be called with the lock, after what the connection holds has changed. */
static void change_state(Connection *c, ConnectionState state) {
  c->state = state;
  c->since = clock_now();
  update_held(c);
  make_room(c->set);
}

/* == connections == */

int connections_backlog(const Connections *s) {
  return holdings_backlog(s->holdings);
}

/* The buffers of connections that wait to be accepted are as large as that of
   the listening socket. */
static void update_window(Connections *s) {
  size_t most = holdings_caller_receive_bytes(s->holdings);
  if (s->listener >= 0)
    sock_change_receive_buffer(s->listener, &s->window_bytes,
                               holdings_receive_bytes(s->holdings, most));
}

void connections_set_listener(Connections *s, int fd) {
  pthread_mutex_lock(&s->lock);
  s->listener = fd;
  s->window_bytes = 0;
  update_window(s);
  pthread_mutex_unlock(&s->lock);
}

Connection *connections_add(Connections *s, int fd) {
  Connection *c = g_new0(Connection, 1);
  c->set = s;
  c->fd = fd;
  pthread_mutex_lock(&s->lock);
  c->next = s->first;
  if (s->first) s->first->prev = c;
  s->first = c;
  c->window_bytes = holdings_take_receive_bytes(
      s->holdings, holdings_caller_receive_bytes(s->holdings));
  update_window(s);
  change_state(c, CONNECTION_IDLE);
  pthread_mutex_unlock(&s->lock);
  return c;
}

void connection_remove(Connection *c) {
  Connections *s = c->set;
  pthread_mutex_lock(&s->lock);
  holdings_end(s->holdings, &c->serving);
  holdings_change(s->holdings, &c->held, (Holding){0});
  holdings_return_receive_bytes(s->holdings, c->window_bytes);
  update_window(s);
  if (c->prev) c->prev->next = c->next;
  if (c->next) c->next->prev = c->prev;
  if (s->first == c) s->first = c->next;
  pthread_mutex_unlock(&s->lock);
  g_free(c);
}

/* == requests == */

/* A long body arrives faster through a larger buffer of the system. */
static void expect_long_body(Connection *c) {
  c->receive_bytes = LIMIT_BODY_RECEIVE_BYTES;
  sock_set_receive_buffer(c->fd, LIMIT_BODY_RECEIVE_BYTES);
}

bool connection_begin(Connection *c, GString *body, size_t length) {
  const Holdings *h = c->set->holdings;
  pthread_mutex_lock(&c->set->lock);
  bool is_stated = length > 0 && length != CONNECTION_CHUNKED;
  size_t bytes = c->held.bytes + length + holdings_request_bytes(h);
  bool has_room = !is_stated || holdings_may_serve(h, "", bytes);
  c->body = body;
  if (has_room && length > c->window_bytes) expect_long_body(c);
  change_state(c, CONNECTION_ARRIVING);
  pthread_mutex_unlock(&c->set->lock);
  return has_room;
}

bool connection_append(Connection *c, const char *data, size_t n, size_t max) {
  pthread_mutex_lock(&c->set->lock);
  if (!c->is_dropped) buffer_append(c->body, data, n, max);
  update_held(c);
  make_room(c->set);
  bool is_open = !c->is_dropped;
  pthread_mutex_unlock(&c->set->lock);
  return is_open;
}

static size_t served_bytes(const Connection *c, size_t extra) {
  return c->set->own_bytes + c->body->allocated_len + extra +
         holdings_request_bytes(c->set->holdings);
}

bool connection_finish_arriving(Connection *c) {
  pthread_mutex_lock(&c->set->lock);
  bool is_open = !c->is_dropped;
  c->receive_bytes = 0;
  change_state(c, CONNECTION_SERVED);
  pthread_mutex_unlock(&c->set->lock);
  return is_open;
}

bool connection_serve(Connection *c, const char *group, size_t extra) {
  pthread_mutex_lock(&c->set->lock);
  bool has_memory = holdings_serve(c->set->holdings, &c->serving, group,
                                   served_bytes(c, extra));
  if (has_memory) c->extra_bytes = extra;
  update_held(c);
  make_room(c->set);
  pthread_mutex_unlock(&c->set->lock);
  return has_memory;
}

bool connection_may_ever_serve(const Connection *c, size_t extra) {
  return holdings_may_ever_serve(c->set->holdings, served_bytes(c, extra));
}

bool connection_hold_answer(Connection *c, size_t bytes, size_t min) {
  pthread_mutex_lock(&c->set->lock);
  size_t share = holdings_free_bytes(c->set->holdings, &c->held) / 2;
  bool may_hold = bytes <= MAX(share, min);
  if (may_hold) {
    c->answer_bytes = bytes;
    update_held(c);
    make_room(c->set);
  }
  pthread_mutex_unlock(&c->set->lock);
  return may_hold;
}

void connection_await_caller(Connection *c) {
  pthread_mutex_lock(&c->set->lock);
  holdings_end(c->set->holdings, &c->serving);
  c->extra_bytes = 0;
  change_state(c, CONNECTION_ANSWERED);
  pthread_mutex_unlock(&c->set->lock);
}

void connection_end(Connection *c) {
  pthread_mutex_lock(&c->set->lock);
  holdings_end(c->set->holdings, &c->serving);
  c->body = NULL;
  c->extra_bytes = c->answer_bytes = c->receive_bytes = 0;
  change_state(c, CONNECTION_IDLE);
  pthread_mutex_unlock(&c->set->lock);
}
