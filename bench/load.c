/* load.c: runs streaming callers and measures the latency of the first token
   and the gaps between tokens.

   Usage: bench_load IP:PORT KEY MODEL THREADS REQUESTS TOKENS
   Prints one JSON line. */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "kernel/clock.h"

typedef struct Caller {
  pthread_t thread;
  GArray *first, *gaps; /* seconds */
  int ok, failed;
} Caller;

static const char *addr, *key, *model;
static int tokens;
static atomic_int requests_left;

static void read_stream(Caller *c, HttpStream *s, double sent) {
  char buf[8192];
  double last = 0;
  long n;
  bool done = false;
  while ((n = http_stream_read(s, buf, sizeof buf - 1)) > 0) {
    double now = clock_now(), gap = now - (last > 0 ? last : sent);
    buf[n] = '\0';
    g_array_append_val(last > 0 ? c->gaps : c->first, gap);
    last = now;
    done = done || strstr(buf, "[DONE]");
  }
  if (n == 0 && done)
    c->ok++;
  else
    c->failed++;
}

static void run_request(Caller *c) {
  char auth[128], body[256];
  snprintf(auth, sizeof auth, "Bearer %s", key);
  snprintf(body, sizeof body,
           "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":"
           "[{\"role\":\"user\",\"content\":\"hello\"}]}",
           model, tokens);
  const char *headers[] = {"Authorization", auth, "Content-Type",
                           "application/json", NULL};
  HttpClient *http = http_client_new(addr, 10, 60);
  HttpResponse a;
  HttpClientRequest call = {.method = "POST",
                            .path = "/v1/chat/completions",
                            .headers = headers,
                            .body = body,
                            .body_bytes = strlen(body)};
  double sent = clock_now();
  HttpStream *s = http_stream_open(http, &call, false, &a);
  if (s && a.status == 200)
    read_stream(c, s, sent);
  else
    c->failed++;
  http_stream_close(s);
  http_client_free(http);
}

static void *run_caller(void *arg) {
  while (atomic_fetch_sub(&requests_left, 1) > 0) run_request(arg);
  return NULL;
}

static int compare_doubles(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double quantile(GArray *a, double q) {
  if (a->len == 0) return 0;
  return g_array_index(a, double, (guint)(q * (a->len - 1)));
}

int main(int argc, char **argv) {
  if (argc != 7) {
    fprintf(stderr,
            "usage: bench_load IP:PORT KEY MODEL THREADS REQUESTS TOKENS\n");
    return 2;
  }
  addr = argv[1];
  key = argv[2];
  model = argv[3];
  int n = atoi(argv[4]), requests = atoi(argv[5]);
  tokens = atoi(argv[6]);
  atomic_store(&requests_left, requests);
  Caller *callers = g_new0(Caller, n);
  GArray *first = g_array_new(FALSE, FALSE, sizeof(double));
  GArray *gaps = g_array_new(FALSE, FALSE, sizeof(double));
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, 256 << 10);
  double start = clock_now();
  for (int i = 0; i < n; i++) {
    callers[i].first = g_array_new(FALSE, FALSE, sizeof(double));
    callers[i].gaps = g_array_new(FALSE, FALSE, sizeof(double));
    pthread_create(&callers[i].thread, &attr, run_caller, &callers[i]);
  }
  int ok = 0, failed = 0;
  for (int i = 0; i < n; i++) {
    pthread_join(callers[i].thread, NULL);
    ok += callers[i].ok;
    failed += callers[i].failed;
    g_array_append_vals(first, callers[i].first->data, callers[i].first->len);
    g_array_append_vals(gaps, callers[i].gaps->data, callers[i].gaps->len);
  }
  double took = clock_now() - start;
  qsort(first->data, first->len, sizeof(double), compare_doubles);
  qsort(gaps->data, gaps->len, sizeof(double), compare_doubles);
  printf("{\"ok\":%d,\"failed\":%d,\"seconds\":%.2f,\"requests_s\":%.0f,"
         "\"tokens_s\":%.0f,\"first_ms_50\":%.3f,\"first_ms_99\":%.3f,"
         "\"gap_ms_50\":%.3f,\"gap_ms_99\":%.3f}\n",
         ok, failed, took, ok / took, (double)ok * tokens / took,
         quantile(first, 0.5) * 1e3, quantile(first, 0.99) * 1e3,
         quantile(gaps, 0.5) * 1e3, quantile(gaps, 0.99) * 1e3);
  return failed ? 1 : 0;
}
