/* test_handover.c: the transfer of the list of targets between neighbours: its
   text, which neighbour is asked when, and what is handed out.

   The case behind it: a thousand instances start together, or half of them
   after a power loss, with ten thousand targets; the store returns 200 entries
   a page, and each page is priced. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/handover.h"
#include "node/giving.h"
#include "route/roster.h"

#define NOW 100.0

static TargetInfo make_info(int i) {
  TargetInfo t = {
      .slots = 64, .revision = (uint64_t)(1000 + i), .start_ms = 7 + i};
  snprintf(t.id, sizeof t.id, "i-%08x", (unsigned)i * 2654435761U);
  snprintf(t.addr, sizeof t.addr, "10.0.%d.%d:80", i / 256, i % 256);
  g_strlcpy(t.service, i % 30 ? "models" : "desk", sizeof t.service);
  g_strlcpy(t.dc, i % 2 ? "a" : "b", sizeof t.dc);
  return t;
}

static Targets *make_targets(int n) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < n; i++) {
    TargetInfo t = make_info(i);
    targets_set(s, NOW, &t);
  }
  return s;
}

static void set_target(void *ctx, const TargetInfo *t) {
  targets_set(ctx, NOW, t);
}

/* Copies all parts; returns their number, and their size in *bytes. */
static int copy_list(Targets *from, Targets *to, size_t *bytes) {
  RosterCursor at = {0};
  bool more = true;
  int parts = 0;
  for (*bytes = 0; more; parts++) {
    char *text = roster_part(from, NOW, &at, &more);
    Packed p = packed_new(text);
    *bytes += p.data_bytes;
    cr_assert(roster_read(text, set_target, to));
    packed_free(&p);
    free(text);
  }
  return parts;
}

Test(handover, a_list_arrives_whole_in_parts_of_bounded_size) {
  static const int sizes[] = {0, 1, 499, 500, 501, 10000, 20000};
  for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
    int n = sizes[k];
    Targets *s = make_targets(n), *t = targets_new("b", 2);
    size_t bytes;
    int parts = copy_list(s, t, &bytes);
    cr_assert_leq(parts, n / ROSTER_MAX_ROWS + 3, "%d", n);
    cr_assert_eq(targets_count(t, "models") + targets_count(t, "desk"), n);
    for (int i = 0; i < n; i += 97) {
      TargetInfo x = make_info(i);
      cr_assert_eq(targets_hash_by_id(t, x.id), targets_hash_by_id(s, x.id));
    }
    cr_assert_leq(bytes / (size_t)MAX(n, 1), n > 500 ? 60 : 400, "%d", n);
    targets_free(s);
    targets_free(t);
  }
}

Test(handover, the_list_holds_leaving_targets_but_none_that_left) {
  Targets *s = make_targets(3), *t = targets_new("b", 2);
  TargetInfo leaves = make_info(1);
  size_t bytes;
  leaves.leaving = true;
  leaves.revision = 5000;
  targets_set(s, NOW, &leaves);
  targets_remove(s, NOW, make_info(2).id, false);
  copy_list(s, t, &bytes);
  cr_assert_neq(targets_hash_by_id(t, make_info(0).id), 0);
  cr_assert_neq(targets_hash_by_id(t, leaves.id), 0);
  cr_assert_eq(targets_hash_by_id(t, make_info(2).id), 0);
  cr_assert_eq(targets_count(t, "models") + targets_count(t, "desk"), 1);
  targets_free(s);
  targets_free(t);
}

/* Guards against targets whose version is lost on the way to a neighbour. */
Test(handover, versions_are_handed_on_and_earlier_builds_send_none) {
  Targets *from = targets_new("b", 1), *to = targets_new("b", 2);
  size_t bytes;
  TargetInfo t = make_info(0), other = make_info(1);
  g_strlcpy(t.version, "v1", sizeof t.version);
  g_strlcpy(other.version, "v2", sizeof other.version);
  g_strlcpy(other.service, t.service, sizeof other.service);
  targets_set(from, NOW, &t);
  targets_set(from, NOW, &other);
  copy_list(from, to, &bytes);
  cr_assert(targets_have_versions(to, text_hash(t.service)));
  cr_assert(roster_read("{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[["
                        "\"x\",\"1.1.1.1:1\",0,0,4,false,0,0,9]]}",
                        set_target, to));
  cr_assert_eq(targets_count(to, "s"), 1);
  targets_free(from);
  targets_free(to);
}

Test(handover, a_damaged_part_adds_no_target) {
  static const char *const bad[] = {
      "", "[]", "{}", "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":7}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[1]]}",
      /* one valid row, one with an unknown service */
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,4,false,0,0,9],[\"y\",\"1.1.1.1:1\",3,0,4,false,0,0,9]]}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,-4,false,0,0,9]]}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,4,false,0,0,9,9]]}",
      /* a version that the list does not have */
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,4,false,0,0,9]],\"versions\":[\"v1\"],\"row_versions\":[1]}"};
  Targets *t = targets_new("b", 2);
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
    cr_assert_not(roster_read(bad[i], set_target, t), "%s", bad[i]);
  cr_assert_eq(targets_count(t, "s"), 0);
  targets_free(t);
}

/* == requests == */

Test(handover, one_neighbour_is_asked_at_a_time_for_one_part) {
  Handover h = {0};
  cr_assert(handover_try_neighbour(&h, 1, "n1"));
  cr_assert_not(handover_try_neighbour(&h, 1.1, "n2"), "a request is pending");
  cr_assert_eq(handover_receive_part(&h, 1.2, "n2", 0, 50, true),
               HANDOVER_UNEXPECTED);
  cr_assert_eq(handover_receive_part(&h, 1.2, "n1", 3, 50, true),
               HANDOVER_UNEXPECTED);
  cr_assert_eq(handover_receive_part(&h, 1.2, "n1", 0, 50, true),
               HANDOVER_FIRST_PART);
  cr_assert(h.next.part == 1 && h.next.revision == 50);
  cr_assert_eq(handover_receive_part(&h, 1.3, "n1", 1, 50, true),
               HANDOVER_NEXT_PART);
  cr_assert_eq(handover_receive_part(&h, 1.3, "n1", 1, 50, true),
               HANDOVER_UNEXPECTED);
  cr_assert_eq(handover_receive_part(&h, 1.4, "n1", 2, 49, true),
               HANDOVER_UNEXPECTED);
  cr_assert_eq(handover_receive_part(&h, 1.4, "n1", 0, 60, true),
               HANDOVER_FIRST_PART, "the source made a new snapshot");
  cr_assert_eq(handover_receive_part(&h, 1.5, "n1", 1, 60, false),
               HANDOVER_LAST_PART);
}

Test(handover, unresponsive_neighbours_lead_to_another_and_then_the_store) {
  Handover h = {0};
  double now = 1;
  for (int k = 0; k < HANDOVER_MAX_UNRESPONSIVE; k++) {
    int asked = 1;
    cr_assert_not(handover_must_read_store(&h, now, 1, 0));
    cr_assert(handover_try_neighbour(&h, now, k ? "n2" : "n1"));
    for (; h.source[0]; now += 0.2) asked += handover_retry_if_overdue(&h, now);
    cr_assert_eq(asked, HANDOVER_MAX_TRIES);
  }
  cr_assert(handover_must_read_store(&h, now, 1, 1));
  cr_assert_lt(now, 5, "the balancer waits");
}

Test(handover, a_neighbour_without_a_list_causes_no_store_read) {
  Handover h = {0};
  for (int k = 0; k < 20; k++) {
    cr_assert(handover_try_neighbour(&h, k * 0.3, "n1"));
    handover_note_no_list(&h, "n2");
    cr_assert_str_eq(h.source, "n1", "n2 was not asked");
    handover_note_no_list(&h, "n1");
    cr_assert_not(handover_must_read_store(&h, k * 0.3, 0, 0.5));
  }
  cr_assert(handover_must_read_store(&h, 2 * HANDOVER_FALLBACK_S + 0.1, 0, 1));
}

/* == what is handed out == */

typedef struct Giver {
  Targets *targets;
  int made;
} Giver;

static char *make_part(void *ctx, RosterCursor *at, bool *more) {
  Giver *g = ctx;
  g->made++;
  return roster_part(g->targets, NOW, at, more);
}

static void count_change(void *ctx, const CodecFeed *m) {
  (void)m;
  ++*(int *)ctx;
}

Test(handover, parts_are_made_once_for_all_requesters) {
  Giver g = {.targets = make_targets(1700)};
  Giving *x = giving_new(make_part, &g);
  CodecFeed m;
  for (int child = 0; child < 16; child++) {
    HandoverRequest request = {0};
    bool more = true;
    while (more) {
      cr_assert(giving_get_part(x, NOW + child * 0.1, 700, &request, &m));
      cr_assert(m.from == request.part && m.revision == 700);
      more = m.lapsed;
      request = (HandoverRequest){.part = request.part + 1, .revision = 700};
    }
    cr_assert_not(giving_get_part(x, NOW, 700, &request, &m),
                  "no part is left");
  }
  cr_assert_leq(g.made, 5);
  giving_free(x);
  targets_free(g.targets);
}

Test(handover, later_changes_follow_the_list_and_an_old_list_is_replaced) {
  Giver g = {.targets = make_targets(10)};
  Giving *x = giving_new(make_part, &g);
  CodecFeed m, change = {.kind = 1, .from = 700, .revision = 705};
  HandoverRequest first = {0}, stale = {.part = 1, .revision = 600};
  int n_changes = 0;
  giving_add_update(x, &change); /* no request yet */
  cr_assert(giving_get_part(x, NOW, 700, &first, &m));
  giving_add_update(x, &change);
  change.from = change.revision; /* no change */
  giving_add_update(x, &change);
  giving_each_update(x, count_change, &n_changes);
  cr_assert_eq(n_changes, 1);
  cr_assert(giving_get_part(x, NOW + 1, 710, &stale, &m));
  cr_assert(m.from == 0 && m.revision == 700, "restarts from the first part");
  cr_assert(giving_get_part(x, NOW + HANDOVER_LIST_TTL_S + 1, 720, &first, &m));
  cr_assert_eq(m.revision, 720);
  n_changes = 0;
  giving_each_update(x, count_change, &n_changes);
  cr_assert_eq(n_changes, 0);
  giving_free(x);
  targets_free(g.targets);
}
