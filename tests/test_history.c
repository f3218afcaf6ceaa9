/* test_history.c: where streams of a service's routes may have begun, by the
   configurations of the last time. */
#include <criterion/criterion.h>

#include "conf/history.h"
#include "kernel/text.h"

#define MEMORY_S 30.0

static void add_route(Conf *c, const char *prefix, const char *service,
                      const char *other) {
  ConfRoute *r = g_new0(ConfRoute, 1);
  r->name = g_strdup(prefix);
  r->host = g_strdup("a.example");
  r->prefix = g_strdup(prefix);
  r->kind = CONF_STREAM;
  r->splits[r->n_splits++] = (ConfSplit){g_strdup(service), 1};
  if (other) r->splits[r->n_splits++] = (ConfSplit){g_strdup(other), 1};
  conf_add_route(c, r);
}

static Conf *conf_of(const char *prefix, const char *service,
                     const char *other) {
  Conf *c = conf_new();
  if (prefix) add_route(c, prefix, service, other);
  conf_finish(c);
  return c;
}

/* Notes the configuration, releases the one before and returns the new one. */
static Conf *follow(ConfHistory *h, double now, Conf *old, Conf *next) {
  conf_history_note(h, now, old, next);
  if (old) conf_unref(old);
  return next;
}

static ConfHistoryKind kind_of(const ConfHistory *h, double now,
                               const char *service) {
  return conf_history_of(h, now, text_hash(service), MEMORY_S);
}

/* Guards against a stream of a service that goes on at the only version of
   another one, right after the route was moved there. */
Test(history, a_moved_route_is_remembered) {
  ConfHistory *h = conf_history_new();
  Conf *c = follow(h, 0, NULL, conf_of("/x/", "s1", NULL));
  cr_assert_eq(kind_of(h, 29, "s1"), CONF_HISTORY_SHORT);
  cr_assert_eq(kind_of(h, 31, "s1"), CONF_HISTORY_ONE);
  c = follow(h, 100, c, conf_of("/x/", "s2", NULL));
  cr_assert_eq(kind_of(h, 129, "s1"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 129, "s2"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 129, "s3"), CONF_HISTORY_ONE);
  cr_assert_eq(kind_of(h, 131, "s2"), CONF_HISTORY_ONE);
  conf_unref(c);
  conf_history_free(h);
}

/* Guards against the same at a route that takes a part of another's paths, or
   gives it back. */
Test(history, a_longer_prefix_moves_requests_too) {
  ConfHistory *h = conf_history_new();
  Conf *c = follow(h, 0, NULL, conf_of("/x/", "s1", NULL));
  Conf *both = conf_of("/x/", "s1", NULL);
  add_route(both, "/x/y/", "s2", NULL);
  conf_finish(both);
  c = follow(h, 100, c, both);
  cr_assert_eq(kind_of(h, 129, "s2"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 131, "s2"), CONF_HISTORY_ONE);
  c = follow(h, 200, c, conf_of("/x/", "s1", NULL));
  cr_assert_eq(kind_of(h, 229, "s1"), CONF_HISTORY_SEVERAL);
  conf_unref(c);
  conf_history_free(h);
}

/* Guards against the same at a route that was removed and added again, while an
   added route alone keeps no service from being the only one. */
Test(history, an_added_route_counts_after_a_removal_only) {
  ConfHistory *h = conf_history_new();
  Conf *c = follow(h, 0, NULL, conf_of(NULL, NULL, NULL));
  c = follow(h, 100, c, conf_of("/x/", "s1", NULL));
  cr_assert_eq(kind_of(h, 101, "s1"), CONF_HISTORY_ONE);
  c = follow(h, 200, c, conf_of(NULL, NULL, NULL));
  c = follow(h, 201, c, conf_of("/x/", "s2", NULL));
  cr_assert_eq(kind_of(h, 229, "s2"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 231, "s2"), CONF_HISTORY_ONE);
  conf_unref(c);
  conf_history_free(h);
}

/* Guards against the same at a split route, for as long as it is split. */
Test(history, services_of_a_split_route_are_several) {
  ConfHistory *h = conf_history_new();
  Conf *c = follow(h, 0, NULL, conf_of("/x/", "s1", "s2"));
  cr_assert_eq(kind_of(h, 1000, "s1"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 1000, "s2"), CONF_HISTORY_SEVERAL);
  c = follow(h, 1000, c, conf_of("/x/", "s2", NULL));
  cr_assert_eq(kind_of(h, 1029, "s2"), CONF_HISTORY_SEVERAL);
  cr_assert_eq(kind_of(h, 1031, "s2"), CONF_HISTORY_ONE);
  conf_unref(c);
  conf_history_free(h);
}

/* Guards against streams that outlast the memory of versions, also those that
   began before their route's time-out was lowered. */
Test(history, the_longest_stream_of_a_service_is_known) {
  ConfHistory *h = conf_history_new();
  Conf *next = conf_of("/x/", "s1", NULL);
  uint64_t s1 = text_hash("s1");
  ((ConfRoute *)next->routes->pdata[0])->timeout_s = 45;
  cr_assert_eq(conf_history_longest_s(h, 0, s1), 0);
  Conf *c = follow(h, 0, NULL, next);
  cr_assert_eq(conf_history_longest_s(h, 1000, s1), 45);
  next = conf_of("/x/", "s1", NULL);
  ((ConfRoute *)next->routes->pdata[0])->timeout_s = 20;
  c = follow(h, 1000, c, next);
  cr_assert_eq(conf_history_longest_s(h, 1044, s1), 45);
  cr_assert_eq(conf_history_longest_of_all_s(h, 1044), 45);
  next = conf_of("/x/", "s1", NULL);
  ((ConfRoute *)next->routes->pdata[0])->timeout_s = 20;
  c = follow(h, 1040, c, next);
  cr_assert_eq(conf_history_longest_s(h, 1044, s1), 45);
  cr_assert_eq(conf_history_longest_s(h, 1046, s1), 20);
  cr_assert_eq(conf_history_longest_of_all_s(h, 1046), 20);
  conf_unref(c);
  conf_history_free(h);
}

/* == routes == */

/* Guards against a proof that holds for routes which led to another service in
   between. */
Test(history, stream_routes_are_told_apart) {
  Conf *a = conf_of("/a/", "x", NULL), *same = conf_of("/a/", "x", NULL);
  Conf *split = conf_of("/a/", "x", "y"), *other = conf_of("/b/", "x", NULL);
  uint64_t x = text_hash("x"), of_a = conf_stream_routes(a, x);
  cr_assert_neq(of_a, 0);
  cr_assert_eq(of_a, conf_stream_routes(same, x));
  cr_assert_neq(of_a, conf_stream_routes(split, x));
  cr_assert_neq(of_a, conf_stream_routes(other, x));
  cr_assert_eq(conf_stream_routes(a, text_hash("y")), 0);
  conf_unref(a);
  conf_unref(same);
  conf_unref(split);
  conf_unref(other);
}
