/* cluster.c: messages, time and the store's answers, fed to the cores. */
#include "fleet/cluster.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet/tallies.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "peer/peer.h"

#define BUDGET_KIND "budgets" /* of our own, in the platform's store */
#define TICK_S 0.05           /* the shortest time of the cores is 0.06 s */
#define SETTLE_QUIET_S 0.25   /* greetings are repeated after 0.2 s */
#define SETTLE_MOST_S 2.5     /* an instance may be the only one */
#define SETTLE_USUAL_S 1.2 /* 0.6 to 1.5 s after a loss of all, 7 instances */
#define SETTLE_SOON_S 0.3  /* and when that is over */
/* The view is taken over this often at most: while many start, it changes with
   each message, and homes are worked out anew for each. */
#define VIEW_EVERY_S 0.15
#define DROPPED_EVERY_S 1.0 /* between lines on what was not sent */
#define SWEEP_S 1.0         /* between looks for counts that ran out */
/* Who counts at a target tells all of its limit: of one target at a time, the
   more seldom the more instances hear of it, and of each again after a while
   for those who have just started. */
#define LIMIT_WORD_EACH_S 0.01 /* for each instance, between two words */
#define LIMIT_WORD_AGAIN_S 2.0
#define CONF_ASK_S 0.4 /* the store is given this long to bring it */

struct Cluster {
  struct ev_loop *loop;
  Store *store;
  ClusterEvents ev;
  void *ctx;
  Gossip *members;
  Readers *readers;
  View *view;
  Spread *spread; /* of `view` */
  Tallies *tallies;
  uint64_t viewed; /* version of the members that `view` shows */
  Ledger *ledger;
  Peer *peer;
  ev_io readable;
  ev_prepare flush;
  ev_timer tick;
  GHashTable *ids; /* hash of an id -> the id */
  uint64_t next_handle;
  uint64_t conf;
  Packed conf_text; /* of the version `packed`, as the others get it */
  uint64_t packed;
  double conf_behind, conf_asked; /* since when; last question */
  double started, changed;        /* we; the view */
  bool settled;                   /* the view may be acted on */
  bool leaving;
  ReadersDuty duty; /* what we read in the store */
  int64_t dropped;  /* messages that were not sent, when last logged */
  double dropped_at, swept;
  double limits_at; /* when the others are told of a limit next */
};

static double now_of(const Cluster *c) {
  return loopclock_now(c->loop);
}

/* == what the ledger wants == */

typedef struct ShardCall {
  Cluster *cluster;
  int shard;
  bool put;
} ShardCall;

static void act(Cluster *c);

static void on_stored(void *ctx, const StoreAnswer *a) {
  ShardCall *call = ctx;
  Cluster *c = call->cluster;
  StoreObject o = {0};
  char *text = NULL;
  if (store_parse_object(a, &o) && !call->put && o.content)
    text = json_dumps(o.content, JSON_COMPACT);
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_ABSENT)
    log_info("budget-call", "s:i,s:b,s:s", "shard", call->shard, "write",
             (int)call->put, "outcome", err_info(a->kind)->name);
  ledger_store_result(c->ledger, now_of(c), call->shard, a->kind, o.revision,
                      text);
  free(text);
  g_free(call);
  act(c);
}

static void call_store(Cluster *c, LedgerAction *a) {
  char name[16];
  ShardCall *call = g_new0(ShardCall, 1);
  call->cluster = c;
  call->shard = a->shard;
  call->put = a->action == LEDGER_ACTION_PUT;
  g_snprintf(name, sizeof name, "%03d", a->shard);
  if (call->put)
    store_put(c->store, CALLS_BUDGET, BUDGET_KIND, name, a->version,
              json_loads(a->text, 0, NULL), on_stored, call);
  else
    store_get(c->store, CALLS_BUDGET, BUDGET_KIND, name, on_stored, call);
  g_free(a->text);
}

static void act(Cluster *c) {
  LedgerAction a;
  while (ledger_next_action(c->ledger, &a)) {
    const Member *m;
    switch (a.action) {
    case LEDGER_ACTION_SEND:
      m = view_find(c->view, a.to);
      if (m) peer_send_ledger(c->peer, m->peer, m->id, &a.msg);
      break;
    case LEDGER_ACTION_GET:
    case LEDGER_ACTION_PUT: call_store(c, &a); break;
    case LEDGER_ACTION_ANSWER:
      c->ev.reserved(c->ctx, a.handle, a.cause, a.retry_ms);
      break;
    }
  }
}

/* == members == */

static void remember_ids(Cluster *c) {
  g_hash_table_remove_all(c->ids);
  for (int i = 0; i < c->view->n; i++) {
    uint64_t h = text_hash(c->view->list[i].id);
    g_hash_table_insert(c->ids, g_memdup2(&h, sizeof h),
                        g_strdup(c->view->list[i].id));
  }
}

static int rank_of_self(const Cluster *c) {
  const char *self = gossip_get_self(c->members)->id;
  int i = 0;
  while (i < c->view->n && strcmp(c->view->list[i].id, self) < 0) i++;
  return i;
}

static void refresh_view(Cluster *c) {
  double now = now_of(c);
  uint64_t version = gossip_version(c->members);
  bool first = c->viewed == 0;
  if (version == c->viewed || (!first && now - c->changed < VIEW_EVERY_S))
    return;
  spread_free(c->spread);
  view_free(c->view);
  c->view = gossip_view(c->members);
  c->spread = spread_new(c->view, gossip_get_self(c->members));
  c->viewed = version;
  c->changed = now;
  log_info("view", "s:i", "members", c->view->n);
  remember_ids(c);
  readers_update_view(c->readers, c->view);
  tallies_view(c->tallies, now, c->view);
  c->ev.instances(c->ctx, rank_of_self(c), c->view->n);
  if (!c->settled) return;
  ledger_set_view(c->ledger, now, c->view);
  act(c);
}

/* An instance that has just started sees itself alone, and would be the home
   of every budget: after a start of all they would race each other for the
   store (46 homes of one budget were seen). It waits until it knows others and
   nobody new came for a while. */
static void settle(Cluster *c) {
  double now = now_of(c);
  bool quiet = c->view->n > 1 && now - c->changed > SETTLE_QUIET_S;
  if (c->settled || !(quiet || now - c->started > SETTLE_MOST_S)) return;
  c->settled = true;
  log_info("settled", "s:i,s:f", "members", c->view->n, "after",
           now - c->started);
  ledger_set_view(c->ledger, now, c->view);
  act(c);
}

/* Sends what the core of members wants to be sent. */
static void act_members(Cluster *c) {
  GossipAction a;
  while (gossip_take_action(c->members, &a)) {
    if (a.is_update)
      peer_send_member_update(c->peer, a.to, a.id, &a.update);
    else
      peer_send_gossip(c->peer, a.to, a.id, &a.msg);
  }
}

/* == the operators' configuration among instances == */

/* Somebody has had a newer one for a while: the store is out of our reach. */
static void ask_conf(Cluster *c) {
  double now = now_of(c);
  const Member *newer = gossip_find_newer_table(c->members, c->conf);
  if (!newer) c->conf_behind = now;
  if (!newer || now - c->conf_behind < CONF_ASK_S) return;
  if (now - c->conf_asked < CONF_ASK_S) return;
  c->conf_asked = now;
  log_info("configuration-asked", "s:s,s:I,s:I", "of", newer->id, "theirs",
           (json_int_t)newer->table, "ours", (json_int_t)c->conf);
  peer_send_config(c->peer, newer->peer, newer->id, c->conf, &(Packed){0});
}

/* After a restart of many each of them may ask: the work is done once. */
static const Packed *pack_conf(Cluster *c) {
  if (c->packed == c->conf) return &c->conf_text;
  packed_free(&c->conf_text);
  c->conf_text = packed_new(c->ev.conf_text(c->ctx));
  c->packed = c->conf;
  return &c->conf_text;
}

static void unpack_conf(Cluster *c, const char *from, const CodecConfig *m) {
  char *text = packed_text(&m->text);
  if (text)
    c->ev.conf(c->ctx, text);
  else
    log_warn("configuration-damaged", "s:s,s:I", "of", from, "version",
             (json_int_t)m->version);
  g_free(text);
}

static void take_conf(Cluster *c, const char *from, const CodecConfig *m) {
  if (m->text.text_bytes > 0) {
    if (m->version > c->conf) unpack_conf(c, from, m);
    return;
  }
  const Member *asker = view_find(c->view, from);
  if (asker && c->conf > m->version)
    peer_send_config(c->peer, asker->peer, asker->id, c->conf, pack_conf(c));
}

/* == what readers of the store tell == */

/* Sends one copy of a message; `until`: of the receiver's part. */
typedef void (*SendCopy)(Cluster *c, const Member *to, const char *until,
                         const void *msg);

/* Hands it on to those of our region whom we are to care for. */
static void hand_on(Cluster *c, const char *until, SendCopy send,
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

/* Whether a member before the `i`-th is of its region. */
static bool region_is_known(const View *v, int i) {
  for (int k = 0; k < i; k++)
    if (strcmp(v->list[k].region, v->list[i].region) == 0) return true;
  return false;
}

/* One member of each other region tells the others there; `name` chooses. */
static void tell_regions(Cluster *c, uint64_t name, SendCopy send,
                         const void *msg) {
  const Member *me = gossip_get_self(c->members);
  for (int i = 0; i < c->view->n; i++) {
    const char *region = c->view->list[i].region;
    if (strcmp(region, me->region) == 0 || region_is_known(c->view, i))
      continue;
    const Member *m = view_home(c->view, region, name, 0);
    if (m) send(c, m, "", msg);
  }
}

static void take_feed(Cluster *c, const char *from, const CodecFeed *feed) {
  const char *reader = g_hash_table_lookup(c->ids, &feed->reader);
  bool to_us =
      feed->kind == CODEC_FEED_PART_REQUEST || feed->kind == CODEC_FEED_PART;
  if (!to_us) hand_on(c, feed->until, send_feed, feed);
  if (!to_us && reader)
    readers_note_report(c->readers, now_of(c), reader, feed->store_result);
  c->ev.feed(c->ctx, from, feed);
}

/* == requests under which targets ended == */

#define SUSPECT_HOMES 2 /* that count its marks: one may be lost with them */

static bool is_self(const Cluster *c, const Member *m) {
  return strcmp(m->id, gossip_get_self(c->members)->id) == 0;
}

static void tell_homes(Cluster *c, const SuspectsMsg *m) {
  const Member *homes[SUSPECT_HOMES];
  CodecSuspect word = {.msg = *m};
  int n = view_homes(c->view, NULL, m->digest.lo, homes, SUSPECT_HOMES);
  for (int i = 0; i < n; i++) {
    if (is_self(c, homes[i]))
      c->ev.suspect(c->ctx, m);
    else
      peer_send_suspect(c->peer, homes[i]->peer, homes[i]->id, &word);
  }
}

static void send_suspect(Cluster *c, const Member *to, const char *until,
                         const void *msg) {
  CodecSuspect copy = *(const CodecSuspect *)msg;
  g_strlcpy(copy.until, until, sizeof copy.until);
  peer_send_suspect(c->peer, to->peer, to->id, &copy);
}

static void take_suspect(Cluster *c, const CodecSuspect *word) {
  if (word->msg.kind != SUSPECTS_MARK)
    hand_on(c, word->until, send_suspect, word);
  c->ev.suspect(c->ctx, &word->msg);
}

/* == what targets take == */

static void send_limit(Cluster *c, const Member *to, const char *until,
                       const void *msg) {
  CodecLimit copy = *(const CodecLimit *)msg;
  g_strlcpy(copy.until, until, sizeof copy.until);
  peer_send_limit(c->peer, to->peer, to->id, &copy);
}

static void take_limit(Cluster *c, const CodecLimit *word) {
  hand_on(c, word->until, send_limit, word);
  c->ev.limit(c->ctx, &word->msg);
}

static void tell_limits(Cluster *c, double now) {
  CodecLimit word = {.to_all = true};
  if (now < c->limits_at) return;
  if (!tallies_limit_news(c->tallies, now, LIMIT_WORD_AGAIN_S, &word.msg))
    return;
  c->limits_at = now + c->view->n * LIMIT_WORD_EACH_S;
  tell_regions(c, word.msg.target, send_limit, &word);
  take_limit(c, &word);
}

/* == events == */

static void on_message(void *ctx, uint64_t from, CodecMsg *m) {
  Cluster *c = ctx;
  if (m->type == CODEC_MEMBER_UPDATE || m->type == CODEC_GOSSIP) {
    if (m->type == CODEC_MEMBER_UPDATE)
      gossip_receive_update(c->members, now_of(c), from, &m->member_update);
    else
      gossip_receive(c->members, now_of(c), from, &m->gossip);
    act_members(c);
    return;
  }
  const char *id = g_hash_table_lookup(c->ids, &from);
  if (!id) {
    count_add(COUNT_PEER_DROPPED, 1);
    return;
  }
  if (m->type == CODEC_CONFIG) {
    take_conf(c, id, &m->config);
  } else if (m->type == CODEC_WORK) {
    c->ev.work(c->ctx, from, &m->work);
  } else if (m->type == CODEC_PARTS) {
    c->ev.parts(c->ctx, &m->parts);
  } else if (m->type == CODEC_POOL) {
    c->ev.pool(c->ctx, from, &m->pool);
  } else if (m->type == CODEC_FEED) {
    take_feed(c, id, &m->feed);
  } else if (m->type == CODEC_SUSPECT) {
    take_suspect(c, &m->suspect);
  } else if (m->type == CODEC_LIMIT && m->limit.to_all) {
    take_limit(c, &m->limit);
  } else if (tallies_take(c->tallies, now_of(c), view_find(c->view, id), m)) {
    return;
  } else if (m->type == CODEC_LEDGER) {
    ledger_receive(c->ledger, now_of(c), id, &m->ledger);
    act(c);
  }
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  peer_receive(c->peer, on_message, c);
}

/* Before the loop sleeps: messages of one turn leave together. Sending may
   take in what came, without the descriptor telling of it again. */
static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  if (!peer_flush(c->peer)) return;
  peer_receive(c->peer, on_message, c);
  peer_flush(c->peer);
}

/* Messages that found no room on their link, or no link. */
static void log_dropped(Cluster *c, double now) {
  int64_t n = count_get(COUNT_PEER_DROPPED);
  if (n == c->dropped || now - c->dropped_at < DROPPED_EVERY_S) return;
  log_info("peer-dropped", "s:I", "messages", (json_int_t)(n - c->dropped));
  c->dropped = n;
  c->dropped_at = now;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  double now = now_of(c);
  gossip_update_self(c->members, c->leaving, c->conf);
  gossip_tick(c->members, now);
  act_members(c);
  refresh_view(c);
  settle(c);
  ask_conf(c);
  log_dropped(c, now);
  tell_limits(c, now);
  if (now - c->swept >= SWEEP_S) {
    c->swept = now;
    tallies_sweep(c->tallies, now);
  }
  ledger_tick(c->ledger, now, (int64_t)time(NULL));
  act(c);
}

/* == open and close == */

/* Only the IP counts: all instances use the same port for each other. */
static void read_seeds(Cluster *c, const char *seeds) {
  const char *port = strrchr(gossip_get_self(c->members)->peer, ':');
  char **list = g_strsplit(seeds, ",", -1);
  for (int i = 0; list[i]; i++) {
    char peer[LIMIT_NAME_BYTES];
    char *ip = g_strstrip(list[i]);
    ip[strcspn(ip, ":")] = '\0';
    if (!ip[0]) continue;
    g_snprintf(peer, sizeof peer, "tcp://%s%s", ip, port);
    gossip_add_seed(c->members, now_of(c), peer);
  }
  g_strfreev(list);
}

static void start_watchers(Cluster *c) {
  ev_io_init(&c->readable, on_readable, peer_fd(c->peer), EV_READ);
  ev_prepare_init(&c->flush, on_flush);
  ev_timer_init(&c->tick, on_tick, 0, TICK_S);
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
  c->started = loopclock_now(loop);
  peer_use_on_demand_links(peer);
  c->members = gossip_new(&o->self, o->seed);
  TalliesEvents tallies = {ev->tally, ev->permit};
  c->tallies = tallies_new(peer, o->self.id, o->regions, &tallies, ctx);
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
  spread_free(c->spread);
  view_free(c->view);
  g_hash_table_destroy(c->ids);
  packed_free(&c->conf_text);
  g_free(c);
}

/* == calls == */

void cluster_conf(Cluster *c, uint64_t version) {
  c->conf = version;
  c->conf_behind = now_of(c);
}

ReadersDuty cluster_duty(Cluster *c) {
  static const char *const names[] = {"nothing", "own", "all"};
  ReadersDuty duty = readers_duty(c->readers, now_of(c));
  if (duty != c->duty)
    log_info("reads", "s:s,s:i", "duty", names[duty], "members", c->view->n);
  c->duty = duty;
  return duty;
}

void cluster_met(Cluster *c, ReadersStoreResult word) {
  readers_note_own_call(c->readers, now_of(c), word);
}

bool cluster_knocks(Cluster *c) {
  return readers_probe_is_due(c->readers, now_of(c));
}

bool cluster_asks(Cluster *c) {
  return readers_request_is_due(c->readers, now_of(c));
}

/* The next other instance of our region from *i on; NULL: none. */
static const Member *next_near(const Cluster *c, int *i) {
  const Member *me = gossip_get_self(c->members);
  while (*i < c->view->n) {
    const Member *m = &c->view->list[(*i)++];
    bool near = strcmp(m->region, me->region) == 0;
    if (near && strcmp(m->id, me->id) != 0) return m;
  }
  return NULL;
}

void cluster_feed(Cluster *c, const CodecFeed *feed) {
  CodecFeed ours = *feed;
  ours.reader = text_hash(gossip_get_self(c->members)->id);
  ours.until[0] = '\0';
  hand_on(c, ours.until, send_feed, &ours);
}

void cluster_feed_to(Cluster *c, const char *id, const CodecFeed *feed) {
  const Member *m = view_find(c->view, id);
  CodecFeed copy = *feed;
  if (!m) return;
  spread_empty_range_end(m, copy.until);
  peer_send_feed(c->peer, m->peer, m->id, &copy);
}

void cluster_work(Cluster *c, const TargetWork *work) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_near(c, &i));)
    peer_send_work(c->peer, m->peer, m->id, work);
}

void cluster_parts(Cluster *c, const TargetParts *parts) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_near(c, &i));)
    peer_send_parts(c->peer, m->peer, m->id, parts);
}

bool cluster_is_large(const Cluster *c) {
  return c->view->n >= FLEET_SMALL_INSTANCES;
}

void cluster_tally_ask(Cluster *c, const TallyQuery *a) {
  tallies_ask(c->tallies, now_of(c), a);
}

void cluster_tally_tell(Cluster *c, const TallyRun *r) {
  tallies_tell(c->tallies, now_of(c), r);
}

void cluster_permit_ask(Cluster *c, const TallyPermitRequest *a) {
  tallies_ask_permit(c->tallies, now_of(c), a);
}

void cluster_limit(Cluster *c, const TallyLimit *m) {
  tallies_limit(c->tallies, now_of(c), m);
}

void cluster_stood_still(Cluster *c) {
  tallies_stood_still(c->tallies, now_of(c));
}

void cluster_suspect(Cluster *c, const SuspectsMsg *m) {
  CodecSuspect word = {.msg = *m};
  if (m->kind == SUSPECTS_MARK) {
    tell_homes(c, m);
    return;
  }
  hand_on(c, "", send_suspect, &word);
  tell_regions(c, m->digest.lo, send_suspect, &word);
}

void cluster_pool(Cluster *c, const TargetsPoolReport *word) {
  const Member *m;
  if (cluster_is_large(c)) return;
  for (int i = 0; (m = next_near(c, &i));)
    peer_send_pool(c->peer, m->peer, m->id, word);
}

void cluster_away(Cluster *c, bool away) {
  ledger_set_store_down(c->ledger, now_of(c), away);
  act(c);
}

void cluster_budgets(Cluster *c, const LedgerBudget *list, int n) {
  ledger_set_budgets(c->ledger, now_of(c), list, n);
  act(c);
}

uint64_t cluster_reserve(Cluster *c, const char *budget, int64_t tokens) {
  uint64_t handle = ++c->next_handle;
  ledger_reserve(c->ledger, now_of(c), handle, budget, tokens);
  return handle;
}

void cluster_settle(Cluster *c, uint64_t handle, int64_t used) {
  ledger_settle(c->ledger, now_of(c), handle, used);
  act(c);
}

void cluster_act(Cluster *c) {
  act(c);
}

void cluster_drain(Cluster *c) {
  c->leaving = true;
  gossip_update_self(c->members, true, c->conf);
  ledger_drain(c->ledger, now_of(c));
}

bool cluster_drained(const Cluster *c) {
  return ledger_is_drained(c->ledger);
}

bool cluster_settled(const Cluster *c) {
  return c->settled;
}

int cluster_settles_in(const Cluster *c) {
  if (c->settled) return 0;
  double left = c->started + SETTLE_USUAL_S - now_of(c);
  return (int)(MAX(left, SETTLE_SOON_S) * 1000);
}
