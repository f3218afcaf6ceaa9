/* text.h: JSON as GLib-allocated text; hashes of names, and their text. */
#ifndef KERNEL_TEXT_H
#define KERNEL_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Compact text of `o`, to be freed with g_free; releases `o`. */
char *text_take_json(json_t *o);
/* Replaces each byte that is no part of a UTF-8 character, which JSON could not
   hold. */
void text_make_utf8(char *text);
/* Returns about how many values a JSON text has: the commas in it, and the
   begins of its objects and lists. The text may be invalid. */
size_t text_count_values(const char *text, size_t n);
/* A hash that replaces an id or a name in messages between instances. */
uint64_t text_hash(const char *name);

/* A hash as text in JSON, whose integers don't hold all of them. */
json_t *text_json_hash(uint64_t hash);
/* These read such a text, and return false if it is not one. */
bool text_read_hash(const json_t *o, uint64_t *hash);
bool text_parse_hash(const char *text, uint64_t *hash);

#endif
