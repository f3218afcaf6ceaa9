/* bounded.c: targets that may get only a number of requests from all instances
   together: cold ones, and those that report a limit. */
#include "route/state.h"

/* The limit is sent to the counting instance again after this: a message may
   be lost, and another instance may count by now. */
#define LIMIT_RESEND_S 1.0

QuotaBounds target_bounds(const Target *t, double now,
                          const TargetRequest *request) {
  const Targets *s = t->set;
  double overrun = s->cold_overrun_ratio > 0 ? s->cold_overrun_ratio : 1;
  bool cold = request->cold_rate_per_s > 0 && now < t->cold_until;
  double bound = request->cold_rate_per_s * overrun + s->cold_extra_per_s;
  return (QuotaBounds){.cold_per_s = cold ? bound : 0, .limit = t->limit};
}

/* A target that raises its limit may have capacity at once. */
static bool set_limit(Target *t, double per_s) {
  bool changed = t->limit != per_s;
  if (per_s > t->limit) t->limit_until = t->full_until = 0;
  t->limit = per_s;
  return changed;
}

TargetLimitChange target_set_limit(Target *t, double now, double per_s) {
  bool changed = set_limit(t, per_s);
  bool needs_repeat =
      per_s < QUOTA_UNLIMITED && now - t->limit_sent_at >= LIMIT_RESEND_S;
  t->limit_damaged = false;
  if (!changed && !needs_repeat) return TARGET_LIMIT_KNOWN;
  t->limit_sent_at = now;
  return changed ? TARGET_LIMIT_CHANGED : TARGET_LIMIT_REPEAT;
}

const Target *targets_apply_limit(Targets *s, uint64_t target, double per_s) {
  Target *t = g_hash_table_lookup(s->by_hash, &target);
  return t && set_limit(t, per_s) ? t : NULL;
}

bool target_note_damaged_limit(Target *t) {
  bool was = t->limit_damaged;
  t->limit_damaged = true;
  return !was;
}

TallyPermitRequest target_permit_request(const TargetChoice *c, double now) {
  const Target *t = c->target;
  return (TallyPermitRequest){.target = t->hash,
                              .counter = targets_counter(t->set, t->hash),
                              .bounds = c->bounds,
                              .reachable_share =
                                  quota_reachable_share(&t->set->share, now)};
}

void target_note_full(const TargetChoice *c, double now, double wait_s) {
  Target *t = c->target;
  if (c->bounds.over_limit || t->limit >= QUOTA_UNLIMITED)
    t->full_until = now + wait_s;
  t->limit_until = MAX(t->limit_until, now + wait_s);
}

bool target_may_use_own_share(const TargetChoice *c, double now) {
  static const QuotaSends unused;
  const Target *t = c->target;
  const QuotaSends *own = t->use ? &t->use->sends : &unused;
  return quota_allows_fixed_share(&t->set->share, own, now, &c->bounds,
                                  t->hash);
}
