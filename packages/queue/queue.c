/* queue.c: classes, start-time fair shares, ageing, caps, bounded waits. */
#include "queue/queue.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define AGE_S 8.0     /* a waiting request rises by a class each time */
#define RETRY_MIN 500 /* ms */
#define RETRY_MAX 60000

typedef struct Item {
  QueueItem q;
  double came, deadline;
  double start; /* virtual time at which its share is due */
  uint64_t order;
} Item;

typedef struct Customer {
  char name[LIMIT_NAME_BYTES];
  double finish[10]; /* virtual time to which each class of it is served */
  int running;
  double tokens, at; /* bucket of the rate cap; tokens left of this minute */
  bool bucket;
} Customer;

struct Queue {
  GPtrArray *items;
  GHashTable *customers;
  GHashTable *services; /* name -> requests here, as a pointer */
  double clock[10];     /* virtual time of each class */
  uint64_t order;
  bool plain;
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

void queue_plain(Queue *q, bool plain) {
  q->plain = plain;
}

int queue_length(const Queue *q) {
  return (int)q->items->len;
}

static Customer *customer(Queue *q, const char *name) {
  Customer *c = g_hash_table_lookup(q->customers, name);
  if (c) return c;
  c = g_new0(Customer, 1);
  g_strlcpy(c->name, name, sizeof c->name);
  g_hash_table_insert(q->customers, c->name, c);
  return c;
}

/* == caps == */

static int in_service(const Queue *q, const char *service) {
  return GPOINTER_TO_INT(g_hash_table_lookup(q->services, service));
}

static void count_service(Queue *q, const char *service, int change) {
  int n = MAX(in_service(q, service) + change, 0);
  g_hash_table_insert(q->services, g_strdup(service), GINT_TO_POINTER(n));
}

static void refill(Customer *c, double now, int64_t cap) {
  if (!c->bucket) {
    c->bucket = true;
    c->tokens = (double)cap;
  } else {
    c->tokens += (now - c->at) * (double)cap / 60.0;
  }
  c->tokens = MIN(c->tokens, (double)cap);
  c->at = now;
}

static int clamp_ms(double seconds) {
  return (int)CLAMP(seconds * 1000, RETRY_MIN, RETRY_MAX);
}

static ErrKind check_caps(const Queue *q, Customer *c, double now,
                          const QueueItem *i, int *retry_ms) {
  bool customer_full = i->running_cap > 0 && c->running >= i->running_cap;
  bool service_full =
      i->service_cap > 0 && in_service(q, i->service) >= i->service_cap;
  if (customer_full || service_full) {
    *retry_ms = 1000;
    return ERR_CAP_REACHED;
  }
  if (i->rate_cap <= 0) return ERR_NONE;
  refill(c, now, i->rate_cap);
  /* A request above the whole minute's cap may still run when it is full. */
  double need = MIN((double)i->tokens, (double)i->rate_cap);
  if (c->tokens >= need) return ERR_NONE;
  *retry_ms = clamp_ms((need - c->tokens) * 60 / (double)i->rate_cap);
  return ERR_CAP_REACHED;
}

/* == order == */

static int class_of(const Item *i, double now) {
  int aged = i->q.class - (int)((now - i->came) / AGE_S);
  return MAX(aged, 0);
}

/* Whether `a` goes before `b`. */
static bool before(const Queue *q, const Item *a, const Item *b, double now) {
  if (q->plain) return a->order < b->order;
  int x = class_of(a, now), y = class_of(b, now);
  if (x != y) return x < y;
  /* Aged ones go ahead of those who came into the class: oldest first. */
  bool aged_a = x != a->q.class, aged_b = y != b->q.class;
  if (aged_a != aged_b) return aged_a;
  if (a->start != b->start) return a->start < b->start;
  return a->order < b->order;
}

static double predicted_wait(const Queue *q, const Item *i, double now,
                             double rate) {
  int ahead = 0;
  for (guint k = 0; k < q->items->len; k++) {
    const Item *x = q->items->pdata[k];
    ahead += before(q, x, i, now);
  }
  return rate > 0 ? (ahead + 1) / rate : INFINITY;
}

ErrKind queue_push(Queue *q, double now, const QueueItem *item, double rate,
                   int *retry_ms) {
  Customer *c = customer(q, item->customer);
  *retry_ms = 0;
  ErrKind refused = check_caps(q, c, now, item, retry_ms);
  if (refused != ERR_NONE) return refused;
  Item *i = g_new0(Item, 1);
  i->q = *item;
  i->q.class = CLAMP(item->class, 0, 9);
  i->came = now;
  i->deadline = now + item->wait_s;
  i->order = ++q->order;
  int k = i->q.class;
  i->start = MAX(q->clock[k], c->finish[k]);
  double wait = predicted_wait(q, i, now, rate);
  if (q->items->len > 0 && wait > item->wait_s) {
    *retry_ms = clamp_ms(wait - item->wait_s);
    g_free(i);
    return ERR_OVERLOADED;
  }
  c->finish[k] = i->start + (double)item->tokens / MAX(item->weight, 1);
  c->running++;
  count_service(q, item->service, 1);
  c->tokens -= (double)item->tokens;
  g_ptr_array_add(q->items, i);
  return ERR_NONE;
}

void queue_done(Queue *q, const QueueItem *item, int64_t tokens) {
  Customer *c = customer(q, item->customer);
  c->running = MAX(c->running - 1, 0);
  count_service(q, item->service, -1);
  c->tokens += (double)(item->tokens - tokens);
}

static bool pop_expired(Queue *q, double now, double rate, QueueOut *out) {
  for (guint k = 0; k < q->items->len; k++) {
    Item *i = q->items->pdata[k];
    if (now < i->deadline) continue;
    out->handle = i->q.handle;
    out->refused = ERR_OVERLOADED;
    out->retry_ms = clamp_ms(predicted_wait(q, i, now, MAX(rate, 0.1)));
    queue_done(q, &i->q, 0);
    g_ptr_array_remove_index_fast(q->items, k);
    return true;
  }
  return false;
}

bool queue_pop(Queue *q, double now, int room, double rate, QueueOut *out) {
  *out = (QueueOut){0};
  /* Whoever can't be served any more is told first, not when all is quiet. */
  if (pop_expired(q, now, rate, out)) return true;
  guint best = 0;
  bool found = false;
  for (guint k = 0; room > 0 && k < q->items->len; k++) {
    const Item *i = q->items->pdata[k];
    if (!found || before(q, i, q->items->pdata[best], now)) best = k;
    found = true;
  }
  if (!found) return false;
  Item *i = q->items->pdata[best];
  q->clock[i->q.class] = MAX(q->clock[i->q.class], i->start);
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
