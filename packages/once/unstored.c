/* unstored.c: how many bills this instance holds that are not in the store yet,
   as runner, keeper or backup, and whose they are. */
#include "once/state.h"

/* Of one bill, with its entries in tables. */
#define BILL_BYTES (sizeof(PendingBill) + 72)

static size_t bills_of(const Once *o, const char *customer) {
  return GPOINTER_TO_SIZE(g_hash_table_lookup(o->unstored, customer));
}

/* `customer` is interned. */
static void set_bills(Once *o, const char *customer, size_t n) {
  if (n > 0)
    g_hash_table_insert(o->unstored, (gpointer)customer, GSIZE_TO_POINTER(n));
  else
    g_hash_table_remove(o->unstored, customer);
}

void unstored_add(Once *o, const BillSummary *b) {
  set_bills(o, b->customer, bills_of(o, b->customer) + 1);
  o->unstored_bills++;
}

void unstored_remove(Once *o, const BillSummary *b) {
  set_bills(o, b->customer, bills_of(o, b->customer) - 1);
  o->unstored_bills--;
}

void once_set_bill_limit(Once *o, size_t bytes) {
  o->bill_limit = bytes / BILL_BYTES;
}

bool unstored_has_room(const Once *o, const char *customer) {
  size_t left = o->bill_limit - MIN(o->bill_limit, o->unstored_bills);
  return bills_of(o, customer) < LIMIT_GROUP_FREE_RATIO * left;
}
