/* tunnel.h: tunnels to targets for other instances, which are partitioned from
   them. An instance opens one by the method CONNECT of HTTP/1.1 (RFC 9110,
   9.3.6) with the address of a target; after the answer 200, bytes are passed
   on in both directions, and so is the end of a connection. A tunnel that ends
   by itself, or with its process, resets both connections, so that an answer
   without a length does not appear complete. Other answers: 403
   (not a target), 502 (the target refused the connection), 504 (it could not be
   reached), 503 (this instance opens no tunnel now). */
#ifndef FLOW_TUNNEL_H
#define FLOW_TUNNEL_H

#include <ev.h>

#include "kernel/err.h"
#include "kernel/holdings.h"

typedef struct Tunnels Tunnels;

typedef enum {
  TUNNEL_UNDECIDED = 0, /* no answer yet */
  TUNNEL_OPENED = 200,
  TUNNEL_DENIED = 403,
  TUNNEL_REFUSED = 502,
  TUNNEL_UNAVAILABLE = 503,
  TUNNEL_UNREACHABLE = 504
} TunnelStatus;

typedef struct TunnelsOptions {
  const char *listen_addr;  /* "ip:port" for other instances */
  double connect_timeout_s; /* to the target */
  int user_timeout_ms;      /* to the target; see sock_set_user_timeout */
  /* Whether a tunnel to `addr` may be opened now: TUNNEL_OPENED, or the
     answer. */
  TunnelStatus (*check)(void *ctx, const char *addr);
  /* The attempt to connect to `addr` ended with this status. Returns the
     answer; TUNNEL_UNDECIDED: tunnels_decide gives it, or none is given in time
     and it is TUNNEL_UNAVAILABLE. */
  TunnelStatus (*attempted)(void *ctx, const char *addr, TunnelStatus status);
  Holdings *holdings; /* the account of what tunnels hold */
  void *ctx;
} TunnelsOptions;

Tunnels *tunnels_open(struct ev_loop *loop, const TunnelsOptions *o, Err *e);
/* Resets the tunnels that are open. */
void tunnels_close(Tunnels *s);
/* Answers the undecided tunnels to `addr`; NULL: all. */
void tunnels_decide(Tunnels *s, const char *addr, TunnelStatus status);
/* The number of tunnels, including those that are being opened. */
int tunnels_count(const Tunnels *s);

#endif
