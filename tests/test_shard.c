/* test_shard.c: arithmetic and JSON of a budget shard. */
#include <criterion/criterion.h>

#include "ledger/shard.h"

static ShardGrant *grant(ShardBudget *b, uint64_t id, int64_t granted) {
  ShardGrant *g = shard_add_grant(b, id, "home.1", "wit.1", "r");
  g->granted = granted;
  return g;
}

static ShardBudget *budget_of(int64_t total, Shard **s) {
  *s = shard_new();
  ShardBudget *b = shard_ensure_budget(*s, "c/any");
  b->total = total;
  return b;
}

Test(shard, a_grant_takes_from_what_remains) {
  Shard *s;
  ShardBudget *b = budget_of(100, &s);
  grant(b, 1, 60);
  cr_assert_eq(shard_budget_remaining(b), 40);
  shard_free(s);
}

Test(shard, a_sealed_grant_counts_what_was_given_less_what_came_back) {
  Shard *s;
  ShardBudget *b = budget_of(100, &s);
  ShardGrant *g = grant(b, 1, 60);
  shard_seal_grant(g, 20, 0, false, 0);
  cr_assert_eq(shard_budget_remaining(b), 80);
  shard_apply_report(g, "i.1", 5, 7, false, 0);
  cr_assert_eq(shard_budget_remaining(b), 85);
  shard_apply_report(g, "i.1", 3, 2, false, 0); /* late: smaller counts */
  cr_assert_eq(shard_budget_remaining(b), 85);
  shard_free(s);
}

Test(shard, what_a_witness_knew_to_be_back_is_not_lost) {
  Shard *s;
  ShardBudget *b = budget_of(100, &s);
  ShardGrant *g = grant(b, 1, 60);
  shard_seal_grant(g, 50, 12, false, 0);
  cr_assert_eq(shard_grant_outstanding(g), 38);
  shard_apply_report(g, "i.1", 10, 0, false, 0); /* part of the twelve */
  cr_assert_eq(shard_grant_outstanding(g), 38);
  shard_apply_report(g, "i.2", 10, 0, false, 0);
  cr_assert_eq(shard_grant_outstanding(g), 30);
  shard_free(s);
}

Test(shard, an_exact_seal_folds_when_all_reported) {
  Shard *s;
  ShardBudget *b = budget_of(100, &s);
  ShardGrant *g = grant(b, 1, 60);
  shard_seal_grant(g, 30, 0, true, 0);
  shard_apply_report(g, "i.1", 10, 20, false, 0);
  cr_assert_not(shard_remove_settled(b, g, 1), "the holder may still spend");
  shard_apply_report(g, "i.1", 10, 20, true, 0);
  cr_assert(shard_remove_settled(b, g, 1));
  cr_assert_eq(b->closed_spent, 20);
  cr_assert_eq(b->written_off, 0);
  cr_assert_eq(shard_budget_remaining(b), 80);
  shard_free(s);
}

Test(shard, what_nobody_vouches_for_is_retired_after_a_day_only) {
  Shard *s;
  ShardBudget *b = budget_of(100, &s);
  ShardGrant *g = grant(b, 1, 60);
  shard_seal_grant(g, 30, 0, false, 1000);
  shard_apply_report(g, "i.1", 0, 20, true, 1000);
  cr_assert_not(shard_remove_settled(b, g, 1000 + 86399));
  cr_assert(shard_remove_settled(b, g, 1000 + 86400));
  cr_assert_eq(b->closed_spent, 20);
  cr_assert_eq(b->written_off, 10);
  shard_free(s);
}

Test(shard, json_keeps_everything) {
  Shard *s = shard_new();
  ShardBudget *b = shard_ensure_budget(s, "c/\"odd\" name");
  b->total = 1LL << 50;
  b->table_version = 7;
  ShardGrant *g = grant(b, 0xfedcba9876543210u, 60);
  g->returned = 5;
  shard_apply_report(grant(b, 2, 9), "i.2", 4, 5, false, 77);
  shard_seal_grant(g, 30, 0, true, 77);
  shard_apply_report(g, "i.1", 1, 2, true, 77);
  char *text = shard_encode(s);
  Shard *t = shard_decode(text);
  cr_assert_not_null(t);
  char *again = shard_encode(t);
  cr_assert_str_eq(text, again);
  g_free(text);
  g_free(again);
  shard_free(s);
  shard_free(t);
}

Test(shard, what_is_no_shard_is_refused) {
  static const char *const bad[] = {
      "",
      "[]",
      "{",
      "{}",
      "{\"ids\":[]}",
      "{\"ids\":[],\"budgets\":[]}",
      "{\"ids\":[],\"budgets\":{\"b\":[]}}",
      "{\"ids\":[],\"budgets\":{\"b\":[\"1\",1,0,0,[]]}}",
      "{\"ids\":[],\"budgets\":{\"b\":[1,1,0,0,{}]}}",
      "{\"ids\":[],\"budgets\":{\"b\":[1,1,0,0,[{}]]}}",
      "{\"ids\":[\"x\"],\"budgets\":{\"b\":[1,1,0,0,[[1,0,1,0,1,0,0]]]}}",
      "{\"ids\":[\"x\"],\"budgets\":{\"b\":[1,1,0,0,[[1,0,-1,0,1,0,0]]]}}",
      "{\"ids\":[\"x\"],\"budgets\":{\"b\":[1,1,0,0,[[1,0,0,0,1,0,0],"
      "[1,0,0,0,1,0,0]]]}}",
      "{\"ids\":[\"x\"],\"budgets\":{\"b\":[1,1,0,0,[[1,0,0,0,1,0,0,[1]]]]}}",
  };
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    cr_assert_null(shard_decode(bad[i]), "taken: %s", bad[i]);
}
