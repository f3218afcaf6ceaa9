/* holdings.h: the account of the memory that callers make an instance hold,
   with one limit for all of it: their connections, the requests that arrive,
   those that are served, and their answers. It decides whether a request may be
   served, and how much a holder weighs when something has to be dropped. Not
   for use by two threads at once. */
#ifndef KERNEL_HOLDINGS_H
#define KERNEL_HOLDINGS_H

#include <stdbool.h>
#include <stddef.h>

typedef struct Holdings Holdings;

/* What one holder has in the account; all zero: nothing. */
typedef struct Holding {
  size_t bytes;
  bool is_served; /* it can't be dropped */
} Holding;

/* A request that is served; all zero: none. */
typedef struct HoldingsRequest {
  size_t bytes;
  const char *group; /* owned by the account; NULL: it is a large one */
} HoldingsRequest;

/* Returns the limit in bytes by the settings of an instance, in megabytes:
   `given`, or if that is 0 a part of its memory. */
size_t holdings_limit_bytes(long given_mb, long memory_mb, int divisor);
/* `max_connections`: of callers, and to targets on their behalf, together. */
Holdings *holdings_new(size_t limit_bytes, int max_connections);
void holdings_free(Holdings *h);

/* What an open connection takes by itself, and a request that is served besides
   what it holds. They are larger than their buffers where connections are
   scarcer than memory. */
size_t holdings_connection_bytes(const Holdings *h);
size_t holdings_request_bytes(const Holdings *h);

/* Sets the size of the pool of the system's receive buffers; otherwise it is
   the limit. */
void holdings_set_receive_limit(Holdings *h, size_t bytes);
/* Returns the size of a caller's buffer while there are few. */
size_t holdings_caller_receive_bytes(const Holdings *h);
/* Returns the size of the next buffer, which is at most `most` or the least
   size. */
size_t holdings_receive_bytes(const Holdings *h, size_t most);
/* The same, and takes it from the pool until holdings_return_receive_bytes. */
size_t holdings_take_receive_bytes(Holdings *h, size_t most);
void holdings_return_receive_bytes(Holdings *h, size_t bytes);
/* Returns how many connections may wait to be accepted, for which the system
   holds bytes as well. */
int holdings_backlog(const Holdings *h);

/* Changes what one holder has. */
void holdings_change(Holdings *h, Holding *x, Holding now);
/* Whether something has to be dropped that is not served. */
bool holdings_is_over(const Holdings *h);
/* Returns the bytes that all holders but this one leave free. */
size_t holdings_free_bytes(const Holdings *h, const Holding *x);
/* How much there is to gain by dropping a holder: its bytes, for as long as it
   has held them without an end. */
double holdings_weight(const Holding *x, double age_s);

/* Whether a request of that size may be served now. A large one leaves room for
   smaller ones, and the smaller ones of a group (those for one service) leave
   room for those of other groups. */
bool holdings_may_serve(const Holdings *h, const char *group, size_t bytes);
/* Whether it may be served when nothing else is held. */
bool holdings_may_ever_serve(const Holdings *h, size_t bytes);
/* As holdings_may_serve, and counts a request that may be served until
   holdings_end. */
bool holdings_serve(Holdings *h, HoldingsRequest *r, const char *group,
                    size_t bytes);
void holdings_end(Holdings *h, HoldingsRequest *r);

#endif
