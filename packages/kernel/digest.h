/* digest.h: 128 bits that stand for a request, whoever tries it and however
   often. */
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

/* Of some texts; where one ends and the next begins counts. Callers choose what
   they send, so it is cut from SHA-256: nobody can make a request that is taken
   for another one's. */
Digest digest_of(const DigestPart *parts, int n);
bool digest_equal(Digest a, Digest b);

/* For hash tables whose keys are Digest. */
guint digest_hash(gconstpointer d);
gboolean digest_equal_keys(gconstpointer a, gconstpointer b);

/* 32 hex digits. */
void digest_format(Digest d, char out[DIGEST_TEXT_BYTES]);
/* False when `text` is no such text. */
bool digest_parse(const char *text, Digest *d);

#endif
