/* cluster.c: messages, time and the store's answers, fed to the cores. */
#include "fleet/cluster.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "kernel/count.h"
#include "kernel/log.h"
#include "peer/peer.h"
#include "platform/document.h"

#define BUDGET_KIND "budgets" /* of our own, in the platform's store */
#define TICK_S 0.05           /* the shortest time of the cores is 0.06 s */
#define SETTLE_QUIET_S 0.25   /* greetings are repeated after 0.2 s */
#define SETTLE_MOST_S 2.5     /* an instance may be the only one */
#define SETTLE_USUAL_S 1.2 /* 0.6 to 1.5 s after a loss of all, 7 instances */
#define SETTLE_SOON_S 0.3  /* and when that is over */
#define TELL_FIRST_S 0.1   /* a link is made in a few milliseconds */
#define TELL_AGAIN_S 0.5
#define TELL_TIMES 3
#define CONF_ASK_S 0.4 /* the store is given this long to bring it */

struct Cluster {
  struct ev_loop *loop;
  Store *store;
  ClusterEvents ev;
  void *ctx;
  MemberSet *members;
  Readers *readers;
  View *view;
  Ledger *ledger;
  Peer *peer;
  ev_io readable;
  ev_prepare flush;
  ev_timer tick;
  GHashTable *ids;   /* hash of an id -> the id */
  GArray *newcomers; /* Newcomer, whom we as a seed tell of the others */
  uint64_t next_handle;
  uint64_t conf;
  double conf_behind, conf_asked; /* since when; last question */
  double started, changed;        /* we; the view */
  bool settled;                   /* the view may be acted on */
  bool leaving;
  ReadersDuty duty; /* what we read in the store */
  bool is_seed;     /* others know us from their start */
};

static double now_of(const Cluster *c) {
  return ev_now(c->loop);
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
  Document d = {0};
  char *text = NULL;
  if (a->body && document_read(a->body, &d) && !call->put && d.content)
    text = json_dumps(d.content, JSON_COMPACT);
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_ABSENT)
    log_info("budget-call", "s:i,s:b,s:s", "shard", call->shard, "write",
             (int)call->put, "outcome", err_info(a->kind)->name);
  ledger_stored(c->ledger, now_of(c), call->shard, a->kind, d.revision, text);
  free(text);
  g_free(call);
  act(c);
}

static void call_store(Cluster *c, LedgerAction *a) {
  char name[16];
  ShardCall *call = g_new0(ShardCall, 1);
  call->cluster = c;
  call->shard = a->shard;
  call->put = a->what == LEDGER_DO_PUT;
  g_snprintf(name, sizeof name, "%03d", a->shard);
  if (call->put)
    store_put(c->store, BUDGET_KIND, name, a->version,
              json_loads(a->text, 0, NULL), on_stored, call);
  else
    store_get(c->store, BUDGET_KIND, name, on_stored, call);
  g_free(a->text);
}

static void act(Cluster *c) {
  LedgerAction a;
  while (ledger_next(c->ledger, &a)) {
    const Member *m;
    switch (a.what) {
    case LEDGER_DO_SEND:
      m = view_find(c->view, a.to);
      if (m) peer_ledger(c->peer, m->peer, m->id, &a.msg);
      break;
    case LEDGER_DO_GET:
    case LEDGER_DO_PUT: call_store(c, &a); break;
    case LEDGER_DO_ANSWER:
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

static void refresh_view(Cluster *c) {
  View *v = member_view(c->members, now_of(c));
  bool same = view_same(v, c->view);
  view_free(c->view);
  c->view = v;
  if (same) return;
  log_info("view", "s:i", "members", v->n);
  remember_ids(c);
  c->changed = now_of(c);
  c->ev.instances(c->ctx, v->n);
  if (!c->settled) return;
  ledger_view(c->ledger, now_of(c), v);
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
  ledger_view(c->ledger, now, c->view);
  act(c);
}

static void send_beats(Cluster *c) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(MemberBeat));
  member_beats(c->members, now_of(c), due);
  for (guint i = 0; i < due->len; i++) {
    const MemberBeat *b = &g_array_index(due, MemberBeat, i);
    Member me = *member_me(c->members);
    me.every_s = b->every_s;
    peer_beat(c->peer, b->to, &me);
    const Member *other = member_introduce(c->members, now_of(c), b->to);
    if (other) peer_beat(c->peer, b->to, other);
  }
  g_array_free(due, TRUE);
}

/* == the operators' configuration among instances == */

/* Somebody has had a newer one for a while: the store is out of our reach. */
static void ask_conf(Cluster *c) {
  double now = now_of(c);
  const Member *newest = NULL;
  for (int i = 0; i < c->view->n; i++) {
    const Member *m = &c->view->list[i];
    if (m->table > c->conf && (!newest || m->table > newest->table)) newest = m;
  }
  if (!newest) c->conf_behind = now;
  if (!newest || now - c->conf_behind < CONF_ASK_S) return;
  if (now - c->conf_asked < CONF_ASK_S) return;
  c->conf_asked = now;
  log_info("configuration-asked", "s:s,s:I,s:I", "of", newest->id, "theirs",
           (json_int_t)newest->table, "ours", (json_int_t)c->conf);
  peer_conf(c->peer, newest->peer, newest->id, c->conf, NULL);
}

static void take_conf(Cluster *c, const char *from, const CodecConf *m) {
  if (m->text) {
    if (m->version > c->conf) c->ev.conf(c->ctx, m->text);
    return;
  }
  const Member *asker = view_find(c->view, from);
  const char *text = c->ev.conf_text(c->ctx);
  if (asker && text && c->conf > m->version)
    peer_conf(c->peer, asker->peer, asker->id, c->conf, text);
}

/* == events == */

/* Whoever starts greets the seeds first; they tell it of everybody, so that
   after a start of all the views agree within a second. What is sent while the
   link is made is lost, so they tell it a little later, and once more. */
static void tell_all(Cluster *c, const Member *to) {
  for (int i = 0; i < c->view->n; i++) {
    const Member *m = &c->view->list[i];
    bool other = strcmp(m->id, to->id) != 0 &&
                 strcmp(m->id, member_me(c->members)->id) != 0;
    if (other) peer_beat(c->peer, to->peer, m);
  }
}

typedef struct Newcomer {
  char id[LIMIT_ID];
  double at; /* when it is told next */
  int times; /* to come */
} Newcomer;

static void add_newcomer(Cluster *c, const Member *m) {
  Newcomer n = {.at = now_of(c) + TELL_FIRST_S, .times = TELL_TIMES};
  g_strlcpy(n.id, m->id, sizeof n.id);
  g_array_append_val(c->newcomers, n);
  peer_beat(c->peer, m->peer, member_me(c->members)); /* makes the link */
}

static void tell_newcomers(Cluster *c) {
  double now = now_of(c);
  for (guint i = c->newcomers->len; i-- > 0;) {
    Newcomer *n = &g_array_index(c->newcomers, Newcomer, i);
    if (now < n->at) continue;
    const Member *m = view_find(c->view, n->id);
    if (m) tell_all(c, m);
    n->at = now + TELL_AGAIN_S;
    if (--n->times == 0 || !m) g_array_remove_index_fast(c->newcomers, i);
  }
}

static void take_beat(Cluster *c, uint64_t from, const Member *m) {
  if (text_hash(m->id) != from) {
    member_introduced(c->members, now_of(c), m);
    return;
  }
  bool fresh = view_find(c->view, m->id) == NULL;
  member_heard(c->members, now_of(c), m);
  if (fresh && c->is_seed) add_newcomer(c, m);
}

static void on_message(void *ctx, uint64_t from, CodecMsg *m) {
  Cluster *c = ctx;
  if (m->type == CODEC_BEAT) {
    take_beat(c, from, &m->beat);
    refresh_view(c);
    return;
  }
  const char *id = g_hash_table_lookup(c->ids, &from);
  if (!id) {
    count_add(COUNT_PEER_DROPPED, 1);
    return;
  }
  if (m->type == CODEC_CONF) {
    take_conf(c, id, &m->conf);
  } else if (m->type == CODEC_WORK) {
    c->ev.work(c->ctx, from, &m->work);
  } else if (m->type == CODEC_PARTS) {
    c->ev.parts(c->ctx, &m->parts);
  } else if (m->type == CODEC_POOL) {
    c->ev.pool(c->ctx, from, &m->pool);
  } else if (m->type == CODEC_FEED) {
    readers_heard(c->readers, now_of(c), id);
    c->ev.feed(c->ctx, &m->feed);
  } else if (m->type == CODEC_LEDGER) {
    ledger_receive(c->ledger, now_of(c), id, &m->ledger);
    act(c);
  }
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  peer_turn(c->peer, on_message, c);
}

/* Before the loop sleeps: messages of one turn leave together. Sending may
   take in what came, without the descriptor telling of it again. */
static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  if (!peer_flush(c->peer)) return;
  peer_turn(c->peer, on_message, c);
  peer_flush(c->peer);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  Cluster *c = w->data;
  double now = now_of(c);
  member_self(c->members, c->leaving, c->conf);
  member_tick(c->members, now);
  refresh_view(c);
  settle(c);
  tell_newcomers(c);
  send_beats(c);
  ask_conf(c);
  ledger_tick(c->ledger, now, (int64_t)time(NULL));
  act(c);
}

/* == open and close == */

/* Only the IP counts: all instances use the same port for each other. */
static void read_seeds(Cluster *c, const char *seeds) {
  const char *port = strrchr(member_me(c->members)->peer, ':');
  char **list = g_strsplit(seeds, ",", -1);
  GArray *all = g_array_new(FALSE, TRUE, sizeof(MemberSeed));
  for (int i = 0; list[i]; i++) {
    MemberSeed s = {0};
    char *ip = g_strstrip(list[i]);
    ip[strcspn(ip, ":")] = '\0';
    if (!ip[0]) continue;
    g_snprintf(s.name, sizeof s.name, "seed-%d", i);
    g_snprintf(s.peer, sizeof s.peer, "tcp://%s%s", ip, port);
    c->is_seed |= strcmp(s.peer, member_me(c->members)->peer) == 0;
    g_array_append_val(all, s);
  }
  member_listed(c->members, now_of(c), (MemberSeed *)(void *)all->data,
                (int)all->len);
  g_array_free(all, TRUE);
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
  c->started = ev_now(loop);
  c->members = member_new(&o->self);
  c->readers = readers_new(o->self.id, o->self.region);
  c->view = view_new(NULL, 0);
  c->ledger = ledger_new(o->self.id, o->self.region, o->seed);
  c->ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  c->newcomers = g_array_new(FALSE, FALSE, sizeof(Newcomer));
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
  member_free(c->members);
  readers_free(c->readers);
  view_free(c->view);
  g_hash_table_destroy(c->ids);
  g_array_free(c->newcomers, TRUE);
  g_free(c);
}

/* == calls == */

void cluster_conf(Cluster *c, uint64_t version) {
  c->conf = version;
  c->conf_behind = now_of(c);
}

ReadersDuty cluster_duty(Cluster *c) {
  static const char *const names[] = {"nothing", "own", "all"};
  ReadersDuty duty = readers_duty(c->readers, now_of(c), c->view);
  if (duty != c->duty)
    log_info("reads", "s:s,s:i", "duty", names[duty], "members", c->view->n);
  c->duty = duty;
  return duty;
}

/* The next other instance of our region from *i on; NULL: none. */
static const Member *next_near(const Cluster *c, int *i) {
  const Member *me = member_me(c->members);
  while (*i < c->view->n) {
    const Member *m = &c->view->list[(*i)++];
    bool near = strcmp(m->region, me->region) == 0;
    if (near && strcmp(m->id, me->id) != 0) return m;
  }
  return NULL;
}

void cluster_feed(Cluster *c, const CodecFeed *feed) {
  const Member *m;
  for (int i = 0; (m = next_near(c, &i));)
    peer_feed(c->peer, m->peer, m->id, feed);
}

void cluster_work(Cluster *c, const TargetWork *work) {
  const Member *m;
  if (c->view->n >= FLEET_SMALL) return;
  for (int i = 0; (m = next_near(c, &i));)
    peer_work(c->peer, m->peer, m->id, work);
}

void cluster_parts(Cluster *c, const TargetParts *parts) {
  const Member *m;
  if (c->view->n >= FLEET_SMALL) return;
  for (int i = 0; (m = next_near(c, &i));)
    peer_parts(c->peer, m->peer, m->id, parts);
}

void cluster_pool(Cluster *c, const TargetsPoolWord *word) {
  const Member *m;
  for (int i = 0; (m = next_near(c, &i));)
    peer_pool(c->peer, m->peer, m->id, word);
}

void cluster_budgets(Cluster *c, const LedgerBudget *list, int n) {
  ledger_budgets(c->ledger, now_of(c), list, n);
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
  member_self(c->members, true, c->conf);
  member_urgent(c->members);
  ledger_drain(c->ledger, now_of(c));
}

bool cluster_drained(const Cluster *c) {
  return ledger_drained(c->ledger);
}

bool cluster_settled(const Cluster *c) {
  return c->settled;
}

int cluster_settles_in(const Cluster *c) {
  if (c->settled) return 0;
  double left = c->started + SETTLE_USUAL_S - now_of(c);
  return (int)(MAX(left, SETTLE_SOON_S) * 1000);
}
