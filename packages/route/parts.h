/* parts.h: the parts of prompts that a target has read, as far as is known;
   pure. A part counts together with all that stands before it. */
#ifndef ROUTE_PARTS_H
#define ROUTE_PARTS_H

#include <glib.h>

#include "flow/ask.h"

typedef struct Parts Parts;

Parts *parts_new(void);
void parts_free(Parts *p);
/* The target reads this prompt. Names of its shared parts that the other
   instances have not been told of lately go to `news` (room for ASK_PARTS);
   returns how many. */
int parts_note(Parts *p, const RequestInfo *a, double now, uint64_t *news);
/* Another instance had these read there. */
void parts_told(Parts *p, const uint64_t *names, int n, double now);
/* Its memory is empty. */
void parts_forget(Parts *p);
/* Tokens of the prompt that it need not read again: of parts that it was sent
   `age_s` ago or earlier. */
int64_t parts_kept(const Parts *p, const RequestInfo *a, double now,
                   double age_s);

/* Names of the shared parts, `most` at most, each with all before it; how many.
 */
int parts_names(const RequestInfo *a, uint64_t *names, int most);
/* How many of these, from the first on, were sent there `age_s` ago or earlier.
 */
int parts_known(const Parts *p, const uint64_t *names, int n, double now,
                double age_s);

/* Parts that are remembered. */
int parts_count(const Parts *p);

/* Tokens of the whole prompt. */
int64_t parts_tokens(const RequestInfo *a);
/* Tokens that other prompts may have in common with it: all but the last
   part, which is the request's own. */
int64_t parts_shared(const RequestInfo *a);
/* Tokens of the first `n` parts. */
int64_t parts_first(const RequestInfo *a, int n);
/* Names the shared parts; 0: nothing is shared. */
uint64_t parts_key(const RequestInfo *a);

#endif
