/* dispatch.c: choosing a target, passing its answer on, and what follows when
   it fails. */
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/limits.h"
#include "kernel/log.h"
#include "flow/wire.h"

/* An old connection may be dead and tells too late; what may run only once is
   sent on one that was used within this time. */
#define FRESH_ONCE_S 4.0
/* Seconds for which a target may wait until its answer is read on. Some end an
   answer that stays unread for some seconds, and hold it until then. */
#define PAUSE_MOST_S 2.0
#define ROUTE_RANKS 3 /* routes have the ranks 0, 1 and 2 */

/* == passing an answer on == */

static void put_head(Run *x, int64_t length) {
  caller_head(x->caller, x->status, x->fields->str, length);
  x->head_out = true;
}

/* Callers judge a stream by its first event and its longest pause. */
static void note_passed(Run *x) {
  double now = run_now(x);
  if (x->passed_at == 0)
    x->first_s = now - x->req->at;
  else
    x->pause_s = MAX(x->pause_s, now - x->passed_at);
  x->passed_at = now;
}

static void pass_stream(Run *x, const char *data, size_t n) {
  GString *out = g_string_sized_new(n + 64);
  events_take(&x->events, data, n, out);
  if (out->len > 0) {
    if (!x->head_out) put_head(x, CALLER_CHUNKED);
    caller_body(x->caller, out->str, out->len);
    note_passed(x);
  }
  g_string_free(out, TRUE);
}

static void drop_body(Run *x) {
  g_string_free(x->body, TRUE);
  x->body = g_string_new(NULL);
  caller_hold(x->caller, 0);
}

static void pass_plain(Run *x, const char *data, size_t n) {
  size_t most = MIN(LIMIT_PLAIN_ANSWER_BYTES, caller_limit(x->caller));
  if (!x->head_out && x->body->len + n > most) {
    put_head(x, CALLER_CHUNKED);
    caller_body(x->caller, x->body->str, x->body->len);
    drop_body(x);
  }
  if (x->head_out) {
    caller_body(x->caller, data, n);
    return;
  }
  g_string_append_len(x->body, data, (gssize)n);
  caller_hold(x->caller, x->body->allocated_len);
}

/* == after a target failed it == */

static bool repeatable(const Run *x) {
  if (x->route->kind == CONF_SAFE) return true;
  return x->route->kind == CONF_STREAM && x->route->resumable;
}

/* May it go to one more target? `sent`: the last one had it. */
static bool may_go_on(Run *x, bool sent) {
  double now = run_now(x);
  if (now >= x->deadline || x->n_tried == RUN_TRIED_MOST) return false;
  if (x->relay->behind) return false;
  if (!sent) return true;
  if (x->try || suspects_has(x->relay->suspects, run_digest(x))) return false;
  if (x->sends >= x->route->max_attempts) return false;
  return retries_take(x->relay->retries, now, x->service_name);
}

/* `begun`: seconds since its first byte came; below 0: none did. */
static void log_failure(Run *x, const char *why) {
  char digest[DIGEST_TEXT_BYTES];
  double now = run_now(x);
  digest_format(run_digest(x), digest);
  log_warn("target-failed", "s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:f,s:f", "request",
           x->ask.id, "digest", digest, "target", target_id(x->target), "addr",
           target_addr(x->target), "why", why, "status", x->status, "events",
           (json_int_t)x->events.count, "after", now - x->sent_at, "begun",
           x->first ? now - x->first_at : -1);
}

/* It did not run there: nothing was sent, or the target says so. */
static void not_run(Run *x, bool sent) {
  Err e;
  log_failure(x, sent ? "refused" : "unreachable");
  run_leave_target(x, sent ? TARGET_FULL : TARGET_UNRESPONSIVE);
  if (may_go_on(x, sent)) {
    run_dispatch(x);
    return;
  }
  err_retry(&e, ERR_OVERLOADED, RUN_BACK_SOON_MS, "no target took the request");
  run_give_up(x, &e);
}

/* It may have run there. */
static void may_have_run(Run *x, TargetOutcome how, const char *why) {
  Err e;
  Target *t = x->target;
  bool young = run_is_young(x);
  log_failure(x, why);
  run_leave_target(x, how);
  run_broke(x, t, young);
  events_broken(&x->events);
  x->maybe = true;
  if (repeatable(x) && may_go_on(x, true)) {
    run_dispatch(x);
    return;
  }
  err_set(&e, ERR_TARGET_FAILED, "the target's answer is missing or damaged");
  run_give_up(x, &e);
}

/* == events of a link == */

static bool is_stream(const Run *x, int status) {
  return x->route->kind == CONF_STREAM && status == 200;
}

/* A failure of the target's own that another target may not have. */
static bool worth_another(Run *x, int status) {
  return status >= 500 && !x->head_out && repeatable(x) &&
         x->sends < x->route->max_attempts && run_now(x) < x->deadline;
}

static LinkVerdict on_head(void *ctx, const LinkHead *h) {
  Run *x = ctx;
  Answer a;
  wire_answer(h->headers, x->ask.id, &a);
  if (!a.ours) return LINK_SKIP;
  if (a.load_told)
    target_set_load(x->target, run_now(x), a.running, a.waiting, a.pace);
  if (a.cold_s > 0) target_set_cold(x->target, run_now(x), a.cold_s);
  x->refused = a.not_run || h->status == 421;
  if (h->status == 421)
    targets_mark_replaced(x->relay->targets, run_now(x), x->target);
  else
    run_note_limit(x, &a);
  if (x->refused) return LINK_TAKE;
  if (a.encoded || !a.signed_) return LINK_DROP;
  if (x->head_out) /* goes on after a break: the first head stands */
    return h->status == x->status ? LINK_TAKE : LINK_DROP;
  x->status = h->status;
  x->stream = is_stream(x, h->status);
  g_string_truncate(x->fields, 0);
  drop_body(x);
  wire_pass(x->fields, h->headers);
  return LINK_TAKE;
}

static void on_body(void *ctx, const char *data, size_t n) {
  Run *x = ctx;
  if (x->refused) return;
  if (!x->first) {
    target_note_first_byte(x->target, x->choice.uncached_tokens,
                           x->choice.load.tokens, run_now(x) - x->sent_at);
    count_observe_time(COUNT_TIME_FIRST_BYTE, run_now(x) - x->req->at);
    run_tell_read(x);
    x->first_at = run_now(x);
  }
  x->first = true;
  if (x->stream)
    pass_stream(x, data, n);
  else
    pass_plain(x, data, n);
}

static void on_batch(void *ctx) {
  Run *x = ctx;
  if (!x->head_out) return;
  caller_flush(x->caller);
  if (!caller_full(x->caller)) return;
  x->paused_at = run_now(x);
  count_add(COUNT_CALLER_PAUSED, 1);
  link_pause(x->link);
}

void run_drained(Run *x) {
  if (x->paused_at == 0 || !x->link) return;
  x->paused_at = 0;
  link_resume(x->link);
}

static bool is_too_slow(const Run *x) {
  return x->link && x->paused_at > 0 &&
         run_now(x) - x->paused_at > PAUSE_MOST_S;
}

void relay_end_slow(Relay *r) {
  Err e;
  for (Run *x = r->first, *next; x; x = next) {
    next = x->next;
    if (!is_too_slow(x)) continue;
    count_add(COUNT_CALLER_SLOW, 1);
    err_set(&e, ERR_TARGET_CUT, "the caller takes its answer too slowly");
    run_give_up(x, &e);
  }
}

static void whole(Run *x) {
  if (worth_another(x, x->status) && may_go_on(x, true)) {
    log_failure(x, "error");
    run_leave_target(x, TARGET_FAILED);
    run_ran(x);
    x->maybe = true;
    run_dispatch(x);
    return;
  }
  run_leave_target(x, x->status >= 500 ? TARGET_FAILED : TARGET_OK);
  run_ran(x);
  if (!x->head_out) {
    put_head(x, x->stream ? CALLER_CHUNKED : (int64_t)x->body->len);
    caller_body(x->caller, x->body->str, x->body->len);
  }
  run_served(x);
}

static void on_end(void *ctx, LinkEnd how) {
  Run *x = ctx;
  x->link = NULL;
  switch (how) {
  case LINK_NOT_SENT:
    x->sends--;
    not_run(x, false);
    break;
  case LINK_EMPTY: may_have_run(x, TARGET_UNRESPONSIVE, "silent"); break;
  case LINK_CUT:
    if (x->refused)
      not_run(x, true);
    else
      may_have_run(x, TARGET_FAILED, "cut");
    break;
  case LINK_WHOLE:
    if (x->refused)
      not_run(x, true);
    else if (x->stream && x->events.part->len > 0)
      may_have_run(x, TARGET_FAILED, "cut inside an event");
    else
      whole(x);
    break;
  }
}

static const LinkEvents link_events = {on_head, on_body, on_batch, on_end};

/* == dispatch == */

TargetRequest run_target_ask(Run *x) {
  run_bind(x);
  return (TargetRequest){
      .service = x->service_name,
      .ask = &x->ask,
      .engine = x->service && x->service->engine,
      .cold_rate_per_s = x->service ? x->service->cold_max_per_s : 0,
      .move_token_s = x->service ? x->service->move_s_per_token : 0,
      .max_pause_s = x->service ? x->service->max_pause_s : 0,
      .regions = x->regions,
      .permits_exhausted = !run_may_ask_permit(x),
      .isolate = x->try != NULL,
      .tried = x->tried,
      .n_tried = x->n_tried,
      .reports = x->words,
      .n_reports = x->n_words};
}

/* The rank of the customer comes before that of the route. */
static int priority(const Run *x) {
  if (!x->service || !x->service->engine) return -1;
  int customer = x->customer ? x->customer->priority : -1;
  if (customer < 0) return x->route->priority;
  return customer * ROUTE_RANKS + MIN(x->route->priority, ROUTE_RANKS - 1);
}

void run_send(Run *x) {
  Relay *r = x->relay;
  const TargetChoice *c = &x->choice;
  double now = run_now(x);
  AskSend send = {.target = target_id(c->target),
                  .donor = c->donor ? target_addr(c->donor) : NULL,
                  .customer = x->customer ? x->customer->name : NULL,
                  .left_s = x->deadline - now,
                  .priority = priority(x),
                  .last_event =
                      x->events.count > 0 ? x->events.last : ASK_NO_EVENT};
  GString *out = g_string_sized_new(1024 + x->req->body->len);
  wire_request(out, x->req->method, x->req->target->str, &x->req->headers,
               x->req->body, &send);
  x->target = c->target;
  x->n_asked = x->n_words = 0;
  x->sent_at = now;
  x->first = x->refused = false;
  x->paused_at = 0;
  x->tried[x->n_tried++] = c->target;
  x->sends++;
  if (x->n_tried == 1) retries_note_first(r->retries, now, x->service_name);
  target_note_sent(c->target, now, &x->ask, c);
  run_tell_sent(x);
  x->n_permits = 0;
  x->permit_run = 0;
  double fresh_s = repeatable(x) ? RUN_LINK_KEEP_S : FRESH_ONCE_S;
  x->link = link_send(r->links, target_addr(c->target), out, fresh_s,
                      &link_events, x);
}

/* No target may take it: told at once, with the time that this may take. */
static void give_up_unplaced(Run *x, const TargetChoice *c) {
  static const struct {
    int retry_ms;
    const char *text;
  } causes[TARGET_NONE_COUNT] = {
      [TARGET_NONE_AVAILABLE] = {RUN_BACK_SOON_MS, "no target serves %s now"},
      [TARGET_NONE_IN_REGION] = {RUN_BACK_CHANGED_MS,
                                 "%s has no target in the allowed regions"},
      [TARGET_NONE_EVACUATED] = {RUN_BACK_EVACUATED_MS,
                                 "what is left of %s is evacuated"},
      [TARGET_NONE_FULL] = {0, "what is left of %s takes no more now"},
  };
  Err e;
  int retry_ms = causes[c->none].retry_ms;
  if (c->none == TARGET_NONE_FULL) retry_ms = (int)(c->retry_after_s * 1000);
  err_retry(&e, ERR_NO_TARGET, retry_ms, causes[c->none].text, x->service_name);
  if (x->maybe) err_set(&e, ERR_TARGET_FAILED, "no other target is left");
  run_give_up(x, &e);
}

/* It waited, for its budget or for what others have at targets, while this
   instance stood still. */
static void give_up_behind(Run *x) {
  Err e;
  run_stop_asking(x);
  err_retry(&e, ERR_LAGGING, RUN_BACK_SOON_MS, "this instance stood still");
  if (x->maybe) err_set(&e, ERR_TARGET_FAILED, "this instance stood still");
  run_give_up(x, &e);
}

void run_choose(Run *x) {
  if (x->relay->behind) {
    give_up_behind(x);
    return;
  }
  TargetRequest ask = run_target_ask(x);
  TargetChoice c = targets_pick(x->relay->targets, run_now(x), &ask);
  run_stop_asking(x);
  if (!c.target) {
    give_up_unplaced(x, &c);
    return;
  }
  if (c.bounded) {
    run_ask_permit(x, &c);
    return;
  }
  x->choice = c;
  run_send(x);
}

void run_dispatch(Run *x) {
  if (x->question == 0) run_ask(x);
  if (x->n_words == x->n_asked) {
    run_choose(x);
    return;
  }
  x->holds = true;
  ev_timer_start(x->relay->loop, &x->told_timer);
}
