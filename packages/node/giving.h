/* giving.h: the list of targets as this instance sends it to neighbours
   (instances to which it forwards readers' updates) that have just started; see
   handover.h. It consists of parts, which are made once for all requesters, and
   of the readers' updates since the list was begun. */
#ifndef NODE_GIVING_H
#define NODE_GIVING_H

#include "member/handover.h"
#include "peer/codec.h"
#include "route/roster.h"

typedef struct Giving Giving;

/* Makes the part that begins at `at`, as FeedEvents.next_part does. */
typedef char *(*GivingMakePart)(void *ctx, RosterCursor *at, bool *more);

Giving *giving_new(GivingMakePart make, void *ctx);
void giving_free(Giving *g);
/* Sets `m` to the requested part of the current list, or to the first part if
   the request is for another list. Begins a new list as of `known_revision`,
   the store's revision that is known here, if there is none or a first part is
   requested of an old one. False: there is no such part. `m` borrows the
   text. */
bool giving_get_part(Giving *g, double now, uint64_t known_revision,
                     const HandoverRequest *request, CodecFeed *m);
/* Adds an update that this instance received or sent, with the changes from
   revision `m->from` to `m->revision`. */
void giving_add_update(Giving *g, const CodecFeed *m);
/* Calls `fn` for each update since the list was begun, oldest first. */
void giving_each_update(const Giving *g,
                        void (*fn)(void *ctx, const CodecFeed *m), void *ctx);

#endif
