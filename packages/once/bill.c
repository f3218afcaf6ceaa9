/* bill.c: encoding and decoding of batches of bills. */
#include "once/bill.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "kernel/text.h"

/* Format: {"t": earliest time, "budgets": [[budget, customer, [key, tokens,
   seconds after t], ...], ...]}. The customer is "" if the budget's name begins
   with it. */

/* == encoding == */

static bool has_customer_prefix(const char *budget, const char *customer) {
  size_t n = strlen(customer);
  return strncmp(budget, customer, n) == 0 && budget[n] == '/';
}

/* Returns the group of a bill's customer and budget, created if needed. */
static json_t *group_of(GHashTable *groups, json_t *budgets,
                        const BillItem *item) {
  const char *budget = item->budget;
  bool has_prefix = has_customer_prefix(budget, item->customer);
  const char *customer = has_prefix ? "" : item->customer;
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

char *bill_encode_batch(const BillItem *list, int n) {
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

/* == decoding == */

static void decode_group(json_t *group, int64_t first,
                         void (*fn)(void *ctx, const BillItem *item),
                         void *ctx) {
  const char *budget = json_string_value(json_array_get(group, 0));
  const char *customer = json_string_value(json_array_get(group, 1));
  if (!customer || !budget) return;
  char *has_prefix = customer[0] ? g_strdup(customer)
                                 : g_strndup(budget, strcspn(budget, "/"));
  for (size_t i = 2; i < json_array_size(group); i++) {
    json_t *bill = json_array_get(group, i);
    BillItem x = {.key = json_string_value(json_array_get(bill, 0)),
                  .customer = has_prefix,
                  .budget = budget,
                  .tokens = json_integer_value(json_array_get(bill, 1)),
                  .unix_s =
                      first + json_integer_value(json_array_get(bill, 2))};
    if (x.key) fn(ctx, &x);
  }
  g_free(has_prefix);
}

bool bill_decode_batch(const char *text,
                       void (*fn)(void *ctx, const BillItem *item), void *ctx) {
  json_t *o = json_loads(text, 0, NULL), *group;
  json_t *budgets = json_object_get(o, "budgets");
  bool ok = json_is_array(budgets);
  int64_t first = json_integer_value(json_object_get(o, "t"));
  size_t i;
  json_array_foreach(budgets, i, group) decode_group(group, first, fn, ctx);
  json_decref(o);
  return ok;
}
