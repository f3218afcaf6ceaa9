/* trials.h: suspects, the requests or parts of prompts under which targets
   ended, are tried at one target of the fleet at a time and held back once
   another target ends; pure, for one instance. A part is held after the second
   trial that ended its target, since another request may have ended that of the
   first. A trial proves nothing about a part if the prompt has others that are
   not known to be sound.

   A trial is an object in the platform's store. It is created before the
   request is sent and deleted when the request ends well. So two instances
   can't try it at the same time, and a trial that is not deleted stays in
   force even if all instances are lost. An open trial of a part, which many
   requests wait for, ends with its instance or after some seconds. Two or three
   targets end under a harmful request before it is named a suspect, and one
   more in its trial. */
#ifndef ROUTE_TRIALS_H
#define ROUTE_TRIALS_H

#include <jansson.h>

#include "kernel/digest.h"
#include "member/view.h"

/* The state of a trial. */
typedef struct Trial {
  Digest digest;
  uint64_t revision; /* of its object */
  uint64_t owner;    /* text_hash of the customer */
  uint64_t by;       /* random number of the last attempt */
  uint64_t instance; /* that made it: text_hash of its id; 0: unknown */
  int tries;         /* number of times it was sent to a target */
  bool open;         /* an attempt is in progress */
  bool ended;        /* a target ended under it */
  bool is_part;      /* of a part of prompts; else of one request */
  int ends;          /* part: trials that proved that it ends targets */
  int64_t began;     /* Unix milliseconds of the first attempt */
} Trial;

typedef enum {
  TRIALS_FREE, /* it is no suspect */
  TRIALS_TRY,  /* it may be tried once its trial is in the store */
  TRIALS_BUSY, /* an attempt is in progress: its result is known soon */
  TRIALS_HELD  /* it must not be sent to any target */
} TrialsVerdict;

/* Result of one attempt. */
typedef enum {
  TRIALS_UNSENT,       /* it reached no target */
  TRIALS_INCONCLUSIVE, /* it reached a target, without a result */
  TRIALS_UNPROVEN,     /* its target ended, maybe for another part */
  TRIALS_ENDED         /* its target ended */
} TrialsOutcome;

typedef struct Trials Trials;

Trials *trials_new(void);
void trials_free(Trials *t);

/* Sets the trial of a digest to the object in the store. */
void trials_set(Trials *t, double now, const Trial *x);
/* Its object was deleted. */
void trials_remove(Trials *t, Digest digest);
bool trials_find(const Trials *t, Digest digest, Trial *x);
/* Drops all trials but those in the set of object names. */
void trials_retain_only(Trials *t, GHashTable *names);
bool trials_has_any(const Trials *t);

/* The members of the fleet: an open trial of a part ends with its instance. */
void trials_set_members(Trials *t, const View *v);

TrialsVerdict trials_verdict(const Trials *t, double now, Digest digest,
                             bool suspect);
/* The trial to store before the request is sent. */
Trial trials_begin(const Trials *t, Digest digest, uint64_t owner,
                   int64_t unix_ms);
/* The trial after an attempt that did not end well. */
Trial trials_close(const Trial *x, TrialsOutcome outcome);
/* The trial to delete to make room for another; false: there is room. */
bool trials_choose_evicted(const Trials *t, Trial *x);

/* The content of its object in the store. */
json_t *trials_write(const Trial *x);
/* Parses an object; false: it is damaged. `name` is the object's name. */
bool trials_read(const char *name, const json_t *content, uint64_t revision,
                 Trial *x);

#endif
