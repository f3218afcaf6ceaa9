/* claimio.c: store calls of claim shards. A shard is stored as a head, an
   object with the newest claims and the list of parts, and as parts, which are
   immutable objects with older claims. This file reads and writes them, seals
   claims of the head into a part, merges parts, and deletes those that expired
   or that the head does not list. */
#include "once/state.h"

#include <inttypes.h>
#include <stdio.h>

/* == store calls == */

static void format_object_name(const ClaimShard *s, uint64_t part, char *out) {
  if (part)
    snprintf(out, LIMIT_NAME_BYTES, "claim/%02d/%016" PRIx64, s->index, part);
  else
    snprintf(out, LIMIT_NAME_BYTES, "claim/%02d", s->index);
}

static OnceAction *add_store_call(Once *o, const ClaimShard *s,
                                  OnceActionKind kind, uint64_t part) {
  OnceAction *a = once_add_action(o, kind);
  format_object_name(s, part, a->name);
  a->shard = s->index;
  a->part = part;
  return a;
}

void claimio_read_head(Once *o, ClaimShard *s) {
  s->phase = SHARD_READING_HEAD;
  add_store_call(o, s, ONCE_DO_GET, 0);
}

bool claimio_read_parts(Once *o, ClaimShard *s) {
  s->parts_reading = 0;
  s->part_failed = false;
  for (guint i = 0; i < s->doc->parts->len; i++) {
    const ClaimPart *p = s->doc->parts->pdata[i];
    if (p->entries) continue;
    add_store_call(o, s, ONCE_DO_GET, p->id);
    s->parts_reading++;
  }
  if (s->parts_reading > 0) s->phase = SHARD_READING_PARTS;
  return s->parts_reading > 0;
}

void claimio_write_head(Once *o, ClaimShard *s) {
  OnceAction *a = add_store_call(o, s, ONCE_DO_PUT, 0);
  a->version = s->version;
  a->text = claimdoc_encode_head(s->doc);
  s->phase = SHARD_WRITING_HEAD;
}

/* Creates a part under a unique name. The head that lists it is written
   afterwards; if that fails, the part is deleted later. */
static void write_part(Once *o, ClaimShard *s, const ClaimPart *p) {
  UnlistedPart l = {p->id, s->version};
  g_array_append_val(s->unlisted, l);
  OnceAction *a = add_store_call(o, s, ONCE_DO_PUT, p->id);
  a->text = claimdoc_encode_part(p);
  s->phase = SHARD_WRITING_PART;
}

/* == unlisted parts == */

static bool is_listed(const ClaimDoc *d, uint64_t id) {
  for (guint i = 0; i < d->parts->len; i++)
    if (((ClaimPart *)d->parts->pdata[i])->id == id) return true;
  return false;
}

/* Deletes parts that the head does not list, once the head is newer than the
   version at which the part was recorded. Until then a write of the head whose
   result is unknown may still take effect and list the part. */
void claimio_delete_unlisted(Once *o, ClaimShard *s) {
  for (guint i = s->unlisted->len; i > 0; i--) {
    UnlistedPart l = g_array_index(s->unlisted, UnlistedPart, i - 1);
    if (l.base >= s->version) continue;
    if (!is_listed(s->doc, l.id)) add_store_call(o, s, ONCE_DO_DELETE, l.id);
    g_array_remove_index(s->unlisted, i - 1);
  }
}

/* Records a part that the next write of the head removes from its list. */
static void mark_unlisted(ClaimShard *s, const ClaimPart *p) {
  UnlistedPart l = {p->id, s->version};
  g_array_append_val(s->unlisted, l);
}

/* == writing == */

/* Removes the oldest parts. A part expires CLAIM_KEEP_S after this home first
   read it, or when it is CLAIM_KEEP_WALL_S old by the wall clock. The latter is
   longer because the wall clock may jump. */
static void expire_parts(Once *o, ClaimShard *s) {
  while (s->doc->parts->len > 0) {
    const ClaimPart *p = s->doc->parts->pdata[0];
    bool kept_long_enough = o->now - p->first_read_at >= CLAIM_KEEP_S;
    bool is_too_old = o->unix_s - p->unix_s >= CLAIM_KEEP_WALL_S;
    if (!kept_long_enough && !is_too_old) return;
    mark_unlisted(s, p);
    g_ptr_array_remove_index(s->doc->parts, 0);
  }
}

/* Counts the small parts at the end of the list, which are the newest. */
static guint count_small_parts(const Once *o, const ClaimDoc *d) {
  guint n = 0, max_small_entries = o->seal_entries * o->merge_parts;
  while (n < d->parts->len) {
    const ClaimPart *p = d->parts->pdata[d->parts->len - 1 - n];
    if (p->count >= max_small_entries) break;
    n++;
  }
  return n;
}

/* Returns a random part id, never 0. */
static uint64_t new_id(Once *o) {
  return (uint64_t)g_rand_int(o->rng) << 32 | g_rand_int(o->rng) | 1;
}

/* Writes the head, or before it a part if claims have to be sealed or parts to
   be merged. */
void claimio_write(Once *o, ClaimShard *s) {
  ClaimDoc *d = s->doc;
  expire_parts(o, s);
  guint small_parts = count_small_parts(o, d);
  if (g_hash_table_size(d->entries) >= o->seal_entries) {
    write_part(o, s, claimdoc_seal_head(d, new_id(o), o->now));
  } else if (small_parts >= o->merge_parts) {
    for (guint i = 1; i <= small_parts; i++)
      mark_unlisted(s, d->parts->pdata[d->parts->len - i]);
    write_part(o, s, claimdoc_merge_parts(d, small_parts, new_id(o)));
  } else
    claimio_write_head(o, s);
}
