/* suspects.h: requests, and parts of prompts, under which targets ended; pure,
   for one instance. A part is any but the last of a prompt: other requests have
   it too, and it may end targets in each of them.

   A single end is no evidence, since dozens of requests run at a target. It is
   evidence when it happens to the request again, at another target, and no
   attempt of it ended well in between. So two homes, instances chosen by the
   digest, count its marks, each of which says that a target ended under it.
   With the second mark of a request, the third of a part, they name it a
   suspect to all instances. An instance that saw an attempt with it end well
   after its first mark clears it for all. Until then it is tried at only one
   target of the fleet at a time: trials.h.

   The parts that all requests of a route share are marked at each end, and are
   cleared by the streams that run elsewhere. So a named part counts as a
   suspect only after the time in which others clear it.

   The load that this is for: a request that ends each target that begins to
   run it keeps coming to any instance, beside dozens of other requests at each
   target. In 40 ends under it, it was marked 40 times, its neighbours once or
   twice. Where targets end by themselves, 19 times in 15 s among ten targets,
   and one harmless request is sent ten times a second, attempts that end well
   separate nearly all of its marks. */
#ifndef ROUTE_SUSPECTS_H
#define ROUTE_SUSPECTS_H

#include "route/ends.h"

typedef enum {
  SUSPECTS_MARK,    /* to its homes: a target ended under it */
  SUSPECTS_NAMED,   /* to all: it was marked at a second target */
  SUSPECTS_CLEARED, /* to all: an attempt of it ended well */
  SUSPECTS_KINDS
} SuspectsKind;

typedef struct SuspectsMsg {
  SuspectsKind kind;
  bool is_part; /* the digest is that of a part */
  Digest digest;
  uint64_t owner;          /* text_hash of its customer; unset in CLEARED */
  uint64_t target;         /* MARK: target_hash of the one that ended */
  double first_mark_age_s; /* NAMED: since its first mark */
} SuspectsMsg;

typedef struct Suspects Suspects;

Suspects *suspects_new(void);
void suspects_free(Suspects *s);

/* Returns the digest that stands for a part. */
Digest suspects_part_digest(uint64_t part);

/* A target ended here under a request: marks it, and the parts of its prompt.
 */
void suspects_mark(Suspects *s, double now, const EndsMark *m);
/* Applies another instance's message. */
void suspects_apply_message(Suspects *s, double now, const SuspectsMsg *m);
/* An attempt of a request ended with a target's answer, or a target that got a
   part goes on beyond the time in which it would have ended. To be called while
   suspects_track_successes. */
void suspects_note_success(Suspects *s, double now, Digest d);
/* Whether attempts that end well matter at present. While no target ends,
   nothing is computed for them. */
bool suspects_track_successes(const Suspects *s, double now);

/* Whether anything is a suspect or may become one, and whether this is one. */
bool suspects_has_any(const Suspects *s);
bool suspects_has(const Suspects *s, double now, Digest d);
/* Whether a part is known to have succeeded since another one was first
   marked. */
bool suspects_is_sound(const Suspects *s, double now, Digest part,
                       Digest suspect);
/* As suspects_has, a part in the time after its naming included. */
bool suspects_is_named(const Suspects *s, Digest d);

/* The next message to send; false: there is none. */
bool suspects_next_message(Suspects *s, SuspectsMsg *m);

#endif
