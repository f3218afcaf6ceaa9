/* platform.h: a blocking client of the platform's object API. Only platform.c
   contains paths and headers of the API. Every call is counted. */
#ifndef STORE_PLATFORM_H
#define STORE_PLATFORM_H

#include <stdint.h>

#include "kernel/err.h"

typedef struct Platform Platform;

typedef struct PlatformAnswer {
  ErrKind kind;     /* ERR_NONE, or an ERR_STORE_ kind */
  uint64_t version; /* of the object, if the call is about one */
  char *text; /* the caller frees it with g_free; NULL when there is none */
} PlatformAnswer;

/* A client for one thread. `timeout_s`: a request without an answer in this
   time ends with ERR_STORE_UNKNOWN. */
Platform *platform_open(const char *addr, int timeout_s);
void platform_close(Platform *p);

PlatformAnswer platform_get(Platform *p, const char *name);
/* Writes the object if it is at `version`, or if it does not exist when
   `version` is 0. */
PlatformAnswer platform_put(Platform *p, const char *name, uint64_t version,
                            const char *text);
/* Deletes an object whatever its version is, so use it only for objects whose
   content nobody needs. */
PlatformAnswer platform_delete(Platform *p, const char *name);
/* Lists the objects with the prefix as a JSON array of {"name","version"}. */
PlatformAnswer platform_list(Platform *p, const char *prefix);
/* Waits up to `wait_s` seconds for changes after `revision` of objects with the
   prefix. Returns JSON: {"revision","changed":[{"name","version"}]}. */
PlatformAnswer platform_watch(Platform *p, const char *prefix,
                              uint64_t revision, int wait_s);
/* Lists the platform's instances as a JSON array of
   {"name","kind","peer","http","state"}. */
PlatformAnswer platform_members(Platform *p);

#endif
