/* evacuation.h: data centres whose targets get nothing, as operators ask; pure.
   One that is asked for holds until it is taken back, never by time: an
   instance that hears nothing more keeps what it knew. */
#ifndef ROUTE_EVACUATION_H
#define ROUTE_EVACUATION_H

#include <glib.h>
#include <stdbool.h>

/* Data centres that are known at most; the users' largest site has eight. More
   are wrong input, and would only cost memory. */
#define EVACUATION_MAX_DCS 64

typedef struct Evacuation Evacuation;

Evacuation *evacuation_new(void);
void evacuation_free(Evacuation *e);
/* The data centre is evacuated from now on, or no longer; false: nothing has
   changed, or there are too many. */
bool evacuation_set(Evacuation *e, const char *dc, bool on);
/* Just those of `dcs` (a set of names) are; whether anything has changed. */
bool evacuation_replace(Evacuation *e, GHashTable *dcs);
bool evacuation_contains(const Evacuation *e, const char *dc);
int evacuation_count(const Evacuation *e);

#endif
