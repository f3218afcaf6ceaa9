/* origins.h: the software version that began each stream, for callers that
   resume one; pure, for one instance.

   A caller names the attempt that brought the first event of its stream, at any
   instance. An instance records what it began itself. Unless the targets of the
   service have had one version for long, it also tells the record to the homes
   of the stream, instances that are chosen by its key, so that the record
   outlives it. An instance that has no record asks others, each of which
   answers from its own knowledge; the answers are combined. Nobody may know:
   then the stream is refused. */
#ifndef ROUTE_ORIGINS_H
#define ROUTE_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
  ORIGINS_RECORD,  /* to homes: a stream began at a version */
  ORIGINS_QUERY,   /* asks for the version of a stream */
  ORIGINS_UNKNOWN, /* answer: no record, and no knowledge of the versions */
  /* Answer: no record, but for as long as a caller may resume a stream, all
     targets of the service have had this version and its routes no other
     service. */
  ORIGINS_SOLE,
  ORIGINS_SEVERAL, /* answer: no record, and there were several versions, or
                       routes of the service may have had another one */
  ORIGINS_KNOWN,   /* answer: the record */
  ORIGINS_KINDS
} OriginsKind;

typedef struct OriginsMsg {
  OriginsKind kind;
  uint64_t number;  /* of the query; 0: RECORD */
  uint64_t key;     /* origins_key */
  uint64_t service; /* text_hash of its name; KNOWN: that began the stream */
  uint64_t version; /* versions_hash; RECORD, SOLE and KNOWN */
} OriginsMsg;

typedef struct Origins Origins;

Origins *origins_new(void);
void origins_free(Origins *o);

/* The key of a stream. Another customer's attempt of the same id has another
   key. It doesn't cover the service: a later attempt may be led to another one.
 */
uint64_t origins_key(const char *customer, const char *attempt);
/* The key at instances of earlier builds, which covers the service. */
uint64_t origins_service_key(const char *service, const char *customer,
                             const char *attempt);

/* Records that a stream began at a version. `shared`: its homes have the record
   or we are one of them. */
void origins_set(Origins *o, double now, const OriginsMsg *record, bool shared);
/* The whole stream was delivered: its caller won't resume it. */
void origins_remove(Origins *o, uint64_t key);
/* Sets the service and the version of `out` to those of the record. */
bool origins_find(const Origins *o, uint64_t key, OriginsMsg *out);
/* Sets `out` to a record that no home has and marks it as shared; `needed`:
   whether those of a service have to be told. False: there is none. */
typedef bool (*OriginsNeeded)(void *ctx, uint64_t service);
bool origins_take_unshared(Origins *o, OriginsNeeded needed, void *ctx,
                           OriginsMsg *out);
/* Drops records of streams that nobody resumes any more. `longest_s`: what the
   routes allow a stream. */
void origins_sweep(Origins *o, double now, double longest_s);

/* Combines two answers on the same stream. A record decides; several versions
   exclude a conclusion from a single one. */
OriginsMsg origins_combine(const OriginsMsg *a, const OriginsMsg *b);
/* Whether an answer states the version. */
bool origins_is_conclusive(const OriginsMsg *a);

#endif
