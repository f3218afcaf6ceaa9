/* test_queue.c: priority classes, weighted shares, aging, caps and bounded
   waits. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "queue/queue.h"

static QueueItem item(uint64_t handle, const char *customer, int class) {
  QueueItem i = {.handle = handle,
                 .class = class,
                 .weight = 100,
                 .tokens = 100,
                 .max_wait_s = 1000};
  snprintf(i.customer, sizeof i.customer, "%s", customer);
  return i;
}

static void push(Queue *q, double now, QueueItem i) {
  int retry;
  cr_assert_eq(queue_push(q, now, &i, 1000, &retry), ERR_NONE);
}

Test(queue, class_0_goes_before_earlier_class_7) {
  Queue *q = queue_new();
  QueueDecision out;
  for (uint64_t i = 1; i <= 20; i++) push(q, 0, item(i, "letters", 7));
  push(q, 0.1, item(99, "shuttle", 0));
  cr_assert(queue_pop(q, 0.1, 1, 1000, &out));
  cr_assert_eq(out.handle, 99);
  queue_free(q);
}

Test(queue, low_class_requests_do_not_starve) {
  Queue *q = queue_new();
  QueueDecision out;
  push(q, 0, item(1, "letters", 7));
  double served = -1;
  for (int i = 0; i < 1000 && served < 0; i++) {
    double now = i * 0.5;
    push(q, now, item((uint64_t)i + 10, "shuttle", 0));
    cr_assert(queue_pop(q, now, 1, 1000, &out));
    if (out.handle == 1) served = now;
  }
  cr_assert(served > 0 && served <= 57, "served after %f s", served);
  queue_free(q);
}

Test(queue, shares_within_a_class_follow_the_weights) {
  Queue *q = queue_new();
  QueueDecision out;
  int big = 0;
  for (uint64_t i = 0; i < 400; i++) {
    QueueItem a = item(i * 2 + 1, "big", 3), b = item(i * 2 + 2, "small", 3);
    a.weight = 300;
    push(q, 0, a);
    push(q, 0, b);
  }
  for (int i = 0; i < 200; i++) {
    cr_assert(queue_pop(q, 0, 1, 1000, &out));
    big += out.handle % 2 == 1;
  }
  cr_assert(big >= 148 && big <= 152, "%d of 200, expected three quarters",
            big);
  queue_free(q);
}

Test(queue, a_predicted_wait_over_the_limit_is_refused_at_once) {
  Queue *q = queue_new();
  int retry;
  for (uint64_t i = 1; i <= 40; i++) push(q, 0, item(i, "c", 3));
  QueueItem long_wait = item(99, "c", 3);
  long_wait.max_wait_s = 2;
  cr_assert_eq(queue_push(q, 0, &long_wait, 10, &retry), ERR_OVERLOADED);
  cr_assert(retry >= 2000 && retry <= 2200, "retry after %d ms", retry);
  QueueItem urgent = item(100, "c", 0);
  urgent.max_wait_s = 2;
  cr_assert_eq(queue_push(q, 0, &urgent, 10, &retry), ERR_NONE);
  queue_free(q);
}

Test(queue, an_expired_wait_ends_with_a_refusal) {
  Queue *q = queue_new();
  QueueDecision out;
  QueueItem i = item(1, "c", 3);
  i.max_wait_s = 1;
  push(q, 0, i);
  cr_assert_not(queue_pop(q, 0.9, 0, 10, &out),
                "popped without room and before the deadline");
  cr_assert(queue_pop(q, 1, 0, 10, &out));
  cr_assert_eq(out.refused, ERR_OVERLOADED);
  cr_assert_geq(out.retry_ms, 500);
  queue_free(q);
}

Test(queue, an_expired_wait_is_refused_before_others_are_served) {
  Queue *q = queue_new();
  QueueDecision out;
  QueueItem i = item(1, "c", 3);
  i.max_wait_s = 1;
  push(q, 0, i);
  for (uint64_t k = 2; k < 10; k++) push(q, 1, item(k, "c", 0));
  cr_assert(queue_pop(q, 1.5, 1, 1000, &out));
  cr_assert_eq(out.handle, 1);
  cr_assert_eq(out.refused, ERR_OVERLOADED);
  queue_free(q);
}

Test(queue, the_running_cap_is_enforced_and_released) {
  Queue *q = queue_new();
  QueueDecision out;
  int retry;
  QueueItem i = item(1, "c", 3);
  i.concurrency_cap = 1;
  push(q, 0, i);
  i.handle = 2;
  cr_assert_eq(queue_push(q, 0, &i, 10, &retry), ERR_CAP_REACHED);
  cr_assert_gt(retry, 0);
  cr_assert(queue_pop(q, 0, 1, 10, &out));
  QueueItem one = item(0, "c", 3);
  queue_done(q, &one, 50);
  cr_assert_eq(queue_push(q, 1, &i, 10, &retry), ERR_NONE);
  queue_cancel(q, 2);
  cr_assert_eq(queue_push(q, 1, &i, 10, &retry), ERR_NONE);
  queue_free(q);
}

Test(queue, the_rate_cap_counts_tokens_used) {
  Queue *q = queue_new();
  QueueDecision out;
  int retry;
  QueueItem i = item(1, "c", 3);
  i.tokens_per_min_cap = 150;
  push(q, 0, i);
  cr_assert(queue_pop(q, 0, 1, 10, &out));
  i.handle = 2;
  cr_assert_eq(queue_push(q, 0, &i, 10, &retry), ERR_CAP_REACHED);
  cr_assert(retry > 15000 && retry < 25000, "%d ms for 50 tokens", retry);
  QueueItem one = item(0, "c", 3);
  queue_done(q, &one, 50); /* half was not used */
  cr_assert_eq(queue_push(q, 0, &i, 10, &retry), ERR_NONE);
  queue_free(q);
}

Test(queue, the_service_cap_is_enforced_across_customers) {
  Queue *q = queue_new();
  QueueItem letter = item(1, "a", 7), other = item(9, "c", 3);
  int retry;
  snprintf(letter.service, sizeof letter.service, "letters");
  letter.service_concurrency_cap = 2;
  push(q, 0, letter);
  snprintf(letter.customer, sizeof letter.customer, "b");
  push(q, 0, letter);
  cr_assert_eq(queue_push(q, 0, &letter, 1000, &retry), ERR_CAP_REACHED);
  cr_assert_gt(retry, 0);
  push(q, 0, other);
  queue_done(q, &letter, 50);
  push(q, 0, letter);
  cr_assert_eq(queue_push(q, 0, &letter, 1000, &retry), ERR_CAP_REACHED);
  queue_free(q);
}
