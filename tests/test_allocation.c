/* test_allocation.c: the division of a service's capacity between customers,
   played without a network on the loads of docs/design/load.md. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "route/allocation.h"

#define S 7 /* hash of the service */

/* == a fleet: instances, targets that read one prompt after the other == */

#define TICK_S 0.05
#define READ_TICKS 20 /* of the last second */
#define MAX_KINDS 3000
#define CHOICES 3 /* targets that an instance compares */

/* Requests of one customer and priority. */
typedef struct Kind {
  uint64_t customer;
  int priority;
  double per_s, tokens, objective_s, deadline_s;
  double flood, flood_from, flood_until; /* factor of per_s, and its time */
  int only_instance;                     /* 0: any; else its number + 1 */
  /* results of the requests that arrive in the measured time */
  int requests, on_time, rejected, retried, retries_served;
} Kind;

/* A request at a target. */
typedef struct Work {
  Kind *kind;
  double arrived_at; /* of this attempt */
  bool measured, again;
} Work;

/* A target: reads one prompt after the other, the most urgent first. */
typedef struct Site {
  GArray *queue; /* Work */
  Work reading;  /* kind NULL: none */
  double left;   /* tokens of it */
  double rate;   /* tokens per second */
  double read[READ_TICKS];
} Site;

typedef struct Instance {
  AllocationDemand since; /* sums since the last report, in tokens */
  GArray *rows;           /* AllocationRow, sums in tokens */
  double reported_at;
  uint64_t number;
  double sent_at[4]; /* of the last reports, by number */
  AllocationAnswer answer;
  double answer_as_of, report_s;
  double next_retry_at;
} Instance;

typedef struct Message {
  double at;
  int instance;
  AllocationDemand demand;
  AllocationAnswer answer;
  bool is_answer;
} Message;

typedef struct Retry {
  double at;
  Kind *kind;
  double arrived_at;
} Retry;

typedef struct Fleet {
  int instances, targets, n_kinds;
  double target_rate;  /* tokens per second of a target */
  double loss, late_s; /* of messages between instances */
  bool divided;        /* cutoffs are applied */
  Kind kinds[MAX_KINDS];
  Instance *list;
  Site *sites;
  Allocation *allocators[2];
  int n_allocators; /* 2: the instances report to one of them by number */
  GArray *messages, *retries;
  GRand *random;
  double now, measured_from, measured_s; /* results of arrivals in these */
  double wave; /* the requests go up and down by this, with a period of 13 s */
  int tick;
  /* results */
  int became_short, cutoffs_received, max_rows;
  double read_on_time, first_short_at, short_until;
  int64_t demand_bytes;
} Fleet;

static guint32 next_seed = 1;

static Fleet *fleet_new(int instances, int targets, double target_rate) {
  Fleet *f = g_new0(Fleet, 1);
  f->instances = instances;
  f->targets = targets;
  f->target_rate = target_rate;
  f->divided = true;
  f->n_allocators = 1;
  f->list = g_new0(Instance, (gsize)instances);
  f->sites = g_new0(Site, (gsize)targets);
  f->random = g_rand_new_with_seed(next_seed);
  f->messages = g_array_new(FALSE, FALSE, sizeof(Message));
  f->retries = g_array_new(FALSE, FALSE, sizeof(Retry));
  f->now = 100;
  for (int i = 0; i < targets; i++) {
    f->sites[i].rate = target_rate;
    f->sites[i].queue = g_array_new(FALSE, FALSE, sizeof(Work));
  }
  for (int i = 0; i < instances; i++) {
    f->list[i].rows = g_array_new(FALSE, FALSE, sizeof(AllocationRow));
    f->list[i].reported_at = f->now + g_rand_double(f->random) * 0.5;
    f->list[i].answer_as_of = -1;
  }
  return f;
}

static void fleet_free(Fleet *f) {
  for (int i = 0; i < f->instances; i++) g_array_free(f->list[i].rows, TRUE);
  for (int i = 0; i < f->targets; i++) g_array_free(f->sites[i].queue, TRUE);
  for (int i = 0; i < 2; i++)
    if (f->allocators[i]) allocation_free(f->allocators[i]);
  g_array_free(f->messages, TRUE);
  g_array_free(f->retries, TRUE);
  g_rand_free(f->random);
  g_free(f->list);
  g_free(f->sites);
  g_free(f);
}

static Kind *add_kind(Fleet *f, const Kind *k) {
  f->kinds[f->n_kinds] = *k;
  return &f->kinds[f->n_kinds++];
}

static double shortest_objective(const Fleet *f) {
  double s = 10;
  for (int i = 0; i < f->n_kinds; i++) s = MIN(s, f->kinds[i].objective_s);
  return s;
}

static Allocation *allocator_of(Fleet *f, int instance) {
  int i = instance % f->n_allocators;
  if (!f->allocators[i]) {
    f->allocators[i] = allocation_new(S);
    allocation_set_objective(f->allocators[i], shortest_objective(f));
  }
  return f->allocators[i];
}

static void note(Instance *x, const Kind *k, bool admitted) {
  for (guint i = 0; i < x->rows->len; i++) {
    AllocationRow *r = &g_array_index(x->rows, AllocationRow, i);
    if (r->customer != k->customer || r->priority != k->priority) continue;
    r->asked += k->tokens;
    r->admitted += admitted ? k->tokens : 0;
    return;
  }
  AllocationRow r = {k->customer, k->priority, k->tokens,
                     admitted ? k->tokens : 0};
  g_array_append_val(x->rows, r);
}

static bool answer_is_fresh(const Fleet *f, const Instance *x) {
  return x->answer_as_of >= 0 &&
         f->now - x->answer_as_of < ALLOCATION_MAX_AGE_S;
}

static double cutoff_at(const Fleet *f, const Instance *x, const Kind *k) {
  if (!f->divided || !answer_is_fresh(f, x)) return INFINITY;
  for (int i = 0; i < x->answer.n; i++)
    if (x->answer.cutoffs[i].customer == k->customer)
      return x->answer.cutoffs[i].cutoff;
  return INFINITY;
}

/* Seconds until a new request of a priority is read. */
static double wait_at(const Site *s, int priority) {
  double tokens = s->left;
  for (guint i = 0; i < s->queue->len; i++) {
    const Work *w = &g_array_index(s->queue, Work, i);
    if (w->kind->priority <= priority) tokens += w->kind->tokens;
  }
  return tokens / s->rate;
}

static Site *choose_site(Fleet *f, int priority) {
  Site *best = NULL;
  for (int i = 0; i < CHOICES; i++) {
    Site *s = &f->sites[g_rand_int_range(f->random, 0, f->targets)];
    if (!best || wait_at(s, priority) < wait_at(best, priority)) best = s;
  }
  return best;
}

/* Tells the caller when to retry: by the schedule of the instance, or soon
   where the allocation states nothing. */
static void reject(Fleet *f, Instance *x, Kind *k, double arrived_at,
                   bool again, bool measured) {
  k->rejected += measured;
  x->since.rejected++;
  if (again) return;
  double delay = 0.2;
  if (answer_is_fresh(f, x) && x->answer.retries_per_s > 0) {
    double from = MAX(f->now + x->answer.retries_in_s, x->next_retry_at);
    delay = MAX(from + 1 / x->answer.retries_per_s - f->now, 0.1);
  }
  if (delay > (arrived_at + k->deadline_s - f->now) / 3) return;
  x->next_retry_at = f->now + delay;
  x->since.promised++;
  k->retried += measured;
  Retry r = {f->now + delay, k, arrived_at};
  g_array_append_val(f->retries, r);
}

/* In place of part 3 (admission), what would be late is rejected. */
static void arrive(Fleet *f, Kind *k, double arrived_at, bool again) {
  int i = k->only_instance > 0 ? k->only_instance - 1
                               : g_rand_int_range(f->random, 0, f->instances);
  Instance *x = &f->list[i];
  bool measured = arrived_at >= f->measured_from &&
                  arrived_at < f->measured_from + f->measured_s;
  k->requests += measured && !again;
  double cutoff = cutoff_at(f, x, k);
  bool held = k->priority + g_rand_double(f->random) >= cutoff;
  Site *s = choose_site(f, k->priority);
  double first_s = wait_at(s, k->priority) + k->tokens / s->rate;
  bool late = first_s > k->objective_s;
  note(x, k, !held && !late);
  if (held || late) {
    reject(f, x, k, arrived_at, again, measured);
    return;
  }
  Work w = {k, f->now, measured, again};
  g_array_append_val(s->queue, w);
}

static int compare_rows(gconstpointer a, gconstpointer b) {
  const AllocationRow *x = a, *y = b;
  return x->asked > y->asked ? -1 : x->asked < y->asked;
}

static AllocationDemand take_report(Fleet *f, int i) {
  Instance *x = &f->list[i];
  AllocationDemand m = x->since;
  m.service = S;
  m.number = ++x->number;
  m.period_s = f->now - x->reported_at;
  g_array_sort(x->rows, compare_rows);
  for (guint k = 0; k < x->rows->len; k++) {
    AllocationRow r = g_array_index(x->rows, AllocationRow, k);
    r.asked /= m.period_s;
    r.admitted /= m.period_s;
    if (m.n < ALLOCATION_MAX_ROWS) {
      m.rows[m.n++] = r;
    } else {
      m.rest_asked += r.asked;
      m.rest_admitted += r.admitted;
    }
  }
  for (int t = i; t < f->targets; t += f->instances) {
    const Site *s = &f->sites[t];
    m.targets++;
    m.reading_per_s += s->rate;
    m.wait_s += wait_at(s, INT32_MAX);
    for (int k = 0; k < READ_TICKS; k++) m.read_per_s += s->read[k];
  }
  g_array_set_size(x->rows, 0);
  x->since = (AllocationDemand){0};
  x->reported_at = f->now;
  return m;
}

static void post(Fleet *f, Message m) {
  if (g_rand_double(f->random) < f->loss) return;
  m.at = f->now + g_rand_double(f->random) * f->late_s;
  g_array_append_val(f->messages, m);
}

static void deliver(Fleet *f, const Message *m) {
  Instance *x = &f->list[m->instance];
  if (m->is_answer) {
    f->cutoffs_received += m->answer.n;
    f->max_rows = MAX(f->max_rows, m->answer.n);
    if (m->answer.number + 4 <= x->number || m->answer.number == 0) return;
    x->report_s = m->answer.report_s;
    double as_of = x->sent_at[m->answer.number % 4] - m->answer.age_s;
    if (as_of < x->answer_as_of) return;
    x->answer = m->answer;
    x->answer_as_of = as_of;
    return;
  }
  Allocation *a = allocator_of(f, m->instance);
  uint64_t from = (uint64_t)m->instance + 1;
  allocation_receive(a, f->now, from, &m->demand);
  Message out = {.instance = m->instance, .is_answer = true};
  allocation_answer(a, f->now, from, &m->demand, &out.answer);
  post(f, out);
}

static void deliver_due(Fleet *f) {
  for (guint i = 0; i < f->messages->len;) {
    Message m = g_array_index(f->messages, Message, i);
    if (m.at > f->now) {
      i++;
      continue;
    }
    g_array_remove_index_fast(f->messages, i);
    deliver(f, &m);
  }
}

/* Of the targets that an instance counts. */
static double mean_wait(const Fleet *f, int i) {
  double wait_s = 0;
  int n = 0;
  for (int t = i; t < f->targets; t += f->instances, n++)
    wait_s += wait_at(&f->sites[t], INT32_MAX);
  return n > 0 ? wait_s / n : 0;
}

static void report_due(Fleet *f) {
  for (int i = 0; i < f->instances; i++) {
    Instance *x = &f->list[i];
    AllocationPace p = {.stated_s = x->report_s,
                        .objective_s = shortest_objective(f),
                        .wait_s = mean_wait(f, i),
                        .instances = f->instances,
                        .rejected = x->since.rejected > 0};
    if (f->now - x->reported_at < allocation_report_interval_s(&p) - 0.001)
      continue;
    Message m = {.instance = i};
    m.demand = take_report(f, i);
    x->sent_at[x->number % 4] = f->now;
    post(f, m);
  }
}

static void take_next(Site *s) {
  guint best = 0;
  for (guint i = 1; i < s->queue->len; i++)
    if (g_array_index(s->queue, Work, i).kind->priority <
        g_array_index(s->queue, Work, best).kind->priority)
      best = i;
  s->reading = g_array_index(s->queue, Work, best);
  s->left = s->reading.kind->tokens;
  g_array_remove_index(s->queue, best);
}

static void finish_reading(Fleet *f, Site *s, double at) {
  Work *w = &s->reading;
  bool on_time = at - w->arrived_at <= w->kind->objective_s;
  if (w->measured && on_time) {
    w->kind->on_time++;
    w->kind->retries_served += w->again;
    f->read_on_time += w->kind->tokens;
  }
  w->kind = NULL;
}

static void read_prompts(Fleet *f) {
  for (int i = 0; i < f->targets; i++) {
    Site *s = &f->sites[i];
    double room = s->rate * TICK_S;
    while (room > 0 && (s->reading.kind || s->queue->len > 0)) {
      if (!s->reading.kind) take_next(s);
      double n = MIN(s->left, room);
      s->left -= n;
      room -= n;
      if (s->left <= 0) finish_reading(f, s, f->now - room / s->rate);
    }
    s->read[f->tick % READ_TICKS] = s->rate * TICK_S - room;
  }
}

static int arrivals(Fleet *f, const Kind *k) {
  bool flooding = f->now >= k->flood_from && f->now < k->flood_until;
  double wave = 1 + f->wave * sin(2 * G_PI * f->now / 13);
  double n = k->per_s * (flooding ? k->flood : 1) * wave * TICK_S;
  double p = exp(-MIN(n, 50)), sum = p, u = g_rand_double(f->random);
  int i = 0;
  while (u > sum && i < 500) sum += p *= n / ++i;
  return i;
}

static void retry_due(Fleet *f) {
  for (guint i = 0; i < f->retries->len;) {
    Retry r = g_array_index(f->retries, Retry, i);
    if (r.at > f->now) {
      i++;
      continue;
    }
    g_array_remove_index_fast(f->retries, i);
    arrive(f, r.kind, r.arrived_at, true);
  }
}

/* A change is answered at once, without waiting for the next reports. */
static void push_answers(Fleet *f, const Allocation *a) {
  for (int i = 0; i < f->instances; i++) {
    Message m = {.instance = i, .is_answer = true};
    allocation_answer(a, f->now, (uint64_t)i + 1, NULL, &m.answer);
    if (m.answer.number != 0) post(f, m);
  }
}

static void step_allocators(Fleet *f) {
  for (int i = 0; i < 2; i++) {
    Allocation *a = f->allocators[i];
    if (!a) continue;
    AllocationChange change = allocation_step(a, f->now);
    AllocationSummary s = allocation_summary(a);
    if (change != ALLOCATION_SAME) push_answers(f, a);
    if (change == ALLOCATION_SHORT && f->became_short++ == 0)
      f->first_short_at = f->now;
    if (s.is_short) f->short_until = f->now;
  }
}

static void play(Fleet *f, double seconds) {
  double until = f->now + seconds;
  while (f->now < until) {
    f->now += TICK_S;
    f->tick++;
    for (int i = 0; i < f->n_kinds; i++)
      for (int n = arrivals(f, &f->kinds[i]); n > 0; n--)
        arrive(f, &f->kinds[i], f->now, false);
    retry_due(f);
    read_prompts(f);
    deliver_due(f);
    step_allocators(f);
    report_due(f);
  }
}

/* == results, summed over plays with different seeds == */

#define SEEDS 8
#define SHOWN 6

typedef struct Result {
  int requests[SHOWN], on_time[SHOWN]; /* of the first kinds */
  int other_requests, others_on_time;  /* of the rest */
  int retried, retries_served;
  int most_short; /* times that a service became short in one play */
  int cutoffs;
  double read_on_time, capacity, last_short_at, first_short_at;
} Result;

static void add_result(Result *r, const Fleet *f) {
  for (int i = 0; i < f->n_kinds; i++) {
    const Kind *k = &f->kinds[i];
    if (i < SHOWN) {
      r->requests[i] += k->requests;
      r->on_time[i] += k->on_time;
    } else {
      r->other_requests += k->requests;
      r->others_on_time += k->on_time;
    }
    r->retried += k->retried;
    r->retries_served += k->retries_served;
  }
  r->most_short = MAX(r->most_short, f->became_short);
  r->cutoffs += f->cutoffs_received;
  r->read_on_time += f->read_on_time;
  for (int i = 0; i < f->targets; i++)
    r->capacity += f->sites[i].rate * f->measured_s;
  r->last_short_at = MAX(r->last_short_at, f->short_until);
  r->first_short_at = MAX(r->first_short_at, f->first_short_at);
}

static double part(int n, int of) {
  return of > 0 ? (double)n / of : 1;
}

static double on_time(const Result *r, int kind) {
  return part(r->on_time[kind], r->requests[kind]);
}

/* Of all kinds from `first` on. */
static double on_time_from(const Result *r, int first) {
  int n = r->other_requests, good = r->others_on_time;
  for (int i = first; i < SHOWN; i++) {
    n += r->requests[i];
    good += r->on_time[i];
  }
  return part(good, n);
}

static double used(const Result *r) {
  return r->read_on_time / r->capacity;
}

static void print_result(const Result *r, const char *name, double arg) {
  fprintf(stderr, "%s, %g: on time", name, arg);
  for (int i = 0; i < SHOWN && r->requests[i] > 0; i++)
    fprintf(stderr, " %.3f", on_time(r, i));
  if (r->other_requests > 0)
    fprintf(stderr, ", others %.3f",
            part(r->others_on_time, r->other_requests));
  fprintf(stderr, "; capacity used %.3f; retried %d, %.2f served; short %d\n",
          used(r), r->retried, part(r->retries_served, r->retried),
          r->most_short);
}

/* Plays a load with several seeds. */
static Result play_seeds(Fleet *(*make)(double arg), double arg, double seconds,
                         const char *name) {
  Result r = {0};
  for (next_seed = 1; next_seed <= SEEDS; next_seed++) {
    Fleet *f = make(arg);
    play(f, seconds);
    add_result(&r, f);
    fleet_free(f);
  }
  print_result(&r, name, arg);
  return r;
}

/* == the loads of docs/design/load.md == */

/* Two customers with 5 requests per second each and a third that sends 60 for
   ten seconds, before six targets that read 30 of these prompts per second. */
static Fleet *quiet_beside_flood(double instances) {
  Fleet *f = fleet_new((int)instances, 6, 20000);
  for (uint64_t c = 1; c <= 3; c++)
    add_kind(f, &(Kind){.customer = c,
                        .per_s = 5,
                        .tokens = 4000,
                        .objective_s = 1,
                        .deadline_s = 3});
  f->kinds[2].flood = 12;
  f->kinds[2].flood_from = 110;
  f->kinds[2].flood_until = 120;
  f->measured_from = 110;
  f->measured_s = 10;
  return f;
}

/* Guards against a flood of one customer that takes the capacity of others. */
Test(allocation, quiet_customers_are_served_beside_a_flood) {
  static const double sizes[] = {3, 14, 86};
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
    Result r = play_seeds(quiet_beside_flood, sizes[i], 23, "quiet, flood");
    double quiet =
        part(r.on_time[0] + r.on_time[1], r.requests[0] + r.requests[1]);
    cr_expect_geq(quiet, 0.95, "%g: %.3f", sizes[i], quiet);
    cr_expect_geq(used(&r), 0.8, "%g", sizes[i]);
    cr_expect_leq(r.most_short, 2, "%g", sizes[i]);
  }
}

static Fleet *flood_without_cutoffs(double instances) {
  Fleet *f = quiet_beside_flood(instances);
  f->divided = false;
  return f;
}

/* The load above is one that fails without the division. */
Test(allocation, without_cutoffs_the_flood_takes_the_capacity) {
  Result r = play_seeds(flood_without_cutoffs, 14, 23, "no cutoffs");
  cr_assert_lt(on_time(&r, 0), 0.8);
  cr_assert_lt(on_time(&r, 1), 0.8);
}

/* Guards against cutoffs that outlast the flood, which ends at 120. */
Test(allocation, a_service_is_not_short_soon_after_a_flood) {
  Result r = play_seeds(quiet_beside_flood, 14, 30, "after a flood");
  cr_assert_lt(r.first_short_at, 112);
  cr_assert_lt(r.last_short_at, 126, "%f", r.last_short_at);
}

/* One customer with urgent short requests and long ones of the lowest
   priority. */
static Fleet *urgent_beside_long(double instances) {
  Fleet *f = fleet_new((int)instances, 6, 20000);
  add_kind(f, &(Kind){.customer = 1,
                      .priority = 0,
                      .per_s = 20,
                      .tokens = 830,
                      .objective_s = 0.4,
                      .deadline_s = 10});
  add_kind(f, &(Kind){.customer = 1,
                      .priority = 2,
                      .per_s = 45,
                      .tokens = 4000,
                      .objective_s = 1.5,
                      .deadline_s = 12});
  f->measured_from = 100;
  f->measured_s = 10;
  return f;
}

/* Guards against urgent requests that are rejected or wait beside long ones of
   the lowest priority. */
Test(allocation, the_lowest_priority_is_held_back_first) {
  static const double sizes[] = {3, 14};
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
    Result r = play_seeds(urgent_beside_long, sizes[i], 13, "urgent, long");
    cr_expect_geq(on_time(&r, 0), 0.95, "%g", sizes[i]);
    cr_expect_geq(used(&r), 0.8, "%g", sizes[i]);
  }
}

static const double first_objectives[] = {0.4, 0.5, 1.5};
static const double second_objectives[] = {0.3, 0.3, 0.5};

/* `n` customers of which the first few are large, with three kinds of requests
   each; all together `per_s`. */
static void add_mix(Fleet *f, int n, double per_s, const double *objectives) {
  static const double tokens[] = {830, 2400, 12000},
                      parts[] = {0.5, 0.35, 0.15};
  static const double deadlines[] = {10, 2.5, 12};
  double weights = 0;
  for (int c = 1; c <= n; c++) weights += 1.0 / c;
  for (int c = 1; c <= n; c++)
    for (int k = 0; k < MIN(3, MAX_KINDS / n); k++)
      add_kind(f, &(Kind){.customer = (uint64_t)c * 1000003,
                          .priority = k,
                          .per_s = per_s * parts[k] / c / weights,
                          .tokens = tokens[k],
                          .objective_s = objectives[k],
                          .deadline_s = deadlines[k]});
}

/* The requests per second with this mix that take `ratio` of the capacity. */
static double mix_per_s(const Fleet *f, double ratio) {
  double mean = 0.5 * 830 + 0.35 * 2400 + 0.15 * 12000;
  return f->targets * f->target_rate * ratio / mean;
}

/* The first customer's engines, of which the prompts take `ratio`. */
static Fleet *first_customer(double ratio) {
  Fleet *f = fleet_new(72, 140, 61800);
  add_mix(f, 24, mix_per_s(f, ratio), first_objectives);
  f->measured_from = 100;
  f->measured_s = 12;
  return f;
}

/* Guards against rejections of a fleet that is not overloaded. */
Test(allocation, a_fleet_that_is_not_overloaded_holds_nobody_back) {
  static const double ratios[] = {0.3, 0.7, 0.8};
  for (size_t i = 0; i < G_N_ELEMENTS(ratios); i++) {
    Result r = play_seeds(first_customer, ratios[i], 15, "first customer");
    cr_expect_eq(r.cutoffs, 0, "%g", ratios[i]);
    cr_expect_eq(r.most_short, 0, "%g", ratios[i]);
  }
}

/* The second customer's engines, of speeds 0.6, 1.0 and 1.6, and a wave of 55%
   up and down with a period of 13 s; `ratio` of the capacity on average. */
static Fleet *second_customer(double ratio) {
  static const double speeds[] = {0.6, 1.0, 1.6};
  Fleet *f = fleet_new(86, 90, 101000);
  for (int i = 0; i < 90; i++)
    f->sites[i].rate = 101000 * speeds[i % 3] / 1.067;
  add_mix(f, 24, mix_per_s(f, ratio), second_objectives);
  f->wave = 0.55;
  f->measured_from = 100;
  f->measured_s = 26;
  return f;
}

/* Guards against a service that becomes short of capacity by a wave below its
   capacity. */
Test(allocation, a_wave_below_the_capacity_makes_no_service_short) {
  Result r = play_seeds(second_customer, 0.45, 29, "second customer");
  cr_expect_eq(r.most_short, 0);
}

/* Guards against oscillation: a wave whose crest is 1.24 of the capacity makes
   the service short once in each period of 13 s. */
Test(allocation, a_wave_above_the_capacity_makes_a_service_short_once) {
  Result r = play_seeds(second_customer, 0.8, 29, "second customer");
  cr_expect_leq(r.most_short, 3);
  cr_expect_geq(on_time_from(&r, 3), 0.9);
}

/* The largest customer of the first load sends `flood` times as much. */
static Fleet *first_flood(double flood) {
  Fleet *f = first_customer(0.75);
  for (int k = 0; k < 3; k++) {
    f->kinds[k].flood = flood;
    f->kinds[k].flood_from = 105;
    f->kinds[k].flood_until = 111;
  }
  f->measured_from = 105;
  f->measured_s = 6;
  return f;
}

/* Guards as above, on the load of the first customer's bad day. */
Test(allocation, a_flood_of_a_large_customer_leaves_the_others_theirs) {
  static const double floods[] = {2, 4, 7};
  for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
    Result r = play_seeds(first_flood, floods[i], 14, "first customer, flood");
    cr_expect_geq(on_time_from(&r, 3), 0.95, "%g", floods[i]);
  }
}

/* The first customer's flood, all of it at one instance. */
static Fleet *flood_at_one_instance(double flood) {
  Fleet *f = first_flood(flood);
  for (int k = 0; k < 3; k++) f->kinds[k].only_instance = 5;
  return f;
}

/* Guards against a demand that is seen only where it arrives. */
Test(allocation, a_flood_at_one_instance_is_divided_as_any_other) {
  Result r = play_seeds(flood_at_one_instance, 7, 14, "flood, one instance");
  cr_expect_geq(on_time_from(&r, 3), 0.95);
}

/* All customers send `flood` times as much. */
static Fleet *flood_over_all(double flood) {
  Fleet *f = first_flood(flood);
  for (int k = 0; k < f->n_kinds; k++) {
    f->kinds[k].flood = flood;
    f->kinds[k].flood_from = 105;
    f->kinds[k].flood_until = 111;
  }
  return f;
}

/* Guards against a division that favours the large customer, or that rejects
   urgent requests while long ones are admitted. */
Test(allocation, a_flood_of_all_customers_leaves_each_its_urgent_requests) {
  Result r = play_seeds(flood_over_all, 2, 14, "flood of all");
  cr_expect_geq(on_time(&r, 0), 0.95);
  cr_expect_geq(on_time(&r, 3), 0.95);
  cr_expect_geq(used(&r), 0.8);
}

/* The size of two years from now: one service of 350 instances, 990 customers
   with the weights of a harmonic series. The first sends 7 times as much. */
static Fleet *two_years(double flood) {
  Fleet *f = fleet_new(350, 92, 61800);
  add_mix(f, 990, mix_per_s(f, 0.75), first_objectives);
  for (int k = 0; k < 3; k++) {
    f->kinds[k].flood = flood;
    f->kinds[k].flood_from = 105;
    f->kinds[k].flood_until = 111;
  }
  f->measured_from = 105;
  f->measured_s = 6;
  return f;
}

Test(allocation, a_flood_beside_990_customers_is_held_back) {
  Result r = play_seeds(two_years, 7, 14, "350 instances");
  cr_expect_geq(on_time_from(&r, 3), 0.95);
}

/* == failures == */

static Fleet *flood_with_losses(double loss) {
  Fleet *f = quiet_beside_flood(14);
  f->loss = loss;
  return f;
}

static Fleet *flood_with_delays(double late_s) {
  Fleet *f = quiet_beside_flood(14);
  f->late_s = late_s;
  return f;
}

static double quiet_on_time(const Result *r) {
  return part(r->on_time[0] + r->on_time[1], r->requests[0] + r->requests[1]);
}

/* Guards against a division that depends on each report or answer. */
Test(allocation, messages_may_be_lost) {
  Result r = play_seeds(flood_with_losses, 0.1, 23, "lost messages");
  cr_expect_geq(quiet_on_time(&r), 0.9);
}

Test(allocation, messages_may_be_late) {
  Result r = play_seeds(flood_with_delays, 0.4, 23, "late messages");
  cr_expect_geq(quiet_on_time(&r), 0.9);
}

/* Guards against rejections because nothing is heard. */
Test(allocation, without_messages_nobody_is_held_back) {
  Result r = play_seeds(flood_with_losses, 1, 23, "no messages");
  cr_expect_eq(r.cutoffs, 0);
}

static Fleet *flood_with_two_allocators(double instances) {
  Fleet *f = quiet_beside_flood(instances);
  f->n_allocators = 2;
  return f;
}

/* Guards against capacity that is divided twice, while views differ. */
Test(allocation, two_allocators_divide_a_part_each) {
  Result r = play_seeds(flood_with_two_allocators, 14, 23, "two allocators");
  cr_expect_geq(quiet_on_time(&r), 0.9);
  cr_expect_geq(used(&r), 0.8);
}

/* The allocator is lost 3 s after the flood began, and another one follows. */
Test(allocation, a_new_allocator_divides_within_a_second) {
  Fleet *f = quiet_beside_flood(14);
  next_seed = 1;
  play(f, 13);
  cr_assert(allocation_summary(f->allocators[0]).is_short);
  allocation_free(f->allocators[0]);
  f->allocators[0] = NULL;
  play(f, 0.45);
  cr_assert(f->allocators[0] && !allocation_summary(f->allocators[0]).is_short,
            "it knows nothing yet");
  play(f, 1.0);
  cr_assert(allocation_summary(f->allocators[0]).is_short);
  fleet_free(f);
}

/* == one allocation == */

/* A report of one instance whose target reads 100,000 tokens per second. */
static AllocationDemand report(uint64_t number, double wait_s) {
  return (AllocationDemand){.service = S,
                            .number = number,
                            .period_s = 0.25,
                            .n = 2,
                            .rows = {{.customer = 1, .asked = 20000},
                                     {.customer = 2, .asked = 180000}},
                            .targets = 1,
                            .reading_per_s = 100000,
                            .wait_s = wait_s,
                            .read_per_s = 100000};
}

static Allocation *new_allocation(void) {
  Allocation *a = allocation_new(S);
  allocation_set_objective(a, 1);
  return a;
}

/* Reports each 0.25 s from *now on, for `seconds`. */
static void feed(Allocation *a, double *now, uint64_t *number, double seconds,
                 double wait_s) {
  for (double until = *now + seconds; *now < until - 0.01; *now += 0.25) {
    AllocationDemand m = report(++*number, wait_s);
    cr_assert_eq(allocation_receive(a, *now, 9, &m), 0);
    allocation_step(a, *now);
  }
}

static double cutoff_for(const Allocation *a, double now, uint64_t customer) {
  AllocationAnswer w;
  allocation_answer(a, now, 9, NULL, &w);
  for (int i = 0; i < w.n; i++)
    if (w.cutoffs[i].customer == customer) return w.cutoffs[i].cutoff;
  return INFINITY;
}

Test(allocation, only_a_customer_above_its_share_gets_a_cutoff) {
  Allocation *a = new_allocation();
  double now = 100;
  uint64_t number = 0;
  feed(a, &now, &number, 0.5, 0.55);
  cr_assert(!allocation_summary(a).is_short, "reports for less than 0.5 s");
  feed(a, &now, &number, 3, 0.55);
  AllocationSummary s = allocation_summary(a);
  cr_assert(s.is_short && s.held == 1 && s.customers == 2);
  cr_assert_float_eq(s.capacity, 90000, 1, "95,000 less the wait of 0.05 s");
  cr_assert_float_eq(cutoff_for(a, now, 2), 70000.0 / 180000, 0.03);
  cr_assert_eq(cutoff_for(a, now, 1), INFINITY);
  allocation_free(a);
}

/* Guards against oscillation: the capacity grows by 10% a step and has to be
   ample for 2 s. */
Test(allocation, a_service_stops_being_short_after_two_ample_seconds) {
  Allocation *a = new_allocation();
  double now = 100, grown_at = 0;
  uint64_t number = 0;
  feed(a, &now, &number, 3, 0.55);
  double before = allocation_summary(a).capacity;
  feed(a, &now, &number, 0.25, 0.1);
  cr_assert_float_eq(allocation_summary(a).capacity, before * 1.1, 1);
  for (int i = 0; i < 40 && allocation_summary(a).is_short; i++) {
    AllocationSummary s = allocation_summary(a);
    if (grown_at == 0 && s.capacity >= 1.2 * s.demand) grown_at = now;
    feed(a, &now, &number, 0.25, 0.1);
  }
  cr_assert(!allocation_summary(a).is_short && grown_at > 0);
  cr_assert_geq(now - grown_at, 1.9);
  cr_assert_eq(cutoff_for(a, now, 2), INFINITY);
  feed(a, &now, &number, 0.25, 0.6);
  cr_assert(allocation_summary(a).is_short, "at once");
  allocation_free(a);
}

/* Guards against a capacity that falls with the cutoffs, down to half of what
   the targets can read: while a service is short its demand exceeds their rates
   by definition, so a wait below half of the objective is no overload. */
Test(allocation, the_capacity_of_a_short_service_grows_while_waits_are_short) {
  Allocation *a = new_allocation();
  double now = 100;
  uint64_t number = 0;
  feed(a, &now, &number, 3, 0.55);
  double before = allocation_summary(a).capacity;
  cr_assert(before < allocation_summary(a).demand);
  feed(a, &now, &number, 0.75, 0.375);
  cr_assert_float_eq(allocation_summary(a).capacity, before * 1.157625, 1);
  allocation_free(a);
}

/* Guards against a service that becomes short of capacity when its load begins:
   the tokens of the last second are then fewer than the targets can read. */
Test(allocation, a_load_that_begins_makes_no_service_short) {
  Allocation *a = new_allocation();
  double now = 100;
  for (uint64_t number = 1; number <= 40; number++, now += 0.25) {
    AllocationDemand m = report(number, number % 4 == 3 ? 0.2 : 0.7);
    m.n = 1;
    m.rows[0].asked = 50000;
    m.read_per_s = MIN(50000, 12000 * (double)number);
    allocation_receive(a, now, 9, &m);
    allocation_step(a, now);
    cr_assert(!allocation_summary(a).is_short, "%d", (int)number);
  }
  allocation_free(a);
}

/* Guards against rates that are taken for the capacity where slots limit the
   targets: they read half as fast as their rates say. */
Test(allocation, targets_limited_by_slots_are_short_within_two_seconds) {
  Allocation *a = new_allocation();
  double now = 100, short_at = 0;
  for (uint64_t number = 1; number <= 12; number++, now += 0.25) {
    AllocationDemand m = report(number, 0.7);
    m.reading_per_s = 400000;
    allocation_receive(a, now, 9, &m);
    allocation_step(a, now);
    if (short_at == 0 && allocation_summary(a).is_short) short_at = now;
  }
  cr_assert(short_at > 101 && short_at < 102, "%f", short_at);
  /* 0.95 of 100,000, less at most 0.15 for the wait. */
  cr_assert_float_eq(allocation_summary(a).capacity, 80000, 1);
  allocation_free(a);
}

static void put_priorities(AllocationDemand *m) {
  m->n = 4;
  /* Customer 1 has a configured priority of 1, customer 2 of 0. */
  m->rows[0] = (AllocationRow){1, 3, 50000, 0};
  m->rows[1] = (AllocationRow){2, 0, 40000, 0};
  m->rows[2] = (AllocationRow){2, 1, 20000, 0};
  m->rows[3] = (AllocationRow){2, 2, 50000, 0};
}

/* Better customers first, and within one the more urgent priorities. */
Test(allocation, priorities_decide_before_shares) {
  Allocation *a = new_allocation();
  double now = 100;
  for (uint64_t number = 1; number <= 40; number++, now += 0.25) {
    AllocationDemand m = report(number, 0.55);
    put_priorities(&m);
    allocation_receive(a, now, 9, &m);
    allocation_step(a, now);
  }
  /* 90,000 tokens: 40,000 + 20,000 + 30,000 of 50,000. */
  cr_assert_float_eq(cutoff_for(a, now, 2), 2.6, 0.05);
  cr_assert_eq(cutoff_for(a, now, 1), 3);
  allocation_free(a);
}

/* Guards against figures that no instance can have seen. */
Test(allocation, damaged_figures_have_no_effect) {
  Allocation *a = new_allocation();
  double now = 100;
  uint64_t number = 0;
  static const double bad[] = {-1, NAN, INFINITY, -INFINITY, 1e300};
  feed(a, &now, &number, 4, 0.55);
  AllocationSummary before = allocation_summary(a);
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    AllocationDemand m = report(1000 + i, 0.55);
    double *heads[] = {&m.period_s,      &m.rest_asked, &m.rest_admitted,
                       &m.rejected,      &m.promised,   &m.wait_s,
                       &m.reading_per_s, &m.read_per_s};
    for (size_t k = 0; k < G_N_ELEMENTS(heads); k++) {
      double good = *heads[k];
      *heads[k] = bad[i];
      cr_assert_eq(allocation_receive(a, now, 8, &m), 1, "%zu %zu", i, k);
      *heads[k] = good;
    }
    m.rows[0].asked = m.rows[1].admitted = bad[i];
    m.rows[1].asked = 1;
    m.targets = -1;
    cr_assert_eq(allocation_receive(a, now, 8, &m), 1);
    m.targets = 0;
    m.reading_per_s = m.read_per_s = m.wait_s = 0;
    cr_assert_eq(allocation_receive(a, now, 7, &m), 2, "both rows");
  }
  feed(a, &now, &number, 0.25, 0.55);
  AllocationSummary after = allocation_summary(a);
  cr_assert_float_eq(after.capacity, before.capacity, 1);
  cr_assert_float_eq(after.demand, before.demand, before.demand * 0.01);
  cr_assert_eq(after.customers, 2);
  allocation_free(a);
}

/* Guards against one instance whose figures are possible and wrong: the largest
   demand that is valid holds back that customer alone. */
Test(allocation, an_absurd_demand_holds_back_its_customer_alone) {
  Allocation *a = new_allocation();
  double now = 100;
  uint64_t number = 0;
  feed(a, &now, &number, 4, 0.55);
  AllocationDemand m = report(1, 0);
  m.targets = 0;
  m.reading_per_s = m.read_per_s = 0;
  m.n = 1;
  m.rows[0] = (AllocationRow){3, 0, 1e9, 0};
  cr_assert_eq(allocation_receive(a, now, 8, &m), 0);
  feed(a, &now, &number, 0.25, 0.55);
  cr_assert_lt(cutoff_for(a, now, 3), 0.01);
  cr_assert_eq(cutoff_for(a, now, 1), INFINITY);
  cr_assert_gt(cutoff_for(a, now, 2), 0.1);
  allocation_free(a);
}

/* Guards against a report that counts twice, or after a newer one. */
Test(allocation, repeated_and_overtaken_reports_are_discarded) {
  Allocation *a = new_allocation();
  AllocationDemand m = report(5, 0);
  allocation_receive(a, 100, 9, &m);
  allocation_receive(a, 100, 9, &m);
  m.number = 4;
  allocation_receive(a, 100, 9, &m);
  allocation_step(a, 100.1);
  m.number = 6;
  allocation_receive(a, 100.5, 9, &m);
  allocation_step(a, 100.5);
  cr_assert_float_eq(allocation_summary(a).demand, 200000 * 0.5 / 0.65, 50000);
  allocation_free(a);
}

Test(allocation, an_allocation_without_reports_expires) {
  Allocation *a = new_allocation();
  double now = 100;
  uint64_t number = 0;
  feed(a, &now, &number, 1, 0.55);
  cr_assert(!allocation_is_expired(a, now + 2));
  cr_assert(allocation_is_expired(a, now + 4));
  allocation_free(a);
}

/* Guards against state that grows with what is sent. */
Test(allocation, the_number_of_customers_is_bounded) {
  Allocation *a = new_allocation();
  for (uint64_t i = 1; i <= 200; i++) {
    AllocationDemand m = report(i, 0);
    m.n = ALLOCATION_MAX_ROWS;
    for (int k = 0; k < m.n; k++)
      m.rows[k] = (AllocationRow){i * 100 + (uint64_t)k, (int)i, 1e6, 0};
    allocation_receive(a, 100, i, &m);
  }
  allocation_step(a, 100.3);
  cr_assert_eq(allocation_summary(a).customers, 4096);
  allocation_free(a);
}
