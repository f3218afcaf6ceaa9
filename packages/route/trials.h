/* trials.h: suspects are tried at one target at a time, over the whole fleet,
   and held once another target ended; pure, for one instance.

   A trial is an object in the platform's store, made before the request is
   sent and taken away when it ends well. So two instances can't try at once,
   and what is not taken away stands: after a loss of all instances, too. Two
   or three targets end under a bad request before it is named, one more in its
   trial. */
#ifndef ROUTE_TRIALS_H
#define ROUTE_TRIALS_H

#include <jansson.h>

#include "kernel/digest.h"

/* What is known of a trial. */
typedef struct Trial {
  Digest digest;
  uint64_t revision; /* of its object */
  uint64_t owner;    /* text_hash of the customer */
  uint64_t by;       /* a random number of the last try */
  int tries;         /* times that it was sent to a target */
  bool open;         /* it is being tried */
  bool ended;        /* a target ended */
  int64_t began;     /* Unix milliseconds of the first one */
} Trial;

typedef enum {
  TRIALS_FREE, /* nothing is held against it */
  TRIALS_TRY,  /* it may be tried, once its trial is in the store */
  TRIALS_BUSY, /* it is being tried: soon more is known */
  TRIALS_HELD  /* it is sent to no target */
} TrialsVerdict;

/* How one try went. */
typedef enum {
  TRIALS_UNSENT,       /* it came to no target */
  TRIALS_INCONCLUSIVE, /* it did, and that told nothing */
  TRIALS_ENDED         /* its target ended */
} TrialsOutcome;

typedef struct Trials Trials;

Trials *trials_new(void);
void trials_free(Trials *t);

/* The object of `digest` as the store has it. */
void trials_set(Trials *t, double now, const Trial *x);
/* It was taken away. */
void trials_remove(Trials *t, Digest digest);
/* All objects that there are: a set of names. */
void trials_retain_only(Trials *t, GHashTable *names);
bool trials_has_any(const Trials *t);

TrialsVerdict trials_verdict(const Trials *t, double now, Digest digest,
                             bool suspect);
/* The trial that is to be put into the store before the request is sent. */
Trial trials_begin(const Trials *t, Digest digest, uint64_t owner,
                   int64_t unix_ms);
/* The same after a try that did not end well. */
Trial trials_close(const Trial *x, TrialsOutcome outcome);
/* The one to be taken away to make room for another; false: there is room. */
bool trials_choose_evicted(const Trials *t, Trial *x);

/* As it stands in the store. */
json_t *trials_write(const Trial *x);
/* False: it is damaged. `name` is that of the object. */
bool trials_read(const char *name, const json_t *content, uint64_t revision,
                 Trial *x);

#endif
