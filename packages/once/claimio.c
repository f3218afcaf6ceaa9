/* claimio.c: heads and parts of claim shards on their way to and from the
   store: sealing, joining, expiry, and parts that nobody lists. */
#include "once/state.h"

#include <inttypes.h>
#include <stdio.h>

/* == calls == */

static void object_name(const ClaimShard *s, uint64_t part, char *out) {
  if (part)
    snprintf(out, LIMIT_NAME_BYTES, "claim/%02d/%016" PRIx64, s->index, part);
  else
    snprintf(out, LIMIT_NAME_BYTES, "claim/%02d", s->index);
}

static OnceAction *call(Once *o, const ClaimShard *s, OnceDo what,
                        uint64_t part) {
  OnceAction *a = once_act(o, what);
  object_name(s, part, a->name);
  a->shard = s->index;
  a->part = part;
  return a;
}

void claimio_read(Once *o, ClaimShard *s) {
  s->phase = SHARD_READING;
  call(o, s, ONCE_DO_GET, 0);
}

/* True when parts are on their way. */
bool claimio_read_parts(Once *o, ClaimShard *s) {
  s->reading = 0;
  s->broken = false;
  for (guint i = 0; i < s->doc->parts->len; i++) {
    const ClaimPart *p = s->doc->parts->pdata[i];
    if (p->entries) continue;
    call(o, s, ONCE_DO_GET, p->id);
    s->reading++;
  }
  if (s->reading > 0) s->phase = SHARD_PARTS;
  return s->reading > 0;
}

void claimio_write_head(Once *o, ClaimShard *s) {
  OnceAction *a = call(o, s, ONCE_DO_PUT, 0);
  a->version = s->version;
  a->text = claimdoc_head(s->doc);
  s->phase = SHARD_WRITING;
}

/* A part is made under a name that nobody else uses, before the head lists it;
   should the head never do so, the part is loose and goes again. */
static void write_part(Once *o, ClaimShard *s, const ClaimPart *p) {
  Loose l = {p->id, s->version};
  g_array_append_val(s->loose, l);
  OnceAction *a = call(o, s, ONCE_DO_PUT, p->id);
  a->text = claimdoc_part(p);
  s->phase = SHARD_SEALING;
}

/* == loose parts == */

static bool listed(const ClaimDoc *d, uint64_t id) {
  for (guint i = 0; i < d->parts->len; i++)
    if (((ClaimPart *)d->parts->pdata[i])->id == id) return true;
  return false;
}

/* Removes loose parts. Only once the head has moved on from the version that
   the write was made on: until then a write without an answer may still take
   effect and list the part. */
void claimio_sweep(Once *o, ClaimShard *s) {
  for (guint i = s->loose->len; i > 0; i--) {
    Loose l = g_array_index(s->loose, Loose, i - 1);
    if (l.base >= s->version) continue;
    if (!listed(s->doc, l.id)) call(o, s, ONCE_DO_DELETE, l.id);
    g_array_remove_index(s->loose, i - 1);
  }
}

static void loosen(ClaimShard *s, const ClaimPart *p) {
  Loose l = {p->id, s->version};
  g_array_append_val(s->loose, l);
}

/* == what is written == */

/* The oldest parts go when this home has held them for an hour: no wall clock
   decides, unless by a whole day. */
static void expire(Once *o, ClaimShard *s) {
  while (s->doc->parts->len > 0) {
    const ClaimPart *p = s->doc->parts->pdata[0];
    bool held = o->now - p->seen >= CLAIM_KEEP_S;
    bool old = o->unix_s - p->unix_s >= CLAIM_KEEP_WALL_S;
    if (!held && !old) return;
    loosen(s, p);
    g_ptr_array_remove_index(s->doc->parts, 0);
  }
}

/* Small parts at the newer end. */
static guint small_parts(const Once *o, const ClaimDoc *d) {
  guint n = 0, most = o->seal * o->merge;
  while (n < d->parts->len) {
    const ClaimPart *p = d->parts->pdata[d->parts->len - 1 - n];
    if (p->count >= most) break;
    n++;
  }
  return n;
}

static uint64_t new_id(Once *o) {
  return (uint64_t)g_rand_int(o->rng) << 32 | g_rand_int(o->rng) | 1;
}

/* The changed document goes to the store; first a new part, if one is due. */
void claimio_write(Once *o, ClaimShard *s) {
  ClaimDoc *d = s->doc;
  expire(o, s);
  guint small = small_parts(o, d);
  if (g_hash_table_size(d->entries) >= o->seal) {
    write_part(o, s, claimdoc_seal(d, new_id(o), o->now));
  } else if (small >= o->merge) {
    for (guint i = 1; i <= small; i++)
      loosen(s, d->parts->pdata[d->parts->len - i]);
    write_part(o, s, claimdoc_merge(d, small, new_id(o)));
  } else
    claimio_write_head(o, s);
}
