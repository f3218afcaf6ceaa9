/* pool.h: all targets of a service, in an order that every instance shares,
   and the homes of prompts among them; pure. A home of a prompt is a member
   chosen by the hash of its shared parts. The work for one request or one
   added target must not grow with the pool: instances know thousands of
   targets. */
#ifndef ROUTE_POOL_H
#define ROUTE_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "route/division.h"
#include "route/fit.h"
#include "kernel/limits.h"

typedef struct Target Target;

#define POOL_MAX_HOMES 2
/* Up to this many members each has a counting instance of its own, and a
   choice visits all members. In a larger pool adjacent members form a group
   with one counting instance, and a prompt's homes and the other targets it is
   offered are of one group. So a request needs one query, which takes two new
   links in a fleet of a thousand instances instead of six. */
#define POOL_SMALL_MAX_MEMBERS 512
#define POOL_GROUP_MIN_MEMBERS 8 /* lower bound of the average group size */

typedef struct Pool {
  char service[LIMIT_NAME_BYTES];
  GPtrArray
      *members;   /* Target*; use pool_sorted_members where the order matters */
  guint n_sorted; /* number of members in order, from the first one on */
  Fit first;      /* time until the first byte by tokens to read, in seconds */
  Division *division;
  uint64_t hash;        /* of the service */
  double last_retry_at; /* when the last caller refused for lack of capacity is
                           to retry */
  uint64_t visits;      /* visits to members so far, a measure of the cost */
} Pool;

/* The initial line of `first` is set in pool.c; see fit.h. */
Pool *pool_new(const char *service);
void pool_free(gpointer p);
void pool_add(Pool *p, Target *t);
void pool_remove(Pool *p, Target *t);
/* The members in the order of their hashes. */
GPtrArray *pool_sorted_members(Pool *p);

/* Identifies the group of a member with that hash; all instances find its
   counting instance by it. */
uint64_t pool_group(const Pool *p, uint64_t hash);

/* Whether a member may be a home. */
typedef bool (*PoolFilter)(const void *ctx, const Target *t);

/* The homes of a prompt with that key among the members that pass `filter`, all
   of one group. Instances that know the same members agree without
   communication, and a member that is added or removed moves only its own
   share of the prompts. Returns how many, the preferred one first. The cost is
   logarithmic in the size of the pool. */
int pool_homes(Pool *p, uint64_t key, PoolFilter filter, const void *ctx,
               Target *homes[POOL_MAX_HOMES]);

/* Puts up to `max_members` other members of the group of `t` that pass `filter`
   into `out`, in the order from `t` on. Returns how many. */
int pool_group_members(Pool *p, const Target *t, PoolFilter filter,
                       const void *ctx, Target **out, int max_members);

#endif
