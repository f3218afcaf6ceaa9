/* tally.h: the count that one instance, the counting instance, keeps of the
   whole fleet's work at some targets; pure. In a large fleet the instances
   can't report each request to all others, so each target has one counting
   instance: instances that send work there report it, and query the count a
   few milliseconds before they send. The answer is accurate to within those
   milliseconds, while a target's own report is some hundred milliseconds old.

   The load that this is for: 295 instances with two requests per second each
   share 160 engines. No instance knows what the others send, equal prompts are
   sent to one engine for their common parts, and while all prompts are new many
   are delayed on engines that are hardly in use.

   The same count determines what a bounded target (quota.h) may still get: in
   a fleet of any size an instance requests a permit, the permission to send
   one request, before it sends there. */
#ifndef ROUTE_TALLY_H
#define ROUTE_TALLY_H

#include <stdbool.h>
#include <stdint.h>

#include "route/quota.h"
#include "route/regions.h"

/* Shared parts of a prompt that are reported, from the first one on; usual
   prompts have one or two. */
#define TALLY_MAX_PARTS 8

/* Hashes of the shared parts of a prompt; each covers all parts before it. */
typedef struct TallyParts {
  int n;
  uint64_t names[TALLY_MAX_PARTS];
} TallyParts;

/* The full state of one request at a target, as its sender reports it. The
   next report makes up for a lost one, or the run expires. */
typedef struct TallyRun {
  uint64_t target;   /* target_hash of it */
  uint64_t counter;  /* identifies the counting instance; kept by the sender */
  uint64_t run;      /* the sender's number of the request */
  bool open;         /* false: it has ended */
  int64_t tokens;    /* of its prompt that remain to be read */
  TallyParts parts;  /* empty: unchanged */
  RegionSet regions; /* regions the request is bound to; kept by the sender */
} TallyRun;

typedef struct TallyQuery {
  uint64_t number; /* of the query */
  uint64_t target;
  uint64_t counter; /* as in TallyRun */
  TallyParts parts;
  RegionSet regions; /* as in TallyRun */
} TallyQuery;

typedef struct TallyReport {
  uint64_t number;
  uint64_t target;
  int open;   /* number of requests there */
  int starts; /* upper bound of requests sent there in the last second; read by
                 older builds only */
  int64_t tokens;  /* prompt tokens that remain to be read */
  int known_parts; /* number of the queried parts, from the first one on, that
                      were sent there */
  int finished_parts; /* the same, of those that must have been read by now */
} TallyReport;

/* Requests a permit to send one request to a bounded target. */
typedef struct TallyPermitRequest {
  uint64_t number; /* of the permit request */
  uint64_t target;
  uint64_t counter;       /* as in TallyRun, but sent */
  uint64_t run;           /* the number that the request will have as a run */
  QuotaBounds bounds;     /* as known to the sender */
  double reachable_share; /* quota_reachable_share of the sender */
} TallyPermitRequest;

typedef enum {
  TALLY_FULL,    /* the target has no capacity left */
  TALLY_GIVEN,   /* the request may go there */
  TALLY_UNKNOWN, /* what the target got is unknown: the requester's own fixed
                    share applies */
  TALLY_VERDICTS
} TallyVerdict;

typedef struct TallyPermit {
  uint64_t number;
  uint64_t target;
  TallyVerdict verdict;
  double wait_s; /* until a permit may be given; 0 if it is given */
  double limit;  /* of the target, as known to the counting instance */
} TallyPermit;

/* The limit that a target's answer reported. */
typedef struct TallyLimit {
  uint64_t target;
  uint64_t counter; /* as in TallyRun, but sent */
  double limit;     /* requests per second; QUOTA_UNLIMITED */
} TallyLimit;

/* What this instance counts of one service (docs/design/load.md, part 4), over
   its targets that were reported or queried in the last minute. */
typedef struct TallyPoolState {
  int targets;
  double tokens_per_s; /* sum of the rates at which they read prompts */
  double wait_s;       /* sum of the expected waits of a new request there,
                          without the reading of its own prompt */
  double read_per_s;   /* prompt tokens that they read in the last second */
} TallyPoolState;

typedef struct Tally Tally;

/* The parts that may be sent to the counting instance, which is in region
   `at`. */
TallyParts tally_allowed_parts(const TallyParts *parts, RegionSet allowed,
                               RegionSet at);

Tally *tally_new(void);
void tally_free(Tally *t);
/* `from`: text_hash of the sender's id. */
void tally_apply_run(Tally *t, double now, uint64_t from, const TallyRun *r);
/* Sets the number of members. The previous counting instance of a target may
   have given permits that are unknown here. `ours`: whether we count for a
   key; the counts of all others are dropped. No permit is given before the
   first call. */
void tally_set_members(Tally *t, double now, int n,
                       bool (*ours)(void *ctx, uint64_t name), void *ctx);
TallyPermit tally_decide_permit(Tally *t, double now, uint64_t from,
                                const TallyPermitRequest *a);
/* Sets a target's limit from an instance's report. */
void tally_set_limit(Tally *t, double now, const TallyLimit *m);
/* The next limit to send to the other instances: one that changed, or one in
   force that was last sent at least `resend_s` ago; false: none. */
bool tally_next_limit(Tally *t, double now, double resend_s, TallyLimit *m);
TallyReport tally_report(Tally *t, double now, const TallyQuery *a);
/* Fills in the state of the service with the text_hash `pool`; false, with a
   state of zeros: this instance counts none of its targets. Visits all targets
   that this instance counts. */
bool tally_pool_state(Tally *t, double now, uint64_t pool, TallyPoolState *out);
/* Drops what has expired; call it about once a second. */
void tally_sweep(Tally *t, double now);

#endif
