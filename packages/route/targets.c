/* targets.c: membership of targets and what is learned about them. */
#include "route/state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "store/revision.h"

/* Entries that disappeared during a store outage are back within two seconds
   of its return, and a leaving target may get work for two seconds. */
#define LAPSED_USE_S 1.5
#define CONFIRM_S 5.0      /* the entry of an ended target disappears in 4 s */
#define FORGET_LEFT_S 30.0 /* targets that left are forgotten after this */
/* An unresponsive target is ejected for this long, doubled each time up to the
   maximum. */
#define EJECT_UNRESPONSIVE_MIN_S 0.5
#define EJECT_UNRESPONSIVE_MAX_S 4.0
#define FAILURE_WEIGHT 0.2      /* weight of one outcome in the average */
#define EJECT_FAILURE_RATIO 0.5 /* a higher average ejects a target */
#define EJECT_FAILED_S 2.0
/* The entry of a target that has ended disappears after three heartbeats;
   until then each attempt on it is a refused connection. */
#define EJECT_ENDED_S 4.0
/* A reported slowdown is clamped to this range, so that one wrong figure does
   not decide for long. */
#define SLOWDOWN_MIN 0.5
#define SLOWDOWN_MAX 20.0
#define EJECT_FULL_S 0.1 /* after it reported that it is full */
/* A reported slowdown has no weight after this. */
#define SLOWDOWN_MAX_AGE_S 0.3
#define ANSWER_TIME_WEIGHT 0.1 /* weight of one answer in the mean time */
/* Weight of one first byte in a target's average. */
#define FIRST_BYTE_WEIGHT 0.1
#define FIRST_BYTE_RATIO_MAX 4.0 /* one first byte counts for at most this */
/* Reports of other instances are used for this long: prompts are read in less,
   and an instance that ended or is cut off sends no update. */
#define OTHERS_MAX_AGE_S 2.0

static void use_free(TargetUse *u) {
  if (!u) return;
  parts_free(u->parts);
  g_hash_table_destroy(u->others);
  g_free(u);
}

static TargetUse *ensure_use(Target *t) {
  if (t->use) return t->use;
  t->use = g_new0(TargetUse, 1);
  t->use->parts = parts_new();
  t->use->others =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return t->use;
}

static void target_free(gpointer p) {
  Target *t = p;
  use_free(t->use);
  g_free(t);
}

Targets *targets_new(const char *dc, uint32_t seed) {
  Targets *s = g_new0(Targets, 1);
  g_strlcpy(s->dc, dc, sizeof s->dc);
  s->evacuation = evacuation_new();
  s->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
  s->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
  s->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
  s->retired = g_ptr_array_new_with_free_func(target_free);
  g_queue_init(&s->changed_targets);
  g_queue_init(&s->parts_to_send);
  s->rand = g_rand_new_with_seed(seed);
  return s;
}

void targets_free(Targets *s) {
  evacuation_free(s->evacuation);
  g_hash_table_destroy(s->by_hash);
  g_queue_clear(&s->changed_targets);
  g_queue_clear_full(&s->parts_to_send, g_free);
  g_hash_table_destroy(s->by_id);
  g_ptr_array_free(s->retired, TRUE);
  g_hash_table_destroy(s->pools);
  g_rand_free(s->rand);
  g_free(s);
}

void targets_set_regions(Targets *s, const Regions *r) {
  s->regions = r;
  s->region = regions_of_dc(r, s->dc);
}

/* == membership == */

static Pool *find_pool_by_hash(const Targets *s, uint64_t hash) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Pool *pool = v;
    if (pool->hash == hash) return pool;
  }
  return NULL;
}

static Pool *ensure_pool(Targets *s, const char *service) {
  Pool *pool = g_hash_table_lookup(s->pools, service);
  if (pool) return pool;
  pool = pool_new(service);
  g_hash_table_insert(s->pools, pool->service, pool);
  return pool;
}

/* Instances exchange information about one incarnation of a target, so the
   hash covers its start time. */
static uint64_t hash_incarnation(const TargetInfo *info) {
  if (info->start_ms == 0) return text_hash(info->id);
  return XXH64(info->id, strlen(info->id), (uint64_t)info->start_ms);
}

static Target *target_new(Targets *s, double now, const TargetInfo *info) {
  Target *t = g_new0(Target, 1);
  t->set = s;
  t->info = *info;
  t->hash = hash_incarnation(info);
  t->version = versions_hash(info->version);
  t->leave_at = t->unlisted_at = INFINITY;
  t->limit = QUOTA_UNLIMITED;
  t->first_byte_ratio = 1;
  t->pool = ensure_pool(s, info->service);
  pool_add(t->pool, t);
  versions_add(t->pool->versions, now, t->version);
  g_hash_table_insert(s->by_id, t->info.id, t);
  g_hash_table_insert(s->by_hash, &t->hash, t);
  return t;
}

static void mark_leaving(Target *t, double now, bool lapsed) {
  double at = lapsed ? now + LAPSED_USE_S : now;
  t->lapsed |= lapsed;
  t->leave_at = MIN(t->leave_at, at);
  t->set->any_left = true;
}

/* Its entry is not in the store. */
static void mark_unlisted(Target *t, double now, bool lapsed) {
  mark_leaving(t, now, lapsed);
  t->unlisted_at = MIN(t->unlisted_at, now);
}

static void leave_pool(Target *t) {
  pool_remove(t->pool, t);
  versions_remove(t->pool->versions, t->leave_at, t->version);
}

/* Removes it from everything but its own requests. */
static void retire_target(Targets *s, double now, Target *t) {
  mark_unlisted(t, now, false);
  g_hash_table_steal(s->by_id, t->info.id);
  g_hash_table_remove(s->by_hash, &t->hash);
  leave_pool(t);
  g_ptr_array_add(s->retired, t);
}

/* Instances of earlier builds hand entries on without the version. */
static bool may_be_version(const Target *t, const TargetInfo *info) {
  return !t->info.version[0] || !info->version[0] ||
         strcmp(t->info.version, info->version) == 0;
}

static bool is_same_incarnation(const Target *t, const TargetInfo *info) {
  return t->info.start_ms == info->start_ms &&
         strcmp(t->info.service, info->service) == 0 && may_be_version(t, info);
}

/* Replaces its entry; a version that is known is kept if the new one has none.
 */
static void set_info(Target *t, double now, const TargetInfo *info) {
  char version[LIMIT_NAME_BYTES];
  g_strlcpy(version, info->version[0] ? info->version : t->info.version,
            sizeof version);
  t->info = *info;
  g_strlcpy(t->info.version, version, sizeof t->info.version);
  if (versions_hash(version) == t->version) return;
  versions_remove(t->pool->versions, now, t->version);
  t->version = versions_hash(version);
  versions_add(t->pool->versions, now, t->version);
}

bool targets_is_newer(const Targets *s, const TargetInfo *info) {
  const Target *t = g_hash_table_lookup(s->by_id, info->id);
  return !t || info->revision > t->info.revision;
}

/* The store was restored from a backup since the known entry was read. */
static bool is_after_restore(const Target *t, const TargetInfo *info) {
  return revision_era(info->revision) > revision_era(t->info.revision);
}

/* The entry was removed, and is back with a backup that is older than that. */
static bool is_back_with_backup(const Target *t, const TargetInfo *info) {
  return is_after_restore(t, info) && !isinf(t->unlisted_at) && !t->lapsed;
}

/* The entry stated that the target leaves, and a backup does not say so yet. */
static bool is_before_leaving(const Target *t, const TargetInfo *info) {
  return is_after_restore(t, info) && t->info.leaving && !info->leaving;
}

/* Such a target may have left. It gets work once its entry changes, or has not
   disappeared in the time that the entry of an ended target takes to do so. */
static void update_unconfirmed(Target *t, double now, const TargetInfo *info) {
  if (is_back_with_backup(t, info))
    t->unconfirmed_until = now + CONFIRM_S;
  else if (info->revision > t->info.revision)
    t->unconfirmed_until = 0;
}

bool targets_set(Targets *s, double now, const TargetInfo *info) {
  Target *t = g_hash_table_lookup(s->by_id, info->id);
  if (t && info->revision < t->info.revision) return false;
  bool restarted = t && !is_same_incarnation(t, info);
  if (restarted) retire_target(s, now, t);
  if (restarted) t = NULL;
  bool is_newer = !t || info->revision > t->info.revision;
  if (!t) t = target_new(s, now, info);
  if (is_newer) t->cold_until = now + info->cold_s;
  update_unconfirmed(t, now, info);
  t->stated_leaving |= is_before_leaving(t, info);
  set_info(t, now, info);
  t->lapsed = false;
  t->evacuated = evacuation_contains(s->evacuation, info->dc);
  t->region = s->regions ? regions_of_dc(s->regions, info->dc) : 0;
  t->unlisted_at = INFINITY;
  if (info->leaving || t->stated_leaving)
    mark_leaving(t, now, false);
  else
    t->leave_at = INFINITY;
  return restarted;
}

void targets_remove(Targets *s, double now, const char *id, bool lapsed) {
  Target *t = g_hash_table_lookup(s->by_id, id);
  if (t) mark_unlisted(t, now, lapsed);
}

void targets_retain_only(Targets *s, double now, GHashTable *keep,
                         bool lapsed) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Target *t = v;
    if (!g_hash_table_contains(keep, t->info.id)) mark_unlisted(t, now, lapsed);
  }
}

/* == evacuations == */

static void mark_evacuated(Targets *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Target *t = v;
    t->evacuated = evacuation_contains(s->evacuation, t->info.dc);
  }
}

bool targets_set_evacuated(Targets *s, const char *dc, bool on) {
  bool changed = evacuation_set(s->evacuation, dc, on);
  if (changed) mark_evacuated(s);
  return changed;
}

bool targets_set_evacuated_dcs(Targets *s, GHashTable *dcs) {
  bool changed = evacuation_replace(s->evacuation, dcs);
  if (changed) mark_evacuated(s);
  return changed;
}

int targets_count_in_dc(const Targets *s, const char *dc) {
  GHashTableIter it;
  gpointer v;
  int n = 0;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v))
    n += strcmp(((const Target *)v)->info.dc, dc) == 0;
  return n;
}

/* == cold targets == */

void targets_set_cold_bound(Targets *s, double overrun, double extra) {
  s->cold_overrun_ratio = overrun;
  s->cold_extra_per_s = extra;
}

void targets_set_rank(Targets *s, double now, int rank, int of) {
  quota_set_rank(&s->share, now, rank, of);
}

uint64_t targets_visits(const Targets *s) {
  uint64_t n = 0;
  GHashTableIter it;
  gpointer pool;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &pool)) n += ((Pool *)pool)->visits;
  return n;
}

void target_set_cold(Target *t, double now, double left_s) {
  t->cold_until = MAX(t->cold_until, now + left_s);
}

/* == restarts and removal == */

uint64_t targets_hash_by_id(const Targets *s, const char *id) {
  const Target *t = g_hash_table_lookup(s->by_id, id);
  return t ? t->hash : 0;
}

void targets_for_each_at_addr(Targets *s, const char *addr,
                              void (*fn)(void *ctx, Target *t), void *ctx) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (strcmp(target_addr(v), addr) == 0) fn(ctx, v);
}

bool target_has_left(const Target *t, double now) {
  return now >= t->leave_at;
}

bool targets_have_successor(const Targets *s, const Target *t) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Target *other = v;
    if (other != t && other->info.revision > t->info.revision &&
        strcmp(target_addr(other), target_addr(t)) == 0)
      return true;
  }
  return false;
}

void targets_mark_replaced(Targets *s, double now, Target *t) {
  (void)s;
  mark_leaving(t, now, false);
}

/* One that stated that it leaves is known until its entry, which may not say
   so, is gone. */
static bool is_forgettable(const Target *t, double now) {
  double since = t->stated_leaving ? t->unlisted_at : t->leave_at;
  return t->open == 0 && now > since + FORGET_LEFT_S && now >= t->paused_until;
}

static gboolean remove_if_forgettable(gpointer key, gpointer value,
                                      gpointer now) {
  (void)key;
  Target *t = value;
  if (!is_forgettable(t, *(double *)now)) return FALSE;
  g_hash_table_remove(t->set->by_hash, &t->hash);
  leave_pool(t);
  g_queue_remove(&t->set->changed_targets, t);
  return TRUE;
}

static void note_any_left(gpointer id, gpointer target, gpointer any) {
  (void)id;
  *(bool *)any |= !isinf(((const Target *)target)->leave_at);
}

void targets_sweep(Targets *s, double now) {
  if (!s->any_left) return;
  g_hash_table_foreach_remove(s->by_id, remove_if_forgettable, &now);
  for (guint i = s->retired->len; i-- > 0;) {
    Target *t = s->retired->pdata[i];
    if (!is_forgettable(t, now)) continue;
    g_queue_remove(&s->changed_targets, t);
    g_ptr_array_remove_index_fast(s->retired, i);
  }
  s->any_left = s->retired->len > 0;
  g_hash_table_foreach(s->by_id, note_any_left, &s->any_left);
}

int targets_count(const Targets *s, const char *service) {
  const Pool *pool = g_hash_table_lookup(s->pools, service);
  int n = 0;
  for (guint i = 0; pool && i < pool->members->len; i++) {
    const Target *t = pool->members->pdata[i];
    n += isinf(t->leave_at);
  }
  return n;
}

bool targets_have_versions(const Targets *s, uint64_t service) {
  const Pool *pool = find_pool_by_hash(s, service);
  return pool && versions_are_several(pool->versions);
}

bool targets_sole_version(const Targets *s, double now, uint64_t service,
                          double memory_s, uint64_t *version) {
  const Pool *pool = find_pool_by_hash(s, service);
  return pool && versions_sole(pool->versions, now, memory_s, version);
}

bool targets_only_version(const Targets *s, uint64_t service,
                          uint64_t *version) {
  const Pool *pool = find_pool_by_hash(s, service);
  return pool && versions_only(pool->versions, version);
}

void targets_for_each_service(const Targets *s,
                              void (*fn)(void *ctx, uint64_t service),
                              void *ctx) {
  GHashTableIter it;
  gpointer pool;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &pool))
    fn(ctx, ((Pool *)pool)->hash);
}

int targets_count_all(const Targets *s) {
  return (int)g_hash_table_size(s->by_id);
}

const char *targets_random_addr(Targets *s) {
  GHashTableIter it;
  gpointer v;
  guint n = 0;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &v)) n += ((Pool *)v)->members->len;
  if (n == 0) return NULL;
  guint at = (guint)g_rand_int_range(s->rand, 0, (gint32)n);
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const GPtrArray *members = ((Pool *)v)->members;
    if (at < members->len) {
      const Target *t = members->pdata[at];
      return isinf(t->leave_at) ? t->info.addr : NULL;
    }
    at -= members->len;
  }
  return NULL;
}

bool target_may_have_left(const Target *t, double now) {
  return now >= t->leave_at || now < t->unconfirmed_until;
}

bool target_is_usable(const Target *t, double now) {
  return !target_may_have_left(t, now) && !t->evacuated &&
         now >= t->paused_until;
}

const char *target_id(const Target *t) {
  return t->info.id;
}

uint64_t target_hash(const Target *t) {
  return t->hash;
}

uint64_t targets_counter(const Targets *s, uint64_t target) {
  const Target *t = g_hash_table_lookup(s->by_hash, &target);
  return t ? pool_group(t->pool, target) : 0;
}

int target_open(const Target *t) {
  return t->open;
}

const char *target_addr(const Target *t) {
  return t->info.addr;
}

const char *target_version_text(const Target *t) {
  return t->info.version;
}

uint64_t target_version(const Target *t) {
  return t->version;
}

/* == observations == */

static void queue_work_update(Target *t) {
  if (t->changed) return;
  t->changed = true;
  g_queue_push_tail(&t->set->changed_targets, t);
}

/* Removes tokens that were sent there but not read yet. */
static void remove_backlog(Target *t, int64_t uncached_tokens) {
  t->waiting--;
  t->backlog_tokens -= uncached_tokens;
  queue_work_update(t);
}

static void record_parts(Target *t, double now, const RequestInfo *request,
                         RegionSet regions) {
  Targets *s = t->set;
  TargetParts m = {.target = t->hash};
  m.n = parts_note_prompt(ensure_use(t)->parts, request, now, m.names);
  bool may_send = regions_admit(regions, s->region, REGIONS_PEERS);
  if (m.n > 0 && may_send)
    g_queue_push_tail(&s->parts_to_send, g_memdup2(&m, sizeof m));
}

void target_note_sent(Target *t, double now, const RequestInfo *request,
                      const TargetChoice *c) {
  t->open++;
  t->waiting++;
  quota_note_send(&ensure_use(t)->sends, now);
  t->backlog_tokens += c->uncached_tokens;
  record_parts(t, now, request, c->regions);
  division_note_prefill(t->pool->division, now, c->long_prompt,
                        c->uncached_tokens);
  queue_work_update(t);
}

static void update_mean(double *m, double v, double weight) {
  *m += weight * (v - *m);
}

void target_note_first_byte(Target *t, int64_t uncached_tokens,
                            int64_t queued_tokens, double took_s) {
  Fit *line = &t->pool->first_byte;
  double x = (double)(uncached_tokens + queued_tokens),
         usual = fit_value(line, x);
  remove_backlog(t, uncached_tokens);
  if (usual > 0)
    update_mean(
        &t->first_byte_ratio,
        CLAMP(took_s / usual, 1 / FIRST_BYTE_RATIO_MAX, FIRST_BYTE_RATIO_MAX),
        FIRST_BYTE_WEIGHT);
  fit_add(line, x, took_s);
}

/* Other workloads share the target's machine and its slowdown changes many
   times a second, so a report loses weight with age. */
double target_slowdown(const Target *t, double now) {
  double age = now - t->reported_at;
  if (t->slowdown <= 0 || age >= SLOWDOWN_MAX_AGE_S) return 1;
  return 1 + (t->slowdown - 1) * (1 - age / SLOWDOWN_MAX_AGE_S);
}

void target_note_done(Target *t, double now, TargetOutcome how, bool first,
                      int64_t uncached_tokens, double took_s) {
  t->open--;
  queue_work_update(t);
  if (!first) remove_backlog(t, uncached_tokens);
  switch (how) {
  case TARGET_OK:
    update_mean(&t->failure_ratio, 0, FAILURE_WEIGHT);
    update_mean(&t->mean_answer_s, took_s / target_slowdown(t, now),
                t->mean_answer_s > 0 ? ANSWER_TIME_WEIGHT : 1);
    t->ejection_s = 0;
    break;
  case TARGET_FULL: t->ejected_until = now + EJECT_FULL_S; break;
  case TARGET_FAILED:
    update_mean(&t->failure_ratio, 1, FAILURE_WEIGHT);
    if (t->failure_ratio > EJECT_FAILURE_RATIO)
      t->ejected_until = now + EJECT_FAILED_S;
    break;
  case TARGET_UNRESPONSIVE:
    update_mean(&t->failure_ratio, 1, FAILURE_WEIGHT);
    t->ejection_s = CLAMP(t->ejection_s * 2, EJECT_UNRESPONSIVE_MIN_S,
                          EJECT_UNRESPONSIVE_MAX_S);
    t->ejected_until = now + t->ejection_s;
    if (t->use)
      parts_clear(t->use->parts); /* a restarted target has an empty cache */
    break;
  case TARGET_NO_PATH:
  case TARGET_ABANDONED: break;
  }
}

void targets_end_ejections(Targets *s) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->by_id);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Target *t = v;
    t->ejected_until = t->ejection_s = t->failure_ratio = 0;
  }
}

void target_note_ended(Target *t, double now) {
  t->ejected_until = now + EJECT_ENDED_S;
}

void target_set_load(Target *t, double now, int running, int waiting,
                     double slowdown) {
  t->reported_running = running;
  t->reported_waiting = waiting;
  t->reported_at = now;
  t->slowdown = slowdown > 0 ? CLAMP(slowdown, SLOWDOWN_MIN, SLOWDOWN_MAX) : 0;
}

bool target_note_leaving(Target *t, double now) {
  bool is_first = !t->stated_leaving;
  t->stated_leaving = true;
  mark_leaving(t, now, false);
  return is_first;
}

void target_note_pause(Target *t, double now, double seconds) {
  t->paused_until = MAX(t->paused_until, now + seconds);
}

/* == work of the other instances == */

/* Sums up what the other instances have there, by their recent reports. */
static OtherLoad sum_other_loads(const Target *t, double now) {
  OtherLoad sum = {0};
  GHashTableIter it;
  gpointer v;
  if (!t->use) return sum;
  g_hash_table_iter_init(&it, t->use->others);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const OtherLoad *o = v;
    if (now - o->reported_at > OTHERS_MAX_AGE_S) continue;
    sum.open += o->open;
    sum.tokens += o->tokens;
  }
  return sum;
}

TargetLoad target_current_load(const Target *t, double now) {
  OtherLoad o = sum_other_loads(t, now);
  return (TargetLoad){.open = t->open + o.open,
                      .tokens = t->backlog_tokens + o.tokens};
}

bool targets_next_work(Targets *s, TargetWork *w) {
  Target *t = g_queue_pop_head(&s->changed_targets);
  if (!t) return false;
  t->changed = false;
  *w = (TargetWork){
      .target = t->hash, .open = t->open, .tokens = t->backlog_tokens};
  return true;
}

void targets_set_parts_exchanged(Targets *s, bool exchanged) {
  s->parts_are_exchanged = exchanged;
}

bool targets_next_parts(Targets *s, TargetParts *m) {
  TargetParts *first = g_queue_pop_head(&s->parts_to_send);
  if (!first) return false;
  *m = *first;
  g_free(first);
  return true;
}

void targets_apply_parts(Targets *s, double now, const TargetParts *m) {
  Target *t = g_hash_table_lookup(s->by_hash, &m->target);
  if (t) parts_apply_report(ensure_use(t)->parts, m->names, m->n, now);
}

/* == rates == */

bool targets_apply_rate(Targets *s, double now, const TallyRate *m) {
  if (!rates_is_valid(&m->rate)) return false;
  Target *t = g_hash_table_lookup(s->by_hash, &m->target);
  if (t) rates_receive(&t->rate, &t->pool->rates, now, &m->rate);
  return true;
}

bool targets_rate_is_fresh(const Targets *s, double now, uint64_t target) {
  const Target *t = g_hash_table_lookup(s->by_hash, &target);
  return t && t->rate.received_at > 0 &&
         now - t->rate.received_at < TARGETS_RATE_REFRESH_S;
}

double targets_start_token_s(const Pool *pool) {
  double slope = fit_slope(&pool->first_byte);
  return slope > 0 ? slope : TARGETS_DEFAULT_TOKEN_S;
}

const char *targets_describe(const Targets *s, uint64_t target,
                             TallyTarget *out) {
  const Target *t = g_hash_table_lookup(s->by_hash, &target);
  if (!t) return NULL;
  double received = t->pool->rates.token_s;
  *out = (TallyTarget){.pool = t->pool->hash,
                       .counter = pool_group(t->pool, target),
                       .slots = t->info.slots,
                       .start_token_s = received > 0
                                            ? received
                                            : targets_start_token_s(t->pool)};
  return t->pool->service;
}

void target_note_stream(Target *t, double now, bool stalled) {
  division_note_stream(t->pool->division, now, stalled);
}

bool targets_pool_report(Targets *s, double now, int i, TargetsPoolReport *w) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, s->pools);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Pool *pool = v;
    if (i-- > 0) continue;
    w->pool = pool->hash;
    w->report = division_own_report(pool->division, now);
    return true;
  }
  return false;
}

void targets_apply_pool_report(Targets *s, double now, uint64_t from,
                               const TargetsPoolReport *w) {
  Pool *pool = find_pool_by_hash(s, w->pool);
  if (pool) division_apply_report(pool->division, now, from, &w->report);
}

void targets_apply_work(Targets *s, double now, uint64_t from,
                        const TargetWork *w) {
  Target *t = g_hash_table_lookup(s->by_hash, &w->target);
  if (!t) return;
  GHashTable *reported = ensure_use(t)->others;
  OtherLoad *o = g_hash_table_lookup(reported, &from);
  if (!o) {
    o = g_new0(OtherLoad, 1);
    g_hash_table_insert(reported, g_memdup2(&from, sizeof from), o);
  }
  *o = (OtherLoad){.open = w->open, .tokens = w->tokens, .reported_at = now};
}
