/* member.c: builds one view from heartbeats and the platform's list. */
#include "member/member.h"

#include <string.h>

/* Heartbeats sent at once to a new member, called greetings: the first are lost
   while its link is set up. */
#define GREETING_COUNT 4
#define GREET_MIN_S 0.2 /* first retry delay to a seed, doubled */
/* After a power loss of the whole fleet, seeds come up within a second of each
   other. The retry delay is not doubled for this long. */
#define GREET_NO_BACKOFF_S 2.0
#define GREET_MAX_S 30.0       /* max retry delay to an unresponsive seed */
#define MAX_INTRODUCED 512     /* max introduced instances that are contacted */
#define INTRODUCED_MAX_TRIES 6 /* until an introduced one is dropped */
#define INTRODUCE_PERIOD_S 20.0 /* introductions go on for, after a change */
#define HEARTBEAT_BYTES 160     /* a heartbeat on the wire, with its frame */

typedef struct Peer {
  Member m;
  double heartbeat_at;   /* when its last heartbeat arrived */
  double table_moved_at; /* its table was last as new as ours, or advanced */
  bool list_leaving;     /* it is leaving according to the platform's list */
  int greetings_left;
} Peer;

typedef struct Seed {
  MemberSeed m;
  bool introduced; /* known by introduction only */
  int tries;       /* unanswered greetings */
  double first_greeted_at;
  double next_at, retry_s; /* next greeting, and the delay after it */
} Seed;

struct MemberSet {
  Member self;
  bool self_leaving;    /* this instance is leaving according to the platform's
                           list */
  GHashTable *peers;    /* id -> Peer */
  GPtrArray *seeds;     /* Seed* of instances */
  bool greet_pending;   /* some peer has greetings left */
  double added_at;      /* when a member was last added */
  guint introduce_turn; /* counts introductions, to take turns */
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
static bool id_has_name(const char *id, const char *name) {
  size_t n = strlen(name);
  return strncmp(id, name, n) == 0 && (id[n] == '.' || id[n] == '\0');
}

static bool is_listed_leaving(const MemberSet *s, const char *id) {
  for (guint i = 0; i < s->seeds->len; i++) {
    const MemberSeed *x = &((Seed *)s->seeds->pdata[i])->m;
    if (x->leaving && id_has_name(id, x->name)) return true;
  }
  return false;
}

/* A restart at the same address replaces the older incarnation. */
static bool remove_older_incarnation(MemberSet *s, const Member *m) {
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
    changed |= remove_older_incarnation(s, m);
    p = g_new0(Peer, 1);
    p->m = *m;
    p->table_moved_at = now;
    p->greetings_left = GREETING_COUNT;
    s->greet_pending = true;
    p->list_leaving = is_listed_leaving(s, m->id);
    g_hash_table_insert(s->peers, p->m.id, p);
    s->added_at = now;
  }
  changed |= p->m.leaving != m->leaving || p->m.table != m->table;
  if (m->table > p->m.table || m->table >= s->self.table)
    p->table_moved_at = now;
  p->m = *m;
  p->heartbeat_at = now;
  return changed;
}

bool member_tick(MemberSet *s, double now) {
  bool changed = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    if (p->m.table >= s->self.table) p->table_moved_at = now;
    double interval_s = MAX(p->m.heartbeat_interval_s, MEMBER_HEARTBEAT_S);
    if (now - p->heartbeat_at < interval_s * MEMBER_MAX_MISSED_HEARTBEATS)
      continue;
    g_hash_table_iter_remove(&it);
    changed = true;
  }
  return changed;
}

static Seed *find_seed(const GPtrArray *seeds, const char *peer) {
  for (guint i = 0; i < seeds->len; i++) {
    Seed *x = seeds->pdata[i];
    if (strcmp(x->m.peer, peer) == 0) return x;
  }
  return NULL;
}

static Seed *add_seed(MemberSet *s, double now, const MemberSeed *m) {
  Seed *x = g_new0(Seed, 1);
  x->m = *m;
  x->first_greeted_at = x->next_at = now;
  x->retry_s = GREET_MIN_S;
  g_ptr_array_add(s->seeds, x);
  return x;
}

/* == introductions == */

static bool is_known_address(const MemberSet *s, const char *peer) {
  GHashTableIter it;
  gpointer v;
  if (strcmp(s->self.peer, peer) == 0 || find_seed(s->seeds, peer)) return true;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (strcmp(((Peer *)v)->m.peer, peer) == 0) return true;
  return false;
}

void member_add_introduced(MemberSet *s, double now, const Member *m) {
  if (is_known_address(s, m->peer) || s->seeds->len >= MAX_INTRODUCED) return;
  MemberSeed seed = {0};
  g_strlcpy(seed.name, m->id, sizeof seed.name);
  g_strlcpy(seed.peer, m->peer, sizeof seed.peer);
  add_seed(s, now, &seed)->introduced = true;
}

const Member *member_pick_introduction(MemberSet *s, double now,
                                       const char *to) {
  guint n = g_hash_table_size(s->peers);
  if (n < 2 || now - s->added_at > INTRODUCE_PERIOD_S) return NULL;
  guint skip = ++s->introduce_turn % n;
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
    const Seed *earlier = find_seed(old, list[i].peer);
    if (!earlier) continue;
    x->tries = earlier->tries;
    x->first_greeted_at = earlier->first_greeted_at;
    x->next_at = earlier->next_at;
    x->retry_s = earlier->retry_s;
  }
  g_ptr_array_free(old, TRUE);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    bool leaving = is_listed_leaving(s, p->m.id);
    changed |= leaving != p->list_leaving;
    p->list_leaving = leaving;
  }
  bool mine = is_listed_leaving(s, s->self.id);
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
    m.table_stale_s = m.table < s->self.table ? now - p->table_moved_at : 0;
    g_array_append_val(all, m);
  }
  View *view = view_new((Member *)(void *)all->data, (int)all->len);
  g_array_free(all, TRUE);
  return view;
}

/* == heartbeats == */

static double heartbeat_interval(int n, double bytes) {
  return MAX(MEMBER_HEARTBEAT_S, n * HEARTBEAT_BYTES / bytes);
}

static bool is_near(const MemberSet *s, const Member *m) {
  return strcmp(m->region, s->self.region) == 0;
}

static void add_heartbeat(GArray *out, const char *to, double interval_s) {
  MemberHeartbeat b = {to, interval_s};
  g_array_append_val(out, b);
}

/* Seeds from which no heartbeat came are greeted with doubling delays: while
   many instances start at once, the first greetings are lost. */
static void greet_seeds(MemberSet *s, double now, double interval_s,
                        GArray *out) {
  GHashTable *answered_peers = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    g_hash_table_add(answered_peers, ((Peer *)v)->m.peer);
  g_hash_table_add(answered_peers, s->self.peer);
  for (guint i = s->seeds->len; i-- > 0;) {
    Seed *x = s->seeds->pdata[i];
    bool answered = g_hash_table_contains(answered_peers, x->m.peer);
    if (x->introduced && (answered || x->tries >= INTRODUCED_MAX_TRIES)) {
      g_ptr_array_remove_index_fast(s->seeds, i);
      continue;
    }
    if (now < x->next_at) continue;
    if (answered) {
      x->tries = 0;
      x->retry_s = GREET_MIN_S;
      x->next_at = now + GREET_MAX_S;
      continue;
    }
    add_heartbeat(out, x->m.peer, interval_s);
    x->tries++;
    x->next_at = now + x->retry_s;
    bool is_recent =
        !x->introduced && now - x->first_greeted_at < GREET_NO_BACKOFF_S;
    if (!is_recent) x->retry_s = MIN(x->retry_s * 2, GREET_MAX_S);
  }
  g_hash_table_destroy(answered_peers);
}

static bool is_seed_due(const MemberSet *s, double now) {
  for (guint i = 0; i < s->seeds->len; i++)
    if (now >= ((Seed *)s->seeds->pdata[i])->next_at) return true;
  return false;
}

void member_collect_heartbeats(MemberSet *s, double now, GArray *out) {
  bool near = now >= s->next_near, far = now >= s->next_far;
  bool greeting_due = s->greet_pending && now >= s->next_greet;
  bool seeds = is_seed_due(s, now);
  if (!near && !far && !greeting_due && !seeds) return;
  int n = 1, all = (int)MAX(g_hash_table_size(s->peers), s->seeds->len) + 1;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    n += is_near(s, &((Peer *)v)->m);
  bool small = all <= MEMBER_SMALL_INSTANCES;
  double near_s = heartbeat_interval(
      small ? all : n, small ? MEMBER_BYTES_PER_S : MEMBER_NEAR_BYTES_PER_S);
  double far_s = heartbeat_interval(all, small ? MEMBER_BYTES_PER_S
                                               : MEMBER_FAR_BYTES_PER_S);
  if (greeting_due) {
    s->greet_pending = false;
    s->next_greet = now + MEMBER_HEARTBEAT_S;
  }
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    bool is_same_region = is_near(s, &p->m);
    if ((is_same_region ? near : far) ||
        (greeting_due && p->greetings_left > 0))
      add_heartbeat(out, p->m.peer, is_same_region ? near_s : far_s);
    if (greeting_due && p->greetings_left > 0 && --p->greetings_left > 0)
      s->greet_pending = true;
  }
  if (seeds) greet_seeds(s, now, far_s, out);
  if (near) s->next_near = now + near_s;
  if (far) s->next_far = now + far_s;
}

void member_expedite_heartbeats(MemberSet *s) {
  s->next_near = s->next_far = 0;
  for (guint i = 0; i < s->seeds->len; i++)
    ((Seed *)s->seeds->pdata[i])->next_at = 0;
}
