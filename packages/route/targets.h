/* targets.h: the known targets, what this instance has learned about each, and
   the choice of the target for a request; pure. docs/PLATFORM.md, "Choice". */
#ifndef ROUTE_TARGETS_H
#define ROUTE_TARGETS_H

#include <glib.h>
#include <stdbool.h>

#include "flow/ask.h"
#include "kernel/limits.h"
#include "kernel/text.h"
#include "route/division.h"
#include "route/regions.h"
#include "route/tally.h"

/* A target as its entry in the store describes it. */
typedef struct TargetInfo {
  char id[LIMIT_NAME_BYTES]; /* unique; a restarted target may reuse it */
  int64_t start_ms;          /* start time, Unix milliseconds; 0: unknown */
  char service[LIMIT_NAME_BYTES];
  char addr[LIMIT_NAME_BYTES]; /* ip:port */
  char dc[LIMIT_NAME_BYTES];
  char version[LIMIT_NAME_BYTES]; /* of its software; "": not known */
  int slots;
  bool leaving;
  double cold_s; /* it remains slow for this much longer */
  uint64_t revision;
} TargetInfo;

typedef struct Targets Targets;
typedef struct Target Target;

Targets *targets_new(const char *dc, uint32_t seed);
void targets_free(Targets *s);
/* Sets the map of data centres to regions. Call it before the first target is
   added; `r` must outlive `s`. */
void targets_set_regions(Targets *s, const Regions *r);

/* == membership == */

/* Adds or updates a target; ignores an entry older than the known one. Returns
   true if the target restarted under its id: it then runs none of its earlier
   requests and its cache is empty. */
bool targets_set(Targets *s, double now, const TargetInfo *t);
/* Whether the entry is newer than the known one. Several instances read the
   store, so this distinguishes an update from a repetition of one already
   received. */
bool targets_is_newer(const Targets *s, const TargetInfo *t);
/* The target's entry disappeared. `lapsed`: perhaps only because the store was
   unavailable; the target then stays usable for LAPSED_USE_S. */
void targets_remove(Targets *s, double now, const char *id, bool lapsed);
/* Removes every target whose id is not in the set `keep`. */
void targets_retain_only(Targets *s, double now, GHashTable *keep, bool lapsed);
/* Starts or ends the evacuation of a data centre: its targets get no new
   requests while it lasts. Returns false if nothing changed. */
bool targets_set_evacuated(Targets *s, const char *dc, bool on);
/* Evacuates exactly the data centres in the set of names `dcs`. Returns
   whether anything changed. */
bool targets_set_evacuated_dcs(Targets *s, GHashTable *dcs);
/* Sets the operators' bound on requests per second to a cold target: `overrun`
   times its rate, plus `extra` (quota.h). */
void targets_set_cold_bound(Targets *s, double overrun, double extra);
/* Sets our rank among the `of` instances, which determines our share of the
   bounds on each target. */
void targets_set_rank(Targets *s, double now, int rank, int of);
/* How often choices and the sorting of pools have visited a target: a measure
   of their cost. */
uint64_t targets_visits(const Targets *s);
/* How many known targets are in a data centre. */
int targets_count_in_dc(const Targets *s, const char *dc);
/* target_hash of the target known by that id; 0: none. */
uint64_t targets_hash_by_id(const Targets *s, const char *id);
/* Calls `fn` for each known target at an address, including those that have
   left. */
void targets_for_each_at_addr(Targets *s, const char *addr,
                              void (*fn)(void *ctx, Target *t), void *ctx);
/* Whether another target is known at its address whose entry is newer. */
bool targets_have_successor(const Targets *s, const Target *t);
/* Another target now has its address. */
void targets_mark_replaced(Targets *s, double now, Target *t);
/* Whether targets of several software versions of a service (text_hash of its
   name) are known, those that left recently included. */
bool targets_have_versions(const Targets *s, uint64_t service);
/* The same as versions_sole, for a service. */
bool targets_sole_version(const Targets *s, double now, uint64_t service,
                          double memory_s, uint64_t *version);
/* The same as versions_only, for a service. */
bool targets_only_version(const Targets *s, uint64_t service,
                          uint64_t *version);
/* Calls `fn` with text_hash of the name of each service that had a target. */
void targets_for_each_service(const Targets *s,
                              void (*fn)(void *ctx, uint64_t service),
                              void *ctx);
/* Forgets targets that have left and have no open requests. */
void targets_sweep(Targets *s, double now);
int targets_count(const Targets *s, const char *service);
int targets_count_all(const Targets *s);
/* The address of a random target that has not left; NULL: there is none. */
const char *targets_random_addr(Targets *s);

/* == one dispatch == */

/* A request that needs a target. */
typedef struct TargetRequest {
  const char *service;
  const RequestInfo *info;
  bool engine;
  double cold_rate_per_s; /* of a cold target; 0: the same as of a warm one */
  double move_token_s; /* time to move the cached state of one token; 0: it is
                          not moved */
  double max_pause_s;  /* lowest limit of pauses among the streams of the
                          service; 0: unknown */
  RegionSet regions;   /* regions the request is bound to */
  const uint64_t *version; /* software version that began the stream; NULL: the
                              request begins one */
  bool permits_exhausted;  /* it may request no more permits: bounded targets
                              count as full */
  bool rated;              /* rates of targets decide (MANAGED_RATES) */
  int slots;    /* engine: requests that a target runs at the same time */
  bool isolate; /* it may end its target: choose the one with the fewest other
                   requests */
  const Target *const *tried;
  int n_tried;
  const TallyReport *reports; /* on the targets of targets_to_query; if there
                                 are any, only these are candidates */
  int n_reports;
} TargetRequest;

/* Work at a target: our own, and what other instances reported. */
typedef struct TargetLoad {
  int open;       /* number of requests */
  int64_t tokens; /* prompt tokens to be read before their first byte */
} TargetLoad;

/* Why no target was chosen. */
typedef enum {
  TARGET_NONE_AVAILABLE,  /* there are none, or all were tried */
  TARGET_NONE_OF_VERSION, /* the rest has other software versions than the one
                             that began the stream */
  TARGET_NONE_IN_REGION,  /* the rest is outside the request's regions */
  TARGET_NONE_EVACUATED,  /* the rest is evacuated */
  TARGET_NONE_PAUSED,     /* the rest has asked for no requests for a time */
  TARGET_NONE_FULL,       /* the rest is bounded and has no capacity left */
  TARGET_NONE_COUNT
} TargetNoneReason;

typedef struct TargetChoice {
  Target *target;        /* NULL: none was chosen */
  TargetNoneReason none; /* why none was chosen */
  double retry_after_s; /* for TARGET_NONE_PAUSED and TARGET_NONE_FULL: when the
                           caller may retry */
  QuotaBounds bounds;   /* bounds on the target for this request */
  bool bounded;  /* the bounds apply: the request needs a permit (tally.h) */
  double wait_s; /* predicted time until the first byte */
  /* The prediction uses rates of targets: the target's own, received so long
     ago, or the service's (INFINITY). */
  bool rated;
  double rate_age_s;
  double token_s; /* seconds per token that it uses; 0: no rate */
  /* `load` is that of all instances: of the target's counting instance, or of
     the instances' reports to each other. */
  bool wait_is_reported;
  double own_s; /* engine: part of wait_s for reading the request itself */
  bool is_free; /* nothing is ahead of the request at the target */
  int64_t uncached_tokens; /* the target probably has to read them */
  int64_t moved_tokens;    /* tokens taken from the cache of `donor` */
  const Target *donor;     /* NULL: none */
  TargetLoad load;         /* load of the target at the time of the choice */
  int candidates;
  RegionSet regions; /* regions the request is bound to */
  bool long_prompt;  /* reading it stalls the streams beside it */
  bool serves_long;  /* the target reads long prompts */
} TargetChoice;

/* Targets worth querying for their total load in a fleet whose instances don't
   exchange everything: the homes of the prompt's shared parts (the targets
   that a hash of those parts selects), and a random one, which is likely free
   when the homes are busy. */
#define TARGETS_MAX_QUERIED 3
/* Fills `out` with their hashes and returns how many there are. */
int targets_to_query(Targets *s, double now, const TargetRequest *request,
                     uint64_t out[TARGETS_MAX_QUERIED]);

/* The same for a second query: other random targets than the `n_known` that
   were queried before. */
int targets_to_query_more(Targets *s, double now, const TargetRequest *request,
                          const uint64_t *known, int n_known,
                          uint64_t out[TARGETS_MAX_QUERIED]);

/* A counting instance's estimate for a target; false, without any effect: its
   figures are impossible. */
bool targets_apply_rate(Targets *s, double now, const TallyRate *m);
/* Whether one was received within TARGETS_RATE_REFRESH_S. */
#define TARGETS_RATE_REFRESH_S 0.1
bool targets_rate_is_fresh(const Targets *s, double now, uint64_t target);
/* Fills in what a counting instance has to know of a target but its part in the
   fleet (`managed`, `ours`); `slots` are those of its entry. Returns the name
   of its service; NULL: it is unknown. */
const char *targets_describe(const Targets *s, uint64_t target,
                             TallyTarget *out);

TargetChoice targets_pick(Targets *s, double now, const TargetRequest *request);
/* Whether it may take new work of this instance. */
bool target_is_usable(const Target *t, double now);
/* Whether it gets no new work since it leaves, or since its entry is gone. */
bool target_has_left(const Target *t, double now);
const char *target_id(const Target *t);
const char *target_addr(const Target *t);
const char *target_version_text(const Target *t); /* "": not known */
uint64_t target_version(const Target *t);         /* versions_hash of it */
uint64_t target_hash(const Target *t);            /* of its id and start time */
/* Identifies the instance that counts its work; 0: unknown. */
uint64_t targets_counter(const Targets *s, uint64_t target);
int target_open(const Target *t); /* number of our own requests there */

/* A request is sent to the chosen target. */
void target_note_sent(Target *t, double now, const RequestInfo *request,
                      const TargetChoice *c);
/* Its first byte arrived after `took_s`; `queued_tokens` of other prompts were
   waiting to be read there when the request was sent. */
void target_note_first_byte(Target *t, int64_t uncached_tokens,
                            int64_t queued_tokens, double took_s);

typedef enum {
  TARGET_OK,
  TARGET_FULL,         /* it reported that it did not run the request */
  TARGET_FAILED,       /* it returned an error or a damaged answer */
  TARGET_UNRESPONSIVE, /* it could not be reached or did not answer */
  TARGET_NO_PATH,      /* our path to it failed; no information about it */
  TARGET_ABANDONED     /* we gave up; no information about the target */
} TargetOutcome;

/* The request ended there after `took_s`. `first`: its first byte had
   arrived. */
void target_note_done(Target *t, double now, TargetOutcome how, bool first,
                      int64_t uncached_tokens, double took_s);
/* The path to all targets was found to be interrupted: ends the ejections,
   which were caused by that. */
void targets_end_ejections(Targets *s);
/* The target has ended; its entry will disappear within seconds. */
void target_note_ended(Target *t, double now);
/* The load that the target reports. `slowdown`: processing time there / usual
   time; 0: not reported. */
void target_set_load(Target *t, double now, int running, int waiting,
                     double slowdown);
/* The target reports that it remains cold for `left_s`. */
void target_set_cold(Target *t, double now, double left_s);

/* It states in an answer that it is leaving: it gets no new work, whatever its
   entry says, since it can't write its entry while the store is unavailable.
   Returns false if it did so before. */
bool target_note_leaving(Target *t, double now);
/* It asks not to be sent requests by this instance for `seconds`. A shorter
   time does not end a longer one. */
void target_note_pause(Target *t, double now, double seconds);

/* == bounded targets == */

/* How a reported limit compares with the known one. */
typedef enum {
  TARGET_LIMIT_KNOWN,
  TARGET_LIMIT_REPEAT, /* known, but the counting instance needs a reminder */
  TARGET_LIMIT_CHANGED /* changed, and the counting instance needs it */
} TargetLimitChange;

/* Sets the requests per second that the target accepts from all instances, as
   its answer reports; QUOTA_UNLIMITED: it reports none. */
TargetLimitChange target_set_limit(Target *t, double now, double per_s);
/* The same from another instance's report. Returns the target if the limit
   changed. */
const Target *targets_apply_limit(Targets *s, uint64_t target, double per_s);
/* The limit in its answer is damaged and ignored. Returns whether the previous
   one was sound. */
bool target_note_damaged_limit(Target *t);
/* A permit request for a choice; the caller fills in `number` and `run`. */
TallyPermitRequest target_permit_request(const TargetChoice *c, double now);
/* No permit is available for such a choice within `wait_s`. */
void target_note_full(const TargetChoice *c, double now, double wait_s);
/* For when the counting instance does not answer or has no count: whether our
   own fixed share allows one more request. */
bool target_may_use_own_share(const TargetChoice *c, double now);

TargetLoad target_current_load(const Target *t, double now);

/* == work of the other instances == */

/* All work of one instance at a target. Since it is a total, the next message
   makes up for a lost one. */
typedef struct TargetWork {
  uint64_t target; /* target_hash of it */
  int open;        /* number of requests */
  int64_t tokens;  /* prompt tokens to be read before their first byte */
} TargetWork;

/* Shared prompt parts that one instance sent to a target. */
typedef struct TargetParts {
  uint64_t target; /* target_hash of it */
  int n;
  uint64_t names[REQUEST_MAX_PARTS];
} TargetParts;

/* Whether all instances exchange prompt parts and their work. If not, equal
   prompts meet at a home that all instances compute alike, nothing is moved
   and no pool is divided. */
void targets_set_parts_exchanged(Targets *s, bool exchanged);
/* The next parts to send to the other instances; false: none. */
bool targets_next_parts(Targets *s, TargetParts *m);
void targets_apply_parts(Targets *s, double now, const TargetParts *m);

/* A stream that was sent there beside long prompts has ended. `stalled`: one of
   its pauses was longer than its route allows. */
void target_note_stream(Target *t, double now, bool stalled);

/* What one instance observed of a pool. */
typedef struct TargetsPoolReport {
  uint64_t pool; /* text_hash of the service */
  DivisionReport report;
} TargetsPoolReport;

/* Our observations of the `i`-th pool; false: there are no more pools. */
bool targets_pool_report(Targets *s, double now, int i, TargetsPoolReport *w);
void targets_apply_pool_report(Targets *s, double now, uint64_t from,
                               const TargetsPoolReport *w);

/* Our own work at the next target where it changed since the last call; false:
   there is none. */
bool targets_next_work(Targets *s, TargetWork *w);
/* Instance `from` (hash of its id) reports its work. */
void targets_apply_work(Targets *s, double now, uint64_t from,
                        const TargetWork *w);

#endif
