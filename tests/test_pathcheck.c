/* test_pathcheck.c: whether a target or the path to it is at fault, on loopback
   sockets. */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow/pathcheck.h"
#include "kernel/loopclock.h"

#define WAIT_S 2.0 /* at most, for what a test expects */
#define NO_VERDICT (-1)

/* Bound, and so refused, or listening. */
typedef struct Peer {
  int fd;
  char addr[32];
} Peer;

typedef struct Rig {
  struct ev_loop *loop;
  Links *links;
  PathChecks *checks;
  Peer target, other;
  bool alone; /* there is no other target */
  int picks, verdict;
  void (*on_attempt)(struct Rig *g, const char *addr, LinkConnectResult how);
} Rig;

static Peer bind_peer(bool listens) {
  Peer p;
  struct sockaddr_in in = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t n = sizeof in;
  p.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq(bind(p.fd, (struct sockaddr *)&in, sizeof in), 0);
  getsockname(p.fd, (struct sockaddr *)&in, &n);
  snprintf(p.addr, sizeof p.addr, "127.0.0.1:%d", ntohs(in.sin_port));
  if (listens) cr_assert_eq(listen(p.fd, 8), 0);
  return p;
}

static const char *pick_other(void *ctx, const char *addr) {
  Rig *g = ctx;
  cr_assert_str_eq(addr, g->target.addr);
  g->picks++;
  return g->alone ? NULL : g->other.addr;
}

static void on_end(void *ctx, const char *addr, PathVerdict verdict) {
  Rig *g = ctx;
  cr_assert_str_eq(addr, g->target.addr);
  cr_assert_eq(g->verdict, NO_VERDICT, "two verdicts");
  g->verdict = (int)verdict;
}

static void on_attempt(void *ctx, const char *addr, const char *via,
                       LinkConnectResult how) {
  Rig *g = ctx;
  cr_assert_null(via);
  if (g->on_attempt) g->on_attempt(g, addr, how);
}

static Rig *open_rig(bool target_listens, bool other_listens) {
  static Rig rig;
  Rig *g = &rig;
  LinkOptions links = {
      .connect_timeout_s = 0.2, .user_timeout_ms = 1500, .max_idle_s = 5};
  PathChecksOptions o = {.pick_other = pick_other, .end = on_end, .ctx = g};
  *g = (Rig){.loop = ev_loop_new(EVFLAG_AUTO), .verdict = NO_VERDICT};
  loopclock_start(g->loop);
  g->target = bind_peer(target_listens);
  g->other = bind_peer(other_listens);
  g->links = links_open(g->loop, &links);
  links_set_attempt_fn(g->links, on_attempt, g);
  g->checks = pathchecks_new(g->links, &o);
  return g;
}

static void close_rig(Rig *g) {
  pathchecks_free(g->checks);
  links_close(g->links);
  close(g->target.fd);
  close(g->other.fd);
  ev_loop_destroy(g->loop);
}

static int run_check(Rig *g, bool refused) {
  cr_assert(pathchecks_start(g->checks, g->target.addr, refused));
  cr_assert_eq(g->verdict, NO_VERDICT);
  for (double end = ev_time() + WAIT_S;
       g->verdict == NO_VERDICT && ev_time() < end;)
    ev_run(g->loop, EVRUN_ONCE);
  return g->verdict;
}

/* Guards against a target that has ended and is not found, and against one that
   counts as ended while others are refused as well. */
Test(pathcheck, a_target_has_failed_if_another_one_is_reached) {
  Rig *g = open_rig(false, true);
  cr_assert_eq(run_check(g, true), PATHCHECK_REFUSED);
  close_rig(g);
  g = open_rig(false, true);
  cr_assert_eq(run_check(g, false), PATHCHECK_UNREACHABLE);
  close_rig(g);
  for (int refused = 0; refused <= 1; refused++) {
    g = open_rig(false, false);
    cr_assert_eq(run_check(g, refused), PATHCHECK_UNKNOWN);
    close_rig(g);
  }
}

/* Guards against a partition that ends between a refusal and the connection to
   another target: the refused target counted as ended. */
Test(pathcheck, a_target_that_accepts_after_another_one_has_not_failed) {
  Rig *g = open_rig(true, true);
  cr_assert_eq(run_check(g, true), PATHCHECK_UNKNOWN);
  close_rig(g);
}

static void note_kept(Rig *g, const char *addr, LinkConnectResult how) {
  if (strcmp(addr, g->target.addr) != 0 && how == LINK_CONNECTED)
    g->on_attempt = NULL;
}

/* Guards against a connection that was begun before a partition and reported
   after the first refusal: the refused target counted as ended. */
Test(pathcheck, a_connection_begun_before_the_refusal_shows_nothing) {
  Rig *g = open_rig(false, true);
  g->on_attempt = note_kept;
  link_preconnect(g->links, g->other.addr);
  int accepted = accept(g->other.fd, NULL, NULL);
  close(g->other.fd);
  g->other = bind_peer(false);
  cr_assert_eq(run_check(g, true), PATHCHECK_UNKNOWN);
  cr_assert_null(g->on_attempt, "the earlier connection was not reported");
  close(accepted);
  close_rig(g);
}

/* Guards against a connection for each failed tunnel, when all of an instance's
   requests meet a target that has ended. */
Test(pathcheck, an_address_is_checked_once_at_a_time) {
  Rig *g = open_rig(false, true);
  cr_assert(pathchecks_start(g->checks, g->target.addr, true));
  cr_assert(pathchecks_start(g->checks, g->target.addr, true));
  cr_assert_eq(run_check(g, true), PATHCHECK_REFUSED);
  cr_assert_eq(g->picks, 1);
  g->alone = true;
  cr_assert_not(pathchecks_start(g->checks, g->target.addr, true));
  close_rig(g);
}

/* Guards against a use of freed memory when an instance stops. */
Test(pathcheck, a_check_in_progress_can_be_freed) {
  Rig *g = open_rig(false, true);
  cr_assert(pathchecks_start(g->checks, g->target.addr, true));
  close_rig(g);
  cr_assert_eq(g->verdict, NO_VERDICT);
}
