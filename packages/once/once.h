/* once.h: deduplication of requests: the state machine of one instance, without
   I/O. It returns actions for the caller to perform.

   The runner is the instance that runs a request. A keeper, an instance chosen
   by rendezvous hashing of the request's key within the region, remembers runs
   and answers for a while, and writes bills to the platform's store; a bill
   records the tokens that a request used. A request that must not run twice
   also needs a claim in the platform's store before it is dispatched; the first
   claim of a key wins permanently. The home of a claim is the instance that
   writes the claim's shard. docs/ONCE.md. */
#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"
#include "member/view.h"

typedef struct OnceKey {
  uint64_t hi, lo; /* hash of the customer and the key that the caller sent */
} OnceKey;

OnceKey once_make_key(const char *customer, const char *key);
/* Writes 32 hex digits and a NUL. */
void once_key_to_hex(OnceKey k, char out[33]);

/* An answer, kept to be replayed on a retry. */
typedef struct OnceAnswer {
  int status;
  char type[64]; /* content type */
  char *body;    /* allocated with g_malloc; NULL: over the size limit */
  size_t len;
} OnceAnswer;

/* The tokens that one request used, and the budget that they are charged to. */
typedef struct OnceBill {
  char customer[LIMIT_NAME_BYTES];
  char budget[LIMIT_NAME_BYTES];
  int64_t tokens;
} OnceBill;

typedef enum {
  ONCE_BEGIN,        /* runner -> keeper: requests a verdict on this key */
  ONCE_BEGIN_REPLY,  /* keeper -> runner: verdict */
  ONCE_FINISH,       /* runner -> keeper: bill and answer */
  ONCE_FINISH_ACK,   /* keeper -> runner: bill accepted; `duplicate`: the
                     key was billed before */
  ONCE_BILL_DURABLE, /* keeper -> runner: the bill is in the store */
  ONCE_ABORT,        /* runner -> keeper: the request did not run */
  ONCE_COPY_BILL,  /* keeper -> another instance: requests to hold a copy of the
                      bill */
  ONCE_COPY_ACK,   /* that instance -> keeper: copy held */
  ONCE_DISPATCHED, /* runner -> keeper: `target`, which runs the request */
  ONCE_CLAIM,      /* runner -> home: requests to store this claim */
  ONCE_CLAIM_REPLY,  /* home -> runner: verdict */
  ONCE_CLAIM_QUEUED, /* home -> runner: the query waits for a write of the shard
                      */
  ONCE_OUTCOME,      /* runner -> home: result of the claimed run */
  ONCE_RELEASE, /* runner -> home: the run was not dispatched and will not be,
                   so the key may be claimed again */
  ONCE_OUTCOME_STORED, /* home -> runner: OUTCOME or RELEASE is stored */
  ONCE_MSG_KIND_COUNT
} OnceMsgKind;

typedef enum {
  ONCE_RUN,             /* may run */
  ONCE_REPLAY,          /* ran before: use the kept answer */
  ONCE_PENDING,         /* another run is in progress */
  ONCE_OUTCOME_UNKNOWN, /* an earlier run was dispatched; whether it completed
                           is not known */
  ONCE_MISMATCH,        /* same key, but a different request */
  ONCE_NO_CLAIM,        /* the claim could not be stored; must not run */
  ONCE_NO_BILL          /* there is no memory for its bill; must not run */
} OnceVerdict;

typedef struct OnceMsg {
  OnceMsgKind kind;
  OnceKey key;
  uint64_t nonce;  /* identifies this run */
  uint64_t digest; /* hash of the request; detects a key reused for another */
  OnceVerdict verdict;
  bool duplicate;
  OnceBill bill;
  OnceAnswer answer;
  char target[LIMIT_NAME_BYTES]; /* DISPATCHED: target of the run; BEGIN_REPLY:
                              target where a lost run may still be running */
} OnceMsg;

typedef enum {
  ONCE_DO_SEND,   /* send `msg` to `to` */
  ONCE_DO_GET,    /* read the object `name` of a claim shard; the caller reports
                     the result with once_claim_stored */
  ONCE_DO_PUT,    /* write `text` to it if it is at `version`; 0: if it does not
                     exist; reported likewise */
  ONCE_DO_DELETE, /* delete it; the caller does not report the result */
  ONCE_DO_BILL,   /* create the object `name` with `text` */
  ONCE_DO_ANSWER, /* `verdict` is the result of once_begin for `handle` */
  ONCE_DO_DONE    /* the keeper acknowledged the FINISH of `handle`, or did not
                     reply in time */
} OnceActionKind;

typedef struct OnceAction {
  OnceActionKind action;
  char to[LIMIT_ID_BYTES];
  OnceMsg msg; /* SEND: the caller owns msg.answer.body */
  int shard;
  uint64_t part; /* GET, PUT, DELETE: id of a part, which holds older claims of
                    the shard; 0: the shard's head, which lists the parts */
  uint64_t version;
  char *text; /* free with g_free */
  char name[LIMIT_NAME_BYTES + LIMIT_ID_BYTES];
  uint64_t handle;
  OnceVerdict verdict;
  OnceAnswer answer; /* REPLAY: the kept answer, owned by the caller */
  char target[LIMIT_NAME_BYTES]; /* RUN: target where a lost run may still be
                                    running
                                  */
  bool duplicate;
} OnceAction;

/* Faults that tests inject. */
typedef struct OnceFaults {
  bool skip_claims;     /* dispatch without a claim */
  bool ignore_parts;    /* look up claims in the head alone, not in the parts */
  bool bill_duplicates; /* do not detect duplicate bills */
} OnceFaults;

typedef struct Once Once;

Once *once_new(const char *self, const char *region, uint32_t seed);
void once_free(Once *o);
void once_set_faults(Once *o, OnceFaults f);
/* Sets how many bytes the records of requests, and their answers, may take;
   otherwise it is LIMIT_KEPT_TOTAL_BYTES. Beyond it the oldest are dropped
   whose requests have ended. */
void once_set_kept_limit(Once *o, size_t bytes);
/* Sets how many bytes bills may take that are not in the store yet; otherwise
   they have no limit. Beyond it no request begins to run; one customer leaves
   some of it to the others. */
void once_set_bill_limit(Once *o, size_t bytes);
/* For tests: sets the number of head entries at which they are moved into a new
   part, and the number of small parts at which they are merged into one. */
void once_set_claim_sizes(Once *o, guint seal, guint merge);
void once_set_view(Once *o, double now, const View *v);

/* Requests a verdict on whether the request `handle` may run. `has_caller_key`:
   the caller sent the key and may retry with it, so the keeper is queried;
   otherwise that step is skipped. `repeatable`: the request may run twice and
   needs no claim. */
void once_begin(Once *o, double now, uint64_t handle, const char *customer,
                OnceKey key, uint64_t digest, bool has_caller_key,
                bool repeatable);
/* Reports that the request was dispatched to `target`. If this instance fails,
   a retry may continue there. */
void once_dispatched(Once *o, double now, uint64_t handle, const char *target);
/* Reports that the request ran, with its bill and answer, which are copied. */
void once_finish(Once *o, double now, uint64_t handle, const OnceBill *bill,
                 const OnceAnswer *answer);
/* Reports that the request was dispatched but its outcome is not known, or that
   its answer was cut off. The ledger accounts for its tokens; it is not billed.
 */
void once_finish_unknown(Once *o, double now, uint64_t handle);
/* Reports that the request did not run: the key is free again. */
void once_abort(Once *o, double now, uint64_t handle);

void once_receive(Once *o, double now, const char *from, const OnceMsg *m);
/* Reports the result of a GET or PUT of a claim shard's head or part, like
   ledger_store_result. */
void once_claim_stored(Once *o, double now, int shard, uint64_t part,
                       ErrKind kind, uint64_t version, const char *text);
/* Reports the result of the last ONCE_DO_BILL. */
void once_bill_stored(Once *o, double now, ErrKind kind);
void once_tick(Once *o, double now, int64_t unix_s);
void once_drain(Once *o, double now);
bool once_is_drained(const Once *o);
/* Removes the next action to perform and copies it to `a`. Returns false if
   there is none. */
bool once_next_action(Once *o, OnceAction *a);
void once_action_clear(OnceAction *a);
/* Frees what a message owns. */
void once_message_clear(OnceMsg *m);

#endif
