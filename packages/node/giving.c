/* giving.c: keeps one list at a time: its parts and the updates after it. */
#include "node/giving.h"

#include <glib.h>
#include <stdlib.h>

/* Limit of the updates that are kept with a list; over it the list is discarded
   and the next request begins a new one. */
#define UPDATES_MAX_BYTES (256 << 10)

typedef struct Part {
  Packed text;
  bool more;
} Part;

struct Giving {
  GivingMakePart make_part;
  void *ctx;
  double made_at;      /* when the list was begun */
  uint64_t revision;   /* of the list; 0: there is none */
  RosterCursor next;   /* where the next part begins */
  GArray *parts;       /* Part */
  GQueue updates;      /* CodecFeed*, oldest first */
  size_t update_bytes; /* total of `updates` */
};

static void discard_list(Giving *g) {
  for (guint i = 0; i < g->parts->len; i++)
    packed_free(&g_array_index(g->parts, Part, i).text);
  g_array_set_size(g->parts, 0);
  g_queue_clear_full(&g->updates, codec_feed_free);
  g->next = (RosterCursor){0};
  g->revision = g->update_bytes = 0;
}

Giving *giving_new(GivingMakePart part, void *ctx) {
  Giving *g = g_new0(Giving, 1);
  g->make_part = part;
  g->ctx = ctx;
  g->parts = g_array_new(FALSE, FALSE, sizeof(Part));
  g_queue_init(&g->updates);
  return g;
}

void giving_free(Giving *g) {
  discard_list(g);
  g_array_free(g->parts, TRUE);
  g_free(g);
}

/* A list that is older than HANDOVER_KEEP_S still serves neighbours that have
   received a part of it. */
static bool needs_new_list(const Giving *g, double now,
                           const HandoverRequest *ask) {
  if (g->revision == 0) return true;
  return ask->part == 0 && now - g->made_at > HANDOVER_LIST_TTL_S;
}

static void add_part(Giving *g) {
  Part part;
  char *text = g->make_part(g->ctx, &g->next, &part.more);
  part.text = packed_new(text);
  free(text);
  g_array_append_val(g->parts, part);
}

bool giving_get_part(Giving *g, double now, uint64_t known,
                     const HandoverRequest *ask, CodecFeed *m) {
  HandoverRequest wanted = *ask;
  if (needs_new_list(g, now, ask)) {
    discard_list(g);
    g->made_at = now;
    g->revision = known;
  }
  if (wanted.part > 0 && wanted.revision != g->revision) wanted.part = 0;
  if (wanted.part > g->parts->len) return false;
  if (wanted.part == g->parts->len) {
    bool list_ended =
        wanted.part > 0 && !g_array_index(g->parts, Part, wanted.part - 1).more;
    if (list_ended) return false;
    add_part(g);
  }
  const Part *part = &g_array_index(g->parts, Part, wanted.part);
  *m = (CodecFeed){.kind = CODEC_FEED_PART,
                   .from = wanted.part,
                   .revision = g->revision,
                   .lapsed = part->more,
                   .changes = part->text};
  return true;
}

void giving_add_update(Giving *g, const CodecFeed *m) {
  if (g->revision == 0 || m->revision <= m->from) return;
  if (g->update_bytes + m->changes.data_bytes > UPDATES_MAX_BYTES) {
    discard_list(g);
    return;
  }
  g->update_bytes += m->changes.data_bytes;
  g_queue_push_tail(&g->updates, codec_feed_copy(m));
}

void giving_each_update(const Giving *g,
                        void (*fn)(void *ctx, const CodecFeed *m), void *ctx) {
  for (GList *i = g->updates.head; i; i = i->next) fn(ctx, i->data);
}
