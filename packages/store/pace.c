/* pace.c: the token bucket and the backoff of retries. */
#include "store/pace.h"

#include "kernel/limits.h"

#define MIN_BURST_CALLS 2

static void refill(Pace *p, double now) {
  if (now > p->updated_at)
    p->available_calls += (now - p->updated_at) * p->rate_per_s;
  if (p->available_calls > p->burst_calls) p->available_calls = p->burst_calls;
  p->updated_at = now;
}

static void set_rate(Pace *p, double rate) {
  p->rate_per_s = rate;
  p->burst_calls = rate < MIN_BURST_CALLS ? MIN_BURST_CALLS : rate;
}

void pace_init(Pace *p, double rate, double now) {
  set_rate(p, rate);
  p->available_calls = p->burst_calls;
  p->updated_at = now;
}

void pace_set_rate(Pace *p, double rate, double now) {
  refill(p, now); /* adds calls at the old rate up to now */
  set_rate(p, rate);
}

double pace_take(Pace *p, double now, bool urgent) {
  refill(p, now);
  double min_calls = urgent ? 1 : 1 + p->burst_calls / 2;
  if (p->available_calls < min_calls)
    return (min_calls - p->available_calls) / p->rate_per_s;
  p->available_calls -= 1;
  return 0;
}

double pace_backoff(double *wait_s, double random) {
  double next_s = *wait_s * 2;
  if (next_s < STORE_BACKOFF_MIN_S) next_s = STORE_BACKOFF_MIN_S;
  if (next_s > STORE_BACKOFF_MAX_S) next_s = STORE_BACKOFF_MAX_S;
  *wait_s = next_s;
  return next_s * (0.5 + random);
}
