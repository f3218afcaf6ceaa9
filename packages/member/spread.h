/* spread.h: how a message for all instances of a region is forwarded along a
   tree; pure. Each instance forwards it to a few others, and tells each which
   range of the ring it has to cover, so that an instance sends only a few
   copies and each receives one. Ranges are given by the place at which they
   end, not by counts: views that differ by a few members lose the message for
   those members, not for all that follow them. */
#ifndef MEMBER_SPREAD_H
#define MEMBER_SPREAD_H

#include "member/view.h"

/* Copies that one instance sends. 295 instances are reached in three hops at
   most, and a lost copy costs 17 others the message. */
#define SPREAD_FANOUT 16
/* Bytes of the name of a place in the ring, "data centre/id". */
#define SPREAD_PLACE_BYTES (LIMIT_NAME_BYTES + LIMIT_ID_BYTES)

/* The next receiver, and the place before which its range ends. */
typedef struct SpreadPart {
  const Member *to;
  char until[SPREAD_PLACE_BYTES];
} SpreadPart;

typedef struct Spread Spread;

/* Writes the end of an empty range as seen by `to`, for a message that it must
   not forward. */
void spread_single_end(const Member *to, char out[SPREAD_PLACE_BYTES]);

/* The members of the region of `self` in `v`; `v` has to outlive it. Data
   centres are contiguous in the ring, so that a message crosses to each once or
   twice. */
Spread *spread_new(const View *v, const Member *self);
void spread_free(Spread *s);
/* Fills `out` with the instances to forward a message to; returns their number.
   `until`: the end of our range as received with the message; "": we are the
   origin and cover the whole ring. */
int spread_split(const Spread *s, const char *until,
                 SpreadPart out[SPREAD_FANOUT]);

#endif
