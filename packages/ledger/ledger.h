/* ledger.h: prepaid token budgets across the fleet; the core of one instance,
   which does no I/O.

   Every instance plays three roles. As the holder it serves reservations from
   its accounts; an account is the part of a grant that one holder may spend.
   As the home of a budget in its region it takes grants (blocks of the budget's
   tokens) from the store and allots them to the holders' accounts. As the
   witness of a grant it keeps the limit up to which the grant's home may allot
   tokens, and stops raising that limit once a successor of the home seals the
   grant. Safety doesn't depend on clocks; they only decide when to send
   again. docs/LEDGER.md. */
#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"
#include "member/view.h"

typedef enum {
  LEDGER_DRAW,        /* holder -> home: requests `need` to `want` tokens */
  LEDGER_ALLOT,       /* home -> holder: tokens allotted so far, or the cause
                         of a refusal */
  LEDGER_REPORT,      /* holder -> home: spent and returned so far */
  LEDGER_REPORT_ACK,  /* home -> holder: report recorded */
  LEDGER_RAISE,       /* home -> witness: requests a higher limit */
  LEDGER_RAISE_ACK,   /* witness -> home: the limit it agrees to */
  LEDGER_SEAL,        /* successor -> witness: agree to no further raise */
  LEDGER_SEAL_ACK,    /* witness -> successor: the final limit */
  LEDGER_RETURN,      /* home -> its holder: return free tokens */
  LEDGER_RECALL,      /* home -> home: return free tokens to the store */
  LEDGER_RECALL_DONE, /* home -> home: tokens were returned to the store */
  LEDGER_DEMAND, /* holder -> home: waiting tokens and demand by priority, just
                    before a DRAW; only for managed services */
  LEDGER_CUTOFF, /* home -> holder: the priorities that are rejected now */
  LEDGER_KIND_COUNT
} LedgerKind;

/* The kinds from this one on travel as messages of a type of their own, as
   older builds take an unknown ledger kind for damage. */
#define LEDGER_FIRST_NEW_KIND LEDGER_DEMAND

/* One message. Counts are cumulative, so lost, duplicated and delayed messages
   do no harm. */
typedef struct LedgerMsg {
  LedgerKind kind;
  char budget[LIMIT_NAME_BYTES];
  uint64_t grant;
  int64_t granted, returned, spent, limit;
  int64_t need, want;
  int64_t clock_ms; /* of RAISE and RAISE_ACK, which have no `want`: the unix
                       time at the sender; 0: its build states none. RAISE_ACK
                       for no grant: `granted` is how many ms the sender runs,
                       `need` is that of the RAISE. */
  ErrKind cause;
  bool final, sealed;
  /* LEDGER_DEMAND and LEDGER_CUTOFF only. */
  int priority; /* of the first waiting request; or the first that is rejected,
                   LEDGER_PRIORITIES: none */
  int retry_ms; /* until the store is expected back */
  int64_t waiting[LEDGER_PRIORITIES];      /* tokens of waiting requests */
  int64_t tokens_per_s[LEDGER_PRIORITIES]; /* demand of the last seconds */
} LedgerMsg;

typedef enum {
  LEDGER_ACTION_SEND,   /* send `msg` to instance `to` */
  LEDGER_ACTION_GET,    /* read the shard */
  LEDGER_ACTION_PUT,    /* conditional update of the shard: version, text */
  LEDGER_ACTION_ANSWER, /* the reservation `handle` is decided: cause */
  LEDGER_ACTION_NOTE,   /* for the log: `msg` with a changed cutoff came in */
  LEDGER_ACTION_SEALED, /* for the log: a grant of a lost home is sealed by what
                           the home had stated, `sealed` */
  LEDGER_ACTION_DENIED, /* for the log: a draw of `msg.budget` was denied for
                           `cause`; `state` is what the home knows of it */
} LedgerActionKind;

/* Tokens of a budget by the last document that its home read. */
typedef struct LedgerBudgetState {
  int64_t total;
  int64_t remaining;       /* may be granted */
  int64_t unspent;         /* not reported as spent */
  int64_t unallotted;      /* of the home's own grant */
  int64_t in_lost_grants;  /* of homes that are not in the view, not sealed */
  int64_t in_other_grants; /* of the other homes; sealed ones are neither */
} LedgerBudgetState;

typedef struct LedgerSealed {
  char home[LIMIT_ID_BYTES];
  int64_t granted, base, per_s, elapsed_ms;
  int64_t limit; /* what counts as spent of the grant */
} LedgerSealed;

typedef struct LedgerAction {
  LedgerActionKind action;
  char to[LIMIT_ID_BYTES];
  LedgerMsg msg;
  int shard;
  uint64_t version;
  char *text; /* owned by the receiver, g_free */
  uint64_t handle;
  ErrKind cause; /* ERR_NONE: granted */
  int retry_ms;
  bool by_cutoff;          /* rejected by priority, without asking the home */
  LedgerBudgetState state; /* LEDGER_ACTION_DENIED only */
  LedgerSealed sealed;     /* LEDGER_ACTION_SEALED only */
} LedgerAction;

/* The row of one budget in the configuration table. */
typedef struct LedgerBudget {
  char name[LIMIT_NAME_BYTES];
  int64_t total;           /* prepaid tokens */
  uint64_t version;        /* table version that last changed this row */
  double outage_reserve_s; /* seconds of measured demand that each region's
                              home holds in reserve for a store outage */
} LedgerBudget;

typedef struct LedgerSums {
  int64_t free, reserved, spent; /* this instance's accounts */
  int64_t home_free_tokens;      /* held as a home, not allotted */
  int waiting, accounts, grants, witnessed;
} LedgerSums;

/* Fault injection: each switch disables one mechanism, so that tests can show
   that they fail without it. All are false in production. */
typedef struct LedgerFaults {
  bool no_version_check; /* the fake store ignores versions */
  bool no_witness_check; /* a witness agrees even when sealed */
  bool settle_twice;     /* a settlement is added to the free tokens twice */
  bool add_reports;      /* cumulative reports are summed, not maximised */
  bool no_recall;
  bool no_demand;         /* homes ignore reports of waiting requests */
  bool no_cutoff;         /* tokens go to any priority during an outage */
  bool no_ceiling;        /* a restored document shows all that was used */
  bool no_allowance;      /* what homes state is not used */
  bool seal_unproved;     /* the home may run while its grant is sealed by it */
  bool any_era;           /* it counts in a later era, too */
  bool slowest_clock;     /* of all clocks the one that is most behind counts */
  bool forget_statements; /* a write without an answer does not bind */
  bool ignore_allowance;  /* homes give out more than they state */
} LedgerFaults;

typedef struct Ledger Ledger;

Ledger *ledger_new(const char *self, const char *region, uint32_t seed);
/* Says that this core handles one of `n` equal parts of the shards. Default
   1. */
void ledger_set_lanes(Ledger *l, int n);
void ledger_free(Ledger *l);
void ledger_set_faults(Ledger *l, LedgerFaults f);

/* Events. `now` is monotonic seconds. After each event, the caller executes
   the actions from ledger_next_action. */
void ledger_set_view(Ledger *l, double now, const View *v);
void ledger_set_budgets(Ledger *l, double now, const LedgerBudget *list, int n);
/* Requests `amount` tokens; a LEDGER_ACTION_ANSWER decides `handle`.
   `priority`: 0 first; -1: the service is not managed, its requests are served
   in the order of their arrival. */
void ledger_reserve(Ledger *l, double now, uint64_t handle, const char *budget,
                    int64_t amount, int priority);
/* Milliseconds until a store outage that this instance knows of is expected to
   be over; 0: it knows of none. */
int ledger_outage_left_ms(const Ledger *l, double now);
/* Why a reservation still waits, for a caller that can't wait any longer: its
   home is without the store (ERR_BUDGET_STORE), or has not decided
   (ERR_BUDGET_CUT). *retry_ms: when to come back. */
ErrKind ledger_wait_cause(Ledger *l, double now, uint64_t handle,
                          int *retry_ms);
/* Ends a reservation of which `used` tokens were consumed. With `used` 0 it
   also cancels one that is still waiting. Tokens above the reserved amount are
   charged to the account too. */
void ledger_settle(Ledger *l, double now, uint64_t handle, int64_t used);
void ledger_receive(Ledger *l, double now, const char *from,
                    const LedgerMsg *m);
/* Result of a GET or PUT. `kind`: ERR_NONE with version and text (text NULL
   after a PUT), ERR_STORE_ABSENT, ERR_STORE_CONFLICT, ERR_STORE_UNKNOWN or
   ERR_STORE_DOWN. Versions include the store's era; that of an absent object
   has the number 0. */
void ledger_store_result(Ledger *l, double now, int shard, ErrKind kind,
                         uint64_t version, const char *text);
/* The store is in this era (store/revision.h). A later one than before shows
   that the store was restored from a backup and may lack what it has
   acknowledged; results of calls show it too. */
void ledger_note_store_era(Ledger *l, double now, uint64_t era);
/* Starts or ends a store outage, as reported by the instances that read the
   store for all others. During an outage the core doesn't call the store and
   refuses at once what would need it. */
void ledger_set_store_down(Ledger *l, double now, bool down);
/* Call about ten times a second; `unix_s` is used for stored records only. */
void ledger_tick(Ledger *l, double now, int64_t unix_s);
/* Homes state allowances, and keep to them. Off until an outage of the store is
   served as well with them as without (docs/incidents/lost-reserves.md). */
void ledger_state_allowances(Ledger *l);
/* This instance's clock, with each tick. Without it no allowances are stated.
 */
void ledger_note_clock(Ledger *l, double now, int64_t unix_ms);
/* Starts a planned stop: returns all free tokens and hands over all grants. */
void ledger_drain(Ledger *l, double now);
/* True when a draining core has returned everything that it held. */
bool ledger_is_drained(const Ledger *l);

/* Takes the next action; false when there is none. */
bool ledger_next_action(Ledger *l, LedgerAction *a);

LedgerSums ledger_sums(const Ledger *l);

#endif
