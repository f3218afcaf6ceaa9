/* spread.c: parts of a ring, halved until each is one member. */
#include "member/spread.h"

#include <glib.h>
#include <string.h>

typedef struct Place {
  char name[SPREAD_PLACE_BYTES]; /* "data centre/id" */
  const Member *m;
} Place;

struct Spread {
  GArray *ring; /* Place, of the others of our region, in order from ours on */
  char self[SPREAD_PLACE_BYTES];
};

static void name_place(const Member *m, char *out) {
  g_snprintf(out, SPREAD_PLACE_BYTES, "%s/%s", m->dc, m->id);
}

void spread_single_end(const Member *to, char out[SPREAD_PLACE_BYTES]) {
  name_place(to, out);
  g_strlcat(out, "!", SPREAD_PLACE_BYTES); /* nothing stands between */
}

/* The order of the ring as seen from `self`: whoever comes after it first. */
static gint from_self(gconstpointer a, gconstpointer b, gpointer self) {
  const Place *x = a, *y = b;
  bool x_after = strcmp(x->name, self) > 0, y_after = strcmp(y->name, self) > 0;
  if (x_after != y_after) return x_after ? -1 : 1;
  return strcmp(x->name, y->name);
}

Spread *spread_new(const View *v, const Member *self) {
  Spread *s = g_new0(Spread, 1);
  s->ring = g_array_new(FALSE, FALSE, sizeof(Place));
  name_place(self, s->self);
  for (int i = 0; i < v->n; i++) {
    Place p = {.m = &v->list[i]};
    if (strcmp(p.m->region, self->region) != 0) continue;
    if (strcmp(p.m->id, self->id) == 0) continue;
    name_place(p.m, p.name);
    g_array_append_val(s->ring, p);
  }
  g_array_sort_with_data(s->ring, from_self, s->self);
  return s;
}

void spread_free(Spread *s) {
  if (!s) return;
  g_array_free(s->ring, TRUE);
  g_free(s);
}

/* How many members stand between us and `until`. */
static guint before(const Spread *s, const char *until) {
  Place end = {0};
  if (!until[0]) return s->ring->len;
  g_strlcpy(end.name, until, sizeof end.name);
  guint n = 0;
  while (n < s->ring->len && from_self(&g_array_index(s->ring, Place, n), &end,
                                       (gpointer)s->self) < 0)
    n++;
  return n;
}

int spread_split(const Spread *s, const char *until,
                 SpreadPart out[SPREAD_FANOUT]) {
  guint n = before(s, until), parts = MIN(n, SPREAD_FANOUT);
  const char *end = until[0] ? until : s->self;
  for (guint i = 0; i < parts; i++) {
    const Place *first = &g_array_index(s->ring, Place, n * i / parts);
    guint next = n * (i + 1) / parts;
    out[i].to = first->m;
    g_strlcpy(out[i].until,
              next < n ? g_array_index(s->ring, Place, next).name : end,
              sizeof out[i].until);
  }
  return (int)parts;
}
