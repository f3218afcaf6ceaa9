/* objects.h: the one client of the platform's object store, on the event loop;
   the platform's adapter implements it. Every call is priced there and counted
   here. */
#ifndef STORE_OBJECTS_H
#define STORE_OBJECTS_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "kernel/err.h"
#include "store/calls.h"

typedef struct Store Store;

/* `kind` is ERR_NONE or an ERR_STORE_ kind; `body` (borrowed) is the answer,
   with ERR_STORE_CONFLICT the object as it is, else NULL. */
typedef struct StoreAnswer {
  ErrKind kind;
  int lost; /* members of its list that could not be read */
  bool cut; /* the store ended the connection before it answered */
  json_t *body;
} StoreAnswer;

/* One object, taken apart. */
typedef struct StoreObject {
  uint64_t revision; /* of its last change */
  json_t *content;   /* borrowed; NULL: none */
} StoreObject;

/* The object that an answer holds; false: it holds none. */
bool store_object(const StoreAnswer *a, StoreObject *o);

typedef void (*StoreDone)(void *ctx, const StoreAnswer *a);

Store *store_open(struct ev_loop *loop, const char *addr);
void store_close(Store *s);

/* What was called for, so far. */
Calls *store_calls(Store *s);

/* Closes the idle connections. */
void store_forget(Store *s);
/* Opens a connection, to see whether one comes up; it is no call and not
   priced. The next call uses it. */
void store_knock(Store *s);
/* When a connection last came up or brought an answer, in the loop's time. */
double store_heard(const Store *s);

/* A page of the objects of a kind after the name `after` ("" for the first):
   {"entries":[..],"more":bool,"at":revision}. `stale`: it may be seconds old,
   at a tenth of the price. */
void store_list(Store *s, CallsPurpose purpose, const char *kind,
                const char *after, bool stale, StoreDone done, void *ctx);
/* Waits up to `wait_s` for changes after `revision`:
   {"events":[{"object":..,"gone":bool}],"at":revision}; ERR_STORE_ABSENT when
   the history does not go back that far. */
void store_watch(Store *s, CallsPurpose purpose, const char *kind,
                 uint64_t revision, double wait_s, StoreDone done, void *ctx);
/* Ends the listings and watches that wait, as if the store had. */
void store_end_reads(Store *s);
void store_get(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, StoreDone done, void *ctx);
/* Replaces the object at that revision, or makes it when `revision` is 0;
   takes over `content`. */
void store_put(Store *s, CallsPurpose purpose, const char *kind,
               const char *name, uint64_t revision, json_t *content,
               StoreDone done, void *ctx);

/* Takes the object away, if it is at that revision. */
void store_delete(Store *s, CallsPurpose purpose, const char *kind,
                  const char *name, uint64_t revision, StoreDone done,
                  void *ctx);

#endif
