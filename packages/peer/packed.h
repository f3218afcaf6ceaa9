/* packed.h: a text as it is sent between instances, compressed if that makes it
   shorter. Without compression, a configuration of thousands of routes or the
   list of targets would exceed the capacity of a link. */
#ifndef PEER_PACKED_H
#define PEER_PACKED_H

#include <stddef.h>
#include <stdint.h>

typedef struct Packed {
  uint32_t text_bytes; /* length of the text; 0: no text */
  uint32_t data_bytes; /* length of `data` */
  uint8_t *data;       /* compressed unless `data_bytes` equals `text_bytes` */
} Packed;

/* Packs `text`; NULL: no text. Free the result with packed_free. */
Packed packed_new(const char *text);
/* Returns the text, which the caller frees with g_free, or NULL if there is
   none or the data is damaged. */
char *packed_text(const Packed *p);
void packed_free(Packed *p);

#endif
