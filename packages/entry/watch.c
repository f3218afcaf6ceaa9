/* watch.c: watches the table in the store and polls the platform's list of
   members. */
#include "entry/watch.h"

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "entry/poll.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "table/rollout.h"

#define WATCH_TIMEOUT_S 10 /* how long the store holds a watch open */
#define STORE_TIMEOUT_S 15 /* must exceed WATCH_TIMEOUT_S */
#define RETRY_DELAY_US 500000
#define REREAD_DELAY_US 100000

struct Watch {
  Entry *entry;
  atomic_bool stop;
  atomic_uint_fast64_t newest_reported_version; /* of the table */
  Poller *poller;
  pthread_t table_thread, members_thread;
};

static bool is_running(const Watch *w) {
  return !atomic_load(&w->stop);
}

static void record_store_answer(Watch *w) {
  atomic_store(&w->entry->store_answered_at, clock_unix());
}

/* == table == */

static PlatformAnswer read_object(void *ctx, const char *name) {
  return platform_get(ctx, name);
}

static void set_budgets(Watch *w, const Table *t) {
  GArray *list = g_array_new(FALSE, TRUE, sizeof(LedgerBudget));
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    const TableRow *r = t->sorted_rows->pdata[i];
    if (r->kind != TABLE_BUDGET) continue;
    LedgerBudget b = {.total = r->numbers[TABLE_PREPAID_TOKENS],
                      .version = r->version,
                      .outage_reserve_s = (double)r->numbers[TABLE_RESERVE_S]};
    g_strlcpy(b.name, r->name, sizeof b.name);
    g_array_append_val(list, b);
  }
  fleet_set_budgets(w->entry->fleet, (LedgerBudget *)(void *)list->data,
                    (int)list->len);
  g_array_free(list, TRUE);
}

static void apply_table(Watch *w, Table *t) {
  uint64_t v = t->version;
  if (v <= snapshots_version(w->entry->snapshots)) {
    table_free(t);
    return;
  }
  pools_set_table(w->entry->pools, t);
  poller_set_targets(w->poller);
  set_budgets(w, t);
  snapshots_replace(w->entry->snapshots, t);
  fleet_set_table_version(w->entry->fleet, v);
  log_info("table", "s:I", "version", (json_int_t)v);
}

/* Keeping the pointer is safe: the snapshot owns the table, and only this
   thread replaces it. */
static void get_table(void *ctx, const Table *t) {
  *(const Table **)ctx = t;
}

static void load_table(Watch *w, Platform *p) {
  RolloutStore s = {read_object, NULL, p};
  bool same;
  Err err = {0};
  const Table *have = NULL;
  snapshots_read(w->entry->snapshots, get_table, &have);
  Table *t = rollout_load(&s, have, &same, &err);
  if (t || same) record_store_answer(w);
  if (t) apply_table(w, t);
}

static uint64_t parse_revision(const char *text) {
  json_t *o = json_loads(text, 0, NULL);
  uint64_t n = (uint64_t)json_integer_value(json_object_get(o, "revision"));
  json_decref(o);
  return n;
}

/* A watch may miss events and a read may be stale. So the table is read after
   each watch, whatever its result, and while another instance reports a newer
   version. */
static void *watch_table(void *arg) {
  Watch *w = arg;
  Platform *p = platform_open(w->entry->options.platform, STORE_TIMEOUT_S);
  uint64_t revision = 0;
  while (is_running(w)) {
    load_table(w, p);
    if (atomic_load(&w->newest_reported_version) >
        snapshots_version(w->entry->snapshots)) {
      g_usleep(REREAD_DELAY_US);
      continue;
    }
    PlatformAnswer a = platform_watch(p, ROLLOUT_HEAD, revision,
                                      is_running(w) ? WATCH_TIMEOUT_S : 0);
    if (a.kind == ERR_NONE) {
      record_store_answer(w);
      revision = parse_revision(a.text);
    } else {
      g_usleep(RETRY_DELAY_US);
    }
    g_free(a.text);
  }
  platform_close(p);
  return NULL;
}

static void receive_view(void *ctx, const View *v) {
  Watch *w = ctx;
  pools_set_instance_count(w->entry->pools, v->n);
  poller_set_view(w->poller, v);
  for (int i = 0; i < v->n; i++)
    if (v->list[i].table > atomic_load(&w->newest_reported_version))
      atomic_store(&w->newest_reported_version, v->list[i].table);
}

/* == the platform's list == */

static bool parse_seed(json_t *o, MemberSeed *s) {
  const char *name, *kind = "instance", *peer = "", *state = "live";
  memset(s, 0, sizeof *s);
  if (json_unpack(o, "{s:s,s?s,s?s,s?s}", "name", &name, "kind", &kind, "peer",
                  &peer, "state", &state) != 0)
    return false;
  g_strlcpy(s->name, name, sizeof s->name);
  g_strlcpy(s->peer, peer, sizeof s->peer);
  s->target = strcmp(kind, "target") == 0;
  s->leaving = strcmp(state, "leaving") == 0;
  return true;
}

static void process_member_list(Watch *w, const char *text) {
  json_t *list = json_loads(text, 0, NULL), *o;
  GArray *seeds = g_array_new(FALSE, TRUE, sizeof(MemberSeed));
  size_t i;
  json_array_foreach(list, i, o) {
    MemberSeed s;
    if (!parse_seed(o, &s)) continue;
    g_array_append_val(seeds, s);
    if (s.target) pools_set_target_leaving(w->entry->pools, s.name, s.leaving);
  }
  fleet_set_listed_members(w->entry->fleet, (MemberSeed *)(void *)seeds->data,
                           (int)seeds->len);
  g_array_free(seeds, TRUE);
  json_decref(list);
}

static void *watch_members(void *arg) {
  Watch *w = arg;
  Platform *p = platform_open(w->entry->options.platform, 3);
  while (is_running(w)) {
    PlatformAnswer a = platform_members(p);
    if (a.kind == ERR_NONE) {
      record_store_answer(w);
      process_member_list(w, a.text);
    }
    g_free(a.text);
    for (int i = 0; i < 10 && is_running(w); i++)
      g_usleep((gulong)(MEMBER_POLL_S * 1e5));
  }
  platform_close(p);
  return NULL;
}

Watch *watch_open(Entry *e) {
  Watch *w = g_new0(Watch, 1);
  w->entry = e;
  w->poller = poller_open(e);
  fleet_on_view(e->fleet, receive_view, w);
  pthread_create(&w->table_thread, NULL, watch_table, w);
  pthread_create(&w->members_thread, NULL, watch_members, w);
  return w;
}

void watch_close(Watch *w) {
  atomic_store(&w->stop, true);
  fleet_on_view(w->entry->fleet, NULL, NULL);
  pthread_join(w->table_thread, NULL);
  pthread_join(w->members_thread, NULL);
  poller_close(w->poller);
  g_free(w);
}
