/* test_ledger.c: single steps of the ledger core, where the order of two events
   is the whole point. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/ledger.h"

#define BUDGET "c/any"

static Ledger *ledger;
static LedgerAction last; /* the last PUT; `text` is ours */
static int allots, raises;
static char raised_to[LIMIT_ID];

static View *view_of(const char *a, const char *b) {
  Member list[2] = {0};
  const char *ids[2] = {a, b};
  for (int i = 0; i < 2; i++) {
    g_strlcpy(list[i].id, ids[i], LIMIT_ID);
    g_strlcpy(list[i].region, "r", LIMIT_NAME);
  }
  return view_new(list, 2);
}

static void look(const char *a, const char *b) {
  View *v = view_of(a, b);
  ledger_view(ledger, 1, v);
  view_free(v);
}

static void take_actions(void) {
  LedgerAction a;
  while (ledger_next(ledger, &a)) {
    allots += a.what == LEDGER_DO_SEND && a.msg.kind == LEDGER_ALLOT &&
              a.msg.granted > 0;
    if (a.what == LEDGER_DO_SEND && a.msg.kind == LEDGER_RAISE) {
      raises++;
      g_strlcpy(raised_to, a.to, sizeof raised_to);
    }
    if (a.what == LEDGER_DO_GET) last.shard = a.shard;
    if (a.what != LEDGER_DO_PUT) continue;
    g_free(last.text);
    last = a;
  }
}

static void start(void) {
  ledger = ledger_new("self.1", "r", 1);
  LedgerBudget row = {.name = BUDGET, .total = 100000, .version = 1};
  look("self.1", "w1.1");
  ledger_budgets(ledger, 1, &row, 1);
  LedgerMsg draw = {
      .kind = LEDGER_DRAW, .budget = BUDGET, .need = 100, .want = 100};
  ledger_receive(ledger, 1, "holder.1", &draw);
  take_actions();
}

/* The first update names the witness of that moment. Should it go while the
   update is on its way, the document still names it: a successor would ask it,
   so nothing may be given out under another one that the document does not
   name. */
Test(ledger, a_witness_that_goes_during_the_first_update) {
  start();
  ledger_stored(ledger, 1, last.shard, ERR_STORE_ABSENT, 0, NULL);
  take_actions();
  cr_assert_not_null(last.text);
  cr_assert_not_null(strstr(last.text, "\"w1.1\""));
  look("self.1", "w2.1");
  ledger_tick(ledger, 1.1, 1000);
  take_actions();
  ledger_stored(ledger, 1.2, last.shard, ERR_NONE, 1, NULL);
  take_actions();
  ledger_tick(ledger, 1.3, 1000);
  take_actions();
  /* Whoever was asked agrees to anything. */
  cr_assert_str_eq(raised_to, "w2.1");
  LedgerMsg yes = {.kind = LEDGER_RAISED, .budget = BUDGET, .limit = 1 << 20};
  /* The grant's id stands in the document as its first string. */
  const char *id = strstr(last.text, "[[\"") + 3;
  yes.grant = strtoull(id, NULL, 16);
  ledger_receive(ledger, 1.4, "w2.1", &yes);
  take_actions();
  cr_assert_eq(allots, 0, "given out before the document names w2");
  cr_assert_not_null(strstr(last.text, "\"w2.1\""), "%s", last.text);
  ledger_stored(ledger, 1.5, last.shard, ERR_NONE, 2, NULL);
  take_actions();
  ledger_tick(ledger, 1.9, 1000);
  take_actions();
  ledger_receive(ledger, 2.0, "w2.1", &yes);
  take_actions();
  cr_assert_eq(allots, 1, "and after that it is");
  ledger_free(ledger);
}
