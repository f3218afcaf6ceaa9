/* quota.c: windows of requests, and shares of them. */
#include "route/quota.h"

#include <glib.h>

/* Fractions of a cold target's bound: the one given out by the counting
   instance, and the fixed one split among the instances. Both may be used at
   the same time. */
#define COLD_COUNTED_RATIO 0.85
#define COLD_FIXED_RATIO 0.1
/* The bound applies to arrivals within one second; the rest allows for delayed
   timers. */
#define COLD_WINDOW_S 1.02

/* Length of the window over which a limit is kept, and the max number of
   requests in it: a higher limit shortens the window. */
#define LIMIT_WINDOW_S 4.0
#define LIMIT_MAX_SENDS 48
/* A target with next to no capacity is still sent one request in this time:
   only an answer shows that it has recovered. */
#define LIMIT_MAX_WINDOW_S 10.0
/* In a window this multiple of the limit plus a number of requests is
   tolerated. Of that, one fraction is given out by the counting instance while
   the other targets would be late, and one is the fixed share of the
   instances. */
#define LIMIT_OVERRUN_RATIO 1.5
#define LIMIT_EXTRA_SENDS 5
/* Allowance for delayed timers and network paths of unequal length. */
#define LIMIT_TIMER_SLACK_S 0.1
#define LIMIT_COUNTED_RATIO 0.75
#define LIMIT_FIXED_RATIO 0.2

/* Instances that are not reachable may be cut off and continue to use their
   shares. They are included for this long: regions can lose each other for
   minutes. */
#define RANK_KEEP_S 600.0
/* Instances that were cut off had a count of their own until just before they
   return: during this time only the previous fraction is given out. */
#define REJOIN_LIMIT_S 4.2

/* At most `units` requests in any span of this length. */
typedef struct Window {
  double s;
  int units;
} Window;

/* == instances == */

void quota_set_rank(QuotaShare *s, double now, int rank, int of) {
  bool returned = of > s->current_count && s->current_count < s->rank_count;
  if (s->rank_count == 0) s->rank_known_at = now;
  if (returned && now >= s->low_until) s->low_count = s->current_count;
  if (returned) s->low_until = now + REJOIN_LIMIT_S;
  s->low_count = MIN(s->low_count, of);
  s->current_count = of;
  if (of < s->rank_count && now < s->rank_until) return;
  s->rank = rank;
  s->rank_count = of;
  s->rank_until = now + RANK_KEEP_S;
}

double quota_reachable_share(const QuotaShare *s, double now) {
  if (s->rank_count == 0) return 0;
  int n = now < s->low_until ? s->low_count : s->current_count;
  return MIN((double)n / s->rank_count, 1);
}

/* Our part of `units` that are dealt out to the instances in turn; each target
   starts with a different instance, so that all of them have work. */
static int fixed_part(const QuotaShare *s, int units, uint64_t target) {
  int place = (int)((s->rank + target % (uint64_t)s->rank_count) %
                    (uint64_t)s->rank_count);
  return units / s->rank_count + (place < units % s->rank_count);
}

/* == windows == */

static Window cold_window(double bound, double part) {
  return (Window){.s = COLD_WINDOW_S,
                  .units = (int)MIN(part * bound, QUOTA_MAX_SENDS)};
}

/* The window is so long that its requests exactly match the limit. Only a side
   of the fleet that may be the majority rounds up: of many small sides each
   would give one request more than its share. */
static Window limit_window(double limit, double reach) {
  double per_s = limit * reach, n = per_s * LIMIT_WINDOW_S;
  int units = (int)MIN(reach > 0.5 ? MAX(ceil(n), 1) : n, LIMIT_MAX_SENDS);
  double s = units / MAX(per_s, 1 / LIMIT_MAX_WINDOW_S);
  return (Window){.s = units > 0 ? s : LIMIT_WINDOW_S, .units = units};
}

/* A fraction of the tolerated overrun. */
static Window tolerated_window(double limit, double part) {
  double all =
      part * (LIMIT_OVERRUN_RATIO * LIMIT_WINDOW_S * limit + LIMIT_EXTRA_SENDS);
  double shorter = MIN(1, LIMIT_MAX_SENDS / all);
  return (Window){.s = (LIMIT_WINDOW_S + LIMIT_TIMER_SLACK_S) * shorter,
                  .units = (int)(all * shorter)};
}

/* The windows of the requests given out by count. Returns how many there
   are. */
static int counted_windows(const QuotaBounds *b, double reach, Window out[2]) {
  int n = 0;
  if (b->cold_per_s > 0)
    out[n++] = cold_window(b->cold_per_s, COLD_COUNTED_RATIO * reach);
  if (b->limit >= QUOTA_UNLIMITED) return n;
  bool use_tolerated = b->over_limit && b->limit > 0;
  out[n++] = use_tolerated
                 ? tolerated_window(b->limit, LIMIT_COUNTED_RATIO * reach)
                 : limit_window(b->limit, reach);
  return n;
}

/* The same for the fixed shares of all instances together. */
static int fixed_windows(const QuotaBounds *b, Window out[2]) {
  int n = 0;
  if (b->cold_per_s > 0)
    out[n++] = cold_window(b->cold_per_s, COLD_FIXED_RATIO);
  if (b->limit < QUOTA_UNLIMITED)
    out[n++] = tolerated_window(b->limit, LIMIT_FIXED_RATIO);
  return n;
}

bool quota_is_bounded(const QuotaBounds *b) {
  return b->cold_per_s > 0 || b->limit < QUOTA_UNLIMITED;
}

double quota_longest_window_s(const QuotaBounds *b) {
  Window w[2];
  double longest =
      b->limit < QUOTA_UNLIMITED ? LIMIT_WINDOW_S + LIMIT_TIMER_SLACK_S : 0;
  int n = counted_windows(b, 1, w);
  for (int i = 0; i < n; i++) longest = MAX(longest, w[i].s);
  return longest;
}

/* == sends == */

void quota_note_send(QuotaSends *s, double now) {
  s->at[s->n % QUOTA_MAX_SENDS] = now;
  s->n++;
}

int quota_count_recent(const QuotaSends *s, double now, double window_s) {
  int n = 0;
  while (n < QUOTA_MAX_SENDS && n < s->n &&
         now - s->at[(s->n - 1 - n) % QUOTA_MAX_SENDS] < window_s)
    n++;
  return n;
}

/* Seconds until fewer than `units` of the sends are within the last
   `window`. */
static double wait_for_window(const QuotaSends *s, double now, double window,
                              int units) {
  if (units <= 0) return window;
  if (s->n < units) return 0;
  double at = s->at[(s->n - units) % QUOTA_MAX_SENDS];
  return MAX(0, at + window - now);
}

double quota_wait_s(const QuotaSends *sent, double now, const QuotaBounds *b,
                    double reach) {
  Window w[2];
  double wait = 0;
  int n = counted_windows(b, reach, w);
  for (int i = 0; i < n; i++)
    wait = MAX(wait, wait_for_window(sent, now, w[i].s, w[i].units));
  return wait;
}

bool quota_allows_fixed_share(const QuotaShare *s, const QuotaSends *own,
                              double now, const QuotaBounds *b,
                              uint64_t target) {
  Window w[2];
  int n = fixed_windows(b, w);
  if (s->rank_count == 0) return false;
  for (int i = 0; i < n; i++) {
    int part = MIN(fixed_part(s, w[i].units, target), QUOTA_MAX_SENDS);
    if (now - s->rank_known_at < w[i].s) return false;
    if (wait_for_window(own, now, w[i].s, part) > 0) return false;
  }
  return true;
}
