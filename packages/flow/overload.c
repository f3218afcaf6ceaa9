/* overload.c: rejects requests whose answers would come too late, and those
   above their customers' shares (route/admission.h), and tells callers when to
   retry. Does nothing for services for which the part is not active. */
#include <math.h>
#include <xxhash.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/text.h"

static const struct {
  Count count;
  const char *text;
} causes[ADMISSION_CAUSES] = {
    [ADMISSION_DEADLINE] = {COUNT_REJECTED_DEADLINE,
                            "an answer of %s would begin after the deadline"},
    [ADMISSION_LATE] = {COUNT_REJECTED_LATE,
                        "an answer of %s would be late, as others are"},
    [ADMISSION_SHARE] = {COUNT_REJECTED_SHARE,
                         "%s is short of capacity, and the customer above its "
                         "share"},
};

void run_init_admission(Run *x) {
  x->checks_admission = run_is_managed(x, MANAGED_ADMISSION);
  x->cutoff.cutoff = INFINITY;
  if (x->checks_admission && run_is_managed(x, MANAGED_SHARES))
    cluster_admission_cutoff(x->relay->cluster, text_hash(x->service_name),
                             run_customer_hash(x), &x->cutoff);
}

/* A number that is equal when a caller sends its request again. No digest as of
   run_digest: that takes longer than all other work of a rejection. */
static uint64_t caller_id(const Run *x) {
  const GString *uri = x->http_request->uri, *body = x->http_request->body;
  uint64_t seed = XXH64(uri->str, uri->len, run_customer_hash(x));
  return XXH64(body->str, body->len, seed);
}

/* Finds out whether the caller comes back at the time that it was promised. */
static void claim_return(Run *x) {
  Returns *r = x->relay->returns;
  uint64_t service = text_hash(x->service_name);
  if (!returns_has_claims(r, run_now(x), service)) return;
  x->is_return = returns_claim(r, run_now(x), service, caller_id(x));
  if (x->is_return) count_add(COUNT_RETRIES_RETURNED, 1);
}

/* Engines take most of their time for prompts. */
static double work_of(const Run *x) {
  return (double)x->request.prompt_tokens;
}

/* Returns Retry-After in ms. A retry within `earliest_s` would be rejected. */
static int promise_retry_ms(const Run *x, double earliest_s) {
  double now = run_now(x);
  ReturnsCaller c = {.id = caller_id(x),
                     .earliest_s = earliest_s,
                     .max_s = (x->deadline - now) / RUN_RETRY_DEADLINE_DIVISOR,
                     .work = work_of(x),
                     .per_s = x->cutoff.retries_per_s,
                     .from = x->cutoff.retries_from};
  double s =
      returns_promise(x->relay->returns, now, text_hash(x->service_name), &c);
  if (s <= c.max_s) count_add(COUNT_RETRIES_PROMISED, 1);
  return (int)(s * 1000);
}

int run_retry_ms(Run *x) {
  return x->checks_admission ? promise_retry_ms(x, 0) : RUN_RETRY_SOON_MS;
}

static void reject(Run *x, AdmissionCause cause, double earliest_s) {
  Err e;
  x->rejected = cause;
  count_add(causes[cause].count, 1);
  err_retry(&e, ERR_OVERLOADED, promise_retry_ms(x, earliest_s),
            causes[cause].text, x->service_name);
  run_fail(x, &e);
}

/* A number in [0, 1) that differs between the attempts of a caller. */
static double id_fraction(const Run *x) {
  if (x->is_return) return 0;
  return (double)(text_hash(x->request.id) >> 11) * 0x1p-53;
}

bool run_check_share(Run *x) {
  if (!x->checks_admission) return true;
  claim_return(x);
  if (admission_is_within_share(&x->cutoff, run_priority(x), id_fraction(x)))
    return true;
  reject(x, ADMISSION_SHARE, 0);
  return false;
}

bool run_check_lateness(Run *x, const TargetChoice *c) {
  /* A request that may have run must not be answered as not run. */
  if (!x->checks_admission || x->maybe_ran || x->head_sent) return true;
  double now = run_now(x);
  AdmissionRequest r = {.service = text_hash(x->service_name),
                        .priority = run_priority(x),
                        .wait_s = c->wait_s,
                        .own_s = c->own_s,
                        .is_free = c->is_free,
                        .is_reported = c->wait_is_reported,
                        .elapsed_s = now - x->http_request->received_at,
                        .objective_s = x->route->slo_s,
                        .left_s = x->deadline - now,
                        .short_of_capacity = x->cutoff.short_of_capacity,
                        .above_share = run_priority(x) + 1 > x->cutoff.cutoff,
                        .is_return = x->is_return};
  AdmissionVerdict v = admission_decide(x->relay->admission, now, &r);
  x->expected_s = v.expected_s;
  if (v.cause == ADMISSION_ADMITTED) return true;
  x->choice = *c; /* for the log line */
  reject(x, v.cause, v.earliest_s);
  return false;
}

void run_record_wait(Run *x, bool begun) {
  const TargetChoice *c = &x->choice;
  double now = run_now(x), took_s = now - x->sent_at;
  bool is_plain = run_priority(x) < 0;
  if (!x->checks_admission || !(c->wait_is_reported || is_plain)) return;
  /* Without a first byte only a wait beyond the expectation says something. */
  if (!begun && took_s < c->wait_s) return;
  admission_note_wait(x->relay->admission, now, text_hash(x->service_name),
                      run_priority(x), c->wait_s, c->own_s, took_s);
}

void run_record_served(Run *x) {
  if (x->checks_admission)
    returns_note_served(x->relay->returns, run_now(x),
                        text_hash(x->service_name), work_of(x));
}
