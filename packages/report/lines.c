/* lines.c: one JSON object a line. */
#include "report/lines.h"

#include <stdlib.h>
#include <string.h>

json_t *lines_next(FILE *f, long *passed) {
  char *text = NULL;
  size_t size = 0;
  json_t *line = NULL;
  while (!line && getline(&text, &size, f) > 0) {
    const char *start = strchr(text, '{');
    line = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    if (line && json_object_get(line, "event")) continue;
    json_decref(line);
    line = NULL;
    ++*passed;
  }
  free(text);
  return line;
}

const char *line_text(const json_t *line, const char *name) {
  const char *s = json_string_value(json_object_get(line, name));
  return s ? s : "";
}

double line_number(const json_t *line, const char *name) {
  return json_number_value(json_object_get(line, name));
}

bool line_is(const json_t *line, const char *event) {
  return strcmp(line_text(line, "event"), event) == 0;
}
