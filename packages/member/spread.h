/* spread.h: forwards a message to all instances of a region along a tree; no
   I/O. The instances of the region form a ring, sorted by data centre and id;
   the name of a place in it is "data centre/id". Each instance forwards the
   message to a few others, and sends to each the end of the range of the ring
   that this one has to cover, so that an instance sends only a few copies and
   each receives one. A range is given by the place at which it ends, not by a
   count: where the views of two instances differ by a few members, only those
   members may miss the message, not all that follow them. */
#ifndef MEMBER_SPREAD_H
#define MEMBER_SPREAD_H

#include "member/view.h"

/* Max copies that one instance sends. 295 instances are reached in at most
   three hops, and when a copy is lost, 17 others don't receive the message
   either. */
#define SPREAD_FANOUT 16
/* Size of the name of a place in the ring. */
#define SPREAD_PLACE_BYTES (LIMIT_NAME_BYTES + LIMIT_ID_BYTES)

/* A part of a range: its first member, which receives the message and forwards
   it to the others, and the place before which the part ends. */
typedef struct SpreadPart {
  const Member *to;
  char until[SPREAD_PLACE_BYTES];
} SpreadPart;

typedef struct Spread Spread;

/* Writes the end of the empty range that follows `to`, for a message that `to`
   must not forward. */
void spread_empty_range_end(const Member *to, char out[SPREAD_PLACE_BYTES]);

/* Returns the ring of the members of `v` in the region of `self`; `v` has to
   outlive it. The members of a data centre are contiguous in the ring, so that
   a message is sent to each data centre from another only once or twice. */
Spread *spread_new(const View *v, const Member *self);
void spread_free(Spread *s);
/* Fills `out` with the instances to forward a message to; returns their number.
   `until`: the end of this instance's range, as received with the message; "":
   this instance is the origin and covers the whole ring. */
int spread_split(const Spread *s, const char *until,
                 SpreadPart out[SPREAD_FANOUT]);

#endif
