/* watch.h: keeps the table and the list of members of an instance up to date,
   each in its own thread, and runs the poller of the targets. */
#ifndef ENTRY_WATCH_H
#define ENTRY_WATCH_H

#include "entry/entry.h"

typedef struct Watch Watch;

Watch *watch_open(Entry *e);
void watch_close(Watch *w);

#endif
