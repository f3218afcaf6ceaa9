/* placer.h: keeps the placement of adapters on targets up to date. A plan says
   which targets of a pool load which adapters. The placer reads the plans of
   all pools. For each pool whose home is this instance, that is, for which it
   is responsible, it also updates the plan and orders targets to load. */
#ifndef ENTRY_PLACER_H
#define ENTRY_PLACER_H

#include "entry/entry.h"

typedef struct Placer Placer;

Placer *placer_open(Entry *e);
void placer_close(Placer *p);

#endif
