/* once.c: the runner's side, events in, actions out. */
#include "once/state.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define ASK_WAIT 0.5     /* a keeper that says nothing is done without */
#define KEEPERS 2        /* know where a run is: one of them may be lost */
#define FINISH_WAIT 2.0  /* the caller waits this long for a keeper's word */
#define KEEPER_TRIES 3   /* then another keeper is told as well */
#define OWED_EVERY 0.5   /* owed bills are looked at this often */
#define OWED_AGAIN 120.0 /* a held one is asked after this late */
#define OWED_DRAIN 1.0   /* the same, while we wait to leave */
#define OWED_BURST 50    /* at most so many of those at a time */

/* == keys and answers == */

OnceKey once_key(const char *customer, const char *key) {
  XXH128_hash_t c = XXH3_128bits(customer, strlen(customer));
  XXH128_hash_t h = XXH3_128bits_withSeed(key, strlen(key), c.low64 ^ c.high64);
  return (OnceKey){h.high64, h.low64};
}

void once_key_text(OnceKey k, char out[33]) {
  snprintf(out, 33, "%016" PRIx64 "%016" PRIx64, k.hi, k.lo);
}

guint once_hash(gconstpointer k) {
  return (guint)((const OnceKey *)k)->lo;
}

gboolean once_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, sizeof(OnceKey)) == 0;
}

OnceAnswer once_answer_copy(const OnceAnswer *a, size_t limit) {
  OnceAnswer c = *a;
  bool keep = a->body && a->len <= limit;
  c.body = keep ? g_memdup2(a->body, a->len + 1) : NULL;
  c.len = keep ? a->len : 0;
  return c;
}

void once_answer_clear(OnceAnswer *a) {
  g_free(a->body);
  *a = (OnceAnswer){0};
}

Line once_line(const Once *o, const OnceMsg *m) {
  return (Line){.key = m->key,
                .nonce = m->nonce,
                .digest = m->digest,
                .customer = g_intern_string(m->bill.customer),
                .budget = g_intern_string(m->bill.budget),
                .tokens = m->bill.tokens,
                .unix_s = o->unix_s};
}

OnceMsg once_line_msg(const Line *l, OnceKind kind) {
  OnceMsg m = {.kind = kind,
               .key = l->key,
               .nonce = l->nonce,
               .digest = l->digest,
               .bill = {.tokens = l->tokens}};
  g_strlcpy(m.bill.customer, l->customer, sizeof m.bill.customer);
  g_strlcpy(m.bill.budget, l->budget, sizeof m.bill.budget);
  return m;
}

/* == actions == */

OnceAction *once_act(Once *o, OnceDo what) {
  OnceAction *a = g_new0(OnceAction, 1);
  a->what = what;
  g_queue_push_tail(&o->actions, a);
  return a;
}

/* Takes over m->answer.body. */
void once_send(Once *o, const char *to, OnceMsg *m) {
  if (strcmp(to, o->self) == 0) {
    g_queue_push_tail(&o->loop, g_memdup2(m, sizeof *m));
    return;
  }
  OnceAction *a = once_act(o, ONCE_DO_SEND);
  g_strlcpy(a->to, to, sizeof a->to);
  a->msg = *m;
}

void once_action_clear(OnceAction *a) {
  g_free(a->text);
  once_answer_clear(&a->msg.answer);
  once_answer_clear(&a->answer);
}

void once_message_clear(OnceMsg *m) {
  once_answer_clear(&m->answer);
}

bool once_next(Once *o, OnceAction *a) {
  OnceAction *next = g_queue_pop_head(&o->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

static const Member *keeper_of(const Once *o, OnceKey key, int rank) {
  const Member *m = view_home(o->view, o->region, key.hi, rank);
  /* All of our region are leaving: a bill still has to be kept somewhere. */
  if (!m) m = view_home(o->view, NULL, key.hi, rank);
  /* The whole fleet is: each keeps its own. */
  return m || rank > 0 ? m : view_find(o->view, o->self);
}

/* == runs == */

static void run_free(gpointer p) {
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

void once_answer_run(Once *o, Run *r, OnceVerdict v, const OnceAnswer *answer) {
  OnceAction *a = once_act(o, ONCE_DO_ANSWER);
  a->handle = r->handle;
  a->verdict = v;
  g_strlcpy(a->target, r->target, sizeof a->target);
  if (answer) a->answer = once_answer_copy(answer, LIMIT_ANSWER);
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
    once_answer_run(o, r, ONCE_RUN, NULL);
    return;
  }
  r->state = RUN_CLAIMING;
  r->deadline = o->now + ONCE_WAIT;
  wish_claim(o, r);
}

void once_claimed(Once *o, uint64_t handle, uint64_t nonce, OnceVerdict v,
                  const OnceAnswer *answer) {
  Run *r = find_run(o, handle);
  bool waits = r && r->nonce == nonce && r->state == RUN_CLAIMING;
  if (!waits) return;
  if (v == ONCE_RUN) r->claimed = true;
  if (v != ONCE_RUN) tell_abort(o, r);
  once_answer_run(o, r, v, answer);
}

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

static void on_begun(Once *o, const OnceMsg *m) {
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
      once_answer_run(o, r, m->verdict, &m->answer);
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
  m.answer = once_answer_copy(&r->answer, LIMIT_ANSWER);
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

static void on_finished(Once *o, const OnceMsg *m) {
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

static void on_durable(Once *o, const OnceMsg *m) {
  const Owed *x = g_hash_table_lookup(o->owed, &m->key);
  if (x && x->line.nonce == m->nonce) g_hash_table_remove(o->owed, &m->key);
}

/* We hold another keeper's bill: should that keeper go, we tell the next. */
static void on_copy(Once *o, const char *from, const OnceMsg *m) {
  Owed *x = g_new0(Owed, 1);
  x->line = once_line(o, m);
  x->held = true;
  x->sent = o->now;
  x->keeper = g_intern_string(from);
  g_hash_table_replace(o->owed, &x->line.key, x);
  OnceMsg r = {.kind = ONCE_COPIED, .key = m->key, .nonce = m->nonce};
  once_send(o, from, &r);
}

static void dispatch(Once *o, const char *from, const OnceMsg *m) {
  switch (m->kind) {
  case ONCE_BEGIN: keeper_begin(o, from, m); break;
  case ONCE_BEGUN: on_begun(o, m); break;
  case ONCE_FINISH: keeper_finish(o, from, m); break;
  case ONCE_FINISHED: on_finished(o, m); break;
  case ONCE_DURABLE: on_durable(o, m); break;
  case ONCE_AT: keeper_at(o, from, m); break;
  case ONCE_ABORT: keeper_abort(o, from, m); break;
  case ONCE_COPY: on_copy(o, from, m); break;
  case ONCE_COPIED: keeper_copied(o, from, m); break;
  case ONCE_CLAIM:
  case ONCE_OUTCOME:
  case ONCE_GIVE_UP: claim_ask(o, from, m); break;
  case ONCE_CLAIMED: wish_claimed(o, from, m); break;
  case ONCE_HELD: wish_held(o, from, m); break;
  case ONCE_KEPT: wish_kept(o, from, m); break;
  case ONCE_KINDS: break;
  }
}

static void settle_loop(Once *o) {
  OnceMsg *m;
  while ((m = g_queue_pop_head(&o->loop))) {
    dispatch(o, o->self, m);
    once_answer_clear(&m->answer);
    g_free(m);
  }
}

/* == events == */

Once *once_new(const char *self, const char *region, uint32_t seed) {
  Once *o = g_new0(Once, 1);
  g_strlcpy(o->self, self, sizeof o->self);
  g_strlcpy(o->region, region, sizeof o->region);
  o->rng = g_rand_new_with_seed(seed);
  o->view = view_new(NULL, 0);
  o->records =
      g_hash_table_new_full(once_hash, once_equal, NULL, keeper_record_free);
  o->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, run_free);
  o->owed = g_hash_table_new_full(once_hash, once_equal, NULL, g_free);
  o->wishes =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, wish_free);
  o->seal = CLAIM_SEAL;
  o->merge = CLAIM_MERGE;
  o->lines = g_ptr_array_new_with_free_func(g_free);
  o->by_key = g_hash_table_new(once_hash, once_equal);
  g_queue_init(&o->ages);
  g_queue_init(&o->actions);
  g_queue_init(&o->loop);
  return o;
}

void once_free(Once *o) {
  OnceAction a;
  settle_loop(o);
  while (once_next(o, &a)) once_action_clear(&a);
  g_queue_clear_full(&o->ages, g_free);
  g_hash_table_destroy(o->records);
  g_hash_table_destroy(o->runs);
  g_hash_table_destroy(o->owed);
  g_hash_table_destroy(o->wishes);
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++) claim_shard_free(o->shards[i]);
  g_hash_table_destroy(o->by_key);
  g_ptr_array_free(o->lines, TRUE);
  view_free(o->view);
  g_rand_free(o->rng);
  g_free(o);
}

void once_faults(Once *o, OnceFaults f) {
  o->faults = f;
}

void once_claim_sizes(Once *o, guint seal, guint merge) {
  o->seal = seal;
  o->merge = merge;
}

void once_view(Once *o, double now, const View *v) {
  o->now = now;
  view_free(o->view);
  o->view = view_copy(v);
  o->lost = o->uncopied = true;
}

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
  settle_loop(o);
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
  settle_loop(o);
}

void once_finish(Once *o, double now, uint64_t handle, const OnceBill *bill,
                 const OnceAnswer *answer) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->state = RUN_FINISHING;
  r->deadline = now + FINISH_WAIT;
  r->bill = *bill;
  r->answer = once_answer_copy(answer, LIMIT_ANSWER);
  if (r->claimed) wish_outcome(o, r);
  send_finish(o, r);
  tell_end(o, r, 1);
  settle_loop(o);
}

void once_unknown(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  assert(r && r->state == RUN_RUNNING);
  r->unknown = true;
  if (r->claimed) wish_outcome(o, r);
  tell_abort(o, r);
  drop_run(o, handle);
  settle_loop(o);
}

void once_abort(Once *o, double now, uint64_t handle) {
  o->now = now;
  Run *r = find_run(o, handle);
  if (!r) return;
  if (r->claimed || r->state == RUN_CLAIMING) wish_give_up(o, r);
  tell_abort(o, r);
  drop_run(o, handle);
  settle_loop(o);
}

void once_receive(Once *o, double now, const char *from, const OnceMsg *m) {
  o->now = now;
  dispatch(o, from, m);
  settle_loop(o);
}

void once_stored(Once *o, double now, int shard, uint64_t part, ErrKind kind,
                 uint64_t version, const char *text) {
  o->now = now;
  claim_stored(o, shard, part, kind, version, text);
  settle_loop(o);
}

void once_billed(Once *o, double now, ErrKind kind) {
  o->now = now;
  keeper_billed(o, kind);
  settle_loop(o);
}

/* == time == */

static void tick_run(Once *o, Run *r) {
  bool late = o->now >= r->deadline;
  bool resend = o->now - r->sent >= ONCE_RESEND;
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
    once_answer_run(o, r, ONCE_NO_CLAIM, NULL);
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

static void tick_owed(Once *o) {
  if (!o->lost && o->now - o->owed_at < OWED_EVERY) return;
  o->lost = false;
  o->owed_at = o->now;
  GHashTableIter it;
  gpointer v;
  int again = 0;
  g_hash_table_iter_init(&it, o->owed);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Owed *x = v;
    /* A keeper that is gone took its lines with it: tell the next one. */
    bool lost = !view_find(o->view, x->keeper);
    double wait = x->held ? OWED_AGAIN : 2 * ONCE_RESEND;
    if (o->draining) wait = MIN(wait, OWED_DRAIN);
    if (!lost && o->now - x->sent < wait) continue;
    /* In an outage everything is held for long: no more than a trickle. */
    if (!lost && x->held && ++again > OWED_BURST) continue;
    const Member *k = keeper_of(o, x->line.key, 0);
    if (!k) continue;
    x->keeper = g_intern_string(k->id);
    x->sent = o->now;
    x->held = false;
    OnceMsg m = once_line_msg(&x->line, ONCE_FINISH);
    once_send(o, k->id, &m);
  }
}

void once_tick(Once *o, double now, int64_t unix_s) {
  o->now = now;
  o->unix_s = unix_s;
  GList *runs = g_hash_table_get_values(o->runs);
  for (GList *i = runs; i; i = i->next) tick_run(o, i->data);
  g_list_free(runs);
  tick_owed(o);
  settle_loop(o);
  keeper_tick(o);
  wish_tick(o);
  settle_loop(o);
  claim_tick(o);
  settle_loop(o);
}

void once_drain(Once *o, double now) {
  o->now = now;
  o->draining = true;
}

bool once_drained(const Once *o) {
  if (g_hash_table_size(o->runs) > 0 || o->lines->len > 0) return false;
  if (g_hash_table_size(o->owed) > 0) return false;
  return g_hash_table_size(o->wishes) == 0 && claim_drained(o);
}
