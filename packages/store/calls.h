/* calls.h: counts this instance's calls to the platform's store by kind of
   object, purpose, operation and outcome. The platform charges for every call,
   refused ones included. */
#ifndef STORE_CALLS_H
#define STORE_CALLS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* What a call is made for. */
typedef enum {
  CALLS_READER, /* reads on behalf of all instances of the region */
  CALLS_SELF,   /* reads for this instance alone */
  CALLS_BUDGET, /* budgets whose home this instance is */
  CALLS_TRIAL,  /* records that one instance is trying a suspect request */
  CALLS_STREAM, /* what callers need who resume streams after a loss */
  CALLS_PURPOSE_COUNT
} CallsPurpose;

typedef enum {
  CALLS_STALE_LIST, /* a list that may be seconds old, at a lower price */
  CALLS_LIST,
  CALLS_WATCH,
  CALLS_GET,
  CALLS_CREATE,
  CALLS_PUT,
  CALLS_DELETE,
  CALLS_CONNECT, /* only opens a connection, not charged */
  CALLS_OP_COUNT
} CallsOp;

typedef enum {
  CALLS_SERVED,
  CALLS_EMPTY,            /* a watch that ended without changes */
  CALLS_CONDITION_FAILED, /* a condition did not hold, or there was no object */
  CALLS_REFUSED,          /* the store answered that it did nothing */
  CALLS_NO_ANSWER,        /* no usable answer */
  CALLS_OUTCOME_COUNT
} CallsOutcome;

typedef struct Calls Calls;

Calls *calls_new(void);
void calls_free(Calls *c);
/* Counts one finished call on objects of `kind`. `trouble`: the store had
   failed a call shortly before. */
void calls_record(Calls *c, const char *kind, CallsPurpose purpose, CallsOp op,
                  CallsOutcome outcome, bool trouble);
/* Appends the counts in the metrics' text format. */
void calls_print_metrics(const Calls *c, GString *out);
/* Returns the counts since the previous call of this function, as a list of
   [kind, purpose, op, outcome, trouble, number]; NULL: none. */
json_t *calls_take_unreported(Calls *c);

#endif
