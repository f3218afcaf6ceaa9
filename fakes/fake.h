/* fake.h: shared parts of the stand-ins: JSON responses, and a server that runs
   until SIGTERM or SIGINT. */
#ifndef FAKES_FAKE_H
#define FAKES_FAKE_H

#include <jansson.h>

#include "http/server.h"

/* A response with status `code` and body `o`; takes ownership of `o`. */
struct MHD_Response *fake_json_response(int *status, int code, json_t *o);
/* Serves on `addr` until a signal; returns the exit code. */
int fake_serve(const char *addr, HttpHandler handler, int max_connections);

#endif
