/* run.c: the runner's side of a record: keepers, claim, end. */
#include "once/state.h"

#include <assert.h>
#include <string.h>

#define ASK_WAIT 0.5    /* a keeper that says nothing is done without */
#define KEEPERS 2       /* know where a run is: one of them may be lost */
#define FINISH_WAIT 2.0 /* the caller waits this long for a keeper's word */
#define KEEPER_TRIES 3  /* then another keeper is told as well */

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
  OnceAction *a = once_act(o, ONCE_DO_ANSWER);
  a->handle = r->handle;
  a->verdict = v;
  g_strlcpy(a->target, r->target, sizeof a->target);
  if (answer) a->answer = once_answer_copy(answer, LIMIT_KEPT_ANSWER_BYTES);
  if (v == ONCE_RUN)
    r->state = RUN_RUNNING;
  else
    drop_run(o, r->handle);
}

/* Tells the keepers from `first` on that nobody runs it any more. */
static void tell_end(Once *o, const Run *r, int first) {
  OnceMsg m = {.kind = ONCE_ABORT, .key = r->key, .nonce = r->nonce};
  for (int rank = first; r->ask && rank < KEEPERS; rank++) {
    const Member *k = keeper_of(o, r->key, rank);
    if (k) once_send(o, k->id, &m);
  }
}

static void tell_abort(Once *o, const Run *r) {
  tell_end(o, r, 0);
}

static void claim(Once *o, Run *r) {
  if (r->repeat || o->faults.no_claim) {
    answer_run(o, r, ONCE_RUN, NULL);
    return;
  }
  r->state = RUN_CLAIMING;
  r->deadline = o->now + ONCE_CLAIM_WAIT_S;
  wish_claim(o, r);
}

void run_claimed(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                 const OnceAnswer *answer) {
  Run *r = find_run(o, handle);
  bool waits = r && r->nonce == nonce && r->state == RUN_CLAIMING;
  if (!waits) return;
  if (v == ONCE_RUN) r->claimed = true;
  if (v != ONCE_RUN) tell_abort(o, r);
  answer_run(o, r, v, answer);
}

/* == asking == */

static void ask_keeper(Once *o, Run *r, const Member *k) {
  OnceMsg m = {.kind = ONCE_BEGIN,
               .key = r->key,
               .nonce = r->nonce,
               .digest = r->digest};
  r->sent = o->now;
  if (!k) return;
  g_strlcpy(r->keeper, k->id, sizeof r->keeper);
  once_send(o, k->id, &m);
}

static void ask_again(Once *o, Run *r) {
  const Member *k = view_find(o->view, r->keeper);
  ask_keeper(o, r, k ? k : keeper_of(o, r->key, 0));
}

/* The keeper says nothing: its second is asked before the request runs. Should
   the loss have been seen meanwhile, the second is the first by now. */
static void ask_second(Once *o, Run *r) {
  const Member *first = keeper_of(o, r->key, 0);
  bool same = first && strcmp(first->id, r->keeper) == 0;
  const Member *k = same ? keeper_of(o, r->key, 1) : first;
  if (r->second || !k) {
    claim(o, r);
    return;
  }
  r->second = true;
  r->deadline = o->now + ASK_WAIT;
  ask_keeper(o, r, k);
}

void run_begun(Once *o, const OnceMsg *m) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, o->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Run *r = v;
    if (r->nonce != m->nonce || r->state != RUN_ASKING) continue;
    g_strlcpy(r->target, m->target, sizeof r->target);
    if (m->verdict == ONCE_RUN)
      claim(o, r);
    else
      answer_run(o, r, m->verdict, &m->answer);
    return;
  }
}

/* == finishing == */

static void send_finish(Once *o, Run *r) {
  const Member *k = keeper_of(o, r->key, r->tries++ / KEEPER_TRIES);
  if (!k) k = keeper_of(o, r->key, 0);
  OnceMsg m = {.kind = ONCE_FINISH,
               .key = r->key,
               .nonce = r->nonce,
               .digest = r->digest,
               .bill = r->bill};
  m.answer = once_answer_copy(&r->answer, LIMIT_KEPT_ANSWER_BYTES);
  Owed *owed = g_new0(Owed, 1);
  owed->line = once_line(o, &m);
  owed->sent = r->sent = o->now;
  owed->keeper = k ? g_intern_string(k->id) : "";
  g_hash_table_replace(o->owed, &owed->line.key, owed);
  if (k) once_send(o, k->id, &m);
  if (!k) once_answer_clear(&m.answer);
}

static void done(Once *o, uint64_t handle, bool doubled) {
  OnceAction *a = once_act(o, ONCE_DO_DONE);
  a->handle = handle;
  a->doubled = doubled;
  drop_run(o, handle);
}

void run_finished(Once *o, const OnceMsg *m) {
  Owed *x = g_hash_table_lookup(o->owed, &m->key);
  if (x && x->line.nonce == m->nonce) x->held = true;
  if (m->doubled) g_hash_table_remove(o->owed, &m->key);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, o->runs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Run *r = v;
    if (r->nonce != m->nonce || r->state != RUN_FINISHING) continue;
    done(o, r->handle, m->doubled);
    return;
  }
}

/* == events == */

void once_begin(Once *o, double now, uint64_t handle, OnceKey key,
                uint64_t digest, bool ask, bool repeat) {
  o->now = now;
  assert(!find_run(o, handle));
  Run *r = g_new0(Run, 1);
  *r = (Run){.handle = handle,
             .key = key,
             .digest = digest,
             .ask = ask,
             .repeat = repeat,
             .deadline = now + ASK_WAIT};
  r->nonce = (uint64_t)g_rand_int(o->rng) << 32 | g_rand_int(o->rng);
  g_hash_table_insert(o->runs, &r->handle, r);
  r->state = RUN_ASKING;
  if (ask)
    ask_keeper(o, r, keeper_of(o, key, 0));
  else
    claim(o, r);
  once_settle(o);
}

void once_at(Once *o, double now, uint64_t handle, const char *target) {
  o->now = now;
  Run *r = find_run(o, handle);
  if (!r || !r->ask) return; /* nobody can ask for it again */
  OnceMsg m = {
      .kind = ONCE_AT, .key = r->key, .nonce = r->nonce, .digest = r->digest};
  g_strlcpy(m.target, target, sizeof m.target);
  for (int rank = 0; rank < KEEPERS; rank++) {
    const Member *k = keeper_of(o, r->key, rank);
    if (k) once_send(o, k->id, &m);
  }
  once_settle(o);
}

void once_finish(Once *o, double now, uint64_t handle, const OnceBill *bill,
                 const OnceAnswer *answer) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->state = RUN_FINISHING;
  r->deadline = now + FINISH_WAIT;
  r->bill = *bill;
  r->answer = once_answer_copy(answer, LIMIT_KEPT_ANSWER_BYTES);
  if (r->claimed) wish_outcome(o, r);
  send_finish(o, r);
  tell_end(o, r, 1);
  once_settle(o);
}

void once_unknown(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->unknown = true;
  if (r->claimed) wish_outcome(o, r);
  tell_abort(o, r);
  drop_run(o, handle);
  once_settle(o);
}

void once_abort(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  if (!r) return;
  if (r->claimed || r->state == RUN_CLAIMING) wish_give_up(o, r);
  tell_abort(o, r);
  drop_run(o, handle);
  once_settle(o);
}

/* == time == */

static void tick(Once *o, Run *r) {
  bool late = o->now >= r->deadline;
  bool resend = o->now - r->sent >= ONCE_RESEND_S;
  switch (r->state) {
  case RUN_ASKING:
    /* Without its keepers a repeatable request runs; a second run would be
       consumed from the budget, but billed once. One that may not be repeated
       is still guarded by its claim. */
    if (late)
      ask_second(o, r);
    else if (resend)
      ask_again(o, r);
    break;
  case RUN_CLAIMING:
    if (!late) break;
    wish_give_up(o, r);
    tell_abort(o, r);
    answer_run(o, r, ONCE_NO_CLAIM, NULL);
    break;
  case RUN_FINISHING:
    /* The bill stays owed: it goes on being told until it is durable. */
    if (late)
      done(o, r->handle, false);
    else if (resend)
      send_finish(o, r);
    break;
  case RUN_RUNNING: break;
  }
}

void run_tick(Once *o) {
  GList *runs = g_hash_table_get_values(o->runs);
  for (GList *i = runs; i; i = i->next) tick(o, i->data);
  g_list_free(runs);
}
