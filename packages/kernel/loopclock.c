/* loopclock.c: the monotonic clock, read once a turn. */
#include "kernel/loopclock.h"

#include <glib.h>

#include "kernel/clock.h"

typedef struct LoopClock {
  ev_check turn;
  double now;
} LoopClock;

static void on_turn(struct ev_loop *loop, ev_check *w, int revents) {
  (void)loop;
  (void)revents;
  LoopClock *c = w->data;
  c->now = clock_now();
}

void loopclock_start(struct ev_loop *loop) {
  LoopClock *c = g_new0(LoopClock, 1); /* as long as the loop */
  c->now = clock_now();
  ev_check_init(&c->turn, on_turn);
  ev_set_priority(&c->turn, EV_MAXPRI); /* before whatever asks for it */
  c->turn.data = c;
  ev_check_start(loop, &c->turn);
  ev_unref(loop); /* it keeps no loop alive */
  ev_set_userdata(loop, c);
}

double loopclock_now(struct ev_loop *loop) {
  const LoopClock *c = ev_userdata(loop);
  return c->now;
}
