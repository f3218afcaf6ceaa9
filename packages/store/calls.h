/* calls.h: counts of this instance's calls to the platform's store, by what
   they were for. Every call is priced there, refused ones included. */
#ifndef STORE_CALLS_H
#define STORE_CALLS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* For whom a call is made. */
typedef enum {
  CALLS_READER, /* this instance reads for all of its region */
  CALLS_SELF,   /* it reads for itself */
  CALLS_BUDGET, /* budgets whose home it is */
  CALLS_TRIAL,  /* trials of requests */
  CALLS_PURPOSES
} CallsPurpose;

typedef enum {
  CALLS_OLD_LIST, /* may be seconds old, at a lower price */
  CALLS_LIST,
  CALLS_WATCH,
  CALLS_GET,
  CALLS_MAKE,
  CALLS_PUT,
  CALLS_DELETE,
  CALLS_KNOCK, /* a connection that is only opened: not priced */
  CALLS_OPS
} CallsOp;

typedef enum {
  CALLS_SERVED,
  CALLS_EMPTY,   /* a watch that ended without news */
  CALLS_LOST,    /* a condition that no longer held, or nothing was there */
  CALLS_REFUSED, /* the store said that nothing was done */
  CALLS_UNHEARD, /* no usable answer */
  CALLS_OUTCOMES
} CallsOutcome;

typedef struct Calls Calls;

Calls *calls_new(void);
void calls_free(Calls *c);
/* One call on objects of `kind` has ended. `trouble`: the store had failed a
   call shortly before. */
void calls_note(Calls *c, const char *kind, CallsPurpose purpose, CallsOp op,
                CallsOutcome outcome, bool trouble);
/* Appends the counts in the text format of the metrics. */
void calls_print(const Calls *c, GString *out);
/* What was counted since the last call of this: a list of
   [kind, purpose, op, outcome, trouble, number]; NULL: nothing. */
json_t *calls_news(Calls *c);

#endif
