/* loftpathd.c: the daemon, which runs one instance of the fleet. */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "entry/entry.h"
#include "entry/placer.h"
#include "entry/watch.h"
#include "kernel/clock.h"
#include "kernel/holdings.h"
#include "kernel/limits.h"
#include "kernel/log.h"
#include "kernel/service.h"
#include "kernel/settings.h"
#include "node/node.h"

/* Interval at which a stop checks whether all work has ended. */
#define STOP_POLL_US 20000
/* Buffers of this size return to the system when they are freed. Otherwise each
   thread keeps what its largest answer took. */
#define LARGE_BUFFER_BYTES (32 << 10)
/* Interval at which the instance checks for a drain requested by an operator.
 */
#define DRAIN_POLL_US 200000
/* Max time that a stop waits for open connections to end. */
#define CONNECTIONS_END_TIMEOUT_S 2.0
/* Before the end of a stop: what still waits for a target is refused. */
#define LAST_ANSWERS_S 0.5
/* Interval at which a long stop logs what it waits for. */
#define STOP_LOG_INTERVAL_S 5.0

/* flag, environment variable, type, default (NULL: must be given), help, min,
   max, value */
static Setting settings[] = {
    {"name", "LOFTPATH_NAME", SETTING_NAME, NULL,
     "Name of this instance, as in the platform's list", 0, 0, NULL},
    {"datacentre", "LOFTPATH_DATACENTRE", SETTING_NAME, NULL,
     "Data centre it stands in", 0, 0, NULL},
    {"region", "LOFTPATH_REGION", SETTING_NAME, "",
     "Region: instances that stay connected when others are cut off; the data "
     "centre if empty",
     0, 0, NULL},
    {"listen", "LOFTPATH_LISTEN", SETTING_ADDRESS, NULL,
     "ip:port for callers and operators", 0, 0, NULL},
    {"peer", "LOFTPATH_PEER", SETTING_ADDRESS, NULL,
     "ip:port for the other instances", 0, 0, NULL},
    {"platform", "LOFTPATH_PLATFORM", SETTING_ADDRESS, NULL,
     "ip:port of the platform's object API", 0, 0, NULL},
    {"admin-key", "LOFTPATH_ADMIN_KEY", SETTING_TEXT, "",
     "Bearer key of operators; better given by the variable", 0, 0, NULL},
    {"max-body", "LOFTPATH_MAX_BODY", SETTING_NUMBER, "4194304",
     "Bytes of a request's body", 1024, 1 << 28, NULL},
    {"max-header", "LOFTPATH_MAX_HEADER", SETTING_NUMBER, "32768",
     "Bytes of memory for one connection's headers", 4096, 1 << 20, NULL},
    {"max-connections", "LOFTPATH_MAX_CONNECTIONS", SETTING_NUMBER, "4096",
     "Connections at once", 1, 100000, NULL},
    {"memory", "LOFTPATH_MEMORY", SETTING_NUMBER, "512",
     "Megabytes that this process may use", 32, 1 << 20, NULL},
    {"caller-memory", "LOFTPATH_CALLER_MEMORY", SETTING_NUMBER, "0",
     "Megabytes that callers may make it hold; 0: half of `memory`", 0, 1 << 20,
     NULL},
    {"idle", "LOFTPATH_IDLE", SETTING_NUMBER, "60",
     "Seconds without progress after which a connection is closed", 1, 86400,
     NULL},
    {"stop", "LOFTPATH_STOP", SETTING_NUMBER, "300",
     "Seconds that a planned stop may take", 0, 86400, NULL},
    {"check", "LOFTPATH_CHECK", SETTING_FLAG, "off",
     "Check the settings and exit", 0, 0, NULL},
    {"debug", "LOFTPATH_DEBUG", SETTING_FLAG, "off", "Log more", 0, 0, NULL},
    {NULL, NULL, SETTING_TEXT, NULL, NULL, 0, 0, NULL}};

static char instance_id[LIMIT_ID_BYTES];
static Entry entry;
static Kernel kernel;

static uint32_t random_seed(void) {
  uint32_t n;
  if (getrandom(&n, sizeof n, 0) != sizeof n) n = (uint32_t)getpid();
  return n;
}

/* == services == */

/* Returns the memory that callers may make this instance hold, in bytes. */
static size_t caller_bytes(void) {
  return holdings_limit_bytes(settings_number(settings, "caller-memory"),
                              settings_number(settings, "memory"),
                              LIMIT_FRONT_CALLER_MEMORY_DIVISOR);
}

static bool start_fleet(Service *s, Err *e) {
  FleetOptions o = {.platform = settings_text(settings, "platform"),
                    .seed = random_seed(),
                    .kept_bytes = caller_bytes() / LIMIT_KEPT_DIVISOR,
                    .bill_bytes = caller_bytes() / LIMIT_BILL_DIVISOR};
  const char *dc = settings_text(settings, "datacentre");
  const char *region = settings_text(settings, "region");
  const char *peer = settings_text(settings, "peer");
  g_strlcpy(o.self.id, instance_id, sizeof o.self.id);
  g_strlcpy(o.self.dc, dc, sizeof o.self.dc);
  g_strlcpy(o.self.region, region[0] ? region : dc, sizeof o.self.region);
  snprintf(o.self.peer, sizeof o.self.peer, "tcp://%s", peer);
  g_strlcpy(o.self.http, settings_text(settings, "listen"), sizeof o.self.http);
  char *bind = g_strdup(o.self.peer);
  o.bind = bind;
  Fleet *f = fleet_open(&o, e);
  g_free(bind);
  s->state = f;
  return f != NULL;
}

static void stop_fleet(Service *s) {
  fleet_close(s->state);
}

static bool start_entry(Service *s, Err *e) {
  entry.options = (EntryOptions){
      .listen = settings_text(settings, "listen"),
      .platform = settings_text(settings, "platform"),
      .admin_key = settings_text(settings, "admin-key"),
      .instance = instance_id,
      .max_body_bytes = (size_t)settings_number(settings, "max-body"),
      .max_header_bytes = (size_t)settings_number(settings, "max-header"),
      .max_connections = (int)settings_number(settings, "max-connections"),
      .idle_timeout_s = (int)settings_number(settings, "idle"),
      .caller_bytes = caller_bytes()};
  entry.fleet = service_find(&kernel, "fleet");
  entry.snapshots = service_find(&kernel, "snapshots");
  entry.pools = service_find(&kernel, "pools");
  s->state = &entry;
  return entry_open(&entry, e);
}

static void drain_entry(Service *s) {
  entry_drain(s->state);
}

static void stop_entry(Service *s) {
  entry_close(s->state);
}

static bool start_pools(Service *s, Err *e) {
  (void)e;
  s->state = pools_new(random_seed());
  return true;
}

static void stop_pools(Service *s) {
  pools_free(s->state);
}

static bool start_snapshots(Service *s, Err *e) {
  (void)e;
  s->state = snapshots_new();
  return true;
}

static void stop_snapshots(Service *s) {
  snapshots_free(s->state);
}

static bool start_watch(Service *s, Err *e) {
  (void)e;
  s->state = watch_open(service_find(&kernel, "entry"));
  return true;
}

static void stop_watch(Service *s) {
  watch_close(s->state);
}

static bool start_placer(Service *s, Err *e) {
  (void)e;
  s->state = placer_open(service_find(&kernel, "entry"));
  return true;
}

static void stop_placer(Service *s) {
  placer_close(s->state);
}

/* name, services that it needs, start, drain, stop, state */
static Service services[] = {
    {"placer", {"entry", "watch"}, start_placer, NULL, stop_placer, NULL},
    {"watch", {"entry"}, start_watch, NULL, stop_watch, NULL},
    {"entry",
     {"fleet", "snapshots", "pools"},
     start_entry,
     drain_entry,
     stop_entry,
     NULL},
    {"fleet", {NULL}, start_fleet, NULL, stop_fleet, NULL},
    {"pools", {NULL}, start_pools, NULL, stop_pools, NULL},
    {"snapshots", {NULL}, start_snapshots, NULL, stop_snapshots, NULL},
};

/* == lifecycle == */

/* Waits for SIGTERM, SIGINT or a drain requested by an operator. */
static void wait_for_stop(const sigset_t *stop_signals) {
  struct timespec poll_interval = {0, DRAIN_POLL_US * 1000};
  while (!atomic_load(&entry.draining))
    if (sigtimedwait(stop_signals, NULL, &poll_interval) > 0) return;
}

/* Refuses new requests, waits until the open requests have ended, and then
   until the fleet module has handed over its budgets and records. Returns false
   if a second signal is received or the deadline passes before. */
static bool drain_instance(const sigset_t *stop_signals) {
  double deadline = clock_now() + (double)settings_number(settings, "stop");
  struct timespec poll_interval = {0, STOP_POLL_US * 1000};
  bool fleet_is_draining = false;
  double logged_at = clock_now();
  service_drain(&kernel);
  log_info("draining", "s:i", "open", atomic_load(&entry.open_requests));
  while (clock_now() < deadline) {
    if (sigtimedwait(stop_signals, NULL, &poll_interval) > 0) return false;
    if (clock_now() > deadline - LAST_ANSWERS_S)
      pools_refuse_waiting(entry.pools);
    if (atomic_load(&entry.open_requests) > 0) continue;
    if (!fleet_is_draining) fleet_drain(entry.fleet);
    fleet_is_draining = true;
    if (fleet_is_drained(entry.fleet)) return true;
    if (clock_now() - logged_at < STOP_LOG_INTERVAL_S) continue;
    int budgets, records;
    fleet_count_undrained(entry.fleet, &budgets, &records);
    log_info("stop-waits", "s:i,s:i", "budget_lanes", budgets, "records",
             records);
    logged_at = clock_now();
  }
  return false;
}

/* If the environment variable SETTINGS_FILE_ENV is set, as on the users'
   machines, node_run runs the instance; otherwise this file does. */
int main(int argc, char **argv) {
  if (getenv(SETTINGS_FILE_ENV)) return node_run(argc, argv);
  Err e = {0};
  bool ok = settings_read(settings, argc, argv,
                          "loftpathd -- one instance of the router fleet", &e);
  if (!ok) {
    fprintf(stderr, "loftpathd: %s: %s\n", e.text, err_info(e.kind)->remedy);
    return 2;
  }
  if (settings_flag(settings, "check")) {
    printf("settings are valid\n");
    return 0;
  }
  snprintf(instance_id, sizeof instance_id, "%s.%08x",
           settings_text(settings, "name"), random_seed());
  log_open(instance_id, settings_flag(settings, "debug"));
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals,
                  NULL); /* before threads are created */
  signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  atomic_store(&entry.store_answered_at, clock_unix());
  for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
    ok = ok && service_add(&kernel, &services[i], &e);
  if (!ok || !service_start(&kernel, &e)) {
    log_warn("start-failed", "s:s,s:s", "error", e.text, "remedy",
             err_info(e.kind)->remedy);
    return 1;
  }
  log_info("started", "s:s", "listen", settings_text(settings, "listen"));
  wait_for_stop(&stop_signals);
  bool clean = drain_instance(&stop_signals);
  if (clean) http_server_drain(entry.server, CONNECTIONS_END_TIMEOUT_S);
  if (!clean)
    log_warn("stop-cut", "s:i,s:I", "requests",
             atomic_load(&entry.open_requests), "tokens",
             (json_int_t)(fleet_sums(entry.fleet).free +
                          fleet_sums(entry.fleet).reserved));
  log_info("stopped", "s:b", "clean", (int)clean);
  /* At a clean stop all tokens are returned and all responses are sent. The
     services are not stopped, because a thread of the service watch may still
     wait up to 10 s for the store. */
  _exit(clean ? 0 : 3);
}
