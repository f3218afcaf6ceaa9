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
  double heartbeat_interval_s; /* time until its next heartbeat, at most */
  double table_stale_s; /* seconds since its table last advanced or was as new
                           as this instance's; 0: it is as new now; not sent */
} Member;

typedef struct View {
  int n;
  Member list[]; /* sorted by id */
} View;

#define VIEW_MAX_HOMES 16 /* max choices of view_homes */

View *view_new(const Member *list, int n);
View *view_copy(const View *v);
void view_free(View *v);
/* True when both have the same members with the same `leaving`. Homes depend on
   nothing else, so table versions may differ. */
bool view_same_members(const View *a, const View *b);
const Member *view_find(const View *v, const char *id);
/* Returns the `rank`-th choice (0: the first) for the home of `key` among the
   members of `region` (NULL: any) that are not leaving, or NULL when there are
   too few. When a member joins or is lost, only its own share of the keys gets
   another home. */
const Member *view_home(const View *v, const char *region, uint64_t key,
                        int rank);
/* Writes the first `max` choices, up to VIEW_MAX_HOMES, to `out` and returns
   their number. Takes one pass over the members, where view_home takes one for
   each call. */
int view_homes(const View *v, const char *region, uint64_t key,
               const Member **out, int max);
/* Returns the number of regions that have a member. */
int view_count_regions(const View *v);
/* Returns the number of members of `region` (NULL: any) that are not leaving.
 */
int view_count_members(const View *v, const char *region);

#endif
