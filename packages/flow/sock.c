/* sock.c: socket calls and options. */
#define _GNU_SOURCE
#include "flow/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/buffer.h"
#include "kernel/limits.h"

#define KEEPALIVE_IDLE_S 1      /* without data, before the first probe */
#define KEEPALIVE_INTERVAL_S 1  /* between probes */
#define KEEPALIVE_PROBE_COUNT 2 /* lost probes that end a connection */

bool sock_parse_address(const char *addr, struct sockaddr_in *in) {
  char ip[64];
  const char *colon = strrchr(addr, ':');
  if (!colon || (size_t)(colon - addr) >= sizeof ip) return false;
  memcpy(ip, addr, (size_t)(colon - addr));
  ip[colon - addr] = '\0';
  memset(in, 0, sizeof *in);
  in->sin_family = AF_INET;
  in->sin_port = htons((uint16_t)atoi(colon + 1));
  return inet_pton(AF_INET, ip, &in->sin_addr) == 1;
}

static void set_option(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof value);
}

int sock_listen(const char *addr, int backlog, int receive_bytes, Err *e) {
  struct sockaddr_in in;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (fd >= 0 && receive_bytes > 0) sock_set_receive_buffer(fd, receive_bytes);
  if (fd >= 0 && sock_parse_address(addr, &in) &&
      bind(fd, (struct sockaddr *)&in, sizeof in) == 0 &&
      listen(fd, backlog) == 0)
    return fd;
  err_set(e, ERR_SETTING, "can't listen at %s: %s", addr, strerror(errno));
  if (fd >= 0) close(fd);
  return -1;
}

int sock_accept(int fd) {
  int c = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (c >= 0) set_option(c, IPPROTO_TCP, TCP_NODELAY, 1);
  return c;
}

int sock_connect(const char *addr, size_t receive_bytes) {
  struct sockaddr_in in;
  if (!sock_parse_address(addr, &in)) return -1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (receive_bytes > 0) sock_set_receive_buffer(fd, (int)receive_bytes);
  if (connect(fd, (struct sockaddr *)&in, sizeof in) == 0 ||
      errno == EINPROGRESS)
    return fd;
  int error = errno;
  close(fd);
  errno = error;
  return -1;
}

int sock_connect_error(int fd) {
  int error = 0;
  socklen_t n = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0) return errno;
  return error;
}

void sock_set_user_timeout(int fd, int ms) {
  set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
}

void sock_enable_keepalive(int fd) {
  set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT);
}

void sock_set_reset_on_close(int fd, bool on) {
  struct linger l = {on, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

bool sock_has_input(int fd) {
  char byte;
  ssize_t n = recv(fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool sock_has_unsent(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void sock_reset(int fd) {
  sock_set_reset_on_close(fd, true);
  close(fd);
}

void sock_set_send_buffer(int fd, int bytes) {
  set_option(fd, SOL_SOCKET, SO_SNDBUF, bytes);
}

void sock_set_receive_buffer(int fd, int bytes) {
  set_option(fd, SOL_SOCKET, SO_RCVBUF, bytes);
  set_option(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, bytes);
}

void sock_change_receive_buffer(int fd, size_t *last, size_t bytes) {
  if (bytes == *last) return;
  *last = bytes;
  sock_set_receive_buffer(fd, (int)bytes);
}

/* Discards sent bytes even if some remain; otherwise the buffer of a peer that
   never takes everything would grow with all that was sent. */
static void discard_sent(GString *out, size_t *off) {
  if (*off < out->len / 2) return;
  g_string_erase(out, 0, (gssize)*off);
  *off = 0;
}

bool sock_write(int fd, GString *out, size_t *off) {
  while (*off < out->len) {
    ssize_t n = send(fd, out->str + *off, out->len - *off, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      bool later = errno == EAGAIN || errno == EWOULDBLOCK;
      if (later) discard_sent(out, off);
      return later;
    }
    *off += (size_t)n;
  }
  buffer_clear(out, LIMIT_IDLE_BUFFER_BYTES);
  *off = 0;
  return true;
}
