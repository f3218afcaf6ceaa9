/* evacuations.h: summarises evacuations from log events. An evacuation takes a
   data centre out of use. The report shows for each data centre the times of
   the first and the last event, and at how many instances an evacuation was in
   force at most and at the end of the log. */
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
