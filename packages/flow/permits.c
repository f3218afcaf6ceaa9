/* permits.c: targets that limit the rate of requests from all instances. The
   instance that counts a target's work issues permits for single requests. */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"

/* A permit is valid only for the time at which it was requested. This process
   may be paused before it reads the answer; a permit older than this is
   ignored. */
#define PERMIT_MAX_AGE_S 0.1
/* Time for which a target is avoided when its counter did not answer and our
   own share of the limit allows no request. */
#define NO_ANSWER_BACKOFF_S 0.25
/* Permits that a run may request before it is sent to a target. */
#define MAX_PERMIT_REQUESTS 10

/* == permit requests == */

/* Sends the request if this instance's own fixed share of the limit allows it,
   or chooses another target. For when the counter gives no decision. */
static void use_own_share(Run *x) {
  Target *t = x->choice.target;
  double now = run_now(x);
  if (target_is_usable(t, now) && target_may_use_own_share(&x->choice, now)) {
    run_send(x);
    return;
  }
  target_note_full(&x->choice, now, NO_ANSWER_BACKOFF_S);
  run_choose_target(x);
}

static void on_permit_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  run_cancel_query(x);
  count_add(COUNT_PERMITS_UNANSWERED, 1);
  use_own_share(x);
}

bool run_may_request_permit(const Run *x) {
  return x->n_permit_requests < MAX_PERMIT_REQUESTS;
}

void run_request_permit(Run *x, const TargetChoice *c) {
  Relay *r = x->relay;
  double now = run_now(x);
  TallyPermitRequest a = target_permit_request(c, now);
  x->choice = *c;
  x->n_permit_requests++;
  x->total_permit_requests++;
  x->permit_requested_at = now;
  x->awaits_permit = true;
  x->query_id = a.number = ++r->last_query_id;
  x->permit_run_id = a.run = ++r->last_run_id;
  g_hash_table_insert(r->runs_by_query, &x->query_id, x);
  ev_timer_init(&x->query_timer, on_permit_timeout, RUN_ANSWER_TIMEOUT_S, 0);
  x->query_timer.data = x;
  ev_timer_start(r->loop, &x->query_timer);
  cluster_request_permit(r->cluster, &a);
}

/* == limits == */

/* `request` is the one whose answer stated the limit; NULL: another instance
   reported it. */
static void log_limit(const Target *t, const char *request, const char *event,
                      double limit) {
  log_info("target-limit", "s:s,s:s*,s:s,s:f", "target", target_id(t),
           "request", request, "word", event, "per_s",
           limit < QUOTA_UNLIMITED ? limit : 0);
}

static void send_limit(const Run *x, double limit) {
  TallyLimit message = {.target = target_hash(x->target), .limit = limit};
  message.counter = targets_counter(x->relay->targets, message.target);
  cluster_report_limit(x->relay->cluster, &message);
}

void run_record_limit(Run *x, const AnswerInfo *a) {
  Target *t = x->target;
  if (a->limit_status == ANSWER_LIMIT_INVALID) {
    count_add(COUNT_LIMITS_DAMAGED, 1);
    if (target_note_damaged_limit(t)) log_limit(t, x->request.id, "damaged", 0);
    return;
  }
  bool given_limit = a->limit_status == ANSWER_LIMIT_GIVEN;
  /* If the answer has no signature, header fields may have been lost, that of
     the limit among them. */
  if (!given_limit && !a->is_signed) return;
  double limit = given_limit ? a->limit_per_s : QUOTA_UNLIMITED;
  TargetLimitChange change = target_set_limit(t, run_now(x), limit);
  if (change != TARGET_LIMIT_KNOWN) send_limit(x, limit);
  if (change != TARGET_LIMIT_CHANGED) return;
  count_add(COUNT_LIMITS, 1);
  log_limit(t, x->request.id, given_limit ? "named" : "ended", limit);
}

void relay_on_limit(Relay *r, uint64_t target, double limit) {
  const Target *t = targets_apply_limit(r->targets, target, limit);
  bool ended = limit >= QUOTA_UNLIMITED;
  if (t) log_limit(t, NULL, ended ? "told ended" : "told", limit);
}

/* == permits == */

void relay_on_permit(Relay *r, const TallyPermit *p) {
  Run *x = g_hash_table_lookup(r->runs_by_query, &p->number);
  if (!x || !x->awaits_permit) return;
  double now = run_now(x);
  bool is_expired = r->stale || now - x->permit_requested_at > PERMIT_MAX_AGE_S;
  run_cancel_query(x);
  relay_on_limit(r, p->target, p->limit);
  x->choice.bounds.limit = p->limit;
  if (p->verdict == TALLY_UNKNOWN && !is_expired) {
    use_own_share(x);
    return;
  }
  if (p->verdict != TALLY_GIVEN) {
    count_add(COUNT_PERMITS_REFUSED, 1);
    target_note_full(&x->choice, now, p->wait_s);
  }
  bool given = p->verdict == TALLY_GIVEN && !is_expired;
  if (given && target_is_usable(x->choice.target, now))
    run_send(x);
  else
    run_choose_target(x);
}
