/* division.c: counts of this instance and of the others, and what follows. */
#include "route/division.h"

#include <math.h>

/* Counts fade over this time: long enough to see some hundred prompts, short
   enough to follow a change of the traffic. */
#define TAU_S 30.0
#define FORGET_S 300.0 /* an instance that told nothing for so long is gone */
/* Without a division streams beside long prompts are held up too often from
   here on; it ends when even those that stay beside them seldom are. */
#define HELD_MUCH 0.05
#define HELD_LITTLE 0.03
#define STREAMS_LEAST 50 /* before that nothing is decided */
/* Assumed of each instance before there was any traffic: a start value that a
   second of it outweighs. */
#define START_LONG 20000.0
#define START_SHORT 10000.0
/* A border that moves takes homes of prompts along, so it stays until it is
   off by more than so many targets. */
#define STAY 1.0
#define LEAST_TARGETS 3 /* fewer are not divided */

typedef struct Told {
  DivisionWord word;
  double at;
} Told;

struct Division {
  DivisionWord own;
  double at;          /* when `own` was last faded */
  GHashTable *others; /* hash of an instance -> Told */
  bool divided;
  int border; /* the last count, of `border_of` targets */
  int border_of;
};

Division *division_new(void) {
  Division *d = g_new0(Division, 1);
  d->own = (DivisionWord){.long_read = START_LONG, .short_read = START_SHORT};
  d->divided = true; /* the harm of waiting for evidence is the larger one */
  d->others =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return d;
}

void division_free(Division *d) {
  g_hash_table_destroy(d->others);
  g_free(d);
}

/* == counts == */

static void add(DivisionWord *sum, const DivisionWord *w, double weight) {
  sum->long_read += weight * w->long_read;
  sum->short_read += weight * w->short_read;
  sum->streams += weight * w->streams;
  sum->held += weight * w->held;
}

static double faded(double now, double at) {
  return exp(-(now - at) / TAU_S);
}

static DivisionWord *own_now(Division *d, double now) {
  DivisionWord w = {0};
  if (d->at == 0) d->at = now; /* the start values are of now */
  add(&w, &d->own, faded(now, d->at));
  d->own = w;
  d->at = now;
  return &d->own;
}

void division_read(Division *d, double now, bool long_prompt, int64_t tokens) {
  DivisionWord *own = own_now(d, now);
  *(long_prompt ? &own->long_read : &own->short_read) += (double)tokens;
}

void division_stream(Division *d, double now, bool held) {
  DivisionWord *own = own_now(d, now);
  own->streams += 1;
  own->held += held;
}

DivisionWord division_own(Division *d, double now) {
  return *own_now(d, now);
}

void division_told(Division *d, double now, uint64_t from,
                   const DivisionWord *w) {
  Told *t = g_hash_table_lookup(d->others, &from);
  if (!t) {
    t = g_new0(Told, 1);
    g_hash_table_insert(d->others, g_memdup2(&from, sizeof from), t);
  }
  *t = (Told){.word = *w, .at = now};
}

/* Of all instances: what one does not tell again fades with the rest. */
static DivisionWord all(Division *d, double now) {
  DivisionWord sum = *own_now(d, now);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, d->others);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Told *t = v;
    add(&sum, &t->word, faded(now, t->at));
    if (now - t->at > FORGET_S) g_hash_table_iter_remove(&it);
  }
  return sum;
}

/* == the division == */

static bool is_divided(Division *d, const DivisionWord *sum) {
  if (sum->streams < STREAMS_LEAST) return d->divided;
  double held = sum->held / sum->streams;
  d->divided = held > (d->divided ? HELD_LITTLE : HELD_MUCH);
  return d->divided;
}

/* The border of `n` targets, moved only where it has to be. */
static int border(Division *d, int n, double share) {
  double at = n * share;
  double kept = d->border_of > 0 ? (double)d->border * n / d->border_of : 0;
  bool stay = d->border_of > 0 && fabs(kept - at) <= STAY;
  if (stay && n == d->border_of) return d->border;
  d->border = (int)lround(stay ? kept : at);
  d->border_of = n;
  return d->border;
}

int division_count(Division *d, double now, int n) {
  DivisionWord sum = all(d, now);
  double read = sum.long_read + sum.short_read;
  if (n < LEAST_TARGETS || !is_divided(d, &sum) || read <= 0) return n;
  return CLAMP(border(d, n, sum.long_read / read), 1, n - 1);
}
