/* run.c: start and end of a run: settles its budget, releases its target,
   writes the log line and the error answer. */
#include "flow/run.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/count.h"
#include "kernel/log.h"
#include "flow/wire.h"
#include "kernel/loopclock.h"

#define MAX_UNSEEN_EVENTS 2 /* that a target may have produced unread */

/* == the end of a run == */

double run_now(const Run *x) {
  return loopclock_now(x->relay->loop);
}

bool run_is_managed(const Run *x, ManagedPart part) {
  const Managed *m = x->relay->managed;
  if (x->service && x->service->engine)
    return managed_applies(m, part, x->service);
  return managed_applies_to_plain(m, part, x->conf);
}

/* Upper bound of the tokens that the customer used: the prompt once a target
   may have run it, and the output that a target may have produced. */
static int64_t used_tokens(const Run *x, bool whole) {
  bool taken = x->head_sent || x->maybe_ran;
  if (!taken) return 0;
  int per_event = x->service ? MAX(x->service->tokens_per_event, 1) : 1;
  int64_t events = x->events.count + (whole ? 0 : MAX_UNSEEN_EVENTS);
  int64_t out = events * per_event;
  return MIN(x->request.prompt_tokens + MIN(out, x->request.max_output_tokens),
             x->reserved_tokens);
}

static void settle_budget(Run *x, int64_t used) {
  if (x->reservation == 0) return;
  uint64_t handle = x->reservation;
  g_hash_table_remove(x->relay->runs_by_reservation, &x->reservation);
  x->reservation = 0;
  cluster_settle(x->relay->cluster, handle, x->awaits_budget ? 0 : used);
  count_add(COUNT_TOKENS, x->awaits_budget ? 0 : used);
}

void run_release_target(Run *x, TargetOutcome how) {
  if (!x->target) return;
  double now = run_now(x);
  run_report_done(x);
  if (how == TARGET_ABANDONED && !x->has_first_byte) run_record_wait(x, false);
  if (x->stream && x->events.count > 1 && x->choice.serves_long)
    target_note_stream(x->target, now, x->max_pause_s > x->route->max_pause_s);
  target_note_done(x->target, now, how, x->has_first_byte,
                   x->choice.uncached_tokens, now - x->sent_at);
  x->target = NULL;
}

static void free_run(Run *x) {
  Relay *r = x->relay;
  ev_timer_stop(r->loop, &x->timer);
  run_cancel_query(x);
  if (x->prev) x->prev->next = x->next;
  if (x->next) x->next->prev = x->prev;
  if (r->first_run == x) r->first_run = x->next;
  r->n_runs--;
  caller_set_held_bytes(x->caller, 0);
  conf_unref(x->conf);
  if (x->fields) g_string_free(x->fields, TRUE);
  if (x->body) g_string_free(x->body, TRUE);
  events_free(&x->events);
  g_free(x);
}

/* Types of the fields of a line; the second are those of managed services. */
#define END_FIELDS                                                             \
  "s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:i,s:I,"           \
  "s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:I,s:s*,s:s*,s:s*,s:s*,s:o*"
#define ADMISSION_FIELDS ",s:s,s:f,s:f"
#define NO_CUTOFF (-1.0) /* JSON has no infinity */

static const char *const framings[] = {[LINK_FRAMING_LENGTH] = "length",
                                       [LINK_FRAMING_CHUNKS] = "chunks",
                                       [LINK_FRAMING_CLOSE] = "close"};

static void log_end(const Run *x, const char *outcome, int status,
                    const char *error, int64_t tokens) {
  double now = run_now(x);
  /* Warnings are never dropped from the log: a line of a request that was not
     served is kept. */
  void (*line)(const char *, const char *, ...) =
      strcmp(outcome, "served") == 0 ? log_info : log_warn;
  line("request",
       x->checks_admission ? END_FIELDS ADMISSION_FIELDS : END_FIELDS,
       "request", x->request.id, "outcome", outcome, "status", status, "error",
       error, "customer", x->customer ? x->customer->name : "", "service",
       x->service_name ? x->service_name : "", "route",
       x->route ? x->route->name : "", "target",
       x->n_tried > 0 ? target_id(x->tried[x->n_tried - 1]) : "", "sends",
       x->sends, "tried", x->n_tried, "events", (json_int_t)x->events.count,
       "tokens", (json_int_t)tokens, "fresh",
       (json_int_t)x->choice.uncached_tokens, "moved",
       (json_int_t)x->choice.moved_tokens, "there", x->choice.load.open,
       "unread", (json_int_t)x->choice.load.tokens, "predicted",
       x->choice.wait_s, "first", x->first_event_s, "pause", x->max_pause_s,
       "aim", x->route ? x->route->slo_s : 0, "pause_aim",
       x->route ? x->route->max_pause_s : 0, "seconds",
       now - x->http_request->received_at, "permits", x->total_permit_requests,
       "conf", (json_int_t)(x->conf ? x->conf->version : 0), "via",
       x->via ? gateways_id(x->relay->gateways, x->via) : NULL, "version",
       x->n_tried > 0 ? target_version_text(x->tried[x->n_tried - 1]) : NULL,
       "resumes", x->request.resumes[0] ? x->request.resumes : NULL, "framing",
       x->has_first_byte ? framings[x->framing] : NULL, "rate",
       run_rate_fields(x), "cause", admission_cause_name(x->rejected),
       "expected", x->expected_s, "cutoff",
       isfinite(x->cutoff.cutoff) ? x->cutoff.cutoff : NO_CUTOFF);
}

/* Does everything but the answer: budget, target, log. */
static void close_run(Run *x, const char *outcome, int status,
                      const char *error) {
  run_record_cut_off(x);
  if (x->link) link_cancel(x->link);
  x->link = NULL;
  run_cancel_check(x);
  run_release_target(x, TARGET_ABANDONED);
  run_end_trial(x, x->sends > 0);
  int64_t used = used_tokens(x, strcmp(outcome, "served") == 0);
  settle_budget(x, used);
  log_end(x, outcome, status, error, used);
}

static void answer_error(Caller *c, const char *id, const Err *e) {
  const ErrInfo *info = err_info(e->kind);
  GString *fields = g_string_new(NULL);
  json_t *o =
      json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "kind", info->name, "message",
                e->text, "remedy", info->remedy, "ran", err_ran_name(e->ran));
  char *text = json_dumps(o, JSON_COMPACT);
  wire_append_refusal_fields(fields, id, e);
  caller_write_head(c, info->status, fields->str, (int64_t)strlen(text));
  caller_write_body(c, text, strlen(text));
  free(text);
  json_decref(o);
  g_string_free(fields, TRUE);
  caller_end_answer(c);
}

void run_fail(Run *x, Err *e) {
  Caller *c = x->caller;
  char id[sizeof x->request.id];
  g_strlcpy(id, x->request.id, sizeof id);
  if (x->maybe_ran) e->ran = RAN_MAYBE;
  bool begun = x->head_sent;
  run_note_rejected(x, e);
  const ErrInfo *info = err_info(e->kind);
  count_add(begun ? COUNT_TARGET_CUT : COUNT_REFUSED_OTHER, 1);
  close_run(x, begun ? "cut" : "refused", info->status, info->name);
  caller_set_data(c, NULL);
  free_run(x);
  if (begun)
    caller_abort(c);
  else
    answer_error(c, id, e);
}

void run_end_served(Run *x) {
  Caller *c = x->caller;
  count_add(COUNT_RAN, 1);
  run_record_served(x);
  run_forget_origin(x);
  count_observe_time(COUNT_TIME_REQUEST,
                     run_now(x) - x->http_request->received_at);
  close_run(x, "served", x->status, "");
  caller_set_data(c, NULL);
  free_run(x);
  caller_end_answer(c);
}

void run_end_disconnected(Run *x) {
  close_run(x, "caller-gone", 0, "");
  free_run(x);
}

Run *run_new(Relay *r, Caller *c, const CallerRequest *req) {
  Run *x = g_new0(Run, 1);
  x->relay = r;
  x->caller = c;
  x->http_request = req;
  x->fields = g_string_new(NULL);
  x->body = g_string_new(NULL);
  x->next = r->first_run;
  if (r->first_run) r->first_run->prev = x;
  r->first_run = x;
  r->n_runs++;
  caller_set_data(c, x);
  return x;
}
