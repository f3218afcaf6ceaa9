/* body.c: counts the bytes of all bodies that are held. */
#include "entry/body.h"

#include <stdatomic.h>

#include "kernel/buffer.h"
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

bool body_read(HttpStream *s, Connection *caller, GString *body,
               void (*first)(void *ctx), void *ctx) {
  char piece[PIECE_BYTES];
  long n;
  http_stream_limit(s);
  while ((n = http_stream_read(s, piece, sizeof piece)) > 0) {
    if (body->len == 0 && first) first(ctx);
    size_t bytes = body->len + (size_t)n;
    if (!may_hold(bytes) ||
        !connection_hold_answer(caller, bytes, LIMIT_PLAIN_ANSWER_BYTES))
      return false;
    buffer_append(body, piece, (size_t)n, 0);
    atomic_fetch_add(&held_bytes, n);
  }
  return n == 0;
}

void body_free(GString *body) {
  if (!body) return;
  atomic_fetch_sub(&held_bytes, (long long)body->len);
  g_string_free(body, TRUE);
}

struct MHD_Response *body_take(const char *type, GString *body) {
  atomic_fetch_sub(&held_bytes, (long long)body->len);
  return http_take_response(type, body);
}
