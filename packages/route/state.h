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

/* Assumed time in which a target reads a token of a prompt. It applies until
   an answer has arrived, and where the work of other instances is unknown: a
   line fitted to the measured times would include the time in their queues. */
#define TARGETS_DEFAULT_TOKEN_S RATES_DEFAULT_TOKEN_S

/* The last report of another instance on its work at a target. */
typedef struct OtherLoad {
  int open;       /* number of its requests there */
  int64_t tokens; /* prompt tokens of these that are still to be read */
  double reported_at;
} OtherLoad;

/* What this instance sent to a target and what other instances reported about
   it. In a large fleet most targets have none, since an instance sends requests
   to few of them. */
typedef struct TargetUse {
  QuotaSends sends;   /* our own */
  Parts *parts;       /* prompt parts that it probably has cached */
  GHashTable *others; /* hash of an instance -> OtherLoad */
} TargetUse;

struct Target {
  Targets *set; /* the set that it belongs to */
  Pool *pool;
  TargetInfo info;
  RegionSet region; /* region of its data centre; empty: unknown */
  uint64_t hash;    /* of its id and start time */
  uint64_t version; /* versions_hash of its software version */
  double leave_at;  /* it gets no new work from then on; INFINITY: it stays */
  bool lapsed; /* its entry in the store is missing, perhaps only because the
                  store is unavailable */
  double unlisted_at; /* its entry is missing since then; INFINITY: it is not */
  double unconfirmed_until; /* its entry is back with a restored store */
  /* It stated that it is leaving, in an answer or in an entry that a restored
     store has lost; no entry takes that back. */
  bool stated_leaving;
  bool evacuated; /* its data centre is under evacuation: operators have
                     excluded its targets */
  double cold_until;
  double paused_until; /* it asked for no requests of ours until then */
  /* Before limit_until the counting instance probably gives no permit within
     the target's limit; before full_until it probably gives none at all. */
  double limit_until, full_until;
  /* An ejected target gets no requests. ejection_s: length of the last ejection
     of an unresponsive target; 0: it has answered since. */
  double ejected_until, ejection_s;
  double failure_ratio;    /* failed requests, moving average, 0 to 1 */
  double mean_answer_s;    /* duration of a request, moving average */
  double first_byte_ratio; /* moving average of its first-byte times relative to
                              the pool's */
  int open;                /* number of our own requests there */
  int waiting;            /* number of those whose first byte has not arrived */
  int64_t backlog_tokens; /* uncached prompt tokens of the waiting ones */
  int reported_running, reported_waiting; /* by the target */
  double reported_at;
  double slowdown; /* processing time / usual time, by its report; 0: not
                      reported */
  double limit;    /* requests per second that it accepts from all instances;
                      QUOTA_UNLIMITED: it reports no limit */
  double limit_sent_at; /* when we last sent it to the counting instance */
  bool limit_damaged;   /* the last limit it reported could not be parsed */
  RatesReceived rate;   /* from the counting instance, of managed services */
  TargetUse *use;       /* NULL: this instance has no information yet */
  bool changed; /* our work there changed since we last reported it to the other
                   instances */
};

struct Targets {
  char dc[LIMIT_NAME_BYTES];
  const Regions *regions; /* NULL: unknown */
  RegionSet region;       /* our own */
  Evacuation *evacuation;
  /* The bound on a cold target is cold_overrun_ratio times its rate plus
     cold_extra_per_s; ratio 0 stands for 1. */
  double cold_overrun_ratio, cold_extra_per_s;
  QuotaShare share;    /* our share of the bounds on targets */
  GHashTable *by_id;   /* id -> Target */
  GHashTable *by_hash; /* Target.hash -> Target */
  GHashTable *pools;   /* service -> Pool */
  GPtrArray *retired;  /* Target* of earlier incarnations, which may have open
                          requests */
  GQueue changed_targets; /* Target* whose work is to be reported */
  GQueue parts_to_send;   /* TargetParts* */
  bool any_left; /* a target has left the fleet and still has an entry here */
  bool parts_are_exchanged; /* instances report cached prompt parts to each
                               other */
  GRand *rand;
};

/* Returns the current bounds on the target for this request. */
QuotaBounds target_bounds(const Target *t, double now,
                          const TargetRequest *request);
/* Seconds per token of a pool's targets where no rate of theirs is known: the
   slope of its first-byte line. */
double targets_start_token_s(const Pool *pool);
/* It is leaving, or may be: its entry is missing or not confirmed. */
bool target_may_have_left(const Target *t, double now);
/* Returns processing time / usual time at the target, by its last report; 1
   when there is no recent one. */
double target_slowdown(const Target *t, double now);

#endif
