/* test_member.c: views, homes, heartbeats and the loss of members. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "member/member.h"

static Member member(int i) {
  Member m = {0};
  snprintf(m.id, sizeof m.id, "n%d.1", i);
  snprintf(m.region, sizeof m.region, "r%d", i % 2);
  snprintf(m.peer, sizeof m.peer, "tcp://10.0.0.%d:1", i);
  return m;
}

Test(view, a_loss_moves_only_its_own_share) {
  Member list[10];
  for (int i = 0; i < 10; i++) list[i] = member(i);
  View *all = view_new(list, 10), *less = view_new(list, 9);
  int moved = 0, was_there = 0;
  for (uint64_t k = 0; k < 1000; k++) {
    const Member *a = view_home(all, NULL, k, 0);
    const Member *b = view_home(less, NULL, k, 0);
    bool lost = strcmp(a->id, "n9.1") == 0;
    was_there += lost;
    moved += !lost && strcmp(a->id, b->id) != 0;
    if (lost) cr_assert_str_eq(b->id, view_home(all, NULL, k, 1)->id);
  }
  cr_assert_eq(moved, 0);
  cr_assert(was_there > 50 && was_there < 150, "%d of 1000", was_there);
  view_free(all);
  view_free(less);
}

Test(view, homes_stay_in_their_region_and_are_not_leaving) {
  Member list[4];
  for (int i = 0; i < 4; i++) list[i] = member(i);
  list[2].leaving = true;
  View *v = view_new(list, 4);
  for (uint64_t k = 0; k < 50; k++)
    cr_assert_str_eq(view_home(v, "r0", k, 0)->id, "n0.1");
  cr_assert_null(view_home(v, "r0", 1, 1));
  cr_assert_null(view_home(v, "r9", 1, 0));
  view_free(v);
}

Test(view, the_first_choices_are_those_by_rank) {
  Member list[40];
  const Member *first[VIEW_MAX_HOMES];
  for (int i = 0; i < 40; i++) list[i] = member(i);
  list[4].leaving = true;
  View *v = view_new(list, 40);
  for (uint64_t k = 0; k < 50; k++) {
    int n = view_homes(v, "r0", k, first, VIEW_MAX_HOMES);
    cr_assert_eq(n, VIEW_MAX_HOMES);
    for (int i = 0; i < n; i++)
      cr_assert_eq(first[i], view_home(v, "r0", k, i), "key %d rank %d", (int)k,
                   i);
  }
  cr_assert_eq(view_homes(v, "r9", 1, first, 3), 0);
  view_free(v);
}

Test(member, missed_heartbeats_or_a_restart_remove_a_member) {
  Member self = member(0), other = member(1);
  MemberSet *s = member_new(&self);
  cr_assert(member_receive_heartbeat(s, 1, &other));
  cr_assert_not(member_receive_heartbeat(s, 2, &other), "nothing new");
  Member again = other;
  snprintf(again.id, sizeof again.id, "n1.2");
  cr_assert(member_receive_heartbeat(s, 3, &again));
  View *v = member_view(s, 3);
  cr_assert_eq(v->n, 2);
  cr_assert_null(view_find(v, "n1.1"));
  view_free(v);
  cr_assert_not(member_tick(s, 3 + MEMBER_HEARTBEAT_S *
                                       (MEMBER_MAX_MISSED_HEARTBEATS - 1)));
  cr_assert(
      member_tick(s, 3 + MEMBER_HEARTBEAT_S * MEMBER_MAX_MISSED_HEARTBEATS));
  member_free(s);
}

Test(member, the_platforms_list_marks_leaving_members) {
  Member self = member(0), other = member(1);
  MemberSet *s = member_new(&self);
  member_receive_heartbeat(s, 1, &other);
  MemberSeed seed = {.name = "n1", .leaving = true};
  cr_assert(member_apply_list(s, 1, &seed, 1));
  View *v = member_view(s, 3);
  cr_assert(view_find(v, "n1.1")->leaving);
  cr_assert_not(view_find(v, "n0.1")->leaving);
  view_free(v);
  member_free(s);
}

/* A new table takes moments to reach all: a member whose table advances is not
   stale, one whose table stays is. */
Test(member, a_stale_table_is_told_apart_from_an_advancing_one) {
  Member self = member(0), other = member(1);
  MemberSet *s = member_new(&self);
  member_receive_heartbeat(s, 1, &other);
  member_update_self(s, false, 7);
  View *v = member_view(s, 1.5);
  cr_assert_float_eq(view_find(v, "n1.1")->table_stale_s, 0.5, 1e-9);
  view_free(v);
  other.table = 5; /* older than ours, but newer than before */
  member_receive_heartbeat(s, 9, &other);
  v = member_view(s, 10);
  cr_assert_float_eq(view_find(v, "n1.1")->table_stale_s, 1, 1e-9);
  view_free(v);
  member_receive_heartbeat(s, 20, &other);
  v = member_view(s, 21);
  cr_assert_float_eq(view_find(v, "n1.1")->table_stale_s, 12, 1e-9);
  cr_assert_eq(view_find(v, "n0.1")->table_stale_s, 0);
  view_free(v);
  other.table = 7;
  member_receive_heartbeat(s, 22, &other);
  member_update_self(s, false,
                     8); /* a new table: `other` had the latest a moment ago */
  v = member_view(s, 23);
  cr_assert_float_eq(view_find(v, "n1.1")->table_stale_s, 1, 1e-9);
  view_free(v);
  member_free(s);
}

/* == heartbeats == */

/* Number of heartbeats due at `now`; in *near those within our region. */
static int count_heartbeats(MemberSet *s, double now, int *near) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(MemberHeartbeat));
  member_collect_heartbeats(s, now, due);
  int n = (int)due->len;
  *near = 0;
  for (int i = 0; i < n; i++)
    *near += g_array_index(due, MemberHeartbeat, i).heartbeat_interval_s < 10;
  g_array_free(due, TRUE);
  return n;
}

static MemberSet *large_fleet(void) {
  Member self = member(0);
  snprintf(self.region, sizeof self.region, "g0");
  MemberSet *s = member_new(&self);
  for (int i = 1; i < 350; i++) {
    Member m = member(i);
    snprintf(m.region, sizeof m.region, "g%d", i % 7);
    m.heartbeat_interval_s = i % 7 == 0 ? 5.4 : 187;
    member_receive_heartbeat(s, 1, &m);
  }
  return s;
}

/* The first greetings are lost while a link is set up, so several are sent. */
static int count_greetings(MemberSet *s, double from) {
  int n = 0, near;
  for (int i = 1; i <= 8; i++) n += count_heartbeats(s, from + i * 0.25, &near);
  return n;
}

Test(member, heartbeats_of_a_large_fleet_are_spread_out) {
  MemberSet *s = large_fleet();
  int all = 0, near_all = 0, near;
  cr_assert_eq(count_heartbeats(s, 1, &near), 349,
               "each new member is greeted");
  count_greetings(s, 1);
  for (double now = 3; now < 603; now += 0.1) {
    all += count_heartbeats(s, now, &near);
    near_all += near;
  }
  cr_assert(all * 160 / 600.0 <=
                MEMBER_NEAR_BYTES_PER_S + MEMBER_FAR_BYTES_PER_S,
            "%d", all);
  cr_assert(near_all >= 49 * 600 / 6, "every 6 s within the region: %d",
            near_all);
  cr_assert(all - near_all >= 300 * 3, "every 200 s to other regions: %d", all);
  member_free(s);
}

Test(member, a_loss_in_a_large_region_is_detected_in_half_a_minute) {
  MemberSet *s = large_fleet();
  cr_assert_not(member_tick(s, 33));
  cr_assert(member_tick(s, 1 + 5.4 * MEMBER_MAX_MISSED_HEARTBEATS));
  View *v = member_view(s, 34);
  cr_assert_eq(v->n, 1 + 300, "the other regions' intervals are longer");
  view_free(v);
  member_free(s);
}

Test(member, a_new_member_is_greeted_at_once) {
  MemberSet *s = large_fleet();
  int near;
  count_heartbeats(s, 1, &near);
  count_greetings(s, 1);
  Member m = member(400);
  snprintf(m.region, sizeof m.region, "g3");
  member_receive_heartbeat(s, 4, &m);
  cr_assert_eq(count_heartbeats(s, 4, &near), 1);
  cr_assert_eq(count_greetings(s, 4), 3, "and several times more");
  MemberSeed seed = {.name = "n500", .peer = "tcp://10.0.9.9:1"};
  member_apply_list(s, 6.1, &seed, 1);
  cr_assert_eq(count_heartbeats(s, 6.1, &near), 1);
  member_apply_list(s, 6.2, &seed, 1);
  cr_assert_eq(count_heartbeats(s, 6.2, &near), 0,
               "not after each read of the list");
  member_expedite_heartbeats(s);
  cr_assert_eq(count_heartbeats(s, 6.3, &near), 351,
               "an urgent change is sent to all");
  member_free(s);
}

Test(member, a_small_fleet_sends_heartbeats_twice_a_second) {
  Member self = member(0), other = member(1);
  MemberSet *s = member_new(&self);
  member_receive_heartbeat(s, 1, &other);
  int near, n = 0;
  for (int i = 0; i < 40; i++) n += count_heartbeats(s, 1 + i * 0.25, &near);
  cr_assert_eq(n, 20);
  member_free(s);
}

Test(member, an_introduced_instance_is_a_member_after_its_heartbeat) {
  Member self = member(0), other = member(1);
  MemberSet *s = member_new(&self);
  int near;
  member_add_introduced(s, 1, &other);
  View *v = member_view(s, 1);
  cr_assert_eq(v->n, 1, "an introduction is no heartbeat");
  view_free(v);
  cr_assert_eq(count_heartbeats(s, 1, &near), 1);
  member_receive_heartbeat(s, 1.1, &other);
  v = member_view(s, 1.2);
  cr_assert_eq(v->n, 2);
  view_free(v);
  member_add_introduced(s, 2, &self);
  cr_assert_eq(count_heartbeats(s, 1.2, &near), 1,
               "only the greeting of the new member");
  member_free(s);
}

Test(member, a_change_of_the_view_is_announced_with_heartbeats) {
  Member self = member(0), a = member(1), b = member(2);
  MemberSet *s = member_new(&self);
  member_receive_heartbeat(s, 1, &a);
  cr_assert_null(member_pick_introduction(s, 1, a.peer),
                 "no other member is known");
  member_receive_heartbeat(s, 1, &b);
  bool introduced = false;
  for (int i = 0; i < 4; i++) {
    const Member *m = member_pick_introduction(s, 2, a.peer);
    if (m) cr_assert_str_eq(m->id, b.id, "no member is introduced to itself");
    introduced |= m != NULL;
  }
  cr_assert(introduced);
  cr_assert_null(member_pick_introduction(s, 60, a.peer),
                 "an unchanged view is not announced");
  member_free(s);
}

/* While many instances started, all greetings to a seed were lost, and the next
   one came only after 112 s. */
Test(member, an_unresponsive_seed_is_greeted_again_soon) {
  Member self = member(0);
  MemberSet *s = member_new(&self);
  MemberSeed seed = {.name = "seed", .peer = "tcp://10.0.9.9:1"};
  int near, n = 0;
  member_apply_list(s, 1, &seed, 1);
  for (int i = 0; i < 20; i++) n += count_heartbeats(s, 1 + i * 0.1, &near);
  cr_assert_geq(n, 9, "every 0.2 s, while all may be starting: %d", n);
  n = 0;
  for (int i = 20; i < 600; i++) n += count_heartbeats(s, 1 + i * 0.1, &near);
  cr_assert_geq(n, 6, "then 0.2, 0.4 and so on to 30 seconds apart: %d", n);
  cr_assert_leq(n, 9);
  member_free(s);
}
