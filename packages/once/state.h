/* state.h: internal state of package once, shared by its own files only. */
#ifndef ONCE_STATE_H
#define ONCE_STATE_H

#include <glib.h>
#include <jansson.h>

#include "once/claimdoc.h"
#include "once/once.h"
#include "store/pace.h"

/* What a keeper remembers about one key. Compact, because each request leaves
   one. */
typedef struct KeeperRecord {
  OnceKey key;
  uint64_t nonce, digest;
  const char *runner, *target; /* interned; "": none */
  OnceAnswer *answer;          /* NULL: not kept */
  double changed_at;
  bool finished, unknown;
  struct KeeperRecord *older, *newer;
} KeeperRecord;

typedef enum {
  RUN_QUERYING_KEEPER, /* waits for the keeper's verdict */
  RUN_CLAIMING,        /* waits for the claim to be stored */
  RUN_RUNNING,
  RUN_FINISHING /* waits for the keeper to accept the finish */
} RunState;

/* A request that this instance runs. */
typedef struct Run {
  uint64_t handle, nonce, digest;
  OnceKey key;
  const char *customer; /* interned */
  RunState state;
  bool has_caller_key, repeatable, claimed;
  bool unknown;
  double deadline, sent_at;
  char keeper[LIMIT_ID_BYTES];   /* keeper that was queried */
  bool second_keeper;            /* the first keeper did not reply */
  int finish_tries;              /* how often the finish was sent */
  char target[LIMIT_NAME_BYTES]; /* target where a lost run may still be running
                                  */
  OnceBill bill;
  OnceAnswer answer;
} Run;

/* A bill without the answer. Compact, because an outage of hours leaves many.
   Names are interned. */
typedef struct BillSummary {
  OnceKey key;
  uint64_t nonce, digest;
  const char *customer, *budget;
  int64_t tokens, unix_s;
} BillSummary;

/* A bill that is not yet known to be in the store. */
typedef struct OwedBill {
  BillSummary summary; /* from the FINISH; can be sent to another keeper */
  const char *keeper;  /* interned */
  bool held_by_keeper; /* the keeper has it, but it is not yet stored */
  double sent_at;
} OwedBill;

/* A runner's query to the home of its claim: CLAIM, OUTCOME or RELEASE. */
typedef struct ClaimQuery {
  OnceMsgKind kind;
  OnceKey key;
  uint64_t nonce, digest, handle;
  OnceAnswer answer; /* OUTCOME; status 0: not known */
  char to[LIMIT_ID_BYTES];
  bool sent_to_several, queued; /* queued: the home reported that it has it */
  double assigned_at, sent_at;  /* first and last message to `to` */
  double resend_s;              /* time between resends to `to` */
} ClaimQuery;

/* An instance that did not reply as home of a claim shard. It is skipped until
   this time. */
typedef struct UnresponsiveHome {
  char id[LIMIT_ID_BYTES];
  double until;
} UnresponsiveHome;

/* A runner's query at the home of its claim. */
typedef struct QueuedClaim {
  OnceMsgKind kind;
  OnceKey key;
  uint64_t nonce, digest;
  char from[LIMIT_ID_BYTES];
  double received_at;
  bool decided; /* applied to the document; not yet stored
                 */
  OnceVerdict verdict;
  OnceAnswer answer; /* OUTCOME: answer of the run; CLAIM: answer to replay */
  struct QueuedClaim *follow_up; /* received while this one was being stored */
} QueuedClaim;

typedef enum {
  SHARD_IDLE,
  SHARD_READING_HEAD,
  SHARD_READING_PARTS, /* reads parts that the head lists and that are not
                          loaded */
  SHARD_WRITING_PART,
  SHARD_WRITING_HEAD
} ShardPhase;

/* A part that this instance created or removed by a head write on version
   `base`, and that the head may not list. */
typedef struct UnlistedPart {
  uint64_t id, base;
} UnlistedPart;

typedef struct ClaimShard {
  int index;
  ShardPhase phase;
  int parts_reading;       /* number of parts being read */
  ClaimDoc *doc;           /* NULL: never read */
  uint64_t version;        /* version of the head in `doc` */
  uint64_t newest_version; /* newest version of the head known here */
  bool stale;            /* `doc` differs from the stored head: read it first */
  bool read_since_claim; /* the head was read after the last claim arrived */
  bool part_failed;      /* a part could not be read */
  Pace pace;             /* rate limit of writes */
  double retry_at, backoff,
      failing_since; /* failing_since 0: the store works */
  double used_at;
  GPtrArray *claims; /* QueuedClaim*, in order of arrival */
  GArray *unlisted;  /* UnlistedPart */
} ClaimShard;

/* A bill that this instance holds as keeper until a batch with it is stored. */
typedef struct PendingBill {
  BillSummary summary;
  const char *runner;    /* interned, like `backup` */
  const char *backup;    /* instance with a copy; NULL: the runner has it */
  bool backup_confirmed; /* the backup acknowledged the copy */
  bool runner_waits; /* this instance is the runner; its FINISH is acknowledged
                    once the copy is held */
  float copy_sent_at;
} PendingBill;

struct Once {
  char self[LIMIT_ID_BYTES], region[LIMIT_NAME_BYTES];
  GRand *rng;
  OnceFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool draining;
  GHashTable *records; /* OnceKey -> KeeperRecord */
  KeeperRecord *oldest, *newest;
  size_t kept_bytes, kept_limit; /* of the records and their answers */
  GHashTable *runs;              /* handle -> Run */
  GHashTable *owed;              /* OnceKey -> OwedBill */
  GHashTable *unstored; /* customer -> its bills in `owed`, `pending_bills` */
  size_t unstored_bills, bill_limit;      /* number of all of them */
  ClaimShard *shards[LIMIT_CLAIM_SHARDS]; /* NULL: not in use here */
  guint seal_entries, merge_parts;
  GHashTable *queries; /* nonce -> ClaimQuery */
  UnresponsiveHome unresponsive[LIMIT_CLAIM_SHARDS];
  GPtrArray *pending_bills; /* PendingBill*; the first `batch_bills` are being
                               written */
  GHashTable *bills_by_key; /* OnceKey -> the same PendingBill */
  guint batch_bills;
  bool uncopied;     /* some pending bill may need a second holder */
  bool view_changed; /* keepers of owed bills may be gone */
  double owed_checked_at;
  bool batch_in_flight;
  double next_batch_at, bill_backoff;
  uint64_t bill_seq;
  GQueue actions, local_messages;
};

guint once_key_hash(gconstpointer k);
gboolean once_key_equal(gconstpointer a, gconstpointer b);
OnceAction *once_add_action(Once *o, OnceActionKind kind);
void once_send(Once *o, const char *to, OnceMsg *m);
OnceAnswer once_answer_copy(const OnceAnswer *a, size_t limit);
void once_answer_clear(OnceAnswer *a);
BillSummary once_bill_from_msg(const Once *o, const OnceMsg *m);
OnceMsg once_msg_from_bill(const BillSummary *l, OnceMsgKind kind);

/* Delivers the messages that this instance sent to itself. */
void once_deliver_local(Once *o);

/* == run.c == */

void run_keeper_replied(Once *o, const OnceMsg *m);
void run_finish_acked(Once *o, const OnceMsg *m);
void run_tick(Once *o);
/* Called when the claim of a run is decided. */
void run_claim_decided(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                       const OnceAnswer *answer);
void run_free(gpointer p);

/* == unstored.c == */

void unstored_add(Once *o, const BillSummary *b);
void unstored_remove(Once *o, const BillSummary *b);
/* Whether there is memory for one bill more of the customer. */
bool unstored_has_room(const Once *o, const char *customer);

/* == owed.c == */

/* Takes ownership of the bill; it replaces another one of the same key. */
void owed_add(Once *o, OwedBill *x);
void owed_remove(Once *o, OnceKey key);
void owed_settle(Once *o, const OnceMsg *m);
void owed_hold_copy(Once *o, const char *from, const OnceMsg *m);
void owed_tick(Once *o);

/* == keeper.c == */

/* Returns the keeper of a key by rank, starting at 0, or NULL. */
const Member *keeper_of(const Once *o, OnceKey key, int rank);
void keeper_begin(Once *o, const char *from, const OnceMsg *m);
void keeper_finish(Once *o, const char *from, const OnceMsg *m);
void keeper_dispatched(Once *o, const char *from, const OnceMsg *m);
void keeper_abort(Once *o, const char *from, const OnceMsg *m);
void keeper_copy_acked(Once *o, const char *from, const OnceMsg *m);
void keeper_tick(Once *o);
void keeper_batch_stored(Once *o, ErrKind kind);
void keeper_record_free(gpointer p);

/* == wish.c: claim queries, the runner's side of claims == */

void claimquery_claim(Once *o, const Run *r);
/* Sends the outcome of a claimed run, which may be unknown. */
void claimquery_outcome(Once *o, const Run *r);
/* Releases the claim of a run that was not and will not be dispatched. */
void claimquery_release(Once *o, const Run *r);
void claimquery_decided(Once *o, const char *from, const OnceMsg *m);
void claimquery_queued(Once *o, const char *from, const OnceMsg *m);
void claimquery_stored(Once *o, const char *from, const OnceMsg *m);
void claimquery_tick(Once *o);
void claimquery_free(gpointer p);

/* == claim.c: the home's side of claims == */

int claim_shard_index(OnceKey key);
void claim_receive(Once *o, const char *from, const OnceMsg *m);
void claim_store_answered(Once *o, int shard, uint64_t part, ErrKind kind,
                          uint64_t version, const char *text);
void claim_tick(Once *o);
bool claim_is_drained(const Once *o);
void claim_shard_free(ClaimShard *s);

/* == claimio.c: store calls of a claim shard == */

void claimio_read_head(Once *o, ClaimShard *s);
/* Reads the listed parts that are not loaded; returns true if there are any. */
bool claimio_read_parts(Once *o, ClaimShard *s);
/* Stores the changed document. Writes a new part first, if one is due. */
void claimio_write(Once *o, ClaimShard *s);
void claimio_write_head(Once *o, ClaimShard *s);
/* Deletes parts that no head lists or can still list. */
void claimio_delete_unlisted(Once *o, ClaimShard *s);

#endif
