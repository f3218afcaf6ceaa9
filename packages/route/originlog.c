/* originlog.c: a table of streams by their key, and its text. */
#include "route/originlog.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "kernel/text.h"

/* 16 bytes of text each. Streams beyond it are not written. */
#define MAX_STREAMS 4096
#define KEY_DIGITS 16

typedef struct Stream {
  OriginsMsg record;
  double at;
} Stream;

struct OriginLog {
  GHashTable *streams; /* key -> Stream */
  bool is_dirty;
};

OriginLog *originlog_new(void) {
  OriginLog *l = g_new0(OriginLog, 1);
  l->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return l;
}

void originlog_free(OriginLog *l) {
  g_hash_table_destroy(l->streams);
  g_free(l);
}

void originlog_add(OriginLog *l, double now, const OriginsMsg *record) {
  if (g_hash_table_size(l->streams) >= MAX_STREAMS) return;
  Stream *s = g_new0(Stream, 1);
  *s = (Stream){*record, now};
  g_hash_table_replace(l->streams, &s->record.key, s);
  l->is_dirty = true;
}

void originlog_remove(OriginLog *l, uint64_t key) {
  g_hash_table_remove(l->streams, &key);
}

void originlog_sweep(OriginLog *l, double now, double keep_s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->streams);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (now - ((Stream *)v)->at > keep_s) g_hash_table_iter_remove(&it);
}

bool originlog_is_dirty(const OriginLog *l) {
  return l->is_dirty;
}

void originlog_fail(OriginLog *l) {
  l->is_dirty = true;
}

/* == in the store == */

/* A row has a service, a version, and the keys of their streams in one text. */
typedef struct Row {
  uint64_t service, version;
  GString *keys;
} Row;

static Row *ensure_row(GArray *rows, const OriginsMsg *record) {
  for (guint i = 0; i < rows->len; i++) {
    Row *r = &g_array_index(rows, Row, i);
    if (r->service == record->service && r->version == record->version)
      return r;
  }
  Row added = {record->service, record->version, g_string_new(NULL)};
  g_array_append_val(rows, added);
  return &g_array_index(rows, Row, rows->len - 1);
}

static json_t *take_row(Row *r) {
  json_t *row = json_pack("[o,o,s]", text_json_hash(r->service),
                          text_json_hash(r->version), r->keys->str);
  g_string_free(r->keys, TRUE);
  return row;
}

json_t *originlog_write(OriginLog *l) {
  GArray *rows = g_array_new(FALSE, FALSE, sizeof(Row));
  json_t *out = json_array();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->streams);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const OriginsMsg *record = &((Stream *)v)->record;
    g_string_append_printf(ensure_row(rows, record)->keys,
                           "%016" G_GINT64_MODIFIER "x", record->key);
  }
  for (guint i = 0; i < rows->len; i++)
    json_array_append_new(out, take_row(&g_array_index(rows, Row, i)));
  g_array_free(rows, TRUE);
  l->is_dirty = false;
  return json_pack("{s:o}", "streams", out);
}

static bool read_row(const json_t *row,
                     void (*fn)(void *ctx, const OriginsMsg *record),
                     void *ctx) {
  OriginsMsg m = {.kind = ORIGINS_RECORD};
  const char *keys = json_string_value(json_array_get(row, 2));
  if (!text_read_hash(json_array_get(row, 0), &m.service) ||
      !text_read_hash(json_array_get(row, 1), &m.version) || !keys ||
      strlen(keys) % KEY_DIGITS != 0)
    return false;
  for (; *keys; keys += KEY_DIGITS) {
    char digits[KEY_DIGITS + 1];
    g_strlcpy(digits, keys, sizeof digits);
    if (!text_parse_hash(digits, &m.key)) return false;
    fn(ctx, &m);
  }
  return true;
}

bool originlog_read(const json_t *content,
                    void (*fn)(void *ctx, const OriginsMsg *record),
                    void *ctx) {
  const json_t *rows = json_object_get(content, "streams");
  bool sound = json_is_array(rows);
  for (size_t i = 0; i < json_array_size(rows); i++)
    sound &= read_row(json_array_get(rows, i), fn, ctx);
  return sound;
}
