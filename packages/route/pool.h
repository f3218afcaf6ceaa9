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

typedef struct Pool {
  char service[LIMIT_NAME];
  GPtrArray
      *members;  /* Target*; read them by pool_members where order counts */
  guint ordered; /* of these, from the first on, are in order */
  Fit first;     /* seconds until the first byte, by tokens to read */
  Division *division;
  uint64_t hash;     /* of the service */
  double cold_until; /* none of them is cold from then on */
  uint64_t looks;    /* at members, made so far: what the work of it grows by */
} Pool;

/* `first` is the line to start with; see fit.h. */
Pool *pool_new(const char *service);
void pool_free(gpointer p);
void pool_add(Pool *p, Target *t);
void pool_remove(Pool *p, Target *t);
/* The members in the order of their hashes. */
GPtrArray *pool_members(Pool *p);

/* Whether a member may be a home. */
typedef bool (*PoolFits)(const void *ctx, const Target *t);

/* The homes of a prompt with that name among those that fit: all instances that
   know the same members agree without a word, and a member that comes or goes
   moves only its own share. Returns how many, the first choice first. The work
   grows with the logarithm of the pool. */
int pool_homes(Pool *p, uint64_t key, PoolFits fits, const void *ctx,
               Target *homes[POOL_HOMES]);

#endif
