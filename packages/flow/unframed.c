/* unframed.c: answers whose end only the end of their connection marks. The
   kernel closes the connections of a process that is killed as if the process
   had closed them itself, so such an answer counts as complete only if its
   target goes on. A target that goes on and ends one answer too soon can't be
   told from one that ends it properly. */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/limits.h"

/* Whether the connection was accepted by a process that started later. */
static bool is_replaced(const Run *x) {
  return target_hash(x->target) != x->target_incarnation ||
         targets_have_successor(x->relay->targets, x->target);
}

static void on_checked(void *ctx, LinkConnectResult how);

static void check(Run *x, const char *via) {
  x->check_via = via;
  x->check =
      link_check(x->relay->links, target_addr(x->target), via, on_checked, x);
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
  check(x, via);
  return true;
}

static void on_checked(void *ctx, LinkConnectResult how) {
  Run *x = ctx;
  x->check = NULL;
  if (how == LINK_CONNECTED && !is_replaced(x))
    run_finish_answer(x);
  else if (check_via_gateway(x, how))
    return;
  else if (how == LINK_TUNNEL_FAILED)
    run_handle_broken(x, TARGET_NO_PATH, "closed, no tunnel");
  else
    run_handle_broken(x, TARGET_UNRESPONSIVE, "closed, target ended");
}

/* After this process was paused, a target that ended may have started again. */
static void on_delay(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  if (x->relay->stale)
    run_handle_broken(x, TARGET_NO_PATH, "closed");
  else /* the way that the answer took, whose gateway may have ended */
    check(x, x->via);
}

/* Any part of a stream has at least one event, unless all of them had arrived
   before it: no evidence tells that from an end that came too soon. */
static bool lacks_events(const Run *x) {
  return x->stream && x->events.count == x->events_before;
}

void run_check_end(Run *x) {
  count_add(COUNT_ANSWERS_CLOSED, 1);
  if (lacks_events(x)) {
    run_handle_broken(x, TARGET_FAILED, "closed before an event");
    return;
  }
  x->maybe_ran = true;
  x->n_gateway_checks = 0;
  ev_timer_init(&x->check_timer, on_delay, LIMIT_END_CHECK_DELAY_MS / 1e3, 0);
  x->check_timer.data = x;
  ev_timer_start(x->relay->loop, &x->check_timer);
}

void run_cancel_check(Run *x) {
  ev_timer_stop(x->relay->loop, &x->check_timer);
  if (x->check) link_cancel(x->check);
  x->check = NULL;
}
