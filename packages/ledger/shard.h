/* shard.h: the stored document of one shard of the budgets, and the operations
   that may change it.

   A grant is a block of a budget's tokens that one instance, its home, has
   taken from the store. For each budget, at every version of the document:
     total >= closed_spent + written_off + sum of shard_grant_outstanding(g)
   (unless the table lowered `total` below what was already granted), and the
   tokens of a grant that were spent or can still be spent never exceed
   shard_grant_outstanding(g). */
#ifndef LEDGER_SHARD_H
#define LEDGER_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

/* What one instance reported on a grant whose home is gone. Counts only
   grow. */
typedef struct ShardReport {
  int64_t returned;
  int64_t spent;
  bool final; /* the instance has no reserved or free tokens of it left */
} ShardReport;

typedef struct ShardGrant {
  uint64_t id;
  char home[LIMIT_ID_BYTES];    /* the only instance that raises `granted` */
  char witness[LIMIT_ID_BYTES]; /* must agree to each raise of the home's limit;
                             "": none, then the limit is the whole grant */
  char region[LIMIT_NAME_BYTES];
  int64_t granted, returned, spent; /* cumulative */
  bool sealed;
  bool limit_is_exact;    /* sealed by its own home: `limit` is the number of
                             tokens allotted */
  int64_t limit;          /* sealed: max tokens the home can have allotted */
  int64_t known_returned; /* sealed: min tokens returned to the home */
  int64_t changed_unix_s;
  GHashTable *reports; /* instance id -> ShardReport; NULL: no reports. They
                          count from the seal on. */
} ShardGrant;

typedef struct ShardBudget {
  char name[LIMIT_NAME_BYTES];
  int64_t total;          /* prepaid, from the table */
  uint64_t table_version; /* of `total` */
  int64_t closed_spent;   /* spent from grants that were removed */
  int64_t written_off;    /* lost with grants that were removed */
  GPtrArray *grants;
} ShardBudget;

typedef struct Shard {
  GHashTable *budgets; /* name -> ShardBudget */
} Shard;

Shard *shard_new(void);
void shard_free(Shard *s);
/* JSON; the caller frees it with g_free. */
char *shard_encode(const Shard *s);
/* NULL when the text is not a valid shard. */
Shard *shard_decode(const char *text);

/* The shard that a budget belongs to. */
int shard_index(const char *budget);
/* Object name of a shard, to `out` of LIMIT_NAME_BYTES bytes. */
void shard_object_name(int index, char *out);

ShardBudget *shard_find_budget(Shard *s, const char *name);
/* As shard_find_budget, but creates an absent budget. */
ShardBudget *shard_ensure_budget(Shard *s, const char *name);
ShardGrant *shard_find_grant(const ShardBudget *b, uint64_t id);
ShardGrant *shard_add_grant(ShardBudget *b, uint64_t id, const char *home,
                            const char *witness, const char *region);

/* Tokens that this grant's holders have spent or may still spend. */
int64_t shard_grant_outstanding(const ShardGrant *g);
/* Tokens that are in no grant; negative after the table lowered the total
   below what was already granted. */
int64_t shard_budget_remaining(const ShardBudget *b);
/* Tokens reported as spent. */
int64_t shard_budget_spent(const ShardBudget *b);

/* Seals a grant: `limit` is the max that its home can have allotted,
   `known` the min that was returned to the home. */
void shard_seal_grant(ShardGrant *g, int64_t limit, int64_t known, bool exact,
                      int64_t now);
/* Records a report on a grant whose home is gone, whether it is sealed yet or
   not; true when something changed. */
bool shard_apply_report(ShardGrant *g, const char *instance, int64_t returned,
                        int64_t spent, bool final, int64_t now);
/* Removes a sealed grant when reports account for all of it, or when it has
   been unchanged for LEDGER_RETIRE_S seconds. True when removed. */
bool shard_remove_settled(ShardBudget *b, ShardGrant *g, int64_t now);
/* Removes a grant that is not sealed and whose tokens are all either spent or
   returned. */
void shard_close_grant(ShardBudget *b, ShardGrant *g);

#endif
