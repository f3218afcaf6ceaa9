/* keeper.c: soft records of runs, kept answers, and batches of bills. */
#include "once/bill.h"
#include "once/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define BATCH_LINES 4000 /* a quarter of a megabyte or so */
#define BATCH_WRITES 4.0 /* batches a second of the whole fleet */

void keeper_record_free(gpointer p) {
  Record *r = p;
  once_answer_clear(&r->answer);
  g_free(r);
}

/* == records == */

const Member *keeper_of(const Once *o, OnceKey key, int rank) {
  const Member *m = view_home(o->view, o->region, key.hi, rank);
  /* All of our region are leaving: a bill still has to be kept somewhere. */
  if (!m) m = view_home(o->view, NULL, key.hi, rank);
  /* The whole fleet is: each keeps its own. */
  return m || rank > 0 ? m : view_find(o->view, o->self);
}

static void forget_oldest(Once *o) {
  OnceKey *k = g_queue_pop_head(&o->ages);
  const Record *r = g_hash_table_lookup(o->records, k);
  if (r) {
    o->kept -= r->answer.len;
    g_hash_table_remove(o->records, k);
  }
  g_free(k);
}

static Record *add_record(Once *o, OnceKey key) {
  Record *r = g_new0(Record, 1);
  r->key = key;
  g_hash_table_insert(o->records, &r->key, r);
  g_queue_push_tail(&o->ages, g_memdup2(&key, sizeof key));
  return r;
}

static bool gone(const Once *o, const char *id) {
  return !view_find(o->view, id);
}

static OnceVerdict judge(const Once *o, const Record *r, const OnceMsg *m) {
  if (r->nonce == m->nonce) return ONCE_RUN; /* asked again */
  if (r->digest != m->digest) return ONCE_MISMATCH;
  /* A finished run whose answer was not kept may run again if it may be
     repeated (else its claim refuses it); it is not billed again. */
  if (r->finished) return r->answer.body ? ONCE_REPLAY : ONCE_RUN;
  if (r->unknown || gone(o, r->runner)) return ONCE_RUN;
  return ONCE_PENDING;
}

void keeper_begin(Once *o, const char *from, const OnceMsg *m) {
  Record *r = g_hash_table_lookup(o->records, &m->key);
  OnceVerdict v = r ? judge(o, r, m) : ONCE_RUN;
  if (!r) r = add_record(o, m->key);
  OnceMsg a = {
      .kind = ONCE_BEGUN, .key = m->key, .nonce = m->nonce, .verdict = v};
  if (v == ONCE_RUN && !r->finished) {
    g_strlcpy(a.target, r->target, sizeof a.target); /* of an earlier run */
    r->nonce = m->nonce;
    r->digest = m->digest;
    r->unknown = false;
    r->changed = o->now;
    g_strlcpy(r->runner, from, sizeof r->runner);
  }
  if (v == ONCE_REPLAY) a.answer = once_answer_copy(&r->answer, LIMIT_KEPT_ANSWER_BYTES);
  once_send(o, from, &a);
}

/* == copies: a bill is never in one instance only == */

static void finished(Once *o, const char *to, const OnceMsg *m, bool doubled) {
  OnceMsg a = {.kind = ONCE_FINISHED,
               .key = m->key,
               .nonce = m->nonce,
               .doubled = doubled};
  once_send(o, to, &a);
}

/* Some other member: of another data centre if there is one. */
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

/* Has a second holder take the line in. True while there is none yet. */
static bool copy_line(Once *o, BillLine *b) {
  /* The runner is the second holder, unless it is us or gone. */
  bool runner = strcmp(b->runner, o->self) != 0 && !gone(o, b->runner);
  bool backup = b->backup && !gone(o, b->backup);
  if (runner || (backup && b->copied)) return false;
  if (backup && (float)o->now - b->asked < (float)ONCE_RESEND_S) return true;
  if (!backup) {
    const Member *m = pick_backup(o, b->line.key);
    b->copied = false;
    b->backup = m ? g_intern_string(m->id) : NULL;
  }
  OnceMsg m = once_line_msg(&b->line, ONCE_COPY);
  if (!b->backup) { /* alone: there is nobody to wait for */
    if (b->tell) finished(o, b->runner, &m, false);
    b->tell = false;
    return false; /* looked at again when the view changes */
  }
  b->asked = (float)o->now;
  once_send(o, b->backup, &m);
  return true;
}

static void copy_lines(Once *o) {
  if (!o->uncopied) return;
  o->uncopied = false;
  for (guint i = 0; i < o->lines->len; i++)
    if (copy_line(o, o->lines->pdata[i])) o->uncopied = true;
}

void keeper_copied(Once *o, const char *from, const OnceMsg *m) {
  BillLine *b = g_hash_table_lookup(o->by_key, &m->key);
  bool ours = b && b->line.nonce == m->nonce && b->backup;
  if (!ours || strcmp(b->backup, from) != 0) return;
  b->copied = true;
  if (b->tell) finished(o, b->runner, m, false);
  b->tell = false;
}

static void add_line(Once *o, const char *from, const OnceMsg *m) {
  BillLine *b = g_hash_table_lookup(o->by_key, &m->key);
  if (b) { /* the record was forgotten sooner than its bill */
    finished(o, from, m, b->line.nonce != m->nonce);
    return;
  }
  b = g_new0(BillLine, 1);
  b->line = once_line(o, m);
  b->runner = g_intern_string(from);
  b->tell = strcmp(from, o->self) == 0;
  g_ptr_array_add(o->lines, b);
  g_hash_table_insert(o->by_key, &b->line.key, b);
  if (!b->tell) finished(o, from, m, false);
  if (copy_line(o, b)) o->uncopied = true;
}

/* The first finish of a key is its bill; a second run of the same key was
   consumed, but is not billed. */
void keeper_finish(Once *o, const char *from, const OnceMsg *m) {
  Record *r = g_hash_table_lookup(o->records, &m->key);
  if (!r) r = add_record(o, m->key);
  bool again = r->finished && r->nonce == m->nonce;
  bool doubled = r->finished && !again && !o->faults.bill_each;
  if (!r->finished || o->faults.bill_each) {
    r->finished = true;
    r->unknown = false;
    r->nonce = m->nonce;
    r->digest = m->digest;
    r->changed = o->now;
    g_strlcpy(r->runner, from, sizeof r->runner);
    r->bill = m->bill;
    once_answer_clear(&r->answer);
    r->answer = once_answer_copy(&m->answer, LIMIT_KEPT_ANSWER_BYTES);
    o->kept += r->answer.len;
  }
  if (again || doubled) {
    finished(o, from, m, doubled);
    /* Told again after its bill went to the store: our word was lost. */
    OnceMsg d = {.kind = ONCE_DURABLE, .key = m->key, .nonce = m->nonce};
    bool stored = !g_hash_table_contains(o->by_key, &m->key);
    if (again && stored) once_send(o, from, &d);
  } else
    add_line(o, from, m);
  while (o->kept > LIMIT_KEPT_TOTAL_BYTES && o->ages.length > 0) forget_oldest(o);
}

/* `from` runs it at a target. Its keeper knew of the run; the second keeper
   learns of it here. Another run that goes on is not written over. */
void keeper_at(Once *o, const char *from, const OnceMsg *m) {
  Record *r = g_hash_table_lookup(o->records, &m->key);
  if (!r) r = add_record(o, m->key);
  bool other = r->runner[0] && r->nonce != m->nonce;
  bool runs = other && !r->unknown && !gone(o, r->runner);
  if (r->finished || runs) return;
  r->nonce = m->nonce;
  r->digest = m->digest;
  r->unknown = false;
  r->changed = o->now;
  g_strlcpy(r->runner, from, sizeof r->runner);
  g_strlcpy(r->target, m->target, sizeof r->target);
}

void keeper_abort(Once *o, const char *from, const OnceMsg *m) {
  (void)from;
  Record *r = g_hash_table_lookup(o->records, &m->key);
  if (!r || r->nonce != m->nonce || r->finished) return;
  r->unknown = true; /* whoever asks next may run it */
}

/* == bills == */

/* The first lines, at most BATCH_LINES. A batch without a clear answer goes out
   again under its name with the same lines: if the name exists, it is this. */
static void write_batch(Once *o) {
  if (o->batch == 0) o->batch = MIN(o->lines->len, BATCH_LINES);
  BillItem *items = g_new0(BillItem, o->batch);
  char(*keys)[33] = g_malloc((gsize)o->batch * 33);
  for (guint i = 0; i < o->batch; i++) {
    const Line *l = &((BillLine *)o->lines->pdata[i])->line;
    once_key_text(l->key, keys[i]);
    items[i] =
        (BillItem){keys[i], l->customer, l->budget, l->tokens, l->unix_s};
  }
  OnceAction *a = once_act(o, ONCE_DO_BILL);
  snprintf(a->name, sizeof a->name, "bills/%s/%08" PRIu64, o->self,
           o->bill_seq);
  a->text = bill_text(items, (int)o->batch);
  g_free(items);
  g_free(keys);
  o->billing = true;
}

static void tell_durable(Once *o, const BillLine *b) {
  OnceMsg m = {
      .kind = ONCE_DURABLE, .key = b->line.key, .nonce = b->line.nonce};
  once_send(o, b->runner, &m);
  if (b->backup) once_send(o, b->backup, &m);
}

/* The whole fleet's batches stay within a few writes a second. */
static double batch_every(const Once *o) {
  return MAX(ONCE_BILL_BATCH_S, o->view->n / BATCH_WRITES);
}

void keeper_billed(Once *o, ErrKind kind) {
  o->billing = false;
  if (kind != ERR_NONE && kind != ERR_STORE_CONFLICT) {
    o->bill_at = o->now + pace_backoff(&o->bill_backoff, g_rand_double(o->rng));
    return;
  }
  o->bill_backoff = 0;
  o->bill_seq++;
  o->bill_at = o->now + (o->batch == BATCH_LINES ? 1.0 : batch_every(o));
  for (guint i = 0; i < o->batch; i++) {
    const BillLine *b = o->lines->pdata[i];
    tell_durable(o, b);
    g_hash_table_remove(o->by_key, &b->line.key);
  }
  g_ptr_array_remove_range(o->lines, 0, o->batch);
  o->batch = 0;
}

void keeper_tick(Once *o) {
  copy_lines(o);
  bool due = o->now >= o->bill_at || (o->draining && o->bill_backoff == 0);
  if (!o->billing && o->lines->len > 0 && due) write_batch(o);
  while (o->ages.length > 0) {
    const Record *r = g_hash_table_lookup(o->records, o->ages.head->data);
    if (r && o->now - r->changed < ONCE_KEEP_S) break;
    if (r && !r->finished && !r->unknown && !gone(o, r->runner)) break;
    forget_oldest(o);
  }
}
