/* permits.c: a request to a bounded target goes there with the permit of
   whoever counts its work. */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"

/* For the answer; instances are 1.4 ms apart, and take a turn. Without one the
   instance's own part of the bound decides. */
#define ANSWER_S 0.02
/* A permit is for now: one that this process could not use at once, since it
   stood still, is for a time that has passed. */
#define PERMIT_OLD_S 0.1
/* Who counts gave no answer: not asked again for so long. */
#define SILENT_S 0.25
/* Targets that one request asks for in turn. */
#define PERMITS_MOST 10

/* Our own part of the bound decides. */
static void take_own_part(Run *x) {
  Target *t = x->choice.target;
  double now = run_now(x);
  if (target_usable(t, now) && target_deals(&x->choice, now)) {
    run_send(x);
    return;
  }
  target_full(&x->choice, now, SILENT_S);
  run_choose(x);
}

static void on_no_answer(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  run_stop_asking(x);
  count_add(COUNT_PERMITS_SILENT, 1);
  take_own_part(x);
}

bool run_may_ask_permit(const Run *x) {
  return x->n_permits < PERMITS_MOST;
}

void run_ask_permit(Run *x, const TargetChoice *c) {
  Relay *r = x->relay;
  double now = run_now(x);
  TallyPermitAsk a = target_permit_ask(c, now);
  x->choice = *c;
  x->n_permits++;
  x->all_permits++;
  x->asked_at = now;
  x->permit_asked = true;
  x->question = a.number = ++r->questions;
  x->permit_run = a.run = ++r->runs;
  g_hash_table_insert(r->asking, &x->question, x);
  ev_timer_init(&x->told_timer, on_no_answer, ANSWER_S, 0);
  x->told_timer.data = x;
  ev_timer_start(r->loop, &x->told_timer);
  cluster_permit_ask(r->cluster, &a);
}

void relay_limit(Relay *r, uint64_t target, double limit) {
  const Target *t = targets_limit_told(r->targets, target, limit);
  if (!t) return;
  bool ended = limit >= QUOTA_UNLIMITED;
  log_info("target-limit", "s:s,s:s,s:f", "target", target_id(t), "word",
           ended ? "told ended" : "told", "per_s", ended ? 0 : limit);
}

void relay_permit(Relay *r, const TallyPermit *p) {
  Run *x = g_hash_table_lookup(r->asking, &p->number);
  if (!x || !x->permit_asked) return;
  double now = run_now(x);
  bool late = r->behind || now - x->asked_at > PERMIT_OLD_S;
  run_stop_asking(x);
  relay_limit(r, p->target, p->limit);
  x->choice.bounds.limit = p->limit;
  if (p->verdict == TALLY_UNKNOWN && !late) {
    take_own_part(x);
    return;
  }
  if (p->verdict != TALLY_GIVEN) {
    count_add(COUNT_PERMITS_REFUSED, 1);
    target_full(&x->choice, now, p->wait_s);
  }
  bool given = p->verdict == TALLY_GIVEN && !late;
  if (given && target_usable(x->choice.target, now))
    run_send(x);
  else
    run_choose(x);
}
