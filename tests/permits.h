/* permits.h: how a request of a simulated fleet comes to a bounded target; for
   tests without network. */
#ifndef TESTS_PERMITS_H
#define TESTS_PERMITS_H

#include "route/targets.h"

#define PERMITS_TRIES 6       /* questions of one request */
#define PERMITS_SILENT_S 0.25 /* who did not answer is not asked again */

/* For tally_members: all that was counted is kept, or nothing. */
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

/* Whether instance `who` may send where its choice led. `tally`: who counts
   there; NULL: it does not answer. */
static inline bool permits_given(Targets *s, Tally *tally, uint64_t who,
                                 double now, const TargetChoice *c,
                                 uint64_t run) {
  TallyPermitRequest a = target_permit_request(c, now);
  if (!tally) {
    bool deals = target_may_use_own_share(c, now);
    if (!deals) target_note_full(c, now, PERMITS_SILENT_S);
    return deals;
  }
  a.run = run;
  TallyPermit p = tally_decide_permit(tally, now, who, &a);
  targets_apply_limit(s, p.target, p.limit);
  if (p.verdict != TALLY_GIVEN) target_note_full(c, now, p.wait_s);
  return p.verdict == TALLY_GIVEN;
}

/* Where a request of `who` goes; `runs`: numbers of its requests at targets,
   the last one is its own. */
static inline TargetChoice permits_choose(Targets *s, Tally *tally,
                                          uint64_t who, double now,
                                          TargetRequest *ask, uint64_t *runs) {
  TargetChoice c;
  int tries = 0;
  do {
    ask->permits_exhausted = tries++ == PERMITS_TRIES;
    c = targets_pick(s, now, ask);
  } while (c.bounded && !permits_given(s, tally, who, now, &c, ++*runs));
  return c;
}

#endif
