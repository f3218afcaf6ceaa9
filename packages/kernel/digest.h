/* digest.h: a 128-bit digest that identifies a request across instances and
   retries. */
#ifndef KERNEL_DIGEST_H
#define KERNEL_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define DIGEST_TEXT_BYTES 33 /* bytes of its text, with the NUL */

typedef struct Digest {
  uint64_t hi, lo;
} Digest;

typedef struct DigestPart {
  const char *data;
  size_t n;
} DigestPart;

/* Digest of a list of texts; the boundaries between them count. It is a
   truncated SHA-256, so that a caller can't construct a request that is taken
   for another. */
Digest digest_of(const DigestPart *parts, int n);
bool digest_equal(Digest a, Digest b);

/* For hash tables whose keys are Digest. */
guint digest_hash(gconstpointer d);
gboolean digest_equal_keys(gconstpointer a, gconstpointer b);

/* 32 hex digits. */
void digest_format(Digest d, char out[DIGEST_TEXT_BYTES]);
/* False when `text` is not 32 hex digits. */
bool digest_parse(const char *text, Digest *d);

#endif
