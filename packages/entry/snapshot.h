/* snapshot.h: the snapshot of the table in force, which holds the customers,
   services, budgets and targets. It is replaced under RCU, so that request
   threads look rows up and copy them without a lock. */
#ifndef ENTRY_SNAPSHOT_H
#define ENTRY_SNAPSHOT_H

#include "table/table.h"

typedef struct Snapshots Snapshots;

typedef struct EntryCustomer {
  char name[LIMIT_NAME_BYTES];
  /* share: weight among customers of the same priority; max_*: 0 is no limit */
  int64_t share, max_running, max_tokens_per_min;
} EntryCustomer;

typedef struct EntryService {
  char name[LIMIT_NAME_BYTES];
  char pool[LIMIT_NAME_BYTES + 8]; /* "model/x" or "service/x" */
  /* is_plain: the service has no model; is_repeatable: a request may run twice
   */
  bool is_plain, is_repeatable;
  int priority;      /* 0 is served first */
  double max_wait_s; /* in the queue */
  /* max_output_tokens: of one answer; cost_tokens: of one call, if is_plain */
  int64_t max_output_tokens, cost_tokens;
  int64_t max_running; /* concurrent requests; 0: no limit */
  /* required of a target, "": any; `dcs`: data centres, separated by ';' */
  char adapter[LIMIT_NAME_BYTES], version[LIMIT_NAME_BYTES],
      dcs[LIMIT_NAME_BYTES];
} EntryService;

Snapshots *snapshots_new(void);
void snapshots_free(Snapshots *s);
/* Replaces the table and takes ownership of `t`. Frees `t` and returns false if
   its version is not newer. */
bool snapshots_replace(Snapshots *s, Table *t);
uint64_t snapshots_version(Snapshots *s);

/* `key` is the caller's bearer key; the table holds only its hash. */
bool snapshots_find_customer(Snapshots *s, const char *key, EntryCustomer *out);
bool snapshots_find_service(Snapshots *s, const char *name, EntryService *out);
/* Finds the budget of a customer for a service: "CUSTOMER/SERVICE", or else
   "CUSTOMER/" followed by an asterisk. Returns false if there is none. */
bool snapshots_find_budget(Snapshots *s, const char *customer,
                           const char *service, char out[LIMIT_NAME_BYTES]);
/* Calls `fn` with the current table; `fn` must not keep the pointer. */
void snapshots_read(Snapshots *s, void (*fn)(void *ctx, const Table *t),
                    void *ctx);

/* Writes the SHA-256 of `key` to `out`, in hex. */
void snapshots_hash_key(const char *key, char out[65]);

#endif
