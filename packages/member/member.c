/* member.c: heartbeats and the platform's list make one view. */
#include "member/member.h"

#include <string.h>

#define GREETINGS 4     /* the first ones are lost while a link is made */
#define GREET_FIRST 0.2 /* seconds until a seed is greeted again, doubled */
/* After a loss of power of all, seeds come up within a second of the others;
   so long greetings do not become rarer. */
#define GREET_SOON 2.0
#define GREET_MOST 30.0  /* seconds between greetings of a silent seed */
#define STRANGERS 512    /* introduced instances that are greeted at once */
#define STRANGER_TRIES 6 /* greetings until an introduced one is given up */
#define INTRODUCE_S 20.0 /* so long after a change others are introduced */
#define BEAT_BYTES 160   /* a heartbeat on the wire, with its frame */

typedef struct Peer {
  Member m;
  double heard;
  double moved;      /* when its table last was ours, or moved on */
  bool list_leaving; /* the platform says so */
  int greet;         /* greetings to come */
} Peer;

typedef struct Seed {
  MemberSeed m;
  bool stranger;        /* known by introduction only */
  int tries;            /* greetings that were not answered */
  double since;         /* when it was first greeted */
  double next_at, wait; /* the next one, seconds until the one after it */
} Seed;

struct MemberSet {
  Member self;
  bool self_leaving; /* the platform says so of us */
  GHashTable *peers; /* id -> Peer */
  GPtrArray *seeds;  /* Seed* of instances */
  bool greet;        /* somebody is to be greeted */
  double changed;    /* when the view last did */
  guint introduced;  /* whom we spoke of last */
  double next_near, next_far, next_greet;
};

MemberSet *member_new(const Member *self) {
  MemberSet *s = g_new0(MemberSet, 1);
  s->self = *self;
  s->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  s->seeds = g_ptr_array_new_with_free_func(g_free);
  return s;
}

void member_free(MemberSet *s) {
  g_hash_table_destroy(s->peers);
  g_ptr_array_free(s->seeds, TRUE);
  g_free(s);
}

/* "name" of "name.incarnation". */
static bool same_name(const char *id, const char *name) {
  size_t n = strlen(name);
  return strncmp(id, name, n) == 0 && (id[n] == '.' || id[n] == '\0');
}

static bool listed_leaving(const MemberSet *s, const char *id) {
  for (guint i = 0; i < s->seeds->len; i++) {
    const MemberSeed *x = &((Seed *)s->seeds->pdata[i])->m;
    if (x->leaving && same_name(id, x->name)) return true;
  }
  return false;
}

/* A restart at the same address ends the older incarnation. */
static bool drop_older(MemberSet *s, const Member *m) {
  bool dropped = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Peer *p = v;
    if (strcmp(p->m.peer, m->peer) != 0 || strcmp(p->m.id, m->id) == 0)
      continue;
    g_hash_table_iter_remove(&it);
    dropped = true;
  }
  return dropped;
}

bool member_receive_heartbeat(MemberSet *s, double now, const Member *m) {
  if (strcmp(m->id, s->self.id) == 0) return false;
  Peer *p = g_hash_table_lookup(s->peers, m->id);
  bool changed = !p;
  if (!p) {
    changed |= drop_older(s, m);
    p = g_new0(Peer, 1);
    p->m = *m;
    p->moved = now;
    p->greet = GREETINGS;
    s->greet = true;
    p->list_leaving = listed_leaving(s, m->id);
    g_hash_table_insert(s->peers, p->m.id, p);
    s->changed = now;
  }
  changed |= p->m.leaving != m->leaving || p->m.table != m->table;
  if (m->table > p->m.table || m->table >= s->self.table) p->moved = now;
  p->m = *m;
  p->heard = now;
  return changed;
}

bool member_tick(MemberSet *s, double now) {
  bool changed = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    if (p->m.table >= s->self.table) p->moved = now;
    double every_s = MAX(p->m.heartbeat_interval_s, MEMBER_HEARTBEAT_S);
    if (now - p->heard < every_s * MEMBER_MAX_MISSED_HEARTBEATS) continue;
    g_hash_table_iter_remove(&it);
    changed = true;
  }
  return changed;
}

static Seed *seed_at(const GPtrArray *seeds, const char *peer) {
  for (guint i = 0; i < seeds->len; i++) {
    Seed *x = seeds->pdata[i];
    if (strcmp(x->m.peer, peer) == 0) return x;
  }
  return NULL;
}

static Seed *add_seed(MemberSet *s, double now, const MemberSeed *m) {
  Seed *x = g_new0(Seed, 1);
  x->m = *m;
  x->since = x->next_at = now;
  x->wait = GREET_FIRST;
  g_ptr_array_add(s->seeds, x);
  return x;
}

/* == introductions == */

static bool known(const MemberSet *s, const char *peer) {
  GHashTableIter it;
  gpointer v;
  if (strcmp(s->self.peer, peer) == 0 || seed_at(s->seeds, peer)) return true;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (strcmp(((Peer *)v)->m.peer, peer) == 0) return true;
  return false;
}

void member_add_introduced(MemberSet *s, double now, const Member *m) {
  if (known(s, m->peer) || s->seeds->len >= STRANGERS) return;
  MemberSeed seed = {0};
  g_strlcpy(seed.name, m->id, sizeof seed.name);
  g_strlcpy(seed.peer, m->peer, sizeof seed.peer);
  add_seed(s, now, &seed)->stranger = true;
}

const Member *member_pick_introduction(MemberSet *s, double now,
                                       const char *to) {
  guint n = g_hash_table_size(s->peers);
  if (n < 2 || now - s->changed > INTRODUCE_S) return NULL;
  guint skip = ++s->introduced % n;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Peer *p = v;
    if (skip-- > 0) continue;
    return strcmp(p->m.peer, to) == 0 ? NULL : &p->m;
  }
  return NULL;
}

bool member_apply_list(MemberSet *s, double now, const MemberSeed *list,
                       int n) {
  bool changed = false;
  GPtrArray *old = s->seeds;
  s->seeds = g_ptr_array_new_with_free_func(g_free);
  for (int i = 0; i < n; i++) {
    if (list[i].target) continue;
    Seed *x = add_seed(s, now, &list[i]);
    const Seed *was = seed_at(old, list[i].peer);
    if (!was) continue;
    x->tries = was->tries;
    x->since = was->since;
    x->next_at = was->next_at;
    x->wait = was->wait;
  }
  g_ptr_array_free(old, TRUE);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    bool leaving = listed_leaving(s, p->m.id);
    changed |= leaving != p->list_leaving;
    p->list_leaving = leaving;
  }
  bool mine = listed_leaving(s, s->self.id);
  changed |= mine != s->self_leaving;
  s->self_leaving = mine;
  return changed;
}

bool member_update_self(MemberSet *s, bool leaving, uint64_t table) {
  bool changed = s->self.leaving != leaving || s->self.table != table;
  s->self.leaving = leaving;
  s->self.table = table;
  return changed;
}

const Member *member_get_self(const MemberSet *s) {
  return &s->self;
}

View *member_view(const MemberSet *s, double now) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Member));
  Member me = s->self;
  me.leaving = me.leaving || s->self_leaving;
  g_array_append_val(all, me);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Peer *p = v;
    Member m = p->m;
    m.leaving = m.leaving || p->list_leaving;
    m.table_stale_s = m.table < s->self.table ? now - p->moved : 0;
    g_array_append_val(all, m);
  }
  View *view = view_new((Member *)(void *)all->data, (int)all->len);
  g_array_free(all, TRUE);
  return view;
}

/* == heartbeats == */

static double interval(int n, double bytes) {
  return MAX(MEMBER_HEARTBEAT_S, n * BEAT_BYTES / bytes);
}

static bool is_near(const MemberSet *s, const Member *m) {
  return strcmp(m->region, s->self.region) == 0;
}

static void add_beat(GArray *out, const char *to, double every_s) {
  MemberHeartbeat b = {to, every_s};
  g_array_append_val(out, b);
}

/* Seeds that no heartbeat came from are greeted with doubling waits: while
   many start at once, the first greetings are lost. */
static void beat_seeds(MemberSet *s, double now, double every_s, GArray *out) {
  GHashTable *heard = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    g_hash_table_add(heard, ((Peer *)v)->m.peer);
  g_hash_table_add(heard, s->self.peer);
  for (guint i = s->seeds->len; i-- > 0;) {
    Seed *x = s->seeds->pdata[i];
    bool answered = g_hash_table_contains(heard, x->m.peer);
    if (x->stranger && (answered || x->tries >= STRANGER_TRIES)) {
      g_ptr_array_remove_index_fast(s->seeds, i);
      continue;
    }
    if (now < x->next_at) continue;
    if (answered) {
      x->tries = 0;
      x->wait = GREET_FIRST;
      x->next_at = now + GREET_MOST;
      continue;
    }
    add_beat(out, x->m.peer, every_s);
    x->tries++;
    x->next_at = now + x->wait;
    bool soon = !x->stranger && now - x->since < GREET_SOON;
    if (!soon) x->wait = MIN(x->wait * 2, GREET_MOST);
  }
  g_hash_table_destroy(heard);
}

static bool seed_due(const MemberSet *s, double now) {
  for (guint i = 0; i < s->seeds->len; i++)
    if (now >= ((Seed *)s->seeds->pdata[i])->next_at) return true;
  return false;
}

void member_collect_heartbeats(MemberSet *s, double now, GArray *out) {
  bool near = now >= s->next_near, far = now >= s->next_far;
  bool greet = s->greet && now >= s->next_greet;
  bool seeds = seed_due(s, now);
  if (!near && !far && !greet && !seeds) return;
  int n = 1, all = (int)MAX(g_hash_table_size(s->peers), s->seeds->len) + 1;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    n += is_near(s, &((Peer *)v)->m);
  bool small = all <= MEMBER_SMALL_INSTANCES;
  double near_s = interval(small ? all : n, small ? MEMBER_BYTES_PER_S : MEMBER_NEAR_BYTES_PER_S);
  double far_s = interval(all, small ? MEMBER_BYTES_PER_S : MEMBER_FAR_BYTES_PER_S);
  if (greet) {
    s->greet = false;
    s->next_greet = now + MEMBER_HEARTBEAT_S;
  }
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    bool in = is_near(s, &p->m);
    if ((in ? near : far) || (greet && p->greet > 0))
      add_beat(out, p->m.peer, in ? near_s : far_s);
    if (greet && p->greet > 0 && --p->greet > 0) s->greet = true;
  }
  if (seeds) beat_seeds(s, now, far_s, out);
  if (near) s->next_near = now + near_s;
  if (far) s->next_far = now + far_s;
}

void member_expedite_heartbeats(MemberSet *s) {
  s->next_near = s->next_far = 0;
  for (guint i = 0; i < s->seeds->len; i++)
    ((Seed *)s->seeds->pdata[i])->next_at = 0;
}
