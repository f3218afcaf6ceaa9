/* allocations.h: selects, for each managed service, the instance that divides
   its capacity between customers (the allocator, route/allocation.h), reports
   the demand of this instance to it, and keeps its answers.
   docs/design/shares.md has the failures. */
#ifndef FLEET_ALLOCATIONS_H
#define FLEET_ALLOCATIONS_H

#include "kernel/limits.h"
#include "member/view.h"
#include "route/admission.h"
#include "route/allocation.h"
#include "route/tally.h"

typedef struct Allocations Allocations;

/* A service whose capacity is divided. */
typedef struct AllocationsService {
  char name[LIMIT_NAME_BYTES];
  double objective_s; /* the shortest of its routes */
} AllocationsService;

/* A decision about a request of this instance. */
typedef struct AllocationsDecision {
  uint64_t service, customer; /* text_hash of the names */
  int priority;               /* as it is sent to targets */
  int64_t prompt_tokens;
  int64_t unread_tokens; /* of these, that the chosen target has not cached; -1:
                            not known, as no target was chosen */
  bool admitted;
  bool rejected; /* after `admitted`, if the target rejected the request */
  bool retry_promised; /* the caller can follow the Retry-After */
} AllocationsDecision;

/* `to` is another instance than this one. */
typedef struct AllocationsEvents {
  void (*send_demand)(void *ctx, const Member *to, const AllocationDemand *m);
  void (*send_answer)(void *ctx, const Member *to, const AllocationAnswer *m);
  /* As tally_pool_state. */
  bool (*pool_state)(void *ctx, uint64_t service, TallyPoolState *out);
  /* For log lines; NULL: unknown. */
  const char *(*customer_name)(void *ctx, uint64_t customer);
} AllocationsEvents;

Allocations *allocations_new(const char *self, const AllocationsEvents *ev,
                             void *ctx);
void allocations_free(Allocations *t);
/* Sets the known instances; `v` is borrowed, until the next call. */
void allocations_set_members(Allocations *t, const View *v);
/* Sets the services; with none nothing is counted, sent or answered. */
void allocations_set_services(Allocations *t, const AllocationsService *list,
                              int n);
/* This process was paused: what it divided and was told is out of date. */
void allocations_note_pause(Allocations *t, double now);
void allocations_note_decision(Allocations *t, double now,
                               const AllocationsDecision *d);
void allocations_receive_demand(Allocations *t, double now, const Member *from,
                                const AllocationDemand *m);
void allocations_receive_answer(Allocations *t, double now,
                                const AllocationAnswer *m);
/* Sends reports that are due, and updates what is divided here; to be called
   at least each 0.1 s. */
void allocations_tick(Allocations *t, double now);
/* Sets `out` to what the last answer states about a customer. */
void allocations_cutoff(const Allocations *t, double now, uint64_t service,
                        uint64_t customer, AdmissionCutoff *out);
/* Approximate bytes of memory of the services that are divided here. */
int64_t allocations_bytes(const Allocations *t);

#endif
