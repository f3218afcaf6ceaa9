/* allocation.c: capacity by what targets read, max-min division by tokens. */
#include "route/allocation.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Time constant of the smoothing of demand; see allocation.h. */
#define SMOOTHING_S 1.0
/* The same for the cutoff of a customer that is above its share. With
   SMOOTHING_S alone too much of a flood is admitted in its first second: with 3
   and 86 instances 0.946 and 0.949 of the quiet customers' requests were on
   time in tests/test_allocation.c, instead of 0.977 and 0.953. */
#define LATELY_S 0.4
/* Between reports, as answers state it. An allocator of a small instance has to
   take the reports of the whole fleet: with 350 instances 100 reports per
   second of 85 bytes in calm, 700 while the waits grow or the service is short.
 */
#define CALM_INTERVAL_S 0.5
#define CALM_INTERVAL_PER_INSTANCE_S 0.01
#define BUSY_INTERVAL_S 0.25
#define BUSY_INTERVAL_LARGE_S 0.5 /* from LARGE_INSTANCES on */
#define LARGE_INSTANCES 100
/* Reports are requested more often when the mean expected wait exceeds this
   part of the objective, and until it has not for WATCH_S. */
#define WATCH_WAIT_RATIO 0.25
#define WATCH_S 2.0
/* A reporter is forgotten after this many intervals: one report may be lost. */
#define REPORTER_MAX_INTERVALS 2.5
/* Cutoffs sent to all instances together, in bytes per second, and the least of
   one answer. A row takes 12 bytes. */
#define CUTOFF_BYTES_PER_S 65536.0
#define CUTOFF_BYTES 12
#define MIN_CUTOFFS 8
/* Without reports for this long, the state is out of date: the allocator was
   frozen or cut off, or another one has taken over. */
#define EXPIRY_S 3.0
/* Nothing is divided before reports have arrived for this long: each instance
   reports at least once within it. */
#define WARM_UP_S 0.5
/* Part of the objective that the mean expected wait may take. */
#define WAIT_RATIO 0.5
/* Capacity as a part of what was read, so that the queue gets shorter. */
#define READ_WINDOW_S 1.0 /* of the count of read tokens */
#define READ_RATIO 0.95
/* Within this time the wait beyond WAIT_RATIO of the objective is to be gone,
   but not by more than a part of what is read. With READ_RATIO alone a queue
   of 1.6 s stayed for the ten seconds of a flood, in a trial with three real
   instances without admission by lateness. With half of what is read, urgent
   requests were rejected while engines had only long ones waiting. */
#define DRAIN_S 1.0
#define MAX_DRAIN_RATIO 0.15
#define GROWTH 1.1      /* of the capacity, in a step without overload */
#define AMPLE_RATIO 1.2 /* capacity / demand at which it is ample */
#define AMPLE_S 2.0     /* for this long, until a service is not short */
/* Least capacity as a part of the rates at which the targets read. Without any
   requests, targets that have stalled could not show that they read again. */
#define MIN_CAPACITY_RATIO 0.1
/* Customers whose demand has decayed to less are forgotten. */
#define FORGET_PER_S 1.0
/* Customers of one service; the demand of more counts without a customer. The
   fleet is to have 990 in two years. */
#define MAX_CUSTOMERS 4096
/* Priorities of one customer; a customer has those of its routes. */
#define MAX_PRIORITIES ALLOCATION_ROUTE_PRIORITIES
/* Largest plausible values. Engines read up to 200,000 tokens per second. */
#define MAX_TARGETS 100000
#define MAX_READ_PER_TARGET_S 1e6
#define MAX_TOKENS_PER_S 1e9
#define MAX_WAIT_S 600.0
#define MAX_REJECTED 1e6
#define MIN_PERIOD_S 0.01
#define MAX_PERIOD_S 5.0
/* From when retries may return while none is free: not before the next
   division can know more. */
#define NO_RETRIES_S 1.0

typedef struct Row {
  int priority;
  double new_asked, new_admitted; /* tokens since the last step */
  double asked, admitted;         /* tokens per second, smoothed */
  double asked_lately;            /* the same over LATELY_S */
} Row;

typedef struct Customer {
  uint64_t hash;
  int n;
  Row rows[MAX_PRIORITIES]; /* by priority, most urgent first */
  double asked;             /* sum over rows, at the last step */
  double share, cutoff;     /* INFINITY: not held back */
} Customer;

typedef struct Reporter {
  double at;
  uint64_t number; /* of its last report */
  int targets;
  double wait_s, reading_per_s, read_per_s;
  double new_rejected, rejected_per_s; /* as in Row */
} Reporter;

struct Allocation {
  uint64_t service;
  double objective_s;
  GHashTable *customers; /* hash -> Customer, which holds its key */
  GHashTable *reporters; /* hash of an id -> Reporter */
  Row rest;              /* demand without a customer */
  double new_promised;
  double rejected_per_s, promised_per_s; /* smoothed; of all reporters */
  double first_at, last_at;              /* reports; 0: none */
  double step_at;
  /* Smoothed rates start at 0 with the first report; this part of the true ones
     is in them. */
  double known;
  double capacity, demand; /* tokens per second; demand at the last step */
  double wait_s;           /* mean expected wait at the last step */
  double reading_per_s, read_per_s; /* sums over targets, at the last step */
  int targets;
  bool is_short, watching;
  double watched_since, watched_until;
  double overloaded_since; /* 0: the targets are not */
  double ample_since;      /* 0: the capacity is not ample */
  double retries_per_s;    /* of all instances; 0: unknown */
  int held;
  int n_cutoffs;
  AllocationCutoff cutoffs[ALLOCATION_MAX_CUTOFFS];
};

bool allocation_is_valid(double value, double max) {
  return isfinite(value) && value >= 0 && value <= max;
}

Allocation *allocation_new(uint64_t service) {
  Allocation *a = g_new0(Allocation, 1);
  a->service = service;
  a->customers =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  a->reporters =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return a;
}

void allocation_free(Allocation *a) {
  g_hash_table_destroy(a->customers);
  g_hash_table_destroy(a->reporters);
  g_free(a);
}

void allocation_set_objective(Allocation *a, double seconds) {
  a->objective_s = seconds;
}

/* == reports == */

static bool head_is_valid(const AllocationDemand *m) {
  double max_read = m->targets * MAX_READ_PER_TARGET_S;
  return m->period_s >= MIN_PERIOD_S &&
         allocation_is_valid(m->period_s, MAX_PERIOD_S) && m->targets >= 0 &&
         m->targets <= MAX_TARGETS &&
         allocation_is_valid(m->reading_per_s, max_read) &&
         allocation_is_valid(m->read_per_s, max_read) &&
         allocation_is_valid(m->wait_s, m->targets * MAX_WAIT_S) &&
         allocation_is_valid(m->rejected, MAX_REJECTED) &&
         allocation_is_valid(m->promised, m->rejected) &&
         allocation_is_valid(m->rest_asked, MAX_TOKENS_PER_S) &&
         allocation_is_valid(m->rest_admitted, m->rest_asked) && m->n >= 0 &&
         m->n <= ALLOCATION_MAX_ROWS;
}

static bool row_is_valid(const AllocationRow *r) {
  return r->priority >= 0 && r->priority < ALLOCATION_PRIORITY_LIMIT &&
         allocation_is_valid(r->asked, MAX_TOKENS_PER_S) &&
         allocation_is_valid(r->admitted, r->asked);
}

/* Returns the customer's row of a priority, which it inserts in order. If the
   customer has MAX_PRIORITIES others, the nearest more urgent one counts. */
static Row *ensure_row(Customer *c, int priority) {
  int i = 0;
  while (i < c->n && c->rows[i].priority < priority) i++;
  if (i < c->n && c->rows[i].priority == priority) return &c->rows[i];
  if (c->n == MAX_PRIORITIES) return &c->rows[MAX(i - 1, 0)];
  for (int k = c->n; k > i; k--) c->rows[k] = c->rows[k - 1];
  c->n++;
  c->rows[i] = (Row){.priority = priority};
  return &c->rows[i];
}

static Row *row_of(Allocation *a, const AllocationRow *m) {
  Customer *c = g_hash_table_lookup(a->customers, &m->customer);
  if (!c && g_hash_table_size(a->customers) >= MAX_CUSTOMERS) return &a->rest;
  if (!c) {
    c = g_new0(Customer, 1);
    c->hash = m->customer;
    c->cutoff = INFINITY;
    g_hash_table_insert(a->customers, &c->hash, c);
  }
  return ensure_row(c, m->priority);
}

static Reporter *ensure_reporter(Allocation *a, uint64_t from) {
  Reporter *r = g_hash_table_lookup(a->reporters, &from);
  if (r) return r;
  r = g_new0(Reporter, 1);
  g_hash_table_insert(a->reporters, g_memdup2(&from, sizeof from), r);
  return r;
}

/* Adds the tokens of a report's period. */
static void add_tokens(Row *r, double asked, double admitted, double period_s) {
  r->new_asked += asked * period_s;
  r->new_admitted += admitted * period_s;
}

static int apply_rows(Allocation *a, const AllocationDemand *m,
                      double period_s) {
  int invalid = 0;
  for (int i = 0; i < m->n; i++) {
    const AllocationRow *r = &m->rows[i];
    if (row_is_valid(r))
      add_tokens(row_of(a, r), r->asked, r->admitted, period_s);
    else
      invalid++;
  }
  add_tokens(&a->rest, m->rest_asked, m->rest_admitted, period_s);
  return invalid;
}

/* The period for which a report's rates are added. After a long one, when all
   instances report at once because the waits grow, whole periods would add up
   to more than is asked for now. */
static double counted_period(double period_s) {
  double recent = SMOOTHING_S * (1 - exp(-period_s / SMOOTHING_S));
  return MIN(period_s, MAX(recent, CALM_INTERVAL_S));
}

int allocation_receive(Allocation *a, double now, uint64_t from,
                       const AllocationDemand *m) {
  if (!head_is_valid(m)) return 1;
  Reporter *r = ensure_reporter(a, from);
  if (m->number <= r->number && r->number != 0) return 0;
  if (a->first_at == 0) a->first_at = now;
  a->last_at = now;
  r->at = now;
  r->number = m->number;
  r->targets = m->targets;
  r->wait_s = m->wait_s;
  r->reading_per_s = m->reading_per_s;
  r->read_per_s = m->read_per_s;
  double period_s = counted_period(m->period_s);
  r->new_rejected += m->rejected * period_s / m->period_s;
  a->new_promised += m->promised * period_s / m->period_s;
  return apply_rows(a, m, period_s);
}

/* == a step == */

/* The time since the last step, and what it does to smoothed rates. */
typedef struct Past {
  double s, keep, keep_lately; /* parts of the old rates that are kept */
} Past;

static void smooth(double *rate, double added, double seconds, double keep) {
  *rate = *rate * keep + added / seconds * (1 - keep);
}

static void smooth_row(Row *r, const Past *past) {
  smooth(&r->asked, r->new_asked, past->s, past->keep);
  smooth(&r->admitted, r->new_admitted, past->s, past->keep);
  smooth(&r->asked_lately, r->new_asked, past->s, past->keep_lately);
  r->new_asked = r->new_admitted = 0;
}

static void smooth_customers(Allocation *a, const Past *past) {
  GHashTableIter it;
  gpointer v;
  smooth_row(&a->rest, past);
  a->demand = a->rest.asked;
  g_hash_table_iter_init(&it, a->customers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Customer *c = v;
    c->asked = 0;
    c->cutoff = INFINITY;
    for (int i = 0; i < c->n; i++) {
      smooth_row(&c->rows[i], past);
      c->asked += c->rows[i].asked;
    }
    a->demand += c->asked;
    if (c->asked < FORGET_PER_S) g_hash_table_iter_remove(&it);
  }
}

/* == intervals between reports == */

static double calm_interval_s(const Allocation *a) {
  double s = g_hash_table_size(a->reporters) * CALM_INTERVAL_PER_INSTANCE_S;
  return CLAMP(s, CALM_INTERVAL_S, MAX_PERIOD_S);
}

static double busy_interval_s(int instances) {
  return instances >= LARGE_INSTANCES ? BUSY_INTERVAL_LARGE_S : BUSY_INTERVAL_S;
}

static double stated_interval_s(const Allocation *a) {
  if (!a->watching) return calm_interval_s(a);
  return busy_interval_s((int)g_hash_table_size(a->reporters));
}

double allocation_report_interval_s(const AllocationPace *p) {
  bool stated = p->stated_s > 0;
  double interval_s = stated ? p->stated_s : CALM_INTERVAL_S;
  bool busy = p->rejected || p->wait_s > WAIT_RATIO * p->objective_s;
  if (busy) interval_s = MIN(interval_s, busy_interval_s(p->instances));
  return MAX(interval_s, BUSY_INTERVAL_S);
}

/* Returns whether reports are requested more often from now on. */
static bool update_watch(Allocation *a, double now) {
  bool was_watching = a->watching;
  if (a->is_short || a->wait_s > WATCH_WAIT_RATIO * a->objective_s)
    a->watched_until = now + WATCH_S;
  a->watching = now < a->watched_until;
  if (a->watching && !was_watching) a->watched_since = now;
  return a->watching && !was_watching;
}

/* Whether the demand is known well enough for a division. */
static bool knows_demand(const Allocation *a, double now) {
  if (calm_interval_s(a) <= CALM_INTERVAL_S) return true;
  return a->watching && now - a->watched_since >= WARM_UP_S;
}

/* Sums over the reporting instances and their targets. */
static void sum_reporters(Allocation *a, double now, const Past *past) {
  GHashTableIter it;
  gpointer v;
  double wait = 0;
  double interval_s = a->watching ? CALM_INTERVAL_S : calm_interval_s(a);
  double max_age_s = interval_s * REPORTER_MAX_INTERVALS;
  a->targets = 0;
  a->reading_per_s = a->read_per_s = a->rejected_per_s = 0;
  g_hash_table_iter_init(&it, a->reporters);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Reporter *r = v;
    smooth(&r->rejected_per_s, r->new_rejected, past->s, past->keep);
    r->new_rejected = 0;
    if (now - MAX(r->at, a->watching ? a->watched_since : 0) > max_age_s) {
      g_hash_table_iter_remove(&it);
      continue;
    }
    a->rejected_per_s += r->rejected_per_s;
    a->targets += r->targets;
    a->reading_per_s += r->reading_per_s;
    a->read_per_s += r->read_per_s;
    wait += r->wait_s;
  }
  a->wait_s = a->targets > 0 ? wait / a->targets : 0;
}

static double admitted_per_s(const Allocation *a) {
  GHashTableIter it;
  gpointer v;
  double sum = a->rest.admitted;
  g_hash_table_iter_init(&it, a->customers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Customer *c = v;
    for (int i = 0; i < c->n; i++) sum += c->rows[i].admitted;
  }
  return sum;
}

/* Returns the capacity of overloaded targets. The tokens that they read in the
   last second are too few where they were not overloaded for all of it: six
   engines of real processes that had just started at half of their load had
   read 33,000 of 57,000 tokens; and cutoffs that were set by one moment of
   waiting lowered what is read, and so the next capacity. Until a second is
   over, the rates at which they read count as well, and the capacity of a short
   service falls by 5% a step only. The rates are too high where slots limit the
   targets, so they do not count for longer. */
static double overloaded_capacity(const Allocation *a, double now) {
  double read = a->read_per_s * READ_RATIO;
  bool whole = now - a->overloaded_since >= READ_WINDOW_S;
  if (!whole && !a->is_short) return MAX(read, a->reading_per_s);
  if (!whole) return MIN(a->capacity, MAX(read, a->capacity * READ_RATIO));
  double excess_s = a->wait_s - WAIT_RATIO * a->objective_s;
  double drained = MAX(excess_s, 0) / DRAIN_S * a->reading_per_s;
  return read - MIN(drained, a->read_per_s * MAX_DRAIN_RATIO);
}

/* The targets are overloaded when they have to wait for too long, or are about
   to: no target reads faster than its rate. The demand of a short service says
   nothing about its queues, because cutoffs hold it back: counted there, any
   wait made the capacity what was read, which fell with the cutoffs to half of
   what the targets could read. */
static bool update_overloaded(Allocation *a, double now) {
  bool overloaded = a->wait_s > WAIT_RATIO * a->objective_s;
  bool growing = !a->is_short &&
                 a->wait_s > WATCH_WAIT_RATIO * a->objective_s &&
                 a->demand > a->reading_per_s;
  overloaded = a->targets > 0 && (overloaded || growing);
  if (!overloaded) a->overloaded_since = 0;
  if (overloaded && a->overloaded_since == 0) a->overloaded_since = now;
  return overloaded;
}

/* Returns the growth of the capacity in a step: GROWTH up to WATCH_WAIT_RATIO
   of the objective, less the closer the wait is to WAIT_RATIO of it. Growing at
   GROWTH until then overshoots by the requests that are on their way: 0.92
   instead of 0.96 of quiet customers' requests were on time beside a flood. */
static double growth(const Allocation *a) {
  double limit_s = WAIT_RATIO * a->objective_s;
  double watch_s = WATCH_WAIT_RATIO * a->objective_s;
  if (limit_s <= watch_s) return 1;
  double slack = CLAMP((limit_s - a->wait_s) / (limit_s - watch_s), 0, 1);
  return 1 + (GROWTH - 1) * slack;
}

/* While targets are overloaded, the capacity is what they read. Otherwise it
   grows until it is ample, and stays so when the demand falls for a moment. */
static void update_capacity(Allocation *a, double now, bool overloaded) {
  double ample = AMPLE_RATIO * a->demand;
  if (overloaded)
    a->capacity = overloaded_capacity(a, now);
  else if (!a->is_short)
    a->capacity = ample;
  else if (a->capacity < ample)
    a->capacity = MIN(a->capacity * growth(a), ample);
  a->capacity = MAX(a->capacity, MIN_CAPACITY_RATIO * a->reading_per_s);
}

static bool update_short(Allocation *a, double now, bool overloaded) {
  bool was_short = a->is_short;
  bool ample = !overloaded && a->capacity >= AMPLE_RATIO * a->demand;
  if (overloaded && a->demand > a->capacity && knows_demand(a, now))
    a->is_short = true;
  if (!ample) a->ample_since = 0;
  if (ample && a->ample_since == 0) a->ample_since = now;
  if (ample && now - a->ample_since >= AMPLE_S) a->is_short = false;
  return a->is_short != was_short;
}

/* == division == */

static int class_of(const Customer *c) {
  return c->rows[0].priority / ALLOCATION_ROUTE_PRIORITIES;
}

/* Better customers first, then by demand. */
static int compare_by_class(const void *x, const void *y) {
  const Customer *a = *(Customer *const *)x, *b = *(Customer *const *)y;
  if (class_of(a) != class_of(b)) return class_of(a) < class_of(b) ? -1 : 1;
  if (a->asked != b->asked) return a->asked < b->asked ? -1 : 1;
  return (a->hash > b->hash) - (a->hash < b->hash);
}

static int compare_by_excess(const void *x, const void *y) {
  const Customer *a = *(Customer *const *)x, *b = *(Customer *const *)y;
  double ea = a->asked - a->share, eb = b->asked - b->share;
  if (ea != eb) return ea > eb ? -1 : 1;
  return (a->hash > b->hash) - (a->hash < b->hash);
}

/* Divides `left` between customers of one class, which are sorted by demand:
   each gets what it asks for, or an equal part of what is left. */
static double divide_class(Customer **list, int n, double left) {
  for (int i = 0; i < n; i++) {
    list[i]->share = MIN(list[i]->asked, left / (n - i));
    left -= list[i]->share;
  }
  return MAX(left, 0);
}

static void divide(Customer **list, int n, double left) {
  for (int i = 0; i < n;) {
    int end = i;
    while (end < n && class_of(list[end]) == class_of(list[i])) end++;
    left = divide_class(&list[i], end - i, left);
    i = end;
  }
}

static double cutoff_of(const Customer *c) {
  double left = c->share;
  for (int i = 0; i < c->n; i++) {
    const Row *r = &c->rows[i];
    double asked = MAX(r->asked, r->asked_lately);
    if (asked > left) return r->priority + left / asked;
    left -= asked;
  }
  return c->rows[c->n - 1].priority + 1;
}

/* Sets the cutoffs of the customers that are furthest above their share. */
static void set_cutoffs(Allocation *a, Customer **list, int n) {
  int held = 0;
  for (int i = 0; i < n; i++) {
    if (list[i]->share >= list[i]->asked) continue;
    list[i]->cutoff = cutoff_of(list[i]);
    list[held++] = list[i];
  }
  qsort(list, (size_t)held, sizeof(Customer *), compare_by_excess);
  a->held = held;
  a->n_cutoffs = MIN(held, ALLOCATION_MAX_CUTOFFS);
  for (int i = 0; i < a->n_cutoffs; i++)
    a->cutoffs[i] = (AllocationCutoff){list[i]->hash, list[i]->cutoff};
}

/* No target reads faster than its rate: the capacity may grow beyond the rates
   while the queues that it causes are still on their way. */
static double divided_capacity(const Allocation *a) {
  if (a->reading_per_s <= 0) return a->capacity;
  return MIN(a->capacity, a->reading_per_s * READ_RATIO);
}

/* Demand without a customer can't be held back, so it is served first. */
static void update_division(Allocation *a) {
  int n = 0;
  a->held = a->n_cutoffs = 0;
  if (!a->is_short || a->demand <= a->capacity) return;
  Customer **list = g_new(Customer *, g_hash_table_size(a->customers));
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, a->customers);
  while (g_hash_table_iter_next(&it, NULL, &v)) list[n++] = v;
  qsort(list, (size_t)n, sizeof(Customer *), compare_by_class);
  divide(list, n, MAX(divided_capacity(a) * a->known - a->rest.asked, 0));
  set_cutoffs(a, list, n);
  g_free(list);
}

/* Retries may take the capacity that neither the admitted demand nor the
   retries already promised take. A returning retry counts in both for a moment,
   so the rate is rather too low. */
static void update_retries(Allocation *a) {
  double admitted = admitted_per_s(a) / a->known;
  double refused_tokens = a->demand - admitted;
  a->retries_per_s = 0;
  if (!a->is_short || a->rejected_per_s <= 0 || refused_tokens <= 0) return;
  double tokens = refused_tokens * a->known / a->rejected_per_s; /* of one */
  double promised = a->promised_per_s / a->known * tokens;
  double free = a->capacity - admitted - promised;
  a->retries_per_s = MAX(free / tokens, ALLOCATION_MIN_RETRIES_PER_S);
}

static Past take_past(Allocation *a, double now) {
  Past p = {.s = a->step_at > 0 ? now - a->step_at : ALLOCATION_STEP_S};
  p.keep = exp(-p.s / SMOOTHING_S);
  p.keep_lately = exp(-p.s / LATELY_S);
  a->known = a->known * p.keep + 1 - p.keep;
  a->step_at = now;
  return p;
}

AllocationChange allocation_step(Allocation *a, double now) {
  if (a->first_at == 0 || now - a->step_at < ALLOCATION_STEP_S)
    return ALLOCATION_SAME;
  Past past = take_past(a, now);
  smooth_customers(a, &past);
  sum_reporters(a, now, &past);
  smooth(&a->promised_per_s, a->new_promised, past.s, past.keep);
  a->new_promised = 0;
  bool watched = update_watch(a, now);
  if (now - a->first_at < WARM_UP_S)
    return watched ? ALLOCATION_WATCHED : ALLOCATION_SAME;
  a->demand /= a->known;
  bool overloaded = update_overloaded(a, now);
  update_capacity(a, now, overloaded);
  bool changed = update_short(a, now, overloaded);
  update_division(a);
  update_retries(a);
  if (changed) return a->is_short ? ALLOCATION_SHORT : ALLOCATION_AMPLE;
  return watched ? ALLOCATION_WATCHED : ALLOCATION_SAME;
}

/* == answers == */

static double retries_of(const Allocation *a, const Reporter *r) {
  if (a->retries_per_s <= 0 || a->rejected_per_s <= 0) return 0;
  double part = MIN(r->rejected_per_s / a->rejected_per_s, 1);
  return MAX(a->retries_per_s * part, ALLOCATION_MIN_RETRIES_PER_S);
}

static int max_cutoffs(const Allocation *a) {
  double bytes = CUTOFF_BYTES_PER_S * stated_interval_s(a) /
                 g_hash_table_size(a->reporters);
  return (int)CLAMP(bytes / CUTOFF_BYTES, MIN_CUTOFFS, ALLOCATION_MAX_CUTOFFS);
}

static void add_cutoff(AllocationAnswer *out, int max, uint64_t customer,
                       double cutoff) {
  if (out->n >= max) return;
  for (int i = 0; i < out->n; i++)
    if (out->cutoffs[i].customer == customer) return;
  out->cutoffs[out->n++] = (AllocationCutoff){customer, cutoff};
}

static void add_cutoffs(const Allocation *a, const AllocationDemand *m,
                        AllocationAnswer *out) {
  int max = max_cutoffs(a);
  for (int i = 0; m && i < m->n && a->held > max; i++) {
    const Customer *c = g_hash_table_lookup(a->customers, &m->rows[i].customer);
    if (c && isfinite(c->cutoff)) add_cutoff(out, max, c->hash, c->cutoff);
  }
  for (int i = 0; i < a->n_cutoffs; i++)
    add_cutoff(out, max, a->cutoffs[i].customer, a->cutoffs[i].cutoff);
}

void allocation_answer(const Allocation *a, double now, uint64_t from,
                       const AllocationDemand *m, AllocationAnswer *out) {
  const Reporter *r = g_hash_table_lookup(a->reporters, &from);
  *out = (AllocationAnswer){.service = a->service, .is_short = a->is_short};
  if (!r) return;
  out->number = r->number;
  out->age_s = a->step_at > 0 ? now - a->step_at : 0;
  out->report_s = stated_interval_s(a);
  out->retries_per_s = retries_of(a, r);
  if (out->retries_per_s > 0 &&
      a->retries_per_s <= ALLOCATION_MIN_RETRIES_PER_S)
    out->retries_in_s = NO_RETRIES_S;
  add_cutoffs(a, m, out);
}

AllocationSummary allocation_summary(const Allocation *a) {
  return (AllocationSummary){.is_short = a->is_short,
                             .capacity = a->capacity,
                             .demand = a->demand,
                             .wait_s = a->wait_s,
                             .instances = (int)g_hash_table_size(a->reporters),
                             .targets = a->targets,
                             .customers = (int)g_hash_table_size(a->customers),
                             .held = a->held};
}

bool allocation_is_expired(const Allocation *a, double now) {
  return now - a->last_at >= EXPIRY_S;
}

/* The table of GLib takes 20 bytes an entry at most half full. */
int64_t allocation_bytes(const Allocation *a) {
  int64_t entry = 2 * 20;
  return (int64_t)sizeof *a +
         g_hash_table_size(a->customers) * ((int64_t)sizeof(Customer) + entry) +
         g_hash_table_size(a->reporters) *
             ((int64_t)sizeof(Reporter) + (int64_t)sizeof(uint64_t) + entry);
}
