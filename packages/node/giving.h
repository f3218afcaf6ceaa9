/* giving.h: the list of targets as this instance sends it to neighbours that
   have just started (handover.h): parts that are made once and serve all
   requests, and the readers' updates since the list was begun. */
#ifndef NODE_GIVING_H
#define NODE_GIVING_H

#include "member/handover.h"
#include "peer/codec.h"
#include "route/roster.h"

typedef struct Giving Giving;

/* Makes the next part, as FeedEvents.next_part does. */
typedef char *(*GivingMakePart)(void *ctx, RosterCursor *at, bool *more);

Giving *giving_new(GivingMakePart part, void *ctx);
void giving_free(Giving *g);
/* Sets `m` to the requested part of the current list. `known` is the store
   revision that is known here. False: there is no such part. `m` borrows the
   text. */
bool giving_get_part(Giving *g, double now, uint64_t known,
                     const HandoverRequest *ask, CodecFeed *m);
/* Adds an update that was received or sent; it leads from revision `m->from` to
   `m->at`. */
void giving_add_update(Giving *g, const CodecFeed *m);
/* Calls `fn` for each update since the list was begun, oldest first. */
void giving_each_update(const Giving *g,
                        void (*fn)(void *ctx, const CodecFeed *m), void *ctx);

#endif
