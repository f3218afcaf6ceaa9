/* relay.c: requests come in, find route, customer and budget; the relay itself.
 */
#include <math.h>
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "flow/wire.h"
#include "kernel/loopclock.h"

#define CONNECT_S 0.4        /* data centres are 3 ms apart at most */
#define USER_TIMEOUT_MS 1500 /* a target that acknowledges nothing is dark */
#define BUDGET_WAIT_S 0.4    /* for the store; it answers in 4 ms */
/* Of a request's aim: a refusal that reaches the caller within a quarter of it
   leaves time to be served in time elsewhere; the rest is the way to and fro.
 */
#define BUDGET_SHARE 0.2
#define DEADLINE_DEFAULT_S 30.0 /* of a caller that names none */
#define BACK_LATER_MS 5000      /* of an outage; the users' last 4 to 9 s */
/* Whoever is told to come back has this many times as long left as he waits:
   later, and there is no time to be served in. */
#define BACK_SHARE 3

/* == budget == */

static void arm(Run *x, double at,
                void (*fn)(struct ev_loop *, ev_timer *, int)) {
  struct ev_loop *loop = x->relay->loop;
  ev_timer_stop(loop, &x->timer);
  ev_timer_init(&x->timer, fn, MAX(0.001, at - loopclock_now(loop)), 0);
  x->timer.data = x;
  ev_timer_start(loop, &x->timer);
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents);

static void budget_refused(Run *x, ErrKind cause, int retry_ms) {
  Err e;
  int most_ms = (int)((x->deadline - run_now(x)) * 1000) / BACK_SHARE;
  /* Who has no time left, since this process stood still, is told as well when
     others may come back. */
  int back_ms = most_ms > 0 ? MIN(retry_ms, most_ms) : retry_ms;
  err_retry(&e, cause, back_ms,
            "%" G_GINT64_FORMAT " tokens could not be reserved for %s",
            x->reserved, x->customer->name);
  run_give_up(x, &e);
}

static void on_budget_late(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  budget_refused(w->data, ERR_BUDGET_STORE, BACK_LATER_MS);
}

void relay_reserved(Relay *r, uint64_t handle, ErrKind cause, int retry_ms) {
  Run *x = g_hash_table_lookup(r->reserved, &handle);
  if (!x) return;
  x->waits = false;
  if (cause != ERR_NONE) {
    g_hash_table_remove(r->reserved, &handle);
    x->handle = 0;
    budget_refused(x, cause, retry_ms);
    return;
  }
  arm(x, x->deadline, on_deadline);
  run_dispatch(x);
}

static void reserve(Run *x) {
  Relay *r = x->relay;
  bool limited = x->customer && x->customer->budget != CONF_UNLIMITED;
  if (!limited || x->reserved == 0) {
    arm(x, x->deadline, on_deadline);
    run_dispatch(x);
    return;
  }
  int settles_ms = cluster_ready_in_ms(r->cluster);
  if (settles_ms > 0) {
    budget_refused(x, ERR_BUDGET_CUT, settles_ms);
    return;
  }
  double wait_s = MIN(BUDGET_WAIT_S, x->route->aim_s * BUDGET_SHARE);
  arm(x, MIN(x->deadline, x->req->at + wait_s), on_budget_late);
  x->waits = true;
  x->handle = cluster_reserve(r->cluster, x->customer->name, x->reserved);
  g_hash_table_insert(r->reserved, &x->handle, x);
  cluster_run_actions(r->cluster);
}

/* == requests == */

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Run *x = w->data;
  Err e;
  bool sent = x->maybe || (x->link && link_sent(x->link));
  if (sent)
    err_set(&e, ERR_LATE, "no whole answer came in time");
  else
    err_retry(&e, ERR_OVERLOADED, RUN_BACK_SOON_MS,
              "no target took it in time");
  x->maybe |= sent;
  run_give_up(x, &e);
}

/* What a configuration allows it. */
static const ConfRoute *route_in(const Run *x, const Conf *c) {
  const char *target = x->req->target->str;
  char *path = g_strndup(target, strcspn(target, "?"));
  const ConfRoute *route = conf_route(c, x->ask.host, path);
  g_free(path);
  return route;
}

static RegionSet regions_in(const Run *x, const ConfRoute *route,
                            const ConfCustomer *customer) {
  const Regions *r = x->relay->regions;
  RegionSet by_route = regions_listed(r, route->regions, NULL);
  if (!customer) return by_route;
  return regions_both(by_route, regions_listed(r, customer->regions, NULL));
}

void run_bind(Run *x) {
  const Conf *c = x->relay->conf;
  if (c == x->conf) return;
  const ConfRoute *route = route_in(x, c);
  if (!route) return;
  RegionSet now = regions_in(x, route, conf_customer(c, x->ask.key));
  x->regions = regions_both(x->regions, now);
}

/* Finds route, customer and service; false with a typed error. */
static bool resolve(Run *x, Err *e) {
  const Relay *r = x->relay;
  if (!r->conf)
    return err_retry(e, ERR_NOT_CONFIGURED, RUN_BACK_SOON_MS,
                     "no configuration is known yet");
  x->conf = conf_ref(r->conf);
  x->route = route_in(x, x->conf);
  if (!x->route)
    return err_set(e, ERR_NO_ROUTE, "nothing is served at %.100s", x->ask.host);
  x->customer = conf_customer(x->conf, x->ask.key);
  bool needs_key = !x->route->open && x->conf->customers->len > 0;
  if (needs_key && !x->customer)
    return err_set(e, ERR_UNAUTHORISED, "no customer has this key");
  x->service_name = conf_split(x->route, g_random_double());
  if (!x->service_name)
    return err_set(e, ERR_NO_ROUTE, "route %s has no service", x->route->name);
  x->service = conf_service(x->conf, x->service_name);
  x->regions = regions_in(x, x->route, x->customer);
  return true;
}

static void start(Run *x) {
  run_ask(x);
  reserve(x);
}

static void admit(Run *x) {
  double wait_s =
      x->ask.deadline_s > 0 ? x->ask.deadline_s : DEADLINE_DEFAULT_S;
  x->deadline = x->req->at + MIN(wait_s, x->route->timeout_s);
  x->reserved = x->ask.tokens_in + x->ask.tokens_out;
  run_admit(x, start);
}

static bool check_room(const Relay *r, Err *e) {
  if (r->refusing)
    return err_retry(e, ERR_DRAINING, RUN_BACK_SOON_MS,
                     "this instance is stopping");
  if (r->behind)
    return err_retry(e, ERR_BEHIND, RUN_BACK_SOON_MS,
                     "this instance stood still");
  if ((int64_t)callers_held(r->callers) > r->body_room)
    return err_retry(e, ERR_OVERLOADED, RUN_BACK_SOON_MS,
                     "this instance holds too many requests");
  return true;
}

static void on_request(void *ctx, Caller *c, const CallerReq *req,
                       const Err *bad) {
  Relay *r = ctx;
  Err e = {0};
  Run *x = run_new(r, c, req);
  count_add(COUNT_REQUESTS, 1);
  if (bad) e = *bad;
  if (!bad && wire_ask(&req->headers, &x->ask, &e) && check_room(r, &e) &&
      resolve(x, &e)) {
    events_init(&x->events, x->ask.last_event);
    admit(x);
    return;
  }
  run_give_up(x, &e);
}

static void on_gone(void *ctx, Caller *c) {
  (void)ctx;
  Run *x = caller_get(c);
  if (!x) return;
  count_add(COUNT_CALLER_GONE, 1);
  x->maybe |= x->link && link_sent(x->link);
  run_left(x);
}

static void on_drained(void *ctx, Caller *c) {
  (void)ctx;
  Run *x = caller_get(c);
  if (x) run_drained(x);
}

/* == the relay == */

static const CallerEvents caller_events = {on_request, on_gone, on_drained};

/* What is known of requests that end targets. */
static void free_suspects(Relay *r) {
  relay_free_tries(r);
  trials_free(r->trials);
  suspects_free(r->suspects);
  ends_free(r->ends);
}

Relay *relay_open(struct ev_loop *loop, const RelayOptions *o, Targets *targets,
                  Retries *retries, Err *e) {
  LinkOptions links = {.connect_s = CONNECT_S,
                       .user_timeout_ms = USER_TIMEOUT_MS,
                       .probe = true,
                       .keep_s = RUN_LINK_KEEP_S};
  Relay *r = g_new0(Relay, 1);
  r->loop = loop;
  r->targets = targets;
  r->reserved = g_hash_table_new(g_int64_hash, g_int64_equal);
  r->asking = g_hash_table_new(g_int64_hash, g_int64_equal);
  r->retries = retries;
  r->body_room = o->body_room;
  r->links = links_open(loop, &links);
  r->ends = ends_new();
  r->suspects = suspects_new();
  r->trials = trials_new();
  r->tries = g_ptr_array_new();
  r->store = o->store;
  r->regions = o->regions;
  links_watch(r->links, relay_reach, r);
  r->callers = callers_open(loop, o->listen, &caller_events, r, e);
  if (r->callers) callers_room(r->callers, (size_t)o->body_room);
  if (r->callers) return r;
  links_close(r->links);
  free_suspects(r);
  g_free(r);
  return NULL;
}

void relay_close(Relay *r) {
  callers_close(r->callers);
  links_close(r->links);
  free_suspects(r);
  conf_unref(r->conf);
  g_hash_table_destroy(r->reserved);
  g_hash_table_destroy(r->asking);
  g_free(r);
}

void relay_cluster(Relay *r, Cluster *c) {
  r->cluster = c;
}

void relay_conf(Relay *r, Conf *c) {
  conf_unref(r->conf);
  r->conf = conf_ref(c);
  CallerLimits l = {.max_header = (size_t)c->max_header,
                    .max_body = (size_t)c->max_body,
                    .header_s = c->header_s,
                    .idle_s = c->idle_s};
  callers_limits(r->callers, &l);
}

Conf *relay_get_conf(const Relay *r) {
  return r->conf;
}

void relay_drain(Relay *r) {
  callers_drain(r->callers);
}

void relay_leave(Relay *r, bool leave) {
  callers_leave(r->callers, leave);
}

int64_t relay_taken(const Relay *r) {
  return callers_sent(r->callers);
}

void relay_behind(Relay *r, bool behind) {
  r->behind = behind;
  if (behind) links_forget_all(r->links);
}

void relay_refuse(Relay *r) {
  r->refusing = true;
}

int relay_open_requests(const Relay *r) {
  return r->n;
}
