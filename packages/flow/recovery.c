/* recovery.c: what outlives a loss of all instances of what is known of streams
   that callers resume. The store keeps a checkpoint of the services with one
   version (route/checkpoint.h), written by a few instances, and for the streams
   of the others each instance's log (route/originlog.h). Both are only ever
   true: one that is missing, or older than the store's history, leaves a stream
   unknown. */
#include "flow/run.h"
#include "flow/streamlog.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "node/feed.h"
#include "route/checkpoint.h"
#include "route/originlog.h"
#include "route/versions.h"

/* In the store; an object has the rank of its writer as its name. */
#define CHECKPOINT_KIND "stream-checkpoints"

/* The instances of the lowest ranks write a checkpoint each: one of them may be
   cut off from the store. */
#define CHECKPOINT_WRITERS 2
/* Shorter than the store's history, with time for a restart. */
#define CHECKPOINT_INTERVAL_S 5.0
#define RENEW_INTERVAL_S 1.0
/* An instance that starts looks for a checkpoint until then. */
#define START_RETRY_S 0.5
#define START_MAX_S 10.0

/* Part of the store's writes that the logs of the whole fleet may take. */
#define LOG_WRITES_RATIO 0.25
/* Between two reads of all logs. An instance that ended since has told its
   streams to their homes. */
#define LOGS_INTERVAL_S 1.0

typedef enum {
  START_WAITS, /* for the targets and the configuration */
  START_READS, /* a checkpoint */
  START_OVER
} StartState;

struct Recovery {
  Relay *relay;
  Feed *feed;
  RecoveryPlace place;
  /* start */
  StartState start;
  double started_at, next_start_at;
  /* What is known of the services with one version; NULL: nothing. */
  Checkpoint *proof;
  int proof_gaps; /* feed_gaps that it covers */
  int seen_gaps;  /* feed_gaps, and when it last rose */
  double gap_at;
  double renewed_at;
  int n_held; /* services whose streams need no record */
  /* conf_stream_routes of services in a version of the configuration */
  GHashTable *routes;
  uint64_t routes_version;
  /* its object in the store */
  bool checkpoint_pending;
  double checkpoint_at; /* when it was last written */
  uint64_t checkpoint_revision;
  int checkpoint_rank;
  StreamLog *log; /* of this instance */
  /* the search for what began streams */
  GArray *searching, *waiting; /* query ids of runs: of this and the next one */
  int n_searches;              /* parts of the search that are not over */
  bool past_is_read;           /* by the last search, completely */
  int past_gaps;
  double logs_read_at;
  int n_logged; /* streams that it has read */
};

static double now_of(const Recovery *y) {
  return loopclock_now(y->relay->loop);
}

/* conf_stream_routes in the present configuration. */
static uint64_t routes_of(Recovery *y, uint64_t service) {
  const Conf *c = y->relay->conf;
  if (!c) return 0;
  if (c->version != y->routes_version) g_hash_table_remove_all(y->routes);
  y->routes_version = c->version;
  const uint64_t *known = g_hash_table_lookup(y->routes, &service);
  if (known) return *known;
  uint64_t routes = conf_stream_routes(c, service);
  g_hash_table_insert(y->routes, g_memdup2(&service, sizeof service),
                      g_memdup2(&routes, sizeof routes));
  return routes;
}

/* == the proof == */

static bool proves(Recovery *y, uint64_t service, uint64_t *version) {
  uint64_t only;
  return y->proof &&
         checkpoint_find(y->proof, service, routes_of(y, service), version) &&
         targets_only_version(y->relay->targets, service, &only) &&
         only == *version;
}

bool recovery_has_followed(const Recovery *y, double memory_s) {
  if (!y->feed || feed_gaps(y->feed) != y->seen_gaps) return false;
  return y->seen_gaps == 0 || now_of(y) - y->gap_at >= memory_s;
}

static void note_gaps(Recovery *y) {
  int gaps = feed_gaps(y->feed);
  if (gaps == y->seen_gaps) return;
  y->seen_gaps = gaps;
  y->gap_at = now_of(y);
}

bool recovery_holds(Recovery *y, uint64_t service) {
  uint64_t version;
  return proves(y, service, &version);
}

bool recovery_proves(Recovery *y, uint64_t service, uint64_t *version) {
  return y->past_is_read && proves(y, service, version);
}

/* No stream can have begun before the first start of the whole fleet. */
static bool is_sole_since_first_start(const Recovery *y, uint64_t service,
                                      uint64_t *version) {
  return y->place.is_first_start && feed_gaps(y->feed) == 0 &&
         relay_service_history(y->relay, service) != CONF_HISTORY_SEVERAL &&
         targets_only_version(y->relay->targets, service, version);
}

static void count_held(void *ctx, uint64_t service) {
  Recovery *y = ctx;
  y->n_held += relay_is_concluded(y->relay, service);
}

typedef struct Renewal {
  Recovery *recovery;
  Checkpoint *next;
} Renewal;

static void renew_service(void *ctx, uint64_t service) {
  const Renewal *n = ctx;
  Recovery *y = n->recovery;
  uint64_t version, routes = routes_of(y, service);
  if (routes == 0) return;
  if (relay_is_sole(y->relay, service, &version) ||
      is_sole_since_first_start(y, service, &version) ||
      proves(y, service, &version))
    checkpoint_add(n->next, service, version, routes);
}

/* Continues the proof by what this instance has followed since. */
static void renew_proof(Recovery *y) {
  CheckpointPosition at;
  int gaps = feed_gaps(y->feed);
  y->renewed_at = now_of(y);
  if (!y->relay->conf || !feed_position(y->feed, &at)) return;
  if (y->proof && checkpoint_count(y->proof) > 0) {
    CheckpointPosition before = checkpoint_position(y->proof);
    if (gaps != y->proof_gaps) return; /* a search may close the gap */
    if (at.targets < before.targets || at.conf < before.conf) return;
  }
  Renewal n = {.recovery = y, .next = checkpoint_new(&at)};
  targets_for_each_service(y->relay->targets, renew_service, &n);
  checkpoint_free(y->proof);
  y->proof = n.next;
  y->proof_gaps = gaps;
}

/* Whether streams of fewer services need no record than before: those that have
   begun there need one now. */
static bool has_lost_service(Recovery *y) {
  int n = y->n_held;
  y->n_held = 0;
  targets_for_each_service(y->relay->targets, count_held, y);
  return y->n_held < n;
}

/* == reading what changed since == */

static void end_search_part(Recovery *y);

static void drop_proof(Recovery *y) {
  checkpoint_free(y->proof);
  y->proof = NULL;
}

static void on_past_target(void *ctx, const TargetInfo *t) {
  Recovery *y = ctx;
  if (y->proof)
    checkpoint_apply_target(y->proof, text_hash(t->service),
                            versions_hash(t->version));
}

/* Its version is known only if this instance has known the target. */
static void on_past_unreadable(void *ctx, const char *id) {
  Recovery *y = ctx;
  if (targets_hash_by_id(y->relay->targets, id) == 0) drop_proof(y);
}

typedef struct PastConf {
  Recovery *recovery;
  const Conf *conf;
} PastConf;

static void apply_past_routes(void *ctx, uint64_t service) {
  const PastConf *p = ctx;
  checkpoint_apply_routes(p->recovery->proof, service,
                          conf_stream_routes(p->conf, service));
}

static void on_past_conf(void *ctx, const Conf *c) {
  Recovery *y = ctx;
  PastConf p = {.recovery = y, .conf = c};
  if (y->proof) checkpoint_for_each(y->proof, apply_past_routes, &p);
}

static void on_past_read(void *ctx, const CheckpointPosition *at,
                         bool is_gone) {
  Recovery *y = ctx;
  y->past_is_read = at && y->proof;
  if (y->past_is_read) {
    checkpoint_advance(y->proof, at);
    y->proof_gaps = y->past_gaps;
  }
  if (!at) log_info("stream-history-missing", "s:b", "gone", (int)is_gone);
  if (is_gone) drop_proof(y);
  end_search_part(y);
}

static void read_past(Recovery *y) {
  static const FeedPast events = {on_past_target, on_past_unreadable,
                                  on_past_conf, on_past_read};
  CheckpointPosition since = checkpoint_position(y->proof);
  y->past_gaps = feed_gaps(y->feed);
  y->n_searches++;
  feed_read_past(y->feed, &since, &events, y);
}

/* == logs of all instances == */

static void on_logged_stream(void *ctx, const OriginsMsg *record) {
  Recovery *y = ctx;
  y->n_logged++;
  origins_set(y->relay->origins, now_of(y), record, true);
}

static void read_logs(Recovery *y, const char *after);

static void on_logs(void *ctx, const StoreAnswer *a) {
  Recovery *y = ctx;
  const json_t *entries = json_object_get(a->body, "entries");
  const char *last = NULL;
  for (size_t i = 0; i < json_array_size(entries); i++) {
    StoreObject o;
    if (!store_parse_entry(a, json_array_get(entries, i), &last, &o)) continue;
    if (!originlog_read(o.content, on_logged_stream, y))
      log_warn("stream-log-damaged", "s:s", "instance", last);
  }
  if (a->kind == ERR_NONE && last &&
      json_is_true(json_object_get(a->body, "more")))
    read_logs(y, last);
  else
    log_info("stream-logs-read", "s:s,s:i", "outcome", err_info(a->kind)->name,
             "streams", y->n_logged);
  end_search_part(y);
}

static void read_logs(Recovery *y, const char *after) {
  y->n_searches++;
  store_list(y->relay->store, CALLS_STREAM, STREAMLOG_KIND, after, false,
             on_logs, y);
}

/* == searches == */

static void begin_search(Recovery *y) {
  GArray *runs = y->waiting;
  y->waiting = y->searching;
  y->searching = runs;
  y->past_is_read = false;
  y->n_searches = 1;
  if (runs->len > 0 && now_of(y) - y->logs_read_at >= LOGS_INTERVAL_S) {
    y->logs_read_at = now_of(y);
    y->n_logged = 0;
    read_logs(y, "");
  }
  if (y->proof && checkpoint_count(y->proof) > 0) read_past(y);
  end_search_part(y);
}

static void end_search_part(Recovery *y) {
  if (y->n_searches > 1) {
    y->n_searches--;
    return;
  }
  /* Runs that begin a search from here on have it after this one. */
  for (guint i = 0; i < y->searching->len; i++)
    relay_on_search_end(y->relay, g_array_index(y->searching, uint64_t, i));
  g_array_set_size(y->searching, 0);
  y->n_searches = 0;
  if (y->waiting->len > 0) begin_search(y);
}

void recovery_search(Recovery *y, uint64_t query_id) {
  g_array_append_val(y->waiting, query_id);
  if (y->n_searches == 0) begin_search(y);
}

/* == start == */

static void on_checkpoints(void *ctx, const StoreAnswer *a) {
  Recovery *y = ctx;
  const json_t *entries = json_object_get(a->body, "entries");
  y->start = a->kind == ERR_NONE ? START_OVER : START_WAITS;
  for (size_t i = 0; i < json_array_size(entries); i++) {
    StoreObject o;
    const char *name;
    Checkpoint *c = store_parse_entry(a, json_array_get(entries, i), &name, &o)
                        ? checkpoint_read(o.content)
                        : NULL;
    if (!c) continue;
    uint64_t at = checkpoint_position(c).targets;
    bool is_later = !y->proof || at > checkpoint_position(y->proof).targets;
    if (is_later && revision_era(at) == a->era) {
      checkpoint_free(y->proof);
      y->proof = c;
    } else {
      checkpoint_free(c);
    }
  }
  if (a->kind == ERR_NONE)
    log_info("checkpoint-read", "s:i", "services",
             y->proof ? checkpoint_count(y->proof) : 0);
  if (y->proof && y->n_searches == 0) begin_search(y);
}

static void check_start(Recovery *y) {
  CheckpointPosition at;
  double now = now_of(y);
  if (y->start != START_WAITS || now < y->next_start_at || !y->relay->conf ||
      !feed_position(y->feed, &at))
    return;
  y->next_start_at = now + START_RETRY_S;
  if (y->place.is_first_start || now - y->started_at > START_MAX_S) {
    y->start = START_OVER;
    return;
  }
  y->start = START_READS;
  store_list(y->relay->store, CALLS_STREAM, CHECKPOINT_KIND, "", false,
             on_checkpoints, y);
}

/* == the checkpoint in the store == */

static void on_checkpoint_written(void *ctx, const StoreAnswer *a) {
  Recovery *y = ctx;
  StoreObject o;
  y->checkpoint_pending = false;
  y->checkpoint_revision = store_parse_object(a, &o) ? o.revision : 0;
  /* Another one wrote it, in an earlier life or as the same rank. */
  if (a->kind == ERR_STORE_CONFLICT) y->checkpoint_at = 0;
}

static void write_checkpoint(Recovery *y) {
  char name[16];
  double now = now_of(y);
  if (y->checkpoint_rank != y->place.rank) y->checkpoint_revision = 0;
  y->checkpoint_rank = y->place.rank;
  if (y->checkpoint_pending || now - y->checkpoint_at < CHECKPOINT_INTERVAL_S)
    return;
  if (y->place.rank < 0 || y->place.rank >= CHECKPOINT_WRITERS || !y->proof ||
      checkpoint_count(y->proof) == 0)
    return;
  y->checkpoint_pending = true;
  y->checkpoint_at = now;
  g_snprintf(name, sizeof name, "%d", y->place.rank);
  store_put(y->relay->store, CALLS_STREAM, CHECKPOINT_KIND, name,
            y->checkpoint_revision, checkpoint_write(y->proof),
            on_checkpoint_written, y);
}

/* == the log of this instance == */

void recovery_note_begun(Recovery *y, const OriginsMsg *record) {
  streamlog_add(y->log, record);
}

void recovery_note_delivered(Recovery *y, uint64_t key) {
  streamlog_remove(y->log, key);
}

static void update_log(Recovery *y) {
  double fleet_per_s = y->place.store_writes_per_s * LOG_WRITES_RATIO;
  streamlog_set_times(y->log, y->place.n_instances / fleet_per_s,
                      relay_memory_s(y->relay));
  streamlog_sweep(y->log);
}

/* == open, close, time == */

Recovery *recovery_new(Relay *r, const char *id, const RecoveryPlace *place) {
  Recovery *y = g_new0(Recovery, 1);
  y->relay = r;
  y->place = *place;
  y->checkpoint_rank = -1;
  y->started_at = loopclock_now(r->loop);
  y->logs_read_at = -LOGS_INTERVAL_S;
  y->log = streamlog_new(r->loop, r->store, id);
  y->routes =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  y->searching = g_array_new(FALSE, FALSE, sizeof(uint64_t));
  y->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
  return y;
}

void recovery_free(Recovery *y) {
  streamlog_free(y->log);
  checkpoint_free(y->proof);
  g_hash_table_destroy(y->routes);
  g_array_free(y->searching, TRUE);
  g_array_free(y->waiting, TRUE);
  g_free(y);
}

void recovery_set_feed(Recovery *y, Feed *feed) {
  y->feed = feed;
}

void recovery_update(Recovery *y, const RecoveryPlace *place) {
  y->place = *place;
  if (!y->feed) return;
  note_gaps(y);
  check_start(y);
  if (has_lost_service(y)) relay_log_open_streams(y->relay);
  if (y->start != START_OVER || y->n_searches > 0 ||
      now_of(y) - y->renewed_at < RENEW_INTERVAL_S)
    return;
  renew_proof(y);
  if (y->proof && feed_gaps(y->feed) != y->proof_gaps) begin_search(y);
  update_log(y);
  write_checkpoint(y);
}
