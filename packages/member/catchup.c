/* catchup.c: the times of the readers' reports. */
#include "member/catchup.h"

#include <math.h>

void catchup_init(Catchup *c, double now, double stale_s) {
  double never = now - fmax(stale_s, CATCHUP_UNAVAILABLE_S);
  *c = (Catchup){.stale_s = stale_s,
                 .contiguous_at = never,
                 .read_at = never,
                 .unavailable_at = never};
}

void catchup_note_read(Catchup *c, double now, bool contiguous) {
  c->read_at = now;
  if (contiguous) {
    c->contiguous_at = now;
    c->missing_since = 0;
  } else if (c->missing_since == 0) {
    c->missing_since = now;
  }
}

void catchup_note_unavailable(Catchup *c, double now) {
  c->unavailable_at = now;
}

void catchup_note_gap(Catchup *c, double now) {
  c->contiguous_at = now - c->stale_s;
  if (c->missing_since == 0) c->missing_since = now;
}

void catchup_note_answer(Catchup *c) {
  c->missing_since = 0;
}

bool catchup_is_lagging(const Catchup *c) {
  return c->missing_since > 0;
}

/* One report of a read outweighs any number of reports that the store does not
   answer: an instance must not wait because one reader of three is cut off. */
bool catchup_store_is_unavailable(const Catchup *c, double now) {
  return now - c->unavailable_at < CATCHUP_UNAVAILABLE_S &&
         now - c->read_at >= c->stale_s;
}

/* A lagging instance reads the store as long as any reader does. Where none
   does, one more call would not be answered either, and each is priced. */
bool catchup_can_skip_store(const Catchup *c, double now) {
  if (now - c->contiguous_at < c->stale_s) return !catchup_is_lagging(c);
  return catchup_store_is_unavailable(c, now);
}

double catchup_skip_until(const Catchup *c) {
  return fmax(c->contiguous_at + c->stale_s,
              c->unavailable_at + CATCHUP_UNAVAILABLE_S);
}
