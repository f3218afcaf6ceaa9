/* test_intake.c: a single caller sends all its requests to one instance of a
   data centre, more than that instance's link can carry. The load balancer
   moves them only when the instance reports not ready. The simulation has 22
   instances with 10 Mbit/s in a data centre of a fleet of 74, 150 requests of 7
   KB per second that vary by a quarter with a period of 11 s, and a load
   balancer that probes every second and acts on the second missed probe. */
#include <criterion/criterion.h>
#include <math.h>

#include "flow/intake.h"

#define INSTANCES 22
#define FLEET 74
#define LINK_MBPS 10.0
#define LINK_BYTES_PER_S (LINK_MBPS * 1e6 / 8)
#define BODY_BYTES 7000
/* Link traffic per request in each direction: its body, and the answers and
   messages while it is served. */
#define LINK_BYTES_PER_REQUEST (BODY_BYTES * 1.3)
#define REQUESTS_PER_S 150.0
#define RATE_SWING_RATIO 0.25
#define SWING_PERIOD_S 11.0
/* Time in the queue of a link; the aim of requests is 0.6 s or more. */
#define MAX_QUEUE_S 0.25
#define TICK_S 0.05
#define PROBE_INTERVAL_S 1.0
#define MAX_MISSED_PROBES 2

typedef struct Instance {
  Intake intake;
  int64_t sent;      /* bytes received from callers */
  double busy_until; /* when its link has carried all */
  bool not_ready;
  int missed_probes; /* consecutive */
  double not_ready_s;
} Instance;

static Instance all[INSTANCES];
static int requests, in_time;

static void start_simulation(double link_mbps) {
  requests = in_time = 0;
  for (int i = 0; i < INSTANCES; i++) {
    all[i] = (Instance){0};
    intake_init(&all[i].intake, 0, link_mbps);
  }
}

/* Returns the first instance by the caller's hash that the load balancer
   uses. */
static Instance *choose_instance(void) {
  for (int i = 0; i < INSTANCES; i++)
    if (all[i].missed_probes < MAX_MISSED_PROBES) return &all[i];
  return &all[0];
}

static void send_request(double now) {
  Instance *x = choose_instance();
  double from = fmax(x->busy_until, now);
  requests++;
  in_time += from - now <= MAX_QUEUE_S;
  x->busy_until = from + LINK_BYTES_PER_REQUEST / LINK_BYTES_PER_S;
  x->sent += BODY_BYTES;
}

static void update_instances(double now, int fleet) {
  for (int i = 0; i < INSTANCES; i++) {
    Instance *x = &all[i];
    x->not_ready = intake_update(&x->intake, now, x->sent, fleet);
    x->not_ready_s += x->not_ready ? TICK_S : 0;
  }
}

static void probe_instances(void) {
  for (int i = 0; i < INSTANCES; i++)
    all[i].missed_probes = all[i].not_ready ? all[i].missed_probes + 1 : 0;
}

/* Returns the share of a minute's requests that were not delayed. */
static double simulate_minute(double per_s, int fleet) {
  double due = 0, probed_at = 0;
  for (double now = 0; now < 60; now += TICK_S) {
    double rate =
        per_s * (1 + RATE_SWING_RATIO * sin(2 * M_PI * now / SWING_PERIOD_S));
    for (due += rate * TICK_S; due >= 1; due--) send_request(now);
    update_instances(now, fleet);
    if (now - probed_at < PROBE_INTERVAL_S) continue;
    probed_at = now;
    probe_instances();
  }
  return (double)in_time / requests;
}

static double not_ready_s(void) {
  double sum = 0;
  for (int i = 0; i < INSTANCES; i++) sum += all[i].not_ready_s;
  return sum;
}

/* The remaining requests are delayed in the one to two seconds until the load
   balancer reacts. */
Test(intake, a_caller_that_overloads_a_link_moves_on) {
  start_simulation(0); /* unknown link: no limit */
  double without = simulate_minute(REQUESTS_PER_S, FLEET);
  start_simulation(LINK_MBPS);
  double with = simulate_minute(REQUESTS_PER_S, FLEET);
  cr_assert_lt(without, 0.3, "%g", without);
  cr_assert_gt(with, 0.65, "%g", with);
}

/* The platform counts an instance that is not ready for an eighth of the time
   as unavailable. */
Test(intake, few_instances_are_not_ready_at_a_time) {
  start_simulation(LINK_MBPS);
  simulate_minute(REQUESTS_PER_S, FLEET);
  double part = not_ready_s() / (60.0 * FLEET);
  cr_assert_lt(part, 1 / 8.0, "%g of the fleet's time", part);
}

Test(intake, an_instance_within_its_capacity_stays_ready) {
  start_simulation(LINK_MBPS);
  cr_assert_eq(simulate_minute(REQUESTS_PER_S / 3, FLEET), 1);
  cr_assert_eq(not_ready_s(), 0);
}

/* A small fleet can't spare an instance. */
Test(intake, a_small_fleet_never_reports_not_ready) {
  start_simulation(LINK_MBPS);
  simulate_minute(REQUESTS_PER_S, 7);
  cr_assert_eq(not_ready_s(), 0);
}

Test(intake, not_ready_ends_after_the_fixed_time) {
  Intake k;
  intake_init(&k, 0, LINK_MBPS);
  cr_assert(!intake_update(&k, 0.05, 1000, FLEET));
  cr_assert(intake_update(&k, 0.1, 500000, FLEET));
  cr_assert(intake_update(&k, INTAKE_NOT_READY_S, 500000, FLEET));
  cr_assert(!intake_update(&k, INTAKE_NOT_READY_S + 0.2, 500000, FLEET));
}
