/* loads.h: who asks which target for its load; the pure core. In each region
   one instance, by rendezvous, asks a target and tells the others, so that a
   target is not asked by every instance there is. Whoever hears nothing of a
   target asks by itself. docs/ROUTING.md. */
#ifndef ROUTE_LOADS_H
#define ROUTE_LOADS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"
#include "member/view.h"

/* A target that is to be watched. */
typedef struct LoadsTarget {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES], dc[LIMIT_NAME_BYTES];
  char pool[LIMIT_NAME_BYTES + 8];
} LoadsTarget;

/* What instances of a region tell each other of one target. */
typedef struct LoadsMsg {
  uint64_t target; /* hash of its name */
  int running, waiting;
  bool silent; /* it did not answer */
} LoadsMsg;

typedef struct Loads Loads;

Loads *loads_new(const char *self);
void loads_free(Loads *l);
void loads_view(Loads *l, const View *v);
/* Targets that stay keep what is known of them. */
void loads_targets(Loads *l, const LoadsTarget *list, int n);

/* The next target that we have to ask now; false: none. Its answer must come
   with loads_heard. */
bool loads_ask(Loads *l, double now, LoadsTarget *t);
void loads_heard(Loads *l, double now, const char *name, bool ok, int running,
                 int waiting);
/* The next word to all others of our region; false: none. */
bool loads_tell(Loads *l, double now, LoadsMsg *m);
/* Another instance's word. The target it speaks of, NULL: unknown, or silent:
   then we ask it ourselves before we believe it. */
const LoadsTarget *loads_told(Loads *l, double now, const LoadsMsg *m);

#endif
