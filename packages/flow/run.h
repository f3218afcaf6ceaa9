/* run.h: one request on its way through the relay; shared by run.c, dispatch.c
   and relay.c only. */
#ifndef FLOW_RUN_H
#define FLOW_RUN_H

#include "flow/events.h"
#include "flow/link.h"
#include "flow/relay.h"
#include "kernel/digest.h"
#include "route/suspects.h"
#include "route/trials.h"

#define RUN_LINK_KEEP_S 30.0 /* an idle connection to a target is kept */
#define RUN_TRIED_MOST 8     /* targets that one request is tried at */
/* Seconds for other instances' answers, which take a way to and fro and a turn:
   what has not come by then is done without. */
#define RUN_ANSWER_S 0.02
#define RUN_BACK_SOON_MS 200 /* Retry-After of what passes quickly */
/* The same while all targets that are left are evacuated. Nobody tells how long
   it will take; operators' evacuations last for tens of seconds, and callers
   wait for a third of their time at most. */
#define RUN_BACK_EVACUATED_MS 5000
/* The same where the operators let it be served only where no target is: until
   a target comes, or another configuration. */
#define RUN_BACK_CHANGED_MS 5000

typedef struct Run Run;

struct Run {
  Relay *relay;
  Caller *caller;
  const CallerReq *req;
  Ask ask;
  Conf *conf;
  const ConfRoute *route;
  const ConfService *service; /* NULL: not described */
  const char *service_name;
  const ConfCustomer *customer; /* NULL: an open route */
  RegionSet regions;            /* that it is bound to */
  Digest digest;                /* run_digest */
  bool digested;
  struct Try *try; /* of a suspect; NULL: it is none */
  double deadline;
  ev_timer timer;
  /* budget */
  int64_t reserved;
  uint64_t handle; /* 0: nothing is reserved */
  bool waits;      /* for the decision on it */
  /* target */
  const Target *tried[RUN_TRIED_MOST];
  int n_tried, sends;
  Target *target;
  TargetChoice choice; /* that led there */
  double sent_at;
  /* what all have at the targets that may be chosen */
  ev_timer told_timer;
  uint64_t question; /* that is open; 0: none */
  bool holds;        /* the choice waits for the answers */
  int n_asked, n_words;
  TallyReport words[TARGETS_MAX_QUERIED];
  /* a permit for the target of `choice` */
  bool permit_asked; /* the question that is open is for it */
  double asked_at;
  int n_permits, all_permits; /* asked for: since it was last sent, in all */
  uint64_t permit_run; /* its number at that target; 0: it asked for none */
  uint64_t run;     /* its number at the target, as told; 0: it was not told */
  uint64_t counter; /* of its work there */
  bool first;       /* its first byte has come */
  double first_at;  /* when; of this target */
  Link *link;
  double paused_at; /* nothing is read of its answer since; 0: it is read */
  bool refused;     /* the answer under way says that it did not run */
  bool maybe;       /* it was sent somewhere and may have run */
  /* answer */
  int status;
  GString *fields, *body;
  bool stream, head_out;
  double first_s;   /* until the first event or byte was handed on; 0: none */
  double passed_at; /* when something was last handed on; 0: never */
  double pause_s;   /* longest time between two events handed on */
  Events events;
  struct Run *prev, *next;
};

struct Relay {
  struct ev_loop *loop;
  Store *store;
  Callers *callers;
  Links *links;
  Targets *targets;
  const Regions *regions;
  Cluster *cluster;
  GHashTable *reserved; /* handle -> Run, of all that hold or wait */
  Retries *retries;
  Ends *ends;
  Suspects *suspects;
  Trials *trials;
  GPtrArray *tries;   /* Try*, of our own, until the store has their outcome */
  GHashTable *asking; /* question -> Run */
  uint64_t questions, runs;
  Conf *conf;
  int64_t body_room;
  Run *first;
  int n;
  bool refusing, behind;
};

/* == run.c: its life == */

Run *run_new(Relay *r, Caller *c, const CallerReq *req);
double run_now(const Run *x);
/* The target is done with, one way or the other. */
void run_leave_target(Run *x, TargetOutcome how);
/* Ends with an error of ours; breaks off what was begun. */
void run_give_up(Run *x, Err *e);
/* Ends with the answer that was passed on. */
void run_served(Run *x);
/* Ends without an answer: the caller left. */
void run_left(Run *x);

/* == relay.c: what it is allowed == */

/* Bounds it to the regions of the configuration in force as well, should that
   have changed since it came. */
void run_bind(Run *x);

/* == asking.c: what others have at targets == */

/* Asks for it, so that the answers are there when a target is chosen. */
void run_ask(Run *x);
/* Whatever was asked, the answer is not awaited any more. */
void run_stop_asking(Run *x);
/* The target got the request; it began to answer; it is done with it. */
void run_tell_sent(Run *x);
void run_tell_read(Run *x);
void run_tell_done(Run *x);

/* == permits.c: bounded targets == */

/* Whether it has not been refused too often. */
bool run_may_ask_permit(const Run *x);
/* What its target's answer says of the requests that it takes. */
void run_note_limit(Run *x, const Answer *a);
/* Sends it to the chosen target once it has a permit, or chooses again. */
void run_ask_permit(Run *x, const TargetChoice *c);

/* == breaks.c: targets that end, and under which requests == */

/* Stands for this request and all that repeat it: same method, host, path,
   customer and body. */
Digest run_digest(Run *x);
/* Stands for its customer. */
uint64_t run_owner(const Run *x);
/* Whether the request had just begun to run at its target, or was still to. */
bool run_is_young(const Run *x);
/* Its exchange with `t` broke, and it is done with it. */
void run_broke(Run *x, Target *t, bool young);
/* It ends before the exchange with its target does. */
void run_cut_off(Run *x);
/* Its exchange ended with the target's answer. */
void run_ran(Run *x);
/* A connection to `addr` was tried; `ctx` is the relay. */
void relay_reach(void *ctx, const char *addr, LinkReach how);

/* Its caller has taken enough to get more. */
void run_drained(Run *x);
/* Ends those whose callers read so slowly that their targets would suffer. */
void relay_end_slow(Relay *r);

/* == trying.c: suspects == */

/* Calls `go` at once, or once the store has its trial; or refuses it. */
void run_admit(Run *x, void (*go)(Run *x));
/* It ends; `sent`: it came to a target. */
void run_leave_trial(Run *x, bool sent);
/* A target ended under a request. */
void relay_tried_ended(Relay *r, Digest d);
/* An attempt of it ended well. */
void relay_tried_well(Relay *r, Digest d);
void relay_close_tries(Relay *r);
void relay_free_tries(Relay *r);

/* == dispatch.c: targets and their answers == */

/* What the choice of a target is made by. */
TargetRequest run_target_ask(Run *x);
void run_choose(Run *x);
/* Sends it to the target of `choice`. */
void run_send(Run *x);

/* Chooses a target and sends the request there, or gives up. */
void run_dispatch(Run *x);

#endif
