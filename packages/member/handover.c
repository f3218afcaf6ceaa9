/* handover.c: requests one part at a time, from one neighbour at a time. */
#include "member/handover.h"

#include <string.h>

#include <glib.h>

bool handover_try_neighbour(Handover *h, double now, const char *neighbour) {
  if (h->source[0]) return false;
  g_strlcpy(h->source, neighbour, sizeof h->source);
  h->next = (HandoverRequest){0};
  h->requested_at = now;
  h->tries = 1;
  return true;
}

bool handover_retry_if_overdue(Handover *h, double now) {
  if (!h->source[0] || now - h->requested_at < HANDOVER_RETRY_S) return false;
  if (h->tries == HANDOVER_MAX_TRIES) {
    h->source[0] = '\0';
    h->unresponsive++;
    return false;
  }
  h->tries++;
  h->requested_at = now;
  return true;
}

HandoverResult handover_receive_part(Handover *h, double now, const char *from,
                                     uint64_t part, uint64_t revision,
                                     bool more) {
  bool first = part == 0;
  bool awaited = part == h->next.part && revision == h->next.revision;
  if (strcmp(from, h->source) != 0 || !(first || awaited))
    return HANDOVER_UNEXPECTED;
  h->next = (HandoverRequest){.part = part + 1, .revision = revision};
  h->requested_at = now;
  h->tries = 1;
  h->unresponsive = 0;
  if (!more) return HANDOVER_LAST_PART;
  return first ? HANDOVER_FIRST_PART : HANDOVER_NEXT_PART;
}

void handover_note_no_list(Handover *h, const char *from) {
  if (strcmp(from, h->source) != 0) return;
  h->source[0] = '\0';
  h->unresponsive = 0;
}

bool handover_must_read_store(const Handover *h, double now, double since,
                              double chance) {
  if (h->unresponsive >= HANDOVER_MAX_UNRESPONSIVE) return true;
  return now - since > HANDOVER_FALLBACK_S * (1 + chance);
}
