/* exchange.c: the steps that are common to all requests. */
#include "entry/exchange.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"

#define RETRY_STORE_MS 2000 /* Retry-After while the store does not answer */

/* == identification == */

/* Derives the id from the caller's idempotency key, or generates one. */
static void set_request_id(Exchange *x, const HttpRequest *r) {
  const char *key = http_request_header(r, "Idempotency-Key");
  if (key && key[0] && strlen(key) <= 256) {
    OnceKey k = once_make_key(x->customer.name, key);
    snprintf(x->id, sizeof x->id, "key-%016" PRIx64 "%016" PRIx64, k.hi, k.lo);
    x->run.key = k;
    return;
  }
  uint64_t n[2];
  if (getrandom(n, sizeof n, 0) != sizeof n) n[0] = (uint64_t)(uintptr_t)r;
  snprintf(x->id, sizeof x->id, "req-%016" PRIx64 "%016" PRIx64, n[0], n[1]);
  x->run.key = once_make_key(x->customer.name, x->id);
}

bool exchange_identify(Exchange *x, Entry *e, HttpRequest *r,
                       const char *service, Err *err) {
  memset(x, 0, sizeof *x);
  x->entry = e;
  x->started_at = clock_now();
  const char *auth = http_request_header(r, "Authorization");
  const char *key = auth && g_str_has_prefix(auth, "Bearer ") ? auth + 7 : "";
  if (!snapshots_find_customer(e->snapshots, key, &x->customer))
    return err_set(err, ERR_UNAUTHORISED, "no customer has this key");
  set_request_id(x, r);
  if (r->too_large)
    return err_set(err, ERR_TOO_LARGE, "the body is over %zu bytes",
                   e->options.max_body_bytes);
  if (!snapshots_find_service(e->snapshots, service, &x->service))
    return err_set(err, ERR_NO_SERVICE, "there is no service '%.60s'", service);
  if (!snapshots_find_budget(e->snapshots, x->customer.name, service,
                             x->budget))
    return err_set(err, ERR_NO_BUDGET, "%s has no budget for %s",
                   x->customer.name, service);
  return true;
}

/* == start == */

static ExchangeStart start_for_verdict(OnceVerdict v, Err *err) {
  switch (v) {
  case ONCE_RUN: return EXCHANGE_DISPATCHED;
  case ONCE_REPLAY: return EXCHANGE_REPLAY;
  case ONCE_PENDING:
    err_retry(err, ERR_IN_PROGRESS, 1000, "this request is running now");
    err->ran = RAN_MAYBE;
    break;
  case ONCE_OUTCOME_UNKNOWN:
    err_set(err, ERR_MAY_HAVE_RUN,
            "this request was sent before and its outcome is not known");
    err->ran = RAN_MAYBE;
    break;
  case ONCE_MISMATCH:
    err_set(err, ERR_KEY_REUSED, "this key named another request before");
    break;
  case ONCE_NO_CLAIM:
    err_retry(err, ERR_CLAIM_STORE, RETRY_STORE_MS,
              "the claim of this request could not be kept");
    break;
  case ONCE_NO_BILL:
    err_retry(err, ERR_BILL_STORE, RETRY_STORE_MS,
              "too many bills wait for the store");
    break;
  }
  return EXCHANGE_REFUSED;
}

static bool reserve_tokens(Exchange *x, Err *err) {
  if (x->reserved_tokens == 0) return true;
  x->reservation =
      fleet_reserve(x->entry->fleet, x->budget, x->reserved_tokens, err);
  return x->reservation != 0;
}

static void settle_reservation(Exchange *x, int64_t used) {
  if (x->reservation == 0) return;
  if (used > x->reserved_tokens) {
    count_add(COUNT_TOKENS_OVER_BOUND, used - x->reserved_tokens);
    log_warn("over-bound", "s:s,s:I,s:I", "request", x->id, "reserved",
             (json_int_t)x->reserved_tokens, "used", (json_int_t)used);
  }
  fleet_settle(x->entry->fleet, x->budget, x->reservation, used);
  count_add(COUNT_TOKENS, used);
  x->reservation = 0;
}

/* Returns this instance's part of a cap on the whole fleet, which is divided
   evenly among the live instances. */
static int64_t cap_per_instance(const Exchange *x, int64_t cap) {
  if (cap == 0) return 0;
  View *v = fleet_copy_view(x->entry->fleet);
  int n = MAX(v->n, 1);
  view_free(v);
  return (cap + n - 1) / n;
}

static bool enter_pool(Exchange *x, Err *err) {
  x->pool = pools_find(x->entry->pools, x->service.pool);
  if (!x->pool)
    return err_retry(err, ERR_NO_TARGET, 5000, "no target serves %s",
                     x->service.name);
  QueueItem *q = &x->ticket.item;
  g_strlcpy(q->customer, x->customer.name, sizeof q->customer);
  q->class = x->service.priority;
  q->weight = (double)x->customer.share;
  q->tokens = x->reserved_tokens;
  q->max_wait_s = x->service.max_wait_s;
  q->concurrency_cap = (int)cap_per_instance(x, x->customer.max_running);
  q->tokens_per_min_cap = cap_per_instance(x, x->customer.max_tokens_per_min);
  g_strlcpy(q->service, x->service.name, sizeof q->service);
  q->service_concurrency_cap = (int)cap_per_instance(x, x->service.max_running);
  x->ticket.route_request.adapter = x->service.adapter;
  x->ticket.route_request.version = x->service.version;
  x->ticket.route_request.dcs = x->service.dcs;
  x->in_pool = pool_enter(x->pool, &x->ticket, err);
  return x->in_pool;
}

static void log_route(const Exchange *x) {
  const RouteChoice *c = &x->ticket.choice;
  log_info("route", "s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:f,s:f,s:f,s:I,s:f,s:b",
           "request", x->id, "customer", x->customer.name, "service",
           x->service.name, "target", c->name, "candidates", c->candidates,
           "left_out", c->excluded_count, "path", c->path, "prefill",
           c->prefill, "wait", c->wait, "margin", c->margin, "cached",
           (json_int_t)c->cached, "queued", x->ticket.queued_s, "probe",
           (int)c->probe);
}

/* Must be called right before the request is sent to the chosen target. */
static void record_dispatch(Exchange *x) {
  x->sent_at = clock_now();
  log_route(x);
  /* A retry of the caller can resume an engine's run. */
  if (!x->service.is_plain)
    fleet_note_dispatch(x->entry->fleet, &x->run, x->ticket.choice.name);
}

ExchangeStart exchange_start(Exchange *x, HttpRequest *r, int64_t tokens,
                             OnceAnswer *replay, Err *err) {
  Entry *e = x->entry;
  if (atomic_load(&e->draining)) {
    err_retry(err, ERR_DRAINING, 1000, "this instance is stopping");
    return EXCHANGE_REFUSED;
  }
  bool has_caller_key = g_str_has_prefix(x->id, "key-");
  uint64_t digest = XXH64(r->body->str, r->body->len, 0) >> 1;
  OnceVerdict v =
      fleet_begin(e->fleet, x->customer.name, x->run.key, digest,
                  has_caller_key, x->service.is_repeatable, &x->run, replay);
  ExchangeStart s = start_for_verdict(v, err);
  if (s != EXCHANGE_DISPATCHED) return s;
  x->has_record = true;
  x->reserved_tokens = tokens;
  if (x->run.target[0]) x->ticket.route_request.preferred = x->run.target;
  if (!reserve_tokens(x, err) || !enter_pool(x, err)) {
    exchange_end_not_run(x);
    return EXCHANGE_REFUSED;
  }
  record_dispatch(x);
  return EXCHANGE_DISPATCHED;
}

/* == progress and end == */

void exchange_record_first_byte(Exchange *x) {
  x->first_byte_at = clock_now();
}

static void end_dispatch(Exchange *x, RouteOutcome outcome) {
  double now = clock_now();
  double first = x->first_byte_at > 0 ? x->first_byte_at - x->sent_at : 0;
  pool_end_dispatch(x->pool, &x->ticket, outcome, first, now - x->sent_at);
}

bool exchange_retry(Exchange *x, Ran ran, int64_t consumed, Err *err) {
  end_dispatch(x, ran == RAN_NOT ? ROUTE_REFUSED : ROUTE_FAILED);
  bool allowed = ran == RAN_NOT || x->service.is_repeatable;
  if (ran != RAN_NOT) {
    /* Tokens that the failed run may have consumed stay charged. */
    settle_reservation(x, consumed);
    count_add(COUNT_TOKENS_WASTED, consumed);
    allowed = allowed && reserve_tokens(x, err);
  }
  if (allowed && pool_retry(x->pool, &x->ticket)) {
    record_dispatch(x);
    return true;
  }
  return false;
}

static void release_resources(Exchange *x, int64_t tokens) {
  settle_reservation(x, tokens);
  if (x->in_pool) pool_leave(x->pool, &x->ticket, tokens);
  x->in_pool = false;
}

void exchange_complete(Exchange *x, int64_t tokens, const OnceAnswer *answer) {
  end_dispatch(x, ROUTE_OK);
  release_resources(x, tokens);
  OnceBill bill = {.tokens = tokens};
  g_strlcpy(bill.customer, x->customer.name, sizeof bill.customer);
  g_strlcpy(bill.budget, x->budget, sizeof bill.budget);
  bool doubled = fleet_finish(x->entry->fleet, &x->run, &bill, answer);
  if (doubled) count_add(COUNT_TOKENS_WASTED, tokens);
  count_add(COUNT_RAN, 1);
  log_info("ran", "s:s,s:s,s:s,s:I,s:f,s:b", "request", x->id, "customer",
           x->customer.name, "target", x->ticket.choice.name, "tokens",
           (json_int_t)tokens, "seconds", clock_now() - x->started_at,
           "doubled", (int)doubled);
}

void exchange_end_unknown(Exchange *x, int64_t tokens) {
  release_resources(x, tokens);
  fleet_mark_unknown(x->entry->fleet, &x->run);
  count_add(COUNT_TOKENS_WASTED, tokens);
  log_warn("unknown", "s:s,s:s,s:s,s:I", "request", x->id, "customer",
           x->customer.name, "target", x->ticket.choice.name, "tokens",
           (json_int_t)tokens);
}

void exchange_end_not_run(Exchange *x) {
  release_resources(x, 0);
  if (x->has_record) fleet_abort(x->entry->fleet, &x->run);
}

void exchange_give_up(Exchange *x, Ran ran) {
  if (ran == RAN_NOT || x->service.is_repeatable)
    exchange_end_not_run(x);
  else
    exchange_end_unknown(x, 0); /* exchange_retry has settled the tokens */
}
