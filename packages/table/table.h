/* table.h: the operators' table of weights and limits: rows, checks, CSV,
   JSON, difference and merge. Pure. */
#ifndef TABLE_TABLE_H
#define TABLE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

typedef enum {
  TABLE_CUSTOMER,
  TABLE_SERVICE,
  TABLE_TARGET,
  TABLE_BUDGET,
  TABLE_KINDS
} TableKind;

/* Columns after kind and name, in the order of the CSV. */
typedef enum {
  TABLE_KEY,        /* customer: SHA-256 of its bearer key, hex */
  TABLE_SHARE,      /* customer: weight within a class */
  TABLE_RUNNING,    /* customer, service: requests at once, 0 no cap */
  TABLE_RATE,       /* customer: tokens a minute, 0 no cap */
  TABLE_MODEL,      /* service, target */
  TABLE_PRIORITY,   /* service: class, 0 first */
  TABLE_REPEAT,     /* service: yes or no */
  TABLE_WAIT,       /* service: longest wait in the queue, ms */
  TABLE_OUTPUT,     /* service: most output tokens of one answer */
  TABLE_COST,       /* plain service: tokens a call */
  TABLE_SERVES,     /* target: the plain service behind it */
  TABLE_URL,        /* target: ip:port */
  TABLE_DATACENTRE, /* target; service: where it may run, any if empty */
  TABLE_ADAPTER,    /* service: needed; target: loaded ones, a;b */
  TABLE_VERSION,    /* service: needed; target: what it runs */
  TABLE_SLOTS,      /* target: requests at once */
  TABLE_TOKENS,     /* budget: prepaid tokens in all */
  TABLE_RESERVE,    /* budget: seconds of demand laid up per region */
  TABLE_LOADS,      /* target: adapters that the fleet may load there */
  TABLE_LEAST,      /* service: targets that are to have its adapter, */
  TABLE_MOST,       /* at least and at most, 0 all */
  TABLE_COLUMNS
} TableColumn;

#define TABLE_PARTS 256 /* content objects that the rows are spread over */

/* Immutable once in a table; tables share rows by counting references. */
typedef struct TableRow {
  TableKind kind;
  char name[LIMIT_NAME_BYTES]; /* a budget's is customer/service or customer/any */
  char *cells[TABLE_COLUMNS];     /* never NULL; "" takes the default */
  int64_t numbers[TABLE_COLUMNS]; /* of numeric columns, defaults filled in */
  uint64_t version;               /* the table version that last changed it */
} TableRow;

typedef struct Table {
  uint64_t version;
  char *parts[TABLE_PARTS]; /* object names it was loaded from; NULL: none */
  GHashTable *rows;         /* "kind/name" -> TableRow */
  GPtrArray *order;         /* TableRow*, sorted by kind and name */
} Table;

Table *table_new(void);
void table_free(Table *t);
const TableRow *table_row(const Table *t, TableKind kind, const char *name);
/* Copies `row` in, in place of one of the same kind and name. */
void table_put(Table *t, const TableRow *row);
/* Takes in a row of another table without a copy. */
void table_share(Table *t, const TableRow *row);
void table_remove(Table *t, TableKind kind, const char *name);
/* Restores `order` after puts and removes. */
void table_sort(Table *t);

const char *table_kind_name(TableKind kind);
const char *table_column_name(TableColumn column);

/* Reads CSV. Each error is a line for the operator: row, column, what is
   wrong, what to do. NULL when there was any. `base` gets the number of a
   "# version N" line, else UINT64_MAX. */
Table *table_parse(const char *csv, GPtrArray *errors, uint64_t *base);
/* Checks between rows; the same lines as table_parse. */
bool table_check(const Table *t, GPtrArray *errors);
/* g_free. */
char *table_csv(const Table *t);

/* The part that a row belongs to. */
int table_part(const TableRow *row);
/* JSON of the rows of one part, for the store; g_free. */
char *table_encode_part(const Table *t, int part);
/* Adds the rows of a part; false when it is not one. */
bool table_decode_part(Table *t, const char *text);

typedef struct TableChange {
  TableKind kind;
  char name[LIMIT_NAME_BYTES];
  int column; /* TableColumn; -1: the row came, -2: it went */
  char *before, *after;
} TableChange;

/* What turns `a` into `b`; free with g_ptr_array_unref. */
GPtrArray *table_diff(const Table *a, const Table *b);
/* A line for people; g_free. */
char *table_change_text(const TableChange *c);

/* Puts the edit base -> mine onto `head`, giving changed rows `version`.
   NULL on a conflict: the same cell changed differently in both; then
   *conflict (g_free) names it and *conflict_version is the version of head's
   row. */
Table *table_merge(const Table *base, const Table *mine, const Table *head,
                   uint64_t version, char **conflict,
                   uint64_t *conflict_version);

#endif
