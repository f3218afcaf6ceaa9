/* bill.h: a batch of bill lines as an object of the platform's store: grouped
   by budget, since names would be most of it. A request that stands in two
   batches is one request: readers take the union by key. */
#ifndef ONCE_BILL_H
#define ONCE_BILL_H

#include <stdbool.h>
#include <stdint.h>

typedef struct BillItem {
  const char *key; /* 32 hex digits, names the request */
  const char *customer, *budget;
  int64_t tokens;
  int64_t unix_s; /* when it was finished */
} BillItem;

/* JSON, g_free. */
char *bill_text(const BillItem *list, int n);
/* Calls `fn` for each line; false when the text is no batch. */
bool bill_each(const char *text, void (*fn)(void *ctx, const BillItem *item),
               void *ctx);

#endif
