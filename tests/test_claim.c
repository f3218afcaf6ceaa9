/* test_claim.c: claim shards of one home, with a store that loses replies. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "once/claimdoc.h"
#include "once/once.h"

/* == a store and one instance == */

typedef struct Object {
  char *text;
  uint64_t version;
} Object;

typedef struct Fixture {
  Once *core;
  double now;
  int64_t unix_s;
  GHashTable *objects;    /* name -> Object */
  OnceAction delayed;     /* a head write without a reply, applied later */
  bool delay_next_head;   /* make the next head write the delayed one */
  bool apply_before_part; /* apply it just before the next part is created */
  int writes, done, refused, replayed;
  uint64_t handles;
} Fixture;

static void object_free(gpointer p) {
  g_free(((Object *)p)->text);
  g_free(p);
}

static Fixture *fixture_new(void) {
  Fixture *d = g_new0(Fixture, 1);
  Member me = {.id = "i0.1", .region = "town", .dc = "nord"};
  View *v = view_new(&me, 1);
  d->unix_s = 1700000000;
  d->core = once_new("i0.1", "town", 1);
  d->objects =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
  once_set_claim_sizes(d->core, 4, 3);
  once_set_view(d->core, 0, v);
  view_free(v);
  return d;
}

static void fixture_free(Fixture *d) {
  once_action_clear(&d->delayed);
  once_free(d->core);
  g_hash_table_destroy(d->objects);
  g_free(d);
}

static uint64_t put(Fixture *d, const OnceAction *a) {
  Object *o = g_hash_table_lookup(d->objects, a->name);
  if ((o ? o->version : 0) != a->version) return 0;
  if (!o) {
    o = g_new0(Object, 1);
    g_hash_table_insert(d->objects, g_strdup(a->name), o);
  }
  g_free(o->text);
  o->text = g_strdup(a->text);
  d->writes++;
  return ++o->version;
}

static void answer_store_call(Fixture *d, OnceAction *a) {
  const Object *o = g_hash_table_lookup(d->objects, a->name);
  ErrKind kind = ERR_NONE;
  uint64_t version = o ? o->version : 0;
  if (a->action == ONCE_DO_DELETE) {
    g_hash_table_remove(d->objects, a->name);
    return;
  }
  if (a->action == ONCE_DO_PUT && a->part != 0 && d->apply_before_part &&
      d->delayed.text) {
    d->apply_before_part = false;
    put(d, &d->delayed);
  }
  if (a->action == ONCE_DO_GET && !o) kind = ERR_STORE_ABSENT;
  if (a->action == ONCE_DO_PUT && a->part == 0 && d->delay_next_head) {
    d->delay_next_head = false;
    d->delayed = *a;
    *a = (OnceAction){.shard = d->delayed.shard};
    kind = ERR_STORE_UNKNOWN;
  } else if (a->action == ONCE_DO_PUT) {
    version = put(d, a);
    if (version == 0) kind = ERR_STORE_CONFLICT;
  }
  const char *text = a->action == ONCE_DO_GET && o ? o->text : NULL;
  once_claim_stored(d->core, d->now, a->shard, a->part, kind, version, text);
}

static void run_actions(Fixture *d) {
  OnceAction a;
  while (once_next_action(d->core, &a)) {
    bool store = a.action == ONCE_DO_GET || a.action == ONCE_DO_PUT ||
                 a.action == ONCE_DO_DELETE;
    if (store) answer_store_call(d, &a);
    if (a.action == ONCE_DO_BILL) once_bill_stored(d->core, d->now, ERR_NONE);
    if (a.action == ONCE_DO_ANSWER) {
      d->done += a.verdict == ONCE_RUN;
      d->replayed += a.verdict == ONCE_REPLAY;
      d->refused += a.verdict == ONCE_NO_CLAIM;
      OnceBill bill = {.customer = "c", .budget = "c/*"};
      OnceAnswer answer = {.status = 201, .body = (char *)"ok", .len = 2};
      if (a.verdict == ONCE_RUN)
        once_finish(d->core, d->now, a.handle, &bill, &answer);
    }
    once_action_clear(&a);
  }
}

static void advance(Fixture *d, double seconds) {
  for (double end = d->now + seconds; d->now < end; d->now += 0.1) {
    once_tick(d->core, d->now, d->unix_s + (int64_t)d->now);
    run_actions(d);
  }
}

/* Returns keys of a single shard. */
static OnceKey key_of(int i) {
  OnceKey k = once_make_key("c", "key");
  k.lo = k.lo / LIMIT_CLAIM_SHARDS * LIMIT_CLAIM_SHARDS;
  k.hi += (uint64_t)i;
  return k;
}

static void begin_request(Fixture *d, int i) {
  once_begin(d->core, d->now, ++d->handles, "c", key_of(i), 7, false, false);
  run_actions(d);
}

static ClaimDoc *read_head(const Fixture *d) {
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, d->objects);
  while (g_hash_table_iter_next(&it, &k, &v))
    if (strlen(k) == strlen("claim/00"))
      return claimdoc_decode_head(((Object *)v)->text);
  return NULL;
}

/* Asserts that every part that the head lists exists. Returns the number of
   parts that it does not list. */
static int count_unlisted_parts(const Fixture *d) {
  ClaimDoc *doc = read_head(d);
  char name[LIMIT_NAME_BYTES];
  for (guint i = 0; i < doc->parts->len; i++) {
    const ClaimPart *p = doc->parts->pdata[i];
    snprintf(name, sizeof name, "claim/00/%016" G_GINT64_MODIFIER "x", p->id);
    cr_assert(g_hash_table_contains(d->objects, name), "%s is gone", name);
  }
  int n = (int)g_hash_table_size(d->objects) - 1 - (int)doc->parts->len;
  claimdoc_free(doc);
  return n;
}

/* == tests == */

Test(claim, heads_are_sealed_and_parts_are_merged_and_deleted) {
  Fixture *d = fixture_new();
  for (int i = 0; i < 100; i++) {
    begin_request(d, i);
    advance(d, 1.5);
  }
  cr_assert_eq(d->done, 100);
  cr_assert_eq(count_unlisted_parts(d), 0);
  ClaimDoc *doc = read_head(d);
  cr_assert_leq(doc->parts->len, 100 / 12 + 4);
  claimdoc_free(doc);
  for (int i = 0; i < 100; i++) begin_request(d, i);
  advance(d, 5);
  cr_assert_eq(d->done, 100);
  cr_assert_eq(d->replayed, 100);
  fixture_free(d);
}

/* A head write whose reply was lost may take effect seconds later. The parts
   that it lists must still exist, whenever that is. */
Test(claim, delayed_head_write_finds_its_part) {
  for (int moment = 0; moment < 40; moment++) {
    Fixture *d = fixture_new();
    for (int i = 0; i < 3; i++) begin_request(d, i);
    advance(d, 3);
    d->delay_next_head = true;
    d->apply_before_part = moment == 39;
    begin_request(
        d, 3); /* the fourth entry seals a part; the head write is delayed */
    cr_assert_not_null(d->delayed.text);
    advance(d, 0.05 * moment);
    put(d, &d->delayed);
    advance(d, 4);
    begin_request(d, 4);
    advance(d, 4);
    cr_assert_eq(d->done + d->refused, 5, "moment %d: %d done, %d refused",
                 moment, d->done, d->refused);
    count_unlisted_parts(d);
    for (int i = 0; i < 3; i++) begin_request(d, i);
    advance(d, 3);
    cr_assert_eq(d->replayed, 3, "moment %d: %d replayed", moment, d->replayed);
    fixture_free(d);
  }
}

/* A wall clock that jumps ahead by two hours must not expire claims. */
Test(claim, claims_expire_by_local_time_not_the_wall_clock) {
  Fixture *d = fixture_new();
  for (int i = 0; i < 8; i++) begin_request(d, i);
  advance(d, 3);
  d->unix_s += 7200;
  for (int i = 100; i < 108; i++) begin_request(d, i);
  advance(d, 3);
  begin_request(d, 0);
  advance(d, 1);
  cr_assert_eq(d->replayed, 1);
  for (int i = 0; i < 200; i++) {
    /* Keeps the shard in use, so that the home does not drop it. */
    begin_request(d, 200 + i);
    d->now += 50;
    once_tick(d->core, d->now, d->unix_s + (int64_t)d->now);
    run_actions(d);
  }
  int before = d->done;
  begin_request(d, 0);
  advance(d, 3);
  cr_assert_eq(d->done, before + 1, "the claim has not expired after hours");
  begin_request(d, 399);
  advance(d, 1);
  cr_assert_eq(d->replayed, 2);
  cr_assert_eq(count_unlisted_parts(d), 0);
  fixture_free(d);
}

Test(claim, damaged_heads_and_parts_are_rejected) {
  ClaimPart p = {.id = 1, .count = 1};
  cr_assert_null(claimdoc_decode_head("{}"));
  cr_assert_null(claimdoc_decode_head("{\"parts\":[],\"entries\":[[\"x\"]]}"));
  cr_assert_not(claimdoc_decode_part(&p, "{\"entries\":[]}"));
  cr_assert_not(claimdoc_decode_part(&p, "not json"));
  ClaimDoc *d =
      claimdoc_decode_head("{\"parts\":[[\"a\",3,5]],\"entries\":[]}");
  cr_assert_eq(((ClaimPart *)d->parts->pdata[0])->id, 10);
  claimdoc_free(d);
}

Test(claim, oldest_answer_bodies_are_dropped_over_the_limit) {
  ClaimDoc *d = claimdoc_new();
  char body[1024];
  memset(body, 'x', sizeof body);
  for (int i = 0; i < 20; i++) {
    ClaimEntry *e = claimdoc_edit_entry(d, key_of(i));
    e->unix_s = i;
    e->runner = e->type = "";
    e->state = CLAIM_RAN;
    claimdoc_keep_body(d, e, body, sizeof body);
  }
  cr_assert_leq(d->body_bytes, CLAIM_HEAD_ANSWER_BYTES);
  cr_assert_null(claimdoc_find(d, key_of(0))->body);
  cr_assert_not_null(claimdoc_find(d, key_of(19))->body);
  char *text = claimdoc_encode_head(d);
  ClaimDoc *again = claimdoc_decode_head(text);
  cr_assert_eq(again->body_bytes, d->body_bytes);
  g_free(text);
  claimdoc_free(again);
  claimdoc_free(d);
}
