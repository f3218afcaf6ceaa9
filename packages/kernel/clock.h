/* clock.h: the two clocks, read at the edge only. */
#ifndef KERNEL_CLOCK_H
#define KERNEL_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Seconds that never go back, not comparable between instances. Those for which
   the machine was suspended count, other than with CLOCK_MONOTONIC: by that one
   an instance that wakes takes for fresh whatever it knew before. */
static inline double clock_now(void) {
  struct timespec t;
  clock_gettime(CLOCK_BOOTTIME, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Seconds since 1970; for stored records and people, never for safety. */
static inline int64_t clock_unix(void) {
  return (int64_t)time(NULL);
}

#endif
