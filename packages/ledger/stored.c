/* stored.c: synchronises the shards with the store, with one conditional update
   at a time per shard. All pending changes are applied to whatever version is
   found, so after a conflict or a lost answer the shard is just read again. */
#include "ledger/state.h"
#include "store/pace.h"
#include "store/revision.h"

#include <string.h>

/* For a shard of which this instance is the home. */
#define READ_INTERVAL_S 30.0
/* Delay of a shard's first read without another cause: while instances start,
   each takes itself for the home. */
#define FIRST_READ_S 3.0
#define SEAL_WAIT_S 10.0 /* a report waits this long for its grant's seal */
/* Between two writes of a shard whose budgets are nearly used up. */
#define LOW_BUDGET_WRITE_INTERVAL_S 1.0
/* Between two failed calls of a shard that are repeated at once. */
#define REPEAT_INTERVAL_S 2.0
/* After an outage the homes' calls to the store are spread over this time. */
#define RETURN_SPREAD_S 0.2
/* After a restore of the store each home writes its grants again before any
   draws tokens that the store takes for free. An instance that does not call
   the store learns of a restore within 3 s. */
#define RESTORE_HOLD_S 10.0
/* The same for an instance that has just started: the store may have been
   restored a moment ago. */
#define START_HOLD_S 5.0

ShardState *sync_shard(Ledger *l, int index) {
  ShardState *s = l->shards[index];
  if (s) return s;
  s = l->shards[index] = g_new0(ShardState, 1);
  s->index = index;
  s->budgets = g_ptr_array_new();
  s->next_read_at = l->now + FIRST_READ_S * (0.5 + g_rand_double(l->rng));
  return s;
}

void sync_shard_free(ShardState *s) {
  if (!s) return;
  shard_free(s->doc);
  shard_free(s->former);
  g_ptr_array_free(s->budgets, TRUE);
  g_free(s);
}

/* == applying pending changes to the document == */

static bool apply_row(ShardBudget *b, const LedgerBudget *row) {
  if (b->table_version >= row->version) return false;
  ceiling_add(b, row->total - b->total);
  b->total = row->total;
  b->table_version = row->version;
  return true;
}

/* The document may have lost the last draws of a grant whose home is gone. What
   its witness agreed to is at least what was allotted. */
static void restore_granted(const Ledger *l, ShardBudget *b, ShardGrant *g,
                            const PendingSeal *s) {
  int64_t max_open = s->limit - s->returned_to_home;
  if (!ledger_may_lack_grants(l) || !s->witness[0]) return;
  int64_t before = shard_budget_in_grants(b);
  g->granted = MAX(g->granted, g->returned + max_open);
  ceiling_account(b, before);
}

static bool apply_seals(Ledger *l, HomeBudget *h, ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < h->seals->len; i++) {
    const PendingSeal *s = h->seals->pdata[i];
    ShardGrant *g = shard_find_grant(b, s->grant);
    if (!g || g->sealed || !s->is_answered) continue;
    /* Only the limit of the witness that the document names is valid. A witness
       that the home has replaced may have agreed to less than was allotted. */
    if (strcmp(g->witness, s->witness) != 0) continue;
    /* What it stated in this era is in the same document as its draws. */
    if (!s->by_allowance) restore_granted(l, b, g, s);
    shard_seal_grant(g, s->limit, s->returned_to_home, false, l->unix_s);
    changed = true;
  }
  return changed;
}

/* A grant whose home and witness are both gone can't be sealed. Its holders'
   reports are stored all the same, otherwise no holder could ever finish a
   drain. */
static bool cannot_be_sealed(const Ledger *l, const OrphanReport *x,
                             const ShardGrant *g) {
  return l->now - x->received_at >= SEAL_WAIT_S && !view_find(l->view, g->home);
}

/* A grant that is sealed in this copy stays sealed. One that is missing may be
   newer than the copy: only a copy read after the report arrived shows that the
   grant is gone. */
static bool apply_orphan_reports(Ledger *l, ShardState *s, HomeBudget *h,
                                 ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < h->orphan_reports->len; i++) {
    OrphanReport *x = h->orphan_reports->pdata[i];
    ShardGrant *g = shard_find_grant(b, x->grant);
    x->applied = g ? g->sealed || cannot_be_sealed(l, x, g)
                   : s->confirmed_at > x->received_at;
    if (!g && !x->applied) s->must_reread = s->dirty = true;
    if (!g || !x->applied) continue;
    changed |= shard_apply_report(g, x->holder, x->returned, x->spent, x->final,
                                  l->unix_s);
  }
  return changed;
}

/* Hands a grant over: returns its free tokens, and seals it with exactly what
   was allotted, so that later reports can account for all of it. */
static bool apply_handover(Ledger *l, HomeGrant *g, ShardBudget *b,
                           ShardGrant *sg) {
  if (!sg || sg->sealed) return false;
  g->returned += home_free_tokens(g);
  sg->returned = g->returned;
  sg->spent = g->spent;
  if (l->era == 0 && g->allotted - g->returned_by_holders <= g->spent) {
    shard_close_grant(b, sg);
    return true;
  }
  shard_seal_grant(sg, g->allotted, g->returned_by_holders, true, l->unix_s);
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init(&it, g->shares);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const HolderShare *s = v;
    shard_apply_report(sg, k, s->returned, s->spent, false, l->unix_s);
  }
  return true;
}

/* Applies reports that other instances stored while they took this one for
   gone. */
static void apply_stored_reports(HomeGrant *g, const ShardGrant *sg) {
  GHashTableIter it;
  gpointer k, v;
  if (!sg->reports) return;
  g_hash_table_iter_init(&it, sg->reports);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    const ShardReport *r = v;
    home_apply_counts(g, k, r->returned, r->spent);
  }
}

/* The document is of a later era than the last one that contained the grant, so
   it may have lost the grant or its last draws. */
static bool may_have_lost(const ShardState *s, const HomeGrant *g) {
  return g->stored && revision_era(s->version) > g->era;
}

/* Whether it has; `sg`: the grant in the document, NULL: it is missing. */
static bool has_lost(const HomeGrant *g, const ShardGrant *sg) {
  if (!sg) return true;
  if (sg->sealed) return false;
  return sg->granted < g->granted || sg->returned < g->stored_returned ||
         strcmp(sg->witness, g->witness) != 0;
}

/* Writes the grant as its home knows it into such a document. */
static bool restore_grant(Ledger *l, const HomeGrant *g, ShardBudget *b) {
  ShardGrant *sg = shard_find_grant(b, g->id);
  if (!has_lost(g, sg)) return false;
  if (!sg) sg = shard_add_grant(b, g->id, l->self, g->witness, l->region);
  g_strlcpy(sg->witness, g->witness, sizeof sg->witness);
  sg->granted = g->granted;
  sg->returned = g->returned;
  sg->spent = g->spent;
  sg->changed_unix_s = l->unix_s;
  return true;
}

/* Ends former grants once more that the document has lost, or whose end it has
   lost. */
static bool apply_former_grants(Ledger *l, const ShardState *s, HomeBudget *h,
                                ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < h->former_grants->len; i++) {
    HomeGrant *g = h->former_grants->pdata[i];
    if (!may_have_lost(s, g)) continue;
    changed |= restore_grant(l, g, b);
    changed |= apply_handover(l, g, b, shard_find_grant(b, g->id));
  }
  return changed;
}

static bool apply_grant(Ledger *l, const ShardState *s, HomeBudget *h,
                        ShardBudget *b) {
  HomeGrant *g = h->home_grant;
  if (!g) return false;
  bool changed = may_have_lost(s, g) && restore_grant(l, g, b);
  ShardGrant *sg = shard_find_grant(b, g->id);
  if (sg) apply_stored_reports(g, sg);
  if (g->frozen) return apply_handover(l, g, b, sg) || changed;
  if ((sg && sg->sealed) || (!sg && g->stored)) return changed;
  if (sg) {
    /* The spent count is written at its interval or with another change. */
    bool is_due = l->now - s->written_at >= l->report_write_s;
    changed |= sg->returned != g->returned || (is_due && sg->spent != g->spent);
    changed |= allowance_is_due(l, h);
    sg->returned = g->returned;
    if (changed) sg->spent = g->spent;
    if (g->next_witness_agreed && strcmp(sg->witness, g->next_witness) != 0) {
      g_strlcpy(sg->witness, g->next_witness, sizeof sg->witness);
      changed = true;
    }
  }
  changed |= ceiling_fit_open(b);
  int64_t left = ceiling_drawable(l, b);
  if (shard_budget_remaining(b) < 0 &&
      home_free_tokens(g) > 0) { /* the table lowered the total */
    int64_t n = MIN(-shard_budget_remaining(b), home_free_tokens(g));
    g->returned += n;
    if (sg) sg->returned = g->returned;
    return true;
  }
  /* Below the ceiling there is room for the draws of several homes: one plans
     with all that remains, but takes at most half of the room ahead of need. */
  int64_t n = home_plan_draw(l, h, left);
  if (l->now >= l->no_draws_until)
    n = MAX(n, MIN(home_plan_draw(l, h, shard_budget_remaining(b)), left / 2));
  if (n <= 0) return changed;
  if (!sg) sg = shard_add_grant(b, g->id, l->self, g->witness, l->region);
  sg->granted += n;
  sg->spent = g->spent;
  sg->changed_unix_s = l->unix_s;
  ceiling_fit_open(b);
  return true;
}

/* Whether every backup of the store has the grant as it is. Until then it stays
   in the document: one that is missing after a restore was lost. */
static bool is_in_backups(const Ledger *l, const ShardGrant *g) {
  int64_t age_s = l->unix_s - g->changed_unix_s;
  return l->era == 0 || age_s >= (int64_t)BACKUP_MAX_AGE_S;
}

static bool remove_settled_grants(Ledger *l, ShardBudget *b) {
  bool changed = false;
  for (guint i = 0; i < b->grants->len;) {
    ShardGrant *g = b->grants->pdata[i];
    if (is_in_backups(l, g) && shard_remove_settled(b, g, l->unix_s))
      changed = true;
    else
      i++;
  }
  return changed;
}

/* Returns whether a row was new or newer. */
static bool apply_rows(Ledger *l, ShardState *s) {
  bool changed = false;
  const GPtrArray *rows = l->rows_by_shard[s->index];
  for (guint i = 0; rows && i < rows->len; i++) {
    const LedgerBudget *row = rows->pdata[i];
    ShardBudget *b = shard_find_budget(s->doc, row->name);
    bool is_new = !b;
    if (is_new) b = shard_ensure_budget(s->doc, row->name);
    changed |= apply_row(b, row);
    if (is_new) ceiling_start(l, b);
  }
  return changed;
}

/* Writes what this instance knows of grants that the document may have lost,
   as their home or as their witness. */
static bool restore_known_grants(Ledger *l, const ShardState *s, HomeBudget *h,
                                 ShardBudget *b) {
  int64_t before = shard_budget_in_grants(b);
  bool changed = witness_restore_grants(l, b);
  for (guint i = 0; i < h->former_grants->len; i++) {
    const HomeGrant *g = h->former_grants->pdata[i];
    changed |= may_have_lost(s, g) && restore_grant(l, g, b);
  }
  if (h->home_grant && may_have_lost(s, h->home_grant))
    changed |= restore_grant(l, h->home_grant, b);
  ceiling_account(b, before);
  return changed;
}

/* In a document of the current era: first what may have been lost, then what
   counts as used because nobody has accounted for it. */
static bool apply_restore(Ledger *l, ShardState *s) {
  bool changed = false;
  if (revision_era(s->version) != l->era) return false;
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    ShardBudget *b = shard_find_budget(s->doc, h->name);
    if (b) changed |= restore_known_grants(l, s, h, b);
  }
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->doc->budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    changed |= ceiling_begin_era(l, s, v);
    changed |= ceiling_settle(l, s, v);
  }
  return changed;
}

static bool apply_changes(Ledger *l, ShardState *s) {
  bool changed = ceiling_merge_former(l, s);
  changed |= apply_rows(l, s);
  changed |= apply_restore(l, s);
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    ShardBudget *b = shard_find_budget(s->doc, h->name);
    if (!b) continue;
    changed |= apply_seals(l, h, b);
    changed |= apply_orphan_reports(l, s, h, b);
    changed |= apply_former_grants(l, s, h, b);
    changed |= apply_grant(l, s, h, b);
    changed |= remove_settled_grants(l, b);
    changed |= ceiling_raise(l, h, b, changed);
  }
  return changed;
}

/* == after a version is known to be current == */

static void confirm_grant(const Ledger *l, const ShardState *s, HomeBudget *h,
                          const ShardBudget *b) {
  HomeGrant *g = h->home_grant;
  if (!g) return;
  const ShardGrant *sg = b ? shard_find_grant(b, g->id) : NULL;
  if (may_have_lost(s, g) && has_lost(g, sg)) return; /* it is written first */
  bool is_over = sg ? sg->sealed : (g->stored || g->frozen);
  if (is_over) {
    home_drop_grant(l, h);
    return;
  }
  if (!sg) return;
  if (!g->stored && strcmp(g->witness, sg->witness) != 0) {
    /* The witness was replaced while the first update was in progress, but a
       successor will query the one that the document names. */
    g_strlcpy(g->witness, sg->witness, sizeof g->witness);
    g->limit = g->limit_requested = 0;
  }
  g->stored = true;
  allowance_confirm(l, s, g, sg);
  g->era = revision_era(s->version);
  g->granted = sg->granted;
  g->stored_spent = sg->spent;
  g->stored_returned = sg->returned;
  if (g->replacing_witness && g->next_witness_agreed &&
      strcmp(sg->witness, g->next_witness) == 0) {
    g_strlcpy(g->witness, sg->witness, sizeof g->witness);
    g->replacing_witness = g->next_witness_agreed = false;
  }
}

static void confirm_former_grants(const ShardState *s, HomeBudget *h,
                                  const ShardBudget *b) {
  for (guint i = 0; i < h->former_grants->len; i++) {
    HomeGrant *g = h->former_grants->pdata[i];
    const ShardGrant *sg = b ? shard_find_grant(b, g->id) : NULL;
    if (sg && sg->sealed) g->era = revision_era(s->version);
  }
}

static void confirm_orphan_reports(Ledger *l, HomeBudget *h) {
  for (guint i = 0; i < h->orphan_reports->len;) {
    const OrphanReport *x = h->orphan_reports->pdata[i];
    if (!x->applied) {
      i++;
      continue;
    }
    LedgerMsg r = ledger_make_msg(LEDGER_REPORT_ACK, h->name, x->grant);
    r.returned = x->returned;
    r.spent = x->spent;
    r.final = true;
    ledger_send(l, x->holder, &r);
    g_ptr_array_remove_index(h->orphan_reports, i);
  }
}

static void confirm_seals(HomeBudget *h, const ShardBudget *b) {
  for (guint i = 0; i < h->seals->len;) {
    const PendingSeal *s = h->seals->pdata[i];
    const ShardGrant *g = b ? shard_find_grant(b, s->grant) : NULL;
    if (!g || g->sealed)
      g_ptr_array_remove_index(h->seals, i);
    else
      i++;
  }
}

/* What a restored store may have lost counts as left until it is known. */
static int64_t open_tokens(const Ledger *l, const ShardBudget *b) {
  return ledger_may_lack_grants(l) ? b->ceiling.open : 0;
}

bool sync_is_held(const Ledger *l, const ShardBudget *b) {
  int64_t left = shard_budget_remaining(b) + open_tokens(l, b);
  int64_t drawable = ceiling_drawable(l, b);
  return drawable < MIN(left, LEDGER_MIN_DRAW_TOKENS);
}

void sync_note_remaining(const Ledger *l, HomeBudget *h, const ShardBudget *b) {
  h->is_known = true;
  if (!b) {
    h->remaining = h->unspent = 0;
    h->is_held = false;
    return;
  }
  int64_t open = open_tokens(l, b);
  h->remaining = shard_budget_remaining(b) + open;
  h->unspent = b->total - b->written_off - shard_budget_spent(b) -
               b->ceiling.lost - b->ceiling.open + open;
  h->is_held = sync_is_held(l, b);
}

/* Removes pending changes that the document now contains. */
static void confirm_changes(Ledger *l, ShardState *s) {
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    const ShardBudget *b = shard_find_budget(s->doc, h->name);
    confirm_grant(l, s, h, b);
    confirm_former_grants(s, h, b);
    confirm_orphan_reports(l, h);
    confirm_seals(h, b);
    sync_note_remaining(l, h, b);
  }
  if (s->former_applied) s->merged_era = l->era;
}

static void confirm_doc(Ledger *l, ShardState *s) {
  s->newest_version = s->version;
  s->confirmed_at = l->now;
  s->backoff = 0;
  s->down_since = 0;
  s->next_read_at =
      l->now + READ_INTERVAL_S * (0.75 + g_rand_double(l->rng) / 2);
  confirm_changes(l, s);
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    bool is_returned = !h->home_grant || h->home_grant->stored_returned >=
                                             h->home_grant->returned;
    if (h->notify_recaller && is_returned) {
      h->notify_recaller = false;
      LedgerMsg m = ledger_make_msg(LEDGER_RECALL_DONE, h->name, 0);
      ledger_send(l, h->recaller, &m);
    }
  }
  home_check_grants(l, s);
  for (guint i = 0; i < s->budgets->len; i++)
    home_serve_draws(l, s->budgets->pdata[i]);
}

/* == store operations == */

static void start_call(Ledger *l, ShardState *s, LedgerActionKind kind) {
  LedgerAction *a = ledger_add_action(l, kind);
  a->shard = s->index;
  s->call_pending = true;
  s->call_started_at = l->now;
  s->call_is_put = kind == LEDGER_ACTION_PUT;
  if (!s->call_is_put) return;
  a->version = s->version;
  a->text = shard_encode(s->doc);
}

/* Keeps the copy that is dropped: a restored store may lack what it shows. One
   of an earlier era is kept until the store's document contains it. */
static void keep_former(const Ledger *l, ShardState *s) {
  uint64_t era = revision_era(s->version);
  if (!s->doc) return;
  if (ceiling_must_keep_former(l, s)) {
    shard_free(s->doc);
    return;
  }
  shard_free(s->former);
  s->former = s->doc;
  s->former_era = era;
  s->former_at = s->confirmed_at;
}

/* Drops the local copy; reports that were applied only to it are pending
   again. */
static void forget_doc(const Ledger *l, ShardState *s) {
  keep_former(l, s);
  s->doc = NULL;
  s->former_applied = false;
  for (guint i = 0; i < s->budgets->len; i++) {
    HomeBudget *h = s->budgets->pdata[i];
    for (guint k = 0; k < h->orphan_reports->len; k++)
      ((OrphanReport *)h->orphan_reports->pdata[k])->applied = false;
  }
}

/* A draining instance calls the store without waiting for the others to report
   that it is back. */
static bool must_wait_for_store(const Ledger *l) {
  return l->store_down && !l->draining;
}

static bool has_decided_seal(const HomeBudget *h) {
  for (guint i = 0; i < h->seals->len; i++)
    if (((const PendingSeal *)h->seals->pdata[i])->is_answered) return true;
  return false;
}

/* Homes would pass the few last tokens of a budget back and forth with each
   request: 3 of 40 budgets caused 949 of the 2,236 writes of 295 instances.
   Waiting requests are served from tokens that holders return to the home. */
static bool is_nearly_used_up(const Ledger *l, const ShardState *s) {
  for (guint i = 0; i < s->budgets->len; i++) {
    const HomeBudget *h = s->budgets->pdata[i];
    const LedgerBudget *row = g_hash_table_lookup(l->rows, h->name);
    if (!h->is_known || has_decided_seal(h)) return false;
    double threshold = row ? LEDGER_MAX_UNUSED_RATIO * (double)row->total : 0;
    if ((double)h->remaining >= threshold) return false;
  }
  return s->budgets->len > 0;
}

void sync_store_back(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    if (s) s->retry_at = l->now + RETURN_SPREAD_S * g_rand_double(l->rng);
  }
}

/* Reads all shards in use again, so that what they have lost is written. */
static void reread_all(Ledger *l) {
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    if (!s || (!s->doc && s->budgets->len == 0)) continue;
    s->must_reread = s->dirty = true;
    s->retry_at = l->now + RETURN_SPREAD_S * g_rand_double(l->rng);
  }
}

void sync_note_era(Ledger *l, uint64_t era) {
  if (era <= l->era) return;
  l->era = era;
  l->saw_restore = l->has_read;
  l->no_draws_until = l->now + (l->has_read ? RESTORE_HOLD_S : START_HOLD_S);
  l->restored_at = l->now;
  l->must_settle = true;
  reread_all(l);
  witness_touch_lost_grants(l);
}

void sync_start_call(Ledger *l, ShardState *s) {
  if (s->call_pending || !s->dirty || l->now < s->retry_at) return;
  if (must_wait_for_store(l)) return;
  bool wrote_recently =
      l->now - s->written_at < LOW_BUDGET_WRITE_INTERVAL_S && s->written_at > 0;
  if (wrote_recently && !l->draining && is_nearly_used_up(l, s)) return;
  if (s->must_reread) forget_doc(l, s);
  s->must_reread = false;
  if (!s->doc) {
    start_call(l, s, LEDGER_ACTION_GET);
    return;
  }
  s->dirty = false;
  if (apply_changes(l, s)) {
    allowance_state(l, s);
    start_call(l, s, LEDGER_ACTION_PUT);
  } else {
    confirm_changes(l, s);
  }
}

void sync_touch(Ledger *l, ShardState *s) {
  s->dirty = true;
  if (s->queued) return;
  s->queued = true;
  g_queue_push_tail(&l->touched_shards, s);
}

static void schedule_retry(Ledger *l, ShardState *s) {
  s->retry_at = l->now + pace_backoff(&s->backoff, g_rand_double(l->rng));
}

/* True when the shard's last call failed while the store answers: it is
   repeated at once, as requests wait for less time than a back-off. Only the
   second of two failures in a row means that the store is away. */
static bool is_lost_call(const Ledger *l, const ShardState *s) {
  bool repeated_lately =
      s->repeated_at > 0 && l->now - s->repeated_at < REPEAT_INTERVAL_S;
  return !l->store_down && s->down_since == 0 && !repeated_lately;
}

static void receive_doc(Ledger *l, ShardState *s, uint64_t version,
                        const char *text) {
  /* A read may return an old copy, which must not replace a newer one. */
  bool is_stale = version < s->newest_version;
  Shard *doc = is_stale ? NULL : text ? shard_decode(text) : shard_new();
  if (!doc) { /* stale, or damaged, which can't be repaired here: read again */
    s->dirty = true;
    schedule_retry(l, s);
    return;
  }
  forget_doc(l, s);
  l->has_read = true;
  s->doc = doc;
  s->version = version;
  s->dirty = true;
  confirm_doc(l, s);
}

void sync_result(Ledger *l, ShardState *s, ErrKind kind, uint64_t version,
                 const char *text) {
  if (!s->call_pending) return;
  sync_note_era(l, revision_era(version));
  bool was_put = s->call_is_put;
  s->call_pending = s->call_is_put = false;
  switch (kind) {
  case ERR_NONE:
    if (was_put) {
      s->version = version;
      s->written_at = l->now;
      confirm_doc(l, s);
    } else {
      receive_doc(l, s, version, text);
    }
    break;
  case ERR_STORE_ABSENT: receive_doc(l, s, version, NULL); break;
  case ERR_STORE_CONFLICT:
    forget_doc(l, s);
    s->dirty = true;
    s->retry_at = l->now + g_rand_double(l->rng) * 0.02;
    break;
  default: /* no answer: a write may have taken effect, so read first */
    forget_doc(l, s);
    s->dirty = true;
    if (is_lost_call(l, s)) {
      s->repeated_at = l->now;
      break;
    }
    if (s->down_since == 0) s->down_since = l->now;
    schedule_retry(l, s);
    for (guint i = 0; i < s->budgets->len; i++)
      home_serve_draws(l, s->budgets->pdata[i]);
    break;
  }
  sync_start_call(l, s);
}

/* The hold is over: frees at once what all homes have accounted for. */
static void settle_all(Ledger *l) {
  l->must_settle = false;
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    if (!s || !ceiling_may_settle(l, s)) continue;
    s->must_reread = s->dirty = true;
    s->retry_at = l->now + RETURN_SPREAD_S * g_rand_double(l->rng);
  }
}

void sync_tick(Ledger *l) {
  if (l->must_settle && l->now >= l->no_draws_until) settle_all(l);
  if (ledger_may_lack_grants(l) &&
      l->now - l->losses_checked_at >= LEDGER_IDLE_CHECK_S) {
    l->losses_checked_at = l->now;
    witness_touch_lost_grants(l);
  }
  for (int i = 0; i < LIMIT_BUDGET_SHARDS; i++) {
    ShardState *s = l->shards[i];
    bool is_home = l->rows_by_shard[i] && ledger_is_home(l, i) && !l->draining;
    if (!s && !is_home) continue;
    if (!s) s = sync_shard(l, i);
    if (is_home && l->now >= s->next_read_at && !s->call_pending) {
      s->next_read_at = l->now + READ_INTERVAL_S;
      s->must_reread = s->dirty = true;
    }
    if (is_home && l->now - s->grants_checked_at >= LEDGER_IDLE_CHECK_S) {
      s->grants_checked_at = l->now;
      home_check_grants(l, s);
    }
    sync_start_call(l, s);
  }
}
