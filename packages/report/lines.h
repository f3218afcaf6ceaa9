/* lines.h: reads events from the logs of instances. */
#ifndef REPORT_LINES_H
#define REPORT_LINES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/* Returns the next event, or NULL at the end of the file; json_decref. Text
   before the JSON object of a line is ignored. Lines without an event are
   skipped, and *skipped is increased by their number. */
json_t *report_read_event(FILE *f, long *skipped);

/* Return a field of an event; "" or 0 if it is absent. */
const char *report_event_string(const json_t *line, const char *name);
double report_event_number(const json_t *line, const char *name);
bool report_event_is(const json_t *line, const char *event);

#endif
