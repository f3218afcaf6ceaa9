/* test_admission.c: which requests are rejected for the time at which their
   answers are expected. */
#include <criterion/criterion.h>

#include <glib.h>
#include <math.h>

#include "route/admission.h"

#define SERVICE 7
#define OBJECTIVE_S 0.5
#define DEADLINE_S 10.0

/* A request that waits for `wait_s`, most of it behind others. */
static AdmissionRequest waiting(int priority, double wait_s) {
  return (AdmissionRequest){.service = SERVICE,
                            .priority = priority,
                            .wait_s = wait_s,
                            .own_s = MIN(0.02, wait_s),
                            .is_reported = true,
                            .objective_s = OBJECTIVE_S,
                            .left_s = DEADLINE_S};
}

static AdmissionCause decide(Admission *a, double now, int priority,
                             double wait_s) {
  AdmissionRequest r = waiting(priority, wait_s);
  return admission_decide(a, now, &r).cause;
}

/* 20 requests per second of one priority, all of which wait for `wait_s`.
   Returns how many were admitted. */
static int offer(Admission *a, double from, double to, int priority,
                 double wait_s) {
  int admitted = 0, n = (int)lround((to - from) / 0.05);
  for (int i = 0; i < n; i++)
    admitted +=
        decide(a, from + i * 0.05, priority, wait_s) == ADMISSION_ADMITTED;
  return admitted;
}

/* Guards against a flood that keeps the queues at what callers just accept, so
   that customers within their shares find them full. */
Test(admission, customers_above_their_share_leave_room_in_the_queue) {
  Admission *a = admission_new();
  decide(a, 99.9, 1, 0.1); /* its wait is about to be measured */
  AdmissionRequest r = waiting(1, 0.3);
  r.short_of_capacity = r.above_share = true;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_LATE);
  r.above_share = false;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  r.above_share = true;
  r.wait_s = 0.1;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  r.wait_s = 0.3;
  r.short_of_capacity = false;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against requests that are sent although their caller is gone before
   the answer begins. */
Test(admission, what_begins_after_the_deadline_is_rejected_at_once) {
  Admission *a = admission_new();
  decide(a, 99.9, 0, 0.1);
  AdmissionRequest r = waiting(0, 3);
  r.left_s = 2.5;
  AdmissionVerdict v = admission_decide(a, 100, &r);
  cr_assert_eq(v.cause, ADMISSION_DEADLINE);
  cr_assert_float_eq(v.expected_s, 3, 1e-9);
  cr_assert_gt(v.earliest_s, 2, "no retry before the queue is shorter");
  r.left_s = 3.1; /* it would begin in time, but not end */
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_DEADLINE);
  r.left_s = 4;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against today's wait of 1.3 s in the queue of a plain target from
   which 1.4 s were expected. The instance knows its own requests there, so no
   report is needed. */
Test(admission, a_plain_request_is_not_sent_into_a_queue_that_is_too_long) {
  Admission *a = admission_new();
  AdmissionRequest r = waiting(ADMISSION_PLAIN, 1.4);
  r.is_reported = false;
  r.left_s = 1.3;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_DEADLINE);
  cr_assert_eq(admission_decide(a, 200, &r).cause, ADMISSION_DEADLINE,
               "no plain request is sent in order to measure");
  r.left_s = 1.5;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  r.is_free = true; /* the mean time of answers may be out of date */
  r.left_s = 0.1;
  cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against rejections on a guess: without reports all is as before. */
Test(admission, without_a_report_engines_get_everything) {
  Admission *a = admission_new();
  AdmissionRequest r = waiting(2, 60);
  r.is_reported = false;
  for (int i = 0; i < 200; i++)
    cr_assert_eq(admission_decide(a, 100 + i * 0.05, &r).cause,
                 ADMISSION_ADMITTED);
  r.short_of_capacity = true;
  cr_assert_eq(admission_decide(a, 110, &r).cause, ADMISSION_ADMITTED);
  cr_assert_not(admission_is_late(a, 110, SERVICE, 2));
  admission_free(a);
}

/* Guards against rejections of what capacity can serve before the deadline: a
   queue that is somewhat too long for 0.3 s only. */
Test(admission, a_moment_of_lateness_rejects_nothing) {
  Admission *a = admission_new();
  offer(a, 100, 110, 1, 0.1);
  cr_assert_eq(offer(a, 110, 110.3, 1, 0.6), 6);
  cr_assert_not(admission_is_late(a, 110.3, SERVICE, 1));
  cr_assert_eq(offer(a, 110.3, 111, 1, 0.3), 14);
  /* Nor do single requests at slow targets. */
  for (int i = 0; i < 400; i++)
    cr_assert_eq(decide(a, 112 + i * 0.05, 1, i % 3 == 0 ? 1.0 : 0.1),
                 ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against queues in which everything is late: what is admitted while
   the service is late must be what can be on time. */
Test(admission, persistent_lateness_rejects_down_to_what_can_be_on_time) {
  Admission *a = admission_new();
  offer(a, 100, 102, 1, 1.5);
  cr_assert(admission_is_late(a, 102, SERVICE, 1));
  decide(a, 102, 1, 0.3); /* else the next one is measured */
  AdmissionRequest r = waiting(1, 1.5);
  AdmissionVerdict v = admission_decide(a, 102, &r);
  cr_assert_eq(v.cause, ADMISSION_LATE);
  cr_assert_float_eq(v.earliest_s, 1.5 - 0.8 * OBJECTIVE_S, 0.01);
  cr_assert_eq(decide(a, 102, 1, 0.45), ADMISSION_LATE, "the margin");
  cr_assert_eq(decide(a, 102, 1, 0.3), ADMISSION_ADMITTED);
  r = waiting(1, 0.3);
  r.elapsed_s = 0.2; /* it has waited elsewhere */
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_LATE);
  r = waiting(1, 1.5);
  r.is_free = true;
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_ADMITTED,
               "nothing is gained by an idle target");
  admission_free(a);
}

/* Guards against an instance with few requests that notices an overload late:
   with two per second, it admitted for 3 s what was 1 s too late. */
Test(admission, two_requests_suffice_if_the_queue_can_t_drain_in_a_moment) {
  Admission *a = admission_new();
  decide(a, 100, 1, 0.1);
  cr_assert_eq(decide(a, 100.5, 1, 1.2), ADMISSION_ADMITTED, "a slow target?");
  cr_assert_eq(decide(a, 101, 1, 1.2), ADMISSION_LATE);
  admission_free(a);
}

/* Guards against customers within their shares that are rejected behind one
   other request although they would be on time. */
Test(admission, customers_within_their_shares_may_use_the_objective) {
  Admission *a = admission_new();
  offer(a, 100, 102, 1, 1.5);
  AdmissionRequest r = waiting(1, 0.43);
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_LATE);
  r.short_of_capacity = true;
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_ADMITTED);
  r.wait_s = 0.47;
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_LATE);
  admission_free(a);
}

/* Guards against the same where the objective is short: a queue that exceeds it
   by half is as persistent as one of a second. */
Test(admission, the_queue_that_can_t_drain_depends_on_the_objective) {
  Admission *a = admission_new();
  decide(a, 100, 1, 0.1);
  cr_assert_eq(decide(a, 100.5, 1, 0.85), ADMISSION_ADMITTED);
  cr_assert_eq(decide(a, 101, 1, 0.85), ADMISSION_LATE);
  admission_free(a);
}

/* Guards against callers that come back as promised and find that new requests
   have filled the queue up to the point at which all are rejected. */
Test(admission, returning_callers_are_not_rejected_as_late_again) {
  Admission *a = admission_new();
  offer(a, 100, 102, 1, 1.5);
  AdmissionRequest r = waiting(1, 0.45);
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_LATE);
  r.is_return = true;
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_ADMITTED);
  r.left_s = 0.4; /* but as those that can't be served */
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_DEADLINE);
  admission_free(a);
}

/* One reader with a queue that is served in order; times in seconds. */
typedef struct Reader {
  double free_at;
  int on_time, late, rejected;
} Reader;

/* Offers requests at a rate to a reader that serves `CAPACITY` per second. */
#define CAPACITY 20.0
static void load(Admission *a, Reader *reader, double from, double to,
                 double per_s) {
  const double read_s = 1 / CAPACITY;
  for (double t = from; t < to; t += 1 / per_s) {
    double ahead = MAX(0, reader->free_at - t);
    AdmissionRequest r = waiting(1, ahead + read_s);
    r.own_s = read_s;
    r.is_free = ahead == 0;
    if (admission_decide(a, t, &r).cause != ADMISSION_ADMITTED) {
      reader->rejected++;
      continue;
    }
    reader->free_at = t + ahead + read_s;
    admission_note_wait(a, t, SERVICE, 1, r.wait_s, r.own_s, r.wait_s);
    if (ahead + read_s <= OBJECTIVE_S)
      reader->on_time++;
    else
      reader->late++;
  }
}

/* Guards against an admission that swings: with twice the load for 10 s the
   reader must neither run idle nor fill up again after each emptying. */
Test(admission, under_constant_overload_the_reader_is_busy_and_on_time) {
  Admission *a = admission_new();
  Reader reader = {.free_at = 0};
  load(a, &reader, 100, 110, 0.7 * CAPACITY);
  cr_assert_eq(reader.rejected, 0);
  reader = (Reader){.free_at = reader.free_at};
  load(a, &reader, 110, 112, 2 * CAPACITY);
  cr_assert_leq(reader.late, 30, "%d late at first", reader.late);
  for (double t = 112; t < 120; t += 2) {
    reader = (Reader){.free_at = reader.free_at};
    load(a, &reader, t, t + 2, 2 * CAPACITY);
    cr_assert_eq(reader.late, 0, "%d late from %g on", reader.late, t);
    cr_assert_geq(reader.on_time, 2 * CAPACITY - 10, "%d on time from %g on",
                  reader.on_time, t);
  }
  admission_free(a);
}

/* Guards against a state that outlives the overload. */
Test(admission, after_the_overload_everything_is_admitted_again) {
  Admission *a = admission_new();
  Reader reader = {.free_at = 0};
  load(a, &reader, 100, 106, 2 * CAPACITY);
  cr_assert(admission_is_late(a, 106, SERVICE, 1));
  reader = (Reader){.free_at = reader.free_at};
  load(a, &reader, 106, 110, 0.7 * CAPACITY);
  cr_assert_leq(reader.rejected, 2, "%d rejected", reader.rejected);
  cr_assert_not(admission_is_late(a, 110, SERVICE, 1));
  /* Nor does it last while nothing comes. */
  load(a, &reader, 110, 113, 2 * CAPACITY);
  cr_assert(admission_is_late(a, 113, SERVICE, 1));
  cr_assert_not(admission_is_late(a, 116, SERVICE, 1));
  admission_free(a);
}

/* Guards against late requests of long ago that count as recent: with them one
   slow target makes the service persistently late. */
Test(admission, a_late_request_after_a_long_time_counts_alone) {
  Admission *a = admission_new();
  offer(a, 100, 102, 1, 1.5);
  decide(a, 200, 1, 1.5);
  cr_assert_not(admission_is_late(a, 200, SERVICE, 1));
  admission_free(a);
}

/* Guards against a state that flickers: it must last while a fifth more comes
   than is served. */
Test(admission, a_small_overload_does_not_swing_either) {
  Admission *a = admission_new();
  Reader reader = {.free_at = 0};
  load(a, &reader, 100, 110, 1.2 * CAPACITY);
  reader = (Reader){.free_at = reader.free_at};
  load(a, &reader, 110, 130, 1.2 * CAPACITY);
  cr_assert_eq(reader.late, 0, "%d late", reader.late);
  cr_assert_geq(reader.on_time, 19.5 * CAPACITY, "%d on time", reader.on_time);
  admission_free(a);
}

/* Guards against low priorities that have urgent ones rejected: they are read
   after them. The reverse holds: what is late behind urgent requests that are
   late is rejected. */
Test(admission, lateness_spreads_to_less_urgent_priorities_only) {
  Admission *a = admission_new();
  offer(a, 100, 102, 2, 3);
  cr_assert(admission_is_late(a, 102, SERVICE, 2));
  cr_assert_not(admission_is_late(a, 102, SERVICE, 0));
  cr_assert_eq(decide(a, 102, 0, 0.7), ADMISSION_ADMITTED);
  admission_free(a);
  a = admission_new();
  offer(a, 100, 102, 0, 3);
  decide(a, 101.9, 2, 0.3); /* else the next one is measured */
  cr_assert_eq(decide(a, 102, 2, 0.7), ADMISSION_LATE);
  cr_assert_eq(decide(a, 102, 2, 0.3), ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against urgent requests that are rejected because of unread prompts
   of low priority, which they overtake. The expectation is 3 s, and all were
   rejected before the first one was measured. */
Test(admission, urgent_requests_are_judged_by_what_they_waited) {
  Admission *a = admission_new();
  int admitted = 0;
  for (int i = 0; i < 200; i++) {
    double t = 100 + i * 0.1;
    AdmissionRequest r = waiting(0, 3);
    r.left_s = 2.5;
    r.short_of_capacity = true;
    if (admission_decide(a, t, &r).cause != ADMISSION_ADMITTED) continue;
    admitted++;
    admission_note_wait(a, t + 0.09, SERVICE, 0, 3, r.own_s, 0.1);
  }
  cr_assert_geq(admitted, 180, "%d of 200", admitted);
  admission_free(a);
}

/* Guards against urgent requests that are rejected where they are rare: of
   eight per second at 12 instances a quarter was, in the first seconds in which
   the queue was full of long prompts. */
Test(admission, rare_urgent_requests_are_judged_by_what_is_ahead_of_them) {
  Admission *a = admission_new();
  AdmissionRequest r = waiting(0, 0.04);
  r.own_s = 0.04;
  admission_decide(a, 100, &r);
  admission_note_wait(a, 100.05, SERVICE, 0, 0.04, 0.04, 0.05);
  for (int i = 0; i < 3; i++)
    admission_note_wait(a, 101 + i * 0.5, SERVICE, 2, 1.8, 0.2, 1.9);
  for (int i = 0; i < 6; i++) {
    double t = 102 + i * 1.4;
    r.wait_s = 1.8;
    AdmissionVerdict v = admission_decide(a, t, &r);
    cr_assert_eq(v.cause, ADMISSION_ADMITTED);
    cr_assert_leq(v.expected_s, 0.35, "%g", v.expected_s);
    admission_note_wait(a, t + 0.12, SERVICE, 0, 1.8, 0.04, 0.12);
    admission_note_wait(a, t + 0.3, SERVICE, 2, 1.8, 0.2, 1.9);
  }
  admission_free(a);
}

/* Guards against prompts of low priority that are admitted by their place in
   order of arrival, although urgent ones keep overtaking them. */
Test(admission, overtaken_requests_are_judged_by_what_they_waited) {
  Admission *a = admission_new();
  for (int i = 0; i < 10; i++)
    admission_note_wait(a, 100 + i * 0.1, SERVICE, 2, 0.4, 0.1, 1.6);
  AdmissionRequest r = waiting(2, 0.35);
  r.short_of_capacity = true;
  cr_assert_eq(admission_decide(a, 101, &r).cause, ADMISSION_LATE);
  admission_free(a);
}

/* Guards against waits of some milliseconds on idle targets that count as a
   queue longer than expected: they would multiply the next short queue. */
Test(admission, small_errors_on_idle_targets_don_t_add_up) {
  Admission *a = admission_new();
  for (int i = 0; i < 500; i++)
    admission_note_wait(a, 100 + i * 0.01, SERVICE, 1, 0.022, 0.02, 0.045);
  AdmissionRequest r = waiting(1, 0.25);
  double expected_s = admission_decide(a, 105, &r).expected_s;
  cr_assert_leq(expected_s, 0.36, "%g", expected_s);
  admission_free(a);
}

/* Guards against a priority that is shut out for good, and against one whose
   measurements take up the targets while it is late. */
Test(admission, a_late_priority_is_measured_ever_more_rarely) {
  Admission *a = admission_new();
  offer(a, 100, 102, 2, 4);
  int admitted = 0;
  for (int i = 0; i < 800; i++) {
    double t = 102 + i * 0.05;
    AdmissionRequest r = waiting(2, 4);
    r.short_of_capacity = true;
    if (admission_decide(a, t, &r).cause != ADMISSION_ADMITTED) continue;
    admitted++;
    admission_note_wait(a, t + 0.01, SERVICE, 2, 4, r.own_s, 4);
  }
  cr_assert_geq(admitted, 3, "%d in 40 s", admitted);
  cr_assert_leq(admitted, 6, "%d in 40 s", admitted);
  admission_free(a);
}

/* Guards against a route that is shut out since its prompts take longer than
   its objective on an idle target: that says nothing about the service. */
Test(admission, a_prompt_that_is_late_by_itself_is_no_sign_of_overload) {
  Admission *a = admission_new();
  for (int i = 0; i < 200; i++) {
    AdmissionRequest r = waiting(2, 0.9);
    r.own_s = 0.7;
    cr_assert_eq(admission_decide(a, 100 + i * 0.05, &r).cause,
                 ADMISSION_ADMITTED);
  }
  cr_assert_not(admission_is_late(a, 110, SERVICE, 2));
  /* One that takes most of it may use all of the objective. */
  AdmissionRequest r = waiting(2, 0.48);
  r.own_s = 0.41;
  r.short_of_capacity = true;
  cr_assert_eq(admission_decide(a, 110, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against a cutoff that rejects others than the customer's least urgent
   requests, and against one that is nothing. */
Test(admission, a_cutoff_admits_a_part_of_one_priority) {
  AdmissionCutoff c = {.cutoff = 1.25};
  cr_assert(admission_is_within_share(&c, 0, 0.999));
  cr_assert(admission_is_within_share(&c, 1, 0.24));
  cr_assert_not(admission_is_within_share(&c, 1, 0.26));
  cr_assert_not(admission_is_within_share(&c, 2, 0));
  c.cutoff = 0;
  cr_assert_not(admission_is_within_share(&c, 0, 0));
  static const double all[] = {INFINITY, NAN, -1, -INFINITY};
  for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
    c.cutoff = all[i];
    cr_assert(admission_is_within_share(&c, 1000, 0.99), "%g", all[i]);
  }
}

/* Guards against expectations that are none: they reject nothing, and leave no
   trace in later decisions. */
Test(admission, invalid_values_have_no_effect) {
  static const double bad[] = {NAN, INFINITY, -INFINITY, -1};
  Admission *a = admission_new();
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    AdmissionRequest r = waiting(1, bad[i]);
    r.short_of_capacity = true;
    cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
    r = waiting(1, 0.3);
    r.own_s = bad[i];
    cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
    r = waiting(1, 0.3);
    r.objective_s = bad[i];
    cr_assert_eq(admission_decide(a, 100, &r).cause, ADMISSION_ADMITTED);
    admission_note_wait(a, 100, SERVICE, 1, bad[i], 0, 1);
    admission_note_wait(a, 100, SERVICE, 1, 1, bad[i], 1);
    admission_note_wait(a, 100, SERVICE, 1, 1, 0, bad[i]);
  }
  AdmissionRequest r = waiting(1, 0.3);
  cr_assert_float_eq(admission_decide(a, 101, &r).expected_s, 0.3, 1e-9);
  r.priority = G_MAXINT;
  cr_assert_eq(admission_decide(a, 101, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}

/* Guards against services that share their state. */
Test(admission, services_are_judged_apart) {
  Admission *a = admission_new();
  offer(a, 100, 102, 1, 3);
  cr_assert(admission_is_late(a, 102, SERVICE, 1));
  cr_assert_not(admission_is_late(a, 102, SERVICE + 1, 1));
  AdmissionRequest r = waiting(1, 0.7);
  r.service = SERVICE + 1;
  cr_assert_eq(admission_decide(a, 102, &r).cause, ADMISSION_ADMITTED);
  admission_free(a);
}
