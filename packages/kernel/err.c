/* err.c: the table of error kinds. */
#include "kernel/err.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#include "kernel/text.h"

static const ErrInfo error_infos[ERR_COUNT] = {
    [ERR_NONE] = {"none", 200, ""},
    [ERR_MALFORMED] = {"malformed", 400,
                       "correct the request as docs/API.md shows"},
    [ERR_TOO_LARGE] = {"too-large", 413, "send a smaller body"},
    [ERR_HEADER_TOO_LARGE] = {"head-too-large", 431,
                              "send fewer or shorter header fields"},
    [ERR_TOO_SLOW] = {"too-slow", 408, "send the request without pauses"},
    [ERR_UNAUTHORISED] = {"unauthorised", 401,
                          "send Authorization: Bearer with a key whose hash "
                          "stands in the table"},
    [ERR_NO_MODEL] = {"unknown-model", 404, "ask GET /v1/models for the names"},
    [ERR_NO_SERVICE] = {"unknown-service", 404,
                        "ask the operator which services the table has"},
    [ERR_NO_BUDGET] = {"no-budget", 403,
                       "ask the operator for a budget row for this service"},
    [ERR_BUDGET_EMPTY] = {"budget-empty", 402, "top up the budget row"},
    [ERR_BUDGET_HELD] = {"budget-held", 429,
                         "retry: the rest of the budget is held by requests or "
                         "instances elsewhere"},
    [ERR_BUDGET_STORE] = {"budget-store", 503,
                          "retry: the platform's store did not answer"},
    [ERR_BUDGET_CUT] = {"budget-cut", 503,
                        "retry: no instance that holds tokens can be reached"},
    [ERR_CAP_REACHED] =
        {"cap-reached", 429,
         "retry later or ask the operator to raise the row's cap"},
    [ERR_OVERLOADED] = {"overloaded", 503, "retry after the time given"},
    [ERR_NO_TARGET] = {"no-target", 503,
                       "retry; the operator can see targets in loftpath "
                       "targets"},
    [ERR_STREAM_UNKNOWN] = {"stream-unknown", 503,
                            "begin the stream anew, without Last-Event-Id: "
                            "which version began it is not known"},
    [ERR_TARGET_FAILED] = {"target-failed", 502, "retry"},
    [ERR_TARGET_CUT] = {"target-cut", 502,
                        "the answer is incomplete: retry with the same "
                        "Idempotency-Key if the request may be repeated"},
    /* Not a 4xx status: the request is valid, and rejected for its effect on
       targets. */
    [ERR_ENDS_TARGETS] = {"ends-targets", 502,
                          "don't send it again: the targets that ran it ended; "
                          "change it, or ask the operator to release it"},
    [ERR_ON_TRIAL] = {"on-trial", 503,
                      "retry after the time given: two targets ended while it "
                      "ran, so it is tried at one target at a time"},
    [ERR_IN_PROGRESS] = {"in-progress", 409,
                         "retry with the same Idempotency-Key to get the "
                         "answer"},
    [ERR_KEY_REUSED] = {"key-reused", 422,
                        "use a new Idempotency-Key for a new request"},
    [ERR_MAY_HAVE_RUN] = {"may-have-run", 409,
                          "ask the service itself whether it happened; the "
                          "fleet will not run it again"},
    [ERR_CLAIM_STORE] = {"claim-store", 503,
                         "retry: the claim could not be kept, so the request "
                         "was not sent"},
    [ERR_BILL_STORE] = {"bill-store", 503,
                        "retry: bills of earlier requests wait for the store, "
                        "so the request was not sent"},
    [ERR_DRAINING] = {"draining", 503, "retry at another instance"},
    [ERR_NOT_CONFIGURED] = {"not-configured", 503,
                            "retry: this instance has no configuration yet"},
    [ERR_LAGGING] = {"behind", 503,
                     "retry: this instance stood still, and reads what it "
                     "missed"},
    [ERR_NO_ROUTE] = {"no-route", 404,
                      "ask the operator which hosts and paths are served"},
    [ERR_TARGET_TIMEOUT] =
        {"late", 504, "the target did not answer in time; it may have run"},
    [ERR_TABLE] = {"table-invalid", 422, "correct the cell named"},
    [ERR_TABLE_RACE] = {"table-race", 409,
                        "loftpath show, redo the edit on the new version, "
                        "apply again"},
    [ERR_SETTING] = {"setting-invalid", 500, "see loftpathd --help"},
    [ERR_SERVICE_MISSING] = {"service-missing", 500,
                             "register the service before start"},
    [ERR_STORE_DOWN] = {"store-down", 503, "wait for the platform"},
    [ERR_STORE_UNKNOWN] = {"store-unknown", 503, "read again to learn it"},
    [ERR_STORE_CONFLICT] = {"store-conflict", 409, "read again and redo"},
    [ERR_STORE_ABSENT] = {"store-absent", 404, "create the object"},
    [ERR_STORE_RATE] = {"store-rate", 429, "wait for the rate budget"},
};

static const char *const ran_names[] = {"not-run", "ran", "may-have-run"};

static void fill_error(Err *e, ErrKind kind, int ms, const char *fmt,
                       va_list ap) {
  if (!e) return;
  assert(kind > ERR_NONE && kind < ERR_COUNT);
  e->kind = kind;
  e->ran = RAN_NOT;
  e->retry_ms = ms;
  vsnprintf(e->text, sizeof e->text, fmt, ap);
  /* It may state what a caller sent, or end inside a character. */
  text_make_utf8(e->text);
}

bool err_set(Err *e, ErrKind kind, const char *fmt, ...) {
  va_list ap;
  va_start(ap, fmt);
  fill_error(e, kind, 0, fmt, ap);
  va_end(ap);
  return false;
}

bool err_retry(Err *e, ErrKind kind, int retry_ms, const char *fmt, ...) {
  va_list ap;
  va_start(ap, fmt);
  fill_error(e, kind, retry_ms, fmt, ap);
  va_end(ap);
  return false;
}

const ErrInfo *err_info(ErrKind kind) {
  assert(kind < ERR_COUNT);
  return &error_infos[kind];
}

const char *err_ran_name(Ran ran) {
  return ran_names[ran];
}
