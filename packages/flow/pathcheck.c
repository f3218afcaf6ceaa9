/* pathcheck.c: connects to another target, then to the one that failed. */
#include "flow/pathcheck.h"

#include <glib.h>

typedef struct Check {
  PathChecks *set;
  char *addr;
  bool refused; /* the failure was a refusal */
  Link *link;   /* of the attempt in progress; NULL: none */
} Check;

struct PathChecks {
  Links *links;
  PathChecksOptions o;
  GHashTable *by_addr; /* addr -> Check */
};

static void free_check(gpointer p) {
  Check *c = p;
  if (c->link) link_cancel(c->link);
  g_free(c->addr);
  g_free(c);
}

PathChecks *pathchecks_new(Links *links, const PathChecksOptions *o) {
  PathChecks *p = g_new0(PathChecks, 1);
  p->links = links;
  p->o = *o;
  p->by_addr = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_check);
  return p;
}

void pathchecks_free(PathChecks *p) {
  g_hash_table_destroy(p->by_addr);
  g_free(p);
}

static void end(Check *c, PathVerdict verdict) {
  PathChecksOptions o = c->set->o;
  char *addr = g_strdup(c->addr);
  g_hash_table_remove(c->set->by_addr, c->addr);
  o.end(o.ctx, addr, verdict);
  g_free(addr);
}

static void on_target(void *ctx, LinkConnectResult how) {
  Check *c = ctx;
  c->link = NULL;
  end(c, how == LINK_REFUSED ? PATHCHECK_REFUSED : PATHCHECK_UNKNOWN);
}

static void on_other(void *ctx, LinkConnectResult how) {
  Check *c = ctx;
  c->link = NULL;
  if (how != LINK_CONNECTED)
    end(c, PATHCHECK_UNKNOWN);
  else if (c->refused)
    c->link = link_check(c->set->links, c->addr, NULL, on_target, c);
  else /* a second time-out would come too late for those who wait */
    end(c, PATHCHECK_UNREACHABLE);
}

bool pathchecks_start(PathChecks *p, const char *addr, bool refused) {
  if (g_hash_table_contains(p->by_addr, addr)) return true;
  const char *other = p->o.pick_other(p->o.ctx, addr);
  if (!other) return false;
  Check *c = g_new0(Check, 1);
  c->set = p;
  c->addr = g_strdup(addr);
  c->refused = refused;
  c->link = link_check(p->links, other, NULL, on_other, c);
  g_hash_table_insert(p->by_addr, c->addr, c);
  return true;
}
