/* spread.c: splits a range of the ring into at most SPREAD_FANOUT parts, each
   of which is split again by its first member. */
#include "member/spread.h"

#include <glib.h>
#include <string.h>

typedef struct Place {
  char name[SPREAD_PLACE_BYTES]; /* "data centre/id" */
  const Member *m;
} Place;

struct Spread {
  GArray *ring; /* Places of the other members of this region, in ring order
                   from `self` on */
  char self[SPREAD_PLACE_BYTES];
};

static void format_place(const Member *m, char *out) {
  g_snprintf(out, SPREAD_PLACE_BYTES, "%s/%s", m->dc, m->id);
}

void spread_empty_range_end(const Member *to, char out[SPREAD_PLACE_BYTES]) {
  format_place(to, out);
  g_strlcat(out, "!",
            SPREAD_PLACE_BYTES); /* no place sorts between `to` and this end */
}

/* Compares places in ring order from `self` on: those that sort after `self`
   precede those that sort before it. */
static gint compare_from_self(gconstpointer a, gconstpointer b, gpointer self) {
  const Place *x = a, *y = b;
  bool x_after = strcmp(x->name, self) > 0, y_after = strcmp(y->name, self) > 0;
  if (x_after != y_after) return x_after ? -1 : 1;
  return strcmp(x->name, y->name);
}

Spread *spread_new(const View *v, const Member *self) {
  Spread *s = g_new0(Spread, 1);
  s->ring = g_array_new(FALSE, FALSE, sizeof(Place));
  format_place(self, s->self);
  for (int i = 0; i < v->n; i++) {
    Place p = {.m = &v->list[i]};
    if (strcmp(p.m->region, self->region) != 0) continue;
    if (strcmp(p.m->id, self->id) == 0) continue;
    format_place(p.m, p.name);
    g_array_append_val(s->ring, p);
  }
  g_array_sort_with_data(s->ring, compare_from_self, s->self);
  return s;
}

void spread_free(Spread *s) {
  if (!s) return;
  g_array_free(s->ring, TRUE);
  g_free(s);
}

/* Returns the number of members between `self` and `until`. */
static guint count_before(const Spread *s, const char *until) {
  Place end = {0};
  if (!until[0]) return s->ring->len;
  g_strlcpy(end.name, until, sizeof end.name);
  guint n = 0;
  while (n < s->ring->len &&
         compare_from_self(&g_array_index(s->ring, Place, n), &end,
                           (gpointer)s->self) < 0)
    n++;
  return n;
}

int spread_split(const Spread *s, const char *until,
                 SpreadPart out[SPREAD_FANOUT]) {
  guint n = count_before(s, until), parts = MIN(n, SPREAD_FANOUT);
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
