/* test_allocations.c: reports of demand, answers and their expiry among
   instances, without a network: messages are encoded, counted and decoded. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fleet/allocations.h"
#include "kernel/text.h"
#include "peer/codec.h"

#define MAX_HOSTS 350
#define MAX_SERVICES 26
#define HEAD_BYTES 20 /* of a frame (docs/CAPACITY.md) */

struct Net;

typedef struct Host {
  struct Net *net;
  Allocations *t;
  Member self;
  bool cut_off, frozen;
  TallyPoolState pools[MAX_SERVICES];
  int64_t bytes_out, bytes_in;
} Host;

typedef struct Packet {
  int from, to;
  char *data;
  size_t size;
} Packet;

typedef struct Net {
  int n, n_services;
  Host hosts[MAX_HOSTS];
  View *view;
  AllocationsService services[MAX_SERVICES];
  uint64_t hashes[MAX_SERVICES];
  GArray *packets;
  int64_t sent; /* packets */
  double now;
} Net;

static int index_of(const Net *net, const char *id) {
  for (int i = 0; i < net->n; i++)
    if (strcmp(net->hosts[i].self.id, id) == 0) return i;
  return -1;
}

static void post(Host *h, const Member *to, msgpack_sbuffer *b) {
  Packet p = {.from = (int)(h - h->net->hosts),
              .to = index_of(h->net, to->id),
              .data = g_memdup2(b->data, b->size),
              .size = b->size};
  h->bytes_out += (int64_t)b->size + HEAD_BYTES;
  h->net->sent++;
  g_array_append_val(h->net->packets, p);
  msgpack_sbuffer_destroy(b);
}

static void on_demand(void *ctx, const Member *to, const AllocationDemand *m) {
  msgpack_sbuffer b;
  msgpack_sbuffer_init(&b);
  codec_put_demand(&b, m);
  post(ctx, to, &b);
}

static void on_answer(void *ctx, const Member *to, const AllocationAnswer *m) {
  msgpack_sbuffer b;
  msgpack_sbuffer_init(&b);
  codec_put_allocation(&b, m);
  post(ctx, to, &b);
}

static bool on_pool_state(void *ctx, uint64_t service, TallyPoolState *out) {
  const Host *h = ctx;
  for (int i = 0; i < h->net->n_services; i++)
    if (h->net->hashes[i] == service) *out = h->pools[i];
  return out->targets > 0;
}

static const char *on_customer_name(void *ctx, uint64_t customer) {
  (void)ctx;
  (void)customer;
  return NULL;
}

static void set_view(Net *net) {
  Member list[MAX_HOSTS];
  int n = 0;
  for (int i = 0; i < net->n; i++)
    if (!net->hosts[i].cut_off) list[n++] = net->hosts[i].self;
  View *old = net->view;
  net->view = view_new(list, n);
  for (int i = 0; i < net->n; i++)
    allocations_set_members(net->hosts[i].t, net->view);
  view_free(old);
}

static Net *net_new(int hosts, int services) {
  static const AllocationsEvents events = {on_demand, on_answer, on_pool_state,
                                           on_customer_name};
  Net *net = g_new0(Net, 1);
  net->n = hosts;
  net->n_services = services;
  net->now = 100;
  net->packets = g_array_new(FALSE, FALSE, sizeof(Packet));
  for (int i = 0; i < services; i++) {
    g_snprintf(net->services[i].name, LIMIT_NAME_BYTES, "model-%d", i);
    net->services[i].objective_s = 1;
    net->hashes[i] = text_hash(net->services[i].name);
  }
  for (int i = 0; i < hosts; i++) {
    Host *h = &net->hosts[i];
    h->net = net;
    g_snprintf(h->self.id, sizeof h->self.id, "n%03d.1", i);
    h->t = allocations_new(h->self.id, &events, h);
    allocations_set_services(h->t, net->services, services);
  }
  set_view(net);
  return net;
}

static void drop_packets(Net *net) {
  for (guint i = 0; i < net->packets->len; i++)
    g_free(g_array_index(net->packets, Packet, i).data);
  g_array_set_size(net->packets, 0);
}

static void net_free(Net *net) {
  for (int i = 0; i < net->n; i++) allocations_free(net->hosts[i].t);
  drop_packets(net);
  g_array_free(net->packets, TRUE);
  view_free(net->view);
  g_free(net);
}

static void deliver_one(Net *net, const Packet *p) {
  Host *to = &net->hosts[p->to], *from = &net->hosts[p->from];
  CodecMsg m;
  size_t off = 0;
  if (from->cut_off || to->cut_off) return;
  to->bytes_in += (int64_t)p->size + HEAD_BYTES;
  cr_assert(codec_get(p->data, p->size, &off, &m) && off == p->size);
  if (m.type == CODEC_DEMAND)
    allocations_receive_demand(to->t, net->now, &from->self, m.demand);
  else
    allocations_receive_answer(to->t, net->now, m.allocation);
  codec_clear(&m);
}

/* Packets for a frozen instance wait. */
static void deliver(Net *net) {
  for (guint i = 0; i < net->packets->len;) {
    Packet p = g_array_index(net->packets, Packet, i);
    if (net->hosts[p.to].frozen) {
      i++;
      continue;
    }
    g_array_remove_index(net->packets, i);
    deliver_one(net, &p);
    g_free(p.data);
  }
}

static void tick(Net *net, double seconds) {
  net->now += seconds;
  for (int i = 0; i < net->n; i++)
    if (!net->hosts[i].frozen) allocations_tick(net->hosts[i].t, net->now);
  deliver(net);
}

static void ask(Net *net, int host, int service, uint64_t customer,
                int64_t tokens, bool admitted) {
  AllocationsDecision d = {.service = net->hashes[service],
                           .customer = customer,
                           .prompt_tokens = tokens,
                           .unread_tokens = admitted ? tokens : -1,
                           .admitted = admitted,
                           .rejected = !admitted};
  allocations_note_decision(net->hosts[host].t, net->now, &d);
}

static AdmissionCutoff cutoff(const Net *net, int host, int service,
                              uint64_t customer) {
  AdmissionCutoff c;
  allocations_cutoff(net->hosts[host].t, net->now, net->hashes[service],
                     customer, &c);
  return c;
}

static int allocator(const Net *net, int service) {
  return index_of(net, view_home(net->view, NULL, net->hashes[service], 0)->id);
}

/* Customer 1 asks for 20,000 and customer 2 for 180,000 tokens per second, at
   all instances; the targets read 100,000. */
static void play_flood(Net *net, double seconds) {
  for (double until = net->now + seconds; net->now < until - 0.01;) {
    for (int i = 0; i < net->n; i++) {
      ask(net, i, 0, 1, 1000 / net->n, true);
      ask(net, i, 0, 2, 9000 / net->n, false);
      net->hosts[i].pools[0] =
          (TallyPoolState){.targets = 1,
                           .tokens_per_s = 100000.0 / net->n,
                           .wait_s = 0.7,
                           .read_per_s = 100000.0 / net->n};
    }
    tick(net, 0.05);
  }
}

/* Guards against messages or rejections where the part is not active. */
Test(allocations, services_that_are_not_managed_send_nothing) {
  Net *net = net_new(3, 1);
  for (int i = 0; i < net->n; i++)
    allocations_set_services(net->hosts[i].t, NULL, 0);
  play_flood(net, 3);
  cr_assert_eq(net->sent, 0);
  AdmissionCutoff c = cutoff(net, 0, 0, 2);
  cr_assert(!c.short_of_capacity && c.cutoff == INFINITY);
  cr_assert(c.retries_per_s == 0 && c.retries_from == 0);
  net_free(net);
}

Test(allocations, a_service_that_is_not_in_use_sends_nothing) {
  Net *net = net_new(3, 2);
  for (int i = 0; i < 100; i++) tick(net, 0.05);
  cr_assert_eq(net->sent, 0);
  net_free(net);
}

Test(allocations, cutoffs_reach_all_instances) {
  Net *net = net_new(14, 1);
  play_flood(net, 4);
  for (int i = 0; i < net->n; i++) {
    AdmissionCutoff c = cutoff(net, i, 0, 2);
    cr_assert(c.short_of_capacity, "%d", i);
    cr_assert_float_eq(c.cutoff, 75.0 / 180, 0.1, "%d: %f", i, c.cutoff);
    cr_assert_eq(cutoff(net, i, 0, 1).cutoff, INFINITY);
    cr_assert_gt(c.retries_per_s, 0);
  }
  net_free(net);
}

/* Guards against an instance that learns only with its next report that a
   service is short of capacity. */
Test(allocations, a_change_is_sent_to_all_at_once) {
  Net *net = net_new(14, 1);
  int known = 0;
  play_flood(net, 0.3);
  for (int i = 0; i < 60 && known == 0; i++) {
    play_flood(net, 0.05);
    for (int k = 0; k < net->n; k++)
      known += cutoff(net, k, 0, 2).short_of_capacity;
  }
  cr_assert_eq(known, 14);
  cr_assert_lt(net->now, 102);
  net_free(net);
}

/* Guards against requests that are held back by an allocator that is gone. */
Test(allocations, an_allocation_without_renewal_is_ignored_after_a_second) {
  Net *net = net_new(14, 1);
  play_flood(net, 4);
  int lost = allocator(net, 0), other = (lost + 1) % 14;
  net->hosts[lost].cut_off = true;
  play_flood(net, 1.1);
  cr_assert_eq(cutoff(net, other, 0, 2).cutoff, INFINITY);
  cr_assert(!cutoff(net, other, 0, 2).short_of_capacity);
  set_view(net); /* the loss was noticed */
  cr_assert_neq(allocator(net, 0), lost);
  play_flood(net, 0.4);
  cr_assert(!cutoff(net, other, 0, 2).short_of_capacity,
            "the new allocator knows nothing yet");
  play_flood(net, 1.5);
  cr_assert_lt(cutoff(net, other, 0, 2).cutoff, 1);
  net_free(net);
}

/* Guards against the answers of an allocator that was frozen: they are given
   after the freeze, to reports from before it. */
Test(allocations, answers_of_a_frozen_allocator_are_ignored) {
  Net *net = net_new(14, 1);
  play_flood(net, 4);
  int frozen = allocator(net, 0), other = (frozen + 1) % 14;
  net->hosts[frozen].frozen = true;
  play_flood(net, 5);
  cr_assert_eq(cutoff(net, other, 0, 2).cutoff, INFINITY);
  net->hosts[frozen].frozen = false;
  for (int i = 0; i < net->n; i++) /* no further reports */
    if (i != frozen) allocations_set_members(net->hosts[i].t, NULL);
  deliver(net);
  deliver(net);
  cr_assert_eq(cutoff(net, other, 0, 2).cutoff, INFINITY);
  net_free(net);
}

Test(allocations, a_paused_process_forgets_what_it_divided) {
  Net *net = net_new(3, 1);
  play_flood(net, 4);
  int at = allocator(net, 0);
  cr_assert_gt(allocations_bytes(net->hosts[at].t), 0);
  allocations_note_pause(net->hosts[at].t, net->now);
  cr_assert_eq(allocations_bytes(net->hosts[at].t), 0);
  cr_assert_eq(cutoff(net, at, 0, 2).cutoff, INFINITY);
  net_free(net);
}

/* Guards against state of services that nobody reports here any more. */
Test(allocations, an_allocator_without_reports_drops_its_state) {
  Net *net = net_new(3, 1);
  play_flood(net, 2);
  int at = allocator(net, 0);
  for (int i = 0; i < net->n; i++) net->hosts[i].pools[0] = (TallyPoolState){0};
  for (int i = 0; i < 140; i++) tick(net, 0.05);
  cr_assert_eq(allocations_bytes(net->hosts[at].t), 0);
  net_free(net);
}

/* Guards against a customer that seems to ask for its whole prompts as soon as
   some are rejected, although targets have nine tenths of them cached. */
Test(allocations, rejected_prompts_count_less_what_is_usually_cached) {
  Net *net = net_new(2, 1);
  int from = 1 - allocator(net, 0);
  AllocationsDecision d = {.service = net->hashes[0],
                           .customer = 5,
                           .prompt_tokens = 10000,
                           .unread_tokens = 1000,
                           .admitted = true};
  AllocationDemand m;
  CodecMsg msg;
  size_t off = 0;
  for (int i = 0; i < 20; i++)
    allocations_note_decision(net->hosts[from].t, net->now, &d);
  net->hosts[from].frozen = true;
  tick(net, 0.05); /* the allocator reports to itself, without a packet */
  net->hosts[from].frozen = false;
  allocations_tick(net->hosts[from].t, net->now += 0.5);
  drop_packets(net);
  d.unread_tokens = -1;
  d.admitted = false;
  d.rejected = true;
  for (int i = 0; i < 10; i++)
    allocations_note_decision(net->hosts[from].t, net->now, &d);
  allocations_tick(net->hosts[from].t, net->now += 0.5);
  cr_assert_eq(net->packets->len, 1);
  Packet p = g_array_index(net->packets, Packet, 0);
  cr_assert(codec_get(p.data, p.size, &off, &msg));
  m = *msg.demand;
  codec_clear(&msg);
  cr_assert(m.n == 1 && m.rejected == 10);
  cr_assert_float_eq(m.rows[0].asked, 20000, 1);
  cr_assert_eq(m.rows[0].admitted, 0);
  net_free(net);
}

/* Guards against values that no allocator can have meant. */
Test(allocations, damaged_answers_have_no_effect) {
  static const double bad[] = {-1, NAN, INFINITY, 1e300};
  Net *net = net_new(2, 1);
  play_flood(net, 4);
  int at = 1 - allocator(net, 0);
  double before = cutoff(net, at, 0, 2).cutoff;
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
    for (int k = 0; k < 4; k++) {
      AllocationAnswer a = {.service = net->hashes[0], .number = 8, .n = 1};
      double *fields[] = {&a.age_s, &a.retries_per_s, &a.retries_in_s,
                          &a.cutoffs[0].cutoff};
      *fields[k] = bad[i];
      allocations_receive_answer(net->hosts[at].t, net->now, &a);
      cr_assert_eq(cutoff(net, at, 0, 2).cutoff, before, "%zu %d", i, k);
    }
  AllocationAnswer unknown = {.service = 1, .number = 1};
  allocations_receive_answer(net->hosts[at].t, net->now, &unknown);
  net_free(net);
}

/* Guards against an allocator that has to take two reports per second of each
   instance of a large fleet in calm, and against a fleet that goes on reporting
   rarely once targets have to wait. */
Test(allocations, reports_of_a_large_fleet_are_frequent_only_when_needed) {
  Net *net = net_new(200, 1);
  for (int i = 0; i < net->n; i++)
    net->hosts[i].pools[0] = (TallyPoolState){
        .targets = 1, .tokens_per_s = 1000, .wait_s = 0.1, .read_per_s = 500};
  for (int i = 0; i < 100; i++) tick(net, 0.05);
  net->sent = 0;
  for (int i = 0; i < 200; i++) tick(net, 0.05);
  double calm = (double)net->sent / 2 / 10; /* reports per second */
  for (int i = 0; i < net->n; i++) net->hosts[i].pools[0].wait_s = 0.4;
  for (int i = 0; i < 60; i++) tick(net, 0.05);
  net->sent = 0;
  for (int i = 0; i < 200; i++) tick(net, 0.05);
  double busy = (double)net->sent / 2 / 10;
  fprintf(stderr, "200 instances: %.0f reports per second, then %.0f\n", calm,
          busy);
  cr_assert(calm > 80 && calm < 110);
  cr_assert(busy > 300 && busy < 410);
  net_free(net);
}

/* == the size of two years from now (docs/CAPACITY.md) == */

/* 13,000 requests per second of 990 customers, the first of them the largest,
   for 26 services with 92 targets each. With `flooded`, one service has four
   times its load and is short of capacity. */
static void play_two_years(Net *net, GRand *random, double seconds,
                           bool flooded) {
  double weights = 0;
  for (int c = 1; c <= 990; c++) weights += 1.0 / c;
  for (double until = net->now + seconds; net->now < until - 0.01;) {
    int requests = (int)(13000 * 0.05) + (flooded ? 75 : 0);
    for (int i = 0; i < requests; i++) {
      double u = g_rand_double(random) * weights;
      int customer = 1;
      while (customer < 990 && (u -= 1.0 / customer) > 0) customer++;
      int service = i < 650 ? g_rand_int_range(random, 0, MAX_SERVICES) : 0;
      bool admitted =
          !(flooded && service == 0) || g_rand_double(random) < 0.25;
      ask(net, g_rand_int_range(random, 0, net->n), service,
          (uint64_t)customer * 0x9e3779b97f4a7c15, 3000, admitted);
    }
    tick(net, 0.05);
  }
}

static void set_pools(Net *net, bool flooded) {
  for (int s = 0; s < MAX_SERVICES; s++)
    for (int t = 0; t < 92; t++) {
      int i = (s * 92 + t) * 7 % net->n;
      TallyPoolState *p = &net->hosts[i].pools[s];
      p->targets++;
      p->tokens_per_s += 20000;
      p->read_per_s += 16000;
      p->wait_s += flooded && s == 0 ? 0.8 : 0.05;
    }
}

static int compare_sizes(const void *a, const void *b) {
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

/* Prints bytes per second of the middle and of the busiest instance. */
static double print_bytes(const Net *net, double seconds, const char *name) {
  int64_t in[MAX_HOSTS], out[MAX_HOSTS], state = 0;
  for (int i = 0; i < net->n; i++) {
    in[i] = net->hosts[i].bytes_in;
    out[i] = net->hosts[i].bytes_out;
    state = MAX(state, allocations_bytes(net->hosts[i].t));
  }
  qsort(in, (size_t)net->n, sizeof in[0], compare_sizes);
  qsort(out, (size_t)net->n, sizeof out[0], compare_sizes);
  fprintf(stderr,
          "%s: in %.2f (busiest %.2f), out %.2f (busiest %.2f) KB/s; largest "
          "state %.1f KB\n",
          name, (double)in[net->n / 2] / seconds / 1e3,
          (double)in[net->n - 1] / seconds / 1e3,
          (double)out[net->n / 2] / seconds / 1e3,
          (double)out[net->n - 1] / seconds / 1e3, (double)state / 1e3);
  return (double)(in[net->n - 1] + out[net->n - 1]) / seconds;
}

/* Returns the bytes per second of the busiest instance. */
static double measure(bool flooded, const char *name) {
  Net *net = net_new(350, 26);
  GRand *random = g_rand_new_with_seed(1);
  set_pools(net, flooded);
  play_two_years(net, random, 3, flooded);
  for (int i = 0; i < net->n; i++)
    net->hosts[i].bytes_in = net->hosts[i].bytes_out = 0;
  gint64 began = g_get_monotonic_time();
  play_two_years(net, random, 5, flooded);
  double spent = (double)(g_get_monotonic_time() - began) / 1e6;
  double bytes = print_bytes(net, 5, name);
  fprintf(stderr, "  all instances took %.3f of a core, callers included\n",
          spent / 5);
  if (flooded)
    cr_assert(cutoff(net, 0, 0, 0x9e3779b97f4a7c15).short_of_capacity);
  g_rand_free(random);
  net_free(net);
  return bytes;
}

/* Guards against an allocator that has to take and send more than its link
   carries: 10 Mbit/s at a small instance. */
Test(allocations, bytes_and_state_of_a_large_fleet) {
  cr_expect_lt(measure(false, "350 instances, calm"), 40e3);
  cr_expect_lt(measure(true, "350 instances, one service short"), 200e3);
}
