/* route.h: chooses the target of a request; the pure core for the targets of
   one model or one plain service, from the view of one instance.
   docs/ROUTING.md. */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

/* Bytes of prompt in one block of the prefix hash. */
#define ROUTE_BLOCK_BYTES 256
#define ROUTE_MAX_BLOCKS 64 /* blocks that are hashed */

/* A target as the table has it. */
typedef struct RouteTarget {
  char name[LIMIT_NAME_BYTES];
  char url[LIMIT_NAME_BYTES]; /* ip:port */
  char dc[LIMIT_NAME_BYTES];
  char adapters[LIMIT_ADAPTERS_BYTES]; /* loaded ones, separated by ';' */
  char version[LIMIT_NAME_BYTES];
  int slots;
  int loadable_adapters; /* further adapters that the fleet may load there */
} RouteTarget;

/* What is known of the request. */
typedef struct RouteRequest {
  int64_t tokens;                    /* upper bound for the prompt */
  uint64_t blocks[ROUTE_MAX_BLOCKS]; /* hash of the prompt up to the end of each
                                        block */
  int n_blocks;
  const char *tried[4];  /* targets that already failed it, NULL-terminated */
  const char *preferred; /* use this target if possible; NULL: any */
  /* requirements; NULL or "": any */
  const char *adapter, *version;
  const char *dcs; /* data centres it may run in, separated by ';' */
} RouteRequest;

typedef struct RouteChoice {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  /* the reasons, for the log */
  int candidates, excluded_count;
  double cost, path, prefill, wait, margin; /* seconds */
  int64_t cached; /* tokens of the prompt probably cached there */
  bool probe;
} RouteChoice;

typedef enum {
  ROUTE_OK,
  ROUTE_REFUSED, /* it reported that it did not run the request, or could not be
                    reached */
  ROUTE_FAILED   /* error, cut-off answer or no answer */
} RouteOutcome;

/* ROUTE_OURS, and the policies it is compared with. The product uses only
   ROUTE_OURS. */
typedef enum {
  ROUTE_OURS,
  ROUTE_ROUND_ROBIN,
  ROUTE_LEAST_LOADED,
  ROUTE_NEAREST,
  ROUTE_PREFIX,
  ROUTE_POLICIES
} RoutePolicy;

typedef struct Route Route;

Route *route_new(uint32_t seed, RoutePolicy policy);
void route_free(Route *r);
/* Targets that remain keep their state. */
void route_set_targets(Route *r, const RouteTarget *list, int n);
/* Sets how many instances choose among these targets, including this one. */
void route_set_instances(Route *r, int n);
/* Sets the adapters that the fleet ordered the target to load. */
void route_set_assigned_adapters(Route *r, const char *name,
                                 const char *adapters);
/* The platform reports that a target is leaving, or no longer is. */
void route_set_leaving(Route *r, const char *name, bool leaving);
#define ROUTE_PATH_UNKNOWN (-1.0)

/* Applies a load report. `path_s`: latency of the path, for all targets of the
   data centre; ROUTE_PATH_UNKNOWN: another instance received the report. */
void route_apply_load(Route *r, double now, const char *name, int running,
                      int waiting, double path_s);
/* A missing load report counts as a failure. */
void route_note_unresponsive(Route *r, double now, const char *name);
/* Chooses a target and counts the request as dispatched there; false: no
   target may take it. */
bool route_pick(Route *r, double now, const RouteRequest *request,
                RouteChoice *c);
/* Ends a dispatch. `first_s`, `all_s`: time to the first token and in total, 0
   if unknown. */
void route_note_done(Route *r, double now, const char *name,
                     RouteOutcome outcome, int64_t uncached_tokens,
                     double first_s, double all_s);
/* Estimated number of free slots; negative when targets queue. */
int route_free_slots(const Route *r, double now);
/* Estimate of the requests per second that the targets can finish. */
double route_max_rate(const Route *r);
/* Whether a retry for `customer` after a failure of `target` is allowed. It
   uses the budgets of the pool, the target and the customer, which successes
   refill. */
bool route_may_retry(Route *r, const char *customer, const char *target);
void route_note_success(Route *r, const char *customer);
/* Number of ejections so far. */
int64_t route_ejections(const Route *r);
int route_count(const Route *r);

/* The state of a target, for operators. */
typedef struct RouteState {
  RouteTarget target;
  const char *assigned_adapters; /* interned */
  int running, waiting, own_open;
  bool leaving, ejected;
  double report_age_s, path_s;
  int64_t failures;
} RouteState;

RouteState route_state(const Route *r, double now, int i);

/* Hashes the first blocks of a prompt; returns how many. */
int route_hash_blocks(const char *prompt, size_t len, uint64_t *blocks);

#endif
