/* fleet.c: connects the cores with threads, membership and messages. Each core
   runs in a lane, under a lock of its own (lane.h). The ledger is split into
   several lanes by budget shard; the request records have one. */
#include "fleet/fleet.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "fleet/lane.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "ledger/shard.h"

#define LEDGER_LANES 8               /* number of lanes of the ledger */
#define RECORDS_LANE LEDGER_LANES    /* index of the lane of request records */
#define ALL_LANES (LEDGER_LANES + 1) /* number of lanes */
#define TICK_INTERVAL_S 0.1
/* Interval at which the view is rebuilt even if no member changed: it also says
   for how long each member has lagged (Member.table_stale_s). */
#define VIEW_REFRESH_INTERVAL_S 1.0
#define STORE_THREADS 4
#define STORE_TIMEOUT_S 3

struct Fleet {
  FleetOptions options;
  Lane lanes[ALL_LANES];
  LaneHost host;
  Peer *peer;
  pthread_t thread;
  atomic_bool stop;
  atomic_uint_fast64_t next_handle;
  pthread_mutex_t lock; /* guards members and view */
  MemberSet *members;
  View *view;
  bool view_is_stale;   /* the view has to be rebuilt */
  double view_built_at; /* when it was last rebuilt */
  GHashTable *ids;      /* text_hash of an id -> id */
  bool leaving;
  uint64_t table_version;
  void (*on_view)(void *ctx, const View *v);
  void *on_view_ctx;
  void (*on_load)(void *ctx, const LoadsMsg *m);
  void *on_load_ctx;
};

/* == addresses == */

/* Copies the peer address of an instance; false: it is not in the view. */
static bool find_member_address(void *ctx, const char *id,
                                char out[LIMIT_NAME_BYTES]) {
  Fleet *f = ctx;
  pthread_mutex_lock(&f->lock);
  const Member *m = view_find(f->view, id);
  if (m) g_strlcpy(out, m->peer, LIMIT_NAME_BYTES);
  pthread_mutex_unlock(&f->lock);
  return m != NULL;
}

/* Finds an instance's id by its hash; false: it is unknown. */
static bool find_id(Fleet *f, uint64_t hash, char out[LIMIT_ID_BYTES]) {
  pthread_mutex_lock(&f->lock);
  const char *id = g_hash_table_lookup(f->ids, &hash);
  if (id) g_strlcpy(out, id, LIMIT_ID_BYTES);
  pthread_mutex_unlock(&f->lock);
  return id != NULL;
}

/* == the peer thread == */

static Lane *lane_of_budget(Fleet *f, const char *budget) {
  return &f->lanes[shard_index(budget) % LEDGER_LANES];
}

static Lane *records_lane(Fleet *f) {
  return &f->lanes[RECORDS_LANE];
}

/* Calls the callback after the lock is released. */
static void receive_load(Fleet *f, const LoadsMsg *m) {
  pthread_mutex_lock(&f->lock);
  void (*callback)(void *ctx, const LoadsMsg *m) = f->on_load;
  void *ctx = f->on_load_ctx;
  pthread_mutex_unlock(&f->lock);
  if (callback) callback(ctx, m);
}

static void on_message(void *ctx, uint64_t from, CodecMsg *m) {
  Fleet *f = ctx;
  char id[LIMIT_ID_BYTES];
  if (m->type == CODEC_HEARTBEAT) {
    pthread_mutex_lock(&f->lock);
    f->view_is_stale |=
        member_receive_heartbeat(f->members, clock_now(), &m->heartbeat);
    pthread_mutex_unlock(&f->lock);
    return;
  }
  if (m->type == CODEC_LOAD) {
    receive_load(f, &m->load);
    return;
  }
  if (!find_id(f, from, id)) {
    count_add(COUNT_PEER_DROPPED, 1);
    return;
  }
  bool is_ledger = m->type == CODEC_LEDGER || m->type == CODEC_RESERVE;
  Lane *l = is_ledger ? lane_of_budget(f, m->ledger.budget) : records_lane(f);
  pthread_mutex_lock(&l->lock);
  if (is_ledger) {
    ledger_receive(l->ledger, clock_now(), id, &m->ledger);
    lane_run_actions(l);
  } else {
    once_receive(l->once, clock_now(), id, &m->once);
    lane_run_actions(l);
  }
  pthread_mutex_unlock(&l->lock);
}

/* Adds the members' ids to the index. Ids of lost members stay. */
static void index_ids(Fleet *f, const View *v) {
  for (int i = 0; i < v->n; i++) {
    uint64_t h = text_hash(v->list[i].id);
    if (g_hash_table_contains(f->ids, &h)) continue;
    g_hash_table_insert(f->ids, g_memdup2(&h, sizeof h),
                        g_strdup(v->list[i].id));
  }
}

/* Passes a changed view to all cores. */
static void distribute_view(Fleet *f, const View *v) {
  log_info("view", "s:i", "members", v->n);
  jobs_set_instances(f->host.jobs, v->n);
  for (int i = 0; i < ALL_LANES; i++) {
    Lane *l = &f->lanes[i];
    pthread_mutex_lock(&l->lock);
    if (l->ledger) ledger_set_view(l->ledger, clock_now(), v);
    if (l->once) once_set_view(l->once, clock_now(), v);
    lane_run_actions(l);
    pthread_mutex_unlock(&l->lock);
  }
}

static void refresh_view(Fleet *f) {
  pthread_mutex_lock(&f->lock);
  double now = clock_now();
  f->view_is_stale |=
      member_update_self(f->members, f->leaving, f->table_version);
  f->view_is_stale |= member_tick(f->members, now);
  if (!f->view_is_stale && now - f->view_built_at < VIEW_REFRESH_INTERVAL_S) {
    pthread_mutex_unlock(&f->lock);
    return;
  }
  f->view_is_stale = false;
  f->view_built_at = now;
  View *v = member_view(f->members, now);
  /* The cores get the view only when its members change. Table versions change
     far more often, and no core uses them. */
  bool same = view_same_members(v, f->view);
  view_free(f->view);
  f->view = v;
  if (!same) index_ids(f, v);
  View *copy = view_copy(v);
  void (*callback)(void *ctx, const View *v) = f->on_view;
  void *ctx = f->on_view_ctx;
  pthread_mutex_unlock(&f->lock);
  if (!same) distribute_view(f, copy);
  if (callback) callback(ctx, copy);
  view_free(copy);
}

static void send_due_heartbeats(Fleet *f) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(MemberHeartbeat));
  pthread_mutex_lock(&f->lock);
  member_collect_heartbeats(f->members, clock_now(), due);
  Member me = *member_get_self(f->members);
  for (guint i = 0; i < due->len; i++) {
    const MemberHeartbeat *b = &g_array_index(due, MemberHeartbeat, i);
    me.heartbeat_interval_s = b->heartbeat_interval_s;
    peer_send_heartbeat(f->peer, b->to, &me);
  }
  pthread_mutex_unlock(&f->lock);
  g_array_free(due, TRUE);
}

static void tick(Fleet *f) {
  refresh_view(f);
  for (int i = 0; i < ALL_LANES; i++) {
    Lane *l = &f->lanes[i];
    pthread_mutex_lock(&l->lock);
    if (l->ledger) ledger_note_clock(l->ledger, clock_now(), clock_unix_ms());
    if (l->ledger) ledger_tick(l->ledger, clock_now(), clock_unix());
    if (l->once) once_tick(l->once, clock_now(), clock_unix());
    lane_run_actions(l);
    pthread_mutex_unlock(&l->lock);
  }
}

/* Handles messages and timers until the fleet is closed. */
static void *run_peer_thread(void *arg) {
  Fleet *f = arg;
  double next_tick = 0;
  while (!atomic_load(&f->stop)) {
    double now = clock_now();
    send_due_heartbeats(f);
    if (now >= next_tick) {
      tick(f);
      next_tick = now + TICK_INTERVAL_S;
    }
    int wait_ms = (int)((next_tick - clock_now()) * 1000) + 1;
    peer_poll(f->peer, MAX(wait_ms, 1), on_message, f);
  }
  return NULL;
}

/* == open and close == */

static void open_lane(Fleet *f, int i) {
  const Member *me = &f->options.self;
  /* Each lane has a random sequence of its own. */
  uint32_t seed = f->options.seed + (uint32_t)i * 7919u;
  if (i == RECORDS_LANE) {
    Once *once = once_new(me->id, me->region, seed);
    once_set_kept_limit(once, f->options.kept_bytes);
    once_set_bill_limit(once, f->options.bill_bytes);
    lane_open(&f->lanes[i], &f->host, NULL, once);
    return;
  }
  Ledger *ledger = ledger_new(me->id, me->region, seed);
  ledger_set_lanes(ledger, LEDGER_LANES);
  lane_open(&f->lanes[i], &f->host, ledger, NULL);
}

Fleet *fleet_open(const FleetOptions *o, Err *e) {
  Peer *peer = peer_open(o->bind, o->self.id, e);
  if (!peer) return NULL;
  Fleet *f = g_new0(Fleet, 1);
  f->options = *o;
  f->peer = peer;
  f->members = member_new(&o->self);
  f->view = view_new(NULL, 0);
  f->ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  pthread_mutex_init(&f->lock, NULL);
  f->host =
      (LaneHost){.peer = peer,
                 .jobs = jobs_open(o->platform, STORE_THREADS, STORE_TIMEOUT_S),
                 .find_address = find_member_address,
                 .ctx = f};
  for (int i = 0; i < ALL_LANES; i++) open_lane(f, i);
  refresh_view(f);
  pthread_create(&f->thread, NULL, run_peer_thread, f);
  return f;
}

void fleet_close(Fleet *f) {
  atomic_store(&f->stop, true);
  pthread_join(f->thread, NULL);
  jobs_close(f->host.jobs);
  peer_close(f->peer);
  for (int i = 0; i < ALL_LANES; i++) lane_close(&f->lanes[i]);
  member_free(f->members);
  view_free(f->view);
  g_hash_table_destroy(f->ids);
  pthread_mutex_destroy(&f->lock);
  g_free(f);
}

/* == membership and table == */

void fleet_on_view(Fleet *f, void (*fn)(void *ctx, const View *v), void *ctx) {
  pthread_mutex_lock(&f->lock);
  f->on_view_ctx = ctx;
  f->on_view = fn;
  pthread_mutex_unlock(&f->lock);
}

void fleet_on_load(Fleet *f, void (*fn)(void *ctx, const LoadsMsg *m),
                   void *ctx) {
  pthread_mutex_lock(&f->lock);
  f->on_load_ctx = ctx;
  f->on_load = fn;
  pthread_mutex_unlock(&f->lock);
}

void fleet_send_load(Fleet *f, const LoadsMsg *m) {
  const Member *self = &f->options.self;
  pthread_mutex_lock(&f->lock);
  for (int i = 0; i < f->view->n; i++) {
    const Member *x = &f->view->list[i];
    bool other = strcmp(x->id, self->id) != 0;
    if (other && strcmp(x->region, self->region) == 0)
      peer_send_load(f->peer, x->peer, x->id, m);
  }
  pthread_mutex_unlock(&f->lock);
}

void fleet_set_budgets(Fleet *f, const LedgerBudget *list, int n) {
  for (int i = 0; i < LEDGER_LANES; i++) {
    Lane *l = &f->lanes[i];
    GArray *mine = g_array_new(FALSE, FALSE, sizeof *list);
    for (int k = 0; k < n; k++)
      if (lane_of_budget(f, list[k].name) == l)
        g_array_append_val(mine, list[k]);
    pthread_mutex_lock(&l->lock);
    ledger_set_budgets(l->ledger, clock_now(),
                       (LedgerBudget *)(void *)mine->data, (int)mine->len);
    lane_run_actions(l);
    pthread_mutex_unlock(&l->lock);
    g_array_free(mine, TRUE);
  }
}

void fleet_set_table_version(Fleet *f, uint64_t version) {
  pthread_mutex_lock(&f->lock);
  f->table_version = version;
  pthread_mutex_unlock(&f->lock);
}

void fleet_set_listed_members(Fleet *f, const MemberSeed *list, int n) {
  pthread_mutex_lock(&f->lock);
  f->view_is_stale |= member_apply_list(f->members, clock_now(), list, n);
  pthread_mutex_unlock(&f->lock);
}

View *fleet_copy_view(Fleet *f) {
  pthread_mutex_lock(&f->lock);
  View *v = view_copy(f->view);
  pthread_mutex_unlock(&f->lock);
  return v;
}

/* == calls of request threads == */

static uint64_t new_handle(Fleet *f) {
  return atomic_fetch_add(&f->next_handle, 1) + 1;
}

uint64_t fleet_reserve(Fleet *f, const char *budget, int64_t tokens, Err *e) {
  Lane *l = lane_of_budget(f, budget);
  uint64_t handle = new_handle(f);
  LaneWait w;
  pthread_mutex_lock(&l->lock);
  lane_wait_prepare(l, handle, &w);
  ledger_reserve(l->ledger, clock_now(), handle, budget, tokens, -1);
  lane_run_actions(l);
  lane_wait(l, handle, &w);
  pthread_mutex_unlock(&l->lock);
  if (w.cause == ERR_NONE) return handle;
  err_retry(e, w.cause, w.retry_ms,
            "budget %s can't cover %" G_GINT64_FORMAT " tokens now", budget,
            tokens);
  return 0;
}

void fleet_settle(Fleet *f, const char *budget, uint64_t handle, int64_t used) {
  Lane *l = lane_of_budget(f, budget);
  pthread_mutex_lock(&l->lock);
  ledger_settle(l->ledger, clock_now(), handle, used);
  lane_run_actions(l);
  pthread_mutex_unlock(&l->lock);
}

OnceVerdict fleet_begin(Fleet *f, const char *customer, OnceKey key,
                        uint64_t digest, bool has_caller_key, bool repeatable,
                        FleetRun *run, OnceAnswer *answer) {
  Lane *l = records_lane(f);
  LaneWait w;
  run->key = key;
  run->handle = new_handle(f);
  pthread_mutex_lock(&l->lock);
  lane_wait_prepare(l, run->handle, &w);
  once_begin(l->once, clock_now(), run->handle, customer, key, digest,
             has_caller_key, repeatable);
  lane_run_actions(l);
  lane_wait(l, run->handle, &w);
  pthread_mutex_unlock(&l->lock);
  *answer = w.answer;
  g_strlcpy(run->target, w.target, sizeof run->target);
  return w.verdict;
}

void fleet_note_dispatch(Fleet *f, FleetRun *run, const char *target) {
  Lane *l = records_lane(f);
  pthread_mutex_lock(&l->lock);
  once_dispatched(l->once, clock_now(), run->handle, target);
  lane_run_actions(l);
  pthread_mutex_unlock(&l->lock);
}

bool fleet_finish(Fleet *f, FleetRun *run, const OnceBill *bill,
                  const OnceAnswer *answer) {
  Lane *l = records_lane(f);
  LaneWait w;
  pthread_mutex_lock(&l->lock);
  lane_wait_prepare(l, run->handle, &w);
  once_finish(l->once, clock_now(), run->handle, bill, answer);
  lane_run_actions(l);
  lane_wait(l, run->handle, &w);
  pthread_mutex_unlock(&l->lock);
  return w.billed_before;
}

void fleet_mark_unknown(Fleet *f, FleetRun *run) {
  Lane *l = records_lane(f);
  pthread_mutex_lock(&l->lock);
  once_finish_unknown(l->once, clock_now(), run->handle);
  lane_run_actions(l);
  pthread_mutex_unlock(&l->lock);
}

void fleet_abort(Fleet *f, FleetRun *run) {
  Lane *l = records_lane(f);
  pthread_mutex_lock(&l->lock);
  once_abort(l->once, clock_now(), run->handle);
  lane_run_actions(l);
  pthread_mutex_unlock(&l->lock);
}

/* == sums and stop == */

LedgerSums fleet_sums(Fleet *f) {
  LedgerSums all = {0};
  for (int i = 0; i < LEDGER_LANES; i++) {
    Lane *l = &f->lanes[i];
    pthread_mutex_lock(&l->lock);
    LedgerSums s = ledger_sums(l->ledger);
    pthread_mutex_unlock(&l->lock);
    all.free += s.free;
    all.reserved += s.reserved;
    all.spent += s.spent;
    all.home_free_tokens += s.home_free_tokens;
    all.waiting += s.waiting;
    all.accounts += s.accounts;
    all.grants += s.grants;
    all.witnessed += s.witnessed;
  }
  return all;
}

void fleet_drain(Fleet *f) {
  pthread_mutex_lock(&f->lock);
  f->leaving = true;
  member_expedite_heartbeats(f->members);
  pthread_mutex_unlock(&f->lock);
  refresh_view(f);
  send_due_heartbeats(f);
  for (int i = 0; i < ALL_LANES; i++) {
    Lane *l = &f->lanes[i];
    pthread_mutex_lock(&l->lock);
    if (l->ledger) ledger_drain(l->ledger, clock_now());
    if (l->once) once_drain(l->once, clock_now());
    pthread_mutex_unlock(&l->lock);
  }
}

void fleet_count_undrained(Fleet *f, int *budgets, int *records) {
  *budgets = *records = 0;
  for (int i = 0; i < ALL_LANES; i++) {
    Lane *l = &f->lanes[i];
    pthread_mutex_lock(&l->lock);
    *budgets += l->ledger && !ledger_is_drained(l->ledger);
    *records += l->once && !once_is_drained(l->once);
    pthread_mutex_unlock(&l->lock);
  }
}

bool fleet_is_drained(Fleet *f) {
  int budgets, records;
  fleet_count_undrained(f, &budgets, &records);
  return budgets + records == 0;
}
