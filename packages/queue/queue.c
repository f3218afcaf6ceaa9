/* queue.c: priority classes with aging, start-time fair queueing between
   customers, caps and bounded waits. */
#include "queue/queue.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A waiting request moves up one class each time this has passed. */
#define CLASS_AGING_S 8.0
/* Bounds on the retry time given to a caller. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 60000

/* A waiting request. */
typedef struct Item {
  QueueItem q;
  double arrived_at, deadline; /* refused if still waiting at the deadline */
  double virtual_start; /* start time in the virtual time of its class; the
                           lowest is served first */
  uint64_t seq;         /* increases in order of arrival */
} Item;

typedef struct Customer {
  char name[LIMIT_NAME_BYTES];
  double virtual_finish[10]; /* virtual finish time of its last request, by
                                class */
  int open_requests;         /* waiting or sent */
  /* Token bucket of tokens_per_min_cap. */
  double tokens, refilled_at;
  bool has_bucket; /* the bucket has been filled once */
} Customer;

struct Queue {
  GPtrArray *items;         /* Item*, in no order */
  GHashTable *customers;    /* name -> Customer */
  GHashTable *services;     /* name -> number of requests, waiting or sent, as a
                               pointer */
  double virtual_clock[10]; /* latest virtual start served, by class */
  uint64_t seq;             /* of the last item */
  bool fifo;
};

Queue *queue_new(void) {
  Queue *q = g_new0(Queue, 1);
  q->items = g_ptr_array_new_with_free_func(g_free);
  q->customers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  q->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return q;
}

void queue_free(Queue *q) {
  g_ptr_array_free(q->items, TRUE);
  g_hash_table_destroy(q->customers);
  g_hash_table_destroy(q->services);
  g_free(q);
}

void queue_set_fifo(Queue *q, bool fifo) {
  q->fifo = fifo;
}

int queue_length(const Queue *q) {
  return (int)q->items->len;
}

static Customer *find_or_add_customer(Queue *q, const char *name) {
  Customer *c = g_hash_table_lookup(q->customers, name);
  if (c) return c;
  c = g_new0(Customer, 1);
  g_strlcpy(c->name, name, sizeof c->name);
  g_hash_table_insert(q->customers, c->name, c);
  return c;
}

/* == caps == */

static int service_requests(const Queue *q, const char *service) {
  return GPOINTER_TO_INT(g_hash_table_lookup(q->services, service));
}

static void add_service_requests(Queue *q, const char *service, int change) {
  int n = MAX(service_requests(q, service) + change, 0);
  g_hash_table_insert(q->services, g_strdup(service), GINT_TO_POINTER(n));
}

static void refill_bucket(Customer *c, double now, int64_t cap) {
  if (!c->has_bucket) {
    c->has_bucket = true;
    c->tokens = (double)cap;
  } else {
    c->tokens += (now - c->refilled_at) * (double)cap / 60.0;
  }
  c->tokens = MIN(c->tokens, (double)cap);
  c->refilled_at = now;
}

static int clamp_retry_ms(double seconds) {
  return (int)CLAMP(seconds * 1000, RETRY_MIN_MS, RETRY_MAX_MS);
}

static ErrKind check_caps(const Queue *q, Customer *c, double now,
                          const QueueItem *i, int *retry_ms) {
  bool customer_full =
      i->concurrency_cap > 0 && c->open_requests >= i->concurrency_cap;
  bool service_full =
      i->service_concurrency_cap > 0 &&
      service_requests(q, i->service) >= i->service_concurrency_cap;
  if (customer_full || service_full) {
    *retry_ms = 1000;
    return ERR_CAP_REACHED;
  }
  if (i->tokens_per_min_cap <= 0) return ERR_NONE;
  refill_bucket(c, now, i->tokens_per_min_cap);
  /* A request that needs more tokens than a full bucket holds, the cap of one
     minute, is accepted when the bucket is full. */
  double need = MIN((double)i->tokens, (double)i->tokens_per_min_cap);
  if (c->tokens >= need) return ERR_NONE;
  *retry_ms =
      clamp_retry_ms((need - c->tokens) * 60 / (double)i->tokens_per_min_cap);
  return ERR_CAP_REACHED;
}

/* == ordering == */

static int aged_class(const Item *i, double now) {
  int aged = i->q.class - (int)((now - i->arrived_at) / CLASS_AGING_S);
  return MAX(aged, 0);
}

/* Whether `a` is served before `b`. */
static bool is_served_before(const Queue *q, const Item *a, const Item *b,
                             double now) {
  if (q->fifo) return a->seq < b->seq;
  int x = aged_class(a, now), y = aged_class(b, now);
  if (x != y) return x < y;
  /* Requests that moved up into the class are served before those that arrived
     in it. */
  bool aged_a = x != a->q.class, aged_b = y != b->q.class;
  if (aged_a != aged_b) return aged_a;
  if (a->virtual_start != b->virtual_start)
    return a->virtual_start < b->virtual_start;
  return a->seq < b->seq;
}

static double predicted_wait(const Queue *q, const Item *i, double now,
                             double finished_per_s) {
  int ahead = 0;
  for (guint k = 0; k < q->items->len; k++) {
    const Item *x = q->items->pdata[k];
    ahead += is_served_before(q, x, i, now);
  }
  return finished_per_s > 0 ? (ahead + 1) / finished_per_s : INFINITY;
}

ErrKind queue_push(Queue *q, double now, const QueueItem *item,
                   double finished_per_s, int *retry_ms) {
  Customer *c = find_or_add_customer(q, item->customer);
  *retry_ms = 0;
  ErrKind refused = check_caps(q, c, now, item, retry_ms);
  if (refused != ERR_NONE) return refused;
  Item *i = g_new0(Item, 1);
  i->q = *item;
  i->q.class = CLAMP(item->class, 0, 9);
  i->arrived_at = now;
  i->deadline = now + item->max_wait_s;
  i->seq = ++q->seq;
  int k = i->q.class;
  i->virtual_start = MAX(q->virtual_clock[k], c->virtual_finish[k]);
  double wait = predicted_wait(q, i, now, finished_per_s);
  if (q->items->len > 0 && wait > item->max_wait_s) {
    *retry_ms = clamp_retry_ms(wait - item->max_wait_s);
    g_free(i);
    return ERR_OVERLOADED;
  }
  c->virtual_finish[k] =
      i->virtual_start + (double)item->tokens / MAX(item->weight, 1);
  c->open_requests++;
  add_service_requests(q, item->service, 1);
  c->tokens -= (double)item->tokens;
  g_ptr_array_add(q->items, i);
  return ERR_NONE;
}

void queue_done(Queue *q, const QueueItem *item, int64_t tokens) {
  Customer *c = find_or_add_customer(q, item->customer);
  c->open_requests = MAX(c->open_requests - 1, 0);
  add_service_requests(q, item->service, -1);
  c->tokens += (double)(item->tokens - tokens);
}

static bool pop_expired(Queue *q, double now, double finished_per_s,
                        QueueDecision *out) {
  for (guint k = 0; k < q->items->len; k++) {
    Item *i = q->items->pdata[k];
    if (now < i->deadline) continue;
    out->handle = i->q.handle;
    out->refused = ERR_OVERLOADED;
    out->retry_ms =
        clamp_retry_ms(predicted_wait(q, i, now, MAX(finished_per_s, 0.1)));
    queue_done(q, &i->q, 0);
    g_ptr_array_remove_index_fast(q->items, k);
    return true;
  }
  return false;
}

bool queue_pop(Queue *q, double now, int free_slots, double finished_per_s,
               QueueDecision *out) {
  *out = (QueueDecision){0};
  /* Expired requests are refused first; otherwise, under constant load, they
     would not be refused until the queue is empty. */
  if (pop_expired(q, now, finished_per_s, out)) return true;
  guint best = 0;
  bool found = false;
  for (guint k = 0; free_slots > 0 && k < q->items->len; k++) {
    const Item *i = q->items->pdata[k];
    if (!found || is_served_before(q, i, q->items->pdata[best], now)) best = k;
    found = true;
  }
  if (!found) return false;
  Item *i = q->items->pdata[best];
  q->virtual_clock[i->q.class] =
      MAX(q->virtual_clock[i->q.class], i->virtual_start);
  out->handle = i->q.handle;
  g_ptr_array_remove_index_fast(q->items, best);
  return true;
}

void queue_cancel(Queue *q, uint64_t handle) {
  for (guint k = 0; k < q->items->len; k++) {
    Item *i = q->items->pdata[k];
    if (i->q.handle != handle) continue;
    queue_done(q, &i->q, 0);
    g_ptr_array_remove_index_fast(q->items, k);
    return;
  }
}
