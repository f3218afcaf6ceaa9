/* body.c: counts the bytes of all bodies that are held. */
#include "entry/body.h"

#include <stdatomic.h>

#include "kernel/limits.h"

#define PIECE_BYTES 16384

static atomic_llong held_bytes;

/* As for callers' buffers, each may use half of what is free: a few that have
   no end leave room for the others, and short ones are never refused. */
static bool may_hold(size_t bytes) {
  long long left = LIMIT_ANSWERS_TOTAL_BYTES - atomic_load(&held_bytes);
  long long most =
      CLAMP(left / 2, LIMIT_PLAIN_ANSWER_BYTES, LIMIT_ANSWER_BYTES);
  return (long long)bytes <= most;
}

bool body_read(HttpStream *s, GString *body, void (*first)(void *ctx),
               void *ctx) {
  char piece[PIECE_BYTES];
  long n;
  http_stream_limit(s);
  while ((n = http_stream_read(s, piece, sizeof piece)) > 0) {
    if (body->len == 0 && first) first(ctx);
    if (!may_hold(body->len + (size_t)n)) return false;
    g_string_append_len(body, piece, n);
    atomic_fetch_add(&held_bytes, n);
  }
  return n == 0;
}

void body_free(GString *body) {
  if (!body) return;
  atomic_fetch_sub(&held_bytes, (long long)body->len);
  g_string_free(body, TRUE);
}
