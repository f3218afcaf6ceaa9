/* holdings.c: sums of what is held, and the rules for what is served. */
#include "kernel/holdings.h"

#include <assert.h>
#include <glib.h>

#include "kernel/limits.h"

struct Holdings {
  size_t limit;
  size_t connection_bytes, request_bytes;
  size_t receive_limit, receiving; /* by receive buffers of the system */
  size_t used;                     /* by all holders */
  size_t droppable;                /* by those of them that are not served */
  size_t served;      /* by requests when they began to be served */
  size_t large;       /* by the large ones among them */
  GHashTable *groups; /* name -> bytes of its smaller requests (size_t) */
};

size_t holdings_limit_bytes(long given_mb, long memory_mb, int divisor) {
  if (given_mb > 0) return (size_t)given_mb << 20;
  return ((size_t)memory_mb << 20) / (size_t)divisor;
}

Holdings *holdings_new(size_t limit_bytes, int max_connections) {
  Holdings *h = g_new0(Holdings, 1);
  size_t share = limit_bytes / (size_t)MAX(max_connections, 1);
  h->limit = h->receive_limit = limit_bytes;
  h->connection_bytes = MAX(share, LIMIT_CONNECTION_BYTES);
  h->request_bytes = MAX(share, LIMIT_SERVED_REQUEST_BYTES);
  h->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return h;
}

void holdings_free(Holdings *h) {
  g_hash_table_destroy(h->groups);
  g_free(h);
}

size_t holdings_connection_bytes(const Holdings *h) {
  return h->connection_bytes;
}

size_t holdings_request_bytes(const Holdings *h) {
  return h->request_bytes;
}

/* == receive buffers == */

void holdings_set_receive_limit(Holdings *h, size_t bytes) {
  h->receive_limit = bytes;
}

static size_t round_receive_bytes(size_t bytes) {
  bytes -= bytes % LIMIT_RECEIVE_STEP_BYTES;
  return CLAMP(bytes, LIMIT_RECEIVE_BUFFER_BYTES, LIMIT_BODY_RECEIVE_BYTES);
}

size_t holdings_caller_receive_bytes(const Holdings *h) {
  return round_receive_bytes(h->receive_limit / LIMIT_RECEIVE_BUFFER_DIVISOR);
}

size_t holdings_receive_bytes(const Holdings *h, size_t most) {
  size_t left = h->receive_limit - MIN(h->receive_limit, h->receiving);
  return round_receive_bytes(MIN(most, left / LIMIT_RECEIVE_LEFT_DIVISOR));
}

size_t holdings_take_receive_bytes(Holdings *h, size_t most) {
  size_t bytes = holdings_receive_bytes(h, most);
  h->receiving += bytes;
  return bytes;
}

void holdings_return_receive_bytes(Holdings *h, size_t bytes) {
  assert(h->receiving >= bytes);
  h->receiving -= bytes;
}

int holdings_backlog(const Holdings *h) {
  size_t n = h->receive_limit / LIMIT_BACKLOG_DIVISOR /
             holdings_caller_receive_bytes(h);
  return (int)CLAMP(n, LIMIT_BACKLOG_MIN, LIMIT_BACKLOG_MAX);
}

/* == what is held == */

static void add_holding(Holdings *h, const Holding *x) {
  h->used += x->bytes;
  if (!x->is_served) h->droppable += x->bytes;
}

static void take_holding(Holdings *h, const Holding *x) {
  assert(h->used >= x->bytes);
  h->used -= x->bytes;
  if (!x->is_served) h->droppable -= x->bytes;
}

void holdings_change(Holdings *h, Holding *x, Holding now) {
  take_holding(h, x);
  *x = now;
  add_holding(h, x);
}

bool holdings_is_over(const Holdings *h) {
  return h->used > h->limit &&
         h->droppable > h->limit / LIMIT_ARRIVING_SHARE_DIVISOR;
}

size_t holdings_free_bytes(const Holdings *h, const Holding *x) {
  size_t others = h->used - x->bytes;
  return h->limit > others ? h->limit - others : 0;
}

double holdings_weight(const Holding *x, double age_s) {
  return (double)x->bytes * age_s;
}

/* == what is served == */

static bool is_large(const Holdings *h, size_t bytes) {
  return bytes > h->limit / LIMIT_LARGE_REQUEST_DIVISOR;
}

static size_t group_bytes(const Holdings *h, const char *group) {
  const size_t *n = g_hash_table_lookup(h->groups, group);
  return n ? *n : 0;
}

static size_t large_limit(const Holdings *h) {
  return h->limit - h->limit / LIMIT_SMALL_SHARE_DIVISOR;
}

bool holdings_may_ever_serve(const Holdings *h, size_t bytes) {
  return bytes <= large_limit(h);
}

bool holdings_may_serve(const Holdings *h, const char *group, size_t bytes) {
  size_t free_bytes = h->limit > h->served ? h->limit - h->served : 0;
  if (bytes > free_bytes) return false;
  if (is_large(h, bytes)) return h->large + bytes <= large_limit(h);
  return group_bytes(h, group) + bytes <= LIMIT_GROUP_FREE_RATIO * free_bytes;
}

/* Returns the account's copy of the group's name. */
static const char *add_to_group(Holdings *h, const char *group, size_t bytes) {
  gpointer name, sum;
  if (!g_hash_table_lookup_extended(h->groups, group, &name, &sum)) {
    name = g_strdup(group);
    sum = g_new0(size_t, 1);
    g_hash_table_insert(h->groups, name, sum);
  }
  *(size_t *)sum += bytes;
  return name;
}

static void take_from_group(Holdings *h, const char *group, size_t bytes) {
  size_t *sum = g_hash_table_lookup(h->groups, group);
  assert(sum && *sum >= bytes);
  *sum -= bytes;
  if (*sum == 0) g_hash_table_remove(h->groups, group);
}

bool holdings_serve(Holdings *h, HoldingsRequest *r, const char *group,
                    size_t bytes) {
  assert(r->bytes == 0 && bytes > 0);
  if (!holdings_may_serve(h, group, bytes)) return false;
  r->bytes = bytes;
  r->group = is_large(h, bytes) ? NULL : add_to_group(h, group, bytes);
  h->served += bytes;
  if (!r->group) h->large += bytes;
  return true;
}

void holdings_end(Holdings *h, HoldingsRequest *r) {
  if (r->bytes == 0) return;
  h->served -= r->bytes;
  if (r->group)
    take_from_group(h, r->group, r->bytes);
  else
    h->large -= r->bytes;
  *r = (HoldingsRequest){0};
}
