/* gossip.h: who is there, in a fleet of any size; the pure core of one
   instance. Members are probed a few at a time along a ring, indirectly before
   one counts as lost, and news of them goes from neighbour to neighbour, as in
   the SWIM family of protocols. What an instance sends, and how many links it
   holds, grows with the logarithm of the fleet. Nothing that must always hold
   depends on this being right. */
#ifndef MEMBER_GOSSIP_H
#define MEMBER_GOSSIP_H

#include <glib.h>

#include "member/view.h"

typedef enum {
  GOSSIP_ALIVE,
  GOSSIP_SUSPECT, /* it did not answer; it may still object */
  GOSSIP_DEAD,
  GOSSIP_STATES
} GossipState;

/* What is said of one member. Of two statements about it the one with the
   higher `life` counts; of the same life the later state. */
typedef struct GossipUpdate {
  Member m;            /* id, region, dc, peer, leaving */
  uint32_t generation; /* raised by the member alone, to object or to say that
                    it leaves */
  GossipState state;
} GossipUpdate;

typedef enum {
  GOSSIP_PING,         /* are you there? */
  GOSSIP_ACK,          /* I am */
  GOSSIP_PING_REQUEST, /* ask `about` for me whether it is there */
  GOSSIP_INDIRECT_ACK, /* `about` is there */
  GOSSIP_FULL_STATE,   /* what came just before was all that I know */
  GOSSIP_KINDS
} GossipKind;

typedef struct GossipMsg {
  GossipKind kind;
  uint64_t subject; /* text_hash of an id, 0: nobody */
  uint64_t digest;  /* of all members that the sender knows */
  uint64_t table;   /* configuration in force at the sender */
  bool is_reply;    /* ALL: in answer to another one */
} GossipMsg;

/* Something to be sent to the instance at `to`; news go before the message, in
   the same frame. */
typedef struct GossipAction {
  char to[LIMIT_NAME_BYTES];
  uint64_t id; /* text_hash of the receiver's id, 0: whoever is there */
  bool is_update;
  GossipUpdate update;
  GossipMsg msg;
} GossipAction;

typedef struct Gossip Gossip;

Gossip *gossip_new(const Member *self, uint32_t seed);
void gossip_free(Gossip *g);

/* An address where instances may be found after the start; may be ours, out of
   date or dark. */
void gossip_add_seed(Gossip *g, double now, const char *peer);
/* What we say of ourselves. */
void gossip_update_self(Gossip *g, bool leaving, uint64_t table);

/* Events. `now` is monotonic seconds; `from` the text_hash of the sender's id.
   After each, take the actions. */
void gossip_receive_update(Gossip *g, double now, uint64_t from,
                           const GossipUpdate *n);
void gossip_receive(Gossip *g, double now, uint64_t from, const GossipMsg *m);
/* Call some ten times a second or more often. */
void gossip_tick(Gossip *g, double now);

/* Next action, false when there is none. */
bool gossip_take_action(Gossip *g, GossipAction *a);

const Member *gossip_get_self(const Gossip *g);
/* Counts up when a member came, went or began to leave. */
uint64_t gossip_version(const Gossip *g);
/* A copy of the present view, to be freed with view_free. */
View *gossip_view(Gossip *g);
/* Any one of the members that have a newer configuration than `table`, as far
   as they told us; NULL: nobody has. */
const Member *gossip_find_newer_table(Gossip *g, uint64_t table);

#endif
