/* shard.h: the durable document of one budget shard, and what may change it.

   For each budget, at every version of the document:
     total >= closed + retired + sum of grant_outstanding(g)   (as far as the
     table has not lowered `total` below what was already handed out)
   and the tokens of a grant that were or can still be spent are never more
   than grant_outstanding(g). */
#ifndef LEDGER_SHARD_H
#define LEDGER_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

/* What one instance reported of a grant whose home is gone; all counts only
   grow. */
typedef struct ShardBack {
  int64_t returned;
  int64_t spent;
  bool final; /* nothing of it is reserved or free there any more */
} ShardBack;

typedef struct ShardGrant {
  uint64_t id;
  char home[LIMIT_ID_BYTES];    /* the only one who raises it */
  char witness[LIMIT_ID_BYTES]; /* who must agree to each raise of `limit`; "": none,
                             then the limit is the whole grant */
  char region[LIMIT_NAME_BYTES];
  int64_t granted, returned, spent; /* cumulative */
  bool sealed;
  bool exact;       /* sealed by its home itself: limit is what it gave out */
  int64_t limit;    /* sealed: the home never gave out more than this */
  int64_t known;    /* sealed: and had at least this back in all */
  int64_t changed;  /* unix seconds */
  GHashTable *back; /* instance id -> ShardBack; NULL: no reports. They count
                       from the seal on. */
} ShardGrant;

typedef struct ShardBudget {
  char name[LIMIT_NAME_BYTES];
  int64_t total;   /* prepaid, from the table */
  uint64_t tv;     /* table version of `total` */
  int64_t closed;  /* spent by grants that are gone */
  int64_t retired; /* written off with grants that are gone */
  GPtrArray *grants;
} ShardBudget;

typedef struct Shard {
  GHashTable *budgets; /* name -> ShardBudget */
} Shard;

Shard *shard_new(void);
void shard_free(Shard *s);
/* JSON; the caller frees it with g_free. */
char *shard_encode(const Shard *s);
/* NULL when the text is not a shard. */
Shard *shard_decode(const char *text);

/* Which shard a budget lives in. */
int shard_index(const char *budget);
/* Object name of a shard, to `out` of LIMIT_NAME bytes. */
void shard_name(int index, char *out);

ShardBudget *shard_budget(Shard *s, const char *name);
/* As shard_budget, made when absent. */
ShardBudget *shard_budget_add(Shard *s, const char *name);
ShardGrant *shard_grant(const ShardBudget *b, uint64_t id);
ShardGrant *shard_grant_add(ShardBudget *b, uint64_t id, const char *home,
                            const char *witness, const char *region);

/* Tokens that this grant's holders have spent or may still spend. */
int64_t shard_outstanding(const ShardGrant *g);
/* Tokens nobody holds; negative after the table lowered a total too far. */
int64_t shard_remaining(const ShardBudget *b);
/* Spent as far as it was reported. */
int64_t shard_spent(const ShardBudget *b);

/* Seals a grant with the most its home can have given out, and the least it had
   back. */
void shard_seal(ShardGrant *g, int64_t limit, int64_t known, bool exact,
                int64_t now);
/* Takes in a report on a grant whose home is gone, sealed or not yet; true when
   something changed. */
bool shard_report(ShardGrant *g, const char *instance, int64_t returned,
                  int64_t spent, bool final, int64_t now);
/* Removes an open grant whose home settled everything, or a sealed one whose
   reports cover it or which is older than LEDGER_RETIRE. True when removed. */
bool shard_fold(ShardBudget *b, ShardGrant *g, int64_t now);
/* An open grant leaves with all of it either spent or returned. */
void shard_close(ShardBudget *b, ShardGrant *g);

#endif
