/* relay.h: relays requests of callers to targets, on the event loop. For each
   request it finds route and customer, reserves the customer's budget, chooses
   a target and passes on the answer, or refuses the request. */
#ifndef FLOW_RELAY_H
#define FLOW_RELAY_H

#include <ev.h>

#include "conf/conf.h"
#include "conf/managed.h"
#include "flow/caller.h"
#include "fleet/cluster.h"
#include "route/retries.h"
#include "route/targets.h"

typedef struct Relay Relay;

/* What this instance is to the recovery of streams after a loss of all. */
typedef struct RecoveryPlace {
  bool is_first_start; /* of the whole fleet */
  int rank;            /* of this instance among all; -1: not known */
  int n_instances;
  double store_writes_per_s; /* that the whole fleet may make */
} RecoveryPlace;

typedef struct RelayOptions {
  const char *listen_addr; /* "ip:port" for callers */
  const char *tunnel_addr; /* "ip:port" for tunnels of other instances */
  const Member *self;      /* copied */
  size_t caller_bytes;     /* that callers may make this instance hold */
  int max_connections;     /* of callers and, on their behalf, to targets */
  Store *store;            /* holds the trials of suspects (run.h) */
  const Regions *regions;  /* of the data centres; outlives the relay */
  const Managed *managed;  /* outlives the relay */
  RecoveryPlace recovery;
} RelayOptions;

Relay *relay_open(struct ev_loop *loop, const RelayOptions *o, Targets *targets,
                  Retries *retries, Err *e);
void relay_close(Relay *r);
/* Sets the cluster that reserves budgets; to be called before the first
   request. */
void relay_set_cluster(Relay *r, Cluster *c);

/* Sets the configuration for new requests. */
void relay_set_conf(Relay *r, Conf *c);
Conf *relay_get_conf(const Relay *r);
/* The reservation `handle` was decided. A reservation holds a part of a
   customer's budget for one request. */
void relay_on_reserved(Relay *r, uint64_t handle, ErrKind cause, int retry_ms);
/* The number of requests of all instances at a target, which a request
   queried. */
void relay_on_tally(Relay *r, const TallyReport *w);
/* The rate of a target that a request queried. */
void relay_on_rate(Relay *r, const TallyRate *m);
/* What this instance, as a counting instance, knows of a target; `ours` is not
   set. False: the target is unknown. */
bool relay_find_target(const Relay *r, uint64_t target, TallyTarget *out);
/* Logs the rates of the targets that this instance counts, by service. */
void relay_log_rates(const Relay *r);
/* Answer to a permit request. A permit allows one request to be sent to a
   target that limits its rate. */
void relay_on_permit(Relay *r, const TallyPermit *p);
/* Another instance reported the rate of requests that a target accepts. */
void relay_on_limit(Relay *r, uint64_t target, double limit);
/* For a planned stop: open requests continue, and answers close their
   connections. */
void relay_drain(Relay *r);
/* Sets whether answers close their connections. */
void relay_set_leaving(Relay *r, bool leaving);
/* Returns the total of bytes received from callers. */
int64_t relay_bytes_received(const Relay *r);
/* The target at `addr` has restarted: links to it are dead. `old_hash` is the
   target_hash that it had before. */
void relay_on_target_restarted(Relay *r, const char *addr, uint64_t old_hash);
/* Another instance reported on a suspect: a request under which targets
   ended. */
void relay_on_suspect(Relay *r, const SuspectsMsg *m);
/* Another instance (`from`: its id) tells the version that began a stream, or
   asks for it. */
void relay_on_origin(Relay *r, const char *from, const OriginsMsg *m);
/* The store's content of a trial, and the names of all trials; as in
   FeedEvents. */
void relay_on_trial(Relay *r, const char *name, const json_t *content,
                    uint64_t revision);
void relay_on_trial_names(Relay *r, GHashTable *names);
/* The members of the fleet changed. */
void relay_set_members(Relay *r, const View *v);
/* The number of tunnels that other instances have open. */
int relay_tunnel_count(const Relay *r);
/* Probes the network paths to the targets; to be called 20 times a second. */
void relay_check_paths(Relay *r);
/* Expires old state; to be called about once a second. */
void relay_sweep(Relay *r);
/* Sets whether the state of this instance is stale because its process was
   paused. While it is, new requests are refused and none is dispatched. */
void relay_set_stale(Relay *r, bool stale);
struct Feed;
/* Followed objects of the store; to be called once, before
   relay_update_recovery. */
void relay_set_feed(Relay *r, struct Feed *feed);
/* To be called 20 times a second. */
void relay_update_recovery(Relay *r, const RecoveryPlace *place);
/* The store has not told what changed in a pause of this process: answers whose
   targets may have been replaced in it count as broken. */
void relay_end_checks(Relay *r);
/* From now on new requests are refused. */
void relay_refuse_requests(Relay *r);
/* The process is about to exit: answers all open requests, truthfully as not
   run or as maybe run; an answer that has begun is broken off. Returns their
   number. */
int relay_end_requests(Relay *r);
int relay_open_request_count(const Relay *r);
/* Whether parts of answers wait to be sent to callers. */
bool relay_is_delivering(const Relay *r);

#endif
