/* relay.c: one Run for each request. */
#include "flow/relay.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "flow/events.h"
#include "flow/link.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "platform/wire.h"

#define CONNECT_S 0.4        /* data centres are 3 ms apart at most */
#define USER_TIMEOUT_MS 1500 /* a target that acknowledges nothing is dark */
#define LINK_KEEP_S 30.0     /* an idle connection to a target is kept */
#define FRESH_ONCE_S                                                           \
  4.0                           /* the same for what may run only once: an old \
                                   connection may be dead, and tells too late */
#define BUDGET_WAIT_S 0.4       /* for the store; it answers in 4 ms */
#define ANSWER_BUFFER 262144    /* bytes of a plain answer that are held back */
#define TRIED_MOST 8            /* targets that one request is tried at */
#define DEADLINE_DEFAULT_S 30.0 /* of a caller that names none */
#define BACK_SOON_MS 200        /* Retry-After of what passes quickly */
#define BACK_LATER_MS 1000      /* of what takes longer */
#define EVENTS_AHEAD 2          /* events a target may have made unseen */

typedef struct Run {
  Relay *relay;
  Caller *caller;
  const CallerReq *req;
  Ask ask;
  Conf *conf;
  const ConfRoute *route;
  const ConfService *service; /* NULL: not described */
  const char *service_name;
  const ConfCustomer *customer; /* NULL: an open route */
  double deadline;
  ev_timer timer;
  /* budget */
  int64_t reserved;
  uint64_t handle; /* 0: nothing is reserved */
  bool waits;      /* for the decision on it */
  /* target */
  const Target *tried[TRIED_MOST];
  int n_tried, sends;
  Target *target;
  int64_t fresh;
  double sent_at, wait_s;
  bool first; /* its first byte has come */
  Link *link;
  bool refused; /* the answer under way says that it did not run */
  bool maybe;   /* it was sent somewhere and may have run */
  /* answer */
  int status;
  GString *fields, *body;
  bool stream, head_out;
  int64_t passed; /* bytes of the body handed on */
  Events events;
  struct Run *prev, *next;
} Run;

struct Relay {
  struct ev_loop *loop;
  Callers *callers;
  Links *links;
  Targets *targets;
  Cluster *cluster;
  GHashTable *reserved; /* handle -> Run, of all that hold or wait */
  Retries *retries;
  Conf *conf;
  int64_t body_room;
  Run *first;
  int n;
  bool refusing;
};

static void dispatch(Run *x);

/* == the end of a run == */

static double now_of(const Run *x) {
  return ev_now(x->relay->loop);
}

/* Tokens that the customer got, at most: the prompt once a target took it in,
   and what a target may have made of the answer. */
static int64_t used_tokens(const Run *x, bool whole) {
  bool taken = x->head_out || x->maybe;
  if (!taken) return 0;
  int per_event = x->service ? MAX(x->service->event_tokens, 1) : 1;
  int64_t events = x->events.count + (whole ? 0 : EVENTS_AHEAD);
  int64_t out = events * per_event;
  return MIN(x->ask.tokens_in + MIN(out, x->ask.tokens_out), x->reserved);
}

static void settle(Run *x, int64_t used) {
  if (x->handle == 0) return;
  uint64_t handle = x->handle;
  g_hash_table_remove(x->relay->reserved, &x->handle);
  x->handle = 0;
  cluster_settle(x->relay->cluster, handle, x->waits ? 0 : used);
  count_add(COUNT_TOKENS, x->waits ? 0 : used);
}

/* The target is done with, one way or the other. */
static void leave_target(Run *x, TargetEnd how) {
  if (!x->target) return;
  double now = now_of(x);
  target_done(x->target, now, how, x->first, x->fresh, now - x->sent_at);
  x->target = NULL;
}

static void free_run(Run *x) {
  Relay *r = x->relay;
  ev_timer_stop(r->loop, &x->timer);
  if (x->prev) x->prev->next = x->next;
  if (x->next) x->next->prev = x->prev;
  if (r->first == x) r->first = x->next;
  r->n--;
  conf_unref(x->conf);
  if (x->fields) g_string_free(x->fields, TRUE);
  if (x->body) g_string_free(x->body, TRUE);
  events_free(&x->events);
  g_free(x);
}

static void log_end(const Run *x, const char *outcome, int status,
                    const char *error, int64_t tokens) {
  double now = now_of(x);
  /* The line of a request that was not served is never dropped. */
  void (*line)(const char *, const char *, ...) =
      strcmp(outcome, "served") == 0 ? log_info : log_warn;
  line("request", "s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:f,s:f,s:I",
       "request", x->ask.id, "outcome", outcome, "status", status, "error",
       error, "customer", x->customer ? x->customer->name : "", "service",
       x->service_name ? x->service_name : "", "target",
       x->n_tried > 0 ? target_id(x->tried[x->n_tried - 1]) : "", "sends",
       x->sends, "tried", x->n_tried, "events", (json_int_t)x->events.count,
       "tokens", (json_int_t)tokens, "predicted", x->wait_s, "seconds",
       now - x->req->at, "conf", (json_int_t)(x->conf ? x->conf->version : 0));
}

/* Everything but the answer: budget, target, log. */
static void close_run(Run *x, const char *outcome, int status,
                      const char *error) {
  if (x->link) link_cancel(x->link);
  x->link = NULL;
  leave_target(x, TARGET_LEFT);
  int64_t used = used_tokens(x, strcmp(outcome, "served") == 0);
  settle(x, used);
  log_end(x, outcome, status, error, used);
}

static void answer_error(Caller *c, const char *id, const Err *e) {
  const ErrInfo *info = err_info(e->kind);
  GString *fields = g_string_new(NULL);
  json_t *o =
      json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "kind", info->name, "message",
                e->text, "remedy", info->remedy, "ran", err_ran(e->ran));
  char *text = json_dumps(o, JSON_COMPACT);
  wire_refusal(fields, id, e);
  caller_head(c, info->status, fields->str, (int64_t)strlen(text));
  caller_body(c, text, strlen(text));
  free(text);
  json_decref(o);
  g_string_free(fields, TRUE);
  caller_end(c);
}

/* Ends with an error of ours; breaks off what was begun. */
static void give_up(Run *x, Err *e) {
  Caller *c = x->caller;
  char id[sizeof x->ask.id];
  g_strlcpy(id, x->ask.id, sizeof id);
  if (x->maybe) e->ran = RAN_MAYBE;
  bool begun = x->head_out;
  const ErrInfo *info = err_info(e->kind);
  count_add(begun ? COUNT_TARGET_CUT : COUNT_REFUSED_OTHER, 1);
  close_run(x, begun ? "cut" : "refused", info->status, info->name);
  caller_set(c, NULL);
  free_run(x);
  if (begun)
    caller_abort(c);
  else
    answer_error(c, id, e);
}

static void served(Run *x) {
  Caller *c = x->caller;
  count_add(COUNT_RAN, 1);
  count_time(COUNT_TIME_ALL, now_of(x) - x->req->at);
  close_run(x, "served", x->status, "");
  caller_set(c, NULL);
  free_run(x);
  caller_end(c);
}

/* == passing an answer on == */

static void put_head(Run *x, int64_t length) {
  caller_head(x->caller, x->status, x->fields->str, length);
  x->head_out = true;
}

static void pass_stream(Run *x, const char *data, size_t n) {
  GString *out = g_string_sized_new(n + 64);
  events_take(&x->events, data, n, out);
  if (out->len > 0) {
    if (!x->head_out) put_head(x, CALLER_CHUNKED);
    caller_body(x->caller, out->str, out->len);
  }
  g_string_free(out, TRUE);
}

static void pass_plain(Run *x, const char *data, size_t n) {
  if (!x->head_out && x->body->len + n > ANSWER_BUFFER) {
    put_head(x, CALLER_CHUNKED);
    caller_body(x->caller, x->body->str, x->body->len);
  }
  if (x->head_out)
    caller_body(x->caller, data, n);
  else
    g_string_append_len(x->body, data, (gssize)n);
}

/* == after a target failed it == */

static bool repeatable(const Run *x) {
  if (x->route->kind == CONF_SAFE) return true;
  return x->route->kind == CONF_STREAM && x->route->resumable;
}

/* May it go to one more target? `sent`: the last one had it. */
static bool may_go_on(Run *x, bool sent) {
  double now = now_of(x);
  if (now >= x->deadline || x->n_tried == TRIED_MOST) return false;
  if (!sent) return true;
  if (x->sends >= x->route->attempts) return false;
  return retries_take(x->relay->retries, now, x->service_name);
}

static void log_failure(const Run *x, const char *why) {
  log_warn("target-failed", "s:s,s:s,s:s,s:s,s:i,s:I,s:f", "request", x->ask.id,
           "target", target_id(x->target), "addr", target_addr(x->target),
           "why", why, "status", x->status, "events",
           (json_int_t)x->events.count, "after", now_of(x) - x->sent_at);
}

/* It did not run there: nothing was sent, or the target says so. */
static void not_run(Run *x, bool sent) {
  Err e;
  log_failure(x, sent ? "refused" : "unreachable");
  leave_target(x, sent ? TARGET_FULL : TARGET_SILENT);
  if (may_go_on(x, sent)) {
    dispatch(x);
    return;
  }
  err_retry(&e, ERR_OVERLOADED, BACK_SOON_MS, "no target took the request");
  give_up(x, &e);
}

/* It may have run there. */
static void may_have_run(Run *x, TargetEnd how, const char *why) {
  Err e;
  log_failure(x, why);
  leave_target(x, how);
  events_broken(&x->events);
  x->maybe = true;
  if (repeatable(x) && may_go_on(x, true)) {
    dispatch(x);
    return;
  }
  err_set(&e, ERR_TARGET_FAILED, "the target's answer is missing or damaged");
  give_up(x, &e);
}

/* == events of a link == */

static bool is_stream(const Run *x, int status) {
  return x->route->kind == CONF_STREAM && status == 200;
}

/* A failure of the target's own that another target may not have. */
static bool worth_another(Run *x, int status) {
  return status >= 500 && !x->head_out && repeatable(x) &&
         x->sends < x->route->attempts && now_of(x) < x->deadline;
}

static LinkVerdict on_head(void *ctx, const LinkHead *h) {
  Run *x = ctx;
  Answer a;
  wire_answer(h->headers, x->ask.id, &a);
  if (!a.ours) return LINK_SKIP;
  if (a.load_told) target_load(x->target, now_of(x), a.running, a.waiting);
  x->refused = a.not_run || h->status == 421;
  if (h->status == 421)
    targets_replaced(x->relay->targets, now_of(x), x->target);
  if (x->refused) return LINK_TAKE;
  if (a.encoded || !a.signed_) return LINK_DROP;
  if (x->head_out) /* goes on after a break: the first head stands */
    return h->status == x->status ? LINK_TAKE : LINK_DROP;
  x->status = h->status;
  x->stream = is_stream(x, h->status);
  g_string_truncate(x->fields, 0);
  g_string_truncate(x->body, 0);
  wire_pass(x->fields, h->headers);
  return LINK_TAKE;
}

static void on_body(void *ctx, const char *data, size_t n) {
  Run *x = ctx;
  if (x->refused) return;
  if (!x->first) {
    target_first(x->target, x->fresh);
    count_time(COUNT_TIME_FIRST, now_of(x) - x->req->at);
  }
  x->first = true;
  if (x->stream)
    pass_stream(x, data, n);
  else
    pass_plain(x, data, n);
}

static void on_batch(void *ctx) {
  Run *x = ctx;
  if (x->head_out) caller_flush(x->caller);
}

static void whole(Run *x) {
  if (worth_another(x, x->status) && may_go_on(x, true)) {
    log_failure(x, "error");
    leave_target(x, TARGET_FAILED);
    x->maybe = true;
    dispatch(x);
    return;
  }
  leave_target(x, x->status >= 500 ? TARGET_FAILED : TARGET_OK);
  if (!x->head_out) {
    put_head(x, x->stream ? CALLER_CHUNKED : (int64_t)x->body->len);
    caller_body(x->caller, x->body->str, x->body->len);
  }
  served(x);
}

static void on_end(void *ctx, LinkEnd how) {
  Run *x = ctx;
  x->link = NULL;
  switch (how) {
  case LINK_NOT_SENT:
    x->sends--;
    not_run(x, false);
    break;
  case LINK_EMPTY: may_have_run(x, TARGET_SILENT, "silent"); break;
  case LINK_CUT:
    if (x->refused)
      not_run(x, true);
    else
      may_have_run(x, TARGET_FAILED, "cut");
    break;
  case LINK_WHOLE:
    if (x->refused)
      not_run(x, true);
    else if (x->stream && x->events.part->len > 0)
      may_have_run(x, TARGET_FAILED, "cut inside an event");
    else
      whole(x);
    break;
  }
}

static const LinkEvents link_events = {on_head, on_body, on_batch, on_end};

/* == dispatch == */

static TargetChoice choose(Run *x) {
  Relay *r = x->relay;
  TargetAsk ask = {.service = x->service_name,
                   .ask = &x->ask,
                   .engine = x->service && x->service->engine,
                   .memory = x->service ? x->service->memory : 0,
                   .tried = x->tried,
                   .n_tried = x->n_tried};
  return targets_pick(r->targets, now_of(x), &ask);
}

static int priority(const Run *x) {
  if (!x->service || !x->service->engine) return -1;
  return x->route->priority;
}

static void send(Run *x, const TargetChoice *c) {
  Relay *r = x->relay;
  double now = now_of(x);
  AskSend send = {.target = target_id(c->target),
                  .customer = x->customer ? x->customer->name : NULL,
                  .left_s = x->deadline - now,
                  .priority = priority(x),
                  .last_event =
                      x->events.count > 0 ? x->events.last : ASK_NO_EVENT};
  GString *out = g_string_sized_new(1024 + x->req->body->len);
  wire_request(out, x->req->method, x->req->target->str, &x->req->headers,
               x->req->body, &send);
  x->target = c->target;
  x->fresh = c->fresh;
  x->wait_s = c->wait_s;
  x->sent_at = now;
  x->first = x->refused = false;
  x->tried[x->n_tried++] = c->target;
  x->sends++;
  if (x->n_tried == 1) retries_first(r->retries, now, x->service_name);
  target_sent(c->target, now, &x->ask, c->fresh);
  double fresh_s = repeatable(x) ? LINK_KEEP_S : FRESH_ONCE_S;
  x->link = link_send(r->links, target_addr(c->target), out, fresh_s,
                      &link_events, x);
}

static void dispatch(Run *x) {
  Err e;
  TargetChoice c = choose(x);
  if (c.target) {
    send(x, &c);
    return;
  }
  err_retry(&e, ERR_NO_TARGET, BACK_SOON_MS, "no target serves %s now",
            x->service_name);
  if (x->maybe) err_set(&e, ERR_TARGET_FAILED, "no other target is left");
  give_up(x, &e);
}

/* == budget == */

static void arm(Run *x, double at,
                void (*fn)(struct ev_loop *, ev_timer *, int)) {
  struct ev_loop *loop = x->relay->loop;
  ev_timer_stop(loop, &x->timer);
  ev_timer_init(&x->timer, fn, MAX(0.001, at - ev_now(loop)), 0);
  x->timer.data = x;
  ev_timer_start(loop, &x->timer);
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents);

static void budget_refused(Run *x, ErrKind cause, int retry_ms) {
  Err e;
  err_retry(&e, cause, retry_ms,
            "%" G_GINT64_FORMAT " tokens could not be reserved for %s",
            x->reserved, x->customer->name);
  give_up(x, &e);
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
  dispatch(x);
}

static void reserve(Run *x) {
  Relay *r = x->relay;
  bool limited = x->customer && x->customer->budget != CONF_UNLIMITED;
  if (!limited || x->reserved == 0) {
    arm(x, x->deadline, on_deadline);
    dispatch(x);
    return;
  }
  double wait_s = MIN(BUDGET_WAIT_S, x->route->aim_s / 4);
  arm(x, MIN(x->deadline, now_of(x) + wait_s), on_budget_late);
  x->waits = true;
  x->handle = cluster_reserve(r->cluster, x->customer->name, x->reserved);
  g_hash_table_insert(r->reserved, &x->handle, x);
  cluster_act(r->cluster);
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
    err_retry(&e, ERR_OVERLOADED, BACK_SOON_MS, "no target took it in time");
  x->maybe |= sent;
  give_up(x, &e);
}

/* Finds route, customer and service; false with a typed error. */
static bool resolve(Run *x, Err *e) {
  const Relay *r = x->relay;
  if (!r->conf)
    return err_retry(e, ERR_NOT_CONFIGURED, BACK_SOON_MS,
                     "no configuration is known yet");
  x->conf = conf_ref(r->conf);
  char *path =
      g_strndup(x->req->target->str, strcspn(x->req->target->str, "?"));
  x->route = conf_route(x->conf, x->ask.host, path);
  g_free(path);
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
  return true;
}

static void start(Run *x) {
  double wait_s =
      x->ask.deadline_s > 0 ? x->ask.deadline_s : DEADLINE_DEFAULT_S;
  x->deadline = x->req->at + MIN(wait_s, x->route->timeout_s);
  x->reserved = x->ask.tokens_in + x->ask.tokens_out;
  reserve(x);
}

static Run *new_run(Relay *r, Caller *c, const CallerReq *req) {
  Run *x = g_new0(Run, 1);
  x->relay = r;
  x->caller = c;
  x->req = req;
  x->fields = g_string_new(NULL);
  x->body = g_string_new(NULL);
  x->next = r->first;
  if (r->first) r->first->prev = x;
  r->first = x;
  r->n++;
  caller_set(c, x);
  return x;
}

static bool check_room(const Relay *r, Err *e) {
  if (r->refusing)
    return err_retry(e, ERR_DRAINING, BACK_SOON_MS,
                     "this instance is stopping");
  if ((int64_t)callers_held(r->callers) > r->body_room)
    return err_retry(e, ERR_OVERLOADED, BACK_SOON_MS,
                     "this instance holds too many requests");
  return true;
}

static void on_request(void *ctx, Caller *c, const CallerReq *req,
                       const Err *bad) {
  Relay *r = ctx;
  Err e = {0};
  Run *x = new_run(r, c, req);
  count_add(COUNT_REQUESTS, 1);
  if (bad) e = *bad;
  if (!bad && wire_ask(&req->headers, &x->ask, &e) && check_room(r, &e) &&
      resolve(x, &e)) {
    events_init(&x->events, x->ask.last_event);
    start(x);
    return;
  }
  give_up(x, &e);
}

static void on_gone(void *ctx, Caller *c) {
  (void)ctx;
  Run *x = caller_get(c);
  if (!x) return;
  count_add(COUNT_CALLER_GONE, 1);
  x->maybe |= x->link && link_sent(x->link);
  close_run(x, "caller-gone", 0, "");
  free_run(x);
}

/* == the relay == */

static const CallerEvents caller_events = {on_request, on_gone};

Relay *relay_open(struct ev_loop *loop, const RelayOptions *o, Targets *targets,
                  Retries *retries, Err *e) {
  LinkOptions links = {.connect_s = CONNECT_S,
                       .user_timeout_ms = USER_TIMEOUT_MS,
                       .probe = true,
                       .keep_s = LINK_KEEP_S};
  Relay *r = g_new0(Relay, 1);
  r->loop = loop;
  r->targets = targets;
  r->reserved = g_hash_table_new(g_int64_hash, g_int64_equal);
  r->retries = retries;
  r->body_room = o->body_room;
  r->links = links_open(loop, &links);
  r->callers = callers_open(loop, o->listen, &caller_events, r, e);
  if (r->callers) return r;
  links_close(r->links);
  g_free(r);
  return NULL;
}

void relay_close(Relay *r) {
  callers_close(r->callers);
  links_close(r->links);
  conf_unref(r->conf);
  g_hash_table_destroy(r->reserved);
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

void relay_refuse(Relay *r) {
  r->refusing = true;
}

int relay_open_requests(const Relay *r) {
  return r->n;
}

int64_t relay_links_opened(const Relay *r) {
  return links_opened(r->links);
}
