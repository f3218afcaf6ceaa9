/* stored_again.h: reads the text of an object in the store, of any kind, and
   writes it again; for tests. */
#ifndef TESTS_STORED_AGAIN_H
#define TESTS_STORED_AGAIN_H

#include "kernel/text.h"
#include "ledger/shard.h"
#include "once/bill.h"
#include "once/claimdoc.h"
#include "place/plan.h"
#include "route/trials.h"
#include "table/table.h"

/* Each returns NULL when the text is no such object; g_free. */

static inline char *shard_again(const char *text) {
  Shard *s = shard_decode(text);
  char *again = s ? shard_encode(s) : NULL;
  shard_free(s);
  return again;
}

static inline char *trial_again(const char *text) {
  static const char name[] = "00000000000000010000000000000002";
  Trial x;
  json_t *o = json_loads(text, 0, NULL);
  bool ok = o && trials_read(name, o, 5, &x);
  json_decref(o);
  return ok ? text_json(trials_write(&x)) : NULL;
}

static inline char *claim_head_again(const char *text) {
  ClaimDoc *d = claimdoc_read(text);
  char *again = d ? claimdoc_head(d) : NULL;
  claimdoc_free(d);
  return again;
}

/* A part is read by one who knows how many entries it has: here as many as
   stand in it. */
static inline char *claim_part_again(const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  ClaimPart *p = g_new0(ClaimPart, 1);
  p->count = (guint)json_array_size(json_object_get(o, "entries"));
  json_decref(o);
  char *again = claimdoc_read_part(p, text) ? claimdoc_part(p) : NULL;
  claimdoc_part_free(p);
  return again;
}

static inline void bill_collect(void *ctx, const BillItem *item) {
  GArray *list = ctx;
  BillItem x = *item;
  x.key = g_strdup(x.key);
  x.customer = g_strdup(x.customer);
  x.budget = g_strdup(x.budget);
  g_array_append_val(list, x);
}

static inline void bill_item_clear(gpointer p) {
  BillItem *x = p;
  g_free((char *)x->key);
  g_free((char *)x->customer);
  g_free((char *)x->budget);
}

static inline char *bill_again(const char *text) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(BillItem));
  g_array_set_clear_func(list, bill_item_clear);
  char *again = bill_each(text, bill_collect, list)
                    ? bill_text((BillItem *)(void *)list->data, (int)list->len)
                    : NULL;
  g_array_free(list, TRUE);
  return again;
}

static inline char *plan_again(const char *text) {
  Plan *p = plan_parse(text);
  char *again = p ? plan_to_json(p) : NULL;
  plan_free(p);
  return again;
}

/* The part that its first row belongs to: one without rows is any part. */
static inline char *table_part_again(const char *text) {
  Table *t = table_new();
  char *again = NULL;
  if (table_decode_part(t, text)) {
    table_sort(t);
    const TableRow *r = t->order->len ? t->order->pdata[0] : NULL;
    again = table_encode_part(t, r ? table_part(r) : 0);
  }
  table_free(t);
  return again;
}

typedef struct StoredKind {
  const char *name; /* golden/NAME.json: as a build in production wrote it */
  char *(*again)(const char *text);
} StoredKind;

static const StoredKind stored_kinds[] = {{"shard", shard_again},
                                          {"shard-sealed", shard_again},
                                          {"trial", trial_again},
                                          {"claims-head", claim_head_again},
                                          {"claims-part", claim_part_again},
                                          {"bills", bill_again},
                                          {"plan", plan_again},
                                          {"table-part", table_part_again}};

#endif
