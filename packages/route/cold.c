/* cold.c: parts of a bound, and a count of what was sent. */
#include "route/cold.h"

#include <glib.h>

#include "kernel/limits.h"

/* Seconds: the bound counts what is sent within one; and some for timers. */
#define COLD_WINDOW_S 1.02

void cold_place(ColdShare *s, double now, int rank, int of) {
  s->now_of = of;
  if (s->of == 0) s->since = now;
  if (of < s->of && now < s->until) return;
  s->rank = rank;
  s->of = of;
  s->until = now + COLD_KEEP_S;
}

double cold_bound(const ColdShare *s, double rate) {
  double overrun = s->overrun > 0 ? s->overrun : 1;
  return rate * overrun + s->extra;
}

/* Our part of `units` that are dealt out to all, one after the other; each
   target begins with another instance, so that all have work. */
static int dealt(const ColdShare *s, int units, uint64_t target) {
  if (s->of == 0) return 0;
  int place = (int)((s->rank + target % (uint64_t)s->of) % (uint64_t)s->of);
  return units / s->of + (place < units % s->of);
}

/* How much of it we sent in the last second, at most COLD_SENDS. */
static int sent_lately(const Cold *c, double now) {
  int n = 0;
  while (n < COLD_SENDS && n < c->n &&
         now - c->sent[(c->n - 1 - n) % COLD_SENDS] < COLD_WINDOW_S)
    n++;
  return n;
}

bool cold_admits(const ColdShare *s, const Cold *c, double now, double rate,
                 uint64_t target, int counted) {
  double bound = cold_bound(s, rate);
  if (counted >= 0) {
    /* Those who are cut off have a count of their own. */
    double seen = s->of > 0 ? (double)s->now_of / s->of : 0;
    return counted + 1 <= COLD_COUNTED * bound * MIN(seen, 1);
  }
  if (now - s->since < COLD_WINDOW_S) return false;
  bool alone = s->of < FLEET_SMALL;
  double part = alone ? COLD_DEALT_ALONE : COLD_DEALT;
  int most = MIN(dealt(s, (int)(part * bound), target), COLD_SENDS);
  return sent_lately(c, now) < most;
}

void cold_sent(Cold *c, double now) {
  c->sent[c->n % COLD_SENDS] = now;
  c->n++;
}
