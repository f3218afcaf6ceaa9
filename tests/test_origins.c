/* test_origins.c: the software versions of targets, and which of them began a
   stream. */
#include <criterion/criterion.h>

#include <string.h>

#include "kernel/text.h"
#include "route/origins.h"
#include "route/targets.h"
#include "route/versions.h"

/* == versions == */

Test(versions, a_version_is_the_only_one_after_a_while) {
  Versions *v = versions_new();
  uint64_t only = 0;
  cr_assert_not(versions_sole(v, 1000, VERSIONS_MEMORY_S, &only),
                "no target is known");
  versions_add(v, 1000, 7);
  versions_add(v, 1010, 7);
  cr_assert_not(versions_sole(v, 1029, VERSIONS_MEMORY_S, &only),
                "known for less than a stream");
  cr_assert(versions_sole(v, 1031, VERSIONS_MEMORY_S, &only));
  cr_assert_eq(only, 7);
  versions_free(v);
}

/* Guards against a stream of a route that allows more time than others, which
   goes on at another version while its caller still waits. */
Test(versions, a_longer_stream_is_remembered_for_longer) {
  Versions *v = versions_new();
  uint64_t only = 0;
  versions_add(v, 0, 7);
  cr_assert_not(versions_sole(v, 44, 45, &only));
  cr_assert(versions_sole(v, 46, 45, &only));
  versions_free(v);
}

/* Guards against a proof that one version served which forgets another one. */
Test(versions, the_only_version_is_the_first_and_the_last) {
  Versions *v = versions_new();
  uint64_t only = 0;
  cr_assert_not(versions_only(v, &only));
  versions_add(v, 0, 7);
  versions_remove(v, 1, 7);
  versions_add(v, 2, 7);
  cr_assert(versions_only(v, &only));
  cr_assert_eq(only, 7);
  versions_add(v, 3, 8);
  versions_remove(v, 4, 8);
  cr_assert_not(versions_only(v, &only));
  versions_free(v);
}

/* Guards against a stream of the old version that goes on at the new one right
   after a release. */
Test(versions, a_version_that_left_is_remembered) {
  Versions *v = versions_new();
  uint64_t only = 0;
  versions_add(v, 0, 7);
  versions_add(v, 100, 8);
  cr_assert(versions_are_several(v));
  cr_assert_not(versions_sole(v, 200, VERSIONS_MEMORY_S, &only));
  versions_remove(v, 200, 7);
  cr_assert_not(versions_are_several(v));
  cr_assert_not(versions_sole(v, 229, VERSIONS_MEMORY_S, &only));
  cr_assert(versions_sole(v, 231, VERSIONS_MEMORY_S, &only));
  cr_assert_eq(only, 8);
  versions_free(v);
}

Test(versions, targets_that_all_restart_change_nothing) {
  Versions *v = versions_new();
  uint64_t only;
  versions_add(v, 0, 7);
  versions_remove(v, 100, 7);
  cr_assert_not(versions_sole(v, 100, VERSIONS_MEMORY_S, &only));
  versions_add(v, 101, 7);
  cr_assert(versions_sole(v, 101, VERSIONS_MEMORY_S, &only));
  versions_remove(v, 102, 7);
  versions_add(v, 103, 8);
  cr_assert_not(versions_sole(v, 103, VERSIONS_MEMORY_S, &only),
                "all restarted at another one");
  versions_free(v);
}

/* == records == */

static OriginsMsg record(const char *attempt, uint64_t service,
                         uint64_t version) {
  return (OriginsMsg){.kind = ORIGINS_RECORD,
                      .key = origins_key("acme", attempt),
                      .service = service,
                      .version = version};
}

static bool is_recorded(const Origins *o, const char *customer,
                        const char *attempt) {
  OriginsMsg found;
  return origins_find(o, origins_key(customer, attempt), &found);
}

Test(origins, a_record_is_found_by_its_customer_alone) {
  Origins *o = origins_new();
  OriginsMsg m = record("a1", 1, 7), found = {0};
  origins_set(o, 0, &m, false);
  cr_assert(origins_find(o, m.key, &found));
  cr_assert_eq(found.version, 7);
  cr_assert_eq(found.service, 1);
  cr_assert_not(is_recorded(o, "other", "a1"));
  cr_assert_not(is_recorded(o, "acme", "a2"));
  cr_assert_neq(origins_key("vca", "b"), origins_key("a", "b"));
  origins_remove(o, m.key);
  cr_assert_not(origins_find(o, m.key, &found));
  origins_free(o);
}

/* Guards against a record that is not found since the later attempt was led to
   another service. Instances of earlier builds ask by a key that covers it. */
Test(origins, a_record_is_found_whatever_the_service) {
  Origins *o = origins_new();
  OriginsMsg m = record("a1", 1, 7), found = {.service = 2};
  origins_set(o, 0, &m, false);
  cr_assert(origins_find(o, origins_key("acme", "a1"), &found));
  cr_assert_eq(found.service, 1);
  uint64_t earlier = origins_service_key("svc", "acme", "a1");
  cr_assert_neq(earlier, m.key);
  cr_assert_neq(earlier, origins_service_key("s", "vcacme", "a1"));
  cr_assert_not(origins_find(o, earlier, &found));
  origins_free(o);
}

Test(origins, records_expire_and_their_number_is_bounded) {
  Origins *o = origins_new();
  char name[32];
  for (int i = 0; i < 20000; i++) {
    g_snprintf(name, sizeof name, "a%d", i);
    OriginsMsg m = record(name, 1, 7);
    origins_set(o, i * 0.001, &m, false);
  }
  cr_assert_not(is_recorded(o, "acme", "a0"), "the oldest was dropped");
  cr_assert(is_recorded(o, "acme", "a19999"));
  origins_sweep(o, 79, 0);
  cr_assert(is_recorded(o, "acme", "a19999"));
  origins_sweep(o, 109, 90);
  cr_assert(is_recorded(o, "acme", "a19999"), "its stream may still run");
  origins_sweep(o, 81, 0);
  cr_assert_not(is_recorded(o, "acme", "a19999"));
  origins_free(o);
}

static bool is_service_two(void *ctx, uint64_t service) {
  (void)ctx;
  return service == 2;
}

/* Guards against streams that began before a second version appeared, and that
   only the instance that is then lost knows. */
Test(origins, what_no_home_has_is_told_once_when_needed) {
  Origins *o = origins_new();
  OriginsMsg first = record("a1", 1, 7), second = record("a2", 2, 7),
             third = record("a3", 2, 7), m;
  origins_set(o, 0, &first, false);
  origins_set(o, 0, &second, false);
  origins_set(o, 0, &third, true);
  cr_assert(origins_take_unshared(o, is_service_two, NULL, &m));
  cr_assert(m.key == second.key && m.kind == ORIGINS_RECORD && m.version == 7);
  cr_assert_not(origins_take_unshared(o, is_service_two, NULL, &m));
  origins_free(o);
}

/* == answers == */

static OriginsKind combine(OriginsKind a, uint64_t va, OriginsKind b,
                           uint64_t vb) {
  OriginsMsg x = {.kind = a, .version = va}, y = {.kind = b, .version = vb};
  OriginsMsg one = origins_combine(&x, &y), other = origins_combine(&y, &x);
  cr_assert_eq(one.kind, other.kind, "the order does not matter");
  return one.kind;
}

Test(origins, answers_are_combined) {
  cr_assert_eq(combine(ORIGINS_UNKNOWN, 0, ORIGINS_SOLE, 7), ORIGINS_SOLE);
  cr_assert_eq(combine(ORIGINS_SOLE, 7, ORIGINS_SOLE, 7), ORIGINS_SOLE);
  cr_assert_eq(combine(ORIGINS_SOLE, 7, ORIGINS_SOLE, 8), ORIGINS_SEVERAL);
  cr_assert_eq(combine(ORIGINS_SOLE, 7, ORIGINS_SEVERAL, 0), ORIGINS_SEVERAL);
  cr_assert_eq(combine(ORIGINS_SOLE, 7, ORIGINS_KNOWN, 8), ORIGINS_KNOWN);
  cr_assert_eq(combine(ORIGINS_SEVERAL, 0, ORIGINS_KNOWN, 8), ORIGINS_KNOWN);
  cr_assert_eq(combine(ORIGINS_UNKNOWN, 0, ORIGINS_UNKNOWN, 0),
               ORIGINS_UNKNOWN);
}

/* == targets == */

static TargetInfo info(const char *id, const char *version, uint64_t revision) {
  TargetInfo t = {.slots = 4, .revision = revision};
  g_strlcpy(t.id, id, sizeof t.id);
  g_strlcpy(t.addr, "10.0.0.1:80", sizeof t.addr);
  g_strlcpy(t.service, "svc", sizeof t.service);
  g_strlcpy(t.dc, "a", sizeof t.dc);
  g_strlcpy(t.version, version, sizeof t.version);
  return t;
}

static Targets *targets_of(const char *const *versions, int n) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < n; i++) {
    char id[8];
    g_snprintf(id, sizeof id, "i-%d", i);
    TargetInfo t = info(id, versions[i], 10);
    targets_set(s, 0, &t);
  }
  return s;
}

static TargetChoice pick(Targets *s, double now, const char *version) {
  static const RequestInfo none = {0};
  uint64_t v = version ? versions_hash(version) : 0;
  TargetRequest request = {
      .service = "svc", .info = &none, .version = version ? &v : NULL};
  return targets_pick(s, now, &request);
}

Test(targets, a_stream_goes_on_only_at_its_version) {
  static const char *const versions[] = {"v1", "v2", "v2", ""};
  Targets *s = targets_of(versions, 4);
  for (int i = 0; i < 40; i++) {
    cr_assert_str_eq(target_id(pick(s, 1, "v1").target), "i-0");
    cr_assert_str_eq(target_version_text(pick(s, 1, "v2").target), "v2");
    cr_assert_str_eq(target_id(pick(s, 1, "").target), "i-3");
  }
  cr_assert_not_null(pick(s, 1, NULL).target);
  TargetChoice c = pick(s, 1, "v3");
  cr_assert_null(c.target);
  cr_assert_eq(c.none, TARGET_NONE_OF_VERSION);
  cr_assert_eq(c.retry_after_s, 0);
  targets_free(s);
}

/* Guards against a target of another version under a known id. */
Test(targets, another_version_is_another_incarnation) {
  static const char *const versions[] = {"v1"};
  Targets *s = targets_of(versions, 1);
  TargetInfo t = info("i-0", "v2", 11);
  cr_assert(targets_set(s, 1, &t));
  cr_assert_null(pick(s, 1, "v1").target);
  cr_assert_not_null(pick(s, 1, "v2").target);
  targets_free(s);
}

/* Earlier builds hand entries on without the version. */
Test(targets, an_entry_without_a_version_does_not_take_it_away) {
  static const char *const versions[] = {"v1", ""};
  Targets *s = targets_of(versions, 2);
  TargetInfo without = info("i-0", "", 11), with = info("i-1", "v1", 11);
  cr_assert_not(targets_set(s, 1, &without));
  cr_assert(targets_have_versions(s, text_hash("svc")));
  cr_assert_not(targets_set(s, 1, &with));
  cr_assert_not(targets_have_versions(s, text_hash("svc")));
  cr_assert_not_null(pick(s, 1, "v1").target);
  uint64_t only;
  cr_assert(
      targets_sole_version(s, 40, text_hash("svc"), VERSIONS_MEMORY_S, &only));
  cr_assert_eq(only, versions_hash("v1"));
  targets_free(s);
}
