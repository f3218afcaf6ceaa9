/* queue.h: the order in which requests go to the targets of one pool (a group
   of targets that share a queue). The code makes no calls to the system.

   Priority classes are strict, so that interactive requests go first. Within a
   class, customers get weighted shares of tokens. A waiting request rises by a
   class at intervals, so that none starves. Caps bound the requests and tokens
   of a customer and the requests of a service. A request whose predicted wait
   is over its limit is refused at once. docs/QUEUE.md. */
#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"

typedef struct QueueItem {
  uint64_t handle;
  char customer[LIMIT_NAME_BYTES];
  int class;         /* 0 is served first */
  double weight;     /* the customer's share within its class */
  int64_t tokens;    /* expected number */
  double max_wait_s; /* refused when it has waited this long */
  int running_cap;   /* concurrent requests of the customer; 0: no cap */
  int64_t rate_cap;  /* the customer's tokens per minute; 0: no cap */
  char service[LIMIT_NAME_BYTES];
  int service_cap; /* concurrent requests of the service; 0: no cap */
} QueueItem;

typedef struct QueueDecision {
  uint64_t handle;
  ErrKind refused; /* ERR_NONE: the request may be sent */
  int retry_ms;
} QueueDecision;

typedef struct Queue Queue;

Queue *queue_new(void);
void queue_free(Queue *q);
/* Queues the request and returns ERR_NONE, or refuses it and sets *retry_ms to
   the time after which the caller should retry. `rate` is the number of
   requests per second that the pool finishes. */
ErrKind queue_push(Queue *q, double now, const QueueItem *item, double rate,
                   int *retry_ms);
/* Removes a request whose wait has expired (out->refused is set) or, while
   `room` > 0, the next one to send. Returns false when there is neither. */
bool queue_pop(Queue *q, double now, int room, double rate, QueueDecision *out);
/* Releases a request that was sent and has ended; `tokens` is the number that
   it used. */
void queue_done(Queue *q, const QueueItem *item, int64_t tokens);
/* Removes a waiting request whose caller has disconnected. */
void queue_cancel(Queue *q, uint64_t handle);
int queue_length(const Queue *q);
/* For benchmarks: serves in order of arrival, without classes. */
void queue_set_fifo(Queue *q, bool fifo);

#endif
