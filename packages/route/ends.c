/* ends.c: broken exchanges of each target, until it is known whether it has
   ended. */
#include "route/ends.h"

#include <glib.h>

/* Longest time from a break until the target's end is known: a connection is
   refused within milliseconds or given up after 0.4 s; a restart under its
   name is in the store within a second, and known here a quarter of a second
   later. */
#define END_WAIT_S 2.0
/* Max number of requests kept for one target, which runs 64 and queues some. */
#define MAX_BROKEN_REQUESTS 256

typedef struct Break {
  double at;               /* time of the last broken exchange */
  bool has_broken;         /* an exchange broke by itself */
  bool probed;             /* a connection probes the target */
  int confirmers;          /* instances asked to confirm a refusal */
  bool confirming;         /* one of them has not answered yet */
  int path_checks;         /* by connections of our own */
  bool refused;            /* the target refuses connections */
  bool connected;          /* a connection was accepted */
  bool ended;              /* the target has ended */
  GArray *broken_requests; /* EndsMark, until it is known whether the target
                              ended */
} Break;

struct Ends {
  GHashTable *breaks; /* target -> Break */
  GQueue marks;       /* EndsMark* */
};

static void break_free(gpointer p) {
  Break *b = p;
  g_array_free(b->broken_requests, TRUE);
  g_free(b);
}

Ends *ends_new(void) {
  Ends *e = g_new0(Ends, 1);
  e->breaks =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, break_free);
  g_queue_init(&e->marks);
  return e;
}

void ends_free(Ends *e) {
  g_hash_table_destroy(e->breaks);
  g_queue_clear_full(&e->marks, g_free);
  g_free(e);
}

static bool is_break_expired(const Break *b, double now) {
  return now - b->at > END_WAIT_S;
}

/* The breaks at a target; NULL: none that has not expired. */
static Break *find_break(const Ends *e, double now, uint64_t target) {
  Break *b = g_hash_table_lookup(e->breaks, &target);
  return b && !is_break_expired(b, now) ? b : NULL;
}

static Break *start_break(Ends *e, double now, uint64_t target) {
  Break *b = g_new0(Break, 1);
  b->at = now;
  b->broken_requests = g_array_new(FALSE, FALSE, sizeof(EndsMark));
  g_hash_table_replace(e->breaks, g_memdup2(&target, sizeof target), b);
  return b;
}

static void queue_mark(Ends *e, const EndsMark *m) {
  g_queue_push_tail(&e->marks, g_memdup2(m, sizeof *m));
}

static bool mark_ended(Ends *e, Break *b) {
  b->ended = true;
  for (guint i = 0; i < b->broken_requests->len; i++)
    queue_mark(e, &g_array_index(b->broken_requests, EndsMark, i));
  g_array_set_size(b->broken_requests, 0);
  return true;
}

/* An overloaded target refuses connections as well, but continues the
   exchanges that it has. */
static bool mark_ended_if_idle(Ends *e, Break *b, int open) {
  bool idle = b->refused && !b->connected && open == 0;
  return idle && !b->ended && mark_ended(e, b);
}

static void add_request(Ends *e, Break *b, const EndsMark *mark) {
  if (b->ended)
    queue_mark(e, mark);
  else if (b->broken_requests->len < MAX_BROKEN_REQUESTS)
    g_array_append_val(b->broken_requests, *mark);
}

bool ends_note_break(Ends *e, double now, const EndsMark *mark,
                     bool recently_started, int open) {
  Break *b = find_break(e, now, mark->target);
  if (!b || b->connected) b = start_break(e, now, mark->target);
  if (!b->ended) b->at = now;
  b->has_broken = true;
  if (recently_started) add_request(e, b, mark);
  return mark_ended_if_idle(e, b, open);
}

void ends_note_abandoned(Ends *e, double now, const EndsMark *mark) {
  Break *b = find_break(e, now, mark->target);
  if (!b || b->connected) b = start_break(e, now, mark->target);
  add_request(e, b, mark);
}

bool ends_start_probe(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  if (!b || !b->has_broken || b->probed || b->refused || b->ended) return false;
  b->probed = true;
  return true;
}

bool ends_start_confirmation(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  if (!b || b->confirming || b->confirmers == ENDS_MAX_CONFIRMERS) return false;
  b->confirming = true;
  b->confirmers++;
  return true;
}

bool ends_awaits_confirmation(const Ends *e, double now, uint64_t target) {
  const Break *b = find_break(e, now, target);
  return b && b->confirming;
}

void ends_fail_confirmation(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  if (b) b->confirming = false;
}

bool ends_start_path_check(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  if (!b || b->refused || b->connected || b->ended ||
      b->path_checks == ENDS_MAX_PATH_CHECKS)
    return false;
  b->path_checks++;
  return true;
}

bool ends_has_path_check(const Ends *e, double now, uint64_t target) {
  const Break *b = find_break(e, now, target);
  return b && b->path_checks > 0;
}

bool ends_note_refused(Ends *e, double now, uint64_t target, int open) {
  Break *b = find_break(e, now, target);
  if (!b) return false; /* we had no exchange with it */
  b->refused = true;
  return mark_ended_if_idle(e, b, open);
}

void ends_note_connected(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  if (b) b->connected = true;
}

bool ends_note_restart(Ends *e, double now, uint64_t target) {
  Break *b = find_break(e, now, target);
  return b && !b->ended && mark_ended(e, b);
}

bool ends_next_mark(Ends *e, EndsMark *m) {
  EndsMark *first = g_queue_pop_head(&e->marks);
  if (!first) return false;
  *m = *first;
  g_free(first);
  return true;
}

bool ends_is_idle(const Ends *e) {
  return g_hash_table_size(e->breaks) == 0;
}

static gboolean is_entry_expired(gpointer key, gpointer value, gpointer now) {
  (void)key;
  return is_break_expired(value, *(double *)now);
}

void ends_sweep(Ends *e, double now) {
  g_hash_table_foreach_remove(e->breaks, is_entry_expired, &now);
}
