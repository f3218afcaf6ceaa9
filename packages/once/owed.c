/* owed.c: bills that are resent until they are in the store, and copies held
   for other keepers. */
#include "once/state.h"

#include <string.h>

#define OWED_CHECK_INTERVAL_S 0.5 /* time between checks of owed bills */
#define OWED_RESEND_S 120.0       /* resend of a bill that a keeper holds */
#define OWED_DRAIN_RESEND_S 1.0   /* the same, while draining */
#define OWED_MAX_RESENDS 50       /* resends of held bills per check */

void owed_add(Once *o, OwedBill *x) {
  owed_remove(o, x->summary.key);
  g_hash_table_insert(o->owed, &x->summary.key, x);
  unstored_add(o, &x->summary);
}

void owed_remove(Once *o, OnceKey key) {
  const OwedBill *x = g_hash_table_lookup(o->owed, &key);
  if (!x) return;
  unstored_remove(o, &x->summary);
  g_hash_table_remove(o->owed, &key);
}

void owed_settle(Once *o, const OnceMsg *m) {
  const OwedBill *x = g_hash_table_lookup(o->owed, &m->key);
  if (x && x->summary.nonce == m->nonce) owed_remove(o, m->key);
}

/* Holds a copy of another keeper's bill. If that keeper is lost, the bill is
   sent to the next one. */
void owed_hold_copy(Once *o, const char *from, const OnceMsg *m) {
  OwedBill *x = g_new0(OwedBill, 1);
  x->summary = once_bill_from_msg(o, m);
  x->held_by_keeper = true;
  x->sent_at = o->now;
  x->keeper = g_intern_string(from);
  owed_add(o, x);
  OnceMsg r = {.kind = ONCE_COPY_ACK, .key = m->key, .nonce = m->nonce};
  once_send(o, from, &r);
}

void owed_tick(Once *o) {
  if (!o->view_changed && o->now - o->owed_checked_at < OWED_CHECK_INTERVAL_S)
    return;
  o->view_changed = false;
  o->owed_checked_at = o->now;
  GHashTableIter it;
  gpointer v;
  int resent = 0;
  g_hash_table_iter_init(&it, o->owed);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    OwedBill *x = v;
    /* A keeper that is gone has lost its bills: send to the next one. */
    bool keeper_is_gone = !view_find(o->view, x->keeper);
    double wait = x->held_by_keeper ? OWED_RESEND_S : 2 * ONCE_RESEND_S;
    if (o->draining) wait = MIN(wait, OWED_DRAIN_RESEND_S);
    if (!keeper_is_gone && o->now - x->sent_at < wait) continue;
    /* In a store outage all bills are held for long: limit the resends. */
    if (!keeper_is_gone && x->held_by_keeper && ++resent > OWED_MAX_RESENDS)
      continue;
    const Member *k = keeper_of(o, x->summary.key, 0);
    if (!k) continue;
    x->keeper = g_intern_string(k->id);
    x->sent_at = o->now;
    x->held_by_keeper = false;
    OnceMsg m = once_msg_from_bill(&x->summary, ONCE_FINISH);
    once_send(o, k->id, &m);
  }
}
