/* test_table.c: CSV, checks, difference and merge. */
#include <criterion/criterion.h>
#include <string.h>

#include "table/table.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define HEAD "kind,name,key,share,priority,repeat,url,datacentre,model,tokens\n"

static const char valid_csv[] = HEAD "customer,c," HASH ",50,,,,,,\n"
                                     "service,chat,,,2,,,,m,\n"
                                     "target,t,,,,,10.0.0.1:80,nord,m,\n"
                                     "budget,c/*,,,,,,,,1000\n";

static Table *parse(const char *csv) {
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  Table *t = table_read_csv(csv, errors, NULL);
  cr_assert(t, "%s", errors->len ? (char *)errors->pdata[0] : "");
  g_ptr_array_free(errors, TRUE);
  return t;
}

Test(table, csv_and_json_round_trips_are_lossless) {
  Table *t = parse(valid_csv);
  char *csv = table_write_csv(t);
  Table *u = parse(csv);
  GPtrArray *d = table_diff(t, u);
  cr_assert_eq(d->len, 0);
  Table *v = table_new();
  for (int i = 0; i < TABLE_PART_COUNT; i++) {
    char *part = table_encode_part(t, i);
    cr_assert(table_decode_part(v, part));
    g_free(part);
  }
  table_sort_rows(v);
  GPtrArray *e = table_diff(t, v);
  cr_assert_eq(e->len, 0);
  g_ptr_array_unref(d);
  g_ptr_array_unref(e);
  g_free(csv);
  table_free(t);
  table_free(u);
  table_free(v);
}

Test(table, errors_name_the_place_and_the_remedy) {
  static const struct {
    const char *csv, *expect;
  } cases[] = {
      {"", "start with a header"},
      {"kind,nmae\n", "no column is called 'nmae'"},
      {HEAD "custmer,c\n", "row 2 (c), column kind: 'custmer'"},
      {HEAD "customer,c,abc\n", "column key: not a SHA-256"},
      {HEAD "customer,c," HASH ",many\n", "column share: 'many'"},
      {HEAD "customer,c," HASH ",0\n", "whole number from 1"},
      {HEAD "customer,c," HASH ",,3\n", "a customer row has no priority"},
      {HEAD "service,s,,,,perhaps\n", "write yes or no"},
      {HEAD "target,t,,,,,nord:80,nord,m\n", "not ip:port"},
      {HEAD "target,t,,,,,1.2.3.4:80,,m\n", "column datacentre: empty"},
      {HEAD "target,t,,,,,1.2.3.4:80,nord,\n", "either model or serves"},
      {HEAD "budget,x/*,,,,,,,,10\n", "no customer row 'x'"},
      {HEAD "budget,x,,,,,,,,10\n", "customer/service"},
      {HEAD "customer,c," HASH "\ncustomer,c," HASH "\n", "a second customer"},
      {HEAD "customer,\"c\n", "quotes"},
      {HEAD "customer,c," HASH ",,,,,,,,,\n", "more cells"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    Table *t = table_read_csv(cases[i].csv, errors, NULL);
    cr_assert_null(t, "accepted: %s", cases[i].csv);
    cr_assert_gt(errors->len, 0);
    bool named = false;
    for (guint k = 0; k < errors->len; k++)
      named = named || strstr(errors->pdata[k], cases[i].expect);
    cr_assert(named, "case %zu: '%s'", i, (char *)errors->pdata[0]);
    g_ptr_array_free(errors, TRUE);
  }
}

/* Returns the table of `valid_csv` with `from` replaced by `to`. */
static Table *edited(const char *from, const char *to) {
  char **parts = g_strsplit(valid_csv, from, 2);
  char *csv = g_strjoinv(to, parts);
  Table *t = parse(csv);
  g_strfreev(parts);
  g_free(csv);
  return t;
}

Test(merge, edits_of_different_cells_are_both_applied) {
  Table *base = parse(valid_csv), *a = edited(",50,", ",70,");
  Table *b = edited(",1000", ",2000");
  char *conflict = NULL;
  uint64_t version;
  Table *m = table_merge(base, b, a, 3, &conflict, &version);
  cr_assert(m, "%s", conflict);
  cr_assert_eq(table_find_row(m, TABLE_CUSTOMER, "c")->numbers[TABLE_SHARE],
               70);
  const TableRow *budget = table_find_row(m, TABLE_BUDGET, "c/*");
  cr_assert_eq(budget->numbers[TABLE_PREPAID_TOKENS], 2000);
  cr_assert_eq(budget->version, 3);
  cr_assert_eq(table_find_row(m, TABLE_SERVICE, "chat")->version, 0);
  table_free(base);
  table_free(a);
  table_free(b);
  table_free(m);
}

Test(merge, conflicting_edits_of_a_cell_are_refused_and_named) {
  Table *base = parse(valid_csv), *a = edited(",50,", ",70,");
  Table *b = edited(",50,", ",80,");
  char *conflict = NULL;
  uint64_t version;
  cr_assert_null(table_merge(base, b, a, 3, &conflict, &version));
  cr_assert_str_eq(conflict, "customer c, column share");
  g_free(conflict);
  table_free(base);
  table_free(a);
  table_free(b);
}

Test(merge, added_and_removed_rows_are_merged) {
  Table *base = parse(valid_csv);
  Table *a = edited("service,chat", "service,other,,,1,,,,m,\nservice,chat");
  Table *b = edited("service,chat,,,2,,,,m,\n", "");
  char *conflict = NULL;
  uint64_t version;
  Table *m = table_merge(base, b, a, 3, &conflict, &version);
  cr_assert(m);
  cr_assert_not_null(table_find_row(m, TABLE_SERVICE, "other"));
  cr_assert_null(table_find_row(m, TABLE_SERVICE, "chat"));
  table_free(base);
  table_free(a);
  table_free(b);
  table_free(m);
}
