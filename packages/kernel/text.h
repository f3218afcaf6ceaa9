/* text.h: JSON as text that belongs to us; names as numbers. */
#ifndef KERNEL_TEXT_H
#define KERNEL_TEXT_H

#include <jansson.h>
#include <stdint.h>

/* Compact text of `o`, which is released; g_free. */
char *text_take_json(json_t *o);
/* Stands for an id or a name in messages between instances. */
uint64_t text_hash(const char *name);

#endif
