/* table.c: rows, CSV and JSON. */
#include "table/table.h"

#include <csv.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const char *const kinds[TABLE_KIND_COUNT] = {"customer", "service",
                                                    "target", "budget"};

typedef enum { TEXT, NUMBER, YES_NO, HASH, ADDRESS } CellType;

#define KIND_BIT(k) (1 << (k))

static const struct {
  const char *name;
  CellType type;
  int kinds; /* KIND_BIT of each kind that may fill it */
  int64_t default_value, min, max;
} columns[TABLE_COLUMN_COUNT] = {
    [TABLE_KEY_HASH] = {"key", HASH, KIND_BIT(TABLE_CUSTOMER), 0, 0, 0},
    [TABLE_SHARE] = {"share", NUMBER, KIND_BIT(TABLE_CUSTOMER), 100, 1,
                     1000000},
    [TABLE_MAX_RUNNING] = {"running", NUMBER,
                           KIND_BIT(TABLE_CUSTOMER) | KIND_BIT(TABLE_SERVICE),
                           0, 0, 1000000},
    [TABLE_TOKENS_PER_MIN] = {"rate", NUMBER, KIND_BIT(TABLE_CUSTOMER), 0, 0,
                              1LL << 40},
    [TABLE_MODEL] = {"model", TEXT,
                     KIND_BIT(TABLE_SERVICE) | KIND_BIT(TABLE_TARGET), 0, 0, 0},
    [TABLE_PRIORITY] = {"priority", NUMBER, KIND_BIT(TABLE_SERVICE), 5, 0, 9},
    [TABLE_REPEATABLE] = {"repeat", YES_NO, KIND_BIT(TABLE_SERVICE), 1, 0, 1},
    [TABLE_MAX_WAIT_MS] = {"wait", NUMBER, KIND_BIT(TABLE_SERVICE), 10000, 0,
                           600000},
    [TABLE_MAX_OUTPUT_TOKENS] = {"output", NUMBER, KIND_BIT(TABLE_SERVICE),
                                 1024, 1, 1000000},
    [TABLE_COST_TOKENS] = {"cost", NUMBER, KIND_BIT(TABLE_SERVICE), 0, 0,
                           1000000000},
    [TABLE_SERVES] = {"serves", TEXT, KIND_BIT(TABLE_TARGET), 0, 0, 0},
    [TABLE_URL] = {"url", ADDRESS, KIND_BIT(TABLE_TARGET), 0, 0, 0},
    [TABLE_DATACENTRE] = {"datacentre", TEXT,
                          KIND_BIT(TABLE_SERVICE) | KIND_BIT(TABLE_TARGET), 0,
                          0, 0},
    [TABLE_ADAPTER] = {"adapter", TEXT,
                       KIND_BIT(TABLE_SERVICE) | KIND_BIT(TABLE_TARGET), 0, 0,
                       0},
    [TABLE_VERSION] = {"version", TEXT,
                       KIND_BIT(TABLE_SERVICE) | KIND_BIT(TABLE_TARGET), 0, 0,
                       0},
    [TABLE_SLOTS] = {"slots", NUMBER, KIND_BIT(TABLE_TARGET), 8, 1, 100000},
    [TABLE_PREPAID_TOKENS] = {"tokens", NUMBER, KIND_BIT(TABLE_BUDGET), 0, 0,
                              1LL << 60},
    [TABLE_RESERVE_S] = {"reserve", NUMBER, KIND_BIT(TABLE_BUDGET), 600, 0,
                         1000000},
    [TABLE_MAX_LOADED_ADAPTERS] = {"loads", NUMBER, KIND_BIT(TABLE_TARGET), 0,
                                   0, 16},
    [TABLE_MIN_TARGETS] = {"least", NUMBER, KIND_BIT(TABLE_SERVICE), 1, 0,
                           100000},
    [TABLE_MAX_TARGETS] = {"most", NUMBER, KIND_BIT(TABLE_SERVICE), 0, 0,
                           100000},
};

const char *table_kind_name(TableKind kind) {
  return kinds[kind];
}

const char *table_column_name(TableColumn column) {
  return columns[column].name;
}

/* == memory == */

/* Most cells are empty, so all of them share this string. */
static char empty_cell[] = "";

static char *new_cell(const char *s) {
  return s && s[0] ? g_strdup(s) : empty_cell;
}

static void row_clear(gpointer p) {
  TableRow *r = p;
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    if (r->cells[i] != empty_cell) g_free(r->cells[i]);
}

static void row_free(gpointer p) {
  g_atomic_rc_box_release_full(p, row_clear);
}

Table *table_new(void) {
  Table *t = g_new0(Table, 1);
  t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
  t->sorted_rows = g_ptr_array_new();
  return t;
}

void table_free(Table *t) {
  if (!t) return;
  g_hash_table_destroy(t->rows);
  g_ptr_array_free(t->sorted_rows, TRUE);
  for (int i = 0; i < TABLE_PART_COUNT; i++) g_free(t->part_names[i]);
  g_free(t);
}

static char *row_key(TableKind kind, const char *name) {
  return g_strdup_printf("%s/%s", kinds[kind], name);
}

const TableRow *table_find_row(const Table *t, TableKind kind,
                               const char *name) {
  char key[LIMIT_NAME_BYTES + 16];
  snprintf(key, sizeof key, "%s/%s", kinds[kind], name);
  return g_hash_table_lookup(t->rows, key);
}

static void fill_numbers(TableRow *r) {
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++) {
    const char *s = r->cells[i];
    if (columns[i].type == YES_NO)
      r->numbers[i] = s[0] ? strcmp(s, "yes") == 0 : columns[i].default_value;
    else if (columns[i].type == NUMBER)
      r->numbers[i] = s[0] ? strtoll(s, NULL, 10) : columns[i].default_value;
  }
}

void table_put_row(Table *t, const TableRow *row) {
  TableRow *r = g_atomic_rc_box_new0(TableRow);
  *r = *row;
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    r->cells[i] = new_cell(row->cells[i]);
  fill_numbers(r);
  g_hash_table_replace(t->rows, row_key(r->kind, r->name), r);
}

void table_share_row(Table *t, const TableRow *row) {
  TableRow *r = (TableRow *)row; /* rows in a table are immutable */
  g_atomic_rc_box_acquire(r);
  g_hash_table_replace(t->rows, row_key(r->kind, r->name), r);
}

void table_remove_row(Table *t, TableKind kind, const char *name) {
  char *key = row_key(kind, name);
  g_hash_table_remove(t->rows, key);
  g_free(key);
}

static gint compare_rows(gconstpointer a, gconstpointer b) {
  const TableRow *x = *(TableRow *const *)a, *y = *(TableRow *const *)b;
  if (x->kind != y->kind) return (int)x->kind - (int)y->kind;
  return strcmp(x->name, y->name);
}

void table_sort_rows(Table *t) {
  GHashTableIter it;
  gpointer v;
  g_ptr_array_set_size(t->sorted_rows, 0);
  g_hash_table_iter_init(&it, t->rows);
  while (g_hash_table_iter_next(&it, NULL, &v))
    g_ptr_array_add(t->sorted_rows, v);
  g_ptr_array_sort(t->sorted_rows, compare_rows);
}

/* == checks == */

static void add_error(GPtrArray *errors, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void add_error(GPtrArray *errors, const char *fmt, ...) {
  va_list ap;
  va_start(ap, fmt);
  g_ptr_array_add(errors, g_strdup_vprintf(fmt, ap));
  va_end(ap);
}

static bool is_hash(const char *s) {
  return strlen(s) == 64 && strspn(s, "0123456789abcdef") == 64;
}

static bool is_address(const char *s) {
  unsigned a, b, c, d, port;
  char rest;
  int n = sscanf(s, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port, &rest);
  return n == 5 && a < 256 && b < 256 && c < 256 && d < 256 && port > 0 &&
         port < 65536;
}

static void check_number(const char *where, int col, const char *s,
                         GPtrArray *errors) {
  char *end;
  errno = 0;
  long long n = strtoll(s, &end, 10);
  if (errno || *end || n < columns[col].min || n > columns[col].max)
    add_error(errors,
              "%s, column %s: '%s' is not a whole number from %lld to "
              "%lld: write one",
              where, columns[col].name, s, (long long)columns[col].min,
              (long long)columns[col].max);
}

static void check_cell(const char *where, const TableRow *r, int col,
                       GPtrArray *errors) {
  const char *s = r->cells[col], *name = columns[col].name;
  if (!s[0]) return;
  if (!(columns[col].kinds & KIND_BIT(r->kind))) {
    add_error(errors, "%s, column %s: a %s row has no %s: leave the cell empty",
              where, name, kinds[r->kind], name);
    return;
  }
  switch (columns[col].type) {
  case NUMBER: check_number(where, col, s, errors); break;
  case YES_NO:
    if (strcmp(s, "yes") != 0 && strcmp(s, "no") != 0)
      add_error(errors, "%s, column %s: '%s': write yes or no", where, name, s);
    break;
  case HASH:
    if (!is_hash(s))
      add_error(errors,
                "%s, column %s: not a SHA-256 in hex: make it with "
                "loftpath hash",
                where, name);
    break;
  case ADDRESS:
    if (!is_address(s))
      add_error(errors, "%s, column %s: '%s' is not ip:port: write one", where,
                name, s);
    break;
  case TEXT: break;
  }
}

static void check_target(const Table *t, const TableRow *r, GPtrArray *errors) {
  bool model = r->cells[TABLE_MODEL][0], serves = r->cells[TABLE_SERVES][0];
  if (model == serves)
    add_error(errors, "target %s: fill in either model or serves", r->name);
  if (!r->cells[TABLE_URL][0])
    add_error(errors, "target %s, column url: empty: write ip:port", r->name);
  if (!r->cells[TABLE_DATACENTRE][0])
    add_error(errors,
              "target %s, column datacentre: empty: write where it "
              "stands",
              r->name);
  if (serves && !table_find_row(t, TABLE_SERVICE, r->cells[TABLE_SERVES]))
    add_error(errors,
              "target %s, column serves: no service row '%s': add one "
              "or correct the name",
              r->name, r->cells[TABLE_SERVES]);
}

static void check_budget(const Table *t, const TableRow *r, GPtrArray *errors) {
  const char *slash = strchr(r->name, '/');
  if (!slash) {
    add_error(errors, "budget %s: name it customer/service or customer/*",
              r->name);
    return;
  }
  char *customer = g_strndup(r->name, (gsize)(slash - r->name));
  if (!table_find_row(t, TABLE_CUSTOMER, customer))
    add_error(errors,
              "budget %s: no customer row '%s': add one or correct the "
              "name",
              r->name, customer);
  bool any = strcmp(slash + 1, "*") == 0;
  if (!any && !table_find_row(t, TABLE_SERVICE, slash + 1))
    add_error(errors,
              "budget %s: no service row '%s': add one or correct the "
              "name",
              r->name, slash + 1);
  if (!r->cells[TABLE_PREPAID_TOKENS][0])
    add_error(errors,
              "budget %s, column tokens: empty: write the prepaid "
              "tokens",
              r->name);
  g_free(customer);
}

bool table_check(const Table *t, GPtrArray *errors) {
  guint before = errors->len;
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    if (r->kind == TABLE_TARGET) check_target(t, r, errors);
    if (r->kind == TABLE_BUDGET) check_budget(t, r, errors);
    if (r->kind == TABLE_CUSTOMER && !r->cells[TABLE_KEY_HASH][0])
      add_error(errors,
                "customer %s, column key: empty: make it with loftpath "
                "hash",
                r->name);
  }
  return errors->len == before;
}

/* == CSV == */

typedef struct Parse {
  Table *t;
  GPtrArray *errors, *fields;
  int line, row;
  int map[64]; /* field -> column; -1 kind, -2 name, -3 unknown */
  int n;
} Parse;

static void on_field(void *s, size_t n, void *ctx) {
  Parse *p = ctx;
  char *copy = g_strndup(s ? s : "", n);
  g_ptr_array_add(p->fields, g_strstrip(copy));
}

static int parse_column(const char *name) {
  if (strcmp(name, "kind") == 0) return -1;
  if (strcmp(name, "name") == 0) return -2;
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    if (strcmp(columns[i].name, name) == 0) return i;
  return -3;
}

static void parse_header(Parse *p) {
  p->n = (int)MIN(p->fields->len, G_N_ELEMENTS(p->map));
  bool kind = false, name = false;
  for (int i = 0; i < p->n; i++) {
    const char *s = p->fields->pdata[i];
    p->map[i] = parse_column(s);
    kind = kind || p->map[i] == -1;
    name = name || p->map[i] == -2;
    if (p->map[i] == -3)
      add_error(p->errors,
                "row 1: no column is called '%s': see docs/TABLE.md "
                "for the names",
                s);
  }
  if (!kind || !name)
    add_error(p->errors, "row 1: the header must name kind and name");
}

static int parse_kind(const char *s) {
  for (int i = 0; i < TABLE_KIND_COUNT; i++)
    if (strcmp(kinds[i], s) == 0) return i;
  return -1;
}

static void parse_row(Parse *p) {
  TableRow r = {0};
  char where[96];
  const char *kind = "", *name = "";
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++) r.cells[i] = "";
  for (int i = 0; i < p->n && i < (int)p->fields->len; i++) {
    char *s = p->fields->pdata[i];
    if (p->map[i] == -1) kind = s;
    if (p->map[i] == -2) name = s;
    if (p->map[i] >= 0) r.cells[p->map[i]] = s;
  }
  snprintf(where, sizeof where, "row %d (%.60s)", p->row, name);
  if ((int)p->fields->len > p->n)
    add_error(p->errors,
              "%s: more cells than the header has columns: remove "
              "them",
              where);
  int k = parse_kind(kind);
  if (k < 0) {
    add_error(p->errors,
              "%s, column kind: '%s': write customer, service, "
              "target or budget",
              where, kind);
    return;
  }
  if (!name[0] || strlen(name) >= LIMIT_NAME_BYTES) {
    add_error(p->errors, "%s, column name: empty or over %d bytes", where,
              LIMIT_NAME_BYTES - 1);
    return;
  }
  r.kind = (TableKind)k;
  g_strlcpy(r.name, name, sizeof r.name);
  if (table_find_row(p->t, r.kind, r.name))
    add_error(p->errors, "%s: a second %s row of this name: remove one", where,
              kind);
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    check_cell(where, &r, i, p->errors);
  table_put_row(p->t, &r);
}

static void on_line(int c, void *ctx) {
  (void)c;
  Parse *p = ctx;
  const char *first = p->fields->len > 0 ? p->fields->pdata[0] : "";
  bool blank = p->fields->len == 0 || (p->fields->len == 1 && !first[0]);
  p->line++;
  if (!blank && first[0] != '#') {
    p->row = p->line;
    if (p->n == 0)
      parse_header(p);
    else
      parse_row(p);
  }
  g_ptr_array_set_size(p->fields, 0);
}

static uint64_t parse_base_version(const char *csv) {
  unsigned long long n;
  const char *at = strstr(csv, "# version ");
  if (at && sscanf(at, "# version %llu", &n) == 1) return n;
  return UINT64_MAX;
}

Table *table_read_csv(const char *csv, GPtrArray *errors, uint64_t *base) {
  Parse p = {.t = table_new(), .errors = errors};
  guint before = errors->len;
  p.fields = g_ptr_array_new_with_free_func(g_free);
  struct csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL);
  size_t len = strlen(csv);
  bool parsed = csv_parse(&parser, csv, len, on_field, on_line, &p) == len &&
                csv_fini(&parser, on_field, on_line, &p) == 0;
  if (!parsed)
    add_error(errors, "row %d: %s: check the quotes", p.line + 1,
              csv_strerror(csv_error(&parser)));
  csv_free(&parser);
  g_ptr_array_free(p.fields, TRUE);
  if (p.n == 0 && errors->len == before)
    add_error(errors, "the file is empty: start with a header row");
  table_sort_rows(p.t);
  if (errors->len == before) table_check(p.t, errors);
  if (base) *base = parse_base_version(csv);
  if (errors->len == before) return p.t;
  table_free(p.t);
  return NULL;
}

static void append_cell(GString *out, const char *s) {
  if (!strpbrk(s, ",\"\n\r")) {
    g_string_append(out, s);
    return;
  }
  size_t need = csv_write(NULL, 0, s, strlen(s));
  char *buf = g_malloc(need + 1);
  csv_write(buf, need, s, strlen(s));
  g_string_append_len(out, buf, (gssize)need);
  g_free(buf);
}

char *table_write_csv(const Table *t) {
  GString *out = g_string_new(NULL);
  g_string_append_printf(out, "# version %" G_GUINT64_FORMAT "\nkind,name",
                         t->version);
  for (int i = 0; i < TABLE_COLUMN_COUNT; i++)
    g_string_append_printf(out, ",%s", columns[i].name);
  g_string_append_c(out, '\n');
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    g_string_append_printf(out, "%s,", kinds[r->kind]);
    append_cell(out, r->name);
    for (int c = 0; c < TABLE_COLUMN_COUNT; c++) {
      g_string_append_c(out, ',');
      append_cell(out, r->cells[c]);
    }
    g_string_append_c(out, '\n');
  }
  return g_string_free(out, FALSE);
}

/* == JSON == */

int table_part_index(const TableRow *r) {
  uint64_t h = XXH64(r->name, strlen(r->name), (XXH64_hash_t)r->kind);
  return (int)(h % TABLE_PART_COUNT);
}

char *table_encode_part(const Table *t, int part) {
  json_t *all = json_array();
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    if (table_part_index(r) != part) continue;
    json_t *o = json_pack("{s:s,s:s,s:I}", "kind", kinds[r->kind], "name",
                          r->name, "v", (json_int_t)r->version);
    for (int c = 0; c < TABLE_COLUMN_COUNT; c++)
      if (r->cells[c][0])
        json_object_set_new(o, columns[c].name, json_string(r->cells[c]));
    json_array_append_new(all, o);
  }
  char *s = json_dumps(all, JSON_COMPACT);
  json_decref(all);
  char *copy = g_strdup(s);
  free(s);
  return copy;
}

static bool decode_row(Table *t, json_t *o) {
  const char *kind, *name;
  json_int_t v;
  if (json_unpack(o, "{s:s,s:s,s:I}", "kind", &kind, "name", &name, "v", &v))
    return false;
  int k = parse_kind(kind);
  if (k < 0) return true; /* a kind that a newer release has added */
  TableRow r = {.kind = (TableKind)k, .version = (uint64_t)v};
  g_strlcpy(r.name, name, sizeof r.name);
  for (int c = 0; c < TABLE_COLUMN_COUNT; c++) {
    const char *s = json_string_value(json_object_get(o, columns[c].name));
    r.cells[c] = (char *)(s ? s : "");
  }
  table_put_row(t, &r);
  return true;
}

bool table_decode_part(Table *t, const char *text) {
  json_t *all = json_loads(text, 0, NULL), *o;
  size_t i;
  bool ok = json_is_array(all);
  json_array_foreach(all, i, o) ok = ok && decode_row(t, o);
  json_decref(all);
  return ok;
}
