/* rollout.h: loading and changing the table in the platform's store. The table
   is stored as parts, which are objects with some of its rows each, and a head,
   which names the current parts. An edit first writes the changed parts and
   then the head with one conditional update, so that many rows change
   atomically. The history in the head shows whether an edit was applied when
   the store's reply was lost. */
#ifndef TABLE_ROLLOUT_H
#define TABLE_ROLLOUT_H

#include "kernel/err.h"
#include "store/platform.h"
#include "table/table.h"

/* Name of the head's object. */
#define ROLLOUT_HEAD "table/head"

typedef struct RolloutEdit {
  char id[40];     /* identifies the edit, which is applied at most once */
  char author[64]; /* recorded in the history */
  uint64_t base_version; /* table version that it was made on; UINT64_MAX: the
                            current one */
} RolloutEdit;

/* Store calls, replaceable so that tests can lose replies. */
typedef struct RolloutStore {
  PlatformAnswer (*get)(void *ctx, const char *name);
  PlatformAnswer (*put)(void *ctx, const char *name, uint64_t version,
                        const char *text);
  void *ctx;
} RolloutStore;

/* Loads the current table; if there is none, returns an empty table with
   version 0. Parts that `cached` (may be NULL) already has are not read again.
   If the stored table is not newer than `cached`, returns NULL and sets
   *unchanged; on an error, returns NULL without it. */
Table *rollout_load(const RolloutStore *s, const Table *cached, bool *unchanged,
                    Err *e);
/* Merges `mine`, the edited table, into the stored one. Returns the first
   version that contains the edit, or 0 on failure. */
uint64_t rollout_apply(const RolloutStore *s, const Table *mine,
                       const RolloutEdit *edit, Err *e);
/* Returns the history as a JSON array, newest last. Free with g_free. */
char *rollout_history(const RolloutStore *s, Err *e);

#endif
