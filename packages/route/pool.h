/* pool.h: all targets of a service, in an order that every instance shares, and
   the homes of prompts among them; pure. What is done for one request or one
   target that comes must not grow with the pool: instances know thousands. */
#ifndef ROUTE_POOL_H
#define ROUTE_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "route/division.h"
#include "route/fit.h"
#include "kernel/limits.h"

typedef struct Target Target;

#define POOL_HOMES 2 /* that a prompt has */
/* Up to so many members each is counted by an instance of its own, and a choice
   looks at all. In a larger pool members that stand together in the order are
   counted by one instance, and a prompt's homes and the others that it is
   offered are of one group: one question, and so two new links of a thousand
   instances' instead of six. */
#define POOL_SMALL 512
#define POOL_GROUP 8 /* members of a group, at least, in the mean */

typedef struct Pool {
  char service[LIMIT_NAME_BYTES];
  GPtrArray
      *members;  /* Target*; read them by pool_members where order counts */
  guint ordered; /* of these, from the first on, are in order */
  Fit first;     /* seconds until the first byte, by tokens to read */
  Division *division;
  uint64_t hash;  /* of the service */
  double back_at; /* the last caller that was refused for want of room is to
                     come back then */
  uint64_t looks; /* at members, made so far: what the work of it grows by */
} Pool;

/* `first` is the line to start with; see fit.h. */
Pool *pool_new(const char *service);
void pool_free(gpointer p);
void pool_add(Pool *p, Target *t);
void pool_remove(Pool *p, Target *t);
/* The members in the order of their hashes. */
GPtrArray *pool_members(Pool *p);

/* Names the group of a member with that hash: by it all instances find who
   counts there. */
uint64_t pool_group(const Pool *p, uint64_t hash);

/* Whether a member may be a home. */
typedef bool (*PoolFits)(const void *ctx, const Target *t);

/* The homes of a prompt with that name among those that fit, of one group: all
   instances that know the same members agree without a word, and a member that
   comes or goes moves only its own share. Returns how many, the first choice
   first. The work grows with the logarithm of the pool. */
int pool_homes(Pool *p, uint64_t key, PoolFits fits, const void *ctx,
               Target *homes[POOL_HOMES]);

/* Members of the group of `t` that fit, but for `t` itself, in the order from
   it on; up to `most` go to `out`. Returns how many. */
int pool_near(Pool *p, const Target *t, PoolFits fits, const void *ctx,
              Target **out, int most);

#endif
