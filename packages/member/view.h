/* view.h: an immutable picture of the instances, and homes by rendezvous. */
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
  double heartbeat_interval_s; /* it promises its next heartbeat within this
                                  time */
  double table_stale_s; /* seconds that it has had an older table than we,
                     without moving on; not sent */
} Member;

typedef struct View {
  int n;
  Member list[]; /* by id */
} View;

#define VIEW_MAX_HOMES 16 /* choices that view_homes finds at most */

View *view_new(const Member *list, int n);
View *view_copy(const View *v);
void view_free(View *v);
/* The same members, as far as homes go; table versions may differ. */
bool view_same_members(const View *a, const View *b);
const Member *view_find(const View *v, const char *id);
/* The `rank`-th choice (0 first) for `key` among members that are not leaving,
   within `region` (NULL: anywhere). NULL when there are too few. A member that
   joins or goes moves only its own share of the keys. */
const Member *view_home(const View *v, const char *region, uint64_t key,
                        int rank);
/* The first choices up to `most`, into `out`; their number. One pass over the
   members: a choice by rank costs one for each rank. */
int view_homes(const View *v, const char *region, uint64_t key,
               const Member **out, int most);
/* Regions that have a member. */
int view_count_regions(const View *v);
int view_count_members(const View *v, const char *region);

#endif
