/* fleet.h: runs the cores (modules without I/O) for membership, ledger and
   request records of one instance with one thread for peer messages and timers
   and a few for the store. Request threads use blocking calls. */
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
  const char *platform; /* ip:port of the platform's store */
  const char *bind;     /* peer address to bind, tcp://ip:port */
  uint32_t seed;        /* of the random number generators */
  size_t kept_bytes;    /* that records of requests may take */
  size_t bill_bytes;    /* that bills may take that are not in the store yet */
} FleetOptions;

Fleet *fleet_open(const FleetOptions *o, Err *e);
void fleet_close(Fleet *f);

/* Sets the callback for a changed view; it is called on the peer thread. */
void fleet_on_view(Fleet *f, void (*fn)(void *ctx, const View *v), void *ctx);

/* Sets the callback for another instance's report on a target's load; it is
   called on the peer thread. */
void fleet_on_load(Fleet *f, void (*fn)(void *ctx, const LoadsMsg *m),
                   void *ctx);
/* Sends a load report to the other instances of the region. */
void fleet_send_load(Fleet *f, const LoadsMsg *m);

void fleet_set_budgets(Fleet *f, const LedgerBudget *list, int n);
/* Sets the version of the configuration table in force here, which heartbeats
   carry. */
void fleet_set_table_version(Fleet *f, uint64_t version);
/* Applies the platform's list of instances. */
void fleet_set_listed_members(Fleet *f, const MemberSeed *list, int n);
/* Returns a copy; free it with view_free. */
View *fleet_copy_view(Fleet *f);

/* Reserves tokens of a budget and returns a handle; 0 with a typed error when
   refused. Waits at most LEDGER_DRAW_WAIT_S. */
uint64_t fleet_reserve(Fleet *f, const char *budget, int64_t tokens, Err *e);
/* Ends a reservation; `used` is the number of tokens spent. */
void fleet_settle(Fleet *f, const char *budget, uint64_t handle, int64_t used);

/* One run of a request that has a record, which keeps the request from being
   billed twice. */
typedef struct FleetRun {
  OnceKey key;
  uint64_t handle;
  char target[LIMIT_NAME_BYTES]; /* where a lost run may be resumed; "": none */
} FleetRun;

/* Decides whether the request may run. `answer` is filled for ONCE_REPLAY. For
   `has_caller_key` and `repeatable` see once_begin. */
OnceVerdict fleet_begin(Fleet *f, const char *customer, OnceKey key,
                        uint64_t digest, bool has_caller_key, bool repeatable,
                        FleetRun *run, OnceAnswer *answer);
/* Records that the run was dispatched to `target`. */
void fleet_note_dispatch(Fleet *f, FleetRun *run, const char *target);
/* Waits at most half a second until the keeper (the instance that holds the
   request's record) has bill and answer. True when another run of the request
   was billed before. */
bool fleet_finish(Fleet *f, FleetRun *run, const OnceBill *bill,
                  const OnceAnswer *answer);
/* Ends a run that was dispatched, with an unknown outcome or an answer that was
   cut off. It is not billed. */
void fleet_mark_unknown(Fleet *f, FleetRun *run);
/* Ends a run in which the request did not run at a target; its key is free
   again. */
void fleet_abort(Fleet *f, FleetRun *run);

/* Returns the sums over all budgets at this instance. */
LedgerSums fleet_sums(Fleet *f);

/* Planned stop: this instance stops being a home and returns all unused
   budget. */
void fleet_drain(Fleet *f);
bool fleet_is_drained(Fleet *f);
/* Counts the lanes that a stop still waits for: ledger lanes in `budgets`, the
   lane of request records in `records`. */
void fleet_count_undrained(Fleet *f, int *budgets, int *records);

#endif
