/* exchange.h: the steps that every request takes, whatever it asks for:
   customer, record, reservation, turn and target; and the three ways it ends.
 */
#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/entry.h"

typedef struct Exchange {
  Entry *entry;
  char id[80];
  EntryCustomer customer;
  EntryService service;
  char budget[LIMIT_NAME];
  FleetRun run;
  int64_t reserved;
  uint64_t reservation; /* 0: nothing reserved */
  Pool *pool;
  PoolTicket ticket;
  bool began, entered;
  double started, sent, first; /* monotonic seconds */
} Exchange;

typedef enum { EXCHANGE_GO, EXCHANGE_REFUSED, EXCHANGE_REPLAY } ExchangeStart;

/* Who asks, and for what. False with a typed error. */
bool exchange_who(Exchange *x, Entry *e, HttpRequest *r, const char *service,
                  Err *err);
/* Record, reservation of `tokens`, turn and target. On EXCHANGE_REPLAY
   `replay` is the kept answer (body may be NULL: not kept). */
ExchangeStart exchange_start(Exchange *x, HttpRequest *r, int64_t tokens,
                             OnceAnswer *replay, Err *err);
/* After a dispatch that failed: settles what it may have consumed and looks
   for another target. `ran`: RAN_NOT when no byte was sent. */
bool exchange_again(Exchange *x, Ran ran, int64_t consumed, Err *err);
/* First token or answer came. */
void exchange_first(Exchange *x);
/* It ran: `tokens` consumed; bill and answer are held elsewhere on return. */
void exchange_ran(Exchange *x, int64_t tokens, const OnceAnswer *answer);
/* Its outcome is unknown or its answer was cut. */
void exchange_unknown(Exchange *x, int64_t tokens);
/* It did not run. */
void exchange_not_run(Exchange *x);
/* No target is left to try. A request that was sent and may not be repeated
   keeps its claim. */
void exchange_give_up(Exchange *x, Ran ran);

#endif
