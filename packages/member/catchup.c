/* catchup.c: readers' words with their times. */
#include "member/catchup.h"

#include <math.h>

void catchup_start(Catchup *c, double now, double stale_s) {
  double never = now - fmax(stale_s, CATCHUP_AWAY_S);
  *c = (Catchup){
      .stale_s = stale_s, .told = never, .read = never, .away = never};
}

void catchup_told(Catchup *c, double now, bool leads_on) {
  c->read = now;
  if (leads_on) {
    c->told = now;
    c->since = 0;
  } else if (c->since == 0) {
    c->since = now;
  }
}

void catchup_away(Catchup *c, double now) {
  c->away = now;
}

void catchup_missed(Catchup *c, double now) {
  c->told = now - c->stale_s;
  if (c->since == 0) c->since = now;
}

void catchup_answered(Catchup *c) {
  c->since = 0;
}

bool catchup_is_behind(const Catchup *c) {
  return c->since > 0;
}

/* One word that something was read outweighs any number that nothing was: who
   hears one reader that is cut off and two that are not must not wait. */
bool catchup_store_is_away(const Catchup *c, double now) {
  return now - c->away < CATCHUP_AWAY_S && now - c->read >= c->stale_s;
}

/* Who is behind asks as long as anybody reads. Where nobody does, one more
   question would not be answered either, and each is priced. */
bool catchup_rests(const Catchup *c, double now) {
  if (now - c->told < c->stale_s) return !catchup_is_behind(c);
  return catchup_store_is_away(c, now);
}

double catchup_until(const Catchup *c) {
  return fmax(c->told + c->stale_s, c->away + CATCHUP_AWAY_S);
}
