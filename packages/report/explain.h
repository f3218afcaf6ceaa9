/* explain.h: shows the log events of one request, and the events that changed
   the state of its instance and target before and during it. */
#ifndef REPORT_EXPLAIN_H
#define REPORT_EXPLAIN_H

#include <stdbool.h>
#include <stdio.h>

/* Prints the events in the order of the file. Returns false if the file has no
   event "request" with this id. Reads `in` twice, so it must be seekable. */
bool report_explain(FILE *in, const char *request, FILE *out);

#endif
