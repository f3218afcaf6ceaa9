/* once.c: functions shared within the package, message dispatch, and the
   public events. */
#include "once/state.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* == keys and answers == */

OnceKey once_make_key(const char *customer, const char *key) {
  XXH128_hash_t c = XXH3_128bits(customer, strlen(customer));
  XXH128_hash_t h = XXH3_128bits_withSeed(key, strlen(key), c.low64 ^ c.high64);
  return (OnceKey){h.high64, h.low64};
}

void once_key_to_hex(OnceKey k, char out[33]) {
  snprintf(out, 33, "%016" PRIx64 "%016" PRIx64, k.hi, k.lo);
}

guint once_key_hash(gconstpointer k) {
  return (guint)((const OnceKey *)k)->lo;
}

gboolean once_key_equal(gconstpointer a, gconstpointer b) {
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

BillSummary once_bill_from_msg(const Once *o, const OnceMsg *m) {
  return (BillSummary){.key = m->key,
                       .nonce = m->nonce,
                       .digest = m->digest,
                       .customer = g_intern_string(m->bill.customer),
                       .budget = g_intern_string(m->bill.budget),
                       .tokens = m->bill.tokens,
                       .unix_s = o->unix_s};
}

OnceMsg once_msg_from_bill(const BillSummary *l, OnceMsgKind kind) {
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

OnceAction *once_add_action(Once *o, OnceActionKind kind) {
  OnceAction *a = g_new0(OnceAction, 1);
  a->action = kind;
  g_queue_push_tail(&o->actions, a);
  return a;
}

/* Takes ownership of m->answer.body. */
void once_send(Once *o, const char *to, OnceMsg *m) {
  if (strcmp(to, o->self) == 0) {
    g_queue_push_tail(&o->local_messages, g_memdup2(m, sizeof *m));
    return;
  }
  OnceAction *a = once_add_action(o, ONCE_DO_SEND);
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

bool once_next_action(Once *o, OnceAction *a) {
  OnceAction *next = g_queue_pop_head(&o->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

/* == messages == */

static void dispatch_message(Once *o, const char *from, const OnceMsg *m) {
  switch (m->kind) {
  case ONCE_BEGIN: keeper_begin(o, from, m); break;
  case ONCE_BEGIN_REPLY: run_keeper_replied(o, m); break;
  case ONCE_FINISH: keeper_finish(o, from, m); break;
  case ONCE_FINISH_ACK: run_finish_acked(o, m); break;
  case ONCE_BILL_DURABLE: owed_settle(o, m); break;
  case ONCE_DISPATCHED: keeper_dispatched(o, from, m); break;
  case ONCE_ABORT: keeper_abort(o, from, m); break;
  case ONCE_COPY_BILL: owed_hold_copy(o, from, m); break;
  case ONCE_COPY_ACK: keeper_copy_acked(o, from, m); break;
  case ONCE_CLAIM:
  case ONCE_OUTCOME:
  case ONCE_RELEASE: claim_receive(o, from, m); break;
  case ONCE_CLAIM_REPLY: claimquery_decided(o, from, m); break;
  case ONCE_CLAIM_QUEUED: claimquery_queued(o, from, m); break;
  case ONCE_OUTCOME_STORED: claimquery_stored(o, from, m); break;
  case ONCE_MSG_KIND_COUNT: break;
  }
}

void once_deliver_local(Once *o) {
  OnceMsg *m;
  while ((m = g_queue_pop_head(&o->local_messages))) {
    dispatch_message(o, o->self, m);
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
  o->records = g_hash_table_new_full(once_key_hash, once_key_equal, NULL,
                                     keeper_record_free);
  o->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, run_free);
  o->owed = g_hash_table_new_full(once_key_hash, once_key_equal, NULL, g_free);
  o->queries =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, claimquery_free);
  o->seal_entries = CLAIM_SEAL_ENTRIES;
  o->merge_parts = CLAIM_MERGE_PARTS;
  o->pending_bills = g_ptr_array_new_with_free_func(g_free);
  o->bills_by_key = g_hash_table_new(once_key_hash, once_key_equal);
  o->kept_limit = LIMIT_KEPT_TOTAL_BYTES;
  o->unstored = g_hash_table_new(g_str_hash, g_str_equal);
  once_set_bill_limit(o, SIZE_MAX);
  g_queue_init(&o->actions);
  g_queue_init(&o->local_messages);
  return o;
}

void once_free(Once *o) {
  OnceAction a;
  once_deliver_local(o);
  while (once_next_action(o, &a)) once_action_clear(&a);
  g_hash_table_destroy(o->records);
  g_hash_table_destroy(o->runs);
  g_hash_table_destroy(o->owed);
  g_hash_table_destroy(o->unstored);
  g_hash_table_destroy(o->queries);
  for (int i = 0; i < LIMIT_CLAIM_SHARDS; i++) claim_shard_free(o->shards[i]);
  g_hash_table_destroy(o->bills_by_key);
  g_ptr_array_free(o->pending_bills, TRUE);
  view_free(o->view);
  g_rand_free(o->rng);
  g_free(o);
}

void once_set_faults(Once *o, OnceFaults f) {
  o->faults = f;
}

void once_set_kept_limit(Once *o, size_t bytes) {
  o->kept_limit = bytes;
}

void once_set_claim_sizes(Once *o, guint seal, guint merge) {
  o->seal_entries = seal;
  o->merge_parts = merge;
}

void once_set_view(Once *o, double now, const View *v) {
  o->now = now;
  view_free(o->view);
  o->view = view_copy(v);
  o->view_changed = o->uncopied = true;
}

void once_receive(Once *o, double now, const char *from, const OnceMsg *m) {
  o->now = now;
  dispatch_message(o, from, m);
  once_deliver_local(o);
}

void once_claim_stored(Once *o, double now, int shard, uint64_t part,
                       ErrKind kind, uint64_t version, const char *text) {
  o->now = now;
  claim_store_answered(o, shard, part, kind, version, text);
  once_deliver_local(o);
}

void once_bill_stored(Once *o, double now, ErrKind kind) {
  o->now = now;
  keeper_batch_stored(o, kind);
  once_deliver_local(o);
}

/* == time == */

void once_tick(Once *o, double now, int64_t unix_s) {
  o->now = now;
  o->unix_s = unix_s;
  run_tick(o);
  owed_tick(o);
  once_deliver_local(o);
  keeper_tick(o);
  claimquery_tick(o);
  once_deliver_local(o);
  claim_tick(o);
  once_deliver_local(o);
}

void once_drain(Once *o, double now) {
  o->now = now;
  o->draining = true;
}

bool once_is_drained(const Once *o) {
  if (g_hash_table_size(o->runs) > 0 || o->pending_bills->len > 0) return false;
  if (g_hash_table_size(o->owed) > 0) return false;
  return g_hash_table_size(o->queries) == 0 && claim_is_drained(o);
}
