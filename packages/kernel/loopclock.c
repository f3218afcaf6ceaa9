/* loopclock.c: reads the monotonic clock once a turn. */
#include "kernel/loopclock.h"

#include <glib.h>

#include "kernel/clock.h"

/* Added to the machine's clock, which starts at 0 with the machine. Many
   modules use a time of 0 for "never", which has to lie further back than any
   timeout.
 */
#define ORIGIN_S 86400.0

typedef struct LoopClock {
  ev_check check_watcher;
  double now;
  double min_gap_s; /* 0: no gap handler */
  LoopclockGap on_gap;
  void *ctx;
} LoopClock;

static double read_clock(void) {
  return ORIGIN_S + clock_now();
}

static void update_clock(struct ev_loop *loop, ev_check *w, int revents) {
  (void)loop;
  (void)revents;
  LoopClock *c = w->data;
  double before = c->now;
  c->now = read_clock();
  if (c->min_gap_s > 0 && c->now - before >= c->min_gap_s)
    c->on_gap(c->ctx, c->now - before);
}

void loopclock_start(struct ev_loop *loop) {
  LoopClock *c = g_new0(LoopClock, 1); /* lives as long as the loop */
  c->now = read_clock();
  ev_check_init(&c->check_watcher, update_clock);
  /* Runs before any watcher that reads the time. */
  ev_set_priority(&c->check_watcher, EV_MAXPRI);
  c->check_watcher.data = c;
  ev_check_start(loop, &c->check_watcher);
  ev_unref(loop); /* it does not keep the loop running */
  ev_set_userdata(loop, c);
}

void loopclock_on_gap(struct ev_loop *loop, double min_gap_s, LoopclockGap fn,
                      void *ctx) {
  LoopClock *c = ev_userdata(loop);
  c->now = read_clock(); /* work before the first turn is no gap */
  c->min_gap_s = min_gap_s;
  c->on_gap = fn;
  c->ctx = ctx;
}

double loopclock_now(struct ev_loop *loop) {
  const LoopClock *c = ev_userdata(loop);
  return c->now;
}
