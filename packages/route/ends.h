/* ends.h: which targets have ended, and under which requests; pure, for one
   instance. An exchange that breaks says little: connections are reset, answers
   are lost, a target may fail a part of its work. A target has ended when an
   exchange with it broke, the next connection to it is refused and no exchange
   with it goes on, or when it starts again under its name. That is known some
   milliseconds after the break; until then what broke there is kept. */
#ifndef ROUTE_ENDS_H
#define ROUTE_ENDS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/digest.h"

/* A request that may have ended its target. */
typedef struct EndsMark {
  uint64_t target; /* target_hash: of one life of it */
  Digest digest;
  uint64_t owner; /* text_hash of the customer */
} EndsMark;

typedef struct Ends Ends;

Ends *ends_new(void);
void ends_free(Ends *e);

/* Those that return a bool: true when the target has ended, as is known just
   now. `open`: our exchanges with it that still go on. */

/* An exchange with the target broke. `young`: the request of `mark` had just
   begun to run there, or was still to begin. */
bool ends_note_break(Ends *e, double now, const EndsMark *mark, bool young,
                     int open);
/* We broke an exchange with the target off, as its caller left or had no time
   left. Should the target end, its request counts like those that broke. */
void ends_note_abandoned(Ends *e, double now, const EndsMark *mark);
/* Something broke there, and whether it has ended is not known: a connection
   to it would tell. Asked once for each break. */
bool ends_start_probe(Ends *e, double now, uint64_t target);
/* A connection to it was refused. */
bool ends_note_refused(Ends *e, double now, uint64_t target, int open);
/* It took a connection: it goes on, unless it is told that it started again. */
void ends_note_connected(Ends *e, double now, uint64_t target);
/* It has started again under its name. */
bool ends_note_restart(Ends *e, double now, uint64_t target);

/* The next request under which a target has ended; false: there is none. */
bool ends_next_mark(Ends *e, EndsMark *m);
/* Nothing broke of late. */
bool ends_is_idle(const Ends *e);
/* Forgets what is old; about once a second. */
void ends_sweep(Ends *e, double now);

#endif
