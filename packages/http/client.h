/* client.h: blocking HTTP calls on neon, a connection kept per address. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>

typedef struct HttpClient HttpClient;

typedef struct HttpCall {
  const char *method, *path;
  const char *const *headers; /* name, value, ..., NULL; may be NULL */
  const char *body;
  size_t len;
} HttpCall;

typedef struct HttpAnswer {
  int status; /* 0: no answer */
  bool sent;  /* false: no byte of the request left, so it did not run */
  bool whole; /* the body is complete */
  char etag[32];
  GString *body; /* released by http_answer_free */
  char error[160];
} HttpAnswer;

/* `addr` is "ip:port". One client serves one thread at a time. */
HttpClient *http_client(const char *addr, int connect_s, int read_s);
void http_client_free(HttpClient *c);
/* Reads at most `max` bytes of the answer. */
void http_call(HttpClient *c, const HttpCall *call, size_t max, HttpAnswer *a);
void http_answer_free(HttpAnswer *a);

/* == streams == */

typedef struct HttpStream HttpStream;

/* Starts a call whose answer is read piece by piece. `retry_safe`: the call
   may be sent again when a kept connection proves dead. NULL on failure, with
   a->sent and a->error set; else a->status is set. */
HttpStream *http_open(HttpClient *c, const HttpCall *call, bool retry_safe,
                      HttpAnswer *a);
/* Header of the answer, NULL when absent. */
const char *http_stream_header(const HttpStream *s, const char *name);
/* Bytes read; 0: the answer is whole; -1: it was cut. */
long http_read(HttpStream *s, char *buf, size_t n);
/* Ends it; an answer not read to its end closes the connection, which the
   target sees as a cancel. */
void http_close(HttpStream *s);

#endif
