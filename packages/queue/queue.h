/* queue.h: the queue of one pool, a group of targets that share it. It decides
   in which order requests are sent to the targets. The code makes no system
   calls.

   Priority classes are strict, so that interactive requests go first. Within a
   class, customers get weighted shares of tokens. A waiting request moves up
   one class at fixed intervals, so that none starves. Caps bound the requests
   and tokens of a customer and the requests of a service; a request counts from
   the time it is queued until it ends. A request whose predicted wait is over
   its limit is refused at once. docs/QUEUE.md. */
#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"

/* A request as its caller describes it. */
typedef struct QueueItem {
  uint64_t handle; /* chosen by the caller; identifies the request */
  char customer[LIMIT_NAME_BYTES];
  int class;           /* priority class, 0 to 9; 0 is served first */
  double weight;       /* the customer's share within its class */
  int64_t tokens;      /* expected number that it will use */
  double max_wait_s;   /* refused when it has waited this long */
  int concurrency_cap; /* the customer's requests, waiting or sent; 0: none */
  int64_t tokens_per_min_cap; /* the customer's tokens per minute; 0: none */
  char service[LIMIT_NAME_BYTES];
  int service_concurrency_cap; /* the service's requests, likewise */
} QueueItem;

/* The decision on a waiting request. */
typedef struct QueueDecision {
  uint64_t handle;
  ErrKind refused; /* why it is refused; ERR_NONE: it may be sent */
  int retry_ms;    /* refused: when the caller should retry */
} QueueDecision;

typedef struct Queue Queue;

Queue *queue_new(void);
void queue_free(Queue *q);
/* Queues the request and returns ERR_NONE, or refuses it and sets *retry_ms to
   the time after which the caller should retry. `now` is in seconds;
   `finished_per_s` is the number of requests that the pool finishes per
   second. */
ErrKind queue_push(Queue *q, double now, const QueueItem *item,
                   double finished_per_s, int *retry_ms);
/* Removes a request that has waited for max_wait_s (out->refused is set) or, if
   `free_slots` > 0, the next one to send. Returns false when there is
   neither. */
bool queue_pop(Queue *q, double now, int free_slots, double finished_per_s,
               QueueDecision *out);
/* Records the end of a request that was sent: it no longer counts towards the
   caps. `tokens` is the number that it used. */
void queue_done(Queue *q, const QueueItem *item, int64_t tokens);
/* Removes a waiting request whose caller has disconnected. */
void queue_cancel(Queue *q, uint64_t handle);
/* Returns the number of waiting requests. */
int queue_length(const Queue *q);
/* For benchmarks: serves in order of arrival, without classes. */
void queue_set_fifo(Queue *q, bool fifo);

#endif
