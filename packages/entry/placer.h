/* placer.h: keeps the placement of adapters up to date: reads the plans of all
   pools, and for the pools that this instance is home of, decides and orders.
 */
#ifndef ENTRY_PLACER_H
#define ENTRY_PLACER_H

#include "entry/entry.h"

typedef struct Placer Placer;

Placer *placer_open(Entry *e);
void placer_close(Placer *p);

#endif
