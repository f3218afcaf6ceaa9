/* platform.c: stand-in for the platform's object API: versions, conditional
   updates, watches, an instance list, call counts and injected faults.

   POST /fault?mode=M&ms=N  modes: none, down, slow, lose (writes take effect
   and the response is lost), stale (reads return the previous version).
   GET /stats. PUT /instances/NAME (JSON body), DELETE /instances/NAME. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"

typedef struct Object {
  char *text, *previous; /* the current and the previous value */
  uint64_t version, previous_version, revision;
} Object;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *objects, *members;
static uint64_t revision, reads, writes, conflicts;
static char fault_mode[16] = "none";
static int fault_ms;

static struct MHD_Response *reply(int *status, int code, const char *text) {
  *status = code;
  return http_text_response("application/json", text, strlen(text));
}

static void add_etag(struct MHD_Response *m, uint64_t version) {
  char s[32];
  snprintf(s, sizeof s, "\"%llu\"", (unsigned long long)version);
  MHD_add_response_header(m, "ETag", s);
}

/* == objects; the caller holds `lock` == */

static struct MHD_Response *get_object(const char *name, int *status) {
  const Object *o = g_hash_table_lookup(objects, name);
  if (!o) return reply(status, 404, "{}");
  bool stale = strcmp(fault_mode, "stale") == 0 && o->previous;
  struct MHD_Response *m = reply(status, 200, stale ? o->previous : o->text);
  add_etag(m, stale ? o->previous_version : o->version);
  return m;
}

static bool precondition_holds(const HttpRequest *r, const Object *o) {
  const char *match = http_request_header(r, "If-Match");
  const char *none = http_request_header(r, "If-None-Match");
  if (none) return o == NULL;
  if (!match) return true;
  return o && strtoull(match + (match[0] == '"'), NULL, 10) == o->version;
}

static struct MHD_Response *put_object(const HttpRequest *r, const char *name,
                                       int *status) {
  Object *o = g_hash_table_lookup(objects, name);
  if (r->too_large) return reply(status, 413, "{}");
  if (!precondition_holds(r, o)) {
    conflicts++;
    return reply(status, 412, "{}");
  }
  if (!o) {
    o = g_new0(Object, 1);
    g_hash_table_insert(objects, g_strdup(name), o);
  }
  g_free(o->previous);
  o->previous = o->text;
  o->previous_version = o->version;
  o->text = g_strndup(r->body->str, r->body->len);
  o->version++;
  o->revision = ++revision;
  pthread_cond_broadcast(&changed);
  struct MHD_Response *m = reply(status, 200, "{}");
  add_etag(m, o->version);
  return m;
}

static struct MHD_Response *delete_object(const char *name, int *status) {
  bool existed = g_hash_table_remove(objects, name);
  return reply(status, existed ? 200 : 404, "{}");
}

static json_t *list_objects(const char *prefix, uint64_t since) {
  json_t *a = json_array();
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, objects);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const Object *o = v;
    if (!g_str_has_prefix(k, prefix) || o->revision <= since) continue;
    json_array_append_new(a, json_pack("{s:s,s:I}", "name", (char *)k,
                                       "version", (json_int_t)o->version));
  }
  return a;
}

static struct MHD_Response *watch_objects(const HttpRequest *r, int *status) {
  const char *prefix = http_request_argument(r, "prefix"),
             *since = http_request_argument(r, "since");
  const char *wait = http_request_argument(r, "wait");
  uint64_t from = since ? strtoull(since, NULL, 10) : 0;
  struct timespec until;
  clock_gettime(CLOCK_REALTIME, &until);
  until.tv_sec += wait ? atoi(wait) : 10;
  json_t *a;
  for (;;) {
    a = list_objects(prefix ? prefix : "", from);
    if (json_array_size(a) > 0) break;
    if (pthread_cond_timedwait(&changed, &lock, &until) != 0) break;
    json_decref(a);
  }
  return fake_json_response(
      status, 200,
      json_pack("{s:I,s:o}", "revision", (json_int_t)revision, "changed", a));
}

/* == instances == */

static struct MHD_Response *update_member(const HttpRequest *r,
                                          const char *name, int *status) {
  if (strcmp(r->method, "DELETE") == 0) {
    g_hash_table_remove(members, name);
    return reply(status, 200, "{}");
  }
  json_t *o = json_loadb(r->body->str, r->body->len, 0, NULL);
  if (!json_is_object(o)) return reply(status, 400, "{}");
  json_object_set_new(o, "name", json_string(name));
  g_hash_table_insert(members, g_strdup(name), o);
  return reply(status, 200, "{}");
}

static struct MHD_Response *list_members(int *status) {
  json_t *a = json_array();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, members);
  while (g_hash_table_iter_next(&it, NULL, &v)) json_array_append(a, v);
  return fake_json_response(status, 200, a);
}

/* == faults == */

static struct MHD_Response *set_fault(const HttpRequest *r, int *status) {
  const char *m = http_request_argument(r, "mode"),
             *ms = http_request_argument(r, "ms");
  g_strlcpy(fault_mode, m ? m : "none", sizeof fault_mode);
  fault_ms = ms ? atoi(ms) : 0;
  return reply(status, 200, "{}");
}

static struct MHD_Response *report_stats(int *status) {
  return fake_json_response(
      status, 200,
      json_pack("{s:I,s:I,s:I,s:I}", "reads", (json_int_t)reads, "writes",
                (json_int_t)writes, "conflicts", (json_int_t)conflicts,
                "objects", (json_int_t)g_hash_table_size(objects)));
}

static struct MHD_Response *serve_platform(const HttpRequest *r, int *status) {
  bool is_get = strcmp(r->method, "GET") == 0;
  bool is_put = strcmp(r->method, "PUT") == 0;
  bool is_delete = strcmp(r->method, "DELETE") == 0;
  if (is_get) reads++;
  if (is_put || is_delete) writes++;
  if (strcmp(fault_mode, "down") == 0) return reply(status, 503, "{}");
  if (strcmp(r->path, "/watch") == 0) return watch_objects(r, status);
  if (strcmp(r->path, "/instances") == 0) return list_members(status);
  if (strcmp(r->path, "/objects") == 0) {
    const char *prefix = http_request_argument(r, "prefix");
    return fake_json_response(status, 200,
                              list_objects(prefix ? prefix : "", 0));
  }
  if (!g_str_has_prefix(r->path, "/objects/")) return reply(status, 404, "{}");
  const char *name = r->path + strlen("/objects/");
  if (is_get) return get_object(name, status);
  if (!is_put && !is_delete) return reply(status, 405, "{}");
  struct MHD_Response *m =
      is_put ? put_object(r, name, status) : delete_object(name, status);
  if (strcmp(fault_mode, "lose") == 0) { /* took effect; the response is lost */
    MHD_destroy_response(m);
    return NULL;
  }
  return m;
}

static struct MHD_Response *handle_request(void *ctx, HttpRequest *r,
                                           int *status) {
  (void)ctx;
  struct MHD_Response *m;
  pthread_mutex_lock(&lock);
  int delay_ms = strcmp(fault_mode, "slow") == 0 ? fault_ms : 0;
  bool is_control = true;
  if (strcmp(r->path, "/fault") == 0)
    m = set_fault(r, status);
  else if (strcmp(r->path, "/stats") == 0)
    m = report_stats(status);
  else if (g_str_has_prefix(r->path, "/instances/"))
    m = update_member(r, r->path + strlen("/instances/"), status);
  else
    is_control = false;
  if (!is_control) {
    if (delay_ms > 0) {
      pthread_mutex_unlock(&lock);
      g_usleep((gulong)delay_ms * 1000);
      pthread_mutex_lock(&lock);
    }
    m = serve_platform(r, status);
  }
  pthread_mutex_unlock(&lock);
  return m;
}

int main(int argc, char **argv) {
  if (argc != 2) {
    fprintf(stderr, "usage: fake_platform IP:PORT\n");
    return 2;
  }
  objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return fake_serve(argv[1], handle_request, 2000);
}
