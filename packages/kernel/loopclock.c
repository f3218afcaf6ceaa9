/* loopclock.c: the monotonic clock, read once a turn. */
#include "kernel/loopclock.h"

#include <glib.h>

#include "kernel/clock.h"

/* Added to the machine's clock, which may have just begun: a time of 0 stands
   for "never" with many things, and must lie further back than anything counts.
 */
#define ORIGIN_S 86400.0

typedef struct LoopClock {
  ev_check turn;
  double now;
  double least_s; /* 0: nobody is told of gaps */
  LoopclockGap on_gap;
  void *ctx;
} LoopClock;

static double read_clock(void) {
  return ORIGIN_S + clock_now();
}

static void on_turn(struct ev_loop *loop, ev_check *w, int revents) {
  (void)loop;
  (void)revents;
  LoopClock *c = w->data;
  double before = c->now;
  c->now = read_clock();
  if (c->least_s > 0 && c->now - before >= c->least_s)
    c->on_gap(c->ctx, c->now - before);
}

void loopclock_start(struct ev_loop *loop) {
  LoopClock *c = g_new0(LoopClock, 1); /* as long as the loop */
  c->now = read_clock();
  ev_check_init(&c->turn, on_turn);
  ev_set_priority(&c->turn, EV_MAXPRI); /* before whatever asks for it */
  c->turn.data = c;
  ev_check_start(loop, &c->turn);
  ev_unref(loop); /* it keeps no loop alive */
  ev_set_userdata(loop, c);
}

void loopclock_on_gap(struct ev_loop *loop, double least_s, LoopclockGap fn,
                      void *ctx) {
  LoopClock *c = ev_userdata(loop);
  c->now = read_clock(); /* what was done before the first turn is no gap */
  c->least_s = least_s;
  c->on_gap = fn;
  c->ctx = ctx;
}

double loopclock_now(struct ev_loop *loop) {
  const LoopClock *c = ev_userdata(loop);
  return c->now;
}
