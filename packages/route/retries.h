/* retries.h: bounds the retries of all instances together in every sliding
   window; pure. Each instance has its own share: a ratio of its own requests
   and a part of the extra retries. */
#ifndef ROUTE_RETRIES_H
#define ROUTE_RETRIES_H

#include <stdbool.h>

typedef struct Retries Retries;

typedef struct RetriesOptions {
  double ratio;    /* retries per request */
  double window_s; /* length of the window */
  double extra;    /* on top, for all instances together */
} RetriesOptions;

Retries *retries_new(const RetriesOptions *o);
void retries_free(Retries *r);
/* Sets how many instances share the extra retries. A lower number takes effect
   only after a window, since the instances that are gone may have used their
   parts in the current one. For a window after its start an instance has no
   part, since its earlier run may have used it. */
void retries_set_instances(Retries *r, double now, int n);
/* Counts a first dispatch to `service`. */
void retries_note_first(Retries *r, double now, const char *service);
/* Uses one retry; false: none is left. */
bool retries_take(Retries *r, double now, const char *service);

#endif
