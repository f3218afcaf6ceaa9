/* streamlog.c: one write at a time, under the revision that is known. */
#include "flow/streamlog.h"

#include <glib.h>
#include <string.h>

#include "kernel/loopclock.h"
#include "route/originlog.h"
#include "route/versions.h"

#define MIN_INTERVAL_S 0.02
#define RETRY_S 0.5 /* after a write that failed */

struct StreamLog {
  struct ev_loop *loop;
  Store *store;
  char *name;
  OriginLog *streams;
  ev_timer timer;
  double interval_s, memory_s;
  double next_at;
  bool pending;        /* a call to the store is open */
  bool has_revision;   /* `revision` is that of the object */
  uint64_t revision;   /* 0: there is none */
  json_t *former;      /* streams of an earlier life; NULL: none */
  double former_until; /* they are written until then */
};

static double now_of(const StreamLog *g) {
  return loopclock_now(g->loop);
}

static void schedule(StreamLog *g) {
  if (g->pending || !originlog_is_dirty(g->streams) || ev_is_active(&g->timer))
    return;
  ev_timer_set(&g->timer, MAX(0, g->next_at - now_of(g)), 0);
  ev_timer_start(g->loop, &g->timer);
}

/* == answers of the store == */

/* What the store has was written by an earlier life, or by this one in a call
   whose answer was lost. */
static void keep_former(StreamLog *g, const StoreObject *o) {
  json_decref(g->former);
  g->former = json_incref(json_object_get(o->content, "streams"));
  g->former_until = now_of(g) + g->memory_s;
  g->revision = o->revision;
  g->has_revision = true;
}

static void handle_failure(StreamLog *g, const StoreAnswer *a) {
  StoreObject o;
  g->has_revision = false;
  if (a->kind == ERR_STORE_CONFLICT && store_parse_object(a, &o)) {
    keep_former(g, &o);
  } else if (a->kind == ERR_STORE_ABSENT) {
    g->revision = 0;
    g->has_revision = true;
  } else {
    g->next_at = now_of(g) + RETRY_S;
  }
}

static void on_read(void *ctx, const StoreAnswer *a) {
  StreamLog *g = ctx;
  StoreObject o;
  g->pending = false;
  if (a->kind == ERR_NONE && store_parse_object(a, &o))
    keep_former(g, &o);
  else
    handle_failure(g, a);
  schedule(g);
}

static void on_written(void *ctx, const StoreAnswer *a) {
  StreamLog *g = ctx;
  StoreObject o;
  g->pending = false;
  if (a->kind == ERR_NONE && store_parse_object(a, &o)) {
    g->revision = o.revision;
  } else {
    originlog_fail(g->streams);
    handle_failure(g, a);
  }
  schedule(g);
}

/* == writing == */

static json_t *make_content(StreamLog *g) {
  json_t *content = originlog_write(g->streams);
  if (g->former && now_of(g) < g->former_until)
    json_array_extend(json_object_get(content, "streams"), g->former);
  return content;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents) {
  (void)loop;
  (void)revents;
  StreamLog *g = w->data;
  if (g->pending) return;
  g->pending = true;
  if (!g->has_revision) {
    store_get(g->store, CALLS_STREAM, STREAMLOG_KIND, g->name, on_read, g);
    return;
  }
  g->next_at = now_of(g) + MAX(MIN_INTERVAL_S, g->interval_s);
  store_put(g->store, CALLS_STREAM, STREAMLOG_KIND, g->name, g->revision,
            make_content(g), on_written, g);
}

void streamlog_add(StreamLog *g, const OriginsMsg *record) {
  originlog_add(g->streams, now_of(g), record);
  schedule(g);
}

void streamlog_remove(StreamLog *g, uint64_t key) {
  originlog_remove(g->streams, key);
}

void streamlog_sweep(StreamLog *g) {
  originlog_sweep(g->streams, now_of(g), g->memory_s);
}

void streamlog_set_times(StreamLog *g, double interval_s, double memory_s) {
  g->interval_s = interval_s;
  g->memory_s = memory_s;
}

/* == open and close == */

StreamLog *streamlog_new(struct ev_loop *loop, Store *store, const char *id) {
  StreamLog *g = g_new0(StreamLog, 1);
  const char *life = strrchr(id, '.');
  g->loop = loop;
  g->store = store;
  g->name = life ? g_strndup(id, (gsize)(life - id)) : g_strdup(id);
  g->streams = originlog_new();
  g->memory_s = VERSIONS_MEMORY_S;
  ev_timer_init(&g->timer, on_timer, 0, 0);
  g->timer.data = g;
  return g;
}

void streamlog_free(StreamLog *g) {
  ev_timer_stop(g->loop, &g->timer);
  originlog_free(g->streams);
  json_decref(g->former);
  g_free(g->name);
  g_free(g);
}
