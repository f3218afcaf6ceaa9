/* test_wire.c: decoding and encoding the header fields of callers and targets.
 */
#include <criterion/criterion.h>
#include <limits.h>
#include <string.h>

#include "flow/wire.h"
#include "kernel/limits.h"

static void fill(Headers *h, const char *const *list) {
  headers_init(h);
  for (int i = 0; list[i]; i += 2) {
    headers_append_name(h, list[i], strlen(list[i]));
    headers_append_value(h, list[i + 1], strlen(list[i + 1]));
  }
}

static const char *const request_fields[] = {
    "Host",
    "Front.Example:8080",
    "X-Loftpath-Attempt-Id",
    "a1",
    "X-Loftpath-Token-Count",
    "1460,80",
    "X-Loftpath-Prefix-Hash",
    "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    "X-Loftpath-Deadline-Ms",
    "12000",
    "Authorization",
    "Bearer secret",
    "X-Loftpath-Tenant",
    "forged",
    "X-Loftpath-Expect-Instance",
    "forged",
    "Connection",
    "keep-alive, X-Own",
    "X-Own",
    "hop",
    "X-Other",
    "kept",
    NULL};

Test(wire, a_request_is_read) {
  Headers h;
  RequestInfo a;
  Err e = {0};
  fill(&h, request_fields);
  cr_assert(wire_decode_request(&h, &a, &e));
  cr_assert_str_eq(a.id, "a1");
  cr_assert_str_eq(a.host, "front.example");
  cr_assert_str_eq(a.key, "secret");
  cr_assert_float_eq(a.deadline_s, 12, 1e-9);
  cr_assert_eq(a.prompt_tokens, 1460);
  cr_assert_eq(a.max_output_tokens, 80);
  cr_assert_eq(a.n_parts, 3);
  cr_assert_eq(a.parts[2].id, 0xe4402b7d);
  cr_assert_eq(a.parts[2].tokens, 250);
  headers_free(&h);
}

Test(wire, a_request_without_its_id_or_with_two_is_refused) {
  static const char *const none[] = {"Host", "h", NULL};
  static const char *const two[] = {"X-Loftpath-Attempt-Id", "a",
                                    "X-Loftpath-Attempt-Id", "b", NULL};
  const char *const *lists[] = {none, two};
  for (int i = 0; i < 2; i++) {
    Headers h;
    RequestInfo a;
    Err e = {0};
    fill(&h, lists[i]);
    cr_assert_not(wire_decode_request(&h, &a, &e));
    cr_assert_eq(e.kind, ERR_MALFORMED);
    headers_free(&h);
  }
}

Test(wire, a_target_gets_router_fields_and_never_the_key) {
  Headers h;
  GString *body = g_string_new("abc"), *out = g_string_new(NULL);
  RequestForward send = {.target = "i-1",
                         .donor = "1.2.3.4:80",
                         .customer = "acme",
                         .remaining_s = 1.5,
                         .priority = 2,
                         .last_event = REQUEST_NO_EVENT};
  fill(&h, request_fields);
  wire_append_request(out, "POST", "/a/b?c=d", &h, body, &send);
  cr_assert(g_str_has_prefix(out->str, "POST /a/b?c=d HTTP/1.1\r\n"));
  cr_assert(strstr(out->str, "X-Loftpath-Attempt-Id: a1\r\n"));
  cr_assert(strstr(out->str, "X-Loftpath-Deadline-Ms: 1500\r\n"));
  cr_assert(strstr(out->str, "X-Loftpath-Expect-Instance: i-1\r\n"));
  cr_assert(strstr(out->str, "Kv-Fetch: 1.2.3.4:80\r\n"));
  cr_assert(strstr(out->str, "X-Loftpath-Tenant: acme\r\n"));
  cr_assert(strstr(out->str, "X-Loftpath-Request-Priority: 2\r\n"));
  cr_assert(strstr(out->str, "X-Other: kept\r\n"));
  cr_assert(strstr(out->str, "Content-Length: 3\r\n"));
  /* The link sends the body, which is not copied. */
  cr_assert(g_str_has_suffix(out->str, "Content-Length: 3\r\n\r\n"));
  cr_assert_null(strstr(out->str, "secret"));
  cr_assert_null(strstr(out->str, "forged"));
  cr_assert_null(strstr(out->str, "X-Own"));
  g_string_free(out, TRUE);
  g_string_free(body, TRUE);
  headers_free(&h);
}

/* Guards against a stream that goes on by a forged or damaged origin. */
Test(wire, a_request_names_the_attempt_whose_stream_it_resumes) {
  char long_id[300] = {0};
  memset(long_id, 'x', sizeof long_id - 1);
  const char *const lists[][8] = {
      {"X-Loftpath-Attempt-Id", "b", "Resumes", "a", NULL},
      {"X-Loftpath-Attempt-Id", "b", NULL},
      {"X-Loftpath-Attempt-Id", "b", "Resumes", "a", "Resumes", "c", NULL},
      {"X-Loftpath-Attempt-Id", "b", "Resumes", long_id, NULL}};
  for (int i = 0; i < 4; i++) {
    Headers h;
    RequestInfo a;
    Err e = {0};
    fill(&h, lists[i]);
    cr_assert(wire_decode_request(&h, &a, &e));
    cr_assert_str_eq(a.resumes, i == 0 ? "a" : "");
    headers_free(&h);
  }
}

Test(wire, a_stream_resumes_after_the_last_passed_event) {
  static const char *const resumed[] = {"X-Loftpath-Attempt-Id", "a",
                                        "Last-Event-Id", "3", NULL};
  Headers h;
  GString *body = g_string_new(NULL), *out = g_string_new(NULL);
  RequestForward send = {
      .target = "i", .remaining_s = 1, .priority = -1, .last_event = 9};
  fill(&h, resumed);
  wire_append_request(out, "GET", "/", &h, body, &send);
  cr_assert(strstr(out->str, "Last-Event-Id: 9\r\n"));
  cr_assert_null(strstr(out->str, "Last-Event-Id: 3"));
  cr_assert_null(strstr(out->str, "Content-Length"));
  g_string_free(out, TRUE);
  g_string_free(body, TRUE);
  headers_free(&h);
}

Test(wire, an_answer_is_matched_by_its_id) {
  static const char *const list[] = {"X-Loftpath-Attempt-Id",
                                     "a1",
                                     "X-Loftpath-Server-Stamp",
                                     "s",
                                     "X-Loftpath-Server-Load",
                                     "3,1,8",
                                     "X-Loftpath-Cold-Ms",
                                     "2500",
                                     NULL};
  Headers h;
  AnswerInfo a;
  fill(&h, list);
  wire_decode_answer(&h, "a1", &a);
  cr_assert(a.id_matches && a.is_signed && a.has_load && !a.not_run);
  cr_assert_eq(a.running, 3);
  cr_assert_eq(a.slots, 8);
  cr_assert_float_eq(a.cold_s, 2.5, 1e-9);
  wire_decode_answer(&h, "a2", &a);
  cr_assert_not(a.id_matches);
  headers_free(&h);
}

/* Guards against a check that a target runs, or that another one passes. */
Test(wire, a_check_names_its_target_and_no_attempt) {
  GString *out = g_string_new(NULL);
  wire_append_target_check(out, "127.0.0.1:80", "t1");
  cr_assert_str_eq(out->str, "GET /-/report HTTP/1.1\r\n"
                             "Host: 127.0.0.1:80\r\n"
                             "X-Loftpath-Expect-Instance: t1\r\n\r\n");
  g_string_free(out, TRUE);
  Headers none, named;
  fill(&none, (const char *const[]){NULL});
  fill(&named, (const char *const[]){"X-Loftpath-Instance-Id", "t1", NULL});
  cr_assert(wire_is_from_target(&none, 200, "t1"));
  cr_assert(wire_is_from_target(&none, 400, "t1"));
  cr_assert(wire_is_from_target(&named, 503, "t1"));
  cr_assert_not(wire_is_from_target(&none, 421, "t1"));
  cr_assert_not(wire_is_from_target(&none, 502, "t1"));
  cr_assert_not(wire_is_from_target(&named, 200, "t2"));
  Headers refused;
  fill(&refused, (const char *const[]){"X-Loftpath-Not-Executed", "1", NULL});
  cr_assert(wire_is_from_target(&refused, 503, "t1"));
  headers_free(&refused);
  headers_free(&none);
  headers_free(&named);
}

Test(wire, a_refusal_has_a_retry_time) {
  GString *out = g_string_new(NULL);
  Err e = {.retry_ms = 200};
  wire_append_refusal_fields(out, "a1", &e);
  cr_assert(strstr(out->str, "Retry-After: 0.200\r\n"));
  cr_assert(strstr(out->str, "Loftpath-Ran: not-run\r\n"));
  g_string_free(out, TRUE);
}

/* Decodes an answer with this one field. */
static void read_answer(const char *field, const char *text, AnswerInfo *a) {
  const char *const list[] = {field, text, NULL};
  Headers h;
  fill(&h, list);
  wire_decode_answer(&h, "a1", a);
  headers_free(&h);
}

Test(wire, a_limit_is_a_decimal_figure_or_damaged) {
  static const struct {
    const char *text;
    AnswerLimitStatus limits;
    double limit;
  } rows[] = {
      {"1.7", ANSWER_LIMIT_GIVEN, 1.7},  {"0.7", ANSWER_LIMIT_GIVEN, 0.7},
      {"100", ANSWER_LIMIT_GIVEN, 100},  {"0", ANSWER_LIMIT_GIVEN, 0},
      {".5", ANSWER_LIMIT_GIVEN, 0.5},   {"2.", ANSWER_LIMIT_GIVEN, 2},
      {"", ANSWER_LIMIT_INVALID, 0},     {".", ANSWER_LIMIT_INVALID, 0},
      {"-1", ANSWER_LIMIT_INVALID, 0},   {"nan", ANSWER_LIMIT_INVALID, 0},
      {"inf", ANSWER_LIMIT_INVALID, 0},  {"1,7", ANSWER_LIMIT_INVALID, 0},
      {"1.7x", ANSWER_LIMIT_INVALID, 0}, {"1e9", ANSWER_LIMIT_INVALID, 0},
      {"0x10", ANSWER_LIMIT_INVALID, 0}, {"few", ANSWER_LIMIT_INVALID, 0},
  };
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
    AnswerInfo a;
    read_answer("Server-Limit", rows[i].text, &a);
    cr_assert_eq(a.limit_status, rows[i].limits, "%s", rows[i].text);
    cr_assert_float_eq(a.limit_per_s, rows[i].limit, 1e-9, "%s", rows[i].text);
  }
  Headers none;
  AnswerInfo a;
  fill(&none, (const char *const[]){NULL});
  wire_decode_answer(&none, "a1", &a);
  cr_assert_eq(a.limit_status, ANSWER_LIMIT_NONE);
  headers_free(&none);
}

Test(wire, leaving_is_stated_by_one_value_only) {
  static const struct {
    const char *text;
    bool is_leaving;
  } rows[] = {{"1", true}, {"0", false}, {"", false}, {"10", false}};
  AnswerInfo a;
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
    read_answer("Server-Leaving", rows[i].text, &a);
    cr_assert_eq(a.is_leaving, rows[i].is_leaving, "%s", rows[i].text);
  }
  read_answer("Server-Limit", "1", &a);
  cr_assert_not(a.is_leaving);
}

Test(wire, retry_after_is_a_number_of_seconds_or_damaged) {
  static const struct {
    const char *text;
    double seconds;
    bool is_invalid;
  } rows[] = {{"3", 3, false},       {"0.25", 0.25, false},
              {"0", 0, false},       {"1e9", 0, true},
              {"-3", 0, true},       {"", 0, true},
              {"soon", 0, true},     {"Wed, 21 Oct 2026 07:28:00 GMT", 0, true},
              {"99999", 3600, false}};
  AnswerInfo a;
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
    read_answer("Retry-After", rows[i].text, &a);
    cr_assert_float_eq(a.retry_after_s, rows[i].seconds, 1e-9, "%s",
                       rows[i].text);
    cr_assert_eq(a.retry_after_invalid, rows[i].is_invalid, "%s", rows[i].text);
  }
  read_answer("Server-Limit", "1", &a);
  cr_assert_eq(a.retry_after_s, 0);
  cr_assert_not(a.retry_after_invalid);
}

Test(wire, a_reported_load_is_read) {
  static const struct {
    const char *text;
    bool reported;
    int running, waiting;
    double pace; /* 0: not reported */
  } rows[] = {
      {"3,0,8", true, 3, 0, 0},
      {"3,1,8,100", true, 3, 1, 1},
      {"3,1,8,250", true, 3, 1, 2.5},
      {"3,1,8,0", true, 3, 1, 0},
      {"3,1,8,-50", true, 3, 1, 0},
      {"3,1,8,fast", true, 3, 1, 0},
      {"3,1,8,100,9", true, 3, 1, 1},
      {"3,1,8,", true, 3, 1, 0},
      {"99999999999999999999,0,8", true, INT_MAX, 0, 0},
      {"3,1,8,99999999999999999999", true, 3, 1, INT_MAX / 100.0},
      {"-3,1,8,100", false, 0, 0, 0},
      {"3,1", false, 0, 0, 0},
      {"", false, 0, 0, 0},
      {"much", false, 0, 0, 0},
  };
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
    AnswerInfo a;
    read_answer("X-Loftpath-Server-Load", rows[i].text, &a);
    cr_assert_eq(a.has_load, rows[i].reported, "%s", rows[i].text);
    cr_assert_eq(a.running, rows[i].running, "%s", rows[i].text);
    cr_assert_eq(a.waiting, rows[i].waiting, "%s", rows[i].text);
    cr_assert_float_eq(a.slowdown, rows[i].pace, 1e-6, "%s", rows[i].text);
  }
}

/* Guards against counts of tokens whose sum exceeds 64 bits, which ended the
   process. */
Test(wire, counts_of_tokens_are_bounded) {
  static const char *const counts[] = {
      "9223372036854775807,9223372036854775807", "99999999999999999999,1",
      "-5,-7", "3,4"};
  static const int64_t sums[] = {2 * LIMIT_REQUEST_TOKENS,
                                 LIMIT_REQUEST_TOKENS + 1, 0, 7};
  for (int i = 0; i < 4; i++) {
    const char *const fields[] = {"X-Loftpath-Attempt-Id", "a",
                                  "X-Loftpath-Token-Count", counts[i], NULL};
    Headers h;
    RequestInfo a;
    Err e = {0};
    fill(&h, fields);
    cr_assert(wire_decode_request(&h, &a, &e));
    cr_assert_eq(a.prompt_tokens + a.max_output_tokens, sums[i]);
    headers_free(&h);
  }
}
