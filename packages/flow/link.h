/* link.h: HTTP/1.1 client for targets and the store, on the event loop. A link
   is a connection that carries one exchange at a time; it is reused after a
   clean exchange. It never retries a request by itself. */
#ifndef FLOW_LINK_H
#define FLOW_LINK_H

#include <ev.h>

#include "flow/headers.h"
#include "kernel/holdings.h"

typedef struct Links Links;
typedef struct Link Link;

/* What marks the end of an answer's body. */
typedef enum {
  LINK_FRAMING_LENGTH, /* a length, or the answer has no body */
  LINK_FRAMING_CHUNKS,
  LINK_FRAMING_CLOSE /* nothing but the end of the connection */
} LinkFraming;

typedef struct LinkHead {
  int status;
  Headers *headers;
  LinkFraming framing;
} LinkHead;

/* What to do with an answer after its head was received. */
typedef enum {
  LINK_ACCEPT,
  LINK_SKIP,  /* it belongs to another exchange; the right one may follow */
  LINK_REJECT /* it is not valid: the exchange ends as LINK_BROKEN */
} LinkVerdict;

/* How an exchange ended. */
typedef enum {
  LINK_COMPLETE,
  LINK_CLOSED,    /* by the peer, in order, and nothing else marks the end of
                     the answer */
  LINK_NOT_SENT,  /* no byte of the request was sent */
  LINK_NO_TUNNEL, /* the same: the gateway opened no tunnel to the peer */
  LINK_BROKEN,    /* sent at least in part, and broke */
  LINK_NO_ANSWER  /* as LINK_BROKEN, before any byte of an answer */
} LinkEnd;

typedef struct LinkEvents {
  LinkVerdict (*head)(void *ctx, const LinkHead *h);
  /* Returns false if the answer is not valid: the exchange ends as
     LINK_BROKEN. */
  bool (*body)(void *ctx, const char *data, size_t n);
  /* All data of one read was passed to `body`; may be NULL. */
  void (*read_done)(void *ctx);
  /* The last event; the owner must not use the link after it. */
  void (*end)(void *ctx, LinkEnd how);
} LinkEvents;

/* Result of an attempt to connect. */
typedef enum {
  LINK_CONNECTED,
  LINK_REFUSED,      /* no process listens there */
  LINK_UNREACHABLE,  /* timeout or any other error */
  LINK_TUNNEL_FAILED /* the gateway opened no tunnel; the peer is unknown */
} LinkConnectResult;

/* `via`: the gateway, NULL: it was direct. */
typedef void (*LinksConnectFn)(void *ctx, const char *addr, const char *via,
                               LinkConnectResult how);

/* Receives the result of link_check, whose link must not be used after it. */
typedef void (*LinkCheckedFn)(void *ctx, LinkConnectResult how);

typedef struct LinkOptions {
  double connect_timeout_s; /* to connect */
  int user_timeout_ms;      /* see sock_set_user_timeout */
  bool keepalive_probes;    /* see sock_enable_keepalive */
  double max_idle_s;        /* an idle link is closed after this */
  /* The account whose receive buffers the links share; NULL: they have the
     system's own size. */
  Holdings *holdings;
} LinkOptions;

Links *links_open(struct ev_loop *loop, const LinkOptions *o);
void links_close(Links *s);
/* Sets the function that is called after each attempt to connect, and after the
   exchange that waited for it has ended, if it failed. */
void links_set_connect_fn(Links *s, LinksConnectFn fn, void *ctx);
/* Sets one that is called before that exchange continues or ends. */
void links_set_attempt_fn(Links *s, LinksConnectFn fn, void *ctx);
/* Sends `request`, which the link takes over, to "ip:port", on a link that has
   been idle for less than `max_idle_s` if there is one. Makes no callback
   before it returns. */
Link *link_send(Links *s, const char *addr, GString *request, double max_idle_s,
                const LinkEvents *ev, void *ctx);
/* The same through a gateway ("ip:port"), which opens a tunnel to `addr`
   (tunnel.h). NULL: direct. `body` follows `request`; it must not change until
   the exchange has ended or is cancelled. NULL: `request` is all. */
Link *link_send_via(Links *s, const char *addr, const char *via,
                    GString *request, const GString *body, double max_idle_s,
                    const LinkEvents *ev, void *ctx);
/* Opens a connection for a later exchange. Nothing is sent on it, and
   LinkEvents don't apply; links_last_activity shows whether it was
   established. */
void link_preconnect(Links *s, const char *addr);
void link_preconnect_via(Links *s, const char *addr, const char *via);
/* As link_preconnect_via, and reports whether the connection was established.
   Makes no callback before it returns; link_cancel cancels it. */
Link *link_check(Links *s, const char *addr, const char *via, LinkCheckedFn fn,
                 void *ctx);
/* Closes the idle direct links to `addr`, after the peer has lost them. */
void links_close_idle(Links *s, const char *addr);
void links_close_all_idle(Links *s);
/* Closes the idle links for which `fn` returns true; `via` as above. */
void links_close_idle_if(Links *s, bool (*fn)(void *ctx, const char *via),
                         void *ctx);
/* Returns the loop time when a connection was last established or received
   bytes; 0: never. */
double links_last_activity(const Links *s);
/* Returns the loop time when a direct link last received bytes; 0: never. */
double links_last_direct_read(const Links *s);
/* Cancels the exchange: closes the connection, and no event follows. */
void link_cancel(Link *l);
/* Stops reading the answer until link_resume, so that TCP flow control stops
   the target. */
void link_pause(Link *l);
void link_resume(Link *l);
/* True once a byte of the request was sent. */
bool link_has_sent(const Link *l);

#endif
