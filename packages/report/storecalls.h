/* storecalls.h: counts calls to the platform's store from log events, by
   purpose, kind of object, operation and outcome, in descending order. */
#ifndef REPORT_STORECALLS_H
#define REPORT_STORECALLS_H

#include <jansson.h>
#include <stdio.h>

typedef struct ReportStoreCalls ReportStoreCalls;

ReportStoreCalls *report_storecalls_new(void);
void report_storecalls_free(ReportStoreCalls *c);
/* Adds one event to the report; events other than "store-calls" are ignored. */
void report_storecalls_add(ReportStoreCalls *c, const json_t *line);
void report_storecalls_print(const ReportStoreCalls *c, FILE *out);

#endif
