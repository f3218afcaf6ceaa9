/* roster.h: the list of targets as texts that one instance hands to another, a
   part each; pure. */
#ifndef ROUTE_ROSTER_H
#define ROUTE_ROSTER_H

#include "route/targets.h"

/* Targets of one part: a few tens of KB, and milliseconds of work at the
   smallest instances. */
#define ROSTER_MAX_ROWS 500

/* Where a part begins: behind this target of this pool. All 0: with the first.
 */
typedef struct RosterCursor {
  uint64_t pool, target; /* hashes */
  bool has_target;       /* `target` was given */
} RosterCursor;

/* The next part, to be freed with free; moves `at` on. `more`: another follows.
   Targets that have left, or perhaps have, are not in it. */
char *roster_part(Targets *s, double now, RosterCursor *at, bool *more);
/* Calls `fn` for each target of a part; false: it is damaged, and nothing was
   called. */
bool roster_read(const char *text, void (*fn)(void *ctx, const TargetInfo *t),
                 void *ctx);

#endif
