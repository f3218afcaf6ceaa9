/* connections.h: the connections of a server with a thread for each, and what
   their callers make it hold (kernel/holdings.h). Beyond the limit those are
   closed that have no request that is served, first those that hold much for
   long. Safe for use by several threads. */
#ifndef HTTP_CONNECTIONS_H
#define HTTP_CONNECTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct Connections Connections;
typedef struct Connection Connection;

typedef struct ConnectionsOptions {
  size_t limit_bytes; /* of all that callers make it hold */
  int max_connections;
  size_t own_bytes; /* of one connection: its thread, and memory for heads */
} ConnectionsOptions;

Connections *connections_new(const ConnectionsOptions *o);
/* All connections must have been removed. */
void connections_free(Connections *s);

/* Connections that may wait to be accepted. */
int connections_backlog(const Connections *s);
/* Sets the socket at which connections are accepted, whose receive buffer is
   the first one of these. -1: none; to be set before the socket is closed. */
void connections_set_listener(Connections *s, int fd);
/* `fd` must stay open until connection_remove. */
Connection *connections_add(Connections *s, int fd);
void connection_remove(Connection *c);

#define CONNECTION_CHUNKED SIZE_MAX /* the length is not stated */

/* The head of a request was received. `body` is what its body is appended to,
   `length` its stated length, 0: it has none. Returns false if there is no
   memory for it. */
bool connection_begin(Connection *c, GString *body, size_t length);
/* Appends to the body; `max`: the largest size it may have. Returns false if
   the connection was dropped. */
bool connection_append(Connection *c, const char *data, size_t n, size_t max);
/* The request is whole, or is refused: until it is answered it can't be
   dropped. Returns false if it was. */
bool connection_finish_arriving(Connection *c);
/* Counts the request as one that is served for `group` (holdings_serve).
   `extra`: bytes that serving it takes besides its body. Returns false if there
   is no memory for it. */
bool connection_serve(Connection *c, const char *group, size_t extra);
/* Whether that could be served if nothing else were held. */
bool connection_may_ever_serve(const Connection *c, size_t extra);
/* Sets how much of its answer is held. Returns false if that is more than half
   of what is free, and more than `min`. */
bool connection_hold_answer(Connection *c, size_t bytes, size_t min);
/* The whole answer is held and waits for its caller: it may be dropped. */
void connection_await_caller(Connection *c);
/* The request has ended. */
void connection_end(Connection *c);

#endif
