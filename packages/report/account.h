/* account.h: summarises from log events which requests were not served within
   their latency objective: by route and cause, with the largest loss first and
   the means of the inputs of the decision; over time; and by customer. Adds the
   evacuations and the calls to the platform's store in the same period. */
#ifndef REPORT_ACCOUNT_H
#define REPORT_ACCOUNT_H

#include <jansson.h>
#include <stdio.h>

typedef struct ReportLosses ReportLosses;

ReportLosses *report_losses_new(void);
void report_losses_free(ReportLosses *a);
/* Adds one event to the report; events that it has no use for are ignored. */
void report_losses_add(ReportLosses *a, const json_t *line);
void report_losses_print(const ReportLosses *a, FILE *out);

/* Returns how a request ended: "in aim" (within the objective), "late: ...",
   "failed: ...", or the error with which it was refused. `line` is the event
   "request". */
const char *report_request_cause(const json_t *line);

#endif
