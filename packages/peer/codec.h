/* codec.h: messages between instances as MessagePack. A frame is a head, then
   any number of messages. Ids travel as 64-bit hashes; heartbeats carry the
   full names. */
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
#include "route/loads.h"
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
  CODEC_TYPES
} CodecType;

typedef struct CodecHead {
  uint64_t from, to; /* hash of the ids; to 0: whoever is there */
} CodecHead;

/* Without text: the sender has this version and asks for a newer one. With it:
   the operators' configuration. */
typedef struct CodecConfig {
  uint64_t version;
  Packed text; /* packed_free */
} CodecConfig;

/* What a reader of the store learned of one kind of objects. */
typedef struct CodecFeed {
  uint64_t reader;                /* text_hash of its id */
  char until[SPREAD_PLACE_BYTES]; /* the receiver cares for those before this */
  ReadersStoreResult store_result;        /* how the store met the reader */
  int kind;                       /* the sender's number of it */
  uint64_t from, revision;              /* revisions that this leads from and to */
  bool lapsed;                    /* the store was away just before */
  Packed changes;                 /* packed_free */
} CodecFeed;

/* A copy with changes of its own, and its end. */
CodecFeed *codec_feed_copy(const CodecFeed *m);
void codec_feed_free(void *copy);

#define CODEC_FEED_KINDS 8
/* Two kinds of words that are not of a reader, but of a neighbour. An instance
   that does not know them passes them over. */
#define CODEC_FEED_PART_REQUEST 6 /* it asks for a part of the list of targets */
#define CODEC_FEED_PART                                                        \
  7 /* the part: `from` is its number, `at` the list's                         \
       revision, `lapsed`: another part follows; `at` 0:                       \
                             there is no list yet */

typedef struct CodecSuspect {
  char until[SPREAD_PLACE_BYTES]; /* as CodecFeed.until; not of a mark */
  SuspectsMsg msg;
} CodecSuspect;

typedef struct CodecLimit {
  bool to_all;                    /* from who counts; else to it */
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
  TargetsPoolWord pool;
  TargetParts parts;
  GossipUpdate member_update;
  GossipMsg gossip;
  TallyAsk tally_query;
  TallyWord tally_report;
  TallyRun tally_run;
  CodecSuspect suspect;
  TallyPermitAsk permit_request;
  TallyPermit permit;
  CodecLimit limit;
} CodecMsg;

void codec_put_head(msgpack_sbuffer *b, const CodecHead *h);
void codec_put_heartbeat(msgpack_sbuffer *b, const Member *m);
void codec_put_member_update(msgpack_sbuffer *b, const GossipUpdate *n);
void codec_put_gossip(msgpack_sbuffer *b, const GossipMsg *m);
void codec_put_ledger(msgpack_sbuffer *b, const LedgerMsg *m);
void codec_put_once(msgpack_sbuffer *b, const OnceMsg *m);
void codec_put_load(msgpack_sbuffer *b, const LoadsMsg *m);
void codec_put_config(msgpack_sbuffer *b, uint64_t version, const Packed *text);
void codec_put_work(msgpack_sbuffer *b, const TargetWork *m);
void codec_put_pool(msgpack_sbuffer *b, const TargetsPoolWord *m);
void codec_put_parts(msgpack_sbuffer *b, const TargetParts *m);
void codec_put_tally_query(msgpack_sbuffer *b, const TallyAsk *m);
void codec_put_tally_report(msgpack_sbuffer *b, const TallyWord *m);
void codec_put_tally_run(msgpack_sbuffer *b, const TallyRun *m);
void codec_put_suspect(msgpack_sbuffer *b, const CodecSuspect *m);
void codec_put_permit_request(msgpack_sbuffer *b, const TallyPermitAsk *m);
void codec_put_permit(msgpack_sbuffer *b, const TallyPermit *m);
void codec_put_limit(msgpack_sbuffer *b, const CodecLimit *m);
void codec_put_feed(msgpack_sbuffer *b, const CodecFeed *m);

/* Reads at *off; false at the end or when it is damaged. A message of a type
   that is not known is CODEC_TYPES, and holds nothing. */
bool codec_get_head(const char *data, size_t len, size_t *off, CodecHead *h);
bool codec_get(const char *data, size_t len, size_t *off, CodecMsg *m);
/* Frees what a message that was read holds. */
void codec_clear(CodecMsg *m);

#endif
