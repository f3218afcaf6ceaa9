/* gateways.h: chooses the other instance through which a target is reached
   while this instance is partitioned from the targets; pure. A gateway forwards
   bytes between this instance and a target (flow/tunnel.h); this instance still
   makes all decisions about the request. */
#ifndef ROUTE_GATEWAYS_H
#define ROUTE_GATEWAYS_H

#include "member/view.h"
#include "route/regions.h"

typedef struct Gateways Gateways;

/* `port` is the one at which every instance accepts tunnels. */
Gateways *gateways_new(const Member *self, int port);
void gateways_free(Gateways *g);

/* The members of the fleet changed; `r` maps their regions. */
void gateways_set_members(Gateways *g, const View *v, const Regions *r);
/* Returns the address ("ip:port") of the gateway for a target (text_hash of its
   address), NULL: there is none. Gateways of our data centre come first, then
   those of our region; among those, the targets are spread evenly, and a target
   keeps its gateway, so that connections can be reused. `allowed`: the regions
   that the request is bound to. */
const char *gateways_pick(const Gateways *g, double now, uint64_t target,
                          RegionSet allowed);
/* The number of members that may be gateways. */
int gateways_count(const Gateways *g);
/* Whether it is the address of a member that is not leaving. */
bool gateways_has(const Gateways *g, const char *addr);
/* The id of the instance at this address; "": it is not a member. */
const char *gateways_id(const Gateways *g, const char *addr);

/* A tunnel through the gateway was opened, or it did not open one: it is not
   picked for a while. */
void gateways_note_opened(Gateways *g, const char *addr);
void gateways_note_failed(Gateways *g, double now, const char *addr);

#endif
