/* state.h: the insides of targets, shared by targets.c and choose.c only. */
#ifndef ROUTE_STATE_H
#define ROUTE_STATE_H

#include "route/division.h"
#include "route/evacuation.h"
#include "route/fit.h"
#include "route/parts.h"
#include "route/pool.h"
#include "route/quota.h"
#include "route/targets.h"

/* Seconds that a token takes to be read, before an answer was seen, and where
   others' work is not known: there a fitted line would learn their queues. */
#define TARGETS_TOKEN_S (1 / 45000.0)

/* What another instance told last. */
typedef struct Other {
  int open;
  int64_t tokens;
  double at;
} Other;

/* What we did with a target, and what others told of it. Most of a large
   fleet's targets never get any: they are known by their entries alone. */
typedef struct Use {
  QuotaSends sends; /* ours */
  Parts *parts;
  GHashTable *others; /* hash of an instance -> Other */
} Use;

struct Target {
  Targets *set;
  Pool *pool;
  TargetInfo info;
  RegionSet region; /* that it lies in; empty: not known */
  uint64_t hash;    /* of this life: its id and when it was born */
  double leave_at;  /* no new work from here on; INFINITY: stays */
  bool lapsed;      /* its entry is missing, perhaps by an outage only */
  bool evacuated;   /* its data centre is */
  double cold_until;
  /* Who counts there gives no permit within its limit before this, as we know;
     nor any. */
  double limit_until, full_until;
  double aside_until, aside_s;
  double fail;     /* mean of failures, 0 to 1 */
  double took_s;   /* mean time of an answer */
  double slow;     /* mean time of its first bytes, 1: as the pool's */
  int open;        /* our own requests there */
  int waiting;     /* of these, without a first byte */
  int64_t backlog; /* tokens that these have to read */
  int told_running, told_waiting;
  double told_at;
  double pace;  /* how long work took there then, 1: as usual; 0: not told */
  double limit; /* requests a second that it takes; QUOTA_UNLIMITED */
  double limit_told_at; /* by us, to who counts there */
  bool limit_damaged;   /* its last word on it could not be read */
  Use *use;             /* NULL: none yet */
  bool changed;         /* our work there, since it was told */
};

struct Targets {
  char dc[LIMIT_NAME_BYTES];
  const Regions *regions; /* NULL: none are known */
  RegionSet region;       /* our own */
  Evacuation *evacuation;
  double cold_overrun, cold_extra; /* targets_cold_bound */
  QuotaShare share;                /* of what bounds a target */
  GHashTable *by_id;
  GHashTable *by_hash; /* the same targets */
  GHashTable *pools;   /* service -> Pool */
  GPtrArray *retired;  /* former lives, whose requests may still be open */
  GQueue changed;      /* Target* */
  GQueue parts_news;   /* TargetParts* */
  bool any_left;       /* a target has left and is not forgotten yet */
  bool parts_are_told; /* by the other instances, too */
  GRand *rand;
};

/* What bounds it now for what is to be placed. */
QuotaBounds target_bounds(const Target *t, double now, const TargetAsk *ask);
/* How long work takes there now, by what the target said; 1: as usual. */
double target_pace(const Target *t, double now);

#endif
