/* redirect.c: a preloaded library that lets a test stand between one process
   and those that it connects to; used by partition.py and out_of_step.py. The
   file REDIRECT_FILE has lines "ADDRESS OTHER": a connection to ADDRESS, a port
   of 127.0.0.1 or "ip:port", is made to the port OTHER of 127.0.0.1. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static bool is_address(const char *text, const struct sockaddr_in *in) {
  char ip[INET_ADDRSTRLEN] = "", whole[INET_ADDRSTRLEN + 8];
  int port = ntohs(in->sin_port);
  if (!strchr(text, ':'))
    return in->sin_addr.s_addr == htonl(INADDR_LOOPBACK) && atoi(text) == port;
  inet_ntop(AF_INET, &in->sin_addr, ip, sizeof ip);
  snprintf(whole, sizeof whole, "%s:%d", ip, port);
  return strcmp(text, whole) == 0;
}

static void redirect(struct sockaddr_in *in) {
  char from[64];
  int to;
  FILE *f = fopen(getenv("REDIRECT_FILE"), "re");
  if (!f) return;
  while (fscanf(f, "%63s %d", from, &to) == 2)
    if (is_address(from, in)) {
      in->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      in->sin_port = htons((uint16_t)to);
      break;
    }
  fclose(f);
}

int connect(int fd, const struct sockaddr *addr, socklen_t n) {
  static int (*next)(int, const struct sockaddr *, socklen_t);
  struct sockaddr_in in;
  if (!next) *(void **)&next = dlsym(RTLD_NEXT, "connect");
  if (addr->sa_family != AF_INET || n < sizeof in) return next(fd, addr, n);
  in = *(const struct sockaddr_in *)(const void *)addr;
  redirect(&in);
  return next(fd, (const struct sockaddr *)&in, sizeof in);
}
