/* keeper.c: the keeper's records of runs (in memory only), kept answers, and
   batches of bills. */
#include "once/bill.h"
#include "once/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define BATCH_MAX_BILLS 4000                     /* an object of about 250 kB */
#define FLEET_BATCHES_PER_S 4.0                  /* all instances together */
#define RECORD_BYTES (sizeof(KeeperRecord) + 64) /* with its table entry */
/* Runs in progress that are passed over when a record has to be dropped. */
#define DROP_MAX_SKIPPED 64

static void free_answer(KeeperRecord *r) {
  if (r->answer) once_answer_clear(r->answer);
  g_free(r->answer);
  r->answer = NULL;
}

void keeper_record_free(gpointer p) {
  free_answer(p);
  g_free(p);
}

/* == records == */

const Member *keeper_of(const Once *o, OnceKey key, int rank) {
  const Member *m = view_home(o->view, o->region, key.hi, rank);
  /* All instances of this region are leaving: use any other, because bills
     still have to be kept. */
  if (!m) m = view_home(o->view, NULL, key.hi, rank);
  /* All instances are leaving: each keeps its own records. */
  return m || rank > 0 ? m : view_find(o->view, o->self);
}

static bool is_gone(const Once *o, const char *id) {
  return !view_find(o->view, id);
}

static bool is_in_progress(const Once *o, const KeeperRecord *r) {
  return !r->finished && !r->unknown && !is_gone(o, r->runner);
}

static size_t record_bytes(const KeeperRecord *r) {
  size_t answer = r->answer ? sizeof(OnceAnswer) + r->answer->len : 0;
  return RECORD_BYTES + answer;
}

static void append_record(Once *o, KeeperRecord *r) {
  r->older = o->newest;
  r->newer = NULL;
  *(o->newest ? &o->newest->newer : &o->oldest) = r;
  o->newest = r;
}

static void unlink_record(Once *o, KeeperRecord *r) {
  *(r->older ? &r->older->newer : &o->oldest) = r->newer;
  *(r->newer ? &r->newer->older : &o->newest) = r->older;
}

static void move_to_end(Once *o, KeeperRecord *r) {
  unlink_record(o, r);
  append_record(o, r);
}

static KeeperRecord *get_record(Once *o, OnceKey key) {
  KeeperRecord *r = g_hash_table_lookup(o->records, &key);
  if (r) return r;
  r = g_new0(KeeperRecord, 1);
  r->key = key;
  r->runner = r->target = "";
  g_hash_table_insert(o->records, &r->key, r);
  append_record(o, r);
  o->kept_bytes += record_bytes(r);
  return r;
}

static void drop_record(Once *o, KeeperRecord *r) {
  unlink_record(o, r);
  o->kept_bytes -= record_bytes(r);
  g_hash_table_remove(o->records, &r->key);
}

/* Drops the oldest record, or returns false and passes over that of a run in
   progress: without it, a repeat of the request would run beside it. */
static bool drop_oldest_record(Once *o) {
  bool may_drop = !is_in_progress(o, o->oldest);
  if (may_drop)
    drop_record(o, o->oldest);
  else
    move_to_end(o, o->oldest);
  return may_drop;
}

static void enforce_kept_limit(Once *o) {
  int skipped = 0;
  while (o->kept_bytes > o->kept_limit && skipped < DROP_MAX_SKIPPED)
    if (!drop_oldest_record(o)) skipped++;
}

static void drop_expired_records(Once *o) {
  guint n = g_hash_table_size(o->records);
  for (; n > 0 && o->now - o->oldest->changed_at >= ONCE_KEEP_S; n--)
    drop_oldest_record(o);
}

/* Records that `runner` has the run. */
static void set_run(Once *o, KeeperRecord *r, const char *runner,
                    const OnceMsg *m) {
  r->nonce = m->nonce;
  r->digest = m->digest;
  r->unknown = false;
  r->runner = g_intern_string(runner);
  r->changed_at = o->now;
  move_to_end(o, r);
}

static void set_answer(Once *o, KeeperRecord *r, const OnceAnswer *answer) {
  o->kept_bytes -= record_bytes(r);
  free_answer(r);
  OnceAnswer copy = once_answer_copy(answer, LIMIT_KEPT_ANSWER_BYTES);
  if (copy.body) r->answer = g_memdup2(&copy, sizeof copy);
  o->kept_bytes += record_bytes(r);
}

static OnceVerdict judge_record(const Once *o, const KeeperRecord *r,
                                const OnceMsg *m) {
  if (!r->runner[0]) return ONCE_RUN;        /* new */
  if (r->nonce == m->nonce) return ONCE_RUN; /* repeated query */
  if (r->digest != m->digest) return ONCE_MISMATCH;
  /* A finished request whose answer was not kept may run again if it is
     repeatable (otherwise its claim refuses it). It is not billed again. */
  if (r->finished) return r->answer ? ONCE_REPLAY : ONCE_RUN;
  return is_in_progress(o, r) ? ONCE_PENDING : ONCE_RUN;
}

void keeper_begin(Once *o, const char *from, const OnceMsg *m) {
  KeeperRecord *r = get_record(o, m->key);
  OnceVerdict v = judge_record(o, r, m);
  OnceMsg a = {
      .kind = ONCE_BEGIN_REPLY, .key = m->key, .nonce = m->nonce, .verdict = v};
  if (v == ONCE_RUN && !r->finished) {
    g_strlcpy(a.target, r->target,
              sizeof a.target); /* target of an earlier run */
    set_run(o, r, from, m);
  }
  if (v == ONCE_REPLAY)
    a.answer = once_answer_copy(r->answer, LIMIT_KEPT_ANSWER_BYTES);
  once_send(o, from, &a);
  enforce_kept_limit(o);
}

/* == copies: at least two instances hold each bill that is not stored == */

static void send_finish_ack(Once *o, const char *to, const OnceMsg *m,
                            bool duplicate) {
  OnceMsg a = {.kind = ONCE_FINISH_ACK,
               .key = m->key,
               .nonce = m->nonce,
               .duplicate = duplicate};
  once_send(o, to, &a);
}

/* Picks another member, of another data centre if there is one. */
static const Member *pick_backup(const Once *o, OnceKey key) {
  const Member *self = view_find(o->view, o->self), *m, *near = NULL;
  for (int r = 0; (m = view_home(o->view, o->region, key.hi, r)); r++) {
    if (strcmp(m->id, o->self) == 0) continue;
    if (!self || strcmp(m->dc, self->dc) != 0) return m;
    if (!near) near = m;
  }
  if (near) return near;
  m = view_home(o->view, NULL, key.hi, 0);
  bool us = m && strcmp(m->id, o->self) == 0;
  return us ? view_home(o->view, NULL, key.hi, 1) : m;
}

/* Sends the bill to a second holder if it has none. Returns true while no
   second holder is confirmed. */
static bool ensure_second_holder(Once *o, PendingBill *b) {
  /* The runner is the second holder, unless it is this instance or gone. */
  bool runner = strcmp(b->runner, o->self) != 0 && !is_gone(o, b->runner);
  bool backup = b->backup && !is_gone(o, b->backup);
  if (runner || (backup && b->backup_confirmed)) return false;
  if (backup && (float)o->now - b->copy_sent_at < (float)ONCE_RESEND_S)
    return true;
  if (!backup) {
    const Member *m = pick_backup(o, b->summary.key);
    b->backup_confirmed = false;
    b->backup = m ? g_intern_string(m->id) : NULL;
  }
  OnceMsg m = once_msg_from_bill(&b->summary, ONCE_COPY_BILL);
  if (!b->backup) { /* there is no other instance to wait for */
    if (b->runner_waits) send_finish_ack(o, b->runner, &m, false);
    b->runner_waits = false;
    return false; /* checked again when the view changes */
  }
  b->copy_sent_at = (float)o->now;
  once_send(o, b->backup, &m);
  return true;
}

static void copy_bills(Once *o) {
  if (!o->uncopied) return;
  o->uncopied = false;
  for (guint i = 0; i < o->pending_bills->len; i++)
    if (ensure_second_holder(o, o->pending_bills->pdata[i])) o->uncopied = true;
}

void keeper_copy_acked(Once *o, const char *from, const OnceMsg *m) {
  PendingBill *b = g_hash_table_lookup(o->bills_by_key, &m->key);
  bool same_run = b && b->summary.nonce == m->nonce && b->backup;
  if (!same_run || strcmp(b->backup, from) != 0) return;
  b->backup_confirmed = true;
  if (b->runner_waits) send_finish_ack(o, b->runner, m, false);
  b->runner_waits = false;
}

static void add_bill(Once *o, const char *from, const OnceMsg *m) {
  PendingBill *b = g_hash_table_lookup(o->bills_by_key, &m->key);
  if (b) { /* the record expired before its bill was stored */
    send_finish_ack(o, from, m, b->summary.nonce != m->nonce);
    return;
  }
  b = g_new0(PendingBill, 1);
  b->summary = once_bill_from_msg(o, m);
  b->runner = g_intern_string(from);
  b->runner_waits = strcmp(from, o->self) == 0;
  g_ptr_array_add(o->pending_bills, b);
  g_hash_table_insert(o->bills_by_key, &b->summary.key, b);
  unstored_add(o, &b->summary);
  if (!b->runner_waits) send_finish_ack(o, from, m, false);
  if (ensure_second_holder(o, b)) o->uncopied = true;
}

/* The first finish of a key is billed. A second run of the same key consumed
   tokens, but is not billed. */
void keeper_finish(Once *o, const char *from, const OnceMsg *m) {
  KeeperRecord *r = get_record(o, m->key);
  bool again = r->finished && r->nonce == m->nonce;
  bool duplicate = r->finished && !again && !o->faults.bill_duplicates;
  if (!r->finished || o->faults.bill_duplicates) {
    r->finished = true;
    set_run(o, r, from, m);
    set_answer(o, r, &m->answer);
  }
  if (again || duplicate) {
    send_finish_ack(o, from, m, duplicate);
    /* A repeated finish whose bill is already stored: the runner has missed the
       BILL_DURABLE message. */
    OnceMsg d = {.kind = ONCE_BILL_DURABLE, .key = m->key, .nonce = m->nonce};
    bool stored = !g_hash_table_contains(o->bills_by_key, &m->key);
    if (again && stored) once_send(o, from, &d);
  } else
    add_bill(o, from, m);
  enforce_kept_limit(o);
}

/* `from` runs the request at a target. The first keeper already has a record of
   the run; the second keeper creates it here. The record of another run that is
   still in progress is not overwritten. */
void keeper_dispatched(Once *o, const char *from, const OnceMsg *m) {
  KeeperRecord *r = get_record(o, m->key);
  bool other = r->runner[0] && r->nonce != m->nonce;
  if (r->finished || (other && is_in_progress(o, r))) return;
  set_run(o, r, from, m);
  r->target = g_intern_string(m->target);
  enforce_kept_limit(o);
}

void keeper_abort(Once *o, const char *from, const OnceMsg *m) {
  (void)from;
  KeeperRecord *r = g_hash_table_lookup(o->records, &m->key);
  if (!r || r->nonce != m->nonce || r->finished) return;
  r->unknown = true; /* the next runner that sends BEGIN may run it */
}

/* == batches of bills == */

/* Writes the first bills, at most BATCH_MAX_BILLS. A batch whose result is
   unknown is written again under the same name with the same bills, so an
   object that already has the name is this batch. */
static void write_batch(Once *o) {
  if (o->batch_bills == 0)
    o->batch_bills = MIN(o->pending_bills->len, BATCH_MAX_BILLS);
  BillItem *items = g_new0(BillItem, o->batch_bills);
  char(*keys)[33] = g_malloc((gsize)o->batch_bills * 33);
  for (guint i = 0; i < o->batch_bills; i++) {
    const BillSummary *l =
        &((PendingBill *)o->pending_bills->pdata[i])->summary;
    once_key_to_hex(l->key, keys[i]);
    items[i] =
        (BillItem){keys[i], l->customer, l->budget, l->tokens, l->unix_s};
  }
  OnceAction *a = once_add_action(o, ONCE_DO_BILL);
  snprintf(a->name, sizeof a->name, "bills/%s/%08" PRIu64, o->self,
           o->bill_seq);
  a->text = bill_encode_batch(items, (int)o->batch_bills);
  g_free(items);
  g_free(keys);
  o->batch_in_flight = true;
}

static void send_durable(Once *o, const PendingBill *b) {
  OnceMsg m = {.kind = ONCE_BILL_DURABLE,
               .key = b->summary.key,
               .nonce = b->summary.nonce};
  once_send(o, b->runner, &m);
  if (b->backup) once_send(o, b->backup, &m);
}

/* Returns the interval at which all instances together stay within
   FLEET_BATCHES_PER_S. */
static double batch_interval_s(const Once *o) {
  return MAX(ONCE_BILL_BATCH_S, o->view->n / FLEET_BATCHES_PER_S);
}

void keeper_batch_stored(Once *o, ErrKind kind) {
  o->batch_in_flight = false;
  if (kind != ERR_NONE && kind != ERR_STORE_CONFLICT) {
    o->next_batch_at =
        o->now + pace_backoff(&o->bill_backoff, g_rand_double(o->rng));
    return;
  }
  o->bill_backoff = 0;
  o->bill_seq++;
  o->next_batch_at =
      o->now + (o->batch_bills == BATCH_MAX_BILLS ? 1.0 : batch_interval_s(o));
  for (guint i = 0; i < o->batch_bills; i++) {
    const PendingBill *b = o->pending_bills->pdata[i];
    send_durable(o, b);
    unstored_remove(o, &b->summary);
    g_hash_table_remove(o->bills_by_key, &b->summary.key);
  }
  g_ptr_array_remove_range(o->pending_bills, 0, o->batch_bills);
  o->batch_bills = 0;
}

void keeper_tick(Once *o) {
  copy_bills(o);
  bool due =
      o->now >= o->next_batch_at || (o->draining && o->bill_backoff == 0);
  if (!o->batch_in_flight && o->pending_bills->len > 0 && due) write_batch(o);
  drop_expired_records(o);
}
