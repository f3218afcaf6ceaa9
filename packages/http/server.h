/* server.h: an HTTP server built on libmicrohttpd, with one thread per
   connection. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "http/connections.h"
#include "kernel/err.h"

typedef struct HttpRequest {
  struct MHD_Connection *connection;
  Connection *caller; /* what the caller makes the server hold */
  const char *method, *path;
  GString *body;
  bool
      too_large; /* the body exceeds max_body_bytes; `body` has its beginning */
  bool is_refused;  /* there is no memory for its body, which was not read */
  bool is_streamed; /* set by the handler: the answer is made as it is sent */
  void *state;      /* owned by the handler; released by the HttpCompletion */
} HttpRequest;

typedef struct HttpOptions {
  size_t max_body_bytes;
  size_t max_header_bytes; /* memory for the headers of one connection */
  int max_connections;
  size_t memory_bytes; /* that callers may make the server hold */
  int idle_timeout_s;  /* a connection without progress is closed after this */
  size_t stack_bytes;  /* of the thread of a connection */
} HttpOptions;

/* Called when the whole request has been received. Returns the response, which
   the server releases, and sets its status. If the handler returns NULL, the
   server closes the connection. */
typedef struct MHD_Response *(*HttpHandler)(void *ctx, HttpRequest *r,
                                            int *status);
/* Called when the exchange has ended; `complete` is false if the caller
   disconnected. */
typedef void (*HttpCompletion)(void *ctx, HttpRequest *r, bool complete);

typedef struct HttpServer HttpServer;

/* Starts a server on `addr`, which is "ip:port". Returns NULL on failure, with
   `e` set. */
HttpServer *http_server_start(const char *addr, const HttpOptions *o,
                              HttpHandler handler, HttpCompletion on_completion,
                              void *ctx, Err *e);
void http_server_stop(HttpServer *s);
/* Returns the number of open connections. */
int http_server_connections(const HttpServer *s);
/* Last step of a planned stop: refuses new connections and waits up to
   `max_wait_s` seconds until the open ones have ended. */
void http_server_drain(HttpServer *s, double max_wait_s);

/* Returns a request header, or NULL if it is absent. */
const char *http_request_header(const HttpRequest *r, const char *name);
/* Returns a query argument, or NULL if it is absent. */
const char *http_request_argument(const HttpRequest *r, const char *name);
/* Creates a response that takes over `body`; `type` is its media type. */
struct MHD_Response *http_take_response(const char *type, GString *body);
/* Creates a response that holds a copy of `text`; `type` is its media type. */
struct MHD_Response *http_text_response(const char *type, const char *text,
                                        size_t len);

#endif
