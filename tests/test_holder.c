/* test_holder.c: which home an instance requests tokens from, how long it waits
   for an answer, and when it returns unused tokens. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "kernel/limits.h"
#include "ledger/ledger.h"
#include "store/pace.h"

#define BUDGET "c"
#define MEMBERS 5

static Ledger *ledger;
static char draw_recipient[LIMIT_ID_BYTES]; /* the recipient of the last draw */
static int draws;
static int demands;        /* messages about demand by priority */
static LedgerMsg demanded; /* the last of them */
static ErrKind answer;     /* of the last reservation; ERR_COUNT: none yet */
static int answers, answer_retry_ms;

static void collect_actions(void) {
  LedgerAction a;
  while (ledger_next_action(ledger, &a)) {
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_DRAW) {
      g_strlcpy(draw_recipient, a.to, sizeof draw_recipient);
      draws++;
    }
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_DEMAND) {
      demands++;
      demanded = a.msg;
    }
    if (a.action == LEDGER_ACTION_ANSWER) {
      answer = a.cause;
      answer_retry_ms = a.retry_ms;
      answers++;
    }
    g_free(a.text);
  }
}

/* The instance is not in the view, so it is never a home itself. */
static void start_among(int members) {
  Member *list = g_new0(Member, (gsize)members);
  for (int i = 0; i < members; i++) {
    snprintf(list[i].id, LIMIT_ID_BYTES, "n%d.1", i);
    g_strlcpy(list[i].region, "r", LIMIT_NAME_BYTES);
  }
  View *v = view_new(list, members);
  g_free(list);
  LedgerBudget row = {.name = BUDGET, .total = 100000, .version = 1};
  ledger = ledger_new("self.1", "r", 1);
  ledger_set_view(ledger, 1, v);
  ledger_set_budgets(ledger, 1, &row, 1);
  view_free(v);
  answer = ERR_COUNT;
  draws = demands = answers = 0;
  collect_actions();
}

static void start(void) {
  start_among(MEMBERS);
}

static void reserve(double now, uint64_t handle) {
  ledger_reserve(ledger, now, handle, BUDGET, 100, -1);
  collect_actions();
}

static void receive_allot(double now, const char *from, ErrKind cause) {
  LedgerMsg m = {.kind = LEDGER_ALLOT, .budget = BUDGET, .cause = cause};
  ledger_receive(ledger, now, from, &m);
  collect_actions();
}

/* Guards against refusing all requests of a budget at an instance that could
   reach the store, because the budget's home could not. */
Test(holder, a_home_without_the_store_is_skipped) {
  char first[LIMIT_ID_BYTES];
  start();
  reserve(1, 1);
  g_strlcpy(first, draw_recipient, sizeof first);
  receive_allot(1.01, first, ERR_BUDGET_STORE);
  cr_assert_str_neq(draw_recipient, first);
  cr_assert_eq(answer, ERR_COUNT, "not refused yet");
  for (int i = 0; i < 4 && answer == ERR_COUNT; i++)
    receive_allot(1.02, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_eq(answer, ERR_BUDGET_STORE, "no home reaches the store");
  ledger_free(ledger);
}

/* Requests wait for 0.1 s, so there may be none waiting at the next tick; the
   missing answer must be noticed all the same. */
Test(holder, an_unresponsive_home_is_skipped_while_requests_come_and_go) {
  char first[LIMIT_ID_BYTES];
  start();
  reserve(1, 1);
  g_strlcpy(first, draw_recipient, sizeof first);
  for (int i = 0; i < 4; i++) {
    ledger_settle(ledger, 1.07 + i * 0.07, (uint64_t)i + 1, 0);
    reserve(1.08 + i * 0.07, (uint64_t)i + 2);
  }
  cr_assert_str_neq(draw_recipient, first);
  ledger_free(ledger);
}

/* Another home in place of a busy one would compete with it for the store. */
Test(holder, a_home_that_answered_recently_is_waited_for) {
  char first[LIMIT_ID_BYTES];
  start();
  reserve(1, 1);
  g_strlcpy(first, draw_recipient, sizeof first);
  receive_allot(1.01, first, ERR_BUDGET_HELD);
  reserve(1.02, 2);
  for (int i = 1; i < 5; i++) {
    ledger_tick(ledger, 1.02 + i * 0.06, 0);
    collect_actions();
  }
  cr_assert_str_eq(draw_recipient, first);
  cr_assert_leq(draws, 3);
  ledger_free(ledger);
}

/* Guards against a wrong cause: requests that waited behind a refused one were
   refused with ERR_BUDGET_CUT, though the home had just answered. */
Test(holder, a_timed_out_request_gets_the_cause_that_the_home_sent) {
  const struct {
    ErrKind sent, expected;
    int64_t amount;
  } rows[] = {{ERR_BUDGET_HELD, ERR_BUDGET_HELD, 50},
              {ERR_BUDGET_EMPTY, ERR_BUDGET_EMPTY, 200},
              {ERR_BUDGET_EMPTY, ERR_BUDGET_HELD, 50},
              {ERR_BUDGET_CUT, ERR_BUDGET_CUT, 50},
              {ERR_NONE, ERR_BUDGET_HELD, 50}};
  for (gsize i = 0; i < G_N_ELEMENTS(rows); i++) {
    start();
    reserve(1, 1);
    ledger_reserve(ledger, 1, 2, BUDGET, rows[i].amount, -1);
    receive_allot(1.01, draw_recipient, rows[i].sent);
    answer = ERR_COUNT;
    ledger_tick(ledger, 1.02 + LEDGER_DRAW_WAIT_S, 0);
    collect_actions();
    cr_assert_eq(answer, rows[i].expected, "row %d: %d", (int)i, (int)answer);
    ledger_free(ledger);
  }
}

/* The same without an answer from any home. */
Test(holder, a_timed_out_request_without_an_answer_is_refused_as_cut) {
  start();
  reserve(1, 1);
  ledger_tick(ledger, 1.02 + LEDGER_DRAW_WAIT_S, 0);
  collect_actions();
  cr_assert_eq(answer, ERR_BUDGET_CUT);
  ledger_free(ledger);
}

/* Guards against a long backoff: a home did not call the store for 4 s after a
   partition had ended. */
Test(holder, the_store_is_retried_within_a_second_and_a_half) {
  double wait = 0;
  for (int i = 0; i < 20; i++) cr_assert_leq(pace_backoff(&wait, 1.0), 1.5);
}

/* == a customer of a large fleet == */

/* Each of 295 instances serves a customer once in 15 s. Tokens that a request
   left unused must not stay at the instance, where they are lost if it dies. */
Test(holder, an_occasional_request_leaves_no_tokens_at_its_instance) {
  start_among(295);
  for (int i = 0; i < 4; i++) {
    double now = 2 + i * 15;
    uint64_t grant = (uint64_t)i + 1;
    LedgerMsg m = {.kind = LEDGER_ALLOT, .budget = BUDGET, .grant = grant};
    m.granted = 100;
    reserve(now, grant);
    ledger_receive(ledger, now + 0.01, draw_recipient, &m);
    collect_actions();
    cr_assert_eq(answer, ERR_NONE);
    ledger_settle(ledger, now + 1, grant, 40);
    for (int k = 1; k <= 4; k++) {
      ledger_tick(ledger, now + 1 + k * 0.05, 0);
      collect_actions();
    }
    LedgerSums sums = ledger_sums(ledger);
    cr_assert_eq(sums.free, 0, "request %d left %d", i, (int)sums.free);
  }
  ledger_free(ledger);
}

/* == while the store is down == */

/* No instance reaches the store, so draws to the next choices would be in
   vain. */
Test(holder, no_other_home_is_tried_while_the_store_is_down) {
  char first[LIMIT_ID_BYTES];
  start();
  ledger_set_store_down(ledger, 1, true);
  reserve(1, 1);
  g_strlcpy(first, draw_recipient, sizeof first);
  receive_allot(1.01, first, ERR_BUDGET_STORE);
  cr_assert_eq(answer, ERR_BUDGET_STORE, "refused at once");
  cr_assert_str_eq(draw_recipient, first);
  ledger_free(ledger);
}

/* == a caller that moves to another instance == */

static int64_t granted, returned;

/* A home that allots what a draw wants and records returned tokens. */
static void answer_draws(double now) {
  LedgerAction a;
  while (ledger_next_action(ledger, &a)) {
    LedgerMsg m = {.kind = LEDGER_ALLOT, .budget = BUDGET, .grant = 7};
    g_free(a.text);
    if (a.action != LEDGER_ACTION_SEND) continue;
    if (a.msg.kind == LEDGER_REPORT) returned = a.msg.returned;
    if (a.msg.kind != LEDGER_DRAW) continue;
    m.granted = granted += a.msg.want;
    ledger_receive(ledger, now, a.to, &m);
  }
}

/* The largest customer of a fleet sends 90 requests a second to one instance
   after the other. Tokens kept for it at the instances that it had left, two
   seconds of its demand at each, were lost when all instances were killed: 0.08
   of the value that the fleet had served that day. */
Test(holder, tokens_of_a_caller_that_moved_are_returned_in_two_seconds) {
  double now = 1;
  int64_t min_free = INT64_MAX;
  start_among(74);
  granted = returned = 0;
  for (uint64_t i = 1; i < 900; i++) {
    now += 1 / 90.0;
    ledger_reserve(ledger, now, i, BUDGET, 100, -1);
    answer_draws(now);
    ledger_settle(ledger, now, i, 100);
    ledger_tick(ledger, now, 0);
    answer_draws(now);
    if (now > 4) min_free = MIN(min_free, ledger_sums(ledger).free);
  }
  int64_t kept = ledger_sums(ledger).free;
  cr_assert_gt(min_free, 1000,
               "no request waits for a home while the caller is here");
  returned = 0;
  for (double end = now + 2; now < end; now += 0.05) {
    ledger_tick(ledger, now, 0);
    answer_draws(now);
  }
  cr_assert_eq(ledger_sums(ledger).free, 0);
  cr_assert_geq(returned, kept);
  ledger_free(ledger);
}

/* == managed services == */

static void reserve_at(double now, uint64_t handle, int64_t amount,
                       int priority) {
  ledger_reserve(ledger, now, handle, BUDGET, amount, priority);
  collect_actions();
}

/* Builds without managed services send the messages of before. */
Test(holder, a_service_that_is_not_managed_reports_no_demand) {
  start();
  for (uint64_t i = 1; i < 50; i++) {
    reserve_at(1 + (double)i * 0.1, i, 100, -1);
    ledger_tick(ledger, 1 + (double)i * 0.1, 0);
    collect_actions();
  }
  cr_assert_gt(draws, 0);
  cr_assert_eq(demands, 0);
  ledger_free(ledger);
}

/* Guards against one request per round trip: the home has to know of all that
   wait, not only of the first. */
Test(holder, a_draw_reports_all_that_wait) {
  start();
  reserve_at(1, 1, 800, 0);
  reserve_at(1.001, 2, 12000, 2);
  reserve_at(1.002, 3, 2000, 1);
  reserve_at(1.003, 4, 900, 0);
  ledger_tick(ledger, 1.1, 0);
  collect_actions();
  cr_assert_eq(demanded.waiting[0], 1700);
  cr_assert_eq(demanded.waiting[1], 2000);
  cr_assert_eq(demanded.waiting[2], 12000);
  cr_assert_gt(demanded.tokens_per_s[0], 0);
  cr_assert_eq(demanded.priority, 0);
  ledger_free(ledger);
}

static void receive_cutoff(double now, int priority) {
  LedgerMsg m = {.kind = LEDGER_CUTOFF,
                 .budget = BUDGET,
                 .priority = priority,
                 .retry_ms = 4321};
  ledger_receive(ledger, now, draw_recipient, &m);
  collect_actions();
}

/* Guards against a wait of 0.08 to 0.28 s for a rejection that is known. */
Test(holder, what_the_home_rejects_is_rejected_at_once) {
  start();
  ledger_set_store_down(ledger, 1, true);
  reserve_at(1, 1, 12000, 2);
  reserve_at(1, 2, 800, 0);
  receive_cutoff(1.01, 1);
  cr_assert_eq(answers, 1, "the request that waits");
  cr_assert_eq(answer, ERR_BUDGET_STORE);
  cr_assert_eq(answer_retry_ms, 4321);
  reserve_at(1.02, 3, 2000, 1);
  cr_assert_eq(answers, 2, "one that comes later");
  reserve_at(1.02, 4, 800, 0);
  reserve_at(1.02, 5, 800, -1);
  cr_assert_eq(answers, 2, "an urgent one, and one that is not managed, wait");
  ledger_free(ledger);
}

/* A cutoff of a home that is lost must not outlive it by more than a second. */
Test(holder, a_cutoff_without_renewal_is_discarded) {
  start();
  ledger_set_store_down(ledger, 1, true);
  reserve_at(1, 1, 12000, 2);
  receive_cutoff(1.01, 0);
  reserve_at(1.9, 2, 800, 0);
  cr_assert_eq(answers, 2);
  reserve_at(2.1, 3, 800, 0);
  cr_assert_eq(answers, 2, "it waits for a home");
  ledger_free(ledger);
}

/* While other instances reach the store another home can refill. */
Test(holder, a_cutoff_counts_only_while_the_store_is_down_for_all) {
  start();
  reserve_at(1, 1, 12000, 2);
  receive_cutoff(1.01, 0);
  reserve_at(1.02, 2, 800, 0);
  cr_assert_eq(answers, 0);
  ledger_set_store_down(ledger, 1.03, true);
  receive_cutoff(1.04, 0);
  ledger_set_store_down(ledger, 1.05, false);
  int before = answers;
  reserve_at(1.06, 3, 800, 0);
  cr_assert_eq(answers, before, "the store is back");
  ledger_free(ledger);
}

/* Requests that one answer of the home covers are not asked for one after the
   other. */
Test(holder, one_refusal_covers_those_that_need_more) {
  start();
  ledger_set_store_down(ledger, 1, true);
  reserve_at(1, 1, 800, 1);
  reserve_at(1, 2, 900, 1);
  reserve_at(1, 3, 12000, 2);
  reserve_at(1, 4, 700, 1);
  receive_allot(1.01, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_eq(answers, 3, "%d answers", answers);
  ledger_free(ledger);
}

/* The outage's expected end, not a fixed time: outages last 4 to 9 s. */
Test(holder, the_time_to_retry_is_that_of_the_outage) {
  start();
  cr_assert_eq(ledger_outage_left_ms(ledger, 1), 0);
  ledger_set_store_down(ledger, 1, true);
  int at_first = ledger_outage_left_ms(ledger, 1);
  int later = ledger_outage_left_ms(ledger, 4.5);
  int late = ledger_outage_left_ms(ledger, 9.5);
  int long_after = ledger_outage_left_ms(ledger, 1000);
  cr_assert(at_first >= 4000 && at_first <= 9000, "%d ms", at_first);
  cr_assert(later < at_first && later >= 1000, "%d ms", later);
  cr_assert_eq(late, 1000, "%d ms", late);
  cr_assert_eq(long_after, LEDGER_MAX_RETRY_MS);
  ledger_free(ledger);
}

/* Guards against a home that is taken for the last of all: its denial of a draw
   in advance, when nothing waits, rejected all requests for a second at a time,
   while other homes reached the store. */
Test(holder, a_denial_with_nothing_waiting_concerns_one_home) {
  char first[LIMIT_ID_BYTES];
  start();
  reserve_at(1, 1, 800, 0);
  g_strlcpy(first, draw_recipient, sizeof first);
  ledger_settle(ledger, 1.001, 1, 0);
  receive_allot(1.01, first, ERR_BUDGET_STORE);
  receive_cutoff(1.01, 0);
  int before = answers;
  reserve_at(1.02, 2, 800, 0);
  cr_assert_eq(answers, before, "not rejected");
  cr_assert_str_neq(draw_recipient, first);
  ledger_free(ledger);
}

/* Guards against the same by a home that is the last choice: earlier ones may
   have the store back. */
Test(holder, the_last_choice_alone_is_not_all_homes) {
  char first[LIMIT_ID_BYTES], last[LIMIT_ID_BYTES] = "";
  start();
  reserve_at(1, 1, 800, 0);
  g_strlcpy(first, draw_recipient, sizeof first);
  for (int i = 0; i < 3; i++) {
    receive_allot(1.01, draw_recipient, ERR_BUDGET_STORE);
    g_strlcpy(last, draw_recipient, sizeof last);
  }
  cr_assert_eq(answers, 0);
  reserve_at(3, 2, 800, 0);
  receive_allot(3.01, last, ERR_BUDGET_STORE);
  cr_assert_eq(answers, 0, "the first choice is asked");
  cr_assert_str_eq(draw_recipient, first);
  for (int i = 0; i < 4 && answers == 0; i++)
    receive_allot(3.02, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_gt(answers, 0, "all were asked");
  ledger_free(ledger);
}

/* Guards against a denial of a long request that refuses an urgent one, which
   came in between and is the first now. */
Test(holder, a_denial_holds_for_the_request_that_was_asked_for) {
  start();
  ledger_set_store_down(ledger, 1, true);
  reserve_at(1, 1, 12000, 2);
  reserve_at(1.001, 2, 800, 0);
  receive_allot(1.002, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_eq(answers, 1, "%d answers", answers);
  cr_assert_eq(draws, 2, "the urgent one is asked for");
  receive_allot(1.003, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_eq(answers, 2);
  ledger_free(ledger);
}

/* Guards against an urgent request that is refused by a substitute home, while
   the first choice keeps tokens for it: the homes after the first were asked
   for a long one. */
Test(holder, an_urgent_request_is_asked_of_the_first_choice) {
  char first[LIMIT_ID_BYTES];
  start();
  reserve_at(1, 1, 12000, 2);
  g_strlcpy(first, draw_recipient, sizeof first);
  receive_allot(1.001, first, ERR_BUDGET_STORE);
  cr_assert_str_neq(draw_recipient, first);
  reserve_at(1.002, 2, 800, 0);
  receive_allot(1.003, draw_recipient, ERR_BUDGET_STORE);
  cr_assert_str_eq(draw_recipient, first);
  cr_assert_eq(answers, 0);
  ledger_free(ledger);
}
