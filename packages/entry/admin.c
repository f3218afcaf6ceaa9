/* admin.c: the admin API, used by the command loftpath. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "once/bill.h"
#include "ledger/shard.h"
#include "table/rollout.h"

#define STORE_TIMEOUT_S 3 /* of one call to the platform's store */
/* The status shows the store as down after this time without a response. */
#define STORE_DOWN_AFTER_S 10

static struct MHD_Response *create_json_response(json_t *o, int *status) {
  char *s = json_dumps(o, JSON_COMPACT);
  struct MHD_Response *response = entry_text_response("application/json", s);
  *status = 200;
  free(s);
  json_decref(o);
  return response;
}

/* == the table == */

/* read_object and write_object give rollout.c access to the store. */
static PlatformAnswer read_object(void *ctx, const char *name) {
  return platform_get(ctx, name);
}

static PlatformAnswer write_object(void *ctx, const char *name,
                                   uint64_t version, const char *text) {
  return platform_put(ctx, name, version, text);
}

static void copy_csv(void *ctx, const Table *t) {
  *(char **)ctx = table_write_csv(t);
}

static struct MHD_Response *show_table(Entry *e, HttpRequest *r, int *status) {
  (void)r;
  char *csv = NULL;
  snapshots_read(e->snapshots, copy_csv, &csv);
  struct MHD_Response *response = entry_text_response("text/csv", csv);
  g_free(csv);
  *status = 200;
  return response;
}

static struct MHD_Response *create_table_error_response(GPtrArray *errors,
                                                        int *status) {
  json_t *list = json_array();
  for (guint i = 0; i < errors->len; i++)
    json_array_append_new(list, json_string(errors->pdata[i]));
  json_t *o = json_pack("{s:{s:s,s:s,s:s,s:o}}", "error", "kind",
                        err_info(ERR_TABLE)->name, "message",
                        "the table was not accepted", "remedy",
                        err_info(ERR_TABLE)->remedy, "errors", list);
  struct MHD_Response *response = create_json_response(o, status);
  *status = err_info(ERR_TABLE)->status;
  return response;
}

/* Makes the body, a table in CSV, the next version. Arguments: `id` of the
   edit, by which a repeated request is recognised; `who` made it; `base`, the
   version that it was made on, in place of the one in the CSV. */
static struct MHD_Response *apply_table(Entry *e, HttpRequest *r, int *status) {
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  uint64_t base;
  Table *t = r->too_large ? NULL : table_read_csv(r->body->str, errors, &base);
  struct MHD_Response *response;
  if (!t) {
    response = create_table_error_response(errors, status);
    g_ptr_array_free(errors, TRUE);
    return response;
  }
  g_ptr_array_free(errors, TRUE);
  Err err = {0};
  RolloutEdit edit = {.base_version = base};
  const char *id = http_request_argument(r, "id"),
             *who = http_request_argument(r, "who");
  const char *base_argument = http_request_argument(r, "base");
  g_strlcpy(edit.id, id ? id : "", sizeof edit.id);
  g_strlcpy(edit.author, who ? who : "unknown", sizeof edit.author);
  if (base_argument) edit.base_version = strtoull(base_argument, NULL, 10);
  if (!edit.id[0]) {
    err_set(&err, ERR_MALFORMED, "the edit has no id");
    response = entry_error_response(&err, NULL, status);
  } else {
    Platform *p = platform_open(e->options.platform, STORE_TIMEOUT_S);
    RolloutStore s = {read_object, write_object, p};
    uint64_t v = rollout_apply(&s, t, &edit, &err);
    platform_close(p);
    log_info("apply", "s:s,s:s,s:I,s:s", "edit", edit.id, "who", edit.author,
             "version", (json_int_t)v, "error", v ? "" : err.text);
    response = v ? create_json_response(
                       json_pack("{s:I}", "version", (json_int_t)v), status)
                 : entry_error_response(&err, NULL, status);
  }
  table_free(t);
  return response;
}

static struct MHD_Response *handle_table(Entry *e, HttpRequest *r,
                                         int *status) {
  bool post = strcmp(r->method, "POST") == 0;
  return post ? apply_table(e, r, status) : show_table(e, r, status);
}

static struct MHD_Response *handle_history(Entry *e, HttpRequest *r,
                                           int *status) {
  (void)r;
  Err err = {0};
  Platform *p = platform_open(e->options.platform, STORE_TIMEOUT_S);
  RolloutStore s = {read_object, write_object, p};
  char *text = rollout_history(&s, &err);
  platform_close(p);
  if (!text) return entry_error_response(&err, NULL, status);
  struct MHD_Response *response = entry_text_response("application/json", text);
  g_free(text);
  *status = 200;
  return response;
}

/* == budgets == */

/* The budgets of the table. The store keeps the state of all budgets in shards,
   one object each; a budget's name decides its shard. */
typedef struct BudgetNames {
  bool has_budgets[LIMIT_BUDGET_SHARDS]; /* by shard index */
  GPtrArray *names;
} BudgetNames;

static void collect_budgets(void *ctx, const Table *t) {
  BudgetNames *n = ctx;
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    if (r->kind != TABLE_BUDGET) continue;
    n->has_budgets[shard_index(r->name)] = true;
    g_ptr_array_add(n->names, g_strdup(r->name));
  }
}

/* "held" are the tokens of the grants less those already spent from them;
   "retired" are those lost with grants that were removed. */
static json_t *encode_budget(const ShardBudget *b) {
  int64_t granted = 0;
  int sealed_grants = 0;
  json_t *grants = json_array();
  for (guint i = 0; i < b->grants->len; i++) {
    const ShardGrant *g = b->grants->pdata[i];
    int64_t outstanding = shard_grant_outstanding(g);
    granted += outstanding;
    sealed_grants += g->sealed;
    json_array_append_new(
        grants, json_pack("{s:s,s:s,s:s,s:I,s:I,s:b}", "home", g->home,
                          "witness", g->witness, "region", g->region,
                          "outstanding", (json_int_t)outstanding, "spent",
                          (json_int_t)g->spent, "sealed", (int)g->sealed));
  }
  int64_t spent = shard_budget_spent(b);
  return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:i,s:o}", "name", b->name,
                   "total", (json_int_t)b->total, "spent", (json_int_t)spent,
                   "free", (json_int_t)shard_budget_remaining(b), "held",
                   (json_int_t)(granted - (spent - b->closed_spent)), "retired",
                   (json_int_t)b->written_off, "sealed", sealed_grants,
                   "grants", grants);
}

/* Appends the budgets of one shard to `list`. */
static bool append_shard_budgets(Platform *p, int index, const BudgetNames *n,
                                 json_t *list, Err *err) {
  char name[LIMIT_NAME_BYTES];
  shard_object_name(index, name);
  PlatformAnswer a = platform_get(p, name);
  if (a.kind != ERR_NONE && a.kind != ERR_STORE_ABSENT)
    return err_retry(err, a.kind, 2000, "the store did not give %s", name);
  Shard *s = a.text ? shard_decode(a.text) : shard_new();
  g_free(a.text);
  for (guint i = 0; s && i < n->names->len; i++) {
    const char *budget = n->names->pdata[i];
    if (shard_index(budget) != index) continue;
    json_array_append_new(list, encode_budget(shard_ensure_budget(s, budget)));
  }
  shard_free(s);
  return true;
}

static struct MHD_Response *handle_budgets(Entry *e, HttpRequest *r,
                                           int *status) {
  (void)r;
  BudgetNames n = {.names = g_ptr_array_new_with_free_func(g_free)};
  Err err = {0};
  bool ok = true;
  json_t *list = json_array();
  snapshots_read(e->snapshots, collect_budgets, &n);
  Platform *p = platform_open(e->options.platform, STORE_TIMEOUT_S);
  for (int i = 0; ok && i < LIMIT_BUDGET_SHARDS; i++)
    if (n.has_budgets[i]) ok = append_shard_budgets(p, i, &n, list, &err);
  platform_close(p);
  g_ptr_array_free(n.names, TRUE);
  if (ok) return create_json_response(list, status);
  json_decref(list);
  return entry_error_response(&err, NULL, status);
}

/* == bills == */

/* Sums over all stored batches of bills. A request may appear in several
   batches; only its first bill counts. */
typedef struct BillSums {
  /* seen_keys: set of the keys of the requests counted so far */
  json_t *seen_keys, *tokens_by_budget;
  int repeated_bills;
} BillSums;

static void add_bill(void *ctx, const BillItem *x) {
  BillSums *b = ctx;
  if (json_object_get(b->seen_keys, x->key)) {
    b->repeated_bills++;
    return;
  }
  json_object_set_new(b->seen_keys, x->key, json_true());
  json_int_t sum =
      json_integer_value(json_object_get(b->tokens_by_budget, x->budget));
  json_object_set_new(b->tokens_by_budget, x->budget,
                      json_integer(sum + x->tokens));
}

static struct MHD_Response *handle_bills(Entry *e, HttpRequest *r,
                                         int *status) {
  (void)r;
  Platform *p = platform_open(e->options.platform, STORE_TIMEOUT_S);
  PlatformAnswer all = platform_list(p, "bills/");
  Err err = {0};
  if (all.kind != ERR_NONE) {
    platform_close(p);
    err_retry(&err, all.kind, 2000, "the store did not list the bills");
    return entry_error_response(&err, NULL, status);
  }
  json_t *list = json_loads(all.text, 0, NULL), *o;
  BillSums b = {.seen_keys = json_object(), .tokens_by_budget = json_object()};
  size_t i;
  g_free(all.text);
  json_array_foreach(list, i, o) {
    const char *name = json_string_value(json_object_get(o, "name"));
    PlatformAnswer a = platform_get(p, name);
    if (a.text) bill_decode_batch(a.text, add_bill, &b);
    g_free(a.text);
  }
  platform_close(p);
  json_t *out = json_pack(
      "{s:I,s:i,s:o}", "requests", (json_int_t)json_object_size(b.seen_keys),
      "repeated_lines", b.repeated_bills, "budgets", b.tokens_by_budget);
  json_decref(list);
  json_decref(b.seen_keys);
  return create_json_response(out, status);
}

/* == targets, instances, status == */

static void append_target(void *ctx, const char *pool, const RouteState *s) {
  json_array_append_new(
      ctx,
      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:b,s:f,s:f,s:I}",
                "name", s->target.name, "pool", pool, "datacentre",
                s->target.dc, "url", s->target.url, "adapters",
                s->target.adapters, "given", s->assigned_adapters, "slots",
                s->target.slots, "running", s->running, "waiting", s->waiting,
                "own", s->own_open, "leaving", (int)s->leaving, "ejected",
                (int)s->ejected, "age", s->report_age_s, "path", s->path_s,
                "failures", (json_int_t)s->failures));
}

static struct MHD_Response *handle_targets(Entry *e, HttpRequest *r,
                                           int *status) {
  (void)r;
  json_t *list = json_array();
  pools_visit_targets(e->pools, append_target, list);
  return create_json_response(list, status);
}

static json_t *encode_instances(Entry *e) {
  View *v = fleet_copy_view(e->fleet);
  json_t *list = json_array();
  for (int i = 0; i < v->n; i++) {
    const Member *m = &v->list[i];
    json_array_append_new(
        list,
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:I,s:f}", "id", m->id, "region",
                  m->region, "datacentre", m->dc, "http", m->http, "peer",
                  m->peer, "leaving", (int)m->leaving, "table",
                  (json_int_t)m->table, "stuck_s", m->table_stale_s));
  }
  view_free(v);
  return list;
}

static struct MHD_Response *handle_instances(Entry *e, HttpRequest *r,
                                             int *status) {
  (void)r;
  return create_json_response(encode_instances(e), status);
}

static struct MHD_Response *handle_status(Entry *e, HttpRequest *r,
                                          int *status) {
  (void)r;
  json_t *list = json_array();
  pools_visit_targets(e->pools, append_target, list);
  int64_t store_unresponsive_s =
      clock_unix() - atomic_load(&e->store_answered_at);
  LedgerSums sums = fleet_sums(e->fleet);
  return create_json_response(
      json_pack("{s:s,s:I,s:b,s:I,s:i,s:b,s:I,s:I,s:o,s:o}", "instance",
                e->options.instance, "table",
                (json_int_t)snapshots_version(e->snapshots), "store_up",
                (int)(store_unresponsive_s < STORE_DOWN_AFTER_S),
                "store_silent_s", (json_int_t)store_unresponsive_s, "open",
                atomic_load(&e->open_requests), "draining",
                (int)atomic_load(&e->draining), "free", (json_int_t)sums.free,
                "home_free", (json_int_t)sums.home_free_tokens, "instances",
                encode_instances(e), "targets", list),
      status);
}

static struct MHD_Response *handle_drain(Entry *e, HttpRequest *r,
                                         int *status) {
  (void)r;
  entry_drain(e);
  return create_json_response(
      json_pack("{s:s}", "instance", e->options.instance), status);
}

static const struct {
  const char *path;
  struct MHD_Response *(*handle_request)(Entry *e, HttpRequest *r, int *status);
} endpoints[] = {
    {"/admin/table", handle_table},     {"/admin/history", handle_history},
    {"/admin/budgets", handle_budgets}, {"/admin/bills", handle_bills},
    {"/admin/targets", handle_targets}, {"/admin/instances", handle_instances},
    {"/admin/status", handle_status},   {"/admin/drain", handle_drain},
};

/* Compares the hashes in constant time, so that the response time reveals
   nothing about the key. */
static bool is_operator(const Entry *e, const HttpRequest *r) {
  const char *auth = http_request_header(r, "Authorization");
  const char *key = auth && g_str_has_prefix(auth, "Bearer ") ? auth + 7 : "";
  char expected_hash[65], given_hash[65];
  snapshots_hash_key(e->options.admin_key, expected_hash);
  snapshots_hash_key(key, given_hash);
  unsigned char diff = 0;
  for (int i = 0; i < 64; i++)
    diff |= (unsigned char)(expected_hash[i] ^ given_hash[i]);
  return e->options.admin_key[0] && diff == 0;
}

struct MHD_Response *admin_handle(Entry *e, HttpRequest *r, int *status) {
  Err err = {0};
  if (!is_operator(e, r)) {
    err_set(&err, ERR_UNAUTHORISED, "this is for operators");
    return entry_error_response(&err, NULL, status);
  }
  for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++)
    if (strcmp(r->path, endpoints[i].path) == 0)
      return endpoints[i].handle_request(e, r, status);
  err_set(&err, ERR_MALFORMED, "there is no call %.100s", r->path);
  struct MHD_Response *response = entry_error_response(&err, NULL, status);
  *status = 404;
  return response;
}
