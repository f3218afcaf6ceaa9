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
#include "flow/tunnel.h"
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
                g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), NULL, 1.0,
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

/* == answers that are cut == */

#define HEAD "HTTP/1.1 200 OK\r\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\nA: b\r\n\r\n"

/* Whole answers; `head_bytes` counts interim ones. The parser accepts lines
   that end with LF alone. */
static const struct {
  const char *text;
  size_t head_bytes;
  bool framed;
} answers[] = {
#define ANSWER(head, body, framed)                                             \
  {head body, sizeof(head) - 1, framed}, {                                     \
    INTERIM head body, sizeof(INTERIM head) - 1, framed                        \
  }
    ANSWER(HEAD "Content-Length: 5\r\nKeep-Alive: timeout=9\r\n\r\n", "whole",
           true),
    ANSWER(HEAD "Content-Length: 0\r\n\r\n", "", true),
    ANSWER(HEAD "Transfer-Encoding: chunked\r\n\r\n",
           "5;a=\"b\"\r\nwhole\r\n00a\r\n, in parts\r\n0\r\n\r\n", true),
    ANSWER(HEAD "Transfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n",
           "0a\r\nin a chunk\r\n0;a\r\nA: b\r\nB: c d\r\n\r\n", true),
    ANSWER(HEAD "Content-Type: text/plain\r\n\r\n", "whole", false),
    ANSWER("HTTP/1.0 200 OK\r\nA: b\r\n\r\n", "whole", false),
    ANSWER("HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", "", true),
    ANSWER("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", true),
    ANSWER("HTTP/1.1 200\nContent-Length: 5\nA: b\n\n", "whole", true),
};

typedef struct Exchange {
  bool ended, has_head;
  LinkEnd how;
} Exchange;

static LinkVerdict on_cut_head(void *ctx, const LinkHead *h) {
  (void)h;
  ((Exchange *)ctx)->has_head = true;
  return LINK_ACCEPT;
}

static void on_cut_end(void *ctx, LinkEnd how) {
  Exchange *x = ctx;
  x->ended = true;
  x->how = how;
}

/* Accepts a connection, reads a request, sends `n` bytes and closes. */
static void play_cut_peer(Rig *g, const char *text, size_t n, bool reset) {
  char request[256];
  if (g->fd < 0) g->fd = sock_accept(g->listener);
  if (g->fd < 0 || recv(g->fd, request, sizeof request, 0) <= 0) return;
  if (n > 0)
    cr_assert_eq(send(g->fd, text, n, MSG_NOSIGNAL), (ssize_t)n, "not sent");
  sock_set_reset_on_close(g->fd, reset);
  close(g->fd);
  g->fd = -1;
}

/* Runs an exchange with such a peer; `addr` is reached by `via`. */
static Exchange run_cut(Rig *g, const char *addr, const char *via,
                        const char *text, size_t n, bool reset) {
  static const LinkEvents events = {on_cut_head, on_body, NULL, on_cut_end};
  Exchange x = {0};
  link_send_via(g->links, addr, via,
                g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), NULL, 1.0,
                &events, &x);
  for (double end = ev_time() + WAIT_S; !x.ended && ev_time() < end;) {
    ev_run(g->loop, EVRUN_NOWAIT);
    play_cut_peer(g, text, n, reset);
  }
  cr_assert(x.ended, "%zu bytes of %s", n, text);
  links_close_all_idle(g->links);
  return x;
}

/* The end that an answer of which `n` bytes arrive may have; for a reset, those
   bytes may be lost on the way through a gateway. */
static bool is_right_end(size_t row, size_t n, bool reset, bool via,
                         const Exchange *x) {
  bool is_whole = n == strlen(answers[row].text);
  bool has_head = n >= answers[row].head_bytes;
  bool broken = x->how == LINK_BROKEN || x->how == LINK_NO_ANSWER;
  if (reset && via && broken) return !x->has_head || has_head;
  if (x->has_head != has_head) return false;
  if (answers[row].framed && is_whole) return x->how == LINK_COMPLETE;
  if (!answers[row].framed && has_head && !reset) return x->how == LINK_CLOSED;
  return broken;
}

static void check_cut_answers(Rig *g, const char *via) {
  for (size_t row = 0; row < sizeof answers / sizeof answers[0]; row++)
    for (size_t n = 0; n <= strlen(answers[row].text); n++)
      for (int reset = 0; reset <= 1; reset++) {
        Exchange x = run_cut(g, g->addr, via, answers[row].text, n, reset);
        cr_assert(is_right_end(row, n, reset, via, &x),
                  "reset %d, %zu bytes: %d, head %d of %s", reset, n, x.how,
                  x.has_head, answers[row].text);
      }
}

/* Guards against an answer that is cut inside a head, a size of a chunk, a
   trailer or a body, and that counts as whole or as one with a head. */
Test(link, an_answer_cut_at_any_byte_is_not_whole) {
  Rig *g = open_rig("", "");
  check_cut_answers(g, NULL);
  close_rig(g);
}

static TunnelStatus allow_tunnel(void *ctx, const char *addr) {
  (void)ctx;
  (void)addr;
  return TUNNEL_OPENED;
}

static TunnelStatus on_attempt(void *ctx, const char *addr,
                               TunnelStatus status) {
  (void)ctx;
  (void)addr;
  return status;
}

/* Guards against the same where a gateway passes the answer on. */
Test(link, an_answer_cut_at_any_byte_is_not_whole_behind_a_gateway) {
  Rig *gateway = open_rig("", "");
  char via[32];
  g_strlcpy(via, gateway->addr, sizeof via);
  close_rig(gateway);
  Rig *g = open_rig("", "");
  Err e = {0};
  Holdings *holdings = holdings_new(32 << 20, 1000);
  TunnelsOptions o = {.listen_addr = via,
                      .connect_timeout_s = 0.5,
                      .user_timeout_ms = 1500,
                      .check = allow_tunnel,
                      .attempted = on_attempt,
                      .holdings = holdings};
  Tunnels *tunnels = tunnels_open(g->loop, &o, &e);
  cr_assert_not_null(tunnels, "%s", e.text);
  check_cut_answers(g, via);
  tunnels_close(tunnels);
  holdings_free(holdings);
  close_rig(g);
}

/* Guards against a tunnel that counts as open after a part of the gateway's
   answer. */
Test(link, an_answer_of_a_gateway_cut_at_any_byte_opens_no_tunnel) {
  static const char text[] = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
  Rig *g = open_rig("", "");
  for (size_t n = 0; n < sizeof text - 1; n++)
    for (int reset = 0; reset <= 1; reset++) {
      Exchange x = run_cut(g, "127.0.0.1:1", g->addr, text, n, reset);
      cr_assert_eq(x.how, LINK_NO_TUNNEL, "reset %d, %zu bytes: %d", reset, n,
                   x.how);
    }
  close_rig(g);
}
