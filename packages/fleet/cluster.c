/* cluster.c: passes messages, timer ticks and store answers to the cores, and
   performs their actions. */
#include "fleet/cluster.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet/allocations.h"
#include "fleet/budgetlog.h"
#include "fleet/tallies.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "peer/peer.h"

/* Objects in the platform's store that the router writes. */
#define BUDGET_OBJECT_KIND "budgets"
/* The cores' shortest timeout is 0.06 s. */
#define TICK_INTERVAL_S 0.05
/* Discovery of the other instances ends when the view has not changed for this
   long. An unanswered message to a seed is resent after 0.2 s. */
#define DISCOVERY_IDLE_S 0.25
/* Discovery ends after this time in any case: this may be the only instance. */
#define DISCOVERY_MAX_S 2.5
/* Estimated duration, for cluster_ready_in_ms. Discovery takes 0.6 to 1.5 s
   when 7 instances restart at once. */
#define DISCOVERY_USUAL_S 1.2
/* Minimum estimate of the time left, also once DISCOVERY_USUAL_S has passed. */
#define DISCOVERY_OVERTIME_S 0.3
/* Minimum time between two views. While many instances start, membership
   changes with each message, and each new view recomputes the homes. */
#define VIEW_REFRESH_MIN_INTERVAL_S 0.15
#define DROP_LOG_INTERVAL_S 1.0 /* between log lines on messages not sent */
#define SWEEP_INTERVAL_S 1.0    /* between checks for expired counts */
/* The instance that counts the work at a target sends the target's limit to all
   instances: one target at a time, at intervals that grow with the number of
   receivers. It resends each limit for instances that started recently. */
#define LIMIT_INTERVAL_PER_INSTANCE_S 0.01
#define LIMIT_RESEND_INTERVAL_S 2.0
/* Delay before this instance requests a newer configuration from another one,
   and between two requests. The store normally delivers it sooner. */
#define CONF_REQUEST_DELAY_S 0.4

struct Cluster {
  struct ev_loop *loop;
  Store *store;
  ClusterEvents ev;
  void *ctx;
  Gossip *members;
  Readers *readers;
  int n_seeds; /* in the settings, of which this instance may be one */
  View *view;
  Spread *spread; /* forwarding tree for `view` */
  Tallies *tallies;
  Allocations *allocations;
  uint64_t view_version; /* membership version of `view`; 0: none yet */
  Ledger *ledger;
  Peer *peer;
  ev_io readable;
  ev_prepare flush;
  ev_timer tick;
  GHashTable *ids; /* text_hash of an id -> id */
  uint64_t next_handle;
  uint64_t conf_version;
  Packed conf_text; /* compressed text of `packed_version` */
  uint64_t packed_version;
  /* When a newer version became known, and the last request for it. */
  double conf_stale_since, conf_requested_at;
  double started_at, view_changed_at;
  bool is_ready; /* discovery is over; the view may be used */
  bool leaving;
  ReadersDuty duty;     /* duty to read the store, as last logged */
  int64_t logged_drops; /* count of unsent messages at the last log line */
  double drops_logged_at, swept_at;
  double next_limit_at; /* when the next limit may be sent */
};

static double current_time(const Cluster *c) {
  return loopclock_now(c->loop);
}

/* == actions of the ledger == */

typedef struct ShardCall {
  Cluster *cluster;
  int shard;
  bool is_write;
} ShardCall;

static void run_ledger_actions(Cluster *c);

/* Handles the answer to a read or a write of a budget shard. */
static void on_shard_stored(void *ctx, const StoreAnswer *a) {
  ShardCall *call = ctx;
  Cluster *c = call->cluster;
  StoreObject o = {0};
  char *text = NULL;
  o.revision = revision_make(a->era, 0); /* when there is no object */
  if (store_parse_object(a, &o) && !call->is_write && o.content)
    text = json_dumps(o.content, JSON_COMPACT);
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_ABSENT)
    log_info("budget-call", "s:i,s:b,s:s", "shard", call->shard, "write",
             (int)call->is_write, "outcome", err_info(a->kind)->name);
  ledger_store_result(c->ledger, current_time(c), call->shard, a->kind,
                      o.revision, text);
  free(text);
  g_free(call);
  run_ledger_actions(c);
}

static void access_shard(Cluster *c, LedgerAction *a) {
  char name[16];
  ShardCall *call = g_new0(ShardCall, 1);
  call->cluster = c;
  call->shard = a->shard;
  call->is_write = a->action == LEDGER_ACTION_PUT;
  g_snprintf(name, sizeof name, "%03d", a->shard);
  if (call->is_write)
    store_put(c->store, CALLS_BUDGET, BUDGET_OBJECT_KIND, name, a->version,
              json_loads(a->text, 0, NULL), on_shard_stored, call);
  else
    store_get(c->store, CALLS_BUDGET, BUDGET_OBJECT_KIND, name, on_shard_stored,
              call);
  g_free(a->text);
}

static void run_ledger_actions(Cluster *c) {
  LedgerAction a;
  while (ledger_next_action(c->ledger, &a)) {
    const Member *m;
    switch (a.action) {
    case LEDGER_ACTION_SEND:
      m = view_find(c->view, a.to);
      if (m) peer_send_ledger(c->peer, m->peer, m->id, &a.msg);
      break;
    case LEDGER_ACTION_GET:
    case LEDGER_ACTION_PUT: access_shard(c, &a); break;
    case LEDGER_ACTION_NOTE:
      count_add(COUNT_BUDGET_CUTOFFS, 1);
      log_info("budget-cutoff", "s:s,s:i,s:i", "customer", a.msg.budget, "from",
               a.msg.priority, "retry_ms", a.msg.retry_ms);
      break;
    case LEDGER_ACTION_SEALED: budgetlog_sealed(&a); break;
    case LEDGER_ACTION_DENIED: budgetlog_denied(&a); break;
    case LEDGER_ACTION_ANSWER:
      if (a.by_cutoff) count_add(COUNT_REFUSED_CUTOFF, 1);
      c->ev.reservation_decided(c->ctx, a.handle, a.cause, a.retry_ms);
      break;
    }
  }
}

/* == membership == */

static void index_ids(Cluster *c) {
  g_hash_table_remove_all(c->ids);
  for (int i = 0; i < c->view->n; i++) {
    uint64_t h = text_hash(c->view->list[i].id);
    g_hash_table_insert(c->ids, g_memdup2(&h, sizeof h),
                        g_strdup(c->view->list[i].id));
  }
}

/* Returns the position of this instance in the order of ids. */
static int own_rank(const Cluster *c) {
  const char *self = gossip_get_self(c->members)->id;
  int i = 0;
  while (i < c->view->n && strcmp(c->view->list[i].id, self) < 0) i++;
  return i;
}

static void refresh_view(Cluster *c) {
  double now = current_time(c);
  uint64_t version = gossip_version(c->members);
  bool first = c->view_version == 0;
  if (version == c->view_version ||
      (!first && now - c->view_changed_at < VIEW_REFRESH_MIN_INTERVAL_S))
    return;
  spread_free(c->spread);
  view_free(c->view);
  c->view = gossip_view(c->members);
  c->spread = spread_new(c->view, gossip_get_self(c->members));
  c->view_version = version;
  c->view_changed_at = now;
  log_info("view", "s:i", "members", c->view->n);
  index_ids(c);
  readers_update_view(c->readers, c->view);
  tallies_set_members(c->tallies, now, c->view);
  allocations_set_members(c->allocations, c->view);
  c->ev.instances_changed(c->ctx, own_rank(c), c->view);
  if (!c->is_ready) return;
  ledger_set_view(c->ledger, now, c->view);
  run_ledger_actions(c);
}

/* An instance that has just started knows only itself and would act as the home
   of every budget (the instance that manages its shard in the store). When all
   instances start at once, they would compete for the store: one budget had 46
   homes. So a new instance waits until it knows others and the view has not
   changed for DISCOVERY_IDLE_S, or until DISCOVERY_MAX_S. */
static void check_discovery(Cluster *c) {
  double now = current_time(c);
  bool discovery_idle =
      c->view->n > 1 && now - c->view_changed_at > DISCOVERY_IDLE_S;
  if (c->is_ready || !(discovery_idle || now - c->started_at > DISCOVERY_MAX_S))
    return;
  c->is_ready = true;
  log_info("settled", "s:i,s:f", "members", c->view->n, "after",
           now - c->started_at);
  ledger_set_view(c->ledger, now, c->view);
  run_ledger_actions(c);
}

/* Sends the messages that the membership core has queued. */
static void run_member_actions(Cluster *c) {
  GossipAction a;
  while (gossip_take_action(c->members, &a)) {
    if (a.is_update)
      peer_send_member_update(c->peer, a.to, a.id, &a.update);
    else
      peer_send_gossip(c->peer, a.to, a.id, &a.msg);
  }
}

/* == the operators' configuration among instances == */

/* Requests the configuration from another instance if a newer version has been
   known for CONF_REQUEST_DELAY_S: this instance then can't reach the store. */
static void request_newer_conf(Cluster *c) {
  double now = current_time(c);
  const Member *newer = gossip_find_newer_table(c->members, c->conf_version);
  if (!newer) c->conf_stale_since = now;
  if (!newer || now - c->conf_stale_since < CONF_REQUEST_DELAY_S) return;
  if (now - c->conf_requested_at < CONF_REQUEST_DELAY_S) return;
  c->conf_requested_at = now;
  log_info("configuration-asked", "s:s,s:I,s:I", "of", newer->id, "theirs",
           (json_int_t)newer->table, "ours", (json_int_t)c->conf_version);
  peer_send_config(c->peer, newer->peer, newer->id, c->conf_version,
                   &(Packed){0});
}

/* Returns the configuration's compressed text, which is made once per version:
   after many instances restart, each may request it. */
static const Packed *pack_conf(Cluster *c) {
  if (c->packed_version == c->conf_version) return &c->conf_text;
  packed_free(&c->conf_text);
  c->conf_text = packed_new(c->ev.conf_text(c->ctx));
  c->packed_version = c->conf_version;
  return &c->conf_text;
}

static void unpack_conf(Cluster *c, const char *from, const CodecConfig *m) {
  char *text = packed_text(&m->text);
  if (text)
    c->ev.conf_received(c->ctx, text);
  else
    log_warn("configuration-damaged", "s:s,s:I", "of", from, "version",
             (json_int_t)m->version);
  g_free(text);
}

/* Handles a configuration, or (without a text) a request for one that is newer
   than the sender's version. */
static void receive_conf(Cluster *c, const char *from, const CodecConfig *m) {
  if (m->text.text_bytes > 0) {
    if (m->version > c->conf_version) unpack_conf(c, from, m);
    return;
  }
  const Member *requester = view_find(c->view, from);
  if (requester && c->conf_version > m->version)
    peer_send_config(c->peer, requester->peer, requester->id, c->conf_version,
                     pack_conf(c));
}

/* == updates from readers of the store == */

/* Sends one copy of a message. `until` is the end of the range of members to
   which the receiver forwards it (spread.h). */
typedef void (*SendCopy)(Cluster *c, const Member *to, const char *until,
                         const void *msg);

/* Forwards a message to the members of the region that this instance is
   responsible for in the forwarding tree. */
static void forward_copies(Cluster *c, const char *until, SendCopy send,
                           const void *msg) {
  SpreadPart part[SPREAD_FANOUT];
  int n = c->spread ? spread_split(c->spread, until, part) : 0;
  for (int i = 0; i < n; i++) send(c, part[i].to, part[i].until, msg);
}

static void send_feed(Cluster *c, const Member *to, const char *until,
                      const void *msg) {
  CodecFeed copy = *(const CodecFeed *)msg;
  g_strlcpy(copy.until, until, sizeof copy.until);
  peer_send_feed(c->peer, to->peer, to->id, &copy);
}

/* Whether a member before the `i`-th has the same region. */
static bool region_is_listed_before(const View *v, int i) {
  for (int k = 0; k < i; k++)
    if (strcmp(v->list[k].region, v->list[i].region) == 0) return true;
  return false;
}

/* Sends a message to one member of each other region, the home of `key` there,
   which forwards it within its region. */
static void send_to_other_regions(Cluster *c, uint64_t key, SendCopy send,
                                  const void *msg) {
  const Member *me = gossip_get_self(c->members);
  for (int i = 0; i < c->view->n; i++) {
    const char *region = c->view->list[i].region;
    if (strcmp(region, me->region) == 0 || region_is_listed_before(c->view, i))
      continue;
    const Member *m = view_home(c->view, region, key, 0);
    if (m) send(c, m, "", msg);
  }
}

/* A handover message (a request for a part of the target list, or the part) is
   for this instance only; any other is a reader's update and is forwarded. */
static void receive_feed(Cluster *c, const char *from, const CodecFeed *feed) {
  const char *reader = g_hash_table_lookup(c->ids, &feed->reader);
  bool is_handover =
      feed->kind == CODEC_FEED_PART_REQUEST || feed->kind == CODEC_FEED_PART;
  if (!is_handover) forward_copies(c, feed->until, send_feed, feed);
  if (!is_handover && reader)
    readers_note_report(c->readers, current_time(c), reader,
                        feed->store_result);
  c->ev.feed_received(c->ctx, from, feed);
}

/* == suspects: requests during which targets failed == */

/* Number of homes (instances that the request's digest selects) that count the
   marks of a request; a mark reports that a target ended during it. If one home
   is lost, the other still has its counts. */
#define SUSPECT_HOME_COUNT 2

static bool is_self(const Cluster *c, const Member *m) {
  return strcmp(m->id, gossip_get_self(c->members)->id) == 0;
}

static void send_mark_to_homes(Cluster *c, const SuspectsMsg *m) {
  const Member *homes[SUSPECT_HOME_COUNT];
  CodecSuspect packet = {.msg = *m};
  int n = view_homes(c->view, NULL, m->digest.lo, homes, SUSPECT_HOME_COUNT);
  for (int i = 0; i < n; i++) {
    if (is_self(c, homes[i]))
      c->ev.suspect_received(c->ctx, m);
    else
      peer_send_suspect(c->peer, homes[i]->peer, homes[i]->id, &packet);
  }
}

static void send_suspect(Cluster *c, const Member *to, const char *until,
                         const void *msg) {
  CodecSuspect copy = *(const CodecSuspect *)msg;
  g_strlcpy(copy.until, until, sizeof copy.until);
  peer_send_suspect(c->peer, to->peer, to->id, &copy);
}

static void receive_suspect(Cluster *c, const CodecSuspect *packet) {
  if (packet->msg.kind != SUSPECTS_MARK)
    forward_copies(c, packet->until, send_suspect, packet);
  c->ev.suspect_received(c->ctx, &packet->msg);
}

/* == origins: the versions that began streams == */

/* Homes of a stream in this region, to which its record is told; another one
   is in the next region, if there is one. */
#define ORIGIN_HOMES 2
/* Choices for a home that are asked in this region: some of them may have
   joined after the record was told. A small fleet asks all instances, the one
   that began the stream among them. */
#define ORIGIN_ASKED 4

static void send_origin(Cluster *c, const Member *to, const OriginsMsg *m) {
  peer_send_origin(c->peer, to->peer, to->id, m);
}

/* Sends `m` to the first `max` choices for the homes of its key in a region,
   this instance excepted. Returns to how many. */
static int send_origin_to_homes(Cluster *c, const char *region,
                                const OriginsMsg *m, int max) {
  const Member *homes[ORIGIN_ASKED + 1];
  int n = view_homes(c->view, region, m->key, homes, max + 1), sent = 0;
  for (int i = 0; i < n && sent < max; i++) {
    if (is_self(c, homes[i])) continue;
    send_origin(c, homes[i], m);
    sent++;
  }
  return sent;
}

/* Returns the region after this one in the order of names, the first after the
   last; NULL: there is only one. */
static const char *next_region(const Cluster *c) {
  const char *own = gossip_get_self(c->members)->region;
  const char *first = NULL, *next = NULL;
  for (int i = 0; i < c->view->n; i++) {
    const char *r = c->view->list[i].region;
    if (!first || strcmp(r, first) < 0) first = r;
    if (strcmp(r, own) > 0 && (!next || strcmp(r, next) < 0)) next = r;
  }
  if (next) return next;
  return first && strcmp(first, own) != 0 ? first : NULL;
}

void cluster_share_origin(Cluster *c, const OriginsMsg *record) {
  const char *other = next_region(c);
  send_origin_to_homes(c, gossip_get_self(c->members)->region, record,
                       other ? ORIGIN_HOMES - 1 : ORIGIN_HOMES);
  if (other) send_origin_to_homes(c, other, record, 1);
}

static int query_all(Cluster *c, const OriginsMsg *query) {
  int n = 0;
  for (int i = 0; i < c->view->n; i++) {
    if (is_self(c, &c->view->list[i])) continue;
    send_origin(c, &c->view->list[i], query);
    n++;
  }
  return n;
}

int cluster_query_origin(Cluster *c, const OriginsMsg *query) {
  const char *own = gossip_get_self(c->members)->region;
  if (!cluster_is_large(c)) return query_all(c, query);
  int n = send_origin_to_homes(c, own, query, ORIGIN_ASKED);
  for (int i = 0; i < c->view->n; i++) {
    const char *region = c->view->list[i].region;
    if (strcmp(region, own) == 0 || region_is_listed_before(c->view, i))
      continue;
    n += send_origin_to_homes(c, region, query, 1);
  }
  return n;
}

void cluster_answer_origin(Cluster *c, const char *to, const OriginsMsg *m) {
  const Member *asker = view_find(c->view, to);
  if (asker) send_origin(c, asker, m);
}

/* == limits of targets == */

static void send_limit(Cluster *c, const Member *to, const char *until,
                       const void *msg) {
  CodecLimit copy = *(const CodecLimit *)msg;
  g_strlcpy(copy.until, until, sizeof copy.until);
  peer_send_limit(c->peer, to->peer, to->id, &copy);
}

static void receive_limit(Cluster *c, const CodecLimit *packet) {
  forward_copies(c, packet->until, send_limit, packet);
  c->ev.limit_received(c->ctx, &packet->msg);
}

/* Sends the next limit that is due, if any, to all instances. */
static void broadcast_next_limit(Cluster *c, double now) {
  CodecLimit packet = {.to_all = true};
  if (now < c->next_limit_at) return;
  if (!tallies_next_limit(c->tallies, now, LIMIT_RESEND_INTERVAL_S,
                          &packet.msg))
    return;
  c->next_limit_at = now + c->view->n * LIMIT_INTERVAL_PER_INSTANCE_S;
  send_to_other_regions(c, packet.msg.target, send_limit, &packet);
  receive_limit(c, &packet);
}

/* == shares of customers == */

static void send_demand(void *ctx, const Member *to,
                        const AllocationDemand *m) {
  Cluster *c = ctx;
  peer_send_demand(c->peer, to->peer, to->id, m);
}

static void send_allocation(void *ctx, const Member *to,
                            const AllocationAnswer *m) {
  Cluster *c = ctx;
  peer_send_allocation(c->peer, to->peer, to->id, m);
}

static bool get_pool_state(void *ctx, uint64_t service, TallyPoolState *out) {
  Cluster *c = ctx;
  return tallies_pool_state(c->tallies, current_time(c), service, out);
}

static const char *get_customer_name(void *ctx, uint64_t customer) {
  Cluster *c = ctx;
  return c->ev.customer_name(c->ctx, customer);
}

static const AllocationsEvents allocations_events = {
    send_demand, send_allocation, get_pool_state, get_customer_name};

/* == events == */

/* Messages other than those of the membership are dropped if the sender is not
   in the view. */
static void on_message(void *ctx, uint64_t from, CodecMsg *m) {
  Cluster *c = ctx;
  if (m->type == CODEC_MEMBER_UPDATE || m->type == CODEC_GOSSIP) {
    if (m->type == CODEC_MEMBER_UPDATE)
      gossip_receive_update(c->members, current_time(c), from,
                            &m->member_update);
    else
      gossip_receive(c->members, current_time(c), from, &m->gossip);
    run_member_actions(c);
    return;
  }
  const char *id = g_hash_table_lookup(c->ids, &from);
  if (!id) {
    count_add(COUNT_PEER_DROPPED, 1);
    return;
  }
  if (m->type == CODEC_CONFIG) {
    receive_conf(c, id, &m->config);
  } else if (m->type == CODEC_WORK) {
    c->ev.work_reported(c->ctx, from, &m->work);
  } else if (m->type == CODEC_PARTS) {
    c->ev.parts_reported(c->ctx, &m->parts);
  } else if (m->type == CODEC_POOL) {
    c->ev.pool_reported(c->ctx, from, &m->pool);
  } else if (m->type == CODEC_FEED) {
    receive_feed(c, id, &m->feed);
  } else if (m->type == CODEC_SUSPECT || m->type == CODEC_SUSPECT_PART) {
    receive_suspect(c, &m->suspect);
  } else if (m->type == CODEC_ORIGIN) {
    c->ev.origin_received(c->ctx, id, &m->origin);
  } else if (m->type == CODEC_LIMIT && m->limit.to_all) {
    receive_limit(c, &m->limit);
  } else if (tallies_receive(c->tallies, current_time(c),
                             view_find(c->view, id), m)) {
    return;
  } else if (m->type == CODEC_DEMAND) {
    allocations_receive_demand(c->allocations, current_time(c),
                               view_find(c->view, id), m->demand);
  } else if (m->type == CODEC_ALLOCATION) {
    allocations_receive_answer(c->allocations, current_time(c), m->allocation);
  } else if (m->type == CODEC_LEDGER || m->type == CODEC_RESERVE) {
    ledger_receive(c->ledger, current_time(c), id, &m->ledger);
    run_ledger_actions(c);
  }
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  peer_receive(c->peer, on_message, c);
}

/* Runs before the loop sleeps, so that the messages of one iteration are sent
   together. Sending may also read incoming messages, after which the descriptor
   does not become readable for them again; so they are handled here. */
static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  if (!peer_flush(c->peer)) return;
  peer_receive(c->peer, on_message, c);
  peer_flush(c->peer);
}

/* Logs how many messages were dropped because a link was full or missing. */
static void log_dropped(Cluster *c, double now) {
  int64_t n = count_get(COUNT_PEER_DROPPED);
  if (n == c->logged_drops || now - c->drops_logged_at < DROP_LOG_INTERVAL_S)
    return;
  log_info("peer-dropped", "s:I", "messages",
           (json_int_t)(n - c->logged_drops));
  c->logged_drops = n;
  c->drops_logged_at = now;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  double now = current_time(c);
  gossip_update_self(c->members, c->leaving, c->conf_version);
  gossip_tick(c->members, now);
  run_member_actions(c);
  refresh_view(c);
  check_discovery(c);
  request_newer_conf(c);
  log_dropped(c, now);
  broadcast_next_limit(c, now);
  allocations_tick(c->allocations, now);
  if (now - c->swept_at >= SWEEP_INTERVAL_S) {
    c->swept_at = now;
    tallies_remove_expired(c->tallies, now);
  }
  ledger_note_store_era(c->ledger, now, store_era(c->store));
  ledger_note_clock(c->ledger, now, clock_unix_ms());
  ledger_tick(c->ledger, now, (int64_t)time(NULL));
  run_ledger_actions(c);
}

/* == open and close == */

/* Adds the seeds, the addresses through which this instance discovers others.
   Only their IPs are used: all instances listen on the same peer port. */
static void read_seeds(Cluster *c, const char *seeds) {
  const char *port = strrchr(gossip_get_self(c->members)->peer, ':');
  char **list = g_strsplit(seeds, ",", -1);
  for (int i = 0; list[i]; i++) {
    char peer[LIMIT_NAME_BYTES];
    char *ip = g_strstrip(list[i]);
    ip[strcspn(ip, ":")] = '\0';
    if (!ip[0]) continue;
    g_snprintf(peer, sizeof peer, "tcp://%s%s", ip, port);
    gossip_add_seed(c->members, current_time(c), peer);
    c->n_seeds++;
  }
  g_strfreev(list);
}

static void start_watchers(Cluster *c) {
  ev_io_init(&c->readable, on_readable, peer_fd(c->peer), EV_READ);
  ev_prepare_init(&c->flush, on_flush);
  ev_timer_init(&c->tick, on_tick, 0, TICK_INTERVAL_S);
  c->readable.data = c->flush.data = c->tick.data = c;
  ev_io_start(c->loop, &c->readable);
  ev_prepare_start(c->loop, &c->flush);
  ev_timer_start(c->loop, &c->tick);
}

Cluster *cluster_open(struct ev_loop *loop, Store *store,
                      const ClusterOptions *o, const ClusterEvents *ev,
                      void *ctx, Err *e) {
  Peer *peer = peer_open(o->bind, o->self.id, e);
  if (!peer) return NULL;
  Cluster *c = g_new0(Cluster, 1);
  c->loop = loop;
  c->store = store;
  c->ev = *ev;
  c->ctx = ctx;
  c->peer = peer;
  c->started_at = loopclock_now(loop);
  peer_use_on_demand_links(peer);
  c->members = gossip_new(&o->self, o->seed);
  TalliesEvents tallies = {ev->tally_received, ev->permit_answered,
                           ev->rate_received, ev->find_target};
  c->tallies = tallies_new(peer, o->self.id, o->regions, &tallies, ctx);
  c->allocations = allocations_new(o->self.id, &allocations_events, c);
  c->readers = readers_new(o->self.id, o->self.region);
  c->view = view_new(NULL, 0);
  c->ledger = ledger_new(o->self.id, o->self.region, o->seed);
  c->ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  read_seeds(c, o->seeds);
  start_watchers(c);
  return c;
}

void cluster_close(Cluster *c) {
  ev_io_stop(c->loop, &c->readable);
  ev_prepare_stop(c->loop, &c->flush);
  ev_timer_stop(c->loop, &c->tick);
  peer_close(c->peer);
  ledger_free(c->ledger);
  gossip_free(c->members);
  readers_free(c->readers);
  tallies_free(c->tallies);
  allocations_free(c->allocations);
  spread_free(c->spread);
  view_free(c->view);
  g_hash_table_destroy(c->ids);
  packed_free(&c->conf_text);
  g_free(c);
}

/* == calls of the instance == */

void cluster_set_conf_version(Cluster *c, uint64_t version) {
  c->conf_version = version;
  c->conf_stale_since = current_time(c);
}

ReadersDuty cluster_reader_duty(Cluster *c) {
  static const char *const names[] = {"nothing", "own", "all"};
  ReadersDuty duty = readers_duty(c->readers, current_time(c));
  if (duty != c->duty)
    log_info("reads", "s:s,s:i", "duty", names[duty], "members", c->view->n);
  c->duty = duty;
  return duty;
}

void cluster_note_store_outcome(Cluster *c, ReadersStoreResult outcome) {
  readers_note_own_call(c->readers, current_time(c), outcome);
}

bool cluster_may_probe_store(Cluster *c) {
  return readers_probe_is_due(c->readers, current_time(c));
}

bool cluster_may_query_store(Cluster *c) {
  return readers_request_is_due(c->readers, current_time(c));
}

/* Finds the next other instance of this region from index *i on, or NULL. */
static const Member *next_in_region(const Cluster *c, int *i) {
  const Member *me = gossip_get_self(c->members);
  while (*i < c->view->n) {
    const Member *m = &c->view->list[(*i)++];
    bool in_region = strcmp(m->region, me->region) == 0;
    if (in_region && strcmp(m->id, me->id) != 0) return m;
  }
  return NULL;
}

void cluster_broadcast_feed(Cluster *c, const CodecFeed *feed) {
  CodecFeed ours = *feed;
  ours.reader = text_hash(gossip_get_self(c->members)->id);
  ours.until[0] = '\0';
  forward_copies(c, ours.until, send_feed, &ours);
}

void cluster_send_feed(Cluster *c, const char *id, const CodecFeed *feed) {
  const Member *m = view_find(c->view, id);
  CodecFeed copy = *feed;
  if (!m) return;
  spread_empty_range_end(m, copy.until);
  peer_send_feed(c->peer, m->peer, m->id, &copy);
}

void cluster_broadcast_work(Cluster *c, const TargetWork *work) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_in_region(c, &i));)
    peer_send_work(c->peer, m->peer, m->id, work);
}

void cluster_broadcast_parts(Cluster *c, const TargetParts *parts) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_in_region(c, &i));)
    peer_send_parts(c->peer, m->peer, m->id, parts);
}

bool cluster_is_whole(const Cluster *c, double memory_s) {
  double lost_at = gossip_lost_at(c->members);
  bool lost_any = lost_at > 0 && current_time(c) - lost_at < memory_s;
  return !lost_any && c->view->n >= c->n_seeds;
}

bool cluster_is_large(const Cluster *c) {
  return c->view->n >= FLEET_SMALL_INSTANCES;
}

void cluster_request_tally(Cluster *c, const TallyQuery *a) {
  tallies_request_tally(c->tallies, current_time(c), a);
}

bool cluster_pool_state(Cluster *c, uint64_t pool, TallyPoolState *out) {
  return tallies_pool_state(c->tallies, current_time(c), pool, out);
}

void cluster_report_run(Cluster *c, const TallyRun *r) {
  tallies_report_run(c->tallies, current_time(c), r);
}

void cluster_request_permit(Cluster *c, const TallyPermitRequest *a) {
  tallies_request_permit(c->tallies, current_time(c), a);
}

void cluster_report_limit(Cluster *c, const TallyLimit *m) {
  tallies_report_limit(c->tallies, current_time(c), m);
}

void cluster_note_pause(Cluster *c) {
  tallies_note_pause(c->tallies, current_time(c));
  allocations_note_pause(c->allocations, current_time(c));
}

void cluster_set_shared_services(Cluster *c, const AllocationsService *list,
                                 int n) {
  allocations_set_services(c->allocations, list, n);
}

void cluster_note_decision(Cluster *c, const AllocationsDecision *d) {
  allocations_note_decision(c->allocations, current_time(c), d);
}

void cluster_admission_cutoff(Cluster *c, uint64_t service, uint64_t customer,
                              AdmissionCutoff *out) {
  allocations_cutoff(c->allocations, current_time(c), service, customer, out);
}

void cluster_send_suspect(Cluster *c, const SuspectsMsg *m) {
  CodecSuspect packet = {.msg = *m};
  if (m->kind == SUSPECTS_MARK) {
    send_mark_to_homes(c, m);
    return;
  }
  forward_copies(c, "", send_suspect, &packet);
  send_to_other_regions(c, m->digest.lo, send_suspect, &packet);
}

void cluster_broadcast_pool(Cluster *c, const TargetsPoolReport *report) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_in_region(c, &i));)
    peer_send_pool(c->peer, m->peer, m->id, report);
}

void cluster_set_store_unavailable(Cluster *c, bool unavailable) {
  ledger_set_store_down(c->ledger, current_time(c), unavailable);
  run_ledger_actions(c);
}

void cluster_set_budgets(Cluster *c, const LedgerBudget *list, int n) {
  ledger_set_budgets(c->ledger, current_time(c), list, n);
  run_ledger_actions(c);
}

uint64_t cluster_reserve(Cluster *c, const char *budget, int64_t tokens,
                         int priority) {
  uint64_t handle = ++c->next_handle;
  ledger_reserve(c->ledger, current_time(c), handle, budget, tokens, priority);
  return handle;
}

ErrKind cluster_wait_cause(Cluster *c, uint64_t handle, int *retry_ms) {
  return ledger_wait_cause(c->ledger, current_time(c), handle, retry_ms);
}

int cluster_outage_left_ms(const Cluster *c) {
  return ledger_outage_left_ms(c->ledger, current_time(c));
}

void cluster_settle(Cluster *c, uint64_t handle, int64_t used) {
  ledger_settle(c->ledger, current_time(c), handle, used);
  run_ledger_actions(c);
}

void cluster_run_actions(Cluster *c) {
  run_ledger_actions(c);
}

void cluster_drain(Cluster *c) {
  c->leaving = true;
  gossip_update_self(c->members, true, c->conf_version);
  ledger_drain(c->ledger, current_time(c));
}

bool cluster_is_drained(const Cluster *c) {
  return ledger_is_drained(c->ledger);
}

bool cluster_is_ready(const Cluster *c) {
  return c->is_ready;
}

int cluster_ready_in_ms(const Cluster *c) {
  if (c->is_ready) return 0;
  double left_s = c->started_at + DISCOVERY_USUAL_S - current_time(c);
  return (int)(MAX(left_s, DISCOVERY_OVERTIME_S) * 1000);
}
