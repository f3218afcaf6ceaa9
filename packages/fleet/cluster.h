/* cluster.h: runs the cores (modules without I/O) for membership and budgets on
   an event loop; the counterpart of fleet.h for a single-threaded instance. */
#ifndef FLEET_CLUSTER_H
#define FLEET_CLUSTER_H

#include <ev.h>

#include "fleet/allocations.h"
#include "kernel/err.h"
#include "ledger/ledger.h"
#include "member/gossip.h"
#include "member/readers.h"
#include "peer/codec.h"
#include "route/admission.h"
#include "store/objects.h"

typedef struct Cluster Cluster;

typedef struct ClusterOptions {
  Member self;
  const char *bind;  /* tcp://ip:port to bind for the other instances */
  const char *seeds; /* their IPs, separated by commas; may be out of date */
  uint32_t seed;     /* of the random number generators */
  const Regions *regions; /* borrowed; must outlive the cluster */
} ClusterOptions;

typedef struct ClusterEvents {
  /* A reservation (tokens set aside from a customer's budget for one request)
     was granted, or refused with `cause`. */
  void (*reservation_decided)(void *ctx, uint64_t handle, ErrKind cause,
                              int retry_ms);
  /* Instances joined, left or began to leave. `view` counts this instance too;
     `rank` is its position in the order of ids. */
  void (*instances_changed)(void *ctx, int rank, const View *view);
  /* Another instance sent its configuration. */
  void (*conf_received)(void *ctx, const char *text);
  /* Returns the configuration to send to another instance; NULL: none. */
  const char *(*conf_text)(void *ctx);
  /* An update that another instance read from the store, or a neighbour's
     request for the target list or answer to one (CODEC_FEED_PART_REQUEST,
     CODEC_FEED_PART). `from` is the instance that sent or forwarded it. */
  void (*feed_received)(void *ctx, const char *from, const CodecFeed *m);
  /* Another instance (`from`: hash of its id) reported its work at a target. */
  void (*work_reported)(void *ctx, uint64_t from, const TargetWork *m);
  /* Another instance reported the prompt parts that a target has processed
     for it. */
  void (*parts_reported)(void *ctx, const TargetParts *m);
  /* The total work of all instances at a target, in answer to
     cluster_request_tally. */
  void (*tally_received)(void *ctx, const TallyReport *m);
  /* The answer to cluster_request_permit: whether a request may go to a target
     with a limit. */
  void (*permit_answered)(void *ctx, const TallyPermit *m);
  /* The rate of a target that was queried, just before the report on it. */
  void (*rate_received)(void *ctx, const TallyRate *m);
  /* Fills in what is known of a target, all but `ours`; false: unknown. */
  TallyFindTarget find_target;
  /* A target's limit, as the instance that counts its work sent it to all. */
  void (*limit_received)(void *ctx, const TallyLimit *m);
  /* Returns the name of the customer with this text_hash, for log lines; NULL:
     unknown. */
  const char *(*customer_name)(void *ctx, uint64_t customer);
  /* A message about a suspect: a request during which targets failed. */
  void (*suspect_received)(void *ctx, const SuspectsMsg *m);
  /* A message about the version that began a stream; `from` is the id of the
     instance that sent it. */
  void (*origin_received)(void *ctx, const char *from, const OriginsMsg *m);
  /* Another instance (`from`: hash of its id) reported its observations of a
     pool. */
  void (*pool_reported)(void *ctx, uint64_t from, const TargetsPoolReport *m);
} ClusterEvents;

Cluster *cluster_open(struct ev_loop *loop, Store *store,
                      const ClusterOptions *o, const ClusterEvents *ev,
                      void *ctx, Err *e);
void cluster_close(Cluster *c);

/* Sets the version of the configuration in force here, which is sent to the
   other instances. */
void cluster_set_conf_version(Cluster *c, uint64_t version);
/* Returns whether this instance reads the store, and for which instances. */
ReadersDuty cluster_reader_duty(Cluster *c);
/* Records the outcome of a call that this instance made to the store. */
void cluster_note_store_outcome(Cluster *c, ReadersStoreResult outcome);
/* Whether to check now if the store accepts a connection, and, once it does,
   whether to send a request on it (readers_probe_is_due,
   readers_request_is_due). */
bool cluster_may_probe_store(Cluster *c);
bool cluster_may_query_store(Cluster *c);
/* Sends a message to one instance, which does not forward it. */
void cluster_send_feed(Cluster *c, const char *id, const CodecFeed *m);
/* Sends an update read from the store to the other instances of the region. */
void cluster_broadcast_feed(Cluster *c, const CodecFeed *m);
/* Reports the work of this instance at a target to the other instances of the
   region; does nothing in a large fleet. */
void cluster_broadcast_work(Cluster *c, const TargetWork *m);
/* Reports prompt parts in the same way. */
void cluster_broadcast_parts(Cluster *c, const TargetParts *m);
/* Whether all instances are known that were part of the fleet in the last
   `memory_s` seconds, but for those that left as planned. An instance that is
   cut off from the others loses them. */
bool cluster_is_whole(const Cluster *c, double memory_s);
/* Whether there are too many instances for each to report to all others. */
bool cluster_is_large(const Cluster *c);
/* Requests the total work of all instances at a target from the instance that
   counts it. The answer may arrive before this returns, or never. */
void cluster_request_tally(Cluster *c, const TallyQuery *a);
/* Reports a request of this instance at a target to the instance that counts
   its work. */
void cluster_report_run(Cluster *c, const TallyRun *r);
/* The state of a service (text_hash of its name) at the targets whose work this
   instance counts (tally_pool_state). */
bool cluster_pool_state(Cluster *c, uint64_t pool, TallyPoolState *out);
/* Requests a permit (the right to send one request to a target with a limit)
   from the instance that counts there. The answer may arrive before this
   returns, or never. */
void cluster_request_permit(Cluster *c, const TallyPermitRequest *a);
/* Reports a target's limit to the instance that counts its work. */
void cluster_report_limit(Cluster *c, const TallyLimit *m);
/* This process was paused; other instances may have taken over its counts. */
void cluster_note_pause(Cluster *c);
/* Reports observations of a pool to the other instances of the region; does
   nothing in a large fleet. */
void cluster_broadcast_pool(Cluster *c, const TargetsPoolReport *m);
/* Sets the services whose capacity is divided between customers (the part
   `shares`, conf/managed.h). */
void cluster_set_shared_services(Cluster *c, const AllocationsService *list,
                                 int n);
/* Counts a decision about a request for the allocation of its service. */
void cluster_note_decision(Cluster *c, const AllocationsDecision *d);
/* Sets `out` to what the allocation of a service's capacity states about a
   customer; both are given by text_hash of their names. A request without a
   customer has the hash of "". */
void cluster_admission_cutoff(Cluster *c, uint64_t service, uint64_t customer,
                              AdmissionCutoff *out);
/* Sends a mark to the homes of the request (the instances that its digest
   selects), and any other kind of message to all instances. */
void cluster_send_suspect(Cluster *c, const SuspectsMsg *m);
/* Tells the record of a stream to its homes (the instances that its key
   selects). */
void cluster_share_origin(Cluster *c, const OriginsMsg *record);
/* Asks the instances that may know a stream; returns how many there are. */
int cluster_query_origin(Cluster *c, const OriginsMsg *query);
/* Answers the instance `to`. */
void cluster_answer_origin(Cluster *c, const char *to, const OriginsMsg *m);
/* Sets whether the store is known to answer no instance. */
void cluster_set_store_unavailable(Cluster *c, bool unavailable);
void cluster_set_budgets(Cluster *c, const LedgerBudget *list, int n);
/* Returns the handle of the reservation, never 0. The decision is reported by
   the next cluster_run_actions, or later. `priority`: see ledger_reserve. */
uint64_t cluster_reserve(Cluster *c, const char *budget, int64_t tokens,
                         int priority);
/* See ledger_wait_cause. */
ErrKind cluster_wait_cause(Cluster *c, uint64_t handle, int *retry_ms);
/* See ledger_outage_left_ms. */
int cluster_outage_left_ms(const Cluster *c);
void cluster_run_actions(Cluster *c);
/* Ends a reservation, or cancels one that is still undecided (`used` 0). */
void cluster_settle(Cluster *c, uint64_t handle, int64_t used);
/* Planned stop: returns all unused budget. */
void cluster_drain(Cluster *c);
bool cluster_is_drained(const Cluster *c);
/* False for a second or two after the start, while other instances are being
   discovered; no reservation is decided until then. */
bool cluster_is_ready(const Cluster *c);
/* Estimated milliseconds until cluster_is_ready; 0: it is. */
int cluster_ready_in_ms(const Cluster *c);

#endif
