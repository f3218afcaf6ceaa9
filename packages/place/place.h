/* place.h: which targets of a pool load which adapters; the pure core of the
   pool's home. What it decides is in force once its conditional update of the
   plan is kept; the plan's version is the fence of the orders that follow, and
   an order names all that the target is to have. docs/PLACEMENT.md. */
#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "place/plan.h"

/* A target of the pool, as it is now. */
typedef struct PlaceTarget {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  char fixed[LIMIT_ADAPTERS_BYTES]; /* by the operators' table */
  int slots, loads;                 /* loads: adapters that we may give it */
  int running, waiting;
  bool live; /* neither leaving nor ejected */
} PlaceTarget;

/* An adapter that services ask for. */
typedef struct PlaceWant {
  char adapter[LIMIT_NAME_BYTES];
  int least, most; /* targets that have it; most 0: all */
  double asked;    /* requests for it here since the last look */
} PlaceWant;

typedef enum {
  PLACE_DONE,   /* the target has exactly what was ordered */
  PLACE_BUSY,   /* it is loading */
  PLACE_FENCED, /* it has seen a newer order */
  PLACE_FAILED  /* no clear answer */
} PlaceAnswer;

typedef enum { PLACE_DO_GET, PLACE_DO_PUT, PLACE_DO_ORDER } PlaceDo;

typedef struct PlaceAction {
  PlaceDo what;
  uint64_t version; /* PUT: condition; ORDER: fence */
  uint64_t seq;     /* GET, PUT: comes back with the result */
  char *text;       /* PUT; g_free */
  char reason[128]; /* PUT: why */
  char target[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  char adapters[LIMIT_ADAPTERS_BYTES]; /* ORDER: all that it is to have */
} PlaceAction;

typedef struct PlaceFaults {
  bool no_fence; /* orders go out before the plan is kept */
} PlaceFaults;

typedef struct Place Place;

Place *place_new(void);
void place_free(Place *p);
void place_faults(Place *p, PlaceFaults f);
/* We are the pool's home, or no longer: then everything is forgotten. */
void place_home(Place *p, bool home);
/* A look at the pool, each second or so. */
void place_look(Place *p, double now, const PlaceTarget *targets, int n,
                const PlaceWant *wants, int m);
/* Result of the GET or PUT `seq` of the plan; `text` of a GET. */
void place_stored(Place *p, double now, uint64_t seq, ErrKind kind,
                  uint64_t version, const char *text);
/* Answer to an order of `fence` for `adapters`. */
void place_ordered(Place *p, double now, const char *target, uint64_t fence,
                   const char *adapters, PlaceAnswer answer);
bool place_next(Place *p, PlaceAction *a);

#endif
