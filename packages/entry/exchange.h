/* exchange.h: the steps that are common to all requests: find the customer and
   the service, open the request's record, reserve tokens, wait in the queue of
   the pool, choose a target; then complete, retry or end the request. */
#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/entry.h"

typedef struct Exchange {
  Entry *entry;
  char id[80];
  EntryCustomer customer;
  EntryService service;
  char budget[LIMIT_NAME_BYTES];
  FleetRun run;
  int64_t reserved_tokens;
  uint64_t reservation; /* 0: no tokens are reserved */
  Pool *pool;
  PoolTicket ticket;
  bool has_record, in_pool;
  double started_at, sent_at, first_byte_at; /* monotonic seconds */
} Exchange;

typedef enum {
  EXCHANGE_DISPATCHED,
  EXCHANGE_REFUSED,
  EXCHANGE_REPLAY
} ExchangeStart;

/* Initialises `x` with the customer, service and budget of a request. Returns
   false with a typed error. */
bool exchange_identify(Exchange *x, Entry *e, HttpRequest *r,
                       const char *service, Err *err);
/* Opens the request's record, reserves `tokens`, waits in the queue and chooses
   a target. On EXCHANGE_REPLAY `replay` is the stored answer; its body is NULL
   if it was not stored. */
ExchangeStart exchange_start(Exchange *x, HttpRequest *r, int64_t tokens,
                             OnceAnswer *replay, Err *err);
/* After a failed dispatch, settles the tokens that it may have consumed and
   chooses another target. `ran` is RAN_NOT if no byte was sent. Returns false
   if the request may not be retried or no target is left. */
bool exchange_retry(Exchange *x, Ran ran, int64_t consumed, Err *err);
/* Records the time of the first byte of the response. */
void exchange_record_first_byte(Exchange *x);
/* Ends a request that ran and consumed `tokens`. On return other instances hold
   its bill and answer. */
void exchange_complete(Exchange *x, int64_t tokens, const OnceAnswer *answer);
/* Ends a request whose outcome is unknown or whose response was truncated. */
void exchange_end_unknown(Exchange *x, int64_t tokens);
/* Ends a request that did not run. */
void exchange_end_not_run(Exchange *x);
/* Ends a request for which no target is left. Its claim, which keeps the key
   from running twice, stays if it was sent and must not be repeated. */
void exchange_give_up(Exchange *x, Ran ran);

#endif
