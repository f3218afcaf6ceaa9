/* parts.h: the parts of prompts that a target has in its cache, as far as is
   known; pure. A part is identified together with everything that precedes
   it. */
#ifndef ROUTE_PARTS_H
#define ROUTE_PARTS_H

#include <glib.h>

#include "flow/ask.h"

typedef struct Parts Parts;

Parts *parts_new(void);
void parts_free(Parts *p);
/* The target is sent this prompt. Stores the hashes of its shared parts that
   were not sent to the other instances recently in `to_send` (room for
   REQUEST_MAX_PARTS) and returns how many. */
int parts_note_prompt(Parts *p, const RequestInfo *a, double now,
                      uint64_t *to_send);
/* Another instance sent these parts there. */
void parts_apply_report(Parts *p, const uint64_t *names, int n, double now);
/* The target's cache is empty. */
void parts_clear(Parts *p);
/* Prompt tokens in the cache, from parts that were sent there at least `age_s`
   ago. */
int64_t parts_cached_tokens(const Parts *p, const RequestInfo *a, double now,
                            double age_s);

/* Stores the hashes of up to `max_names` shared parts, each covering all parts
   before it. Returns how many. */
int parts_names(const RequestInfo *a, uint64_t *names, int max_names);
/* How many of these, from the first one on, were sent there at least `age_s`
   ago. */
int parts_count_known(const Parts *p, const uint64_t *names, int n, double now,
                      double age_s);

/* Number of parts that are remembered. */
int parts_count(const Parts *p);

/* Tokens of the whole prompt. */
int64_t parts_prompt_tokens(const RequestInfo *a);
/* Tokens that other prompts may have in common with it: all but the last part,
   which belongs to the request alone. */
int64_t parts_shared_tokens(const RequestInfo *a);
/* Tokens of the first `n` parts. */
int64_t parts_prefix_tokens(const RequestInfo *a, int n);
/* Hash of all shared parts; 0: there are none. */
uint64_t parts_key(const RequestInfo *a);

#endif
