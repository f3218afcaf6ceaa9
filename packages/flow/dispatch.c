/* dispatch.c: chooses a target, passes on its answer, and tries another target
   after a failure. */
#include <string.h>

#include "flow/run.h"
#include "kernel/buffer.h"
#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/log.h"
#include "flow/wire.h"

/* A connection that was idle for long may be dead, which shows only after the
   request was sent. A request that can't be repeated uses a connection that was
   idle for less than this. */
#define ONCE_LINK_MAX_IDLE_S 4.0
/* How long reading of an answer may be paused. Some targets abort an answer
   that is not read for some seconds, and hold its resources until then. */
#define MAX_PAUSE_S 2.0

/* == repetition == */

static bool is_repeatable(const Run *x) {
  if (x->route->kind == CONF_SAFE) return true;
  return x->route->kind == CONF_STREAM && x->route->resumable;
}

/* Whether another target may succeed after this error answer. */
static bool is_worth_retrying(Run *x, int status) {
  return status >= 500 && !x->head_sent && is_repeatable(x) &&
         x->sends < x->route->max_attempts && run_now(x) < x->deadline;
}

/* == passing an answer on == */

static void send_head(Run *x, int64_t length) {
  caller_write_head(x->caller, x->status, x->fields->str, length);
  x->head_sent = true;
}

/* Records the time to the first event and the longest pause, which decide how
   good a stream is for the caller. */
static void record_forwarded(Run *x) {
  double now = run_now(x);
  if (x->forwarded_at == 0)
    x->first_event_s = now - x->http_request->received_at;
  else
    x->max_pause_s = MAX(x->max_pause_s, now - x->forwarded_at);
  x->forwarded_at = now;
}

/* Records that `part` of the answer exceeds its limit. Returns false. */
static bool reject_length(const Run *x, const char *part) {
  count_add(COUNT_ANSWERS_TOO_LONG, 1);
  log_warn("answer-too-long", "s:s,s:s,s:s", "part", part, "addr",
           target_addr(x->target), "request", x->request.id);
  return false;
}

/* As LinkEvents.body, like forward_plain. */
static bool forward_stream(Run *x, const char *data, size_t n) {
  GString *out = g_string_sized_new(n + 64);
  bool ok = events_feed(&x->events, data, n, out);
  caller_set_held_bytes(x->caller, x->events.partial->allocated_len);
  if (out->len > 0) {
    if (!x->head_sent) send_head(x, CALLER_CHUNKED);
    caller_write_body(x->caller, out->str, out->len);
    record_forwarded(x);
    run_record_begun(x);
  }
  g_string_free(out, TRUE);
  return ok || reject_length(x, "event");
}

static void drop_body(Run *x) {
  g_string_free(x->body, TRUE);
  x->body = g_string_new(NULL);
  caller_set_held_bytes(x->caller, 0);
}

static bool forward_plain(Run *x, const char *data, size_t n) {
  size_t max_bytes =
      MIN(LIMIT_PLAIN_ANSWER_BYTES, caller_buffer_limit(x->caller));
  if (!x->head_sent && x->body->len + n > max_bytes) {
    if (is_worth_retrying(x, x->status)) return reject_length(x, "error");
    send_head(x, CALLER_CHUNKED);
    caller_write_body(x->caller, x->body->str, x->body->len);
    drop_body(x);
  }
  if (x->head_sent) {
    caller_write_body(x->caller, data, n);
    return true;
  }
  buffer_append(x->body, data, n, max_bytes);
  caller_set_held_bytes(x->caller, x->body->allocated_len);
  return true;
}

/* == failures of targets == */

bool run_may_be_continued(const Run *x) {
  return is_repeatable(x) && (!x->head_sent || x->stream);
}

/* Whether another target may be tried; `sent`: the last one was sent the
   request. */
static bool may_try_another(Run *x, bool sent) {
  double now = run_now(x);
  if (now >= x->deadline || x->n_tried == RUN_MAX_TARGETS) return false;
  if (x->relay->stale) return false;
  if (!sent) return true;
  if (x->try || suspects_has(x->relay->suspects, now, run_digest(x)))
    return false;
  if (run_has_suspect_part(x)) return false;
  if (x->sends >= x->route->max_attempts) return false;
  return retries_take(x->relay->retries, now, x->service_name);
}

/* Returns the ids of the parts of the prompt, the last one of which is the
   request's own; NULL: it has no parts. */
static json_t *part_ids(const RequestInfo *a) {
  json_t *ids = a->n_parts > 0 ? json_array() : NULL;
  for (int i = 0; i < a->n_parts; i++)
    json_array_append_new(
        ids, json_sprintf("%" G_GINT64_MODIFIER "x", a->parts[i].id));
  return ids;
}

/* The field "begun" is the time since the first byte, or -1 without one. */
static void log_failure(Run *x, const char *why) {
  char digest[DIGEST_TEXT_BYTES];
  double now = run_now(x);
  digest_format(run_digest(x), digest);
  log_warn("target-failed", "s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:f,s:f,s:o*",
           "request", x->request.id, "digest", digest, "target",
           target_id(x->target), "addr", target_addr(x->target), "why", why,
           "status", x->status, "events", (json_int_t)x->events.count, "after",
           now - x->sent_at, "begun",
           x->has_first_byte ? now - x->first_byte_at : -1, "parts",
           part_ids(&x->request));
}

/* Why no target could be chosen. retry_ms 0: the choice states it. */
static const struct {
  int retry_ms;
  const char *text;
} none_causes[TARGET_NONE_COUNT] = {
    [TARGET_NONE_AVAILABLE] = {RUN_RETRY_SOON_MS, "no target serves %s now"},
    [TARGET_NONE_OF_VERSION] = {0, "%s has no target of the version that began "
                                   "the stream"},
    [TARGET_NONE_IN_REGION] = {RUN_RETRY_NOT_ALLOWED_MS,
                               "%s has no target in the allowed regions"},
    [TARGET_NONE_EVACUATED] = {RUN_RETRY_EVACUATED_MS,
                               "what is left of %s is evacuated"},
    [TARGET_NONE_PAUSED] = {0, "what is left of %s asked for a pause"},
    [TARGET_NONE_FULL] = {0, "what is left of %s takes no more now"},
};

/* Retry-After when no target could be chosen. */
static int none_retry_ms(const TargetChoice *c) {
  int ms = none_causes[c->none].retry_ms;
  return ms > 0 ? ms : (int)(c->retry_after_s * 1000);
}

/* The last target did not run the request; one before it may have. Retry-After:
   soon, unless none of the service takes requests now. A version that has left
   is no overload, and nothing tells when it is back. */
static void fail_rejected(Run *x) {
  Err e;
  TargetRequest criteria = run_target_criteria(x);
  criteria.n_tried = 0;
  TargetChoice c = targets_pick(x->relay->targets, run_now(x), &criteria);
  if (!c.target && c.none == TARGET_NONE_OF_VERSION)
    err_retry(&e, ERR_NO_TARGET, 0, none_causes[c.none].text, x->service_name);
  else
    err_retry(&e, ERR_OVERLOADED,
              c.target ? run_retry_ms(x) : none_retry_ms(&c),
              "no target took the request");
  if (x->maybe_ran) err_set(&e, ERR_TARGET_FAILED, "no other target took it");
  run_fail(x, &e);
}

/* The paths to all targets are interrupted: the targets that this request did
   not reach directly may be reached through a gateway. */
static void forgive_tried(Run *x) {
  if (x->forgave_tried) return;
  x->forgave_tried = true;
  x->n_tried = 0;
}

/* The gateway opened no tunnel, which says nothing about the target. */
static void handle_no_tunnel(Run *x) {
  log_failure(x, "no tunnel");
  run_release_target(x, TARGET_NO_PATH);
  x->n_tried--;
  if (++x->failed_gateways <= RUN_MAX_GATEWAYS && may_try_another(x, false))
    run_dispatch(x);
  else
    fail_rejected(x);
}

/* The target did not run the request: nothing was sent, or its answer states
   so. */
static void handle_not_run(Run *x, bool sent) {
  bool no_path = !sent && !x->via && paths_are_interrupted(x->relay->paths);
  log_failure(x, sent ? "refused" : "unreachable");
  run_release_target(x, sent      ? TARGET_FULL
                        : no_path ? TARGET_NO_PATH
                                  : TARGET_UNRESPONSIVE);
  if (no_path) forgive_tried(x);
  if (may_try_another(x, sent)) {
    run_dispatch(x);
    return;
  }
  fail_rejected(x);
}

/* Ends the exchange with a target that may have run the request. */
static void leave_target(Run *x, TargetOutcome how, const char *why) {
  Target *t = x->target;
  bool recently_started = run_is_recently_started(x);
  log_failure(x, why);
  run_release_target(x, how);
  run_record_broken(x, t, recently_started);
  events_drop_partial(&x->events);
  x->maybe_ran = true;
}

void run_handle_broken(Run *x, TargetOutcome how, const char *why) {
  Err e;
  leave_target(x, how, why);
  if (run_may_be_continued(x) && may_try_another(x, true)) {
    run_dispatch(x);
    return;
  }
  err_set(&e, ERR_TARGET_FAILED, "the target's answer is missing or damaged");
  run_fail(x, &e);
}

static bool has_other_target(Run *x) {
  TargetRequest criteria = run_target_criteria(x);
  return targets_pick(x->relay->targets, run_now(x), &criteria).target != NULL;
}

bool run_try_elsewhere(Run *x, const char *why) {
  if (!run_may_be_continued(x) || !has_other_target(x) ||
      !may_try_another(x, true))
    return false;
  leave_target(x, TARGET_UNRESPONSIVE, why);
  run_dispatch(x);
  return true;
}

void run_leave_path(Run *x) {
  if (!run_may_be_continued(x) || !may_try_another(x, true)) return;
  log_failure(x, "no path");
  link_cancel(x->link);
  x->link = NULL;
  run_release_target(x, TARGET_NO_PATH);
  events_drop_partial(&x->events);
  x->maybe_ran = true;
  forgive_tried(x);
  run_dispatch(x);
}

/* == events of a link == */

static bool is_stream(const Run *x, int status) {
  return x->route->kind == CONF_STREAM && status == 200;
}

static LinkVerdict on_head(void *ctx, const LinkHead *h) {
  Run *x = ctx;
  AnswerInfo a;
  wire_decode_answer(h->headers, x->request.id, &a);
  if (!a.id_matches) return LINK_SKIP;
  if (a.has_load)
    target_set_load(x->target, run_now(x), a.running, a.waiting, a.slowdown);
  if (a.cold_s > 0) target_set_cold(x->target, run_now(x), a.cold_s);
  x->framing = h->framing;
  x->refused = a.not_run || h->status == 421;
  if (h->status == 421)
    targets_mark_replaced(x->relay->targets, run_now(x), x->target);
  else
    run_record_notices(x, h->status, &a);
  if (x->refused) return LINK_ACCEPT;
  if (a.is_encoded || !a.is_signed) return LINK_REJECT;
  if (x->head_sent) /* resumed after a failure: the first head was sent */
    return h->status == x->status ? LINK_ACCEPT : LINK_REJECT;
  x->status = h->status;
  x->stream = is_stream(x, h->status);
  g_string_truncate(x->fields, 0);
  drop_body(x);
  wire_append_answer_fields(x->fields, h->headers);
  return LINK_ACCEPT;
}

/* Drops a part of the body of a refusal. As LinkEvents.body. */
static bool drop_refusal(Run *x, size_t n) {
  x->refusal_bytes += n;
  return x->refusal_bytes <= LIMIT_REFUSAL_BYTES || reject_length(x, "refusal");
}

static bool on_body(void *ctx, const char *data, size_t n) {
  Run *x = ctx;
  if (x->refused) return drop_refusal(x, n);
  if (!x->has_first_byte) {
    target_note_first_byte(x->target, x->choice.uncached_tokens,
                           x->choice.load.tokens, run_now(x) - x->sent_at);
    count_observe_time(COUNT_TIME_FIRST_BYTE,
                       run_now(x) - x->http_request->received_at);
    run_report_prompt_read(x);
    run_record_wait(x, true);
    x->first_byte_at = run_now(x);
  }
  x->has_first_byte = true;
  return x->stream ? forward_stream(x, data, n) : forward_plain(x, data, n);
}

static void on_batch(void *ctx) {
  Run *x = ctx;
  if (!x->head_sent) return;
  caller_flush(x->caller);
  if (!caller_check_full(x->caller)) return;
  x->paused_at = run_now(x);
  count_add(COUNT_CALLER_PAUSED, 1);
  link_pause(x->link);
}

void run_resume_answer(Run *x) {
  if (x->paused_at == 0 || !x->link) return;
  x->paused_at = 0;
  link_resume(x->link);
}

static bool is_too_slow(const Run *x) {
  return x->link && x->paused_at > 0 && run_now(x) - x->paused_at > MAX_PAUSE_S;
}

void relay_end_slow_callers(Relay *r) {
  Err e;
  for (Run *x = r->first_run, *next; x; x = next) {
    next = x->next;
    if (!is_too_slow(x)) continue;
    count_add(COUNT_CALLER_SLOW, 1);
    err_set(&e, ERR_TARGET_CUT, "the caller takes its answer too slowly");
    run_fail(x, &e);
  }
}

void run_finish_answer(Run *x) {
  if (is_worth_retrying(x, x->status) && may_try_another(x, true)) {
    log_failure(x, "error");
    run_release_target(x, TARGET_FAILED);
    run_record_completed(x);
    x->maybe_ran = true;
    run_dispatch(x);
    return;
  }
  run_release_target(x, x->status >= 500 ? TARGET_FAILED : TARGET_OK);
  run_record_completed(x);
  if (!x->head_sent) {
    send_head(x, x->stream ? CALLER_CHUNKED : (int64_t)x->body->len);
    caller_write_body(x->caller, x->body->str, x->body->len);
  }
  run_end_served(x);
}

static void on_end(void *ctx, LinkEnd how) {
  Run *x = ctx;
  x->link = NULL;
  switch (how) {
  case LINK_NOT_SENT:
    x->sends--;
    handle_not_run(x, false);
    break;
  case LINK_NO_TUNNEL:
    x->sends--;
    handle_no_tunnel(x);
    break;
  case LINK_NO_ANSWER:
    run_handle_broken(x, TARGET_UNRESPONSIVE, "silent");
    break;
  case LINK_BROKEN:
    if (x->refused)
      handle_not_run(x, true);
    else
      run_handle_broken(x, TARGET_FAILED, "cut");
    break;
  case LINK_CLOSED:
  case LINK_COMPLETE:
    if (x->refused)
      handle_not_run(x, true);
    else if (x->stream && events_are_inside(&x->events))
      run_handle_broken(x, TARGET_FAILED, "cut inside an event");
    else if (how == LINK_CLOSED)
      run_check_end(x);
    else
      run_finish_answer(x);
    break;
  }
}

static const LinkEvents link_events = {on_head, on_body, on_batch, on_end};

/* == dispatch == */

TargetRequest run_target_criteria(Run *x) {
  run_update_regions(x);
  return (TargetRequest){
      .service = x->service_name,
      .info = &x->request,
      .engine = x->service && x->service->engine,
      .cold_rate_per_s = x->service ? x->service->cold_max_per_s : 0,
      .move_token_s = x->service ? x->service->move_s_per_token : 0,
      .max_pause_s = x->service ? x->service->max_pause_s : 0,
      .regions = x->regions,
      .version = x->has_version ? &x->version : NULL,
      .permits_exhausted = !run_may_request_permit(x),
      .rated = run_is_managed(x, MANAGED_RATES),
      .slots = x->service ? x->service->batch_slots : 0,
      .isolate = x->try != NULL,
      .tried = x->tried,
      .n_tried = x->n_tried,
      .reports = x->reports,
      .n_reports = x->n_reports};
}

void run_send(Run *x) {
  Relay *r = x->relay;
  const TargetChoice *c = &x->choice;
  double now = run_now(x);
  RequestForward send = {.target = target_id(c->target),
                         .donor = c->donor ? target_addr(c->donor) : NULL,
                         .customer = x->customer ? x->customer->name : NULL,
                         .remaining_s = x->deadline - now,
                         .priority = run_priority(x),
                         .last_event = x->events.count > 0 ? x->events.last_id
                                                           : REQUEST_NO_EVENT};
  const GString *body = x->http_request->body;
  GString *out = g_string_sized_new(1024);
  wire_append_request(out, x->http_request->method, x->http_request->uri->str,
                      &x->http_request->headers, body, &send);
  x->target = c->target;
  x->target_incarnation = target_hash(c->target);
  x->n_queried = x->n_reports = 0;
  x->sent_at = now;
  x->has_first_byte = x->refused = false;
  x->refusal_bytes = 0;
  x->events_before = x->events.count;
  x->paused_at = 0;
  x->tried[x->n_tried++] = c->target;
  x->sends++;
  x->via = run_pick_gateway(x, c->target);
  if (!x->counted) {
    retries_note_first(r->retries, now, x->service_name);
    run_note_admitted(x);
    x->counted = true;
  }
  target_note_sent(c->target, now, &x->request, c);
  run_report_sent(x);
  x->n_permit_requests = 0;
  x->permit_run_id = 0;
  double fresh_s =
      is_repeatable(x) ? RUN_LINK_MAX_IDLE_S : ONCE_LINK_MAX_IDLE_S;
  x->link = link_send_via(r->links, target_addr(c->target), x->via, out, body,
                          fresh_s, &link_events, x);
}

/* Refuses at once when no target can be used, with a Retry-After by the
   cause. */
static void fail_without_target(Run *x, const TargetChoice *c) {
  Err e;
  err_retry(&e, ERR_NO_TARGET, none_retry_ms(c), none_causes[c->none].text,
            x->service_name);
  if (x->maybe_ran) err_set(&e, ERR_TARGET_FAILED, "no other target is left");
  run_fail(x, &e);
}

/* Fails a run that waited for its budget or for reports while the process was
   paused. */
static void fail_stale(Run *x) {
  Err e;
  run_cancel_query(x);
  err_retry(&e, ERR_LAGGING, RUN_RETRY_SOON_MS, "this instance stood still");
  if (x->maybe_ran) err_set(&e, ERR_TARGET_FAILED, "this instance stood still");
  run_fail(x, &e);
}

static TargetChoice pick_target(Run *x) {
  TargetRequest criteria = run_target_criteria(x);
  return targets_pick(x->relay->targets, run_now(x), &criteria);
}

/* Waits for the reports that are missing; false: there are none. */
static bool await_reports(Run *x) {
  if (x->n_reports == x->n_queried) return false;
  x->awaits_reports = true;
  ev_timer_start(x->relay->loop, &x->query_timer);
  return true;
}

void run_choose_target(Run *x) {
  if (x->relay->stale) {
    fail_stale(x);
    return;
  }
  TargetChoice c = pick_target(x);
  if (c.target && run_query_more(x, &c)) {
    if (await_reports(x)) return;
    c = pick_target(x); /* this instance counts all of them */
  }
  run_cancel_query(x);
  if (!c.target) {
    fail_without_target(x, &c);
    return;
  }
  if (!run_check_lateness(x, &c)) return;
  if (c.bounded) {
    run_request_permit(x, &c);
    return;
  }
  x->choice = c;
  run_send(x);
}

void run_dispatch(Run *x) {
  if (x->query_id == 0) run_query_tallies(x);
  if (!await_reports(x)) run_choose_target(x);
}
