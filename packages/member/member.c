/* member.c: heartbeats and the platform's list make one view. */
#include "member/member.h"

#include <string.h>

#define BEAT_BYTES 160 /* a heartbeat on the wire, with its frame */

typedef struct Peer {
  Member m;
  double heard;
  double moved;      /* when its table last was ours, or moved on */
  bool list_leaving; /* the platform says so */
} Peer;

struct MemberSet {
  Member self;
  bool self_leaving; /* the platform says so of us */
  GHashTable *peers; /* id -> Peer */
  GPtrArray *seeds;  /* MemberSeed* of instances */
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

double member_interval(const MemberSet *s) {
  double n = g_hash_table_size(s->peers) + 1;
  return MAX(MEMBER_BEAT, n * BEAT_BYTES / MEMBER_BYTES);
}

/* "name" of "name.incarnation". */
static bool same_name(const char *id, const char *name) {
  size_t n = strlen(name);
  return strncmp(id, name, n) == 0 && (id[n] == '.' || id[n] == '\0');
}

static bool listed_leaving(const MemberSet *s, const char *id) {
  for (guint i = 0; i < s->seeds->len; i++) {
    const MemberSeed *x = s->seeds->pdata[i];
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

bool member_heard(MemberSet *s, double now, const Member *m) {
  if (strcmp(m->id, s->self.id) == 0) return false;
  Peer *p = g_hash_table_lookup(s->peers, m->id);
  bool changed = !p;
  if (!p) {
    changed |= drop_older(s, m);
    p = g_new0(Peer, 1);
    p->m = *m;
    p->moved = now;
    p->list_leaving = listed_leaving(s, m->id);
    g_hash_table_insert(s->peers, p->m.id, p);
  }
  changed |= p->m.leaving != m->leaving || p->m.table != m->table;
  if (m->table > p->m.table || m->table >= s->self.table) p->moved = now;
  p->m = *m;
  p->heard = now;
  return changed;
}

bool member_tick(MemberSet *s, double now) {
  bool changed = false;
  double silent = member_interval(s) * MEMBER_SILENT;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Peer *p = v;
    if (p->m.table >= s->self.table) p->moved = now;
    if (now - p->heard < silent) continue;
    g_hash_table_iter_remove(&it);
    changed = true;
  }
  return changed;
}

bool member_listed(MemberSet *s, double now, const MemberSeed *list, int n) {
  (void)now;
  bool changed = false;
  g_ptr_array_set_size(s->seeds, 0);
  for (int i = 0; i < n; i++)
    if (!list[i].target)
      g_ptr_array_add(s->seeds, g_memdup2(&list[i], sizeof list[i]));
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

bool member_self(MemberSet *s, bool leaving, uint64_t table) {
  bool changed = s->self.leaving != leaving || s->self.table != table;
  s->self.leaving = leaving;
  s->self.table = table;
  return changed;
}

const Member *member_me(const MemberSet *s) {
  return &s->self;
}

static int by_id(const void *a, const void *b) {
  return strcmp(((const Member *)a)->id, ((const Member *)b)->id);
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
    m.stuck_s = m.table < s->self.table ? now - p->moved : 0;
    g_array_append_val(all, m);
  }
  qsort(all->data, all->len, sizeof(Member), by_id);
  View *view = view_new((Member *)(void *)all->data, (int)all->len);
  g_array_free(all, TRUE);
  return view;
}

GPtrArray *member_addresses(const MemberSet *s) {
  GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, s->peers);
  while (g_hash_table_iter_next(&it, NULL, &v))
    g_hash_table_add(set, ((Peer *)v)->m.peer);
  for (guint i = 0; i < s->seeds->len; i++)
    g_hash_table_add(set, ((MemberSeed *)s->seeds->pdata[i])->peer);
  g_hash_table_remove(set, s->self.peer);
  GPtrArray *a = g_ptr_array_new();
  g_hash_table_iter_init(&it, set);
  while (g_hash_table_iter_next(&it, &k, NULL)) g_ptr_array_add(a, k);
  g_hash_table_destroy(set);
  return a;
}
