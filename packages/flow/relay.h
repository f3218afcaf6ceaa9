/* relay.h: the life of a request on the event loop: route, customer, budget,
   target, answer; and every way in which it can end. */
#ifndef FLOW_RELAY_H
#define FLOW_RELAY_H

#include <ev.h>

#include "conf/conf.h"
#include "flow/caller.h"
#include "fleet/cluster.h"
#include "route/retries.h"
#include "route/targets.h"

typedef struct Relay Relay;

typedef struct RelayOptions {
  const char *listen;     /* ip:port for callers */
  int64_t body_room;      /* bytes of bodies held at once */
  Store *store;           /* where trials are kept */
  const Regions *regions; /* of the data centres; has to last */
} RelayOptions;

Relay *relay_open(struct ev_loop *loop, const RelayOptions *o, Targets *targets,
                  Retries *retries, Err *e);
void relay_close(Relay *r);
/* Where budgets are reserved; before the first request. */
void relay_cluster(Relay *r, Cluster *c);

/* The configuration that new requests are served by. */
void relay_conf(Relay *r, Conf *c);
Conf *relay_get_conf(const Relay *r);
/* A reservation is decided. */
void relay_reserved(Relay *r, uint64_t handle, ErrKind cause, int retry_ms);
/* What all have at a target that a request asked about. */
void relay_tally(Relay *r, const TallyReport *w);
/* Whether a request may go to the bounded target that it was chosen for. */
void relay_permit(Relay *r, const TallyPermit *p);
/* What a target takes (TallyLimit), as another instance tells it. */
void relay_limit(Relay *r, uint64_t target, double limit);
/* Planned stop: open requests go on, callers are asked to leave. */
void relay_drain(Relay *r);
/* Callers are asked to leave, or no longer. */
void relay_leave(Relay *r, bool leave);
/* Bytes that callers have sent in all. */
int64_t relay_taken(const Relay *r);
/* The target at `addr` has started again, after the life with that target_hash:
   links to it are dead. */
void relay_restarted(Relay *r, const char *addr, uint64_t life);
/* What another instance says of a request under which targets ended. */
void relay_suspect(Relay *r, const SuspectsMsg *m);
/* The store's word on a trial, and on all of them; as in FeedEvents. */
void relay_trial(Relay *r, const char *name, const json_t *content,
                 uint64_t revision);
void relay_trials(Relay *r, GHashTable *names);
/* Forgets what is old; about once a second. */
void relay_sweep(Relay *r);
/* This instance stood still: until it is `false` again, nothing that it knows
   is acted on, and new requests are refused. */
void relay_behind(Relay *r, bool behind);
/* From here on new requests are refused. */
void relay_refuse(Relay *r);
int relay_open_requests(const Relay *r);

#endif
