/* fleet.h: runs the pure cores (members, ledger, records) of one instance: one
   thread for peers and time, a few for the store, blocking calls for request
   threads. */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "kernel/err.h"
#include "ledger/ledger.h"
#include "member/member.h"
#include "once/once.h"
#include "route/loads.h"

typedef struct Fleet Fleet;

typedef struct FleetOptions {
  Member self;
  const char *platform; /* ip:port */
  const char *bind;     /* peer address to bind, tcp://ip:port */
  uint32_t seed;
} FleetOptions;

Fleet *fleet_open(const FleetOptions *o, Err *e);
void fleet_close(Fleet *f);

/* The view changed; called on the peer thread. */
void fleet_on_view(Fleet *f, void (*fn)(void *ctx, const View *v), void *ctx);

/* Another instance's word on a target's load; called on the peer thread. */
void fleet_on_load(Fleet *f, void (*fn)(void *ctx, const LoadsMsg *m),
                   void *ctx);
/* Tells the others of our region. */
void fleet_tell_load(Fleet *f, const LoadsMsg *m);

void fleet_budgets(Fleet *f, const LedgerBudget *list, int n);
/* What our heartbeats say. */
void fleet_table(Fleet *f, uint64_t version);
void fleet_listed(Fleet *f, const MemberSeed *list, int n);
/* A copy, for view_free. */
View *fleet_view(Fleet *f);

/* Reserves; 0 with a typed error when refused. Waits LEDGER_DRAW_WAIT at
   most. */
uint64_t fleet_reserve(Fleet *f, const char *budget, int64_t tokens, Err *e);
void fleet_settle(Fleet *f, const char *budget, uint64_t handle, int64_t used);

/* A request's record. `answer` is filled for ONCE_REPLAY. */
typedef struct FleetRun {
  OnceKey key;
  uint64_t handle;
  char
      target[LIMIT_NAME_BYTES]; /* a lost run of it may go on there; "": none */
} FleetRun;

OnceVerdict fleet_begin(Fleet *f, OnceKey key, uint64_t digest, bool ask,
                        bool repeat, FleetRun *run, OnceAnswer *answer);
/* It was dispatched to `target`. */
void fleet_at(Fleet *f, FleetRun *run, const char *target);
/* Waits until the keeper holds bill and answer, half a second at most. True
   when the request was billed before by another run. */
bool fleet_finish(Fleet *f, FleetRun *run, const OnceBill *bill,
                  const OnceAnswer *answer);
void fleet_unknown(Fleet *f, FleetRun *run);
void fleet_abort(Fleet *f, FleetRun *run);

LedgerSums fleet_sums(Fleet *f);

/* Planned stop: no longer a home, everything goes back. */
void fleet_drain(Fleet *f);
bool fleet_drained(Fleet *f);
/* What a stop still waits for: budget lanes, and the records' lane. */
void fleet_waits(Fleet *f, int *budgets, int *records);

#endif
