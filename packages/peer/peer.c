/* peer.c: one PULL socket bound, one PUSH socket for each address. */
#include "peer/peer.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

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

typedef struct Frame {
  char addr[LIMIT_NAME];
  uint64_t to;
  msgpack_sbuffer buf;
} Frame;

struct Peer {
  void *ctx, *pull;
  uint64_t self;
  int wake;
  GHashTable *push; /* addr -> socket */
  pthread_mutex_t lock;
  GPtrArray *frames; /* Frame*, one for each receiver, under the lock */
};

static void frame_free(gpointer p) {
  Frame *f = p;
  msgpack_sbuffer_destroy(&f->buf);
  g_free(f);
}

Peer *peer_open(const char *addr, const char *self, Err *e) {
  Peer *p = g_new0(Peer, 1);
  p->ctx = zmq_ctx_new();
  p->pull = zmq_socket(p->ctx, ZMQ_PULL);
  p->self = text_hash(self);
  p->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  p->push = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  p->frames = g_ptr_array_new_with_free_func(frame_free);
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
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    zmq_setsockopt(v, ZMQ_LINGER, &linger, sizeof linger);
    zmq_close(v);
  }
  zmq_close(p->pull);
  zmq_ctx_term(p->ctx);
  close(p->wake);
  g_hash_table_destroy(p->push);
  g_ptr_array_free(p->frames, TRUE);
  pthread_mutex_destroy(&p->lock);
  g_free(p);
}

/* == queueing == */

/* The open frame for a receiver; messages of one turn share it. */
static Frame *frame_for(Peer *p, const char *addr, uint64_t to) {
  for (guint i = 0; i < p->frames->len; i++) {
    Frame *f = p->frames->pdata[i];
    if (f->to == to && strcmp(f->addr, addr) == 0) return f;
  }
  Frame *f = g_new0(Frame, 1);
  g_strlcpy(f->addr, addr, sizeof f->addr);
  f->to = to;
  msgpack_sbuffer_init(&f->buf);
  CodecHead h = {p->self, to};
  codec_put_head(&f->buf, &h);
  g_ptr_array_add(p->frames, f);
  return f;
}

/* The buffer of that frame, for one message; unlock after it. */
static msgpack_sbuffer *lock_frame(Peer *p, const char *addr, uint64_t to) {
  pthread_mutex_lock(&p->lock);
  return &frame_for(p, addr, to)->buf;
}

static void unlock(Peer *p) {
  pthread_mutex_unlock(&p->lock);
}

static void wake(Peer *p) {
  uint64_t one = 1;
  ssize_t n = write(p->wake, &one, sizeof one);
  (void)n; /* full means that it is awake anyway */
}

void peer_ledger(Peer *p, const char *addr, const char *id,
                 const LedgerMsg *m) {
  codec_put_ledger(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake(p);
}

void peer_once(Peer *p, const char *addr, const char *id, const OnceMsg *m) {
  codec_put_once(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
  wake(p);
}

void peer_load(Peer *p, const char *addr, const char *id, const LoadsMsg *m) {
  codec_put_load(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_beat(Peer *p, const char *addr, const Member *m) {
  codec_put_beat(lock_frame(p, addr, 0), m);
  unlock(p);
}

void peer_conf(Peer *p, const char *addr, const char *id, uint64_t version,
               const char *text) {
  codec_put_conf(lock_frame(p, addr, text_hash(id)), version, text);
  unlock(p);
}

void peer_work(Peer *p, const char *addr, const char *id, const TargetWork *m) {
  codec_put_work(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_parts(Peer *p, const char *addr, const char *id,
                const TargetParts *m) {
  codec_put_parts(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_pool(Peer *p, const char *addr, const char *id,
               const TargetsPoolWord *m) {
  codec_put_pool(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

void peer_feed(Peer *p, const char *addr, const char *id, const CodecFeed *m) {
  codec_put_feed(lock_frame(p, addr, text_hash(id)), m);
  unlock(p);
}

/* == the peer thread == */

static void *socket_for(Peer *p, const char *addr) {
  void *s = g_hash_table_lookup(p->push, addr);
  if (s) return s;
  s = zmq_socket(p->ctx, ZMQ_PUSH);
  int linger = 0, high = HIGH_WATER, immediate = 1, connect = CONNECT_MS;
  int ivl = RECONNECT_MS, max = RECONNECT_MOST_MS, silent = SILENT_MS;
  zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt(s, ZMQ_SNDHWM, &high, sizeof high);
  /* Nothing piles up for an instance that is not there. */
  zmq_setsockopt(s, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt(s, ZMQ_CONNECT_TIMEOUT, &connect, sizeof connect);
  zmq_setsockopt(s, ZMQ_TCP_MAXRT, &silent, sizeof silent);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL, &ivl, sizeof ivl);
  zmq_setsockopt(s, ZMQ_RECONNECT_IVL_MAX, &max, sizeof max);
  zmq_connect(s, addr);
  g_hash_table_insert(p->push, g_strdup(addr), s);
  return s;
}

static void send_frames(Peer *p) {
  pthread_mutex_lock(&p->lock);
  GPtrArray *out = p->frames;
  p->frames = g_ptr_array_new_with_free_func(frame_free);
  pthread_mutex_unlock(&p->lock);
  for (guint i = 0; i < out->len; i++) {
    const Frame *f = out->pdata[i];
    void *s = socket_for(p, f->addr);
    int n = zmq_send(s, f->buf.data, f->buf.size, ZMQ_DONTWAIT);
    if (n < 0)
      count_add(COUNT_PEER_DROPPED, 1);
    else
      count_add(COUNT_PEER_BYTES_OUT, n);
  }
  g_ptr_array_free(out, TRUE);
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

void peer_turn(Peer *p, PeerHandler h, void *ctx) {
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
