/* once.h: records of requests; the pure core of one instance.

   A keeper (chosen by rendezvous on the request's key within the region)
   remembers runs and answers for a while and makes bills durable. A request
   that may not be repeated has its claim in the platform's store before it is
   dispatched; the first claim wins for ever. docs/ONCE.md. */
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
  uint64_t hi, lo; /* hash of customer and the caller's key */
} OnceKey;

OnceKey once_key(const char *customer, const char *key);
/* 32 hex digits and a NUL. */
void once_key_text(OnceKey k, char out[33]);

/* An answer as it is kept for a retry. */
typedef struct OnceAnswer {
  int status;
  char type[64]; /* content type */
  char *body;    /* g_malloc; NULL: too large to be kept */
  size_t len;
} OnceAnswer;

/* One line of the bill. */
typedef struct OnceBill {
  char customer[LIMIT_NAME_BYTES];
  char budget[LIMIT_NAME_BYTES];
  int64_t tokens;
} OnceBill;

typedef enum {
  ONCE_BEGIN,    /* runner -> keeper: may this key run? */
  ONCE_BEGUN,    /* keeper -> runner: verdict */
  ONCE_FINISH,   /* runner -> keeper: bill and answer */
  ONCE_FINISHED, /* keeper -> runner: held; `doubled`: billed before */
  ONCE_DURABLE,  /* keeper -> runner: the bill is in the store */
  ONCE_ABORT,    /* runner -> keeper: it did not run */
  ONCE_COPY,     /* keeper -> another: hold this bill too */
  ONCE_COPIED,   /* the other -> keeper */
  ONCE_AT,       /* runner -> keeper: the target that has it */
  ONCE_CLAIM,    /* runner -> home of the claim: keep it */
  ONCE_CLAIMED,  /* home -> runner: verdict */
  ONCE_HELD,     /* home -> runner: it waits for its turn here */
  ONCE_OUTCOME,  /* runner -> home: how the claimed run ended */
  ONCE_GIVE_UP,  /* runner -> home: it did not run and will not */
  ONCE_KEPT,     /* home -> runner: OUTCOME or GIVE_UP is in the store */
  ONCE_KINDS
} OnceKind;

typedef enum {
  ONCE_RUN,      /* go on */
  ONCE_REPLAY,   /* ran before: here is the answer */
  ONCE_PENDING,  /* runs elsewhere now */
  ONCE_MAYBE,    /* was dispatched, its outcome is not known */
  ONCE_MISMATCH, /* same key, another request */
  ONCE_NO_CLAIM  /* the claim could not be kept: not run */
} OnceVerdict;

typedef struct OnceMsg {
  OnceKind kind;
  OnceKey key;
  uint64_t nonce; /* names this run */
  uint64_t digest;
  OnceVerdict verdict;
  bool doubled;
  OnceBill bill;
  OnceAnswer answer;
  char target[LIMIT_NAME_BYTES]; /* AT; BEGUN: where a lost run may still go on */
} OnceMsg;

typedef enum {
  ONCE_DO_SEND,
  ONCE_DO_GET,    /* the object `name` of a claim shard */
  ONCE_DO_PUT,    /* the same, conditional on `version` */
  ONCE_DO_DELETE, /* the same; nobody waits for it */
  ONCE_DO_BILL,   /* create the object `name` with text */
  ONCE_DO_ANSWER, /* decision on a begin */
  ONCE_DO_DONE    /* a finish is held by the keeper (or nobody else is there) */
} OnceDo;

typedef struct OnceAction {
  OnceDo what;
  char to[LIMIT_ID_BYTES];
  OnceMsg msg; /* SEND: answer.body is owned by the receiver of the action */
  int shard;
  uint64_t part; /* GET, PUT: 0 is the shard's head */
  uint64_t version;
  char *text; /* g_free */
  char name[LIMIT_NAME_BYTES + LIMIT_ID_BYTES];
  uint64_t handle;
  OnceVerdict verdict;
  OnceAnswer answer;       /* REPLAY; owned by the receiver */
  char target[LIMIT_NAME_BYTES]; /* RUN: a lost run of it may go on there */
  bool doubled;
} OnceAction;

typedef struct OnceFaults {
  bool no_claim;  /* dispatch without a claim */
  bool no_parts;  /* claims that were sealed are not looked at */
  bool bill_each; /* a doubled bill is not recognised */
} OnceFaults;

typedef struct Once Once;

Once *once_new(const char *self, const char *region, uint32_t seed);
void once_free(Once *o);
void once_faults(Once *o, OnceFaults f);
/* Entries of a head that are sealed, small parts that are joined; for tests. */
void once_claim_sizes(Once *o, guint seal, guint merge);
void once_view(Once *o, double now, const View *v);

/* Asks whether `handle` may run. `ask`: a caller could know the key, so the
   keeper is asked; else it runs at once. `repeat` false: a claim is needed. */
void once_begin(Once *o, double now, uint64_t handle, OnceKey key,
                uint64_t digest, bool ask, bool repeat);
/* It was dispatched to `target`; should we be lost, a retry may go on there. */
void once_at(Once *o, double now, uint64_t handle, const char *target);
/* It ran: bill and answer. The core copies the answer. */
void once_finish(Once *o, double now, uint64_t handle, const OnceBill *bill,
                 const OnceAnswer *answer);
/* It was dispatched, and nobody knows whether it ran, or its answer was cut:
   what it consumed is settled in the ledger, but not billed. */
void once_unknown(Once *o, double now, uint64_t handle);
/* It did not run: the key is free again. */
void once_abort(Once *o, double now, uint64_t handle);

void once_receive(Once *o, double now, const char *from, const OnceMsg *m);
/* Result of GET or PUT of a claim shard's head or part, as ledger_stored. */
void once_stored(Once *o, double now, int shard, uint64_t part, ErrKind kind,
                 uint64_t version, const char *text);
/* Result of the bill object that was asked for last. */
void once_billed(Once *o, double now, ErrKind kind);
void once_tick(Once *o, double now, int64_t unix_s);
void once_drain(Once *o, double now);
bool once_drained(const Once *o);
bool once_next(Once *o, OnceAction *a);
void once_action_clear(OnceAction *a);
/* Releases what a message owns. */
void once_message_clear(OnceMsg *m);

#endif
