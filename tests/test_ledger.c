/* test_ledger.c: the order of single events in the ledger core, and its rate of
   writes. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ledger/ledger.h"
#include "ledger/shard.h"

#define BUDGET "c/any"

static Ledger *ledger;
static LedgerAction last; /* the last PUT; `text` is owned here */
static int allots, raises;
static char raised_to[LIMIT_ID_BYTES];

static View *new_view(const char *a, const char *b) {
  Member list[2] = {0};
  const char *ids[2] = {a, b};
  for (int i = 0; i < 2; i++) {
    g_strlcpy(list[i].id, ids[i], LIMIT_ID_BYTES);
    g_strlcpy(list[i].region, "r", LIMIT_NAME_BYTES);
  }
  return view_new(list, 2);
}

static void set_members(const char *a, const char *b) {
  View *v = new_view(a, b);
  ledger_set_view(ledger, 1, v);
  view_free(v);
}

static void collect_actions(void) {
  LedgerAction a;
  while (ledger_next_action(ledger, &a)) {
    allots += a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_ALLOT &&
              a.msg.granted > 0;
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_RAISE) {
      raises++;
      g_strlcpy(raised_to, a.to, sizeof raised_to);
    }
    if (a.action == LEDGER_ACTION_GET) last.shard = a.shard;
    if (a.action != LEDGER_ACTION_PUT) continue;
    g_free(last.text);
    last = a;
  }
}

static void start(void) {
  ledger = ledger_new("self.1", "r", 1);
  LedgerBudget row = {.name = BUDGET, .total = 100000, .version = 1};
  set_members("self.1", "w1.1");
  ledger_set_budgets(ledger, 1, &row, 1);
  LedgerMsg draw = {
      .kind = LEDGER_DRAW, .budget = BUDGET, .need = 100, .want = 100};
  ledger_receive(ledger, 1, "holder.1", &draw);
  collect_actions();
}

/* The first update names the witness chosen at that time. If the witness leaves
   while the update is in progress, the document still names it, and a successor
   would query it. So nothing may be allotted under another witness before the
   document names that one. */
Test(ledger, a_witness_that_leaves_during_the_first_update) {
  start();
  ledger_store_result(ledger, 1, last.shard, ERR_STORE_ABSENT, 0, NULL);
  collect_actions();
  cr_assert_not_null(last.text);
  cr_assert_not_null(strstr(last.text, "\"w1.1\""));
  set_members("self.1", "w2.1");
  ledger_tick(ledger, 1.1, 1000);
  collect_actions();
  ledger_store_result(ledger, 1.2, last.shard, ERR_NONE, 1, NULL);
  collect_actions();
  ledger_tick(ledger, 1.3, 1000);
  collect_actions();
  /* The new witness agrees to any limit. */
  cr_assert_str_eq(raised_to, "w2.1");
  LedgerMsg agreed = {
      .kind = LEDGER_RAISE_ACK, .budget = BUDGET, .limit = 1 << 20};
  Shard *doc = shard_decode(last.text);
  const ShardBudget *b = shard_find_budget(doc, BUDGET);
  agreed.grant = ((ShardGrant *)b->grants->pdata[0])->id;
  shard_free(doc);
  ledger_receive(ledger, 1.4, "w2.1", &agreed);
  collect_actions();
  cr_assert_eq(allots, 0, "allotted before the document names w2");
  cr_assert_not_null(strstr(last.text, "\"w2.1\""), "%s", last.text);
  ledger_store_result(ledger, 1.5, last.shard, ERR_NONE, 2, NULL);
  collect_actions();
  ledger_tick(ledger, 1.9, 1000);
  collect_actions();
  ledger_receive(ledger, 2.0, "w2.1", &agreed);
  collect_actions();
  cr_assert_eq(allots, 1, "allotted once the document names w2");
  ledger_free(ledger);
}

/* == how often a home writes == */

#define LANES 8
#define BUDGETS                                                                \
  (LIMIT_BUDGET_SHARDS / LANES) /* one in each shard of a lane                 \
                                 */
#define REGIONS 7

static uint64_t versions[LIMIT_BUDGET_SHARDS], grants[BUDGETS];
static char *texts[LIMIT_BUDGET_SHARDS];
static char names[BUDGETS][LIMIT_NAME_BYTES];

/* The store answers at once; records the grant of each ALLOT. */
static int serve_store(double now) {
  LedgerAction a;
  int puts = 0;
  while (ledger_next_action(ledger, &a)) {
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_ALLOT)
      for (int i = 0; i < BUDGETS; i++)
        if (strcmp(names[i], a.msg.budget) == 0) grants[i] = a.msg.grant;
    if (a.action == LEDGER_ACTION_GET)
      ledger_store_result(ledger, now, a.shard,
                          texts[a.shard] ? ERR_NONE : ERR_STORE_ABSENT,
                          versions[a.shard], texts[a.shard]);
    if (a.action != LEDGER_ACTION_PUT) continue;
    puts++;
    g_free(texts[a.shard]);
    texts[a.shard] = a.text;
    ledger_store_result(ledger, now, a.shard, ERR_NONE, ++versions[a.shard],
                        NULL);
  }
  return puts;
}

/* Finds a budget name for each shard of this lane. */
static void name_budgets(LedgerBudget *rows) {
  bool taken[LIMIT_BUDGET_SHARDS] = {false};
  for (int n = 0, i = 0; n < BUDGETS; i++) {
    char name[LIMIT_NAME_BYTES];
    snprintf(name, sizeof name, "c%d/*", i);
    int shard = shard_index(name);
    if (shard % LANES != 0 || taken[shard]) continue;
    taken[shard] = true;
    g_strlcpy(names[n], name, LIMIT_NAME_BYTES);
    g_strlcpy(rows[n].name, name, LIMIT_NAME_BYTES);
    rows[n].total = 1000000000;
    rows[n++].version = 1;
  }
}

static void set_regions(void) {
  Member list[REGIONS] = {0};
  for (int i = 0; i < REGIONS; i++) {
    snprintf(list[i].id, LIMIT_ID_BYTES, i ? "i%d.1" : "self.1", i);
    snprintf(list[i].region, LIMIT_NAME_BYTES, "r%d", i);
  }
  View *v = view_new(list, REGIONS);
  ledger_set_view(ledger, 1, v);
  view_free(v);
}

/* An instance runs one core per lane; the fleet's write rate applies to all of
   them together. */
Test(ledger, spend_reports_of_all_lanes_stay_within_the_fleet_rate) {
  LedgerBudget rows[BUDGETS] = {0};
  int64_t spent = 0;
  ledger = ledger_new("self.1", "r0", 1);
  ledger_set_lanes(ledger, LANES);
  set_regions();
  name_budgets(rows);
  ledger_set_budgets(ledger, 1, rows, BUDGETS);
  for (int i = 0; i < BUDGETS; i++) {
    LedgerMsg draw = {.kind = LEDGER_DRAW, .need = 10000, .want = 10000};
    g_strlcpy(draw.budget, names[i], LIMIT_NAME_BYTES);
    ledger_receive(ledger, 1, "i1.1", &draw);
  }
  for (int i = 0; i < 20; i++) {
    ledger_tick(ledger, 1 + i * 0.1, 1000);
    serve_store(1 + i * 0.1);
  }
  int puts = 0;
  for (int s = 10; s < 250; s++) {
    spent += 10;
    for (int i = 0; i < BUDGETS; i++) {
      LedgerMsg m = {.kind = LEDGER_REPORT, .grant = grants[i], .spent = spent};
      g_strlcpy(m.budget, names[i], LIMIT_NAME_BYTES);
      ledger_receive(ledger, s, "i1.1", &m);
    }
    ledger_tick(ledger, s, 1000 + s);
    puts += serve_store(s);
  }
  /* 256 shards in seven regions at 15 writes a second: one write per 119 s. */
  cr_assert(puts >= BUDGETS, "%d writes", puts);
  cr_assert(puts <= BUDGETS * 3, "%d writes", puts);
  ledger_free(ledger);
}
