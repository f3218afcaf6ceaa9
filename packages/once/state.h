/* state.h: the insides of the record core, shared by its own files only. */
#ifndef ONCE_STATE_H
#define ONCE_STATE_H

#include <glib.h>
#include <jansson.h>

#include "once/once.h"

/* What a keeper remembers of one key. */
typedef struct Record {
  OnceKey key;
  uint64_t nonce, digest;
  char runner[LIMIT_ID], target[LIMIT_NAME];
  bool finished, unknown;
  OnceBill bill;
  OnceAnswer answer;
  double changed;
} Record;

typedef enum {
  RUN_ASKING,   /* the keeper is asked */
  RUN_CLAIMING, /* the claim is on its way to the store */
  RUN_RUNNING,
  RUN_FINISHING /* the keeper is told */
} RunState;

/* A request of this instance. */
typedef struct Run {
  uint64_t handle, nonce, digest;
  OnceKey key;
  RunState state;
  bool ask, repeat, claimed;
  bool unknown;
  double deadline, sent;
  char keeper[LIMIT_ID];   /* that is asked */
  bool second;             /* the first one said nothing */
  int tries;               /* how often the finish was told */
  char target[LIMIT_NAME]; /* where a lost run of it may go on */
  OnceBill bill;
  OnceAnswer answer;
} Run;

/* A bill in short: an outage of hours leaves many. Names are interned. */
typedef struct Line {
  OnceKey key;
  uint64_t nonce, digest;
  const char *customer, *budget;
  int64_t tokens, unix_s;
} Line;

/* A finished bill that is not yet known to be in the store. */
typedef struct Owed {
  Line line;          /* of the FINISH, to be sent again to another keeper */
  const char *keeper; /* interned */
  bool held;          /* the keeper has it; it is not yet in the store */
  double sent;
} Owed;

typedef enum { CLAIM_TAKE, CLAIM_FINISH, CLAIM_RELEASE } ClaimOp;

/* One wish for a claim shard. */
typedef struct Claim {
  ClaimOp op;
  OnceKey key;
  uint64_t nonce, digest, handle;
  int status;
  char type[64];
  char *body; /* CLAIM_FINISH; NULL: not kept */
  bool unknown;
  bool decided; /* applied, waits for the confirmation */
  OnceVerdict verdict;
  OnceAnswer answer;
} Claim;

typedef struct ClaimShard {
  int index;
  json_t *doc; /* NULL: read first */
  uint64_t version, seen;
  bool busy, putting;
  double retry_at, backoff;
  GPtrArray *claims; /* Claim* */
} ClaimShard;

typedef struct BillLine {
  Line line;
  const char *runner; /* interned, as backup */
  const char *backup; /* who else holds it; NULL: the runner does */
  bool copied;        /* the backup said so */
  bool tell;          /* the runner, ourselves, waits for the copy */
  float asked;
} BillLine;

struct Once {
  char self[LIMIT_ID], region[LIMIT_NAME];
  GRand *rng;
  OnceFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool draining;
  GHashTable *records; /* OnceKey -> Record */
  size_t kept;         /* bytes of kept answers */
  GQueue ages;         /* OnceKey*, oldest first */
  GHashTable *runs;    /* handle -> Run */
  GHashTable *owed;    /* OnceKey -> Owed */
  ClaimShard *shards[LIMIT_CLAIM_SHARDS];
  GPtrArray *lines;   /* BillLine*; the first `batch` are on their way */
  GHashTable *by_key; /* OnceKey -> BillLine of the same */
  guint batch;
  bool uncopied; /* some line may need another holder */
  bool lost;     /* the view changed: keepers of owed bills may be gone */
  double owed_at;
  bool billing;
  double bill_at, bill_backoff;
  uint64_t bill_seq;
  GQueue actions, loop;
};

guint once_hash(gconstpointer k);
gboolean once_equal(gconstpointer a, gconstpointer b);
OnceAction *once_act(Once *o, OnceDo what);
void once_send(Once *o, const char *to, OnceMsg *m);
void once_answer_run(Once *o, Run *r, OnceVerdict v, const OnceAnswer *answer);
OnceAnswer once_answer_copy(const OnceAnswer *a, size_t limit);
void once_answer_clear(OnceAnswer *a);
Line once_line(const Once *o, const OnceMsg *m);
OnceMsg once_line_msg(const Line *l, OnceKind kind);

/* == keeper.c == */

void keeper_begin(Once *o, const char *from, const OnceMsg *m);
void keeper_finish(Once *o, const char *from, const OnceMsg *m);
void keeper_at(Once *o, const char *from, const OnceMsg *m);
void keeper_abort(Once *o, const char *from, const OnceMsg *m);
void keeper_copied(Once *o, const char *from, const OnceMsg *m);
void keeper_tick(Once *o);
void keeper_billed(Once *o, ErrKind kind);
void keeper_record_free(gpointer p);

/* == claim.c == */

void claim_add(Once *o, Claim *c);
void claim_result(Once *o, int shard, ErrKind kind, uint64_t version,
                  const char *text);
void claim_tick(Once *o);
/* A run gives up on its claim: should it be found in the store it is taken
   away again, since nothing was dispatched. */
void claim_cancel(Once *o, const Run *r);
void claim_shard_free(ClaimShard *s);
/* Called back by claim.c when a claim to run is decided. */
void once_claimed(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                  const OnceAnswer *answer);

#endif
