/* cluster.h: runs the pure cores of members and budgets on an event loop: the
   counterpart of fleet.h for an instance that has no threads of its own. */
#ifndef FLEET_CLUSTER_H
#define FLEET_CLUSTER_H

#include <ev.h>

#include "kernel/err.h"
#include "ledger/ledger.h"
#include "member/gossip.h"
#include "member/readers.h"
#include "peer/codec.h"
#include "store/objects.h"

typedef struct Cluster Cluster;

typedef struct ClusterOptions {
  Member self;
  const char *bind;       /* tcp://ip:port for the other instances */
  const char *seeds;      /* their IPs, parted by commas; may be out of date */
  uint32_t seed;          /* of what is random */
  const Regions *regions; /* has to last */
} ClusterOptions;

typedef struct ClusterEvents {
  /* A reservation is decided. */
  void (*reserved)(void *ctx, uint64_t handle, ErrKind cause, int retry_ms);
  /* Other instances came or went; `n` with ourselves, who are the `rank`-th by
     id. */
  void (*instances)(void *ctx, int rank, int n);
  /* Another instance sent its configuration. */
  void (*conf)(void *ctx, const char *text);
  /* The configuration that another instance is to get; NULL: none. */
  const char *(*conf_text)(void *ctx);
  /* Another instance read this in the store, or is a neighbour that asks or
     answers (CODEC_FEED_ASK); it came by way of `from`. */
  void (*feed)(void *ctx, const char *from, const CodecFeed *m);
  /* Another instance (hash of its id) tells of its work at a target. */
  void (*work)(void *ctx, uint64_t from, const TargetWork *m);
  /* The same of parts of prompts that it had read there. */
  void (*parts)(void *ctx, const TargetParts *m);
  /* What all have at a target that we asked for. */
  void (*tally)(void *ctx, const TallyReport *m);
  /* Whether a request of ours may go to a bounded target. */
  void (*permit)(void *ctx, const TallyPermit *m);
  /* What a target takes, as who counts there tells all. */
  void (*limit)(void *ctx, const TallyLimit *m);
  /* What is said of a request under which targets ended. */
  void (*suspect)(void *ctx, const SuspectsMsg *m);
  /* The same of what it saw of a pool. */
  void (*pool)(void *ctx, uint64_t from, const TargetsPoolReport *m);
} ClusterEvents;

Cluster *cluster_open(struct ev_loop *loop, Store *store,
                      const ClusterOptions *o, const ClusterEvents *ev,
                      void *ctx, Err *e);
void cluster_close(Cluster *c);

/* The configuration in force here, as the others hear of it. */
void cluster_conf(Cluster *c, uint64_t version);
/* Whether this instance reads the store, and for whom. */
ReadersDuty cluster_duty(Cluster *c);
/* How the store met a call of the one who reads it. */
void cluster_met(Cluster *c, ReadersStoreResult word);
/* readers_knocks and readers_asks, of our readers. */
bool cluster_knocks(Cluster *c);
bool cluster_asks(Cluster *c);
/* A word to one neighbour alone. */
void cluster_feed_to(Cluster *c, const char *id, const CodecFeed *m);
/* Tells the others of the region what was read. */
void cluster_feed(Cluster *c, const CodecFeed *m);
/* Tells the others of our work at a target, in a small fleet. */
void cluster_work(Cluster *c, const TargetWork *m);
/* The same of parts of prompts. */
void cluster_parts(Cluster *c, const TargetParts *m);
/* Too many to tell each other of everything. */
bool cluster_is_large(const Cluster *c);
/* Asks whoever counts it what all have at a target; the answer may come before
   this returns, or never. */
void cluster_tally_ask(Cluster *c, const TallyQuery *a);
/* Tells whoever counts it of a request of ours at a target. */
void cluster_tally_tell(Cluster *c, const TallyRun *r);
/* Asks whoever counts there for a permit; the answer may come before this
   returns, or never. */
void cluster_permit_ask(Cluster *c, const TallyPermitRequest *a);
/* Tells whoever counts there of a target's limit. */
void cluster_limit(Cluster *c, const TallyLimit *m);
/* This instance stood still. */
void cluster_stood_still(Cluster *c);
/* Tells the others of the region what we saw of a pool. */
void cluster_pool(Cluster *c, const TargetsPoolReport *m);
/* Tells the homes of a request, or all instances, by the kind of message. */
void cluster_suspect(Cluster *c, const SuspectsMsg *m);
/* Whether the store answers nobody, as far as is known. */
void cluster_away(Cluster *c, bool away);
void cluster_budgets(Cluster *c, const LedgerBudget *list, int n);
/* The handle of the reservation, never 0; its decision comes with the next
   cluster_act, or later. */
uint64_t cluster_reserve(Cluster *c, const char *budget, int64_t tokens);
void cluster_act(Cluster *c);
/* Ends a reservation, or takes back one that still waits (`used` 0). */
void cluster_settle(Cluster *c, uint64_t handle, int64_t used);
/* Planned stop: everything free goes back. */
void cluster_drain(Cluster *c);
bool cluster_drained(const Cluster *c);
/* False for a second or two after the start, while the others are found:
   until then no reservation is decided. */
bool cluster_settled(const Cluster *c);
/* Milliseconds until it most likely is; 0: now. */
int cluster_settles_in(const Cluster *c);

#endif
