/* gateways.c: the members through which targets can be reached. */
#include "route/gateways.h"

#include <glib.h>
#include <string.h>

#include "kernel/text.h"

/* A gateway that fails is passed over for this long, doubled with each failure
   in a row. It may be partitioned from the targets as well, for seconds. */
#define AVOID_MIN_S 0.5
#define AVOID_MAX_S 4.0

/* Whom to prefer, the nearest first. */
typedef enum { GATEWAY_SAME_DC, GATEWAY_SAME_REGION, GATEWAY_FAR } Distance;

typedef struct Gateway {
  char addr[LIMIT_NAME_BYTES];
  char id[LIMIT_ID_BYTES];
  uint64_t hash; /* of `id` */
  RegionSet region;
  Distance distance;
  double avoid_s; /* last time for which it was passed over; 0: it works */
  double avoided_until;
} Gateway;

struct Gateways {
  Member self;
  int port;
  GHashTable *by_addr; /* addr -> Gateway */
};

Gateways *gateways_new(const Member *self, int port) {
  Gateways *g = g_new0(Gateways, 1);
  g->self = *self;
  g->port = port;
  g->by_addr = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  return g;
}

void gateways_free(Gateways *g) {
  g_hash_table_destroy(g->by_addr);
  g_free(g);
}

/* == members == */

/* Writes the address of a member's tunnels; false: it has no valid one. */
static bool format_addr(const Gateways *g, const Member *m, char *out,
                        size_t size) {
  static const char scheme[] = "tcp://";
  if (!g_str_has_prefix(m->peer, scheme)) return false;
  const char *ip = m->peer + strlen(scheme), *colon = strrchr(ip, ':');
  if (!colon) return false;
  return g_snprintf(out, size, "%.*s:%d", (int)(colon - ip), ip, g->port) <
         (int)size;
}

static Distance distance_of(const Gateways *g, const Member *m) {
  if (strcmp(m->region, g->self.region) != 0) return GATEWAY_FAR;
  return strcmp(m->dc, g->self.dc) == 0 ? GATEWAY_SAME_DC : GATEWAY_SAME_REGION;
}

/* Adds a member to `members`; what is known of its address is kept while its
   process is the same. */
static void add_member(const Gateways *g, GHashTable *members, const Member *m,
                       const Regions *r) {
  Gateway *new = g_new0(Gateway, 1);
  if (!format_addr(g, m, new->addr, sizeof new->addr)) {
    g_free(new);
    return;
  }
  const Gateway *old = g_hash_table_lookup(g->by_addr, new->addr);
  g_strlcpy(new->id, m->id, sizeof new->id);
  new->hash = text_hash(m->id);
  new->region = regions_by_name(r, m->region);
  new->distance = distance_of(g, m);
  if (old && old->hash == new->hash) {
    new->avoid_s = old->avoid_s;
    new->avoided_until = old->avoided_until;
  }
  g_hash_table_replace(members, new->addr, new);
}

void gateways_set_members(Gateways *g, const View *v, const Regions *r) {
  GHashTable *members =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  for (int i = 0; i < v->n; i++) {
    const Member *m = &v->list[i];
    if (!m->leaving && strcmp(m->id, g->self.id) != 0)
      add_member(g, members, m, r);
  }
  g_hash_table_destroy(g->by_addr);
  g->by_addr = members;
}

int gateways_count(const Gateways *g) {
  return (int)g_hash_table_size(g->by_addr);
}

bool gateways_has(const Gateways *g, const char *addr) {
  return g_hash_table_contains(g->by_addr, addr);
}

const char *gateways_id(const Gateways *g, const char *addr) {
  const Gateway *w = g_hash_table_lookup(g->by_addr, addr);
  return w ? w->id : "";
}

/* == choice == */

/* Rendezvous hashing; our own id makes other instances choose differently. */
static uint64_t score(const Gateways *g, const Gateway *w, uint64_t target) {
  uint64_t h = w->hash ^ target * 0x9e3779b97f4a7c15ULL ^
               text_hash(g->self.id) * 0xc2b2ae3d27d4eb4fULL;
  h = (h ^ h >> 32) * 0xd6e8feb86659fd93ULL;
  return h ^ h >> 32;
}

const char *gateways_pick(const Gateways *g, double now, uint64_t target,
                          RegionSet allowed) {
  const Gateway *best = NULL;
  uint64_t top = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, g->by_addr);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Gateway *w = v;
    if (now < w->avoided_until ||
        !regions_admit(allowed, w->region, REGIONS_GATEWAY))
      continue;
    if (best && w->distance > best->distance) continue;
    uint64_t s = score(g, w, target);
    if (best && w->distance == best->distance && s <= top) continue;
    best = w;
    top = s;
  }
  return best ? best->addr : NULL;
}

void gateways_note_opened(Gateways *g, const char *addr) {
  Gateway *w = g_hash_table_lookup(g->by_addr, addr);
  if (w) w->avoid_s = w->avoided_until = 0;
}

void gateways_note_failed(Gateways *g, double now, const char *addr) {
  Gateway *w = g_hash_table_lookup(g->by_addr, addr);
  if (!w || now < w->avoided_until) return;
  w->avoid_s = CLAMP(w->avoid_s * 2, AVOID_MIN_S, AVOID_MAX_S);
  w->avoided_until = now + w->avoid_s;
}
