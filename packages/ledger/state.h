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
  char home[LIMIT_ID_BYTES];
  int64_t granted, returned, spent, reserved;
  int64_t told_returned, told_spent; /* acknowledged by a home */
  bool closing;                      /* no new reservations, give back */
  bool over;                         /* its home has a newer grant */
  double reported;
  double allotted; /* when the home last spoke of it */
} Account;

typedef struct Waiter {
  uint64_t handle;
  int64_t amount;
  double deadline;
  ErrKind cause; /* best known reason so far */
} Waiter;

typedef struct Reservation {
  struct Purse *purse;
  Account *account;
  int64_t amount;
} Reservation;

/* The holder's side of one budget. */
typedef struct Purse {
  char name[LIMIT_NAME_BYTES];
  int shard;
  GPtrArray *accounts;
  GQueue waiters;      /* Waiter* */
  double rate;         /* tokens a second, decayed */
  int64_t typical;     /* size of a recent reservation */
  double asked;        /* when the last DRAW went out; 0: none open */
  double answered;     /* when a home last answered one; 0: never */
  double ahead;        /* when tokens were last asked for ahead of need */
  double reserved;     /* when a reservation was last asked for */
  int tries;           /* DRAWs without an answer; two for each choice */
  double first_choice; /* when the first choice was last asked */
  double looked;       /* when it was last looked at */
  bool hot;            /* something happened since, or is to be repeated soon */
} Purse;

/* == home == */

/* The home's book of one account. */
typedef struct Share {
  int64_t granted, returned, spent;
} Share;

typedef struct Draw {
  char holder[LIMIT_ID_BYTES];
  int64_t need, want;
  double since, deadline;
} Draw;

/* A grant this instance drew as home.
   free = (granted - returned) - (given - back) and given <= limit. */
typedef struct Held {
  uint64_t id;
  char witness[LIMIT_ID_BYTES];
  char moving_to[LIMIT_ID_BYTES]; /* next witness, "" none */
  bool moving, moved;       /* asked it; it agreed */
  double drawn;             /* when somebody last asked for tokens */
  bool stored;              /* the document has this grant */
  bool frozen;              /* gives out no more: handing over */
  int64_t granted, returned;
  int64_t given, back, spent; /* sums over shares */
  int64_t limit, limit_asked;
  double raise_sent;
  double unanswered;     /* the first RAISE since the witness spoke; 0: none */
  char silent[LIMIT_ID_BYTES]; /* a witness that did not answer, "" none */
  GHashTable *shares;    /* holder id -> Share */
  int64_t stored_spent, stored_returned;
} Held;

/* A report on a grant that is not ours, to be put into the document. */
typedef struct Late {
  uint64_t grant;
  char holder[LIMIT_ID_BYTES];
  int64_t returned, spent;
  bool final, applied;
  double since; /* when it came */
} Late;

typedef struct Seal {
  uint64_t grant;
  char witness[LIMIT_ID_BYTES]; /* whom we asked */
  bool have;              /* it answered */
  int64_t limit, back;
  double sent;
  double gone_since;
} Seal;

/* The home's side of one budget. */
typedef struct HomeBudget {
  char name[LIMIT_NAME_BYTES];
  Held *held;
  GPtrArray *draws; /* Draw* */
  GPtrArray *late;  /* Late* */
  GPtrArray *seals; /* Seal* */
  double rate;      /* tokens a second, of the last half minute */
  double slow;      /* the same over minutes, decayed from `born` on */
  double ready_s;   /* seconds of demand that may be laid up by now */
  double born;
  double looked;       /* when it was last looked at */
  double recalled;     /* when we last recalled; -1: never */
  double giving_until; /* somebody recalled: free goes to the store at once */
  char recaller[LIMIT_ID_BYTES];
  bool tell_recaller;
  int64_t remaining, unspent; /* as last seen in the document */
} HomeBudget;

/* One shard of the store as this instance knows it. */
typedef struct ShardState {
  int index;
  Shard *doc; /* NULL: must be read first */
  uint64_t version;
  uint64_t seen; /* newest version ever read or written */
  bool busy, putting;
  double started; /* the call in progress */
  bool dirty;     /* something may have to be written */
  bool queued;    /* stands in `touched` */
  bool reread;    /* somebody else changed it */
  double fresh;   /* when `doc` was last known to be the store's */
  double wrote;   /* when we last wrote it */
  double watched; /* when its grants' homes were last looked for */
  double read_at; /* next refresh without other cause */
  double retry_at, backoff;
  double down_since;  /* 0: the store answers */
  GPtrArray *budgets; /* HomeBudget* */
} ShardState;

/* == witness == */

typedef struct Witnessed {
  int64_t limit, back;
  bool sealed;
} Witnessed;

struct Ledger {
  char self[LIMIT_ID_BYTES];
  char region[LIMIT_NAME_BYTES];
  GRand *rng;
  LedgerFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool draining;
  bool away; /* the store answers nobody */
  int lanes;
  double report_every; /* seconds between two writes of spend reports */
  GHashTable *rows;    /* name -> LedgerBudget, as the table has it */
  GPtrArray *by_shard[LIMIT_BUDGET_SHARDS]; /* the same rows; NULL: none there */
  const Member *first[LIMIT_BUDGET_SHARDS]; /* its home in our region as of `homed`;
                                        NULL: nobody */
  uint32_t homed[LIMIT_BUDGET_SHARDS];      /* the view that this was worked out for */
  uint32_t views;                    /* that there have been */
  double account_s;  /* seconds of demand that an account covers */
  double agreed_s;   /* that a witness agrees to ahead */
  int regions, near; /* regions in the view; instances of ours */
  uint64_t keys[LIMIT_BUDGET_SHARDS];
  GHashTable *closed;       /* grants whose account is over: never again */
  GHashTable *purses;       /* name -> Purse */
  GHashTable *reservations; /* handle -> Reservation */
  GHashTable *waiting;      /* handle -> Purse, for handles in a queue */
  GHashTable *homes;        /* name -> HomeBudget */
  ShardState *shards[LIMIT_BUDGET_SHARDS];
  GHashTable *witnessed; /* grant -> Witnessed */
  GQueue actions;        /* LedgerAction* */
  GQueue loop;           /* LedgerMsg* to ourselves */
  GQueue touched;        /* ShardState* to be pumped before the event ends */
};

/* == ledger.c == */

void ledger_send(Ledger *l, const char *to, const LedgerMsg *m);
void ledger_answer(Ledger *l, uint64_t handle, ErrKind cause, int retry_ms);
LedgerMsg ledger_msg(LedgerKind kind, const char *budget, uint64_t grant);
/* The home of a shard in our region, `rank`-th choice; NULL: nobody. */
const Member *ledger_home(const Ledger *l, int shard, int rank);
/* We are that home. */
bool ledger_ours(const Ledger *l, int shard);
/* Who takes reports on grants of our region: its home; with nobody left there
   the first choice of the whole fleet; when all leave, we ourselves. */
const char *ledger_caretaker(const Ledger *l, int shard);
LedgerAction *ledger_act(Ledger *l, LedgerDo what);

/* == holder.c == */

void holder_reserve(Ledger *l, uint64_t handle, const char *budget,
                    int64_t amount);
void holder_settle(Ledger *l, uint64_t handle, int64_t used);
void holder_allot(Ledger *l, const char *from, const LedgerMsg *m);
void holder_reported(Ledger *l, const LedgerMsg *m);
void holder_recall(Ledger *l, const LedgerMsg *m);
void holder_tick(Ledger *l);
bool holder_empty(const Ledger *l);
/* Nothing of that grant is held here, and its home knows. */
bool holder_left(Ledger *l, const char *budget, uint64_t grant);
void holder_purse_free(gpointer p);

/* == home.c == */

HomeBudget *home_budget(Ledger *l, const char *budget);
void home_draw(Ledger *l, const char *from, const LedgerMsg *m);
void home_report(Ledger *l, const char *from, const LedgerMsg *m);
void home_recall(Ledger *l, const char *from, const LedgerMsg *m);
void home_recalled(Ledger *l, const LedgerMsg *m);
void home_pump(Ledger *l, HomeBudget *h);
void home_tick(Ledger *l);
void home_budget_free(gpointer p);
int64_t home_free(const Held *g);
int64_t home_plan(const Ledger *l, const HomeBudget *h, int64_t remaining);
/* Takes in what a holder returned and spent in all; less is old news. */
void home_take(Held *g, const char *holder, int64_t returned, int64_t spent);
void home_drop(HomeBudget *h);
void home_freeze(Ledger *l, HomeBudget *h);
void home_watch_grants(Ledger *l, ShardState *s);

/* == layup.c == */

/* Tokens that were given out, below 0: that came back unused. */
void layup_used(HomeBudget *h, int64_t tokens);
/* Tokens that are to be held ready now. */
double layup_tokens(const Ledger *l, const HomeBudget *h);
/* What is laid up is lost when home and witness die together, so a region holds
   no more than its share of the rest, and near the end of the budget no more
   than may go unused. */
int64_t layup_share(const Ledger *l, const HomeBudget *h, int64_t have,
                    int64_t remaining);
/* `dt` seconds have passed. */
void layup_tick(Ledger *l, HomeBudget *h, double dt);

/* == witness.c == */

/* Another instance of our region, of another data centre if there is one, and
   not `silent` if there is another; to `out` of LIMIT_ID bytes, "" when there
   is none. */
void witness_pick(const Ledger *l, uint64_t grant, const char *silent,
                  char *out);
int64_t witness_room(const Held *g);
void witness_want(Ledger *l, HomeBudget *h, int64_t n);
void witness_raise(Ledger *l, const char *from, const LedgerMsg *m);
void witness_raised(Ledger *l, const char *from, const LedgerMsg *m);
void witness_seal(Ledger *l, const char *from, const LedgerMsg *m);
void witness_sealed(Ledger *l, const char *from, const LedgerMsg *m);
void witness_tick(Ledger *l, HomeBudget *h);

/* == stored.c == */

ShardState *stored_shard(Ledger *l, int index);
/* Has the shard looked at before the event ends. */
void stored_touch(Ledger *l, ShardState *s);
void stored_pump(Ledger *l, ShardState *s);
void stored_result(Ledger *l, ShardState *s, ErrKind kind, uint64_t version,
                   const char *text);
void stored_tick(Ledger *l);
/* The store has come back: what waits for it is done, spread over a moment. */
void stored_back(Ledger *l);
void stored_free(ShardState *s);

#endif
