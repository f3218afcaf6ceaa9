/* list.c: searches and extends lists of names. */
#include "kernel/list.h"

#include <glib.h>
#include <string.h>

bool list_has(const char *list, const char *item) {
  size_t n = strlen(item);
  for (const char *s = list; *s;) {
    size_t len = strcspn(s, ";");
    if (len == n && strncmp(s, item, n) == 0) return true;
    s += len;
    s += *s == ';';
  }
  return false;
}

bool list_add(char *list, size_t size, const char *item) {
  if (list_has(list, item)) return true;
  if (strlen(list) + strlen(item) + 2 > size) return false;
  if (list[0]) g_strlcat(list, ";", size);
  g_strlcat(list, item, size);
  return true;
}
