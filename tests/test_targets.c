/* test_targets.c: which targets may get work, and which of them is chosen. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/targets.h"
#include "store/revision.h"

static TargetInfo info(int i, const char *service) {
  TargetInfo t = {.slots = 4, .revision = 10};
  snprintf(t.id, sizeof t.id, "i-%d", i);
  snprintf(t.addr, sizeof t.addr, "10.0.0.%d:80", i);
  g_strlcpy(t.service, service, sizeof t.service);
  g_strlcpy(t.dc, "a", sizeof t.dc);
  return t;
}

static Targets *targets_with(int n) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < n; i++) {
    TargetInfo t = info(i, "svc");
    targets_set(s, 0, &t);
  }
  return s;
}

static Target *pick(Targets *s, double now, const RequestInfo *a, bool engine) {
  TargetRequest request = {.service = "svc", .info = a, .engine = engine};
  return targets_pick(s, now, &request).target;
}

static void note_sent(Target *t, double now, const RequestInfo *a,
                      int64_t uncached_tokens) {
  TargetChoice c = {.target = t, .uncached_tokens = uncached_tokens};
  target_note_sent(t, now, a, &c);
}

/* Guards against a target at a reused address that is taken for ended since the
   entry of its predecessor is still known. */
Test(targets, only_a_newer_target_at_the_address_is_a_successor) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  Target *first = pick(s, 1, &a, false);
  TargetInfo t = info(7, "svc");
  g_strlcpy(t.addr, target_addr(first), sizeof t.addr);
  t.revision = 5;
  targets_set(s, 1, &t);
  cr_assert_not(targets_have_successor(s, first));
  t.revision = 15;
  targets_set(s, 2, &t);
  cr_assert(targets_have_successor(s, first));
  targets_free(s);
}

Test(targets, leaving_target_gets_no_new_work) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  cr_assert_not_null(pick(s, 1, &a, false));
  TargetInfo t = info(0, "svc");
  t.leaving = true;
  t.revision = 11;
  targets_set(s, 1, &t);
  cr_assert_null(pick(s, 1, &a, false));
  t.leaving = false;
  t.revision = 9; /* an older revision */
  targets_set(s, 2, &t);
  cr_assert_null(pick(s, 2, &a, false));
  targets_free(s);
}

Test(targets, lapsed_entry_stays_usable_for_a_short_time) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  targets_remove(s, 10, "i-0", false);
  cr_assert_str_eq(target_id(pick(s, 10, &a, false)), "i-1");
  targets_remove(s, 10, "i-1", true);
  cr_assert_not_null(pick(s, 11, &a, false));
  cr_assert_null(pick(s, 11.6, &a, false),
                 "lapsed entries expire within two seconds");
  TargetInfo t = info(1, "svc");
  t.revision = 20;
  targets_set(s, 12, &t);
  cr_assert_not_null(pick(s, 12, &a, false), "the entry returned");
  targets_free(s);
}

/* Guards against requests to a leaving target: an instance that was cut off
   itself can't tell a lapsed entry from a removed one, and sent a request 3.8
   s after the target had announced that it was leaving. */
Test(targets, lapsed_target_gets_work_only_without_an_alternative) {
  Targets *s = targets_with(3);
  RequestInfo a = {0};
  targets_remove(s, 10, "i-0", true);
  targets_remove(s, 10, "i-1", true);
  for (int i = 0; i < 20; i++) {
    Target *t = pick(s, 10.1, &a, false);
    cr_assert_str_eq(target_id(t), "i-2");
    note_sent(t, 10.1, &a, 0);
  }
  targets_free(s);
}

static void list_again(Targets *s, double now, int i, uint64_t revision) {
  TargetInfo t = info(i, "svc");
  t.revision = revision;
  targets_set(s, now, &t);
}

/* Guards against requests to a target that stated in an answer that it is
   leaving, while its entry in the store does not say so. */
Test(targets, target_that_stated_it_leaves_gets_no_work_whatever_its_entry) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  cr_assert(target_note_leaving(t, 1));
  cr_assert_not(target_note_leaving(t, 2), "it was stated before");
  cr_assert_null(pick(s, 2, &a, false));
  list_again(s, 3, 0, 10);
  list_again(s, 4, 0, 20);
  cr_assert_null(pick(s, 5, &a, false));
  targets_remove(s, 6, "i-0", true);
  list_again(s, 7, 0, 30);
  cr_assert_null(pick(s, 8, &a, false), "a lapsed entry returned");
  targets_free(s);
}

Test(targets, target_that_stated_it_leaves_is_known_while_its_entry_is_there) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  target_note_leaving(pick(s, 1, &a, false), 1);
  targets_sweep(s, 1000);
  list_again(s, 1000, 0, 20);
  cr_assert_null(pick(s, 1000, &a, false));
  targets_remove(s, 1000, "i-0", false);
  targets_sweep(s, 1029);
  list_again(s, 1029, 0, 30);
  cr_assert_null(pick(s, 1029, &a, false), "an old entry came back");
  targets_remove(s, 1030, "i-0", false);
  targets_sweep(s, 1061);
  list_again(s, 1061, 0, 40);
  cr_assert_not_null(pick(s, 1061, &a, false), "it is a new one by then");
  targets_free(s);
}

/* Guards against a target coming back with an entry of a store that was
   restored from a backup, which is older than its leaving. */
Test(targets, target_does_not_return_with_an_entry_from_before_its_leaving) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  TargetInfo t = info(0, "svc");
  t.leaving = true;
  t.revision = 11;
  targets_set(s, 1, &t);
  list_again(s, 2, 0, revision_make(1, 5));
  cr_assert_null(pick(s, 2, &a, false));
  targets_free(s);
}

/* Guards against requests to a target whose entry was removed and came back
   with a store that was restored from a backup. */
Test(targets, removed_entry_that_a_restore_brings_back_is_confirmed_first) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  targets_remove(s, 1, "i-0", false);
  list_again(s, 2, 0, revision_make(1, 5));
  cr_assert_null(pick(s, 3, &a, false));
  list_again(s, 4, 0, revision_make(1, 5));
  cr_assert_null(pick(s, 4, &a, false), "only listed again");
  cr_assert_not_null(pick(s, 7, &a, false), "it is still there");
  targets_remove(s, 8, "i-0", false);
  list_again(s, 9, 0, revision_make(2, 5));
  cr_assert_null(pick(s, 9, &a, false));
  list_again(s, 9.5, 0, revision_make(2, 6));
  cr_assert_not_null(pick(s, 9.5, &a, false), "it has written it again");
  targets_free(s);
}

/* An entry that lapsed with its store is usable as soon as it is back. */
Test(targets, lapsed_entry_that_a_restore_brings_back_is_usable) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  targets_remove(s, 1, "i-0", true);
  list_again(s, 2, 0, revision_make(1, 5));
  cr_assert_not_null(pick(s, 2, &a, false));
  targets_free(s);
}

Test(targets, restarted_target_does_not_inherit_that_it_leaves) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  target_note_leaving(pick(s, 1, &a, false), 1);
  TargetInfo t = info(0, "svc");
  t.start_ms = 77;
  t.revision = 11;
  cr_assert(targets_set(s, 2, &t));
  cr_assert_not_null(pick(s, 2, &a, false));
  targets_free(s);
}

/* Guards against requests to a target that asked, with Retry-After, to be sent
   none for a time. */
Test(targets, target_that_asked_for_a_pause_gets_no_work_until_its_end) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  Target *t = pick(s, 1, &a, false);
  target_note_pause(t, 1, 3);
  target_note_pause(t, 2, 0.5);
  list_again(s, 2, 0, 20);
  TargetChoice c = targets_pick(s, 3.5, &request);
  cr_assert_null(c.target, "a shorter pause does not end it");
  cr_assert_eq(c.none, TARGET_NONE_PAUSED);
  cr_assert_geq(c.retry_after_s, 0.5 - 1e-9);
  cr_assert_leq(c.retry_after_s, 0.8 + 1e-9);
  cr_assert_not(target_is_usable(t, 3.9));
  cr_assert_eq(pick(s, 4, &a, false), t);
  targets_free(s);
}

Test(targets, callers_return_when_the_first_pause_ends) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  Target *t = pick(s, 1, &a, false);
  target_note_pause(t, 1, 30);
  Target *u = pick(s, 1, &a, false);
  cr_assert_neq(t, u);
  target_note_pause(u, 1, 5);
  double first = targets_pick(s, 2, &request).retry_after_s, last = first;
  for (int i = 0; i < 50; i++) {
    double at = targets_pick(s, 2, &request).retry_after_s;
    first = MIN(first, at);
    last = MAX(last, at);
  }
  cr_assert(first >= 4 && last < 5, "%f to %f", first, last);
  cr_assert_gt(last - first, 0.1, "they do not all return at once");
  targets_free(s);
}

Test(targets, target_with_a_pause_is_not_forgotten_before_its_end) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  target_note_pause(pick(s, 1, &a, false), 1, 100);
  targets_remove(s, 2, "i-0", false);
  targets_sweep(s, 60);
  list_again(s, 60, 0, 20);
  cr_assert_null(pick(s, 60, &a, false));
  targets_free(s);
}

Test(targets, listing_removes_unlisted_targets) {
  Targets *s = targets_with(3);
  GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(ids, "i-2");
  targets_retain_only(s, 5, ids, false);
  cr_assert_eq(targets_count(s, "svc"), 1);
  g_hash_table_destroy(ids);
  targets_free(s);
}

Test(targets, ended_target_gets_no_work_until_its_entry_is_removed) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  target_note_ended(t, 1);
  for (double now = 1; now < 4.8; now += 0.1)
    cr_assert_neq(pick(s, now, &a, false), t, "%f", now);
  targets_free(s);
}

Test(targets, isolated_request_goes_to_the_target_with_fewest_requests) {
  Targets *s = targets_with(3);
  RequestInfo a = {0};
  TargetRequest isolated = {
      .service = "svc", .info = &a, .engine = true, .isolate = true};
  Target *t = pick(s, 1, &a, true);
  note_sent(t, 1, &a, 0);
  for (int i = 0; i < 20; i++)
    cr_assert_neq(targets_pick(s, 1.1, &isolated).target, t);
  targets_free(s);
}

Test(targets, unresponsive_target_is_ejected_but_never_all) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  note_sent(t, 1, &a, 0);
  target_note_done(t, 1, TARGET_UNRESPONSIVE, false, 0, 0.1);
  for (int i = 0; i < 20; i++) cr_assert_neq(pick(s, 1.1, &a, false), t);
  Target *u = pick(s, 1.1, &a, false);
  note_sent(u, 1.1, &a, 0);
  target_note_done(u, 1.1, TARGET_UNRESPONSIVE, false, 0, 0.1);
  cr_assert_not_null(pick(s, 1.2, &a, false));
  targets_free(s);
}

Test(targets, instances_agree_on_the_home_of_a_prompt) {
  Targets *s = targets_with(8), *other = targets_new("a", 99);
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

Test(targets, loaded_home_spills_to_another_target) {
  Targets *s = targets_with(4);
  RequestInfo a = {.prompt_tokens = 2000, .n_parts = 2};
  a.parts[0] = (RequestPart){7, 1500};
  a.parts[1] = (RequestPart){8, 500};
  Target *home = pick(s, 1, &a, true);
  note_sent(home, 1, &a, 200000); /* four seconds of reading */
  cr_assert_neq(pick(s, 1, &a, true), home);
  target_note_first_byte(home, 200000, 0, 4.5);
  cr_assert_eq(pick(s, 1, &a, true), home);
  targets_free(s);
}

Test(targets, replaced_target_gets_no_work) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  targets_mark_replaced(s, 1, pick(s, 1, &a, false));
  cr_assert_null(pick(s, 1, &a, false));
  targets_free(s);
}

/* Where other instances report what they sent, no prompt is assumed to be
   cached at its home. */
Test(targets, reported_parts_lead_to_the_target_that_cached_them) {
  Targets *s = targets_with(8), *other = targets_with(8);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  TargetParts m;
  a.parts[0] = (RequestPart){7, 8000};
  a.parts[1] = (RequestPart){8, 1000};
  targets_set_parts_exchanged(s, true);
  targets_set_parts_exchanged(other, true);
  TargetRequest request = {.service = "svc", .info = &a, .engine = true};
  TargetChoice c = targets_pick(other, 1, &request);
  cr_assert_eq(c.uncached_tokens, 9000, "no target has read it");
  target_note_sent(c.target, 1, &a, &c);
  cr_assert(targets_next_parts(other, &m));
  cr_assert_not(targets_next_parts(other, &m), "sent only once");
  targets_apply_parts(s, 1, &m);
  a.parts[1].id = 9;
  c = targets_pick(s, 1.1, &request);
  cr_assert_eq(text_hash(target_id(c.target)), m.target);
  cr_assert_eq(c.uncached_tokens, 1000);
  targets_free(s);
  targets_free(other);
}

/* The cache of a busy target serves another one. */
Test(targets, cached_tokens_of_a_busy_target_move_to_a_free_one) {
  Targets *s = targets_with(4);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  a.parts[0] = (RequestPart){7, 8000};
  a.parts[1] = (RequestPart){8, 1000};
  targets_set_parts_exchanged(s, true);
  TargetRequest request = {
      .service = "svc", .info = &a, .engine = true, .move_token_s = 2e-6};
  TargetChoice first = targets_pick(s, 1, &request);
  cr_assert_null(first.donor, "no target has cached it");
  target_note_sent(first.target, 1, &a, &first);
  a.parts[1].id = 9;
  note_sent(first.target, 1.1, &a, 200000); /* four seconds of reading */
  TargetChoice early = targets_pick(s, 1.1, &request);
  cr_assert_neq(early.target, first.target);
  cr_assert_null(early.donor, "it has not read it yet");
  TargetChoice c = targets_pick(s, 3, &request);
  cr_assert_neq(c.target, first.target);
  cr_assert_eq(c.donor, first.target);
  cr_assert(c.moved_tokens == 9000 && c.uncached_tokens == 0, "%ld",
            (long)c.moved_tokens);
  request.move_token_s = 1; /* a slow link */
  cr_assert_null(targets_pick(s, 3, &request).donor);
  request.move_token_s = 2e-6;
  target_note_done(first.target, 3, TARGET_FAILED, false, first.uncached_tokens,
                   1);
  for (int i = 0; i < 9; i++) {
    note_sent(first.target, 3, &a, 0);
    target_note_done(first.target, 3, TARGET_FAILED, false, 0, 1);
  }
  cr_assert_null(targets_pick(s, 3.1, &request).donor, "the donor is ejected");
  targets_free(s);
}

/* Long prompts stall the streams beside them, so they get targets of their
   own. */
Test(targets, short_and_long_prompts_use_different_targets) {
  Targets *s = targets_with(12);
  targets_set_parts_exchanged(s, true);
  GHashTable *long_targets = g_hash_table_new(g_str_hash, g_str_equal);
  for (uint64_t k = 1; k <= 200; k++) {
    RequestInfo a = {.prompt_tokens = 9000, .n_parts = 1};
    a.parts[0] = (RequestPart){k, 9000};
    TargetRequest request = {
        .service = "svc", .info = &a, .engine = true, .max_pause_s = 0.3};
    TargetChoice c = targets_pick(s, 1, &request);
    cr_assert(c.long_prompt && c.serves_long);
    target_note_sent(c.target, 1, &a, &c);
    g_hash_table_add(long_targets, (gpointer)target_id(c.target));
  }
  for (uint64_t k = 1000; k <= 1200; k++) {
    RequestInfo a = {.prompt_tokens = 400, .n_parts = 1};
    a.parts[0] = (RequestPart){k, 400};
    TargetRequest request = {
        .service = "svc", .info = &a, .engine = true, .max_pause_s = 0.3};
    TargetChoice c = targets_pick(s, 1, &request);
    cr_assert_not(c.long_prompt || c.serves_long);
    cr_assert_not(g_hash_table_contains(long_targets, target_id(c.target)));
    target_note_sent(c.target, 1, &a, &c);
  }
  g_hash_table_destroy(long_targets);
  targets_free(s);
}

/* In a fleet too large to exchange work reports the work of the others is only
   estimated. */
Test(targets, large_fleet_neither_divides_pools_nor_moves_tokens) {
  Targets *s = targets_with(6);
  bool used[6] = {false};
  RequestInfo a = {.prompt_tokens = 400, .n_parts = 1};
  TargetRequest request = {.service = "svc",
                           .info = &a,
                           .engine = true,
                           .move_token_s = 2e-6,
                           .max_pause_s = 0.3};
  for (uint64_t k = 0; k < 60; k++) {
    a.parts[0] = (RequestPart){k + 1, 400};
    TargetChoice c = targets_pick(s, 1 + (double)k, &request);
    cr_assert(c.serves_long && !c.donor);
    target_note_sent(c.target, 1 + (double)k, &a, &c);
    used[target_id(c.target)[2] - '0'] = true;
  }
  for (int i = 0; i < 6; i++) cr_assert(used[i], "%d", i);
  targets_free(s);
}

/* Guards against rejections by a wait that no report backs, and against an idle
   target that counts as busy for its reading of the request itself. */
Test(targets, choice_tells_whether_its_wait_is_reported_and_for_what) {
  Targets *s = targets_with(1);
  RequestInfo a = {.prompt_tokens = 9000};
  TargetRequest request = {.service = "svc", .info = &a, .engine = true};
  TargetChoice c = targets_pick(s, 1, &request);
  cr_assert(!c.wait_is_reported && c.is_free);
  cr_assert_float_eq(c.own_s, c.wait_s, 1e-9);
  TallyReport w = {.target = target_hash(c.target), .open = 2, .tokens = 18000};
  request.reports = &w;
  request.n_reports = 1;
  c = targets_pick(s, 1, &request);
  cr_assert(c.wait_is_reported && !c.is_free);
  cr_assert_float_eq(c.own_s, c.wait_s / 3, 1e-9, "%g of %g", c.own_s,
                     c.wait_s);
  w.tokens = 0; /* all prompts are read */
  w.open = 3;
  cr_assert(targets_pick(s, 1, &request).is_free);
  w.open = 4; /* as many as it has slots */
  cr_assert_not(targets_pick(s, 1, &request).is_free);
  w.target++; /* a report on another target */
  cr_assert_not(targets_pick(s, 1, &request).wait_is_reported);
  targets_free(s);
}

/* Guards against plain targets that count as idle by our own requests only. */
Test(targets, plain_target_is_free_while_it_has_slots) {
  Targets *s = targets_with(1);
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  TargetChoice c = targets_pick(s, 1, &request);
  cr_assert(c.is_free);
  for (int i = 0; i < 4; i++) target_note_sent(c.target, 1, &a, &c);
  cr_assert_not(targets_pick(s, 1, &request).is_free);
  for (int i = 0; i < 4; i++)
    target_note_done(c.target, 2, TARGET_OK, true, 0, 0.1);
  cr_assert(targets_pick(s, 2, &request).is_free);
  target_set_load(c.target, 2, 4, 20, 0);
  cr_assert_not(targets_pick(s, 2.1, &request).is_free);
  cr_assert(targets_pick(s, 3, &request).is_free, "its report is too old");
  targets_free(s);
}

/* When all targets for long prompts are unresponsive, the others serve
   them. */
Test(targets, long_prompts_spill_if_their_targets_are_unhealthy) {
  Targets *s = targets_with(6);
  targets_set_parts_exchanged(s, true);
  RequestInfo a = {.prompt_tokens = 9000};
  TargetRequest request = {
      .service = "svc", .info = &a, .engine = true, .max_pause_s = 0.3};
  for (int i = 0; i < 5; i++) {
    TargetChoice c = targets_pick(s, 1, &request);
    target_note_sent(c.target, 1, &a, &c);
    target_note_done(c.target, 1, TARGET_UNRESPONSIVE, false, c.uncached_tokens,
                     0.1);
  }
  TargetChoice c = targets_pick(s, 1.1, &request);
  target_note_sent(c.target, 1.1, &a, &c);
  target_note_done(c.target, 1.1, TARGET_OK, true, c.uncached_tokens, 0.1);
  cr_assert_eq(targets_pick(s, 1.2, &request).target, c.target,
               "the sixth target answers, the others are unresponsive");
  targets_free(s);
}

/* The work of another instance at a target delays ours just as much. */
Test(targets, work_of_other_instances_counts_until_its_report_is_stale) {
  Targets *s = targets_with(2);
  RequestInfo a = {.prompt_tokens = 100};
  TargetWork w = {.target = text_hash("i-0"), .open = 4, .tokens = 90000};
  targets_apply_work(s, 1, 77, &w);
  for (int i = 0; i < 20; i++)
    cr_assert_str_eq(target_id(pick(s, 1.5, &a, true)), "i-1");
  w.target = text_hash("i-1");
  w.tokens = 180000;
  targets_apply_work(s, 1.5, 78, &w);
  cr_assert_str_eq(target_id(pick(s, 1.6, &a, true)), "i-0", "the lower load");
  w.open = 0;
  w.tokens = 0;
  targets_apply_work(s, 1.7, 78, &w);
  cr_assert_str_eq(target_id(pick(s, 1.8, &a, true)), "i-1",
                   "the newer report");
  bool first = false;
  for (int i = 0; i < 40; i++)
    first |= strcmp(target_id(pick(s, 9, &a, true)), "i-0") == 0;
  cr_assert(first, "an old report is ignored");
  targets_free(s);
}

Test(targets, own_work_is_sent_once_per_change) {
  Targets *s = targets_with(2);
  RequestInfo a = {.prompt_tokens = 500};
  TargetWork w;
  cr_assert_not(targets_next_work(s, &w));
  Target *t = pick(s, 1, &a, true);
  note_sent(t, 1, &a, 500);
  cr_assert(targets_next_work(s, &w));
  cr_assert_eq(w.target, text_hash(target_id(t)));
  cr_assert(w.open == 1 && w.tokens == 500);
  cr_assert_not(targets_next_work(s, &w));
  target_note_first_byte(t, 500, 0, 0.02);
  target_note_done(t, 2, TARGET_OK, true, 500, 1);
  cr_assert(targets_next_work(s, &w));
  cr_assert(w.open == 0 && w.tokens == 0);
  cr_assert_not(targets_next_work(s, &w), "one message has both changes");
  targets_free(s);
}

/* == evacuations == */

/* Four targets, two in each of two data centres. */
static Targets *two_data_centres(void) {
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
    note_sent(t, now, &a, 1000);
    bool is_there =
        target_id(t)[2] >= '2' ? strcmp(dc, "b") == 0 : strcmp(dc, "a") == 0;
    if (is_there) return true;
  }
  return false;
}

Test(targets, evacuated_data_centre_gets_no_work_until_revoked) {
  Targets *s = two_data_centres();
  cr_assert(gets_work(s, 1, "b"));
  cr_assert(targets_set_evacuated(s, "b", true));
  cr_assert(!gets_work(s, 1, "b"));
  cr_assert(gets_work(s, 1, "a"));
  cr_assert(!gets_work(s, 100000, "b"), "evacuations don't expire");
  cr_assert(!targets_set_evacuated(s, "b", true), "already evacuated");
  cr_assert(targets_set_evacuated(s, "b", false));
  cr_assert(gets_work(s, 100001, "b"));
  cr_assert(!targets_set_evacuated(s, "b", false), "already revoked");
  targets_free(s);
}

Test(targets, new_target_in_an_evacuated_data_centre_gets_no_work) {
  Targets *s = two_data_centres();
  targets_set_evacuated(s, "b", true);
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

Test(targets, listing_of_evacuations_ends_unlisted_ones) {
  Targets *s = two_data_centres();
  GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);
  targets_set_evacuated(s, "a", true);
  g_hash_table_add(dcs, "b");
  cr_assert(targets_set_evacuated_dcs(s, dcs));
  cr_assert(gets_work(s, 1, "a"));
  cr_assert(!gets_work(s, 1, "b"));
  cr_assert(!targets_set_evacuated_dcs(s, dcs));
  g_hash_table_destroy(dcs);
  targets_free(s);
}

/* It gets no load query, no tokens are moved from it, and it gets no retry. */
Test(targets, evacuated_target_is_neither_queried_nor_used) {
  Targets *s = two_data_centres();
  targets_set_parts_exchanged(s, true);
  RequestInfo a = {.prompt_tokens = 9000, .n_parts = 2};
  a.parts[0] = (RequestPart){77, 8000};
  a.parts[1] = (RequestPart){78, 1000};
  TargetRequest request = {
      .service = "svc", .info = &a, .engine = true, .move_token_s = 1e-6};
  Target *home = targets_pick(s, 1, &request).target;
  note_sent(home, 1, &a, 9000);
  const char *dc = target_id(home)[2] >= '2' ? "b" : "a";
  targets_set_evacuated(s, dc, true);
  for (int i = 0; i < 20; i++) {
    TargetChoice c = targets_pick(s, 3, &request);
    cr_assert_not_null(c.target);
    cr_assert_neq(c.target, home);
    cr_assert_null(c.donor);
    uint64_t queried[TARGETS_MAX_QUERIED];
    int n = targets_to_query(s, 3, &request, queried);
    for (int k = 0; k < n; k++) cr_assert_neq(queried[k], target_hash(home));
  }
  targets_free(s);
}

Test(targets, choice_reports_that_all_targets_are_evacuated) {
  Targets *s = two_data_centres();
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  targets_set_evacuated(s, "a", true);
  targets_set_evacuated(s, "b", true);
  cr_assert_null(targets_pick(s, 1, &request).target);
  cr_assert_eq(targets_pick(s, 1, &request).none, TARGET_NONE_EVACUATED);
  targets_set_evacuated(s, "nowhere", true); /* an unknown data centre */
  cr_assert_eq(targets_count_in_dc(s, "nowhere"), 0);
  targets_free(s);
}

Test(targets, number_of_evacuations_is_bounded) {
  Targets *s = two_data_centres();
  char dc[16];
  for (int i = 0; i < 1000; i++) {
    snprintf(dc, sizeof dc, "x%d", i);
    targets_set_evacuated(s, dc, true);
  }
  cr_assert(!targets_set_evacuated(s, "x999", false), "there were too many");
  cr_assert(targets_set_evacuated(s, "x1", false));
  targets_free(s);
}

/* == restarts under the same id == */

static RequestInfo prompt(void) {
  RequestInfo a = {.prompt_tokens = 3000, .n_parts = 2};
  a.parts[0] = (RequestPart){.id = 5, .tokens = 2500};
  a.parts[1] = (RequestPart){.id = 6, .tokens = 500};
  return a;
}

static TargetInfo incarnation(int64_t at, uint64_t revision) {
  TargetInfo t = info(0, "svc");
  t.start_ms = at;
  t.revision = revision;
  return t;
}

/* The tokens of this prompt that its target would have to read. */
static int64_t count_uncached(Targets *s, double now, const RequestInfo *a) {
  TargetRequest request = {.service = "svc", .info = a, .engine = true};
  return targets_pick(s, now, &request).uncached_tokens;
}

Test(targets, restarted_target_has_no_earlier_state) {
  Targets *s = targets_new("a", 1);
  targets_set_parts_exchanged(s, true);
  RequestInfo a = prompt();
  TargetInfo t = incarnation(1000, 10);
  cr_assert(!targets_set(s, 0, &t), "not a restart");
  Target *old = pick(s, 1, &a, true);
  note_sent(old, 1, &a, 3000);
  cr_assert_eq(count_uncached(s, 2, &a), 0, "it has read the prompt");
  t = incarnation(2000, 11);
  cr_assert(targets_set(s, 3, &t));
  Target *restarted = pick(s, 3, &a, true);
  cr_assert_neq(restarted, old);
  cr_assert_eq(count_uncached(s, 3, &a), 3000, "its cache is empty");
  cr_assert_eq(target_current_load(restarted, 3).open, 0,
               "its requests are lost");
  cr_assert_eq(target_current_load(old, 3).open, 1, "until it ends");
  target_note_done(old, 4, TARGET_UNRESPONSIVE, false, 3000, 3);
  cr_assert_not_null(pick(s, 4, &a, true),
                     "an old failure does not count for the new incarnation");
  targets_sweep(s, 100);
  cr_assert_eq(targets_count(s, "svc"), 1);
  targets_free(s);
}

Test(targets, target_that_left_and_restarted_gets_work) {
  Targets *s = targets_new("a", 1);
  RequestInfo a = {0};
  TargetInfo t = incarnation(1000, 10);
  t.leaving = true;
  targets_set(s, 0, &t);
  cr_assert_null(pick(s, 1, &a, false));
  t = incarnation(2000, 12);
  targets_set(s, 2, &t);
  cr_assert_not_null(pick(s, 2, &a, false));
  t = incarnation(1000,
                  11); /* an older revision from the earlier incarnation */
  t.leaving = true;
  cr_assert(!targets_set(s, 3, &t));
  cr_assert_not_null(pick(s, 3, &a, false));
  targets_free(s);
}

Test(targets, reports_on_an_earlier_incarnation_are_ignored) {
  Targets *s = targets_new("a", 1);
  RequestInfo a = prompt();
  TargetInfo t = incarnation(1000, 10);
  targets_set(s, 0, &t);
  TargetWork old = {
      .target = target_hash(pick(s, 0, &a, true)), .open = 7, .tokens = 9000};
  targets_apply_work(s, 0, 77, &old);
  cr_assert_eq(target_current_load(pick(s, 0, &a, true), 0).open, 7);
  t = incarnation(2000, 11);
  targets_set(s, 1, &t);
  targets_apply_work(s, 1, 77, &old);
  cr_assert_eq(target_current_load(pick(s, 1, &a, true), 1).open, 0);
  targets_free(s);
}

Test(targets, entry_can_move_to_another_service) {
  Targets *s = targets_with(2);
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

/* The load that this is for: targets share their machines with other work, and
   one of four takes two to six times as long for some tenths of a second. */
Test(targets, slow_target_is_avoided_while_its_pace_report_is_fresh) {
  Targets *s = targets_with(4);
  RequestInfo a = {0};
  Target *busy = pick(s, 1, &a, false);
  target_set_load(busy, 1, 0, 0, 4);
  for (int i = 0; i < 20; i++) cr_assert_neq(pick(s, 1.02, &a, false), busy);
  int back = 0;
  for (int i = 0; i < 200; i++) back += pick(s, 1.5, &a, false) == busy;
  cr_assert_gt(back, 10, "the report is stale");
  targets_free(s);
}

Test(targets, reported_pace_is_clamped) {
  static const double paces[] = {0, 1, 1e9, 1e-9};
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  for (size_t k = 0; k < G_N_ELEMENTS(paces); k++) {
    Targets *s = targets_with(1);
    Target *t = pick(s, 1, &a, false);
    note_sent(t, 1, &a, 0);
    target_set_load(t, 1.02, 0, 0, paces[k]);
    target_note_done(t, 1.02, TARGET_OK, true, 0, 0.02);
    double wait_s = targets_pick(s, 2, &request).wait_s;
    cr_assert(wait_s >= 0.001 && wait_s <= 0.04, "%g: %f", paces[k], wait_s);
    if (paces[k] <= 1 && paces[k] != 1e-9)
      cr_assert_float_eq(wait_s, 0.02, 1e-9);
    targets_free(s);
  }
}

/* The machine causes a slow moment, not the target, so the learned answer time
   is the usual one. */
Test(targets, learned_answer_time_excludes_the_reported_pace) {
  Targets *s = targets_with(2);
  RequestInfo a = {0};
  Target *t = pick(s, 1, &a, false);
  note_sent(t, 1, &a, 0);
  target_set_load(t, 1.12, 0, 0, 4);
  target_note_done(t, 1.12, TARGET_OK, true, 0, 0.12);
  Target *u = pick(s, 1.13, &a, false);
  cr_assert_neq(u, t);
  note_sent(u, 1.13, &a, 0);
  target_set_load(u, 1.18, 0, 0, 1);
  target_note_done(u, 1.18, TARGET_OK, true, 0, 0.05);
  int used = 0;
  for (int i = 0; i < 50; i++) used += pick(s, 3, &a, false) == t;
  cr_assert_gt(used, 40, "usual times of 30 ms and 50 ms");
  targets_free(s);
}

/* The load that this is for: three readers get the same ten thousand entries;
   if each of them sent all, these would be most of the messages of a starting
   fleet. */
Test(targets, entry_known_from_another_reader_is_not_newer) {
  Targets *s = targets_with(1);
  TargetInfo t = info(0, "svc"), other = info(1, "svc");
  cr_assert_not(targets_is_newer(s, &t), "the same revision");
  t.revision--;
  cr_assert_not(targets_is_newer(s, &t), "an older revision");
  cr_assert(targets_is_newer(s, &other));
  targets_free(s);
}

/* An instance that was notified of a removal has to be notified of the return,
   even if the entry equals the one another instance knew before. */
Test(targets, rewritten_entry_is_newer) {
  Targets *s = targets_with(1);
  TargetInfo t = info(0, "svc");
  t.revision++;
  cr_assert(targets_is_newer(s, &t));
  targets_remove(s, 5, t.id, true);
  cr_assert(targets_is_newer(s, &t));
  targets_free(s);
}
