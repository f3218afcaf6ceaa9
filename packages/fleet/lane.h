/* lane.h: one core (some shards of the ledger, or the request records) with its
   lock. The lock is held for the microseconds of one event and never across a
   network or store call. */
#ifndef FLEET_LANE_H
#define FLEET_LANE_H

#include <glib.h>
#include <pthread.h>

#include "ledger/ledger.h"
#include "once/once.h"
#include "peer/peer.h"
#include "store/jobs.h"

/* What a lane uses of its instance. */
typedef struct LaneHost {
  Peer *peer;
  Jobs *jobs;
  /* Finds the peer address of an instance; false when it is unknown. */
  bool (*find_address)(void *ctx, const char *id, char out[LIMIT_NAME_BYTES]);
  void *ctx;
} LaneHost;

typedef struct Lane {
  const LaneHost *host;
  pthread_mutex_t lock;
  Ledger *ledger;    /* one of `ledger` and `once` is set, */
  Once *once;        /* the other is NULL */
  GHashTable *waits; /* handle -> LaneWait */
} Lane;

/* A request thread that waits for a core's decision. */
typedef struct LaneWait {
  pthread_cond_t ready;
  bool done;
  ErrKind cause;
  int retry_ms;
  OnceVerdict verdict;
  OnceAnswer answer;
  bool billed_before;
  char target[LIMIT_NAME_BYTES];
} LaneWait;

/* Takes ownership of the core. */
void lane_open(Lane *l, const LaneHost *host, Ledger *ledger, Once *once);
void lane_close(Lane *l);

/* Carries out the core's queued actions. The caller holds the lock. */
void lane_run_actions(Lane *l);
/* Call lane_wait_prepare before the request goes to the core, then lane_wait
   for the answer. The caller holds the lock for both. */
void lane_wait_prepare(Lane *l, uint64_t handle, LaneWait *w);
void lane_wait(Lane *l, uint64_t handle, LaneWait *w);

#endif
