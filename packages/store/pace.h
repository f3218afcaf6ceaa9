/* pace.h: a token bucket for the platform's calls; draws and claims go ahead
   of housekeeping. Pure. */
#ifndef STORE_PACE_H
#define STORE_PACE_H

#include <stdbool.h>

typedef struct Pace {
  double rate, burst; /* calls a second, calls */
  double level, at;
} Pace;

void pace_init(Pace *p, double rate, double now);
/* Another rate from now on. */
void pace_rate(Pace *p, double rate, double now);
/* Takes one call and returns 0, or takes none and returns the seconds until it
   may be tried again. Housekeeping leaves half of the burst to urgent calls. */
double pace_take(Pace *p, double now, bool urgent);

/* Seconds until a call that failed is tried again: `wait`, which is doubled up
   to a bound, by half to one and a half with `chance` (0 to 1), so that after
   an outage there is no stampede. */
double pace_backoff(double *wait, double chance);

#endif
