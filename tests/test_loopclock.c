/* test_loopclock.c: the loop's time while the time of day is set.

   Guards against timeouts that stretch or shrink when a machine's time of day
   is corrected by ten seconds: that of a target that left, of a reader's
   report, which counts for 1.5 s, or a request's deadline. */
#define _GNU_SOURCE
#include <criterion/criterion.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "kernel/loopclock.h"

#define STEP_S 10
#define TURN_S 0.02

static time_t time_of_day_step;
static time_t suspended_s; /* seconds that only CLOCK_BOOTTIME counts */

/* Replaces the C library's function: only the time of day is changed. */
int clock_gettime(clockid_t id, struct timespec *t) {
  int r = (int)syscall(SYS_clock_gettime, id, t);
  if (id == CLOCK_REALTIME) t->tv_sec += time_of_day_step;
  if (id == CLOCK_BOOTTIME) t->tv_sec += suspended_s;
  return r;
}

/* The function with which libev reads the time of day. */
int gettimeofday(struct timeval *restrict t, void *restrict zone) {
  (void)zone;
  struct timespec now;
  int r = clock_gettime(CLOCK_REALTIME, &now);
  *t = (struct timeval){.tv_sec = now.tv_sec, .tv_usec = now.tv_nsec / 1000};
  return r;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)w;
  (void)revents;
  ev_break(loop, EVBREAK_ALL);
}

/* One turn of at least `seconds`. */
static void run_turn(struct ev_loop *loop, double seconds) {
  ev_timer t;
  ev_timer_init(&t, on_timer, seconds, 0);
  ev_timer_start(loop, &t);
  ev_run(loop, 0);
}

static void check_step(int by) {
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  time_of_day_step = 0;
  loopclock_start(loop);
  run_turn(loop, TURN_S);
  double before = loopclock_now(loop), day = ev_now(loop);
  time_of_day_step = by;
  for (int i = 0; i < 60; i++)
    run_turn(loop, TURN_S); /* libev checks every 0.5 s */
  double took = loopclock_now(loop) - before;
  cr_assert(took >= 60 * TURN_S * 0.9 && took < 5, "%f", took);
  double moved = ev_now(loop) - day - took;
  cr_assert(moved / by > 0.9, "libev's time follows: %f", moved);
  ev_loop_destroy(loop);
}

Test(loopclock, it_does_not_go_back_with_the_time_of_day) {
  check_step(-STEP_S);
}

Test(loopclock, it_does_not_jump_with_the_time_of_day) {
  check_step(STEP_S);
}

/* == suspended machine == */

typedef struct Gaps {
  int n;
  double last;
} Gaps;

static void on_gap(void *ctx, double gap_s) {
  Gaps *g = ctx;
  g->n++;
  g->last = gap_s;
}

Test(loopclock, suspended_time_counts) {
  static const int jumps[] = {1, 5, 30};
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  Gaps g = {0};
  loopclock_start(loop);
  loopclock_on_gap(loop, 1.0, on_gap, &g);
  for (int i = 0; i < 3; i++) {
    run_turn(loop, TURN_S);
    double before = loopclock_now(loop);
    suspended_s += jumps[i];
    run_turn(loop, TURN_S);
    double took = loopclock_now(loop) - before;
    cr_assert(took >= jumps[i] && took < jumps[i] + 1, "%f", took);
    cr_assert_eq(g.n, i + 1);
    cr_assert(g.last >= jumps[i] && g.last < jumps[i] + 1, "%f", g.last);
  }
  ev_loop_destroy(loop);
}

Test(loopclock, less_than_that_between_two_turns_is_no_gap) {
  struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
  Gaps g = {0};
  loopclock_start(loop);
  loopclock_on_gap(loop, 1.0, on_gap, &g);
  for (int i = 0; i < 3; i++) run_turn(loop, 0.5);
  cr_assert_eq(g.n, 0);
  ev_loop_destroy(loop);
}
