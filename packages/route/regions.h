/* regions.h: the regions, which are groups of data centres, in which a request
   may be served, and the paths by which its bytes may leave this instance;
   pure. */
#ifndef ROUTE_REGIONS_H
#define ROUTE_REGIONS_H

#include <stdbool.h>
#include <stdint.h>

/* A set of regions, one bit each. The set of a restricted request also has
   REGIONS_BOUND, so that "nowhere" and "anywhere" differ. */
typedef uint64_t RegionSet;
#define REGIONS_ANY ((RegionSet)0) /* of a request without restriction */
#define REGIONS_BOUND ((RegionSet)1 << 63)
#define REGIONS_MAX 63 /* max number of regions of one fleet */

typedef struct Regions Regions;

/* `map` is the operators' list of data centres with their regions,
   "dc=region,dc=region"; `dc` and `region` are our own. */
Regions *regions_new(const char *dc, const char *region, const char *map);
void regions_free(Regions *r);

/* The set with just this region; empty: it is unknown. */
RegionSet regions_by_name(const Regions *r, const char *region);
/* The set with just the region of a data centre. */
RegionSet regions_of_dc(const Regions *r, const char *dc);
/* The regions of an operators' list that ends with NULL; a NULL list does not
   restrict. An unknown name allows nothing; the first one is stored in
   `unknown`, unless that is NULL. */
RegionSet regions_from_list(const Regions *r, char *const *names,
                            const char **unknown);
/* The regions that both sets allow. */
RegionSet regions_intersect(RegionSet a, RegionSet b);

/* Paths by which bytes of a request leave the instance that received it. All
   of them check regions_admit. */
typedef enum {
  REGIONS_TARGET,  /* to a target: first attempt, retry, resumed stream */
  REGIONS_DONOR,   /* cached prompt state, from one target to another */
  REGIONS_COUNTER, /* hashes of prompt parts, to the counting instance */
  REGIONS_PEERS,   /* the same, to all instances of our region */
  REGIONS_GATEWAY, /* through another instance to a target */
  REGIONS_PATHS
} RegionsPath;

/* Whether bytes of a request bound to `allowed` may go to `at`. A place whose
   region is unknown is open only to a request without restriction. */
bool regions_admit(RegionSet allowed, RegionSet at, RegionsPath path);

/* For tests: disables the check on one path; REGIONS_PATHS: on none. */
void regions_bypass_check(RegionsPath path);

#endif
