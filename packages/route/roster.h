/* roster.h: the roster, the list of targets that one instance sends another as
   texts, in parts; pure. */
#ifndef ROUTE_ROSTER_H
#define ROUTE_ROSTER_H

#include "route/targets.h"

/* Targets of one part: a few tens of KB, and milliseconds of work on the
   smallest instances. */
#define ROSTER_MAX_ROWS 500

/* Where a part begins: after this target of this pool. All 0: at the first
   target. */
typedef struct RosterCursor {
  uint64_t pool, target; /* hashes */
  bool has_target;       /* `target` is set */
} RosterCursor;

/* The next part, to be freed with free; advances `at`. `more`: another part
   follows. Targets that have left, or may have, are left out. */
char *roster_part(Targets *s, double now, RosterCursor *at, bool *more);
/* Calls `fn` for each target of a part; false: it is damaged, and `fn` was not
   called. */
bool roster_read(const char *text, void (*fn)(void *ctx, const TargetInfo *t),
                 void *ctx);

#endif
