/* tallies.h: selects, for each target, the instance that counts the work of all
   instances there (the target's counter), and exchanges messages with it. */
#ifndef FLEET_TALLIES_H
#define FLEET_TALLIES_H

#include "peer/peer.h"

typedef struct Tallies Tallies;

/* Called with the counters' answers to this instance; where this instance is
   the counter itself, during tallies_request_tally or
   tallies_request_permit. */
typedef struct TalliesEvents {
  void (*tally_received)(void *ctx, const TallyReport *report);
  void (*permit_answered)(void *ctx, const TallyPermit *permit);
} TalliesEvents;

/* `regions` is borrowed and must outlive the result. */
Tallies *tallies_new(Peer *peer, const char *self, const Regions *regions,
                     const TalliesEvents *ev, void *ctx);
void tallies_free(Tallies *t);
/* Sets the known instances; `v` is borrowed, until the next call. */
void tallies_set_members(Tallies *t, double now, const View *v);
/* This process was paused; other instances may have counted in its place. */
void tallies_note_pause(Tallies *t, double now);
/* Requests the total work of all instances at a target from its counter. */
void tallies_request_tally(Tallies *t, double now, const TallyQuery *a);
/* Reports a run, the state of one request of this instance at a target, to the
   target's counter. */
void tallies_report_run(Tallies *t, double now, const TallyRun *r);
/* Requests a permit (the right to send one request to a target with a limit)
   from the target's counter. */
void tallies_request_permit(Tallies *t, double now,
                            const TallyPermitRequest *a);
/* Reports a target's limit, which this instance learned, to the target's
   counter. */
void tallies_report_limit(Tallies *t, double now, const TallyLimit *m);
/* Sets `m` to the next limit to send to all instances, among the targets that
   this instance counts; each limit is due again after `resend_s` seconds
   (tally_next_limit). False: none is due. */
bool tallies_next_limit(Tallies *t, double now, double resend_s, TallyLimit *m);
/* Handles a message from `from`; false: another module handles its type. */
bool tallies_receive(Tallies *t, double now, const Member *from,
                     const CodecMsg *m);
/* As tally_pool_state. */
bool tallies_pool_state(Tallies *t, double now, uint64_t pool,
                        TallyPoolState *out);
/* Removes counts that their senders no longer refresh. */
void tallies_remove_expired(Tallies *t, double now);

#endif
