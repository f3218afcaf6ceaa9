/* text.c: copies text from jansson's allocator to GLib's. */
#include "kernel/text.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

char *text_take_json(json_t *o) {
  char *text = json_dumps(o, JSON_COMPACT), *copy = g_strdup(text);
  free(text);
  json_decref(o);
  return copy;
}

uint64_t text_hash(const char *name) {
  return XXH64(name, strlen(name), 0);
}
