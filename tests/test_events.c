/* test_events.c: a stream is passed on in complete events, however it is
   split. */
#include <criterion/criterion.h>
#include <string.h>

#include "flow/events.h"
#include "kernel/limits.h"

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

static const char end[] = "\r\n\r\n";

/* Feeds an event of `n` bytes in pieces; returns whether all were accepted. */
static bool feed_event(Events *e, size_t n, size_t piece, GString *out) {
  GString *s = g_string_new("id: 1\r\ndata: ");
  bool ok = true;
  while (s->len < n - strlen(end)) g_string_append_c(s, 'x');
  g_string_append(s, end);
  for (size_t at = 0; ok && at < s->len; at += piece)
    ok = events_feed(e, s->str + at, MIN(piece, s->len - at), out);
  g_string_free(s, TRUE);
  return ok;
}

/* An event without end would be held until the memory is full. */
Test(events, an_event_over_the_limit_is_refused_however_it_is_split) {
  static const size_t pieces[] = {1, 7, 4096, LIMIT_EVENT_BYTES * 2};
  for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
    Events e;
    GString *out = g_string_new(NULL);
    events_init(&e, EVENTS_NONE);
    cr_assert(feed_event(&e, LIMIT_EVENT_BYTES, pieces[i], out));
    cr_assert_eq(out->len, LIMIT_EVENT_BYTES);
    cr_assert_not(feed_event(&e, LIMIT_EVENT_BYTES + 1, pieces[i], out));
    cr_assert_eq(out->len, LIMIT_EVENT_BYTES);
    cr_assert_leq(e.partial->len, LIMIT_EVENT_BYTES + pieces[i]);
    events_drop_partial(&e);
    cr_assert(feed_event(&e, 40, pieces[i], out) && e.count == 1);
    g_string_free(out, TRUE);
    events_free(&e);
  }
}

/* Guards against a stream without an event that seems to have one. */
Test(events, comments_and_blank_lines_are_no_events) {
  Events e;
  GString *out = g_string_new(NULL);
  const char *s = ": wait\n\n\nid: 1\ndata: a\n\n: end\r\n\r\n";
  events_init(&e, EVENTS_NONE);
  events_feed(&e, s, strlen(s), out);
  cr_assert_str_eq(out->str, s);
  cr_assert_eq(e.count, 1);
  g_string_free(out, TRUE);
  events_free(&e);
}

/* Guards against a whole stream that is taken for one cut inside an event. */
Test(events, only_a_field_begins_an_event) {
  static const struct {
    const char *rest;
    bool inside;
  } rows[] = {{"", false},     {"\n", false},      {"\r\n", false},
              {": w", false},  {": w\n", false},   {"i", true},
              {"id: 2", true}, {": w\ndata", true}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    Events e;
    GString *out = g_string_new(NULL);
    events_init(&e, EVENTS_NONE);
    events_feed(&e, "id: 1\n\n", strlen("id: 1\n\n"), out);
    events_feed(&e, rows[i].rest, strlen(rows[i].rest), out);
    cr_assert_eq(events_are_inside(&e), rows[i].inside, "%s", rows[i].rest);
    g_string_free(out, TRUE);
    events_free(&e);
  }
}
