/* packed.c: compresses texts with zlib. */
#include "peer/packed.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zlib.h>

/* Shorter texts are not compressed: that costs more than it saves. */
#define COMPRESS_MIN_BYTES 512
#define TEXT_MAX_BYTES (8 << 20) /* as for answers of the store */

/* True when the compressed text is shorter. */
static bool compress_text(Packed *p, const char *text) {
  uLongf n = compressBound(p->text_bytes);
  p->data = g_malloc(n);
  bool done = compress2(p->data, &n, (const Bytef *)text, p->text_bytes,
                        Z_BEST_SPEED) == Z_OK;
  p->data_bytes = (uint32_t)n;
  if (done && p->data_bytes < p->text_bytes) {
    p->data = g_realloc(p->data, p->data_bytes);
    return true;
  }
  g_clear_pointer(&p->data, g_free);
  return false;
}

Packed packed_new(const char *text) {
  Packed p = {.text_bytes = text ? (uint32_t)strlen(text) : 0};
  if (p.text_bytes == 0) return p;
  if (p.text_bytes >= COMPRESS_MIN_BYTES && compress_text(&p, text)) return p;
  p.data_bytes = p.text_bytes;
  p.data = g_memdup2(text, p.text_bytes);
  return p;
}

char *packed_text(const Packed *p) {
  if (p->text_bytes == 0 || p->text_bytes > TEXT_MAX_BYTES) return NULL;
  if (p->data_bytes == p->text_bytes)
    return g_strndup((const char *)p->data, p->data_bytes);
  char *text = g_malloc(p->text_bytes + 1);
  uLongf size = p->text_bytes;
  if (uncompress((Bytef *)text, &size, p->data, p->data_bytes) != Z_OK ||
      size != p->text_bytes) {
    g_free(text);
    return NULL;
  }
  text[size] = '\0';
  return text;
}

void packed_free(Packed *p) {
  g_free(p->data);
  *p = (Packed){0};
}
