/* body.h: bodies of answers that are read whole before they are passed on. All
   of them together take a bounded part of the instance's memory, however many
   targets send without end at once. */
#ifndef ENTRY_BODY_H
#define ENTRY_BODY_H

#include <glib.h>
#include <stdbool.h>

#include "http/client.h"
#include "http/server.h"

/* Reads the body to its end. Returns false if it is cut, arrives too slowly
   (http_stream_limit), or is larger than LIMIT_ANSWER_BYTES or than half of
   what is free for all bodies, or for all that callers hold. `caller`: who gets
   it. `first`: called with the first bytes; NULL: not.
   The caller releases the body in either case. */
bool body_read(HttpStream *s, Connection *caller, GString *body,
               void (*first)(void *ctx), void *ctx);
/* Frees a body that was read. */
void body_free(GString *body);
/* Returns the response that takes over a body that was read. */
struct MHD_Response *body_take(const char *type, GString *body);

#endif
