/* test_revision.c: the order of revisions of different eras of the store. */
#include <criterion/criterion.h>

#include "route/targets.h"
#include "store/revision.h"

Test(revision, a_later_era_is_newer_whatever_its_number) {
  uint64_t before = revision_make(1, 482), after = revision_make(2, 410);
  cr_assert_lt(before, after);
  cr_assert_lt(revision_make(1, 481), before);
  cr_assert_eq(revision_era(after), 2);
  cr_assert_eq(revision_number(after), 410);
  cr_assert_eq(revision_make(0, 482), 482, "a store without eras");
  cr_assert_eq(revision_number(revision_make(7, 0)), 0);
}

/* Guards against a target's entry being passed over after the store was
   restored, since its revision is lower than that of the former one. */
Test(revision, an_entry_of_a_later_era_replaces_one_with_a_higher_number) {
  Targets *s = targets_new("a", 1);
  RequestInfo a = {0};
  TargetRequest request = {.service = "svc", .info = &a};
  TargetInfo t = {.id = "i-0",
                  .service = "svc",
                  .addr = "10.0.0.1:80",
                  .dc = "a",
                  .slots = 4,
                  .revision = revision_make(1, 482)};
  targets_set(s, 0, &t);
  cr_assert_not_null(targets_pick(s, 1, &request).target);
  t.revision = revision_make(2, 410);
  t.leaving = true;
  cr_assert(targets_is_newer(s, &t));
  targets_set(s, 1, &t);
  cr_assert_null(targets_pick(s, 1, &request).target);
  targets_free(s);
}
