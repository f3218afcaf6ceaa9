/* member.h: who is there; the pure core. Heartbeats between the instances
   decide who is live, the platform's list gives addresses and who leaves.
   Nothing that must always hold depends on this being right. */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>

#include "member/view.h"

/* One line of the platform's list. */
typedef struct MemberSeed {
  char name[LIMIT_NAME_BYTES]; /* of an instance, or of a target */
  char peer[LIMIT_NAME_BYTES];
  bool target, leaving;
} MemberSeed;

/* A heartbeat to be sent; `to` is owned by the set until its next event. */
typedef struct MemberHeartbeat {
  const char *to;
  double heartbeat_interval_s; /* what it promises */
} MemberHeartbeat;

typedef struct MemberSet MemberSet;

MemberSet *member_new(const Member *self);
void member_free(MemberSet *s);

/* Events; true when the view changed. */
bool member_receive_heartbeat(MemberSet *s, double now, const Member *m);
bool member_tick(MemberSet *s, double now);
/* Somebody else told us of `m`: it is greeted, and counts once it speaks. */
void member_add_introduced(MemberSet *s, double now, const Member *m);
/* Whom to tell the instance at `to` of with this heartbeat, NULL: nobody. For
   a while after the view changed each heartbeat introduces one other. */
const Member *member_pick_introduction(MemberSet *s, double now,
                                       const char *to);
/* The list as read; a failed read is no event. */
bool member_apply_list(MemberSet *s, double now, const MemberSeed *list, int n);
/* What we say of ourselves. */
bool member_update_self(MemberSet *s, bool leaving, uint64_t table);

const Member *member_get_self(const MemberSet *s);
/* A copy of the present view, to be freed with view_free. */
View *member_view(const MemberSet *s, double now);
/* Adds the heartbeats that are due to `out` (MemberBeat): often within the
   region, rarely beyond, at once to whoever is new. Up to MEMBER_SMALL
   instances all hear alike, MEMBER_BEAT apart or as MEMBER_BYTES allow; a
   larger fleet spends MEMBER_NEAR and MEMBER_FAR. */
void member_collect_heartbeats(MemberSet *s, double now, GArray *out);
/* All are due again: there is something that everybody should hear soon. */
void member_expedite_heartbeats(MemberSet *s);

#endif
