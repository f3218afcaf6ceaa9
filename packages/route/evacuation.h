/* evacuation.h: evacuated data centres, whose targets get no requests by order
   of the operators; pure. An evacuation lasts until it is revoked and never
   expires: an instance without updates keeps its state. */
#ifndef ROUTE_EVACUATION_H
#define ROUTE_EVACUATION_H

#include <glib.h>
#include <stdbool.h>

/* Max number of data centres; the largest known site has eight. More are wrong
   input and would only use memory. */
#define EVACUATION_MAX_DCS 64

typedef struct Evacuation Evacuation;

Evacuation *evacuation_new(void);
void evacuation_free(Evacuation *e);
/* Starts or ends the evacuation of a data centre; false: nothing changed, or
   there are too many. */
bool evacuation_set(Evacuation *e, const char *dc, bool on);
/* Evacuates exactly those in the set of names `dcs`. Returns whether anything
   changed. */
bool evacuation_replace(Evacuation *e, GHashTable *dcs);
bool evacuation_contains(const Evacuation *e, const char *dc);
int evacuation_count(const Evacuation *e);

#endif
