/* test_layup.c: how much a home holds ready for when the store is away. */
#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "ledger/ledger.h"

#define BUDGET "c"
#define HOLDER "holder.1"
#define DRAW 1000  /* tokens of one request */
#define EVERY 0.1  /* seconds between two requests */
#define LAY_UP 9.0 /* seconds of demand that the row asks for */

static Ledger *ledger;
static uint64_t version;
static char *stored;   /* the document, NULL: none */
static int64_t given;  /* to the holder, in all */
static uint64_t grant; /* that it came from */
static bool away;      /* the store does not answer */

/* The store answers at once, the witness agrees to everything. */
static void take_actions(double now) {
  LedgerAction a;
  while (ledger_next_action(ledger, &a)) {
    bool call = a.action == LEDGER_ACTION_GET || a.action == LEDGER_ACTION_PUT;
    if (call && away) {
      g_free(a.text);
      ledger_store_result(ledger, now, a.shard, ERR_STORE_DOWN, 0, NULL);
      continue;
    }
    if (a.action == LEDGER_ACTION_GET && !stored)
      ledger_store_result(ledger, now, a.shard, ERR_STORE_ABSENT, 0, NULL);
    if (a.action == LEDGER_ACTION_GET && stored)
      ledger_store_result(ledger, now, a.shard, ERR_NONE, version, stored);
    if (a.action == LEDGER_ACTION_PUT) {
      g_free(stored);
      stored = g_strdup(a.text);
      ledger_store_result(ledger, now, a.shard, ERR_NONE, ++version, NULL);
    }
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_ALLOT) {
      given = MAX(given, a.msg.granted);
      grant = a.msg.grant;
    }
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_RAISE) {
      LedgerMsg yes = a.msg;
      yes.kind = LEDGER_RAISE_ACK;
      ledger_receive(ledger, now, a.to, &yes);
    }
    g_free(a.text);
  }
}

static void start(int64_t total) {
  Member list[2] = {{.id = "self.1", .region = "r"},
                    {.id = "w.1", .region = "r"}};
  LedgerBudget row = {
      .name = BUDGET, .total = total, .version = 1, .outage_reserve_s = LAY_UP};
  ledger = ledger_new("self.1", "r", 1);
  version = 0;
  g_clear_pointer(&stored, g_free);
  away = false;
  given = 0;
  grant = 0;
  View *v = view_new(list, 2);
  ledger_set_view(ledger, 1, v);
  ledger_set_budgets(ledger, 1, &row, 1);
  view_free(v);
}

/* One request after the other; the time when it ended. */
static double demand(double from, double seconds) {
  double now = from;
  for (; now < from + seconds; now += EVERY) {
    LedgerMsg m = {.kind = LEDGER_DRAW,
                   .budget = BUDGET,
                   .grant = grant,
                   .granted = given,
                   .need = DRAW,
                   .want = DRAW};
    ledger_receive(ledger, now, HOLDER, &m);
    take_actions(now);
    ledger_tick(ledger, now, 1000);
    take_actions(now);
  }
  return now;
}

static double held_s(void) {
  return (double)ledger_sums(ledger).home_free_tokens / (DRAW / EVERY);
}

/* In the first seconds of a budget a mean over minutes was taken for a tenth of
   the demand: a cut at 6 s found nothing laid up. */
Test(layup, a_cut_in_the_first_seconds_is_covered) {
  start(10000000);
  demand(1, 5);
  cr_assert_gt(held_s(), 6.0, "%.1f s are held", held_s());
  cr_assert_lt(held_s(), 16.0, "%.1f s are held", held_s());
  ledger_free(ledger);
}

/* What is laid up is lost when all are killed; 97 in 100 have to be usable. */
Test(layup, near_the_end_of_a_budget_little_is_held) {
  const int64_t total = 440000; /* 44 s of demand, as on the users' days */
  start(total);
  demand(1, 36);
  LedgerSums s = ledger_sums(ledger);
  cr_assert_gt(given, total * 8 / 10, "%ld were given out", (long)given);
  cr_assert_leq(s.home_free_tokens, total * 4 / 100, "%ld are held",
                (long)s.home_free_tokens);
  ledger_free(ledger);
}

/* What was used up in an outage is laid up again over seconds, not at once: a
   loss of power soon after it then costs little, and the store that has just
   come back is not asked for all of it at the same moment. */
Test(layup, after_an_outage_it_is_built_up_again_slowly) {
  start(10000000);
  double now = demand(1, 10);
  away = true;
  now = demand(now, 7);
  cr_assert_lt(held_s(), 5.0, "%.1f s are left", held_s());
  away = false;
  now = demand(now, 2);
  cr_assert_gt(held_s(), 0.5, "%.1f s are held", held_s());
  cr_assert_lt(held_s(), 7.0, "%.1f s are held", held_s());
  demand(now, 9);
  cr_assert_gt(held_s(), 7.5, "%.1f s are held", held_s());
  ledger_free(ledger);
}
