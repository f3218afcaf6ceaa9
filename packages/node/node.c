/* node.c: settings, start, planned stop. */
#include "node/node.h"

#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "flow/intake.h"
#include "flow/relay.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/settings.h"
#include "node/feed.h"

#define TICK_S 0.05       /* between looks at what waits */
#define SWEEP_S 1.0       /* between looks for targets to forget */
#define TARGET_LINES 20   /* on single targets, a second */
#define CALLS_EVERY_S 5.0 /* between lines on calls to the store */
/* Seconds for each instance between two words on pools: 40 bytes for each pool
   and other instance, so 0.8 KB/s at any size. */
#define POOLS_EACH_S 0.05
/* Of a stop: the balancer asks each second and takes an instance out after two
   misses. What comes later than 3 s might not end before the process has to. */
#define REFUSE_AFTER_S 2.9
#define STOP_MARGIN_S 0.6 /* before the platform kills */
/* Two turns are 50 ms apart, on the busiest of machines a tenth of a second.
   After so long what is known may be out of date, whatever clock it is measured
   by: a leaving target may get work for two seconds. */
#define STILL_S 1.0
/* The store answers in milliseconds; when it doesn't within so long it is away,
   and what is known counts as in any outage. */
#define STILL_MOST_S 1.0
#define LINGER_S 0.3 /* for the last answers to leave */
#define LOG_LINES                                                              \
  500                /* a second; the busiest instance of the users' days      \
                        serves 40 requests a second */
#define BODY_SHARE 4 /* of the memory, one part for bodies and answers held */
#define READY_ROOM (1 << 20) /* bytes of the same, of questions */

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
    {"check", "LOFTPATH_CHECK", SETTING_FLAG, "off",
     "Check the settings and exit", 0, 0, NULL},
    {NULL, NULL, SETTING_TEXT, NULL, NULL, 0, 0, NULL}};

typedef struct Node {
  struct ev_loop *loop;
  char id[LIMIT_ID];
  Store *store;
  Feed *feed;
  Regions *regions;
  Targets *targets;
  Retries *retries;
  Cluster *cluster;
  Relay *relay;
  Callers *ready;
  Intake intake;
  bool full; /* callers send more than the link bears */
  ev_timer tick, sweep;
  ev_prepare turn;
  ev_signal term, intr, hup;
  bool listed;     /* all targets were, once */
  int changes;     /* of targets, in this second */
  double calls_at; /* when calls to the store were last logged */
  double pools_at; /* when the others are told of our pools next */
  int instances;   /* of the fleet, with ourselves */
  int seeds;       /* that the settings name */
  double stop_at;  /* loop time of SIGTERM; 0: none */
  double still_at; /* it stood still, and has not caught up since; 0: it has */
  bool refusing, returning, was_ready;
  int status;
} Node;

static double number(const char *name) {
  return atof(settings_text(settings, name));
}

/* == what the store says == */

static void set_budgets(Node *n, const Conf *c) {
  GArray *rows = g_array_new(FALSE, TRUE, sizeof(LedgerBudget));
  for (guint i = 0; i < c->customers->len; i++) {
    const ConfCustomer *u = c->customers->pdata[i];
    LedgerBudget row = {.total = u->budget,
                        .version = c->version,
                        .reserve_s = number("lay-up")};
    if (u->budget == CONF_UNLIMITED) continue;
    g_strlcpy(row.name, u->name, sizeof row.name);
    g_array_append_val(rows, row);
  }
  cluster_set_budgets(n->cluster, (LedgerBudget *)(void *)rows->data,
                      (int)rows->len);
  g_array_free(rows, TRUE);
}

/* A list that names no region that there is would refuse all that it bounds. */
static void check_regions(const Node *n, const char *what, const char *name,
                          char *const *list) {
  const char *unknown;
  regions_listed(n->regions, list, &unknown);
  if (!unknown) return;
  count_add(COUNT_REGIONS_UNKNOWN, 1);
  log_warn("region-unknown", "s:s,s:s,s:s", "region", unknown, what, name,
           "remedy", "name a region of the setting datacentres");
}

static void check_bounds(const Node *n, const Conf *c) {
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
           "customers", (int)c->customers->len, "store_age", feed_age(n->feed));
  relay_conf(n->relay, c);
  cluster_set_conf_version(n->cluster, c->version);
  set_budgets(n, c);
  check_bounds(n, c);
}

/* Whether a line is due for a single target: of a first listing, and of more
   changes at once than a reader of the log would read, only the number is. */
static bool tells_of_target(Node *n) {
  n->changes++;
  return n->listed && n->changes <= TARGET_LINES;
}

/* The changes of the last second that had no line. */
static void log_changes(Node *n) {
  int more = n->listed ? n->changes - TARGET_LINES : n->changes;
  if (more > 0) log_info("targets-changed", "s:i", "more", more);
  n->changes = 0;
}

static bool on_target(void *ctx, const TargetInfo *t) {
  Node *n = ctx;
  bool news = targets_is_news(n->targets, t);
  uint64_t life = targets_life(n->targets, t->id);
  bool again = targets_set(n->targets, loopclock_now(n->loop), t);
  if (again) relay_restarted(n->relay, t->addr, life);
  if (!news || !tells_of_target(n)) return news;
  log_info("target", "s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:b", "target", t->id,
           "service", t->service, "addr", t->addr, "datacentre", t->dc,
           "leaving", (int)t->leaving, "revision", (json_int_t)t->revision,
           "born", (json_int_t)t->born, "again", (int)again);
  return true;
}

static void on_gone(void *ctx, const char *id, bool lapsed) {
  Node *n = ctx;
  targets_gone(n->targets, loopclock_now(n->loop), id, lapsed);
  if (!tells_of_target(n)) return;
  log_info("target-gone", "s:s,s:b", "target", id, "lapsed", (int)lapsed);
}

static void on_listed(void *ctx, GHashTable *ids, bool lapsed) {
  Node *n = ctx;
  targets_only(n->targets, loopclock_now(n->loop), ids, lapsed);
  n->listed = true;
  log_info("targets-listed", "s:i,s:b", "targets", (int)g_hash_table_size(ids),
           "lapsed", (int)lapsed);
}

static void on_evacuation(void *ctx, const char *dc, bool on,
                          uint64_t revision) {
  Node *n = ctx;
  if (!targets_evacuate(n->targets, dc, on)) return;
  count_add(COUNT_EVACUATIONS, 1);
  log_info("evacuation", "s:s,s:b,s:i,s:I,s:f", "datacentre", dc, "in_force",
           (int)on, "targets", targets_in(n->targets, dc), "revision",
           (json_int_t)revision, "store_age", feed_age(n->feed));
}

static void on_evacuations(void *ctx, GHashTable *dcs) {
  Node *n = ctx;
  if (!targets_evacuate_only(n->targets, dcs)) return;
  count_add(COUNT_EVACUATIONS, 1);
  log_info("evacuations-listed", "s:i", "datacentres",
           (int)g_hash_table_size(dcs));
}

static void on_trial(void *ctx, const char *name, const json_t *content,
                     uint64_t revision) {
  Node *n = ctx;
  relay_trial(n->relay, name, content, revision);
}

static void on_trials(void *ctx, GHashTable *names) {
  Node *n = ctx;
  relay_trials(n->relay, names);
}

/* == what other instances say == */

static void on_reserved(void *ctx, uint64_t handle, ErrKind cause,
                        int retry_ms) {
  Node *n = ctx;
  relay_reserved(n->relay, handle, cause, retry_ms);
}

/* Seeds are there even when they can't be seen: an instance that starts in a
   cut must not take all of a bound for itself. */
static void on_instances(void *ctx, int rank, int count) {
  Node *n = ctx;
  int of = MAX(count, n->seeds);
  n->instances = count;
  targets_place(n->targets, loopclock_now(n->loop), rank, of);
  targets_parts_are_told(n->targets, count < FLEET_SMALL);
  retries_instances(n->retries, loopclock_now(n->loop), count);
}

static void on_peer_conf(void *ctx, const char *text) {
  Node *n = ctx;
  Err e = {0};
  Conf *c = feed_parse(text, &e);
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

static ReadersDuty on_duty(void *ctx) {
  Node *n = ctx;
  return cluster_reader_duty(n->cluster);
}

static void on_tell(void *ctx, const CodecFeed *m) {
  Node *n = ctx;
  cluster_broadcast_feed(n->cluster, m);
}

static bool on_settled(void *ctx) {
  Node *n = ctx;
  return cluster_is_ready(n->cluster);
}

static void on_tell_one(void *ctx, const char *id, const CodecFeed *m) {
  Node *n = ctx;
  cluster_send_feed(n->cluster, id, m);
}

static char *on_part(void *ctx, RosterAt *at, bool *more) {
  Node *n = ctx;
  return roster_part(n->targets, loopclock_now(n->loop), at, more);
}

static void on_met(void *ctx, ReadersWord word) {
  Node *n = ctx;
  cluster_note_store_outcome(n->cluster, word);
}

static bool on_knocks(void *ctx) {
  Node *n = ctx;
  return cluster_may_probe_store(n->cluster);
}

static bool on_asks(void *ctx) {
  Node *n = ctx;
  return cluster_may_query_store(n->cluster);
}

static void on_work(void *ctx, uint64_t from, const TargetWork *m) {
  Node *n = ctx;
  targets_others(n->targets, loopclock_now(n->loop), from, m);
}

static void on_parts(void *ctx, const TargetParts *m) {
  Node *n = ctx;
  targets_parts_told(n->targets, loopclock_now(n->loop), m);
}

static void on_tally(void *ctx, const TallyWord *m) {
  Node *n = ctx;
  relay_tally(n->relay, m);
}

static void on_permit(void *ctx, const TallyPermit *m) {
  Node *n = ctx;
  relay_permit(n->relay, m);
}

static void on_limit(void *ctx, const TallyLimit *m) {
  Node *n = ctx;
  relay_limit(n->relay, m->target, m->limit);
}

static void on_suspect(void *ctx, const SuspectsMsg *m) {
  Node *n = ctx;
  if (n->relay) relay_suspect(n->relay, m);
}

static void on_pool(void *ctx, uint64_t from, const TargetsPoolWord *m) {
  Node *n = ctx;
  targets_pool_told(n->targets, loopclock_now(n->loop), from, m);
}

/* What the store was called for since the last such line. */
static void log_calls(Node *n) {
  n->calls_at = loopclock_now(n->loop);
  json_t *news = calls_news(store_calls(n->store));
  if (news) log_info("store-calls", "s:O", "calls", news);
  json_decref(news);
}

/* Each instance hears of all, so they tell more seldom the more there are. */
static void tell_pools(Node *n) {
  double now = loopclock_now(n->loop);
  TargetsPoolWord word;
  if (now < n->pools_at) return;
  n->pools_at = now + MAX(SWEEP_S, n->instances * POOLS_EACH_S);
  for (int i = 0; targets_pool_word(n->targets, now, i, &word); i++)
    cluster_broadcast_pool(n->cluster, &word);
}

/* Before the loop sleeps, and before the messages of this turn leave. */
static void on_turn(struct ev_loop *loop, ev_prepare *w, int revents) {
  (void)loop;
  (void)revents;
  Node *n = w->data;
  TargetWork work;
  TargetParts parts;
  while (targets_changed(n->targets, &work))
    cluster_broadcast_work(n->cluster, &work);
  while (targets_parts_news(n->targets, &parts))
    cluster_broadcast_parts(n->cluster, &parts);
}

static void on_feed(void *ctx, const char *from, const CodecFeed *m) {
  Node *n = ctx;
  if (n->feed) feed_told(n->feed, from, m);
}

/* == readiness and metrics == */

static bool is_ready(const Node *n) {
  return n->stop_at == 0 && !n->full && n->still_at == 0 &&
         relay_get_conf(n->relay) != NULL && feed_complete(n->feed) &&
         cluster_is_ready(n->cluster);
}

static void print_metrics(Node *n, GString *out) {
  count_print(out);
  calls_print(store_calls(n->store), out);
}

static void on_question(void *ctx, Caller *c, const CallerReq *r,
                        const Err *bad) {
  Node *n = ctx;
  GString *text = g_string_new(NULL);
  int status = 200;
  if (!bad && strcmp(r->target->str, "/metrics") == 0)
    print_metrics(n, text);
  else
    status = is_ready(n) ? 200 : 503;
  caller_head(c, status, "", (int64_t)text->len);
  caller_body(c, text->str, text->len);
  caller_end(c);
  g_string_free(text, TRUE);
}

static void on_questioner_gone(void *ctx, Caller *c) {
  (void)ctx;
  (void)c;
}

/* == planned stop == */

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int revents) {
  (void)revents;
  Node *n = w->data;
  if (n->stop_at > 0) return;
  n->stop_at = loopclock_now(loop);
  log_info("draining", "s:i", "open", relay_open_requests(n->relay));
  relay_drain(n->relay);
}

static void end(Node *n, bool clean) {
  log_calls(n);
  log_info("stopped", "s:b,s:i", "clean", (int)clean, "open",
           relay_open_requests(n->relay));
  n->status = clean ? 0 : 3;
  ev_break(n->loop, EVBREAK_ALL);
}

/* New callers still come until the balancer has heard; then open requests
   end, budgets go back, and the process exits. */
static void stop_step(Node *n) {
  double past = loopclock_now(n->loop) - n->stop_at;
  double most = number("stop") - STOP_MARGIN_S;
  if (past > REFUSE_AFTER_S && !n->refusing) {
    n->refusing = true;
    relay_refuse(n->relay);
  }
  bool idle = relay_open_requests(n->relay) == 0;
  if (n->refusing && (idle || past > most - LINGER_S) && !n->returning) {
    n->returning = true;
    cluster_drain(n->cluster);
  }
  bool done = n->returning && idle && cluster_is_drained(n->cluster);
  if (past > most || (done && past > REFUSE_AFTER_S + LINGER_S)) end(n, idle);
}

/* == time == */

/* Timers of before may fire late, and bytes of before be read first; so nothing
   is decided by what was known until the store has told what is new. */
static void on_still(void *ctx, double gap_s) {
  Node *n = ctx;
  log_warn("stood-still", "s:f", "seconds", gap_s);
  n->still_at = loopclock_now(n->loop);
  relay_behind(n->relay, true);
  cluster_note_pause(n->cluster);
  feed_stood_still(n->feed);
}

static void watch_still(Node *n) {
  double past = loopclock_now(n->loop) - n->still_at;
  if (n->still_at == 0) return;
  bool knows = feed_knows_since(n->feed, n->still_at);
  if (!knows && past < STILL_MOST_S) return;
  log_info("caught-up", "s:b,s:f", "by_store", (int)knows, "after", past);
  n->still_at = 0;
  relay_behind(n->relay, false);
}

/* An instance that gets more than its link bears lets the balancer place its
   callers elsewhere for a while. */
static void watch_link(Node *n) {
  bool full = intake_full(&n->intake, loopclock_now(n->loop),
                          relay_taken(n->relay), n->instances);
  if (full == n->full) return;
  n->full = full;
  relay_leave(n->relay, full);
  count_add(COUNT_LINK_FULL, full);
  log_info("link", "s:b,s:f", "full", (int)full, "room", n->intake.room);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Node *n = w->data;
  watch_link(n);
  watch_still(n);
  cluster_set_store_unavailable(n->cluster, feed_away(n->feed));
  if (n->stop_at > 0) stop_step(n);
  if (is_ready(n) == n->was_ready) return;
  n->was_ready = !n->was_ready;
  log_info("ready", "s:b", "ready", (int)n->was_ready);
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)revents;
  Node *n = w->data;
  targets_sweep(n->targets, loopclock_now(loop));
  relay_sweep(n->relay);
  log_changes(n);
  tell_pools(n);
  if (loopclock_now(loop) - n->calls_at >= CALLS_EVERY_S) log_calls(n);
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

static Cluster *open_cluster(Node *n, Err *e) {
  static const ClusterEvents events = {
      on_reserved, on_instances, on_peer_conf, conf_text, on_feed,    on_work,
      on_parts,    on_tally,     on_permit,    on_limit,  on_suspect, on_pool};
  ClusterOptions o = {.seeds = settings_text(settings, "seeds"),
                      .seed = random_number(),
                      .regions = n->regions};
  g_strlcpy(o.self.id, n->id, sizeof o.self.id);
  g_strlcpy(o.self.dc, settings_text(settings, "datacentre"), sizeof o.self.dc);
  g_strlcpy(o.self.region, settings_text(settings, "region"),
            sizeof o.self.region);
  g_strlcpy(o.self.http, settings_text(settings, "listen"), sizeof o.self.http);
  g_snprintf(o.self.peer, sizeof o.self.peer, "tcp://%s",
             settings_text(settings, "peer"));
  o.bind = o.self.peer;
  return cluster_open(n->loop, n->store, &o, &events, n, e);
}

static int count_seeds(const char *list) {
  char **seeds = g_strsplit(list, ",", -1);
  int n = (int)g_strv_length(seeds);
  g_strfreev(seeds);
  return n;
}

static bool open_parts(Node *n, Err *e) {
  static const FeedEvents feed_events = {
      on_conf,  on_target, on_gone,   on_listed, on_evacuation, on_evacuations,
      on_trial, on_trials, on_duty,   on_tell,   on_settled,    on_tell_one,
      on_part,  on_met,    on_knocks, on_asks};
  static const CallerEvents ready_events = {on_question, on_questioner_gone,
                                            on_questioner_gone};
  RetriesOptions retries = {.ratio = number("retry-ratio"),
                            .window_s = number("retry-window"),
                            .extra = number("retry-extra")};
  RelayOptions relay = {
      .listen = settings_text(settings, "listen"),
      .body_room = (settings_number(settings, "memory") << 20) / BODY_SHARE};
  n->seeds = count_seeds(settings_text(settings, "seeds"));
  n->regions = regions_new(settings_text(settings, "datacentre"),
                           settings_text(settings, "region"),
                           settings_text(settings, "datacentres"));
  n->targets =
      targets_new(settings_text(settings, "datacentre"), random_number());
  targets_regions(n->targets, n->regions);
  targets_cold_bound(n->targets, number("cold-overrun"), number("cold-extra"));
  n->retries = retries_new(&retries);
  n->store = store_open(n->loop, settings_text(settings, "platform"));
  n->cluster = open_cluster(n, e);
  if (!n->cluster) return false;
  relay.store = n->store;
  relay.regions = n->regions;
  n->relay = relay_open(n->loop, &relay, n->targets, n->retries, e);
  if (!n->relay) return false;
  relay_cluster(n->relay, n->cluster);
  n->ready = callers_open(n->loop, settings_text(settings, "ready"),
                          &ready_events, n, e);
  if (!n->ready) return false;
  callers_room(n->ready, READY_ROOM);
  n->feed = feed_open(n->loop, n->store, &feed_events, n);
  return true;
}

static void start_timers(Node *n) {
  loopclock_on_gap(n->loop, STILL_S, on_still, n);
  intake_start(&n->intake, loopclock_now(n->loop), number("link"));
  ev_timer_init(&n->tick, on_tick, TICK_S, TICK_S);
  ev_timer_init(&n->sweep, on_sweep, SWEEP_S, SWEEP_S);
  ev_signal_init(&n->term, on_stop_signal, SIGTERM);
  ev_signal_init(&n->intr, on_stop_signal, SIGINT);
  ev_signal_init(&n->hup, on_hup, SIGHUP);
  ev_prepare_init(&n->turn, on_turn);
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

/* The last words to the other instances leave as their links close; requests
   that are still open are broken off with their connections. */
static void close_parts(Node *n) {
  feed_close(n->feed);
  callers_close(n->ready);
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
  if (settings_flag(settings, "check")) {
    printf("settings are valid\n");
    return 0;
  }
  snprintf(n->id, sizeof n->id, "%.36s.%08x", settings_text(settings, "name"),
           random_number());
  log_open(n->id, false);
  log_bound(LOG_LINES);
  signal(SIGPIPE, SIG_IGN);
  n->loop = ev_default_loop(EVFLAG_AUTO);
  if (n->loop) loopclock_start(n->loop);
  if (!n->loop || !open_parts(n, &e)) {
    log_warn("start-failed", "s:s,s:s", "error", e.text, "remedy",
             err_info(e.kind)->remedy);
    return 1;
  }
  start_timers(n);
  log_info("started", "s:s,s:s", "listen", settings_text(settings, "listen"),
           "datacentre", settings_text(settings, "datacentre"));
  ev_run(n->loop, 0);
  close_parts(n);
  return n->status;
}
