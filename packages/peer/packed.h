/* packed.h: a text as it is sent between instances, compressed where that makes
   it shorter: a configuration of thousands of routes, or the list of targets,
   would exceed the capacity of a link uncompressed. */
#ifndef PEER_PACKED_H
#define PEER_PACKED_H

#include <stddef.h>
#include <stdint.h>

typedef struct Packed {
  uint32_t size; /* bytes of the text; 0: no text */
  uint32_t n;    /* bytes of `data`; equal to `size`: not compressed */
  uint8_t *data;
} Packed;

/* `text` may be NULL: no text. */
Packed packed_new(const char *text);
/* The text, to be freed with g_free; NULL: no text, or damaged data. */
char *packed_text(const Packed *p);
void packed_free(Packed *p);

#endif
