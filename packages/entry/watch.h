/* watch.h: keeps an instance's table and member list up to date, each in a
   thread of its own, and has the targets polled. */
#ifndef ENTRY_WATCH_H
#define ENTRY_WATCH_H

#include "entry/entry.h"

typedef struct Watch Watch;

Watch *watch_open(Entry *e);
void watch_close(Watch *w);

#endif
