/* packed.c: compresses texts with zlib. */
#include "peer/packed.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zlib.h>

#define COMPRESS_MIN_BYTES 512   /* shorter texts gain less than it costs */
#define TEXT_MAX_BYTES (8 << 20) /* as of an answer of the store */

/* True when the compressed text is shorter. */
static bool compress_text(Packed *p, const char *text) {
  uLongf n = compressBound(p->size);
  p->data = g_malloc(n);
  bool done = compress2(p->data, &n, (const Bytef *)text, p->size,
                        Z_BEST_SPEED) == Z_OK;
  p->n = (uint32_t)n;
  if (done && p->n < p->size) {
    p->data = g_realloc(p->data, p->n);
    return true;
  }
  g_clear_pointer(&p->data, g_free);
  return false;
}

Packed packed_new(const char *text) {
  Packed p = {.size = text ? (uint32_t)strlen(text) : 0};
  if (p.size == 0) return p;
  if (p.size >= COMPRESS_MIN_BYTES && compress_text(&p, text)) return p;
  p.n = p.size;
  p.data = g_memdup2(text, p.size);
  return p;
}

char *packed_text(const Packed *p) {
  if (p->size == 0 || p->size > TEXT_MAX_BYTES) return NULL;
  if (p->n == p->size) return g_strndup((const char *)p->data, p->n);
  char *text = g_malloc(p->size + 1);
  uLongf size = p->size;
  if (uncompress((Bytef *)text, &size, p->data, p->n) != Z_OK ||
      size != p->size) {
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
