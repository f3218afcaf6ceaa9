/* test_holdings.c: the account of what callers make an instance hold. */
#include <criterion/criterion.h>

#include "kernel/buffer.h"
#include "kernel/holdings.h"
#include "kernel/limits.h"

#define MB (1 << 20)
#define LIMIT (32 * MB)
#define MANY 100000 /* connections: descriptors are not scarce */

static int serve_all(Holdings *h, HoldingsRequest *r, int n, const char *group,
                     size_t bytes) {
  int served = 0;
  for (int i = 0; i < n; i++) served += holdings_serve(h, &r[i], group, bytes);
  return served;
}

/* Guards against large requests that leave no room for small ones. */
Test(holdings, large_requests_leave_room_for_small_ones) {
  Holdings *h = holdings_new(LIMIT, MANY);
  HoldingsRequest large[32] = {0}, small = {0};
  int n = serve_all(h, large, 32, "a", 4 * MB);
  cr_assert_eq(n, 6);
  cr_assert(holdings_serve(h, &small, "a", 100000));
  holdings_end(h, &small);
  for (int i = 0; i < 32; i++) holdings_end(h, &large[i]);
  cr_assert_eq(serve_all(h, large, 32, "a", 4 * MB), n);
  for (int i = 0; i < 32; i++) holdings_end(h, &large[i]);
  holdings_free(h);
}

/* Guards against a service whose targets don't answer that takes all from the
   others. */
Test(holdings, a_group_leaves_room_for_others) {
  Holdings *h = holdings_new(LIMIT, MANY);
  static HoldingsRequest a[1000], b[1000], c = {0};
  int n = serve_all(h, a, 1000, "a", 100000);
  cr_assert(n > 200 && n < 240, "%d", n);
  int m = serve_all(h, b, 1000, "b", 100000);
  cr_assert(m > 60, "%d", m);
  cr_assert(holdings_serve(h, &c, "c", 100000));
  holdings_end(h, &c);
  for (int i = 0; i < 1000; i++) {
    holdings_end(h, &a[i]);
    holdings_end(h, &b[i]);
  }
  cr_assert(holdings_may_serve(h, "b", LIMIT - LIMIT / 3));
  holdings_free(h);
}

/* Guards against a limit that refuses a single request of the largest size on a
   small machine. */
Test(holdings, a_single_large_request_is_served) {
  Holdings *h = holdings_new(8 * MB, MANY);
  HoldingsRequest r = {0};
  cr_assert(holdings_serve(h, &r, "a", 4 * MB + 64 * 1024));
  cr_assert_not(holdings_may_serve(h, "a", 4 * MB));
  holdings_end(h, &r);
  holdings_free(h);
}

/* Guards against newcomers that are dropped for what answers hold, and against
   an account that is never over its limit. */
Test(holdings, it_is_over_by_what_can_be_dropped) {
  Holdings *h = holdings_new(LIMIT, MANY);
  Holding served = {0}, arriving = {0};
  holdings_change(h, &served, (Holding){LIMIT + 1, true});
  cr_assert_not(holdings_is_over(h));
  holdings_change(h, &arriving, (Holding){100000, false});
  cr_assert_not(holdings_is_over(h));
  holdings_change(h, &arriving, (Holding){LIMIT / 8 + 1, false});
  cr_assert(holdings_is_over(h));
  cr_assert_eq(holdings_free_bytes(h, &served), LIMIT - (LIMIT / 8 + 1));
  holdings_change(h, &served, (Holding){0});
  cr_assert_not(holdings_is_over(h));
  holdings_change(h, &arriving, (Holding){0});
  holdings_free(h);
}

/* Guards against more connections than there are descriptors. */
Test(holdings, scarce_descriptors_make_connections_larger) {
  Holdings *h = holdings_new(LIMIT, 100);
  cr_assert_eq(holdings_connection_bytes(h), LIMIT / 100);
  cr_assert_eq(holdings_request_bytes(h), LIMIT / 100);
  holdings_free(h);
  h = holdings_new(LIMIT, MANY);
  cr_assert_eq(holdings_connection_bytes(h), LIMIT_CONNECTION_BYTES);
  cr_assert_eq(holdings_request_bytes(h), LIMIT_SERVED_REQUEST_BYTES);
  holdings_free(h);
}

/* Guards against buffers that take twice what they hold, or keep it. */
Test(holdings, buffers_grow_by_little_and_return_what_they_took) {
  char piece[16384] = "x";
  GString *b = g_string_new(NULL);
  while (b->len < 4 * MB) {
    buffer_append(b, piece, sizeof piece, 4 * MB);
    cr_assert(b->allocated_len <= b->len + b->len / 4 + sizeof piece);
  }
  cr_assert(b->allocated_len <= 4 * MB + 1);
  cr_assert_eq(b->str[b->len], '\0');
  buffer_clear(b, 4096);
  cr_assert(b->len == 0 && b->allocated_len == 4096 && b->str[0] == '\0');
  buffer_append(b, piece, 10, 0);
  cr_assert(b->len == 10 && b->allocated_len == 4096);
  g_string_free(b, TRUE);
}

/* Guards against windows that are smaller than ordinary requests where there is
   memory for larger ones, and too large where there is little. */
Test(holdings, receive_buffers_follow_the_limit) {
  static const size_t rows[][2] = {{8 * MB, 8 << 10},
                                   {22 * MB, 22 << 10},
                                   {(size_t)256 * MB, 64 << 10},
                                   {MB, 8 << 10}};
  for (int i = 0; i < 4; i++) {
    Holdings *h = holdings_new(rows[i][0], MANY);
    cr_assert_eq(holdings_caller_receive_bytes(h), rows[i][1]);
    holdings_free(h);
  }
}

/* Guards against receive buffers that are bounded one by one, but not together
   with those of connections that wait to be accepted. */
Test(holdings, receive_buffers_share_their_limit) {
  for (size_t mb = 8; mb <= 256; mb *= 2) {
    Holdings *h = holdings_new(mb * MB, MANY);
    size_t first = holdings_caller_receive_bytes(h), sum = 0;
    size_t n = mb * MB / LIMIT_CONNECTION_BYTES;
    size_t *taken = g_new0(size_t, n);
    for (size_t i = 0; i < n; i++) {
      taken[i] = holdings_take_receive_bytes(h, first);
      cr_assert(i >= LIMIT_RECEIVE_LEFT_DIVISOR || taken[i] == first);
      sum += taken[i];
    }
    cr_assert(sum <= mb * MB + n * LIMIT_RECEIVE_BUFFER_BYTES);
    size_t waiting = (size_t)holdings_backlog(h) * first;
    cr_assert(waiting <= mb * MB / LIMIT_BACKLOG_DIVISOR);
    cr_assert(holdings_backlog(h) >= 512);
    for (size_t i = 0; i < n; i++) holdings_return_receive_bytes(h, taken[i]);
    cr_assert_eq(holdings_receive_bytes(h, first), first);
    g_free(taken);
    holdings_free(h);
  }
}
