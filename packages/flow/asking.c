/* asking.c: queries and reports to counters. In a large fleet each target has a
   counter, an instance that counts the requests of all instances there. A run
   queries these counts for a few targets, and reports its own work to the
   counter of the target that it is sent to. */
#include "flow/run.h"
#include "route/parts.h"

static bool uses_tallies(const Run *x) {
  return x->service && x->service->engine &&
         cluster_is_large(x->relay->cluster);
}

static void on_query_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  run_choose_target(w->data);
}

void run_query_tallies(Run *x) {
  Relay *r = x->relay;
  uint64_t targets[TARGETS_MAX_QUERIED];
  TallyQuery a = {0};
  if (!uses_tallies(x)) return;
  TargetRequest criteria = run_target_criteria(x);
  a.regions = x->regions;
  x->n_reports = 0;
  x->n_queried = targets_to_query(r->targets, run_now(x), &criteria, targets);
  x->query_id = a.number = ++r->last_query_id;
  a.parts.n = parts_names(&x->request, a.parts.names, TALLY_MAX_PARTS);
  g_hash_table_insert(r->runs_by_query, &x->query_id, x);
  for (int i = 0; i < x->n_queried; i++) {
    a.target = targets[i];
    a.counter = targets_counter(r->targets, targets[i]);
    cluster_request_tally(r->cluster, &a);
  }
  ev_timer_init(&x->query_timer, on_query_timeout, RUN_ANSWER_TIMEOUT_S, 0);
  x->query_timer.data = x;
}

void run_cancel_query(Run *x) {
  if (x->query_id == 0) return;
  ev_timer_stop(x->relay->loop, &x->query_timer);
  g_hash_table_remove(x->relay->runs_by_query, &x->query_id);
  x->query_id = 0;
  x->awaits_reports = x->awaits_permit = false;
}

void relay_on_tally(Relay *r, const TallyReport *w) {
  Run *x = g_hash_table_lookup(r->runs_by_query, &w->number);
  if (!x || x->awaits_permit || x->n_reports == x->n_queried) return;
  x->reports[x->n_reports++] = *w;
  if (x->awaits_reports && x->n_reports == x->n_queried) run_choose_target(x);
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
