/* test_link.c: exchanges with peers and gateways whose answers never end, on
   loopback sockets. */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/link.h"
#include "flow/sock.h"
#include "kernel/loopclock.h"

#define WAIT_S 2.0         /* at most, for the end of an exchange */
#define MAX_SENT_BYTES 8e6 /* of a peer, buffers of the system included */
#define SEND_BUFFER_BYTES 4096

/* A peer that answers with `first`, then with `piece` without end. */
typedef struct Rig {
  struct ev_loop *loop;
  Links *links;
  int listener, fd; /* fd: the accepted connection, -1: none */
  char addr[32];
  const char *first, *piece;
  double sent_bytes;
  bool ended;
  LinkEnd how;
} Rig;

static LinkVerdict on_head(void *ctx, const LinkHead *h) {
  (void)ctx;
  return headers_get(h->headers, "Foreign") ? LINK_SKIP : LINK_ACCEPT;
}

static bool on_body(void *ctx, const char *data, size_t n) {
  (void)ctx;
  (void)data;
  (void)n;
  return true;
}

static void on_end(void *ctx, LinkEnd how) {
  Rig *g = ctx;
  g->ended = true;
  g->how = how;
}

static const LinkEvents link_events = {on_head, on_body, NULL, on_end};

static Rig *open_rig(const char *first, const char *piece) {
  static Rig rig;
  Rig *g = &rig;
  LinkOptions o = {
      .connect_timeout_s = 0.5, .user_timeout_ms = 1500, .max_idle_s = 10.0};
  struct sockaddr_in in = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t n = sizeof in;
  *g = (Rig){.loop = ev_loop_new(EVFLAG_AUTO),
             .fd = -1,
             .first = first,
             .piece = piece};
  g->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq(bind(g->listener, (struct sockaddr *)&in, sizeof in), 0);
  cr_assert_eq(listen(g->listener, 8), 0);
  getsockname(g->listener, (struct sockaddr *)&in, &n);
  snprintf(g->addr, sizeof g->addr, "127.0.0.1:%d", ntohs(in.sin_port));
  loopclock_start(g->loop);
  g->links = links_open(g->loop, &o);
  return g;
}

static void close_rig(Rig *g) {
  links_close(g->links);
  if (g->fd >= 0) close(g->fd);
  close(g->listener);
  ev_loop_destroy(g->loop);
}

/* Accepts the connection and sends what fits into its buffer. */
static void play_peer(Rig *g) {
  char request[256];
  if (g->fd < 0) {
    g->fd = sock_accept(g->listener);
    if (g->fd < 0) return;
    sock_set_send_buffer(g->fd, SEND_BUFFER_BYTES);
    while (recv(g->fd, request, sizeof request, 0) < 0)
      ev_run(g->loop, EVRUN_NOWAIT);
    send(g->fd, g->first, strlen(g->first), MSG_NOSIGNAL);
  }
  for (int i = 0; i < 64; i++) {
    ssize_t n = send(g->fd, g->piece, strlen(g->piece), MSG_NOSIGNAL);
    if (n < 0) return;
    g->sent_bytes += (double)n;
  }
}

/* Runs an exchange to its end; `via`: whether the peer is a gateway. */
static LinkEnd run_exchange(Rig *g, bool via) {
  link_send_via(g->links, via ? "127.0.0.1:1" : g->addr, via ? g->addr : NULL,
                g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 1.0,
                &link_events, g);
  for (double end = ev_time() + WAIT_S; !g->ended && ev_time() < end;) {
    ev_run(g->loop, EVRUN_NOWAIT);
    play_peer(g);
  }
  cr_assert(g->ended, "%.0f bytes were sent", g->sent_bytes);
  cr_assert_lt(g->sent_bytes, MAX_SENT_BYTES);
  return g->how;
}

/* Guards against a gateway whose answer is read until the deadline. */
Test(link, a_tunnels_answer_without_end_opens_no_tunnel) {
  static const char *const firsts[] = {"", "HTTP/1.1 200 ",
                                       "HTTP/1.1 200 OK\r\n\r\nmore"};
  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++) {
    Rig *g = open_rig(firsts[i], "x");
    cr_assert_eq(run_exchange(g, true), LINK_NO_TUNNEL);
    close_rig(g);
  }
}

/* Guards against answers that are read for as long as they go on. */
Test(link, answers_without_end_that_are_dropped_break_the_exchange) {
  static const struct {
    const char *first, *piece;
  } rows[] = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 99999999\r\n\r\n",
       "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
      {"HTTP/1.1 200 OK\r\nForeign: 1\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"}};
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++) {
    Rig *g = open_rig(rows[i].first, rows[i].piece);
    cr_assert_eq(run_exchange(g, false), LINK_BROKEN, "row %zu", i);
    close_rig(g);
  }
}

/* Guards against bytes behind a whole answer that are taken for the next one.
 */
Test(link, a_whole_answer_ends_its_exchange_whatever_follows) {
  static const char *const firsts[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nour",
      "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n",
      "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};
  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++) {
    Rig *g = open_rig(firsts[i], "5\r\nbytes\r\n");
    cr_assert_eq(run_exchange(g, false), LINK_COMPLETE, "row %zu", i);
    close_rig(g);
  }
}
