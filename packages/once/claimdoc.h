/* claimdoc.h: the stored form of a claim shard. A head that changes holds the
   newest entries and lists sealed parts; a part never changes. The newest entry
   of a key counts: the head's, then that of the last part that has one. */
#ifndef ONCE_CLAIMDOC_H
#define ONCE_CLAIMDOC_H

#include <glib.h>

#include "once/once.h"

typedef enum {
  CLAIM_OPEN, /* taken; it may be running */
  CLAIM_RAN,  /* with the answer's status, and its body while there is room */
  CLAIM_UNKNOWN,  /* dispatched; nobody knows whether it ran */
  CLAIM_RELEASED, /* given up before the dispatch: the key is free again, but
                     not for the run with this nonce */
  CLAIM_STATES
} ClaimState;

typedef struct ClaimEntry {
  OnceKey key;
  uint64_t nonce, digest;
  int64_t unix_s; /* when it was taken */
  ClaimState state;
  int status;       /* RAN */
  const char *by;   /* interned: who runs it */
  const char *type; /* interned: content type of the answer */
  char *body;       /* NULL: not kept */
} ClaimEntry;

typedef struct ClaimPart {
  uint64_t id;         /* random: names the part's object */
  guint count;         /* entries */
  int64_t unix_s;      /* of the newest entry */
  double seen;         /* first seen here; not stored */
  GHashTable *entries; /* OnceKey -> ClaimEntry; NULL: not read yet */
} ClaimPart;

typedef struct ClaimDoc {
  GHashTable *entries; /* OnceKey -> ClaimEntry */
  GPtrArray *parts;    /* ClaimPart*, oldest first */
  size_t bodies;       /* bytes of kept answers in `entries` */
} ClaimDoc;

ClaimDoc *claimdoc_new(void);
void claimdoc_free(ClaimDoc *d);

/* The head's text (g_free), and back. NULL when it is no head. Parts come back
   unread. */
char *claimdoc_head(const ClaimDoc *d);
ClaimDoc *claimdoc_read(const char *text);
/* A part's text (g_free), and back; false when it is no part. */
char *claimdoc_part(const ClaimPart *p);
bool claimdoc_read_part(ClaimPart *p, const char *text);

/* The entry that counts, or NULL. */
const ClaimEntry *claimdoc_find(const ClaimDoc *d, OnceKey key);
/* The head's entry of `key`, made if needed as a copy of the one that counts.
 */
ClaimEntry *claimdoc_touch(ClaimDoc *d, OnceKey key);
/* Keeps an answer's body with an entry of the head; the oldest ones go when
   there is no room. */
void claimdoc_keep(ClaimDoc *d, ClaimEntry *e, const char *body, size_t len);

/* Takes parts that were read before over from `old`. */
void claimdoc_adopt(ClaimDoc *d, ClaimDoc *old);
/* The head's entries become a new part named `id`, listed last. */
ClaimPart *claimdoc_seal(ClaimDoc *d, uint64_t id, double now);
/* Joins the last `n` parts into one named `id`, without kept answers. */
ClaimPart *claimdoc_merge(ClaimDoc *d, guint n, uint64_t id);
void claimdoc_part_free(gpointer p);

#endif
