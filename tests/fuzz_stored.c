/* fuzz_stored.c: texts of any bytes in the place of objects in the store do no
   harm, and what is read as an object is one that we may have written: written
   again and read, it is the same. Built by fuzz.sh. */
#include <stdlib.h>
#include <string.h>

#include "stored_again.h"

/* Entries of a claim stand in the order of a hash table, which two tables of
   the same entries need not share: their lengths are compared. */
static void check(const StoredKind *k, const char *text) {
  char *once = k->again(text);
  if (!once) return;
  char *twice = k->again(once);
  if (!twice || strlen(once) != strlen(twice)) abort();
  g_free(once);
  g_free(twice);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len) {
  char *text = g_strndup((const char *)data, len);
  for (size_t i = 0; i < G_N_ELEMENTS(stored_kinds); i++)
    check(&stored_kinds[i], text);
  g_free(text);
  return 0;
}
