/* caller.h: connections from callers, HTTP/1.1 on the event loop. One request
   of a connection is open at a time. */
#ifndef FLOW_CALLER_H
#define FLOW_CALLER_H

#include <ev.h>

#include "flow/headers.h"
#include "kernel/err.h"

typedef struct Caller Caller;
typedef struct Callers Callers;

/* Bounds on what a caller may send and how long it may take. */
typedef struct CallerLimits {
  size_t max_header, max_body; /* bytes */
  double header_s;             /* for the head of a request */
  double idle_s;               /* between requests, and without progress */
} CallerLimits;

typedef struct CallerReq {
  const char *method; /* interned */
  GString *target;    /* path and query as they were sent */
  Headers headers;
  GString *body;
  double at; /* loop time when its first byte was read */
} CallerReq;

typedef struct CallerEvents {
  /* A whole request; it stays valid until its answer ends or the caller is
     gone. `err` is set when it can't be served as it is. */
  void (*request)(void *ctx, Caller *c, const CallerReq *r, const Err *err);
  /* The caller closed its connection before its answer ended. */
  void (*gone)(void *ctx, Caller *c);
  /* It has taken enough of its answer to get more (caller_full). */
  void (*drained)(void *ctx, Caller *c);
} CallerEvents;

/* Listens at "ip:port". */
Callers *callers_open(struct ev_loop *loop, const char *addr,
                      const CallerEvents *ev, void *ctx, Err *e);
void callers_limits(Callers *s, const CallerLimits *l);
/* Answers from here on ask the caller to leave, idle connections close. */
void callers_drain(Callers *s);
/* Answers ask callers to leave, or no longer do. */
void callers_leave(Callers *s, bool leave);
/* Bytes that callers have sent in all. */
int64_t callers_sent(const Callers *s);
/* Bytes that all callers' bodies and answers may hold. */
void callers_room(Callers *s, size_t bytes);
/* Bytes of bodies that are held. */
size_t callers_held(const Callers *s);
void callers_close(Callers *s);

/* What the request's owner keeps with the connection. */
void caller_set(Caller *c, void *data);
void *caller_get(const Caller *c);

#define CALLER_CHUNKED (-1)

/* Head of the answer. `fields` holds further header lines (each with its line
   end); `length` is the body's, or CALLER_CHUNKED. */
void caller_head(Caller *c, int status, const char *fields, int64_t length);
void caller_body(Caller *c, const char *data, size_t n);
/* The answer is complete. */
void caller_end(Caller *c);
/* Sends what is gathered. */
void caller_flush(Caller *c);
/* Breaks the answer off, so that it can't look complete. */
void caller_abort(Caller *c);
/* Its owner holds so many bytes of its answer besides, in all. */
void caller_hold(Caller *c, size_t bytes);
/* Bytes of its answer that may be held for it: its part of the room. */
size_t caller_limit(const Caller *c);
/* It has as much of its answer before it as it may. */
bool caller_full(Caller *c);

#endif
