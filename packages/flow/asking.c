/* asking.c: in a large fleet a request asks what all have at a few targets, and
   tells whoever counts there of itself. */
#include "flow/run.h"
#include "route/parts.h"

static bool asks(const Run *x) {
  return x->service && x->service->engine &&
         cluster_is_large(x->relay->cluster);
}

static void on_told_late(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  run_choose(w->data);
}

void run_ask(Run *x) {
  Relay *r = x->relay;
  uint64_t targets[TARGETS_ASKED];
  TallyAsk a = {0};
  if (!asks(x)) return;
  TargetAsk ask = run_target_ask(x);
  a.regions = x->regions;
  x->n_words = 0;
  x->n_asked = targets_to_ask(r->targets, run_now(x), &ask, targets);
  x->question = a.number = ++r->questions;
  a.parts.n = parts_names(&x->ask, a.parts.names, TALLY_NAMES);
  g_hash_table_insert(r->asking, &x->question, x);
  for (int i = 0; i < x->n_asked; i++) {
    a.target = targets[i];
    a.counter = targets_counter(r->targets, targets[i]);
    cluster_request_tally(r->cluster, &a);
  }
  ev_timer_init(&x->told_timer, on_told_late, RUN_ANSWER_S, 0);
  x->told_timer.data = x;
}

void run_stop_asking(Run *x) {
  if (x->question == 0) return;
  ev_timer_stop(x->relay->loop, &x->told_timer);
  g_hash_table_remove(x->relay->asking, &x->question);
  x->question = 0;
  x->holds = x->permit_asked = false;
}

void relay_tally(Relay *r, const TallyWord *w) {
  Run *x = g_hash_table_lookup(r->asking, &w->number);
  if (!x || x->permit_asked || x->n_words == x->n_asked) return;
  x->words[x->n_words++] = *w;
  if (x->holds && x->n_words == x->n_asked) run_choose(x);
}

/* == telling == */

static void tell(const Run *x, bool open, int64_t tokens, bool parts) {
  TallyRun m = {.target = target_hash(x->target),
                .counter = x->counter,
                .run = x->run,
                .open = open,
                .tokens = tokens,
                .regions = x->regions};
  if (parts) m.parts.n = parts_names(&x->ask, m.parts.names, TALLY_NAMES);
  cluster_report_run(x->relay->cluster, &m);
}

void run_tell_sent(Run *x) {
  if (!asks(x) && !x->choice.bounded) return;
  x->run = x->permit_run != 0 ? x->permit_run : ++x->relay->runs;
  x->counter = targets_counter(x->relay->targets, target_hash(x->target));
  tell(x, true, x->choice.fresh, true);
}

void run_tell_read(Run *x) {
  if (x->run != 0) tell(x, true, 0, false);
}

void run_tell_done(Run *x) {
  if (x->run == 0) return;
  tell(x, false, 0, false);
  x->run = 0;
}
