/* revision.h: revisions of the platform's store together with its era. The
   store may be restored from a backup that lacks its last seconds: it then
   gives out revisions again, and states a higher era. */
#ifndef STORE_REVISION_H
#define STORE_REVISION_H

#include <stdint.h>

/* The era is in the bits from here on, so that a revision of a later era is
   greater, and without an era a revision is the store's own number. */
#define REVISION_ERA_SHIFT 40

static inline uint64_t revision_make(uint64_t era, uint64_t number) {
  return (era << REVISION_ERA_SHIFT) | number;
}

static inline uint64_t revision_era(uint64_t revision) {
  return revision >> REVISION_ERA_SHIFT;
}

/* The store's own number; 0: no revision. */
static inline uint64_t revision_number(uint64_t revision) {
  return revision & ((UINT64_C(1) << REVISION_ERA_SHIFT) - 1);
}

#endif
