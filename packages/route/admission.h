/* admission.h: whether a request is admitted or rejected at once, by the time
   at which its answer is expected to begin; pure. docs/design/admission.md.

   The load that this is for: engines with few slots, which read prompts one
   after the other, ordered by priority. While more is asked for than they read,
   an instance that admits everything fills their queues until each answer is
   late, and most of what is read is wasted (docs/design/load.md).

   Rules, for a request of which neither the target nor anybody else has run
   anything:

   - Nothing is ahead of it at its target: admitted. Nothing can be gained by
     keeping an idle target idle, and its answer refreshes what is expected.
   - Its first byte is expected after its deadline: rejected (`deadline`).
   - It is expected to be late, and the service is persistently late for its
     priority or a more urgent one: rejected (`late`). The reader then never
     runs idle, so each late request that it reads makes another one late that
     would have been on time. Requests that can be on time are admitted, and
     keep the queue as long as the objective allows: nothing is switched off.
   - It is expected to be late, but the service has been late for a moment
     only: admitted. A late answer is worth less than one on time but more than
     none, and a queue that drains by itself delays only those that come before
     it has.

   The service is persistently late for a priority when nearly all of its
   requests have been expected late for longer than a moment, or when the
   allocation says that it is short of capacity. A moment is shorter than the
   shortest objectives of callers (0.3 s to 0.5 s): a longer one would fill the
   queue beyond them. The state ends once few requests have been expected late
   for 2 s. While it lasts, requests count as late somewhat below the objective,
   so that the errors of the expectation do not make admitted requests late and
   the state does not end because rejecting works.

   While the state lasts, requests of a priority that its customer's share does
   not fully admit are late as soon as they would wait for others for a fifth of
   their objective. They fill the targets; the rest of what the objective allows
   is left to customers that are within their shares, whose requests would
   otherwise find the queues as long as a flood makes them.

   A caller that was rejected before and comes back at the time that it was
   promised is not rejected as late again. Promises are given at less than the
   rate at which the service serves (returns.h), and new requests are admitted
   up to the same queue as without them, so the queue hardly gets longer.

   A less urgent priority never makes a more urgent one persistently late: it
   waits behind it.

   The expectation counts all that is unread at the target, as if it was read in
   order of arrival. A request of an urgent priority overtakes most of that, one
   of a low priority is overtaken. So for each priority the time ahead is
   corrected by what recent requests waited, relative to what was expected, and
   where few were measured by the part of the queue that is as urgent, as far as
   this instance filled it. Where nothing was measured since nothing was
   admitted, one request is admitted now and then: otherwise an expectation that
   is too high would exclude a priority for good.

   Without a fresh report of the counting instance a request to an engine is
   admitted. A plain target's queue is served in order of arrival, and what this
   instance knows of it is a lower bound, so the rule on the deadline applies to
   plain targets without a report too. */
#ifndef ROUTE_ADMISSION_H
#define ROUTE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

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

typedef enum {
  ADMISSION_ADMITTED,
  ADMISSION_DEADLINE, /* its answer would begin after the deadline */
  ADMISSION_LATE,     /* it would be late, and the service is persistently */
  ADMISSION_SHARE,    /* its customer is above its share (AdmissionCutoff) */
  ADMISSION_CAUSES
} AdmissionCause;

/* Priority of requests to plain targets, which have no order of priority. */
#define ADMISSION_PLAIN (-1)

typedef struct AdmissionRequest {
  uint64_t service;   /* text_hash of its name */
  int priority;       /* 0 is served first; ADMISSION_PLAIN */
  double wait_s;      /* expected time until the first byte, in order of
                         arrival */
  double own_s;       /* part of it for reading the request itself */
  bool is_free;       /* nothing is ahead of it at the target */
  bool is_reported;   /* the expectation is backed by a fresh report */
  double elapsed_s;   /* since its arrival */
  double objective_s; /* time from the arrival until the first byte after which
                         it is late; 0: none */
  double left_s;      /* until its deadline */
  bool short_of_capacity; /* the allocation says so of the service */
  bool above_share; /* its priority is not fully admitted of its customer */
  bool is_return;   /* its caller comes back at a promised time (returns.h) */
} AdmissionRequest;

typedef struct AdmissionVerdict {
  AdmissionCause cause;
  double expected_s; /* until the first byte; 0: unknown */
  double earliest_s; /* rejected: time until the target's queue is as short as
                        the request needs, if nothing else is admitted */
} AdmissionVerdict;

typedef struct Admission Admission;

Admission *admission_new(void);
void admission_free(Admission *a);

/* Whether a request is within its customer's share. `fraction`: the hash of its
   id, in [0, 1); 0 for a caller that comes back as promised. A cutoff that is
   negative or not a number admits all. */
bool admission_is_within_share(const AdmissionCutoff *c, int priority,
                               double fraction);
/* Decides about a request to the target that was chosen for it. */
AdmissionVerdict admission_decide(Admission *a, double now,
                                  const AdmissionRequest *r);
/* The first byte of a request that was admitted arrived `took_s` after it was
   sent, or it ended without one after that time. `wait_s` and `own_s` are those
   of the decision. */
void admission_note_wait(Admission *a, double now, uint64_t service,
                         int priority, double wait_s, double own_s,
                         double took_s);
/* Whether the service is persistently late for this priority. */
bool admission_is_late(const Admission *a, double now, uint64_t service,
                       int priority);
/* Name of a cause in log lines. */
const char *admission_cause_name(AdmissionCause cause);

#endif
