/* loopclock.h: the time of an event loop's turn. libev's ev_now follows the
   time of day: when that is set back by ten seconds, a target that has just
   left may get requests for ten seconds more, and outdated reports of the
   store's readers count for as long. This clock is monotonic, and counts the
   time for which the machine was suspended; libev's timers don't. */
#ifndef KERNEL_LOOPCLOCK_H
#define KERNEL_LOOPCLOCK_H

#include <ev.h>

/* From this call on, the clock is read at the begin of each turn. Uses the
   loop's user data. */
void loopclock_start(struct ev_loop *loop);
/* `fn` is called, before all other watchers of a turn, when `min_gap_s` or more
   have passed since the previous turn: the process or its machine was suspended
   or stalled. The loop needs a timer with a shorter interval. One `fn` a loop.
 */
typedef void (*LoopclockGap)(void *ctx, double gap_s);
void loopclock_on_gap(struct ev_loop *loop, double min_gap_s, LoopclockGap fn,
                      void *ctx);
/* Seconds, comparable only within this process. */
double loopclock_now(struct ev_loop *loop);

#endif
