/* buffer.c: sets the allocated size of a GString, which GLib has no function
   for. */
#include "kernel/buffer.h"

#define GROWTH_DIVISOR 4 /* part of its size by which a buffer grows */

static void set_allocated(GString *b, size_t bytes) {
  b->str = g_realloc(b->str, bytes);
  b->allocated_len = bytes;
}

void buffer_append(GString *b, const char *data, size_t n, size_t max) {
  size_t needed = b->len + n + 1;
  if (needed > b->allocated_len) {
    size_t grown = b->allocated_len + b->allocated_len / GROWTH_DIVISOR;
    set_allocated(b, MAX(needed, MIN(grown, max + 1)));
  }
  g_string_append_len(b, data, (gssize)n);
}

void buffer_clear(GString *b, size_t kept) {
  g_string_truncate(b, 0);
  if (b->allocated_len > kept) set_allocated(b, MAX(kept, 1));
}
