/* managed.c: the settings of the parts for decisions under load. */
#include "conf/managed.h"

#include <string.h>

static const char *const part_names[MANAGED_PARTS] = {
    [MANAGED_RATES] = "rates",
    [MANAGED_ADMISSION] = "admission",
    [MANAGED_SHARES] = "shares",
    [MANAGED_RESERVE] = "reserve"};

/* Returns MANAGED_PARTS for an unknown name. */
static ManagedPart part_by_name(const char *name) {
  int part = 0;
  while (part < MANAGED_PARTS && strcmp(part_names[part], name) != 0) part++;
  return (ManagedPart)part;
}

bool managed_parse(Managed *m, int max_slots, const char *parts, Err *e) {
  *m = (Managed){.max_slots = max_slots};
  char **names = g_strsplit(parts, ",", -1);
  char *unknown = NULL;
  for (int i = 0; names[i] && !unknown; i++) {
    const char *name = g_strstrip(names[i]);
    if (!name[0]) continue;
    ManagedPart part = part_by_name(name);
    if (part == MANAGED_PARTS)
      unknown = names[i];
    else
      m->parts[part] = true;
  }
  bool ok = !unknown;
  if (unknown)
    err_set(e, ERR_SETTING, "managed-parts has no part named %.40s", unknown);
  g_strfreev(names);
  return ok;
}

bool managed_applies(const Managed *m, ManagedPart part, const ConfService *s) {
  if (!m->parts[part] || !s || !s->engine) return false;
  return s->batch_slots > 0 && s->batch_slots <= m->max_slots;
}

bool managed_applies_to_any(const Managed *m, ManagedPart part, const Conf *c) {
  GHashTableIter it;
  gpointer v;
  if (!c || m->max_slots <= 0) return false;
  g_hash_table_iter_init(&it, c->services);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (managed_applies(m, part, v)) return true;
  return false;
}

bool managed_applies_to_plain(const Managed *m, ManagedPart part,
                              const Conf *c) {
  bool serves_plain = part == MANAGED_RATES || part == MANAGED_ADMISSION;
  return serves_plain && managed_applies_to_any(m, part, c);
}
