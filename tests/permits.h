/* permits.h: the permits of a simulated fleet for bounded targets; for tests
   without network. */
#ifndef TESTS_PERMITS_H
#define TESTS_PERMITS_H

#include "route/targets.h"

#define PERMITS_MAX_TRIES 6 /* permit requests for one request */
/* No further permit request after a missing answer. */
#define PERMITS_UNRESPONSIVE_S 0.25

/* For tally_set_members: keep all counts, or none. */
static inline bool permits_count_all(void *ctx, uint64_t name) {
  (void)ctx;
  (void)name;
  return true;
}

static inline bool permits_count_none(void *ctx, uint64_t name) {
  (void)ctx;
  (void)name;
  return false;
}

/* Whether `sender` may send to its choice. `tally`: of the counting instance;
   NULL: it does not answer. */
static inline bool permits_given(Targets *s, Tally *tally, uint64_t sender,
                                 double now, const TargetChoice *c,
                                 uint64_t run) {
  TallyPermitRequest a = target_permit_request(c, now);
  if (!tally) {
    bool allowed = target_may_use_own_share(c, now);
    if (!allowed) target_note_full(c, now, PERMITS_UNRESPONSIVE_S);
    return allowed;
  }
  a.run = run;
  TallyPermit p = tally_decide_permit(tally, now, sender, &a);
  targets_apply_limit(s, p.target, p.limit);
  if (p.verdict != TALLY_GIVEN) target_note_full(c, now, p.wait_s);
  return p.verdict == TALLY_GIVEN;
}

/* The final choice for a request of `sender`. `runs`: number of its last run;
   it is advanced for each permit request. */
static inline TargetChoice permits_choose(Targets *s, Tally *tally,
                                          uint64_t sender, double now,
                                          TargetRequest *request,
                                          uint64_t *runs) {
  TargetChoice c;
  int tries = 0;
  do {
    request->permits_exhausted = tries++ == PERMITS_MAX_TRIES;
    c = targets_pick(s, now, request);
  } while (c.bounded && !permits_given(s, tally, sender, now, &c, ++*runs));
  return c;
}

#endif
