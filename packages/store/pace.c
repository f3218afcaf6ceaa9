/* pace.c: the bucket. */
#include "store/pace.h"

#include "kernel/limits.h"

#define BURST_LEAST 2

static void refill(Pace *p, double now) {
  if (now > p->at) p->level += (now - p->at) * p->rate;
  if (p->level > p->burst) p->level = p->burst;
  p->at = now;
}

static void set_rate(Pace *p, double rate) {
  p->rate = rate;
  p->burst = rate < BURST_LEAST ? BURST_LEAST : rate;
}

void pace_init(Pace *p, double rate, double now) {
  set_rate(p, rate);
  p->level = p->burst;
  p->at = now;
}

void pace_rate(Pace *p, double rate, double now) {
  refill(p, now); /* what was earned until now, at the old rate */
  set_rate(p, rate);
}

double pace_take(Pace *p, double now, bool urgent) {
  refill(p, now);
  double floor = urgent ? 1 : 1 + p->burst / 2;
  if (p->level < floor) return (floor - p->level) / p->rate;
  p->level -= 1;
  return 0;
}

double pace_backoff(double *wait, double chance) {
  double next = *wait * 2;
  if (next < STORE_BACKOFF_MIN_S) next = STORE_BACKOFF_MIN_S;
  if (next > STORE_BACKOFF_MAX_S) next = STORE_BACKOFF_MAX_S;
  *wait = next;
  return next * (0.5 + chance);
}
