/* state.h: the insides of the ledger core, shared by its own files only. */
#ifndef LEDGER_STATE_H
#define LEDGER_STATE_H

#include <glib.h>

#include "ledger/ledger.h"
#include "ledger/shard.h"

/* == holder == */

/* What this instance may spend of one grant.
   free = granted - returned - spent - reserved, never below 0. */
typedef struct Account {
  uint64_t grant;
  char home[LIMIT_ID];
  int64_t granted, returned, spent, reserved;
  int64_t acked_returned, acked_spent; /* acknowledged by a home */
  bool closing;                      /* no new reservations, give back */
  bool superseded;                         /* its home has a newer grant */
  double reported_at;
  double allotted_at; /* when the home last spoke of it */
} Account;

typedef struct Waiter {
  uint64_t handle;
  int64_t amount;
  double deadline;
  ErrKind cause; /* best known reason so far */
} Waiter;

typedef struct Reservation {
  struct HolderBudget *purse;
  Account *account;
  int64_t amount;
} Reservation;

/* The holder's side of one budget. */
typedef struct HolderBudget {
  char name[LIMIT_NAME];
  int shard;
  GPtrArray *accounts;
  GQueue waiters;      /* Waiter* */
  double demand_per_s;         /* tokens a second, decayed */
  int64_t typical_tokens;     /* size of a recent reservation */
  double draw_sent_at;        /* when the last DRAW went out; 0: none open */
  double draw_answered_at;     /* when a home last answered one; 0: never */
  double prefetched_at;        /* when tokens were last asked for ahead of need */
  double reserve_called_at;     /* when a reservation was last asked for */
  int draw_tries;           /* DRAWs without an answer; two for each choice */
  double first_choice_at; /* when the first choice was last asked */
  double ticked_at;       /* when it was last looked at */
  bool needs_tick;            /* something happened since, or is to be repeated soon */
} HolderBudget;

/* == home == */

/* The home's book of one account. */
typedef struct HolderShare {
  int64_t granted, returned, spent;
} HolderShare;

typedef struct Draw {
  char holder[LIMIT_ID];
  int64_t need, want;
  double received_at, deadline;
} Draw;

/* A grant this instance drew as home.
   free = (granted - returned) - (given - back) and given <= limit. */
typedef struct HomeGrant {
  uint64_t id;
  char witness[LIMIT_ID];
  char next_witness[LIMIT_ID]; /* next witness, "" none */
  bool is_moving, next_has_agreed;       /* asked it; it agreed */
  double drawn_at;             /* when somebody last asked for tokens */
  bool stored;              /* the document has this grant */
  bool frozen;              /* gives out no more: handing over */
  int64_t granted, returned;
  int64_t allotted, returned_by_holders, spent; /* sums over shares */
  int64_t limit, limit_requested;
  double raise_sent_at;
  double unanswered_since;     /* the first RAISE since the witness spoke; 0: none */
  char unresponsive[LIMIT_ID]; /* a witness that did not answer, "" none */
  GHashTable *shares;    /* holder id -> Share */
  int64_t stored_spent, stored_returned;
} HomeGrant;

/* A report on a grant that is not ours, to be put into the document. */
typedef struct OrphanReport {
  uint64_t grant;
  char holder[LIMIT_ID];
  int64_t returned, spent;
  bool final, applied;
  double received_at; /* when it came */
} OrphanReport;

typedef struct PendingSeal {
  uint64_t grant;
  char witness[LIMIT_ID]; /* whom we asked */
  bool is_answered;              /* it answered */
  int64_t limit, returned_to_home;
  double sent_at;
  double gone_since;
} PendingSeal;

/* The home's side of one budget. */
typedef struct HomeBudget {
  char name[LIMIT_NAME];
  HomeGrant *home_grant;
  GPtrArray *draws; /* Draw* */
  GPtrArray *orphan_reports;  /* Late* */
  GPtrArray *seals; /* Seal* */
  double demand_per_s;      /* tokens a second, of the last half minute */
  double slow_demand_per_s;      /* the same over minutes, decayed from `born` on */
  double reserve_cap_s;   /* seconds of demand that may be laid up by now */
  double started_at;
  double ticked_at;       /* when it was last looked at */
  double recalled_at;     /* when we last recalled; -1: never */
  double return_until; /* somebody recalled: free goes to the store at once */
  char recaller[LIMIT_ID];
  bool notify_recaller;
  int64_t remaining, unspent; /* as last seen in the document */
} HomeBudget;

/* One shard of the store as this instance knows it. */
typedef struct ShardState {
  int index;
  Shard *doc; /* NULL: must be read first */
  uint64_t version;
  uint64_t newest_version; /* newest version ever read or written */
  bool call_pending, call_is_put;
  double call_started_at; /* the call in progress */
  bool dirty;     /* something may have to be written */
  bool queued;    /* stands in `touched` */
  bool must_reread;    /* somebody else changed it */
  double confirmed_at;   /* when `doc` was last known to be the store's */
  double written_at;   /* when we last wrote it */
  double grants_checked_at; /* when its grants' homes were last looked for */
  double next_read_at; /* next refresh without other cause */
  double retry_at, backoff;
  double down_since;  /* 0: the store answers */
  GPtrArray *budgets; /* HomeBudget* */
} ShardState;

/* == witness == */

typedef struct Witnessed {
  int64_t limit, returned_to_home;
  bool sealed;
} Witnessed;

struct Ledger {
  char self[LIMIT_ID];
  char region[LIMIT_NAME];
  GRand *rng;
  LedgerFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool draining;
  bool store_down; /* the store answers nobody */
  int lanes;
  double report_write_s; /* seconds between two writes of spend reports */
  GHashTable *rows;    /* name -> LedgerBudget, as the table has it */
  GPtrArray *rows_by_shard[LIMIT_SHARDS]; /* the same rows; NULL: none there */
  const Member *first_homes[LIMIT_SHARDS]; /* its home in our region as of `homed`;
                                        NULL: nobody */
  uint32_t first_home_epoch[LIMIT_SHARDS];      /* the view that this was worked out for */
  uint32_t view_epoch;                    /* that there have been */
  double account_cover_s;  /* seconds of demand that an account covers */
  double witness_ahead_s;   /* that a witness agrees to ahead */
  int regions, region_members; /* regions in the view; instances of ours */
  uint64_t shard_keys[LIMIT_SHARDS];
  GHashTable *closed_grants;       /* grants whose account is over: never again */
  GHashTable *holder_budgets;       /* name -> Purse */
  GHashTable *reservations; /* handle -> Reservation */
  GHashTable *waiting;      /* handle -> Purse, for handles in a queue */
  GHashTable *home_budgets;        /* name -> HomeBudget */
  ShardState *shards[LIMIT_SHARDS];
  GHashTable *witnessed; /* grant -> Witnessed */
  GQueue actions;        /* LedgerAction* */
  GQueue self_messages;           /* LedgerMsg* to ourselves */
  GQueue touched_shards;        /* ShardState* to be pumped before the event ends */
};

/* == ledger.c == */

void ledger_send(Ledger *l, const char *to, const LedgerMsg *m);
void ledger_add_answer(Ledger *l, uint64_t handle, ErrKind cause, int retry_ms);
LedgerMsg ledger_make_msg(LedgerKind kind, const char *budget, uint64_t grant);
/* The home of a shard in our region, `rank`-th choice; NULL: nobody. */
const Member *ledger_home(const Ledger *l, int shard, int rank);
/* We are that home. */
bool ledger_is_home(const Ledger *l, int shard);
/* Who takes reports on grants of our region: its home; with nobody left there
   the first choice of the whole fleet; when all leave, we ourselves. */
const char *ledger_caretaker(const Ledger *l, int shard);
LedgerAction *ledger_add_action(Ledger *l, LedgerActionKind what);

/* == holder.c == */

void holder_reserve(Ledger *l, uint64_t handle, const char *budget,
                    int64_t amount);
void holder_settle(Ledger *l, uint64_t handle, int64_t used);
void holder_on_allot(Ledger *l, const char *from, const LedgerMsg *m);
void holder_on_report_ack(Ledger *l, const LedgerMsg *m);
void holder_on_return(Ledger *l, const LedgerMsg *m);
void holder_tick(Ledger *l);
bool holder_is_empty(const Ledger *l);
/* Nothing of that grant is held here, and its home knows. */
bool holder_has_released(Ledger *l, const char *budget, uint64_t grant);
void holder_budget_free(gpointer p);

/* == home.c == */

HomeBudget *home_budget(Ledger *l, const char *budget);
void home_on_draw(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_report(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_recall(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_recall_done(Ledger *l, const LedgerMsg *m);
void home_serve_draws(Ledger *l, HomeBudget *h);
void home_tick(Ledger *l);
void home_budget_free(gpointer p);
int64_t home_free_tokens(const HomeGrant *g);
int64_t home_plan_draw(const Ledger *l, const HomeBudget *h, int64_t remaining);
/* Takes in what a holder returned and spent in all; less is old news. */
void home_apply_counts(HomeGrant *g, const char *holder, int64_t returned, int64_t spent);
void home_drop_grant(HomeBudget *h);
void home_freeze_grant(Ledger *l, HomeBudget *h);
void home_check_grants(Ledger *l, ShardState *s);

/* == layup.c == */

/* Tokens that were given out, below 0: that came back unused. */
void outage_note_allotted(HomeBudget *h, int64_t tokens);
/* Tokens that are to be held ready now. */
double outage_reserve_tokens(const Ledger *l, const HomeBudget *h);
/* What is laid up is lost when home and witness die together, so a region holds
   no more than its share of the rest, and near the end of the budget no more
   than may go unused. */
int64_t outage_reserve_max(const Ledger *l, const HomeBudget *h, int64_t have,
                    int64_t remaining);
/* `dt` seconds have passed. */
void outage_tick(Ledger *l, HomeBudget *h, double dt);

/* == witness.c == */

/* Another instance of our region, of another data centre if there is one, and
   not `silent` if there is another; to `out` of LIMIT_ID bytes, "" when there
   is none. */
void witness_choose(const Ledger *l, uint64_t grant, const char *silent,
                  char *out);
int64_t witness_room(const HomeGrant *g);
void witness_request_room(Ledger *l, HomeBudget *h, int64_t n);
void witness_on_raise(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_raise_ack(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_seal(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_seal_ack(Ledger *l, const char *from, const LedgerMsg *m);
void witness_tick(Ledger *l, HomeBudget *h);

/* == stored.c == */

ShardState *sync_shard(Ledger *l, int index);
/* Has the shard looked at before the event ends. */
void sync_touch(Ledger *l, ShardState *s);
void sync_start_call(Ledger *l, ShardState *s);
void sync_result(Ledger *l, ShardState *s, ErrKind kind, uint64_t version,
                   const char *text);
void sync_tick(Ledger *l);
/* The store has come back: what waits for it is done, spread over a moment. */
void sync_store_restored(Ledger *l);
void sync_shard_free(ShardState *s);

#endif
