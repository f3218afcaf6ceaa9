/* admission.h: whether a request is admitted or rejected at once, by the time
   at which its answer is expected to begin; pure. docs/design/admission.md. */
#ifndef ROUTE_ADMISSION_H
#define ROUTE_ADMISSION_H

#include <stdbool.h>

/* What the allocation of a service's capacity (docs/design/load.md, part 4)
   states about one customer. */
typedef struct AdmissionCutoff {
  bool short_of_capacity; /* the service is */
  /* A request is admitted if its priority plus a hash of its id in [0, 1) is
     below it; INFINITY: all are. */
  double cutoff;
  double retries_per_s; /* retries that this instance may promise; 0: unknown */
  double retries_from;  /* time on the clock of the event loop from which they
                           may return; 0: at once */
} AdmissionCutoff;

#endif
