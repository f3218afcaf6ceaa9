/* clock.h: the two clocks; only code that does I/O reads them, pure code gets
   the time as an argument. */
#ifndef KERNEL_CLOCK_H
#define KERNEL_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Monotonic seconds, not comparable between instances. Unlike CLOCK_MONOTONIC
   it counts the time for which the machine was suspended: otherwise an instance
   that resumes would take outdated knowledge for fresh. */
static inline double clock_now(void) {
  struct timespec t;
  clock_gettime(CLOCK_BOOTTIME, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Milliseconds since 1970. It may be set at any time: safety rules compare the
   clocks of several instances. */
static inline int64_t clock_unix_ms(void) {
  struct timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Seconds since 1970; for stored records and display, never for safety rules.
 */
static inline int64_t clock_unix(void) {
  return (int64_t)time(NULL);
}

#endif
