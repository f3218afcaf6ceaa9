/* text.h: JSON as text that belongs to us. */
#ifndef KERNEL_TEXT_H
#define KERNEL_TEXT_H

#include <jansson.h>

/* Compact text of `o`, which is released; g_free. */
char *text_json(json_t *o);

#endif
