/* pathcheck.h: finds out whether a target that could not be connected to has
   failed, or the path of this instance to all targets. Another target is
   connected to, then the first one again; each attempt begins after the result
   of the one before. A path that was interrupted at the first attempt and works
   at the second explains no refusal at the third. */
#ifndef FLOW_PATHCHECK_H
#define FLOW_PATHCHECK_H

#include "flow/link.h"

typedef struct PathChecks PathChecks;

typedef enum {
  PATHCHECK_REFUSED,     /* the target refuses connections */
  PATHCHECK_UNREACHABLE, /* it can't be reached otherwise */
  PATHCHECK_UNKNOWN      /* the path may be at fault, or the target goes on */
} PathVerdict;

typedef struct PathChecksOptions {
  /* Returns another target to connect to; NULL: there is none. */
  const char *(*pick_other)(void *ctx, const char *addr);
  /* The check of `addr` has ended. */
  void (*end)(void *ctx, const char *addr, PathVerdict verdict);
  void *ctx;
} PathChecksOptions;

PathChecks *pathchecks_new(Links *links, const PathChecksOptions *o);
/* Ends all checks without a verdict; to be called before links_close. */
void pathchecks_free(PathChecks *p);
/* A direct connection to `addr` was refused, or failed otherwise. Starts a
   check, unless one of `addr` is in progress; makes no callback before it
   returns. Returns false if there is no other target. */
bool pathchecks_start(PathChecks *p, const char *addr, bool refused);

#endif
