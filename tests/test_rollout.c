/* test_rollout.c: concurrent edits, lost replies, stale reads. */
#include <criterion/criterion.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "table/rollout.h"

#define CUSTOMERS 20
#define EDITS 200
#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

typedef struct Object {
  char *text, *before;
  uint64_t version;
} Object;

typedef struct FakeStore {
  GHashTable *objects;
  GRand *rng;
  bool lose_replies, no_version_check;
  int depth; /* nested edits of other operators within a store call */
  int edits, accepted, refused, gets;
  int64_t expected[CUSTOMERS]; /* share set by the last accepted edit */
} FakeStore;

static RolloutStore store_of(FakeStore *f);
static void edit(FakeStore *f, int customer, int64_t share);

static void object_free(gpointer p) {
  Object *o = p;
  g_free(o->text);
  g_free(o->before);
  g_free(o);
}

static PlatformAnswer get(void *ctx, const char *name) {
  FakeStore *f = ctx;
  f->gets++;
  const Object *o = g_hash_table_lookup(f->objects, name);
  if (!o) return (PlatformAnswer){.kind = ERR_STORE_ABSENT};
  return (PlatformAnswer){ERR_NONE, o->version, g_strdup(o->text)};
}

static PlatformAnswer put(void *ctx, const char *name, uint64_t version,
                          const char *text) {
  FakeStore *f = ctx;
  /* Another operator may complete an edit just before this write. */
  bool head = strcmp(name, ROLLOUT_HEAD) == 0;
  if (head && f->depth < 3 && f->edits < EDITS && g_rand_double(f->rng) < 0.5)
    edit(f, g_rand_int_range(f->rng, 0, CUSTOMERS),
         g_rand_int_range(f->rng, 1, 1000));
  Object *o = g_hash_table_lookup(f->objects, name);
  if ((o ? o->version : 0) != version && !f->no_version_check)
    return (PlatformAnswer){.kind = ERR_STORE_CONFLICT};
  if (!o) {
    o = g_new0(Object, 1);
    g_hash_table_insert(f->objects, g_strdup(name), o);
  }
  g_free(o->text);
  o->text = g_strdup(text);
  o->version++;
  if (f->lose_replies && g_rand_double(f->rng) < 0.3)
    return (PlatformAnswer){.kind = ERR_STORE_UNKNOWN};
  return (PlatformAnswer){ERR_NONE, o->version, NULL};
}

static RolloutStore store_of(FakeStore *f) {
  return (RolloutStore){get, put, f};
}

static Table *load_table(FakeStore *f) {
  RolloutStore s = store_of(f);
  bool unchanged;
  Err e = {0};
  Table *t = rollout_load(&s, NULL, &unchanged, &e);
  cr_assert(t, "%s", e.text);
  return t;
}

/* Changes one share in the current table. */
static void edit(FakeStore *f, int customer, int64_t share) {
  char name[16], cell[16];
  Table *t = load_table(f);
  f->depth++;
  snprintf(name, sizeof name, "c%d", customer);
  snprintf(cell, sizeof cell, "%d", (int)share);
  TableRow row = {.kind = TABLE_CUSTOMER};
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++) row.cells[i] = (char *)"";
  g_strlcpy(row.name, name, sizeof row.name);
  row.cells[TABLE_KEY_HASH] = (char *)HASH;
  row.cells[TABLE_SHARE] = cell;
  RolloutEdit e = {.base_version = t->version};
  snprintf(e.id, sizeof e.id, "edit-%d", f->edits++);
  g_strlcpy(e.author, "op", sizeof e.author);
  table_put_row(t, &row);
  table_sort_rows(t);
  RolloutStore s = store_of(f);
  Err err = {0};
  uint64_t v = rollout_apply(&s, t, &e, &err);
  if (v) {
    f->accepted++;
    f->expected[customer] = share;
  } else {
    f->refused++;
    cr_assert_eq(err.kind, ERR_TABLE_RACE, "%s", err.text);
  }
  table_free(t);
  f->depth--;
}

static FakeStore *fake_new(uint32_t seed) {
  FakeStore *f = g_new0(FakeStore, 1);
  f->objects =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
  f->rng = g_rand_new_with_seed(seed);
  return f;
}

static void fake_free(FakeStore *f) {
  g_hash_table_destroy(f->objects);
  g_rand_free(f->rng);
  g_free(f);
}

/* Runs the edits. Returns how many customers do not have the share that the
   last accepted edit set. */
static int run_edits(FakeStore *f) {
  while (f->edits < EDITS)
    edit(f, g_rand_int_range(f->rng, 0, CUSTOMERS),
         g_rand_int_range(f->rng, 1, 1000));
  Table *t = load_table(f);
  int wrong = 0;
  for (int i = 0; i < CUSTOMERS; i++) {
    char name[16];
    snprintf(name, sizeof name, "c%d", i);
    const TableRow *r = table_find_row(t, TABLE_CUSTOMER, name);
    wrong += r && r->numbers[TABLE_SHARE] != f->expected[i];
  }
  cr_expect(f->no_version_check || t->version == (uint64_t)f->accepted,
            "version %d, %d accepted", (int)t->version, f->accepted);
  table_free(t);
  return wrong;
}

Test(rollout, concurrent_edits_are_applied_once_or_refused) {
  FakeStore *f = fake_new(1);
  f->lose_replies = true;
  cr_assert_eq(run_edits(f), 0);
  cr_assert_gt(f->accepted, 100);
  cr_assert_gt(f->refused, 0);
  fake_free(f);
}

Test(rollout, edits_are_lost_without_the_version_check) {
  FakeStore *f = fake_new(1);
  f->no_version_check = true;
  cr_assert_gt(run_edits(f), 0);
  fake_free(f);
}

Test(rollout, a_stale_head_is_not_loaded) {
  FakeStore *f = fake_new(2);
  f->edits = EDITS; /* no concurrent edits */
  edit(f, 1, 10);
  edit(f, 2, 20);
  RolloutStore s = store_of(f);
  bool unchanged;
  Err e = {0};
  Table *cached = load_table(f);
  cached->version = 5;
  cr_assert_null(rollout_load(&s, cached, &unchanged, &e));
  table_free(cached);
  cr_assert(unchanged, "an older version must not be loaded");
  fake_free(f);
}

Test(rollout, a_changed_row_reads_only_its_part) {
  FakeStore *f = fake_new(4);
  f->edits = EDITS;
  for (int i = 0; i < CUSTOMERS; i++) edit(f, i, 10);
  Table *cached = load_table(f);
  edit(f, 3, 20);
  f->gets = 0;
  RolloutStore s = store_of(f);
  bool unchanged;
  Err e = {0};
  Table *t = rollout_load(&s, cached, &unchanged, &e);
  cr_assert_eq(f->gets, 2, "%d reads: the head and a part", f->gets);
  cr_assert_eq(t->sorted_rows->len, CUSTOMERS);
  cr_assert_eq(table_find_row(t, TABLE_CUSTOMER, "c3")->numbers[TABLE_SHARE],
               20);
  cr_assert_eq(table_find_row(t, TABLE_CUSTOMER, "c4"),
               table_find_row(cached, TABLE_CUSTOMER, "c4"), "shared");
  table_free(cached);
  table_free(t);
  fake_free(f);
}

Test(rollout, a_repeated_edit_is_applied_once) {
  FakeStore *f = fake_new(3);
  f->edits = EDITS;
  edit(f, 1, 10);
  Table *t = load_table(f);
  RolloutStore s = store_of(f);
  RolloutEdit e = {.id = "again", .author = "op", .base_version = 1};
  Err err = {0};
  uint64_t a = rollout_apply(&s, t, &e, &err);
  uint64_t b = rollout_apply(&s, t, &e, &err);
  cr_assert_eq(a, 2);
  cr_assert_eq(b, 2);
  table_free(t);
  fake_free(f);
}
