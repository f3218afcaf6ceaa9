/* pace.h: a token bucket that limits the rate of calls to the platform; draws
   and claims have priority over housekeeping. No I/O and no clock. */
#ifndef STORE_PACE_H
#define STORE_PACE_H

#include <stdbool.h>

typedef struct Pace {
  double rate_per_s, burst_calls;
  double available_calls, updated_at;
} Pace;

void pace_init(Pace *p, double rate, double now);
/* Changes the rate from `now` on. */
void pace_set_rate(Pace *p, double rate, double now);
/* Takes one call and returns 0, or takes none and returns the seconds until the
   caller may try again. Housekeeping leaves half of the burst to urgent
   calls. */
double pace_take(Pace *p, double now, bool urgent);

/* Seconds until a failed call is retried: *wait_s, which is first doubled
   within STORE_BACKOFF_MIN_S and STORE_BACKOFF_MAX_S, times 0.5 to 1.5 by
   `random` (0 to 1). The random factor prevents that all instances retry at
   once after an outage. */
double pace_backoff(double *wait_s, double random);

#endif
