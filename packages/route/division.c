/* division.c: observations of this instance and the others, and the division
   that follows from them. */
#include "route/division.h"

#include <math.h>

/* Time constant with which observations fade: long enough to cover some
   hundred prompts, short enough to follow a change in traffic. */
#define FADE_TAU_S 30.0
/* An instance without a report for this long is gone. */
#define REPORT_MAX_AGE_S 300.0
/* Ratios of stalled streams beside long prompts: an undivided pool is divided
   above the first; a divided one is joined when even the streams that stay
   beside long prompts are below the second. */
#define DIVIDE_STALLED_RATIO 0.05
#define UNDIVIDE_STALLED_RATIO 0.03
/* The division does not change before this many were seen. */
#define MIN_STREAMS 50
/* Assumed observations of each instance before any traffic: one second of
   traffic outweighs them. */
#define INITIAL_LONG_TOKENS 20000.0
#define INITIAL_SHORT_TOKENS 10000.0
/* Moving the border moves the homes of prompts, so it stays until it is off by
   more than this many targets. */
#define BORDER_HYSTERESIS_TARGETS 1.0
#define MIN_DIVIDED_TARGETS 3 /* a smaller pool is not divided */

typedef struct OtherReport {
  DivisionReport report;
  double at;
} OtherReport;

struct Division {
  DivisionReport own;
  double faded_at;    /* when `own` was last faded */
  GHashTable *others; /* hash of an instance -> OtherReport */
  bool divided;
  int border; /* the last result, for `border_count` targets */
  int border_count;
};

Division *division_new(void) {
  Division *d = g_new0(Division, 1);
  d->own = (DivisionReport){.long_tokens = INITIAL_LONG_TOKENS,
                            .short_tokens = INITIAL_SHORT_TOKENS};
  d->divided = true; /* undivided does more harm while there is no evidence */
  d->others =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return d;
}

void division_free(Division *d) {
  g_hash_table_destroy(d->others);
  g_free(d);
}

/* == reports == */

static void add_weighted(DivisionReport *sum, const DivisionReport *w,
                         double weight) {
  sum->long_tokens += weight * w->long_tokens;
  sum->short_tokens += weight * w->short_tokens;
  sum->streams += weight * w->streams;
  sum->stalled += weight * w->stalled;
}

static double fade_weight(double now, double at) {
  return exp(-(now - at) / FADE_TAU_S);
}

static DivisionReport *update_own(Division *d, double now) {
  DivisionReport w = {0};
  if (d->faded_at == 0)
    d->faded_at = now; /* the initial values count from now on */
  add_weighted(&w, &d->own, fade_weight(now, d->faded_at));
  d->own = w;
  d->faded_at = now;
  return &d->own;
}

void division_note_prefill(Division *d, double now, bool long_prompt,
                           int64_t tokens) {
  DivisionReport *own = update_own(d, now);
  *(long_prompt ? &own->long_tokens : &own->short_tokens) += (double)tokens;
}

void division_note_stream(Division *d, double now, bool stalled) {
  DivisionReport *own = update_own(d, now);
  own->streams += 1;
  own->stalled += stalled;
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
  *t = (OtherReport){.report = *w, .at = now};
}

/* Sums up all instances; a report that is not repeated fades with the rest. */
static DivisionReport sum_reports(Division *d, double now) {
  DivisionReport sum = *update_own(d, now);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, d->others);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const OtherReport *t = v;
    add_weighted(&sum, &t->report, fade_weight(now, t->at));
    if (now - t->at > REPORT_MAX_AGE_S) g_hash_table_iter_remove(&it);
  }
  return sum;
}

/* == division == */

static bool update_divided(Division *d, const DivisionReport *sum) {
  if (sum->streams < MIN_STREAMS) return d->divided;
  double stalled = sum->stalled / sum->streams;
  d->divided =
      stalled > (d->divided ? UNDIVIDE_STALLED_RATIO : DIVIDE_STALLED_RATIO);
  return d->divided;
}

/* The border among `n` targets, moved only if necessary. */
static int update_border(Division *d, int n, double share) {
  double at = n * share;
  double kept =
      d->border_count > 0 ? (double)d->border * n / d->border_count : 0;
  bool stay =
      d->border_count > 0 && fabs(kept - at) <= BORDER_HYSTERESIS_TARGETS;
  if (stay && n == d->border_count) return d->border;
  d->border = (int)lround(stay ? kept : at);
  d->border_count = n;
  return d->border;
}

int division_count_long(Division *d, double now, int n) {
  DivisionReport sum = sum_reports(d, now);
  double read = sum.long_tokens + sum.short_tokens;
  if (n < MIN_DIVIDED_TARGETS || !update_divided(d, &sum) || read <= 0)
    return n;
  return CLAMP(update_border(d, n, sum.long_tokens / read), 1, n - 1);
}
