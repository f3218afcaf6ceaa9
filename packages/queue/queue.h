/* queue.h: in what order requests go to the targets of one pool; pure.

   Strict classes for what a person waits for; within a class weighted shares
   of tokens between customers; ageing, so that nothing waits for ever; caps;
   and no wait that can't be kept: a request that would wait too long is
   refused at once. docs/QUEUE.md. */
#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/err.h"
#include "kernel/limits.h"

typedef struct QueueItem {
  uint64_t handle;
  char customer[LIMIT_NAME_BYTES];
  int class;        /* 0 is served first */
  double weight;    /* share of the customer */
  int64_t tokens;   /* expected cost */
  double wait_s;    /* longest wait */
  int running_cap;  /* requests of the customer at once, 0 none */
  int64_t rate_cap; /* tokens a minute of the customer, 0 none */
  char service[LIMIT_NAME_BYTES];
  int service_cap; /* requests of the service at once, 0 none */
} QueueItem;

typedef struct QueueOut {
  uint64_t handle;
  ErrKind refused; /* ERR_NONE: its turn */
  int retry_ms;
} QueueOut;

typedef struct Queue Queue;

Queue *queue_new(void);
void queue_free(Queue *q);
/* `rate`: requests a second that the pool finishes. Either queued (ERR_NONE)
   or refused at once, with the time to come back in *retry_ms. */
ErrKind queue_push(Queue *q, double now, const QueueItem *item, double rate,
                   int *retry_ms);
/* The next request whose turn it is while `room` > 0, or one whose wait is
   over. False: nothing to do now. */
bool queue_pop(Queue *q, double now, int room, double rate, QueueOut *out);
/* A request that had its turn is over; `tokens` is what it really used. */
void queue_done(Queue *q, const QueueItem *item, int64_t tokens);
/* A waiting request went away. */
void queue_cancel(Queue *q, uint64_t handle);
int queue_length(const Queue *q);
/* Switch for measurement: first come, first served, no classes. */
void queue_plain(Queue *q, bool plain);

#endif
