/* lease.c: drawing on budgets by conditional updates. */
#include "ledger/lease.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "conf/conf.h"

#define RATE_S 5.0        /* seconds over which the demand is averaged */
#define HOLD_S 11.0       /* a full lease covers this much demand; the users'
                             days cut the store off for up to 9 s */
#define LOW_S 8.5         /* below this much demand it is filled up */
#define OVER 2.0          /* more than this many full leases go back */
#define PACE_S 0.4        /* between calls that nobody waits for */
#define EMPTY_S 0.25      /* an empty budget is looked at this often */
#define RETRY_S 0.1       /* after a failed call, doubled up to */
#define RETRY_MOST_S 1.0
#define LEAST 2000        /* tokens; a smaller change is worth no call */

typedef struct Lease {
  char *customer;
  int64_t budget;
  /* as the store has it */
  bool known;
  uint64_t revision;
  int64_t others; /* given to all others, ended ones too */
  int64_t past;   /* of these, what ended instances spent */
  int64_t mine;   /* given to us in all */
  json_t *out;    /* instance -> tokens, ours left out */
  /* as we have it: settled + reserved + free <= mine */
  int64_t settled, reserved, free;
  int64_t need;  /* of those who wait */
  int64_t write; /* `mine` of the write in progress */
  bool busy, empty;
  double demand, demand_at; /* decaying sum of what was asked for */
  double next_at, retry_s, looked_at;
} Lease;

struct Leases {
  char *self;
  GHashTable *by_customer;
  int instances;
  bool draining;
};

static void lease_free(gpointer p) {
  Lease *l = p;
  json_decref(l->out);
  g_free(l->customer);
  g_free(l);
}

Leases *leases_new(const char *self) {
  Leases *s = g_new0(Leases, 1);
  s->self = g_strdup(self);
  s->instances = 1;
  s->by_customer = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lease_free);
  return s;
}

void leases_free(Leases *s) {
  g_hash_table_destroy(s->by_customer);
  g_free(s->self);
  g_free(s);
}

static Lease *find(const Leases *s, const char *customer) {
  return g_hash_table_lookup(s->by_customer, customer);
}

static void check(const Lease *l) {
  assert(l->free >= 0 && l->reserved >= 0 && l->settled >= 0);
  assert(l->settled + l->reserved + l->free <= l->mine);
  (void)l;
}

/* What nobody was given yet; below 0 after the budget was lowered. */
static int64_t remaining(const Lease *l) {
  return l->budget - l->others - l->mine;
}

/* What we could have free if we took all that is left. */
static int64_t at_most(const Lease *l) {
  return l->budget - l->others - l->settled - l->reserved;
}

/* A lowered budget: nothing that is free may be spent any more. */
static void hold_back(Lease *l) {
  if (l->known && remaining(l) < 0) l->free = 0;
}

void leases_budget(Leases *s, const char *customer, int64_t tokens) {
  Lease *l = find(s, customer);
  if (!l) {
    l = g_new0(Lease, 1);
    l->customer = g_strdup(customer);
    l->out = json_object();
    l->retry_s = RETRY_S;
    g_hash_table_insert(s->by_customer, l->customer, l);
  }
  if (tokens != l->budget) l->empty = false;
  l->budget = tokens;
  if (tokens != CONF_UNLIMITED) hold_back(l);
}

void leases_instances(Leases *s, int n) {
  s->instances = MAX(n, 1);
}

/* == reservations == */

static double rate(const Lease *l, double now) {
  return l->demand * exp((l->demand_at - now) / RATE_S) / RATE_S;
}

static void asked(Lease *l, double now, int64_t tokens) {
  l->demand = l->demand * exp((l->demand_at - now) / RATE_S) + (double)tokens;
  l->demand_at = now;
}

LeaseVerdict leases_reserve(Leases *s, double now, const char *customer,
                            int64_t tokens, bool again) {
  Lease *l = find(s, customer);
  if (!l || l->budget == CONF_UNLIMITED) return LEASE_OK;
  if (!again) asked(l, now, tokens);
  if (tokens <= l->free) {
    l->free -= tokens;
    l->reserved += tokens;
    check(l);
    return LEASE_OK;
  }
  bool fresh = l->empty && now - l->looked_at < EMPTY_S;
  if (fresh && tokens > at_most(l)) return LEASE_EMPTY;
  if (!l->busy && now < l->next_at && l->retry_s > RETRY_S) return LEASE_STORE;
  l->need += tokens;
  return LEASE_WAIT;
}

void leases_settle(Leases *s, const char *customer, int64_t tokens,
                   int64_t used) {
  Lease *l = find(s, customer);
  if (!l || l->reserved < tokens) return; /* taken while there was no budget */
  used = CLAMP(used, 0, tokens);
  l->reserved -= tokens;
  l->settled += used;
  l->free += tokens - used;
  hold_back(l);
  check(l);
}

void leases_forget(Leases *s, const char *customer, int64_t tokens) {
  Lease *l = find(s, customer);
  if (l) l->need = MAX(0, l->need - tokens);
}

/* == calls == */

/* What should be free after the next write. */
static int64_t aim(const Leases *s, const Lease *l, double now) {
  if (s->draining) return 0;
  int64_t left = at_most(l);
  if (left <= 0) return 0;
  int64_t need = MIN(l->need, left);
  int64_t want = (int64_t)(rate(l, now) * HOLD_S);
  /* Near its end a budget is shared out in ever smaller pieces. */
  int64_t fair = (left - need) / (s->instances + 1);
  return need + MIN(want, fair);
}

static bool due(const Leases *s, const Lease *l, double now, int64_t to) {
  if (l->busy || now < l->next_at) return false;
  bool paced = now - l->looked_at > PACE_S;
  bool low = (double)l->free < rate(l, now) * LOW_S;
  if (l->need > 0) return true;
  if (!l->known) return paced && low && l->settled > 0;
  if (s->draining) return l->mine > l->settled + l->reserved;
  int64_t drift = l->mine - l->settled - l->reserved - l->free;
  if (!paced) return false;
  if (drift > LEAST) return true; /* held back or lost: it can be given back */
  if ((double)l->free > OVER * (double)to + LEAST) return true;
  return low && to > l->free + LEAST;
}

static json_t *content(const Leases *s, const Lease *l) {
  json_t *out = json_copy(l->out);
  json_object_set_new(out, s->self, json_integer(l->write));
  return json_pack("{s:o,s:I}", "out", out, "past", (json_int_t)l->past);
}

static void start_write(const Leases *s, Lease *l, int64_t to, LeaseCall *c) {
  if (to < l->free) l->free = to; /* not to be spent, whatever comes of the write */
  l->write = l->settled + l->reserved + to;
  c->kind = LEASE_WRITE;
  c->revision = l->revision;
  c->content = content(s, l);
}

bool leases_call(Leases *s, double now, LeaseCall *c) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_customer);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Lease *l = v;
    if (l->budget == CONF_UNLIMITED) continue;
    int64_t to = l->known ? aim(s, l, now) : 0;
    if (!due(s, l, now, to)) continue;
    l->busy = true;
    l->looked_at = now;
    c->customer = l->customer;
    if (l->known)
      start_write(s, l, to, c);
    else
      *c = (LeaseCall){.kind = LEASE_READ, .customer = l->customer};
    return true;
  }
  return false;
}

/* == results == */

/* Takes the object as the store has it. */
static void learn(const Leases *s, Lease *l, uint64_t revision, json_t *o) {
  json_t *out = json_object_get(o, "out"), *v;
  const char *id;
  l->revision = revision;
  l->past = json_integer_value(json_object_get(o, "past"));
  l->others = l->past;
  json_object_clear(l->out);
  json_object_foreach(out, id, v) {
    if (strcmp(id, s->self) == 0) continue;
    l->others += json_integer_value(v);
    json_object_set(l->out, id, v);
  }
  int64_t mine = json_integer_value(json_object_get(out, s->self));
  int64_t committed = l->settled + l->reserved;
  /* A write of ours whose answer was lost may have given more or less. */
  l->free = CLAMP(l->free, 0, MAX(0, mine - committed));
  l->mine = mine;
  l->known = true;
}

static void failed(Lease *l, double now, ErrKind kind) {
  l->next_at = now + l->retry_s;
  l->retry_s = MIN(l->retry_s * 2, RETRY_MOST_S);
  /* Whether a write took effect is learned by reading. */
  if (kind == ERR_STORE_UNKNOWN || kind == ERR_STORE_ABSENT) l->known = false;
}

static void wrote(Lease *l, uint64_t revision) {
  int64_t committed = l->settled + l->reserved;
  l->revision = revision;
  l->mine = l->write;
  l->free = MAX(0, l->mine - committed);
}

void leases_result(Leases *s, double now, const char *customer, ErrKind kind,
                   uint64_t revision, json_t *o) {
  Lease *l = find(s, customer);
  if (!l) return;
  bool was_read = !l->known;
  l->busy = false;
  l->need = 0; /* those who wait ask again */
  bool absent = kind == ERR_STORE_ABSENT && was_read;
  if (kind != ERR_NONE && kind != ERR_STORE_CONFLICT && !absent) {
    failed(l, now, kind);
    return;
  }
  l->retry_s = RETRY_S;
  l->next_at = 0;
  if (kind == ERR_NONE && !was_read)
    wrote(l, revision);
  else
    learn(s, l, absent ? 0 : revision, o);
  hold_back(l);
  l->looked_at = now;
  l->empty = kind == ERR_NONE && !was_read && remaining(l) <= LEAST;
}

/* == stopping, state == */

void leases_drain(Leases *s) {
  s->draining = true;
}

bool leases_drained(const Leases *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_customer);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Lease *l = v;
    bool limited = l->budget != CONF_UNLIMITED && l->known;
    if (l->busy || (limited && l->mine > l->settled + l->reserved)) return false;
  }
  return true;
}

LeaseState leases_state(const Leases *s, const char *customer) {
  const Lease *l = find(s, customer);
  if (!l) return (LeaseState){.budget = CONF_UNLIMITED};
  return (LeaseState){.budget = l->budget,
                      .free = l->free,
                      .reserved = l->reserved,
                      .settled = l->settled,
                      .given = l->others + l->mine};
}
