/* objects.h: the asynchronous client of the platform's object store, for use on
   the event loop; the platform's adapter implements it. An object has a kind, a
   name and a revision, which grows with each change; all revisions here include
   the store's era (revision.h). The platform charges for every call, and every
   call is counted. */
#ifndef STORE_OBJECTS_H
#define STORE_OBJECTS_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "kernel/err.h"
#include "store/calls.h"
#include "store/revision.h"

typedef struct Store Store;

/* The result of a call. `kind` is ERR_NONE or an ERR_STORE_ kind. `body` is the
   store's answer if `kind` is ERR_NONE, the current object if it is
   ERR_STORE_CONFLICT, and else NULL; it is valid until the StoreDone function
   returns. */
typedef struct StoreAnswer {
  ErrKind kind;
  int unreadable_members; /* entries of a list that could not be read */
  bool connection_cut; /* the store closed the connection before it answered */
  /* Number of restores of the store from a backup, as it states it; each may
     undo its last seconds. 0: not stated. */
  uint64_t era;
  json_t *body;
} StoreAnswer;

/* One object of an answer. */
typedef struct StoreObject {
  uint64_t revision; /* of the last change */
  json_t *content;   /* borrowed; NULL: none */
} StoreObject;

/* Reads the object in an answer into `o`. Returns false if there is none. */
bool store_parse_object(const StoreAnswer *a, StoreObject *o);

/* The same for an entry of a list, with its name, which is borrowed. */
bool store_parse_entry(const StoreAnswer *a, json_t *entry, const char **name,
                       StoreObject *o);

/* Called on the event loop when a call has ended. */
typedef void (*StoreDone)(void *ctx, const StoreAnswer *a);

Store *store_open(struct ev_loop *loop, const char *addr);
void store_close(Store *s);

/* The counts of calls so far. */
Calls *store_calls(Store *s);

/* Closes idle connections. */
void store_close_idle(Store *s);
/* Opens a connection, to find out whether the store accepts one. The platform
   does not charge for this, and it does not count as a call. The next call uses
   the connection. */
void store_probe_connection(Store *s);
/* Returns when a connection was last established or an answer last arrived, in
   the loop's time. */
double store_last_contact(const Store *s);

/* The highest era that an answer has stated; 0: none. */
uint64_t store_era(const Store *s);
/* Whether `revision` is one of an object in an earlier era: the store was
   restored and may have lost that object, or its last change. */
bool store_is_outdated(const Store *s, uint64_t revision);

/* Lists one page of the objects of a kind, starting with the first name after
   `after` ("": the first page). The answer is
   {"entries":[..],"more":bool,"at":number of the revision}. `stale`: the list
   may be seconds old, and the call has a tenth of the price. */
void store_list(Store *s, CallsPurpose purpose, const char *kind,
                const char *after, bool stale, StoreDone done, void *ctx);
/* Waits up to `wait_s` for changes of objects of a kind after `revision`. The
   answer is {"events":[{"object":..,"gone":bool}],"at":number of the revision},
   or ERR_STORE_ABSENT when the store's history does not contain `revision`.
   When its era has risen, the events may be those after another revision with
   the same number. */
void store_watch(Store *s, CallsPurpose purpose, const char *kind,
                 uint64_t revision, double wait_s, StoreDone done, void *ctx);
/* Ends the pending lists and watches, as if the store had ended them. */
void store_end_reads(Store *s);
void store_get(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, StoreDone done, void *ctx);
/* Replaces the object if it is at `revision`, or creates it when the number of
   `revision` is 0. The answer is ERR_STORE_UNKNOWN when the era has risen since
   `revision` was read, as the object may be another one with the same number.
   Takes ownership of `content`. */
void store_put(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, uint64_t revision, json_t *content,
               StoreDone done, void *ctx);

/* Deletes the object if it is at `revision`. */
void store_delete(Store *s, CallsPurpose purpose, const char *kind,
                  const char *name, uint64_t revision, StoreDone done,
                  void *ctx);

#endif
