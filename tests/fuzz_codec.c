/* fuzz_codec.c: frames of arbitrary bytes are decoded safely, and a decoded
   message is one that our encoder can produce: encoded and decoded again, it is
   the same. Built by fuzz.sh. */
#include <stdlib.h>
#include <string.h>

#include "codec_again.h"

/* Encodes a message, decodes it and encodes it again; the bytes must be equal.
 */
static void check(const CodecMsg *m) {
  msgpack_sbuffer once, twice;
  CodecMsg again;
  size_t off = 0;
  if (m->type == CODEC_TYPES) return;
  msgpack_sbuffer_init(&once);
  msgpack_sbuffer_init(&twice);
  codec_encode_again(&once, m);
  if (!codec_get(once.data, once.size, &off, &again)) abort();
  if (again.type != m->type || off != once.size) abort();
  codec_encode_again(&twice, &again);
  if (once.size != twice.size) abort();
  if (memcmp(once.data, twice.data, once.size) != 0) abort();
  codec_clear(&again);
  msgpack_sbuffer_destroy(&once);
  msgpack_sbuffer_destroy(&twice);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len) {
  const char *text = (const char *)data;
  size_t off = 0;
  CodecMsg m;
  while (off < len && codec_get(text, len, &off, &m)) {
    check(&m);
    codec_clear(&m);
  }
  return 0;
}
