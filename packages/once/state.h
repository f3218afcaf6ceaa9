/* state.h: the insides of the record core, shared by its own files only. */
#ifndef ONCE_STATE_H
#define ONCE_STATE_H

#include <glib.h>
#include <jansson.h>

#include "once/claimdoc.h"
#include "once/once.h"
#include "store/pace.h"

/* What a keeper remembers of one key. */
typedef struct Record {
  OnceKey key;
  uint64_t nonce, digest;
  char runner[LIMIT_ID_BYTES], target[LIMIT_NAME_BYTES];
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
  char keeper[LIMIT_ID_BYTES];   /* that is asked */
  bool second;             /* the first one said nothing */
  int tries;               /* how often the finish was told */
  char target[LIMIT_NAME_BYTES]; /* where a lost run of it may go on */
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

/* A wish of a runner for the home of its claim: CLAIM, OUTCOME or GIVE_UP. */
typedef struct Wish {
  OnceKind kind;
  OnceKey key;
  uint64_t nonce, digest, handle;
  OnceAnswer answer; /* OUTCOME; status 0: unknown */
  char to[LIMIT_ID_BYTES];
  bool many, held;    /* told to several; the home says that it has it */
  double asked, sent; /* `to` for the first time, and last */
  double every;       /* and it is told again this often */
} Wish;

/* Who did not answer for a claim shard; it is passed over for a while. */
typedef struct Quiet {
  char id[LIMIT_ID_BYTES];
  double until;
} Quiet;

/* A wish at its home. */
typedef struct Claim {
  OnceKind kind;
  OnceKey key;
  uint64_t nonce, digest;
  char from[LIMIT_ID_BYTES];
  double came;
  bool decided; /* applied, waits for the confirmation */
  OnceVerdict verdict;
  OnceAnswer answer;  /* OUTCOME: of the run; CLAIM: for a replay */
  struct Claim *next; /* came while this one was on its way */
} Claim;

typedef enum {
  SHARD_IDLE,
  SHARD_READING, /* the head */
  SHARD_PARTS,   /* parts that the head lists and we do not have */
  SHARD_SEALING, /* a new part is written */
  SHARD_WRITING  /* the head */
} ShardPhase;

/* A part that we made or took out, by a head write on top of `base`. */
typedef struct Loose {
  uint64_t id, base;
} Loose;

typedef struct ClaimShard {
  int index;
  ShardPhase phase;
  int reading;      /* parts that are on their way */
  ClaimDoc *doc;    /* NULL: never read */
  uint64_t version; /* of the head that `doc` is */
  uint64_t seen;    /* the newest that we heard of */
  bool stale;       /* `doc` is not what the store has: read first */
  bool checked;     /* read since the last claim came */
  bool broken;      /* a part could not be read */
  Pace pace;        /* of writes */
  double retry_at, backoff, failing; /* failing: since when; 0: it is not */
  double used;
  GPtrArray *claims; /* Claim*, in order of arrival */
  GArray *loose;     /* Loose */
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
  char self[LIMIT_ID_BYTES], region[LIMIT_NAME_BYTES];
  GRand *rng;
  OnceFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool draining;
  GHashTable *records;                    /* OnceKey -> Record */
  size_t kept;                            /* bytes of kept answers */
  GQueue ages;                            /* OnceKey*, oldest first */
  GHashTable *runs;                       /* handle -> Run */
  GHashTable *owed;                       /* OnceKey -> Owed */
  ClaimShard *shards[LIMIT_CLAIM_SHARDS]; /* that we are asked for */
  guint seal, merge;
  GHashTable *wishes; /* nonce -> Wish */
  Quiet quiet[LIMIT_CLAIM_SHARDS];
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
OnceAnswer once_answer_copy(const OnceAnswer *a, size_t limit);
void once_answer_clear(OnceAnswer *a);
Line once_line(const Once *o, const OnceMsg *m);
OnceMsg once_line_msg(const Line *l, OnceKind kind);

/* Delivers what was sent to ourselves. */
void once_settle(Once *o);

/* == run.c == */

void run_begun(Once *o, const OnceMsg *m);
void run_finished(Once *o, const OnceMsg *m);
void run_tick(Once *o);
/* Called back when the claim of a run is decided. */
void run_claimed(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                 const OnceAnswer *answer);
void run_free(gpointer p);

/* == owed.c == */

void owed_durable(Once *o, const OnceMsg *m);
void owed_copy(Once *o, const char *from, const OnceMsg *m);
void owed_tick(Once *o);

/* == keeper.c == */

/* The keeper of a key by rank, 0 first; NULL when there is none. */
const Member *keeper_of(const Once *o, OnceKey key, int rank);
void keeper_begin(Once *o, const char *from, const OnceMsg *m);
void keeper_finish(Once *o, const char *from, const OnceMsg *m);
void keeper_at(Once *o, const char *from, const OnceMsg *m);
void keeper_abort(Once *o, const char *from, const OnceMsg *m);
void keeper_copied(Once *o, const char *from, const OnceMsg *m);
void keeper_tick(Once *o);
void keeper_billed(Once *o, ErrKind kind);
void keeper_record_free(gpointer p);

/* == wish.c, the runner's side of claims == */

void wish_claim(Once *o, const Run *r);
/* How a claimed run ended, as far as it is known. */
void wish_outcome(Once *o, const Run *r);
/* It was not dispatched and never will be: a claim that stands is taken back.
 */
void wish_give_up(Once *o, const Run *r);
void wish_claimed(Once *o, const char *from, const OnceMsg *m);
void wish_held(Once *o, const char *from, const OnceMsg *m);
void wish_kept(Once *o, const char *from, const OnceMsg *m);
void wish_tick(Once *o);
void wish_free(gpointer p);
/* == claim.c, the home's side == */

int claim_shard(OnceKey key);
void claim_ask(Once *o, const char *from, const OnceMsg *m);
void claim_stored(Once *o, int shard, uint64_t part, ErrKind kind,
                  uint64_t version, const char *text);
void claim_tick(Once *o);
bool claim_drained(const Once *o);
void claim_shard_free(ClaimShard *s);

/* == claimio.c, a shard on its way to and from the store == */

void claimio_read(Once *o, ClaimShard *s);
/* True when parts that the head lists are on their way. */
bool claimio_read_parts(Once *o, ClaimShard *s);
/* The changed document goes to the store; first a new part, if one is due. */
void claimio_write(Once *o, ClaimShard *s);
void claimio_write_head(Once *o, ClaimShard *s);
/* Removes parts that no head lists or ever will. */
void claimio_sweep(Once *o, ClaimShard *s);

#endif
