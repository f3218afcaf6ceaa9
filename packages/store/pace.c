/* pace.c: the bucket. */
#include "store/pace.h"

void pace_init(Pace *p, double rate, double now) {
  p->rate = rate;
  p->burst = rate < 2 ? 2 : rate;
  p->level = p->burst;
  p->at = now;
}

double pace_take(Pace *p, double now, bool urgent) {
  if (now > p->at) p->level += (now - p->at) * p->rate;
  if (p->level > p->burst) p->level = p->burst;
  p->at = now;
  double floor = urgent ? 1 : 1 + p->burst / 2;
  if (p->level < floor) return (floor - p->level) / p->rate;
  p->level -= 1;
  return 0;
}
