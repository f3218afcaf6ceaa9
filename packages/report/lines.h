/* lines.h: reads events from the logs of instances. */
#ifndef REPORT_LINES_H
#define REPORT_LINES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/* Returns the next event, which the caller releases with json_decref, or NULL
   at the end of the file. Ignores text before the JSON object of a line. Skips
   lines without an event and adds their number to *skipped. */
json_t *report_read_event(FILE *f, long *skipped);

/* Return a field of the event `line`; "" or 0 if it is absent. */
const char *report_event_string(const json_t *line, const char *name);
double report_event_number(const json_t *line, const char *name);
/* Returns whether `event` is the event name of `line`. */
bool report_event_is(const json_t *line, const char *event);

#endif
