/* storecalls.h: what the platform's store was called for, worked out from log
   lines: by purpose, the most calls first. */
#ifndef REPORT_STORECALLS_H
#define REPORT_STORECALLS_H

#include <jansson.h>
#include <stdio.h>

typedef struct StoreCalls StoreCalls;

StoreCalls *report_storecalls_new(void);
void report_storecalls_free(StoreCalls *c);
/* Lines of other events are passed over. */
void report_storecalls_add(StoreCalls *c, const json_t *line);
void report_storecalls_print(const StoreCalls *c, FILE *out);

#endif
