/* allocations.c: the allocator of a service is the member that view_home
   selects first for the hash of the service's name. */
#include "fleet/allocations.h"

#include <math.h>
#include <string.h>

#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/text.h"

/* Between checks whether a report is due; the shortest interval of reports. */
#define CHECK_INTERVAL_S 0.25
/* The interval that an answer states holds for so long. */
#define INTERVAL_MAX_AGE_S 10.0
/* A service without requests here for this long is not in use. It is longer
   than the pauses between the requests of a rarely used service, so that
   cutoffs are known before the next one. */
#define IN_USE_S 3.0
/* Reports whose answers are accepted: at the shorter interval, those of
   ALLOCATION_MAX_AGE_S. */
#define KEPT_REPORTS 8
/* Weight of earlier requests in Unread at each new one: the last ten or so
   decide. */
#define UNREAD_KEEP 0.9
/* Customers of a service of which this is kept; then all are learned anew. */
#define MAX_UNREAD_CUSTOMERS 1024
#define MAX_PERIOD_S 5.0 /* of a report; longer ones are not accepted */
#define MAX_RETRIES_PER_S 1e6
#define CUTOFFS_LOG_INTERVAL_S 1.0 /* for one service */
#define CUTOFFS_LOGGED 3           /* customers in one log line */
#define INVALID_LOG_INTERVAL_S 1.0

typedef struct RowKey {
  uint64_t customer;
  int priority;
} RowKey;

typedef struct DemandRow {
  RowKey key;
  double asked, admitted; /* tokens */
} DemandRow;

/* Sums over the last requests of which both are known. */
typedef struct Unread {
  double prompt, unread; /* tokens */
} Unread;

typedef struct Service {
  char name[LIMIT_NAME_BYTES];
  uint64_t hash;
  /* demand since the last report */
  GHashTable *rows; /* RowKey -> DemandRow, which holds its key */
  int rejected, promised;
  double noted_at, reported_at, checked_at;
  Unread unread;                  /* of all customers */
  GHashTable *unread_by_customer; /* hash -> Unread */
  uint64_t number;                /* of the last report */
  double sent_at[KEPT_REPORTS];   /* by number */
  /* the last answer */
  AllocationAnswer answer;
  double answer_as_of, answered_at; /* as_of 0: none */
  double report_s, report_s_at;     /* the interval, and when it was stated */
  /* as the allocator */
  double objective_s;
  Allocation *allocation; /* NULL: nobody reports here */
  double cutoffs_logged_at;
} Service;

struct Allocations {
  char self[LIMIT_ID_BYTES];
  uint64_t self_hash;
  const View *view;
  GHashTable *services; /* hash -> Service, which holds its key */
  double invalid_logged_at;
  AllocationsEvents ev;
  void *ctx;
};

static guint key_hash(gconstpointer p) {
  const RowKey *k = p;
  return (guint)(k->customer ^ k->customer >> 32) + (guint)k->priority;
}

static gboolean key_equal(gconstpointer a, gconstpointer b) {
  const RowKey *x = a, *y = b;
  return x->customer == y->customer && x->priority == y->priority;
}

static void drop_allocation(Service *s) {
  if (s->allocation) allocation_free(s->allocation);
  s->allocation = NULL;
}

static void free_service(gpointer p) {
  Service *s = p;
  drop_allocation(s);
  g_hash_table_destroy(s->rows);
  g_hash_table_destroy(s->unread_by_customer);
  g_free(s);
}

Allocations *allocations_new(const char *self, const AllocationsEvents *ev,
                             void *ctx) {
  Allocations *t = g_new0(Allocations, 1);
  g_strlcpy(t->self, self, sizeof t->self);
  t->self_hash = text_hash(self);
  t->services =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_service);
  t->ev = *ev;
  t->ctx = ctx;
  return t;
}

void allocations_free(Allocations *t) {
  g_hash_table_destroy(t->services);
  g_free(t);
}

void allocations_set_members(Allocations *t, const View *v) {
  t->view = v;
}

static void set_service(Allocations *t, const AllocationsService *in) {
  uint64_t hash = text_hash(in->name);
  Service *s = g_hash_table_lookup(t->services, &hash);
  if (!s) {
    s = g_new0(Service, 1);
    s->hash = hash;
    g_strlcpy(s->name, in->name, sizeof s->name);
    s->rows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    s->unread_by_customer =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_hash_table_insert(t->services, &s->hash, s);
  }
  s->objective_s = in->objective_s;
  if (s->allocation) allocation_set_objective(s->allocation, s->objective_s);
}

void allocations_set_services(Allocations *t, const AllocationsService *list,
                              int n) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, t->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    int i = 0;
    while (i < n && strcmp(list[i].name, ((Service *)v)->name) != 0) i++;
    if (i == n) g_hash_table_iter_remove(&it);
  }
  for (int i = 0; i < n; i++) set_service(t, &list[i]);
}

static void clear_demand(Service *s, double now) {
  g_hash_table_remove_all(s->rows);
  s->rejected = s->promised = 0;
  s->reported_at = now;
}

void allocations_note_pause(Allocations *t, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, t->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Service *s = v;
    drop_allocation(s);
    clear_demand(s, now);
    s->answer_as_of = 0;
  }
}

/* == demand of this instance == */

static void learn_unread(Unread *u, const AllocationsDecision *d) {
  u->prompt = u->prompt * UNREAD_KEEP + (double)d->prompt_tokens;
  u->unread = u->unread * UNREAD_KEEP + (double)d->unread_tokens;
}

static void learn(Service *s, const AllocationsDecision *d) {
  Unread *u = g_hash_table_lookup(s->unread_by_customer, &d->customer);
  if (!u && g_hash_table_size(s->unread_by_customer) >= MAX_UNREAD_CUSTOMERS)
    g_hash_table_remove_all(s->unread_by_customer);
  if (!u) {
    u = g_new0(Unread, 1);
    g_hash_table_insert(s->unread_by_customer,
                        g_memdup2(&d->customer, sizeof d->customer), u);
  }
  learn_unread(u, d);
  learn_unread(&s->unread, d);
}

/* Returns the tokens that a target has to read. What is cached is known for a
   chosen target only; for a request that was rejected before, the part that was
   not cached of the customer's last requests (else of all customers') is
   assumed. With whole prompts, a customer whose prompts are mostly cached would
   seem to ask for many times as much as soon as some are rejected, and so stay
   rejected. */
static double tokens_to_read(const Service *s, const AllocationsDecision *d) {
  if (d->unread_tokens >= 0) return (double)d->unread_tokens;
  const Unread *u = g_hash_table_lookup(s->unread_by_customer, &d->customer);
  if (!u) u = &s->unread;
  double part = u->prompt > 0 ? u->unread / u->prompt : 1;
  return (double)d->prompt_tokens * part;
}

static DemandRow *ensure_row(Service *s, const AllocationsDecision *d) {
  RowKey key = {d->customer, d->priority};
  DemandRow *r = g_hash_table_lookup(s->rows, &key);
  if (r) return r;
  r = g_new0(DemandRow, 1);
  r->key = key;
  g_hash_table_insert(s->rows, &r->key, r);
  return r;
}

void allocations_note_decision(Allocations *t, double now,
                               const AllocationsDecision *d) {
  Service *s = g_hash_table_lookup(t->services, &d->service);
  if (!s || d->priority < 0 || d->priority >= ALLOCATION_PRIORITY_LIMIT) return;
  s->noted_at = now;
  s->rejected += d->rejected;
  s->promised += d->rejected && d->retry_promised;
  if (d->admitted && d->rejected) return; /* counted when it was admitted */
  double tokens = tokens_to_read(s, d);
  DemandRow *r = ensure_row(s, d);
  r->asked += tokens;
  r->admitted += d->admitted ? tokens : 0;
  if (d->admitted && d->unread_tokens >= 0) learn(s, d);
}

static gint compare_rows(gconstpointer a, gconstpointer b) {
  const DemandRow *x = *(const DemandRow *const *)a;
  const DemandRow *y = *(const DemandRow *const *)b;
  return x->asked > y->asked ? -1 : x->asked < y->asked;
}

/* Sets the rows of a report: the largest, and the sum of the rest. */
static void set_rows(const Service *s, AllocationDemand *m) {
  GHashTableIter it;
  gpointer v;
  GPtrArray *list = g_ptr_array_new();
  g_hash_table_iter_init(&it, s->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) g_ptr_array_add(list, v);
  g_ptr_array_sort(list, compare_rows);
  for (guint i = 0; i < list->len; i++) {
    const DemandRow *r = list->pdata[i];
    double asked = r->asked / m->period_s, admitted = r->admitted / m->period_s;
    if (m->n < ALLOCATION_MAX_ROWS) {
      m->rows[m->n++] =
          (AllocationRow){r->key.customer, r->key.priority, asked, admitted};
    } else {
      m->rest_asked += asked;
      m->rest_admitted += admitted;
    }
  }
  g_ptr_array_free(list, TRUE);
}

static AllocationDemand make_report(Service *s, double now,
                                    const TallyPoolState *pool) {
  AllocationDemand m = {.service = s->hash,
                        .number = ++s->number,
                        .period_s = MIN(now - s->reported_at, MAX_PERIOD_S),
                        .rejected = s->rejected,
                        .promised = s->promised,
                        .targets = pool->targets,
                        .reading_per_s = pool->tokens_per_s,
                        .wait_s = pool->wait_s,
                        .read_per_s = pool->read_per_s};
  s->sent_at[m.number % KEPT_REPORTS] = now;
  set_rows(s, &m);
  clear_demand(s, now);
  return m;
}

static bool answer_is_fresh(const Service *s, double now) {
  return s->answer_as_of > 0 && now - s->answer_as_of < ALLOCATION_MAX_AGE_S;
}

static bool is_self(const Allocations *t, const Member *m) {
  return strcmp(m->id, t->self) == 0;
}

static void apply_demand(Allocations *t, double now, Service *s, uint64_t from,
                         const AllocationDemand *m, AllocationAnswer *out);
static void apply_answer(Allocations *t, double now, Service *s,
                         const AllocationAnswer *m);

static bool report_is_due(const Allocations *t, double now, const Service *s,
                          const TallyPoolState *pool) {
  bool stated = now - s->report_s_at < INTERVAL_MAX_AGE_S;
  AllocationPace p = {.stated_s = stated ? s->report_s : 0,
                      .objective_s = s->objective_s,
                      .wait_s =
                          pool->targets > 0 ? pool->wait_s / pool->targets : 0,
                      .instances = t->view ? t->view->n : 0,
                      .rejected = s->rejected > 0};
  return now - s->reported_at >= allocation_report_interval_s(&p);
}

static void report_if_due(Allocations *t, double now, Service *s) {
  TallyPoolState pool = {0};
  AllocationAnswer answer;
  if (now - MAX(s->checked_at, s->reported_at) < CHECK_INTERVAL_S) return;
  s->checked_at = now;
  bool counts = t->ev.pool_state(t->ctx, s->hash, &pool);
  if (!report_is_due(t, now, s, &pool)) return;
  bool in_use = g_hash_table_size(s->rows) > 0 || s->rejected > 0 ||
                (s->noted_at > 0 && now - s->noted_at < IN_USE_S);
  const Member *to = t->view ? view_home(t->view, NULL, s->hash, 0) : NULL;
  if (!to || !(counts || in_use)) {
    clear_demand(s, now);
    return;
  }
  AllocationDemand m = make_report(s, now, &pool);
  if (!is_self(t, to)) {
    t->ev.send_demand(t->ctx, to, &m);
    return;
  }
  apply_demand(t, now, s, t->self_hash, &m, &answer);
  apply_answer(t, now, s, &answer);
}

/* == the allocator == */

static void note_invalid(Allocations *t, double now, const char *what,
                         const Service *s, int n) {
  if (n == 0) return;
  count_add(COUNT_ALLOCATION_INVALID, n);
  if (now - t->invalid_logged_at < INVALID_LOG_INTERVAL_S) return;
  t->invalid_logged_at = now;
  log_warn("allocation-invalid", "s:s,s:s,s:i", "message", what, "service",
           s->name, "values", n);
}

static void apply_demand(Allocations *t, double now, Service *s, uint64_t from,
                         const AllocationDemand *m, AllocationAnswer *out) {
  if (!s->allocation) {
    s->allocation = allocation_new(s->hash);
    allocation_set_objective(s->allocation, s->objective_s);
  }
  int invalid = allocation_receive(s->allocation, now, from, m);
  note_invalid(t, now, "demand", s, invalid);
  allocation_answer(s->allocation, now, from, m, out);
}

void allocations_receive_demand(Allocations *t, double now, const Member *from,
                                const AllocationDemand *m) {
  Service *s = g_hash_table_lookup(t->services, &m->service);
  AllocationAnswer answer;
  if (!s) return;
  apply_demand(t, now, s, text_hash(from->id), m, &answer);
  if (answer.number != 0) t->ev.send_answer(t->ctx, from, &answer);
}

/* Answers the last reports of all instances, which otherwise learn of a change
   with their next report only. */
static void push_answers(Allocations *t, double now, Service *s) {
  AllocationAnswer answer;
  for (int i = 0; t->view && i < t->view->n; i++) {
    const Member *m = &t->view->list[i];
    allocation_answer(s->allocation, now, text_hash(m->id), NULL, &answer);
    if (answer.number == 0) continue;
    if (is_self(t, m))
      apply_answer(t, now, s, &answer);
    else
      t->ev.send_answer(t->ctx, m, &answer);
  }
}

static void log_change(const Service *s) {
  AllocationSummary a = allocation_summary(s->allocation);
  if (a.is_short) count_add(COUNT_SERVICES_SHORT, 1);
  log_info(a.is_short ? "service-short" : "service-not-short",
           "s:s,s:f,s:f,s:f,s:i,s:i,s:i", "service", s->name, "capacity",
           a.capacity, "demand", a.demand, "wait", a.wait_s, "targets",
           a.targets, "instances", a.instances, "customers", a.customers);
}

/* Logs the customers that are furthest above their share. */
static void log_cutoffs(Allocations *t, double now, Service *s) {
  AllocationSummary a = allocation_summary(s->allocation);
  AllocationAnswer answer;
  if (a.held == 0 || now - s->cutoffs_logged_at < CUTOFFS_LOG_INTERVAL_S)
    return;
  s->cutoffs_logged_at = now;
  allocation_answer(s->allocation, now, t->self_hash, NULL, &answer);
  GString *text = g_string_new(NULL);
  for (int i = 0; i < MIN(answer.n, CUTOFFS_LOGGED); i++) {
    const char *name = t->ev.customer_name(t->ctx, answer.cutoffs[i].customer);
    g_string_append_printf(text, "%s%s=%.3f", i > 0 ? "," : "",
                           name ? name : "?", answer.cutoffs[i].cutoff);
  }
  log_info("cutoffs", "s:s,s:i,s:s,s:f,s:f,s:f", "service", s->name, "held",
           a.held, "largest", text->str, "capacity", a.capacity, "demand",
           a.demand, "wait", a.wait_s);
  g_string_free(text, TRUE);
}

static void step(Allocations *t, double now, Service *s) {
  if (allocation_is_expired(s->allocation, now)) {
    drop_allocation(s);
    return;
  }
  AllocationChange change = allocation_step(s->allocation, now);
  if (change == ALLOCATION_SHORT || change == ALLOCATION_AMPLE) log_change(s);
  if (change != ALLOCATION_SAME) push_answers(t, now, s);
  log_cutoffs(t, now, s);
}

void allocations_tick(Allocations *t, double now) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, t->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Service *s = v;
    if (s->allocation) step(t, now, s);
    report_if_due(t, now, s);
  }
}

int64_t allocations_bytes(const Allocations *t) {
  GHashTableIter it;
  gpointer v;
  int64_t n = 0;
  g_hash_table_iter_init(&it, t->services);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (((Service *)v)->allocation)
      n += allocation_bytes(((Service *)v)->allocation);
  return n;
}

/* == answers to this instance == */

/* Returns the number of invalid values. */
static int count_invalid(const AllocationAnswer *m) {
  int n = !allocation_is_valid(m->age_s, MAX_PERIOD_S);
  n += !allocation_is_valid(m->retries_per_s, MAX_RETRIES_PER_S);
  n += !allocation_is_valid(m->retries_in_s, MAX_PERIOD_S);
  n += !allocation_is_valid(m->report_s, MAX_PERIOD_S);
  if (m->n < 0 || m->n > ALLOCATION_MAX_CUTOFFS) return n + 1;
  for (int i = 0; i < m->n; i++)
    n += !allocation_is_valid(m->cutoffs[i].cutoff, ALLOCATION_PRIORITY_LIMIT);
  return n;
}

/* The age counts from when the report was sent, on this instance's clock: an
   answer of an allocator that was frozen, or that waited in a queue, is old. */
static void apply_answer(Allocations *t, double now, Service *s,
                         const AllocationAnswer *m) {
  int invalid = count_invalid(m);
  note_invalid(t, now, "allocation", s, invalid);
  if (invalid > 0 || m->number == 0 || m->number > s->number ||
      s->number - m->number >= KEPT_REPORTS)
    return;
  s->report_s = m->report_s;
  s->report_s_at = now;
  double as_of = s->sent_at[m->number % KEPT_REPORTS] - m->age_s;
  if (as_of < s->answer_as_of || now - as_of >= ALLOCATION_MAX_AGE_S) return;
  s->answer = *m;
  s->answer_as_of = as_of;
  s->answered_at = now;
  count_add(COUNT_ALLOCATIONS, 1);
  count_add(COUNT_CUTOFFS, m->n);
}

void allocations_receive_answer(Allocations *t, double now,
                                const AllocationAnswer *m) {
  Service *s = g_hash_table_lookup(t->services, &m->service);
  if (s) apply_answer(t, now, s, m);
}

void allocations_cutoff(const Allocations *t, double now, uint64_t service,
                        uint64_t customer, AdmissionCutoff *out) {
  const Service *s = g_hash_table_lookup(t->services, &service);
  *out = (AdmissionCutoff){.cutoff = INFINITY};
  if (!s || !answer_is_fresh(s, now)) return;
  out->short_of_capacity = s->answer.is_short;
  out->retries_per_s = s->answer.retries_per_s;
  if (s->answer.retries_in_s > 0)
    out->retries_from = s->answered_at + s->answer.retries_in_s;
  for (int i = 0; i < s->answer.n; i++)
    if (s->answer.cutoffs[i].customer == customer)
      out->cutoff = s->answer.cutoffs[i].cutoff;
}
