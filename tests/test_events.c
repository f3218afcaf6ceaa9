/* test_events.c: a stream is passed on in complete events, however it is
   split. */
#include <criterion/criterion.h>
#include <string.h>

#include "flow/events.h"

static const char stream[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n";

Test(events, any_split_gives_the_same_complete_events) {
  for (size_t cut = 0; cut < sizeof stream - 1; cut++) {
    Events e;
    GString *out = g_string_new(NULL);
    events_init(&e, EVENTS_NONE);
    events_feed(&e, stream, cut, out);
    events_feed(&e, stream + cut, sizeof stream - 1 - cut, out);
    cr_assert_str_eq(out->str, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(e.last_id, 2);
    cr_assert_eq(e.count, 2);
    cr_assert_str_eq(e.partial->str, "id: 3\n");
    g_string_free(out, TRUE);
    events_free(&e);
  }
}

Test(events, a_broken_stream_resumes_without_a_gap) {
  Events e;
  GString *out = g_string_new(NULL);
  events_init(&e, EVENTS_NONE);
  const char *first = "id: 1\ndata: a\n\nid: 2\nda",
             *then = "id: 2\ndata: b\n\n";
  events_feed(&e, first, strlen(first), out);
  events_drop_partial(&e);
  events_feed(&e, then, strlen(then), out);
  cr_assert_str_eq(out->str, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  g_string_free(out, TRUE);
  events_free(&e);
}

Test(events, events_that_the_caller_has_are_skipped) {
  Events e;
  GString *out = g_string_new(NULL);
  const char *again = "id: 7\ndata: x\n\nid: 8\ndata: y\n\n";
  events_init(&e, 7);
  events_feed(&e, again, strlen(again), out);
  cr_assert_str_eq(out->str, "id: 8\ndata: y\n\n");
  cr_assert_eq(e.count, 1);
  g_string_free(out, TRUE);
  events_free(&e);
}

Test(events, lines_may_end_with_a_carriage_return) {
  Events e;
  GString *out = g_string_new(NULL);
  const char *s = "id: 4\r\ndata: x\r\n\r\n";
  events_init(&e, EVENTS_NONE);
  events_feed(&e, s, strlen(s), out);
  cr_assert_eq(e.last_id, 4);
  cr_assert_eq(e.partial->len, 0);
  g_string_free(out, TRUE);
  events_free(&e);
}
