/* list.h: a list of names in one string, separated by ';', as in the cells of
   the operators' table. */
#ifndef KERNEL_LIST_H
#define KERNEL_LIST_H

#include <stdbool.h>
#include <stddef.h>

/* True when `list` contains `item`. */
bool list_has(const char *list, const char *item);
/* Appends `item` to `list`, a buffer of `size` bytes, unless it contains it
   already. Returns false when there is no room. */
bool list_add(char *list, size_t size, const char *item);

#endif
