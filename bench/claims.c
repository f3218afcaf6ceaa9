/* claims.c: the cost of a home of claims, the instance that stores which
   once-only keys are taken: `n` claims of one shard with their outcomes, at the
   rate of the fleet's target size, with an in-memory store. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/slopes.h"
#include "once/once.h"

#define CLAIMS_PER_S 8.125 /* of one of 32 shards */
#define TICK_S 0.1

typedef struct Object {
  char *text;
  uint64_t version;
} Object;

typedef struct HomeBench {
  Once *home;
  double now;
  GHashTable *objects;
  double put_bytes, get_bytes, total_wait_s;
  int puts, gets, deletes;
  double *started_at; /* seconds, by handle */
} HomeBench;

static void object_free(gpointer p) {
  g_free(((Object *)p)->text);
  g_free(p);
}

static void store_put(HomeBench *s, const OnceAction *a) {
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

static void store_get(HomeBench *s, const OnceAction *a) {
  const Object *o = g_hash_table_lookup(s->objects, a->name);
  s->gets++;
  if (o) s->get_bytes += (double)strlen(o->text);
  once_claim_stored(s->home, s->now, a->shard, a->part,
                    o ? ERR_NONE : ERR_STORE_ABSENT, o ? o->version : 0,
                    o ? o->text : NULL);
}

static void finish(HomeBench *s, const OnceAction *a) {
  static char body[300];
  memset(body, 'x', sizeof body - 1);
  OnceBill bill = {.customer = "customer-0001", .budget = "customer-0001/x"};
  OnceAnswer answer = {
      .status = 201, .type = "application/json", .body = body, .len = 299};
  g_assert(a->verdict == ONCE_RUN);
  s->total_wait_s += s->now - s->started_at[a->handle];
  once_finish(s->home, s->now, a->handle, &bill, &answer);
}

static void run_actions(HomeBench *s) {
  OnceAction a;
  while (once_next_action(s->home, &a)) {
    switch (a.action) {
    case ONCE_DO_PUT: store_put(s, &a); break;
    case ONCE_DO_GET: store_get(s, &a); break;
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

static OnceKey key_in_shard(int i) {
  char text[32];
  snprintf(text, sizeof text, "key-%d", i);
  OnceKey k = once_make_key("c", text);
  /* Keys whose low half is a multiple of the shard count share a shard. */
  k.lo = k.lo / LIMIT_CLAIM_SHARDS * LIMIT_CLAIM_SHARDS;
  return k;
}

static HomeBench *home_bench_new(void) {
  HomeBench *s = g_new0(HomeBench, 1);
  View *v = slopes_view(350); /* for the write rate of a large fleet */
  s->now = 1;
  s->home = once_new(v->list[0].id, v->list[0].region, 1);
  /* All others are leaving, so this instance is the home of every shard. */
  for (int i = 0; i < v->n; i++) v->list[i].leaving = i > 0;
  once_set_view(s->home, s->now, v);
  view_free(v);
  s->objects =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
  return s;
}

static void run_claims(HomeBench *s, int n) {
  int i = 0;
  double claims_due = 0;
  while (i < n) {
    for (claims_due += CLAIMS_PER_S * TICK_S; claims_due >= 1 && i < n;
         claims_due--) {
      s->started_at[i + 1] = s->now;
      once_begin(s->home, s->now, (uint64_t)i + 1, "c", key_in_shard(i), 1,
                 false, false);
      i++;
      run_actions(s);
    }
    s->now += TICK_S;
    once_tick(s->home, s->now, 1700000000 + (int64_t)s->now);
    run_actions(s);
  }
}

/* Measures a new home, which reads the head and all parts before its first
   verdict. */
static void measure_takeover(HomeBench *s, int n) {
  View *v = slopes_view(1);
  once_free(s->home);
  s->home = once_new(v->list[0].id, v->list[0].region, 2);
  once_set_view(s->home, s->now, v);
  view_free(v);
  s->gets = 0;
  s->get_bytes = 0;
  double heap_start = slopes_heap_bytes(), start_ns = slopes_cpu_ns();
  s->started_at[0] = s->now;
  once_begin(s->home, s->now, 0, "c", key_in_shard(n), 1, false, false);
  run_actions(s);
  slopes_print("claim takeover reads", n, s->gets);
  slopes_print("claim takeover bytes a claim", n, s->get_bytes / n);
  slopes_print("claim memory bytes", n, (slopes_heap_bytes() - heap_start) / n);
  slopes_print("claim takeover ns a claim", n,
               (slopes_cpu_ns() - start_ns) / n);
}

void claims_measure(int n) {
  HomeBench *s = home_bench_new();
  s->started_at = g_new0(double, n + 2);
  double start_ns = slopes_cpu_ns();
  run_claims(s, n);
  double seconds = n / CLAIMS_PER_S;
  slopes_print("claim ns", n, (slopes_cpu_ns() - start_ns) / n);
  slopes_print("claim store bytes", n, s->put_bytes / n);
  slopes_print("claim shard writes a 1000 s", n,
               (s->puts + s->deletes) / seconds * 1000);
  slopes_print("claim wait ms", n, s->total_wait_s / n * 1000);
  measure_takeover(s, n);
  once_free(s->home);
  g_hash_table_destroy(s->objects);
  g_free(s->started_at);
  g_free(s);
}
