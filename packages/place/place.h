/* place.h: decides which targets of a pool (targets that share a queue) load
   which adapters, variants of the pool's model that an engine loads and unloads
   by name. It runs at the pool's home, the instance responsible for the pool,
   and makes no system calls: it returns actions, which the caller performs, and
   receives their results.

   The plan is the assignment of adapters to targets. A decision takes effect
   once the store has accepted the conditional update of the plan. An order
   tells a target all adapters that it should have. It carries the plan's
   version as a fencing token: a target rejects an order whose version is lower
   than one it has received. docs/PLACEMENT.md. */
#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "place/plan.h"

/* Current state of a target of the pool. */
typedef struct PlaceTarget {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  char configured[LIMIT_ADAPTERS_BYTES]; /* adapters set in the configuration
                                            table */
  /* Requests that it runs at the same time; adapters that the plan may assign
     to it. */
  int slots, max_adapters;
  int running, waiting; /* numbers of requests */
  bool live;            /* neither shutting down nor ejected */
} PlaceTarget;

/* What the services that use an adapter require. */
typedef struct PlaceRequirement {
  char adapter[LIMIT_NAME_BYTES];
  int min_targets, max_targets; /* that have it; max_targets 0: no maximum */
  double recent_requests;       /* requests for it since the last update */
} PlaceRequirement;

/* A target's answer to an order. */
typedef enum {
  PLACE_DONE,    /* the target has exactly the ordered adapters */
  PLACE_LOADING, /* the target is still loading */
  PLACE_FENCED,  /* the target has received a newer order */
  PLACE_FAILED   /* no answer, or an unexpected one */
} PlaceOrderResult;

typedef enum {
  PLACE_GET_PLAN, /* read the plan from the store */
  PLACE_PUT_PLAN, /* write it, if the stored version is `version` */
  PLACE_SEND_ORDER
} PlaceActionKind;

typedef struct PlaceAction {
  PlaceActionKind action;
  uint64_t version; /* PUT: expected stored version; ORDER: fencing token */
  uint64_t seq;     /* GET, PUT: returned with the result */
  char *text;       /* PUT: the plan as JSON, to be freed with g_free */
  char reason[128]; /* PUT: reason of the change, for the log */
  char target[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES]; /* ORDER */
  /* ORDER: all adapters that the target should have, separated by ';'. */
  char adapters[LIMIT_ADAPTERS_BYTES];
} PlaceAction;

/* Faults that tests inject. */
typedef struct PlaceFaults {
  bool no_fence; /* orders are sent before the plan is stored */
} PlaceFaults;

typedef struct Place Place;

Place *place_new(void);
void place_free(Place *p);
void place_set_faults(Place *p, PlaceFaults f);
/* Sets whether this instance is the pool's home. When it stops being the home,
   all state is reset. */
void place_set_home(Place *p, bool home);
/* Sets the current state of the pool, decides, and adds actions; to be called
   about once a second. */
void place_update(Place *p, double now, const PlaceTarget *targets,
                  int n_targets, const PlaceRequirement *requirements,
                  int n_requirements);
/* Result of the GET or PUT action `seq`; `text` is the plan that a GET
   returned. */
void place_on_store_result(Place *p, double now, uint64_t seq, ErrKind kind,
                           uint64_t version, const char *text);
/* The target's answer to an order for `adapters` with the fencing token
   `fence`. */
void place_on_order_result(Place *p, double now, const char *target,
                           uint64_t fence, const char *adapters,
                           PlaceOrderResult answer);
/* Removes the next action to perform; false when there is none. */
bool place_next_action(Place *p, PlaceAction *a);

#endif
