/* division.h: whether and how a pool of engines is divided between long and
   short prompts; pure. docs/ROUTING.md, "Long prompts". */
#ifndef ROUTE_DIVISION_H
#define ROUTE_DIVISION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct Division Division;

/* What one instance observed of a pool, with exponentially fading weight. */
typedef struct DivisionReport {
  double long_tokens, short_tokens; /* prompt tokens sent to be read */
  double streams; /* those that ran at targets which read long prompts */
  double stalled; /* those of them with a pause that was too long */
} DivisionReport;

Division *division_new(void);
void division_free(Division *d);

/* A prompt is sent of which `tokens` have to be read. */
void division_note_prefill(Division *d, double now, bool long_prompt,
                           int64_t tokens);
/* A stream has ended at a target that reads long prompts. `stalled`: one of its
   pauses was too long. */
void division_note_stream(Division *d, double now, bool stalled);
/* The observations of this instance, for the others. */
DivisionReport division_own_report(Division *d, double now);
/* Instance `from` (hash of its id) reports its observations. */
void division_apply_report(Division *d, double now, uint64_t from,
                           const DivisionReport *w);

/* How many of `n` targets read long prompts; `n`: the pool is not divided. */
int division_count_long(Division *d, double now, int n);

#endif
