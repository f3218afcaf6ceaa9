/* tallies.h: which instance counts the work at which target, and the words
   between them. */
#ifndef FLEET_TALLIES_H
#define FLEET_TALLIES_H

#include "peer/peer.h"

typedef struct Tallies Tallies;

/* `regions` has to last. `told` gets the answer to a question of ours, at once
   where we count. */
Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     void (*told)(void *ctx, const TallyWord *w), void *ctx);
void tallies_free(Tallies *t);
/* The members; `v` has to last until the next call. */
void tallies_view(Tallies *t, const View *v);
/* Who counts there is asked, or told of one of our requests. */
void tallies_ask(Tallies *t, double now, const TallyAsk *a);
void tallies_tell(Tallies *t, double now, const TallyRun *r);
/* A message from `from`; false: it is none of ours. */
bool tallies_take(Tallies *t, double now, const Member *from,
                  const CodecMsg *m);
void tallies_sweep(Tallies *t, double now);

#endif
