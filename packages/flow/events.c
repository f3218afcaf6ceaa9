/* events.c: finds the blank line that ends an event, and the event's id. */
#include "flow/events.h"

#include <stdlib.h>
#include <string.h>

void events_init(Events *e, int64_t last) {
  e->partial = g_string_new(NULL);
  e->last_id = last;
  e->count = 0;
}

void events_free(Events *e) {
  if (e->partial) g_string_free(e->partial, TRUE);
  e->partial = NULL;
}

/* Returns the length of the first complete event of `s` with its blank line; 0:
   none. */
static size_t first_event(const char *s, size_t n) {
  for (size_t i = 0; i + 1 < n; i++) {
    if (s[i] != '\n') continue;
    if (s[i + 1] == '\n') return i + 2;
    if (i + 2 < n && s[i + 1] == '\r' && s[i + 2] == '\n') return i + 3;
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

static void take_event(Events *e, const char *s, size_t n, GString *out) {
  int64_t id = event_id(s, n);
  if (id != EVENTS_NONE && id <= e->last_id) return;
  if (id != EVENTS_NONE) e->last_id = id;
  e->count++;
  g_string_append_len(out, s, (gssize)n);
}

void events_feed(Events *e, const char *data, size_t n, GString *out) {
  g_string_append_len(e->partial, data, (gssize)n);
  size_t off = 0, len;
  while ((len = first_event(e->partial->str + off, e->partial->len - off)) >
         0) {
    take_event(e, e->partial->str + off, len, out);
    off += len;
  }
  g_string_erase(e->partial, 0, (gssize)off);
}

void events_drop_partial(Events *e) {
  g_string_truncate(e->partial, 0);
}
