/* test_client.c: the blocking HTTP client against servers whose responses don't
   end. */
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "kernel/clock.h"
#include "kernel/limits.h"

#define READ_TIMEOUT_S 1
#define MAX_BYTES (1 << 16)
#define SERVER_S 15.0 /* after which a server ends by itself */

/* A server that answers one request and goes on, `pause_us` between pieces. */
typedef struct Server {
  int fd;
  char addr[32];
  const char *piece;
  int pieces; /* until the last chunk; 0: without end */
  useconds_t pause_us;
  pthread_t thread;
} Server;

static void *serve(void *arg) {
  Server *s = arg;
  static const char head[] =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  char request[1024];
  double end = clock_now() + SERVER_S;
  int fd = accept(s->fd, NULL, NULL);
  recv(fd, request, sizeof request, 0);
  ssize_t n = send(fd, head, strlen(head), MSG_NOSIGNAL);
  for (int sent = 0; n > 0 && clock_now() < end; sent++) {
    bool ends = s->pieces > 0 && sent == s->pieces;
    const char *piece = ends ? "0\r\n\r\n" : s->piece;
    n = send(fd, piece, strlen(piece), MSG_NOSIGNAL);
    if (ends) break;
    if (s->pause_us > 0) usleep(s->pause_us);
  }
  close(fd);
  return NULL;
}

static void start_server(Server *s) {
  struct sockaddr_in in = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t n = sizeof in;
  s->fd = socket(AF_INET, SOCK_STREAM, 0);
  cr_assert_eq(bind(s->fd, (struct sockaddr *)&in, sizeof in), 0);
  cr_assert_eq(listen(s->fd, 1), 0);
  getsockname(s->fd, (struct sockaddr *)&in, &n);
  snprintf(s->addr, sizeof s->addr, "127.0.0.1:%d", ntohs(in.sin_port));
  pthread_create(&s->thread, NULL, serve, s);
}

/* Sends a request to the server; returns the seconds until it ended. */
static double request(Server *s, size_t max_bytes, HttpResponse *a) {
  start_server(s);
  HttpClient *c = http_client_new(s->addr, READ_TIMEOUT_S, READ_TIMEOUT_S);
  double began = clock_now();
  http_client_request(c, &(HttpClientRequest){.method = "GET", .path = "/"},
                      max_bytes, a);
  double seconds = clock_now() - began;
  http_client_free(c);
  pthread_join(s->thread, NULL);
  close(s->fd);
  return seconds;
}

/* Guards against memory that grows with a response without end. */
Test(client, a_response_without_end_is_incomplete) {
  Server s = {.piece = "8\r\nxxxxxxxx\r\n"};
  HttpResponse a;
  cr_assert_lt(request(&s, MAX_BYTES, &a), READ_TIMEOUT_S);
  cr_assert_not(a.complete);
  cr_assert_leq(a.body->len, MAX_BYTES);
  http_response_free(&a);
}

/* Guards against a thread that waits for the end of a response that trickles:
   each piece arrives within the read timeout. */
Test(client, a_response_that_trickles_is_given_up) {
  Server s = {.piece = "1\r\nx\r\n", .pause_us = 100000};
  HttpResponse a;
  cr_assert_lt(request(&s, MAX_BYTES, &a), 8.0 * READ_TIMEOUT_S);
  cr_assert_not(a.complete);
  http_response_free(&a);
}

/* Guards against work for each piece that the bytes of a body don't limit. */
Test(client, a_response_in_too_many_pieces_is_given_up) {
  Server s = {.piece = "1;extension\r\nx\r\n"};
  HttpResponse a;
  request(&s, (size_t)4 * LIMIT_ANSWER_PIECES, &a);
  cr_assert_not(a.complete);
  cr_assert_leq(a.body->len, LIMIT_ANSWER_PIECES);
  http_response_free(&a);
}

/* Guards against a limit that breaks a sound response in many small pieces. */
Test(client, a_response_in_many_pieces_is_complete) {
  Server s = {.piece = "8\r\nxxxxxxxx\r\n", .pieces = 100000};
  HttpResponse a;
  request(&s, 1 << 20, &a);
  cr_assert(a.complete);
  cr_assert_eq(a.body->len, (gsize)8 * 100000);
  http_response_free(&a);
}
