/* test_tunnel.c: tunnels to targets for other instances, on loopback sockets.
 */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "flow/sock.h"
#include "flow/tunnel.h"

#define WAIT_S 2.0 /* at most, for what a test expects */

#define HOLDINGS_BYTES (32 << 20) /* that tunnels may hold */

typedef struct Rig {
  struct ev_loop *loop;
  Holdings *holdings;
  Tunnels *tunnels;
  int target; /* listening socket of the target */
  char addr[32], target_addr[32];
  TunnelStatus check;
  bool undecided; /* failures wait for another attempt */
  int attempts;
  pid_t gateway; /* the process that runs the loop; 0: this one */
} Rig;

static TunnelStatus check_tunnel(void *ctx, const char *addr) {
  (void)addr;
  return ((Rig *)ctx)->check;
}

static TunnelStatus on_attempt(void *ctx, const char *addr,
                               TunnelStatus status) {
  Rig *g = ctx;
  (void)addr;
  g->attempts++;
  return status != TUNNEL_OPENED && g->undecided ? TUNNEL_UNDECIDED : status;
}

/* Binds to a free port of loopback. */
static int bind_free(char *addr, size_t size) {
  struct sockaddr_in in = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t n = sizeof in;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq(bind(fd, (struct sockaddr *)&in, sizeof in), 0);
  getsockname(fd, (struct sockaddr *)&in, &n);
  snprintf(addr, size, "127.0.0.1:%d", ntohs(in.sin_port));
  return fd;
}

static Rig *open_rig(bool target_listens) {
  static Rig rig;
  Rig *g = &rig;
  Err e = {0};
  *g = (Rig){.check = TUNNEL_OPENED,
             .loop = ev_loop_new(EVFLAG_AUTO),
             .holdings = holdings_new(HOLDINGS_BYTES, 1000)};
  close(bind_free(g->addr, sizeof g->addr));
  g->target = bind_free(g->target_addr, sizeof g->target_addr);
  if (target_listens) cr_assert_eq(listen(g->target, 8), 0);
  TunnelsOptions o = {.listen_addr = g->addr,
                      .connect_timeout_s = 0.2,
                      .user_timeout_ms = 1500,
                      .check = check_tunnel,
                      .attempted = on_attempt,
                      .holdings = g->holdings,
                      .ctx = g};
  g->tunnels = tunnels_open(g->loop, &o, &e);
  cr_assert_not_null(g->tunnels, "%s", e.text);
  return g;
}

static void close_rig(Rig *g) {
  tunnels_close(g->tunnels);
  holdings_free(g->holdings);
  close(g->target);
  ev_loop_destroy(g->loop);
}

/* Another process runs the loop from now on. */
static void start_gateway(Rig *g) {
  g->gateway = fork();
  if (g->gateway != 0) return;
  ev_loop_fork(g->loop);
  ev_run(g->loop, 0);
  _exit(1);
}

static void kill_gateway(Rig *g) {
  cr_assert_eq(kill(g->gateway, SIGKILL), 0);
  cr_assert_eq(waitpid(g->gateway, NULL, 0), g->gateway);
}

static void run_loop(Rig *g) {
  if (!g->gateway) ev_run(g->loop, EVRUN_NOWAIT);
}

/* Runs the loop until `fd` can be read. */
static bool wait_readable(Rig *g, int fd) {
  struct pollfd p = {.fd = fd, .events = POLLIN};
  double end = ev_time() + WAIT_S;
  while (ev_time() < end) {
    run_loop(g);
    if (poll(&p, 1, 1) > 0) return true;
  }
  return false;
}

static int accept_target(Rig *g) {
  double end = ev_time() + WAIT_S;
  int fd = -1;
  while (fd < 0 && ev_time() < end) {
    run_loop(g);
    fd = sock_accept(g->target);
    usleep(1000);
  }
  cr_assert_geq(fd, 0, "the target was not connected to");
  return fd;
}

static int request_tunnel(Rig *g, const char *more) {
  char head[128];
  int fd = sock_connect(g->addr, 0);
  snprintf(head, sizeof head, "CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n%s",
           g->target_addr, more);
  usleep(2000);
  cr_assert_eq(send(fd, head, strlen(head), 0), (ssize_t)strlen(head));
  return fd;
}

/* Reads what arrives next; "": the end, "reset": a reset. */
static const char *read_text(Rig *g, int fd) {
  static char text[256];
  cr_assert(wait_readable(g, fd), "nothing arrived");
  ssize_t n = recv(fd, text, sizeof text - 1, 0);
  if (n < 0) return "reset";
  text[n] = '\0';
  return text;
}

static void expect_status(Rig *g, int fd, const char *status) {
  char line[16];
  snprintf(line, sizeof line, "HTTP/1.1 %s", status);
  const char *got = read_text(g, fd);
  cr_assert(strncmp(got, line, strlen(line)) == 0, "%s: %s", status, got);
}

/* Guards against bytes that are lost, reordered or held back in a tunnel. */
Test(tunnel, bytes_pass_both_ways_from_the_first_on) {
  Rig *g = open_rig(true);
  int fd = request_tunnel(g, "early");
  int target = accept_target(g);
  expect_status(g, fd, "200");
  cr_assert_str_eq(read_text(g, target), "early");
  send(target, "answer", 6, 0);
  cr_assert_str_eq(read_text(g, fd), "answer");
  send(fd, "more", 4, 0);
  cr_assert_str_eq(read_text(g, target), "more");
  cr_assert_eq(tunnels_count(g->tunnels), 1);
  close(fd);
  cr_assert_str_eq(read_text(g, target), ""); /* a caller that left is seen */
  cr_assert_eq(tunnels_count(g->tunnels), 0);
  close(target);
  close_rig(g);
}

/* Guards against an answer that was cut off and appears complete. */
Test(tunnel, end_and_reset_of_the_target_differ) {
  for (int reset = 0; reset <= 1; reset++) {
    Rig *g = open_rig(true);
    int fd = request_tunnel(g, "");
    int target = accept_target(g);
    expect_status(g, fd, "200");
    send(target, "part", 4, 0);
    cr_assert_str_eq(read_text(g, fd), "part");
    if (reset)
      sock_reset(target);
    else
      close(target);
    cr_assert_str_eq(read_text(g, fd), reset ? "reset" : "");
    close(fd);
    close_rig(g);
  }
}

/* Guards against an answer or a request that appears complete since the system
   closes the connections of a killed gateway by FIN. */
Test(tunnel, a_gateway_that_is_killed_resets_both_connections) {
  Rig *g = open_rig(true);
  start_gateway(g);
  int fd = request_tunnel(g, "early");
  int target = accept_target(g);
  expect_status(g, fd, "200");
  cr_assert_str_eq(read_text(g, target), "early");
  send(target, "part", 4, 0);
  cr_assert_str_eq(read_text(g, fd), "part");
  kill_gateway(g);
  cr_assert_str_eq(read_text(g, fd), "reset");
  cr_assert_str_eq(read_text(g, target), "reset");
  close(fd);
  close(target);
  close_rig(g);
}

/* Reads until the connection ends. Returns the number of bytes; -1: a reset. */
static int64_t read_all(Rig *g, int fd) {
  static char block[1 << 16];
  for (int64_t received = 0;;) {
    cr_assert(wait_readable(g, fd), "%ld bytes, then nothing", (long)received);
    ssize_t n = recv(fd, block, sizeof block, 0);
    if (n < 0) return -1;
    if (n == 0) return received;
    received += n;
  }
}

/* Writes until the reader's end of the tunnel takes no more. Returns the number
   of bytes. */
static int64_t fill(int target) {
  static char block[1 << 16];
  int64_t sent = 0;
  for (int idle = 0; idle < 100;) {
    ssize_t n = send(target, block, sizeof block, MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += MAX(n, 0);
    idle = n > 0 ? 0 : idle + 1;
    usleep(1000);
  }
  return sent;
}

/* Guards against an answer that has ended at the target, appears complete and
   lacks what a killed gateway still held. */
Test(tunnel, a_gateway_that_is_killed_resets_what_it_still_holds) {
  Rig *g = open_rig(true);
  start_gateway(g);
  int fd = request_tunnel(g, "");
  int target = accept_target(g);
  expect_status(g, fd, "200");
  fill(target);
  close(target);
  usleep(50000);
  kill_gateway(g);
  cr_assert_eq(read_all(g, fd), -1);
  close(fd);
  close_rig(g);
}

/* Guards against the loss of the rest of an answer that the gateway passed on
   with its end before it was killed. */
Test(tunnel, an_end_that_was_passed_on_outlives_the_gateway) {
  static char block[1 << 16];
  Rig *g = open_rig(true);
  start_gateway(g);
  int fd = request_tunnel(g, "");
  int target = accept_target(g);
  expect_status(g, fd, "200");
  cr_assert_eq(send(target, block, sizeof block, 0), (ssize_t)sizeof block);
  close(target);
  usleep(100000); /* the gateway has passed it on; nothing is read yet */
  kill_gateway(g);
  cr_assert_eq(read_all(g, fd), (int64_t)sizeof block);
  close(fd);
  close_rig(g);
}

/* Guards against a request that appears complete to a target that has ended its
   answer while the rest of the request was held back. */
Test(tunnel, a_request_that_was_not_passed_on_whole_ends_by_a_reset) {
  Rig *g = open_rig(true);
  start_gateway(g);
  int fd = request_tunnel(g, "");
  int target = accept_target(g);
  expect_status(g, fd, "200");
  fill(fd);
  shutdown(target, SHUT_WR);
  usleep(50000);
  cr_assert_eq(read_all(g, target), -1);
  kill_gateway(g);
  close(fd);
  close(target);
  close_rig(g);
}

/* Guards against memory that grows with what a slow reader does not read. */
Test(tunnel, a_reader_that_stops_holds_the_writer_up) {
  static char block[1 << 16];
  Rig *g = open_rig(true);
  int fd = request_tunnel(g, "");
  int target = accept_target(g);
  int64_t sent = 0, received = 0;
  expect_status(g, fd, "200");
  for (int idle = 0; idle < 50;) {
    ssize_t n = send(target, block, sizeof block, MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += MAX(n, 0);
    idle = n > 0 ? 0 : idle + 1;
    ev_run(g->loop, EVRUN_NOWAIT);
    cr_assert_lt(sent, 64 << 20, "the writer is not held up");
  }
  close(target);
  for (;;) {
    cr_assert(wait_readable(g, fd), "%ld of %ld bytes", (long)received,
              (long)sent);
    ssize_t n = recv(fd, block, sizeof block, 0);
    cr_assert_geq(n, 0);
    if (n == 0) break;
    received += n;
  }
  cr_assert_eq(received, sent);
  close(fd);
  close_rig(g);
}

/* Guards against tunnels to addresses that are not targets', or through an
   instance that is partitioned itself. */
Test(tunnel, a_tunnel_that_is_not_allowed_connects_nowhere) {
  Rig *g = open_rig(true);
  g->check = TUNNEL_DENIED;
  int fd = request_tunnel(g, "");
  expect_status(g, fd, "403");
  g->check = TUNNEL_UNAVAILABLE;
  int other = request_tunnel(g, "");
  expect_status(g, other, "503");
  cr_assert_eq(sock_accept(g->target), -1);
  cr_assert_eq(g->attempts, 0);
  close(fd);
  close(other);
  close_rig(g);
}

/* Guards against an instance that reports targets as unreachable before it is
   known whether its own path is interrupted. */
Test(tunnel, a_failure_is_answered_when_it_is_decided) {
  static const struct {
    bool is_named; /* the tunnel's address is */
    TunnelStatus decided;
    const char *status;
  } rows[] = {{true, TUNNEL_REFUSED, "502"},
              {true, TUNNEL_UNREACHABLE, "504"},
              {true, TUNNEL_UNAVAILABLE, "503"},
              {false, TUNNEL_UNAVAILABLE, "503"}};
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++) {
    Rig *g = open_rig(false);
    g->undecided = true;
    int fd = request_tunnel(g, "");
    for (double end = ev_time() + WAIT_S; !g->attempts && ev_time() < end;)
      ev_run(g->loop, EVRUN_NOWAIT);
    cr_assert_eq(g->attempts, 1);
    tunnels_decide(g->tunnels, "10.0.0.9:1", TUNNEL_REFUSED);
    cr_assert_eq(recv(fd, (char[1]){0}, 1, MSG_DONTWAIT), -1);
    double began = ev_time();
    tunnels_decide(g->tunnels, rows[i].is_named ? g->target_addr : NULL,
                   rows[i].decided);
    expect_status(g, fd, rows[i].status);
    cr_assert_lt(ev_time() - began, 0.2);
    close(fd);
    close_rig(g);
  }
}

/* Guards against a failure that is ascribed to the target by other targets'
   connections or without any decision. */
Test(tunnel, a_failure_that_nobody_decides_tells_nothing) {
  Rig *g = open_rig(false);
  g->undecided = true;
  int fd = request_tunnel(g, "");
  for (double end = ev_time() + WAIT_S; !g->attempts && ev_time() < end;)
    ev_run(g->loop, EVRUN_NOWAIT);
  tunnels_decide(g->tunnels, "10.0.0.9:1", TUNNEL_REFUSED);
  expect_status(g, fd, "503");
  close(fd);
  close_rig(g);
}

/* Guards against a connection that stays open without a request, and against an
   endless one. */
Test(tunnel, a_request_that_is_none_ends) {
  static char garbage[600];
  Rig *g = open_rig(true);
  int silent = sock_connect(g->addr, 0), wrong = sock_connect(g->addr, 0);
  memset(garbage, 'x', sizeof garbage);
  usleep(2000);
  send(wrong, garbage, sizeof garbage, 0);
  cr_assert_str_eq(read_text(g, wrong), "reset");
  cr_assert_str_eq(read_text(g, silent), "reset");
  cr_assert_eq(tunnels_count(g->tunnels), 0);
  close(silent);
  close(wrong);
  close_rig(g);
}
