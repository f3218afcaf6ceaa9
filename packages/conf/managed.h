/* managed.h: which services are managed, that is, which of the parts for
   decisions under load (docs/design/load.md) are active for them. The load that
   this is for: engines with few slots, whose queues decide how late a request
   is. Engines with many slots hardly ever queue; they are served as before. */
#ifndef CONF_MANAGED_H
#define CONF_MANAGED_H

#include <stdbool.h>

#include "conf/conf.h"
#include "kernel/err.h"

typedef enum {
  MANAGED_RATES,     /* rates of targets, reported by their counters */
  MANAGED_ADMISSION, /* refusal of what would be late */
  MANAGED_SHARES,    /* shares of customers while a service is short */
  MANAGED_RESERVE,   /* outage reserve of budgets by priority */
  MANAGED_PARTS
} ManagedPart;

typedef struct Managed {
  int max_slots; /* engines with at most this many slots; 0: no service */
  bool parts[MANAGED_PARTS];
} Managed;

/* Parses the names of the active parts, separated by commas. Returns false with
   an error if a name is unknown. */
bool managed_parse(Managed *m, int max_slots, const char *parts, Err *e);
/* Whether a part is active for a service; `s` may be NULL: unknown. False for
   plain services, see managed_applies_to_plain. */
bool managed_applies(const Managed *m, ManagedPart part, const ConfService *s);
/* Whether a part is active for any engine service of the configuration; `c` may
   be NULL. */
bool managed_applies_to_any(const Managed *m, ManagedPart part, const Conf *c);
/* Whether a part is active for the plain services of the configuration. The
   targets of a plain service state no slots in it, so its engine services
   decide. */
bool managed_applies_to_plain(const Managed *m, ManagedPart part,
                              const Conf *c);

#endif
