/* wire.h: decodes and encodes the header fields of callers and targets for the
   relay. platform/wire.c implements it and is the only code that knows their
   names. */
#ifndef FLOW_WIRE_H
#define FLOW_WIRE_H

#include "flow/ask.h"
#include "flow/headers.h"
#include "kernel/err.h"

/* Returns false with a typed error when the request is invalid. `request->key`
   points into `h`. */
bool wire_decode_request(const Headers *h, RequestInfo *request, Err *e);
/* Appends the head of the request for a target, which the caller's body
   follows. */
void wire_append_request(GString *out, const char *method, const char *target,
                         const Headers *h, const GString *body,
                         const RequestForward *send);
/* `id` is the one that the answer has to echo. */
void wire_decode_answer(const Headers *h, const char *id, AnswerInfo *a);
/* Appends a request that any target answers and none runs, whether it has a
   free slot or not; `id` is the target's. */
void wire_append_target_check(GString *out, const char *addr, const char *id);
/* Whether the answer to it shows that target `id` runs. A proxy may state a
   failure in its place. */
bool wire_is_from_target(const Headers *h, int status, const char *id);
/* Appends the fields of a target's answer that are passed to the caller. */
void wire_append_answer_fields(GString *out, const Headers *h);
/* Appends the fields of a refusal by this instance. */
void wire_append_refusal_fields(GString *out, const char *id, const Err *e);

#endif
