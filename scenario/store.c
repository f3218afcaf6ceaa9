/* store.c: the fake store of a scenario: versions, faults, lost answers. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "once/bill.h"
#include "scenario/state.h"

#define STORE_LOW 0.002
#define STORE_HIGH 0.02
#define STORE_GIVES_UP 3.0 /* then a call is unknown */

Event *store_call(World *w, int node, CallOwner owner, const char *name,
                  bool put, int shard, uint64_t version, char *text) {
  double at = w->now + STORE_LOW + world_chance(w) * (STORE_HIGH - STORE_LOW);
  Event *e = world_event(w, EV_STORE, node, at);
  e->owner = owner;
  e->put = put;
  e->shard = shard;
  e->version = version;
  e->text = text;
  g_strlcpy(e->name, name, sizeof e->name);
  world_schedule(w, e);
  return e;
}

static Object *object(World *w, const char *name, bool make) {
  Object *o = g_hash_table_lookup(w->objects, name);
  if (o || !make) return o;
  o = g_new0(Object, 1);
  g_hash_table_insert(w->objects, g_strdup(name), o);
  return o;
}

void store_object_free(gpointer p) {
  Object *o = p;
  g_free(o->text);
  g_free(o->before);
  g_free(o);
}

static void store_put(World *w, Event *e) {
  Object *o = object(w, e->name, false);
  uint64_t version = o ? o->version : 0;
  w->sums.writes++;
  if (version != e->version && !w->faults.ledger.no_version_check) {
    w->sums.conflicts++;
    e->result = ERR_STORE_CONFLICT;
    return;
  }
  o = object(w, e->name, true);
  g_free(o->before);
  o->before = o->text;
  o->before_version = o->version;
  o->text = e->text;
  e->text = NULL;
  o->version++;
  e->version = o->version;
  e->result = ERR_NONE;
}

static void store_get(World *w, Event *e) {
  const Object *o = object(w, e->name, false);
  w->sums.reads++;
  e->result = o ? ERR_NONE : ERR_STORE_ABSENT;
  if (!o) return;
  bool stale = o->before && world_chance(w) < w->stale;
  e->version = stale ? o->before_version : o->version;
  e->text = g_strdup(stale ? o->before : o->text);
}

static Event *result_event(const Event *call, EventKind kind, double at) {
  Event *r = g_memdup2(call, sizeof *call);
  r->kind = kind;
  r->at = at;
  r->text = g_strdup(call->text);
  return r;
}

void store_receive(World *w, Event *e) {
  const Node *n = &w->nodes[e->node];
  bool cut = world_listed(w->cut_store, n->region);
  double back = w->now + STORE_LOW + world_chance(w) * (STORE_HIGH - STORE_LOW);
  if (cut || w->store == WORLD_STORE_DOWN) {
    e->result = cut ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN;
    Event *r = result_event(e, EV_RESULT, back);
    r->order = ++w->order;
    world_schedule(w, r);
    return;
  }
  if (e->delete &&w->store == WORLD_STORE_HUNG) return;
  bool lost = w->store == WORLD_STORE_HUNG || world_chance(w) < w->lose_answers;
  if (lost && !e->answered) {
    /* The caller gives up; the call may take effect before or after that. */
    Event *r = result_event(e, EV_RESULT, w->now + STORE_GIVES_UP);
    r->result = ERR_STORE_UNKNOWN;
    r->order = ++w->order;
    world_schedule(w, r);
    if (!e->put || world_chance(w) < 0.3) return;
    Event *late = result_event(e, EV_STORE, w->now + world_chance(w) * 5.0);
    late->answered = true;
    late->order = ++w->order;
    world_schedule(w, late);
    return;
  }
  if (e->delete) {
    w->sums.writes++;
    g_hash_table_remove(w->objects, e->name);
    return;
  }
  if (e->put)
    store_put(w, e);
  else
    store_get(w, e);
  if (e->answered) return;
  Event *r = result_event(e, EV_RESULT, back);
  r->order = ++w->order;
  world_schedule(w, r);
}

static void note_bill(void *ctx, const BillItem *x) {
  World *w = ctx;
  if (g_hash_table_contains(w->billed, x->key)) return;
  g_hash_table_insert(w->billed, g_strdup(x->key),
                      g_memdup2(&x->tokens, sizeof x->tokens));
  w->sums.billed += x->tokens;
}

void store_note_bills(World *w, const char *text) {
  bill_decode_batch(text, note_bill, w);
}

void store_result(World *w, const Event *e) {
  Node *n = &w->nodes[e->node];
  const char *text = e->put ? NULL : e->text;
  switch (e->owner) {
  case CALL_LEDGER:
    ledger_store_result(n->ledger, w->now, e->shard, e->result, e->version,
                        text);
    break;
  case CALL_ONCE:
    once_claim_stored(n->once, w->now, e->shard, e->part, e->result, e->version,
                      text);
    break;
  case CALL_BILL: once_bill_stored(n->once, w->now, e->result); break;
  }
}
