/* ledger.h: prepaid budgets across the fleet; the pure core of one instance.

   Three roles, all in every instance: the holder reserves and settles from its
   accounts; the home of a budget in a region draws grants from the store and
   gives out accounts; the witness of a grant agrees to how much its home may
   give out, and can be told to stop agreeing (seal). Nothing here depends on
   a clock for safety, only for when to ask again. docs/LEDGER.md. */
#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"
#include "member/view.h"

typedef enum {
  LEDGER_DRAW,     /* holder -> home: need and want tokens */
  LEDGER_ALLOT,    /* home -> holder: your account now, or the cause why not */
  LEDGER_REPORT,   /* holder -> home: spent and returned so far */
  LEDGER_REPORTED, /* home -> holder: taken in */
  LEDGER_RAISE,    /* home -> witness: agree to a higher limit */
  LEDGER_RAISED,   /* witness -> home */
  LEDGER_SEAL,     /* successor -> witness: agree to nothing more */
  LEDGER_SEALED,   /* witness -> successor: the last limit */
  LEDGER_RETURN,   /* home -> its holder: give back what is free */
  LEDGER_RECALL,   /* home -> home: give back what is free */
  LEDGER_RECALLED, /* home -> home: something went back to the store */
  LEDGER_KINDS
} LedgerKind;

/* One message. Counts are cumulative, so lost, doubled and late messages
   change nothing that is not true anyway. */
typedef struct LedgerMsg {
  LedgerKind kind;
  char budget[LIMIT_NAME_BYTES];
  uint64_t grant;
  int64_t granted, returned, spent, limit;
  int64_t need, want;
  ErrKind cause;
  bool final, sealed;
} LedgerMsg;

typedef enum {
  LEDGER_DO_SEND,   /* msg to instance `to` */
  LEDGER_DO_GET,    /* read the shard */
  LEDGER_DO_PUT,    /* conditional update of the shard: version, text */
  LEDGER_DO_ANSWER, /* the reservation `handle` is decided: cause */
} LedgerDo;

typedef struct LedgerAction {
  LedgerDo what;
  char to[LIMIT_ID_BYTES];
  LedgerMsg msg;
  int shard;
  uint64_t version;
  char *text; /* owned by the receiver, g_free */
  uint64_t handle;
  ErrKind cause; /* ERR_NONE: granted */
  int retry_ms;
} LedgerAction;

/* What the table says of one budget. */
typedef struct LedgerBudget {
  char name[LIMIT_NAME_BYTES];
  int64_t total;    /* prepaid tokens */
  uint64_t version; /* table version that last changed this row */
  double reserve_s; /* seconds of measured demand laid up per region */
} LedgerBudget;

typedef struct LedgerSums {
  int64_t free, reserved, spent; /* this instance's accounts */
  int64_t home_free;             /* held as a home, given to nobody */
  int waiting, accounts, grants, witnessed;
} LedgerSums;

/* Switches that take a mechanism out, so that tests are seen to fail without
   it. All false in the product. */
typedef struct LedgerFaults {
  bool no_version_check; /* the fake store ignores versions */
  bool no_witness_check; /* a witness agrees even when sealed */
  bool settle_twice;     /* a settlement is applied to free twice */
  bool add_reports;      /* reports are added up in place of the maximum */
  bool no_recall;
} LedgerFaults;

typedef struct Ledger Ledger;

Ledger *ledger_new(const char *self, const char *region, uint32_t seed);
/* This core looks after one of `n` equal parts of the shards; 1 unless told. */
void ledger_lanes(Ledger *l, int n);
void ledger_free(Ledger *l);
void ledger_faults(Ledger *l, LedgerFaults f);

/* Events. `now` is monotonic seconds. After each, take the actions. */
void ledger_view(Ledger *l, double now, const View *v);
void ledger_budgets(Ledger *l, double now, const LedgerBudget *list, int n);
void ledger_reserve(Ledger *l, double now, uint64_t handle, const char *budget,
                    int64_t amount);
/* `used` tokens were consumed; also for handles that still wait (used 0).
   Tokens above the reservation are taken from the account as well. */
void ledger_settle(Ledger *l, double now, uint64_t handle, int64_t used);
void ledger_receive(Ledger *l, double now, const char *from,
                    const LedgerMsg *m);
/* `kind`: ERR_NONE with version and text (text NULL after a PUT),
   ERR_STORE_ABSENT, ERR_STORE_CONFLICT, ERR_STORE_UNKNOWN or ERR_STORE_DOWN. */
void ledger_stored(Ledger *l, double now, int shard, ErrKind kind,
                   uint64_t version, const char *text);
/* The store answers nobody, as instances that read it for all say; or it does
   again. Meanwhile it is not called, and what it would be needed for is refused
   at once. */
void ledger_away(Ledger *l, double now, bool away);
/* Call about ten times a second; `unix_s` is for stored records only. */
void ledger_tick(Ledger *l, double now, int64_t unix_s);
/* Planned stop: everything free goes back, homes are handed over. */
void ledger_drain(Ledger *l, double now);
/* True when a draining core holds nothing that is not safely given back. */
bool ledger_drained(const Ledger *l);

/* Next action, false when there is none. */
bool ledger_next(Ledger *l, LedgerAction *a);

LedgerSums ledger_sums(const Ledger *l);

#endif
