/* origins.c: a stream continues only at targets of the software version that
   began it. For a caller that resumes a stream, that version is found here or
   at other instances (route/origins.h). */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/text.h"
#include "route/versions.h"

/* For the answers of other instances, also of another region. A refusal after
   this still leaves its caller time to begin anew. */
#define ORIGIN_TIMEOUT_S 0.08
/* For the store, which answers in milliseconds. */
#define SEARCH_TIMEOUT_S 0.15

static bool is_stream_route(const Run *x) {
  return x->route->kind == CONF_STREAM;
}

static const char *customer_name(const Run *x) {
  return x->customer ? x->customer->name : "";
}

/* The attempt that brought the first event of the stream. */
static const char *first_attempt(const Run *x) {
  return x->request.resumes[0] ? x->request.resumes : x->request.id;
}

static uint64_t key_of(const Run *x) {
  return origins_key(customer_name(x), first_attempt(x));
}

/* The key by which instances of earlier builds look a stream up. */
static uint64_t service_key_of(const Run *x) {
  return origins_service_key(x->service_name, customer_name(x),
                             first_attempt(x));
}

/* == records == */

/* Returns how long a stream of the service may be resumed after it began. */
static double memory_of(const Relay *r, uint64_t service) {
  double now = loopclock_now(r->loop);
  return MAX(VERSIONS_MEMORY_S,
             conf_history_longest_s(r->conf_history, now, service));
}

ConfHistoryKind relay_service_history(const Relay *r, uint64_t service) {
  return conf_history_of(r->conf_history, loopclock_now(r->loop), service,
                         memory_of(r, service));
}

/* Whether a stream at any route of the service began there, and at this
   version, as far as this instance knows. */
bool relay_is_sole(const Relay *r, uint64_t service, uint64_t *version) {
  double memory_s = memory_of(r, service);
  return relay_service_history(r, service) == CONF_HISTORY_ONE &&
         recovery_has_followed(r->recovery, memory_s) &&
         targets_sole_version(r->targets, loopclock_now(r->loop), service,
                              memory_s, version);
}

bool relay_is_concluded(const Relay *r, uint64_t service) {
  uint64_t version;
  return relay_is_sole(r, service, &version) ||
         recovery_holds(r->recovery, service);
}

/* Whether the homes need records of a service's streams. In a small fleet they
   cost little, and without them a stream is refused if its instance is lost
   while the store is away. */
static bool needs_records(void *ctx, uint64_t service) {
  const Relay *r = ctx;
  return !cluster_is_large(r->cluster) || !relay_is_concluded(r, service) ||
         !cluster_is_whole(r->cluster, memory_of(r, service));
}

/* Instances of earlier builds that ask this one find a record by their key. It
   is not told to homes, where it would double the number of messages. */
static void set_service_record(Run *x, OriginsMsg record) {
  record.key = service_key_of(x);
  origins_set(x->relay->origins, run_now(x), &record, true);
}

double relay_memory_s(const Relay *r) {
  double now = loopclock_now(r->loop);
  return MAX(VERSIONS_MEMORY_S,
             conf_history_longest_of_all_s(r->conf_history, now));
}

static void share_record(Relay *r, const OriginsMsg *record) {
  count_add(COUNT_ORIGINS_SHARED, 1);
  cluster_share_origin(r->cluster, record);
  if (!relay_is_concluded(r, record->service))
    recovery_note_begun(r->recovery, record);
}

static OriginsMsg record_of(const Run *x) {
  return (OriginsMsg){.kind = ORIGINS_RECORD,
                      .key = x->origin_key,
                      .service = text_hash(x->service_name),
                      .version = x->version};
}

void run_record_begun(Run *x) {
  Relay *r = x->relay;
  if (x->origin_key != 0 || x->events.count == 0) return;
  x->has_version = true;
  x->version = target_version(x->target);
  x->origin_key = key_of(x);
  OriginsMsg record = record_of(x);
  bool shared = needs_records(r, record.service);
  origins_set(r->origins, run_now(x), &record, shared);
  set_service_record(x, record);
  if (shared) share_record(r, &record);
}

void relay_log_open_streams(Relay *r) {
  for (const Run *x = r->first_run; x; x = x->next) {
    if (x->origin_key == 0) continue;
    OriginsMsg record = record_of(x);
    if (!relay_is_concluded(r, record.service))
      recovery_note_begun(r->recovery, &record);
  }
}

void run_forget_origin(Run *x) {
  if (x->origin_key == 0) return;
  recovery_note_delivered(x->relay->recovery, x->origin_key);
  origins_remove(x->relay->origins, x->origin_key);
  origins_remove(x->relay->origins, service_key_of(x));
}

void relay_sweep_origins(Relay *r) {
  OriginsMsg record;
  double now = loopclock_now(r->loop);
  origins_sweep(r->origins, now,
                conf_history_longest_of_all_s(r->conf_history, now));
  while (origins_take_unshared(r->origins, needs_records, r, &record))
    share_record(r, &record);
}

/* == answers == */

/* Returns what this instance knows of a stream. */
static OriginsMsg own_answer(const Relay *r, const OriginsMsg *query) {
  OriginsMsg a = *query;
  a.kind = ORIGINS_UNKNOWN;
  a.version = 0;
  if (origins_find(r->origins, query->key, &a))
    a.kind = ORIGINS_KNOWN;
  else if (targets_have_versions(r->targets, query->service) ||
           relay_service_history(r, query->service) == CONF_HISTORY_SEVERAL)
    a.kind = ORIGINS_SEVERAL;
  else if (relay_is_sole(r, query->service, &a.version))
    a.kind = ORIGINS_SOLE;
  return a;
}

/* == requests that resume a stream == */

static void log_origin(const Run *x, const char *how) {
  log_info("stream-resumed", "s:s,s:s,s:s,s:i", "request", x->request.id,
           "resumes", x->request.resumes, "origin", how, "missing",
           x->n_origins_missing);
}

static void refuse_stream(Run *x) {
  Err e;
  /* One that did not answer may know it, and answer the next time. */
  int retry_ms = x->n_origins_missing > 0 ? RUN_RETRY_SOON_MS : 0;
  count_add(COUNT_REFUSED_ORIGIN, 1);
  log_origin(x, "unknown");
  err_retry(&e, ERR_STREAM_UNKNOWN, retry_ms,
            "the version of %s that began the stream is not known",
            x->service_name);
  run_fail(x, &e);
}

/* The configuration moved the route, and no target of the service that began
   the stream may serve it. */
static void refuse_service(Run *x) {
  Err e;
  count_add(COUNT_REFUSED_ORIGIN, 1);
  log_origin(x, "other-service");
  err_retry(&e, ERR_STREAM_UNKNOWN, 0,
            "route %s no longer has the service that began the stream",
            x->route->name);
  run_fail(x, &e);
}

/* A record decides, and so does what the store proves. What instances know of
   the versions decides only if all of them have answered: one that is missing
   may have a record, or know another version. */
static bool is_decided(const Run *x) {
  const Relay *r = x->relay;
  if (x->is_proven || x->origin.kind == ORIGINS_KNOWN) return true;
  return x->n_origins_missing == 0 && origins_is_conclusive(&x->origin) &&
         cluster_is_whole(r->cluster, memory_of(r, x->origin.service));
}

/* Goes on with what is known. */
static void settle(Run *x) {
  run_cancel_query(x);
  if (!is_decided(x)) {
    refuse_stream(x);
    return;
  }
  if (!run_set_service(x, x->origin.service)) {
    refuse_service(x);
    return;
  }
  log_origin(x, x->origin.kind == ORIGINS_KNOWN ? "known"
                : x->is_proven                  ? "proven"
                                                : "sole");
  x->has_version = true;
  x->version = x->origin.version;
  x->admit(x);
}

/* == the store == */

/* Without an attempt named there is no record to be found, but others may know
   of other versions than this instance. The request's own id then spreads the
   queries over the instances of a large fleet. */
static uint64_t query_key(const Run *x) {
  const RequestInfo *a = &x->request;
  return a->resumes[0] ? key_of(x) : text_hash(a->id);
}

static OriginsMsg find_own(const Run *x, const OriginsMsg *query);

static void on_search_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  settle(w->data);
}

static void start_query(Run *x, double timeout_s,
                        void (*fn)(struct ev_loop *, ev_timer *, int)) {
  Relay *r = x->relay;
  x->query_id = ++r->last_query_id;
  g_hash_table_insert(r->runs_by_query, &x->query_id, x);
  ev_timer_init(&x->query_timer, fn, timeout_s, 0);
  x->query_timer.data = x;
  ev_timer_start(r->loop, &x->query_timer);
}

/* No instance knows what began the stream. */
static void search_store(Run *x) {
  x->searched_store = true;
  start_query(x, SEARCH_TIMEOUT_S, on_search_timeout);
  recovery_search(x->relay->recovery, x->query_id);
}

void relay_on_search_end(Relay *r, uint64_t query_id) {
  Run *x = g_hash_table_lookup(r->runs_by_query, &query_id);
  if (!x) return;
  OriginsMsg query = {.key = query_key(x),
                      .service = text_hash(x->service_name)};
  OriginsMsg own = find_own(x, &query);
  x->origin = origins_combine(&x->origin, &own);
  uint64_t version;
  bool is_contradicted = x->origin.kind >= ORIGINS_SEVERAL;
  if (!is_contradicted &&
      recovery_proves(r->recovery, query.service, &version) &&
      (x->origin.kind != ORIGINS_SOLE || x->origin.version == version)) {
    x->is_proven = true;
    x->origin = (OriginsMsg){
        .kind = ORIGINS_SOLE, .service = query.service, .version = version};
  }
  settle(x);
}

/* The instances that were asked have answered, or had the time to. */
static void conclude(Run *x) {
  run_cancel_query(x);
  if (is_decided(x))
    settle(x);
  else
    search_store(x);
}

/* == other instances == */

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  conclude(w->data);
}

static void query_others(Run *x, OriginsMsg *query) {
  Relay *r = x->relay;
  start_query(x, ORIGIN_TIMEOUT_S, on_timeout);
  query->number = x->query_id;
  x->awaits_origin = true;
  x->n_origins_missing = cluster_query_origin(r->cluster, query);
  if (!x->request.resumes[0]) return;
  query->key = service_key_of(x); /* for instances of earlier builds */
  x->n_origins_missing += cluster_query_origin(r->cluster, query);
}

/* An instance of an earlier build may have told this one the record. */
static OriginsMsg find_own(const Run *x, const OriginsMsg *query) {
  OriginsMsg a = own_answer(x->relay, query), earlier = *query;
  if (a.kind == ORIGINS_KNOWN) return a;
  earlier.key = service_key_of(x);
  return own_answer(x->relay, &earlier);
}

void run_find_origin(Run *x, void (*admit)(Run *x)) {
  const RequestInfo *a = &x->request;
  bool is_resumed = a->last_event != REQUEST_NO_EVENT || a->resumes[0];
  x->admit = admit;
  if (!is_stream_route(x) || !is_resumed) {
    admit(x);
    return;
  }
  OriginsMsg query = {.kind = ORIGINS_QUERY,
                      .key = query_key(x),
                      .service = text_hash(x->service_name)};
  x->origin = find_own(x, &query);
  if (x->origin.kind != ORIGINS_KNOWN) query_others(x, &query);
  if (x->n_origins_missing == 0) conclude(x);
}

static void apply_answer(Relay *r, const OriginsMsg *m) {
  Run *x = g_hash_table_lookup(r->runs_by_query, &m->number);
  if (!x || !x->awaits_origin) return;
  x->origin = origins_combine(&x->origin, m);
  x->n_origins_missing--;
  if (x->origin.kind == ORIGINS_KNOWN || x->n_origins_missing == 0) conclude(x);
}

void relay_on_origin(Relay *r, const char *from, const OriginsMsg *m) {
  OriginsMsg answer;
  switch (m->kind) {
  case ORIGINS_RECORD:
    origins_set(r->origins, loopclock_now(r->loop), m, true);
    break;
  case ORIGINS_QUERY:
    answer = own_answer(r, m);
    cluster_answer_origin(r->cluster, from, &answer);
    break;
  default: apply_answer(r, m);
  }
}
