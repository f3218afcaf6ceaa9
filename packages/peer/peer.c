/* peer.c: one bound PULL socket, and one PUSH socket for each address. */
#include "peer/peer.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "kernel/clock.h"
#include "kernel/count.h"

#define MAX_QUEUED_FRAMES 1000 /* for an address; more are dropped */
/* A SYN to a machine without power is lost, and TCP repeats it after a second.
   Instances are 4 ms apart, so a new attempt is made sooner. */
#define CONNECT_TIMEOUT_MS 200
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 400
/* A connection is closed when data is not acknowledged for this long: the other
   machine lost its power, or is cut off. */
#define ACK_TIMEOUT_MS 1500
/* What an on-demand link may queue while the receiver does not read: the
   messages of a busy instance during several turns of its event loop, and one
   configuration. More is dropped and counted: every message is repeated later,
   or its content is read from the store. */
#define DEMAND_MAX_QUEUED_FRAMES 64
#define DEMAND_MAX_BYTES (256 << 10) /* in DEMAND_WINDOW_S */
#define DEMAND_WINDOW_S 1.5 /* as ACK_TIMEOUT_MS, which ends the link */
#define IDLE_CHECK_S 1.0    /* between checks for idle links */

typedef struct Frame {
  char addr[LIMIT_NAME_BYTES];
  uint64_t to;
  uint64_t key; /* of the receiver */
  msgpack_sbuffer buf;
} Frame;

typedef struct PeerLink {
  void *socket;
  double used_at, window_start;
  size_t bytes; /* sent since window_start */
} PeerLink;

struct Peer {
  void *ctx, *pull;
  uint64_t self;
  int wake_fd;
  bool on_demand;
  double idle_checked_at;
  GHashTable *links; /* addr -> PeerLink */
  pthread_mutex_t lock;
  GPtrArray *frames;         /* Frame* to send, guarded by the lock */
  GHashTable *shared_frames; /* key of a receiver -> its shared Frame */
};

static void free_frame(gpointer p) {
  Frame *f = p;
  msgpack_sbuffer_destroy(&f->buf);
  g_free(f);
}

static void free_link(gpointer p) {
  PeerLink *l = p;
  zmq_close(l->socket);
  g_free(l);
}

Peer *peer_open(const char *addr, const char *self, Err *e) {
  Peer *p = g_new0(Peer, 1);
  p->ctx = zmq_ctx_new();
  p->pull = zmq_socket(p->ctx, ZMQ_PULL);
  p->self = text_hash(self);
  p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  p->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_link);
  p->frames = g_ptr_array_new_with_free_func(free_frame);
  p->shared_frames = g_hash_table_new(g_int64_hash, g_int64_equal);
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
  int linger = 200; /* ms to send the last messages of a planned stop */
  g_hash_table_iter_init(&it, p->links);
  while (g_hash_table_iter_next(&it, NULL, &v))
    zmq_setsockopt(((PeerLink *)v)->socket, ZMQ_LINGER, &linger, sizeof linger);
  g_hash_table_destroy(p->links);
  zmq_close(p->pull);
  zmq_ctx_term(p->ctx);
  close(p->wake_fd);
  g_hash_table_destroy(p->shared_frames);
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

/* The frame of a receiver that messages of one turn share. */
static Frame *get_shared_frame(Peer *p, const char *addr, uint64_t to) {
  uint64_t key = to != 0 ? to : text_hash(addr);
  Frame *f = g_hash_table_lookup(p->shared_frames, &key);
  if (f) return f;
  f = new_frame(p, addr, to);
  f->key = key;
  g_hash_table_insert(p->shared_frames, &f->key, f);
  return f;
}

/* The buffer of the shared frame, for one message; unlock after it. */
static msgpack_sbuffer *lock_shared_frame(Peer *p, const char *addr,
                                          uint64_t to) {
  pthread_mutex_lock(&p->lock);
  return &get_shared_frame(p, addr, to)->buf;
}

/* The buffer of a new frame for this message alone; unlock after it. */
static msgpack_sbuffer *lock_own_frame(Peer *p, const char *addr, uint64_t to) {
  pthread_mutex_lock(&p->lock);
  return &new_frame(p, addr, to)->buf;
}

static void unlock(Peer *p) {
  pthread_mutex_unlock(&p->lock);
}

static void wake_peer_thread(Peer *p) {
  uint64_t one = 1;
  ssize_t n = write(p->wake_fd, &one, sizeof one);
  (void)n; /* a full counter has woken the thread already */
}

void peer_send_ledger(Peer *p, const char *addr, const char *id,
                      const LedgerMsg *m) {
  codec_put_ledger(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake_peer_thread(p);
}

void peer_send_once(Peer *p, const char *addr, const char *id,
                    const OnceMsg *m) {
  codec_put_once(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake_peer_thread(p);
}

void peer_send_load(Peer *p, const char *addr, const char *id,
                    const LoadsMsg *m) {
  codec_put_load(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_heartbeat(Peer *p, const char *addr, const Member *m) {
  codec_put_heartbeat(lock_shared_frame(p, addr, 0), m);
  unlock(p);
}

void peer_send_member_update(Peer *p, const char *addr, uint64_t to,
                             const GossipUpdate *n) {
  codec_put_member_update(lock_shared_frame(p, addr, to), n);
  unlock(p);
}

void peer_send_gossip(Peer *p, const char *addr, uint64_t to,
                      const GossipMsg *m) {
  codec_put_gossip(lock_shared_frame(p, addr, to), m);
  unlock(p);
}

void peer_send_config(Peer *p, const char *addr, const char *id,
                      uint64_t version, const Packed *text) {
  codec_put_config(lock_shared_frame(p, addr, text_hash(id)), version, text);
  unlock(p);
}

void peer_send_work(Peer *p, const char *addr, const char *id,
                    const TargetWork *m) {
  codec_put_work(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_parts(Peer *p, const char *addr, const char *id,
                     const TargetParts *m) {
  codec_put_parts(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_pool(Peer *p, const char *addr, const char *id,
                    const TargetsPoolReport *m) {
  codec_put_pool(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_query(Peer *p, const char *addr, const char *id,
                           const TallyQuery *m) {
  codec_put_tally_query(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_report(Peer *p, const char *addr, const char *id,
                            const TallyReport *m) {
  codec_put_tally_report(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_tally_run(Peer *p, const char *addr, const char *id,
                         const TallyRun *m) {
  codec_put_tally_run(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_rate(Peer *p, const char *addr, const char *id,
                    const TallyRate *m) {
  codec_put_rate(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_feed(Peer *p, const char *addr, const char *id,
                    const CodecFeed *m) {
  codec_put_feed(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_permit_request(Peer *p, const char *addr, const char *id,
                              const TallyPermitRequest *m) {
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

void peer_send_demand(Peer *p, const char *addr, const char *id,
                      const AllocationDemand *m) {
  codec_put_demand(lock_own_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_allocation(Peer *p, const char *addr, const char *id,
                          const AllocationAnswer *m) {
  codec_put_allocation(lock_own_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_suspect(Peer *p, const char *addr, const char *id,
                       const CodecSuspect *m) {
  codec_put_suspect(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_send_origin(Peer *p, const char *addr, const char *id,
                      const OriginsMsg *m) {
  codec_put_origin(lock_shared_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

/* == the peer thread == */

static void *open_link_socket(const Peer *p, const char *addr) {
  void *s = zmq_socket(p->ctx, ZMQ_PUSH);
  int linger = 0,
      max_queued = p->on_demand ? DEMAND_MAX_QUEUED_FRAMES : MAX_QUEUED_FRAMES;
  int immediate = !p->on_demand, connect = CONNECT_TIMEOUT_MS;
  int retry = RECONNECT_MS, max = RECONNECT_MAX_MS,
      ack_timeout = ACK_TIMEOUT_MS;
  zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt(s, ZMQ_SNDHWM, &max_queued, sizeof max_queued);
  /* With permanent links, no frames are queued for an unreachable instance; on
     demand the first message has to wait for its link. */
  zmq_setsockopt(s, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt(s, ZMQ_CONNECT_TIMEOUT, &connect, sizeof connect);
  zmq_setsockopt(s, ZMQ_TCP_MAXRT, &ack_timeout, sizeof ack_timeout);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL, &retry, sizeof retry);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL_MAX, &max, sizeof max);
  zmq_connect(s, addr);
  return s;
}

static PeerLink *get_link(Peer *p, const char *addr) {
  PeerLink *l = g_hash_table_lookup(p->links, addr);
  if (l) return l;
  l = g_new0(PeerLink, 1);
  l->socket = open_link_socket(p, addr);
  g_hash_table_insert(p->links, g_strdup(addr), l);
  return l;
}

/* Reserves `n` bytes of a link, whose receiver may not be reading; false when
   they exceed DEMAND_MAX_BYTES. */
static bool reserve_link_bytes(PeerLink *l, double now, size_t n) {
  if (now - l->window_start >= DEMAND_WINDOW_S) {
    l->window_start = now;
    l->bytes = 0;
  }
  if (l->bytes > 0 && l->bytes + n > DEMAND_MAX_BYTES) return false;
  l->bytes += n;
  return true;
}

static void send_frame(Peer *p, const Frame *f, double now) {
  PeerLink *l = get_link(p, f->addr);
  l->used_at = now;
  bool sent = !p->on_demand || reserve_link_bytes(l, now, f->buf.size);
  sent =
      sent && zmq_send(l->socket, f->buf.data, f->buf.size, ZMQ_DONTWAIT) >= 0;
  if (sent)
    count_add(COUNT_PEER_BYTES_OUT, (int64_t)f->buf.size);
  else
    count_add(COUNT_PEER_DROPPED, 1);
}

static gboolean is_idle(gpointer addr, gpointer link, gpointer now) {
  (void)addr;
  return *(double *)now - ((PeerLink *)link)->used_at >= PEER_IDLE_CLOSE_S;
}

static void close_idle_links(Peer *p, double now) {
  if (!p->on_demand || now - p->idle_checked_at < IDLE_CHECK_S) return;
  p->idle_checked_at = now;
  g_hash_table_foreach_remove(p->links, is_idle, &now);
}

static void send_frames(Peer *p) {
  double now = clock_now();
  pthread_mutex_lock(&p->lock);
  GPtrArray *out = p->frames;
  p->frames = g_ptr_array_new_with_free_func(free_frame);
  g_hash_table_remove_all(p->shared_frames);
  pthread_mutex_unlock(&p->lock);
  for (guint i = 0; i < out->len; i++) send_frame(p, out->pdata[i], now);
  g_ptr_array_free(out, TRUE);
  close_idle_links(p, now);
}

static void handle_frame(Peer *p, const char *data, size_t len, PeerHandler h,
                         void *ctx) {
  CodecHead head;
  CodecMsg m;
  size_t off = 0;
  /* Messages for an earlier incarnation at this address are dropped. */
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

static void receive_frames(Peer *p, PeerHandler h, void *ctx) {
  zmq_msg_t msg;
  zmq_msg_init(&msg);
  while (zmq_msg_recv(&msg, p->pull, ZMQ_DONTWAIT) >= 0) {
    count_add(COUNT_PEER_BYTES_IN, (int64_t)zmq_msg_size(&msg));
    handle_frame(p, zmq_msg_data(&msg), zmq_msg_size(&msg), h, ctx);
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
  /* Reading the events makes the library process what arrived. */
  while (zmq_getsockopt(p->pull, ZMQ_EVENTS, &events, &n) == 0 &&
         (events & ZMQ_POLLIN))
    receive_frames(p, h, ctx);
}

bool peer_flush(Peer *p) {
  if (p->frames->len == 0) return false;
  send_frames(p);
  return true;
}

void peer_poll(Peer *p, int wait_ms, PeerHandler h, void *ctx) {
  send_frames(p);
  zmq_pollitem_t items[] = {{p->pull, 0, ZMQ_POLLIN, 0},
                            {NULL, p->wake_fd, ZMQ_POLLIN, 0}};
  zmq_poll(items, 2, wait_ms);
  uint64_t n;
  ssize_t got = read(p->wake_fd, &n, sizeof n);
  (void)got;
  receive_frames(p, h, ctx);
  send_frames(p);
}
