/* giving.h: the list of targets as this instance sends it to neighbours that
   have just started (handover.h): parts that are made once and serve all
   requests, and the readers' updates since the list was begun. */
#ifndef NODE_SHAREDLIST_H
#define NODE_SHAREDLIST_H

#include "member/handover.h"
#include "peer/codec.h"
#include "route/roster.h"

typedef struct SharedList SharedList;

/* Makes the next part, as FeedEvents.next_part does. */
typedef char *(*SharedListMakePart)(void *ctx, RosterCursor *at, bool *more);

SharedList *sharedlist_new(SharedListMakePart part, void *ctx);
void sharedlist_free(SharedList *g);
/* Sets `m` to the requested part of the current list. `known` is the store
   revision that is known here. False: there is no such part. `m` borrows the
   text. */
bool sharedlist_get_part(SharedList *g, double now, uint64_t known,
                     const HandoverRequest *request, CodecFeed *m);
/* Adds an update that was received or sent; it leads from revision `m->from` to
   `m->at`. */
void sharedlist_add_update(SharedList *g, const CodecFeed *m);
/* Calls `fn` for each update since the list was begun, oldest first. */
void sharedlist_each_update(const SharedList *g,
                        void (*fn)(void *ctx, const CodecFeed *m), void *ctx);

#endif
