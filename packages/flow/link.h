/* link.h: connections to targets and to the store, HTTP/1.1 on the event loop.
   A link carries one exchange at a time; clean ones are kept for the next. A
   link never sends anything twice by itself. */
#ifndef FLOW_LINK_H
#define FLOW_LINK_H

#include <ev.h>

#include "flow/headers.h"

typedef struct Links Links;
typedef struct Link Link;

typedef struct LinkHead {
  int status;
  Headers *headers;
  int64_t length; /* of the body; -1: told by chunks or by the end */
} LinkHead;

/* What to do with an answer whose head has come. */
typedef enum {
  LINK_TAKE,
  LINK_SKIP, /* it belongs to another exchange; ours may follow */
  LINK_DROP  /* it can't be trusted: the exchange ends as LINK_CUT */
} LinkVerdict;

/* How an exchange ended. */
typedef enum {
  LINK_WHOLE,
  LINK_NOT_SENT, /* no byte of it has left */
  LINK_CUT,      /* it was sent, at least in part, and broke off */
  LINK_EMPTY     /* as LINK_CUT, before any byte of an answer */
} LinkEnd;

typedef struct LinkEvents {
  LinkVerdict (*head)(void *ctx, const LinkHead *h);
  void (*body)(void *ctx, const char *data, size_t n);
  /* All that one read brought was handed over; may be NULL. */
  void (*batch)(void *ctx);
  /* The last event; the link is no longer the owner's. */
  void (*end)(void *ctx, LinkEnd how);
} LinkEvents;

/* What became of an attempt to connect. */
typedef enum {
  LINK_UP,
  LINK_REFUSED, /* nobody listens there */
  LINK_SILENT   /* anything else */
} LinkReach;

typedef void (*LinksReach)(void *ctx, const char *addr, LinkReach how);

typedef struct LinkOptions {
  double connect_s;    /* a connection that takes longer is given up */
  int user_timeout_ms; /* see sock_user_timeout */
  bool probe;          /* see sock_probe */
  double keep_s;       /* an idle link is used for this long at most */
} LinkOptions;

Links *links_open(struct ev_loop *loop, const LinkOptions *o);
void links_close(Links *s);
/* `fn` is told of each attempt to connect. */
void links_watch(Links *s, LinksReach fn, void *ctx);
/* Sends `request` (head and body, taken over) to "ip:port", on an idle link
   not older than `fresh_s` if there is one. Never calls back from within. */
Link *link_send(Links *s, const char *addr, GString *request, double fresh_s,
                const LinkEvents *ev, void *ctx);
/* Opens a connection there for the next exchange. Nothing is sent on it and
   nobody is called; links_heard tells whether it came up. */
void link_open(Links *s, const char *addr);
/* Closes the idle links there: the other end has lost them. */
void links_forget(Links *s, const char *addr);
void links_forget_all(Links *s);
/* When a connection last came up or brought bytes, in the loop's time; 0:
   never. */
double links_heard(const Links *s);
/* Gives the exchange up; the connection is closed and no event follows. */
void link_cancel(Link *l);
/* Nothing more of the answer is read until link_resume: its target waits. */
void link_pause(Link *l);
void link_resume(Link *l);
/* True once a byte of the request has left. */
bool link_sent(const Link *l);

#endif
