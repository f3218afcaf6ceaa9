/* loads.h: which instance queries a target's load; the pure core. In each
   region one instance, chosen by rendezvous hashing, queries a target and
   sends the answer to the others, so that not every instance queries every
   target. An instance that receives no messages about a target queries it
   itself. docs/ROUTING.md. */
#ifndef ROUTE_LOADS_H
#define ROUTE_LOADS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"
#include "member/view.h"

/* A target whose load is monitored. */
typedef struct LoadsTarget {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES], dc[LIMIT_NAME_BYTES];
  char pool[LIMIT_NAME_BYTES + 8];
} LoadsTarget;

/* A message about one target between the instances of a region. */
typedef struct LoadsMsg {
  uint64_t target; /* hash of its name */
  int running, waiting;
  bool unresponsive; /* it did not answer */
} LoadsMsg;

typedef struct Loads Loads;

Loads *loads_new(const char *self);
void loads_free(Loads *l);
void loads_set_view(Loads *l, const View *v);
/* Targets that remain keep their state. */
void loads_set_targets(Loads *l, const LoadsTarget *list, int n);

/* The next target to query now; false: none. Its answer must be passed to
   loads_apply_answer. */
bool loads_next_query(Loads *l, double now, LoadsTarget *t);
void loads_apply_answer(Loads *l, double now, const char *name, bool ok,
                        int running, int waiting);
/* The next message to all others of our region; false: none. */
bool loads_next_message(Loads *l, double now, LoadsMsg *m);
/* Applies another instance's message. Returns its target; NULL if that is
   unknown or unresponsive: then we query it ourselves before we believe it. */
const LoadsTarget *loads_apply_message(Loads *l, double now, const LoadsMsg *m);

#endif
