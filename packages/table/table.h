/* table.h: the operators' table of weights and limits, with a row for each
   customer, service, target and budget: checks, CSV, JSON, difference and
   merge. No I/O. */
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
  TABLE_KIND_COUNT
} TableKind;

/* Columns after kind and name, in the order of the CSV. Each comment names the
   kinds of rows that use the column. */
typedef enum {
  TABLE_KEY_HASH,    /* customer: SHA-256 of its bearer key, in hex */
  TABLE_SHARE,       /* customer: weight among those of the same priority */
  TABLE_MAX_RUNNING, /* customer, service: concurrent requests; 0: no limit */
  TABLE_TOKENS_PER_MIN, /* customer: 0: no limit */
  TABLE_MODEL,          /* service, target */
  TABLE_PRIORITY,       /* service: 0 is served first */
  TABLE_REPEATABLE,  /* service: whether a request may run twice, yes or no */
  TABLE_MAX_WAIT_MS, /* service: time in the queue */
  TABLE_MAX_OUTPUT_TOKENS, /* service: output tokens of one answer */
  TABLE_COST_TOKENS, /* service without a model (plain): tokens of one call */
  TABLE_SERVES,      /* target: the plain service that it serves */
  TABLE_URL,         /* target: ip:port */
  TABLE_DATACENTRE,  /* target: its location; service: where it may run;
                          empty: anywhere */
  TABLE_ADAPTER,     /* service: the one needed; target: those loaded, as a;b */
  TABLE_VERSION,     /* service: the one needed; target: the one it runs */
  TABLE_SLOTS,       /* target: concurrent requests */
  TABLE_PREPAID_TOKENS, /* budget: total */
  TABLE_RESERVE_S,      /* budget: outage reserve of each region, as seconds of
                             its demand */
  TABLE_MAX_LOADED_ADAPTERS, /* target: number that the fleet may load on it */
  TABLE_MIN_TARGETS, /* service: least number of targets with its adapter */
  TABLE_MAX_TARGETS, /* service: greatest number of those; 0: all */
  TABLE_COLUMN_COUNT
} TableColumn;

/* Stored objects that the rows are spread over. */
#define TABLE_PART_COUNT 256

/* Immutable once in a table, so that tables can share it by reference counts.
 */
typedef struct TableRow {
  TableKind kind;
  char name[LIMIT_NAME_BYTES]; /* of a budget: customer/service; '*' as service
                            means any */
  char *cells[TABLE_COLUMN_COUNT];     /* never NULL; "": default value */
  int64_t numbers[TABLE_COLUMN_COUNT]; /* values of numeric columns, with
                                          defaults */
  uint64_t version;                    /* table version of its last change */
} TableRow;

typedef struct Table {
  uint64_t version;
  /* Objects that it was loaded from; NULL: none. */
  char *part_names[TABLE_PART_COUNT];
  GHashTable *rows;       /* "kind/name" -> TableRow */
  GPtrArray *sorted_rows; /* TableRow*, sorted by kind and name */
} Table;

Table *table_new(void);
void table_free(Table *t);
const TableRow *table_find_row(const Table *t, TableKind kind,
                               const char *name);
/* Adds a copy of `row`, replacing a row of the same kind and name. */
void table_put_row(Table *t, const TableRow *row);
/* Adds a reference to a row of another table. */
void table_share_row(Table *t, const TableRow *row);
void table_remove_row(Table *t, TableKind kind, const char *name);
/* Rebuilds `sorted_rows` after rows were added or removed. */
void table_sort_rows(Table *t);

const char *table_kind_name(TableKind kind);
const char *table_column_name(TableColumn column);

/* Reads and checks a table in CSV. Returns NULL if there are errors; each is a
   line for the operator with the row, the column, the problem and the remedy.
   `base` receives the number in a "# version N" line, or UINT64_MAX. */
Table *table_read_csv(const char *csv, GPtrArray *errors, uint64_t *base);
/* Checks references between rows. Reports errors like table_read_csv. */
bool table_check(const Table *t, GPtrArray *errors);
/* Free the result with g_free. */
char *table_write_csv(const Table *t);

/* Returns the index of the part that a row belongs to. */
int table_part_index(const TableRow *row);
/* Encodes the rows of one part as JSON for the store. Free with g_free. */
char *table_encode_part(const Table *t, int part);
/* Adds the rows of an encoded part. Returns false if the text is not one. */
bool table_decode_part(Table *t, const char *text);

typedef struct TableChange {
  TableKind kind;
  char name[LIMIT_NAME_BYTES];
  int column; /* TableColumn; -1: row added; -2: row removed */
  char *before, *after;
} TableChange;

/* Returns the changes from `a` to `b` (TableChange*). Free with
   g_ptr_array_unref. */
GPtrArray *table_diff(const Table *a, const Table *b);
/* Describes a change in one line. Free with g_free. */
char *table_describe_change(const TableChange *c);

/* Three-way merge: applies the changes from `base` to `mine` to `head`. Changed
   rows get `version`. Returns NULL on a conflict, that is if both sides changed
   the same cell differently; *conflict (free with g_free) then names the cell,
   and *conflict_version is the version of the row in `head`. */
Table *table_merge(const Table *base, const Table *mine, const Table *head,
                   uint64_t version, char **conflict,
                   uint64_t *conflict_version);

#endif
