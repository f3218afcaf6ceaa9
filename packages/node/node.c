/* node.c: settings, start and planned stop of an instance. */
#include "node/node.h"

#include <ev.h>
#include <limits.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>

#include "flow/intake.h"
#include "flow/relay.h"
#include "kernel/count.h"
#include "kernel/holdings.h"
#include "kernel/limits.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/settings.h"
#include "node/feed.h"

#define TICK_INTERVAL_S 0.05 /* between checks of readiness, stop and link */
#define SWEEP_INTERVAL_S 1.0 /* between removals of expired state */
#define TARGET_LOG_LINES_PER_S 20 /* about single targets */
#define CALLS_LOG_INTERVAL_S 5.0  /* between log lines on calls to the store */
#define RATES_LOG_INTERVAL_S 5.0  /* between log lines on rates of targets */
/* The interval between two reports on pools is this times the instances. A
   report takes 40 bytes for each pool and other instance, so the traffic is
   0.8 KB/s for any number of instances. */
#define POOLS_INTERVAL_PER_INSTANCE_S 0.05
/* In a planned stop: the balancer checks readiness each second and removes an
   instance after two failures. A request that arrives later than 3 s after the
   start of the stop might not finish before the process has to exit. */
#define REFUSE_AFTER_S 2.9
#define STOP_MARGIN_S 0.6 /* before the platform kills the process */
/* A longer gap between two iterations of the loop counts as a pause of the
   process; normally they are 50 ms apart, on the busiest machines 100 ms. After
   such a gap the known state may be out of date by any clock: a leaving target
   may get requests for two seconds at most. */
#define PAUSE_MIN_S 1.0
/* Time for the store to answer after a pause. It normally answers within
   milliseconds; after this it counts as unavailable, and the known state is
   used as in any outage. */
#define CATCH_UP_MAX_S 1.0
#define LINGER_S 0.3 /* for the last answers to be sent */
/* The busiest instance serves 40 requests a second. */
#define LOG_LINES_PER_S 500

static Setting settings[] = {
    {"name", "LOFTPATH_NAME", SETTING_TEXT, NULL, "Name of this instance", 0, 0,
     NULL},
    {"datacentre", "LOFTPATH_DATACENTRE", SETTING_TEXT, NULL,
     "Data centre it stands in", 0, 0, NULL},
    {"region", "LOFTPATH_REGION", SETTING_TEXT, NULL,
     "Region: instances that mostly reach each other", 0, 0, NULL},
    {"datacentres", "LOFTPATH_DATACENTRES", SETTING_TEXT, "",
     "All data centres with their regions: dc=region, parted by commas", 0, 0,
     NULL},
    {"listen", "LOFTPATH_LISTEN", SETTING_ADDRESS, NULL, "ip:port for callers",
     0, 0, NULL},
    {"peer", "LOFTPATH_PEER", SETTING_ADDRESS, NULL,
     "ip:port for the other instances", 0, 0, NULL},
    {"tunnel", "LOFTPATH_TUNNEL", SETTING_TEXT, "",
     "ip:port for tunnels of instances that are partitioned from the targets, "
     "the same port on all instances; empty: the port after that of peer",
     0, 0, NULL},
    {"seeds", "LOFTPATH_SEEDS", SETTING_TEXT, "",
     "Addresses of some instances, parted by commas; only the IP counts", 0, 0,
     NULL},
    {"lay-up", "LOFTPATH_LAY_UP", SETTING_TEXT, "10",
     "Seconds of a budget's demand held ready for when the store is away", 0, 0,
     NULL},
    {"ready", "LOFTPATH_READY", SETTING_ADDRESS, NULL,
     "ip:port for the balancer's question and the metrics", 0, 0, NULL},
    {"platform", "LOFTPATH_PLATFORM", SETTING_ADDRESS, NULL,
     "ip:port of the platform's store", 0, 0, NULL},
    {"memory", "LOFTPATH_MEMORY", SETTING_NUMBER, "256",
     "Megabytes that this process may use", 32, 1 << 20, NULL},
    {"caller-memory", "LOFTPATH_CALLER_MEMORY", SETTING_NUMBER, "0",
     "Megabytes that callers may make it hold; 0: a quarter of `memory`", 0,
     1 << 20, NULL},
    {"max-connections", "LOFTPATH_MAX_CONNECTIONS", SETTING_NUMBER, "0",
     "Connections of callers, and to targets on their behalf; 0: three "
     "quarters "
     "of the descriptors, less 200",
     0, 1 << 20, NULL},
    {"stop", "LOFTPATH_STOP", SETTING_TEXT, "8",
     "Seconds that a planned stop may take", 0, 0, NULL},
    {"retry-ratio", "LOFTPATH_RETRY_RATIO", SETTING_TEXT, "0.2",
     "Retries for each request, over all instances", 0, 0, NULL},
    {"retry-window", "LOFTPATH_RETRY_WINDOW", SETTING_TEXT, "10",
     "Seconds of the window in which retries are bounded", 0, 0, NULL},
    {"retry-extra", "LOFTPATH_RETRY_EXTRA", SETTING_TEXT, "54",
     "Retries besides, over all instances, in each window", 0, 0, NULL},
    {"cold-overrun", "LOFTPATH_COLD_OVERRUN", SETTING_TEXT, "1",
     "Requests to a cold target in a second, times the rate that it says", 0, 0,
     NULL},
    {"cold-extra", "LOFTPATH_COLD_EXTRA", SETTING_TEXT, "0",
     "Requests besides, from all instances together", 0, 0, NULL},
    {"link", "LOFTPATH_LINK", SETTING_TEXT, "0",
     "Mbit/s that this machine's link bears each way; 0: not known", 0, 0,
     NULL},
    {"store-writes", "LOFTPATH_STORE_WRITES", SETTING_NUMBER, "400",
     "Writes a second that the platform's store takes from all instances", 1,
     1 << 20, NULL},
    {"first-start", "LOFTPATH_FIRST_START", SETTING_FLAG, "off",
     "The whole fleet starts for the first time: no stream began before", 0, 0,
     NULL},
    {"managed-slots", "LOFTPATH_MANAGED_SLOTS", SETTING_NUMBER, "0",
     "Engines with at most this many slots are managed under load; 0: none", 0,
     1 << 16, NULL},
    {"managed-parts", "LOFTPATH_MANAGED_PARTS", SETTING_TEXT,
     "rates,admission,shares,reserve",
     "What is active for managed engines, parted by commas", 0, 0, NULL},
    {"check", "LOFTPATH_CHECK", SETTING_FLAG, "off",
     "Check the settings and exit", 0, 0, NULL},
    {NULL, NULL, SETTING_TEXT, NULL, NULL, 0, 0, NULL}};

typedef struct Node {
  struct ev_loop *loop;
  char id[LIMIT_ID_BYTES];
  Store *store;
  Feed *feed;
  Regions *regions;
  Targets *targets;
  Retries *retries;
  Cluster *cluster;
  Relay *relay;
  Holdings *ready_holdings; /* of the callers of `ready` */
  Callers *ready;
  Intake intake;
  Managed managed;
  bool link_is_full; /* callers send more than the link carries */
  ev_timer tick, sweep;
  ev_prepare turn;
  ev_signal term, intr, hup;
  bool targets_listed;    /* all targets were listed at least once */
  int target_changes;     /* in the current second */
  double calls_logged_at; /* last log line on calls to the store */
  double rates_logged_at; /* last log lines on rates of targets */
  double next_pools_at;   /* when the next pool reports are due */
  int instance_count;     /* in the fleet, including this one */
  int rank;               /* of this instance among them */
  int seed_count;         /* addresses in the setting `seeds` */
  double stop_began_at;   /* loop time of SIGTERM; 0: not stopping */
  int ended_requests;     /* that were still open at the end of a stop */
  double paused_at;       /* last pause, if not caught up; else 0 */
  bool refusing, returning, was_ready;
  int status;
} Node;

static double setting_number(const char *name) {
  return atof(settings_text(settings, name));
}

/* == updates from the store == */

static void set_budgets(Node *n, const Conf *c) {
  GArray *rows = g_array_new(FALSE, TRUE, sizeof(LedgerBudget));
  for (guint i = 0; i < c->customers->len; i++) {
    const ConfCustomer *u = c->customers->pdata[i];
    LedgerBudget row = {.total = u->budget_tokens,
                        .version = c->version,
                        .outage_reserve_s = setting_number("lay-up")};
    if (u->budget_tokens == CONF_NO_BUDGET) continue;
    g_strlcpy(row.name, u->name, sizeof row.name);
    g_array_append_val(rows, row);
  }
  cluster_set_budgets(n->cluster, (LedgerBudget *)(void *)rows->data,
                      (int)rows->len);
  g_array_free(rows, TRUE);
}

/* Returns the shortest objective of the service's routes. */
static double shortest_objective(const Conf *c, const char *service) {
  double shortest = INFINITY;
  for (guint i = 0; i < c->routes->len; i++) {
    const ConfRoute *r = c->routes->pdata[i];
    for (int k = 0; k < r->n_splits; k++)
      if (r->slo_s > 0 && strcmp(r->splits[k].service, service) == 0)
        shortest = MIN(shortest, r->slo_s);
  }
  return shortest;
}

/* Sets the services whose capacity is divided between customers: those that are
   managed and have a route with an objective. */
static void set_shared_services(Node *n, const Conf *c) {
  GArray *rows = g_array_new(FALSE, TRUE, sizeof(AllocationsService));
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, c->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ConfService *s = v;
    AllocationsService row = {.objective_s = shortest_objective(c, s->name)};
    if (!managed_applies(&n->managed, MANAGED_SHARES, s) ||
        !isfinite(row.objective_s))
      continue;
    g_strlcpy(row.name, s->name, sizeof row.name);
    g_array_append_val(rows, row);
  }
  cluster_set_shared_services(
      n->cluster, (AllocationsService *)(void *)rows->data, (int)rows->len);
  g_array_free(rows, TRUE);
}

/* Warns of an unknown region: a list with no existing region would refuse every
   request that it restricts. */
static void check_regions(const Node *n, const char *what, const char *name,
                          char *const *list) {
  const char *unknown;
  regions_from_list(n->regions, list, &unknown);
  if (!unknown) return;
  count_add(COUNT_REGIONS_UNKNOWN, 1);
  log_warn("region-unknown", "s:s,s:s,s:s", "region", unknown, what, name,
           "remedy", "name a region of the setting datacentres");
}

static void check_conf_regions(const Node *n, const Conf *c) {
  for (guint i = 0; i < c->routes->len; i++) {
    const ConfRoute *r = c->routes->pdata[i];
    check_regions(n, "route", r->name, r->regions);
  }
  for (guint i = 0; i < c->customers->len; i++) {
    const ConfCustomer *u = c->customers->pdata[i];
    check_regions(n, "customer", u->name, u->regions);
  }
}

static void on_conf(void *ctx, Conf *c) {
  Node *n = ctx;
  const Conf *old = relay_get_conf(n->relay);
  if (old && c->version <= old->version) return;
  log_info("configuration", "s:I,s:I,s:i,s:i,s:f", "version",
           (json_int_t)c->version, "before",
           (json_int_t)(old ? old->version : 0), "routes", (int)c->routes->len,
           "customers", (int)c->customers->len, "store_age",
           feed_age_s(n->feed));
  relay_set_conf(n->relay, c);
  cluster_set_conf_version(n->cluster, c->version);
  set_budgets(n, c);
  set_shared_services(n, c);
  check_conf_regions(n, c);
}

/* Whether to log a line for a single target. During the first listing, and for
   changes over TARGET_LOG_LINES_PER_S, only their number is logged. */
static bool target_line_is_due(Node *n) {
  n->target_changes++;
  return n->targets_listed && n->target_changes <= TARGET_LOG_LINES_PER_S;
}

/* Logs the number of changes in the last second that got no line. */
static void log_further_changes(Node *n) {
  int more = n->targets_listed ? n->target_changes - TARGET_LOG_LINES_PER_S
                               : n->target_changes;
  if (more > 0) log_info("targets-changed", "s:i", "more", more);
  n->target_changes = 0;
}

static bool on_target_read(void *ctx, const TargetInfo *t) {
  Node *n = ctx;
  bool is_new = targets_is_newer(n->targets, t);
  uint64_t life = targets_hash_by_id(n->targets, t->id);
  bool restarted = targets_set(n->targets, loopclock_now(n->loop), t);
  if (restarted) relay_on_target_restarted(n->relay, t->addr, life);
  if (!is_new || !target_line_is_due(n)) return is_new;
  log_info("target", "s:s,s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:b", "target", t->id,
           "service", t->service, "addr", t->addr, "datacentre", t->dc,
           "version", t->version, "leaving", (int)t->leaving, "revision",
           (json_int_t)t->revision, "born", (json_int_t)t->start_ms, "again",
           (int)restarted);
  return true;
}

static void on_target_removed(void *ctx, const char *id, bool after_outage) {
  Node *n = ctx;
  targets_remove(n->targets, loopclock_now(n->loop), id, after_outage);
  if (!target_line_is_due(n)) return;
  log_info("target-gone", "s:s,s:b", "target", id, "lapsed", (int)after_outage);
}

static void on_targets_listed(void *ctx, GHashTable *ids, bool after_outage) {
  Node *n = ctx;
  targets_retain_only(n->targets, loopclock_now(n->loop), ids, after_outage);
  n->targets_listed = true;
  log_info("targets-listed", "s:i,s:b", "targets", (int)g_hash_table_size(ids),
           "lapsed", (int)after_outage);
}

static void on_evacuation_changed(void *ctx, const char *dc, bool in_force,
                                  uint64_t revision) {
  Node *n = ctx;
  if (!targets_set_evacuated(n->targets, dc, in_force)) return;
  count_add(COUNT_EVACUATIONS, 1);
  log_info("evacuation", "s:s,s:b,s:i,s:I,s:f", "datacentre", dc, "in_force",
           (int)in_force, "targets", targets_count_in_dc(n->targets, dc),
           "revision", (json_int_t)revision, "store_age", feed_age_s(n->feed));
}

static void on_evacuations_listed(void *ctx, GHashTable *dcs) {
  Node *n = ctx;
  if (!targets_set_evacuated_dcs(n->targets, dcs)) return;
  count_add(COUNT_EVACUATIONS, 1);
  log_info("evacuations-listed", "s:i", "datacentres",
           (int)g_hash_table_size(dcs));
}

static void on_trial_changed(void *ctx, const char *name, const json_t *content,
                             uint64_t revision) {
  Node *n = ctx;
  relay_on_trial(n->relay, name, content, revision);
}

static void on_trials_listed(void *ctx, GHashTable *names) {
  Node *n = ctx;
  relay_on_trial_names(n->relay, names);
}

/* == messages from other instances == */

static void on_reservation_decided(void *ctx, uint64_t handle, ErrKind cause,
                                   int retry_ms) {
  Node *n = ctx;
  relay_on_reserved(n->relay, handle, cause, retry_ms);
}

/* Seeds (instances named in the settings) count even while they are
   unreachable: an instance that starts during a network partition must not use
   a fleet-wide limit alone. */
static void on_instances_changed(void *ctx, int rank, const View *view) {
  Node *n = ctx;
  int count = view->n;
  int of = MAX(count, n->seed_count);
  n->instance_count = count;
  n->rank = rank;
  targets_set_rank(n->targets, loopclock_now(n->loop), rank, of);
  targets_set_parts_exchanged(n->targets, count < FLEET_SMALL_INSTANCES);
  retries_set_instances(n->retries, loopclock_now(n->loop), count);
  if (n->relay) relay_set_members(n->relay, view);
}

static void on_peer_conf(void *ctx, const char *text) {
  Node *n = ctx;
  Err e = {0};
  Conf *c = feed_parse_conf(text, &e);
  if (!c) {
    log_warn("configuration-damaged", "s:s", "error", e.text);
    return;
  }
  on_conf(n, c);
  conf_unref(c);
}

static const char *conf_text(void *ctx) {
  Node *n = ctx;
  const Conf *c = relay_get_conf(n->relay);
  return c ? c->text : NULL;
}

static ReadersDuty on_reader_duty(void *ctx) {
  Node *n = ctx;
  return cluster_reader_duty(n->cluster);
}

static void on_broadcast(void *ctx, const CodecFeed *m) {
  Node *n = ctx;
  cluster_broadcast_feed(n->cluster, m);
}

static bool on_discovery_done(void *ctx) {
  Node *n = ctx;
  return cluster_is_ready(n->cluster);
}

static void on_send_to(void *ctx, const char *id, const CodecFeed *m) {
  Node *n = ctx;
  cluster_send_feed(n->cluster, id, m);
}

static char *on_next_part(void *ctx, RosterCursor *at, bool *more) {
  Node *n = ctx;
  return roster_part(n->targets, loopclock_now(n->loop), at, more);
}

static void on_store_outcome(void *ctx, ReadersStoreResult outcome) {
  Node *n = ctx;
  cluster_note_store_outcome(n->cluster, outcome);
}

static bool on_may_probe_store(void *ctx) {
  Node *n = ctx;
  return cluster_may_probe_store(n->cluster);
}

static bool on_may_query_store(void *ctx) {
  Node *n = ctx;
  return cluster_may_query_store(n->cluster);
}

static void on_work_reported(void *ctx, uint64_t from, const TargetWork *m) {
  Node *n = ctx;
  targets_apply_work(n->targets, loopclock_now(n->loop), from, m);
}

static void on_parts_reported(void *ctx, const TargetParts *m) {
  Node *n = ctx;
  targets_apply_parts(n->targets, loopclock_now(n->loop), m);
}

static void on_tally_received(void *ctx, const TallyReport *m) {
  Node *n = ctx;
  relay_on_tally(n->relay, m);
}

static void on_rate_received(void *ctx, const TallyRate *m) {
  Node *n = ctx;
  relay_on_rate(n->relay, m);
}

static bool on_find_target(void *ctx, uint64_t target, TallyTarget *out) {
  Node *n = ctx;
  return n->relay && relay_find_target(n->relay, target, out);
}

static void on_permit_answered(void *ctx, const TallyPermit *m) {
  Node *n = ctx;
  relay_on_permit(n->relay, m);
}

static void on_limit_received(void *ctx, const TallyLimit *m) {
  Node *n = ctx;
  relay_on_limit(n->relay, m->target, m->limit);
}

static const char *on_customer_name(void *ctx, uint64_t customer) {
  const Node *n = ctx;
  const Conf *c = relay_get_conf(n->relay);
  for (guint i = 0; c && i < c->customers->len; i++) {
    const ConfCustomer *u = c->customers->pdata[i];
    if (text_hash(u->name) == customer) return u->name;
  }
  return NULL;
}

static void on_suspect_received(void *ctx, const SuspectsMsg *m) {
  Node *n = ctx;
  if (n->relay) relay_on_suspect(n->relay, m);
}

static void on_origin_received(void *ctx, const char *from,
                               const OriginsMsg *m) {
  Node *n = ctx;
  if (n->relay) relay_on_origin(n->relay, from, m);
}

static void on_pool_reported(void *ctx, uint64_t from,
                             const TargetsPoolReport *m) {
  Node *n = ctx;
  targets_apply_pool_report(n->targets, loopclock_now(n->loop), from, m);
}

/* Logs the calls to the store since the last such line. */
static void log_calls(Node *n) {
  n->calls_logged_at = loopclock_now(n->loop);
  json_t *summary = calls_take_unreported(store_calls(n->store));
  if (summary) log_info("store-calls", "s:O", "calls", summary);
  json_decref(summary);
}

/* Each instance receives the reports of all others, so the interval grows with
   the number of instances. */
static void broadcast_pools(Node *n) {
  double now = loopclock_now(n->loop);
  TargetsPoolReport report;
  if (now < n->next_pools_at) return;
  n->next_pools_at =
      now +
      MAX(SWEEP_INTERVAL_S, n->instance_count * POOLS_INTERVAL_PER_INSTANCE_S);
  for (int i = 0; targets_pool_report(n->targets, now, i, &report); i++)
    cluster_broadcast_pool(n->cluster, &report);
}

/* Runs before the loop sleeps and before the messages of this iteration are
   sent. */
static void on_before_sleep(struct ev_loop *loop, ev_prepare *w, int revents) {
  (void)loop;
  (void)revents;
  Node *n = w->data;
  TargetWork work;
  TargetParts parts;
  while (targets_next_work(n->targets, &work))
    cluster_broadcast_work(n->cluster, &work);
  while (targets_next_parts(n->targets, &parts))
    cluster_broadcast_parts(n->cluster, &parts);
}

static void on_feed_received(void *ctx, const char *from, const CodecFeed *m) {
  Node *n = ctx;
  if (n->feed) feed_receive(n->feed, from, m);
}

/* == readiness and metrics == */

static bool is_ready(const Node *n) {
  return n->stop_began_at == 0 && !n->link_is_full && n->paused_at == 0 &&
         relay_get_conf(n->relay) != NULL && feed_is_complete(n->feed) &&
         cluster_is_ready(n->cluster);
}

static void print_metrics(Node *n, GString *out) {
  count_print(out);
  calls_print_metrics(store_calls(n->store), out);
}

static void on_status_request(void *ctx, Caller *c, const CallerRequest *r,
                              const Err *bad) {
  Node *n = ctx;
  GString *text = g_string_new(NULL);
  int status = 200;
  if (!bad && strcmp(r->uri->str, "/metrics") == 0)
    print_metrics(n, text);
  else
    status = is_ready(n) ? 200 : 503;
  caller_write_head(c, status, "", (int64_t)text->len);
  caller_write_body(c, text->str, text->len);
  caller_end_answer(c);
  g_string_free(text, TRUE);
}

static void on_status_caller_gone(void *ctx, Caller *c) {
  (void)ctx;
  (void)c;
}

/* == planned stop == */

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int revents) {
  (void)revents;
  Node *n = w->data;
  if (n->stop_began_at > 0) return;
  n->stop_began_at = loopclock_now(loop);
  log_info("draining", "s:i", "open", relay_open_request_count(n->relay));
  relay_drain(n->relay);
}

static void finish_stop(Node *n) {
  bool clean = n->ended_requests == 0;
  log_calls(n);
  log_info("stopped", "s:b,s:i", "clean", (int)clean, "open",
           n->ended_requests);
  n->status = clean ? 0 : 3;
  ev_break(n->loop, EVBREAK_ALL);
}

/* New requests still arrive until the balancer has removed this instance. Then
   open requests finish, budgets are returned, callers receive the rest of their
   answers, and the process exits. */
static void advance_stop(Node *n) {
  double past_s = loopclock_now(n->loop) - n->stop_began_at;
  double max_s = setting_number("stop") - STOP_MARGIN_S;
  if (past_s > REFUSE_AFTER_S && !n->refusing) {
    n->refusing = true;
    relay_refuse_requests(n->relay);
  }
  if (past_s > max_s) n->ended_requests += relay_end_requests(n->relay);
  bool idle = relay_open_request_count(n->relay) == 0;
  if (n->refusing && (idle || past_s > max_s - LINGER_S) && !n->returning) {
    n->returning = true;
    cluster_drain(n->cluster);
  }
  bool done = n->returning && idle && cluster_is_drained(n->cluster) &&
              relay_tunnel_count(n->relay) == 0 &&
              !relay_is_delivering(n->relay);
  bool is_sent = past_s > max_s && !relay_is_delivering(n->relay);
  if (is_sent || past_s > max_s + LINGER_S ||
      (done && past_s > REFUSE_AFTER_S + LINGER_S))
    finish_stop(n);
}

/* == time == */

/* After a pause, earlier timers may fire late and earlier bytes may be read
   first. So no decision uses the old state until the store has sent what
   changed. */
static void on_pause(void *ctx, double gap_s) {
  Node *n = ctx;
  log_warn("stood-still", "s:f", "seconds", gap_s);
  n->paused_at = loopclock_now(n->loop);
  relay_set_stale(n->relay, true);
  cluster_note_pause(n->cluster);
  feed_note_pause(n->feed);
}

static void check_pause(Node *n) {
  double past_s = loopclock_now(n->loop) - n->paused_at;
  if (n->paused_at == 0) return;
  bool is_current = feed_is_current_since(n->feed, n->paused_at);
  if (!is_current && past_s < CATCH_UP_MAX_S) return;
  log_info("caught-up", "s:b,s:f", "by_store", (int)is_current, "after",
           past_s);
  n->paused_at = 0;
  if (!is_current) relay_end_checks(n->relay);
  relay_set_stale(n->relay, false);
}

/* An instance that receives more than its link carries reports that it is not
   ready, so that the balancer sends callers elsewhere for a while. */
static void check_link(Node *n) {
  bool full = intake_update(&n->intake, loopclock_now(n->loop),
                            relay_bytes_received(n->relay), n->instance_count);
  if (full == n->link_is_full) return;
  n->link_is_full = full;
  relay_set_leaving(n->relay, full);
  count_add(COUNT_LINK_FULL, full);
  log_info("link", "s:b,s:f", "full", (int)full, "room",
           n->intake.available_bytes);
}

static RecoveryPlace recovery_place(const Node *n) {
  return (RecoveryPlace){
      .is_first_start = settings_flag(settings, "first-start"),
      .rank = cluster_is_ready(n->cluster) ? n->rank : -1,
      .n_instances = n->instance_count,
      .store_writes_per_s = (double)settings_number(settings, "store-writes")};
}

static void update_recovery(Node *n) {
  RecoveryPlace place = recovery_place(n);
  relay_update_recovery(n->relay, &place);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Node *n = w->data;
  check_link(n);
  check_pause(n);
  relay_check_paths(n->relay);
  update_recovery(n);
  cluster_set_store_unavailable(n->cluster, feed_store_is_unavailable(n->feed));
  if (n->stop_began_at > 0) advance_stop(n);
  if (is_ready(n) == n->was_ready) return;
  n->was_ready = !n->was_ready;
  log_info("ready", "s:b", "ready", (int)n->was_ready);
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Node *n = w->data;
  targets_sweep(n->targets, loopclock_now(loop));
  relay_sweep(n->relay);
  log_further_changes(n);
  broadcast_pools(n);
  if (loopclock_now(loop) - n->calls_logged_at >= CALLS_LOG_INTERVAL_S)
    log_calls(n);
  if (loopclock_now(loop) - n->rates_logged_at >= RATES_LOG_INTERVAL_S) {
    n->rates_logged_at = loopclock_now(loop);
    relay_log_rates(n->relay);
  }
}

static void on_hup(struct ev_loop *loop, ev_signal *w, int revents) {
  (void)loop;
  (void)w;
  (void)revents;
  log_info("reload", "");
}

/* == start == */

static uint32_t random_number(void) {
  uint32_t n = 0;
  if (getrandom(&n, sizeof n, 0) != sizeof n) n = (uint32_t)time(NULL);
  return n;
}

/* What this instance tells the others of itself. */
static Member own_member(const Node *n) {
  Member m = {0};
  g_strlcpy(m.id, n->id, sizeof m.id);
  g_strlcpy(m.dc, settings_text(settings, "datacentre"), sizeof m.dc);
  g_strlcpy(m.region, settings_text(settings, "region"), sizeof m.region);
  g_strlcpy(m.http, settings_text(settings, "listen"), sizeof m.http);
  g_snprintf(m.peer, sizeof m.peer, "tcp://%s",
             settings_text(settings, "peer"));
  return m;
}

static Cluster *open_cluster(Node *n, Err *e) {
  static const ClusterEvents events = {
      on_reservation_decided, on_instances_changed,
      on_peer_conf,           conf_text,
      on_feed_received,       on_work_reported,
      on_parts_reported,      on_tally_received,
      on_permit_answered,     on_rate_received,
      on_find_target,         on_limit_received,
      on_customer_name,       on_suspect_received,
      on_origin_received,     on_pool_reported};
  ClusterOptions o = {.seeds = settings_text(settings, "seeds"),
                      .seed = random_number(),
                      .self = own_member(n),
                      .regions = n->regions};
  o.bind = o.self.peer;
  return cluster_open(n->loop, n->store, &o, &events, n, e);
}

/* Returns the address for tunnels, to be freed. */
static char *tunnel_address(void) {
  const char *given = settings_text(settings, "tunnel");
  const char *peer = settings_text(settings, "peer");
  int ip_length = (int)(strrchr(peer, ':') - peer);
  if (given[0]) return g_strdup(given);
  return g_strdup_printf("%.*s:%d", ip_length, peer,
                         atoi(peer + ip_length + 1) + 1);
}

static int count_seeds(const char *list) {
  char **seeds = g_strsplit(list, ",", -1);
  int n = (int)g_strv_length(seeds);
  g_strfreev(seeds);
  return n;
}

/* Returns the memory that callers may make this instance hold, in bytes. */
static size_t caller_bytes(void) {
  return holdings_limit_bytes(settings_number(settings, "caller-memory"),
                              settings_number(settings, "memory"),
                              LIMIT_CALLER_MEMORY_DIVISOR);
}

static int max_connections(void) {
  long given = settings_number(settings, "max-connections");
  struct rlimit files;
  if (given > 0) return (int)given;
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur >= INT_MAX)
    return INT_MAX;
  double left = (double)files.rlim_cur - LIMIT_RESERVED_FILES;
  return (int)MAX(left, 1) * LIMIT_CALLER_FILES_RATIO;
}

/* Opens the address for readiness and metrics, whose requests have no body. */
static Callers *open_status(Node *n, Err *e) {
  static const CallerEvents events = {on_status_request, on_status_caller_gone,
                                      on_status_caller_gone};
  n->ready_holdings =
      holdings_new(LIMIT_STATUS_MEMORY_BYTES, LIMIT_STATUS_CONNECTIONS);
  Callers *s = callers_open(n->loop, settings_text(settings, "ready"), &events,
                            n, n->ready_holdings, e);
  if (s) callers_set_max_body(s, LIMIT_STATUS_BODY_BYTES);
  return s;
}

static bool open_modules(Node *n, Err *e) {
  static const FeedEvents feed_events = {
      on_conf,           on_target_read,        on_target_removed,
      on_targets_listed, on_evacuation_changed, on_evacuations_listed,
      on_trial_changed,  on_trials_listed,      on_reader_duty,
      on_broadcast,      on_discovery_done,     on_send_to,
      on_next_part,      on_store_outcome,      on_may_probe_store,
      on_may_query_store};
  RetriesOptions retries = {.ratio = setting_number("retry-ratio"),
                            .window_s = setting_number("retry-window"),
                            .extra = setting_number("retry-extra")};
  RelayOptions relay = {.listen_addr = settings_text(settings, "listen"),
                        .caller_bytes = caller_bytes(),
                        .max_connections = max_connections()};
  n->seed_count = count_seeds(settings_text(settings, "seeds"));
  n->regions = regions_new(settings_text(settings, "datacentre"),
                           settings_text(settings, "region"),
                           settings_text(settings, "datacentres"));
  n->targets =
      targets_new(settings_text(settings, "datacentre"), random_number());
  targets_set_regions(n->targets, n->regions);
  targets_set_cold_bound(n->targets, setting_number("cold-overrun"),
                         setting_number("cold-extra"));
  n->retries = retries_new(&retries);
  n->store = store_open(n->loop, settings_text(settings, "platform"));
  n->cluster = open_cluster(n, e);
  if (!n->cluster) return false;
  relay.store = n->store;
  relay.managed = &n->managed;
  relay.regions = n->regions;
  relay.recovery = recovery_place(n);
  Member self = own_member(n);
  char *tunnel_addr = tunnel_address();
  relay.self = &self;
  relay.tunnel_addr = tunnel_addr;
  n->relay = relay_open(n->loop, &relay, n->targets, n->retries, e);
  g_free(tunnel_addr);
  if (!n->relay) return false;
  relay_set_cluster(n->relay, n->cluster);
  n->ready = open_status(n, e);
  if (!n->ready) return false;
  n->feed = feed_open(n->loop, n->store, &feed_events, n);
  relay_set_feed(n->relay, n->feed);
  return true;
}

static void start_timers(Node *n) {
  loopclock_on_gap(n->loop, PAUSE_MIN_S, on_pause, n);
  intake_init(&n->intake, loopclock_now(n->loop), setting_number("link"));
  ev_timer_init(&n->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  ev_timer_init(&n->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
  ev_signal_init(&n->term, on_stop_signal, SIGTERM);
  ev_signal_init(&n->intr, on_stop_signal, SIGINT);
  ev_signal_init(&n->hup, on_hup, SIGHUP);
  ev_prepare_init(&n->turn, on_before_sleep);
  ev_set_priority(&n->turn, EV_MAXPRI);
  n->tick.data = n->sweep.data = n->turn.data = n;
  n->term.data = n->intr.data = n->hup.data = n;
  ev_timer_start(n->loop, &n->tick);
  ev_timer_start(n->loop, &n->sweep);
  ev_prepare_start(n->loop, &n->turn);
  ev_signal_start(n->loop, &n->term);
  ev_signal_start(n->loop, &n->intr);
  ev_signal_start(n->loop, &n->hup);
}

/* The last messages to other instances are sent as their links close. Requests
   that are still open are aborted with their connections. */
static void close_modules(Node *n) {
  feed_close(n->feed);
  callers_close(n->ready);
  holdings_free(n->ready_holdings);
  relay_close(n->relay);
  cluster_close(n->cluster);
  store_close(n->store);
  targets_free(n->targets);
  regions_free(n->regions);
  retries_free(n->retries);
}

int node_run(int argc, char **argv) {
  static Node node;
  Node *n = &node;
  Err e = {0};
  if (!settings_read(settings, argc, argv,
                     "loftpathd -- one instance of the router fleet", &e)) {
    fprintf(stderr, "loftpathd: %s: %s\n", e.text, err_info(e.kind)->remedy);
    return 2;
  }
  if (!managed_parse(&n->managed,
                     (int)settings_number(settings, "managed-slots"),
                     settings_text(settings, "managed-parts"), &e)) {
    fprintf(stderr, "loftpathd: %s: %s\n", e.text, err_info(e.kind)->remedy);
    return 2;
  }
  if (settings_flag(settings, "check")) {
    printf("settings are valid\n");
    return 0;
  }
  snprintf(n->id, sizeof n->id, "%.36s.%08x", settings_text(settings, "name"),
           random_number());
  log_open(n->id, false);
  log_limit_rate(LOG_LINES_PER_S);
  signal(SIGPIPE, SIG_IGN);
  n->loop = ev_default_loop(EVFLAG_AUTO);
  if (n->loop) loopclock_start(n->loop);
  if (!n->loop || !open_modules(n, &e)) {
    log_warn("start-failed", "s:s,s:s", "error", e.text, "remedy",
             err_info(e.kind)->remedy);
    return 1;
  }
  start_timers(n);
  log_info("started", "s:s,s:s", "listen", settings_text(settings, "listen"),
           "datacentre", settings_text(settings, "datacentre"));
  ev_run(n->loop, 0);
  close_modules(n);
  return n->status;
}
