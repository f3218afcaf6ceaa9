/* regions.h: which regions a request may be served in, and which way its bytes
   may leave this instance; pure. */
#ifndef ROUTE_REGIONS_H
#define ROUTE_REGIONS_H

#include <stdbool.h>
#include <stdint.h>

/* A set of regions, one bit each. That of a request that is bound to some has
   REGIONS_BOUND besides, so that "nowhere" and "anywhere" differ. */
typedef uint64_t RegionSet;
#define REGIONS_ANY ((RegionSet)0) /* of a request that is not bound */
#define REGIONS_BOUND ((RegionSet)1 << 63)
#define REGIONS_MAX 63 /* regions of one fleet */

typedef struct Regions Regions;

/* `map` is the operators' list of data centres with their regions,
   "dc=region,dc=region"; `dc` and `region` are our own. */
Regions *regions_new(const char *dc, const char *region, const char *map);
void regions_free(Regions *r);

/* The region as a set of one; empty: it is not known. */
RegionSet regions_by_name(const Regions *r, const char *region);
/* The same of the region of a data centre. */
RegionSet regions_of_dc(const Regions *r, const char *dc);
/* The regions of an operators' list that ends with NULL; a list that is NULL
   bounds nothing. A name that is not known allows nothing; the first such is
   put into `unknown`, unless that is NULL. */
RegionSet regions_from_list(const Regions *r, char *const *names,
                            const char **unknown);
/* What two lists allow together. */
RegionSet regions_intersect(RegionSet a, RegionSet b);

/* Ways by which bytes of a request leave the instance that its caller spoke
   to. All of them ask regions_admit. */
typedef enum {
  REGIONS_TARGET,  /* to a target: first try, retry, resumed stream */
  REGIONS_DONOR,   /* prompt memory, from one target to another */
  REGIONS_COUNTER, /* names of prompt parts, to who counts a target's work */
  REGIONS_PEERS,   /* the same, to all instances of our region */
  REGIONS_PATHS
} RegionsPath;

/* Whether bytes of a request that is bound to `allowed` may go to `at`. A place
   whose region is not known is open only to a request that is not bound. */
bool regions_admit(RegionSet allowed, RegionSet at, RegionsPath way);

/* For tests: a way that lets everything through; REGIONS_WAYS: none does. */
void regions_bypass_check(RegionsPath way);

#endif
