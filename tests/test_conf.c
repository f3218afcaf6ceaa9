/* test_conf.c: decoding of the operators' configuration, and lookups in it. */
#include <criterion/criterion.h>
#include <string.h>

#include "platform/document.h"

static const char text[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"A.example\",\"path_prefix\":\"/x/\",\"type\":"
    "\"stream\",\"timeout_ms\":12000,\"slo_ms\":800,\"priority\":1,\"split\":["
    "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
    "\"max_attempts\":2,\"public\":false,\"resumable\":true},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/x/y/"
    "\",\"type\":"
    "\"unsafe\",\"timeout_ms\":1000,\"slo_ms\":150,\"service\":\"s2\"}],"
    "\"services\":[{\"name\":\"s1\",\"cold_per_s\":6.6,\"engine\":{\"slots\":"
    "64,\"kv_capacity\":"
    "1000,\"stride\":3,\"kv_bytes\":1000000,\"link_mbps\":8000,"
    "\"moves\":true}},{\"name\":\"s2\"}],\"limits\":{\"max_body_bytes\":10},"
    "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\",\"k2\"],\"prepaid\":"
    "500},{\"name\":\"free\",\"api_keys\":[\"k3\"]}]}";

static Conf *decode_conf(void) {
  Err e = {0};
  json_t *o = json_loads(text, 0, NULL);
  Conf *c = document_parse_conf(o, &e);
  json_decref(o);
  return c;
}

Test(conf, longest_prefix_of_the_host_wins) {
  Conf *c = decode_conf();
  cr_assert_str_eq(conf_find_route(c, "a.example", "/x/1")->name, "r1");
  cr_assert_str_eq(conf_find_route(c, "a.example", "/x/y/1")->name, "r2");
  cr_assert_null(conf_find_route(c, "a.example", "/z/"));
  cr_assert_null(conf_find_route(c, "b.example", "/x/1"));
  conf_unref(c);
}

Test(conf, kinds_times_and_attempts_are_decoded) {
  Conf *c = decode_conf();
  const ConfRoute *r = conf_find_route(c, "a.example", "/x/1");
  cr_assert_eq(r->kind, CONF_STREAM);
  cr_assert(r->resumable);
  cr_assert_float_eq(r->timeout_s, 12, 1e-9);
  cr_assert_eq(r->max_attempts, 2);
  r = conf_find_route(c, "a.example", "/x/y/1");
  cr_assert_eq(r->kind, CONF_UNSAFE);
  cr_assert_eq(r->max_attempts, 1, "the default is the safe choice");
  cr_assert_eq(c->max_body_bytes, 10);
  conf_unref(c);
}

Test(conf, keys_budgets_and_splits_are_decoded) {
  Conf *c = decode_conf();
  cr_assert_str_eq(conf_find_customer(c, "k2")->name, "acme");
  cr_assert_eq(conf_find_customer(c, "k1")->budget_tokens, 500);
  cr_assert_eq(conf_find_customer(c, "k3")->budget_tokens, CONF_NO_BUDGET);
  cr_assert_null(conf_find_customer(c, "k4"));
  const ConfRoute *r = conf_find_route(c, "a.example", "/x/1");
  cr_assert_str_eq(conf_choose_service(r, 0.89), "s1");
  cr_assert_str_eq(conf_choose_service(r, 0.91), "s2");
  cr_assert_eq(conf_find_service(c, "s1")->tokens_per_event, 3);
  cr_assert_float_eq(conf_find_service(c, "s1")->move_s_per_token, 0.001, 1e-9);
  cr_assert_eq(conf_find_service(c, "s2")->move_s_per_token, 0,
               "not an engine");
  cr_assert_float_eq(conf_find_service(c, "s1")->cold_max_per_s, 6.6, 1e-9);
  cr_assert_eq(conf_find_service(c, "s2")->cold_max_per_s, 0, "not specified");
  cr_assert_float_eq(conf_find_service(c, "s1")->max_pause_s, 1, 1e-9);
  cr_assert_not(conf_find_service(c, "s2")->engine);
  conf_unref(c);
}

Test(conf, incomplete_configuration_is_rejected) {
  Err e = {0};
  json_t *o = json_loads("{\"version\":1}", 0, NULL);
  cr_assert_null(document_parse_conf(o, &e));
  cr_assert_eq(e.kind, ERR_TABLE);
  json_decref(o);
}

Test(conf, target_is_decoded) {
  json_t *o = json_loads(
      "{\"meta\":{\"name\":\"i-1\",\"revision\":5},\"spec\":{\"service\":"
      "\"s1\","
      "\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,\"state\":"
      "\"draining\",\"cold_left_ms\":500}}",
      0, NULL);
  Document d;
  TargetInfo t;
  cr_assert(document_read(o, &d));
  cr_assert(document_parse_target(&d, &t));
  cr_assert_str_eq(t.id, "i-1");
  cr_assert(t.leaving);
  cr_assert_eq(t.revision, 5);
  cr_assert_float_eq(t.cold_s, 0.5, 1e-9);
  json_decref(o);
}
