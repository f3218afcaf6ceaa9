/* owed.c: bills that are told until they are in the store, and copies held for
   other keepers. */
#include "once/state.h"

#include <string.h>

#define OWED_EVERY 0.5   /* owed bills are looked at this often */
#define OWED_AGAIN 120.0 /* a held one is asked after this late */
#define OWED_DRAIN 1.0   /* the same, while we wait to leave */
#define OWED_BURST 50    /* at most so many of those at a time */

void owed_durable(Once *o, const OnceMsg *m) {
  const Owed *x = g_hash_table_lookup(o->owed, &m->key);
  if (x && x->line.nonce == m->nonce) g_hash_table_remove(o->owed, &m->key);
}

/* We hold another keeper's bill: should that keeper go, we tell the next. */
void owed_copy(Once *o, const char *from, const OnceMsg *m) {
  Owed *x = g_new0(Owed, 1);
  x->line = once_line(o, m);
  x->held = true;
  x->sent = o->now;
  x->keeper = g_intern_string(from);
  g_hash_table_replace(o->owed, &x->line.key, x);
  OnceMsg r = {.kind = ONCE_COPIED, .key = m->key, .nonce = m->nonce};
  once_send(o, from, &r);
}

void owed_tick(Once *o) {
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
    double wait = x->held ? OWED_AGAIN : 2 * ONCE_RESEND_S;
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
