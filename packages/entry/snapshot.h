/* snapshot.h: the table in force, swapped under RCU: request threads look
   things up and copy what they need without a lock. */
#ifndef ENTRY_SNAPSHOT_H
#define ENTRY_SNAPSHOT_H

#include "table/table.h"

typedef struct Snapshots Snapshots;

/* The customer of a request. */
typedef struct EntryCustomer {
  char name[LIMIT_NAME_BYTES];
  int64_t share, running, rate;
} EntryCustomer;

typedef struct EntryService {
  char name[LIMIT_NAME_BYTES];
  char pool[LIMIT_NAME_BYTES + 8]; /* "model/x" or "service/x" */
  bool plain, repeat;
  int priority;
  double wait_s;
  int64_t output, cost;
  int64_t running;
  char adapter[LIMIT_NAME_BYTES], version[LIMIT_NAME_BYTES],
      dcs[LIMIT_NAME_BYTES];
} EntryService;

Snapshots *snapshots_new(void);
void snapshots_free(Snapshots *s);
/* Takes over the table. Returns false, and frees it, unless it is newer. */
bool snapshots_set(Snapshots *s, Table *t);
uint64_t snapshots_version(Snapshots *s);

/* `key` is the caller's bearer key; only its hash is in the table. */
bool snapshots_customer(Snapshots *s, const char *key, EntryCustomer *out);
bool snapshots_service(Snapshots *s, const char *name, EntryService *out);
/* The budget of a customer for a service; false when there is none. */
bool snapshots_budget(Snapshots *s, const char *customer, const char *service,
                      char out[LIMIT_NAME_BYTES]);
/* Calls `fn` with the present table, which may not be kept. */
void snapshots_read(Snapshots *s, void (*fn)(void *ctx, const Table *t),
                    void *ctx);

/* SHA-256 in hex of a key, to `out` of 65 bytes. */
void snapshots_hash(const char *key, char out[65]);

#endif
