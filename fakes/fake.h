/* fake.h: what every stand-in needs: JSON answers and a main that serves until
   it is told to stop. */
#ifndef FAKES_FAKE_H
#define FAKES_FAKE_H

#include <jansson.h>

#include "http/server.h"

/* An answer of `code`; takes over `o`. */
struct MHD_Response *fake_json_response(int *status, int code, json_t *o);
/* Serves on `addr`; the exit code. */
int fake_serve(const char *addr, HttpHandler handler, int max_connections);

#endif
