/* peer.c: one PULL socket bound, one PUSH socket for each address. */
#include "peer/peer.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "kernel/clock.h"
#include "kernel/count.h"

#define HIGH_WATER 1000 /* frames waiting for an address; more are dropped */
/* An opening packet to a machine without power is lost silently, and the next
   comes a second later; instances are 4 ms apart, so a new try is sooner. */
#define CONNECT_MS 200
#define RECONNECT_MS 50
#define RECONNECT_MOST_MS 400
/* What is not acknowledged for so long ends a connection: the other machine
   lost its power, or is cut off. */
#define SILENT_MS 1500
/* What a link on demand may hold while the other side does not take it: some
   turns of a busy instance, and one configuration. More is dropped and counted:
   all that is said is said again, or read in the store. */
#define DEMAND_HIGH_WATER 64     /* frames */
#define DEMAND_BYTES (256 << 10) /* in DEMAND_WINDOW_S */
#define DEMAND_WINDOW_S 1.5      /* SILENT_MS ends what is not taken */
#define SWEEP_S 1.0              /* between looks for idle links */

typedef struct Frame {
  char addr[LIMIT_NAME_BYTES];
  uint64_t to;
  uint64_t key; /* of the receiver */
  msgpack_sbuffer buf;
} Frame;

typedef struct PeerLink {
  void *socket;
  double used, window; /* last use; when its bytes began to be counted */
  size_t bytes;
} PeerLink;

struct Peer {
  void *ctx, *pull;
  uint64_t self;
  int wake;
  bool on_demand;
  double swept;
  GHashTable *push; /* addr -> PeerLink */
  pthread_mutex_t lock;
  GPtrArray *frames;    /* Frame*, one for each receiver, under the lock */
  GHashTable *frame_of; /* key of a receiver -> its Frame */
};

static void frame_free(gpointer p) {
  Frame *f = p;
  msgpack_sbuffer_destroy(&f->buf);
  g_free(f);
}

static void link_free(gpointer p) {
  PeerLink *l = p;
  zmq_close(l->socket);
  g_free(l);
}

Peer *peer_open(const char *addr, const char *self, Err *e) {
  Peer *p = g_new0(Peer, 1);
  p->ctx = zmq_ctx_new();
  p->pull = zmq_socket(p->ctx, ZMQ_PULL);
  p->self = text_hash(self);
  p->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  p->push = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, link_free);
  p->frames = g_ptr_array_new_with_free_func(frame_free);
  p->frame_of = g_hash_table_new(g_int64_hash, g_int64_equal);
  pthread_mutex_init(&p->lock, NULL);
  int64_t max = 4 << 20;
  zmq_setsockopt(p->pull, ZMQ_MAXMSGSIZE, &max, sizeof max);
  if (zmq_bind(p->pull, addr) == 0) return p;
  err_set(e, ERR_SETTING, "can't bind the peer address %s: %s", addr,
          zmq_strerror(zmq_errno()));
  peer_close(p);
  return NULL;
}

void peer_close(Peer *p) {
  if (!p) return;
  GHashTableIter it;
  gpointer v;
  int linger = 200; /* ms: the last words of a planned stop */
  g_hash_table_iter_init(&it, p->push);
  while (g_hash_table_iter_next(&it, NULL, &v))
    zmq_setsockopt(((PeerLink *)v)->socket, ZMQ_LINGER, &linger, sizeof linger);
  g_hash_table_destroy(p->push);
  zmq_close(p->pull);
  zmq_ctx_term(p->ctx);
  close(p->wake);
  g_hash_table_destroy(p->frame_of);
  g_ptr_array_free(p->frames, TRUE);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}

/* == queueing == */

void peer_use_on_demand_links(Peer *p) {
  p->on_demand = true;
}

static Frame *new_frame(Peer *p, const char *addr, uint64_t to) {
  Frame *f = g_new0(Frame, 1);
  g_strlcpy(f->addr, addr, sizeof f->addr);
  f->to = to;
  msgpack_sbuffer_init(&f->buf);
  CodecHead h = {p->self, to};
  codec_put_head(&f->buf, &h);
  g_ptr_array_add(p->frames, f);
  return f;
}

/* The open frame for a receiver; messages of one turn share it. */
static Frame *frame_for(Peer *p, const char *addr, uint64_t to) {
  uint64_t key = to != 0 ? to : text_hash(addr);
  Frame *f = g_hash_table_lookup(p->frame_of, &key);
  if (f) return f;
  f = new_frame(p, addr, to);
  f->key = key;
  g_hash_table_insert(p->frame_of, &f->key, f);
  return f;
}

/* The buffer of that frame, for one message; unlock after it. */
static msgpack_sbuffer *lock_frame(Peer *p, const char *addr, uint64_t to) {
  pthread_mutex_lock(&p->lock);
  return &frame_for(p, addr, to)->buf;
}

/* The buffer of a frame that nothing else travels in; unlock after it. */
static msgpack_sbuffer *lock_own_frame(Peer *p, const char *addr, uint64_t to) {
  pthread_mutex_lock(&p->lock);
  return &new_frame(p, addr, to)->buf;
}

static void unlock(Peer *p) {
  pthread_mutex_unlock(&p->lock);
}

static void wake(Peer *p) {
  uint64_t one = 1;
  ssize_t n = write(p->wake, &one, sizeof one);
  (void)n; /* full means that it is awake anyway */
}

void peer_send_ledger(Peer *p, const char *addr, const char *id,
                 const LedgerMsg *m) {
  codec_put_ledger(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake(p);
}

void peer_send_once(Peer *p, const char *addr, const char *id, const OnceMsg *m) {
  codec_put_once(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake(p);
}

void peer_send_load(Peer *p, const char *addr, const char *id, const LoadsMsg *m) {
  codec_put_load(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_heartbeat(Peer *p, const char *addr, const Member *m) {
  codec_put_heartbeat(lock_frame(p, addr, 0), m);
  unlock(p);
}

void peer_send_member_update(Peer *p, const char *addr, uint64_t to, const GossipUpdate *n) {
  codec_put_member_update(lock_frame(p, addr, to), n);
  unlock(p);
}

void peer_send_gossip(Peer *p, const char *addr, uint64_t to, const GossipMsg *m) {
  codec_put_gossip(lock_frame(p, addr, to), m);
  unlock(p);
}

void peer_send_config(Peer *p, const char *addr, const char *id, uint64_t version,
               const Packed *text) {
  codec_put_config(lock_frame(p, addr, text_hash(id)), version, text);
  unlock(p);
}

void peer_send_work(Peer *p, const char *addr, const char *id, const TargetWork *m) {
  codec_put_work(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_parts(Peer *p, const char *addr, const char *id,
                const TargetParts *m) {
  codec_put_parts(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_pool(Peer *p, const char *addr, const char *id,
               const TargetsPoolWord *m) {
  codec_put_pool(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_query(Peer *p, const char *addr, const char *id,
                    const TallyAsk *m) {
  codec_put_tally_query(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_report(Peer *p, const char *addr, const char *id,
                     const TallyWord *m) {
  codec_put_tally_report(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_run(Peer *p, const char *addr, const char *id,
                    const TallyRun *m) {
  codec_put_tally_run(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_feed(Peer *p, const char *addr, const char *id, const CodecFeed *m) {
  codec_put_feed(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_permit_request(Peer *p, const char *addr, const char *id,
                     const TallyPermitAsk *m) {
  codec_put_permit_request(lock_own_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_permit(Peer *p, const char *addr, const char *id,
                 const TallyPermit *m) {
  codec_put_permit(lock_own_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_limit(Peer *p, const char *addr, const char *id,
                const CodecLimit *m) {
  codec_put_limit(lock_own_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_suspect(Peer *p, const char *addr, const char *id,
                  const CodecSuspect *m) {
  codec_put_suspect(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

/* == the peer thread == */

static void *connect_to(const Peer *p, const char *addr) {
  void *s = zmq_socket(p->ctx, ZMQ_PUSH);
  int linger = 0, high = p->on_demand ? DEMAND_HIGH_WATER : HIGH_WATER;
  int immediate = !p->on_demand, connect = CONNECT_MS;
  int ivl = RECONNECT_MS, max = RECONNECT_MOST_MS, silent = SILENT_MS;
  zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt(s, ZMQ_SNDHWM, &high, sizeof high);
  /* With links that stand nothing piles up for an instance that is not there;
     on demand the first message has to wait for its link. */
  zmq_setsockopt(s, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt(s, ZMQ_CONNECT_TIMEOUT, &connect, sizeof connect);
  zmq_setsockopt(s, ZMQ_TCP_MAXRT, &silent, sizeof silent);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL, &ivl, sizeof ivl);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL_MAX, &max, sizeof max);
  zmq_connect(s, addr);
  return s;
}

static PeerLink *link_for(Peer *p, const char *addr) {
  PeerLink *l = g_hash_table_lookup(p->push, addr);
  if (l) return l;
  l = g_new0(PeerLink, 1);
  l->socket = connect_to(p, addr);
  g_hash_table_insert(p->push, g_strdup(addr), l);
  return l;
}

/* Room for `n` more bytes on a link whose other side may take none. */
static bool has_room(PeerLink *l, double now, size_t n) {
  if (now - l->window >= DEMAND_WINDOW_S) {
    l->window = now;
    l->bytes = 0;
  }
  if (l->bytes > 0 && l->bytes + n > DEMAND_BYTES) return false;
  l->bytes += n;
  return true;
}

static void send_frame(Peer *p, const Frame *f, double now) {
  PeerLink *l = link_for(p, f->addr);
  l->used = now;
  bool sent = !p->on_demand || has_room(l, now, f->buf.size);
  sent =
      sent && zmq_send(l->socket, f->buf.data, f->buf.size, ZMQ_DONTWAIT) >= 0;
  if (sent)
    count_add(COUNT_PEER_BYTES_OUT, (int64_t)f->buf.size);
  else
    count_add(COUNT_PEER_DROPPED, 1);
}

static gboolean is_idle(gpointer addr, gpointer link, gpointer now) {
  (void)addr;
  return *(double *)now - ((PeerLink *)link)->used >= PEER_IDLE_CLOSE_S;
}

static void close_idle(Peer *p, double now) {
  if (!p->on_demand || now - p->swept < SWEEP_S) return;
  p->swept = now;
  g_hash_table_foreach_remove(p->push, is_idle, &now);
}

static void send_frames(Peer *p) {
  double now = clock_now();
  pthread_mutex_lock(&p->lock);
  GPtrArray *out = p->frames;
  p->frames = g_ptr_array_new_with_free_func(frame_free);
  g_hash_table_remove_all(p->frame_of);
  pthread_mutex_unlock(&p->lock);
  for (guint i = 0; i < out->len; i++) send_frame(p, out->pdata[i], now);
  g_ptr_array_free(out, TRUE);
  close_idle(p, now);
}

static void take_frame(Peer *p, const char *data, size_t len, PeerHandler h,
                       void *ctx) {
  CodecHead head;
  CodecMsg m;
  size_t off = 0;
  /* Words for an earlier incarnation at this address are not for us. */
  bool ours = codec_get_head(data, len, &off, &head) &&
              (head.to == 0 || head.to == p->self);
  if (!ours) {
    count_add(COUNT_PEER_DROPPED, 1);
    return;
  }
  while (off < len) {
    if (!codec_get(data, len, &off, &m)) {
      count_add(COUNT_PEER_DROPPED, 1);
      return;
    }
    if (m.type == CODEC_TYPES)
      count_add(COUNT_PEER_DROPPED, 1);
    else
      h(ctx, head.from, &m);
    codec_clear(&m);
  }
}

static void receive(Peer *p, PeerHandler h, void *ctx) {
  zmq_msg_t msg;
  zmq_msg_init(&msg);
  while (zmq_msg_recv(&msg, p->pull, ZMQ_DONTWAIT) >= 0) {
    count_add(COUNT_PEER_BYTES_IN, (int64_t)zmq_msg_size(&msg));
    take_frame(p, zmq_msg_data(&msg), zmq_msg_size(&msg), h, ctx);
  }
  zmq_msg_close(&msg);
}

int peer_fd(const Peer *p) {
  int fd = -1;
  size_t n = sizeof fd;
  zmq_getsockopt(p->pull, ZMQ_FD, &fd, &n);
  return fd;
}

void peer_receive(Peer *p, PeerHandler h, void *ctx) {
  int events = 0;
  size_t n = sizeof events;
  /* Asking for the events lets the library take in what came. */
  while (zmq_getsockopt(p->pull, ZMQ_EVENTS, &events, &n) == 0 &&
         (events & ZMQ_POLLIN))
    receive(p, h, ctx);
}

bool peer_flush(Peer *p) {
  if (p->frames->len == 0) return false;
  send_frames(p);
  return true;
}

void peer_poll(Peer *p, int wait_ms, PeerHandler h, void *ctx) {
  send_frames(p);
  zmq_pollitem_t items[] = {{p->pull, 0, ZMQ_POLLIN, 0},
                            {NULL, p->wake, ZMQ_POLLIN, 0}};
  zmq_poll(items, 2, wait_ms);
  uint64_t n;
  ssize_t got = read(p->wake, &n, sizeof n);
  (void)got;
  receive(p, h, ctx);
  send_frames(p);
}
