/* test_document.c: parsing targets' entries from the store, including invalid
   ones that another program wrote, and recovering damaged answers. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "kernel/text.h"
#include "platform/document.h"
#include "platform/salvage.h"

#define VALID_FIELDS                                                           \
  "\"service\":\"desk\",\"addr\":\"10.0.0.1:80\",\"zone\":\"a\","              \
  "\"state\":\"ready\",\"slots\":4"

/* Parses an entry with these fields. */
static bool read_entry(const char *fields, TargetInfo *t) {
  char text[1024];
  Document d;
  snprintf(text, sizeof text,
           "{\"meta\":{\"name\":\"i-1\",\"revision\":7},\"spec\":{%s}}",
           fields);
  json_t *o = json_loads(text, 0, NULL);
  cr_assert_not_null(o, "%s", text);
  cr_assert(document_read(o, &d));
  bool ok = document_parse_target(&d, t);
  json_decref(o);
  return ok;
}

Test(document, a_valid_entry_is_parsed) {
  TargetInfo t;
  cr_assert(read_entry(VALID_FIELDS, &t));
  cr_assert(strcmp(t.id, "i-1") == 0 && strcmp(t.service, "desk") == 0);
  cr_assert(strcmp(t.addr, "10.0.0.1:80") == 0 && strcmp(t.dc, "a") == 0);
  cr_assert(t.slots == 4 && t.revision == 7 && t.start_ms == 0 && !t.leaving);
  cr_assert(read_entry(VALID_FIELDS ",\"born\":1796253698643,\"seq\":3,"
                                    "\"cold_left_ms\":1500,\"phase\":\"both\"",
                       &t));
  cr_assert(t.start_ms == 1796253698643 && t.cold_s == 1.5);
  cr_assert_str_eq(t.version, "");
  cr_assert(read_entry(VALID_FIELDS ",\"version\":\"v1.2\"", &t));
  cr_assert_str_eq(t.version, "v1.2");
}

/* Guards against two versions that look equal, with names cut at one length. */
Test(document, long_version_names_differ) {
  TargetInfo one, other;
  char name[200] = {0}, fields[300];
  memset(name, 'x', sizeof name - 2);
  g_snprintf(fields, sizeof fields, VALID_FIELDS ",\"version\":\"%sa\"", name);
  cr_assert(read_entry(fields, &one));
  g_snprintf(fields, sizeof fields, VALID_FIELDS ",\"version\":\"%sb\"", name);
  cr_assert(read_entry(fields, &other));
  cr_assert_str_neq(one.version, other.version);
}

Test(document, a_draining_target_is_leaving) {
  TargetInfo t;
  cr_assert(read_entry("\"service\":\"desk\",\"addr\":\"10.0.0.1:80\","
                       "\"zone\":\"a\",\"state\":\"draining\",\"slots\":4",
                       &t));
  cr_assert(t.leaving);
}

Test(document, an_invalid_entry_is_refused) {
  static const char *const bad[] = {
      "",
      /* a field is missing */
      "\"addr\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\",\"slots\":4",
      "\"service\":\"d\",\"zone\":\"a\",\"state\":\"ready\",\"slots\":4",
      "\"service\":\"d\",\"addr\":\"1.1.1.1:1\",\"state\":\"ready\",\"slots\":"
      "4",
      "\"service\":\"d\",\"addr\":\"1.1.1.1:1\",\"zone\":\"a\",\"slots\":4",
      "\"service\":\"d\",\"addr\":\"1.1.1.1:1\",\"zone\":\"a\","
      "\"state\":\"ready\"",
      /* a field has a wrong type or an invalid value */
      VALID_FIELDS ",\"slots\":\"4\"",
      VALID_FIELDS ",\"slots\":-1",
      VALID_FIELDS ",\"slots\":99999999999",
      VALID_FIELDS ",\"service\":7",
      VALID_FIELDS ",\"service\":\"\"",
      VALID_FIELDS ",\"addr\":\"somewhere\"",
      VALID_FIELDS ",\"addr\":\"10.0.0.1\"",
      VALID_FIELDS ",\"addr\":[1]",
      VALID_FIELDS ",\"zone\":null",
      VALID_FIELDS ",\"state\":\"asleep\"",
      VALID_FIELDS ",\"state\":true",
      VALID_FIELDS ",\"born\":\"today\"",
      VALID_FIELDS ",\"born\":1.5",
      VALID_FIELDS ",\"seq\":{}",
      VALID_FIELDS ",\"cold_left_ms\":\"\"",
  };
  TargetInfo t;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    cr_assert(!read_entry(bad[i], &t), "%s", bad[i]);
}

Test(document, content_that_is_not_an_object_is_refused) {
  static const char *const bad[] = {"null", "7", "\"x\"", "[]"};
  TargetInfo t;
  for (int i = 0; i < 4; i++) {
    Document d = {.name = "i-1",
                  .content = json_loads(bad[i], JSON_DECODE_ANY, NULL)};
    cr_assert(!document_parse_target(&d, &t), "%s", bad[i]);
    json_decref(d.content);
  }
  Document none = {.name = "i-1"};
  cr_assert(!document_parse_target(&none, &t));
}

/* == answers that are not valid JSON == */

#define ENTRY(name, spec) "{\"meta\":{\"name\":\"" name "\"},\"spec\":" spec "}"

static const SalvageOptions any_values = {.max_values = SIZE_MAX,
                                          .max_all_values = SIZE_MAX};

static json_t *salvage_invalid(const char *text, int *lost) {
  cr_assert_null(json_loads(text, 0, NULL), "it is valid JSON: %s", text);
  return salvage_list(text, strlen(text), &any_values, lost);
}

static const char *name_at(json_t *o, const char *list, size_t i) {
  json_t *e = json_array_get(json_object_get(o, list), i);
  if (json_object_get(e, "object")) e = json_object_get(e, "object");
  return json_string_value(json_object_get(json_object_get(e, "meta"), "name"));
}

/* Whether of that entry only the name and, unless 0, the revision were read. */
static bool has_only_meta(json_t *o, size_t i, const char *name,
                          json_int_t revision) {
  json_t *e = json_array_get(json_object_get(o, "entries"), i);
  json_t *meta = json_object_get(e, "meta");
  return json_object_size(e) == 1 &&
         json_object_size(meta) == (revision ? 2 : 1) &&
         json_integer_value(json_object_get(meta, "revision")) == revision &&
         strcmp(name_at(o, "entries", i), name) == 0;
}

/* Guards against one entry that costs all others of its list, and against a
   list that ends early after a page whose last entry has no name. */
Test(document, an_unreadable_entry_does_not_affect_others) {
  static const char *const specs[] = {"{\"addr\":\"\xff\xfe]}\"}",
                                      "{\"slots\":1e999}", "{\"slots\":,}",
                                      "{\"a\":\"\x01\"}", "\"\\ud800\""};
  for (int i = 0; i < 5; i++) {
    char text[512];
    int lost;
    snprintf(text, sizeof text,
             "{\"at\":9,\"entries\":[" ENTRY("a", "{}") "," ENTRY(
                 "b", "%s") "," ENTRY("c", "{\"x\":[{}]}") "],\"more\":false}",
             specs[i]);
    json_t *o = salvage_invalid(text, &lost);
    cr_assert_not_null(o, "%s", text);
    cr_assert_eq(lost, 1, "%d", lost);
    cr_assert_eq(json_array_size(json_object_get(o, "entries")), 3);
    cr_assert_str_eq(name_at(o, "entries", 0), "a");
    cr_assert(has_only_meta(o, 1, "b", 0), "%s", text);
    cr_assert_str_eq(name_at(o, "entries", 2), "c");
    cr_assert_eq(json_integer_value(json_object_get(o, "at")), 9);
    json_decref(o);
  }
}

Test(document, an_unreadable_event_does_not_affect_others) {
  int lost;
  json_t *o = salvage_invalid(
      "{\"events\":[{\"object\":" ENTRY(
          "a", "{\"n\":\"\xc0\"}") ",\"gone\":false},"
                                   "{\"object\":" ENTRY(
                                       "b", "{}") ",\"gone\":true}],"
                                                  "\"at\":12}",
      &lost);
  cr_assert_not_null(o);
  cr_assert_eq(lost, 1);
  cr_assert_str_eq(name_at(o, "events", 0), "b");
  cr_assert_eq(json_integer_value(json_object_get(o, "at")), 12);
  json_decref(o);
}

Test(document, an_answer_without_a_list_is_not_salvaged) {
  static const char *const bad[] = {"",
                                    "{",
                                    "nonsense",
                                    "{\"at\":}",
                                    "{\"entries\":7,}",
                                    "{\"entries\":[",
                                    "{\"entries\":[{\"a\":\"\xff"};
  int lost;
  for (int i = 0; i < 7; i++)
    cr_assert_null(salvage_invalid(bad[i], &lost), "%s", bad[i]);
}

/* Truncated and altered text is parsed or refused; the parser never reads past
   its end. */
Test(document, damage_anywhere_is_tolerated) {
  const char *valid = "{\"entries\":[" ENTRY("a", "{\"x\":\"\\\"\"}") "," ENTRY(
      "b", "{}") "],\"at\":3}";
  size_t n = strlen(valid);
  for (size_t cut = 0; cut <= n; cut++)
    for (int byte = 0; byte < 256; byte += 5) {
      char *text = malloc(cut + 1);
      int lost;
      memcpy(text, valid, cut);
      if (cut > 0) text[cut / 2] = (char)byte;
      json_decref(salvage_list(text, cut, &any_values, &lost));
      free(text);
    }
}

/* Readers send thousands of entries to all instances, without the fields that
   nobody reads. A trimmed entry must parse like the whole one. */
Test(document, a_trimmed_entry_parses_like_the_whole) {
  static const char *const texts[] = {
      "{\"meta\":{\"name\":\"i-1\",\"revision\":7,\"made\":5,"
      "\"finalizers\":[],\"deleting\":false},\"spec\":{" VALID_FIELDS
      ",\"born\":9,\"seq\":3,\"version\":\"v1\",\"phase\":\"both\","
      "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]},"
      "\"status\":null}",
      "{\"meta\":{\"name\":\"i-1\",\"revision\":7},\"spec\":{\"x\":1}}",
      "{\"meta\":{\"name\":\"i-1\",\"revision\":7},\"spec\":7}",
      "{\"meta\":{\"name\":\"i-1\",\"revision\":7}}"};
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++) {
    json_t *whole = json_loads(texts[i], 0, NULL);
    json_t *trimmed = document_trim(whole);
    Document a, b;
    TargetInfo x, y;
    memset(&x, 0, sizeof x);
    memset(&y, 0, sizeof y);
    cr_assert_eq(document_read(whole, &a), document_read(trimmed, &b));
    cr_assert_eq(document_parse_target(&a, &x), document_parse_target(&b, &y),
                 "%zu", i);
    cr_assert(a.revision == b.revision && strcmp(a.name, b.name) == 0);
    cr_assert_eq(memcmp(&x, &y, sizeof x), 0, "%zu", i);
    if (i == 0) cr_assert_null(json_object_get(b.content, "models"));
    json_decref(whole);
    json_decref(trimmed);
  }
}

/* A reader's first watch can return the entries of ten thousand targets at
   once; such an answer is trimmed member by member. */
Test(document, a_long_answer_is_read_member_by_member) {
  enum { N = 1000 };
  GString *text = g_string_new("{\"events\":[");
  int lost = 0;
  for (int i = 0; i < N; i++)
    g_string_append_printf(
        text,
        "%s{\"gone\":%s,\"object\":{\"meta\":{\"name\":\"i-%d\",\"revision\":"
        "%d,\"made\":1,\"finalizers\":[]},\"spec\":{" VALID_FIELDS
        ",\"phase\":\"]}\\\"both\",\"models\":[{\"name\":\"m\"}],\"seq\":%d}}}",
        i ? "," : "", i % 10 ? "false" : "true", i, i + 1, i);
  g_string_append(text, "],\"at\":4711}");
  SalvageOptions options = any_values;
  options.keep = document_trim_entry;
  json_t *o = salvage_list(text->str, text->len, &options, &lost);
  json_t *events = json_object_get(o, "events"), *e;
  size_t i;
  cr_assert(lost == 0 && json_array_size(events) == N);
  cr_assert_eq(json_integer_value(json_object_get(o, "at")), 4711);
  json_array_foreach(events, i, e) {
    Document d;
    TargetInfo t;
    cr_assert(document_read(json_object_get(e, "object"), &d));
    cr_assert(document_parse_target(&d, &t) && t.revision == i + 1);
    cr_assert_null(json_object_get(d.content, "models"));
    cr_assert_eq(json_is_true(json_object_get(e, "gone")), i % 10 == 0);
  }
  json_decref(o);
  g_string_free(text, TRUE);
}

/* Guards against one entry of many values that costs all others of its list,
   and against one whose other fields fill the memory. */
Test(document, of_entries_of_many_values_only_meta_is_read) {
  static const char text[] = "{\"entries\":[" ENTRY(
      "a",
      "{}") ",{\"spec\":[1,2,3,4,5,6,7,8],\"x\":"
            "\"meta\",\"meta\":{\"name\":\"b\",\"revision\":7,\"finalizers\":[]"
            "}}," ENTRY("c", "{}") "],\"more\":false,\"at\":5}";
  SalvageOptions o = {.max_values = 8, .max_all_values = SIZE_MAX};
  int lost;
  json_t *list = salvage_list(text, strlen(text), &o, &lost);
  cr_assert_eq(lost, 1);
  cr_assert_str_eq(name_at(list, "entries", 0), "a");
  cr_assert(has_only_meta(list, 1, "b", 7));
  cr_assert_str_eq(name_at(list, "entries", 2), "c");
  cr_assert_eq(json_integer_value(json_object_get(list, "at")), 5);
  json_decref(list);
  o.max_all_values = 5; /* an entry without content has four */
  cr_assert_null(salvage_list(text, strlen(text), &o, &lost));
}

/* Guards against a list of other things that is taken for an empty one, by
   which all targets would be gone. */
Test(document, a_list_without_objects_is_not_salvaged) {
  static const char *const lists[] = {"{\"entries\":[1,1],\"at\":5}",
                                      "{\"entries\":[{},1],\"at\":5}"};
  int lost;
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    cr_assert_null(
        salvage_list(lists[i], strlen(lists[i]), &any_values, &lost));
}

/* A text of many values would take many times its size when it is parsed. */
Test(document, values_are_counted_without_parsing) {
  static const struct {
    const char *text;
    size_t values;
  } rows[] = {{"", 0},
              {"{}", 1},
              {"{\"a\": [1, 2, {}], \"b\": \"x,[{\\\",\"}", 6},
              {"[{},{},{", 6},
              {"[\"never closed, {", 1}};
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    cr_assert_eq(text_count_values(rows[i].text, strlen(rows[i].text)),
                 rows[i].values, "%s", rows[i].text);
}
