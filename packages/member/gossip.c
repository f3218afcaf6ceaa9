/* gossip.c: probes, suspicion and news of members. */
#include "member/gossip.h"

#include <string.h>

#include "kernel/text.h"

/* Each neighbour is asked this often, in seconds. With nine neighbours of 295
   instances a lost one is asked within a quarter of a second by somebody. */
#define PING_EVERY_S 2.0
/* Between two of our own questions. In a large fleet an instance has as many
   who ask it as it asks itself, so that it is asked this often whatever the
   number of neighbours. */
#define PING_LEAST_S 0.3
/* An answer takes 3 ms and the receiver's turn; instances with an eighth of a
   core take up to a few tenths of a second for a turn. */
#define ACK_S 0.5
#define HELP_S 0.6 /* for the answer by way of others */
#define HELPERS 3  /* others that are asked for help */
/* A suspect has this long to object: there and back over the ring some times.
 */
#define SUSPECT_S 2.0
#define GONE_S                                                                 \
  60.0 /* a lost member is remembered, so that old news of it do               \
          not bring it back */
/* A lost member is asked now and then: a cut that heals looks like this. */
#define REVIVE_EVERY_S 1.0
/* We were held up ourselves: no answer is missing because of that. */
#define STALL_S 0.3
#define SEED_FIRST_S 0.2 /* until a seed is asked again, doubled */
/* After a loss of power of all, seeds come up within a second of the others;
   so long questions do not become rarer. */
#define SEED_SOON_S 2.0
#define SEED_MOST_S 30.0
/* Lists of all members, 90 bytes each: to whoever is new at once, else where
   two went on differing for a while, for news are on the way most of the time.
 */
#define ALL_FRESH_S 0.1
#define ALL_EVERY_S 0.5
#define DIFFER_S 0.3
/* News go to all neighbours, but when so many are due at once: at a start of
   all each would hear each of them from everybody, and the copies would grow
   with the square of the fleet and its logarithm. Then they go to a few, by
   chance; who misses one differs from its neighbours, and asks. */
#define NEWS_MANY 32
#define NEWS_COPIES 6
#define TELLERS 4 /* neighbours that are known to know of a news */
#define FILL 16   /* members that are told where a whole list is not due */

/* One member as we know it. */
typedef struct Entry {
  Member m;
  uint64_t hash; /* of its id */
  uint32_t life;
  GossipState state;
  double until; /* SUSPECT: counts as gone then; GONE: is forgotten then */
  bool fresh;   /* the neighbours are to hear of it */
  bool met;     /* it spoke to us itself */
  uint64_t teller[TELLERS]; /* who told the same, since it is fresh */
  guint tellers;
} Entry;

/* A question without an answer yet. */
typedef struct Probe {
  uint64_t hash;
  double sent;
  bool helped;
} Probe;

/* Somebody waits for word of `about` by way of us. */
typedef struct Favour {
  uint64_t asker, about;
  double until;
} Favour;

typedef struct Seed {
  char peer[LIMIT_NAME_BYTES];
  double since, next_at, wait_s;
} Seed;

struct Gossip {
  Entry *self;
  GRand *rng;
  double now, ticked;
  GHashTable *entries;  /* hash -> Entry, of all that are known */
  GPtrArray *ring;      /* Entry* that are not gone, with ourselves, by place */
  GPtrArray *neighbour; /* Entry* whom we ask and tell */
  bool ring_stale;
  GPtrArray *fresh; /* Entry* */
  GArray *probes;   /* Probe */
  GArray *favours;  /* Favour */
  GArray *seeds;    /* Seed */
  GQueue actions;   /* GossipAction* */
  guint turn;       /* neighbour that is asked next */
  double ping_at, revive_at, sweep_at;
  double all_at;  /* when a list of all last went out */
  double differs; /* since when a neighbour's digest is another, 0: it is not */
  uint64_t version;
};

/* == entries == */

static Entry *find(const Gossip *g, uint64_t hash) {
  return g_hash_table_lookup(g->entries, &hash);
}

static bool is_there(const Entry *e) {
  return e->state != GOSSIP_DEAD;
}

static void changed(Gossip *g) {
  g->ring_stale = true;
  g->version++;
}

static void freshen(Gossip *g, Entry *e) {
  e->tellers = 0; /* they told what was before */
  if (e->fresh) return;
  e->fresh = true;
  g_ptr_array_add(g->fresh, e);
}

static void note_teller(Entry *e, uint64_t from) {
  if (e->fresh && e->tellers < TELLERS) e->teller[e->tellers++] = from;
}

static bool has_told(const Entry *e, uint64_t hash) {
  for (guint i = 0; i < e->tellers; i++)
    if (e->teller[i] == hash) return true;
  return false;
}

static Entry *add_entry(Gossip *g, const GossipUpdate *n) {
  Entry *e = g_new0(Entry, 1);
  e->m = n->m;
  e->hash = text_hash(n->m.id);
  e->life = n->generation;
  e->state = n->state;
  g_hash_table_insert(g->entries, &e->hash, e);
  return e;
}

/* Sets what follows from the state. */
static void enter(Gossip *g, Entry *e, GossipState state) {
  static const double lasts[GOSSIP_STATES] = {0, SUSPECT_S, GONE_S};
  e->state = state;
  e->until = g->now + lasts[state];
  freshen(g, e);
}

/* == the ring == */

/* Regions, then data centres stand together, so that most neighbours are near;
   within one the place is by hash. */
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

/* Where the members of the data centre of `ring[at]` end. */
static guint dc_end(const Gossip *g, guint at) {
  guint end = at;
  while (end < g->ring->len && same_dc(g->ring->pdata[at], g->ring->pdata[end]))
    end++;
  return end;
}

/* The first of ring[from, end) at `point` or after it, going round. */
static Entry *after_point(const Gossip *g, guint from, guint end,
                          uint64_t point) {
  for (guint i = from; i < end; i++) {
    Entry *e = g->ring->pdata[i];
    if (e->hash >= point) return e;
  }
  return g->ring->pdata[from];
}

static void add_neighbour(Gossip *g, Entry *e) {
  if (e != g->self && !g_ptr_array_find(g->neighbour, e, NULL))
    g_ptr_array_add(g->neighbour, e);
}

/* The one before us and the next two: nobody is without some who ask it,
   however the points fall. */
static void add_sides(Gossip *g, guint from, guint end) {
  guint n = end - from, at = from;
  while (g->ring->pdata[at] != g->self) at++;
  at -= from;
  add_neighbour(g, g->ring->pdata[from + (at + 1) % n]);
  add_neighbour(g, g->ring->pdata[from + (at + 2) % n]);
  add_neighbour(g, g->ring->pdata[from + (at + n - 1) % n]);
}

/* In our data centre whoever comes after the points half the circle on, a
   quarter, an eighth and so on, down to the next one. The points stand still,
   so that neighbours change a few times, not with each newcomer, while a fleet
   starts: each change is a new link. */
static void add_near(Gossip *g, guint from, guint end) {
  const Entry *next = after_point(g, from, end, g->self->hash + 1);
  uint64_t step = (uint64_t)1 << 63;
  Entry *e = NULL;
  for (; step > 0 && e != next; step /= 2) {
    e = after_point(g, from, end, g->self->hash + step);
    add_neighbour(g, e);
  }
}

/* One member in each of the data centres 1, 2, 4 .. further on. */
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

static void rebuild(Gossip *g) {
  if (!g->ring_stale) return;
  g->ring_stale = false;
  GHashTableIter it;
  gpointer v;
  g_ptr_array_set_size(g->ring, 0);
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (is_there(v)) g_ptr_array_add(g->ring, v);
  g_ptr_array_sort(g->ring, by_place);
  guint from = 0;
  while (!same_dc(g->ring->pdata[from], g->self)) from++;
  guint end = dc_end(g, from);
  g_ptr_array_set_size(g->neighbour, 0);
  add_sides(g, from, end);
  add_near(g, from, end);
  add_far(g, end);
}

static uint64_t mix(uint64_t h) {
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  return h ^ h >> 33;
}

static uint64_t digest(Gossip *g) {
  uint64_t sum = 0;
  rebuild(g);
  for (guint i = 0; i < g->ring->len; i++) {
    const Entry *e = g->ring->pdata[i];
    sum ^= mix(e->hash + e->m.leaving);
  }
  return sum;
}

/* Another member that is there, at random; NULL: we are alone. */
static Entry *anyone(Gossip *g) {
  rebuild(g);
  if (g->ring->len < 2) return NULL;
  int n = (int)g->ring->len;
  Entry *e = g->ring->pdata[g_rand_int_range(g->rng, 0, n)];
  return e == g->self ? g->neighbour->pdata[0] : e;
}

/* == actions == */

static GossipAction *act(Gossip *g, const char *to, uint64_t id) {
  GossipAction *a = g_new0(GossipAction, 1);
  g_strlcpy(a->to, to, sizeof a->to);
  a->id = id;
  g_queue_push_tail(&g->actions, a);
  return a;
}

static void send_news(Gossip *g, const char *to, uint64_t id, const Entry *e) {
  GossipAction *a = act(g, to, id);
  a->is_update = true;
  a->update =
      (GossipUpdate){.m = e->m, .generation = e->life, .state = e->state};
}

static void send_msg(Gossip *g, const char *to, uint64_t id, GossipKind kind,
                     uint64_t about) {
  GossipAction *a = act(g, to, id);
  a->msg = (GossipMsg){.kind = kind,
                       .subject = about,
                       .digest = digest(g),
                       .table = g->self->m.table};
}

/* A question or an answer brings who we are, and what is held against the
   receiver, so that it can object. */
static void send_word(Gossip *g, const Entry *to, GossipKind kind) {
  send_news(g, to->m.peer, to->hash, g->self);
  if (to->state != GOSSIP_ALIVE) send_news(g, to->m.peer, to->hash, to);
  send_msg(g, to->m.peer, to->hash, kind, 0);
}

static void ping(Gossip *g, const Entry *to) {
  send_word(g, to, GOSSIP_PING);
  for (guint i = 0; i < g->probes->len; i++)
    if (g_array_index(g->probes, Probe, i).hash == to->hash) return;
  Probe p = {.hash = to->hash, .sent = g->now};
  g_array_append_val(g->probes, p);
}

/* Lost members are part of the list: else old news would bring them back. */
static void send_all(Gossip *g, const Entry *to, bool answer) {
  GHashTableIter it;
  gpointer v;
  g->all_at = g->now;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v))
    send_news(g, to->m.peer, to->hash, v);
  send_msg(g, to->m.peer, to->hash, GOSSIP_FULL_STATE, 0);
  GossipAction *last = g_queue_peek_tail(&g->actions);
  last->msg.is_reply = answer;
}

static void send_some(Gossip *g, const Entry *to) {
  for (int i = 0; i < FILL; i++) {
    const Entry *e = anyone(g);
    if (e && e != to) send_news(g, to->m.peer, to->hash, e);
  }
}

/* == what is said of members == */

/* Only we can say that we are there after all, or that we leave. */
static void about_self(Gossip *g, const GossipUpdate *n) {
  Entry *self = g->self;
  if (n->generation < self->life || n->state == GOSSIP_ALIVE) return;
  self->life = n->generation + 1;
  freshen(g, self);
}

/* A restart at the same address ends the older life; told by itself only. */
static void end_older(Gossip *g, const Entry *now_there) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Entry *e = v;
    if (e == now_there || e == g->self || !is_there(e)) continue;
    if (strcmp(e->m.peer, now_there->m.peer) != 0) continue;
    enter(g, e, GOSSIP_DEAD);
    changed(g);
  }
}

static bool counts_more(const GossipUpdate *n, const Entry *e) {
  if (n->generation != e->life) return n->generation > e->life;
  return n->state > e->state;
}

static Entry *take_news(Gossip *g, const GossipUpdate *n) {
  Entry *e = find(g, text_hash(n->m.id));
  if (!e) {
    e = add_entry(g, n);
    enter(g, e, n->state);
    if (is_there(e)) changed(g);
    return e;
  }
  if (!counts_more(n, e)) return e;
  bool was = is_there(e), left = e->m.leaving;
  uint64_t table = e->m.table;
  e->m = n->m;
  e->m.table = table;
  e->life = n->generation;
  enter(g, e, n->state);
  if (was != is_there(e) || left != e->m.leaving) changed(g);
  return e;
}

void gossip_receive_update(Gossip *g, double now, uint64_t from,
                           const GossipUpdate *n) {
  uint64_t hash = text_hash(n->m.id);
  g->now = now;
  if (hash == g->self->hash) {
    about_self(g, n);
    return;
  }
  bool known = find(g, hash) != NULL;
  Entry *e = take_news(g, n);
  if (e->life == n->generation && e->state == n->state) note_teller(e, from);
  if (hash != from) return;
  if (!is_there(e)) { /* it does not know yet that it counts as lost */
    send_news(g, n->m.peer, hash, e);
    return;
  }
  if (!e->met) end_older(g, e);
  e->met = true;
  if (known) return;
  if (now - g->all_at >= ALL_FRESH_S)
    send_all(g, e, false);
  else
    send_some(g, e);
}

/* == messages == */

static void drop_probe(Gossip *g, uint64_t hash) {
  for (guint i = g->probes->len; i-- > 0;)
    if (g_array_index(g->probes, Probe, i).hash == hash)
      g_array_remove_index_fast(g->probes, i);
}

/* Whoever asked us about this member hears that it is there. */
static void do_favours(Gossip *g, uint64_t hash) {
  for (guint i = g->favours->len; i-- > 0;) {
    Favour f = g_array_index(g->favours, Favour, i);
    if (f.about != hash) continue;
    const Entry *asker = find(g, f.asker);
    if (asker)
      send_msg(g, asker->m.peer, asker->hash, GOSSIP_INDIRECT_ACK, f.about);
    g_array_remove_index_fast(g->favours, i);
  }
}

static void help(Gossip *g, uint64_t from, uint64_t about) {
  const Entry *e = find(g, about);
  if (!e || e == g->self) return;
  Favour f = {from, about, g->now + HELP_S};
  g_array_append_val(g->favours, f);
  send_word(g, e, GOSSIP_PING);
}

/* Two that go on differing exchange all that they know. */
static void compare(Gossip *g, const Entry *with, const GossipMsg *m) {
  if (m->digest == digest(g)) {
    g->differs = 0;
    return;
  }
  if (m->kind == GOSSIP_FULL_STATE) {
    if (!m->is_reply) send_all(g, with, true);
    return;
  }
  if (g->differs == 0) g->differs = g->now;
  if (g->now - g->differs < DIFFER_S) return;
  if (g->now - g->all_at < ALL_EVERY_S) return;
  send_all(g, with, false);
}

void gossip_receive(Gossip *g, double now, uint64_t from, const GossipMsg *m) {
  Entry *e = find(g, from);
  g->now = now;
  if (!e || e == g->self) return; /* its own news should have come before */
  e->m.table = m->table;
  drop_probe(g, from);
  do_favours(g, from);
  switch (m->kind) {
  case GOSSIP_PING: send_word(g, e, GOSSIP_ACK); break;
  case GOSSIP_PING_REQUEST: help(g, from, m->subject); return;
  case GOSSIP_INDIRECT_ACK: drop_probe(g, m->subject); return;
  case GOSSIP_ACK:
  case GOSSIP_FULL_STATE:
  case GOSSIP_KINDS: break;
  }
  if (is_there(e)) compare(g, e, m);
}

/* == time == */

static void ask_for_help(Gossip *g, const Entry *about) {
  for (int i = 0; i < HELPERS; i++) {
    const Entry *e = anyone(g);
    if (e && e != about)
      send_msg(g, e->m.peer, e->hash, GOSSIP_PING_REQUEST, about->hash);
  }
}

/* It is asked once more, and so hears what is held against it. */
static void suspect(Gossip *g, Entry *e) {
  if (e->state == GOSSIP_ALIVE) enter(g, e, GOSSIP_SUSPECT);
  if (is_there(e)) send_word(g, e, GOSSIP_PING);
}

static void tick_probes(Gossip *g) {
  for (guint i = g->probes->len; i-- > 0;) {
    Probe *p = &g_array_index(g->probes, Probe, i);
    Entry *e = find(g, p->hash);
    double waited = g->now - p->sent;
    if (e && waited < ACK_S) continue;
    if (e && !p->helped && is_there(e)) {
      p->helped = true;
      ask_for_help(g, e);
      continue;
    }
    if (e && waited < ACK_S + HELP_S) continue;
    if (e) suspect(g, e);
    g_array_remove_index_fast(g->probes, i);
  }
  for (guint i = g->favours->len; i-- > 0;)
    if (g_array_index(g->favours, Favour, i).until <= g->now)
      g_array_remove_index_fast(g->favours, i);
}

static void tick_suspects(Gossip *g) {
  rebuild(g);
  for (guint i = 0; i < g->ring->len; i++) {
    Entry *e = g->ring->pdata[i];
    if (e->state != GOSSIP_SUSPECT || g->now < e->until) continue;
    enter(g, e, GOSSIP_DEAD);
    changed(g);
  }
}

/* Our own pause is nobody's silence. */
static void forgive(Gossip *g, double held_up) {
  for (guint i = 0; i < g->probes->len; i++)
    g_array_index(g->probes, Probe, i).sent += held_up;
  for (guint i = 0; i < g->ring->len; i++)
    ((Entry *)g->ring->pdata[i])->until += held_up;
}

static gboolean is_old(gpointer key, gpointer value, gpointer ctx) {
  (void)key;
  const Entry *e = value;
  const Gossip *g = ctx;
  return e->state == GOSSIP_DEAD && !e->fresh && g->now >= e->until;
}

static void sweep(Gossip *g) {
  if (g->now < g->sweep_at) return;
  g->sweep_at = g->now + GONE_S / 10;
  g_hash_table_foreach_remove(g->entries, is_old, g);
}

/* One that counts as lost, and did not say that it leaves. */
static void revive(Gossip *g) {
  if (g->now < g->revive_at) return;
  g->revive_at = g->now + REVIVE_EVERY_S;
  GHashTableIter it;
  gpointer v;
  const Entry *lost = NULL;
  int n = 0;
  g_hash_table_iter_init(&it, g->entries);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Entry *e = v;
    if (is_there(e) || e->m.leaving) continue;
    if (g_rand_int_range(g->rng, 0, ++n) == 0) lost = e;
  }
  if (lost) send_word(g, lost, GOSSIP_PING);
}

static void tick_pings(Gossip *g) {
  rebuild(g);
  if (g->neighbour->len == 0 || g->now < g->ping_at) return;
  double every = MAX(PING_EVERY_S / g->neighbour->len, PING_LEAST_S);
  g->ping_at = g->now + every;
  ping(g, g->neighbour->pdata[g->turn++ % g->neighbour->len]);
}

static bool is_known(const Gossip *g, const char *peer) {
  for (guint i = 0; i < g->ring->len; i++)
    if (strcmp(((Entry *)g->ring->pdata[i])->m.peer, peer) == 0) return true;
  return false;
}

static void tick_seeds(Gossip *g) {
  for (guint i = 0; i < g->seeds->len; i++) {
    Seed *s = &g_array_index(g->seeds, Seed, i);
    if (g->now < s->next_at) continue;
    if (is_known(g, s->peer)) {
      s->since = g->now;
      s->wait_s = SEED_FIRST_S;
      s->next_at = g->now + SEED_FIRST_S;
      continue;
    }
    send_news(g, s->peer, 0, g->self);
    send_msg(g, s->peer, 0, GOSSIP_PING, 0);
    s->next_at = g->now + s->wait_s;
    if (g->now - s->since >= SEED_SOON_S)
      s->wait_s = MIN(s->wait_s * 2, SEED_MOST_S);
  }
}

/* To `most` neighbours, from one by chance on, who did not tell us the same. */
static void spread_one(Gossip *g, const Entry *e, guint most) {
  guint n = g->neighbour->len, sent = 0;
  guint from = most < n ? (guint)g_rand_int_range(g->rng, 0, (gint32)n) : 0;
  for (guint k = 0; k < n && sent < most; k++) {
    const Entry *to = g->neighbour->pdata[(from + k) % n];
    if ((to == e && e->state == GOSSIP_ALIVE) || has_told(e, to->hash))
      continue;
    send_news(g, to->m.peer, to->hash, e);
    sent++;
  }
}

static void spread(Gossip *g) {
  if (g->fresh->len == 0) return;
  rebuild(g);
  guint most = g->fresh->len > NEWS_MANY ? NEWS_COPIES : G_MAXUINT;
  for (guint i = 0; i < g->fresh->len; i++) {
    Entry *e = g->fresh->pdata[i];
    e->fresh = false;
    spread_one(g, e, most);
  }
  g_ptr_array_set_size(g->fresh, 0);
}

void gossip_tick(Gossip *g, double now) {
  double held_up = g->ticked > 0 ? now - g->ticked : 0;
  g->now = g->ticked = now;
  if (held_up > STALL_S) forgive(g, held_up);
  tick_probes(g);
  tick_suspects(g);
  tick_pings(g);
  tick_seeds(g);
  revive(g);
  spread(g);
  sweep(g);
}

bool gossip_take_action(Gossip *g, GossipAction *a) {
  GossipAction *next = g_queue_pop_head(&g->actions);
  if (!next) return false;
  *a = *next;
  g_free(next);
  return true;
}

/* == open and close == */

Gossip *gossip_new(const Member *self, uint32_t seed) {
  Gossip *g = g_new0(Gossip, 1);
  GossipUpdate n = {.m = *self, .generation = 1, .state = GOSSIP_ALIVE};
  g->rng = g_rand_new_with_seed(seed);
  g->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  g->ring = g_ptr_array_new();
  g->neighbour = g_ptr_array_new();
  g->fresh = g_ptr_array_new();
  g->probes = g_array_new(FALSE, FALSE, sizeof(Probe));
  g->favours = g_array_new(FALSE, FALSE, sizeof(Favour));
  g->seeds = g_array_new(FALSE, FALSE, sizeof(Seed));
  g_queue_init(&g->actions);
  g->self = add_entry(g, &n);
  g->all_at = -ALL_EVERY_S;
  changed(g);
  rebuild(g);
  return g;
}

void gossip_free(Gossip *g) {
  g_hash_table_destroy(g->entries);
  g_ptr_array_free(g->ring, TRUE);
  g_ptr_array_free(g->neighbour, TRUE);
  g_ptr_array_free(g->fresh, TRUE);
  g_array_free(g->probes, TRUE);
  g_array_free(g->favours, TRUE);
  g_array_free(g->seeds, TRUE);
  g_queue_clear_full(&g->actions, g_free);
  g_rand_free(g->rng);
  g_free(g);
}

void gossip_add_seed(Gossip *g, double now, const char *peer) {
  Seed s = {.since = now, .next_at = now, .wait_s = SEED_FIRST_S};
  if (strcmp(peer, g->self->m.peer) == 0) return;
  g_strlcpy(s.peer, peer, sizeof s.peer);
  g_array_append_val(g->seeds, s);
}

void gossip_update_self(Gossip *g, bool leaving, uint64_t table) {
  Entry *self = g->self;
  self->m.table = table;
  if (self->m.leaving == leaving) return;
  self->m.leaving = leaving;
  self->life++;
  freshen(g, self);
  changed(g);
}

/* == look-ups == */

const Member *gossip_get_self(const Gossip *g) {
  return &g->self->m;
}

uint64_t gossip_version(const Gossip *g) {
  return g->version;
}

View *gossip_view(Gossip *g) {
  rebuild(g);
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Member));
  for (guint i = 0; i < g->ring->len; i++)
    g_array_append_val(all, ((Entry *)g->ring->pdata[i])->m);
  View *v = view_new((Member *)(void *)all->data, (int)all->len);
  g_array_free(all, TRUE);
  return v;
}

/* At random, since the newest may be the one that has just died: it would be
   asked in vain until it counts as lost, 3 s. */
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
