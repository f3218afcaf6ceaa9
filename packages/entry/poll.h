/* poll.h: queries the load of targets, reports it to the instances of the
   region, and dispatches waiting requests. */
#ifndef ENTRY_POLL_H
#define ENTRY_POLL_H

#include "entry/entry.h"

typedef struct Poller Poller;

Poller *poller_open(Entry *e);
void poller_close(Poller *p);
/* Updates the list of targets from the pools. */
void poller_set_targets(Poller *p);
/* Sets the members of the fleet. */
void poller_set_view(Poller *p, const View *v);

#endif
