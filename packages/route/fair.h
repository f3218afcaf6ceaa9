/* fair.h: what a full table sheds, so that one customer's many entries don't
   push out another's; pure. */
#ifndef ROUTE_FAIR_H
#define ROUTE_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What counts of an entry. */
typedef struct FairEntry {
  uint64_t owner; /* text_hash of the customer */
  double age;     /* rank among those of an owner: the least goes first */
  bool is_pinned; /* it is not to be shed */
} FairEntry;

/* The entry to be shed: of the owner with most entries the one of least age.
   `look` reads one of the table's values; NULL: none may go. */
gpointer fair_choose_evicted(GHashTable *table,
                             FairEntry (*look)(gconstpointer value));

#endif
