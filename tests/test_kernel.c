/* test_kernel.c: services, errors, and the rate limit of store calls. */
#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#include "kernel/settings.h"
#include "kernel/service.h"
#include "kernel/text.h"
#include "store/pace.h"

static char start_stop_trace[32];

static bool start_traced(Service *s, Err *e) {
  (void)e;
  strcat(start_stop_trace, s->name);
  return true;
}

static void stop_traced(Service *s) {
  strcat(start_stop_trace, "-");
  strcat(start_stop_trace, s->name);
}

Test(service, start_in_order_of_dependency_and_stop_in_reverse) {
  Kernel k = {0};
  Err e = {0};
  Service c = {"c", {"b", "a"}, start_traced, NULL, stop_traced, NULL};
  Service b = {"b", {"a"}, start_traced, NULL, stop_traced, NULL};
  Service a = {"a", {NULL}, start_traced, NULL, stop_traced, &a};
  start_stop_trace[0] = '\0';
  cr_assert(service_add(&k, &c, &e) && service_add(&k, &b, &e) &&
            service_add(&k, &a, &e));
  cr_assert(service_start(&k, &e));
  service_stop(&k);
  cr_assert_str_eq(start_stop_trace, "abc-c-b-a");
  cr_assert_eq(service_find(&k, "a"), &a);
  cr_assert_null(service_find(&k, "z"));
}

Test(service, a_missing_dependency_is_named) {
  Kernel k = {0};
  Err e = {0};
  Service c = {"c", {"gone"}, start_traced, NULL, stop_traced, NULL};
  service_add(&k, &c, &e);
  cr_assert_not(service_start(&k, &e));
  cr_assert_not_null(strstr(e.text, "gone"));
}

Test(service, a_cyclic_dependency_is_rejected) {
  Kernel k = {0};
  Err e = {0};
  Service a = {"a", {"b"}, start_traced, NULL, stop_traced, NULL};
  Service b = {"b", {"a"}, start_traced, NULL, stop_traced, NULL};
  service_add(&k, &a, &e);
  service_add(&k, &b, &e);
  cr_assert_not(service_start(&k, &e));
}

Test(err, every_kind_has_a_name_a_status_and_a_remedy) {
  for (int i = 1; i < ERR_COUNT; i++) {
    const ErrInfo *n = err_info((ErrKind)i);
    cr_assert_not_null(n->name, "kind %d", i);
    cr_assert(n->status >= 400 && n->status < 600, "%s", n->name);
    cr_assert_gt(strlen(n->remedy), 0, "%s", n->name);
  }
}

Test(pace, calls_stay_within_the_rate_and_urgent_ones_go_first) {
  Pace p;
  int urgent = 0, later = 0;
  pace_init(&p, 10, 0);
  while (pace_take(&p, 0, false) <= 0) later++;
  while (pace_take(&p, 0, true) <= 0) urgent++;
  cr_assert_eq(later, 5);
  cr_assert_eq(urgent, 5);
  for (int i = 0; i < 1000; i++) urgent += pace_take(&p, i * 0.01, true) <= 0;
  cr_assert(urgent >= 100 && urgent <= 105, "%d in ten seconds", urgent);
}

/* The store's rate limit is shared by the fleet: after an outage all instances
   call at once. */
Test(pace, a_share_of_the_rate_from_now_on) {
  Pace p;
  int calls = 0;
  pace_init(&p, 10, 0);
  pace_set_rate(&p, 0.25, 0);
  for (int i = 0; i <= 1000; i++) calls += pace_take(&p, i * 0.01, true) <= 0;
  cr_assert_eq(calls, 4, "two at once, then one every four seconds: %d", calls);
  pace_set_rate(&p, 10, 10);
  calls = 0;
  for (int i = 0; i <= 1000; i++)
    calls += pace_take(&p, 10 + i * 0.01, true) <= 0;
  cr_assert(calls >= 99 && calls <= 101, "%d", calls);
}

/* Guards against an instance that does not start since a template was filled in
   with nothing. */
Test(kernel, an_empty_setting_means_its_default) {
  Setting list[] = {
      {"n", "TEST_SETTING_N", SETTING_NUMBER, "7", "", 1, 9, NULL},
      {"a", "TEST_SETTING_A", SETTING_ADDRESS, "1.2.3.4:5", "", 0, 0, NULL},
      {"t", "TEST_SETTING_T", SETTING_TEXT, "text", "", 0, 0, NULL},
      {"f", "TEST_SETTING_F", SETTING_FLAG, "on", "", 0, 0, NULL},
      {NULL, NULL, SETTING_TEXT, NULL, NULL, 0, 0, NULL}};
  char *argv[] = {"test", NULL};
  Err e = {0};
  for (int i = 0; list[i].flag; i++) setenv(list[i].env, "", 1);
  cr_assert(settings_read(list, 1, argv, "test", &e), "%s", e.text);
  cr_assert_eq(settings_number(list, "n"), 7);
  cr_assert_str_eq(settings_text(list, "a"), "1.2.3.4:5");
  cr_assert_str_eq(settings_text(list, "t"), "text");
  cr_assert(settings_flag(list, "f"));
}

/* Guards against an error whose text JSON can't hold: there was no answer to
   send, which ended the process. */
Test(kernel, the_text_of_an_error_is_utf8) {
  static const struct {
    const char *given, *stated;
  } rows[] = {{"m\xfcnchen", "m?nchen"},
              {"m\xc3\xbcnchen", "m\xc3\xbcnchen"},
              {"\xc3", "?"},
              {"a\x80"
               "b\xff",
               "a?b?"},
              {"\xed\xa0\x80", "???"},
              {"", ""}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    Err e;
    err_set(&e, ERR_MALFORMED, "%s", rows[i].given);
    cr_assert_str_eq(e.text, rows[i].stated);
  }
  Err cut;
  err_set(&cut, ERR_MALFORMED, "%.2s", "x\xc3\xbc");
  cr_assert_str_eq(cut.text, "x?");
}
