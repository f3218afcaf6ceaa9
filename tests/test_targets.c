/* test_targets.c: which targets may get work, and which one gets it. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/targets.h"

static TargetInfo info(int i, const char *service) {
  TargetInfo t = {.slots = 4, .revision = 10};
  snprintf(t.id, sizeof t.id, "i-%d", i);
  snprintf(t.addr, sizeof t.addr, "10.0.0.%d:80", i);
  g_strlcpy(t.service, service, sizeof t.service);
  g_strlcpy(t.dc, "a", sizeof t.dc);
  return t;
}

static Targets *some(int n) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < n; i++) {
    TargetInfo t = info(i, "svc");
    targets_set(s, 0, &t);
  }
  return s;
}

static Target *pick(Targets *s, double now, const RequestInfo *a, bool engine) {
  TargetAsk ask = {.service = "svc", .ask = a, .engine = engine};
  return targets_pick(s, now, &ask).target;
}

static void sent(Target *t, double now, const RequestInfo *a, int64_t fresh) {
  TargetChoice c = {.target = t, .fresh = fresh};
  target_sent(t, now, a, &c);
}

Test(targets, a_leaving_one_gets_no_new_work) {
  Targets *s = some(1);
  RequestInfo a = {0};
  cr_assert_not_null(pick(s, 1, &a, false));
  TargetInfo t = info(0, "svc");
  t.leaving = true;
  t.revision = 11;
  targets_set(s, 1, &t);
  cr_assert_null(pick(s, 1, &a, false));
  t.leaving = false;
  t.revision = 9; /* older news */
  targets_set(s, 2, &t);
  cr_assert_null(pick(s, 2, &a, false));
  targets_free(s);
}

Test(targets, an_entry_that_lapsed_with_the_store_is_used_a_little_longer) {
  Targets *s = some(2);
  RequestInfo a = {0};
  targets_gone(s, 10, "i-0", false);
  cr_assert_str_eq(target_id(pick(s, 10, &a, false)), "i-1");
  targets_gone(s, 10, "i-1", true);
  cr_assert_not_null(pick(s, 11, &a, false));
  cr_assert_null(pick(s, 11.6, &a, false), "its bound is two seconds");
  TargetInfo t = info(1, "svc");
  t.revision = 20;
  targets_set(s, 12, &t);
  cr_assert_not_null(pick(s, 12, &a, false), "it is back");
  targets_free(s);
}

/* An instance that was cut off itself can't tell a lapsed entry from one that
   was taken away: a request reached a target 3.8 s after it had said that it
   leaves. */
Test(targets, a_lapsed_one_gets_work_only_when_there_is_no_other) {
  Targets *s = some(3);
  RequestInfo a = {0};
  targets_gone(s, 10, "i-0", true);
  targets_gone(s, 10, "i-1", true);
  for (int i = 0; i < 20; i++) {
    Target *t = pick(s, 10.1, &a, false);
    cr_assert_str_eq(target_id(t), "i-2");
    sent(t, 10.1, &a, 0);
  }
  targets_free(s);
}

Test(targets, a_listing_ends_what_it_does_not_hold) {
  Targets *s = some(3);
  GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(ids, "i-2");
  targets_only(s, 5, ids, false);
  cr_assert_eq(targets_count(s, "svc"), 1);
  g_hash_table_destroy(ids);
  targets_free(s);
}

Test(targets, one_that_ended_gets_nothing_until_its_entry_is_gone) {
  Targets *s = some(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  target_ended(t, 1);
  for (double now = 1; now < 4.8; now += 0.1)
    cr_assert_neq(pick(s, now, &a, false), t, "%f", now);
  targets_free(s);
}

Test(targets, what_may_end_its_target_goes_where_the_fewest_run) {
  Targets *s = some(3);
  RequestInfo a = {0};
  TargetAsk alone = {
      .service = "svc", .ask = &a, .engine = true, .alone = true};
  Target *t = pick(s, 1, &a, true);
  sent(t, 1, &a, 0);
  for (int i = 0; i < 20; i++)
    cr_assert_neq(targets_pick(s, 1.1, &alone).target, t);
  targets_free(s);
}

Test(targets, silence_puts_one_aside_but_never_all) {
  Targets *s = some(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  sent(t, 1, &a, 0);
  target_done(t, 1, TARGET_SILENT, false, 0, 0.1);
  for (int i = 0; i < 20; i++) cr_assert_neq(pick(s, 1.1, &a, false), t);
  Target *u = pick(s, 1.1, &a, false);
  sent(u, 1.1, &a, 0);
  target_done(u, 1.1, TARGET_SILENT, false, 0, 0.1);
  cr_assert_not_null(pick(s, 1.2, &a, false));
  targets_free(s);
}

Test(targets, equal_prompts_meet_at_one_home_without_a_word) {
  Targets *s = some(8), *other = targets_new("a", 99);
  for (int i = 7; i >= 0; i--) {
    TargetInfo t = info(i, "svc");
    targets_set(other, 0, &t);
  }
  int same = 0;
  for (uint64_t k = 1; k <= 50; k++) {
    RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
    a.parts[0] = (RequestPart){k, 8000};
    a.parts[1] = (RequestPart){1000 + k, 1000};
    same += strcmp(target_id(pick(s, 1, &a, true)),
                   target_id(pick(other, 1, &a, true))) == 0;
  }
  cr_assert_eq(same, 50);
  targets_free(s);
  targets_free(other);
}

Test(targets, a_home_under_load_spills) {
  Targets *s = some(4);
  RequestInfo a = {.prompt_tokens = 2000, .n_parts = 2};
  a.parts[0] = (RequestPart){7, 1500};
  a.parts[1] = (RequestPart){8, 500};
  Target *home = pick(s, 1, &a, true);
  sent(home, 1, &a, 200000); /* four seconds of reading */
  cr_assert_neq(pick(s, 1, &a, true), home);
  target_first(home, 200000, 0, 4.5);
  cr_assert_eq(pick(s, 1, &a, true), home);
  targets_free(s);
}

Test(targets, another_at_its_address_ends_it) {
  Targets *s = some(1);
  RequestInfo a = {0};
  targets_replaced(s, 1, pick(s, 1, &a, false));
  cr_assert_null(pick(s, 1, &a, false));
  targets_free(s);
}

/* Where others tell what they had read, nothing is assumed of a home. */
Test(targets, told_parts_lead_to_the_target_that_has_them) {
  Targets *s = some(8), *other = some(8);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  TargetParts m;
  a.parts[0] = (RequestPart){7, 8000};
  a.parts[1] = (RequestPart){8, 1000};
  targets_parts_are_told(s, true);
  targets_parts_are_told(other, true);
  TargetAsk ask = {.service = "svc", .ask = &a, .engine = true};
  TargetChoice c = targets_pick(other, 1, &ask);
  cr_assert_eq(c.fresh, 9000, "nobody has read it");
  target_sent(c.target, 1, &a, &c);
  cr_assert(targets_parts_news(other, &m));
  cr_assert_not(targets_parts_news(other, &m), "once");
  targets_parts_told(s, 1, &m);
  a.parts[1].id = 9;
  c = targets_pick(s, 1.1, &ask);
  cr_assert_eq(text_hash(target_id(c.target)), m.target);
  cr_assert_eq(c.fresh, 1000);
  targets_free(s);
  targets_free(other);
}

/* A full target's memory serves another one. */
Test(targets, what_a_busy_target_has_read_is_moved_to_a_free_one) {
  Targets *s = some(4);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  a.parts[0] = (RequestPart){7, 8000};
  a.parts[1] = (RequestPart){8, 1000};
  targets_parts_are_told(s, true);
  TargetAsk ask = {.service = "svc", .ask = &a, .engine = true, .move_s = 2e-6};
  TargetChoice first = targets_pick(s, 1, &ask);
  cr_assert_null(first.donor, "nobody has it");
  target_sent(first.target, 1, &a, &first);
  a.parts[1].id = 9;
  sent(first.target, 1.1, &a, 200000); /* four seconds of reading */
  TargetChoice early = targets_pick(s, 1.1, &ask);
  cr_assert_neq(early.target, first.target);
  cr_assert_null(early.donor, "it has not read it yet");
  TargetChoice c = targets_pick(s, 3, &ask);
  cr_assert_neq(c.target, first.target);
  cr_assert_eq(c.donor, first.target);
  cr_assert(c.moved == 9000 && c.fresh == 0, "%ld", (long)c.moved);
  ask.move_s = 1; /* a slow link */
  cr_assert_null(targets_pick(s, 3, &ask).donor);
  ask.move_s = 2e-6;
  target_done(first.target, 3, TARGET_FAILED, false, first.fresh, 1);
  for (int i = 0; i < 9; i++) {
    sent(first.target, 3, &a, 0);
    target_done(first.target, 3, TARGET_FAILED, false, 0, 1);
  }
  cr_assert_null(targets_pick(s, 3.1, &ask).donor, "one that is put aside");
  targets_free(s);
}

/* Streams beside long prompts are held up: those get targets of their own. */
Test(targets, short_prompts_run_where_no_long_ones_are_read) {
  Targets *s = some(12);
  targets_parts_are_told(s, true);
  GHashTable *longs = g_hash_table_new(g_str_hash, g_str_equal);
  for (uint64_t k = 1; k <= 200; k++) {
    RequestInfo a = {.prompt_tokens = 9000, .n_parts = 1};
    a.parts[0] = (RequestPart){k, 9000};
    TargetAsk ask = {
        .service = "svc", .ask = &a, .engine = true, .pause_s = 0.3};
    TargetChoice c = targets_pick(s, 1, &ask);
    cr_assert(c.long_prompt && c.beside_long);
    target_sent(c.target, 1, &a, &c);
    g_hash_table_add(longs, (gpointer)target_id(c.target));
  }
  for (uint64_t k = 1000; k <= 1200; k++) {
    RequestInfo a = {.prompt_tokens = 400, .n_parts = 1};
    a.parts[0] = (RequestPart){k, 400};
    TargetAsk ask = {
        .service = "svc", .ask = &a, .engine = true, .pause_s = 0.3};
    TargetChoice c = targets_pick(s, 1, &ask);
    cr_assert_not(c.long_prompt || c.beside_long);
    cr_assert_not(g_hash_table_contains(longs, target_id(c.target)));
    target_sent(c.target, 1, &a, &c);
  }
  g_hash_table_destroy(longs);
  targets_free(s);
}

/* In a fleet too large to tell each other of work all of it is guessed. */
Test(targets, a_large_fleet_neither_divides_nor_moves) {
  Targets *s = some(6);
  bool used[6] = {false};
  RequestInfo a = {.prompt_tokens = 400, .n_parts = 1};
  TargetAsk ask = {.service = "svc",
                   .ask = &a,
                   .engine = true,
                   .move_s = 2e-6,
                   .pause_s = 0.3};
  for (uint64_t k = 0; k < 60; k++) {
    a.parts[0] = (RequestPart){k + 1, 400};
    TargetChoice c = targets_pick(s, 1 + (double)k, &ask);
    cr_assert(c.beside_long && !c.donor);
    target_sent(c.target, 1 + (double)k, &a, &c);
    used[target_id(c.target)[2] - '0'] = true;
  }
  for (int i = 0; i < 6; i++) cr_assert(used[i], "%d", i);
  targets_free(s);
}

/* With all targets for long prompts dark the others serve them. */
Test(targets, long_prompts_spill_where_none_of_their_targets_is_sound) {
  Targets *s = some(6);
  targets_parts_are_told(s, true);
  RequestInfo a = {.prompt_tokens = 9000};
  TargetAsk ask = {.service = "svc", .ask = &a, .engine = true, .pause_s = 0.3};
  for (int i = 0; i < 5; i++) {
    TargetChoice c = targets_pick(s, 1, &ask);
    target_sent(c.target, 1, &a, &c);
    target_done(c.target, 1, TARGET_SILENT, false, c.fresh, 0.1);
  }
  TargetChoice c = targets_pick(s, 1.1, &ask);
  target_sent(c.target, 1.1, &a, &c);
  target_done(c.target, 1.1, TARGET_OK, true, c.fresh, 0.1);
  cr_assert_eq(targets_pick(s, 1.2, &ask).target, c.target,
               "the sixth, which answers, and none that is dark");
  targets_free(s);
}

/* What another instance has at a target holds ours up just as well. */
Test(targets, what_others_have_there_counts_while_their_word_is_fresh) {
  Targets *s = some(2);
  RequestInfo a = {.prompt_tokens = 100};
  TargetWork w = {.target = text_hash("i-0"), .open = 4, .tokens = 90000};
  targets_others(s, 1, 77, &w);
  for (int i = 0; i < 20; i++)
    cr_assert_str_eq(target_id(pick(s, 1.5, &a, true)), "i-1");
  w.target = text_hash("i-1");
  w.tokens = 180000;
  targets_others(s, 1.5, 78, &w);
  cr_assert_str_eq(target_id(pick(s, 1.6, &a, true)), "i-0", "the less");
  w.open = 0;
  w.tokens = 0;
  targets_others(s, 1.7, 78, &w);
  cr_assert_str_eq(target_id(pick(s, 1.8, &a, true)), "i-1", "the newer word");
  bool first = false;
  for (int i = 0; i < 40; i++)
    first |= strcmp(target_id(pick(s, 9, &a, true)), "i-0") == 0;
  cr_assert(first, "who was silent for seconds is not believed");
  targets_free(s);
}

Test(targets, our_work_is_told_once_for_each_change) {
  Targets *s = some(2);
  RequestInfo a = {.prompt_tokens = 500};
  TargetWork w;
  cr_assert_not(targets_changed(s, &w));
  Target *t = pick(s, 1, &a, true);
  sent(t, 1, &a, 500);
  cr_assert(targets_changed(s, &w));
  cr_assert_eq(w.target, text_hash(target_id(t)));
  cr_assert(w.open == 1 && w.tokens == 500);
  cr_assert_not(targets_changed(s, &w));
  target_first(t, 500, 0, 0.02);
  target_done(t, 2, TARGET_OK, true, 500, 1);
  cr_assert(targets_changed(s, &w));
  cr_assert(w.open == 0 && w.tokens == 0);
  cr_assert_not(targets_changed(s, &w), "both changes in one");
  targets_free(s);
}

/* == evacuations == */

/* Four targets, two in each of two data centres. */
static Targets *two_places(void) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < 4; i++) {
    TargetInfo t = info(i, "svc");
    if (i >= 2) g_strlcpy(t.dc, "b", sizeof t.dc);
    targets_set(s, 0, &t);
  }
  return s;
}

static bool gets_work(Targets *s, double now, const char *dc) {
  RequestInfo a = {.prompt_tokens = 1000};
  for (int i = 0; i < 40; i++) {
    Target *t = pick(s, now, &a, i % 2 == 0);
    if (!t) return false;
    sent(t, now, &a, 1000);
    bool there =
        target_id(t)[2] >= '2' ? strcmp(dc, "b") == 0 : strcmp(dc, "a") == 0;
    if (there) return true;
  }
  return false;
}

Test(targets, an_evacuated_data_centre_gets_nothing_until_it_is_taken_back) {
  Targets *s = two_places();
  cr_assert(gets_work(s, 1, "b"));
  cr_assert(targets_evacuate(s, "b", true));
  cr_assert(!gets_work(s, 1, "b"));
  cr_assert(gets_work(s, 1, "a"));
  cr_assert(!gets_work(s, 100000, "b"), "never by time");
  cr_assert(!targets_evacuate(s, "b", true), "the same twice");
  cr_assert(targets_evacuate(s, "b", false));
  cr_assert(gets_work(s, 100001, "b"));
  cr_assert(!targets_evacuate(s, "b", false), "it was taken back before");
  targets_free(s);
}

Test(targets, a_target_that_appears_in_an_evacuated_data_centre_gets_nothing) {
  Targets *s = two_places();
  targets_evacuate(s, "b", true);
  TargetInfo t = info(9, "svc");
  g_strlcpy(t.dc, "b", sizeof t.dc);
  targets_set(s, 2, &t);
  t = info(2, "svc");
  g_strlcpy(t.dc, "b", sizeof t.dc);
  t.revision = 20; /* its entry changed */
  targets_set(s, 2, &t);
  cr_assert(!gets_work(s, 3, "b"));
  targets_free(s);
}

Test(targets, a_listing_of_evacuations_ends_those_that_it_does_not_hold) {
  Targets *s = two_places();
  GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);
  targets_evacuate(s, "a", true);
  g_hash_table_add(dcs, "b");
  cr_assert(targets_evacuate_only(s, dcs));
  cr_assert(gets_work(s, 1, "a"));
  cr_assert(!gets_work(s, 1, "b"));
  cr_assert(!targets_evacuate_only(s, dcs));
  g_hash_table_destroy(dcs);
  targets_free(s);
}

/* Neither a question of its load, nor memory to be moved from there, nor a
   second try. */
Test(targets, nothing_touches_an_evacuated_target) {
  Targets *s = two_places();
  targets_parts_are_told(s, true);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  a.parts[0] = (RequestPart){77, 8000};
  a.parts[1] = (RequestPart){78, 1000};
  TargetAsk ask = {.service = "svc", .ask = &a, .engine = true, .move_s = 1e-6};
  Target *home = targets_pick(s, 1, &ask).target;
  sent(home, 1, &a, 9000);
  const char *dc = target_id(home)[2] >= '2' ? "b" : "a";
  targets_evacuate(s, dc, true);
  for (int i = 0; i < 20; i++) {
    TargetChoice c = targets_pick(s, 3, &ask);
    cr_assert_not_null(c.target);
    cr_assert_neq(c.target, home);
    cr_assert_null(c.donor);
    uint64_t asked[TARGETS_ASKED];
    int n = targets_to_ask(s, 3, &ask, asked);
    for (int k = 0; k < n; k++) cr_assert_neq(asked[k], target_hash(home));
  }
  targets_free(s);
}

Test(targets, a_choice_tells_that_an_evacuation_left_none) {
  Targets *s = two_places();
  RequestInfo a = {0};
  TargetAsk ask = {.service = "svc", .ask = &a};
  targets_evacuate(s, "a", true);
  targets_evacuate(s, "b", true);
  cr_assert_null(targets_pick(s, 1, &ask).target);
  cr_assert_eq(targets_pick(s, 1, &ask).none, TARGET_NONE_EVACUATED);
  targets_evacuate(s, "nowhere", true); /* nobody knows it */
  cr_assert_eq(targets_in(s, "nowhere"), 0);
  targets_free(s);
}

Test(targets, wrong_input_does_not_fill_the_memory) {
  Targets *s = two_places();
  char dc[16];
  for (int i = 0; i < 1000; i++) {
    snprintf(dc, sizeof dc, "x%d", i);
    targets_evacuate(s, dc, true);
  }
  cr_assert(!targets_evacuate(s, "x999", false), "it was passed over");
  cr_assert(targets_evacuate(s, "x1", false));
  targets_free(s);
}

/* == a new start under the old id == */

static RequestInfo prompt(void) {
  RequestInfo a = {.prompt_tokens = 3000, .n_parts = 2};
  a.parts[0] = (RequestPart){.id = 5, .tokens = 2500};
  a.parts[1] = (RequestPart){.id = 6, .tokens = 500};
  return a;
}

static TargetInfo born(int64_t at, uint64_t revision) {
  TargetInfo t = info(0, "svc");
  t.born = at;
  t.revision = revision;
  return t;
}

/* What is to be read there of this prompt. */
static int64_t fresh(Targets *s, double now, const RequestInfo *a) {
  TargetAsk ask = {.service = "svc", .ask = a, .engine = true};
  return targets_pick(s, now, &ask).fresh;
}

Test(targets, who_starts_again_under_its_id_holds_nothing_of_before) {
  Targets *s = targets_new("a", 1);
  targets_parts_are_told(s, true);
  RequestInfo a = prompt();
  TargetInfo t = born(1000, 10);
  cr_assert(!targets_set(s, 0, &t), "the first time");
  Target *old = pick(s, 1, &a, true);
  sent(old, 1, &a, 3000);
  cr_assert_eq(fresh(s, 2, &a), 0, "it has read the prompt");
  t = born(2000, 11);
  cr_assert(targets_set(s, 3, &t));
  Target *again = pick(s, 3, &a, true);
  cr_assert_neq(again, old);
  cr_assert_eq(fresh(s, 3, &a), 3000, "its memory is empty");
  cr_assert_eq(target_load_now(again, 3).open, 0, "what it ran is lost");
  cr_assert_eq(target_load_now(old, 3).open, 1, "and ends by itself");
  target_done(old, 4, TARGET_SILENT, false, 3000, 3);
  cr_assert_not_null(pick(s, 4, &a, true),
                     "its end says nothing of the new one");
  targets_sweep(s, 100);
  cr_assert_eq(targets_count(s, "svc"), 1);
  targets_free(s);
}

Test(targets, who_left_and_starts_again_gets_work) {
  Targets *s = targets_new("a", 1);
  RequestInfo a = {0};
  TargetInfo t = born(1000, 10);
  t.leaving = true;
  targets_set(s, 0, &t);
  cr_assert_null(pick(s, 1, &a, false));
  t = born(2000, 12);
  targets_set(s, 2, &t);
  cr_assert_not_null(pick(s, 2, &a, false));
  t = born(1000, 11); /* older news of the former life */
  t.leaving = true;
  cr_assert(!targets_set(s, 3, &t));
  cr_assert_not_null(pick(s, 3, &a, false));
  targets_free(s);
}

Test(targets, words_on_a_former_life_do_not_count_for_the_new_one) {
  Targets *s = targets_new("a", 1);
  RequestInfo a = prompt();
  TargetInfo t = born(1000, 10);
  targets_set(s, 0, &t);
  TargetWork old = {
      .target = target_hash(pick(s, 0, &a, true)), .open = 7, .tokens = 9000};
  targets_others(s, 0, 77, &old);
  cr_assert_eq(target_load_now(pick(s, 0, &a, true), 0).open, 7);
  t = born(2000, 11);
  targets_set(s, 1, &t);
  targets_others(s, 1, 77, &old);
  cr_assert_eq(target_load_now(pick(s, 1, &a, true), 1).open, 0);
  targets_free(s);
}

Test(targets, an_entry_that_moves_to_another_service_serves_that_one) {
  Targets *s = some(2);
  RequestInfo a = {0};
  TargetInfo t = info(0, "other");
  t.revision = 11;
  targets_set(s, 1, &t);
  cr_assert_eq(targets_count(s, "svc"), 1);
  cr_assert_eq(targets_count(s, "other"), 1);
  for (int i = 0; i < 10; i++)
    cr_assert_str_eq(target_id(pick(s, 1, &a, false)), "i-1");
  targets_free(s);
}

/* The load that this answers: targets share their machines with others, and
   one of four works two to six times as long for some tenths of a second. */
Test(targets, work_goes_past_one_whose_machine_is_busy_with_other_work) {
  Targets *s = some(4);
  RequestInfo a = {0};
  Target *busy = pick(s, 1, &a, false);
  target_load(busy, 1, 0, 0, 4);
  for (int i = 0; i < 20; i++) cr_assert_neq(pick(s, 1.02, &a, false), busy);
  int back = 0;
  for (int i = 0; i < 200; i++) back += pick(s, 1.5, &a, false) == busy;
  cr_assert_gt(back, 10, "its word is old");
  targets_free(s);
}

Test(targets, a_pace_that_is_absurd_is_believed_within_bounds) {
  static const double paces[] = {0, 1, 1e9, 1e-9};
  RequestInfo a = {0};
  TargetAsk ask = {.service = "svc", .ask = &a};
  for (size_t k = 0; k < G_N_ELEMENTS(paces); k++) {
    Targets *s = some(1);
    Target *t = pick(s, 1, &a, false);
    sent(t, 1, &a, 0);
    target_load(t, 1.02, 0, 0, paces[k]);
    target_done(t, 1.02, TARGET_OK, true, 0, 0.02);
    double wait_s = targets_pick(s, 2, &ask).wait_s;
    cr_assert(wait_s >= 0.001 && wait_s <= 0.04, "%g: %f", paces[k], wait_s);
    if (paces[k] <= 1 && paces[k] != 1e-9)
      cr_assert_float_eq(wait_s, 0.02, 1e-9);
    targets_free(s);
  }
}

/* A slow moment is the machine's, not the target's: what is learned of its
   time is as it usually is. */
Test(targets, what_is_learned_of_a_busy_moment_does_not_last) {
  Targets *s = some(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  sent(t, 1, &a, 0);
  target_load(t, 1.12, 0, 0, 4);
  target_done(t, 1.12, TARGET_OK, true, 0, 0.12);
  Target *u = pick(s, 1.13, &a, false);
  cr_assert_neq(u, t);
  sent(u, 1.13, &a, 0);
  target_load(u, 1.18, 0, 0, 1);
  target_done(u, 1.18, TARGET_OK, true, 0, 0.05);
  int used = 0;
  for (int i = 0; i < 50; i++) used += pick(s, 3, &a, false) == t;
  cr_assert_gt(used, 40, "30 ms beside 50 ms, as they usually take");
  targets_free(s);
}

/* The load that this answers: three readers get the same ten thousand entries;
   told by each of them, they would be most of what a starting fleet says. */
Test(targets, what_another_reader_told_is_no_news) {
  Targets *s = some(1);
  TargetInfo t = info(0, "svc"), other = info(1, "svc");
  cr_assert_not(targets_is_news(s, &t), "just this was told");
  t.revision--;
  cr_assert_not(targets_is_news(s, &t), "older than what is known");
  cr_assert(targets_is_news(s, &other));
  targets_free(s);
}

/* Who heard that it had gone has to hear that it is back, also where nothing of
   it differs from what another knew before. */
Test(targets, an_entry_that_is_written_again_is_news) {
  Targets *s = some(1);
  TargetInfo t = info(0, "svc");
  t.revision++;
  cr_assert(targets_is_news(s, &t));
  targets_gone(s, 5, t.id, true);
  cr_assert(targets_is_news(s, &t));
  targets_free(s);
}
