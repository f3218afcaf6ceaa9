/* booking.c: stand-in for a plain service whose calls may not be repeated: it
   counts every booking by the caller's key, so that a doubled one is seen.

   POST /book, GET /stats, POST /fault?mode=M  modes: none, lost (books, then
   hangs up without an answer), slow. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *counts; /* body -> how often it was booked */
static int bays;
static char mode[16] = "none";

static struct MHD_Response *book(const HttpReq *r, int *status) {
  if (strcmp(mode, "slow") == 0) g_usleep(1500000);
  pthread_mutex_lock(&lock);
  char *key = g_strndup(r->body->str, r->body->len);
  int n = GPOINTER_TO_INT(g_hash_table_lookup(counts, key)) + 1;
  g_hash_table_insert(counts, key, GINT_TO_POINTER(n));
  int bay = ++bays;
  pthread_mutex_unlock(&lock);
  if (strcmp(mode, "lost") == 0) return NULL;
  return fake_json_response(status, 201,
                            json_pack("{s:i,s:i}", "bay", bay, "times", n));
}

static struct MHD_Response *stats(int *status) {
  GHashTableIter it;
  gpointer v;
  int most = 0;
  pthread_mutex_lock(&lock);
  g_hash_table_iter_init(&it, counts);
  while (g_hash_table_iter_next(&it, NULL, &v))
    most = MAX(most, GPOINTER_TO_INT(v));
  json_t *o = json_pack("{s:i,s:i,s:i}", "bookings", bays, "distinct",
                        (int)g_hash_table_size(counts), "most_for_one", most);
  pthread_mutex_unlock(&lock);
  return fake_json_response(status, 200, o);
}

static struct MHD_Response *handle(void *ctx, HttpReq *r, int *status) {
  (void)ctx;
  if (strcmp(r->path, "/book") == 0) return book(r, status);
  if (strcmp(r->path, "/stats") == 0) return stats(status);
  if (strcmp(r->path, "/load") == 0)
    return fake_json_response(
        status, 200,
        json_pack("{s:i,s:i,s:i}", "running", 0, "waiting", 0, "slots", 32));
  if (strcmp(r->path, "/fault") == 0) {
    const char *m = http_arg(r, "mode");
    g_strlcpy(mode, m ? m : "none", sizeof mode);
    return fake_json_response(status, 200, json_object());
  }
  return fake_json_response(status, 404, json_object());
}

int main(int argc, char **argv) {
  if (argc != 2) {
    fprintf(stderr, "usage: fake_booking IP:PORT\n");
    return 2;
  }
  counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return fake_serve(argv[1], handle, 1000);
}
