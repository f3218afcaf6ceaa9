/* lines.c: parses logs with one JSON object per line. */
#include "report/lines.h"

#include <stdlib.h>
#include <string.h>

json_t *report_read_event(FILE *f, long *skipped) {
  char *text = NULL;
  size_t size = 0;
  json_t *line = NULL;
  while (!line && getline(&text, &size, f) > 0) {
    const char *start = strchr(text, '{');
    line = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    if (line && json_object_get(line, "event")) continue;
    json_decref(line);
    line = NULL;
    ++*skipped;
  }
  free(text);
  return line;
}

const char *report_event_string(const json_t *line, const char *name) {
  const char *s = json_string_value(json_object_get(line, name));
  return s ? s : "";
}

double report_event_number(const json_t *line, const char *name) {
  return json_number_value(json_object_get(line, name));
}

bool report_event_is(const json_t *line, const char *event) {
  return strcmp(report_event_string(line, "event"), event) == 0;
}
