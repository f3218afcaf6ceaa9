/* packed.h: a text as it travels between instances, compressed where that makes
   it shorter: a configuration of thousands of routes, or the list of targets,
   finds no room on a link as it is. */
#ifndef PEER_PACKED_H
#define PEER_PACKED_H

#include <stddef.h>
#include <stdint.h>

typedef struct Packed {
  uint32_t size; /* bytes of the text; 0: there is none */
  uint32_t n;    /* bytes of `data`; `size`: they are the text */
  uint8_t *data;
} Packed;

/* `text` may be NULL: none. */
Packed packed_new(const char *text);
/* The text, to be freed with g_free; NULL: there is none, or it is damaged. */
char *packed_text(const Packed *p);
void packed_free(Packed *p);

#endif
