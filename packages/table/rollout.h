/* rollout.h: the table in the platform's store: content parts first, then one
   conditional update of the head, so that many rows change at once or not at
   all. The history in the head makes a lost answer harmless. */
#ifndef TABLE_ROLLOUT_H
#define TABLE_ROLLOUT_H

#include "kernel/err.h"
#include "store/platform.h"
#include "table/table.h"

#define ROLLOUT_HEAD "table/head"

typedef struct RolloutEdit {
  char id[40];   /* names this edit; the same id is never applied twice */
  char who[64];  /* for the history */
  uint64_t base; /* version it was made on; UINT64_MAX: the present one */
} RolloutEdit;

/* The store as rollout needs it, so that tests can lose answers. */
typedef struct RolloutStore {
  PlatformAnswer (*get)(void *ctx, const char *name);
  PlatformAnswer (*put)(void *ctx, const char *name, uint64_t version,
                        const char *text);
  void *ctx;
} RolloutStore;

/* The present table, of version 0 and empty when there is none yet. What it has
   in common with `have` (may be NULL) is not read again. When it is not newer
   than `have`, *same is true and NULL returned. */
Table *rollout_load(const RolloutStore *s, const Table *have, bool *same,
                    Err *e);
/* Merges the edit and returns the version it is in, 0 on failure. */
uint64_t rollout_apply(const RolloutStore *s, const Table *mine,
                       const RolloutEdit *edit, Err *e);
/* JSON array of the history, newest last; g_free. */
char *rollout_history(const RolloutStore *s, Err *e);

#endif
