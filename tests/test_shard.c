/* test_shard.c: token arithmetic and JSON form of a shard of the budgets. */
#include <criterion/criterion.h>

#include "ledger/shard.h"

static ShardGrant *add_grant(ShardBudget *b, uint64_t id, int64_t granted) {
  ShardGrant *g = shard_add_grant(b, id, "home.1", "wit.1", "r");
  g->granted = granted;
  return g;
}

static ShardBudget *new_budget(int64_t total, Shard **s) {
  *s = shard_new();
  ShardBudget *b = shard_ensure_budget(*s, "c/any");
  b->total = total;
  return b;
}

Test(shard, a_grant_reduces_the_remaining_tokens) {
  Shard *s;
  ShardBudget *b = new_budget(100, &s);
  add_grant(b, 1, 60);
  cr_assert_eq(shard_budget_remaining(b), 40);
  shard_free(s);
}

Test(shard, a_sealed_grant_counts_its_limit_less_returned_tokens) {
  Shard *s;
  ShardBudget *b = new_budget(100, &s);
  ShardGrant *g = add_grant(b, 1, 60);
  shard_seal_grant(g, 20, 0, false, 0);
  cr_assert_eq(shard_budget_remaining(b), 80);
  shard_apply_report(g, "i.1", 5, 7, false, 0);
  cr_assert_eq(shard_budget_remaining(b), 85);
  shard_apply_report(g, "i.1", 3, 2, false, 0); /* delayed: smaller counts */
  cr_assert_eq(shard_budget_remaining(b), 85);
  shard_free(s);
}

Test(shard, tokens_that_the_witness_knew_as_returned_are_not_lost) {
  Shard *s;
  ShardBudget *b = new_budget(100, &s);
  ShardGrant *g = add_grant(b, 1, 60);
  shard_seal_grant(g, 50, 12, false, 0);
  cr_assert_eq(shard_grant_outstanding(g), 38);
  shard_apply_report(g, "i.1", 10, 0, false, 0); /* among the 12 */
  cr_assert_eq(shard_grant_outstanding(g), 38);
  shard_apply_report(g, "i.2", 10, 0, false, 0);
  cr_assert_eq(shard_grant_outstanding(g), 30);
  shard_free(s);
}

Test(shard, an_exactly_sealed_grant_is_removed_when_all_is_reported) {
  Shard *s;
  ShardBudget *b = new_budget(100, &s);
  ShardGrant *g = add_grant(b, 1, 60);
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

Test(shard, unreported_tokens_are_written_off_after_a_day_only) {
  Shard *s;
  ShardBudget *b = new_budget(100, &s);
  ShardGrant *g = add_grant(b, 1, 60);
  shard_seal_grant(g, 30, 0, false, 1000);
  shard_apply_report(g, "i.1", 0, 20, true, 1000);
  cr_assert_not(shard_remove_settled(b, g, 1000 + 86399));
  cr_assert(shard_remove_settled(b, g, 1000 + 86400));
  cr_assert_eq(b->closed_spent, 20);
  cr_assert_eq(b->written_off, 10);
  shard_free(s);
}

Test(shard, json_round_trip_keeps_everything) {
  Shard *s = shard_new();
  ShardBudget *b = shard_ensure_budget(s, "c/\"odd\" name");
  b->total = 1LL << 50;
  b->table_version = 7;
  ShardGrant *g = add_grant(b, 0xfedcba9876543210u, 60);
  g->returned = 5;
  shard_apply_report(add_grant(b, 2, 9), "i.2", 4, 5, false, 77);
  shard_seal_grant(g, 30, 0, true, 77);
  shard_apply_report(g, "i.1", 1, 2, true, 77);
  b->ceiling = (ShardCeiling){3, 1LL << 40, 1LL << 41, 1700000000, 7, 9, 2, 8};
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

Test(shard, malformed_documents_are_rejected) {
  static const char *const malformed[] = {
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
      "{\"ids\":[],\"budgets\":{\"b\":[1,1,0,0,[],[1]]}}",
      "{\"ids\":[],\"budgets\":{\"b\":[1,1,0,0,[],[0,1,0,0,0,0,0,0]]}}",
      "{\"ids\":[],\"budgets\":{\"b\":[1,1,0,0,[],[1,1,0,0,-5,0,0,0]]}}",
  };
  for (size_t i = 0; i < sizeof malformed / sizeof *malformed; i++)
    cr_assert_null(shard_decode(malformed[i]), "accepted: %s", malformed[i]);
}
