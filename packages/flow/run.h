/* run.h: a run is one request while the relay handles it. Internal to relay.c
   and the other files named below.

   A request under which targets ended is a suspect. A trial, kept in the store,
   lets one instance at a time try a suspect again. */
#ifndef FLOW_RUN_H
#define FLOW_RUN_H

#include "flow/events.h"
#include "flow/link.h"
#include "flow/relay.h"
#include "kernel/digest.h"
#include "route/suspects.h"
#include "route/trials.h"

#define RUN_LINK_MAX_IDLE_S 30.0 /* of an idle connection to a target */
#define RUN_MAX_TARGETS 8        /* that one request is sent to */
/* How long a request waits for answers of other instances, which take a network
   round trip and a turn of their event loop. It continues without those that
   are still missing. */
#define RUN_ANSWER_TIMEOUT_S 0.02
#define RUN_RETRY_SOON_MS 200 /* Retry-After for short conditions */
/* Retry-After while all remaining targets are under evacuation, that is,
   operators have excluded them for a time. The duration is unknown; evacuations
   last for tens of seconds, and callers wait for at most a third of their
   deadline. */
#define RUN_RETRY_EVACUATED_MS 5000
/* Retry-After when no target is in the allowed regions, which lasts until a
   target joins or the configuration changes. */
#define RUN_RETRY_NOT_ALLOWED_MS 5000

typedef struct Run Run;

struct Run {
  Relay *relay;
  Caller *caller;
  const CallerRequest *http_request;
  RequestInfo request;
  Conf *conf;
  const ConfRoute *route;
  const ConfService *service; /* NULL: not in the configuration */
  const char *service_name;
  const ConfCustomer *customer; /* NULL: an open route */
  RegionSet regions;            /* that may serve it */
  Digest digest;                /* run_digest */
  bool has_digest;
  struct Try *try; /* of a suspect; NULL: not a suspect */
  double deadline;
  ev_timer timer;
  /* budget */
  int64_t reserved_tokens;
  uint64_t reservation; /* its number; 0: none */
  bool awaits_budget;   /* the reservation is not decided yet */
  /* target */
  const Target *tried[RUN_MAX_TARGETS];
  int n_tried, sends;
  Target *target;
  TargetChoice choice; /* of `target` */
  double sent_at;
  /* query for the number of requests at candidate targets */
  ev_timer query_timer;
  uint64_t query_id;   /* of the pending query; 0: none */
  bool awaits_reports; /* the choice waits for reports */
  int n_queried, n_reports;
  TallyReport reports[TARGETS_MAX_QUERIED];
  /* permit for the target of `choice` */
  bool awaits_permit; /* the pending query is for a permit */
  double permit_requested_at;
  int n_permits, total_permits; /* requested: since it was last sent, in all */
  uint64_t permit_run_id; /* number of the run in its permit request; 0: none */
  uint64_t run_id;      /* number of the run in its reports; 0: not reported */
  uint64_t counter;     /* instance that counts the target's work */
  bool has_first_byte;  /* of the answer */
  double first_byte_at; /* from this target */
  Link *link;
  double paused_at; /* reading of the answer is paused since; 0: not paused */
  bool refused;     /* the current answer states that it did not run */
  bool maybe_ran;   /* a target may have run it */
  /* answer */
  int status;
  GString *fields, *body;
  bool stream, head_sent;
  double first_event_s; /* until the first data was passed on; 0: none */
  double forwarded_at;  /* time of the last data passed on; 0: never */
  double max_pause_s;   /* longest time between two passed on */
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
  GHashTable *runs_by_reservation; /* reservation -> Run, decided or pending */
  Retries *retries;
  Ends *ends;
  Suspects *suspects;
  Trials *trials;
  GPtrArray *tries;          /* Try*, until the store has their outcome */
  GHashTable *runs_by_query; /* query id -> Run */
  uint64_t last_query_id, last_run_id;
  Conf *conf;
  int64_t max_held_body_bytes;
  Run *first_run;
  int n_runs;
  bool refusing, stale;
};

/* == run.c: start and end of a run == */

Run *run_new(Relay *r, Caller *c, const CallerRequest *req);
double run_now(const Run *x);
/* Ends the use of the current target, if any. */
void run_release_target(Run *x, TargetOutcome how);
/* Ends the run with an error answer, or breaks off an answer that has begun. */
void run_fail(Run *x, Err *e);
/* Ends the run after its answer was passed on. */
void run_end_served(Run *x);
/* Ends the run without an answer, after the caller disconnected. */
void run_end_disconnected(Run *x);

/* == relay.c: allowed regions == */

/* Restricts the run to the regions of the current configuration as well, if
   that changed since the request arrived. */
void run_update_regions(Run *x);

/* == asking.c: requests of all instances at targets == */

/* Queries the number of requests at candidate targets ahead of the choice. */
void run_query_tallies(Run *x);
/* Stops waiting for answers to a query or permit request. */
void run_cancel_query(Run *x);
/* Report that the target was sent the request, has begun to answer, and has
   ended. */
void run_report_sent(Run *x);
void run_report_prompt_read(Run *x);
void run_report_done(Run *x);

/* == permits.c: targets that limit their rate == */

/* Whether the run has not been refused too many permits. */
bool run_may_request_permit(const Run *x);
/* Records the rate limit that the target's answer states. */
void run_record_limit(Run *x, const AnswerInfo *a);
/* Requests a permit for the chosen target, then sends the request there or
   chooses another target. */
void run_request_permit(Run *x, const TargetChoice *c);

/* == breaks.c: targets that end, and the requests involved == */

/* Digest of method, host, path, customer and body: equal for this request and
   its repetitions. */
Digest run_digest(Run *x);
/* Hash of the customer's name. */
uint64_t run_customer_hash(const Run *x);
/* Whether the request began to run at its target recently, or not yet. */
bool run_is_recently_started(const Run *x);
/* The exchange with `t` broke and was ended. */
void run_record_broken(Run *x, Target *t, bool recently_started);
/* The run ends before the exchange with its target. */
void run_record_cut_off(Run *x);
/* The exchange ended with an answer of the target. */
void run_record_completed(Run *x);
/* Result of an attempt to connect to `addr`; `ctx` is the relay. */
void relay_on_connect(void *ctx, const char *addr, LinkConnectResult how);

/* Resumes reading the answer, after the caller has received enough of it. */
void run_resume_answer(Run *x);
/* Ends runs whose callers read so slowly that the targets would be affected. */
void relay_end_slow_callers(Relay *r);

/* == trying.c: suspects == */

/* Calls `proceed` at once or, for a suspect, once the store has its trial; or
   refuses the request. */
void run_admit(Run *x, void (*proceed)(Run *x));
/* The run ends; `sent`: it was sent to a target. */
void run_end_trial(Run *x, bool sent);
/* A target ended under the request with digest `d`. */
void relay_on_trial_target_ended(Relay *r, Digest d);
/* An attempt of that request was answered. */
void relay_on_trial_succeeded(Relay *r, Digest d);
/* Writes the outcomes of tries that are over to the store. */
void relay_close_tries(Relay *r);
void relay_free_tries(Relay *r);

/* == dispatch.c: targets and their answers == */

/* Criteria for the choice of a target. */
TargetRequest run_target_criteria(Run *x);
void run_choose_target(Run *x);
/* Sends the request to the target of `choice`. */
void run_send(Run *x);

/* Chooses a target, after awaiting reports if any are missing, and sends the
   request there, or fails. */
void run_dispatch(Run *x);

#endif
