/* gossip.h: membership of a fleet of any size; the pure core of one instance.
   It follows the SWIM family of protocols: members are probed a few at a time
   along a ring, probed indirectly before one is suspected, and updates about
   them pass from neighbour to neighbour. What an instance sends, and how many
   links it holds, grows with the logarithm of the fleet. No safety rule depends
   on the view being right. */
#ifndef MEMBER_GOSSIP_H
#define MEMBER_GOSSIP_H

#include <glib.h>

#include "member/view.h"

typedef enum {
  GOSSIP_ALIVE,
  GOSSIP_SUSPECT, /* it did not answer a probe, and may still refute that */
  GOSSIP_DEAD,
  GOSSIP_STATES
} GossipState;

/* An update about one member. Of two updates the one with the higher
   `generation` wins; within a generation the later state. */
typedef struct GossipUpdate {
  Member m;            /* id, region, dc, peer, leaving */
  uint32_t generation; /* raised only by the member itself, to refute a
                          suspicion or to announce that it leaves */
  GossipState state;
} GossipUpdate;

typedef enum {
  GOSSIP_PING,
  GOSSIP_ACK,
  GOSSIP_PING_REQUEST, /* requests that the receiver probes `subject` */
  GOSSIP_INDIRECT_ACK, /* `subject` answered the receiver of a PING_REQUEST */
  GOSSIP_FULL_STATE,   /* ends a run of updates about all known members */
  GOSSIP_KINDS
} GossipKind;

typedef struct GossipMsg {
  GossipKind kind;
  uint64_t subject; /* text_hash of an id, 0: none */
  uint64_t digest;  /* of all members that the sender knows */
  uint64_t table;   /* version of the configuration in force at the sender */
  bool is_reply;    /* FULL_STATE: sent in reply to another one */
} GossipMsg;

/* A message to send to the instance at `to`. Updates precede the message, in
   the same frame. */
typedef struct GossipAction {
  char to[LIMIT_NAME_BYTES];
  uint64_t id; /* text_hash of the receiver's id, 0: any instance at `to` */
  bool is_update;
  GossipUpdate update;
  GossipMsg msg;
} GossipAction;

typedef struct Gossip Gossip;

Gossip *gossip_new(const Member *self, uint32_t rng_seed);
void gossip_free(Gossip *g);

/* Adds a seed: an address at which other instances may be found after the
   start. It may be our own, out of date or unreachable. */
void gossip_add_seed(Gossip *g, double now, const char *peer);
/* Sets what this instance reports of itself. */
void gossip_update_self(Gossip *g, bool leaving, uint64_t table);

/* Events. `now` is monotonic seconds; `from` the text_hash of the sender's id.
   After each event, take the actions. */
void gossip_receive_update(Gossip *g, double now, uint64_t from,
                           const GossipUpdate *n);
void gossip_receive(Gossip *g, double now, uint64_t from, const GossipMsg *m);
/* Call at least ten times a second. */
void gossip_tick(Gossip *g, double now);

/* Removes the next action into `a`; false when there is none. */
bool gossip_take_action(Gossip *g, GossipAction *a);

const Member *gossip_get_self(const Gossip *g);
/* A counter that rises when a member joins, is lost or begins to leave. */
uint64_t gossip_version(const Gossip *g);
/* When the last member was lost that had not said that it leaves; 0: never. */
double gossip_lost_at(const Gossip *g);
/* A copy of the present view, to be freed with view_free. */
View *gossip_view(Gossip *g);
/* A random member that reported a newer configuration than `table`; NULL: none
   has. */
const Member *gossip_find_newer_table(Gossip *g, uint64_t table);

#endif
