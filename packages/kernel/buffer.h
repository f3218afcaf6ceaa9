/* buffer.h: buffers whose memory is counted: they grow by what they need, and
   return it when they are cleared. */
#ifndef KERNEL_BUFFER_H
#define KERNEL_BUFFER_H

#include <glib.h>

/* Appends `n` bytes. A long buffer grows by a part of its size, and to no more
   than `max` bytes if that is enough; GLib would double it. */
void buffer_append(GString *b, const char *data, size_t n, size_t max);
/* Empties it; no more than `kept` bytes of memory remain. */
void buffer_clear(GString *b, size_t kept);

#endif
