/* run.h: a run is one request while the relay handles it. Internal to relay.c
   and the other files named below.

   A target ends when its process ends. A request is a suspect when targets
   ended while they ran it, or ran others that share a part of its prompt. A
   trial, kept in the store, lets one instance at a time send a suspect to a
   target. A permit lets an instance send one request to a target that limits
   its rate; the instance that counts the target's requests issues it
   (route/tally.h). A reservation reserves tokens of the customer's budget. */
#ifndef FLOW_RUN_H
#define FLOW_RUN_H

#include <jansson.h>

#include "flow/events.h"
#include "flow/link.h"
#include "flow/pathcheck.h"
#include "flow/relay.h"
#include "kernel/digest.h"
#include "flow/tunnel.h"
#include "route/admission.h"
#include "route/gateways.h"
#include "conf/history.h"
#include "route/origins.h"
#include "route/paths.h"
#include "route/returns.h"
#include "route/suspects.h"
#include "route/trials.h"

#define RUN_LINK_MAX_IDLE_S 30.0 /* then an idle connection is closed */
#define RUN_MAX_TARGETS 8        /* targets that one request is sent to */
#define RUN_MAX_GATEWAYS 16      /* gateways that one request asks in vain */
/* How long a request waits for answers of other instances, which take a network
   round trip and a turn of their event loop. It continues without those that
   are still missing. */
#define RUN_ANSWER_TIMEOUT_S 0.02
#define RUN_MAX_REPORTS (2 * TARGETS_MAX_QUERIED) /* of two queries */
#define RUN_RETRY_SOON_MS 200 /* Retry-After for conditions that end soon */
/* Callers follow Retry-After up to the remaining time divided by this; a later
   retry would not leave enough time to be served. */
#define RUN_RETRY_DEADLINE_DIVISOR 3
/* Retry-After while all remaining targets are under evacuation, that is,
   operators have excluded them for a time. The duration is unknown; evacuations
   last for tens of seconds, and callers wait for at most a third of their
   deadline. */
#define RUN_RETRY_EVACUATED_MS 5000
/* Retry-After when no target is in the allowed regions, which lasts until a
   target joins or the configuration changes. */
#define RUN_RETRY_NOT_ALLOWED_MS 5000

typedef struct Run Run;
typedef struct Recovery Recovery;
struct Feed;

/* The answer to the check of a target that closed an unframed answer. */
typedef enum {
  CHECK_UNANSWERED,
  CHECK_ANSWERED,
  CHECK_ANSWERED_BY_ANOTHER /* by a proxy, or a target that started later */
} CheckResult;

struct Run {
  Relay *relay;
  Caller *caller;
  const CallerRequest *http_request;
  RequestInfo request;
  Conf *conf;
  const ConfRoute *route;
  const ConfService *service; /* NULL: not in the configuration */
  const char *service_name;
  const ConfCustomer *customer; /* NULL: the route is open to all callers */
  RegionSet regions;            /* regions whose targets may serve it */
  Digest digest;                /* set by run_digest */
  bool has_digest;
  struct Try *try; /* the attempt on a suspect; NULL: it is not a suspect */
  double deadline; /* the run fails if there is no answer by then */
  ev_timer timer;
  /* admission (overload.c); all but the first are unused if it is false */
  bool checks_admission;  /* the part `admission` is active for the service */
  AdmissionCutoff cutoff; /* of the customer */
  bool is_return; /* its caller was rejected and comes back as promised */
  AdmissionCause rejected; /* why it was rejected */
  double expected_s; /* last expected time until the first byte; 0: none */
  /* The software version that began the stream. Another one can't continue it,
     neither in this answer nor in a later attempt. */
  bool has_version;
  uint64_t version;
  uint64_t origin_key; /* of the stream; 0: it has not begun */
  /* The query for the version of a stream that began in another attempt. */
  void (*admit)(Run *x); /* once it is known */
  bool awaits_origin;
  int n_origins_missing;
  OriginsMsg origin;   /* the answers so far */
  bool searched_store; /* for what began the stream */
  bool is_proven;      /* `origin` holds whatever others know */
  /* budget */
  int64_t reserved_tokens;
  uint64_t reservation; /* number of the reservation; 0: none */
  bool awaits_budget;   /* the reservation is not decided yet */
  /* target */
  const Target *tried[RUN_MAX_TARGETS];
  int n_tried, sends;  /* sends: how often it was sent to a target */
  bool counted;        /* as a first request for its service */
  const char *via;     /* interned address of the gateway of the current or last
                          exchange; NULL: it was direct */
  int failed_gateways; /* which opened no tunnel */
  /* Targets that could not be reached directly may be tried once more: the
     paths to all of them are interrupted. */
  bool forgave_tried;
  Target *target;
  uint64_t target_incarnation; /* target_hash of it when the run was sent */
  TargetChoice choice;         /* of `target` */
  double sent_at;
  /* The pending query for the work at candidate targets, or permit request. */
  ev_timer query_timer;
  uint64_t query_id;   /* of the pending query or permit request; 0: none */
  bool awaits_reports; /* the choice of a target waits for the reports */
  int n_queried, n_reports;
  TallyReport reports[RUN_MAX_REPORTS];
  /* Targets queried since the run was last sent, in at most two queries. */
  uint64_t queried[RUN_MAX_REPORTS];
  int n_queried_targets;
  bool queried_twice;
  /* The permit for the target of `choice`. */
  bool awaits_permit; /* the pending query is a permit request */
  double permit_requested_at;
  /* Permits requested: since the run was last sent, and in all. */
  int n_permit_requests, total_permit_requests;
  /* Number of the run in its permit request; its report has the same number, so
     that the counter counts it once. 0: no permit was requested. */
  uint64_t permit_run_id;
  uint64_t run_id;      /* number of the run in its reports; 0: not reported */
  uint64_t counter;     /* hash of the instance that counts the target's work */
  bool has_first_byte;  /* the target's answer has begun to arrive */
  double first_byte_at; /* when it did */
  Link *link;           /* the exchange with `target`; NULL: none */
  /* Whether the target of an unframed answer goes on (unframed.c). */
  double check_until;   /* the run goes on elsewhere without evidence by then */
  ev_timer check_timer; /* until `check`, and for its answer */
  Link *check;          /* NULL: none */
  const char *check_via; /* interned address of its gateway; NULL: direct */
  int n_gateway_checks;  /* other instances asked after a direct one failed */
  int n_closed_checks;   /* accepted connections closed without an answer */
  CheckResult check_result;
  size_t check_bytes; /* of the body of its answer */
  double paused_at;   /* reading of the answer is paused since; 0: not paused */
  int64_t events_before; /* events of the stream that other targets sent */
  bool refused; /* the current answer states that the target did not run it */
  size_t refusal_bytes; /* of the body of that answer */
  bool maybe_ran;       /* a target may have run it */
  /* answer */
  int status;
  LinkFraming framing;    /* of the target's current or last answer */
  GString *fields, *body; /* header fields and body to send to the caller */
  /* The answer is an event stream; its head was sent to the caller. */
  bool stream, head_sent;
  double first_event_s; /* from the request's arrival until the first data was
                           forwarded to the caller; 0: none was */
  double forwarded_at;  /* when data was last forwarded; 0: never */
  double max_pause_s;   /* longest time between two forwardings of data */
  Events events;
  struct Run *prev, *next; /* in the relay's list */
};

struct Relay {
  struct ev_loop *loop;
  Store *store;
  Holdings *holdings; /* what callers make this instance hold */
  Callers *callers;
  Links *links;
  Targets *targets;
  const Regions *regions;
  const Managed *managed;
  Cluster *cluster;
  GHashTable *runs_by_reservation; /* reservation -> Run, decided or pending */
  Retries *retries;
  Admission *admission;
  Returns *returns;
  Paths *paths;            /* from this instance to the targets */
  Gateways *gateways;      /* while those are interrupted */
  Tunnels *tunnels;        /* for other instances */
  PathChecks *path_checks; /* of targets that could not be connected to */
  char reached[LIMIT_NAME_BYTES]; /* the target that was connected to last */
  Origins *origins;
  Recovery *recovery;
  ConfHistory *conf_history;
  Ends *ends;
  Suspects *suspects;
  Trials *trials;
  uint64_t instance;         /* text_hash of this instance's id */
  GPtrArray *tries;          /* Try*, kept until the store has their outcome */
  GHashTable *runs_by_query; /* query id -> Run */
  uint64_t last_query_id, last_run_id;
  Conf *conf;
  Run *first_run;
  int n_runs;
  /* refusing: new requests are refused, since the instance is stopping. stale:
     our state is out of date, since the process was paused. */
  bool refusing, stale;
  bool draining; /* the instance is stopping: it opens no more tunnels */
  double invalid_rate_logged_at; /* last log line on an invalid rate */
};

/* == run.c: start and end of a run == */

Run *run_new(Relay *r, Caller *c, const CallerRequest *req);
double run_now(const Run *x);
/* Whether a part for decisions under load is active for the run's service. */
bool run_is_managed(const Run *x, ManagedPart part);
/* Ends the exchange with the current target, if any, with outcome `how`. */
void run_release_target(Run *x, TargetOutcome how);
/* Ends the run with an error answer, or breaks off an answer that has begun. */
void run_fail(Run *x, Err *e);
/* Ends the run after its answer was forwarded to the caller. */
void run_end_served(Run *x);
/* Ends the run without an answer, after the caller disconnected. */
void run_end_disconnected(Run *x);

/* == overload.c: rejections for the expected time of an answer == */

/* To be called when the service of the run is known. */
void run_init_admission(Run *x);
/* These return true, or reject the request and return false: whether it is
   within its customer's share, and whether it may be sent to the chosen target
   by the time at which its answer is expected. */
bool run_check_share(Run *x);
bool run_check_lateness(Run *x, const TargetChoice *c);
/* Records how long the run waited for its first byte or, if that has not
   `begun` to arrive, until it was ended. */
void run_record_wait(Run *x, bool begun);
/* Records that the run was served. */
void run_record_served(Run *x);
/* Returns Retry-After, in ms, of a request that targets rejected. */
int run_retry_ms(Run *x);

/* == relay.c: routes == */

/* Chooses the service of the run's route whose name has that text_hash; false:
   the route doesn't have it. */
bool run_set_service(Run *x, uint64_t service);

/* If the configuration has changed since the request arrived, restricts the run
   to the regions that both the old and the new one allow. */
void run_update_regions(Run *x);

/* == origins.c: the software versions that began streams == */

/* Calls `admit` at once or, if the request resumes a stream, once the version
   that began it is found, or refuses the request. */
void run_find_origin(Run *x, void (*admit)(Run *x));
/* The first event of the answer, or of a further answer, is forwarded. */
void run_record_begun(Run *x);
/* The stream was delivered to its end. */
void run_forget_origin(Run *x);
/* Tells records to their homes that are needed there by now, and drops old
   ones. */
void relay_sweep_origins(Relay *r);

/* Whether all targets of a service have had this version, and its stream routes
   no other service, for as long as a stream may be resumed, as far as this
   instance has followed them. */
bool relay_is_sole(const Relay *r, uint64_t service, uint64_t *version);
/* Whether that holds, or the store proved the same: the version that began the
   service's streams is known without a record. */
bool relay_is_concluded(const Relay *r, uint64_t service);
ConfHistoryKind relay_service_history(const Relay *r, uint64_t service);
/* Passes the streams that are open, and whose version can't be concluded any
   more, to recovery_note_begun. */
void relay_log_open_streams(Relay *r);
/* How long after its beginning any stream may be resumed, in seconds. */
double relay_memory_s(const Relay *r);
/* The store was searched for what began the stream of the run that has this
   query id; it may have ended. */
void relay_on_search_end(Relay *r, uint64_t query_id);

/* == recovery.c: streams after a loss of all instances == */

/* `id`: of this instance; `place`: until the first update. */
Recovery *recovery_new(Relay *r, const char *id, const RecoveryPlace *place);
void recovery_free(Recovery *y);
void recovery_set_feed(Recovery *y, struct Feed *feed);
void recovery_update(Recovery *y, const RecoveryPlace *place);
/* A stream began here whose version can't be concluded otherwise. */
void recovery_note_begun(Recovery *y, const OriginsMsg *record);
void recovery_note_delivered(Recovery *y, uint64_t key);
/* Whether this instance has followed all changes of targets and configuration
   for that long, or since it started. */
bool recovery_has_followed(const Recovery *y, double memory_s);
/* Whether the streams of a service need no records: all began at one version,
   by what the store had at the start and what was followed since. */
bool recovery_holds(Recovery *y, uint64_t service);
/* Searches the store, from now on, for the streams of all instances and for
   what changed of the targets; relay_on_search_end is called then, maybe before
   this returns. */
void recovery_search(Recovery *y, uint64_t query_id);
/* Sets the version at which all streams of a service began, up to the beginning
   of the search that ends; false: it is not known. */
bool recovery_proves(Recovery *y, uint64_t service, uint64_t *version);

/* == asking.c: requests of all instances at targets == */

/* Sends queries for the work of all instances at candidate targets, before one
   is chosen. */
void run_query_tallies(Run *x);
/* If all reported targets would miss the route's objective, queries others once
   and returns true; run_choose_target is called again. */
bool run_query_more(Run *x, const TargetChoice *c);
/* Stops waiting for the answers to a query or permit request. */
void run_cancel_query(Run *x);
/* Report to the counter of the target that the request was sent, that the
   answer has begun, and that the request has ended there. */
void run_report_sent(Run *x);
void run_report_prompt_read(Run *x);
void run_report_done(Run *x);
/* What the log line of the request states about the rate that its target was
   chosen by; NULL: rates did not decide. */
json_t *run_rate_fields(const Run *x);

/* == permits.c: targets that limit their rate == */

/* Whether the run may request another permit before it is sent. */
bool run_may_request_permit(const Run *x);
/* Records the rate limit that the target's answer states, and reports it to the
   target's counter if needed. */
void run_record_limit(Run *x, const AnswerInfo *a);
/* Requests a permit for the chosen target. When the answer arrives or the time
   for it has passed, sends the request there or chooses another target. */
void run_request_permit(Run *x, const TargetChoice *c);

/* == notices.c: what targets state about themselves == */

/* Records what the target's answer, which has this status, states about the
   target itself. */
void run_record_notices(Run *x, int status, const AnswerInfo *a);

/* == breaks.c: targets that end, and the requests involved == */

/* Returns the digest of method, host, path, customer and body, which is equal
   for this request and its repetitions. */
Digest run_digest(Run *x);
/* Returns the hash of the customer's name. */
uint64_t run_customer_hash(const Run *x);
/* Whether the target has not begun to answer, or began only recently: the
   request may then be the cause if the target ends. */
bool run_is_recently_started(const Run *x);
/* Records that the exchange with `t` broke, after it was ended.
   `recently_started`: run_is_recently_started was true. */
void run_record_broken(Run *x, Target *t, bool recently_started);
/* Records that the run ends during the exchange with its target. */
void run_record_cut_off(Run *x);
/* Records that the exchange ended with a complete answer of the target. */
void run_record_completed(Run *x);
/* Handles the result of a connection attempt to `addr`; `ctx` is the relay. */
void relay_on_connect(void *ctx, const char *addr, const char *via,
                      LinkConnectResult how);
/* It is known whether the target at `addr`, or our path to it, is at fault. */
void relay_record_verdict(Relay *r, const char *addr, PathVerdict verdict);

/* Resumes reading the answer from the target, after the caller has received
   enough of it. */
void run_resume_answer(Run *x);
/* Ends runs whose callers read so slowly that the targets would be affected. */
void relay_end_slow_callers(Relay *r);

/* == partition.c: interrupted network paths to the targets == */

/* Handles the result of an attempt to connect; `ctx` is the relay. */
void relay_on_attempt(void *ctx, const char *addr, const char *via,
                      LinkConnectResult how);
/* Returns the interned address of the gateway through which the run reaches a
   target; NULL: it is reached directly, or there is no gateway. */
const char *run_pick_gateway(const Run *x, const Target *t);
/* The same for no run. */
const char *relay_pick_gateway(const Relay *r, const char *addr);
/* The same, also if the target may be reached directly. */
const char *relay_find_gateway(const Relay *r, const char *addr);
/* Whether another instance may open a tunnel to this address; `ctx` is the
   relay. */
TunnelStatus relay_check_tunnel(void *ctx, const char *addr);
/* Returns the target that was connected to last, or else a random one that has
   not failed lately, other than that at `addr`; NULL: none was found. `ctx` is
   the relay. */
const char *relay_pick_other(void *ctx, const char *addr);
/* It is known whether a target that could not be connected to, or our path, is
   at fault; `ctx` is the relay. */
void relay_on_path_checked(void *ctx, const char *addr, PathVerdict verdict);
/* Handles the result of a connection attempt for such a tunnel, and returns the
   answer. */
TunnelStatus relay_on_tunnel_attempt(void *ctx, const char *addr,
                                     TunnelStatus status);

/* == unframed.c: answers whose end only the end of their connection marks == */

/* The target has closed the connection in order after such an answer. Finishes
   the answer if the target goes on, or else handles it as broken. */
void run_check_end(Run *x);
void run_cancel_check(Run *x);

/* == demand.c: demand of customers == */

/* Returns the priority that is sent to the target, 0 for the most urgent; the
   customer's takes precedence over the route's. -1: not an engine service. */
int run_priority(const Run *x);
/* Counts a request that is sent for the first time, and one that fails with
   `e`, for the division of the service's capacity. */
void run_note_admitted(const Run *x);
void run_note_rejected(const Run *x, const Err *e);

/* == trying.c: suspects == */

/* Calls `proceed` at once or, for a suspect, once the store has its trial, or
   refuses the request. */
void run_admit(Run *x, void (*proceed)(Run *x));
/* Ends the run's part in its trial, if it has one. `sent`: it was sent to a
   target. */
void run_end_trial(Run *x, bool sent);
/* Returns Trial.by of the run's trial; 0: it is none. */
uint64_t run_trial_number(const Run *x);
/* Whether a target may end under a part of the run's prompt. */
bool run_has_suspect_part(const Run *x);
/* Records that the target goes on after it began to write on the parts of the
   run's prompt: a trial of them is over. */
void run_pass_part_trial(Run *x);
/* As run_pass_part_trial, when another request has shown that the part is
   sound. Returns whether this instance has a trial of it. */
bool relay_pass_part_trial(Relay *r, Digest part);
/* Records that a target ended while it ran a request. */
void relay_on_trial_target_ended(Relay *r, const EndsMark *m);
/* Records that an attempt of that request was answered. */
void relay_on_trial_succeeded(Relay *r, Digest d);
/* Writes the outcomes of tries that are over to the store. */
void relay_close_tries(Relay *r);
void relay_free_tries(Relay *r);

/* == parts.c: parts of prompts that are suspects == */

/* Sets `ids` (REQUEST_MAX_PARTS) to the parts of the prompt that other requests
   may have too, all but the last, and returns their number. */
int run_shared_parts(const Run *x, uint64_t *ids);
/* Keeps a part in the store that this instance has named as a home. */
void relay_keep_part(Relay *r, const SuspectsMsg *named);
/* Ends any trial of a part that is sound, and removes the part from the store.
 */
void relay_release_part(Relay *r, Digest part);
/* Another instance cleared a part: ends a trial of it here, or forgets it if it
   had none. */
void relay_forget_part(Relay *r, Digest part);

/* == dispatch.c: targets and their answers == */

/* Returns the criteria for the choice of a target. */
TargetRequest run_target_criteria(Run *x);
/* Whether another target may answer in place of the current one, or go on with
   its answer: the body of a plain answer that was passed on in part can't be
   completed by another run. */
bool run_may_be_continued(const Run *x);
/* Goes on after a broken exchange, whose target may have run the request: at
   another target, or with an error. `why` is for the log. */
void run_handle_broken(Run *x, TargetOutcome how, const char *why);
/* Goes on at another target, since nothing tells whether the present one has
   ended; false: there is none, or the request must not run again. */
bool run_try_elsewhere(Run *x, const char *why);
/* Ends the run with the target's complete answer, or tries another target after
   an error answer. */
void run_finish_answer(Run *x);
/* Chooses a target by the reports that have arrived, and sends the request
   there, requests a permit for it, or fails. */
void run_choose_target(Run *x);
/* Sends the request to the target of `choice`. */
void run_send(Run *x);
/* Continues elsewhere with a run whose exchange no longer receives anything,
   since the path to its target is interrupted; if it may not be sent again, it
   goes on waiting. */
void run_leave_path(Run *x);

/* Queries the work at candidate targets, waits for the reports, and calls
   run_choose_target. */
void run_dispatch(Run *x);

#endif
