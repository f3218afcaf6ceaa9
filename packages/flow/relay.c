/* relay.c: accepts requests, finds their route and customer, and reserves
   budget. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "flow/wire.h"
#include "kernel/loopclock.h"
#include "kernel/text.h"
#include "node/feed.h"

#define CONNECT_TIMEOUT_S 0.4 /* data centres are at most 3 ms apart */
#define USER_TIMEOUT_MS 1500  /* unacknowledged data ends a connection */
#define MAX_BUDGET_WAIT_S 0.4 /* for the store, which answers in 4 ms */
/* Limits the wait for the budget to this part of the route's aim (its target
   time). A refusal that reaches the caller within a quarter of the aim leaves
   time to be served elsewhere; the difference is for the network round trip. */
#define BUDGET_AIM_RATIO 0.2
/* To callers whose wait ended without an answer of the home: it was slow, and
   the tokens arrive meanwhile. */
#define RETRY_UNANSWERED_MS 300
#define DEFAULT_DEADLINE_S 30.0 /* when the caller gives none */

/* == budget == */

static void set_timer(Run *x, double at,
                      void (*fn)(struct ev_loop *, ev_timer *, int)) {
  struct ev_loop *loop = x->relay->loop;
  ev_timer_stop(loop, &x->timer);
  ev_timer_init(&x->timer, fn, MAX(0.001, at - loopclock_now(loop)), 0);
  x->timer.data = x;
  ev_timer_start(loop, &x->timer);
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents);

static void refuse_budget(Run *x, ErrKind cause, int retry_ms) {
  Err e;
  int max_ms =
      (int)((x->deadline - run_now(x)) * 1000) / RUN_RETRY_DEADLINE_DIVISOR;
  /* When no time is left because this process was paused, the full retry time
     is sent, as to others. The expected end of an outage is stated as it is to
     managed services: a retry before it would be rejected again. */
  bool is_outage =
      cause == ERR_BUDGET_STORE && run_is_managed(x, MANAGED_RESERVE);
  int capped_retry_ms =
      max_ms > 0 && !is_outage ? MIN(retry_ms, max_ms) : retry_ms;
  err_retry(&e, cause, capped_retry_ms,
            "%" G_GINT64_FORMAT " tokens could not be reserved for %s",
            x->reserved_tokens, x->customer->name);
  run_fail(x, &e);
}

static void on_budget_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  int retry_ms;
  ErrKind cause =
      cluster_wait_cause(x->relay->cluster, x->reservation, &retry_ms);
  if (cause == ERR_BUDGET_CUT) retry_ms = RETRY_UNANSWERED_MS;
  refuse_budget(x, cause, retry_ms);
}

void relay_on_reserved(Relay *r, uint64_t handle, ErrKind cause, int retry_ms) {
  Run *x = g_hash_table_lookup(r->runs_by_reservation, &handle);
  if (!x) return;
  x->awaits_budget = false;
  if (cause != ERR_NONE) {
    g_hash_table_remove(r->runs_by_reservation, &handle);
    x->reservation = 0;
    refuse_budget(x, cause, retry_ms);
    return;
  }
  set_timer(x, x->deadline, on_deadline);
  run_dispatch(x);
}

static void reserve_budget(Run *x) {
  Relay *r = x->relay;
  bool limited = x->customer && x->customer->budget_tokens != CONF_NO_BUDGET;
  if (!limited || x->reserved_tokens == 0) {
    set_timer(x, x->deadline, on_deadline);
    run_dispatch(x);
    return;
  }
  int settles_ms = cluster_ready_in_ms(r->cluster);
  if (settles_ms > 0) {
    refuse_budget(x, ERR_BUDGET_CUT, settles_ms);
    return;
  }
  bool managed = run_is_managed(x, MANAGED_RESERVE);
  double wait_s = MIN(MAX_BUDGET_WAIT_S, x->route->slo_s * BUDGET_AIM_RATIO);
  set_timer(x, MIN(x->deadline, x->http_request->received_at + wait_s),
            on_budget_timeout);
  x->awaits_budget = true;
  x->reservation =
      cluster_reserve(r->cluster, x->customer->name, x->reserved_tokens,
                      managed ? x->route->priority : -1);
  g_hash_table_insert(r->runs_by_reservation, &x->reservation, x);
  cluster_run_actions(r->cluster);
}

/* == requests == */

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  Err e;
  bool sent = x->maybe_ran || (x->link && link_has_sent(x->link));
  if (sent)
    err_set(&e, ERR_TARGET_TIMEOUT, "no whole answer came in time");
  else
    err_retry(&e, ERR_OVERLOADED, RUN_RETRY_SOON_MS,
              "no target took it in time");
  x->maybe_ran |= sent;
  run_fail(x, &e);
}

/* Returns the route of the request in a configuration, NULL when none. */
static const ConfRoute *find_route(const Run *x, const Conf *c) {
  const char *target = x->http_request->uri->str;
  char *path = g_strndup(target, strcspn(target, "?"));
  const ConfRoute *route = conf_find_route(c, x->request.host, path);
  g_free(path);
  return route;
}

static RegionSet allowed_regions(const Run *x, const ConfRoute *route,
                                 const ConfCustomer *customer) {
  const Regions *r = x->relay->regions;
  RegionSet by_route = regions_from_list(r, route->regions, NULL);
  if (!customer) return by_route;
  return regions_intersect(by_route,
                           regions_from_list(r, customer->regions, NULL));
}

void run_update_regions(Run *x) {
  const Conf *c = x->relay->conf;
  if (c == x->conf) return;
  const ConfRoute *route = find_route(x, c);
  if (!route) return;
  RegionSet now =
      allowed_regions(x, route, conf_find_customer(c, x->request.key));
  x->regions = regions_intersect(x->regions, now);
}

static void set_service(Run *x, const char *name) {
  x->service_name = name;
  x->service = conf_find_service(x->conf, name);
  run_init_admission(x);
}

bool run_set_service(Run *x, uint64_t service) {
  for (int i = 0; i < x->route->n_splits; i++) {
    const char *name = x->route->splits[i].service;
    if (text_hash(name) != service) continue;
    if (name != x->service_name) set_service(x, name);
    return true;
  }
  return false;
}

/* Finds route, customer and service; returns false with a typed error. */
static bool resolve_request(Run *x, Err *e) {
  const Relay *r = x->relay;
  if (!r->conf)
    return err_retry(e, ERR_NOT_CONFIGURED, RUN_RETRY_SOON_MS,
                     "no configuration is known yet");
  x->conf = conf_ref(r->conf);
  x->route = find_route(x, x->conf);
  if (!x->route)
    return err_set(e, ERR_NO_ROUTE, "nothing is served at %.100s",
                   x->request.host);
  x->customer = conf_find_customer(x->conf, x->request.key);
  bool needs_key = !x->route->is_public && x->conf->customers->len > 0;
  if (needs_key && !x->customer)
    return err_set(e, ERR_UNAUTHORISED, "no customer has this key");
  const char *service = conf_choose_service(x->route, g_random_double());
  if (!service)
    return err_set(e, ERR_NO_ROUTE, "route %s has no service", x->route->name);
  x->regions = allowed_regions(x, x->route, x->customer);
  set_service(x, service);
  return true;
}

static void start_run(Run *x) {
  run_query_tallies(x);
  reserve_budget(x);
}

static void admit_run(Run *x) {
  x->reserved_tokens = x->request.prompt_tokens + x->request.max_output_tokens;
  if (run_check_share(x)) run_admit(x, start_run);
}

static void set_deadline(Run *x) {
  double wait_s =
      x->request.deadline_s > 0 ? x->request.deadline_s : DEFAULT_DEADLINE_S;
  x->deadline = x->http_request->received_at + MIN(wait_s, x->route->timeout_s);
}

static bool check_capacity(const Relay *r, Err *e) {
  if (r->refusing)
    return err_retry(e, ERR_DRAINING, RUN_RETRY_SOON_MS,
                     "this instance is stopping");
  if (r->stale)
    return err_retry(e, ERR_LAGGING, RUN_RETRY_SOON_MS,
                     "this instance stood still");
  return true;
}

/* Whether this instance has memory for one more request of that service. */
static bool check_memory(const Run *x, Err *e) {
  return caller_serve(x->caller, x->service_name) ||
         err_retry(e, ERR_OVERLOADED, RUN_RETRY_SOON_MS,
                   "this instance holds too many requests");
}

static void on_request(void *ctx, Caller *c, const CallerRequest *req,
                       const Err *bad) {
  Relay *r = ctx;
  Err e = {0};
  Run *x = run_new(r, c, req);
  count_add(COUNT_REQUESTS, 1);
  if (bad) e = *bad;
  if (!bad && wire_decode_request(&req->headers, &x->request, &e) &&
      check_capacity(r, &e) && resolve_request(x, &e) && check_memory(x, &e)) {
    events_init(&x->events, x->request.last_event);
    set_deadline(x);
    run_find_origin(x, admit_run);
    return;
  }
  run_fail(x, &e);
}

static void on_disconnected(void *ctx, Caller *c) {
  (void)ctx;
  Run *x = caller_get_data(c);
  if (!x) return;
  count_add(COUNT_CALLER_GONE, 1);
  x->maybe_ran |= x->link && link_has_sent(x->link);
  run_end_disconnected(x);
}

static void on_drained(void *ctx, Caller *c) {
  (void)ctx;
  Run *x = caller_get_data(c);
  if (x) run_resume_answer(x);
}

/* == the relay == */

static const CallerEvents caller_events = {on_request, on_disconnected,
                                           on_drained};

/* Frees what is known about requests (those that end targets, and those that
   are expected late) and about the paths to the targets. */
static void free_knowledge(Relay *r) {
  admission_free(r->admission);
  returns_free(r->returns);
  relay_free_tries(r);
  recovery_free(r->recovery);
  origins_free(r->origins);
  conf_history_free(r->conf_history);
  trials_free(r->trials);
  suspects_free(r->suspects);
  ends_free(r->ends);
  paths_free(r->paths);
  gateways_free(r->gateways);
}

static int port_of(const char *addr) {
  const char *colon = strrchr(addr, ':');
  return colon ? atoi(colon + 1) : 0;
}

static void open_tunnels(Relay *r, const char *addr) {
  TunnelsOptions o = {.listen_addr = addr,
                      .connect_timeout_s = CONNECT_TIMEOUT_S,
                      .user_timeout_ms = USER_TIMEOUT_MS,
                      .check = relay_check_tunnel,
                      .attempted = relay_on_tunnel_attempt,
                      .holdings = r->holdings,
                      .ctx = r};
  Err e = {0};
  r->tunnels = tunnels_open(r->loop, &o, &e);
  if (!r->tunnels) /* the other instances use other gateways */
    log_warn("tunnels-unavailable", "s:s,s:s", "error", e.text, "remedy",
             err_info(e.kind)->remedy);
}

static PathChecks *open_path_checks(Relay *r) {
  PathChecksOptions o = {
      .pick_other = relay_pick_other, .end = relay_on_path_checked, .ctx = r};
  return pathchecks_new(r->links, &o);
}

Relay *relay_open(struct ev_loop *loop, const RelayOptions *o, Targets *targets,
                  Retries *retries, Err *e) {
  Holdings *holdings = holdings_new(o->caller_bytes, o->max_connections);
  LinkOptions links = {.connect_timeout_s = CONNECT_TIMEOUT_S,
                       .user_timeout_ms = USER_TIMEOUT_MS,
                       .keepalive_probes = true,
                       .max_idle_s = RUN_LINK_MAX_IDLE_S,
                       .holdings = holdings};
  Relay *r = g_new0(Relay, 1);
  r->loop = loop;
  r->holdings = holdings;
  r->targets = targets;
  r->runs_by_reservation = g_hash_table_new(g_int64_hash, g_int64_equal);
  r->runs_by_query = g_hash_table_new(g_int64_hash, g_int64_equal);
  r->retries = retries;
  r->admission = admission_new();
  r->returns = returns_new();
  r->links = links_open(loop, &links);
  r->path_checks = open_path_checks(r);
  r->paths = paths_new();
  r->gateways = gateways_new(o->self, port_of(o->tunnel_addr));
  r->origins = origins_new();
  r->conf_history = conf_history_new();
  r->ends = ends_new();
  r->suspects = suspects_new();
  r->trials = trials_new();
  r->instance = text_hash(o->self->id);
  r->tries = g_ptr_array_new();
  r->store = o->store;
  r->recovery = recovery_new(r, o->self->id, &o->recovery);
  r->regions = o->regions;
  r->managed = o->managed;
  links_set_connect_fn(r->links, relay_on_connect, r);
  links_set_attempt_fn(r->links, relay_on_attempt, r);
  r->callers =
      callers_open(loop, o->listen_addr, &caller_events, r, r->holdings, e);
  if (r->callers) {
    open_tunnels(r, o->tunnel_addr);
    return r;
  }
  pathchecks_free(r->path_checks);
  links_close(r->links);
  holdings_free(r->holdings);
  free_knowledge(r);
  g_free(r);
  return NULL;
}

void relay_close(Relay *r) {
  callers_close(r->callers);
  if (r->tunnels) tunnels_close(r->tunnels);
  pathchecks_free(r->path_checks);
  links_close(r->links);
  holdings_free(r->holdings);
  free_knowledge(r);
  conf_unref(r->conf);
  g_hash_table_destroy(r->runs_by_reservation);
  g_hash_table_destroy(r->runs_by_query);
  g_free(r);
}

void relay_set_cluster(Relay *r, Cluster *c) {
  r->cluster = c;
}

void relay_set_conf(Relay *r, Conf *c) {
  conf_history_note(r->conf_history, loopclock_now(r->loop), r->conf, c);
  conf_unref(r->conf);
  r->conf = conf_ref(c);
  CallerLimits l = {.max_header = (size_t)c->max_header_bytes,
                    .max_body = (size_t)c->max_body_bytes,
                    .header_s = c->header_timeout_s,
                    .idle_s = c->idle_timeout_s};
  callers_set_limits(r->callers, &l);
}

Conf *relay_get_conf(const Relay *r) {
  return r->conf;
}

void relay_drain(Relay *r) {
  r->draining = true;
  callers_drain(r->callers);
}

void relay_set_leaving(Relay *r, bool leaving) {
  callers_set_leaving(r->callers, leaving);
}

int64_t relay_bytes_received(const Relay *r) {
  return callers_bytes_received(r->callers);
}

void relay_set_stale(Relay *r, bool stale) {
  r->stale = stale;
  if (stale) links_close_all_idle(r->links);
}

static void end_request(Run *x) {
  Err e;
  x->maybe_ran |= x->link && link_has_sent(x->link);
  if (x->maybe_ran)
    err_set(&e, ERR_TARGET_TIMEOUT, "this instance stops before the answer");
  else
    err_retry(&e, ERR_DRAINING, RUN_RETRY_SOON_MS, "this instance is stopping");
  run_fail(x, &e);
}

int relay_end_requests(Relay *r) {
  int n = 0;
  for (Run *x = r->first_run, *next; x; x = next) {
    next = x->next;
    end_request(x);
    n++;
  }
  return n;
}

void relay_refuse_requests(Relay *r) {
  r->refusing = true;
}

int relay_open_request_count(const Relay *r) {
  return r->n_runs;
}

void relay_set_feed(Relay *r, Feed *feed) {
  recovery_set_feed(r->recovery, feed);
}

void relay_update_recovery(Relay *r, const RecoveryPlace *place) {
  recovery_update(r->recovery, place);
}

bool relay_is_delivering(const Relay *r) {
  return callers_are_sending(r->callers);
}
