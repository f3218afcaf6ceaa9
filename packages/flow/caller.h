/* caller.h: HTTP/1.1 server for callers, on the event loop. A connection has
   one open request at a time. */
#ifndef FLOW_CALLER_H
#define FLOW_CALLER_H

#include <ev.h>

#include "flow/headers.h"
#include "kernel/err.h"
#include "kernel/holdings.h"

typedef struct Caller Caller;
typedef struct Callers Callers;

/* Limits on the size and duration of requests. */
typedef struct CallerLimits {
  size_t max_header, max_body; /* bytes */
  double header_s;             /* to receive the head of a request */
  double idle_s;               /* between requests, or without progress */
} CallerLimits;

typedef struct CallerRequest {
  const char *method; /* interned */
  GString *uri;       /* path and query as received */
  Headers headers;
  GString *body;
  double received_at; /* loop time of its first byte */
} CallerRequest;

typedef struct CallerEvents {
  /* A complete request; `r` is valid until the answer ends or the caller
     disconnects. `err` is not NULL when the request is invalid. */
  void (*request)(void *ctx, Caller *c, const CallerRequest *r, const Err *err);
  /* The caller closed its connection before its answer ended. */
  void (*disconnected)(void *ctx, Caller *c);
  /* The caller has received enough of its answer to be sent more; follows a
     caller_check_full that returned true. */
  void (*drained)(void *ctx, Caller *c);
} CallerEvents;

/* Listens at "ip:port". `holdings`: the account of what the callers hold, for
   as long as the set lives. While it is over its limit, the connections are
   closed that have no request that is served, those first that hold much for
   long. */
Callers *callers_open(struct ev_loop *loop, const char *addr,
                      const CallerEvents *ev, void *ctx, Holdings *holdings,
                      Err *e);
void callers_set_limits(Callers *s, const CallerLimits *l);
void callers_set_max_body(Callers *s, size_t bytes);
/* From now on every answer closes its connection, and idle connections are
   closed. */
void callers_drain(Callers *s);
/* Sets whether answers close their connection, so that callers reconnect to
   another instance. */
void callers_set_leaving(Callers *s, bool leaving);
/* Whether bytes of answers wait to be sent. */
bool callers_are_sending(const Callers *s);
/* Returns the total of bytes received from callers. */
int64_t callers_bytes_received(const Callers *s);
void callers_close(Callers *s);

/* Data that the owner of the request attaches to the connection. */
void caller_set_data(Caller *c, void *data);
void *caller_get_data(const Caller *c);

/* Counts the request as one that is served, for the service `group`, until its
   answer ends. Returns false if there is no memory for it (holdings_serve). */
bool caller_serve(Caller *c, const char *group);

#define CALLER_CHUNKED (-1)

/* Appends the head of the answer. `fields` holds further header lines, each
   with its line end; `length` is that of the body, or CALLER_CHUNKED. */
void caller_write_head(Caller *c, int status, const char *fields,
                       int64_t length);
void caller_write_body(Caller *c, const char *data, size_t n);
/* Ends the answer and sends it. */
void caller_end_answer(Caller *c);
/* Sends what is buffered. */
void caller_flush(Caller *c);
/* Resets the connection, so that the answer doesn't appear complete. */
void caller_abort(Caller *c);
/* Sets the total of answer bytes that the owner buffers itself; they count
   towards the memory limit. */
void caller_set_held_bytes(Caller *c, size_t bytes);
/* Returns how many bytes of the answer may be buffered: its share of the memory
   limit. */
size_t caller_buffer_limit(const Caller *c);
/* Returns whether no more may be buffered; if so, `drained` is called later. */
bool caller_check_full(Caller *c);

#endif
