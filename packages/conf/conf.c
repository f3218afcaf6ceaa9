/* conf.c: construction of a configuration, and lookups in it. */
#include "conf/conf.h"

#include <string.h>

static void free_route(gpointer p) {
  ConfRoute *r = p;
  for (int i = 0; i < r->n_splits; i++) g_free(r->splits[i].service);
  g_strfreev(r->regions);
  g_free(r->name);
  g_free(r->host);
  g_free(r->prefix);
  g_free(r);
}

static void free_service(gpointer p) {
  ConfService *s = p;
  g_free(s->name);
  g_free(s);
}

static void free_customer(gpointer p) {
  ConfCustomer *u = p;
  g_strfreev(u->regions);
  g_free(u->name);
  g_free(u);
}

static void free_list(gpointer p) {
  g_ptr_array_free(p, TRUE);
}

Conf *conf_new(void) {
  Conf *c = g_new0(Conf, 1);
  c->refs = 1;
  c->routes = g_ptr_array_new_with_free_func(free_route);
  c->customers = g_ptr_array_new_with_free_func(free_customer);
  c->services =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
  c->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_list);
  c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return c;
}

Conf *conf_ref(Conf *c) {
  c->refs++;
  return c;
}

void conf_unref(Conf *c) {
  if (!c || --c->refs > 0) return;
  g_hash_table_destroy(c->hosts);
  g_hash_table_destroy(c->keys);
  g_hash_table_destroy(c->services);
  g_ptr_array_free(c->routes, TRUE);
  g_ptr_array_free(c->customers, TRUE);
  g_free(c->text);
  g_free(c);
}

/* == construction == */

void conf_add_route(Conf *c, ConfRoute *r) {
  GPtrArray *list = g_hash_table_lookup(c->hosts, r->host);
  if (!list) {
    list = g_ptr_array_new();
    g_hash_table_insert(c->hosts, r->host, list);
  }
  g_ptr_array_add(list, r);
  g_ptr_array_add(c->routes, r);
}

void conf_add_service(Conf *c, ConfService *s) {
  g_hash_table_replace(c->services, s->name, s);
}

void conf_add_customer(Conf *c, ConfCustomer *u) {
  g_ptr_array_add(c->customers, u);
}

void conf_add_key(Conf *c, const char *key, ConfCustomer *u) {
  g_hash_table_replace(c->keys, g_strdup(key), u);
}

static gint compare_prefixes(gconstpointer a, gconstpointer b) {
  const ConfRoute *x = *(const ConfRoute *const *)a;
  const ConfRoute *y = *(const ConfRoute *const *)b;
  size_t m = strlen(x->prefix), n = strlen(y->prefix);
  return m < n ? 1 : m > n ? -1 : 0;
}

/* Applies a stream route's max_pause_s to its services. Streams of one service
   share its targets, so the shortest of its stream routes counts. */
static void apply_route_pause(Conf *c, const ConfRoute *r) {
  for (int i = 0; i < r->n_splits && r->kind == CONF_STREAM; i++) {
    ConfService *s = g_hash_table_lookup(c->services, r->splits[i].service);
    if (s)
      s->max_pause_s = s->max_pause_s > 0 ? MIN(s->max_pause_s, r->max_pause_s)
                                          : r->max_pause_s;
  }
}

void conf_finish(Conf *c) {
  GHashTableIter it;
  gpointer v;
  for (guint i = 0; i < c->routes->len; i++)
    apply_route_pause(c, c->routes->pdata[i]);
  g_hash_table_iter_init(&it, c->hosts);
  while (g_hash_table_iter_next(&it, NULL, &v))
    g_ptr_array_sort(v, compare_prefixes);
}

/* == lookups == */

const ConfRoute *conf_find_route(const Conf *c, const char *host,
                                 const char *path) {
  const GPtrArray *list = g_hash_table_lookup(c->hosts, host);
  for (guint i = 0; list && i < list->len; i++) {
    const ConfRoute *r = list->pdata[i];
    if (g_str_has_prefix(path, r->prefix)) return r;
  }
  return NULL;
}

const ConfCustomer *conf_find_customer(const Conf *c, const char *key) {
  return g_hash_table_lookup(c->keys, key);
}

const ConfService *conf_find_service(const Conf *c, const char *name) {
  return g_hash_table_lookup(c->services, name);
}

const char *conf_choose_service(const ConfRoute *r, double fraction) {
  double total = 0;
  for (int i = 0; i < r->n_splits; i++) total += r->splits[i].weight;
  double at = fraction * total;
  for (int i = 0; i < r->n_splits; i++) {
    at -= r->splits[i].weight;
    if (at < 0) return r->splits[i].service;
  }
  return r->n_splits > 0 ? r->splits[0].service : NULL;
}
