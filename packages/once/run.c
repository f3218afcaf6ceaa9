/* run.c: the runner's side of a request: query of the keepers, claim, finish.
 */
#include "once/state.h"

#include <assert.h>
#include <string.h>

#define KEEPER_WAIT_S 0.5 /* time for a keeper to reply */
#define KEEPER_COUNT 2    /* keepers that record a run, since one may fail */
#define FINISH_WAIT_S 2.0 /* time that the caller waits for the keeper */
#define FINISHES_PER_KEEPER 3 /* then the next keeper gets it too */

/* == runs == */

void run_free(gpointer p) {
  Run *r = p;
  once_answer_clear(&r->answer);
  g_free(r);
}

static Run *find_run(const Once *o, uint64_t handle) {
  return g_hash_table_lookup(o->runs, &handle);
}

static void drop_run(Once *o, uint64_t handle) {
  g_hash_table_remove(o->runs, &handle);
}

static void answer_run(Once *o, Run *r, OnceVerdict v,
                       const OnceAnswer *answer) {
  OnceAction *a = once_add_action(o, ONCE_DO_ANSWER);
  a->handle = r->handle;
  a->verdict = v;
  g_strlcpy(a->target, r->target, sizeof a->target);
  if (answer) a->answer = once_answer_copy(answer, LIMIT_KEPT_ANSWER_BYTES);
  if (v == ONCE_RUN)
    r->state = RUN_RUNNING;
  else
    drop_run(o, r->handle);
}

/* Informs the keepers from rank `first` on that the run is over. */
static void send_end(Once *o, const Run *r, int first) {
  OnceMsg m = {.kind = ONCE_ABORT, .key = r->key, .nonce = r->nonce};
  for (int rank = first; r->has_caller_key && rank < KEEPER_COUNT; rank++) {
    const Member *k = keeper_of(o, r->key, rank);
    if (k) once_send(o, k->id, &m);
  }
}

static void send_abort(Once *o, const Run *r) {
  send_end(o, r, 0);
}

static void start_claim(Once *o, Run *r) {
  if (!unstored_has_room(o, r->customer)) {
    send_abort(o, r);
    answer_run(o, r, ONCE_NO_BILL, NULL);
    return;
  }
  if (r->repeatable || o->faults.skip_claims) {
    answer_run(o, r, ONCE_RUN, NULL);
    return;
  }
  r->state = RUN_CLAIMING;
  r->deadline = o->now + ONCE_CLAIM_WAIT_S;
  claimquery_claim(o, r);
}

void run_claim_decided(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                       const OnceAnswer *answer) {
  Run *r = find_run(o, handle);
  bool is_waiting = r && r->nonce == nonce && r->state == RUN_CLAIMING;
  if (!is_waiting) return;
  if (v == ONCE_RUN) r->claimed = true;
  if (v != ONCE_RUN) send_abort(o, r);
  answer_run(o, r, v, answer);
}

/* == querying keepers == */

static void query_keeper(Once *o, Run *r, const Member *k) {
  OnceMsg m = {.kind = ONCE_BEGIN,
               .key = r->key,
               .nonce = r->nonce,
               .digest = r->digest};
  r->sent_at = o->now;
  if (!k) return;
  g_strlcpy(r->keeper, k->id, sizeof r->keeper);
  once_send(o, k->id, &m);
}

static void repeat_query(Once *o, Run *r) {
  const Member *k = view_find(o->view, r->keeper);
  query_keeper(o, r, k ? k : keeper_of(o, r->key, 0));
}

/* The keeper did not reply: queries the second one before the request runs. If
   the view no longer has the lost keeper, the second one is now the first. */
static void query_second_keeper(Once *o, Run *r) {
  const Member *first = keeper_of(o, r->key, 0);
  bool same = first && strcmp(first->id, r->keeper) == 0;
  const Member *k = same ? keeper_of(o, r->key, 1) : first;
  if (r->second_keeper || !k) {
    start_claim(o, r);
    return;
  }
  r->second_keeper = true;
  r->deadline = o->now + KEEPER_WAIT_S;
  query_keeper(o, r, k);
}

void run_keeper_replied(Once *o, const OnceMsg *m) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, o->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Run *r = v;
    if (r->nonce != m->nonce || r->state != RUN_QUERYING_KEEPER) continue;
    g_strlcpy(r->target, m->target, sizeof r->target);
    if (m->verdict == ONCE_RUN)
      start_claim(o, r);
    else
      answer_run(o, r, m->verdict, &m->answer);
    return;
  }
}

/* == finishing == */

static void send_finish(Once *o, Run *r) {
  const Member *k =
      keeper_of(o, r->key, r->finish_tries++ / FINISHES_PER_KEEPER);
  if (!k) k = keeper_of(o, r->key, 0);
  OnceMsg m = {.kind = ONCE_FINISH,
               .key = r->key,
               .nonce = r->nonce,
               .digest = r->digest,
               .bill = r->bill};
  m.answer = once_answer_copy(&r->answer, LIMIT_KEPT_ANSWER_BYTES);
  OwedBill *owed = g_new0(OwedBill, 1);
  owed->summary = once_bill_from_msg(o, &m);
  owed->sent_at = r->sent_at = o->now;
  owed->keeper = k ? g_intern_string(k->id) : "";
  owed_add(o, owed);
  if (k) once_send(o, k->id, &m);
  if (!k) once_answer_clear(&m.answer);
}

static void report_done(Once *o, uint64_t handle, bool duplicate) {
  OnceAction *a = once_add_action(o, ONCE_DO_DONE);
  a->handle = handle;
  a->duplicate = duplicate;
  drop_run(o, handle);
}

void run_finish_acked(Once *o, const OnceMsg *m) {
  OwedBill *x = g_hash_table_lookup(o->owed, &m->key);
  if (x && x->summary.nonce == m->nonce) x->held_by_keeper = true;
  if (m->duplicate) owed_remove(o, m->key);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, o->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Run *r = v;
    if (r->nonce != m->nonce || r->state != RUN_FINISHING) continue;
    report_done(o, r->handle, m->duplicate);
    return;
  }
}

/* == events == */

void once_begin(Once *o, double now, uint64_t handle, const char *customer,
                OnceKey key, uint64_t digest, bool has_caller_key,
                bool repeatable) {
  o->now = now;
  assert(!find_run(o, handle));
  Run *r = g_new0(Run, 1);
  *r = (Run){.handle = handle,
             .key = key,
             .customer = g_intern_string(customer),
             .digest = digest,
             .has_caller_key = has_caller_key,
             .repeatable = repeatable,
             .deadline = now + KEEPER_WAIT_S};
  r->nonce = (uint64_t)g_rand_int(o->rng) << 32 | g_rand_int(o->rng);
  g_hash_table_insert(o->runs, &r->handle, r);
  r->state = RUN_QUERYING_KEEPER;
  if (has_caller_key)
    query_keeper(o, r, keeper_of(o, key, 0));
  else
    start_claim(o, r);
  once_deliver_local(o);
}

void once_dispatched(Once *o, double now, uint64_t handle, const char *target) {
  o->now = now;
  Run *r = find_run(o, handle);
  if (!r || !r->has_caller_key) return; /* no caller can retry it */
  OnceMsg m = {.kind = ONCE_DISPATCHED,
               .key = r->key,
               .nonce = r->nonce,
               .digest = r->digest};
  g_strlcpy(m.target, target, sizeof m.target);
  for (int rank = 0; rank < KEEPER_COUNT; rank++) {
    const Member *k = keeper_of(o, r->key, rank);
    if (k) once_send(o, k->id, &m);
  }
  once_deliver_local(o);
}

void once_finish(Once *o, double now, uint64_t handle, const OnceBill *bill,
                 const OnceAnswer *answer) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->state = RUN_FINISHING;
  r->deadline = now + FINISH_WAIT_S;
  r->bill = *bill;
  r->answer = once_answer_copy(answer, LIMIT_KEPT_ANSWER_BYTES);
  if (r->claimed) claimquery_outcome(o, r);
  send_finish(o, r);
  send_end(o, r, 1);
  once_deliver_local(o);
}

void once_finish_unknown(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->unknown = true;
  if (r->claimed) claimquery_outcome(o, r);
  send_abort(o, r);
  drop_run(o, handle);
  once_deliver_local(o);
}

void once_abort(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  if (!r) return;
  if (r->claimed || r->state == RUN_CLAIMING) claimquery_release(o, r);
  send_abort(o, r);
  drop_run(o, handle);
  once_deliver_local(o);
}

/* == time == */

static void tick_run(Once *o, Run *r) {
  bool expired = o->now >= r->deadline;
  bool resend = o->now - r->sent_at >= ONCE_RESEND_S;
  switch (r->state) {
  case RUN_QUERYING_KEEPER:
    /* If no keeper replies, the request runs. A second run of a repeatable
       request consumes tokens of the budget, but is billed once. A request that
       is not repeatable is still protected by its claim. */
    if (expired)
      query_second_keeper(o, r);
    else if (resend)
      repeat_query(o, r);
    break;
  case RUN_CLAIMING:
    if (!expired) break;
    claimquery_release(o, r);
    send_abort(o, r);
    answer_run(o, r, ONCE_NO_CLAIM, NULL);
    break;
  case RUN_FINISHING:
    /* The bill stays owed: it is resent until it is stored. */
    if (expired)
      report_done(o, r->handle, false);
    else if (resend)
      send_finish(o, r);
    break;
  case RUN_RUNNING: break;
  }
}

void run_tick(Once *o) {
  GList *runs = g_hash_table_get_values(o->runs);
  for (GList *i = runs; i; i = i->next) tick_run(o, i->data);
  g_list_free(runs);
}
