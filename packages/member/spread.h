/* spread.h: how a message for all instances of a region goes from one to the
   others; pure. Each hands it on to a few, and tells each for which part of the
   others it is to care, so that nobody sends more than a few copies and each
   gets one. Parts are named by where they end, not by counts: views that differ
   by a few members cost those members a message, not all behind them. */
#ifndef MEMBER_SPREAD_H
#define MEMBER_SPREAD_H

#include "member/view.h"

/* Copies that one instance sends: 295 instances are reached by three hands at
   most, and a lost one costs 17 others a message. */
#define SPREAD_FANOUT 16
/* Bytes of the name of a place in the order of all. */
#define SPREAD_PLACE_BYTES (LIMIT_NAME_BYTES + LIMIT_ID_BYTES)

/* Who gets the message next, and the place before which its part ends. */
typedef struct SpreadPart {
  const Member *to;
  char until[SPREAD_PLACE_BYTES];
} SpreadPart;

typedef struct Spread Spread;

/* The end of a part in which nobody is, as `to` sees it: for a message that is
   meant for it alone. */
void spread_single_end(const Member *to, char out[SPREAD_PLACE_BYTES]);

/* The members of our region in `v`, which has to outlive it. Data centres stand
   together, so that a message crosses to each once or twice. */
Spread *spread_new(const View *v, const Member *self);
void spread_free(Spread *s);
/* Fills `out` with whom we hand a message on to; their number. `until`: the end
   of our part, as we were told it; "": we are the first, all are ours. */
int spread_split(const Spread *s, const char *until,
                 SpreadPart out[SPREAD_FANOUT]);

#endif
