/* engine.c: client of engines that offer the public chat completions API. */
#include "target/engine.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/clock.h"

#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 60
#define CONTROL_TIMEOUT_S 1 /* of load, cancel and adapter calls */

HttpStream *engine_start(HttpClient *c, const EngineCall *call,
                         HttpResponse *a) {
  char priority[16];
  snprintf(priority, sizeof priority, "%d", call->priority);
  const char *headers[] = {"Content-Type",
                           "application/json",
                           "X-Request-Id",
                           call->id,
                           "X-Priority",
                           priority,
                           NULL};
  HttpClientRequest http = {.method = "POST",
                            .path = "/v1/chat/completions",
                            .headers = headers,
                            .body = call->body,
                            .body_bytes = call->len};
  return http_stream_open(c, &http, false, a);
}

HttpStream *engine_resume(HttpClient *c, const char *id, int n_events,
                          HttpResponse *a) {
  char path[192];
  snprintf(path, sizeof path, "/resume?id=%s&from=%d", id, n_events);
  return http_stream_open(
      c, &(HttpClientRequest){.method = "GET", .path = path}, false, a);
}

/* Makes a call with a short timeout. Returns the answer's JSON if its status is
   200, else NULL; *status is 0 without an answer. */
static json_t *control_call(const char *url, const HttpClientRequest *call,
                            int *status) {
  HttpClient *c = http_client_new(url, CONTROL_TIMEOUT_S, CONTROL_TIMEOUT_S);
  HttpResponse a;
  *status = 0;
  if (!c) return NULL;
  http_client_request(c, call, 1 << 16, &a);
  json_t *o = NULL;
  *status = a.status;
  if (a.status == 200 && a.complete)
    o = json_loadb(a.body->str, a.body->len, 0, NULL);
  http_response_free(&a);
  http_client_free(c);
  return o;
}

static json_t *call_json(const char *url, const char *method,
                         const char *path) {
  int status;
  return control_call(url, &(HttpClientRequest){.method = method, .path = path},
                      &status);
}

PlaceOrderResult engine_set_adapters(const char *url, uint64_t fence,
                                     const char *list) {
  char path[64];
  int status, busy = 0;
  json_t *names = json_array();
  char **parts = g_strsplit(list, ";", -1);
  for (int i = 0; parts[i]; i++)
    if (parts[i][0]) json_array_append_new(names, json_string(parts[i]));
  g_strfreev(parts);
  json_t *body = json_pack("{s:o}", "adapters", names);
  char *text = json_dumps(body, JSON_COMPACT);
  snprintf(path, sizeof path, "/adapters?fence=%" PRIu64, fence);
  HttpClientRequest call = {
      .method = "POST", .path = path, .body = text, .body_bytes = strlen(text)};
  json_t *o = control_call(url, &call, &status);
  bool ok = o && json_unpack(o, "{s:b}", "loading", &busy) == 0;
  free(text);
  json_decref(body);
  json_decref(o);
  if (status == 409) return PLACE_FENCED;
  if (!ok) return PLACE_FAILED;
  return busy ? PLACE_LOADING : PLACE_DONE;
}

int64_t engine_cancel(const char *url, const char *id) {
  char path[192];
  snprintf(path, sizeof path, "/cancel?id=%s", id);
  json_t *o = call_json(url, "POST", path);
  json_int_t prompt, output;
  int64_t n = -1;
  if (o && json_unpack(o, "{s:I,s:I}", "prompt_tokens", &prompt,
                       "completion_tokens", &output) == 0)
    n = prompt + output;
  json_decref(o);
  return n;
}

bool engine_get_load(const char *url, EngineLoad *load, double *round_trip_s) {
  double before = clock_now();
  json_t *o = call_json(url, "GET", "/load");
  *round_trip_s = clock_now() - before;
  bool ok = o && json_unpack(o, "{s:i,s:i}", "running", &load->running,
                             "waiting", &load->waiting) == 0;
  json_decref(o);
  return ok;
}

int64_t engine_usage_tokens(json_t *answer) {
  json_t *total =
      json_object_get(json_object_get(answer, "usage"), "total_tokens");
  return json_is_integer(total) ? json_integer_value(total) : -1;
}

int64_t engine_requested_max_tokens(json_t *request) {
  json_t *n = json_object_get(request, "max_completion_tokens");
  if (!n) n = json_object_get(request, "max_tokens");
  return json_is_integer(n) ? json_integer_value(n) : 0;
}

void engine_set_model(json_t *request, const char *model, const char *adapter) {
  json_object_set_new(request, "model",
                      json_string(adapter[0] ? adapter : model));
}

void engine_limit_output(json_t *request, int64_t max_output) {
  json_object_del(request, "max_completion_tokens");
  json_object_set_new(request, "max_tokens", json_integer(max_output));
  if (json_is_true(json_object_get(request, "stream")))
    json_object_set_new(request, "stream_options",
                        json_pack("{s:b}", "include_usage", 1));
}
