/* store.c: the fake store of a scenario: versions, faults, lost responses. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "once/bill.h"
#include "scenario/state.h"
#include "store/revision.h"

#define STORE_MIN_DELAY_S 0.002
#define STORE_MAX_DELAY_S 0.02
#define STORE_CALL_INTERVAL_S 3.0 /* between watches of a node */
#define STORE_TIMEOUT_S 3.0 /* after this the result of a call is unknown */

Event *store_call(World *w, int node, CallOwner owner, const char *name,
                  bool put, int shard, uint64_t version, char *text) {
  double at = w->now + STORE_MIN_DELAY_S +
              world_random(w) * (STORE_MAX_DELAY_S - STORE_MIN_DELAY_S);
  Event *e = world_new_event(w, EV_STORE, node, at);
  e->owner = owner;
  e->put = put;
  e->shard = shard;
  e->version = version;
  e->text = text;
  g_strlcpy(e->name, name, sizeof e->name);
  world_schedule(w, e);
  return e;
}

static Object *find_object(World *w, const char *name, bool make) {
  Object *o = g_hash_table_lookup(w->objects, name);
  if (o || !make) return o;
  o = g_new0(Object, 1);
  g_hash_table_insert(w->objects, g_strdup(name), o);
  return o;
}

void store_object_free(gpointer p) {
  Object *o = p;
  g_free(o->text);
  g_free(o->previous);
  g_free(o);
}

/* Only budget shards are restored. Claims are for the interface whose store
   does not lose what it has acknowledged. */
static bool is_restorable(const char *name) {
  return g_str_has_prefix(name, "budget/");
}

static void save_write(World *w, const char *name, const Object *o) {
  if (!is_restorable(name)) return;
  SavedWrite *x = g_new0(SavedWrite, 1);
  x->at = w->now;
  g_strlcpy(x->name, name, sizeof x->name);
  x->text = g_strdup(o->text);
  x->version = o->version;
  g_ptr_array_add(w->saved_writes, x);
}

void store_saved_write_free(gpointer p) {
  SavedWrite *x = p;
  g_free(x->text);
  g_free(x);
}

static gboolean remove_restorable(gpointer name, gpointer object,
                                  gpointer ctx) {
  (void)object;
  (void)ctx;
  return is_restorable(name);
}

void world_restore(World *w, double age_s) {
  g_hash_table_foreach_remove(w->objects, remove_restorable, NULL);
  guint n = 0;
  for (; n < w->saved_writes->len; n++) {
    const SavedWrite *x = w->saved_writes->pdata[n];
    if (x->at > w->now - age_s) break;
    Object *o = find_object(w, x->name, true);
    g_free(o->text);
    o->text = g_strdup(x->text);
    o->version = x->version;
  }
  g_ptr_array_set_size(w->saved_writes, (gint)n);
  w->era++;
  for (int i = 0; i < w->node_count; i++)
    w->nodes[i].next_store_call =
        w->now + STORE_CALL_INTERVAL_S * world_random(w);
}

static uint64_t version_of(const World *w, const Event *e, uint64_t version) {
  return revision_make(is_restorable(e->name) ? w->era : 0, version);
}

static void store_put(World *w, Event *e) {
  Object *o = find_object(w, e->name, false);
  uint64_t version = version_of(w, e, o ? o->version : 0);
  bool is_current =
      o ? version == e->version : revision_number(e->version) == 0;
  w->sums.writes++;
  if (!is_current && !w->faults.ledger.no_version_check) {
    w->sums.conflicts++;
    e->result = ERR_STORE_CONFLICT;
    return;
  }
  o = find_object(w, e->name, true);
  g_free(o->previous);
  o->previous = o->text;
  o->previous_version = o->version;
  o->text = e->text;
  e->text = NULL;
  o->version++;
  save_write(w, e->name, o);
  e->version = version_of(w, e, o->version);
  e->result = ERR_NONE;
}

static void store_get(World *w, Event *e) {
  const Object *o = find_object(w, e->name, false);
  w->sums.reads++;
  e->result = o ? ERR_NONE : ERR_STORE_ABSENT;
  e->version = version_of(w, e, 0);
  if (!o) return;
  bool stale = o->previous && world_random(w) < w->stale_read_rate;
  e->version = version_of(w, e, stale ? o->previous_version : o->version);
  e->text = g_strdup(stale ? o->previous : o->text);
}

static Event *copy_event(const Event *call, EventKind kind, double at) {
  Event *r = g_memdup2(call, sizeof *call);
  r->kind = kind;
  r->at = at;
  r->text = g_strdup(call->text);
  return r;
}

void store_handle_call(World *w, Event *e) {
  const Node *n = &w->nodes[e->node];
  bool cut = world_list_contains(w->store_cut_regions, n->region);
  double back = w->now + STORE_MIN_DELAY_S +
                world_random(w) * (STORE_MAX_DELAY_S - STORE_MIN_DELAY_S);
  if (cut || w->store == WORLD_STORE_DOWN) {
    if (e->result_sent) return; /* its caller has an answer */
    e->result = cut ? ERR_STORE_UNKNOWN : ERR_STORE_DOWN;
    Event *r = copy_event(e, EV_RESULT, back);
    r->order = ++w->order;
    world_schedule(w, r);
    return;
  }
  if (e->delete &&w->store == WORLD_STORE_HUNG) return;
  bool response_lost =
      w->store == WORLD_STORE_HUNG || world_random(w) < w->response_loss_rate;
  if (response_lost && !e->result_sent) {
    /* The caller times out; the call may take effect before or after that. */
    Event *r = copy_event(e, EV_RESULT, w->now + STORE_TIMEOUT_S);
    r->result = ERR_STORE_UNKNOWN;
    r->order = ++w->order;
    world_schedule(w, r);
    if (!e->put || world_random(w) < 0.3) return;
    Event *delayed = copy_event(e, EV_STORE, w->now + world_random(w) * 5.0);
    delayed->result_sent = true;
    delayed->order = ++w->order;
    world_schedule(w, delayed);
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
  if (e->result_sent) return;
  Event *r = copy_event(e, EV_RESULT, back);
  r->order = ++w->order;
  world_schedule(w, r);
}

static void record_bill(void *ctx, const BillItem *x) {
  World *w = ctx;
  if (g_hash_table_contains(w->billed, x->key)) return;
  g_hash_table_insert(w->billed, g_strdup(x->key),
                      g_memdup2(&x->tokens, sizeof x->tokens));
  w->sums.billed += x->tokens;
}

void store_record_bills(World *w, const char *text) {
  bill_decode_batch(text, record_bill, w);
}

void store_deliver_result(World *w, const Event *e) {
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
