/* division.c: counts of this instance and of the others, and what follows. */
#include "route/division.h"

#include <math.h>

/* Counts fade over this time: long enough to see some hundred prompts, short
   enough to follow a change of the traffic. */
#define FADE_TAU_S 30.0
#define REPORT_MAX_AGE_S                                                       \
  300.0 /* an instance that told nothing for so long is gone */
/* Without a division streams beside long prompts are held up too often from
   here on; it ends when even those that stay beside them seldom are. */
#define DIVIDE_STALLED_RATIO 0.05
#define UNDIVIDE_STALLED_RATIO 0.03
#define MIN_STREAMS 50 /* before that nothing is decided */
/* Assumed of each instance before there was any traffic: a start value that a
   second of it outweighs. */
#define INITIAL_LONG_TOKENS 20000.0
#define INITIAL_SHORT_TOKENS 10000.0
/* A border that moves takes homes of prompts along, so it stays until it is
   off by more than so many targets. */
#define BORDER_HYSTERESIS_TARGETS 1.0
#define MIN_DIVIDED_TARGETS 3 /* fewer are not divided */

typedef struct OtherReport {
  DivisionReport word;
  double at;
} OtherReport;

struct Division {
  DivisionReport own;
  double at;          /* when `own` was last faded */
  GHashTable *others; /* hash of an instance -> Told */
  bool divided;
  int border; /* the last count, of `border_of` targets */
  int border_of;
};

Division *division_new(void) {
  Division *d = g_new0(Division, 1);
  d->own = (DivisionReport){.long_read = INITIAL_LONG_TOKENS,
                            .short_read = INITIAL_SHORT_TOKENS};
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

static void add_weighted(DivisionReport *sum, const DivisionReport *w,
                         double weight) {
  sum->long_read += weight * w->long_read;
  sum->short_read += weight * w->short_read;
  sum->streams += weight * w->streams;
  sum->stalled += weight * w->stalled;
}

static double fade_weight(double now, double at) {
  return exp(-(now - at) / FADE_TAU_S);
}

static DivisionReport *update_own(Division *d, double now) {
  DivisionReport w = {0};
  if (d->at == 0) d->at = now; /* the start values are of now */
  add_weighted(&w, &d->own, fade_weight(now, d->at));
  d->own = w;
  d->at = now;
  return &d->own;
}

void division_note_prefill(Division *d, double now, bool long_prompt,
                           int64_t tokens) {
  DivisionReport *own = update_own(d, now);
  *(long_prompt ? &own->long_read : &own->short_read) += (double)tokens;
}

void division_note_stream(Division *d, double now, bool held) {
  DivisionReport *own = update_own(d, now);
  own->streams += 1;
  own->stalled += held;
}

DivisionReport division_own_report(Division *d, double now) {
  return *update_own(d, now);
}

void division_apply_report(Division *d, double now, uint64_t from,
                           const DivisionReport *w) {
  OtherReport *t = g_hash_table_lookup(d->others, &from);
  if (!t) {
    t = g_new0(OtherReport, 1);
    g_hash_table_insert(d->others, g_memdup2(&from, sizeof from), t);
  }
  *t = (OtherReport){.word = *w, .at = now};
}

/* Of all instances: what one does not tell again fades with the rest. */
static DivisionReport sum_reports(Division *d, double now) {
  DivisionReport sum = *update_own(d, now);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, d->others);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const OtherReport *t = v;
    add_weighted(&sum, &t->word, fade_weight(now, t->at));
    if (now - t->at > REPORT_MAX_AGE_S) g_hash_table_iter_remove(&it);
  }
  return sum;
}

/* == the division == */

static bool update_divided(Division *d, const DivisionReport *sum) {
  if (sum->streams < MIN_STREAMS) return d->divided;
  double held = sum->stalled / sum->streams;
  d->divided =
      held > (d->divided ? UNDIVIDE_STALLED_RATIO : DIVIDE_STALLED_RATIO);
  return d->divided;
}

/* The border of `n` targets, moved only where it has to be. */
static int update_border(Division *d, int n, double share) {
  double at = n * share;
  double kept = d->border_of > 0 ? (double)d->border * n / d->border_of : 0;
  bool stay = d->border_of > 0 && fabs(kept - at) <= BORDER_HYSTERESIS_TARGETS;
  if (stay && n == d->border_of) return d->border;
  d->border = (int)lround(stay ? kept : at);
  d->border_of = n;
  return d->border;
}

int division_count_long(Division *d, double now, int n) {
  DivisionReport sum = sum_reports(d, now);
  double read = sum.long_read + sum.short_read;
  if (n < MIN_DIVIDED_TARGETS || !update_divided(d, &sum) || read <= 0)
    return n;
  return CLAMP(update_border(d, n, sum.long_read / read), 1, n - 1);
}
