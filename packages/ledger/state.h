/* state.h: the internal state of the ledger core, for files of this folder
   only. */
#ifndef LEDGER_STATE_H
#define LEDGER_STATE_H

#include <glib.h>

#include "ledger/ledger.h"
#include "ledger/shard.h"

/* For this long after a restore of the store a grant may be missing from a
   document because it was lost. */
#define RESTORE_LOSSES_S 60.0
/* A backup of the store is at most this old. What is older is in it. */
#define BACKUP_MAX_AGE_S 30.0

/* == holder == */

/* What this instance may spend of one grant.
   free = granted - returned - spent - reserved, never below 0. */
typedef struct Account {
  uint64_t grant;
  char home[LIMIT_ID_BYTES];
  int64_t granted, returned, spent, reserved;
  int64_t acked_returned, acked_spent; /* acknowledged by a home */
  bool closing;    /* takes no new reservations, returns its free tokens */
  bool superseded; /* its home has a newer grant */
  double reported_at;
  double allotted_at; /* when the home last sent an ALLOT for it */
} Account;

typedef struct Waiter {
  uint64_t handle;
  int64_t amount;
  double deadline;
  ErrKind cause; /* the refusal to send if the wait ends now */
  int priority;  /* -1: of a service that is not managed */
} Waiter;

typedef struct Reservation {
  struct HolderBudget *budget;
  Account *account;
  int64_t amount;
} Reservation;

/* The holder's side of one budget. */
typedef struct HolderBudget {
  char name[LIMIT_NAME_BYTES];
  int shard;
  GPtrArray *accounts;
  GQueue waiters;           /* Waiter* */
  double demand_per_s;      /* tokens a second, decaying average */
  int64_t typical_tokens;   /* size of a recent reservation */
  double draw_sent_at;      /* when the last DRAW was sent; 0: none open */
  double draw_answered_at;  /* when a home last answered one; 0: never */
  double prefetched_at;     /* when tokens were last requested in advance */
  double reserve_called_at; /* when a reservation was last requested */
  int draw_tries;           /* DRAWs without an answer; two for each home */
  double first_choice_at;   /* when the first choice was last sent a DRAW */
  double ticked_at;
  bool needs_tick; /* changed since the last tick, or has to resend soon */
  /* For managed services (priority.c). */
  double managed_at; /* when one last requested tokens; 0: never */
  double priority_per_s[LEDGER_PRIORITIES]; /* reserved tokens a second */
  double priority_decayed_at;
  double unused_ratio;   /* average of reserved tokens that were not used */
  double demand_sent_at; /* when the last DEMAND was sent */
  int drawn_priority; /* of the first waiter at the last DRAW, and its amount;
                         INT64_MAX: none waited */
  int64_t drawn_amount;
  int cutoff, cutoff_retry_ms;
  double cutoff_at;                 /* when a home last sent one; 0: never */
  char cutoff_home[LIMIT_ID_BYTES]; /* that sent it */
  double first_away_at; /* when the first choice said that it is without the
                           store; 0: never */
  double all_away_at; /* when the last of the homes was found without the store;
                         0: never */
} HolderBudget;

/* == home == */

/* The home's record of one holder's account. */
typedef struct HolderShare {
  int64_t granted, returned, spent;
} HolderShare;

typedef struct Draw {
  char holder[LIMIT_ID_BYTES];
  int64_t need, want;
  double received_at, deadline;
} Draw;

/* An allowance that the home has stated (allowance.c). */
typedef struct Statement {
  ShardAllowance a;
  double sent_at;
  uint64_t on_version; /* of the document that it was to replace */
  bool is_stored;      /* in the last document that was read */
} Statement;

/* A grant of which this instance is the home.
   free = (granted - returned) - (allotted - returned_by_holders), and
   allotted <= limit. */
typedef struct HomeGrant {
  uint64_t id;
  char witness[LIMIT_ID_BYTES];
  char next_witness[LIMIT_ID_BYTES];           /* "": none */
  bool replacing_witness, next_witness_agreed; /* by `next_witness` */
  double drawn_at;                             /* when the last DRAW arrived */
  bool stored;     /* the document contains this grant */
  uint64_t era;    /* of the store, when the document last contained it */
  bool frozen;     /* allots nothing more: is being handed over */
  double ended_at; /* when it was dropped; 0: it was not */
  int64_t granted, returned;
  int64_t allotted, returned_by_holders, spent; /* sums over `shares` */
  int64_t limit, limit_requested;
  double raise_sent_at;
  double unanswered_since;           /* the first RAISE since the witness last
                                        answered; 0: none */
  char unresponsive[LIMIT_ID_BYTES]; /* a witness that did not answer; "": none
                                      */
  GHashTable *shares;                /* holder id -> HolderShare */
  int64_t stored_spent, stored_returned;
  GArray *statements;   /* Statement; all of them bind the home */
  bool needs_allowance; /* a draw waits for a higher one */
} HomeGrant;

/* A report on a grant of another home, to be written to the document. */
typedef struct OrphanReport {
  uint64_t grant;
  char holder[LIMIT_ID_BYTES];
  int64_t returned, spent;
  bool final, applied;
  double received_at;
} OrphanReport;

/* The sealing of a grant whose home is gone. */
typedef struct PendingSeal {
  uint64_t grant;
  char witness[LIMIT_ID_BYTES]; /* that the SEAL is sent to */
  bool is_answered;
  int64_t limit, returned_to_home;
  double sent_at;
  double gone_since;
  /* Without the witness (allowance.c): */
  char home[LIMIT_ID_BYTES];
  double asked_at;  /* when another life of the home was asked; 0: it was not */
  int64_t question; /* a random number; 0: nobody was asked */
  bool has_ended;   /* the home has, by `ended_at` */
  bool by_allowance; /* `limit` is by the grant's allowance */
  double ended_at;
} PendingSeal;

/* The home's side of one budget. */
typedef struct HomeBudget {
  char name[LIMIT_NAME_BYTES];
  HomeGrant *home_grant;
  GPtrArray *former_grants;  /* HomeGrant*, ended lately: a restored store may
                                have lost how */
  GPtrArray *draws;          /* Draw* */
  GPtrArray *orphan_reports; /* OrphanReport* */
  GPtrArray *seals;          /* PendingSeal* */
  double demand_per_s;       /* tokens a second over the last half minute */
  double slow_demand_per_s;  /* the same over minutes, decaying from
                                `started_at` on */
  double reserve_cap_s;      /* max seconds of demand in reserve for now */
  double started_at;
  double ticked_at;
  double denied_at;    /* when a denial was last noted for the log; 0: never */
  double recalled_at;  /* when this home last recalled; -1: never */
  double return_until; /* another home recalls: until then free tokens go back
                          to the store at once */
  char recaller[LIMIT_ID_BYTES];
  bool notify_recaller;
  int64_t remaining;   /* from the last version of the document */
  int64_t unspent;     /* from the same version */
  bool is_held;        /* more could be drawn but for a restore of the store */
  bool is_known;       /* they were read */
  GHashTable *demands; /* holder -> HolderDemand (priority.c); NULL: none */
  int64_t large_need;  /* of the larger draws lately */
  double demand_at;    /* when the last DEMAND arrived */
  double away_since;   /* when the store went away for this home; 0: it
                          answers. Kept while there are `demands` only. */
} HomeBudget;

/* One shard of the store as this instance knows it. */
typedef struct ShardState {
  int index;
  Shard *doc; /* NULL: must be read first */
  uint64_t version;
  uint64_t newest_version; /* ever read or written */
  bool call_pending, call_is_put;
  double call_started_at;
  bool dirty;               /* there may be something to write */
  bool queued;              /* is in `touched_shards` */
  bool must_reread;         /* another instance changed it */
  double confirmed_at;      /* when `doc` was last known to be current */
  double written_at;        /* when this instance last wrote it */
  double grants_checked_at; /* when its grants' homes were last checked */
  double next_read_at;      /* next periodic read */
  double retry_at, backoff;
  double down_since;  /* 0: the store answers */
  double repeated_at; /* when a failed call was last repeated at once */
  GPtrArray *budgets; /* HomeBudget* */
  Shard *former;      /* the last copy that was dropped; NULL: none */
  uint64_t former_era;
  double former_at;    /* when it was last known to be current */
  bool former_applied; /* `doc` contains what `former` showed */
  uint64_t merged_era; /* so does the store's document of this era */
  double merged_at;    /* `former_at` of that copy */
  uint64_t chain_era;  /* the same of the first of several restores */
  double chain_at;
} ShardState;

/* == witness == */

typedef struct WitnessedGrant {
  char budget[LIMIT_NAME_BYTES], home[LIMIT_ID_BYTES];
  int64_t limit, returned_to_home;
  bool sealed;
  double raised_at;   /* when the home last requested a limit */
  uint64_t found_era; /* of the last document in which it was found */
} WitnessedGrant;

/* A member that left the view, planned or not. */
typedef struct MemberLoss {
  double at;
  char region[LIMIT_NAME_BYTES];
  bool has_witnesses; /* its grants had witnesses in its region */
} MemberLoss;

/* What another instance stated of its clock. */
typedef struct ClockSample {
  double ahead_ms; /* its unix time less this instance's monotonic time */
  double at;       /* when it arrived */
} ClockSample;

struct Ledger {
  char self[LIMIT_ID_BYTES];
  char region[LIMIT_NAME_BYTES];
  GRand *rng;
  LedgerFaults faults;
  View *view;
  double now;
  int64_t unix_s;
  bool states_allowances;
  int64_t unix_ms; /* at `unix_at`; 0: unknown */
  double unix_at;
  double began_at;    /* when this core was first told the time */
  GHashTable *clocks; /* instance id -> ClockSample */
  bool draining;
  bool store_down;
  double store_down_since;  /* when `store_down` last changed */
  uint64_t era;             /* of the store; 0: unknown, or it states none */
  bool has_read;            /* a shard was read */
  bool must_settle;         /* once draws are no longer held */
  bool saw_restore;         /* a shard was read before `era` began */
  GArray *losses;           /* MemberLoss, oldest first */
  double started_at;        /* when it was first told a view */
  double restored_at;       /* when `era` was first seen */
  double no_draws_until;    /* until then few tokens are drawn */
  double losses_checked_at; /* when grants were last looked for that documents
                               may have lost */
  int lanes;
  double report_write_s; /* seconds between two writes of spend reports */
  GHashTable *rows;      /* name -> LedgerBudget, as in the table */
  GPtrArray *rows_by_shard[LIMIT_BUDGET_SHARDS]; /* the same rows; NULL: none */
  const Member *first_homes[LIMIT_BUDGET_SHARDS]; /* the shard's home in this
                                              region at `first_home_epoch`;
                                              NULL: nobody */
  uint32_t
      first_home_epoch[LIMIT_BUDGET_SHARDS]; /* `view_epoch` of that entry */
  uint32_t view_epoch;                       /* number of views so far */
  double account_cover_s;      /* seconds of demand that an account covers */
  double witness_ahead_s;      /* that a witness agrees to in advance */
  int regions, region_members; /* regions in the view; instances of this
                                  region in it */
  uint64_t shard_keys[LIMIT_BUDGET_SHARDS];
  GHashTable *closed_grants;  /* grants whose account here was closed; it is
                                 never opened again */
  GHashTable *holder_budgets; /* name -> HolderBudget */
  GHashTable *reservations;   /* handle -> Reservation */
  GHashTable *waiting;        /* handle -> HolderBudget, for queued handles */
  GHashTable *home_budgets;   /* name -> HomeBudget */
  ShardState *shards[LIMIT_BUDGET_SHARDS];
  GHashTable *witnessed; /* grant -> WitnessedGrant */
  GQueue actions;        /* LedgerAction* */
  GQueue self_messages;  /* LedgerMsg* from this instance to itself */
  GQueue touched_shards; /* ShardState* to synchronise before the event ends */
};

/* == ledger.c == */

/* Documents may have lost grants in a restore of the store. */
bool ledger_may_lack_grants(const Ledger *l);
void ledger_send(Ledger *l, const char *to, const LedgerMsg *m);
void ledger_add_answer(Ledger *l, uint64_t handle, ErrKind cause, int retry_ms);
LedgerMsg ledger_make_msg(LedgerKind kind, const char *budget, uint64_t grant);
/* The `rank`-th choice for the home of a shard in this region; NULL: nobody. */
const Member *ledger_home(const Ledger *l, int shard, int rank);
/* This instance is the first choice. */
bool ledger_is_home(const Ledger *l, int shard);
/* The instance that receives reports on grants of this region: the region's
   home; if the region has no members, the first choice of the whole fleet; if
   every instance is leaving, this one. */
const char *ledger_report_recipient(const Ledger *l, int shard);
LedgerAction *ledger_add_action(Ledger *l, LedgerActionKind kind);

/* == holder.c == */

void holder_reserve(Ledger *l, uint64_t handle, const char *budget,
                    int64_t amount, int priority);
/* Rejects the waiting requests whose priority is rejected now. */
void holder_apply_cutoff(Ledger *l, HolderBudget *b);
/* See ledger_wait_cause. */
ErrKind holder_wait_cause(const Ledger *l, uint64_t handle, int *retry_ms);
void holder_settle(Ledger *l, uint64_t handle, int64_t used);
void holder_on_allot(Ledger *l, const char *from, const LedgerMsg *m);
void holder_on_report_ack(Ledger *l, const LedgerMsg *m);
void holder_on_return(Ledger *l, const LedgerMsg *m);
void holder_tick(Ledger *l);
bool holder_is_empty(const Ledger *l);
/* This holder has no tokens of that grant, and a home has acknowledged it. */
bool holder_has_released(Ledger *l, const char *budget, uint64_t grant);
void holder_budget_free(gpointer p);

/* == home.c == */

HomeBudget *home_budget(Ledger *l, const char *budget);
void home_on_draw(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_report(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_recall(Ledger *l, const char *from, const LedgerMsg *m);
void home_on_recall_done(Ledger *l, const LedgerMsg *m);
void home_serve_draws(Ledger *l, HomeBudget *h);
/* Tokens are left, but hardly any may be drawn yet after a restore of the
   store. */
bool home_is_held(const Ledger *l, const HomeBudget *h);
/* The home can't refill: it doesn't reach the store, or the budget is held. */
bool home_is_away(Ledger *l, const HomeBudget *h);
void home_tick(Ledger *l);
void home_budget_free(gpointer p);
int64_t home_free_tokens(const HomeGrant *g);
/* Tokens that open draws need. */
int64_t home_total_need(const Ledger *l, const HomeBudget *h);
int64_t home_plan_draw(const Ledger *l, const HomeBudget *h, int64_t remaining);
/* Records the cumulative counts of a holder; smaller counts are outdated and
   have no effect. */
void home_apply_counts(HomeGrant *g, const char *holder, int64_t returned,
                       int64_t spent);
/* The grant has ended in the document. */
void home_drop_grant(const Ledger *l, HomeBudget *h);
void home_freeze_grant(Ledger *l, HomeBudget *h);
/* Seals grants of the shard whose homes are gone. */
void home_check_grants(Ledger *l, ShardState *s);

/* == priority.c == */

void priority_note_request(const Ledger *l, HolderBudget *b, int priority,
                           int64_t amount);
void priority_note_settled(HolderBudget *b, int64_t reserved, int64_t used);
/* Tokens per second that managed services reserved in the last seconds. */
double priority_holder_demand_per_s(const Ledger *l, const HolderBudget *b);
/* A managed service used the budget here lately. */
bool priority_is_managed_here(const Ledger *l, const HolderBudget *b);
/* The home rejects this priority now; *retry_ms: until when. */
bool priority_is_rejected(const Ledger *l, const HolderBudget *b, int priority,
                          int *retry_ms);
/* Reports waiting tokens and demand to a home, just before a DRAW. */
void priority_send_demand(Ledger *l, HolderBudget *b, const char *home);
void priority_on_cutoff(Ledger *l, const char *from, const LedgerMsg *m);
/* All homes that can be asked were without the store within the last second, or
   the store is away for all. */
bool priority_store_is_away(const Ledger *l, const HolderBudget *b);
/* The end of the outage that a home states; 0: unknown. */
int priority_retry_ms(const Ledger *l, const HolderBudget *b);
void priority_tick_holder(Ledger *l, HolderBudget *b);

/* Holders of managed services use the budget of this home. */
bool priority_is_managed(const Ledger *l, const HomeBudget *h);
void priority_on_demand(Ledger *l, const char *from, const LedgerMsg *m);
/* Demand of managed services in the last seconds. */
double priority_demand_per_s(const Ledger *l, const HomeBudget *h);
/* Free tokens, without those that are kept for more urgent requests. */
int64_t priority_usable_tokens(const Ledger *l, const HomeBudget *h,
                               const Draw *d);
/* Tokens of all waiting requests behind a draw that may be served now, at least
   its `need`; without a report of its holder: `need`. */
int64_t priority_pressing_tokens(const Ledger *l, const HomeBudget *h,
                                 const Draw *d);
/* The holder's share of the free tokens by its part of the demand; 0 while the
   store is away, or without reports. */
int64_t priority_share_tokens(const Ledger *l, const HomeBudget *h,
                              const Draw *d);
/* The store is away and the draw is denied: tells its holder, so that further
   requests of this priority are rejected there at once. */
void priority_note_denied(Ledger *l, HomeBudget *h, const Draw *d);
void priority_tick_home(Ledger *l, HomeBudget *h);

/* == allowance.c == */

/* Records what a message states of its sender's clock. */
void allowance_note_clock(Ledger *l, const char *from, int64_t unix_ms);
/* This instance's clock now; 0: unknown. */
int64_t allowance_unix_ms(const Ledger *l);
/* Forgets the clocks of instances that are not in the view. */
void allowance_forget_clocks(Ledger *l);
/* Tokens that the home may give out by what it has stated; INT64_MAX: any. */
int64_t allowance_room(const Ledger *l, const HomeGrant *g);
/* Whether the document should be written to state another one. */
bool allowance_is_due(const Ledger *l, const HomeBudget *h);
/* States the allowances of this home's grants in a document that is about to be
   written. */
void allowance_state(Ledger *l, ShardState *s);
/* The document that was read or written has `sg`. */
void allowance_confirm(const Ledger *l, const ShardState *s, HomeGrant *g,
                       const ShardGrant *sg);
/* The view has another life of this instance. */
bool allowance_has_other_life(const Ledger *l, const char *id);
/* Asks another life of the home of a grant whether it runs. */
void allowance_ask_end(Ledger *l, const char *budget, PendingSeal *s);
/* An instance says that it runs, and since when. */
void allowance_on_life(const Ledger *l, HomeBudget *h, const char *from,
                       const LedgerMsg *m);
/* Decides the seal by the grant's allowance, if its home is known to have
   ended. Returns whether it could. */
bool allowance_seal(Ledger *l, const ShardState *shard, const char *budget,
                    const ShardGrant *g, PendingSeal *s);

/* == layup.c == */

/* Tokens per second that this region uses. */
double outage_demand_per_s(const Ledger *l, const HomeBudget *h);

/* Counts tokens that were allotted; below 0: that holders returned unused. */
void outage_note_allotted(HomeBudget *h, int64_t tokens);
/* Tokens that the home should hold in reserve now. */
double outage_reserve_tokens(const Ledger *l, const HomeBudget *h);
/* Max tokens that a region may hold. The reserve is lost when home and witness
   die together, so a region holds no more than its share of the rest, and near
   the end of the budget no more than may go unused. */
int64_t outage_reserve_max(const Ledger *l, const HomeBudget *h, int64_t have,
                           int64_t remaining);
/* `dt` seconds have passed. */
void outage_tick(Ledger *l, HomeBudget *h, double dt);

/* == witness.c == */

/* Chooses another instance of this region, in another data centre if there is
   one, and not `avoid` if there is another; to `out` of LIMIT_ID_BYTES bytes,
   "" when there is none. */
void witness_choose(const Ledger *l, uint64_t grant, const char *avoid,
                    char *out);
/* Tokens that may be allotted without a further agreement of the witness. */
int64_t witness_headroom(const HomeGrant *g);
/* Requests headroom for `n` more tokens and for a few seconds of demand. */
void witness_request_headroom(Ledger *l, HomeBudget *h, int64_t n);
void witness_on_raise(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_raise_ack(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_seal(Ledger *l, const char *from, const LedgerMsg *m);
void witness_on_seal_ack(Ledger *l, const char *from, const LedgerMsg *m);
void witness_tick(Ledger *l, HomeBudget *h);

/* Writes grants of lost homes, of which this instance is the witness, into a
   document that may have lost them. Returns whether it changed `b`. */
bool witness_restore_grants(Ledger *l, ShardBudget *b);
/* Touches the shards of such grants. A home that is lost beside the restore
   leaves the view only seconds later, so this is repeated. */
void witness_touch_lost_grants(Ledger *l);

/* == ceiling.c == */

/* Seconds until what is held for the restore that was last seen may be drawn,
   unless a ceiling is not old enough by then; below 0: it may. */
double ceiling_hold_left_s(const Ledger *l);
/* Tokens that a home may draw now. */
int64_t ceiling_drawable(const Ledger *l, const ShardBudget *b);
/* Applies a row whose total has changed by `more`. */
void ceiling_add(ShardBudget *b, int64_t more);
/* Starts the ceiling of a budget that the document did not contain. */
void ceiling_start(const Ledger *l, ShardBudget *b);
/* Puts back what this instance last read of the shard in an earlier era.
   Returns whether it changed the document. */
bool ceiling_merge_former(Ledger *l, ShardState *s);
/* Whether `former` is still needed, so that `doc` must not take its place. */
bool ceiling_must_keep_former(const Ledger *l, const ShardState *s);
/* Grants were written again: `before` is shard_budget_in_grants before that.
   What they account for is no longer missing. */
void ceiling_account(ShardBudget *b, int64_t before);
/* Some tokens may be drawn while more are open than remain. Counts as open only
   what is not drawn. Returns whether it changed the budget. */
bool ceiling_fit_open(ShardBudget *b);
/* In the first document of a later era: counts as used what an older copy may
   not show. Returns whether it changed the budget. */
bool ceiling_begin_era(const Ledger *l, const ShardState *s, ShardBudget *b);
/* Frees what was counted as used, if all that may have drawn it have written
   their grants. Returns whether it changed the budget. */
bool ceiling_settle(const Ledger *l, const ShardState *s, ShardBudget *b);
/* Whether this instance could do so for a budget of the shard. */
bool ceiling_may_settle(const Ledger *l, const ShardState *s);
/* Sets the ceiling, or raises it ahead of need; `is_written`: the document is
   written anyway. Returns whether it changed the budget. */
bool ceiling_raise(const Ledger *l, const HomeBudget *h, ShardBudget *b,
                   bool is_written);
/* Records which members of `old` are missing in `new`. */
void ceiling_note_view(Ledger *l, const View *old, const View *new);

/* == stored.c == */

ShardState *sync_shard(Ledger *l, int index);
/* As home_is_held, of a budget in the document. */
bool sync_is_held(const Ledger *l, const ShardBudget *b);
/* `b`: the budget in the current document; NULL: it is not there. */
void sync_note_remaining(const Ledger *l, HomeBudget *h, const ShardBudget *b);
/* Queues the shard to be synchronised before the event ends. */
void sync_touch(Ledger *l, ShardState *s);
/* Starts the next store call of the shard if one is needed and allowed now. */
void sync_start_call(Ledger *l, ShardState *s);
void sync_result(Ledger *l, ShardState *s, ErrKind kind, uint64_t version,
                 const char *text);
void sync_tick(Ledger *l);
/* The store answers again: schedules the waiting calls, spread over a short
   time. */
void sync_store_back(Ledger *l);
/* The store states this era. */
void sync_note_era(Ledger *l, uint64_t era);
void sync_shard_free(ShardState *s);

#endif
