/* claimdoc.h: the stored form of a claim shard. A claim records that one run
   owns a key that must not run twice; claims are spread over shards. Each shard
   has a mutable head, which holds the newest entries and lists the parts, and
   immutable parts with older entries. The newest entry of a key is valid: the
   head's if it has one, otherwise that of the last listed part that has one. */
#ifndef ONCE_CLAIMDOC_H
#define ONCE_CLAIMDOC_H

#include <glib.h>

#include "once/once.h"

typedef enum {
  CLAIM_OPEN, /* claimed; the request may be running */
  CLAIM_RAN,  /* completed; has the answer's status, and its body while it fits
               */
  CLAIM_UNKNOWN,  /* dispatched; whether it ran is not known */
  CLAIM_RELEASED, /* released before dispatch: the key is free again, except for
                     the run with this nonce */
  CLAIM_STATE_COUNT
} ClaimState;

typedef struct ClaimEntry {
  OnceKey key;
  uint64_t nonce, digest;
  int64_t unix_s; /* time of the claim */
  ClaimState state;
  int status;         /* CLAIM_RAN: status of the answer */
  const char *runner; /* interned: instance that runs the request */
  const char *type;   /* interned: content type of the answer */
  char *body;         /* NULL: not kept */
} ClaimEntry;

typedef struct ClaimPart {
  uint64_t id;          /* random; part of the object's name */
  guint count;          /* number of entries */
  int64_t unix_s;       /* time of the newest entry */
  double first_read_at; /* local time of the first read; not stored */
  GHashTable *entries;  /* OnceKey -> ClaimEntry; NULL: not read yet */
} ClaimPart;

typedef struct ClaimDoc {
  GHashTable *entries; /* OnceKey -> ClaimEntry */
  GPtrArray *parts;    /* ClaimPart*, oldest first */
  size_t body_bytes;   /* total size of the answer bodies in `entries` */
} ClaimDoc;

ClaimDoc *claimdoc_new(void);
void claimdoc_free(ClaimDoc *d);

/* Encodes the head as text (free with g_free). Decoding returns NULL if the
   text is not a head, and leaves the entries of the parts unread. */
char *claimdoc_encode_head(const ClaimDoc *d);
ClaimDoc *claimdoc_decode_head(const char *text);
/* Encodes a part as text (free with g_free). Decoding returns false if the text
   is not this part. */
char *claimdoc_encode_part(const ClaimPart *p);
bool claimdoc_decode_part(ClaimPart *p, const char *text);

/* Returns the newest entry of the key, or NULL. */
const ClaimEntry *claimdoc_find(const ClaimDoc *d, OnceKey key);
/* Returns the head's entry of `key` for changes. If the head has none, it is
   created as a copy of the newest entry, or empty. */
ClaimEntry *claimdoc_edit_entry(ClaimDoc *d, OnceKey key);
/* Stores an answer's body in an entry of the head. Drops the oldest bodies if
   the total exceeds the limit. */
void claimdoc_keep_body(ClaimDoc *d, ClaimEntry *e, const char *body,
                        size_t len);

/* Moves the entries of parts that were already read from `old` to `d`. */
void claimdoc_adopt_parts(ClaimDoc *d, ClaimDoc *old);
/* Moves the head's entries to a new part with this id, listed last. */
ClaimPart *claimdoc_seal_head(ClaimDoc *d, uint64_t id, double now);
/* Merges the last `n` parts into one with this id, without answer bodies. */
ClaimPart *claimdoc_merge_parts(ClaimDoc *d, guint n, uint64_t id);
void claimdoc_part_free(gpointer p);

#endif
