/* server.c: libmicrohttpd behind server.h. */
#include "http/server.h"

#include "flow/sock.h"

#include <linux/filter.h>
#include <poll.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LAST_STEP_US 1000 /* connections not yet taken are looked for */
#define LAST_STEPS 1000

struct HttpServer {
  struct MHD_Daemon *daemon;
  HttpOptions options;
  HttpHandler handler;
  HttpDone done;
  void *ctx;
};

static enum MHD_Result answer(HttpServer *s, HttpReq *r) {
  int status = 500;
  struct MHD_Response *resp = s->handler(s->ctx, r, &status);
  if (!resp) return MHD_NO;
  enum MHD_Result ok = MHD_queue_response(r->c, (unsigned)status, resp);
  MHD_destroy_response(resp);
  return ok;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *c,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *size, void **state) {
  (void)version;
  HttpServer *s = ctx;
  HttpReq *r = *state;
  if (!r) { /* headers only so far */
    r = g_new0(HttpReq, 1);
    r->c = c;
    r->method = method;
    r->path = url;
    r->body = g_string_new(NULL);
    *state = r;
    return MHD_YES;
  }
  if (*size > 0) {
    r->too_large = r->too_large || r->body->len + *size > s->options.max_body;
    if (!r->too_large) g_string_append_len(r->body, data, (gssize)*size);
    *size = 0;
    return MHD_YES;
  }
  r->path = url;
  return answer(s, r);
}

static void on_done(void *ctx, struct MHD_Connection *c, void **state,
                    enum MHD_RequestTerminationCode code) {
  (void)c;
  HttpServer *s = ctx;
  HttpReq *r = *state;
  if (!r) return;
  if (s->done) s->done(s->ctx, r, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  g_string_free(r->body, TRUE);
  g_free(r);
  *state = NULL;
}

/* Pieces of a stream must leave at once. */
static void on_connect(void *ctx, struct MHD_Connection *c, void **state,
                       enum MHD_ConnectionNotificationCode code) {
  (void)ctx;
  (void)state;
  if (code != MHD_CONNECTION_NOTIFY_STARTED) return;
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
  int on = 1;
  if (info)
    setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

HttpServer *http_serve(const char *addr, const HttpOptions *o,
                       HttpHandler handler, HttpDone done, void *ctx, Err *e) {
  struct sockaddr_in in;
  if (!sock_parse_address(addr, &in)) {
    err_set(e, ERR_SETTING, "'%s' is not an address of the form ip:port", addr);
    return NULL;
  }
  HttpServer *s = g_new0(HttpServer, 1);
  s->options = *o;
  s->handler = handler;
  s->done = done;
  s->ctx = ctx;
  s->daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &in,
      MHD_OPTION_NOTIFY_COMPLETED, on_done, s, MHD_OPTION_NOTIFY_CONNECTION,
      on_connect, s, MHD_OPTION_CONNECTION_LIMIT, (unsigned)o->max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)o->idle_s,
      MHD_OPTION_THREAD_STACK_SIZE, o->stack,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, o->max_header,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      1024u, MHD_OPTION_END);
  if (s->daemon) return s;
  err_set(e, ERR_SETTING, "can't listen on %s", addr);
  g_free(s);
  return NULL;
}

void http_stop(HttpServer *s) {
  if (!s) return;
  MHD_stop_daemon(s->daemon);
  g_free(s);
}

/* A listener that is closed resets the connections that nobody took yet. So
   the kernel first drops attempts to connect (the caller tries again, and is
   refused then), and those that it has are taken. */
static void let_in_the_last(HttpServer *s) {
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (!i) return;
  struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  struct sock_fprog program = {1, &drop};
  struct pollfd waiting = {i->listen_fd, POLLIN, 0};
  setsockopt(i->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
             sizeof program);
  for (int k = 0; k < LAST_STEPS && poll(&waiting, 1, 0) > 0; k++)
    g_usleep(LAST_STEP_US);
}

void http_finish(HttpServer *s, double wait_s) {
  let_in_the_last(s);
  MHD_socket listener = MHD_quiesce_daemon(s->daemon);
  if (listener != MHD_INVALID_SOCKET) close(listener);
  for (double t = 0; t < wait_s && http_connections(s) > 0; t += 0.01)
    g_usleep(10000);
}

int http_connections(const HttpServer *s) {
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return i ? (int)i->num_connections : 0;
}

const char *http_header(const HttpReq *r, const char *name) {
  return MHD_lookup_connection_value(r->c, MHD_HEADER_KIND, name);
}

const char *http_arg(const HttpReq *r, const char *name) {
  return MHD_lookup_connection_value(r->c, MHD_GET_ARGUMENT_KIND, name);
}

struct MHD_Response *http_text(const char *type, const char *text, size_t len) {
  struct MHD_Response *m =
      MHD_create_response_from_buffer(len, (void *)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(m, "Content-Type", type);
  return m;
}
