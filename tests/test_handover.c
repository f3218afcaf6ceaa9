/* test_handover.c: the list of targets on its way from neighbour to neighbour:
   its text, who is asked when, and what is handed out.

   The load that this answers: a thousand instances start together, or half of
   them after a loss of power, before ten thousand targets; the store gives 200
   entries a page, and each page has its price. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/handover.h"
#include "node/giving.h"
#include "route/roster.h"

#define NOW 100.0

static TargetInfo info(int i) {
  TargetInfo t = {.slots = 64, .revision = (uint64_t)(1000 + i), .born = 7 + i};
  snprintf(t.id, sizeof t.id, "i-%08x", (unsigned)i * 2654435761U);
  snprintf(t.addr, sizeof t.addr, "10.0.%d.%d:80", i / 256, i % 256);
  g_strlcpy(t.service, i % 30 ? "models" : "desk", sizeof t.service);
  g_strlcpy(t.dc, i % 2 ? "a" : "b", sizeof t.dc);
  return t;
}

static Targets *some(int n) {
  Targets *s = targets_new("a", 1);
  for (int i = 0; i < n; i++) {
    TargetInfo t = info(i);
    targets_set(s, NOW, &t);
  }
  return s;
}

static void take(void *ctx, const TargetInfo *t) {
  targets_set(ctx, NOW, t);
}

/* Copies all parts; their number and bytes. */
static int copy(Targets *from, Targets *to, size_t *bytes) {
  RosterAt at = {0};
  bool more = true;
  int parts = 0;
  for (*bytes = 0; more; parts++) {
    char *text = roster_part(from, NOW, &at, &more);
    Packed p = packed_new(text);
    *bytes += p.n;
    cr_assert(roster_read(text, take, to));
    packed_free(&p);
    free(text);
  }
  return parts;
}

Test(handover, a_list_arrives_whole_in_parts_of_bounded_size) {
  static const int sizes[] = {0, 1, 499, 500, 501, 10000, 20000};
  for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
    int n = sizes[k];
    Targets *s = some(n), *t = targets_new("b", 2);
    size_t bytes;
    int parts = copy(s, t, &bytes);
    cr_assert_leq(parts, n / ROSTER_ROWS + 3, "%d", n);
    cr_assert_eq(targets_count(t, "models") + targets_count(t, "desk"), n);
    for (int i = 0; i < n; i += 97) {
      TargetInfo x = info(i);
      cr_assert_eq(targets_life(t, x.id), targets_life(s, x.id));
    }
    cr_assert_leq(bytes / (size_t)MAX(n, 1), n > 500 ? 60 : 400, "%d", n);
    targets_free(s);
    targets_free(t);
  }
}

Test(handover, who_has_left_is_not_in_it_and_who_leaves_is) {
  Targets *s = some(3), *t = targets_new("b", 2);
  TargetInfo leaves = info(1);
  size_t bytes;
  leaves.leaving = true;
  leaves.revision = 5000;
  targets_set(s, NOW, &leaves);
  targets_gone(s, NOW, info(2).id, false);
  copy(s, t, &bytes);
  cr_assert_neq(targets_life(t, info(0).id), 0);
  cr_assert_neq(targets_life(t, leaves.id), 0);
  cr_assert_eq(targets_life(t, info(2).id), 0);
  cr_assert_eq(targets_count(t, "models") + targets_count(t, "desk"), 1);
  targets_free(s);
  targets_free(t);
}

Test(handover, a_damaged_part_brings_nothing) {
  static const char *const bad[] = {
      "", "[]", "{}", "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":7}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[1]]}",
      /* one good row, one that names no service */
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,4,false,0,0,9],[\"y\",\"1.1.1.1:1\",3,0,4,false,0,0,9]]}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,-4,false,0,0,9]]}",
      "{\"services\":[\"s\"],\"dcs\":[\"a\"],\"rows\":[[\"x\",\"1.1.1.1:1\",0,"
      "0,4,false,0,0,9,9]]}"};
  Targets *t = targets_new("b", 2);
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
    cr_assert_not(roster_read(bad[i], take, t), "%s", bad[i]);
  cr_assert_eq(targets_count(t, "s"), 0);
  targets_free(t);
}

/* == who is asked == */

Test(handover, one_neighbour_is_asked_at_a_time_and_part_by_part) {
  Handover h = {0};
  cr_assert(handover_heard(&h, 1, "n1"));
  cr_assert_not(handover_heard(&h, 1.1, "n2"), "one is asked");
  cr_assert_eq(handover_took(&h, 1.2, "n2", 0, 50, true), HANDOVER_STRAY);
  cr_assert_eq(handover_took(&h, 1.2, "n1", 3, 50, true), HANDOVER_STRAY);
  cr_assert_eq(handover_took(&h, 1.2, "n1", 0, 50, true), HANDOVER_FIRST);
  cr_assert(h.next.part == 1 && h.next.at == 50);
  cr_assert_eq(handover_took(&h, 1.3, "n1", 1, 50, true), HANDOVER_PART);
  cr_assert_eq(handover_took(&h, 1.3, "n1", 1, 50, true), HANDOVER_STRAY);
  cr_assert_eq(handover_took(&h, 1.4, "n1", 2, 49, true), HANDOVER_STRAY);
  cr_assert_eq(handover_took(&h, 1.4, "n1", 0, 60, true), HANDOVER_FIRST,
               "the list was made anew");
  cr_assert_eq(handover_took(&h, 1.5, "n1", 1, 60, false), HANDOVER_WHOLE);
}

Test(handover, silence_leads_to_another_neighbour_and_then_to_the_store) {
  Handover h = {0};
  double now = 1;
  for (int k = 0; k < HANDOVER_SILENT; k++) {
    int asked = 1;
    cr_assert_not(handover_alone(&h, now, 1, 0));
    cr_assert(handover_heard(&h, now, k ? "n2" : "n1"));
    for (; h.from[0]; now += 0.2) asked += handover_overdue(&h, now);
    cr_assert_eq(asked, HANDOVER_TRIES);
  }
  cr_assert(handover_alone(&h, now, 1, 1));
  cr_assert_lt(now, 5, "the balancer waits");
}

Test(handover, who_has_nothing_yet_is_no_reason_to_ask_the_store) {
  Handover h = {0};
  for (int k = 0; k < 20; k++) {
    cr_assert(handover_heard(&h, k * 0.3, "n1"));
    handover_not_yet(&h, "n2");
    cr_assert_str_eq(h.from, "n1", "it was not asked");
    handover_not_yet(&h, "n1");
    cr_assert_not(handover_alone(&h, k * 0.3, 0, 0.5));
  }
  cr_assert(handover_alone(&h, 2 * HANDOVER_ALONE_S + 0.1, 0, 1));
}

/* == what is handed out == */

typedef struct Giver {
  Targets *targets;
  int made;
} Giver;

static char *make(void *ctx, RosterAt *at, bool *more) {
  Giver *g = ctx;
  g->made++;
  return roster_part(g->targets, NOW, at, more);
}

static void count(void *ctx, const CodecFeed *m) {
  (void)m;
  ++*(int *)ctx;
}

Test(handover, parts_are_made_once_for_all_who_ask) {
  Giver g = {.targets = some(1700)};
  Giving *x = giving_new(make, &g);
  CodecFeed m;
  for (int child = 0; child < 16; child++) {
    HandoverAsk ask = {0};
    bool more = true;
    while (more) {
      cr_assert(giving_get_part(x, NOW + child * 0.1, 700, &ask, &m));
      cr_assert(m.from == ask.part && m.at == 700);
      more = m.lapsed;
      ask = (HandoverAsk){.part = ask.part + 1, .at = 700};
    }
    cr_assert_not(giving_get_part(x, NOW, 700, &ask, &m), "there are no more");
  }
  cr_assert_leq(g.made, 5);
  giving_free(x);
  targets_free(g.targets);
}

Test(handover, what_came_since_goes_with_the_list_and_an_old_one_is_made_anew) {
  Giver g = {.targets = some(10)};
  Giving *x = giving_new(make, &g);
  CodecFeed m, word = {.kind = 1, .from = 700, .at = 705};
  HandoverAsk first = {0}, stale = {.part = 1, .at = 600};
  int words = 0;
  giving_add_update(x, &word); /* nobody asked yet */
  cr_assert(giving_get_part(x, NOW, 700, &first, &m));
  giving_add_update(x, &word);
  word.from = word.at; /* nothing new */
  giving_add_update(x, &word);
  giving_each_update(x, count, &words);
  cr_assert_eq(words, 1);
  cr_assert(giving_get_part(x, NOW + 1, 710, &stale, &m));
  cr_assert(m.from == 0 && m.at == 700, "from its beginning");
  cr_assert(giving_get_part(x, NOW + HANDOVER_KEEP_S + 1, 720, &first, &m));
  cr_assert_eq(m.at, 720);
  words = 0;
  giving_each_update(x, count, &words);
  cr_assert_eq(words, 0);
  giving_free(x);
  targets_free(g.targets);
}
