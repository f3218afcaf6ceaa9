/* test_suspects.c: which targets ended, under which requests, and how those
   requests are restricted. */
#include <criterion/criterion.h>

#include <glib.h>

#include "kernel/text.h"
#include "route/suspects.h"
#include "route/trials.h"

#define NOW 100.0 /* after all marks of a test */

static Digest digest(uint64_t n) {
  return (Digest){.hi = n * 0x9e3779b97f4a7c15ULL, .lo = n};
}

static EndsMark mark(uint64_t target, uint64_t request) {
  return (EndsMark){.target = target, .digest = digest(request), .owner = 1};
}

static int count_marks(Ends *e) {
  EndsMark m;
  int n = 0;
  while (ends_next_mark(e, &m)) n++;
  return n;
}

/* == digests == */

Test(digest, digest_depends_on_part_boundaries) {
  DigestPart one[] = {{"ab", 2}, {"c", 1}}, other[] = {{"a", 1}, {"bc", 2}};
  cr_assert_not(digest_equal(digest_of(one, 2), digest_of(other, 2)));
  cr_assert(digest_equal(digest_of(one, 2), digest_of(one, 2)));
}

Test(digest, digest_text_round_trips) {
  DigestPart part = {"x", 1};
  Digest d = digest_of(&part, 1), back;
  char text[DIGEST_TEXT_BYTES];
  digest_format(d, text);
  cr_assert(digest_parse(text, &back));
  cr_assert(digest_equal(d, back));
  cr_assert_not(digest_parse("0123", &back));
  text[3] = 'x';
  cr_assert_not(digest_parse(text, &back));
}

/* == ends == */

Test(ends, refused_connection_after_a_break_means_ended) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1), n = mark(7, 2);
  cr_assert_not(ends_note_break(e, 10, &m, true, 1));
  cr_assert(ends_start_probe(e, 10, 7));
  cr_assert_not(ends_start_probe(e, 10, 7), "only one probe per break");
  cr_assert_not(ends_note_break(e, 10, &n, true, 0));
  cr_assert_eq(count_marks(e), 0);
  cr_assert(ends_note_refused(e, 10.003, 7, 0));
  cr_assert_eq(count_marks(e), 2);
  ends_free(e);
}

Test(ends, break_alone_marks_no_request) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  ends_note_break(e, 10, &m, true, 0);
  ends_note_connected(e, 10.003, 7);
  cr_assert_not(ends_note_refused(e, 10.5, 7, 0),
                "a connection was accepted before");
  cr_assert_eq(count_marks(e), 0);
  ends_free(e);
}

Test(ends, refused_connection_without_a_break_marks_no_request) {
  Ends *e = ends_new();
  cr_assert_not(ends_note_refused(e, 10, 7, 0));
  cr_assert(ends_is_idle(e));
  ends_free(e);
}

Test(ends, overloaded_target_with_open_exchanges_has_not_ended) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  ends_note_break(e, 10, &m, true, 3);
  cr_assert_not(ends_note_refused(e, 10.003, 7, 3));
  cr_assert_eq(count_marks(e), 0);
  ends_free(e);
}

Test(ends, target_has_ended_when_its_last_exchange_breaks) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1), n = mark(7, 2), o = mark(7, 3);
  ends_note_break(e, 10, &m, true, 2);
  ends_note_refused(e, 10.003, 7, 2);
  cr_assert_not(ends_note_break(e, 10.004, &n, true, 1));
  cr_assert(ends_note_break(e, 10.005, &o, true, 0));
  cr_assert_eq(count_marks(e), 3);
  ends_free(e);
}

Test(ends, long_running_request_is_not_marked) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1), n = mark(7, 2);
  ends_note_break(e, 10, &m, false, 1);
  ends_note_break(e, 10, &n, true, 0);
  ends_note_refused(e, 10.003, 7, 0);
  cr_assert_eq(count_marks(e), 1);
  ends_free(e);
}

Test(ends, restarted_target_has_ended) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  ends_note_break(e, 10, &m, true, 0);
  ends_note_connected(e, 10.003, 7);
  cr_assert(ends_note_restart(e, 10.8, 7));
  cr_assert_eq(count_marks(e), 1);
  ends_free(e);
}

Test(ends, recently_aborted_request_is_marked) {
  Ends *e = ends_new();
  EndsMark gone = mark(7, 1), m = mark(7, 2);
  ends_note_abandoned(e, 10, &gone);
  cr_assert_not(ends_start_probe(e, 10, 7),
                "an aborted exchange is no reason for a probe");
  ends_note_break(e, 10.1, &m, true, 0);
  cr_assert(ends_start_probe(e, 10.1, 7));
  ends_note_refused(e, 10.103, 7, 0);
  cr_assert_eq(count_marks(e), 2);
  ends_free(e);
}

Test(ends, old_break_is_ignored) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  ends_note_break(e, 10, &m, true, 0);
  cr_assert_not(ends_note_refused(e, 15, 7, 0));
  ends_sweep(e, 15);
  cr_assert(ends_is_idle(e));
  ends_free(e);
}

/* == suspects == */

static SuspectsMsg marked(uint64_t target, uint64_t request) {
  return (SuspectsMsg){.kind = SUSPECTS_MARK,
                       .digest = digest(request),
                       .owner = 1,
                       .target = target};
}

/* The kind of the next message; SUSPECTS_KINDS: there is none. */
static SuspectsKind next_kind(Suspects *s) {
  SuspectsMsg m;
  return suspects_next_message(s, &m) ? m.kind : SUSPECTS_KINDS;
}

Test(suspects, second_target_names_a_suspect) {
  Suspects *s = suspects_new();
  SuspectsMsg a = marked(7, 1), b = marked(8, 1);
  suspects_apply_message(s, 10, &a);
  suspects_apply_message(s, 10, &a); /* another instance saw the same end */
  cr_assert_eq(next_kind(s), SUSPECTS_KINDS);
  cr_assert_not(suspects_has(s, NOW, digest(1)));
  suspects_apply_message(s, 12, &b);
  cr_assert(suspects_has(s, NOW, digest(1)));
  cr_assert_eq(next_kind(s), SUSPECTS_NAMED);
  suspects_free(s);
}

Test(suspects, further_mark_names_a_suspect_again) {
  Suspects *s = suspects_new();
  for (uint64_t t = 7; t <= 9; t++) {
    SuspectsMsg m = marked(t, 1);
    suspects_apply_message(s, (double)t, &m);
  }
  cr_assert_eq(next_kind(s), SUSPECTS_NAMED);
  cr_assert_eq(next_kind(s), SUSPECTS_NAMED);
  suspects_free(s);
}

Test(suspects, requests_with_one_mark_are_not_named) {
  Suspects *s = suspects_new();
  for (uint64_t t = 0; t < 40; t++)
    for (uint64_t n = 0; n < 63; n++) {
      SuspectsMsg m = marked(t + 1, 1000 + t * 63 + n);
      suspects_apply_message(s, 10, &m);
    }
  cr_assert_not(suspects_has_any(s));
  suspects_free(s);
}

Test(suspects, success_between_marks_clears_the_request) {
  Suspects *s = suspects_new();
  SuspectsMsg a = marked(7, 1), b = marked(8, 1);
  suspects_apply_message(s, 10, &a);
  suspects_note_success(s, 11, digest(1));
  suspects_apply_message(s, 12, &b);
  cr_assert_not(suspects_has(s, NOW, digest(1)));
  suspects_free(s);
}

Test(suspects, instance_that_saw_a_success_clears_a_named_suspect) {
  Suspects *s = suspects_new();
  SuspectsMsg named = {.kind = SUSPECTS_NAMED,
                       .digest = digest(1),
                       .owner = 1,
                       .first_mark_age_s = 3};
  suspects_note_success(s, 10, digest(1));
  suspects_apply_message(s, 12, &named);
  cr_assert_not(suspects_has(s, NOW, digest(1)));
  cr_assert_eq(next_kind(s), SUSPECTS_CLEARED);
  named.first_mark_age_s = 1; /* its first mark is later than the success */
  suspects_apply_message(s, 12, &named);
  cr_assert(suspects_has(s, NOW, digest(1)));
  cr_assert_eq(next_kind(s), SUSPECTS_KINDS);
  suspects_free(s);
}

Test(suspects, success_clears_a_suspect_on_all_instances) {
  Suspects *s = suspects_new(), *other = suspects_new();
  SuspectsMsg named = {.kind = SUSPECTS_NAMED, .digest = digest(1), .owner = 1};
  SuspectsMsg m;
  suspects_apply_message(s, 12, &named);
  suspects_apply_message(other, 12, &named);
  suspects_note_success(s, 13, digest(1));
  cr_assert_not(suspects_has_any(s));
  cr_assert(suspects_next_message(s, &m));
  suspects_apply_message(other, 13, &m);
  cr_assert_not(suspects_has_any(other));
  suspects_free(s);
  suspects_free(other);
}

Test(suspects, flood_of_one_customer_does_not_evict_others) {
  Suspects *s = suspects_new();
  SuspectsMsg theirs = {
      .kind = SUSPECTS_NAMED, .digest = digest(1), .owner = 1};
  suspects_apply_message(s, 1, &theirs);
  for (uint64_t n = 2; n < 3000; n++) {
    SuspectsMsg m = {.kind = SUSPECTS_NAMED, .digest = digest(n), .owner = 2};
    suspects_apply_message(s, 2, &m);
  }
  cr_assert(suspects_has(s, NOW, digest(1)));
  cr_assert_not(suspects_has(s, NOW, digest(2)),
                "the oldest of the flood is evicted");
  cr_assert(suspects_has(s, NOW, digest(2999)));
  suspects_free(s);
}

Test(suspects, successes_are_not_tracked_while_no_target_ends) {
  Suspects *s = suspects_new();
  cr_assert_not(suspects_track_successes(s, 10));
  EndsMark m = mark(7, 1);
  suspects_mark(s, 10, &m);
  cr_assert(suspects_track_successes(s, 11));
  cr_assert_not(suspects_track_successes(s, 1000));
  suspects_free(s);
}

/* == parts of prompts == */

static SuspectsMsg marked_part(uint64_t target, uint64_t part) {
  SuspectsMsg m = marked(target, 0);
  m.digest = suspects_part_digest(part);
  m.is_part = true;
  return m;
}

static void mark_part(Suspects *s, double now, uint64_t part, int targets) {
  for (int i = 0; i < targets; i++) {
    SuspectsMsg m = marked_part(7 + (uint64_t)i, part);
    suspects_apply_message(s, now, &m);
  }
}

/* Guards against two targets that end at once and share a part by chance. */
Test(suspects, third_target_names_a_part) {
  Suspects *s = suspects_new();
  Digest d = suspects_part_digest(1);
  mark_part(s, 10, 1, 2);
  cr_assert_not(suspects_is_named(s, d));
  mark_part(s, 10, 1, 3);
  cr_assert(suspects_is_named(s, d));
  cr_assert_not(suspects_has(s, 10.2, d), "others may clear it");
  cr_assert(suspects_has(s, 10.3, d));
  cr_assert_not(suspects_has(s, 10.3, suspects_part_digest(2)));
  suspects_free(s);
}

Test(suspects, success_elsewhere_clears_a_part_before_it_counts) {
  Suspects *home = suspects_new(), *other = suspects_new();
  SuspectsMsg m;
  Digest d = suspects_part_digest(1);
  mark_part(home, 10, 1, 2);
  suspects_note_success(other, 10.5, d);
  mark_part(home, 11, 1, 3);
  cr_assert(suspects_next_message(home, &m));
  cr_assert(m.is_part && m.kind == SUSPECTS_NAMED);
  suspects_apply_message(other, 11.01, &m);
  cr_assert(suspects_next_message(other, &m));
  cr_assert(m.is_part && m.kind == SUSPECTS_CLEARED);
  suspects_apply_message(home, 11.02, &m);
  cr_assert_not(suspects_is_named(home, d));
  mark_part(home, 12, 1, 2);
  cr_assert_not(suspects_is_named(home, d), "the count begins anew");
  suspects_free(home);
  suspects_free(other);
}

/* A target ends under dozens of requests that share their first part. */
Test(suspects, each_part_is_marked_once_for_each_target) {
  Suspects *s = suspects_new();
  SuspectsMsg m;
  int parts = 0, requests = 0;
  for (uint64_t n = 0; n < 60; n++) {
    EndsMark x = mark(7 + n % 2, 1000 + n);
    x.n_parts = 2;
    x.parts[0] = 1;
    x.parts[1] = 2 + n % 4;
    suspects_mark(s, 10, &x);
  }
  while (suspects_next_message(s, &m)) {
    parts += m.is_part;
    requests += !m.is_part;
  }
  cr_assert_eq(requests, 60);
  cr_assert_eq(parts, 6); /* the first part and two others at each target */
  suspects_free(s);
}

Test(suspects, successes_are_kept_within_a_bound) {
  Suspects *s = suspects_new();
  Digest first = suspects_part_digest(1);
  suspects_note_success(s, 10, first);
  for (uint64_t n = 0; n < 10000; n++) {
    suspects_note_success(s, 11, digest(n));
    if (n == 3000) suspects_note_success(s, 12, first);
  }
  mark_part(s, 11.5, 1, 3);
  cr_assert(suspects_is_named(s, first), "the oldest successes are dropped");
  suspects_free(s);
}

/* == false suspects == */

#define TARGETS 10
#define SECONDS 600.0
#define STEP_S 0.01

/* One harmless request that comes repeatedly while targets end by themselves,
   with a single home and no message delay. */
typedef struct Sim {
  Suspects *s;
  GArray *attempts; /* Attempt */
  uint64_t incarnations[TARGETS], last_incarnation;
  int named;
} Sim;

typedef struct Attempt {
  double until;
  int target;
} Attempt;

static void end_attempts(Sim *p, double now) {
  for (guint i = p->attempts->len; i-- > 0;) {
    if (now < g_array_index(p->attempts, Attempt, i).until) continue;
    suspects_note_success(p->s, now, digest(1));
    g_array_remove_index_fast(p->attempts, i);
  }
}

static void end_target(Sim *p, double now, int target) {
  SuspectsMsg m = marked(p->incarnations[target], 1);
  for (guint i = p->attempts->len; i-- > 0;) {
    if (g_array_index(p->attempts, Attempt, i).target != target) continue;
    suspects_apply_message(p->s, now, &m);
    g_array_remove_index_fast(p->attempts, i);
  }
  p->incarnations[target] = ++p->last_incarnation;
  while (suspects_next_message(p->s, &m)) p->named += m.kind == SUSPECTS_NAMED;
}

/* How often it is named with `per_s` attempts of `run_s` and an end every
   `ends_s`. */
static int count_named(uint32_t seed, double per_s, double run_s,
                       double ends_s) {
  Sim p = {.s = suspects_new(),
           .attempts = g_array_new(FALSE, FALSE, sizeof(Attempt))};
  GRand *dice = g_rand_new_with_seed(seed);
  double next_run = 0, next_end = 0;
  for (int i = 0; i < TARGETS; i++) p.incarnations[i] = ++p.last_incarnation;
  for (double now = 0; now < SECONDS; now += STEP_S) {
    if (now >= next_run) {
      Attempt a = {now + run_s, g_rand_int_range(dice, 0, TARGETS)};
      g_array_append_val(p.attempts, a);
      next_run = now + 1 / per_s;
    }
    end_attempts(&p, now);
    if (now < next_end) continue;
    end_target(&p, now, g_rand_int_range(dice, 0, TARGETS));
    next_end = now + ends_s * (0.5 + g_rand_double(dice));
  }
  g_array_free(p.attempts, TRUE);
  suspects_free(p.s);
  g_rand_free(dice);
  return p.named;
}

/* An end every 0.8 s among ten targets is far more than is tolerated
   elsewhere. A harmless request may be named occasionally: it is tried at once
   and cleared. Its callers then wait for less than one try in a hundred
   requests. */
Test(suspects, harmless_request_is_rarely_named) {
  for (uint32_t seed = 1; seed <= 20; seed++) {
    int n_named = count_named(seed, 10, 0.5, 0.8);
    cr_assert_leq(n_named, 10 * SECONDS / 100, "seed %u: %d times of 6,000",
                  seed, n_named);
  }
}

/* == trials == */

static Trial trial(uint64_t request, uint64_t revision) {
  return (Trial){.digest = digest(request), .revision = revision, .tries = 1};
}

static TrialsVerdict verdict(const Trials *t, double now, bool suspect) {
  return trials_verdict(t, now, digest(1), suspect);
}

Test(trials, only_suspects_are_tried) {
  Trials *t = trials_new();
  cr_assert_eq(verdict(t, 1, false), TRIALS_FREE);
  cr_assert_eq(verdict(t, 1, true), TRIALS_TRY);
  trials_free(t);
}

Test(trials, open_trial_blocks_other_instances) {
  Trials *t = trials_new();
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x.revision = 5;
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 10, true), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 10, false), TRIALS_BUSY,
               "for an instance that missed the message, too");
  trials_free(t);
}

Test(trials, abandoned_trial_expires) {
  Trials *t = trials_new();
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x.revision = 5;
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 100, false), TRIALS_TRY,
               "another instance may try once");
  x = trials_begin(t, digest(1), 1, 2000);
  x.revision = 6;
  trials_set(t, 100, &x);
  cr_assert_eq(verdict(t, 101, false), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 200, true), TRIALS_HELD);
  trials_free(t);
}

Test(trials, ended_target_holds_the_request) {
  Trials *t = trials_new();
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x = trials_close(&x, TRIALS_ENDED);
  x.revision = 6;
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 1e6, false), TRIALS_HELD);
  trials_free(t);
}

Test(trials, inconclusive_trial_is_repeated_once) {
  Trials *t = trials_new();
  for (uint64_t revision = 1; revision <= 2; revision++) {
    cr_assert_eq(verdict(t, 10, true), TRIALS_TRY);
    Trial x = trials_begin(t, digest(1), 1, 1000);
    x = trials_close(&x, TRIALS_INCONCLUSIVE);
    x.revision = revision;
    trials_set(t, 10, &x);
  }
  cr_assert_eq(verdict(t, 10, true), TRIALS_HELD);
  trials_free(t);
}

Test(trials, unsent_request_does_not_count_as_a_try) {
  Trials *t = trials_new();
  for (uint64_t revision = 1; revision <= 9; revision++) {
    Trial x = trials_begin(t, digest(1), 1, 1000);
    x = trials_close(&x, TRIALS_UNSENT);
    x.revision = revision;
    trials_set(t, 10, &x);
    cr_assert_eq(verdict(t, 10, true), TRIALS_TRY);
  }
  trials_free(t);
}

Test(trials, removed_trial_frees_the_request) {
  Trials *t = trials_new();
  Trial x = trial(1, 3);
  trials_set(t, 10, &x);
  trials_remove(t, digest(1));
  cr_assert_eq(verdict(t, 10, false), TRIALS_FREE);
  trials_free(t);
}

Test(trials, older_revision_is_ignored) {
  Trials *t = trials_new();
  Trial held = trial(1, 6), before = trial(1, 5);
  held.ended = true;
  before.open = true;
  trials_set(t, 10, &held);
  trials_set(t, 11, &before);
  cr_assert_eq(verdict(t, 11, true), TRIALS_HELD);
  trials_free(t);
}

Test(trials, listing_removes_unlisted_trials) {
  Trials *t = trials_new();
  Trial a = trial(1, 5), b = trial(2, 6);
  char name[DIGEST_TEXT_BYTES];
  GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
  a.ended = b.ended = true;
  trials_set(t, 10, &a);
  trials_set(t, 10, &b);
  digest_format(b.digest, name);
  g_hash_table_add(names, name);
  trials_retain_only(t, names);
  cr_assert_eq(verdict(t, 10, false), TRIALS_FREE);
  cr_assert_eq(trials_verdict(t, 10, digest(2), false), TRIALS_HELD);
  g_hash_table_destroy(names);
  trials_free(t);
}

Test(trials, trial_round_trips_through_its_object) {
  Trial x = trial(1, 0), back;
  char name[DIGEST_TEXT_BYTES];
  x.owner = UINT64_MAX;
  x.by = 1ULL << 63;
  x.ended = true;
  x.began = 1700000000123;
  digest_format(x.digest, name);
  json_t *o = trials_write(&x);
  cr_assert(trials_read(name, o, 9, &back));
  cr_assert(digest_equal(back.digest, x.digest));
  cr_assert(back.owner == x.owner && back.by == x.by && back.ended);
  cr_assert(!back.open && back.tries == 1 && back.began == x.began);
  cr_assert_eq(back.revision, 9);
  cr_assert_not(trials_read("nobody's", o, 9, &back));
  json_object_del(o, "tries");
  cr_assert_not(trials_read(name, o, 9, &back));
  json_decref(o);
}

static Trial close_part_trial(Trials *t, double now, TrialsOutcome how) {
  static uint64_t revision = 100;
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x.is_part = true;
  x.by = revision;
  x = trials_close(&x, how);
  x.revision = ++revision;
  trials_set(t, now, &x);
  return x;
}

/* Guards against a shared part that is held because another request ended the
   target of its trial. */
Test(trials, part_is_held_after_its_second_trial) {
  Trials *t = trials_new();
  close_part_trial(t, 10, TRIALS_ENDED);
  cr_assert_eq(verdict(t, 10.5, true), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 11.5, true), TRIALS_TRY);
  close_part_trial(t, 12, TRIALS_UNSENT);
  cr_assert_eq(verdict(t, 13.5, true), TRIALS_TRY);
  close_part_trial(t, 14, TRIALS_ENDED);
  cr_assert_eq(verdict(t, 1000, false), TRIALS_HELD);
  trials_free(t);
}

/* Guards against a shared part that is held for another part, which was in the
   prompts of its trials and not yet a suspect. */
Test(trials, part_is_not_held_for_trials_that_prove_nothing) {
  Trials *t = trials_new();
  for (int i = 0; i < 3; i++) {
    double now = 10 + 2 * i;
    close_part_trial(t, now, TRIALS_UNPROVEN);
    cr_assert_eq(verdict(t, now + 0.5, true), TRIALS_BUSY);
    if (i < 2) cr_assert_eq(verdict(t, now + 1.5, true), TRIALS_TRY);
  }
  cr_assert_eq(verdict(t, 30, true), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 75, true), TRIALS_TRY);
  trials_free(t);
}

/* Guards against a shared part that is refused for half a minute, since the
   instance that tried it was lost. */
Test(trials, open_trial_of_a_part_expires_before_that_of_a_request) {
  Trials *t = trials_new();
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x.revision = 1;
  x.is_part = true;
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 14, true), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 15.5, true), TRIALS_TRY);
  x.is_part = false;
  x.revision = 2;
  trials_set(t, 20, &x);
  cr_assert_eq(verdict(t, 45, true), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 51, true), TRIALS_TRY);
  trials_free(t);
}

/* Guards against an instance that restarts, and waits anew for a trial that no
   one will close. */
Test(trials, open_trial_of_a_part_ends_with_its_instance) {
  Trials *t = trials_new();
  Member one = {.id = "n1.a1"}, other = {.id = "n2.b1"},
         again = {.id = "n1.a2"};
  Member before[] = {one, other}, after[] = {again, other};
  View *with = view_new(before, 2), *without = view_new(after, 2);
  Trial x = trials_begin(t, digest(1), 1, 1000);
  x.instance = text_hash(one.id);
  x.revision = 1;
  x.is_part = true;
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 12, true), TRIALS_BUSY, "no member is known yet");
  trials_set_members(t, with);
  cr_assert_eq(verdict(t, 12, true), TRIALS_BUSY);
  trials_set_members(t, without);
  cr_assert_eq(verdict(t, 10.5, true), TRIALS_BUSY, "it may be unknown yet");
  cr_assert_eq(verdict(t, 12, true), TRIALS_TRY);
  x.instance = 0;
  x.revision = 2;
  trials_set(t, 20, &x);
  cr_assert_eq(verdict(t, 22, true), TRIALS_BUSY, "an older build made it");
  view_free(with);
  view_free(without);
  trials_free(t);
}

/* Guards against a part that is named, and forgotten with all instances. */
Test(trials, part_without_a_trial_is_tried_first) {
  Trials *t = trials_new();
  Trial x = {.digest = digest(1), .revision = 5, .is_part = true};
  trials_set(t, 10, &x);
  cr_assert_eq(verdict(t, 10.1, false), TRIALS_FREE, "it may be cleared");
  cr_assert_eq(verdict(t, 10.1, true), TRIALS_TRY);
  cr_assert_eq(verdict(t, 11, false), TRIALS_TRY);
  trials_free(t);
}

/* Guards against a part that all requests may carry to targets for half a
   second after each trial that found no target. */
Test(trials, part_whose_trial_was_unsent_is_tried_again) {
  Trials *t = trials_new();
  Trial x = close_part_trial(t, 10, TRIALS_UNSENT);
  cr_assert_eq(x.tries, 0);
  cr_assert_eq(verdict(t, 10.1, false), TRIALS_BUSY);
  cr_assert_eq(verdict(t, 11.1, false), TRIALS_TRY);
  trials_free(t);
}

Test(trials, trial_of_a_part_round_trips_through_its_object) {
  Trials *t = trials_new();
  close_part_trial(t, 10, TRIALS_ENDED);
  Trial x = close_part_trial(t, 12, TRIALS_INCONCLUSIVE), back;
  x.instance = UINT64_MAX;
  char name[DIGEST_TEXT_BYTES];
  digest_format(x.digest, name);
  json_t *o = trials_write(&x);
  cr_assert(trials_read(name, o, 9, &back));
  cr_assert(back.is_part && back.ends == 1 && back.tries == 2);
  cr_assert_eq(back.instance, x.instance);
  json_decref(o);
  trials_free(t);
}

Test(suspects, part_is_sound_if_it_succeeded_since_the_other_was_marked) {
  Suspects *s = suspects_new();
  Digest one = suspects_part_digest(1), other = suspects_part_digest(2);
  suspects_note_success(s, 9, other);
  mark_part(s, 10, 1, 2);
  mark_part(s, 11, 1, 3);
  cr_assert_not(suspects_is_sound(s, 11, other, one), "it was before");
  suspects_note_success(s, 11, other);
  cr_assert(suspects_is_sound(s, 12, other, one));
  SuspectsMsg cleared = {.kind = SUSPECTS_CLEARED,
                         .is_part = true,
                         .digest = suspects_part_digest(3)};
  suspects_apply_message(s, 12, &cleared);
  cr_assert(suspects_is_sound(s, 12, cleared.digest, one), "seen elsewhere");
  suspects_free(s);
}

Test(trials, full_store_evicts_the_oldest_of_the_largest_owner) {
  Trials *t = trials_new();
  Trial theirs = {.digest = digest(1), .owner = 1, .tries = 1, .began = 1};
  Trial gone;
  trials_set(t, 10, &theirs);
  cr_assert_not(trials_choose_evicted(t, &gone));
  for (uint64_t n = 2; n < 500; n++) {
    Trial x = {.digest = digest(n), .owner = 2, .tries = 1, .began = (int)n};
    x.open = n == 2;
    trials_set(t, 10, &x);
  }
  cr_assert(trials_choose_evicted(t, &gone));
  cr_assert(digest_equal(gone.digest, digest(3)),
            "request 2 has an open trial");
  trials_free(t);
}

/* Guards against a partitioned instance that takes all its targets for ended.
 */
Test(ends, refusal_is_confirmed_by_one_instance_at_a_time_and_by_few) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  cr_assert_not(ends_start_confirmation(e, 1, 7), "nothing broke there");
  cr_assert_not(ends_note_break(e, 1, &m, true, 0));
  for (int i = 0; i < ENDS_MAX_CONFIRMERS; i++) {
    cr_assert(ends_start_confirmation(e, 1, 7));
    cr_assert(ends_awaits_confirmation(e, 1, 7));
    cr_assert_not(ends_start_confirmation(e, 1, 7));
    ends_fail_confirmation(e, 1, 7);
    cr_assert_not(ends_awaits_confirmation(e, 1, 7));
  }
  cr_assert_not(ends_start_confirmation(e, 1, 7));
  cr_assert(ends_note_refused(e, 1, 7, 0));
  cr_assert_eq(count_marks(e), 1);
  ends_free(e);
}

/* Guards against the first refusals of a partition that count as the end of the
   target, since three confirmers could not tell and the partition was not
   detected yet; and against connections without end to find it out. */
Test(ends, own_connections_tell_of_a_refusal_that_no_instance_confirms) {
  Ends *e = ends_new();
  EndsMark m = mark(7, 1);
  cr_assert_not(ends_start_path_check(e, 1, 7), "nothing broke there");
  cr_assert_not(ends_note_break(e, 1, &m, true, 0));
  cr_assert_not(ends_has_path_check(e, 1, 7));
  for (int i = 0; i < ENDS_MAX_PATH_CHECKS; i++) {
    cr_assert(ends_start_path_check(e, 1, 7));
    cr_assert(ends_has_path_check(e, 1, 7));
  }
  cr_assert_not(ends_start_path_check(e, 1, 7));
  cr_assert_eq(count_marks(e), 0);
  ends_free(e);
  for (int accepted = 0; accepted <= 1; accepted++) {
    e = ends_new();
    ends_note_break(e, 1, &m, true, 0);
    cr_assert(ends_start_path_check(e, 1, 7));
    if (accepted)
      ends_note_connected(e, 1, 7);
    else
      cr_assert(ends_note_refused(e, 1, 7, 0));
    cr_assert_not(ends_start_path_check(e, 1, 7), "it is known");
    cr_assert_eq(count_marks(e), !accepted);
    ends_free(e);
  }
}
