/* asking.c: queries and reports to counters. In a large fleet each target has a
   counter, an instance that counts the requests of all instances there. A run
   queries these counts for a few targets, and reports its own work to the
   counter of the target that it is sent to. */
#include <jansson.h>
#include <math.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "route/parts.h"

static bool is_rated(const Run *x) {
  return x->service_name && run_is_managed(x, MANAGED_RATES);
}

/* In a small fleet all work is known by the instances' reports to each other,
   and a choice does not wait for counts. */
static bool awaits_tallies(const Run *x) {
  bool is_counted = is_rated(x) || (x->service && x->service->engine);
  return is_counted && cluster_is_large(x->relay->cluster);
}

static bool uses_tallies(const Run *x) {
  return is_rated(x) || awaits_tallies(x);
}

#define RATE_LOG_INTERVAL_S 1.0 /* between log lines on invalid rates */

static void on_query_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  run_choose_target(w->data);
}

static void query_target(Run *x, TallyQuery *a, uint64_t target) {
  a->target = target;
  a->counter = targets_counter(x->relay->targets, target);
  cluster_request_tally(x->relay->cluster, a);
}

/* Queries the targets, whose reports are added to those of the run. */
static void query_for_run(Run *x, const uint64_t *targets, int n) {
  Relay *r = x->relay;
  TallyQuery a = {.regions = x->regions};
  x->query_id = a.number = ++r->last_query_id;
  x->n_queried = x->n_reports + n;
  a.parts.n = parts_names(&x->request, a.parts.names, TALLY_MAX_PARTS);
  g_hash_table_insert(r->runs_by_query, &x->query_id, x);
  for (int i = 0; i < n; i++) {
    x->queried[x->n_queried_targets++] = targets[i];
    query_target(x, &a, targets[i]);
  }
  ev_timer_init(&x->query_timer, on_query_timeout, RUN_ANSWER_TIMEOUT_S, 0);
  x->query_timer.data = x;
}

/* Queries the rate of one random target of which none was received recently.
   Nothing waits for it: it serves the next requests. */
static void query_rate(Run *x, const TargetRequest *criteria) {
  Relay *r = x->relay;
  double now = run_now(x);
  uint64_t targets[TARGETS_MAX_QUERIED];
  TallyQuery a = {.number = ++r->last_query_id, .regions = x->regions};
  int i = 0,
      n = targets_to_query_more(r->targets, now, criteria, NULL, 0, targets);
  while (i < n && targets_rate_is_fresh(r->targets, now, targets[i])) i++;
  if (i < n) query_target(x, &a, targets[i]);
}

void run_query_tallies(Run *x) {
  uint64_t targets[TARGETS_MAX_QUERIED];
  if (!uses_tallies(x)) return;
  TargetRequest criteria = run_target_criteria(x);
  x->n_reports = x->n_queried = x->n_queried_targets = 0;
  x->queried_twice = false;
  if (!awaits_tallies(x)) {
    query_rate(x, &criteria);
    return;
  }
  int n = targets_to_query(x->relay->targets, run_now(x), &criteria, targets);
  query_for_run(x, targets, n);
}

bool run_query_more(Run *x, const TargetChoice *c) {
  uint64_t targets[TARGETS_MAX_QUERIED];
  double since_s = run_now(x) - x->http_request->received_at;
  if (!c->rated || x->n_reports == 0 || x->queried_twice) return false;
  if (x->n_permit_requests > 0 || since_s + c->wait_s <= x->route->slo_s)
    return false;
  TargetRequest criteria = run_target_criteria(x);
  int n = targets_to_query_more(x->relay->targets, run_now(x), &criteria,
                                x->queried, x->n_queried_targets, targets);
  if (n == 0) return false;
  count_add(COUNT_SECOND_QUERIES, 1);
  run_cancel_query(x);
  x->queried_twice = true;
  query_for_run(x, targets, n);
  return true;
}

void run_cancel_query(Run *x) {
  if (x->query_id == 0) return;
  ev_timer_stop(x->relay->loop, &x->query_timer);
  g_hash_table_remove(x->relay->runs_by_query, &x->query_id);
  x->query_id = 0;
  x->awaits_reports = x->awaits_permit = x->awaits_origin = false;
}

void relay_on_tally(Relay *r, const TallyReport *w) {
  Run *x = g_hash_table_lookup(r->runs_by_query, &w->number);
  if (!x || x->awaits_permit || x->n_reports == x->n_queried) return;
  x->reports[x->n_reports++] = *w;
  if (x->awaits_reports && x->n_reports == x->n_queried) run_choose_target(x);
}

/* == rates of targets == */

void relay_on_rate(Relay *r, const TallyRate *m) {
  double now = loopclock_now(r->loop);
  count_add(COUNT_RATES, 1);
  if (targets_apply_rate(r->targets, now, m)) return;
  count_add(COUNT_RATES_INVALID, 1);
  if (now - r->invalid_rate_logged_at < RATE_LOG_INTERVAL_S) return;
  r->invalid_rate_logged_at = now;
  log_warn("target-rate-invalid", "s:f,s:f,s:f,s:f", "token_us",
           m->rate.token_s * 1e6, "slot", m->rate.slot_s, "age", m->rate.age_s,
           "tokens", m->rate.tokens);
}

static bool rates_are_managed(const Relay *r, const ConfService *s) {
  if (s && s->engine) return managed_applies(r->managed, MANAGED_RATES, s);
  return managed_applies_to_plain(r->managed, MANAGED_RATES, r->conf);
}

bool relay_find_target(const Relay *r, uint64_t target, TallyTarget *out) {
  const char *name = targets_describe(r->targets, target, out);
  if (!name || !r->conf) return false;
  const ConfService *s = conf_find_service(r->conf, name);
  bool engine = s && s->engine;
  out->managed = rates_are_managed(r, s);
  if (engine) out->slots = s->batch_slots;
  if (!engine) out->start_token_s = 0; /* it reads no prompts */
  return true;
}

static void log_service_rates(const Relay *r, const char *service) {
  TallyPoolState state;
  if (!cluster_pool_state(r->cluster, text_hash(service), &state)) return;
  log_info("service-rates", "s:s,s:i,s:f,s:f,s:f", "service", service,
           "targets", state.targets, "tokens_per_s", state.tokens_per_s,
           "read_per_s", state.read_per_s, "wait",
           state.wait_s / state.targets);
}

void relay_log_rates(const Relay *r) {
  GHashTableIter it;
  gpointer name, service;
  if (!r->conf || !managed_applies_to_any(r->managed, MANAGED_RATES, r->conf))
    return;
  g_hash_table_iter_init(&it, r->conf->services);
  while (g_hash_table_iter_next(&it, &name, &service))
    if (rates_are_managed(r, service)) log_service_rates(r, name);
}

json_t *run_rate_fields(const Run *x) {
  const TargetChoice *c = &x->choice;
  if (!c->rated) return NULL;
  double age_s = isinf(c->rate_age_s) ? -1 : c->rate_age_s;
  return json_pack("{s:f,s:f,s:i}", "tokens_per_s",
                   c->token_s > 0 ? 1 / c->token_s : 0, "age", age_s, "queried",
                   x->n_queried_targets);
}

/* == reports of this run == */

static void send_report(const Run *x, bool open, int64_t tokens, bool parts) {
  TallyRun m = {.target = target_hash(x->target),
                .counter = x->counter,
                .run = x->run_id,
                .open = open,
                .tokens = tokens,
                .regions = x->regions};
  if (parts)
    m.parts.n = parts_names(&x->request, m.parts.names, TALLY_MAX_PARTS);
  cluster_report_run(x->relay->cluster, &m);
}

void run_report_sent(Run *x) {
  if (is_rated(x) && !x->choice.rated) count_add(COUNT_RATES_MISSING, 1);
  if (!uses_tallies(x) && !x->choice.bounded) return;
  x->run_id =
      x->permit_run_id != 0 ? x->permit_run_id : ++x->relay->last_run_id;
  x->counter = targets_counter(x->relay->targets, target_hash(x->target));
  send_report(x, true, x->choice.uncached_tokens, true);
}

void run_report_prompt_read(Run *x) {
  if (x->run_id != 0) send_report(x, true, 0, false);
}

void run_report_done(Run *x) {
  if (x->run_id == 0) return;
  send_report(x, false, 0, false);
  x->run_id = 0;
}
