/* platform.c: paths, headers and status codes of the platform's API. */
#include "store/platform.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "kernel/count.h"
#include "kernel/limits.h"

struct Platform {
  HttpClient *http;
};

Platform *platform_open(const char *addr, int timeout_s) {
  HttpClient *c = http_client_new(addr, timeout_s, timeout_s);
  if (!c) return NULL;
  Platform *p = g_new0(Platform, 1);
  p->http = c;
  return p;
}

void platform_close(Platform *p) {
  if (!p) return;
  http_client_free(p->http);
  g_free(p);
}

/* A body that is not framed and was cut ends like a whole one. All answers and
   objects are JSON, which shows whether one is whole. */
static bool is_whole(const HttpResponse *a) {
  if (!a->complete || a->framed) return a->complete;
  json_t *o = json_loadb(a->body->str, a->body->len, 0, NULL);
  bool whole = o != NULL;
  json_decref(o);
  return whole;
}

static ErrKind answer_kind(const HttpResponse *a) {
  if (a->status == 200 && is_whole(a)) return ERR_NONE;
  if (a->status == 200) return ERR_STORE_UNKNOWN;
  if (a->status == 404) return ERR_STORE_ABSENT;
  if (a->status == 412) return ERR_STORE_CONFLICT;
  if (a->status == 429) return ERR_STORE_RATE;
  if (a->status == 0 && !a->sent) return ERR_STORE_DOWN;
  /* The request was sent without a clear answer: a write may have taken effect.
   */
  return ERR_STORE_UNKNOWN;
}

static PlatformAnswer send_call(Platform *p, const HttpClientRequest *c) {
  HttpResponse a;
  http_client_request(p->http, c, LIMIT_OBJECT_BYTES * 2, &a);
  PlatformAnswer r = {.kind = answer_kind(&a)};
  if (r.kind == ERR_STORE_CONFLICT) count_add(COUNT_STORE_CONFLICTS, 1);
  if (r.kind >= ERR_STORE_DOWN && r.kind <= ERR_STORE_UNKNOWN)
    count_add(COUNT_STORE_FAILURES, 1);
  if (r.kind == ERR_NONE) {
    const char *digits = a.etag[0] == '"' ? a.etag + 1 : a.etag;
    r.version = strtoull(digits, NULL, 10);
    r.text = g_string_free(a.body, FALSE);
    a.body = NULL;
  }
  http_response_free(&a);
  return r;
}

static PlatformAnswer read_path(Platform *p, const char *path) {
  count_add(COUNT_STORE_READS, 1);
  return send_call(p, &(HttpClientRequest){.method = "GET", .path = path});
}

PlatformAnswer platform_get(Platform *p, const char *name) {
  char path[256];
  snprintf(path, sizeof path, "/objects/%s", name);
  return read_path(p, path);
}

PlatformAnswer platform_put(Platform *p, const char *name, uint64_t version,
                            const char *text) {
  char path[256], match[32];
  snprintf(path, sizeof path, "/objects/%s", name);
  snprintf(match, sizeof match, "\"%" PRIu64 "\"", version);
  const char *headers[] = {version ? "If-Match" : "If-None-Match",
                           version ? match : "*", "Content-Type",
                           "application/json", NULL};
  count_add(COUNT_STORE_WRITES, 1);
  return send_call(p, &(HttpClientRequest){.method = "PUT",
                                           .path = path,
                                           .headers = headers,
                                           .body = text,
                                           .body_bytes = strlen(text)});
}

PlatformAnswer platform_delete(Platform *p, const char *name) {
  char path[256];
  snprintf(path, sizeof path, "/objects/%s", name);
  count_add(COUNT_STORE_WRITES, 1);
  return send_call(p, &(HttpClientRequest){.method = "DELETE", .path = path});
}

PlatformAnswer platform_list(Platform *p, const char *prefix) {
  char path[256];
  snprintf(path, sizeof path, "/objects?prefix=%s", prefix);
  return read_path(p, path);
}

PlatformAnswer platform_watch(Platform *p, const char *prefix,
                              uint64_t revision, int wait_s) {
  char path[256];
  snprintf(path, sizeof path, "/watch?prefix=%s&since=%" PRIu64 "&wait=%d",
           prefix, revision, wait_s);
  return read_path(p, path);
}

PlatformAnswer platform_members(Platform *p) {
  return read_path(p, "/instances");
}
