/* checkpoint.c: a table of services. */
#include "route/checkpoint.h"

#include <glib.h>

#include "kernel/text.h"

#define MAX_SERVICES 4096 /* of one that is read */

typedef struct Service {
  uint64_t name, version, routes;
} Service;

struct Checkpoint {
  CheckpointPosition at;
  GHashTable *services; /* name -> Service */
};

Checkpoint *checkpoint_new(const CheckpointPosition *at) {
  Checkpoint *c = g_new0(Checkpoint, 1);
  c->at = *at;
  c->services =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return c;
}

void checkpoint_free(Checkpoint *c) {
  if (!c) return;
  g_hash_table_destroy(c->services);
  g_free(c);
}

CheckpointPosition checkpoint_position(const Checkpoint *c) {
  return c->at;
}

void checkpoint_add(Checkpoint *c, uint64_t service, uint64_t version,
                    uint64_t routes) {
  Service *s = g_new0(Service, 1);
  *s = (Service){service, version, routes};
  g_hash_table_replace(c->services, &s->name, s);
}

bool checkpoint_find(const Checkpoint *c, uint64_t service, uint64_t routes,
                     uint64_t *version) {
  const Service *s = g_hash_table_lookup(c->services, &service);
  if (!s || s->routes != routes) return false;
  *version = s->version;
  return true;
}

int checkpoint_count(const Checkpoint *c) {
  return (int)g_hash_table_size(c->services);
}

void checkpoint_apply_target(Checkpoint *c, uint64_t service,
                             uint64_t version) {
  const Service *s = g_hash_table_lookup(c->services, &service);
  if (s && s->version != version) g_hash_table_remove(c->services, &service);
}

void checkpoint_apply_routes(Checkpoint *c, uint64_t service, uint64_t routes) {
  const Service *s = g_hash_table_lookup(c->services, &service);
  if (s && s->routes != routes) g_hash_table_remove(c->services, &service);
}

void checkpoint_for_each(Checkpoint *c, void (*fn)(void *ctx, uint64_t service),
                         void *ctx) {
  GList *names = g_hash_table_get_keys(c->services);
  for (GList *l = names; l; l = l->next) fn(ctx, *(const uint64_t *)l->data);
  g_list_free(names);
}

void checkpoint_advance(Checkpoint *c, const CheckpointPosition *at) {
  c->at.targets = MAX(c->at.targets, at->targets);
  c->at.conf = MAX(c->at.conf, at->conf);
}

/* == in the store == */

json_t *checkpoint_write(const Checkpoint *c) {
  json_t *rows = json_array();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, c->services);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Service *s = v;
    json_array_append_new(rows, json_pack("[o,o,o]", text_json_hash(s->name),
                                          text_json_hash(s->version),
                                          text_json_hash(s->routes)));
  }
  return json_pack("{s:I,s:I,s:o}", "targets", (json_int_t)c->at.targets,
                   "conf", (json_int_t)c->at.conf, "services", rows);
}

static bool read_row(Checkpoint *c, const json_t *row) {
  uint64_t v[3];
  for (size_t i = 0; i < G_N_ELEMENTS(v); i++)
    if (!text_read_hash(json_array_get(row, i), &v[i])) return false;
  checkpoint_add(c, v[0], v[1], v[2]);
  return true;
}

Checkpoint *checkpoint_read(const json_t *content) {
  const json_t *targets = json_object_get(content, "targets");
  const json_t *conf = json_object_get(content, "conf");
  const json_t *rows = json_object_get(content, "services");
  if (json_integer_value(targets) <= 0 || json_integer_value(conf) <= 0 ||
      !json_is_array(rows) || json_array_size(rows) > MAX_SERVICES)
    return NULL;
  CheckpointPosition at = {(uint64_t)json_integer_value(targets),
                           (uint64_t)json_integer_value(conf)};
  Checkpoint *c = checkpoint_new(&at);
  bool sound = true;
  for (size_t i = 0; i < json_array_size(rows); i++)
    sound = sound && read_row(c, json_array_get(rows, i));
  if (sound) return c;
  checkpoint_free(c);
  return NULL;
}
