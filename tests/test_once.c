/* test_once.c: deduplication of requests between a few instances, message by
   message. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "once/bill.h"
#include "once/once.h"

#define INSTANCE_COUNT 3

/* == a few instances and their messages == */

typedef struct Net {
  Once *core[INSTANCE_COUNT];
  bool up[INSTANCE_COUNT];
  char id[INSTANCE_COUNT][LIMIT_ID_BYTES];
  double now;
  OnceVerdict
      verdict[INSTANCE_COUNT]; /* of the last answer; `target` came with it */
  bool answered[INSTANCE_COUNT], done[INSTANCE_COUNT];
  bool store_works; /* for bills */
  char target[INSTANCE_COUNT][LIMIT_NAME_BYTES];
} Net;

static View *view_of(const Net *n) {
  Member list[INSTANCE_COUNT] = {0};
  int count = 0;
  for (int i = 0; i < INSTANCE_COUNT; i++) {
    if (!n->up[i]) continue;
    Member *m = &list[count++];
    g_strlcpy(m->id, n->id[i], sizeof m->id);
    g_strlcpy(m->region, "town", sizeof m->region);
    snprintf(m->dc, sizeof m->dc, "dc%d", i);
  }
  return view_new(list, count);
}

static void update_views(Net *n) {
  View *v = view_of(n);
  for (int i = 0; i < INSTANCE_COUNT; i++)
    if (n->up[i]) once_set_view(n->core[i], n->now, v);
  view_free(v);
}

static Net *net_new(void) {
  Net *n = g_new0(Net, 1);
  for (int i = 0; i < INSTANCE_COUNT; i++) {
    snprintf(n->id[i], sizeof n->id[i], "i%d.1", i);
    n->core[i] = once_new(n->id[i], "town", (uint32_t)i + 1);
    n->up[i] = true;
  }
  update_views(n);
  return n;
}

static void net_free(Net *n) {
  for (int i = 0; i < INSTANCE_COUNT; i++) once_free(n->core[i]);
  g_free(n);
}

static void deliver(Net *n, int from, const OnceAction *a) {
  for (int i = 0; i < INSTANCE_COUNT; i++)
    if (n->up[i] && strcmp(n->id[i], a->to) == 0)
      once_receive(n->core[i], n->now, n->id[from], &a->msg);
}

static bool deliver_next(Net *n, int i) {
  OnceAction a;
  if (!n->up[i] || !once_next_action(n->core[i], &a)) return false;
  if (a.action == ONCE_DO_SEND) deliver(n, i, &a);
  if (a.action == ONCE_DO_DONE) n->done[i] = true;
  if (a.action == ONCE_DO_BILL)
    once_bill_stored(n->core[i], n->now,
                     n->store_works ? ERR_NONE : ERR_STORE_DOWN);
  if (a.action == ONCE_DO_ANSWER) {
    n->answered[i] = true;
    n->verdict[i] = a.verdict;
    g_strlcpy(n->target[i], a.target, LIMIT_NAME_BYTES);
  }
  once_action_clear(&a);
  return true;
}

static void deliver_all(Net *n) {
  bool any = true;
  while (any) {
    any = false;
    for (int i = 0; i < INSTANCE_COUNT; i++) any |= deliver_next(n, i);
  }
}

static void advance(Net *n, double seconds) {
  for (double end = n->now + seconds; n->now < end; n->now += 0.1) {
    for (int i = 0; i < INSTANCE_COUNT; i++)
      if (n->up[i]) once_tick(n->core[i], n->now, 1700000000);
    deliver_all(n);
  }
}

/* Returns a key whose keeper of `rank` is instance `i`. */
static OnceKey key_with_keeper(const Net *n, int i, int rank) {
  View *v = view_of(n);
  OnceKey k = {0};
  char text[32];
  for (int t = 0;; t++) {
    snprintf(text, sizeof text, "key-%d", t);
    k = once_make_key("c", text);
    if (strcmp(view_home(v, "town", k.hi, rank)->id, n->id[i]) == 0) break;
  }
  view_free(v);
  return k;
}

static void begin_for(Net *n, const char *customer, int i, OnceKey k,
                      bool repeat) {
  n->answered[i] = false;
  once_begin(n->core[i], n->now, (uint64_t)i + 1, customer, k, 7, true, repeat);
  deliver_all(n);
}

static void begin(Net *n, int i, OnceKey k, bool repeat) {
  begin_for(n, "c", i, k, repeat);
}

/* Starts a request at instance `i` whose keeper of rank 0 is instance `keeper`.
 */
static Net *start_run(int i, int keeper, OnceKey *k) {
  Net *n = net_new();
  *k = key_with_keeper(n, keeper, 0);
  begin(n, i, *k, true);
  once_dispatched(n->core[i], n->now, (uint64_t)i + 1, "e1");
  deliver_all(n);
  return n;
}

/* == loss of a runner or a keeper == */

Test(once, loss_of_a_runner_that_is_its_own_keeper_leaves_a_record) {
  OnceKey k;
  Net *n = start_run(0, 0, &k);
  n->up[0] = false;
  /* Until the loss is detected, no instance allows a second run. */
  begin(n, 1, k, true);
  advance(n, 2);
  cr_assert(n->answered[1]);
  cr_assert_eq(n->verdict[1], ONCE_PENDING);
  update_views(n);
  begin(n, 2, k, true);
  advance(n, 2);
  cr_assert(n->answered[2]);
  cr_assert_eq(n->verdict[2], ONCE_RUN);
  cr_assert_str_eq(n->target[2], "e1");
  net_free(n);
}

Test(once, loss_of_a_keeper_allows_no_concurrent_second_run) {
  OnceKey k;
  Net *n = start_run(0, 2, &k);
  n->up[2] = false;
  begin(n, 1, k, true);
  advance(n, 2);
  cr_assert_eq(n->verdict[1], ONCE_PENDING);
  update_views(n);
  begin(n, 1, k, true);
  advance(n, 2);
  cr_assert_eq(n->verdict[1], ONCE_PENDING);
  net_free(n);
}

/* The record at the second keeper must not block the key after the run has
   finished. */
Test(once, second_keeper_does_not_keep_a_finished_run_pending) {
  OnceKey k;
  Net *n = start_run(0, 2, &k);
  OnceBill bill = {.customer = "c", .budget = "c/*", .tokens = 5};
  OnceAnswer answer = {.status = 200, .body = (char *)"x", .len = 1};
  once_finish(n->core[0], n->now, 1, &bill, &answer);
  deliver_all(n);
  cr_assert(n->done[0]);
  begin(n, 1, k, true);
  cr_assert_eq(n->verdict[1], ONCE_REPLAY);
  n->up[2] = false;
  update_views(n);
  begin(n, 1, k, true);
  advance(n, 2);
  cr_assert(n->answered[1]);
  cr_assert_neq(n->verdict[1], ONCE_PENDING);
  net_free(n);
}

Test(once, unresponsive_keepers_delay_a_request_by_at_most_a_second) {
  Net *n = net_new();
  OnceKey k = key_with_keeper(n, 0, 0);
  n->up[0] = n->up[2] = false;
  begin(n, 1, k, true);
  advance(n, 1.2);
  cr_assert(n->answered[1]);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  net_free(n);
}

/* The loss may be detected at any time during the query. */
Test(once, loss_detected_during_the_query_leads_to_the_keeper_with_the_record) {
  for (int moment = 0; moment < 12; moment++) {
    OnceKey k;
    Net *n = start_run(0, 0, &k);
    n->up[0] = false;
    begin(n, 1, k, true);
    advance(n, 0.1 * moment);
    update_views(n);
    advance(n, 2);
    cr_assert(n->answered[1]);
    bool found =
        n->verdict[1] == ONCE_PENDING || strcmp(n->target[1], "e1") == 0;
    cr_assert(found, "detected after %d ticks: verdict %d at '%s'", moment,
              n->verdict[1], n->target[1]);
    net_free(n);
  }
}

/* == memory of records == */

/* Ends the run at instance 1, with an answer of `len` bytes. */
static void finish(Net *n, const char *body, size_t len) {
  OnceBill bill = {.customer = "c", .budget = "c/*", .tokens = 5};
  OnceAnswer answer = {.status = 200, .body = (char *)body, .len = len};
  once_finish(n->core[1], n->now, 2, &bill, &answer);
  deliver_all(n);
}

static void run_to_end(Net *n, OnceKey k, const char *body, size_t len) {
  begin(n, 1, k, true);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  finish(n, body, len);
}

static OnceKey numbered_key(int i) {
  char text[32];
  snprintf(text, sizeof text, "other-%d", i);
  return once_make_key("c", text);
}

/* Guards against records of ended requests that take any amount of memory, and
   against a repeat that runs beside its first run since the record of that was
   dropped. */
Test(once, beyond_the_limit_the_oldest_records_of_ended_requests_are_dropped) {
  static const char body[10000] = "x";
  OnceKey k;
  Net *n = start_run(0, 0, &k);
  for (int i = 0; i < INSTANCE_COUNT; i++)
    once_set_kept_limit(n->core[i], 10 * sizeof body);
  for (int i = 0; i < 60; i++)
    run_to_end(n, numbered_key(i), body, sizeof body - 1);
  begin(n, 1, numbered_key(59), true);
  cr_assert_eq(n->verdict[1], ONCE_REPLAY);
  begin(n, 1, numbered_key(0), true);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  once_abort(n->core[1], n->now, 2);
  deliver_all(n);
  for (int i = 100; i < 5000; i++) {
    begin(n, 1, numbered_key(i), true);
    once_abort(n->core[1], n->now, 2);
    deliver_all(n);
  }
  begin(n, 1, numbered_key(59), true);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  begin(n, 2, k, true);
  cr_assert_eq(n->verdict[2], ONCE_PENDING);
  net_free(n);
}

/* Guards against records that never expire while a run that began before them
   goes on. */
Test(once, records_expire_beside_a_long_run) {
  OnceKey k;
  Net *n = start_run(0, 0, &k);
  OnceKey other = k;
  other.lo++; /* it has the same keeper */
  run_to_end(n, other, "x", 1);
  begin(n, 1, other, true);
  cr_assert_eq(n->verdict[1], ONCE_REPLAY);
  advance(n, ONCE_KEEP_S + 1);
  begin(n, 1, other, true);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  begin(n, 2, k, true);
  cr_assert_eq(n->verdict[2], ONCE_PENDING);
  net_free(n);
}

/* Guards against bills that take any amount of memory while the store is away,
   and against a customer whose bills leave no memory to those of others. */
Test(once, beyond_the_limit_of_bills_no_request_begins_to_run) {
  Net *n = net_new();
  int ran = 0;
  for (int i = 0; i < INSTANCE_COUNT; i++)
    once_set_bill_limit(n->core[i], 16000);
  for (begin(n, 1, numbered_key(0), true);
       n->verdict[1] == ONCE_RUN && ran < 1000;
       begin(n, 1, numbered_key(++ran), true))
    finish(n, "x", 1);
  cr_assert_eq(n->verdict[1], ONCE_NO_BILL);
  cr_assert(ran >= 20 && ran <= 100, "%d", ran);
  begin(n, 1, numbered_key(0), true);
  cr_assert_eq(n->verdict[1], ONCE_REPLAY);
  begin_for(n, "other", 1, numbered_key(ran), true);
  cr_assert_eq(n->verdict[1], ONCE_RUN);
  once_abort(n->core[1], n->now, 2);
  deliver_all(n);
  n->store_works = true;
  advance(n, 60);
  run_to_end(n, numbered_key(ran), "x", 1);
  net_free(n);
}

/* == encoding of bills == */

typedef struct Collected {
  int n;
  int64_t tokens[8], unix_s[8];
  char budget[8][16], key[8][16], customer[8][16];
} Collected;

static void collect_bill(void *ctx, const BillItem *x) {
  Collected *r = ctx;
  r->tokens[r->n] = x->tokens;
  r->unix_s[r->n] = x->unix_s;
  g_strlcpy(r->budget[r->n], x->budget, 16);
  g_strlcpy(r->customer[r->n], x->customer, 16);
  g_strlcpy(r->key[r->n++], x->key, 16);
}

Test(once, bills_of_several_budgets_round_trip) {
  BillItem items[] = {{"k1", "c", "c/*", 5, 1000},
                      {"k2", "d", "other", 6, 998},
                      {"k3", "c", "c/*", 7, 1003}};
  Collected r = {0};
  char *text = bill_encode_batch(items, 3);
  cr_assert(bill_decode_batch(text, collect_bill, &r));
  g_free(text);
  cr_assert_eq(r.n, 3);
  int order[] = {0, 2, 1}; /* by budget, in order of appearance */
  for (int i = 0; i < 3; i++) {
    const BillItem *x = &items[order[i]];
    cr_assert_str_eq(r.key[i], x->key);
    cr_assert_str_eq(r.budget[i], x->budget);
    cr_assert_str_eq(r.customer[i], x->customer);
    cr_assert_eq(r.tokens[i], x->tokens);
    cr_assert_eq(r.unix_s[i], x->unix_s);
  }
  cr_assert_not(bill_decode_batch("[]", collect_bill, &r));
  cr_assert_not(bill_decode_batch("{\"budgets\":3}", collect_bill, &r));
  cr_assert(bill_decode_batch("{\"budgets\":[[],[1,2],[\"b\",\"\",3]]}",
                              collect_bill, &r));
  cr_assert_eq(r.n, 3);
}
