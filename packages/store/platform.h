/* platform.h: the platform's object API; its spelling is known only in
   platform.c. Every call blocks and is counted. */
#ifndef STORE_PLATFORM_H
#define STORE_PLATFORM_H

#include <stdint.h>

#include "kernel/err.h"

typedef struct Platform Platform;

typedef struct PlatformAnswer {
  ErrKind kind; /* ERR_NONE, or an ERR_STORE_ kind */
  uint64_t version;
  char *text; /* g_free; NULL when there is none */
} PlatformAnswer;

/* For one thread. `wait_s`: an answer later than this is unknown. */
Platform *platform_open(const char *addr, int wait_s);
void platform_close(Platform *p);

PlatformAnswer platform_get(Platform *p, const char *name);
/* Conditional on `version`; 0: only if the object does not exist. */
PlatformAnswer platform_put(Platform *p, const char *name, uint64_t version,
                            const char *text);
/* Removes an object whose content nobody needs, whatever its version. */
PlatformAnswer platform_delete(Platform *p, const char *name);
/* JSON array of {"name","version"}. */
PlatformAnswer platform_list(Platform *p, const char *prefix);
/* Waits up to `wait_s` for a change after `revision` of a name with the
   prefix: JSON {"revision","changed":[{"name","version"}]}. */
PlatformAnswer platform_watch(Platform *p, const char *prefix,
                              uint64_t revision, int wait_s);
/* JSON array of {"name","kind","peer","http","state"}. */
PlatformAnswer platform_members(Platform *p);

#endif
