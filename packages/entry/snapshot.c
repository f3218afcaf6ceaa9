/* snapshot.c: the RCU pointer to the snapshot in force, and look-ups in it. */
#include "entry/snapshot.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <urcu-bp.h>

typedef struct Snapshot {
  Table *table;
  /* key hash -> TableRow; owned by `table` */
  GHashTable *customers_by_key_hash;
} Snapshot;

struct Snapshots {
  Snapshot *current;    /* RCU-protected; readers copy what they need */
  pthread_mutex_t lock; /* serialises writers of `current` */
};

static Snapshot *snapshot_new(Table *t) {
  Snapshot *s = g_new0(Snapshot, 1);
  s->table = t;
  s->customers_by_key_hash = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < t->sorted_rows->len; i++) {
    TableRow *r = t->sorted_rows->pdata[i];
    if (r->kind == TABLE_CUSTOMER)
      g_hash_table_insert(s->customers_by_key_hash, r->cells[TABLE_KEY_HASH],
                          r);
  }
  return s;
}

static void snapshot_free(Snapshot *s) {
  g_hash_table_destroy(s->customers_by_key_hash);
  table_free(s->table);
  g_free(s);
}

Snapshots *snapshots_new(void) {
  Snapshots *s = g_new0(Snapshots, 1);
  s->current = snapshot_new(table_new());
  pthread_mutex_init(&s->lock, NULL);
  return s;
}

void snapshots_free(Snapshots *s) {
  snapshot_free(s->current);
  pthread_mutex_destroy(&s->lock);
  g_free(s);
}

bool snapshots_replace(Snapshots *s, Table *t) {
  pthread_mutex_lock(&s->lock);
  Snapshot *old = s->current;
  bool newer = t->version > old->table->version;
  if (newer) rcu_assign_pointer(s->current, snapshot_new(t));
  pthread_mutex_unlock(&s->lock);
  if (!newer) {
    table_free(t);
    return false;
  }
  synchronize_rcu(); /* waits until no reader uses `old` */
  snapshot_free(old);
  return true;
}

uint64_t snapshots_version(Snapshots *s) {
  rcu_read_lock();
  uint64_t v = rcu_dereference(s->current)->table->version;
  rcu_read_unlock();
  return v;
}

void snapshots_hash_key(const char *key, char out[65]) {
  char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
  g_strlcpy(out, hex, 65);
  g_free(hex);
}

/* Compares two hex hashes in constant time, so that the response time reveals
   nothing about the stored hash. */
static bool hashes_are_equal(const char *a, const char *b) {
  unsigned char diff = 0;
  for (int i = 0; i < 64; i++) diff |= (unsigned char)(a[i] ^ b[i]);
  return diff == 0;
}

bool snapshots_find_customer(Snapshots *s, const char *key,
                             EntryCustomer *out) {
  char hash[65];
  snapshots_hash_key(key, hash);
  rcu_read_lock();
  const Snapshot *current = rcu_dereference(s->current);
  const TableRow *r = g_hash_table_lookup(current->customers_by_key_hash, hash);
  bool found = r && hashes_are_equal(r->cells[TABLE_KEY_HASH], hash);
  if (found) {
    g_strlcpy(out->name, r->name, sizeof out->name);
    out->share = r->numbers[TABLE_SHARE];
    out->max_running = r->numbers[TABLE_MAX_RUNNING];
    out->max_tokens_per_min = r->numbers[TABLE_TOKENS_PER_MIN];
  }
  rcu_read_unlock();
  return found;
}

bool snapshots_find_service(Snapshots *s, const char *name, EntryService *out) {
  memset(out, 0, sizeof *out);
  rcu_read_lock();
  const Snapshot *current = rcu_dereference(s->current);
  const TableRow *r = table_find_row(current->table, TABLE_SERVICE, name);
  if (r) {
    const char *model = r->cells[TABLE_MODEL];
    g_strlcpy(out->name, r->name, sizeof out->name);
    out->is_plain = !model[0];
    snprintf(out->pool, sizeof out->pool, "%s/%s",
             out->is_plain ? "service" : "model",
             out->is_plain ? r->name : model);
    out->is_repeatable = r->numbers[TABLE_REPEATABLE] != 0;
    out->priority = (int)r->numbers[TABLE_PRIORITY];
    out->max_wait_s = (double)r->numbers[TABLE_MAX_WAIT_MS] / 1000.0;
    out->max_output_tokens = r->numbers[TABLE_MAX_OUTPUT_TOKENS];
    out->cost_tokens = r->numbers[TABLE_COST_TOKENS];
    g_strlcpy(out->adapter, r->cells[TABLE_ADAPTER], sizeof out->adapter);
    g_strlcpy(out->version, r->cells[TABLE_VERSION], sizeof out->version);
    g_strlcpy(out->dcs, r->cells[TABLE_DATACENTRE], sizeof out->dcs);
    out->max_running = r->numbers[TABLE_MAX_RUNNING];
  }
  rcu_read_unlock();
  return r != NULL;
}

bool snapshots_find_budget(Snapshots *s, const char *customer,
                           const char *service, char out[LIMIT_NAME_BYTES]) {
  char name[2 * LIMIT_NAME_BYTES];
  rcu_read_lock();
  const Table *t = rcu_dereference(s->current)->table;
  snprintf(name, sizeof name, "%s/%s", customer, service);
  bool found = table_find_row(t, TABLE_BUDGET, name) != NULL;
  if (!found) {
    snprintf(name, sizeof name, "%s/*", customer);
    found = table_find_row(t, TABLE_BUDGET, name) != NULL;
  }
  rcu_read_unlock();
  if (found) g_strlcpy(out, name, LIMIT_NAME_BYTES);
  return found;
}

void snapshots_read(Snapshots *s, void (*fn)(void *ctx, const Table *t),
                    void *ctx) {
  rcu_read_lock();
  fn(ctx, rcu_dereference(s->current)->table);
  rcu_read_unlock();
}
