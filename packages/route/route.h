/* route.h: which target takes a request; the pure core for the targets of one
   model or one plain service, as one instance sees them. docs/ROUTING.md. */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

#define ROUTE_BLOCK 256 /* bytes of prompt in one block of the prefix hash */
#define ROUTE_BLOCKS 64 /* blocks looked at */

/* A target as the table has it. */
typedef struct RouteTarget {
  char name[LIMIT_NAME_BYTES];
  char url[LIMIT_NAME_BYTES]; /* ip:port */
  char dc[LIMIT_NAME_BYTES];
  char adapters[LIMIT_ADAPTERS_BYTES]; /* loaded ones, separated by ';' */
  char version[LIMIT_NAME_BYTES];
  int slots;
  int loads; /* adapters that the fleet may load there besides */
} RouteTarget;

/* What is known of the request. */
typedef struct RouteAsk {
  int64_t tokens;                /* bound of the prompt */
  uint64_t blocks[ROUTE_BLOCKS]; /* hash of the prompt up to each block */
  int n;
  const char *tried[4]; /* targets that failed it already; NULL ends */
  const char *prefer;   /* this one if it may take it at all; NULL: any */
  /* what it needs; NULL or "": any */
  const char *adapter, *version;
  const char *dcs; /* data centres it may run in, separated by ';' */
} RouteAsk;

typedef struct RouteChoice {
  char name[LIMIT_NAME_BYTES], url[LIMIT_NAME_BYTES];
  /* the reason, for the log */
  int candidates, left_out;
  double cost, path, prefill, wait, margin; /* seconds */
  int64_t cached;                           /* tokens thought to be cached */
  bool probe;
} RouteChoice;

typedef enum {
  ROUTE_OK,
  ROUTE_REFUSED, /* said it did not run, or could not be reached */
  ROUTE_FAILED   /* error, cut or silence */
} RouteOutcome;

/* The policies that ours is measured against; the product uses ROUTE_OURS. */
typedef enum {
  ROUTE_OURS,
  ROUTE_ROUND_ROBIN,
  ROUTE_LEAST,
  ROUTE_NEAREST,
  ROUTE_PREFIX,
  ROUTE_POLICIES
} RoutePolicy;

typedef struct Route Route;

Route *route_new(uint32_t seed, RoutePolicy policy);
void route_free(Route *r);
/* Targets that stay keep what is known of them. */
void route_targets(Route *r, const RouteTarget *list, int n);
/* How many instances choose among these targets, ourselves included. */
void route_peers(Route *r, int n);
/* Adapters that the target has loaded by the fleet's order. */
void route_given(Route *r, const char *name, const char *adapters);
/* The platform says that a target leaves, or no longer. */
void route_leaving(Route *r, const char *name, bool leaving);
#define ROUTE_PATH_UNKNOWN (-1.0)

/* A load report, `path_s` seconds away: the path to all targets of its data
   centre. ROUTE_PATH_UNKNOWN: another instance asked. */
void route_report(Route *r, double now, const char *name, int running,
                  int waiting, double path_s);
/* A report that did not come counts as a failure. */
void route_silent(Route *r, double now, const char *name);
/* False when no target may take it. The choice counts as dispatched. */
bool route_pick(Route *r, double now, const RouteAsk *ask, RouteChoice *c);
/* Ends a dispatch: seconds to the first token and in all, 0 if unknown. */
void route_done(Route *r, double now, const char *name, RouteOutcome outcome,
                int64_t fresh_tokens, double first_s, double all_s);
/* Slots that are thought to be free now; below 0 when targets queue. */
int route_room(const Route *r, double now);
/* Requests a second that the targets finish at most, by what was seen. */
double route_rate(const Route *r);
/* A retry for `customer` after `target` failed is allowed: spends from the
   budgets of the pool, the target and the customer, which successes fill. */
bool route_may_retry(Route *r, const char *customer, const char *target);
/* A request of `customer` succeeded. */
void route_succeeded(Route *r, const char *customer);
/* Ejections so far. */
int64_t route_ejections(const Route *r);
int route_count(const Route *r);

/* One line of state for operators. */
typedef struct RouteState {
  RouteTarget target;
  const char *given; /* interned */
  int running, waiting, own;
  bool leaving, ejected;
  double age, path_s;
  int64_t failures;
} RouteState;

RouteState route_state(const Route *r, double now, int i);

/* Hashes of the first blocks of a prompt. */
int route_blocks(const char *prompt, size_t len, uint64_t *blocks);

#endif
