/* account.h: the report of the command "loftpath account", made from log
   events. It counts the requests that were refused, failed or missed their
   latency objective (here: losses) in four tables: by route and cause, with
   the largest loss first and the means of the inputs of the routing decision;
   those that were refused, again by route and cause, with the time until they
   were; by time; and by customer. It also lists the evacuations, that is, the
   data centres taken out of use, and the calls to the platform's store in the
   same period. */
#ifndef REPORT_ACCOUNT_H
#define REPORT_ACCOUNT_H

#include <jansson.h>
#include <stdio.h>

typedef struct ReportLosses ReportLosses;

ReportLosses *report_losses_new(void);
void report_losses_free(ReportLosses *a);
/* Adds one event to the report; ignores events that the report does not use. */
void report_losses_add(ReportLosses *a, const json_t *line);
void report_losses_print(const ReportLosses *a, FILE *out);

/* Returns how the request of `line`, an event "request", ended: "in aim"
   (within its latency objective), "late ..." (served, but over the objective),
   "failed: ...", "rejected: ..." (not sent, for the expected time of its answer
   or its customer's share), or the error with which the instance refused it.
 */
const char *report_request_cause(const json_t *line);

#endif
