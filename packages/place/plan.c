/* plan.c: items of a plan and their JSON form. */
#include "place/plan.h"

#include <jansson.h>
#include <string.h>

#include "kernel/list.h"
#include "kernel/text.h"

/* By PlanState. */
static const char *const state_names[PLAN_STATE_COUNT] = {"loading", "loaded",
                                                          "leaving"};

/* == items == */

Plan *plan_new(void) {
  Plan *p = g_new0(Plan, 1);
  p->items = g_array_new(FALSE, TRUE, sizeof(PlanItem));
  return p;
}

void plan_free(Plan *p) {
  if (!p) return;
  g_array_free(p->items, TRUE);
  g_free(p);
}

Plan *plan_copy(const Plan *p) {
  Plan *c = plan_new();
  if (p->items->len)
    g_array_append_vals(c->items, p->items->data, p->items->len);
  return c;
}

static int find_index(const Plan *p, const char *target, const char *adapter) {
  for (guint i = 0; i < p->items->len; i++) {
    const PlanItem *x = &g_array_index(p->items, PlanItem, i);
    if (strcmp(x->target, target) == 0 && strcmp(x->adapter, adapter) == 0)
      return (int)i;
  }
  return -1;
}

PlanItem *plan_find(const Plan *p, const char *target, const char *adapter) {
  int i = find_index(p, target, adapter);
  return i < 0 ? NULL : &g_array_index(p->items, PlanItem, i);
}

static gint compare_items(gconstpointer a, gconstpointer b) {
  const PlanItem *x = a, *y = b;
  int d = strcmp(x->target, y->target);
  return d ? d : strcmp(x->adapter, y->adapter);
}

void plan_set(Plan *p, const char *target, const char *adapter, PlanState s) {
  PlanItem *x = plan_find(p, target, adapter);
  if (x) {
    x->state = s;
    return;
  }
  PlanItem item = {.state = s};
  g_strlcpy(item.target, target, sizeof item.target);
  g_strlcpy(item.adapter, adapter, sizeof item.adapter);
  g_array_append_val(p->items, item);
  g_array_sort(p->items, compare_items);
}

void plan_remove(Plan *p, const char *target, const char *adapter) {
  int i = find_index(p, target, adapter);
  if (i >= 0) g_array_remove_index(p->items, (guint)i);
}

void plan_list_adapters(const Plan *p, const char *target, int states,
                        char *list) {
  for (guint i = 0; i < p->items->len; i++) {
    const PlanItem *x = &g_array_index(p->items, PlanItem, i);
    bool wanted = (states & 1 << x->state) != 0;
    if (wanted && strcmp(x->target, target) == 0)
      list_add(list, LIMIT_ADAPTERS_BYTES, x->adapter);
  }
}

/* == JSON == */

char *plan_to_json(const Plan *p) {
  json_t *all = json_array();
  for (guint i = 0; i < p->items->len; i++) {
    const PlanItem *x = &g_array_index(p->items, PlanItem, i);
    json_array_append_new(all, json_pack("{s:s,s:s,s:s}", "target", x->target,
                                         "adapter", x->adapter, "state",
                                         state_names[x->state]));
  }
  return text_take_json(all);
}

/* Returns the PlanState of that name, or -1. */
static int parse_state(const char *name) {
  for (int i = 0; i < PLAN_STATE_COUNT; i++)
    if (strcmp(name, state_names[i]) == 0) return i;
  return -1;
}

Plan *plan_parse(const char *text) {
  json_t *all = text ? json_loads(text, 0, NULL) : NULL, *o;
  if (!json_is_array(all)) {
    json_decref(all);
    return NULL;
  }
  Plan *p = plan_new();
  size_t i;
  /* Items that are damaged or have an unknown state are skipped. */
  json_array_foreach(all, i, o) {
    const char *target, *adapter, *state;
    int s = json_unpack(o, "{s:s,s:s,s:s}", "target", &target, "adapter",
                        &adapter, "state", &state) == 0
                ? parse_state(state)
                : -1;
    if (s >= 0) plan_set(p, target, adapter, (PlanState)s);
  }
  json_decref(all);
  return p;
}
