/* text.h: JSON as GLib-allocated text; hashes of names. */
#ifndef KERNEL_TEXT_H
#define KERNEL_TEXT_H

#include <jansson.h>
#include <stdint.h>

/* Compact text of `o`, to be freed with g_free; releases `o`. */
char *text_take_json(json_t *o);
/* A hash that replaces an id or a name in messages between instances. */
uint64_t text_hash(const char *name);

#endif
