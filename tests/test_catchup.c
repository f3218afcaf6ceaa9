/* test_catchup.c: when an instance that relies on readers reads the store
   itself.

   Guards against a restarted instance that lags: three instances read the store
   for the fleet, and one of them loses it while others are restarted one by
   one. Readers report what they read at least once a second, and every 0.7 s
   that the store does not answer. The first list of a restarted instance is
   some seconds old, so that the reports are not contiguous to it. It has 3 s to
   learn that a target is leaving. */
#include <criterion/criterion.h>

#include "member/catchup.h"

#define STALE_S 1.5
#define READ_INTERVAL_S 1.0
#define UNAVAILABLE_INTERVAL_S 0.7

static Catchup c;

static void start(double now) {
  catchup_init(&c, now, STALE_S);
}

Test(catchup, contiguous_reports_need_no_read) {
  start(10);
  cr_assert(!catchup_can_skip_store(&c, 10), "no report has arrived yet");
  for (double t = 10; t < 20; t += READ_INTERVAL_S) {
    catchup_note_read(&c, t, true);
    cr_assert(catchup_can_skip_store(&c, t + READ_INTERVAL_S));
    cr_assert(!catchup_is_lagging(&c));
  }
  cr_assert(!catchup_can_skip_store(&c, 21),
            "the readers' reports have stopped");
}

Test(catchup, a_lagging_instance_reads_until_the_store_answers) {
  start(10);
  catchup_note_read(&c, 11, false);
  cr_assert(catchup_is_lagging(&c));
  cr_assert(!catchup_can_skip_store(&c, 11));
  catchup_note_answer(&c);
  catchup_note_read(&c, 11.5, true);
  cr_assert(catchup_can_skip_store(&c, 12));
}

Test(catchup, a_stalled_instance_reads_whatever_was_reported_before) {
  start(10);
  catchup_note_read(&c, 11, true);
  cr_assert(catchup_can_skip_store(&c, 11.1));
  catchup_note_gap(&c, 11.2);
  cr_assert(catchup_is_lagging(&c));
  cr_assert(!catchup_can_skip_store(&c, 11.2));
  catchup_note_answer(&c);
  catchup_note_read(&c, 11.4, true);
  cr_assert(catchup_can_skip_store(&c, 11.5));
}

Test(catchup, a_gap_ends_with_a_contiguous_report) {
  start(10);
  catchup_note_read(&c, 11, true);
  catchup_note_read(&c, 11.2, false);
  cr_assert(!catchup_can_skip_store(&c, 11.2),
            "though a report came just before");
  catchup_note_read(&c, 11.4, true);
  cr_assert(catchup_can_skip_store(&c, 11.4));
}

/* Two readers read; the third reports first that the store is unavailable. */
Test(catchup, one_reader_that_lost_the_store_delays_no_instance) {
  double read_at = 10.4, unavailable_at = 10.1;
  start(10);
  for (double t = 10; t < 22; t += 0.05) {
    if (t >= unavailable_at) {
      catchup_note_unavailable(&c, t);
      unavailable_at += UNAVAILABLE_INTERVAL_S;
    }
    if (t >= read_at) {
      catchup_note_read(&c, t, false);
      read_at += READ_INTERVAL_S;
    }
    if (catchup_is_lagging(&c))
      cr_assert(!catchup_can_skip_store(&c, t), "delayed at %.2f", t);
    cr_assert(t < 10.5 || !catchup_store_is_unavailable(&c, t));
  }
}

Test(catchup, in_a_full_outage_a_gap_causes_no_read_either) {
  start(10);
  catchup_note_read(&c, 11, false);
  double t = 11;
  for (; t < 11 + STALE_S; t += UNAVAILABLE_INTERVAL_S)
    catchup_note_unavailable(&c, t);
  for (; t < 30; t += UNAVAILABLE_INTERVAL_S) {
    catchup_note_unavailable(&c, t);
    cr_assert(catchup_can_skip_store(&c, t + UNAVAILABLE_INTERVAL_S / 2),
              "%.2f", t);
    cr_assert(catchup_store_is_unavailable(&c, t));
    cr_assert_leq(catchup_skip_until(&c), t + CATCHUP_UNAVAILABLE_S);
  }
  catchup_note_read(&c, t, false);
  cr_assert(!catchup_can_skip_store(&c, t), "a reader reads again");
}
