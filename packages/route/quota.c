/* quota.c: windows of requests, and parts of them. */
#include "route/quota.h"

#include <glib.h>

/* Parts of a cold target's bound: what is given out by count, and what is dealt
   out to the instances. Both may be used at once. */
#define COLD_COUNTED 0.85
#define COLD_DEALT 0.1
/* Seconds: the bound counts what arrives within one, and timers are late. */
#define COLD_WINDOW_S 1.02

/* A limit is kept to over so many seconds, with so many requests at most: more
   of them make the window shorter. */
#define LIMIT_WINDOW_S 4.0
#define LIMIT_UNITS 48
/* A target that takes next to nothing is still sent one request in so many
   seconds: only an answer tells that its need is over. */
#define LIMIT_WINDOW_MOST_S 10.0
/* In a window the users tolerate so many times the limit, and so many requests
   more; and the parts of that which are given out by count where others would
   be late, and dealt out. */
#define LIMIT_OVERRUN 1.5
#define LIMIT_EXTRA 5
#define LIMIT_LATE_S 0.1 /* timers are late, and ways are not equally long */
#define LIMIT_COUNTED 0.75
#define LIMIT_DEALT 0.2

/* Instances that are gone may be cut off and use their parts all the same. They
   are reckoned with for this long, in seconds: regions lose each other for
   minutes. */
#define KEEP_S 600.0
/* Instances that were cut off had a count of their own just before they are
   back: for so many seconds only the part of before is given out. */
#define REJOIN_S 4.2

/* At most `units` requests in any window. */
typedef struct Window {
  double s;
  int units;
} Window;

/* == the instances == */

void quota_place(QuotaShare *s, double now, int rank, int of) {
  bool back = of > s->now_of && s->now_of < s->of;
  if (s->of == 0) s->since = now;
  if (back && now >= s->low_until) s->low_of = s->now_of;
  if (back) s->low_until = now + REJOIN_S;
  s->low_of = MIN(s->low_of, of);
  s->now_of = of;
  if (of < s->of && now < s->until) return;
  s->rank = rank;
  s->of = of;
  s->until = now + KEEP_S;
}

double quota_reach(const QuotaShare *s, double now) {
  if (s->of == 0) return 0;
  int n = now < s->low_until ? s->low_of : s->now_of;
  return MIN((double)n / s->of, 1);
}

/* Our part of `units` that are dealt out to all, one after the other; each
   target begins with another instance, so that all have work. */
static int part_of(const QuotaShare *s, int units, uint64_t target) {
  int place = (int)((s->rank + target % (uint64_t)s->of) % (uint64_t)s->of);
  return units / s->of + (place < units % s->of);
}

/* == windows == */

static Window cold_window(double bound, double part) {
  return (Window){.s = COLD_WINDOW_S,
                  .units = (int)MIN(part * bound, QUOTA_UNITS)};
}

/* The window is so long that its requests are just the limit's. Only a part of
   the fleet that may be the larger one rounds up: of many small ones each would
   give a request more than its part. */
static Window limit_window(double limit, double reach) {
  double per_s = limit * reach, n = per_s * LIMIT_WINDOW_S;
  int units = (int)MIN(reach > 0.5 ? MAX(ceil(n), 1) : n, LIMIT_UNITS);
  double s = units / MAX(per_s, 1 / LIMIT_WINDOW_MOST_S);
  return (Window){.s = units > 0 ? s : LIMIT_WINDOW_S, .units = units};
}

/* Part of what is tolerated. */
static Window most_window(double limit, double part) {
  double all = part * (LIMIT_OVERRUN * LIMIT_WINDOW_S * limit + LIMIT_EXTRA);
  double shorter = MIN(1, LIMIT_UNITS / all);
  return (Window){.s = (LIMIT_WINDOW_S + LIMIT_LATE_S) * shorter,
                  .units = (int)(all * shorter)};
}

/* The windows of what is given out by count; how many. */
static int counted_windows(const QuotaBounds *b, double reach, Window out[2]) {
  int n = 0;
  if (b->cold > 0) out[n++] = cold_window(b->cold, COLD_COUNTED * reach);
  if (b->limit >= QUOTA_UNLIMITED) return n;
  bool most = b->beyond_limit && b->limit > 0;
  out[n++] = most ? most_window(b->limit, LIMIT_COUNTED * reach)
                  : limit_window(b->limit, reach);
  return n;
}

/* The same of what is dealt out to all instances together. */
static int dealt_windows(const QuotaBounds *b, Window out[2]) {
  int n = 0;
  if (b->cold > 0) out[n++] = cold_window(b->cold, COLD_DEALT);
  if (b->limit < QUOTA_UNLIMITED) out[n++] = most_window(b->limit, LIMIT_DEALT);
  return n;
}

bool quota_is_bounded(const QuotaBounds *b) {
  return b->cold > 0 || b->limit < QUOTA_UNLIMITED;
}

double quota_window(const QuotaBounds *b) {
  Window w[2];
  double longest =
      b->limit < QUOTA_UNLIMITED ? LIMIT_WINDOW_S + LIMIT_LATE_S : 0;
  int n = counted_windows(b, 1, w);
  for (int i = 0; i < n; i++) longest = MAX(longest, w[i].s);
  return longest;
}

/* == sends == */

void quota_sent(QuotaSends *s, double now) {
  s->at[s->n % QUOTA_UNITS] = now;
  s->n++;
}

int quota_lately(const QuotaSends *s, double now, double window_s) {
  int n = 0;
  while (n < QUOTA_UNITS && n < s->n &&
         now - s->at[(s->n - 1 - n) % QUOTA_UNITS] < window_s)
    n++;
  return n;
}

/* Seconds until fewer than `units` of the sends lie within the last `window`.
 */
static double wait_for(const QuotaSends *s, double now, double window,
                       int units) {
  if (units <= 0) return window;
  if (s->n < units) return 0;
  double at = s->at[(s->n - units) % QUOTA_UNITS];
  return MAX(0, at + window - now);
}

double quota_wait(const QuotaSends *sent, double now, const QuotaBounds *b,
                  double reach) {
  Window w[2];
  double wait = 0;
  int n = counted_windows(b, reach, w);
  for (int i = 0; i < n; i++)
    wait = MAX(wait, wait_for(sent, now, w[i].s, w[i].units));
  return wait;
}

bool quota_deals(const QuotaShare *s, const QuotaSends *own, double now,
                 const QuotaBounds *b, uint64_t target) {
  Window w[2];
  int n = dealt_windows(b, w);
  if (s->of == 0) return false;
  for (int i = 0; i < n; i++) {
    int part = MIN(part_of(s, w[i].units, target), QUOTA_UNITS);
    if (now - s->since < w[i].s) return false;
    if (wait_for(own, now, w[i].s, part) > 0) return false;
  }
  return true;
}
