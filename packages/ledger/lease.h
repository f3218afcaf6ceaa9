/* lease.h: what one instance may spend of each customer's budget; pure.

   The store holds one object for each budget: how much each instance was given
   in all, and what instances that ended had spent. Their sum never exceeds the
   budget, and an instance spends no more than it was given, so the budget
   holds whoever is cut off, paused or killed. What a killed instance had left
   is lost to the budget. docs/PLATFORM.md, "Budgets". */
#ifndef LEDGER_LEASE_H
#define LEDGER_LEASE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"

typedef struct Leases Leases;

typedef enum {
  LEASE_OK,
  LEASE_WAIT, /* ask again when the store has answered */
  LEASE_EMPTY,
  LEASE_STORE /* not enough at hand, and the store does not answer */
} LeaseVerdict;

/* The next call to the store for one budget. */
typedef enum { LEASE_NOTHING, LEASE_READ, LEASE_WRITE } LeaseCallKind;
typedef struct LeaseCall {
  LeaseCallKind kind;
  const char *customer;
  uint64_t revision; /* of LEASE_WRITE; 0: the object must be new */
  json_t *content;   /* of LEASE_WRITE; owned by the receiver */
} LeaseCall;

/* `self` names this start of the instance. */
Leases *leases_new(const char *self);
void leases_free(Leases *l);
/* Another budget; CONF_UNLIMITED for none. */
void leases_budget(Leases *l, const char *customer, int64_t tokens);
/* How many instances draw on the budgets. */
void leases_instances(Leases *l, int n);

/* `again`: the same request asked before and was told to wait. */
LeaseVerdict leases_reserve(Leases *l, double now, const char *customer,
                            int64_t tokens, bool again);
/* A reservation of `tokens` ends with `used` of them spent. */
void leases_settle(Leases *l, const char *customer, int64_t tokens,
                   int64_t used);
/* A request that waited went away. */
void leases_forget(Leases *l, const char *customer, int64_t tokens);

/* The call that is due now for some budget; false when none is. Its result
   has to be told before that budget gets another. */
bool leases_call(Leases *l, double now, LeaseCall *out);
/* `content` and `revision` as the store now has them (NULL and 0: it is not
   there); after a failure they are passed over. */
void leases_result(Leases *l, double now, const char *customer, ErrKind kind,
                   uint64_t revision, json_t *content);
/* Planned stop: everything that is free goes back. */
void leases_drain(Leases *l);
bool leases_drained(const Leases *l);

typedef struct LeaseState {
  int64_t budget, free, reserved, settled;
  int64_t given; /* to all instances, as last read */
} LeaseState;
LeaseState leases_state(const Leases *l, const char *customer);

#endif
