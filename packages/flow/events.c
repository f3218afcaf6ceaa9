/* events.c: finds the blank line that ends an event, and the event's id. */
#include "flow/events.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/limits.h"

#define END_BYTES 3 /* of the longest end of an event, LF CR LF */

void events_init(Events *e, int64_t last) {
  e->partial = g_string_new(NULL);
  e->searched = 0;
  e->last_id = last;
  e->count = 0;
}

void events_free(Events *e) {
  if (e->partial) g_string_free(e->partial, TRUE);
  e->partial = NULL;
}

/* Returns the length of the first complete event of `s` with its blank line; 0:
   none. No event ends in the first `searched` bytes. */
static size_t first_event(const char *s, size_t n, size_t searched) {
  const char *end = s + n;
  const char *at = searched < END_BYTES ? s : s + searched - (END_BYTES - 1);
  while ((at = memchr(at, '\n', (size_t)(end - at)))) {
    at++;
    if (end - at >= 1 && at[0] == '\n') return (size_t)(at - s) + 1;
    if (end - at >= 2 && at[0] == '\r' && at[1] == '\n')
      return (size_t)(at - s) + 2;
  }
  return 0;
}

/* Returns the id of an event, or EVENTS_NONE. */
static int64_t event_id(const char *s, size_t n) {
  const char *at = s, *end = s + n;
  while (at < end) {
    if (end - at > 3 && memcmp(at, "id:", 3) == 0)
      return strtoll(at + 3, NULL, 10);
    const char *line = memchr(at, '\n', (size_t)(end - at));
    if (!line) break;
    at = line + 1;
  }
  return EVENTS_NONE;
}

/* Whether lines hold a field: comments and blank lines are no event. */
static bool has_field(const char *s, size_t n) {
  const char *at = s, *end = s + n;
  while (at < end) {
    if (*at != ':' && *at != '\r' && *at != '\n') return true;
    const char *line = memchr(at, '\n', (size_t)(end - at));
    if (!line) break;
    at = line + 1;
  }
  return false;
}

static void take_event(Events *e, const char *s, size_t n, GString *out) {
  int64_t id = event_id(s, n);
  if (id != EVENTS_NONE && id <= e->last_id) return;
  if (id != EVENTS_NONE) e->last_id = id;
  if (has_field(s, n)) e->count++;
  g_string_append_len(out, s, (gssize)n);
}

bool events_feed(Events *e, const char *data, size_t n, GString *out) {
  GString *p = e->partial;
  size_t off = 0, len;
  g_string_append_len(p, data, (gssize)n);
  while ((len = first_event(p->str + off, p->len - off, e->searched)) > 0 &&
         len <= LIMIT_EVENT_BYTES) {
    take_event(e, p->str + off, len, out);
    off += len;
    e->searched = 0;
  }
  if (off > 0) g_string_erase(p, 0, (gssize)off);
  e->searched = p->len;
  return p->len <= LIMIT_EVENT_BYTES;
}

bool events_are_inside(const Events *e) {
  return has_field(e->partial->str, e->partial->len);
}

void events_drop_partial(Events *e) {
  g_string_truncate(e->partial, 0);
  e->searched = 0;
}
