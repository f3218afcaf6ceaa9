/* entry.h: the HTTP API of an instance, for callers and operators. */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <stdatomic.h>

#include "entry/pool.h"
#include "entry/snapshot.h"
#include "fleet/fleet.h"
#include "http/server.h"

typedef struct EntryOptions {
  const char *listen;    /* ip:port */
  const char *platform;  /* ip:port */
  const char *admin_key; /* of operators; "": the admin API is disabled */
  const char *instance;
  size_t max_body_bytes, max_header_bytes;
  int max_connections, idle_timeout_s;
  size_t caller_bytes; /* that callers may make this instance hold */
} EntryOptions;

typedef struct Entry {
  EntryOptions options;
  Fleet *fleet;
  Snapshots *snapshots;
  Pools *pools;
  HttpServer *server;
  atomic_bool draining;
  atomic_int open_requests;
  /* Unix seconds of the last successful response of the platform's store. */
  atomic_int_fast64_t store_answered_at;
} Entry;

bool entry_open(Entry *e, Err *err);
/* Refuses new requests; open requests continue. */
void entry_drain(Entry *e);
void entry_close(Entry *e);

/* == internal to the package == */

/* Creates the response for an error, in the format that all errors share, and
   sets its status. `id` is the request's; it may be NULL. */
struct MHD_Response *entry_error_response(const Err *err, const char *id,
                                          int *status);
struct MHD_Response *entry_text_response(const char *type, const char *text);
void entry_add_headers(struct MHD_Response *response, const char *id, Ran ran);

/* POST /v1/chat/completions and GET /v1/models */
struct MHD_Response *chat_handle(Entry *e, HttpRequest *r, int *status);
struct MHD_Response *chat_list_models(Entry *e, HttpRequest *r, int *status);
/* /services/NAME/... */
struct MHD_Response *plain_handle(Entry *e, HttpRequest *r, int *status);
/* /admin/... */
struct MHD_Response *admin_handle(Entry *e, HttpRequest *r, int *status);

#endif
