/* wire.h: the header fields of callers and targets, decoded and encoded, as the
   relay needs them. The platform's adapter implements it: the only place that
   knows how they are spelled. */
#ifndef FLOW_WIRE_H
#define FLOW_WIRE_H

#include "flow/ask.h"
#include "flow/headers.h"
#include "kernel/err.h"

/* False with a typed error when the request can't be understood. `ask->key`
   points into `h`. */
bool wire_ask(const Headers *h, Ask *ask, Err *e);
/* Appends a target's request: its head, and the caller's body. */
void wire_request(GString *out, const char *method, const char *target,
                  const Headers *h, const GString *body, const AskSend *send);
/* `id`: the one that the answer has to echo. */
void wire_answer(const Headers *h, const char *id, Answer *a);
/* Appends the fields of a target's answer that the caller gets. */
void wire_pass(GString *out, const Headers *h);
/* Appends the fields of a refusal of our own. */
void wire_refusal(GString *out, const char *id, const Err *e);

#endif
