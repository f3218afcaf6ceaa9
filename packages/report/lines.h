/* lines.h: reads the log lines of instances back. */
#ifndef REPORT_LINES_H
#define REPORT_LINES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/* The next line that holds an event, whatever stands before its JSON; NULL at
   the end. Other lines are counted in *passed. The caller frees it. */
json_t *lines_next(FILE *f, long *passed);

const char *line_text(const json_t *line, const char *name); /* "" if none */
double line_number(const json_t *line, const char *name);    /* 0 if none */
bool line_is(const json_t *line, const char *event);

#endif
