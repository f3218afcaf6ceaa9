/* peer.h: frames between instances over ZeroMQ. One thread owns the sockets;
   any thread may queue messages for it. */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "peer/codec.h"

/* Seconds without a message after which an on-demand link is closed. An
   instance sends several messages to a request's home, the instance that keeps
   its record, within this time; an open link costs 70 KB at both ends. */
#define PEER_IDLE_CLOSE_S 10.0

typedef struct Peer Peer;

/* Called on the peer thread. `from` is the sender's id hash. */
typedef void (*PeerHandler)(void *ctx, uint64_t from, CodecMsg *m);

/* Binds `addr` ("tcp://ip:port"). NULL with a typed error on failure. */
Peer *peer_open(const char *addr, const char *self, Err *e);
void peer_close(Peer *p);
/* Opens each link with its first message, which is queued until the link is up,
   and closes it after PEER_IDLE_CLOSE_S without a message. For a fleet in which
   each instance sends to few others. */
void peer_use_on_demand_links(Peer *p);

/* Queue a message for the instance `id` at `addr`. Any thread. */
void peer_send_ledger(Peer *p, const char *addr, const char *id,
                      const LedgerMsg *m);
void peer_send_once(Peer *p, const char *addr, const char *id,
                    const OnceMsg *m);
void peer_send_load(Peer *p, const char *addr, const char *id,
                    const LoadsMsg *m);
/* To the instance whose id has the text_hash `to`, 0: any instance at `addr`.
 */
void peer_send_member_update(Peer *p, const char *addr, uint64_t to,
                             const GossipUpdate *n);
void peer_send_gossip(Peer *p, const char *addr, uint64_t to,
                      const GossipMsg *m);
/* Sends a heartbeat to any instance at `addr`. */
void peer_send_heartbeat(Peer *p, const char *addr, const Member *m);

/* Sends the operators' configuration, or without text a request for it. */
void peer_send_config(Peer *p, const char *addr, const char *id,
                      uint64_t version, const Packed *text);
void peer_send_work(Peer *p, const char *addr, const char *id,
                    const TargetWork *m);
void peer_send_parts(Peer *p, const char *addr, const char *id,
                     const TargetParts *m);
void peer_send_pool(Peer *p, const char *addr, const char *id,
                    const TargetsPoolReport *m);
void peer_send_tally_query(Peer *p, const char *addr, const char *id,
                           const TallyQuery *m);
void peer_send_tally_report(Peer *p, const char *addr, const char *id,
                            const TallyReport *m);
/* In the frame of the report that follows it. */
void peer_send_rate(Peer *p, const char *addr, const char *id,
                    const TallyRate *m);
void peer_send_tally_run(Peer *p, const char *addr, const char *id,
                         const TallyRun *m);
void peer_send_suspect(Peer *p, const char *addr, const char *id,
                       const CodecSuspect *m);
void peer_send_origin(Peer *p, const char *addr, const char *id,
                      const OriginsMsg *m);
/* Each of the next five is sent in a frame of its own: builds that do not know
   the type drop whatever follows it in a frame. */
void peer_send_permit_request(Peer *p, const char *addr, const char *id,
                              const TallyPermitRequest *m);
void peer_send_permit(Peer *p, const char *addr, const char *id,
                      const TallyPermit *m);
void peer_send_limit(Peer *p, const char *addr, const char *id,
                     const CodecLimit *m);
void peer_send_demand(Peer *p, const char *addr, const char *id,
                      const AllocationDemand *m);
void peer_send_allocation(Peer *p, const char *addr, const char *id,
                          const AllocationAnswer *m);
void peer_send_feed(Peer *p, const char *addr, const char *id,
                    const CodecFeed *m);

/* For an event loop, in place of peer_poll. The descriptor is readable when
   peer_receive has messages to hand over; peer_flush sends what is queued, and
   returns false when there is nothing. */
int peer_fd(const Peer *p);
void peer_receive(Peer *p, PeerHandler h, void *ctx);
bool peer_flush(Peer *p);

/* Peer thread only: sends what is queued, waits up to `wait_ms` for a message
   to arrive or to be queued, and hands the received messages over. */
void peer_poll(Peer *p, int wait_ms, PeerHandler h, void *ctx);

#endif
