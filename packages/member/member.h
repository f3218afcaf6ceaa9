/* member.h: membership of a small fleet; the pure core. Heartbeats between the
   instances decide which are live; the platform's list contains their addresses
   and which of them are leaving. No safety rule depends on the view being
   right.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>

#include "member/view.h"

/* A seed: one line of the platform's list, an address to contact. */
typedef struct MemberSeed {
  char name[LIMIT_NAME_BYTES]; /* of an instance, or of a target */
  char peer[LIMIT_NAME_BYTES];
  bool target, leaving;
} MemberSeed;

/* A heartbeat, the periodic message by which an instance is known to be live,
   that is due; `to` is owned by the set until its next event. */
typedef struct MemberHeartbeat {
  const char *to;
  double heartbeat_interval_s; /* time to the next one, stated in the message */
} MemberHeartbeat;

typedef struct MemberSet MemberSet;

MemberSet *member_new(const Member *self);
void member_free(MemberSet *s);

/* Events; true when the view changed. */
bool member_receive_heartbeat(MemberSet *s, double now, const Member *m);
bool member_tick(MemberSet *s, double now);
/* Another instance reported `m`: it is sent heartbeats, and becomes a member
   with its own first heartbeat. */
void member_add_introduced(MemberSet *s, double now, const Member *m);
/* The member to report to the instance at `to` with this heartbeat, NULL: none.
   For a while after the view changed each heartbeat introduces one other. */
const Member *member_pick_introduction(MemberSet *s, double now,
                                       const char *to);
/* Applies the platform's list; don't call it for a failed read. */
bool member_apply_list(MemberSet *s, double now, const MemberSeed *list, int n);
/* Sets what this instance reports of itself. */
bool member_update_self(MemberSet *s, bool leaving, uint64_t table);

const Member *member_get_self(const MemberSet *s);
/* A copy of the present view, to be freed with view_free. */
View *member_view(const MemberSet *s, double now);
/* Adds the heartbeats that are due to `out` (MemberHeartbeat): frequent within
   the region, rare to other regions, at once to a new member. In a fleet of up
   to MEMBER_SMALL_INSTANCES all get the same interval, MEMBER_HEARTBEAT_S or
   what MEMBER_BYTES_PER_S allows; a larger fleet spends MEMBER_NEAR_BYTES_PER_S
   and MEMBER_FAR_BYTES_PER_S. */
void member_collect_heartbeats(MemberSet *s, double now, GArray *out);
/* Makes all heartbeats due at once, to publish an urgent change. */
void member_expedite_heartbeats(MemberSet *s);

#endif
