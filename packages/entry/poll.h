/* poll.h: asks targets for their load, tells the region, and gives waiting
   requests their turns. */
#ifndef ENTRY_POLL_H
#define ENTRY_POLL_H

#include "entry/entry.h"

typedef struct Poll Poll;

Poll *poll_open(Entry *e);
void poll_close(Poll *p);
/* The pools have other targets. */
void poll_targets(Poll *p);
void poll_view(Poll *p, const View *v);

#endif
