/* loopclock.h: the time of an event loop's turn. libev's own (ev_now) follows
   the time of day: when that is set back by ten seconds, a target that left a
   moment ago may get work for ten seconds more, and words of readers count for
   as long. This one never goes back, and counts the time for which the machine
   was suspended; libev's timers don't. */
#ifndef KERNEL_LOOPCLOCK_H
#define KERNEL_LOOPCLOCK_H

#include <ev.h>

/* From here on it is taken anew at the begin of each turn; takes the loop's
   user data for itself. */
void loopclock_start(struct ev_loop *loop);
/* `fn` is called, before anything else of its turn, when `least_s` or more have
   passed since the turn before: the process or its machine stood still. The
   loop needs a timer that is shorter. One of them for each loop. */
typedef void (*LoopclockGap)(void *ctx, double gap_s);
void loopclock_on_gap(struct ev_loop *loop, double least_s, LoopclockGap fn,
                      void *ctx);
/* Seconds, comparable only to others of this process. */
double loopclock_now(struct ev_loop *loop);

#endif
