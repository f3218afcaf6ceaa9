/* roster.c: rows of numbers and names; services and data centres by index. */
#include "route/roster.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "route/state.h"

#define MS_PER_S 1000.0

/* == writing == */

/* The index of a name in a list, which is extended if necessary. */
static int index_of_name(json_t *list, const char *name) {
  size_t i;
  json_t *known;
  json_array_foreach(list, i, known) if (strcmp(json_string_value(known),
                                                name) == 0) return (int)i;
  json_array_append_new(list, json_string(name));
  return (int)json_array_size(list) - 1;
}

static json_t *make_row(const Target *t, double now, json_t *services,
                        json_t *dcs) {
  const TargetInfo *i = &t->info;
  int cold_ms = (int)(MAX(0, t->cold_until - now) * MS_PER_S);
  return json_pack("[s,s,i,i,i,b,i,I,I]", i->id, i->addr,
                   index_of_name(services, i->service),
                   index_of_name(dcs, i->dc), i->slots, (int)i->leaving,
                   cold_ms, (json_int_t)i->start_ms, (json_int_t)i->revision);
}

/* Builds without versions read rows of exactly nine members, so the versions
   are a list of their own. */
typedef struct Lists {
  json_t *services, *dcs, *versions; /* names */
  json_t *rows;
  json_t *row_versions; /* index of each row's version */
} Lists;

static void add_row(Lists *l, const Target *t, double now) {
  json_array_append_new(l->rows, make_row(t, now, l->services, l->dcs));
  json_array_append_new(l->row_versions, json_integer(index_of_name(
                                             l->versions, t->info.version)));
}

/* Its entry is present. */
static bool is_listed(const Target *t) {
  return !t->lapsed && (t->info.leaving || isinf(t->leave_at));
}

/* The pool to continue with, the first whose hash is not lower; NULL: none. */
static Pool *next_pool(const Targets *s, uint64_t hash) {
  Pool *next = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Pool *p = v;
    if (p->hash >= hash && (!next || p->hash < next->hash)) next = p;
  }
  return next;
}

/* Adds members of a pool from `at` on; false: the part is full. */
static bool add_rows(Pool *p, double now, RosterCursor *at, Lists *l) {
  GPtrArray *members = pool_sorted_members(p);
  bool after_target = at->has_target && at->pool == p->hash;
  at->pool = p->hash;
  for (guint i = 0; i < members->len; i++) {
    const Target *t = members->pdata[i];
    if (after_target && t->hash <= at->target) continue;
    if (json_array_size(l->rows) == ROSTER_MAX_ROWS) return false;
    at->target = t->hash;
    at->has_target = true;
    if (is_listed(t)) add_row(l, t, now);
  }
  return true;
}

char *roster_part(Targets *s, double now, RosterCursor *at, bool *more) {
  Lists l = {json_array(), json_array(), json_array(), json_array(),
             json_array()};
  Pool *p;
  *more = false;
  while (!*more && (p = next_pool(s, at->pool)) != NULL) {
    *more = !add_rows(p, now, at, &l);
    if (!*more && p->hash == UINT64_MAX) break;
    if (!*more) *at = (RosterCursor){.pool = p->hash + 1};
  }
  json_t *o = json_pack("{s:o,s:o,s:o,s:o,s:o}", "services", l.services, "dcs",
                        l.dcs, "rows", l.rows, "versions", l.versions,
                        "row_versions", l.row_versions);
  char *text = json_dumps(o, JSON_COMPACT);
  json_decref(o);
  return text;
}

/* == reading == */

static bool copy_name(char *to, size_t size, const char *from) {
  return from && from[0] && g_strlcpy(to, from, size) < size;
}

static bool read_row(json_t *row, json_t *services, json_t *dcs,
                     TargetInfo *t) {
  const char *id, *addr;
  int service, dc, leaving, cold_ms;
  json_int_t start_ms, revision;
  memset(t, 0, sizeof *t);
  if (json_unpack(row, "[s,s,i,i,i,b,i,I,I!]", &id, &addr, &service, &dc,
                  &t->slots, &leaving, &cold_ms, &start_ms, &revision) != 0)
    return false;
  if (t->slots < 0 || cold_ms < 0 || start_ms < 0 || revision <= 0)
    return false;
  t->leaving = leaving;
  t->cold_s = cold_ms / MS_PER_S;
  t->start_ms = start_ms;
  t->revision = (uint64_t)revision;
  return copy_name(t->id, sizeof t->id, id) &&
         copy_name(t->addr, sizeof t->addr, addr) &&
         copy_name(
             t->service, sizeof t->service,
             json_string_value(json_array_get(services, (size_t)service))) &&
         copy_name(t->dc, sizeof t->dc,
                   json_string_value(json_array_get(dcs, (size_t)dc)));
}

/* Sets the version of the i-th row; "" when an earlier build wrote it. */
static bool read_version(json_t *o, size_t i, TargetInfo *t) {
  json_t *indices = json_object_get(o, "row_versions");
  json_t *names = json_object_get(o, "versions");
  if (!indices) return true;
  json_t *at = json_array_get(indices, i);
  const char *name =
      json_string_value(json_array_get(names, (size_t)json_integer_value(at)));
  return json_is_integer(at) && name &&
         g_strlcpy(t->version, name, sizeof t->version) < sizeof t->version;
}

/* All rows; NULL: one is damaged. */
static GArray *read_rows(json_t *o) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(TargetInfo));
  json_t *services, *dcs, *rows, *row;
  size_t i;
  bool ok = json_unpack(o, "{s:o,s:o,s:o}", "services", &services, "dcs", &dcs,
                        "rows", &rows) == 0 &&
            json_is_array(rows);
  json_array_foreach(ok ? rows : NULL, i, row) {
    TargetInfo t;
    ok = ok && read_row(row, services, dcs, &t) && read_version(o, i, &t);
    if (ok) g_array_append_val(list, t);
  }
  if (ok) return list;
  g_array_free(list, TRUE);
  return NULL;
}

bool roster_read(const char *text, void (*fn)(void *ctx, const TargetInfo *t),
                 void *ctx) {
  json_t *o = json_loads(text, 0, NULL);
  GArray *list = o ? read_rows(o) : NULL;
  json_decref(o);
  if (!list) return false;
  for (guint i = 0; i < list->len; i++)
    fn(ctx, &g_array_index(list, TargetInfo, i));
  g_array_free(list, TRUE);
  return true;
}
