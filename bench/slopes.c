/* slopes.c: the marginal cost of each kind of item, measured at three sizes to
   show whether it is linear. Prints one JSON line per measurement;
   bench/capacity.py computes docs/CAPACITY.md from them. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "bench/slopes.h"
#include "kernel/log.h"
#include "ledger/ledger.h"
#include "ledger/shard.h"
#include "member/member.h"
#include "once/bill.h"
#include "once/once.h"
#include "peer/codec.h"
#include "place/place.h"
#include "queue/queue.h"
#include "route/route.h"
#include "table/table.h"

double slopes_cpu_ns(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

double slopes_heap_bytes(void) {
  return (double)mallinfo2().uordblks;
}

void slopes_print(const char *what, int n, double value) {
  printf("{\"slope\":\"%s\",\"n\":%d,\"value\":%.1f}\n", what, n, value);
}

static void discard_ledger_actions(Ledger *l) {
  LedgerAction a;
  while (ledger_next_action(l, &a)) g_free(a.text);
}

View *slopes_view(int n) {
  Member *list = g_new0(Member, n);
  for (int i = 0; i < n; i++) {
    snprintf(list[i].id, LIMIT_ID_BYTES, "instance-%03d.0123abcd", i);
    snprintf(list[i].region, LIMIT_NAME_BYTES, "region-%d", i % 7);
    snprintf(list[i].dc, LIMIT_NAME_BYTES, "dc-%d", i % 26);
    snprintf(list[i].peer, LIMIT_NAME_BYTES, "tcp://10.0.%d.%d:7000", i / 250,
             i % 250);
    snprintf(list[i].http, LIMIT_NAME_BYTES, "10.0.%d.%d:8080", i / 250,
             i % 250);
  }
  View *v = view_new(list, n);
  g_free(list);
  return v;
}

/* == ledger == */

static LedgerBudget *make_rows(int n) {
  LedgerBudget *rows = g_new0(LedgerBudget, n);
  for (int i = 0; i < n; i++) {
    snprintf(rows[i].name, LIMIT_NAME_BYTES, "customer-%04d/service-%02d",
             i / 35, i % 35);
    rows[i].total = 1000000000;
    rows[i].version = 1;
    rows[i].outage_reserve_s = 600;
  }
  return rows;
}

/* Rows of shards whose home in region-1 is `self` in the view. */
static LedgerBudget *make_rows_at_home(const View *v, const char *self, int n) {
  LedgerBudget *rows = g_new0(LedgerBudget, n);
  for (int i = 0, k = 0; k < n; i++) {
    char name[LIMIT_NAME_BYTES], shard[LIMIT_NAME_BYTES];
    snprintf(name, sizeof name, "customer-%04d/service-%02d", i / 35, i % 35);
    shard_object_name(shard_index(name), shard);
    const Member *m =
        view_home(v, "region-1", XXH64(shard, strlen(shard), 0), 0);
    if (strcmp(m->id, self) != 0) continue;
    g_strlcpy(rows[k].name, name, LIMIT_NAME_BYTES);
    rows[k].total = 1000000000;
    rows[k].version = 1;
    rows[k++].outage_reserve_s = 600;
  }
  return rows;
}

/* Allots to a holder an account for each of the first `n` rows. */
static void open_accounts(Ledger *l, const LedgerBudget *rows, int n) {
  for (int i = 0; i < n; i++) {
    LedgerMsg m = {
        .kind = LEDGER_ALLOT, .grant = (uint64_t)i + 1, .granted = 1000000};
    g_strlcpy(m.budget, rows[i].name, sizeof m.budget);
    ledger_receive(l, 1, "instance-008.0123abcd", &m);
  }
}

static void measure_ledger(int n) {
  LedgerBudget *rows = make_rows(35000);
  View *v = slopes_view(350);
  double heap_start = slopes_heap_bytes();
  Ledger *l = ledger_new("instance-001.0123abcd", "region-1", 1);
  ledger_set_view(l, 1, v);
  ledger_set_budgets(l, 1, rows, n);
  discard_ledger_actions(l);
  double heap_with_rows = slopes_heap_bytes();
  slopes_print("ledger row bytes", n, (heap_with_rows - heap_start) / n);
  open_accounts(l, rows, n);
  double heap_with_accounts = slopes_heap_bytes();
  slopes_print("ledger account bytes", n,
               (heap_with_accounts - heap_with_rows) / n);
  const int ops = 200000;
  double start_ns = slopes_cpu_ns();
  for (int i = 0; i < ops; i++) {
    uint64_t handle = (uint64_t)i + 1;
    ledger_reserve(l, 1, handle, rows[i % n].name, 10, -1);
    ledger_settle(l, 1, handle, 1);
    discard_ledger_actions(l);
  }
  slopes_print("ledger reserve and settle ns", n,
               (slopes_cpu_ns() - start_ns) / ops);
  start_ns = slopes_cpu_ns();
  for (int i = 0; i < 20; i++) {
    ledger_tick(l, 2 + i * 0.1, 1);
    discard_ledger_actions(l);
  }
  slopes_print("ledger tick ns an account", n,
               (slopes_cpu_ns() - start_ns) / 20 / n);
  ledger_free(l);
  view_free(v);
  g_free(rows);
}

/* Plays the store and the witnesses until the home has no more actions. */
static void answer_home(Ledger *l) {
  LedgerAction a;
  while (ledger_next_action(l, &a)) {
    if (a.action == LEDGER_ACTION_GET)
      ledger_store_result(l, 1, a.shard, ERR_STORE_ABSENT, 0, NULL);
    if (a.action == LEDGER_ACTION_PUT)
      ledger_store_result(l, 1, a.shard, ERR_NONE, a.version + 1, NULL);
    if (a.action == LEDGER_ACTION_SEND && a.msg.kind == LEDGER_RAISE) {
      LedgerMsg agreement = a.msg;
      agreement.kind = LEDGER_RAISE_ACK;
      ledger_receive(l, 1, a.to, &agreement);
    }
    g_free(a.text);
  }
}

/* A home with `n` grants, each drawn on by one holder. */
static void measure_home(int n) {
  View *v = slopes_view(350);
  LedgerBudget *rows = make_rows_at_home(v, "instance-001.0123abcd", n);
  Ledger *l = ledger_new("instance-001.0123abcd", "region-1", 1);
  ledger_set_view(l, 1, v);
  ledger_set_budgets(l, 1, rows, n);
  ledger_tick(l, 1, 1);
  answer_home(l);
  double heap_start = slopes_heap_bytes(), start_ns = slopes_cpu_ns();
  for (int i = 0; i < n; i++) {
    LedgerMsg m = {.kind = LEDGER_DRAW, .need = 100, .want = 1000};
    g_strlcpy(m.budget, rows[i].name, sizeof m.budget);
    ledger_receive(l, 1, "instance-015.0123abcd", &m);
  }
  slopes_print("home draw ns", n, (slopes_cpu_ns() - start_ns) / n);
  slopes_print("home grant bytes", n, (slopes_heap_bytes() - heap_start) / n);
  answer_home(l);
  start_ns = slopes_cpu_ns();
  for (int i = 0; i < 20; i++) {
    ledger_tick(l, 2 + i * 0.1, 1);
    discard_ledger_actions(l);
  }
  slopes_print("home tick ns a grant", n,
               (slopes_cpu_ns() - start_ns) / 20 / n);
  ledger_free(l);
  view_free(v);
  g_free(rows);
}

static void measure_witness(int n) {
  Ledger *l = ledger_new("instance-001.0123abcd", "region-1", 1);
  double heap_start = slopes_heap_bytes();
  for (int i = 0; i < n; i++) {
    LedgerMsg m = {.kind = LEDGER_RAISE, .grant = (uint64_t)i + 1, .limit = 9};
    ledger_receive(l, 1, "x.1", &m);
    discard_ledger_actions(l);
  }
  slopes_print("witness entry bytes", n,
               (slopes_heap_bytes() - heap_start) / n);
  ledger_free(l);
}

static void measure_shard(int n) {
  for (int grants = 0; grants <= 7; grants += 7) {
    Shard *s = shard_new();
    for (int i = 0; i < n; i++) {
      char name[LIMIT_NAME_BYTES];
      snprintf(name, sizeof name, "customer-%04d/service-%02d", i, i % 35);
      ShardBudget *b = shard_ensure_budget(s, name);
      b->total = 1000000000;
      for (int k = 0; k < grants; k++) {
        ShardGrant *g = shard_add_grant(b, (uint64_t)k << 60 | (uint64_t)i,
                                        "instance-001.0123abcd",
                                        "instance-051.0123abcd", "region-1");
        g->granted = 123456789;
        g->spent = 12345678;
      }
    }
    double start_ns = slopes_cpu_ns();
    char *text = shard_encode(s);
    Shard *decoded = shard_decode(text);
    slopes_print(grants ? "shard code ns a budget"
                        : "shard code ns an idle budget",
                 n, (slopes_cpu_ns() - start_ns) / n);
    slopes_print(grants ? "shard bytes a budget" : "shard bytes an idle budget",
                 n, (double)strlen(text) / n);
    g_free(text);
    shard_free(s);
    shard_free(decoded);
  }
}

/* == members == */

static void measure_members(int n) {
  View *v = slopes_view(n);
  double heap_start = slopes_heap_bytes();
  MemberSet *s = member_new(&v->list[0]);
  for (int i = 1; i < n; i++) member_receive_heartbeat(s, 1, &v->list[i]);
  slopes_print("member bytes", n, (slopes_heap_bytes() - heap_start) / n);
  double start_ns = slopes_cpu_ns();
  for (int k = 0; k < 100; k++)
    for (int i = 1; i < n; i++) member_receive_heartbeat(s, 2 + k, &v->list[i]);
  slopes_print("heartbeat taken ns", n, (slopes_cpu_ns() - start_ns) / 100 / n);
  Ledger *l = ledger_new(v->list[1].id, v->list[1].region, 1);
  start_ns = slopes_cpu_ns();
  for (int k = 0; k < 20; k++) ledger_set_view(l, 1, v);
  slopes_print("view change ns a member", n,
               (slopes_cpu_ns() - start_ns) / 20 / n);
  ledger_free(l);
  member_free(s);
  view_free(v);
}

/* == route and queue == */

static void measure_route(int n) {
  RouteTarget *list = g_new0(RouteTarget, n);
  for (int i = 0; i < n; i++) {
    snprintf(list[i].name, LIMIT_NAME_BYTES, "target-%04d", i);
    list[i].slots = 1 << 20;
  }
  Route *r = route_new(1, ROUTE_OURS);
  double heap_start = slopes_heap_bytes();
  route_set_targets(r, list, n);
  slopes_print("target bytes", n, (slopes_heap_bytes() - heap_start) / n);
  char prompt[4096];
  memset(prompt, 'x', sizeof prompt);
  RouteRequest ask = {.tokens = 1024};
  ask.n_blocks = route_hash_blocks(prompt, sizeof prompt, ask.blocks);
  double start_ns = slopes_cpu_ns();
  const int picks = 20000;
  for (int i = 0; i < picks; i++) {
    RouteChoice c;
    route_pick(r, 1, &ask, &c);
    route_note_done(r, 1, c.name, ROUTE_OK, 10, 0.01, 1);
  }
  slopes_print("route decision ns", n, (slopes_cpu_ns() - start_ns) / picks);
  route_free(r);
  g_free(list);
}

static void measure_queue(int n) {
  Queue *q = queue_new();
  int retry;
  for (int i = 0; i < n; i++) {
    QueueItem x = {.handle = (uint64_t)i + 1,
                   .customer = "c",
                   .class = i % 8,
                   .weight = 1,
                   .tokens = 1,
                   .max_wait_s = 1e9};
    queue_push(q, 0, &x, 1e9, &retry);
  }
  double start_ns = slopes_cpu_ns();
  for (int i = 0; i < 2000; i++) {
    QueueItem x = {.handle = (uint64_t)(n + i) + 1,
                   .customer = "c",
                   .class = i % 8,
                   .weight = 1,
                   .tokens = 1,
                   .max_wait_s = 1e9};
    QueueDecision o;
    queue_push(q, 0, &x, 1e9, &retry);
    queue_pop(q, 0, 1, 1e9, &o);
    queue_done(q, &x, 1);
  }
  slopes_print("queue push and pop ns", n, (slopes_cpu_ns() - start_ns) / 2000);
  queue_free(q);
}

/* == placement == */

static void measure_placement(int n) {
  Place *p = place_new();
  PlaceTarget *targets = g_new0(PlaceTarget, n);
  PlaceRequirement wants[5] = {0};
  PlaceAction a;
  for (int i = 0; i < n; i++) {
    snprintf(targets[i].name, LIMIT_NAME_BYTES, "target-%d", i);
    targets[i].slots = targets[i].max_adapters = 8;
    targets[i].running = 4;
    targets[i].live = true;
  }
  for (int i = 0; i < 5; i++) {
    snprintf(wants[i].adapter, LIMIT_NAME_BYTES, "adapter-%d", i);
    wants[i].min_targets = n / 10;
  }
  place_set_home(p, true);
  char *plan = NULL;
  uint64_t version = 0;
  double start_ns = 0;
  for (int visit = 0; visit < n + 200; visit++) {
    if (visit == n)
      start_ns = slopes_cpu_ns(); /* all adapters are placed by then */
    place_update(p, visit, targets, n, wants, 5);
    while (place_next_action(p, &a)) {
      if (a.action == PLACE_PUT_PLAN) {
        g_free(plan);
        plan = a.text;
        version++;
      }
      if (a.action == PLACE_SEND_ORDER)
        place_on_order_result(p, visit, a.target, a.version, a.adapters,
                              PLACE_DONE);
      else
        place_on_store_result(
            p, visit, a.seq, plan ? ERR_NONE : ERR_STORE_ABSENT, version, plan);
    }
  }
  slopes_print("place look ns a target", n,
               (slopes_cpu_ns() - start_ns) / 200 / n);
  place_free(p);
  g_free(targets);
  g_free(plan);
}

static void measure_view_home(int n) {
  View *v = slopes_view(n);
  const Member *m = NULL;
  double start_ns = slopes_cpu_ns();
  for (uint64_t k = 0; k < 1000; k++) m = view_home(v, NULL, k, 0);
  g_assert(m);
  slopes_print("view home ns a member", n,
               (slopes_cpu_ns() - start_ns) / 1000 / n);
  view_free(v);
}

/* == records == */

static void discard_once_actions(Once *o) {
  OnceAction a;
  while (once_next_action(o, &a)) once_action_clear(&a);
}

static void measure_records(int n) {
  View *v = slopes_view(1);
  Once *o = once_new("instance-000.0123abcd", "region-0", 1);
  once_set_view(o, 1, v);
  OnceBill bill = {
      .customer = "customer-0001", .budget = "customer-0001/x", .tokens = 100};
  OnceAnswer none = {.status = 200};
  double heap_start = slopes_heap_bytes(), start_ns = slopes_cpu_ns();
  for (int i = 0; i < n; i++) {
    char key[32];
    snprintf(key, sizeof key, "key-%d", i);
    uint64_t handle = (uint64_t)i + 1;
    once_begin(o, 1, handle, "c", once_make_key("c", key), 1, true, true);
    once_finish(o, 1, handle, &bill, &none);
    discard_once_actions(o);
  }
  slopes_print("record begin and finish ns", n,
               (slopes_cpu_ns() - start_ns) / n);
  slopes_print("record and owed bill bytes", n,
               (slopes_heap_bytes() - heap_start) / n);
  once_free(o);
  view_free(v);
}

/* == table == */

static void measure_table(int n) {
  GString *csv = g_string_new("kind,name,key,tokens,reserve\n");
  for (int i = 0; i < n / 35 + 1; i++)
    g_string_append_printf(csv, "customer,customer-%04d,%064d,,\n", i, i);
  for (int i = 0; i < n; i++)
    g_string_append_printf(csv, "budget,customer-%04d/s%02d,,1000000000,600\n",
                           i / 35, i % 35);
  for (int i = 0; i < 35; i++)
    g_string_append_printf(csv, "service,s%02d,,,\n", i);
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  double heap_start = slopes_heap_bytes(), start_ns = slopes_cpu_ns();
  Table *table = table_read_csv(csv->str, errors, NULL);
  g_assert(table);
  slopes_print("table parse ns a row", n, (slopes_cpu_ns() - start_ns) / n);
  slopes_print("table row bytes", n, (slopes_heap_bytes() - heap_start) / n);
  size_t bytes = 0;
  for (int i = 0; i < 4; i++) {
    char *part = table_encode_part(table, i);
    bytes += strlen(part);
    g_free(part);
  }
  slopes_print("table part bytes", n, (double)bytes / 4);
  start_ns = slopes_cpu_ns();
  Table *next = table_new();
  for (guint i = 0; i < table->sorted_rows->len; i++)
    table_share_row(next, table->sorted_rows->pdata[i]);
  table_sort_rows(next);
  slopes_print("table share ns a row", n, (slopes_cpu_ns() - start_ns) / n);
  table_free(next);
  table_free(table);
  g_string_free(csv, TRUE);
  g_ptr_array_free(errors, TRUE);
}

/* == messages and log == */

static void print_size(const char *what, msgpack_sbuffer *b) {
  slopes_print(what, 1, (double)b->size);
  msgpack_sbuffer_clear(b);
}

static void measure_message_sizes(void) {
  msgpack_sbuffer b;
  msgpack_sbuffer_init(&b);
  CodecHead head = {UINT64_MAX, UINT64_MAX};
  codec_put_head(&b, &head);
  print_size("frame head bytes", &b);
  View *v = slopes_view(1);
  codec_put_heartbeat(&b, &v->list[0]);
  print_size("heartbeat bytes", &b);
  view_free(v);
  LedgerMsg l = {.kind = LEDGER_REPORT,
                 .budget = "customer-0001/service-01",
                 .grant = UINT64_MAX,
                 .granted = 123456789,
                 .returned = 1234567,
                 .spent = 12345678};
  codec_put_ledger(&b, &l);
  print_size("ledger message bytes", &b);
  OnceMsg o = {.kind = ONCE_FINISH,
               .key = {UINT64_MAX, UINT64_MAX},
               .nonce = UINT64_MAX,
               .digest = UINT64_MAX,
               .bill = {.customer = "customer-0001",
                        .budget = "customer-0001/service-01",
                        .tokens = 500}};
  codec_put_once(&b, &o);
  print_size("finish bytes", &b);
  o.kind = ONCE_FINISH_ACK;
  o.digest = 0;
  codec_put_once(&b, &o);
  print_size("other record message bytes", &b);
  static char body[300];
  memset(body, 'x', sizeof body - 1);
  o.kind = ONCE_OUTCOME;
  o.digest = UINT64_MAX;
  o.answer = (OnceAnswer){
      .status = 201, .type = "application/json", .body = body, .len = 299};
  codec_put_once(&b, &o);
  print_size("claim outcome bytes", &b);
  msgpack_sbuffer_destroy(&b);
}

/* A batch of one node at the fleet's target size: its requests of 87 s, spread
   evenly over the budgets, so that few lines share a name. */
static void measure_bill_line(int n) {
  BillItem *items = g_new0(BillItem, n);
  char(*names)[64] = g_malloc((gsize)n * 64);
  for (int i = 0; i < n; i++) {
    snprintf(names[i], 64, "customer-%04d/service-%02d", i % 990, i % 35);
    items[i] = (BillItem){"0123456789abcdef0123456789abcdef", "customer-0001",
                          names[i], 500, 1700000000 + i % 87};
  }
  char *text = bill_encode_batch(items, n);
  slopes_print("bill line bytes", n, (double)strlen(text) / n);
  g_free(text);
  g_free(names);
  g_free(items);
}

static void measure_log_line(void) {
  const int n = 20000;
  log_open("instance", false);
  double start_ns = slopes_cpu_ns();
  for (int i = 0; i < n; i++)
    log_info("route", "s:s,s:s,s:s,s:f,s:f,s:f", "request", "req-0123456789",
             "customer", "customer-0001", "target", "target-1", "path", 0.001,
             "prefill", 0.01, "wait", 0.0);
  slopes_print("log line ns", n, (slopes_cpu_ns() - start_ns) / n);
}

int main(void) {
  static const int budgets[] = {1000, 5000, 20000};
  static const int members[] = {50, 150, 350};
  static const int targets[] = {8, 64, 400};
  static const int queued[] = {64, 192, 512};
  for (int i = 0; i < 3; i++) {
    measure_ledger(budgets[i]);
    measure_home(budgets[i]);
    measure_witness(budgets[i]);
    measure_shard(budgets[i] / 20);
    measure_members(members[i]);
    measure_route(targets[i]);
    measure_queue(queued[i]);
    measure_placement(targets[i]);
    measure_view_home(members[i]);
    measure_records(budgets[i]);
    claims_measure(budgets[i]);
    measure_table(budgets[i]);
  }
  measure_bill_line(500);
  measure_bill_line(1600);
  measure_bill_line(4000);
  measure_message_sizes();
  measure_log_line();
  return 0;
}
