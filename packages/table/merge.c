/* merge.c: difference of two tables, and three-way merge cell by cell. */
#include "table/table.h"

#include <stdio.h>
#include <string.h>

static void change_free(gpointer p) {
  TableChange *c = p;
  g_free(c->before);
  g_free(c->after);
  g_free(c);
}

static void add_change(GPtrArray *out, const TableRow *r, int column,
                       const char *before, const char *after) {
  TableChange *c = g_new0(TableChange, 1);
  c->kind = r->kind;
  g_strlcpy(c->name, r->name, sizeof c->name);
  c->column = column;
  c->before = g_strdup(before);
  c->after = g_strdup(after);
  g_ptr_array_add(out, c);
}

static void diff_row(GPtrArray *out, const TableRow *a, const TableRow *b) {
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    if (strcmp(a->cells[i], b->cells[i]) != 0)
      add_change(out, b, i, a->cells[i], b->cells[i]);
}

GPtrArray *table_diff(const Table *a, const Table *b) {
  GPtrArray *out = g_ptr_array_new_with_free_func(change_free);
  for (guint i = 0; i < b->sorted_rows->len; i++) {
    const TableRow *r = b->sorted_rows->pdata[i];
    const TableRow *old = table_find_row(a, r->kind, r->name);
    if (old)
      diff_row(out, old, r);
    else
      add_change(out, r, -1, "", "");
  }
  for (guint i = 0; i < a->sorted_rows->len; i++) {
    const TableRow *r = a->sorted_rows->pdata[i];
    if (!table_find_row(b, r->kind, r->name)) add_change(out, r, -2, "", "");
  }
  return out;
}

char *table_describe_change(const TableChange *c) {
  const char *kind = table_kind_name(c->kind);
  if (c->column == -1) return g_strdup_printf("+ %s %s", kind, c->name);
  if (c->column == -2) return g_strdup_printf("- %s %s", kind, c->name);
  return g_strdup_printf("~ %s %s: %s '%s' -> '%s'", kind, c->name,
                         table_column_name((TableColumn)c->column), c->before,
                         c->after);
}

/* == merge == */

/* Here `mine` is the edited table, `base` the version that the edit was made
on, and `head` the current version. */

/* Sets *out to the merged content of column `c`. Returns false on a conflict.
   `base` may be NULL: the row was not in that version. */
static bool merge_cell(const TableRow *base, const TableRow *mine,
                       const TableRow *head, int c, const char **out) {
  const char *b = base ? base->cells[c] : "";
  const char *h = head->cells[c];
  bool edited = strcmp(b, mine->cells[c]) != 0;
  *out = edited ? mine->cells[c] : h;
  return !edited || strcmp(h, b) == 0 || strcmp(h, mine->cells[c]) == 0;
}

static char *describe_conflict(const TableRow *r, const char *column) {
  return g_strdup_printf("%s %s, column %s", table_kind_name(r->kind), r->name,
                         column);
}

/* Adds the merged row to `out`; NULL: the row is not in that version. Returns
   false on a conflict, and sets *conflict and *conflict_version. */
static bool merge_row(Table *out, const TableRow *base, const TableRow *mine,
                      const TableRow *head, uint64_t version, char **conflict,
                      uint64_t *conflict_version) {
  TableRow r = *mine;
  bool changed = !head;
  if (base && !head) { /* removed in head */
    bool edited = false;
    for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
      edited = edited || strcmp(base->cells[i], mine->cells[i]) != 0;
    if (!edited) return true;
    *conflict = describe_conflict(mine, "all (the row was removed)");
    *conflict_version = 0;
    return false;
  }
  for (int i = 0; head && i < TABLE_COLUMN_COUNT; i++) {
    const char *cell;
    if (!merge_cell(base, mine, head, i, &cell)) {
      *conflict = describe_conflict(mine, table_column_name((TableColumn)i));
      *conflict_version = head->version;
      return false;
    }
    changed = changed || strcmp(cell, head->cells[i]) != 0;
    r.cells[i] = (char *)cell;
  }
  if (!changed) {
    table_share_row(out, head);
    return true;
  }
  r.version = version;
  table_put_row(out, &r);
  return true;
}

static bool rows_are_equal(const TableRow *a, const TableRow *b) {
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    if (strcmp(a->cells[i], b->cells[i]) != 0) return false;
  return true;
}

Table *table_merge(const Table *base, const Table *mine, const Table *head,
                   uint64_t version, char **conflict,
                   uint64_t *conflict_version) {
  Table *out = table_new();
  out->version = version;
  bool ok = true;
  for (guint i = 0; ok && i < mine->sorted_rows->len; i++) {
    const TableRow *m = mine->sorted_rows->pdata[i];
    ok = merge_row(out, table_find_row(base, m->kind, m->name), m,
                   table_find_row(head, m->kind, m->name), version, conflict,
                   conflict_version);
  }
  for (guint i = 0; ok && i < head->sorted_rows->len; i++) {
    const TableRow *h = head->sorted_rows->pdata[i];
    if (table_find_row(mine, h->kind, h->name)) continue;
    const TableRow *b = table_find_row(base, h->kind, h->name);
    if (!b) { /* added to head since base */
      table_share_row(out, h);
    } else if (!rows_are_equal(b, h)) { /* removed by this edit */
      *conflict = describe_conflict(h, "all (this edit removes the row)");
      *conflict_version = h->version;
      ok = false;
    }
  }
  table_sort_rows(out);
  if (ok) return out;
  table_free(out);
  return NULL;
}
