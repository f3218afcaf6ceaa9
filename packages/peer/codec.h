/* codec.h: encodes messages between instances as MessagePack. A frame is a head
   followed by any number of messages. Ids are sent as 64-bit hashes; only
   heartbeats carry the full names. */
#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include <msgpack.h>

#include "kernel/text.h"
#include "ledger/ledger.h"
#include "member/gossip.h"
#include "member/readers.h"
#include "member/spread.h"
#include "once/once.h"
#include "peer/packed.h"
#include "route/allocation.h"
#include "route/loads.h"
#include "route/origins.h"
#include "route/suspects.h"
#include "route/tally.h"
#include "route/targets.h"

typedef enum {
  CODEC_HEARTBEAT,
  CODEC_LEDGER,
  CODEC_ONCE,
  CODEC_LOAD,
  CODEC_CONFIG,
  CODEC_FEED,
  CODEC_WORK,
  CODEC_POOL,
  CODEC_PARTS,
  CODEC_MEMBER_UPDATE,
  CODEC_GOSSIP,
  CODEC_TALLY_QUERY,
  CODEC_TALLY_REPORT,
  CODEC_TALLY_RUN,
  CODEC_SUSPECT,
  CODEC_PERMIT_REQUEST,
  CODEC_PERMIT,
  CODEC_LIMIT,
  CODEC_RATE,
  CODEC_DEMAND,
  CODEC_ALLOCATION,
  CODEC_RESERVE, /* ledger messages from LEDGER_FIRST_NEW_KIND on */
  CODEC_ORIGIN,
  CODEC_SUSPECT_PART, /* a suspect message about a part of prompts */
  CODEC_TYPES
} CodecType;

typedef struct CodecHead {
  uint64_t from, to; /* hashes of the ids; to 0: any receiver */
} CodecHead;

/* Without text: the sender has this version and requests a newer one. With
   text: the operators' configuration. */
typedef struct CodecConfig {
  uint64_t version;
  Packed text; /* packed_free */
} CodecConfig;

/* A reader's report on one kind of objects of the store. A reader is an
   instance that reads the store for the others; see readers.h. */
typedef struct CodecFeed {
  uint64_t reader;                 /* text_hash of its id */
  char until[SPREAD_PLACE_BYTES];  /* the receiver forwards it up to here */
  ReadersStoreResult store_result; /* how the reader's call ended */
  int kind;                        /* the sender's number of the kind */
  uint64_t from, revision;         /* revisions before and after the changes */
  bool lapsed;                     /* the store was unavailable just before */
  Packed changes;                  /* packed_free */
} CodecFeed;

/* A deep copy, and the function that frees it. */
CodecFeed *codec_feed_copy(const CodecFeed *m);
void codec_feed_free(void *copy);

#define CODEC_FEED_KINDS 8
/* Two values of `kind` for messages of a neighbour, not of a reader. An
   instance that does not know them ignores them. */
#define CODEC_FEED_PART_REQUEST 6 /* for a part of the list of targets */
/* The part: `from` is its number, `revision` the list's, `lapsed`: another part
   follows; `revision` 0: there is no list yet. */
#define CODEC_FEED_PART 7

typedef struct CodecSuspect {
  char until[SPREAD_PLACE_BYTES]; /* as CodecFeed.until; unused for a mark */
  SuspectsMsg msg;
} CodecSuspect;

typedef struct CodecLimit {
  bool to_all; /* sent by the counting instance; else to it */
  char until[SPREAD_PLACE_BYTES]; /* as CodecFeed.until */
  TallyLimit msg;
} CodecLimit;

typedef struct CodecMsg {
  CodecType type;
  Member heartbeat;
  LedgerMsg ledger;
  OnceMsg once; /* answer.body is owned by the receiver */
  LoadsMsg load;
  CodecConfig config;
  CodecFeed feed;
  TargetWork work;
  TargetsPoolReport pool;
  TargetParts parts;
  GossipUpdate member_update;
  GossipMsg gossip;
  TallyQuery tally_query;
  TallyReport tally_report;
  TallyRun tally_run;
  CodecSuspect suspect;
  TallyPermitRequest permit_request;
  TallyPermit permit;
  CodecLimit limit;
  TallyRate rate;
  OriginsMsg origin;
  /* Kept apart, since they are large and each message of any type is cleared
     before it is decoded; freed by codec_clear. NULL: another type. */
  AllocationDemand *demand;
  AllocationAnswer *allocation;
} CodecMsg;

void codec_put_head(msgpack_sbuffer *b, const CodecHead *h);
void codec_put_heartbeat(msgpack_sbuffer *b, const Member *m);
void codec_put_member_update(msgpack_sbuffer *b, const GossipUpdate *n);
void codec_put_gossip(msgpack_sbuffer *b, const GossipMsg *m);
/* Writes the type CODEC_RESERVE for kinds from LEDGER_FIRST_NEW_KIND on. */
void codec_put_ledger(msgpack_sbuffer *b, const LedgerMsg *m);
void codec_put_once(msgpack_sbuffer *b, const OnceMsg *m);
void codec_put_load(msgpack_sbuffer *b, const LoadsMsg *m);
void codec_put_config(msgpack_sbuffer *b, uint64_t version, const Packed *text);
void codec_put_work(msgpack_sbuffer *b, const TargetWork *m);
void codec_put_pool(msgpack_sbuffer *b, const TargetsPoolReport *m);
void codec_put_parts(msgpack_sbuffer *b, const TargetParts *m);
void codec_put_tally_query(msgpack_sbuffer *b, const TallyQuery *m);
void codec_put_tally_report(msgpack_sbuffer *b, const TallyReport *m);
void codec_put_tally_run(msgpack_sbuffer *b, const TallyRun *m);
/* Writes the type CODEC_SUSPECT_PART for a part. */
void codec_put_suspect(msgpack_sbuffer *b, const CodecSuspect *m);
void codec_put_permit_request(msgpack_sbuffer *b, const TallyPermitRequest *m);
void codec_put_permit(msgpack_sbuffer *b, const TallyPermit *m);
void codec_put_limit(msgpack_sbuffer *b, const CodecLimit *m);
void codec_put_rate(msgpack_sbuffer *b, const TallyRate *m);
void codec_put_feed(msgpack_sbuffer *b, const CodecFeed *m);
void codec_put_origin(msgpack_sbuffer *b, const OriginsMsg *m);
void codec_put_demand(msgpack_sbuffer *b, const AllocationDemand *m);
void codec_put_allocation(msgpack_sbuffer *b, const AllocationAnswer *m);

/* Decodes at *off; false at the end or when the data is damaged. A message of
   an unknown type gets the type CODEC_TYPES, and holds nothing. */
bool codec_get_head(const char *data, size_t len, size_t *off, CodecHead *h);
bool codec_get(const char *data, size_t len, size_t *off, CodecMsg *m);
/* Frees what a decoded message holds. */
void codec_clear(CodecMsg *m);

#endif
