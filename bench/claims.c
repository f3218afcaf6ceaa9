/* claims.c: what a home of claims costs: `n` claims of one shard at the rate of
   the target size, with their outcomes, against a store in memory. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/slopes.h"
#include "once/once.h"

#define RATE 8.125 /* claims a second of one of 32 shards */
#define TICK_S 0.1

typedef struct Object {
  char *text;
  uint64_t version;
} Object;

typedef struct Shop {
  Once *home;
  double now;
  GHashTable *objects;
  double put_bytes, get_bytes, waited;
  int puts, gets, deletes;
  double *came; /* by handle */
} Shop;

static void object_free(gpointer p) {
  g_free(((Object *)p)->text);
  g_free(p);
}

static void put(Shop *s, const OnceAction *a) {
  Object *o = g_hash_table_lookup(s->objects, a->name);
  g_assert((o ? o->version : 0) == a->version);
  if (!o) {
    o = g_new0(Object, 1);
    g_hash_table_insert(s->objects, g_strdup(a->name), o);
  }
  g_free(o->text);
  o->text = g_strdup(a->text);
  s->puts++;
  s->put_bytes += (double)strlen(a->text);
  once_claim_stored(s->home, s->now, a->shard, a->part, ERR_NONE, ++o->version,
                    NULL);
}

static void get(Shop *s, const OnceAction *a) {
  const Object *o = g_hash_table_lookup(s->objects, a->name);
  s->gets++;
  if (o) s->get_bytes += (double)strlen(o->text);
  once_claim_stored(s->home, s->now, a->shard, a->part,
                    o ? ERR_NONE : ERR_STORE_ABSENT, o ? o->version : 0,
                    o ? o->text : NULL);
}

static void finish(Shop *s, const OnceAction *a) {
  static char body[300];
  memset(body, 'x', sizeof body - 1);
  OnceBill bill = {.customer = "customer-0001", .budget = "customer-0001/x"};
  OnceAnswer answer = {
      .status = 201, .type = "application/json", .body = body, .len = 299};
  g_assert(a->verdict == ONCE_RUN);
  s->waited += s->now - s->came[a->handle];
  once_finish(s->home, s->now, a->handle, &bill, &answer);
}

static void act(Shop *s) {
  OnceAction a;
  while (once_next_action(s->home, &a)) {
    switch (a.action) {
    case ONCE_DO_PUT: put(s, &a); break;
    case ONCE_DO_GET: get(s, &a); break;
    case ONCE_DO_DELETE:
      s->deletes++;
      g_hash_table_remove(s->objects, a.name);
      break;
    case ONCE_DO_BILL: once_bill_stored(s->home, s->now, ERR_NONE); break;
    case ONCE_DO_ANSWER: finish(s, &a); break;
    default: break;
    }
    once_action_clear(&a);
  }
}

static OnceKey key_of(int i) {
  char text[32];
  snprintf(text, sizeof text, "key-%d", i);
  OnceKey k = once_make_key("c", text);
  k.lo = k.lo / LIMIT_CLAIM_SHARDS * LIMIT_CLAIM_SHARDS; /* of one shard */
  return k;
}

static Shop *shop_new(void) {
  Shop *s = g_new0(Shop, 1);
  View *v = slopes_view(350); /* the rate of writes is a large fleet's */
  s->now = 1;
  s->home = once_new(v->list[0].id, v->list[0].region, 1);
  /* We are asked as if we were the home: nobody else is there to answer. */
  for (int i = 0; i < v->n; i++) v->list[i].leaving = i > 0;
  once_set_view(s->home, s->now, v);
  view_free(v);
  s->objects =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
  return s;
}

static void book(Shop *s, int n) {
  int i = 0;
  double rest = 0;
  while (i < n) {
    for (rest += RATE * TICK_S; rest >= 1 && i < n; rest--) {
      s->came[i + 1] = s->now;
      once_begin(s->home, s->now, (uint64_t)i + 1, key_of(i), 1, false, false);
      i++;
      act(s);
    }
    s->now += TICK_S;
    once_tick(s->home, s->now, 1700000000 + (int64_t)s->now);
    act(s);
  }
}

/* A new home reads the head and all parts before its first verdict. */
static void take_over(Shop *s, int n) {
  View *v = slopes_view(1);
  once_free(s->home);
  s->home = once_new(v->list[0].id, v->list[0].region, 2);
  once_set_view(s->home, s->now, v);
  view_free(v);
  s->gets = 0;
  s->get_bytes = 0;
  double h0 = slopes_heap(), t = slopes_ns();
  s->came[0] = s->now;
  once_begin(s->home, s->now, 0, key_of(n), 1, false, false);
  act(s);
  slopes_out("claim takeover reads", n, s->gets);
  slopes_out("claim takeover bytes a claim", n, s->get_bytes / n);
  slopes_out("claim memory bytes", n, (slopes_heap() - h0) / n);
  slopes_out("claim takeover ns a claim", n, (slopes_ns() - t) / n);
}

void claims_slopes(int n) {
  Shop *s = shop_new();
  s->came = g_new0(double, n + 2);
  double t = slopes_ns();
  book(s, n);
  double seconds = n / RATE;
  slopes_out("claim ns", n, (slopes_ns() - t) / n);
  slopes_out("claim store bytes", n, s->put_bytes / n);
  slopes_out("claim shard writes a 1000 s", n,
             (s->puts + s->deletes) / seconds * 1000);
  slopes_out("claim wait ms", n, s->waited / n * 1000);
  take_over(s, n);
  once_free(s->home);
  g_hash_table_destroy(s->objects);
  g_free(s->came);
  g_free(s);
}
