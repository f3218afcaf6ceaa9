/* lane.h: one core (a part of the ledger, or the records) with its lock. The
   lock is held for the microseconds of one event and never across a call. */
#ifndef FLEET_LANE_H
#define FLEET_LANE_H

#include <glib.h>
#include <pthread.h>

#include "ledger/ledger.h"
#include "once/once.h"
#include "peer/peer.h"
#include "store/jobs.h"

/* What a lane needs of its instance. */
typedef struct LaneHost {
  Peer *peer;
  Jobs *jobs;
  /* The peer address of an instance; false when it is not known. */
  bool (*address)(void *ctx, const char *id, char out[LIMIT_NAME_BYTES]);
  void *ctx;
} LaneHost;

typedef struct Lane {
  const LaneHost *host;
  pthread_mutex_t lock;
  Ledger *ledger;    /* one of these, */
  Once *once;        /* the other is NULL */
  GHashTable *waits; /* handle -> LaneWait */
} Lane;

/* A request thread waiting for a core's decision. */
typedef struct LaneWait {
  pthread_cond_t ready;
  bool done;
  ErrKind cause;
  int retry_ms;
  OnceVerdict verdict;
  OnceAnswer answer;
  bool doubled;
  char target[LIMIT_NAME_BYTES];
} LaneWait;

/* Takes over the core. */
void lane_open(Lane *l, const LaneHost *host, Ledger *ledger, Once *once);
void lane_close(Lane *l);

/* Under the lock: carries out what the core wants. */
void lane_act(Lane *l);
/* Under the lock, before the core is asked; then lane_wait for its answer. */
void lane_wait_open(Lane *l, uint64_t handle, LaneWait *w);
void lane_wait(Lane *l, uint64_t handle, LaneWait *w);

#endif
