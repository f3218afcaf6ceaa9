/* test_managed.c: which services the parts for decisions under load apply to.
 */
#include <criterion/criterion.h>

#include "conf/managed.h"

static Managed parse(int max_slots, const char *parts) {
  Managed m;
  Err e = {0};
  cr_assert(managed_parse(&m, max_slots, parts, &e), "%s", e.text);
  return m;
}

/* Guards against parts that act where neither setting nor configuration asks
   for them. */
Test(managed, applies_only_to_engines_with_few_known_slots) {
  Managed m = parse(16, "rates, shares");
  ConfService s = {.engine = true, .batch_slots = 16};
  cr_assert(managed_applies(&m, MANAGED_RATES, &s));
  cr_assert(managed_applies(&m, MANAGED_SHARES, &s));
  cr_assert_not(managed_applies(&m, MANAGED_ADMISSION, &s), "not listed");
  cr_assert_not(managed_applies(&m, MANAGED_RATES, NULL));
  static const ConfService others[] = {
      {.engine = true, .batch_slots = 17},
      {.engine = true, .batch_slots = 0},
      {.engine = true, .batch_slots = -1},
      {.engine = false, .batch_slots = 6},
  };
  for (size_t i = 0; i < sizeof others / sizeof *others; i++)
    cr_assert_not(managed_applies(&m, MANAGED_RATES, &others[i]), "%zu", i);
}

Test(managed, is_off_by_default) {
  Managed m = parse(0, "rates,admission,shares,reserve");
  ConfService s = {.engine = true, .batch_slots = 1};
  for (int part = 0; part < MANAGED_PARTS; part++)
    cr_assert_not(managed_applies(&m, (ManagedPart)part, &s));
  m = parse(16, "");
  for (int part = 0; part < MANAGED_PARTS; part++)
    cr_assert_not(managed_applies(&m, (ManagedPart)part, &s));
}

Test(managed, an_unknown_part_is_an_error_that_names_it) {
  Managed m;
  Err e = {0};
  cr_assert_not(managed_parse(&m, 16, "rates,speed", &e));
  cr_assert_eq(e.kind, ERR_SETTING);
  cr_assert(strstr(e.text, "speed"));
}

Test(managed, a_configuration_with_one_managed_service_counts) {
  Managed m = parse(16, "reserve");
  Conf *c = conf_new();
  ConfService *s = g_new0(ConfService, 1);
  s->name = g_strdup("large");
  s->engine = true;
  s->batch_slots = 64;
  conf_add_service(c, s);
  cr_assert_not(managed_applies_to_any(&m, MANAGED_RESERVE, c));
  s = g_new0(ConfService, 1);
  s->name = g_strdup("small");
  s->engine = true;
  s->batch_slots = 8;
  conf_add_service(c, s);
  cr_assert(managed_applies_to_any(&m, MANAGED_RESERVE, c));
  cr_assert_not(managed_applies_to_any(&m, MANAGED_RATES, c));
  cr_assert_not(managed_applies_to_plain(&m, MANAGED_RESERVE, c));
  m = parse(16, "rates,shares");
  cr_assert(managed_applies_to_plain(&m, MANAGED_RATES, c));
  cr_assert_not(managed_applies_to_plain(&m, MANAGED_ADMISSION, c));
  cr_assert_not(managed_applies_to_plain(&m, MANAGED_SHARES, c));
  cr_assert_not(managed_applies_to_any(&m, MANAGED_RESERVE, NULL));
  conf_unref(c);
}
