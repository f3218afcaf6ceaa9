/* plan.h: a plan assigns adapters to the targets of a pool (targets that share
   a queue). It is stored as one object per pool in the platform's store. */
#ifndef PLACE_PLAN_H
#define PLACE_PLAN_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/limits.h"

typedef enum {
  PLAN_LOADING, /* ordered; no requests go there yet */
  PLAN_LOADED,  /* the target confirmed it: requests may go there */
  PLAN_LEAVING, /* gets no new requests; unloaded once all instances know */
  PLAN_STATE_COUNT
} PlanState;

typedef struct PlanItem {
  char target[LIMIT_NAME_BYTES], adapter[LIMIT_NAME_BYTES];
  PlanState state;
} PlanItem;

typedef struct Plan {
  GArray *items; /* PlanItem, sorted by target and adapter */
} Plan;

Plan *plan_new(void);
Plan *plan_copy(const Plan *p);
void plan_free(Plan *p);
/* Returns the plan as JSON; to be freed with g_free. */
char *plan_to_json(const Plan *p);
/* Returns NULL when the text is not a plan. Skips damaged items. */
Plan *plan_parse(const char *text);
/* Returns NULL when there is no such item. */
PlanItem *plan_find(const Plan *p, const char *target, const char *adapter);
/* Adds the item or changes its state. */
void plan_set(Plan *p, const char *target, const char *adapter, PlanState s);
void plan_remove(Plan *p, const char *target, const char *adapter);
/* Appends the adapters of `target` whose state is in the bit mask `states` to
   `list`, a buffer of LIMIT_ADAPTERS_BYTES with entries separated by ';'. */
void plan_list_adapters(const Plan *p, const char *target, int states,
                        char *list);
#endif
