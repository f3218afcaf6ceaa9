/* handover.c: one neighbour at a time, one part at a time. */
#include "member/handover.h"

#include <string.h>

#include <glib.h>

bool handover_heard(Handover *h, double now, const char *neighbour) {
  if (h->from[0]) return false;
  g_strlcpy(h->from, neighbour, sizeof h->from);
  h->next = (HandoverAsk){0};
  h->asked = now;
  h->tries = 1;
  return true;
}

bool handover_overdue(Handover *h, double now) {
  if (!h->from[0] || now - h->asked < HANDOVER_AGAIN_S) return false;
  if (h->tries == HANDOVER_TRIES) {
    h->from[0] = '\0';
    h->silent++;
    return false;
  }
  h->tries++;
  h->asked = now;
  return true;
}

HandoverTake handover_took(Handover *h, double now, const char *from,
                           uint64_t part, uint64_t at, bool more) {
  bool first = part == 0;
  bool awaited = part == h->next.part && at == h->next.at;
  if (strcmp(from, h->from) != 0 || !(first || awaited)) return HANDOVER_STRAY;
  h->next = (HandoverAsk){.part = part + 1, .at = at};
  h->asked = now;
  h->tries = 1;
  h->silent = 0;
  if (!more) return HANDOVER_WHOLE;
  return first ? HANDOVER_FIRST : HANDOVER_PART;
}

void handover_not_yet(Handover *h, const char *from) {
  if (strcmp(from, h->from) != 0) return;
  h->from[0] = '\0';
  h->silent = 0;
}

bool handover_alone(const Handover *h, double now, double since,
                    double chance) {
  if (h->silent >= HANDOVER_SILENT) return true;
  return now - since > HANDOVER_ALONE_S * (1 + chance);
}
