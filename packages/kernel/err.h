/* err.h: typed errors; each kind has a remedy and an HTTP status. */
#ifndef KERNEL_ERR_H
#define KERNEL_ERR_H

#include <stdbool.h>

typedef enum {
  ERR_NONE,
  /* callers */
  ERR_MALFORMED,
  ERR_TOO_LARGE,
  ERR_HEADER_TOO_LARGE,
  ERR_TOO_SLOW,
  ERR_UNAUTHORISED,
  ERR_NO_MODEL,
  ERR_NO_SERVICE,
  ERR_NO_BUDGET,
  ERR_BUDGET_EMPTY,
  ERR_BUDGET_HELD,
  ERR_BUDGET_STORE,
  ERR_BUDGET_CUT,
  ERR_CAP_REACHED,
  ERR_OVERLOADED,
  ERR_NO_TARGET,
  ERR_STREAM_UNKNOWN,
  ERR_TARGET_FAILED,
  ERR_TARGET_CUT,
  ERR_ENDS_TARGETS,
  ERR_ON_TRIAL,
  ERR_IN_PROGRESS,
  ERR_KEY_REUSED,
  ERR_MAY_HAVE_RUN,
  ERR_CLAIM_STORE,
  ERR_BILL_STORE,
  ERR_DRAINING,
  ERR_NOT_CONFIGURED,
  ERR_LAGGING,
  ERR_NO_ROUTE,
  ERR_TARGET_TIMEOUT,
  /* operators */
  ERR_TABLE,
  ERR_TABLE_RACE,
  ERR_SETTING,
  ERR_SERVICE_MISSING,
  /* platform */
  ERR_STORE_DOWN,
  ERR_STORE_UNKNOWN, /* no answer: a write may have taken effect */
  ERR_STORE_CONFLICT,
  ERR_STORE_ABSENT,
  ERR_STORE_RATE,
  ERR_COUNT
} ErrKind;

/* Whether the request ran; each answer states it. */
typedef enum { RAN_NOT, RAN_YES, RAN_MAYBE } Ran;

typedef struct Err {
  ErrKind kind;
  Ran ran;
  int retry_ms; /* delay before a retry; 0: a retry does not help */
  char text[320];
} Err;

typedef struct ErrInfo {
  const char *name;
  int status; /* HTTP status */
  const char *remedy;
} ErrInfo;

/* Fills `e` (may be NULL) and returns false, so that callers can
   `return err_set(...)`. */
bool err_set(Err *e, ErrKind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* As err_set, with a retry delay in milliseconds. */
bool err_retry(Err *e, ErrKind kind, int retry_ms, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
const ErrInfo *err_info(ErrKind kind);
const char *err_ran_name(Ran ran);

#endif
