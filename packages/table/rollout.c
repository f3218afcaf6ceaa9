/* rollout.c: loading the table, applying edits, and the history. */
#include "table/rollout.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

/* An edit that is based on an older version is refused. */
#define HISTORY_MAX_EDITS 64
/* Writes of one object that fail, conflict or lose their reply. */
#define MAX_TRIES 20

/* == head == */

/* Returns a head of version 0. A head has the version, the names of the parts
   ("": no rows), and a history. Each entry of the history has the part names
   that its edit replaced, so that recent versions can be reconstructed. */
static json_t *new_head(void) {
  json_t *parts = json_array();
  for (int i = 0; i < TABLE_PART_COUNT; i++)
    json_array_append_new(parts, json_string(""));
  return json_pack("{s:i,s:o,s:[]}", "version", 0, "parts", parts, "history");
}

static uint64_t head_version(json_t *head) {
  return (uint64_t)json_integer_value(json_object_get(head, "version"));
}

/* `object_version` receives the version of the stored object, for the
   conditional update; it is not the table's version. */
static json_t *read_head(const RolloutStore *s, uint64_t *object_version,
                         Err *e) {
  PlatformAnswer a = s->get(s->ctx, ROLLOUT_HEAD);
  *object_version = 0;
  if (a.kind == ERR_STORE_ABSENT) return new_head();
  if (a.kind != ERR_NONE) {
    err_retry(e, a.kind, 1000, "the platform's store did not give the table");
    return NULL;
  }
  json_t *head = json_loads(a.text, 0, NULL);
  g_free(a.text);
  *object_version = a.version;
  if (!json_is_object(head))
    err_set(e, ERR_TABLE, "%s is not a table head", ROLLOUT_HEAD);
  return head;
}

static json_t *find_history_entry(json_t *head, uint64_t version) {
  size_t i;
  json_t *o;
  json_array_foreach(json_object_get(head, "history"), i, o) {
    if ((uint64_t)json_integer_value(json_object_get(o, "version")) == version)
      return o;
  }
  return NULL;
}

static json_t *find_history_entry_of_edit(json_t *head, const char *id) {
  size_t i;
  json_t *o;
  json_array_foreach(json_object_get(head, "history"), i, o) {
    const char *s = json_string_value(json_object_get(o, "id"));
    if (s && strcmp(s, id) == 0) return o;
  }
  return NULL;
}

/* == parts == */

/* Returns the names of the parts in `version`, or NULL if the history does not
   reach back to it. */
static json_t *parts_at_version(json_t *head, uint64_t version) {
  json_t *parts = json_copy(json_object_get(head, "parts"));
  json_t *history = json_object_get(head, "history"), *old;
  const char *index;
  uint64_t at = head_version(head);
  for (size_t i = json_array_size(history); i-- > 0 && at > version; at--) {
    json_t *replaced = json_object_get(json_array_get(history, i), "was");
    json_object_foreach(replaced, index, old)
        json_array_set(parts, (size_t)atoi(index), old);
  }
  if (at == version) return parts;
  json_decref(parts);
  return NULL;
}

static const char *part_name(json_t *parts, int i) {
  const char *s = json_string_value(json_array_get(parts, (size_t)i));
  return s ? s : "";
}

static bool read_part(const RolloutStore *s, Table *t, const char *name,
                      Err *e) {
  PlatformAnswer a = s->get(s->ctx, name);
  bool ok = a.kind == ERR_NONE && table_decode_part(t, a.text);
  g_free(a.text);
  if (ok) return true;
  return err_retry(e, a.kind == ERR_NONE ? ERR_TABLE : a.kind, 1000,
                   "table part %s can't be read", name);
}

/* Loads the table with these parts. Shares the rows of parts that `cached` has
   too; reads the other parts. */
static Table *load_parts(const RolloutStore *s, json_t *parts, uint64_t version,
                         const Table *cached, Err *e) {
  Table *t = table_new();
  bool ok = true;
  t->version = version;
  for (int i = 0; i < TABLE_PART_COUNT; i++)
    t->part_names[i] = g_strdup(part_name(parts, i));
  for (guint i = 0; cached && i < cached->sorted_rows->len; i++) {
    const TableRow *r = cached->sorted_rows->pdata[i];
    int p = table_part_index(r);
    if (g_strcmp0(cached->part_names[p], t->part_names[p]) == 0)
      table_share_row(t, r);
  }
  for (int i = 0; ok && i < TABLE_PART_COUNT; i++) {
    bool is_cached =
        cached && g_strcmp0(cached->part_names[i], t->part_names[i]) == 0;
    if (t->part_names[i][0] && !is_cached)
      ok = read_part(s, t, t->part_names[i], e);
  }
  table_sort_rows(t);
  if (ok) return t;
  table_free(t);
  return NULL;
}

/* Loads a version of the table, or fails if the history does not reach back to
   it. Version 0 is empty. */
static Table *load_version(const RolloutStore *s, json_t *head,
                           uint64_t version, const Table *cached, Err *e) {
  if (version == 0) return table_new();
  json_t *parts = parts_at_version(head, version);
  if (!parts) {
    err_set(e, ERR_TABLE_RACE,
            "version %llu is too old to merge with: only the last %d are kept",
            (unsigned long long)version, HISTORY_MAX_EDITS);
    return NULL;
  }
  Table *t = load_parts(s, parts, version, cached, e);
  json_decref(parts);
  return t;
}

static bool write_part(const RolloutStore *s, const char *name,
                       const char *text, Err *e) {
  PlatformAnswer a = {.kind = ERR_STORE_UNKNOWN};
  for (int n = 0; n < MAX_TRIES && a.kind == ERR_STORE_UNKNOWN; n++) {
    a = s->put(s->ctx, name, 0, text);
    g_free(a.text);
  }
  /* The name of a part is the hash of its content, so an object that already
     exists has the same content. */
  if (a.kind == ERR_NONE || a.kind == ERR_STORE_CONFLICT) return true;
  return err_retry(e, a.kind, 1000, "the store did not take the table");
}

/* Writes the parts of `t` that differ from the head's. Returns the names of all
   parts of `t`. */
static json_t *write_parts(const RolloutStore *s, json_t *head, const Table *t,
                           Err *e) {
  json_t *before = json_object_get(head, "parts"), *parts = json_array();
  bool ok = true;
  for (int i = 0; ok && i < TABLE_PART_COUNT; i++) {
    char *text = table_encode_part(t, i);
    char name[LIMIT_NAME_BYTES] = "";
    if (strcmp(text, "[]") != 0) {
      XXH128_hash_t h = XXH3_128bits(text, strlen(text));
      snprintf(name, sizeof name, "table/part/%016llx%016llx",
               (unsigned long long)h.high64, (unsigned long long)h.low64);
      if (strcmp(name, part_name(before, i)) != 0)
        ok = write_part(s, name, text, e);
    }
    g_free(text);
    json_array_append_new(parts, json_string(name));
  }
  if (ok) return parts;
  json_decref(parts);
  return NULL;
}

/* == load == */

Table *rollout_load(const RolloutStore *s, const Table *cached, bool *unchanged,
                    Err *e) {
  uint64_t object_version;
  json_t *head = read_head(s, &object_version, e);
  *unchanged = false;
  if (!head) return NULL;
  uint64_t v = head_version(head);
  Table *t = NULL;
  if (cached && cached->version > 0 && v <= cached->version)
    *unchanged = true; /* also if a stale head was read, as the version never
                          decreases */
  else
    t = load_version(s, head, v, cached, e);
  json_decref(head);
  return t;
}

/* == apply == */

static bool set_conflict_error(json_t *head, const char *what, uint64_t version,
                               Err *e) {
  json_t *other = find_history_entry(head, version);
  const char *who = json_string_value(json_object_get(other, "who"));
  return err_set(e, ERR_TABLE_RACE,
                 "%s was changed meanwhile, in version %llu by %s", what,
                 (unsigned long long)version, who ? who : "an older edit");
}

/* Returns the table that results from the edit, or NULL on a conflict. */
static Table *merge_edit(const RolloutStore *s, json_t *head, const Table *mine,
                         const RolloutEdit *edit, Err *e) {
  uint64_t current_version = head_version(head), conflict_version = 0;
  uint64_t merge_base_version =
      edit->base_version == UINT64_MAX ? current_version : edit->base_version;
  if (merge_base_version > current_version) {
    err_set(e, ERR_TABLE_RACE, "the fleet has version %llu, not yet %llu",
            (unsigned long long)current_version,
            (unsigned long long)merge_base_version);
    return NULL;
  }
  Table *current = load_version(s, head, current_version, NULL, e);
  Table *base =
      current ? load_version(s, head, merge_base_version, current, e) : NULL;
  Table *t = NULL;
  char *what = NULL;
  if (base)
    t = table_merge(base, mine, current, current_version + 1, &what,
                    &conflict_version);
  if (base && !t) set_conflict_error(head, what, conflict_version, e);
  GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
  if (t && !table_check(t, errors)) {
    err_set(e, ERR_TABLE, "with the edits made meanwhile: %s",
            (char *)errors->pdata[0]);
    table_free(t);
    t = NULL;
  }
  g_ptr_array_free(errors, TRUE);
  g_free(what);
  table_free(base);
  table_free(current);
  return t;
}

static void add_history_entry(json_t *head, const RolloutEdit *edit,
                              json_t *parts) {
  json_t *history = json_object_get(head, "history"), *replaced = json_object();
  json_t *before = json_object_get(head, "parts");
  uint64_t v = head_version(head) + 1;
  for (int i = 0; i < TABLE_PART_COUNT; i++) {
    char index[8];
    if (strcmp(part_name(before, i), part_name(parts, i)) == 0) continue;
    snprintf(index, sizeof index, "%d", i);
    json_object_set(replaced, index, json_array_get(before, (size_t)i));
  }
  json_object_set_new(head, "version", json_integer((json_int_t)v));
  json_object_set_new(head, "parts", parts);
  json_array_append_new(
      history, json_pack("{s:I,s:s,s:s,s:I,s:o}", "version", (json_int_t)v,
                         "id", edit->id, "who", edit->author, "t",
                         (json_int_t)time(NULL), "was", replaced));
  while (json_array_size(history) > HISTORY_MAX_EDITS)
    json_array_remove(history, 0);
}

uint64_t rollout_apply(const RolloutStore *s, const Table *mine,
                       const RolloutEdit *edit, Err *e) {
  RolloutEdit pinned = *edit;
  for (int n = 0; n < MAX_TRIES; n++) {
    uint64_t object_version;
    json_t *head = read_head(s, &object_version, e);
    if (!head) continue; /* retry: the store may have recovered */
    json_t *applied = find_history_entry_of_edit(head, edit->id);
    if (applied) { /* an earlier write succeeded, but its reply was lost */
      uint64_t v =
          (uint64_t)json_integer_value(json_object_get(applied, "version"));
      json_decref(head);
      return v;
    }
    /* A retry merges from the same base version, not from a newer one. */
    if (pinned.base_version == UINT64_MAX)
      pinned.base_version = head_version(head);
    Table *t = merge_edit(s, head, mine, &pinned, e);
    json_t *parts = t ? write_parts(s, head, t, e) : NULL;
    table_free(t);
    if (!parts) {
      json_decref(head);
      return 0;
    }
    add_history_entry(head, edit, parts);
    uint64_t v = head_version(head);
    char *text = json_dumps(head, JSON_COMPACT);
    PlatformAnswer a = s->put(s->ctx, ROLLOUT_HEAD, object_version, text);
    free(text);
    g_free(a.text);
    json_decref(head);
    if (a.kind == ERR_NONE) return v;
    err_retry(e, a.kind, 1000, "the head of the table could not be written");
  }
  return 0;
}

char *rollout_history(const RolloutStore *s, Err *e) {
  uint64_t object_version;
  json_t *head = read_head(s, &object_version, e);
  if (!head) return NULL;
  json_t *list = json_array();
  size_t i;
  json_t *o;
  json_array_foreach(json_object_get(head, "history"), i, o) {
    json_t *copy = json_copy(o);
    json_object_del(copy, "was");
    json_array_append_new(list, copy);
  }
  char *json = json_dumps(list, JSON_COMPACT), *text = g_strdup(json);
  free(json);
  json_decref(list);
  json_decref(head);
  return text;
}
