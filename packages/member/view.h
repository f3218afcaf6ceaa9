/* view.h: an immutable snapshot of the instances, and the homes of keys among
   them. The home of a key is the instance that is responsible for it, chosen by
   rendezvous hashing. */
#ifndef MEMBER_VIEW_H
#define MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

typedef struct Member {
  char id[LIMIT_ID_BYTES]; /* "name.incarnation": a restart is another member */
  char region[LIMIT_NAME_BYTES];
  char dc[LIMIT_NAME_BYTES];
  char peer[LIMIT_NAME_BYTES]; /* tcp://ip:port of the peer socket */
  char http[LIMIT_NAME_BYTES]; /* ip:port for callers and operators */
  bool leaving;
  uint64_t table;              /* table version in force there */
  double heartbeat_interval_s; /* its next heartbeat comes within this
                                  time */
  double table_stale_s;        /* seconds that it has kept an older table than
                                  ours, without any newer one; not sent */
} Member;

typedef struct View {
  int n;
  Member list[]; /* by id */
} View;

#define VIEW_MAX_HOMES 16 /* max choices of view_homes */

View *view_new(const Member *list, int n);
View *view_copy(const View *v);
void view_free(View *v);
/* The same members with the same `leaving`, which is all that homes depend on;
   table versions may differ. */
bool view_same_members(const View *a, const View *b);
const Member *view_find(const View *v, const char *id);
/* The `rank`-th choice (0 first) for `key` among members that are not leaving,
   within `region` (NULL: any). NULL when there are too few. A member that joins
   or is lost moves only its own share of the keys. */
const Member *view_home(const View *v, const char *region, uint64_t key,
                        int rank);
/* Writes the first `max` choices to `out` and returns their number. It makes
   one pass over the members, where view_home makes one for each rank. */
int view_homes(const View *v, const char *region, uint64_t key,
               const Member **out, int max);
/* Number of regions that have a member. */
int view_count_regions(const View *v);
/* Members of `region` (NULL: any) that are not leaving. */
int view_count_members(const View *v, const char *region);

#endif
