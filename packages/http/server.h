/* server.h: an HTTP server on libmicrohttpd, one thread a connection. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "kernel/err.h"

typedef struct HttpReq {
  struct MHD_Connection *c;
  const char *method, *path;
  GString *body;
  bool too_large;
  void *state; /* the handler's; released by `done` */
} HttpReq;

typedef struct HttpOptions {
  size_t max_body;   /* bytes */
  size_t max_header; /* bytes of all headers of a request */
  int max_connections;
  int idle_s; /* a connection without progress is closed */
  size_t stack;
} HttpOptions;

/* Called once the body is whole (or too large). Returns the response, which
   the server releases, and its status. */
typedef struct MHD_Response *(*HttpHandler)(void *ctx, HttpReq *r, int *status);
/* The exchange is over; `whole` is false when the caller went away. */
typedef void (*HttpDone)(void *ctx, HttpReq *r, bool whole);

typedef struct HttpServer HttpServer;

/* `addr` is "ip:port". */
HttpServer *http_serve(const char *addr, const HttpOptions *o,
                       HttpHandler handler, HttpDone done, void *ctx, Err *e);
void http_stop(HttpServer *s);
int http_connections(const HttpServer *s);
/* The last steps of a stop: no new connections, and those there are get
   `wait_s` seconds to end. */
void http_finish(HttpServer *s, double wait_s);

const char *http_header(const HttpReq *r, const char *name);
/* Query argument, NULL when absent. */
const char *http_arg(const HttpReq *r, const char *name);
/* A response that copies `text`. */
struct MHD_Response *http_text(const char *type, const char *text, size_t len);

#endif
