/* bill.c: batches of bill lines as text. */
#include "once/bill.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "kernel/text.h"

/* {"t": first, "budgets": [[budget, customer, [key, tokens, seconds after t],
   ...], ...]}; the customer is "" where the budget's name begins with it. */

/* == to text == */

static bool begins_with(const char *budget, const char *customer) {
  size_t n = strlen(customer);
  return strncmp(budget, customer, n) == 0 && budget[n] == '/';
}

/* The group of a line's customer and budget, made if needed. */
static json_t *group_of(GHashTable *groups, json_t *budgets,
                        const BillItem *item) {
  const char *budget = item->budget;
  bool within = begins_with(budget, item->customer);
  const char *customer = within ? "" : item->customer;
  char *name = g_strconcat(customer, "\n", budget, NULL);
  json_t *group = g_hash_table_lookup(groups, name);
  if (group) {
    g_free(name);
    return group;
  }
  group = json_pack("[s,s]", budget, customer);
  json_array_append_new(budgets, group);
  g_hash_table_insert(groups, name, group);
  return group;
}

char *bill_text(const BillItem *list, int n) {
  GHashTable *groups =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  json_t *budgets = json_array();
  int64_t first = n > 0 ? list[0].unix_s : 0;
  for (int i = 0; i < n; i++) first = MIN(first, list[i].unix_s);
  for (int i = 0; i < n; i++) {
    const BillItem *x = &list[i];
    json_array_append_new(group_of(groups, budgets, x),
                          json_pack("[s,I,I]", x->key, (json_int_t)x->tokens,
                                    (json_int_t)(x->unix_s - first)));
  }
  g_hash_table_destroy(groups);
  return text_take_json(
      json_pack("{s:I,s:o}", "t", (json_int_t)first, "budgets", budgets));
}

/* == from text == */

static void each_line(json_t *group, int64_t first,
                      void (*fn)(void *ctx, const BillItem *item), void *ctx) {
  const char *budget = json_string_value(json_array_get(group, 0));
  const char *customer = json_string_value(json_array_get(group, 1));
  if (!customer || !budget) return;
  char *within = customer[0] ? g_strdup(customer)
                             : g_strndup(budget, strcspn(budget, "/"));
  for (size_t i = 2; i < json_array_size(group); i++) {
    json_t *line = json_array_get(group, i);
    BillItem x = {.key = json_string_value(json_array_get(line, 0)),
                  .customer = within,
                  .budget = budget,
                  .tokens = json_integer_value(json_array_get(line, 1)),
                  .unix_s =
                      first + json_integer_value(json_array_get(line, 2))};
    if (x.key) fn(ctx, &x);
  }
  g_free(within);
}

bool bill_each(const char *text, void (*fn)(void *ctx, const BillItem *item),
               void *ctx) {
  json_t *o = json_loads(text, 0, NULL), *group;
  json_t *budgets = json_object_get(o, "budgets");
  bool ok = json_is_array(budgets);
  int64_t first = json_integer_value(json_object_get(o, "t"));
  size_t i;
  json_array_foreach(budgets, i, group) each_line(group, first, fn, ctx);
  json_decref(o);
  return ok;
}
