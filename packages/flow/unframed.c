/* unframed.c: answers whose end only the end of their connection marks. The
   kernel closes the connections of a process that is killed as if the process
   had closed them itself, so such an answer counts as complete only if its
   target goes on. That a connection is accepted, or closed again, is no
   evidence: another process may hold the listening socket, and a proxy accepts
   and closes connections for a target that has ended. Only an answer of the
   target itself is. Silence is no evidence either: a sound target may stand
   still. A target that goes on and ends one answer too soon can't be told from
   one that ends it properly. */
#include "flow/run.h"
#include "flow/wire.h"
#include "kernel/count.h"
#include "kernel/limits.h"

/* Connections that are closed without an answer until the target counts as
   ended: a target with too many connections closes them as well, until one of
   the others ends. */
#define MAX_CLOSED_CHECKS 3
/* Between two checks, and while this process catches up after a pause. */
#define CHECK_RETRY_MS 100
/* Part of the remaining time that a stream is checked for before its rest is
   asked for elsewhere. A rest without events proves no end, so a whole stream
   would be lost; one that was cut needs time to go on. */
#define STREAM_CHECK_RATIO 0.5

/* Whether the connection was accepted by a process that started later. */
static bool is_replaced(const Run *x) {
  return target_hash(x->target) != x->target_incarnation ||
         targets_have_successor(x->relay->targets, x->target);
}

static void on_connected(void *ctx, LinkConnectResult how);

static void check(Run *x) {
  x->check = link_check(x->relay->links, target_addr(x->target), x->check_via,
                        on_connected, x);
}

static void start_check_timer(Run *x, int ms,
                              void (*fn)(struct ev_loop *, ev_timer *, int)) {
  ev_timer_init(&x->check_timer, fn, ms / 1e3, 0);
  x->check_timer.data = x;
  ev_timer_start(x->relay->loop, &x->check_timer);
}

/* After this process was paused, a target that ended may have started again:
   the store tells which did. */
static void on_delay(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  if (x->relay->stale)
    start_check_timer(x, CHECK_RETRY_MS, on_delay);
  else
    check(x);
}

static bool is_checked(const Run *x) {
  return x->check || ev_is_active(&x->check_timer);
}

void relay_end_checks(Relay *r) {
  for (Run *x = r->first_run, *next; x; x = next) {
    next = x->next;
    if (!is_checked(x)) continue;
    run_cancel_check(x);
    run_handle_broken(x, TARGET_NO_PATH, "closed, target not known");
  }
}

/* A direct connection may fail for the path, and a gateway may open no tunnel
   since it is stopping. Where the run can't go on elsewhere, other instances
   try as well. */
static bool check_via_gateway(Run *x, LinkConnectResult how) {
  bool says_nothing =
      x->check_via ? how == LINK_TUNNEL_FAILED : how != LINK_CONNECTED;
  if (!says_nothing || run_may_be_continued(x)) return false;
  const char *via = relay_find_gateway(x->relay, target_addr(x->target));
  if (!via || ++x->n_gateway_checks > RUN_MAX_GATEWAYS) return false;
  x->check_via = via;
  check(x);
  return true;
}

static void handle_evidence(Run *x, bool goes_on) {
  if (goes_on && !is_replaced(x))
    run_finish_answer(x);
  else
    run_handle_broken(x, TARGET_UNRESPONSIVE, "closed, target ended");
}

/* Nothing tells whether the target goes on: it is checked again until the run's
   deadline, unless the run can go on elsewhere. */
static void handle_no_evidence(Run *x, LinkConnectResult how, const char *why) {
  const Relay *r = x->relay;
  const char *addr = target_addr(x->target);
  if (check_via_gateway(x, how)) return;
  if (run_now(x) >= x->check_until && run_try_elsewhere(x, why)) return;
  x->n_gateway_checks = 0;
  x->check_via = x->via ? relay_find_gateway(r, addr) : NULL;
  start_check_timer(x, CHECK_RETRY_MS, on_delay);
}

/* == the request to the target == */

static LinkVerdict on_head(void *ctx, const LinkHead *h) {
  Run *x = ctx;
  x->check_result =
      wire_is_from_target(h->headers, h->status, target_id(x->target))
          ? CHECK_ANSWERED
          : CHECK_ANSWERED_BY_ANOTHER;
  return LINK_ACCEPT;
}

static bool on_body(void *ctx, const char *data, size_t n) {
  Run *x = ctx;
  (void)data;
  x->check_bytes += n;
  return x->check_bytes <= LIMIT_REFUSAL_BYTES;
}

static void on_end(void *ctx, LinkEnd how) {
  Run *x = ctx;
  x->check = NULL;
  ev_timer_stop(x->relay->loop, &x->check_timer);
  if (x->check_result != CHECK_UNANSWERED)
    handle_evidence(x, x->check_result == CHECK_ANSWERED);
  else if (how == LINK_NO_TUNNEL)
    on_connected(x, LINK_TUNNEL_FAILED);
  else if (how == LINK_BROKEN)
    handle_evidence(x, false); /* what was sent is no answer */
  else if (++x->n_closed_checks < MAX_CLOSED_CHECKS)
    start_check_timer(x, CHECK_RETRY_MS, on_delay);
  else
    run_handle_broken(x, TARGET_UNRESPONSIVE, "closed, checks closed");
}

static void on_silence(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  link_cancel(x->check);
  x->check = NULL;
  if (x->check_result != CHECK_UNANSWERED)
    handle_evidence(x, x->check_result == CHECK_ANSWERED);
  else
    handle_no_evidence(x, LINK_UNREACHABLE, "closed, target silent");
}

static void send_request(Run *x) {
  static const LinkEvents events = {
      .head = on_head, .body = on_body, .end = on_end};
  const char *addr = target_addr(x->target);
  GString *request = g_string_new(NULL);
  wire_append_target_check(request, addr, target_id(x->target));
  x->check_result = CHECK_UNANSWERED;
  x->check_bytes = 0;
  x->check = link_send_via(x->relay->links, addr, x->check_via, request, NULL,
                           RUN_LINK_MAX_IDLE_S, &events, x);
  start_check_timer(x, LIMIT_END_CHECK_ANSWER_MS, on_silence);
}

static void on_connected(void *ctx, LinkConnectResult how) {
  Run *x = ctx;
  x->check = NULL;
  if (how == LINK_CONNECTED)
    send_request(x);
  else if (how != LINK_REFUSED)
    handle_no_evidence(x, how, "closed, target not reached");
  else if (!check_via_gateway(x, how))
    handle_evidence(x, false);
}

/* == the end of the answer == */

/* Any part of a stream has at least one event, unless all of them had arrived
   before it: no evidence tells that from an end that came too soon. */
static bool lacks_events(const Run *x) {
  return x->stream && x->events.count == x->events_before;
}

/* Until when a run that may go on elsewhere waits for evidence. */
static double check_until(const Run *x) {
  double now = run_now(x);
  if (x->stream) return now + (x->deadline - now) * STREAM_CHECK_RATIO;
  return now + LIMIT_END_CHECK_ANSWER_MS / 1e3;
}

void run_check_end(Run *x) {
  count_add(COUNT_ANSWERS_CLOSED, 1);
  if (lacks_events(x)) {
    run_handle_broken(x, TARGET_FAILED, "closed before an event");
    return;
  }
  x->maybe_ran = true;
  x->check_until = check_until(x);
  x->n_gateway_checks = x->n_closed_checks = 0;
  x->check_via = x->via; /* the way that the answer took */
  start_check_timer(x, LIMIT_END_CHECK_DELAY_MS, on_delay);
}

void run_cancel_check(Run *x) {
  ev_timer_stop(x->relay->loop, &x->check_timer);
  if (x->check) link_cancel(x->check);
  x->check = NULL;
}
