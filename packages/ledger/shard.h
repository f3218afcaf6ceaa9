/* shard.h: the stored document of one shard of the budgets, and the operations
   that may change it.

   A grant is a block of a budget's tokens that one instance, its home, has
   taken from the store. For each budget, at every version of the document:
     total >= closed_spent + written_off + sum of shard_grant_outstanding(g)
   (unless the table lowered `total` below what was already granted), and the
   tokens of a grant that were spent or can still be spent never exceed
   shard_grant_outstanding(g).

   Where the store states an era, a budget also has a ceiling, so that a restore
   of the store from an older copy loses no more than is known (ceiling.c). */
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

/* What a home states with each write: it has at most `base` tokens out at
   holders, and `per_s` more for each second since `since_ms`, for `span_ms`.
   Holders and home then spend no more, so it bounds what is outstanding if the
   home has ended by a known time (allowance.c). */
typedef struct ShardAllowance {
  int64_t base, per_s;
  int64_t since_ms; /* unix time; 0: none is stated */
  int64_t span_ms;
  uint64_t era; /* of the store, in the document that the write replaced */
} ShardAllowance;

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
  ShardAllowance allowance; /* of a grant that is not sealed */
  GHashTable *reports; /* instance id -> ShardReport; NULL: no reports. They
                          count from the seal on. */
} ShardGrant;

/* Bounds the tokens that an older copy of the document does not show as used:
   used = closed_spent + written_off + lost + open + sum of outstanding. */
typedef struct ShardCeiling {
  uint64_t era;    /* of the store when it was last written; 0: no ceiling */
  int64_t ceiling; /* `used` may not exceed it */
  int64_t next;    /* takes the place of `ceiling` once every copy has it */
  int64_t next_unix_s; /* when `next` was written; 0: there is none */
  int64_t lost;        /* counts as used: missing since a restore */
  int64_t open;        /* the same, until all homes have written their grants */
  uint64_t open_era;   /* began with the first restore that `open` is from */
  int64_t open_unix_s; /* when that was */
} ShardCeiling;

typedef struct ShardBudget {
  char name[LIMIT_NAME_BYTES];
  int64_t total;          /* prepaid, from the table */
  uint64_t table_version; /* of `total` */
  int64_t closed_spent;   /* spent from grants that were removed */
  int64_t written_off;    /* lost with grants that were removed */
  GPtrArray *grants;
  ShardCeiling ceiling;
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
/* Tokens of a budget that were or may be spent, without those that are missing
   since a restore. */
int64_t shard_budget_in_grants(const ShardBudget *b);
/* Tokens that may be granted; negative after the table lowered the total
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
