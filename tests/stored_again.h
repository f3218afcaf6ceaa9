/* stored_again.h: decodes the text of a stored object of each kind and encodes
   it again. For tests. */
#ifndef TESTS_STORED_AGAIN_H
#define TESTS_STORED_AGAIN_H

#include "kernel/text.h"
#include "ledger/shard.h"
#include "once/bill.h"
#include "once/claimdoc.h"
#include "place/plan.h"
#include "route/checkpoint.h"
#include "route/originlog.h"
#include "route/trials.h"
#include "table/table.h"

/* Each returns NULL if the text is not such an object. Free the result with
   g_free. */

static inline char *reencode_shard(const char *text) {
  Shard *s = shard_decode(text);
  char *encoded = s ? shard_encode(s) : NULL;
  shard_free(s);
  return encoded;
}

static inline char *reencode_trial(const char *text) {
  static const char name[] = "00000000000000010000000000000002";
  Trial x;
  json_t *o = json_loads(text, 0, NULL);
  bool ok = o && trials_read(name, o, 5, &x);
  json_decref(o);
  return ok ? text_take_json(trials_write(&x)) : NULL;
}

static inline char *reencode_claim_head(const char *text) {
  ClaimDoc *d = claimdoc_decode_head(text);
  char *encoded = d ? claimdoc_encode_head(d) : NULL;
  claimdoc_free(d);
  return encoded;
}

/* Decoding a part needs its expected number of entries: here the number that it
   contains. */
static inline char *reencode_claim_part(const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  ClaimPart *p = g_new0(ClaimPart, 1);
  p->count = (guint)json_array_size(json_object_get(o, "entries"));
  json_decref(o);
  char *encoded =
      claimdoc_decode_part(p, text) ? claimdoc_encode_part(p) : NULL;
  claimdoc_part_free(p);
  return encoded;
}

static inline void append_bill_copy(void *ctx, const BillItem *item) {
  GArray *list = ctx;
  BillItem x = *item;
  x.key = g_strdup(x.key);
  x.customer = g_strdup(x.customer);
  x.budget = g_strdup(x.budget);
  g_array_append_val(list, x);
}

static inline void free_bill_copy(gpointer p) {
  BillItem *x = p;
  g_free((char *)x->key);
  g_free((char *)x->customer);
  g_free((char *)x->budget);
}

static inline char *reencode_bills(const char *text) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(BillItem));
  g_array_set_clear_func(list, free_bill_copy);
  char *encoded =
      bill_decode_batch(text, append_bill_copy, list)
          ? bill_encode_batch((BillItem *)(void *)list->data, (int)list->len)
          : NULL;
  g_array_free(list, TRUE);
  return encoded;
}

static inline char *reencode_plan(const char *text) {
  Plan *p = plan_parse(text);
  char *encoded = p ? plan_to_json(p) : NULL;
  plan_free(p);
  return encoded;
}

/* Encodes the part that the first row belongs to. Any part will do if there are
   no rows. */
static inline char *reencode_table_part(const char *text) {
  Table *t = table_new();
  char *encoded = NULL;
  if (table_decode_part(t, text)) {
    table_sort_rows(t);
    const TableRow *r = t->sorted_rows->len ? t->sorted_rows->pdata[0] : NULL;
    encoded = table_encode_part(t, r ? table_part_index(r) : 0);
  }
  table_free(t);
  return encoded;
}

static inline char *reencode_checkpoint(const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  Checkpoint *c = o ? checkpoint_read(o) : NULL;
  char *encoded = c ? text_take_json(checkpoint_write(c)) : NULL;
  checkpoint_free(c);
  json_decref(o);
  return encoded;
}

static inline void add_logged(void *ctx, const OriginsMsg *record) {
  originlog_add(ctx, 0, record);
}

static inline char *reencode_originlog(const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  OriginLog *l = originlog_new();
  char *encoded = o && originlog_read(o, add_logged, l)
                      ? text_take_json(originlog_write(l))
                      : NULL;
  originlog_free(l);
  json_decref(o);
  return encoded;
}

typedef struct StoredKind {
  const char *name; /* golden/NAME.json: as written by a production build */
  char *(*reencode)(const char *text);
} StoredKind;

static const StoredKind stored_kinds[] = {{"shard", reencode_shard},
                                          {"shard-sealed", reencode_shard},
                                          {"shard-ceiling", reencode_shard},
                                          {"shard-allowance", reencode_shard},
                                          {"trial", reencode_trial},
                                          {"checkpoint", reencode_checkpoint},
                                          {"origin-log", reencode_originlog},
                                          {"claims-head", reencode_claim_head},
                                          {"claims-part", reencode_claim_part},
                                          {"bills", reencode_bills},
                                          {"plan", reencode_plan},
                                          {"table-part", reencode_table_part}};

#endif
