/* test_allowance.c: what a successor frees of the grant of a lost home whose
   witness is lost too, by what the home had stated. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ledger/ledger.h"
#include "ledger/shard.h"
#include "store/revision.h"

#define SELF "s.1"
#define NEXT_LIFE "n.2"
#define WITNESS "w.1"
#define TOTAL 10000
#define GRANTED 8000
#define BASE 1000
#define PER_S 100
#define NOW 10.0
#define UNIX_MS INT64_C(1700000010000) /* at NOW */
#define AGE_S 2.0 /* of the statement, when the next life begins */
#define SKEW 25   /* tokens for the difference of clocks that is allowed for */

static Ledger *ledger;
static char budget[LIMIT_NAME_BYTES];
static uint64_t version;
static char *text;       /* the document */
static int64_t question; /* to the next life, whether it runs; 0: none */
static bool sealing;     /* the witness was asked to seal */
static ShardAllowance stated;

static View *new_view(bool has_witness) {
  const char *ids[] = {NEXT_LIFE, SELF, has_witness ? WITNESS : "w.2"};
  Member list[3] = {0};
  for (int i = 0; i < 3; i++) {
    g_strlcpy(list[i].id, ids[i], sizeof list[i].id);
    g_strlcpy(list[i].region, "r", sizeof list[i].region);
  }
  return view_new(list, 3);
}

/* Finds a budget whose home is SELF. */
static void choose_budget(const View *v) {
  for (int i = 0; i < 1000; i++) {
    char name[LIMIT_NAME_BYTES];
    snprintf(budget, sizeof budget, "b%d", i);
    shard_object_name(shard_index(budget), name);
    LedgerBudget row = {.total = TOTAL, .version = 1};
    g_strlcpy(row.name, budget, sizeof row.name);
    Ledger *probe = ledger_new("asker.1", "r", 1);
    LedgerAction a;
    bool is_home = false;
    ledger_set_view(probe, 1, v);
    ledger_set_budgets(probe, 1, &row, 1);
    ledger_reserve(probe, 1, 1, budget, 1, -1);
    while (ledger_next_action(probe, &a))
      is_home |= a.action == LEDGER_ACTION_SEND && strcmp(a.to, SELF) == 0;
    ledger_free(probe);
    if (is_home) return;
  }
  cr_assert_fail("no budget of this instance");
}

static void write_document(void) {
  Shard *s = shard_new();
  ShardBudget *b = shard_ensure_budget(s, budget);
  b->total = TOTAL;
  b->table_version = 1;
  ShardGrant *g = shard_add_grant(b, 7, "n.1", WITNESS, "r");
  g->granted = GRANTED;
  g->allowance = stated;
  text = shard_encode(s);
  shard_free(s);
}

static void execute(double now) {
  LedgerAction a;
  while (ledger_next_action(ledger, &a)) {
    bool put = a.action == LEDGER_ACTION_PUT;
    if (put) {
      g_free(text);
      text = g_strdup(a.text);
      version++;
    }
    if (put || a.action == LEDGER_ACTION_GET)
      ledger_store_result(ledger, now, a.shard, ERR_NONE, version,
                          put ? NULL : text);
    if (a.action == LEDGER_ACTION_SEND) {
      bool is_question = a.msg.kind == LEDGER_RAISE && a.msg.grant == 0 &&
                         strcmp(a.to, NEXT_LIFE) == 0;
      if (is_question) question = a.msg.need;
      sealing |= a.msg.kind == LEDGER_SEAL && strcmp(a.to, WITNESS) == 0;
    }
    g_free(a.text);
  }
}

/* The successor has read the document. */
static void start(bool has_witness) {
  View *v = new_view(has_witness);
  choose_budget(v);
  LedgerBudget row = {.total = TOTAL, .version = 1};
  g_strlcpy(row.name, budget, sizeof row.name);
  ledger = ledger_new(SELF, "r", 1);
  question = 0;
  sealing = false;
  write_document();
  ledger_set_view(ledger, 1, v);
  ledger_set_budgets(ledger, 1, &row, 1);
  for (double now = 1; now <= NOW; now += 0.1) {
    ledger_note_clock(ledger, now, UNIX_MS + (int64_t)((now - NOW) * 1000));
    ledger_tick(ledger, now, 1);
    execute(now);
  }
  view_free(v);
}

/* The next life says that it began AGE_S after the statement; its clock is
   ahead by `ahead_ms`. */
static void answer_question(int64_t clock_ms, int64_t number) {
  double began_at = NOW - (double)(UNIX_MS - stated.since_ms) / 1000 + AGE_S;
  LedgerMsg m = {.kind = LEDGER_RAISE_ACK,
                 .clock_ms = clock_ms,
                 .need = number,
                 .granted = (int64_t)((NOW - began_at) * 1000)};
  g_strlcpy(m.budget, budget, sizeof m.budget);
  ledger_receive(ledger, NOW, NEXT_LIFE, &m);
  execute(NOW);
}

static void answer(int64_t clock_ms) {
  answer_question(clock_ms, question);
}

static int64_t remaining(void) {
  Shard *s = shard_decode(text);
  cr_assert(s);
  int64_t n = shard_budget_remaining(shard_find_budget(s, budget));
  shard_free(s);
  return n;
}

static void stop(void) {
  ledger_free(ledger);
  g_clear_pointer(&text, g_free);
}

static void set_up(void) {
  version = 5;
  stated = (ShardAllowance){BASE, PER_S, UNIX_MS - 5000, 8000, 0};
}

TestSuite(allowance, .init = set_up, .fini = stop);

/* Guards against tokens that stay lost with a home and its witness. */
Test(allowance, what_the_home_had_not_given_out_is_free_again) {
  start(false);
  cr_assert(question > 0);
  answer(UNIX_MS);
  int64_t spent = BASE + (int64_t)(PER_S * AGE_S) + SKEW;
  cr_assert_eq(remaining(), TOTAL - spent, "%d left", (int)remaining());
}

/* Guards against a seal while the home runs: the view may show a life that
   ended before it began. */
Test(allowance, a_life_in_the_view_is_no_proof_of_an_end) {
  start(false);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}

/* Guards against the same by a build that doesn't say for how long it runs. */
Test(allowance, an_answer_without_a_clock_is_no_proof) {
  start(false);
  answer(0);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}

/* Guards against an answer that was sent before the home began. */
Test(allowance, an_answer_to_an_earlier_question_is_no_proof) {
  start(false);
  answer_question(UNIX_MS, question + 1);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}

/* Guards against too low a bound where this instance's clock is behind. */
Test(allowance, the_clock_that_is_most_ahead_counts) {
  start(false);
  answer(UNIX_MS + 1000);
  int64_t spent = BASE + (int64_t)(PER_S * (AGE_S + 1)) + SKEW;
  cr_assert_eq(remaining(), TOTAL - spent, "%d left", (int)remaining());
}

/* Guards against too low a bound where the other clocks are behind. */
Test(allowance, a_clock_that_is_behind_does_not_count) {
  start(false);
  answer(UNIX_MS - 1000);
  int64_t spent = BASE + (int64_t)(PER_S * AGE_S) + SKEW;
  cr_assert_eq(remaining(), TOTAL - spent, "%d left", (int)remaining());
}

/* Guards against a statement that a restored store has brought back. */
Test(allowance, a_statement_of_an_earlier_era_does_not_count) {
  version = revision_make(1, 5);
  start(false);
  answer(UNIX_MS);
  cr_assert_leq(remaining(), TOTAL - GRANTED);
}

/* Guards against a bound for a time for which the home stated none. */
Test(allowance, after_its_span_the_whole_grant_counts) {
  stated.span_ms = 2000;
  start(false);
  answer(UNIX_MS);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}

/* Guards against a grant of an earlier build that is taken for unused. */
Test(allowance, without_a_statement_the_whole_grant_counts) {
  stated.since_ms = 0;
  start(false);
  answer(UNIX_MS);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}

/* Guards against a bound where the witness knows the exact number, and against
   5 s of waiting for a home that is known to have ended. */
Test(allowance, a_witness_is_asked_first_and_at_once) {
  start(true);
  cr_assert(question > 0);
  sealing = false;
  answer(UNIX_MS);
  ledger_tick(ledger, NOW + 1.1, 1);
  execute(NOW + 1.1);
  cr_assert(sealing);
  cr_assert_eq(remaining(), TOTAL - GRANTED);
}
