/* test_calls.c: calls to the store are counted by purpose, every count is
   returned once, and the report sums them. */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "report/account.h"
#include "store/calls.h"

Test(calls, are_returned_as_counts_since_the_previous_call) {
  Calls *c = calls_new();
  calls_record(c, "servers", CALLS_READER, CALLS_WATCH, CALLS_EMPTY, false);
  calls_record(c, "servers", CALLS_READER, CALLS_WATCH, CALLS_EMPTY, false);
  calls_record(c, "budgets", CALLS_BUDGET, CALLS_PUT, CALLS_REFUSED, true);
  json_t *unreported = calls_take_unreported(c);
  cr_assert_eq(json_array_size(unreported), 2);
  json_decref(unreported);
  cr_assert_null(calls_take_unreported(c));
  calls_record(c, "servers", CALLS_READER, CALLS_WATCH, CALLS_EMPTY, false);
  unreported = calls_take_unreported(c);
  char *text = json_dumps(unreported, JSON_COMPACT);
  cr_assert_str_eq(text,
                   "[[\"servers\",\"reader\",\"watch\",\"empty\",false,1]]");
  free(text);
  json_decref(unreported);
  calls_free(c);
}

Test(calls, are_printed_as_metrics) {
  Calls *c = calls_new();
  GString *out = g_string_new(NULL);
  calls_record(c, "budgets", CALLS_BUDGET, CALLS_PUT, CALLS_REFUSED, true);
  calls_print_metrics(c, out);
  cr_assert_not_null(
      strstr(out->str, "loftpath_store_calls_total{kind=\"budgets\",purpose="
                       "\"budget\",op=\"put\",outcome=\"refused\",trouble="
                       "\"1\"} 1\n"));
  g_string_free(out, TRUE);
  calls_free(c);
}

Test(calls, are_summed_over_instances_the_largest_first) {
  static const char *const lines[] = {
      "{\"t\":1,\"event\":\"store-calls\",\"calls\":[[\"config\",\"self\","
      "\"get\",\"served\",false,3],[\"servers\",\"reader\",\"watch\",\"empty\","
      "true,2]]}",
      "{\"t\":2,\"event\":\"store-calls\",\"calls\":[[\"servers\",\"reader\","
      "\"watch\",\"empty\",false,5],[\"damaged\"]]}"};
  ReportLosses *a = report_losses_new();
  for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
    json_t *line = json_loads(lines[i], 0, NULL);
    report_losses_add(a, line);
    json_decref(line);
  }
  char *text = NULL;
  size_t n;
  FILE *out = open_memstream(&text, &n);
  report_losses_print(a, out);
  fclose(out);
  const char *first = strstr(text, "reader   servers      watch     empty");
  const char *second = strstr(text, "self     config       get       served");
  cr_assert(first && second && first < second, "%s", text);
  cr_assert_not_null(strstr(first, "       5        2"));
  cr_assert_not_null(strstr(text, "10 calls to the store"));
  free(text);
  report_losses_free(a);
}
