/* returns.h: the times at which rejected callers of a service were told to
   retry at this instance (Retry-After); pure.

   The load that this is for: a service gets several times the requests that it
   can serve, and callers retry once. If all are told the same 0.2 s, they
   return together, find the service as full as before and have no further try
   (docs/design/load.md: with two customers beside a flood, no retry was
   served). Here each promised retry has a time of its own, as far from the next
   one as the service takes to serve a request of this instance.

   A caller follows Retry-After up to a third of the time left until its
   deadline, so a later time reserves nothing: the caller is told the truth and
   goes elsewhere. For the same reason the schedule never extends further than
   a third of the longest deadline.

   A caller that comes back at its time has a claim: it is not rejected again as
   late (admission.h). Otherwise it would find the place that it waited for
   taken by those that did not wait. It is recognised by a hash of its request,
   if it comes back to this instance. */
#ifndef ROUTE_RETURNS_H
#define ROUTE_RETURNS_H

#include <stdbool.h>
#include <stdint.h>

/* Shortest Retry-After. */
#define RETURNS_MIN_S 0.1
/* Callers come back some milliseconds early or late, and those that wait
   somewhat longer than they were told are not sent away. */
#define RETURNS_CLAIM_EARLY_S 0.05
#define RETURNS_CLAIM_S 1.0

typedef struct Returns Returns;

typedef struct ReturnsCaller {
  uint64_t id;       /* equal when it comes back */
  double earliest_s; /* an earlier retry would be rejected for the same cause */
  double max_s;      /* longest time for which the caller waits */
  double work;       /* of the request, in any unit; below 1 counts as 1 */
  double per_s;      /* retries that this instance may promise; 0: unknown, a
                        part of the work that it serves per second applies */
  double from;       /* time from which retries may return; 0: at once */
} ReturnsCaller;

Returns *returns_new(void);
void returns_free(Returns *r);
/* A request of the service (text_hash of its name) was served. */
void returns_note_served(Returns *r, double now, uint64_t service, double work);
/* Returns Retry-After in seconds for a caller that is rejected now: the next
   free time of the service's schedule. It is reserved if the caller can wait
   for it. Invalid values (not finite, negative, absurd) have no effect. */
double returns_promise(Returns *r, double now, uint64_t service,
                       const ReturnsCaller *c);
/* Whether a caller that arrives now comes back at the time that it was
   promised, or up to RETURNS_CLAIM_S later. Ends the promise. */
bool returns_claim(Returns *r, double now, uint64_t service, uint64_t id);
/* Whether there is any claim now. */
bool returns_has_claims(const Returns *r, double now, uint64_t service);
/* Number of promised retries whose time has not come. */
int returns_pending(const Returns *r, double now, uint64_t service);

#endif
