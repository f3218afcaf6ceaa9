/* state.h: internals of targets, private to the sources that implement
   targets.h. */
#ifndef ROUTE_STATE_H
#define ROUTE_STATE_H

#include "route/division.h"
#include "route/evacuation.h"
#include "route/fit.h"
#include "route/parts.h"
#include "route/pool.h"
#include "route/quota.h"
#include "route/targets.h"

/* Assumed time to read a token until an answer was seen, and where other
   instances' work is unknown: a line fitted there would include their
   queues. */
#define TARGETS_DEFAULT_TOKEN_S (1 / 45000.0)

/* The last report of another instance. */
typedef struct OtherLoad {
  int open;
  int64_t tokens;
  double at;
} OtherLoad;

/* What we sent to a target and what other instances reported on it. Most
   targets of a large fleet never have this: only their entries are known. */
typedef struct TargetUse {
  QuotaSends sends; /* our own */
  Parts *parts;
  GHashTable *others; /* hash of an instance -> OtherLoad */
} TargetUse;

struct Target {
  Targets *set;
  Pool *pool;
  TargetInfo info;
  RegionSet region; /* region of its data centre; empty: unknown */
  uint64_t hash;    /* of its id and start time */
  double leave_at;  /* no new work from then on; INFINITY: not leaving */
  bool lapsed;    /* its entry is missing, perhaps only because of an outage */
  bool evacuated; /* its data centre is evacuated */
  double cold_until;
  /* Until then, as far as we know, the counting instance gives no permit
     within the target's limit, or none at all. */
  double limit_until, full_until;
  double ejected_until, ejected_s;
  double failure_ratio;    /* moving average, 0 to 1 */
  double mean_answer_s;    /* moving average */
  double first_byte_ratio; /* moving average of its first-byte times relative to
                              the pool's */
  int open;                /* number of our own requests there */
  int waiting;             /* those of them without a first byte */
  int64_t backlog_tokens;  /* prompt tokens of these */
  int reported_running, reported_waiting;
  double reported_at;
  double pace;  /* how long work took there, relative to the usual time; 0: not
                   reported */
  double limit; /* requests per second that it accepts; QUOTA_UNLIMITED */
  double limit_sent_at; /* by us, to the counting instance */
  bool limit_damaged;   /* the last limit it reported could not be parsed */
  TargetUse *use;       /* NULL: none yet */
  bool changed;         /* our work there changed since it was last sent */
};

struct Targets {
  char dc[LIMIT_NAME_BYTES];
  const Regions *regions; /* NULL: unknown */
  RegionSet region;       /* our own */
  Evacuation *evacuation;
  double cold_overrun, cold_extra;
  QuotaShare share; /* for the bounds on targets */
  GHashTable *by_id;
  GHashTable *by_hash;  /* the same targets */
  GHashTable *pools;    /* service -> Pool */
  GPtrArray *retired;   /* earlier incarnations, which may have open requests */
  GQueue changed;       /* Target* */
  GQueue parts_to_send; /* TargetParts* */
  bool any_left;        /* a target has left and is not forgotten yet */
  bool parts_are_exchanged; /* with the other instances */
  GRand *rand;
};

/* The current bounds on the target for this request. */
QuotaBounds target_bounds(const Target *t, double now,
                          const TargetRequest *request);
/* How long work takes there now relative to the usual time, by the target's
   report. */
double target_pace(const Target *t, double now);

#endif
