/* giving.c: one list at a time, its parts and what came after it. */
#include "node/giving.h"

#include <glib.h>
#include <stdlib.h>

/* Bytes of words that are kept with a list; beyond, it is made anew. */
#define WORDS_MOST (256 << 10)

typedef struct Part {
  Packed text;
  bool more;
} Part;

struct Giving {
  GivingPart make;
  void *ctx;
  double made;       /* when the list was begun */
  uint64_t at;       /* its revision; 0: there is none */
  RosterCursor next; /* where its next part begins */
  GArray *parts;     /* Part */
  GQueue words;      /* CodecFeed*, the oldest first */
  size_t bytes;      /* of these */
};

static void forget(Giving *g) {
  for (guint i = 0; i < g->parts->len; i++)
    packed_free(&g_array_index(g->parts, Part, i).text);
  g_array_set_size(g->parts, 0);
  g_queue_clear_full(&g->words, codec_feed_free);
  g->next = (RosterCursor){0};
  g->at = g->bytes = 0;
}

Giving *giving_new(GivingPart part, void *ctx) {
  Giving *g = g_new0(Giving, 1);
  g->make = part;
  g->ctx = ctx;
  g->parts = g_array_new(FALSE, FALSE, sizeof(Part));
  g_queue_init(&g->words);
  return g;
}

void giving_free(Giving *g) {
  forget(g);
  g_array_free(g->parts, TRUE);
  g_free(g);
}

/* A list that is about to be too old is kept for those who have begun. */
static bool begins_anew(const Giving *g, double now,
                        const HandoverRequest *ask) {
  if (g->at == 0) return true;
  return ask->part == 0 && now - g->made > HANDOVER_LIST_TTL_S;
}

static void make_part(Giving *g) {
  Part part;
  char *text = g->make(g->ctx, &g->next, &part.more);
  part.text = packed_new(text);
  free(text);
  g_array_append_val(g->parts, part);
}

bool giving_part(Giving *g, double now, uint64_t known,
                 const HandoverRequest *ask, CodecFeed *m) {
  HandoverRequest wanted = *ask;
  if (begins_anew(g, now, ask)) {
    forget(g);
    g->made = now;
    g->at = known;
  }
  if (wanted.part > 0 && wanted.revision != g->at) wanted.part = 0;
  if (wanted.part > g->parts->len) return false;
  if (wanted.part == g->parts->len) {
    bool ended =
        wanted.part > 0 && !g_array_index(g->parts, Part, wanted.part - 1).more;
    if (ended) return false;
    make_part(g);
  }
  const Part *part = &g_array_index(g->parts, Part, wanted.part);
  *m = (CodecFeed){.kind = CODEC_FEED_PART,
                   .from = wanted.part,
                   .revision = g->at,
                   .lapsed = part->more,
                   .changes = part->text};
  return true;
}

void giving_note(Giving *g, const CodecFeed *m) {
  if (g->at == 0 || m->revision <= m->from) return;
  if (g->bytes + m->changes.data_bytes > WORDS_MOST) {
    forget(g);
    return;
  }
  g->bytes += m->changes.data_bytes;
  g_queue_push_tail(&g->words, codec_feed_copy(m));
}

void giving_words(const Giving *g, void (*fn)(void *ctx, const CodecFeed *m),
                  void *ctx) {
  for (GList *i = g->words.head; i; i = i->next) fn(ctx, i->data);
}
