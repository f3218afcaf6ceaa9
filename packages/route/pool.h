/* pool.h: a pool holds all targets of a service, its members, in an order that
   every instance computes alike, and selects the homes of a prompt among them;
   pure. A home of a prompt is a member selected by the hash of the parts that
   the prompt has in common with others; it probably has these parts cached.
   The counting instance of a target or of a group of targets is the instance
   that counts the requests of all instances there (tally.h). The work for one
   request or one added target must not grow with the pool: instances know
   thousands of targets. */
#ifndef ROUTE_POOL_H
#define ROUTE_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "route/division.h"
#include "route/fit.h"
#include "route/rates.h"
#include "route/versions.h"
#include "kernel/limits.h"

typedef struct Target Target;

#define POOL_MAX_HOMES 2
/* In a pool of up to this many members each member has its own counting
   instance, and the choice of a target visits all members. In a larger pool
   adjacent members form a group with one counting instance, and all candidates
   for a prompt, its homes included, belong to one group. So a request needs
   one query, which opens two new connections in a fleet of a thousand
   instances instead of six. */
#define POOL_SMALL_MAX_MEMBERS 512
#define POOL_GROUP_MIN_MEMBERS 8 /* lower bound of the average group size */

typedef struct Pool {
  char service[LIMIT_NAME_BYTES];
  GPtrArray
      *members;   /* Target*; use pool_sorted_members where the order matters */
  guint n_sorted; /* the first n_sorted members are sorted by hash */
  Fit first_byte; /* seconds until the first byte as a function of the tokens to
                     read */
  RatesMean rates; /* of the members, as received from counting instances */
  Division *division;
  Versions *versions;   /* of the members */
  uint64_t hash;        /* text_hash of the service */
  double last_retry_at; /* the retry time given to the last caller that was
                           refused for lack of capacity */
  uint64_t visits;      /* total accesses to members, a measure of the cost */
} Pool;

/* pool.c sets the line that `first_byte` begins with; see fit.h. */
Pool *pool_new(const char *service);
void pool_free(gpointer p);
void pool_add(Pool *p, Target *t);
void pool_remove(Pool *p, Target *t);
/* Sorts the members by their hashes and returns them. */
GPtrArray *pool_sorted_members(Pool *p);

/* Returns the identifier of the group to which a member with that hash belongs.
   All instances find the group's counting instance by it. */
uint64_t pool_group(const Pool *p, uint64_t hash);

/* Whether a member may be a home. */
typedef bool (*PoolFilter)(const void *ctx, const Target *t);

/* Puts the homes of a prompt with that key (parts_key) into `homes`, the
   preferred one first, and returns how many there are. They pass `filter` and
   are all of one group. Instances that know the same members agree without
   communication, and a member that is added or removed moves only its own
   share of the prompts. The cost is logarithmic in the size of the pool. */
int pool_homes(Pool *p, uint64_t key, PoolFilter filter, const void *ctx,
               Target *homes[POOL_MAX_HOMES]);

/* Puts up to `max_members` other members of the group of `t` that pass `filter`
   into `out`, beginning with those that follow `t`. Returns how many. */
int pool_group_members(Pool *p, const Target *t, PoolFilter filter,
                       const void *ctx, Target **out, int max_members);

#endif
