/* giving.h: the list of targets as this instance hands it out to neighbours
   that have just started (handover.h): parts that are made once for all who
   ask, and the readers' words since. */
#ifndef NODE_GIVING_H
#define NODE_GIVING_H

#include "member/handover.h"
#include "peer/codec.h"
#include "route/roster.h"

typedef struct Giving Giving;

/* Makes the next part, as FeedEvents.part. */
typedef char *(*GivingPart)(void *ctx, RosterCursor *at, bool *more);

Giving *giving_new(GivingPart part, void *ctx);
void giving_free(Giving *g);
/* The part that is asked for, of the list as it is given out now; `known`: the
   revision that is known here. False: there is no such part. `m` is borrowed.
 */
bool giving_part(Giving *g, double now, uint64_t known,
                 const HandoverRequest *ask, CodecFeed *m);
/* A word that was heard, or told, from revision to revision. */
void giving_note(Giving *g, const CodecFeed *m);
/* Calls `fn` for each word since the list was made. */
void giving_words(const Giving *g, void (*fn)(void *ctx, const CodecFeed *m),
                  void *ctx);

#endif
