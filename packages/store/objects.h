/* objects.h: the client of the platform's object store, on the event loop; the
   platform's adapter implements it. The platform charges for every call, and
   every call is counted. */
#ifndef STORE_OBJECTS_H
#define STORE_OBJECTS_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "kernel/err.h"
#include "store/calls.h"

typedef struct Store Store;

/* `kind` is ERR_NONE or an ERR_STORE_ kind. `body` (borrowed) is the answer;
   with ERR_STORE_CONFLICT it is the current object; else NULL. */
typedef struct StoreAnswer {
  ErrKind kind;
  int unreadable_members; /* list members that could not be read */
  bool connection_cut; /* the store closed the connection before it answered */
  json_t *body;
} StoreAnswer;

/* One object of an answer. */
typedef struct StoreObject {
  uint64_t revision; /* of the last change */
  json_t *content;   /* borrowed; NULL: none */
} StoreObject;

/* Finds the object in an answer; false: there is none. */
bool store_parse_object(const StoreAnswer *a, StoreObject *o);

typedef void (*StoreDone)(void *ctx, const StoreAnswer *a);

Store *store_open(struct ev_loop *loop, const char *addr);
void store_close(Store *s);

/* The counts of calls so far. */
Calls *store_calls(Store *s);

/* Closes idle connections. */
void store_close_idle(Store *s);
/* Opens a connection, to find out whether the store accepts one. This is not a
   call and not charged. The next call uses the connection. */
void store_probe_connection(Store *s);
/* When a connection was last established or received an answer, in the loop's
   time. */
double store_last_contact(const Store *s);

/* Lists one page of the objects of a kind, from the name after `after` on ("":
   the first page): {"entries":[..],"more":bool,"at":revision}. `stale`: the
   list may be seconds old, at a tenth of the price. */
void store_list(Store *s, CallsPurpose purpose, const char *kind,
                const char *after, bool stale, StoreDone done, void *ctx);
/* Waits up to `wait_s` for changes after `revision`:
   {"events":[{"object":..,"gone":bool}],"at":revision}; ERR_STORE_ABSENT when
   the store's history does not go back that far. */
void store_watch(Store *s, CallsPurpose purpose, const char *kind,
                 uint64_t revision, double wait_s, StoreDone done, void *ctx);
/* Ends the pending lists and watches, as if the store had ended them. */
void store_end_reads(Store *s);
void store_get(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, StoreDone done, void *ctx);
/* Replaces the object if it is at that revision, or creates it when `revision`
   is 0; takes over `content`. */
void store_put(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, uint64_t revision, json_t *content,
               StoreDone done, void *ctx);

/* Deletes the object if it is at that revision. */
void store_delete(Store *s, CallsPurpose purpose, const char *kind,
                  const char *name, uint64_t revision, StoreDone done,
                  void *ctx);

#endif
