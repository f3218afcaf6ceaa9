/* ends.h: detects which targets have ended, and which requests they ran at that
   time; pure, for one instance. A target ends when its process ends. A broken
   exchange is little evidence: connections are reset, answers are lost, and a
   target may fail part of its work. A target has ended when an exchange with it
   broke, the next connection to it is refused and no other exchange with it
   continues, or when it restarts under its name. That is known some
   milliseconds after the break; until then the requests that broke are kept. A
   partitioned instance finds all its targets like that, so a refusal is
   confirmed by another instance if there is one. */
#ifndef ROUTE_ENDS_H
#define ROUTE_ENDS_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/ask.h"
#include "kernel/digest.h"

/* A request that may have ended its target. */
typedef struct EndsMark {
  uint64_t target; /* target_hash: of its id and start time */
  Digest digest;
  uint64_t owner;                    /* text_hash of the customer */
  uint64_t trial;                    /* Trial.by if it was a trial, else 0 */
  int n_parts;                       /* of its prompt, without its own */
  uint64_t parts[REQUEST_MAX_PARTS]; /* their ids */
} EndsMark;

typedef struct Ends Ends;

Ends *ends_new(void);
void ends_free(Ends *e);

/* The functions that return a bool return true if the target is now known to
   have ended. `open`: number of our exchanges with it that continue. */

/* An exchange with the target broke. `recently_started`: the request of `mark`
   had just begun to run there, or had not begun yet. */
bool ends_note_break(Ends *e, double now, const EndsMark *mark,
                     bool recently_started, int open);
/* We aborted an exchange with the target because its caller disconnected or its
   deadline passed. If the target ends, its request counts like those that
   broke. */
void ends_note_abandoned(Ends *e, double now, const EndsMark *mark);
/* Whether to probe the target with a connection, since an exchange broke and
   it is unknown whether the target has ended. True once for each break. */
bool ends_start_probe(Ends *e, double now, uint64_t target);
/* Whether to have another instance confirm a refusal of our own, by its own
   connection to the target. Returns false while one is asked, and after
   ENDS_MAX_CONFIRMERS were: they may not be able to tell. */
#define ENDS_MAX_CONFIRMERS 3
bool ends_start_confirmation(Ends *e, double now, uint64_t target);
bool ends_awaits_confirmation(const Ends *e, double now, uint64_t target);
/* The instance that was asked could not tell. */
void ends_fail_confirmation(Ends *e, double now, uint64_t target);
/* Whether to find out by our own connections if the target or our path refuses
   them, since no other instance could tell. Returns false after
   ENDS_MAX_PATH_CHECKS: the others that were connected to may have ended too.
 */
#define ENDS_MAX_PATH_CHECKS 3
bool ends_start_path_check(Ends *e, double now, uint64_t target);
/* Whether it returned true for the present break. */
bool ends_has_path_check(const Ends *e, double now, uint64_t target);
/* The target, not our path, refuses connections. */
bool ends_note_refused(Ends *e, double now, uint64_t target, int open);
/* A connection was accepted: the target has not ended unless a restart is
   reported. */
void ends_note_connected(Ends *e, double now, uint64_t target);
/* The target has restarted under its name. */
bool ends_note_restart(Ends *e, double now, uint64_t target);

/* The next request under which a target has ended; false: there is none. */
bool ends_next_mark(Ends *e, EndsMark *m);
/* Nothing broke recently. */
bool ends_is_idle(const Ends *e);
/* Drops what has expired; call it about once a second. */
void ends_sweep(Ends *e, double now);

#endif
