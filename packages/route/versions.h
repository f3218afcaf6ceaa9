/* versions.h: the software versions of a service's targets; pure. While targets
   of several versions serve, a stream may go on only at the version that began
   it, since their events don't fit together. */
#ifndef ROUTE_VERSIONS_H
#define ROUTE_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Callers resume no stream that began longer ago, in seconds, unless a route
   allows its streams more time. */
#define VERSIONS_MEMORY_S 30.0

typedef struct Versions Versions;

Versions *versions_new(void);
void versions_free(Versions *v);

/* Returns what stands for a version here: a hash of its name; 0: "". */
uint64_t versions_hash(const char *name);

/* A target of that version joined, or left at the time `at`. */
void versions_add(Versions *v, double now, uint64_t version);
void versions_remove(Versions *v, double at, uint64_t version);

/* Sets `version` to the only one that was ever known; false: there were others,
   or none. */
bool versions_only(const Versions *v, uint64_t *version);
/* Whether targets of more than one version are known. */
bool versions_are_several(const Versions *v);
/* Sets `version` to the only one that was known in the last `memory_s` seconds;
   false: there were others, or the targets are known for less long. */
bool versions_sole(const Versions *v, double now, double memory_s,
                   uint64_t *version);

#endif
