/* booking.c: stand-in for a plain service whose calls are not repeatable. It
   counts the bookings of each request body, so that duplicates are detected.

   POST /book, GET /stats, POST /fault?mode=M  modes: none, lost (books, then
   closes the connection without a response), slow. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *bookings_by_body; /* request body -> number of bookings */
static int booking_count;
static char fault_mode[16] = "none";

static struct MHD_Response *handle_booking(const HttpRequest *r, int *status) {
  if (strcmp(fault_mode, "slow") == 0) g_usleep(1500000);
  pthread_mutex_lock(&lock);
  char *key = g_strndup(r->body->str, r->body->len);
  int n = GPOINTER_TO_INT(g_hash_table_lookup(bookings_by_body, key)) + 1;
  g_hash_table_insert(bookings_by_body, key, GINT_TO_POINTER(n));
  int bay = ++booking_count;
  pthread_mutex_unlock(&lock);
  if (strcmp(fault_mode, "lost") == 0) return NULL;
  return fake_json_response(status, 201,
                            json_pack("{s:i,s:i}", "bay", bay, "times", n));
}

static struct MHD_Response *report_stats(int *status) {
  GHashTableIter it;
  gpointer v;
  int max_bookings = 0;
  pthread_mutex_lock(&lock);
  g_hash_table_iter_init(&it, bookings_by_body);
  while (g_hash_table_iter_next(&it, NULL, &v))
    max_bookings = MAX(max_bookings, GPOINTER_TO_INT(v));
  json_t *o = json_pack("{s:i,s:i,s:i}", "bookings", booking_count, "distinct",
                        (int)g_hash_table_size(bookings_by_body),
                        "most_for_one", max_bookings);
  pthread_mutex_unlock(&lock);
  return fake_json_response(status, 200, o);
}

static struct MHD_Response *handle_request(void *ctx, HttpRequest *r,
                                           int *status) {
  (void)ctx;
  if (strcmp(r->path, "/book") == 0) return handle_booking(r, status);
  if (strcmp(r->path, "/stats") == 0) return report_stats(status);
  if (strcmp(r->path, "/load") == 0)
    return fake_json_response(
        status, 200,
        json_pack("{s:i,s:i,s:i}", "running", 0, "waiting", 0, "slots", 32));
  if (strcmp(r->path, "/fault") == 0) {
    const char *m = http_request_argument(r, "mode");
    g_strlcpy(fault_mode, m ? m : "none", sizeof fault_mode);
    return fake_json_response(status, 200, json_object());
  }
  return fake_json_response(status, 404, json_object());
}

int main(int argc, char **argv) {
  if (argc != 2) {
    fprintf(stderr, "usage: fake_booking IP:PORT\n");
    return 2;
  }
  bookings_by_body =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return fake_serve(argv[1], handle_request, 1000);
}
