/* place.h: decides which targets of a pool load which adapters. It runs at the
   pool's home, the instance responsible for the pool, and makes no calls to the
   system: it emits actions and takes their results.

   The plan is the assignment of adapters to targets. A decision takes effect
   once the store has accepted the conditional update of the plan. The plan's
   version is the fencing token of the orders that follow. An order lists all
   adapters that the target should have. docs/PLACEMENT.md. */
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
  int slots, max_adapters; /* max_adapters: that the plan may assign to it */
  int running, waiting;
  bool live; /* neither shutting down nor ejected */
} PlaceTarget;

/* What the services that use an adapter require. */
typedef struct PlaceRequirement {
  char adapter[LIMIT_NAME_BYTES];
  int min_targets, max_targets; /* max_targets 0: no maximum */
  double recent_requests;       /* since the last update */
} PlaceRequirement;

typedef enum {
  PLACE_DONE,    /* the target has exactly the ordered adapters */
  PLACE_LOADING, /* the target is still loading */
  PLACE_FENCED,  /* the target has received a newer order */
  PLACE_FAILED   /* no answer, or an unexpected one */
} PlaceOrderResult;

typedef enum {
  PLACE_GET_PLAN,
  PLACE_PUT_PLAN,
  PLACE_SEND_ORDER
} PlaceActionKind;

typedef struct PlaceAction {
  PlaceActionKind action;
  uint64_t version; /* PUT: condition; ORDER: fence */
  uint64_t seq;     /* GET, PUT: returned with the result */
  char *text;       /* PUT; g_free */
  char reason[128]; /* PUT: of the change */
  char target[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  char adapters[LIMIT_ADAPTERS_BYTES]; /* ORDER: all that the target should have
                                        */
} PlaceAction;

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
/* Reports the state of the pool and decides; to be called about once a
   second. */
void place_update(Place *p, double now, const PlaceTarget *targets, int n,
                  const PlaceRequirement *requirements, int m);
/* Result of the GET or PUT action `seq`; `text` is the plan that a GET
   returned. */
void place_on_store_result(Place *p, double now, uint64_t seq, ErrKind kind,
                           uint64_t version, const char *text);
/* Answer to an order for `adapters` with the fencing token `fence`. */
void place_on_order_result(Place *p, double now, const char *target,
                           uint64_t fence, const char *adapters,
                           PlaceOrderResult answer);
/* Removes the next action to perform; false when there is none. */
bool place_next_action(Place *p, PlaceAction *a);

#endif
