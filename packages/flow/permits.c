/* permits.c: what targets take, and the permits of whoever counts their work,
   with which a request goes to a bounded one. */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"

/* A permit is for now: one that this process could not use at once, since it
   stood still, is for a time that has passed. */
#define PERMIT_OLD_S 0.1
/* Who counts gave no answer: not asked again for so long. */
#define SILENT_S 0.25
/* Targets that one request asks for in turn. */
#define PERMITS_MOST 10

/* == questions == */

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
  ev_timer_init(&x->told_timer, on_no_answer, RUN_ANSWER_S, 0);
  x->told_timer.data = x;
  ev_timer_start(r->loop, &x->told_timer);
  cluster_request_permit(r->cluster, &a);
}

/* == limits == */

/* `request`: whose answer says so; NULL: another instance. */
static void log_limit(const Target *t, const char *request, const char *word,
                      double limit) {
  log_info("target-limit", "s:s,s:s*,s:s,s:f", "target", target_id(t),
           "request", request, "word", word, "per_s",
           limit < QUOTA_UNLIMITED ? limit : 0);
}

static void tell_limit(const Run *x, double limit) {
  TallyLimit word = {.target = target_hash(x->target), .limit = limit};
  word.counter = targets_counter(x->relay->targets, word.target);
  cluster_report_limit(x->relay->cluster, &word);
}

void run_note_limit(Run *x, const Answer *a) {
  Target *t = x->target;
  if (a->limits == ANSWER_LIMIT_DAMAGED) {
    count_add(COUNT_LIMITS_DAMAGED, 1);
    if (target_limit_damaged(t)) log_limit(t, x->ask.id, "damaged", 0);
    return;
  }
  bool named = a->limits == ANSWER_LIMIT;
  /* An answer without its signature may have lost that word. */
  if (!named && !a->signed_) return;
  double limit = named ? a->limit : QUOTA_UNLIMITED;
  TargetNews news = target_limit(t, run_now(x), limit);
  if (news != TARGET_KNOWN) tell_limit(x, limit);
  if (news != TARGET_CHANGED) return;
  count_add(COUNT_LIMITS, 1);
  log_limit(t, x->ask.id, named ? "named" : "ended", limit);
}

void relay_limit(Relay *r, uint64_t target, double limit) {
  const Target *t = targets_limit_told(r->targets, target, limit);
  bool ended = limit >= QUOTA_UNLIMITED;
  if (t) log_limit(t, NULL, ended ? "told ended" : "told", limit);
}

/* == answers == */

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
