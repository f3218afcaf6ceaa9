/* exchange.c: the common path of a request. */
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

/* == who == */

/* The caller's key names the request, else we issue a name. */
static void name_request(Exchange *x, const HttpReq *r) {
  const char *key = http_header(r, "Idempotency-Key");
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

bool exchange_who(Exchange *x, Entry *e, HttpReq *r, const char *service,
                  Err *err) {
  memset(x, 0, sizeof *x);
  x->entry = e;
  x->started = clock_now();
  const char *auth = http_header(r, "Authorization");
  const char *key = auth && g_str_has_prefix(auth, "Bearer ") ? auth + 7 : "";
  if (!snapshots_customer(e->snapshots, key, &x->customer))
    return err_set(err, ERR_UNAUTHORISED, "no customer has this key");
  name_request(x, r);
  if (r->too_large)
    return err_set(err, ERR_TOO_LARGE, "the body is over %zu bytes",
                   e->options.max_body);
  if (!snapshots_service(e->snapshots, service, &x->service))
    return err_set(err, ERR_NO_SERVICE, "there is no service '%.60s'", service);
  if (!snapshots_budget(e->snapshots, x->customer.name, service, x->budget))
    return err_set(err, ERR_NO_BUDGET, "%s has no budget for %s",
                   x->customer.name, service);
  return true;
}

/* == start == */

static ExchangeStart on_verdict(OnceVerdict v, Err *err) {
  switch (v) {
  case ONCE_RUN: return EXCHANGE_GO;
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
    err_retry(err, ERR_CLAIM_STORE, 2000,
              "the claim of this request could not be kept");
    break;
  }
  return EXCHANGE_REFUSED;
}

static bool reserve(Exchange *x, Err *err) {
  if (x->reserved == 0) return true;
  x->reservation = fleet_reserve(x->entry->fleet, x->budget, x->reserved, err);
  return x->reservation != 0;
}

static void settle(Exchange *x, int64_t used) {
  if (x->reservation == 0) return;
  if (used > x->reserved) {
    count_add(COUNT_TOKENS_OVER_BOUND, used - x->reserved);
    log_warn("over-bound", "s:s,s:I,s:I", "request", x->id, "reserved",
             (json_int_t)x->reserved, "used", (json_int_t)used);
  }
  fleet_settle(x->entry->fleet, x->budget, x->reservation, used);
  count_add(COUNT_TOKENS, used);
  x->reservation = 0;
}

/* A cap of the whole fleet is split over the instances that are there. */
static int64_t split_cap(const Exchange *x, int64_t cap) {
  if (cap == 0) return 0;
  View *v = fleet_view(x->entry->fleet);
  int n = MAX(v->n, 1);
  view_free(v);
  return (cap + n - 1) / n;
}

static bool enter(Exchange *x, Err *err) {
  x->pool = pools_find(x->entry->pools, x->service.pool);
  if (!x->pool)
    return err_retry(err, ERR_NO_TARGET, 5000, "no target serves %s",
                     x->service.name);
  QueueItem *q = &x->ticket.item;
  g_strlcpy(q->customer, x->customer.name, sizeof q->customer);
  q->class = x->service.priority;
  q->weight = (double)x->customer.share;
  q->tokens = x->reserved;
  q->max_wait_s = x->service.wait_s;
  q->concurrency_cap = (int)split_cap(x, x->customer.running);
  q->tokens_per_min_cap = split_cap(x, x->customer.rate);
  g_strlcpy(q->service, x->service.name, sizeof q->service);
  q->service_concurrency_cap = (int)split_cap(x, x->service.running);
  x->ticket.ask.adapter = x->service.adapter;
  x->ticket.ask.version = x->service.version;
  x->ticket.ask.dcs = x->service.dcs;
  x->entered = pool_enter(x->pool, &x->ticket, err);
  return x->entered;
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

/* A target was chosen; it gets the request now. */
static void dispatched(Exchange *x) {
  x->sent = clock_now();
  log_route(x);
  if (!x->service.plain) /* an engine's run can be taken up by a retry */
    fleet_at(x->entry->fleet, &x->run, x->ticket.choice.name);
}

ExchangeStart exchange_start(Exchange *x, HttpReq *r, int64_t tokens,
                             OnceAnswer *replay, Err *err) {
  Entry *e = x->entry;
  if (atomic_load(&e->draining)) {
    err_retry(err, ERR_DRAINING, 1000, "this instance is stopping");
    return EXCHANGE_REFUSED;
  }
  bool ask = g_str_has_prefix(x->id, "key-");
  uint64_t digest = XXH64(r->body->str, r->body->len, 0) >> 1;
  OnceVerdict v = fleet_begin(e->fleet, x->run.key, digest, ask,
                              x->service.repeat, &x->run, replay);
  ExchangeStart s = on_verdict(v, err);
  if (s != EXCHANGE_GO) return s;
  x->began = true;
  x->reserved = tokens;
  if (x->run.target[0]) x->ticket.ask.preferred = x->run.target;
  if (!reserve(x, err) || !enter(x, err)) {
    exchange_not_run(x);
    return EXCHANGE_REFUSED;
  }
  dispatched(x);
  return EXCHANGE_GO;
}

/* == the ways on and out == */

void exchange_first(Exchange *x) {
  x->first = clock_now();
}

static void leave_target(Exchange *x, RouteOutcome outcome) {
  double now = clock_now();
  double first = x->first > 0 ? x->first - x->sent : 0;
  pool_done(x->pool, &x->ticket, outcome, first, now - x->sent);
}

bool exchange_again(Exchange *x, Ran ran, int64_t consumed, Err *err) {
  leave_target(x, ran == RAN_NOT ? ROUTE_REFUSED : ROUTE_FAILED);
  bool allowed = ran == RAN_NOT || x->service.repeat;
  if (ran != RAN_NOT) { /* what the failed run may have consumed stays paid */
    settle(x, consumed);
    count_add(COUNT_TOKENS_WASTED, consumed);
    allowed = allowed && reserve(x, err);
  }
  if (allowed && pool_again(x->pool, &x->ticket)) {
    dispatched(x);
    return true;
  }
  return false;
}

static void close_exchange(Exchange *x, int64_t tokens) {
  settle(x, tokens);
  if (x->entered) pool_leave(x->pool, &x->ticket, tokens);
  x->entered = false;
}

void exchange_ran(Exchange *x, int64_t tokens, const OnceAnswer *answer) {
  leave_target(x, ROUTE_OK);
  close_exchange(x, tokens);
  OnceBill bill = {.tokens = tokens};
  g_strlcpy(bill.customer, x->customer.name, sizeof bill.customer);
  g_strlcpy(bill.budget, x->budget, sizeof bill.budget);
  bool doubled = fleet_finish(x->entry->fleet, &x->run, &bill, answer);
  if (doubled) count_add(COUNT_TOKENS_WASTED, tokens);
  count_add(COUNT_RAN, 1);
  log_info("ran", "s:s,s:s,s:s,s:I,s:f,s:b", "request", x->id, "customer",
           x->customer.name, "target", x->ticket.choice.name, "tokens",
           (json_int_t)tokens, "seconds", clock_now() - x->started, "doubled",
           (int)doubled);
}

void exchange_unknown(Exchange *x, int64_t tokens) {
  close_exchange(x, tokens);
  fleet_unknown(x->entry->fleet, &x->run);
  count_add(COUNT_TOKENS_WASTED, tokens);
  log_warn("unknown", "s:s,s:s,s:s,s:I", "request", x->id, "customer",
           x->customer.name, "target", x->ticket.choice.name, "tokens",
           (json_int_t)tokens);
}

void exchange_not_run(Exchange *x) {
  close_exchange(x, 0);
  if (x->began) fleet_abort(x->entry->fleet, &x->run);
}

void exchange_give_up(Exchange *x, Ran ran) {
  if (ran == RAN_NOT || x->service.repeat)
    exchange_not_run(x);
  else
    exchange_unknown(x, 0); /* settled when the dispatch failed */
}
