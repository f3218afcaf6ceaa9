/* entry.h: what callers and operators talk to. */
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
  const char *admin_key; /* of operators; "": no operators' calls */
  const char *instance;
  size_t max_body, max_header;
  int max_connections, idle_s;
} EntryOptions;

typedef struct Entry {
  EntryOptions options;
  Fleet *fleet;
  Snapshots *snapshots;
  Pools *pools;
  HttpServer *server;
  atomic_bool draining;
  atomic_int open;                 /* requests in progress */
  atomic_int_fast64_t store_heard; /* unix seconds of the last good answer */
} Entry;

bool entry_open(Entry *e, Err *err);
/* No new work; requests in progress go on. */
void entry_drain(Entry *e);
void entry_close(Entry *e);

/* == parts of the package == */

/* The one shape of errors. `id` may be NULL. */
struct MHD_Response *entry_error(const Err *err, const char *id, int *status);
struct MHD_Response *entry_text(const char *type, const char *text);
void entry_headers(struct MHD_Response *m, const char *id, Ran ran);

/* POST /v1/chat/completions and GET /v1/models */
struct MHD_Response *chat_handle(Entry *e, HttpRequest *r, int *status);
struct MHD_Response *chat_models(Entry *e, HttpRequest *r, int *status);
/* /services/NAME/... */
struct MHD_Response *plain_handle(Entry *e, HttpRequest *r, int *status);
/* /admin/... */
struct MHD_Response *admin_handle(Entry *e, HttpRequest *r, int *status);

#endif
