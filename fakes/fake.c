/* fake.c: see fake.h. */
#include "fakes/fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY_BYTES (8 << 20)
#define MAX_HEADER_BYTES (32 << 10)
#define IDLE_TIMEOUT_S 60
#define STACK_BYTES (128 << 10)
#define MEMORY_BYTES (1 << 30) /* that callers may make it hold */

struct MHD_Response *fake_json_response(int *status, int code, json_t *o) {
  char *s = json_dumps(o, JSON_COMPACT);
  *status = code;
  struct MHD_Response *m = http_text_response("application/json", s, strlen(s));
  free(s);
  json_decref(o);
  return m;
}

int fake_serve(const char *addr, HttpHandler handler, int max_connections) {
  HttpOptions o = {.max_body_bytes = MAX_BODY_BYTES,
                   .max_header_bytes = MAX_HEADER_BYTES,
                   .max_connections = max_connections,
                   .memory_bytes = MEMORY_BYTES,
                   .idle_timeout_s = IDLE_TIMEOUT_S,
                   .stack_bytes = STACK_BYTES};
  Err e;
  if (!http_server_start(addr, &o, handler, NULL, NULL, &e)) {
    fprintf(stderr, "%s\n", e.text);
    return 1;
  }
  sigset_t set;
  int sig;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigwait(&set, &sig);
  return 0;
}
