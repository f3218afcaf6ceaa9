/* division.h: whether a pool of engines is divided between long and short
   prompts, and how; pure. docs/ROUTING.md, "Long prompts". */
#ifndef ROUTE_DIVISION_H
#define ROUTE_DIVISION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct Division Division;

/* What one instance saw of a pool, faded over DIVISION_TAU_S. */
typedef struct DivisionReport {
  double long_read, short_read; /* tokens of prompts that it had read */
  double streams;               /* that ran where long prompts are read */
  double stalled;               /* of these, with a pause that was too long */
} DivisionReport;

Division *division_new(void);
void division_free(Division *d);

/* A prompt is sent, with `tokens` to be read. */
void division_note_prefill(Division *d, double now, bool long_prompt,
                           int64_t tokens);
/* A stream has ended that ran where long prompts are read. */
void division_note_stream(Division *d, double now, bool held);
/* What this instance saw, for the others. */
DivisionReport division_own_report(Division *d, double now);
/* Instance `from` (hash of its id) told what it saw. */
void division_apply_report(Division *d, double now, uint64_t from,
                           const DivisionReport *w);

/* How many of `n` targets are for long prompts; all: the pool is not divided.
 */
int division_count_long(Division *d, double now, int n);

#endif
