/* giving.c: keeps one list at a time: its parts and the later updates. */
#include "node/giving.h"

#include <glib.h>
#include <stdlib.h>

/* Limit of the compressed updates that are kept with a list. Over it the list
   is discarded, and the next request begins a new one. */
#define UPDATES_MAX_BYTES (256 << 10)

typedef struct ListPart {
  Packed text;
  bool more; /* another part follows */
} ListPart;

struct Giving {
  GivingMakePart make_part;
  void *ctx;
  double list_begun_at; /* time of its first request */
  uint64_t revision;    /* of the list; 0: there is none */
  RosterCursor next;    /* where the next part begins */
  GArray *parts;        /* ListPart */
  GQueue updates;       /* CodecFeed*, oldest first */
  size_t update_bytes;  /* total compressed size of `updates` */
};

static void discard_list(Giving *g) {
  for (guint i = 0; i < g->parts->len; i++)
    packed_free(&g_array_index(g->parts, ListPart, i).text);
  g_array_set_size(g->parts, 0);
  g_queue_clear_full(&g->updates, codec_feed_free);
  g->next = (RosterCursor){0};
  g->revision = g->update_bytes = 0;
}

Giving *giving_new(GivingMakePart make, void *ctx) {
  Giving *g = g_new0(Giving, 1);
  g->make_part = make;
  g->ctx = ctx;
  g->parts = g_array_new(FALSE, FALSE, sizeof(ListPart));
  g_queue_init(&g->updates);
  return g;
}

void giving_free(Giving *g) {
  discard_list(g);
  g_array_free(g->parts, TRUE);
  g_free(g);
}

/* A list that is older than HANDOVER_LIST_TTL_S is still used for neighbours
   that have already received a part of it. */
static bool needs_new_list(const Giving *g, double now,
                           const HandoverRequest *request) {
  if (g->revision == 0) return true;
  return request->part == 0 && now - g->list_begun_at > HANDOVER_LIST_TTL_S;
}

/* Makes the next part of the list and keeps it. */
static void add_part(Giving *g) {
  ListPart part;
  char *text = g->make_part(g->ctx, &g->next, &part.more);
  part.text = packed_new(text);
  free(text);
  g_array_append_val(g->parts, part);
}

bool giving_get_part(Giving *g, double now, uint64_t known_revision,
                     const HandoverRequest *request, CodecFeed *m) {
  HandoverRequest part_request = *request;
  if (needs_new_list(g, now, request)) {
    discard_list(g);
    g->list_begun_at = now;
    g->revision = known_revision;
  }
  if (part_request.part > 0 && part_request.revision != g->revision)
    part_request.part = 0;
  if (part_request.part > g->parts->len) return false;
  if (part_request.part == g->parts->len) {
    bool list_ended =
        part_request.part > 0 &&
        !g_array_index(g->parts, ListPart, part_request.part - 1).more;
    if (list_ended) return false;
    add_part(g);
  }
  const ListPart *part = &g_array_index(g->parts, ListPart, part_request.part);
  *m = (CodecFeed){.kind = CODEC_FEED_PART,
                   .from = part_request.part,
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
