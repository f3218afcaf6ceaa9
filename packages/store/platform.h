/* platform.h: a blocking client of the platform's object API. Paths and headers
   of the API are known only in platform.c. Every call is counted. */
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

/* A client for one thread. `timeout_s`: a request without an answer in this
   time ends with ERR_STORE_UNKNOWN. */
Platform *platform_open(const char *addr, int timeout_s);
void platform_close(Platform *p);

PlatformAnswer platform_get(Platform *p, const char *name);
/* Writes the object if it is at `version`; 0: if it does not exist. */
PlatformAnswer platform_put(Platform *p, const char *name, uint64_t version,
                            const char *text);
/* Deletes an object at any version. Only for objects whose content nobody
   needs. */
PlatformAnswer platform_delete(Platform *p, const char *name);
/* Objects with the prefix: JSON array of {"name","version"}. */
PlatformAnswer platform_list(Platform *p, const char *prefix);
/* Waits up to `wait_s` for changes after `revision` of objects with the prefix:
   JSON {"revision","changed":[{"name","version"}]}. */
PlatformAnswer platform_watch(Platform *p, const char *prefix,
                              uint64_t revision, int wait_s);
/* The platform's instances: JSON array of
   {"name","kind","peer","http","state"}. */
PlatformAnswer platform_members(Platform *p);

#endif
