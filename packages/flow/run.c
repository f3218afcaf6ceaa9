/* run.c: begin and end of a request: budget, target, log, answer. */
#include "flow/run.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/count.h"
#include "kernel/log.h"
#include "flow/wire.h"
#include "kernel/loopclock.h"

#define EVENTS_AHEAD 2 /* events a target may have made unseen */

/* == the end of a run == */

double run_now(const Run *x) {
  return loopclock_now(x->relay->loop);
}

/* Tokens that the customer got, at most: the prompt once a target took it in,
   and what a target may have made of the answer. */
static int64_t used_tokens(const Run *x, bool whole) {
  bool taken = x->head_out || x->maybe;
  if (!taken) return 0;
  int per_event = x->service ? MAX(x->service->tokens_per_event, 1) : 1;
  int64_t events = x->events.count + (whole ? 0 : EVENTS_AHEAD);
  int64_t out = events * per_event;
  return MIN(x->ask.tokens_in + MIN(out, x->ask.tokens_out), x->reserved);
}

static void run_settle(Run *x, int64_t used) {
  if (x->handle == 0) return;
  uint64_t handle = x->handle;
  g_hash_table_remove(x->relay->reserved, &x->handle);
  x->handle = 0;
  cluster_settle(x->relay->cluster, handle, x->waits ? 0 : used);
  count_add(COUNT_TOKENS, x->waits ? 0 : used);
}

void run_leave_target(Run *x, TargetOutcome how) {
  if (!x->target) return;
  double now = run_now(x);
  run_tell_done(x);
  if (x->stream && x->events.count > 1 && x->choice.serves_long)
    target_note_stream(x->target, now, x->pause_s > x->route->max_pause_s);
  target_note_done(x->target, now, how, x->first, x->choice.uncached_tokens,
                   now - x->sent_at);
  x->target = NULL;
}

static void run_free(Run *x) {
  Relay *r = x->relay;
  ev_timer_stop(r->loop, &x->timer);
  run_stop_asking(x);
  if (x->prev) x->prev->next = x->next;
  if (x->next) x->next->prev = x->prev;
  if (r->first == x) r->first = x->next;
  r->n--;
  caller_hold(x->caller, 0);
  conf_unref(x->conf);
  if (x->fields) g_string_free(x->fields, TRUE);
  if (x->body) g_string_free(x->body, TRUE);
  events_free(&x->events);
  g_free(x);
}

static void log_end(const Run *x, const char *outcome, int status,
                    const char *error, int64_t tokens) {
  double now = run_now(x);
  /* The line of a request that was not served is never dropped. */
  void (*line)(const char *, const char *, ...) =
      strcmp(outcome, "served") == 0 ? log_info : log_warn;
  line("request",
       "s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:i,s:I,"
       "s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:I",
       "request", x->ask.id, "outcome", outcome, "status", status, "error",
       error, "customer", x->customer ? x->customer->name : "", "service",
       x->service_name ? x->service_name : "", "route",
       x->route ? x->route->name : "", "target",
       x->n_tried > 0 ? target_id(x->tried[x->n_tried - 1]) : "", "sends",
       x->sends, "tried", x->n_tried, "events", (json_int_t)x->events.count,
       "tokens", (json_int_t)tokens, "fresh",
       (json_int_t)x->choice.uncached_tokens, "moved",
       (json_int_t)x->choice.moved_tokens, "there", x->choice.load.open,
       "unread", (json_int_t)x->choice.load.tokens, "predicted",
       x->choice.wait_s, "first", x->first_s, "pause", x->pause_s, "aim",
       x->route ? x->route->slo_s : 0, "pause_aim",
       x->route ? x->route->max_pause_s : 0, "seconds", now - x->req->at,
       "permits", x->all_permits, "conf",
       (json_int_t)(x->conf ? x->conf->version : 0));
}

/* Everything but the answer: budget, target, log. */
static void run_close(Run *x, const char *outcome, int status,
                      const char *error) {
  run_cut_off(x);
  if (x->link) link_cancel(x->link);
  x->link = NULL;
  run_leave_target(x, TARGET_ABANDONED);
  run_leave_trial(x, x->sends > 0);
  int64_t used = used_tokens(x, strcmp(outcome, "served") == 0);
  run_settle(x, used);
  log_end(x, outcome, status, error, used);
}

static void answer_error(Caller *c, const char *id, const Err *e) {
  const ErrInfo *info = err_info(e->kind);
  GString *fields = g_string_new(NULL);
  json_t *o =
      json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "kind", info->name, "message",
                e->text, "remedy", info->remedy, "ran", err_ran_name(e->ran));
  char *text = json_dumps(o, JSON_COMPACT);
  wire_refusal(fields, id, e);
  caller_head(c, info->status, fields->str, (int64_t)strlen(text));
  caller_body(c, text, strlen(text));
  free(text);
  json_decref(o);
  g_string_free(fields, TRUE);
  caller_end(c);
}

void run_give_up(Run *x, Err *e) {
  Caller *c = x->caller;
  char id[sizeof x->ask.id];
  g_strlcpy(id, x->ask.id, sizeof id);
  if (x->maybe) e->ran = RAN_MAYBE;
  bool begun = x->head_out;
  const ErrInfo *info = err_info(e->kind);
  count_add(begun ? COUNT_TARGET_CUT : COUNT_REFUSED_OTHER, 1);
  run_close(x, begun ? "cut" : "refused", info->status, info->name);
  caller_set(c, NULL);
  run_free(x);
  if (begun)
    caller_abort(c);
  else
    answer_error(c, id, e);
}

void run_served(Run *x) {
  Caller *c = x->caller;
  count_add(COUNT_RAN, 1);
  count_observe_time(COUNT_TIME_REQUEST, run_now(x) - x->req->at);
  run_close(x, "served", x->status, "");
  caller_set(c, NULL);
  run_free(x);
  caller_end(c);
}

void run_left(Run *x) {
  run_close(x, "caller-gone", 0, "");
  run_free(x);
}

Run *run_new(Relay *r, Caller *c, const CallerReq *req) {
  Run *x = g_new0(Run, 1);
  x->relay = r;
  x->caller = c;
  x->req = req;
  x->fields = g_string_new(NULL);
  x->body = g_string_new(NULL);
  x->next = r->first;
  if (r->first) r->first->prev = x;
  r->first = x;
  r->n++;
  caller_set(c, x);
  return x;
}
