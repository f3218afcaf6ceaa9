/* gossip.c: probes, suspicion and the dissemination of member updates. */
#include "member/gossip.h"

#include <string.h>

#include "kernel/text.h"

/* Each neighbour is probed at this interval. With nine neighbours of 295
   instances some neighbour probes a lost one within a quarter of a second. */
#define PING_INTERVAL_S 2.0
/* Min interval between two of our own probes. In a large fleet an instance is
   probed by as many others as it probes, so that it is probed at this
   interval whatever the number of neighbours. */
#define PING_MIN_INTERVAL_S 0.3
/* Time for an ack. It takes 3 ms on the network and one turn of the receiver's
   event loop, which lasts up to a few tenths of a second on an instance with an
   eighth of a core. */
#define ACK_TIMEOUT_S 0.5
#define INDIRECT_ACK_TIMEOUT_S 0.6 /* after the ping requests */
#define PING_REQUESTS 3            /* sent for one unanswered probe */
/* A suspect, a member that answered no probe, has this long to refute that:
   some round trips over the ring. */
#define SUSPECT_S 2.0
/* A dead member is remembered this long, so that old updates don't revive it.
 */
#define DEAD_TTL_S 60.0
/* One dead member is probed at this interval, since a network partition may
   have healed. */
#define DEAD_PROBE_INTERVAL_S 1.0
/* A pause of our own event loop this long extends all deadlines, since it is no
   sign that acks are missing. */
#define STALL_S 0.3
#define SEED_RETRY_MIN_S 0.2 /* first retry delay to a seed, doubled */
/* After a power loss of the whole fleet, seeds come up within a second of each
   other. The retry delay is not doubled for this long. */
#define SEED_NO_BACKOFF_S 2.0
#define SEED_RETRY_MAX_S 30.0
/* The full state takes 90 bytes for each member. A new member gets it at once,
   others only when two digests have differed for a while, since updates are in
   transit most of the time. */
#define FULL_STATE_NEW_S 0.1
#define FULL_STATE_INTERVAL_S 0.5
#define DIFFER_S 0.3
/* Updates go to all neighbours, unless more than this number are due at once.
   When the whole fleet starts, each instance would receive every update from
   every neighbour, and the copies would grow with the square of the fleet times
   its logarithm. Then an update goes to a few random neighbours; an instance
   that misses one has another digest than its neighbours, and gets the full
   state. */
#define MANY_UPDATES 32
#define MANY_UPDATES_FANOUT 6
#define MAX_SENDERS 4            /* senders of an update that are remembered */
#define PARTIAL_STATE_UPDATES 16 /* sent where the full state is not due */

/* What is known of one member. */
typedef struct Entry {
  Member m;
  uint64_t hash; /* of its id */
  uint32_t generation;
  GossipState state;
  double until;    /* SUSPECT: becomes dead then; DEAD: is forgotten then */
  bool update_due; /* an update is due to the neighbours */
  bool has_contacted_us;        /* it sent us an update about itself */
  uint64_t sender[MAX_SENDERS]; /* who sent the same update since it is due */
  guint n_senders;
} Entry;

/* A probe without an ack yet. */
typedef struct Probe {
  uint64_t hash;
  double sent;
  bool requested;
} Probe;

/* A ping request: the requester waits for an indirect ack of `subject`. */
typedef struct PingRequest {
  uint64_t requester, subject;
  double until;
} PingRequest;

typedef struct Seed {
  char peer[LIMIT_NAME_BYTES];
  double since, next_at, wait_s;
} Seed;

struct Gossip {
  Entry *self;
  GRand *rng;
  double now, ticked;
  GHashTable *entries;   /* hash -> Entry, of all known members */
  GPtrArray *ring;       /* Entry* that are not dead, with ours, by place */
  GPtrArray *neighbours; /* Entry* that we probe and update */
  bool ring_stale;
  GPtrArray *due;        /* Entry* with update_due */
  GArray *probes;        /* Probe */
  GArray *ping_requests; /* PingRequest */
  GArray *seeds;         /* Seed */
  GQueue actions;        /* GossipAction* */
  guint turn;            /* neighbour that is probed next */
  double ping_at, dead_probe_at, expire_at;
  double full_state_at; /* when the full state was last sent */
  double differs_since; /* a neighbour's digest differs since; 0: it does not */
  uint64_t version;
  double lost_at; /* gossip_lost_at */
};

/* == entries == */

static Entry *find(const Gossip *g, uint64_t hash) {
  return g_hash_table_lookup(g->entries, &hash);
}

static bool is_live(const Entry *e) {
  return e->state != GOSSIP_DEAD;
}

static void note_view_change(Gossip *g) {
  g->ring_stale = true;
  g->version++;
}

static void mark_update_due(Gossip *g, Entry *e) {
  e->n_senders = 0; /* they sent the earlier state */
  if (e->update_due) return;
  e->update_due = true;
  g_ptr_array_add(g->due, e);
}

static void note_sender(Entry *e, uint64_t from) {
  if (e->update_due && e->n_senders < MAX_SENDERS)
    e->sender[e->n_senders++] = from;
}

static bool has_sent(const Entry *e, uint64_t hash) {
  for (guint i = 0; i < e->n_senders; i++)
    if (e->sender[i] == hash) return true;
  return false;
}

static Entry *add_entry(Gossip *g, const GossipUpdate *n) {
  Entry *e = g_new0(Entry, 1);
  e->m = n->m;
  e->hash = text_hash(n->m.id);
  e->generation = n->generation;
  e->state = n->state;
  g_hash_table_insert(g->entries, &e->hash, e);
  return e;
}

/* Sets the state and what follows from it. */
static void set_state(Gossip *g, Entry *e, GossipState state) {
  static const double duration_s[GOSSIP_STATES] = {0, SUSPECT_S, DEAD_TTL_S};
  if (state == GOSSIP_DEAD && is_live(e) && !e->m.leaving) g->lost_at = g->now;
  e->state = state;
  e->until = g->now + duration_s[state];
  mark_update_due(g, e);
}

/* == the ring == */

/* Orders by region, then data centre, so that most neighbours are near; within
   a data centre by hash. */
static gint by_place(gconstpointer a, gconstpointer b) {
  const Entry *x = *(const Entry *const *)a, *y = *(const Entry *const *)b;
  int region = strcmp(x->m.region, y->m.region);
  if (region != 0) return region;
  int dc = strcmp(x->m.dc, y->m.dc);
  if (dc != 0) return dc;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static bool same_dc(const Entry *a, const Entry *b) {
  return strcmp(a->m.region, b->m.region) == 0 && strcmp(a->m.dc, b->m.dc) == 0;
}

/* Index after the last member of the data centre of `ring[at]`. */
static guint dc_end(const Gossip *g, guint at) {
  guint end = at;
  while (end < g->ring->len && same_dc(g->ring->pdata[at], g->ring->pdata[end]))
    end++;
  return end;
}

/* The first of ring[from, end) with a hash of `point` or higher, wrapping. */
static Entry *after_point(const Gossip *g, guint from, guint end,
                          uint64_t point) {
  for (guint i = from; i < end; i++) {
    Entry *e = g->ring->pdata[i];
    if (e->hash >= point) return e;
  }
  return g->ring->pdata[from];
}

static void add_neighbour(Gossip *g, Entry *e) {
  if (e != g->self && !g_ptr_array_find(g->neighbours, e, NULL))
    g_ptr_array_add(g->neighbours, e);
}

/* The previous member and the next two. Thus some members probe each one,
   however the hashes are distributed. */
static void add_adjacent(Gossip *g, guint from, guint end) {
  guint n = end - from, at = from;
  while (g->ring->pdata[at] != g->self) at++;
  at -= from;
  add_neighbour(g, g->ring->pdata[from + (at + 1) % n]);
  add_neighbour(g, g->ring->pdata[from + (at + 2) % n]);
  add_neighbour(g, g->ring->pdata[from + (at + n - 1) % n]);
}

/* In our data centre, the members that follow the points half the circle on, a
   quarter, an eighth and so on, down to the next member. The points are fixed,
   so that while a fleet starts neighbours change a few times, not with each new
   member: each change needs a new link. */
static void add_near(Gossip *g, guint from, guint end) {
  const Entry *next = after_point(g, from, end, g->self->hash + 1);
  uint64_t step = (uint64_t)1 << 63;
  Entry *e = NULL;
  for (; step > 0 && e != next; step /= 2) {
    e = after_point(g, from, end, g->self->hash + step);
    add_neighbour(g, e);
  }
}

/* One member in each of the data centres 1, 2, 4 ... places on. */
static void add_far(Gossip *g, guint end) {
  guint n = g->ring->len, at = end % n;
  for (guint i = 1, next = 1; !same_dc(g->ring->pdata[at], g->self); i++) {
    guint stop = dc_end(g, at);
    if (i == next) {
      add_neighbour(g, after_point(g, at, stop, g->self->hash));
      next *= 2;
    }
    at = stop % n;
  }
}

static void rebuild_ring(Gossip *g) {
  if (!g->ring_stale) return;
  g->ring_stale = false;
  GHashTableIter it;
  gpointer v;
  g_ptr_array_set_size(g->ring, 0);
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (is_live(v)) g_ptr_array_add(g->ring, v);
  g_ptr_array_sort(g->ring, by_place);
  guint from = 0;
  while (!same_dc(g->ring->pdata[from], g->self)) from++;
  guint end = dc_end(g, from);
  g_ptr_array_set_size(g->neighbours, 0);
  add_adjacent(g, from, end);
  add_near(g, from, end);
  add_far(g, end);
}

static uint64_t mix_hash(uint64_t h) {
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  return h ^ h >> 33;
}

static uint64_t digest(Gossip *g) {
  uint64_t sum = 0;
  rebuild_ring(g);
  for (guint i = 0; i < g->ring->len; i++) {
    const Entry *e = g->ring->pdata[i];
    sum ^= mix_hash(e->hash + e->m.leaving);
  }
  return sum;
}

/* A random other member that is not dead; NULL: there is none. */
static Entry *pick_random_member(Gossip *g) {
  rebuild_ring(g);
  if (g->ring->len < 2) return NULL;
  int n = (int)g->ring->len;
  Entry *e = g->ring->pdata[g_rand_int_range(g->rng, 0, n)];
  return e == g->self ? g->neighbours->pdata[0] : e;
}

/* == actions == */

static GossipAction *add_action(Gossip *g, const char *to, uint64_t id) {
  GossipAction *a = g_new0(GossipAction, 1);
  g_strlcpy(a->to, to, sizeof a->to);
  a->id = id;
  g_queue_push_tail(&g->actions, a);
  return a;
}

static void send_update(Gossip *g, const char *to, uint64_t id,
                        const Entry *e) {
  GossipAction *a = add_action(g, to, id);
  a->is_update = true;
  a->update =
      (GossipUpdate){.m = e->m, .generation = e->generation, .state = e->state};
}

static void send_msg(Gossip *g, const char *to, uint64_t id, GossipKind kind,
                     uint64_t subject) {
  GossipAction *a = add_action(g, to, id);
  a->msg = (GossipMsg){.kind = kind,
                       .subject = subject,
                       .digest = digest(g),
                       .table = g->self->m.table};
}

/* A ping or an ack carries our own update, and any suspicion of the receiver,
   so that it can refute it. */
static void send_probe_msg(Gossip *g, const Entry *to, GossipKind kind) {
  send_update(g, to->m.peer, to->hash, g->self);
  if (to->state != GOSSIP_ALIVE) send_update(g, to->m.peer, to->hash, to);
  send_msg(g, to->m.peer, to->hash, kind, 0);
}

static void ping(Gossip *g, const Entry *to) {
  send_probe_msg(g, to, GOSSIP_PING);
  for (guint i = 0; i < g->probes->len; i++)
    if (g_array_index(g->probes, Probe, i).hash == to->hash) return;
  Probe p = {.hash = to->hash, .sent = g->now};
  g_array_append_val(g->probes, p);
}

/* The full state includes dead members, since old updates would revive them
   otherwise. */
static void send_full_state(Gossip *g, const Entry *to, bool answer) {
  GHashTableIter it;
  gpointer v;
  g->full_state_at = g->now;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    send_update(g, to->m.peer, to->hash, v);
  send_msg(g, to->m.peer, to->hash, GOSSIP_FULL_STATE, 0);
  GossipAction *last = g_queue_peek_tail(&g->actions);
  last->msg.is_reply = answer;
}

static void send_partial_state(Gossip *g, const Entry *to) {
  for (int i = 0; i < PARTIAL_STATE_UPDATES; i++) {
    const Entry *e = pick_random_member(g);
    if (e && e != to) send_update(g, to->m.peer, to->hash, e);
  }
}

/* == updates == */

/* Only the member itself can refute a suspicion, or announce that it leaves. */
static void refute_if_suspected(Gossip *g, const GossipUpdate *n) {
  Entry *self = g->self;
  if (n->generation < self->generation || n->state == GOSSIP_ALIVE) return;
  self->generation = n->generation + 1;
  mark_update_due(g, self);
}

/* A restart at the same address replaces the older incarnation; only an update
   from the restarted member itself counts. */
static void mark_older_dead(Gossip *g, const Entry *restarted) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Entry *e = v;
    if (e == restarted || e == g->self || !is_live(e)) continue;
    if (strcmp(e->m.peer, restarted->m.peer) != 0) continue;
    set_state(g, e, GOSSIP_DEAD);
    note_view_change(g);
  }
}

static bool overrides(const GossipUpdate *n, const Entry *e) {
  if (n->generation != e->generation) return n->generation > e->generation;
  return n->state > e->state;
}

static Entry *apply_update(Gossip *g, const GossipUpdate *n) {
  Entry *e = find(g, text_hash(n->m.id));
  if (!e) {
    e = add_entry(g, n);
    set_state(g, e, n->state);
    if (is_live(e)) note_view_change(g);
    return e;
  }
  if (!overrides(n, e)) return e;
  bool was_live = is_live(e), left = e->m.leaving;
  uint64_t table = e->m.table;
  e->m = n->m;
  e->m.table = table;
  e->generation = n->generation;
  set_state(g, e, n->state);
  if (was_live != is_live(e) || left != e->m.leaving) note_view_change(g);
  return e;
}

void gossip_receive_update(Gossip *g, double now, uint64_t from,
                           const GossipUpdate *n) {
  uint64_t hash = text_hash(n->m.id);
  g->now = now;
  if (hash == g->self->hash) {
    refute_if_suspected(g, n);
    return;
  }
  bool known = find(g, hash) != NULL;
  Entry *e = apply_update(g, n);
  if (e->generation == n->generation && e->state == n->state)
    note_sender(e, from);
  if (hash != from) return;
  if (!is_live(e)) { /* report to it that it counts as dead */
    send_update(g, n->m.peer, hash, e);
    return;
  }
  if (!e->has_contacted_us) mark_older_dead(g, e);
  e->has_contacted_us = true;
  if (known) return;
  if (now - g->full_state_at >= FULL_STATE_NEW_S)
    send_full_state(g, e, false);
  else
    send_partial_state(g, e);
}

/* == messages == */

static void drop_probe(Gossip *g, uint64_t hash) {
  for (guint i = g->probes->len; i-- > 0;)
    if (g_array_index(g->probes, Probe, i).hash == hash)
      g_array_remove_index_fast(g->probes, i);
}

/* Sends an indirect ack to those that requested a probe of this member. */
static void send_indirect_acks(Gossip *g, uint64_t hash) {
  for (guint i = g->ping_requests->len; i-- > 0;) {
    PingRequest f = g_array_index(g->ping_requests, PingRequest, i);
    if (f.subject != hash) continue;
    const Entry *requester = find(g, f.requester);
    if (requester)
      send_msg(g, requester->m.peer, requester->hash, GOSSIP_INDIRECT_ACK,
               f.subject);
    g_array_remove_index_fast(g->ping_requests, i);
  }
}

static void handle_ping_request(Gossip *g, uint64_t from, uint64_t subject) {
  const Entry *e = find(g, subject);
  if (!e || e == g->self) return;
  PingRequest f = {from, subject, g->now + INDIRECT_ACK_TIMEOUT_S};
  g_array_append_val(g->ping_requests, f);
  send_probe_msg(g, e, GOSSIP_PING);
}

/* Two instances whose digests go on differing exchange their full state. */
static void compare_digests(Gossip *g, const Entry *with, const GossipMsg *m) {
  if (m->digest == digest(g)) {
    g->differs_since = 0;
    return;
  }
  if (m->kind == GOSSIP_FULL_STATE) {
    if (!m->is_reply) send_full_state(g, with, true);
    return;
  }
  if (g->differs_since == 0) g->differs_since = g->now;
  if (g->now - g->differs_since < DIFFER_S) return;
  if (g->now - g->full_state_at < FULL_STATE_INTERVAL_S) return;
  send_full_state(g, with, false);
}

void gossip_receive(Gossip *g, double now, uint64_t from, const GossipMsg *m) {
  Entry *e = find(g, from);
  g->now = now;
  if (!e || e == g->self) return; /* its own update should precede it */
  e->m.table = m->table;
  drop_probe(g, from);
  send_indirect_acks(g, from);
  switch (m->kind) {
  case GOSSIP_PING: send_probe_msg(g, e, GOSSIP_ACK); break;
  case GOSSIP_PING_REQUEST: handle_ping_request(g, from, m->subject); return;
  case GOSSIP_INDIRECT_ACK: drop_probe(g, m->subject); return;
  case GOSSIP_ACK:
  case GOSSIP_FULL_STATE:
  case GOSSIP_KINDS: break;
  }
  if (is_live(e)) compare_digests(g, e, m);
}

/* == time == */

static void send_ping_requests(Gossip *g, const Entry *subject) {
  for (int i = 0; i < PING_REQUESTS; i++) {
    const Entry *e = pick_random_member(g);
    if (e && e != subject)
      send_msg(g, e->m.peer, e->hash, GOSSIP_PING_REQUEST, subject->hash);
  }
}

/* Probes the suspect once more; the ping carries the suspicion, so that it can
   refute it. */
static void suspect(Gossip *g, Entry *e) {
  if (e->state == GOSSIP_ALIVE) set_state(g, e, GOSSIP_SUSPECT);
  if (is_live(e)) send_probe_msg(g, e, GOSSIP_PING);
}

static void tick_probes(Gossip *g) {
  for (guint i = g->probes->len; i-- > 0;) {
    Probe *p = &g_array_index(g->probes, Probe, i);
    Entry *e = find(g, p->hash);
    double waited = g->now - p->sent;
    if (e && waited < ACK_TIMEOUT_S) continue;
    if (e && !p->requested && is_live(e)) {
      p->requested = true;
      send_ping_requests(g, e);
      continue;
    }
    if (e && waited < ACK_TIMEOUT_S + INDIRECT_ACK_TIMEOUT_S) continue;
    if (e) suspect(g, e);
    g_array_remove_index_fast(g->probes, i);
  }
  for (guint i = g->ping_requests->len; i-- > 0;)
    if (g_array_index(g->ping_requests, PingRequest, i).until <= g->now)
      g_array_remove_index_fast(g->ping_requests, i);
}

static void tick_suspects(Gossip *g) {
  rebuild_ring(g);
  for (guint i = 0; i < g->ring->len; i++) {
    Entry *e = g->ring->pdata[i];
    if (e->state != GOSSIP_SUSPECT || g->now < e->until) continue;
    set_state(g, e, GOSSIP_DEAD);
    note_view_change(g);
  }
}

/* Extends all deadlines by a pause of this process, in which it could not have
   received what others sent. */
static void extend_deadlines(Gossip *g, double pause_s) {
  for (guint i = 0; i < g->probes->len; i++)
    g_array_index(g->probes, Probe, i).sent += pause_s;
  for (guint i = 0; i < g->ring->len; i++)
    ((Entry *)g->ring->pdata[i])->until += pause_s;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer ctx) {
  (void)key;
  const Entry *e = value;
  const Gossip *g = ctx;
  return e->state == GOSSIP_DEAD && !e->update_due && g->now >= e->until;
}

static void remove_expired(Gossip *g) {
  if (g->now < g->expire_at) return;
  g->expire_at = g->now + DEAD_TTL_S / 10;
  g_hash_table_foreach_remove(g->entries, is_expired, g);
}

/* Probes a random dead member that did not announce that it leaves. */
static void probe_dead_member(Gossip *g) {
  if (g->now < g->dead_probe_at) return;
  g->dead_probe_at = g->now + DEAD_PROBE_INTERVAL_S;
  GHashTableIter it;
  gpointer v;
  const Entry *lost = NULL;
  int n = 0;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Entry *e = v;
    if (is_live(e) || e->m.leaving) continue;
    if (g_rand_int_range(g->rng, 0, ++n) == 0) lost = e;
  }
  if (lost) send_probe_msg(g, lost, GOSSIP_PING);
}

static void tick_pings(Gossip *g) {
  rebuild_ring(g);
  if (g->neighbours->len == 0 || g->now < g->ping_at) return;
  double interval_s =
      MAX(PING_INTERVAL_S / g->neighbours->len, PING_MIN_INTERVAL_S);
  g->ping_at = g->now + interval_s;
  ping(g, g->neighbours->pdata[g->turn++ % g->neighbours->len]);
}

static bool is_known_address(const Gossip *g, const char *peer) {
  for (guint i = 0; i < g->ring->len; i++)
    if (strcmp(((Entry *)g->ring->pdata[i])->m.peer, peer) == 0) return true;
  return false;
}

static void tick_seeds(Gossip *g) {
  for (guint i = 0; i < g->seeds->len; i++) {
    Seed *s = &g_array_index(g->seeds, Seed, i);
    if (g->now < s->next_at) continue;
    if (is_known_address(g, s->peer)) {
      s->since = g->now;
      s->wait_s = SEED_RETRY_MIN_S;
      s->next_at = g->now + SEED_RETRY_MIN_S;
      continue;
    }
    send_update(g, s->peer, 0, g->self);
    send_msg(g, s->peer, 0, GOSSIP_PING, 0);
    s->next_at = g->now + s->wait_s;
    if (g->now - s->since >= SEED_NO_BACKOFF_S)
      s->wait_s = MIN(s->wait_s * 2, SEED_RETRY_MAX_S);
  }
}

/* Sends an update to up to `max_copies` neighbours that did not send the same
   to us, beginning with a random one. */
static void spread_update(Gossip *g, const Entry *e, guint max_copies) {
  guint n = g->neighbours->len, sent = 0;
  guint from =
      max_copies < n ? (guint)g_rand_int_range(g->rng, 0, (gint32)n) : 0;
  for (guint k = 0; k < n && sent < max_copies; k++) {
    const Entry *to = g->neighbours->pdata[(from + k) % n];
    if ((to == e && e->state == GOSSIP_ALIVE) || has_sent(e, to->hash))
      continue;
    send_update(g, to->m.peer, to->hash, e);
    sent++;
  }
}

static void spread_updates(Gossip *g) {
  if (g->due->len == 0) return;
  rebuild_ring(g);
  guint max_copies =
      g->due->len > MANY_UPDATES ? MANY_UPDATES_FANOUT : G_MAXUINT;
  for (guint i = 0; i < g->due->len; i++) {
    Entry *e = g->due->pdata[i];
    e->update_due = false;
    spread_update(g, e, max_copies);
  }
  g_ptr_array_set_size(g->due, 0);
}

void gossip_tick(Gossip *g, double now) {
  double pause_s = g->ticked > 0 ? now - g->ticked : 0;
  g->now = g->ticked = now;
  if (pause_s > STALL_S) extend_deadlines(g, pause_s);
  tick_probes(g);
  tick_suspects(g);
  tick_pings(g);
  tick_seeds(g);
  probe_dead_member(g);
  spread_updates(g);
  remove_expired(g);
}

bool gossip_take_action(Gossip *g, GossipAction *a) {
  GossipAction *next = g_queue_pop_head(&g->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

/* == open and close == */

Gossip *gossip_new(const Member *self, uint32_t rng_seed) {
  Gossip *g = g_new0(Gossip, 1);
  GossipUpdate n = {.m = *self, .generation = 1, .state = GOSSIP_ALIVE};
  g->rng = g_rand_new_with_seed(rng_seed);
  g->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  g->ring = g_ptr_array_new();
  g->neighbours = g_ptr_array_new();
  g->due = g_ptr_array_new();
  g->probes = g_array_new(FALSE, FALSE, sizeof(Probe));
  g->ping_requests = g_array_new(FALSE, FALSE, sizeof(PingRequest));
  g->seeds = g_array_new(FALSE, FALSE, sizeof(Seed));
  g_queue_init(&g->actions);
  g->self = add_entry(g, &n);
  g->full_state_at = -FULL_STATE_INTERVAL_S;
  note_view_change(g);
  rebuild_ring(g);
  return g;
}

void gossip_free(Gossip *g) {
  g_hash_table_destroy(g->entries);
  g_ptr_array_free(g->ring, TRUE);
  g_ptr_array_free(g->neighbours, TRUE);
  g_ptr_array_free(g->due, TRUE);
  g_array_free(g->probes, TRUE);
  g_array_free(g->ping_requests, TRUE);
  g_array_free(g->seeds, TRUE);
  g_queue_clear_full(&g->actions, g_free);
  g_rand_free(g->rng);
  g_free(g);
}

void gossip_add_seed(Gossip *g, double now, const char *peer) {
  Seed s = {.since = now, .next_at = now, .wait_s = SEED_RETRY_MIN_S};
  if (strcmp(peer, g->self->m.peer) == 0) return;
  g_strlcpy(s.peer, peer, sizeof s.peer);
  g_array_append_val(g->seeds, s);
}

void gossip_update_self(Gossip *g, bool leaving, uint64_t table) {
  Entry *self = g->self;
  self->m.table = table;
  if (self->m.leaving == leaving) return;
  self->m.leaving = leaving;
  self->generation++;
  mark_update_due(g, self);
  note_view_change(g);
}

/* == look-ups == */

const Member *gossip_get_self(const Gossip *g) {
  return &g->self->m;
}

double gossip_lost_at(const Gossip *g) {
  return g->lost_at;
}

uint64_t gossip_version(const Gossip *g) {
  return g->version;
}

View *gossip_view(Gossip *g) {
  rebuild_ring(g);
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Member));
  for (guint i = 0; i < g->ring->len; i++)
    g_array_append_val(all, ((Entry *)g->ring->pdata[i])->m);
  View *v = view_new((Member *)(void *)all->data, (int)all->len);
  g_array_free(all, TRUE);
  return v;
}

/* The pick is random, since the member with the newest table may have just
   died: requests to it would go unanswered for the 3 s until it counts as dead.
 */
const Member *gossip_find_newer_table(Gossip *g, uint64_t table) {
  const Entry *pick = NULL;
  int n = 0;
  for (guint i = 0; i < g->ring->len; i++) {
    const Entry *e = g->ring->pdata[i];
    if (e->m.table <= table) continue;
    if (g_rand_int_range(g->rng, 0, ++n) == 0) pick = e;
  }
  return pick ? &pick->m : NULL;
}
