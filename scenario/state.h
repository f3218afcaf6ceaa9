/* state.h: the insides of the scenario world, shared by its own files only. */
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
  MemberSet *members;
  Ledger *ledger;
  Once *once;
  GQueue held; /* Event*, that came while it was paused */
} Node;

typedef enum {
  EV_TICK,
  EV_BEAT,
  EV_LEDGER,
  EV_ONCE,
  EV_STORE,  /* the call reaches the store */
  EV_RESULT, /* its result reaches the node */
  EV_SEND,   /* the request's dispatch */
  EV_END     /* its target is done */
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
  bool put, delete, answered;
  int shard;
  uint64_t part;
  char name[160];
  uint64_t version;
  char *text;
  ErrKind result;
  int request;
} Event;

typedef struct Object {
  char *text, *before;
  uint64_t version, before_version;
} Object;

typedef struct Request {
  WorldRequest r;
  OnceKey key;
  uint64_t handle;
  int incarnation;
  WorldOutcome outcome;
  ErrKind cause;
  double came, answered;
  bool began, reserved, ran;
} Request;

typedef struct Budget {
  char name[LIMIT_NAME_BYTES];
  int64_t total, consumed, promised; /* promised: reserved and not settled */
} Budget;

struct World {
  double now;
  uint64_t order, handles;
  GRand *rng;
  WorldFaults faults;
  Node nodes[WORLD_NODES];
  int n;
  GSequence *events;
  GHashTable *objects; /* name -> Object */
  GPtrArray *requests; /* Request* */
  GHashTable *by_handle;
  GHashTable *budgets; /* name -> Budget */
  GArray *rows;        /* LedgerBudget */
  GHashTable *runs;    /* once-only key -> count */
  GHashTable *billed;  /* key text -> tokens of the first bill */
  char cut[WORLD_REGIONS][LIMIT_NAME_BYTES],
      cut_store[WORLD_REGIONS][LIMIT_NAME_BYTES];
  WorldStore store;
  double lose_messages, lose_answers, stale, low, high;
  WorldSums sums;
  char broken[256];
};

/* == world.c == */

double world_chance(World *w);
/* What must always hold does not: the first reason is kept. */
void world_broke(World *w, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
Event *world_event(World *w, EventKind kind, int node, double at);
void world_schedule(World *w, Event *e);
Budget *world_find_budget(const World *w, const char *name);
bool world_listed(char list[][LIMIT_NAME_BYTES], const char *name);
/* Carries out what the cores of a node want, until they want nothing. */
void world_after(World *w, int node);

/* == store.c == */

/* A call of a node; takes over `text`. */
Event *store_call(World *w, int node, CallOwner owner, const char *name,
                  bool put, int shard, uint64_t version, char *text);
/* A call reaches the store. */
void store_receive(World *w, Event *e);
/* Its result reaches the node. */
void store_result(World *w, const Event *e);
void store_note_bills(World *w, const char *text);
void store_object_free(gpointer p);

/* == requests.c == */

Request *requests_find(const World *w, uint64_t handle);
void requests_end(World *w, Request *q, WorldOutcome outcome);
/* Decisions of the cores. */
void requests_reserved(World *w, int node, const LedgerAction *a);
void requests_verdict(World *w, int node, const OnceAction *a);
void requests_done(World *w, const OnceAction *a);
/* The target gets request `i`: from here on the tokens are consumed. */
void requests_send(World *w, int i);
/* Its target is done. */
void requests_finish(World *w, int i);

#endif
