/* client.h: a blocking HTTP client. Each client keeps one persistent connection
   to its address. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>

typedef struct HttpClient HttpClient;

typedef struct HttpClientRequest {
  const char *method, *path; /* without blanks and line ends */
  /* alternating names and values, ends with NULL; may be NULL */
  const char *const *headers;
  const char *body;
  size_t body_bytes;
} HttpClientRequest;

typedef struct HttpResponse {
  int status; /* 0: no response was received */
  bool sent;  /* false: no byte of the request was sent, so it did not run */
  /* The body was received until its end. If it is not framed, that is the end
     of the connection, which the system also closes in order when the server's
     process is killed. */
  bool complete;
  bool framed; /* a length or chunks mark the end of the body, or it has none */
  /* set by http_client_request alone */
  char etag[32]; /* the header ETag; "" if it is absent */
  GString *body; /* released by http_response_free */
  char error[160];
} HttpResponse;

/* `addr` is "ip:port"; returns NULL if it is not. Timeouts are in seconds. A
   client must not be used by two threads at once. */
HttpClient *http_client_new(const char *addr, int connect_s, int read_s);
void http_client_free(HttpClient *c);
/* Sends a request and reads up to `max_bytes` of the response body, with
   http_stream_limit. If the persistent connection turns out to be closed, the
   client sends the request again, so the request must be safe to repeat. The
   caller releases `response` with http_response_free, also after a failure. */
void http_client_request(HttpClient *c, const HttpClientRequest *request,
                         size_t max_bytes, HttpResponse *response);
void http_response_free(HttpResponse *response);

/* == streams == */

typedef struct HttpStream HttpStream;

/* Sends a request and reads the response headers; http_stream_read reads the
   body. If `retry_safe` is set, the client uses the persistent connection and
   sends the request again if that turns out to be closed; otherwise it opens a
   new connection and sends the request at most once. Returns NULL on failure,
   with response->sent and response->error set; otherwise sets response->status
   and response->framed. Leaves response->body NULL. */
HttpStream *http_stream_open(HttpClient *c, const HttpClientRequest *request,
                             bool retry_safe, HttpResponse *response);
/* Returns a response header, or NULL if it is absent. */
const char *http_stream_header(const HttpStream *s, const char *name);
/* Limits the time in which the whole body has to arrive to some read timeouts
   from now on, so that one that trickles ends, and its pieces to
   LIMIT_ANSWER_PIECES. */
void http_stream_limit(HttpStream *s);
/* Returns the number of bytes read, 0 at the end of a complete body, or -1 if
   the body was truncated, is over a limit or HTTP does not allow it; see
   HttpResponse about a body that is not framed. */
long http_stream_read(HttpStream *s, char *buf, size_t n);
/* Frees the stream. If the body was not read to its end, closes the connection;
   a target treats that as a cancellation of the request. */
void http_stream_close(HttpStream *s);

/* Whether the server at "ip:port" answers a request to the server itself
   ("OPTIONS *"), with any status but those of a proxy that does not reach it;
   it connects, and answers, within `timeout_s` each. A connection that is
   accepted does not show that the server runs: a proxy or another process that
   has the listening socket may accept it. */
bool http_answers(const char *addr, int timeout_s);

#endif
