/* sock.h: non-blocking TCP sockets, addressed by IPv4 address and port. */
#ifndef FLOW_SOCK_H
#define FLOW_SOCK_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "kernel/err.h"

/* Parses "ip:port"; false when it is not valid. */
bool sock_parse_address(const char *addr, struct sockaddr_in *in);
/* Listens at "ip:port"; returns the socket, or -1 with a typed error.
   `backlog`: connections that may wait to be accepted. `receive_bytes`: of the
   receive buffer of its connections, so that their first windows are no larger;
   0: the system's own size. */
int sock_listen(const char *addr, int backlog, int receive_bytes, Err *e);
/* Returns the next connection, -1 when there is none. */
int sock_accept(int fd);
/* Starts to connect and returns the socket, or -1 with errno set.
   `receive_bytes`: of its receive buffer; 0: the system's own size. */
int sock_connect(const char *addr, size_t receive_bytes);
/* Returns 0 when the connection was established, else its error number. */
int sock_connect_error(int fd);
/* Sets the time after which unacknowledged data ends the connection. */
void sock_set_user_timeout(int fd, int ms);
/* Probes a peer after a second without data; two lost probes end the
   connection or, if there is a user timeout, the first lost one after it. */
void sock_enable_keepalive(int fd);
/* Sets whether a close of the socket, by the end of its process as well, is a
   TCP reset. The kernel otherwise ends the connections of a killed process by
   FIN, which peers take for the end of a message without a length. Bytes that
   were written but not yet sent are lost by the reset. */
void sock_set_reset_on_close(int fd, bool on);
/* Whether bytes, the end of the connection or an error wait to be read. */
bool sock_has_input(int fd);
/* Whether bytes that were written have not reached the peer's system. */
bool sock_has_unsent(int fd);
/* Closes with a TCP reset, so that the peer stops at once. */
void sock_reset(int fd);

/* Set the sizes of the system's buffers. The peer of a full receive buffer has
   to wait; `bytes` is its window as well. */
void sock_set_send_buffer(int fd, int bytes);
void sock_set_receive_buffer(int fd, int bytes);
/* As sock_set_receive_buffer, if it is another size than `last`, which it
   updates. */
void sock_change_receive_buffer(int fd, size_t *last, size_t bytes);

/* Writes as much of `out` from *off as the socket accepts; clears both when all
   was written. Returns false when the connection is broken. */
bool sock_write(int fd, GString *out, size_t *off);

#endif
