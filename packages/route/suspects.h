/* suspects.h: requests under which targets ended; pure, for one instance.

   One end proves nothing, since dozens of requests run at a target. It tells
   when it happens to a request again, at another target, and no attempt of it
   ended well since. So two homes, chosen by the digest among all instances,
   count the marks of a request, and with the second one name it to all. Whoever
   saw an attempt of it end well after its first mark clears it for all. Until
   then it is tried at one target at a time, over the whole fleet: trials.h.

   The load that this answers: a request that ends each target that begins to
   run it comes again and again at any instance, beside dozens of others at each
   target. Of 40 ends under it, it was marked 40 times, its neighbours once or
   twice. Where targets end by themselves, 19 in 15 s of ten, and one harmless
   request comes ten times a second, attempts that end well lie between nearly
   all of its marks. */
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
  Digest digest;
  uint64_t owner;          /* text_hash of its customer; not with CLEARED */
  uint64_t target;         /* MARK: target_hash of the one that ended */
  double first_mark_age_s; /* NAMED: since its first mark */
} SuspectsMsg;

typedef struct Suspects Suspects;

Suspects *suspects_new(void);
void suspects_free(Suspects *s);

/* A target ended here under a request. */
void suspects_mark(Suspects *s, double now, const EndsMark *m);
/* Another instance says so, or names or clears one. */
void suspects_apply_message(Suspects *s, double now, const SuspectsMsg *m);
/* An attempt ended with a target's answer; told while suspects_looks. */
void suspects_note_success(Suspects *s, double now, Digest d);
/* Whether attempts that end well matter at present: nothing is to be computed
   for each request while no target ends. */
bool suspects_track_successes(const Suspects *s, double now);

/* Whether any request is named, and whether this one is. */
bool suspects_has_any(const Suspects *s);
bool suspects_has(const Suspects *s, Digest d);

/* The next message that is to be sent; false: there is none. */
bool suspects_next_message(Suspects *s, SuspectsMsg *m);

#endif
