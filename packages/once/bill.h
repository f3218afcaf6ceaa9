/* bill.h: encodes and decodes a batch of bills, which is stored as one object.
   A bill records the tokens that a request used. The bills are grouped by
   budget, because repeated names would make up most of the object. The bill of
   a request may be in two batches: readers deduplicate by key. */
#ifndef ONCE_BILL_H
#define ONCE_BILL_H

#include <stdbool.h>
#include <stdint.h>

typedef struct BillItem {
  const char *key; /* request key, 32 hex digits */
  const char *customer, *budget;
  int64_t tokens;
  int64_t unix_s; /* completion time */
} BillItem;

/* Returns the JSON of `n` bills; the caller frees it with g_free. */
char *bill_encode_batch(const BillItem *list, int n);
/* Calls `fn` for each bill. Returns false if the text is not a batch. */
bool bill_decode_batch(const char *text,
                       void (*fn)(void *ctx, const BillItem *item), void *ctx);

#endif
