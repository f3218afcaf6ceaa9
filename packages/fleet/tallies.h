/* tallies.h: which instance counts the work at which target, and the words
   between them. */
#ifndef FLEET_TALLIES_H
#define FLEET_TALLIES_H

#include "peer/peer.h"

typedef struct Tallies Tallies;

/* The answers to questions of ours, at once where we count. */
typedef struct TalliesEvents {
  void (*word)(void *ctx, const TallyReport *w);
  void (*permit)(void *ctx, const TallyPermit *p);
} TalliesEvents;

/* `regions` has to last. */
Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     const TalliesEvents *ev, void *ctx);
void tallies_free(Tallies *t);
/* The members; `v` has to last until the next call. */
void tallies_view(Tallies *t, double now, const View *v);
/* We stood still: others may have counted for us meanwhile. */
void tallies_stood_still(Tallies *t, double now);
/* Who counts there is asked, or told of one of our requests. */
void tallies_ask(Tallies *t, double now, const TallyQuery *a);
void tallies_tell(Tallies *t, double now, const TallyRun *r);
/* Who counts there is asked for a permit, or told of a target's limit. */
void tallies_ask_permit(Tallies *t, double now, const TallyPermitRequest *a);
void tallies_limit(Tallies *t, double now, const TallyLimit *m);
/* tally_limit_news of what we count. */
bool tallies_limit_news(Tallies *t, double now, double again_s, TallyLimit *m);
/* A message from `from`; false: it is none of ours. */
bool tallies_take(Tallies *t, double now, const Member *from,
                  const CodecMsg *m);
void tallies_sweep(Tallies *t, double now);

#endif
