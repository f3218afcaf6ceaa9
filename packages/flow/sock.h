/* sock.h: non-blocking TCP sockets by IP number. */
#ifndef FLOW_SOCK_H
#define FLOW_SOCK_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "kernel/err.h"

/* "ip:port" as an address; false when it is none. */
bool sock_address(const char *addr, struct sockaddr_in *in);
/* Listens at "ip:port"; -1 with a typed error. */
int sock_listen(const char *addr, Err *e);
/* Next connection, -1 when there is none. */
int sock_accept(int fd);
/* Starts to connect; -1 with errno when the address can't be used. */
int sock_connect(const char *addr);
/* 0 once the connection is up, else its error number. */
int sock_error(int fd);
/* A peer that acknowledges nothing for this long ends the connection. */
void sock_user_timeout(int fd, int ms);
/* A silent peer is probed after a second; two lost probes end it. */
void sock_probe(int fd);
/* Closes with a reset, so that the other side stops at once. */
void sock_reset(int fd);

/* The system buffers so many bytes of what is sent there. */
void sock_send_bound(int fd, int bytes);

/* Writes what it can of `out` from *off on; clears both when all has left.
   False when the connection is broken. */
bool sock_write(int fd, GString *out, size_t *off);

#endif
