/* allocation.h: division of the capacity of one service between customers while
   it is short of capacity; pure. One instance, the allocator of the service,
   receives the demand that each instance saw and answers with cutoffs.

   The load that this is for: 72 or 86 instances before 140 or 90 engines with
   16 slots, 24 customers. One customer sends 2 to 7 times its usual load for
   6 s, or one route gets 1.5 to 2.6 times its usual load for 3 to 10 s. Without
   a division the flood takes the queues of all engines: with two customers of 5
   requests per second beside one of 60, the fleet served 0.02 and 0.06 of the
   quiet customers' requests on time (docs/design/load.md).

   The thresholds come from what callers need. A service counts as overloaded
   when the expected wait exceeds half of its shortest objective: the other half
   is left for the reading of the prompt and for the error of the expectation.
   Demand is smoothed over 1 s, so that a customer with 5 requests per second is
   not taken for one with 10, and a flood of 6 s is seen in its first second. */
#ifndef ROUTE_ALLOCATION_H
#define ROUTE_ALLOCATION_H

#include <stdbool.h>
#include <stdint.h>

#define ALLOCATION_MAX_ROWS 32    /* of one report */
#define ALLOCATION_MAX_CUTOFFS 64 /* of one answer */
/* Priorities are those that targets get: the customer's times this, plus the
   route's, which are 0, 1 and 2. */
#define ALLOCATION_ROUTE_PRIORITIES 3
#define ALLOCATION_PRIORITY_LIMIT 30000 /* above all priorities */
#define ALLOCATION_STEP_S 0.25
/* An answer is not used when the report that it answers is older. */
#define ALLOCATION_MAX_AGE_S 1.0
/* Retries per second that are stated when no capacity is free; 0 would mean
   that the rate is unknown. */
#define ALLOCATION_MIN_RETRIES_PER_S 0.01

/* Tokens per second of one customer and priority. */
typedef struct AllocationRow {
  uint64_t customer; /* text_hash of its name; of "" for open routes */
  int priority;
  double asked, admitted;
} AllocationRow;

/* What an instance saw of a service since its previous report. */
typedef struct AllocationDemand {
  uint64_t service; /* text_hash of its name */
  uint64_t number;  /* of the report; increases with each */
  double period_s;  /* since the previous report */
  int n;
  AllocationRow rows[ALLOCATION_MAX_ROWS]; /* the largest */
  double rest_asked, rest_admitted;        /* tokens per second of all others */
  double rejected; /* requests; with the next: in the period */
  double promised; /* of these, with a Retry-After that the caller can follow */
  /* Of the targets that the instance counts (route/tally.h): */
  int targets;
  double reading_per_s; /* sum of the rates at which they read prompts */
  double wait_s;        /* sum of their expected waits */
  double read_per_s;    /* prompt tokens that they read in the last second */
} AllocationDemand;

typedef struct AllocationCutoff {
  uint64_t customer;
  /* The whole part is the first priority that is not fully admitted, the
     fraction is the share of that priority that is admitted. */
  double cutoff;
} AllocationCutoff;

/* The allocator's answer to a report. */
typedef struct AllocationAnswer {
  uint64_t service;     /* as in AllocationDemand */
  uint64_t number;      /* of the report; 0: of none */
  bool is_short;        /* of capacity */
  double age_s;         /* of the division */
  double retries_per_s; /* that the instance may promise; 0: unknown */
  double retries_in_s;  /* from when they may return */
  double report_s;      /* until the next report */
  int n;
  AllocationCutoff cutoffs[ALLOCATION_MAX_CUTOFFS]; /* largest excess first */
} AllocationAnswer;

/* The state for log lines. */
typedef struct AllocationSummary {
  bool is_short;
  double capacity, demand; /* tokens per second */
  double wait_s;           /* mean expected wait of the targets */
  int instances, targets;  /* that report, and that are reported */
  int customers;           /* with demand */
  int held;                /* customers above their share */
} AllocationSummary;

/* What a step changed. After any but the first, all instances are to be told at
   once: with their next report they would learn of it up to 3.5 s later. */
typedef enum {
  ALLOCATION_SAME,
  ALLOCATION_WATCHED, /* reports are now requested more often */
  ALLOCATION_SHORT,   /* the service became short of capacity */
  ALLOCATION_AMPLE    /* it is no longer short of it */
} AllocationChange;

typedef struct Allocation Allocation;

Allocation *allocation_new(uint64_t service);
void allocation_free(Allocation *a);
/* Sets the shortest objective of the service's routes, in seconds. */
void allocation_set_objective(Allocation *a, double seconds);
/* Applies a report of the instance `from` (text_hash of its id). A report with
   an invalid value in its head has no effect, nor has an invalid row. A report
   that was sent before the last one of the same instance is discarded. Returns
   the number of invalid values. */
int allocation_receive(Allocation *a, double now, uint64_t from,
                       const AllocationDemand *m);
/* Updates capacity and division if a step is due. */
AllocationChange allocation_step(Allocation *a, double now);
/* Sets `out` to the answer to the last report `m` of the instance `from`; NULL:
   it is no longer at hand. In a large fleet there is room for few cutoffs:
   those of the report's customers come first. */
void allocation_answer(const Allocation *a, double now, uint64_t from,
                       const AllocationDemand *m, AllocationAnswer *out);
AllocationSummary allocation_summary(const Allocation *a);
/* Whether no report has arrived for so long that nothing is known. */
bool allocation_is_expired(const Allocation *a, double now);
/* Approximate bytes of memory. */
int64_t allocation_bytes(const Allocation *a);

/* What decides when an instance sends its next report. */
typedef struct AllocationPace {
  double stated_s;    /* report_s of the last answer; 0: none */
  double objective_s; /* as in allocation_set_objective */
  double wait_s;      /* mean expected wait of the targets counted here */
  int instances;
  bool rejected; /* a request, since the last report */
} AllocationPace;

/* Returns the seconds between two reports of an instance. If a request was
   rejected or targets have to wait, the report is not to wait until the
   allocator learns of it from others. */
double allocation_report_interval_s(const AllocationPace *p);
/* Whether a value in a report or an answer is finite, not negative and at most
   `max`. */
bool allocation_is_valid(double value, double max);

#endif
