/* ceiling.c: the ceiling of a budget, which bounds the tokens that an older
   copy of the document does not show as used. A home draws only up to a ceiling
   that is older than a copy can be, so after a restore all that may have been
   drawn is below the ceiling of the copy. What no home accounts for counts as
   used. docs/design/ceiling.md. */
#include "ledger/state.h"
#include "store/revision.h"

#include <math.h>
#include <string.h>

/* A new ceiling is used after this time. Longer than the age of a backup, as
   instances' clocks differ. */
#define CEILING_AGE_S ((int64_t)BACKUP_MAX_AGE_S + 5)
/* A new ceiling is written when less than this part of the total is left below
   the ceiling, or less than this many seconds of the fleet's demand: more than
   is drawn while it grows old. It is set twice as far above what is used, and
   that much at most is missing after a restore. */
#define HEADROOM_RATIO 0.0625
#define HEADROOM_S 45.0
/* Part of the total that is not drawn for a time after a restore, where the
   copy had no ceiling: far more than is drawn within the age of a backup. */
#define HELD_RATIO 0.75
/* Homes write what a restore lost within this time of it. */
#define SETTLING_S 12
/* A member that is lost leaves the view within this time. */
#define LOSS_NOTICED_S 10.0
/* Longer than two restores that follow each other within seconds, with the time
   before them that counts. */
#define LOSSES_KEPT_S 300.0
/* A restore is written into a document at most this much later. */
#define MAX_READ_INTERVAL_S 40.0
/* With two more instances in its region each grant of a lost home had a
   witness, also if the home was restarted and counts twice. */
#define MIN_WITNESSED_MEMBERS 3

/* == what may be drawn == */

static int64_t used_tokens(const ShardBudget *b) {
  return b->total - shard_budget_remaining(b);
}

static bool next_is_due(const Ledger *l, const ShardCeiling *c) {
  return c->next_unix_s > 0 && l->unix_s - c->next_unix_s >= CEILING_AGE_S;
}

static int64_t usable_ceiling(const Ledger *l, const ShardCeiling *c) {
  return next_is_due(l, c) ? c->next : c->ceiling;
}

int64_t ceiling_drawable(const Ledger *l, const ShardBudget *b) {
  const ShardCeiling *c = &b->ceiling;
  int64_t left = shard_budget_remaining(b);
  int64_t held = (int64_t)(HELD_RATIO * (double)b->total);
  bool is_hold = l->now < l->no_draws_until;
  if (l->era == 0) return left;
  /* The copy that came back may be without a ceiling; an instance that has just
     started can't tell. */
  if (c->era == 0)
    return l->now < l->restored_at + SETTLING_S ? left - held : left;
  int64_t below = MIN(left, usable_ceiling(l, c) - used_tokens(b));
  bool is_settling = is_hold || l->unix_s - c->open_unix_s < SETTLING_S;
  return is_settling ? MAX(below, left + c->open - held) : below;
}

double ceiling_hold_left_s(const Ledger *l) {
  return l->restored_at + SETTLING_S - l->now;
}

/* == setting and raising it == */

void ceiling_add(ShardBudget *b, int64_t more) {
  ShardCeiling *c = &b->ceiling;
  if (c->era == 0 || more < 0) return;
  c->ceiling += more;
  if (c->next_unix_s > 0) c->next += more;
}

/* The copy may lack a budget that others have drawn from: as long as draws are
   held, most of it waits. */
void ceiling_start(const Ledger *l, ShardBudget *b) {
  double hold_s = l->no_draws_until - l->now;
  if (l->era == 0 || l->unix_s == 0) return; /* 0: not known before a tick */
  b->ceiling = (ShardCeiling){.era = l->era, .ceiling = b->total};
  if (hold_s <= 0) return;
  b->ceiling.ceiling = b->total - (int64_t)(HELD_RATIO * (double)b->total);
  b->ceiling.next = b->total;
  b->ceiling.next_unix_s = l->unix_s - CEILING_AGE_S + (int64_t)hold_s + 1;
}

static int64_t headroom(const Ledger *l, const HomeBudget *h,
                        const ShardBudget *b) {
  double demand = h->demand_per_s * MAX(l->regions, 1) * HEADROOM_S;
  return (int64_t)MAX(HEADROOM_RATIO * (double)b->total, demand);
}

bool ceiling_raise(const Ledger *l, const HomeBudget *h, ShardBudget *b,
                   bool is_written) {
  ShardCeiling *c = &b->ceiling;
  if (l->era == 0 || c->era != l->era || l->unix_s == 0) return false;
  int64_t used = used_tokens(b), room = headroom(l, h, b);
  if (is_written && next_is_due(l, c)) {
    c->ceiling = c->next;
    c->next = c->next_unix_s = 0;
  }
  int64_t target = MIN(used + 2 * room, b->total);
  /* A lower ceiling is used at once. It is set only once the demand is known,
     and where the difference is worth it. */
  if (is_written && c->next_unix_s == 0 && c->ceiling >= target + room &&
      !ledger_may_lack_grants(l)) {
    c->ceiling = target;
    return true;
  }
  bool is_near = usable_ceiling(l, c) - used < room;
  if (!is_near || c->next_unix_s > 0 || target <= c->ceiling) return false;
  c->next = target;
  c->next_unix_s = l->unix_s;
  return true;
}

/* == after a restore == */

void ceiling_account(ShardBudget *b, int64_t before) {
  ShardCeiling *c = &b->ceiling;
  int64_t more = shard_budget_in_grants(b) - before;
  if (c->open > 0) c->open = MAX(0, c->open - more);
}

bool ceiling_fit_open(ShardBudget *b) {
  int64_t over = MIN(b->ceiling.open, -shard_budget_remaining(b));
  if (over <= 0) return false;
  b->ceiling.open -= over;
  return true;
}

/* Tokens that may have been used according to an earlier era's ceiling. Without
   one, or if an era lies between, they may have been all. The next ceiling
   counts also if it is not due: that of a new budget stands for the hold, in
   which nobody knew what was used. */
static int64_t max_used(const Ledger *l, const ShardBudget *b) {
  const ShardCeiling *c = &b->ceiling;
  if (c->era == 0 || c->era + 1 < l->era) return b->total;
  return MIN(c->next_unix_s > 0 ? c->next : c->ceiling, b->total);
}

bool ceiling_begin_era(const Ledger *l, const ShardState *s, ShardBudget *b) {
  ShardCeiling *c = &b->ceiling;
  if (l->era == 0 || c->era >= l->era || revision_era(s->version) != l->era)
    return false;
  /* Without a ceiling only an instance that saw the restore knows of it. */
  bool is_unknown =
      c->era == 0 && !(l->saw_restore && l->now < l->no_draws_until);
  if (is_unknown && ledger_may_lack_grants(l)) return false;
  int64_t limit = is_unknown ? 0 : max_used(l, b);
  /* After a while no instance can tell any more who may have drawn it. */
  if (c->open > 0 && l->unix_s - c->open_unix_s >= (int64_t)LOSSES_KEPT_S) {
    c->lost += c->open;
    c->open = 0;
  }
  if (c->open == 0) {
    c->open_era = l->era;
    c->open_unix_s = l->unix_s;
  }
  if (!l->faults.no_ceiling) c->open += MAX(0, limit - used_tokens(b));
  c->era = l->era;
  c->ceiling = b->total;
  c->next = c->next_unix_s = 0;
  /* One that an older build has dropped is not worth a write of its own. */
  return !is_unknown;
}

/* Since when this instance knows all members that may have drawn what `c` has
   open; INFINITY: it does not. Draws of members that were gone before are in
   the copy that was merged, or are older than a backup can be. */
static double known_since(const Ledger *l, const ShardState *s,
                          const ShardCeiling *c) {
  double drawn_at = l->now - BACKUP_MAX_AGE_S - MAX_READ_INTERVAL_S -
                    (double)(l->unix_s - c->open_unix_s);
  if (l->started_at + LOSS_NOTICED_S < drawn_at) return drawn_at;
  bool is_merged = s->merged_era == l->era || s->former_applied;
  if (!is_merged) return INFINITY;
  if (c->open_era == l->era) return s->merged_at;
  return c->open_era > s->chain_era ? s->chain_at : INFINITY;
}

/* Whether each home that may have drawn after the copy was made has written its
   grants, or their witness has. A witness is in the home's region, so at most
   one member of each may have been lost. */
static bool all_have_written(const Ledger *l, const ShardState *s,
                             const ShardCeiling *c) {
  double since = known_since(l, s, c);
  if (since < l->now - LOSSES_KEPT_S || since > l->now) return false;
  for (guint i = 0; i < l->losses->len; i++) {
    const MemberLoss *x = &g_array_index(l->losses, MemberLoss, i);
    if (x->at < since) continue;
    if (!x->has_witnesses) return false;
    for (guint k = 0; k < i; k++) {
      const MemberLoss *y = &g_array_index(l->losses, MemberLoss, k);
      if (y->at >= since && strcmp(x->region, y->region) == 0) return false;
    }
  }
  return true;
}

bool ceiling_settle(const Ledger *l, const ShardState *s, ShardBudget *b) {
  ShardCeiling *c = &b->ceiling;
  if (c->open == 0 || c->era != l->era || l->now < l->no_draws_until)
    return false;
  if (!all_have_written(l, s, c)) return false;
  c->open = 0;
  return true;
}

bool ceiling_may_settle(const Ledger *l, const ShardState *s) {
  GHashTableIter it;
  gpointer v;
  if (!s->doc) return s->former && s->former_era < l->era;
  g_hash_table_iter_init(&it, s->doc->budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ShardCeiling *c = &((const ShardBudget *)v)->ceiling;
    if (c->open > 0 && all_have_written(l, s, c)) return true;
  }
  return false;
}

/* == what this instance read in an earlier era == */

/* Takes over what is newer in `old`. All counts only grow. */
static bool merge_grant(ShardBudget *b, const ShardGrant *old) {
  ShardGrant *g = shard_find_grant(b, old->id);
  if (g && (g->sealed || (!old->sealed && g->granted >= old->granted)))
    return false;
  if (!g) g = shard_add_grant(b, old->id, old->home, old->witness, old->region);
  if (old->granted > g->granted)
    g_strlcpy(g->witness, old->witness, sizeof g->witness);
  g->granted = MAX(g->granted, old->granted);
  g->returned = MAX(g->returned, old->returned);
  g->spent = MAX(g->spent, old->spent);
  g->changed_unix_s = MAX(g->changed_unix_s, old->changed_unix_s);
  if (old->sealed)
    shard_seal_grant(g, old->limit, old->known_returned, old->limit_is_exact,
                     old->changed_unix_s);
  GHashTableIter it;
  gpointer k, v;
  if (!old->reports) return true;
  g_hash_table_iter_init(&it, old->reports);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const ShardReport *r = v;
    shard_apply_report(g, k, r->returned, r->spent, r->final,
                       old->changed_unix_s);
  }
  return true;
}

static int64_t removed_tokens(const ShardBudget *b) {
  return b->closed_spent + b->written_off;
}

/* Returns whether it changed `b`. */
static bool merge_budget(ShardBudget *b, const ShardBudget *old) {
  int64_t before = shard_budget_in_grants(b);
  bool changed = false;
  for (guint i = 0; i < old->grants->len; i++)
    changed |= merge_grant(b, old->grants->pdata[i]);
  if (old->table_version > b->table_version) {
    ceiling_add(b, old->total - b->total);
    b->total = old->total;
    b->table_version = old->table_version;
    changed = true;
  }
  if (removed_tokens(old) > removed_tokens(b)) {
    b->closed_spent = MAX(b->closed_spent, old->closed_spent);
    b->written_off = MAX(b->written_off, old->written_off);
    changed = true;
  }
  ceiling_account(b, before);
  return changed;
}

bool ceiling_merge_former(Ledger *l, ShardState *s) {
  GHashTableIter it;
  gpointer v;
  bool changed = false;
  if (!s->former || s->former_era >= l->era || s->merged_era == l->era ||
      revision_era(s->version) != l->era || !ledger_may_lack_grants(l))
    return false;
  s->former_applied = true;
  s->merged_at = s->former_at;
  if (s->chain_at <= 0 || s->chain_at < l->now - LOSSES_KEPT_S) {
    s->chain_era = s->former_era;
    s->chain_at = s->former_at;
  }
  /* Each backup contains a copy that is older than backups are. */
  if (s->former_at < l->restored_at - BACKUP_MAX_AGE_S) return false;
  g_hash_table_iter_init(&it, s->former->budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ShardBudget *old = v;
    ShardBudget *b = shard_ensure_budget(s->doc, old->name);
    /* Grants were removed since one of the two was written: what is missing in
       the other may be among them. */
    if (removed_tokens(b) > removed_tokens(old)) continue;
    changed |= merge_budget(b, old);
  }
  return changed;
}

/* == members == */

bool ceiling_must_keep_former(const Ledger *l, const ShardState *s) {
  uint64_t era = revision_era(s->version);
  return s->former && s->former_era < era && s->merged_era != era &&
         ledger_may_lack_grants(l);
}

void ceiling_note_view(Ledger *l, const View *old, const View *new) {
  if (old->n == 0) l->started_at = l->now;
  for (int i = 0; i < old->n; i++) {
    const Member *m = &old->list[i];
    if (view_find(new, m->id)) continue;
    int members = 0;
    for (int k = 0; k < old->n; k++)
      members += strcmp(old->list[k].region, m->region) == 0;
    MemberLoss x = {.at = l->now,
                    .has_witnesses = members >= MIN_WITNESSED_MEMBERS};
    g_strlcpy(x.region, m->region, sizeof x.region);
    g_array_append_val(l->losses, x);
  }
  while (l->losses->len > 0 &&
         g_array_index(l->losses, MemberLoss, 0).at < l->now - LOSSES_KEPT_S)
    g_array_remove_index(l->losses, 0);
}
