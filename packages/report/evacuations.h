/* evacuations.h: summarises evacuations from log events. An evacuation takes a
   data centre out of use; the report shows from when to when each one lasted
   and at how many instances it was in force. */
#ifndef REPORT_EVACUATIONS_H
#define REPORT_EVACUATIONS_H

#include <jansson.h>
#include <stdio.h>

typedef struct ReportEvacuations ReportEvacuations;

ReportEvacuations *report_evacuations_new(void);
void report_evacuations_free(ReportEvacuations *e);
/* Adds one event to the report; events other than "evacuation" are ignored. */
void report_evacuations_add(ReportEvacuations *e, const json_t *line);
/* Prints times as seconds since `begin`. Prints nothing if there was no
   evacuation. */
void report_evacuations_print(const ReportEvacuations *e, double begin,
                              FILE *out);

#endif
