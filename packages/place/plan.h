/* plan.h: which target of a pool is to have which adapters, as it is kept in
   the platform's store, one object a pool. */
#ifndef PLACE_PLAN_H
#define PLACE_PLAN_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/limits.h"

typedef enum {
  PLAN_LOADING, /* ordered; no requests yet */
  PLAN_LOADED,  /* the target said so: requests may go there */
  PLAN_LEAVING, /* no new requests; unloaded once all instances know */
  PLAN_STATES
} PlanState;

typedef struct PlanItem {
  char target[LIMIT_NAME_BYTES], adapter[LIMIT_NAME_BYTES];
  PlanState state;
} PlanItem;

typedef struct Plan {
  GArray *items; /* PlanItem, by target and adapter */
} Plan;

Plan *plan_new(void);
Plan *plan_copy(const Plan *p);
void plan_free(Plan *p);
/* JSON (g_free), and back; NULL when it is no plan. */
char *plan_text(const Plan *p);
Plan *plan_read(const char *text);
/* NULL when there is none. */
PlanItem *plan_find(const Plan *p, const char *target, const char *adapter);
/* Adds or changes. */
void plan_set(Plan *p, const char *target, const char *adapter, PlanState s);
void plan_remove(Plan *p, const char *target, const char *adapter);
/* Adds the adapters of `target` in the states of the bit mask to `list`, which
   is separated by ';' and of LIMIT_ADAPTERS bytes. */
void plan_adapters(const Plan *p, const char *target, int states, char *list);
#endif
