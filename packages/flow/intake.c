/* intake.c: a token bucket, and a time to stay away. */
#include "flow/intake.h"

#include <glib.h>

#define BITS 8
#define MEGA 1e6

void intake_start(Intake *k, double now, double link_mbps) {
  *k = (Intake){.rate = link_mbps * MEGA / BITS * INTAKE_SHARE, .at = now};
  k->room = k->rate * INTAKE_BURST_S;
}

bool intake_full(Intake *k, double now, int64_t taken, int instances) {
  double most = k->rate * INTAKE_BURST_S;
  double room = MIN(k->room + k->rate * (now - k->at), most);
  room -= (double)(taken - k->taken);
  /* What is past can't be turned away: no debt beyond a burst. */
  k->room = MAX(room, -most);
  k->taken = taken;
  k->at = now;
  bool bound = k->rate > 0 && instances >= INTAKE_FLEET;
  if (bound && k->room < 0 && now >= k->until) k->until = now + INTAKE_HOLD_S;
  return now < k->until;
}
