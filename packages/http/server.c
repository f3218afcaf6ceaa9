/* server.c: the HTTP server, implemented with libmicrohttpd. */
#include "http/server.h"

#include "flow/sock.h"
#include "kernel/limits.h"

#include <linux/filter.h>
#include <poll.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ACCEPT_POLL_US 1000 /* interval of checks of the backlog */
#define ACCEPT_POLLS_MAX 1000

struct HttpServer {
  struct MHD_Daemon *daemon;
  Connections *connections;
  HttpOptions options;
  HttpHandler handler;
  HttpCompletion on_completion;
  void *ctx;
};

static enum MHD_Result send_response(HttpServer *s, HttpRequest *r) {
  int status = 500;
  if (!connection_finish_arriving(r->caller)) return MHD_NO;
  struct MHD_Response *response = s->handler(s->ctx, r, &status);
  if (!response) return MHD_NO;
  enum MHD_Result result =
      MHD_queue_response(r->connection, (unsigned)status, response);
  MHD_destroy_response(response);
  if (!r->is_streamed) connection_await_caller(r->caller);
  return result;
}

/* Returns the length of the body as connection_begin takes it. */
static size_t stated_length(struct MHD_Connection *c) {
  const char *text =
      MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Content-Length");
  if (MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Transfer-Encoding"))
    return CONNECTION_CHUNKED;
  return text ? (size_t)g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Begins a request whose head was received. One whose body would be too long
   is read to its end and answered then, since its key decides first. */
static HttpRequest *begin_request(const HttpServer *s,
                                  struct MHD_Connection *c) {
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  HttpRequest *r = g_new0(HttpRequest, 1);
  size_t length = stated_length(c);
  r->connection = c;
  r->caller = info->socket_context;
  r->body = g_string_new(NULL);
  r->too_large =
      length != CONNECTION_CHUNKED && length > s->options.max_body_bytes;
  r->is_refused =
      !connection_begin(r->caller, r->body, r->too_large ? 0 : length);
  return r;
}

static enum MHD_Result receive_request(void *ctx, struct MHD_Connection *c,
                                       const char *url, const char *method,
                                       const char *version, const char *data,
                                       size_t *size, void **state) {
  (void)version;
  HttpServer *s = ctx;
  HttpRequest *r = *state;
  if (!r) { /* only the headers have been received */
    *state = r = begin_request(s, c);
    r->method = method;
    r->path = url;
    return r->is_refused ? send_response(s, r) : MHD_YES;
  }
  if (*size > 0) {
    size_t max = s->options.max_body_bytes, n = *size;
    r->too_large = r->too_large || r->body->len + n > max;
    *size = 0;
    if (r->too_large) return MHD_YES;
    return connection_append(r->caller, data, n, max) ? MHD_YES : MHD_NO;
  }
  r->path = url;
  return send_response(s, r);
}

static void finish_request(void *ctx, struct MHD_Connection *c, void **state,
                           enum MHD_RequestTerminationCode code) {
  (void)c;
  HttpServer *s = ctx;
  HttpRequest *r = *state;
  if (!r) return;
  if (s->on_completion)
    s->on_completion(s->ctx, r, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  connection_end(r->caller);
  g_string_free(r->body, TRUE);
  g_free(r);
  *state = NULL;
}

static void on_connection(void *ctx, struct MHD_Connection *c, void **caller,
                          enum MHD_ConnectionNotificationCode code) {
  HttpServer *s = ctx;
  if (code != MHD_CONNECTION_NOTIFY_STARTED) {
    connection_remove(*caller);
    return;
  }
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
  int on = 1; /* chunks of a stream are sent at once */
  setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  *caller = connections_add(s->connections, info->connect_fd);
}

static int listener_of(const HttpServer *s) {
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  return i ? i->listen_fd : -1;
}

HttpServer *http_server_start(const char *addr, const HttpOptions *o,
                              HttpHandler handler, HttpCompletion on_completion,
                              void *ctx, Err *e) {
  struct sockaddr_in address;
  if (!sock_parse_address(addr, &address)) {
    err_set(e, ERR_SETTING, "'%s' is not an address of the form ip:port", addr);
    return NULL;
  }
  HttpServer *s = g_new0(HttpServer, 1);
  s->connections = connections_new(&(ConnectionsOptions){
      .limit_bytes = o->memory_bytes,
      .max_connections = o->max_connections,
      .own_bytes = o->max_header_bytes + LIMIT_THREAD_BYTES});
  s->options = *o;
  s->handler = handler;
  s->on_completion = on_completion;
  s->ctx = ctx;
  s->daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, receive_request, s, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, finish_request, s,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
      MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)o->max_connections + LIMIT_ENDING_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)o->idle_timeout_s,
      MHD_OPTION_THREAD_STACK_SIZE, o->stack_bytes,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, o->max_header_bytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned)connections_backlog(s->connections), MHD_OPTION_END);
  if (s->daemon) {
    connections_set_listener(s->connections, listener_of(s));
    return s;
  }
  err_set(e, ERR_SETTING, "can't listen on %s", addr);
  connections_free(s->connections);
  g_free(s);
  return NULL;
}

void http_server_stop(HttpServer *s) {
  if (!s) return;
  connections_set_listener(s->connections, -1);
  MHD_stop_daemon(s->daemon);
  connections_free(s->connections);
  g_free(s);
}

/* Closing a listening socket resets the connections in its backlog. To avoid
   that, first attaches a filter that makes the kernel drop new connection
   attempts (the caller's retry is refused once the socket is closed), then
   waits until the daemon has accepted those in the backlog. */
static void accept_pending_connections(HttpServer *s) {
  int fd = listener_of(s);
  if (fd < 0) return;
  struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  struct sock_fprog filter_program = {1, &drop_all};
  struct pollfd listener = {fd, POLLIN, 0};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter_program,
             sizeof filter_program);
  for (int k = 0; k < ACCEPT_POLLS_MAX && poll(&listener, 1, 0) > 0; k++)
    g_usleep(ACCEPT_POLL_US);
}

void http_server_drain(HttpServer *s, double max_wait_s) {
  accept_pending_connections(s);
  connections_set_listener(s->connections, -1);
  MHD_socket listener = MHD_quiesce_daemon(s->daemon);
  if (listener != MHD_INVALID_SOCKET) close(listener);
  for (double t = 0; t < max_wait_s && http_server_connections(s) > 0;
       t += 0.01)
    g_usleep(10000);
}

int http_server_connections(const HttpServer *s) {
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return i ? (int)i->num_connections : 0;
}

const char *http_request_header(const HttpRequest *r, const char *name) {
  return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, name);
}

const char *http_request_argument(const HttpRequest *r, const char *name) {
  return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
                                     name);
}

static void free_body(void *body) {
  g_string_free(body, TRUE);
}

struct MHD_Response *http_take_response(const char *type, GString *body) {
  struct MHD_Response *response =
      MHD_create_response_from_buffer_with_free_callback_cls(
          body->len, body->str, free_body, body);
  MHD_add_response_header(response, "Content-Type", type);
  return response;
}

struct MHD_Response *http_text_response(const char *type, const char *text,
                                        size_t len) {
  struct MHD_Response *response =
      MHD_create_response_from_buffer(len, (void *)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", type);
  return response;
}
