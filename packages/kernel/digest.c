/* digest.c: SHA-256 of parts with their lengths, truncated to 128 bits. */
#include "kernel/digest.h"

#include <string.h>

#define SHA256_BYTES 32

static void add(GChecksum *sum, const void *data, size_t n) {
  g_checksum_update(sum, data, (gssize)n);
}

Digest digest_of(const DigestPart *parts, int n) {
  guint8 bytes[SHA256_BYTES];
  gsize size = sizeof bytes;
  uint64_t half[2];
  GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
  for (int i = 0; i < n; i++) {
    uint64_t length = GUINT64_TO_BE((uint64_t)parts[i].n);
    add(sum, &length, sizeof length);
    add(sum, parts[i].data, parts[i].n);
  }
  g_checksum_get_digest(sum, bytes, &size);
  g_checksum_free(sum);
  memcpy(half, bytes, sizeof half);
  return (Digest){.hi = GUINT64_FROM_BE(half[0]),
                  .lo = GUINT64_FROM_BE(half[1])};
}

bool digest_equal(Digest a, Digest b) {
  return a.hi == b.hi && a.lo == b.lo;
}

guint digest_hash(gconstpointer d) {
  return (guint)((const Digest *)d)->lo;
}

gboolean digest_equal_keys(gconstpointer a, gconstpointer b) {
  return digest_equal(*(const Digest *)a, *(const Digest *)b);
}

void digest_format(Digest d, char out[DIGEST_TEXT_BYTES]) {
  g_snprintf(out, DIGEST_TEXT_BYTES,
             "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", d.hi,
             d.lo);
}

bool digest_parse(const char *text, Digest *d) {
  char half[DIGEST_TEXT_BYTES / 2 + 1] = {0};
  if (strlen(text) != DIGEST_TEXT_BYTES - 1) return false;
  for (const char *c = text; *c; c++)
    if (!g_ascii_isxdigit(*c)) return false;
  memcpy(half, text, DIGEST_TEXT_BYTES / 2);
  d->hi = g_ascii_strtoull(half, NULL, 16);
  d->lo = g_ascii_strtoull(text + DIGEST_TEXT_BYTES / 2, NULL, 16);
  return true;
}
