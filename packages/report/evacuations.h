/* evacuations.h: who evacuated which data centre from when to when, and at how
   many instances that was in force, worked out from log lines. */
#ifndef REPORT_EVACUATIONS_H
#define REPORT_EVACUATIONS_H

#include <jansson.h>
#include <stdio.h>

typedef struct Evacuations Evacuations;

Evacuations *report_evacuations_new(void);
void report_evacuations_free(Evacuations *e);
/* Lines of other events are passed over. */
void report_evacuations_add(Evacuations *e, const json_t *line);
/* Times count from `begin`. Prints nothing when there was none. */
void report_evacuations_print(const Evacuations *e, double begin, FILE *out);

#endif
