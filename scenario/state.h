/* state.h: internal state of the scenario world, private to its own files. */
#ifndef SCENARIO_STATE_H
#define SCENARIO_STATE_H

#include <glib.h>

#include "member/member.h"
#include "scenario/world.h"

typedef struct Node {
  char name[16], region[LIMIT_NAME_BYTES], dc[LIMIT_NAME_BYTES],
      id[LIMIT_ID_BYTES];
  int incarnation;
  bool up, paused, draining;
  uint64_t known_era; /* of the store */
  double next_store_call;
  double clock_s; /* its clock is ahead by this */
  MemberSet *members;
  Ledger *ledger;
  Once *once;
  GQueue deferred; /* Event*, received while paused */
} Node;

typedef enum {
  EV_TICK,
  EV_HEARTBEAT,
  EV_LEDGER,
  EV_ONCE,
  EV_STORE,    /* the call reaches the store */
  EV_RESULT,   /* its result reaches the node */
  EV_DISPATCH, /* the request is dispatched */
  EV_FINISH    /* the target finishes the request */
} EventKind;

typedef enum { CALL_LEDGER, CALL_ONCE, CALL_BILL } CallOwner;

typedef struct Event {
  double at;
  uint64_t order;
  EventKind kind;
  int node, incarnation;
  char from[LIMIT_ID_BYTES];
  LedgerMsg ledger;
  OnceMsg once;
  /* store calls */
  CallOwner owner;
  bool put, delete, result_sent;
  int shard;
  uint64_t part;
  char name[160];
  uint64_t version;
  char *text;
  ErrKind result;
  int request;
} Event;

typedef struct Object {
  char *text, *previous;
  uint64_t version, previous_version;
} Object;

/* One write of a budget shard, for world_restore. */
typedef struct SavedWrite {
  double at;
  char name[160];
  char *text;
  uint64_t version;
} SavedWrite;

typedef struct Request {
  WorldRequest params;
  OnceKey key;
  uint64_t handle;
  int incarnation;
  WorldOutcome outcome;
  ErrKind cause;
  double started_at, answered_at;
  bool run_allowed, reserved, ran;
} Request;

typedef struct Budget {
  char name[LIMIT_NAME_BYTES];
  int64_t total, consumed, unsettled; /* unsettled: reserved tokens */
} Budget;

struct World {
  double now;
  uint64_t order, last_handle;
  GRand *rng;
  WorldFaults faults;
  bool allowances;
  Node nodes[WORLD_MAX_NODES];
  int node_count;
  GSequence *events;
  GHashTable *objects; /* name -> Object */
  GPtrArray *requests; /* Request* */
  GHashTable *by_handle;
  GHashTable *budgets;     /* name -> Budget */
  GArray *budget_rows;     /* LedgerBudget */
  GHashTable *runs_by_key; /* once-only key -> count */
  GHashTable *billed;      /* key text -> tokens of the first bill */
  char cut_regions[WORLD_MAX_REGIONS][LIMIT_NAME_BYTES],
      store_cut_regions[WORLD_MAX_REGIONS][LIMIT_NAME_BYTES];
  WorldStoreMode store;
  GPtrArray *saved_writes; /* SavedWrite*, oldest first */
  uint64_t era;            /* number of restores */
  double message_loss_rate, response_loss_rate, stale_read_rate, min_delay_s,
      max_delay_s;
  WorldTotals sums;
  char violation[256];
};

/* == world.c == */

double world_random(World *w);
/* Records a violated invariant; only the first is kept. */
void world_report_violation(World *w, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
Event *world_new_event(World *w, EventKind kind, int node, double at);
void world_schedule(World *w, Event *e);
Budget *world_find_budget(const World *w, const char *name);
bool world_list_contains(char list[][LIMIT_NAME_BYTES], const char *name);
void store_saved_write_free(gpointer p);
/* Executes the actions of a node's cores until they have none left. */
void world_run_actions(World *w, int node);

/* == store.c == */

/* Schedules a store call of a node; takes ownership of `text`. */
Event *store_call(World *w, int node, CallOwner owner, const char *name,
                  bool put, int shard, uint64_t version, char *text);
/* Handles a call that reaches the store. */
void store_handle_call(World *w, Event *e);
/* Delivers a call's result to the node. */
void store_deliver_result(World *w, const Event *e);
void store_record_bills(World *w, const char *text);
void store_object_free(gpointer p);

/* == requests.c == */

Request *requests_find(const World *w, uint64_t handle);
void requests_conclude(World *w, Request *q, WorldOutcome outcome);
/* Handle decisions of the cores. */
void requests_on_reservation(World *w, int node, const LedgerAction *a);
void requests_on_verdict(World *w, int node, const OnceAction *a);
void requests_answered(World *w, const OnceAction *a);
/* Dispatches request `i` to its target; from here its tokens are consumed. */
void requests_dispatch(World *w, int i);
/* Handles the end of request `i` at its target. */
void requests_finish(World *w, int i);

#endif
