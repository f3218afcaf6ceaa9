/* tallies.h: selects the instance that counts the work of all instances at each
   target, and exchanges the messages with it. */
#ifndef FLEET_TALLIES_H
#define FLEET_TALLIES_H

#include "peer/peer.h"

typedef struct Tallies Tallies;

/* Answers to requests of this instance; called immediately where this instance
   is the counter. */
typedef struct TalliesEvents {
  void (*count_received)(void *ctx, const TallyReport *w);
  void (*permit_answered)(void *ctx, const TallyPermit *p);
} TalliesEvents;

/* `regions` is borrowed and must outlive the result. */
Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     const TalliesEvents *ev, void *ctx);
void tallies_free(Tallies *t);
/* Sets the members; `v` must stay valid until the next call. */
void tallies_set_members(Tallies *t, double now, const View *v);
/* This process was paused; other instances may have counted in its place. */
void tallies_note_pause(Tallies *t, double now);
/* Requests a target's total from its counter, or reports one request of this
   instance to it. */
void tallies_request_count(Tallies *t, double now, const TallyQuery *a);
void tallies_report_run(Tallies *t, double now, const TallyRun *r);
/* Requests a permit (the right to send one request to a target with a limit)
   from the target's counter, or reports the target's limit to it. */
void tallies_request_permit(Tallies *t, double now,
                            const TallyPermitRequest *a);
void tallies_report_limit(Tallies *t, double now, const TallyLimit *m);
/* Returns the next limit to send to all instances, of the targets counted here;
   each is returned again after `resend_s` (tally_limit_news). */
bool tallies_next_limit(Tallies *t, double now, double resend_s, TallyLimit *m);
/* Handles a message from `from`; false: its type belongs to another module. */
bool tallies_receive(Tallies *t, double now, const Member *from,
                     const CodecMsg *m);
void tallies_remove_expired(Tallies *t, double now);

#endif
