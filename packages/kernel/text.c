/* text.c: copies text from jansson's allocator to GLib's; hashes. */
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

void text_make_utf8(char *text) {
  const char *bad;
  for (char *p = text; !g_utf8_validate(p, -1, &bad); p++) {
    p += bad - p;
    *p = '?';
  }
}

size_t text_count_values(const char *text, size_t n) {
  bool in_string = false;
  size_t values = 0;
  for (size_t i = 0; i < n; i++) {
    char c = text[i];
    if (in_string && c == '\\')
      i++; /* the escaped character */
    else if (c == '"')
      in_string = !in_string;
    else
      values += !in_string && (c == ',' || c == '{' || c == '[');
  }
  return values;
}

uint64_t text_hash(const char *name) {
  return XXH64(name, strlen(name), 0);
}

/* == hashes in JSON == */

#define HASH_DIGITS 16

json_t *text_json_hash(uint64_t hash) {
  return json_sprintf("%016" G_GINT64_MODIFIER "x", hash);
}

bool text_parse_hash(const char *text, uint64_t *hash) {
  for (int i = 0; i < HASH_DIGITS; i++)
    if (!g_ascii_isxdigit(text[i])) return false;
  if (text[HASH_DIGITS]) return false;
  *hash = g_ascii_strtoull(text, NULL, 16);
  return true;
}

bool text_read_hash(const json_t *o, uint64_t *hash) {
  const char *text = json_string_value(o);
  return text && text_parse_hash(text, hash);
}
