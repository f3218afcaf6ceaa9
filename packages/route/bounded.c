/* bounded.c: targets that get a number of requests from all instances, at most:
   those that are cold, and those that name a limit. */
#include "route/state.h"

/* Who counts at a target is told its limit again after this, in seconds: a word
   may be lost, and another instance may count by now. */
#define LIMIT_AGAIN_S 1.0

QuotaBounds target_bounds(const Target *t, double now, const TargetAsk *ask) {
  const Targets *s = t->set;
  double overrun = s->cold_overrun > 0 ? s->cold_overrun : 1;
  bool cold = ask->cold_rate > 0 && now < t->cold_until;
  double bound = ask->cold_rate * overrun + s->cold_extra;
  return (QuotaBounds){.cold = cold ? bound : 0, .limit = t->limit};
}

/* A target that takes more than it did may have room at once. */
static bool set_limit(Target *t, double per_s) {
  bool changed = t->limit != per_s;
  if (per_s > t->limit) t->limit_until = t->full_until = 0;
  t->limit = per_s;
  return changed;
}

TargetNews target_limit(Target *t, double now, double per_s) {
  bool changed = set_limit(t, per_s);
  bool again =
      per_s < QUOTA_UNLIMITED && now - t->limit_told_at >= LIMIT_AGAIN_S;
  t->limit_damaged = false;
  if (!changed && !again) return TARGET_KNOWN;
  t->limit_told_at = now;
  return changed ? TARGET_CHANGED : TARGET_AGAIN;
}

const Target *targets_limit_told(Targets *s, uint64_t target, double per_s) {
  Target *t = g_hash_table_lookup(s->by_hash, &target);
  return t && set_limit(t, per_s) ? t : NULL;
}

bool target_limit_damaged(Target *t) {
  bool was = t->limit_damaged;
  t->limit_damaged = true;
  return !was;
}

TallyPermitAsk target_permit_ask(const TargetChoice *c, double now) {
  const Target *t = c->target;
  return (TallyPermitAsk){.target = t->hash,
                          .counter = targets_counter(t->set, t->hash),
                          .bounds = c->bounds,
                          .reach = quota_reach(&t->set->share, now)};
}

void target_full(const TargetChoice *c, double now, double wait_s) {
  Target *t = c->target;
  if (c->bounds.beyond_limit || t->limit >= QUOTA_UNLIMITED)
    t->full_until = now + wait_s;
  t->limit_until = MAX(t->limit_until, now + wait_s);
}

bool target_deals(const TargetChoice *c, double now) {
  static const QuotaSends unused;
  const Target *t = c->target;
  const QuotaSends *own = t->use ? &t->use->sends : &unused;
  return quota_deals(&t->set->share, own, now, &c->bounds, t->hash);
}
