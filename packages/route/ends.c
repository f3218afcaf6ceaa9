/* ends.c: what broke at each target, until it is known whether it has ended. */
#include "route/ends.h"

#include <glib.h>

/* Seconds from a break until its target's end has to show: a connection is
   refused within milliseconds or given up after 0.4 s; that a target has
   started again under its name is in the store within one, and known here a
   quarter of a second later. */
#define END_WAIT_S 2.0
/* Requests that are kept for one target; it runs 64 and queues some. */
#define MAX_BROKEN_REQUESTS 256

typedef struct Break {
  double at;      /* of the last exchange that broke */
  bool broke;     /* one did by itself */
  bool probed;    /* a connection is to tell */
  bool refused;   /* it was */
  bool connected; /* it was taken */
  bool ended;     /* the target has ended */
  GArray *broken; /* EndsMark, while it is not known */
} Break;

struct Ends {
  GHashTable *breaks; /* target -> Break */
  GQueue marks;       /* EndsMark* */
};

static void break_free(gpointer p) {
  Break *b = p;
  g_array_free(b->broken, TRUE);
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

/* What is known of breaks at a target; NULL: none that still counts. */
static Break *find(const Ends *e, double now, uint64_t target) {
  Break *b = g_hash_table_lookup(e->breaks, &target);
  return b && !is_break_expired(b, now) ? b : NULL;
}

static Break *start_break(Ends *e, double now, uint64_t target) {
  Break *b = g_new0(Break, 1);
  b->at = now;
  b->broken = g_array_new(FALSE, FALSE, sizeof(EndsMark));
  g_hash_table_replace(e->breaks, g_memdup2(&target, sizeof target), b);
  return b;
}

static void queue_mark(Ends *e, const EndsMark *m) {
  g_queue_push_tail(&e->marks, g_memdup2(m, sizeof *m));
}

static bool mark_ended(Ends *e, Break *b) {
  b->ended = true;
  for (guint i = 0; i < b->broken->len; i++)
    queue_mark(e, &g_array_index(b->broken, EndsMark, i));
  g_array_set_size(b->broken, 0);
  return true;
}

/* One that is overrun refuses connections as well, but goes on with those that
   it has. */
static bool mark_ended_if_idle(Ends *e, Break *b, int open) {
  bool idle = b->refused && !b->connected && open == 0;
  return idle && !b->ended && mark_ended(e, b);
}

static void add_request(Ends *e, Break *b, const EndsMark *mark) {
  if (b->ended)
    queue_mark(e, mark);
  else if (b->broken->len < MAX_BROKEN_REQUESTS)
    g_array_append_val(b->broken, *mark);
}

bool ends_note_break(Ends *e, double now, const EndsMark *mark, bool young,
                     int open) {
  Break *b = find(e, now, mark->target);
  if (!b || b->connected) b = start_break(e, now, mark->target);
  if (!b->ended) b->at = now;
  b->broke = true;
  if (young) add_request(e, b, mark);
  return mark_ended_if_idle(e, b, open);
}

void ends_note_abandoned(Ends *e, double now, const EndsMark *mark) {
  Break *b = find(e, now, mark->target);
  if (!b || b->connected) b = start_break(e, now, mark->target);
  add_request(e, b, mark);
}

bool ends_start_probe(Ends *e, double now, uint64_t target) {
  Break *b = find(e, now, target);
  if (!b || !b->broke || b->probed || b->refused || b->ended) return false;
  b->probed = true;
  return true;
}

bool ends_note_refused(Ends *e, double now, uint64_t target, int open) {
  Break *b = find(e, now, target);
  if (!b) return false; /* nothing of ours was there */
  b->refused = true;
  return mark_ended_if_idle(e, b, open);
}

void ends_note_connected(Ends *e, double now, uint64_t target) {
  Break *b = find(e, now, target);
  if (b) b->connected = true;
}

bool ends_note_restart(Ends *e, double now, uint64_t target) {
  Break *b = find(e, now, target);
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
