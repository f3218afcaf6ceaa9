/* retries.h: how often requests are sent again, bounded over all instances in
   every sliding window; pure. Each instance keeps to its share: the ratio of
   its own requests, and its part of the extra. */
#ifndef ROUTE_RETRIES_H
#define ROUTE_RETRIES_H

#include <stdbool.h>

typedef struct Retries Retries;

typedef struct RetriesOptions {
  double ratio;    /* retries for each request */
  double window_s; /* in every span of this length */
  double extra;    /* besides, for all instances together */
} RetriesOptions;

Retries *retries_new(const RetriesOptions *o);
void retries_free(Retries *r);
/* How many instances share the extra from now on. Fewer count only after a
   window: those that went may have used their parts in the one that runs. For
   a window after its start an instance has no part, since its earlier life may
   have used it. */
void retries_set_instances(Retries *r, double now, int n);
/* A first dispatch to `service`. */
void retries_note_first(Retries *r, double now, const char *service);
/* Takes one retry; false when none is left. */
bool retries_take(Retries *r, double now, const char *service);

#endif
