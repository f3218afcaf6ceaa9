/* fair.h: which entry a full table evicts, so that one customer's many entries
   don't displace another's; pure. */
#ifndef ROUTE_FAIR_H
#define ROUTE_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The properties of an entry that matter. */
typedef struct FairEntry {
  uint64_t owner; /* text_hash of the customer */
  double rank;    /* among those of an owner: the lowest is evicted first */
  bool is_pinned; /* it must not be evicted */
} FairEntry;

/* The entry to evict: of the owner with the most entries, the one with the
   lowest rank. `read_entry` reads a value of the table; NULL: none may be
   evicted. */
gpointer fair_choose_evicted(GHashTable *table,
                             FairEntry (*read_entry)(gconstpointer value));

#endif
