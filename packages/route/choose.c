/* choose.c: which target takes a request. */
#include "route/state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FAILURE_COST_S 0.2 /* a sure failure costs as much as this wait */
/* What is read holds up all that runs there, so it weighs this much more than
   its own time. */
#define PREFILL_WEIGHT 1.0
/* The same where all work at a target is told: queues are seen there, so a
   short one is no reason to read parts anew that stand elsewhere. */
#define PREFILL_WEIGHT_REPORTED 3.0
/* One more stream there: a step of a batch. */
#define STREAM_STEP_S 0.006
#define CROSS_DC_COST_S 0.003 /* another data centre costs as much as this */
#define COLD_COST_S 0.05      /* one that has just started */
/* One that gets more than it says that it takes, as far as that is tolerated:
   it is spared while others would be no later than this. */
#define OVER_LIMIT_COST_S 0.1
#define COST_JITTER_RATIO                                                      \
  0.02 /* of a cost, so that equal targets share the work */
#define INITIAL_ANSWER_S 0.03 /* seconds; a plain answer, before one was seen  \
                               */
/* A target's word of its load counts for this long, in seconds. */
#define LOAD_REPORT_MAX_AGE_S 0.5
/* One that is put aside, and one whose entry is missing, get work only when
   there is no other: the first may fail, the second may be leaving. */
#define EJECTED_COST_S 100.0
#define LAPSED_COST_S 1000.0
/* Of each request beside one that may end its target, in its place. */
#define ISOLATION_COST_PER_REQUEST_S 1.0
/* A prompt is long when reading it alone takes this part of the longest pause
   that streams beside it allow: a few of them in a row break that pause. */
#define LONG_PROMPT_PAUSE_RATIO 0.4

#define SAMPLED_TARGETS 16 /* of a large pool, beside the homes of a prompt */
#define MAX_GROUP_CANDIDATES 16 /* of a home's group, to draw from */

/* Seconds after which a caller may come back to a pool that is full, at least
   and at most: later, hardly one has time left to be served in. */
#define RETRY_AFTER_MIN_S 0.1
#define RETRY_AFTER_MAX_S 4.0

#define DONOR_MIN_AGE_S 0.5 /* a donor has read by then what it was sent */
#define MIN_MOVED_TOKENS                                                       \
  64 /* tokens; less is read anew in a few milliseconds */

typedef struct Pick {
  const Targets *set;
  Pool *pool;
  const TargetRequest *ask;
  double now;
  bool querying; /* which targets to ask for, not which gets it */
  bool long_prompt;
  double prefill_s_per_token; /* seconds a token takes to be read */
  Target *homes[POOL_MAX_HOMES];
  int n_homes;
  const Target *donor;  /* has most of the prompt in its memory; NULL: none */
  int64_t donor_tokens; /* that many tokens */
} Pick;

static bool was_tried(const TargetRequest *ask, const Target *t) {
  for (int i = 0; i < ask->n_tried; i++)
    if (ask->tried[i] == t) return true;
  return false;
}

/* Whether its regions let the request come to this target. */
static bool is_in_allowed_region(const Pick *p, const Target *t,
                                 RegionsPath way) {
  return regions_admit(p->ask->regions, t->region, way);
}

/* Neither put aside nor perhaps leaving. */
static bool is_healthy(const Pick *p, const Target *t) {
  return target_is_usable(t, p->now) && !t->lapsed &&
         p->now >= t->ejected_until;
}

/* What was told of this target; NULL: nothing. */
static const TallyReport *find_report(const Pick *p, const Target *t) {
  for (int i = 0; i < p->ask->n_reports; i++)
    if (p->ask->reports[i].target == t->hash) return &p->ask->reports[i];
  return NULL;
}

static TargetLoad get_load(const Pick *p, const Target *t) {
  const TallyReport *w = find_report(p, t);
  if (!w) return target_current_load(t, p->now);
  return (TargetLoad){.open = w->open, .tokens = w->tokens};
}

static bool is_bounded(const Pick *p, const Target *t) {
  QuotaBounds b = target_bounds(t, p->now, p->ask);
  return quota_is_bounded(&b);
}

/* Bounded, and it has had all that it may get, as far as we know: who counts
   there decides (tally.h). */
static bool is_full(const Pick *p, const Target *t) {
  bool full = p->ask->permits_exhausted || p->now < t->full_until;
  return full && is_bounded(p, t);
}

/* It has had as much as it says that it takes. */
static bool is_beyond_limit(const Pick *p, const Target *t) {
  return t->limit < QUOTA_UNLIMITED && p->now < t->limit_until;
}

/* May it be sent there at all? */
static bool may_send_to(const Pick *p, const Target *t) {
  if (!target_is_usable(t, p->now) || was_tried(p->ask, t)) return false;
  return is_in_allowed_region(p, t, REGIONS_TARGET) && !is_full(p, t);
}

/* == homes of prompts == */

/* The deepest shared part decides the home, so that all instances agree
   without a word. */
static uint64_t home_weight(const Target *t, uint64_t key) {
  return XXH64(t->info.id, strlen(t->info.id), key);
}

/* The two of a list with the highest weights. */
static int find_top_homes(const Pick *p, const GPtrArray *list,
                          bool healthy_only, Target *homes[POOL_MAX_HOMES]) {
  uint64_t key = parts_key(p->ask->ask), top[POOL_MAX_HOMES] = {0};
  int n = 0;
  for (guint i = 0; i < list->len && key != 0; i++) {
    Target *t = list->pdata[i];
    uint64_t w = home_weight(t, key);
    if ((healthy_only && !is_healthy(p, t)) || (n == 2 && w <= top[1]))
      continue;
    int at = n < 2 ? n++ : 1;
    if (at == 1 && w > top[0]) {
      top[1] = top[0];
      homes[1] = homes[0];
      at = 0;
    }
    top[at] = w;
    homes[at] = t;
  }
  return n;
}

static bool may_be_home(const void *ctx, const Target *t) {
  const Pick *p = ctx;
  return may_send_to(p, t) && is_healthy(p, t);
}

static bool is_large(const Pool *pool) {
  return pool->members->len > POOL_SMALL_MAX_MEMBERS;
}

/* Among `list`; in a large pool among all that it holds, and once. */
static void choose_homes(Pick *p, const GPtrArray *list) {
  uint64_t key = parts_key(p->ask->ask);
  if (!is_large(p->pool))
    p->n_homes = find_top_homes(p, list, p->querying, p->homes);
  else if (key != 0 && p->n_homes == 0)
    p->n_homes = pool_homes(p->pool, key, may_be_home, p, p->homes);
}

/* Where work is told a prompt has two homes, else one. */
static bool is_home(const Pick *p, const Target *t) {
  int n = MIN(p->n_homes, p->ask->n_reports > 0 ? 2 : 1);
  for (int i = 0; i < n; i++)
    if (p->homes[i] == t) return true;
  return false;
}

/* Tokens of the prompt that it got from us or, as far as they tell, from
   others, `age_s` ago or earlier. */
static int64_t cached_tokens_at(const Pick *p, const Target *t, double age_s) {
  if (!t->use) return 0;
  return parts_cached_tokens(t->use->parts, p->ask->ask, p->now, age_s);
}

/* Parts that are read elsewhere than at one of their homes are read once more
   there by the next request, which does not look for them here. */
static int64_t count_stray_tokens(const Pick *p, const Target *t) {
  const Ask *a = p->ask->ask;
  const TallyReport *w = find_report(p, t);
  uint64_t key = parts_key(a);
  if (!w || key == 0 || is_home(p, t)) return 0;
  return parts_shared_tokens(a) - parts_prefix_tokens(a, w->known_parts);
}

static int64_t count_uncached_tokens(const Pick *p, const Target *t) {
  const Ask *a = p->ask->ask;
  const TallyReport *w = find_report(p, t);
  if (w) return parts_prompt_tokens(a) - parts_prefix_tokens(a, w->known_parts);
  int64_t all = parts_prompt_tokens(a), had = cached_tokens_at(p, t, 0);
  uint64_t key = parts_key(a);
  if (had > 0 || key == 0 || p->set->parts_are_exchanged) return all - had;
  /* Its home has most likely read the shared parts for somebody else. */
  if (!is_home(p, t)) return all;
  return all - parts_shared_tokens(a);
}

/* Those that somebody told of. */
static GPtrArray *list_reported_targets(const Pick *p) {
  GPtrArray *list = g_ptr_array_new();
  for (int i = 0; i < p->ask->n_reports; i++) {
    uint64_t hash = p->ask->reports[i].target;
    Target *t = g_hash_table_lookup(p->set->by_hash, &hash);
    if (t && t->pool == p->pool) g_ptr_array_add(list, t);
  }
  return list;
}

/* == memory that is moved == */

/* What one target has read another takes over in a fraction of the time, so a
   prompt need not wait where its parts are. */
static int64_t count_movable_tokens(const Pick *p, const Target *t) {
  const TallyReport *w = find_report(p, t);
  if (!is_healthy(p, t)) return 0;
  if (w) return parts_prefix_tokens(p->ask->ask, w->finished_parts);
  return cached_tokens_at(p, t, DONOR_MIN_AGE_S);
}

/* The one that has read the most, of those whose reading is known. */
static void choose_donor(Pick *p) {
  bool reported = p->set->parts_are_exchanged || p->ask->n_reports > 0;
  if (!reported) return; /* who has it is a guess there */
  if (p->ask->move_token_s <= 0 ||
      p->ask->move_token_s >= p->prefill_s_per_token)
    return;
  bool words = p->ask->n_reports > 0;
  GPtrArray *list =
      words ? list_reported_targets(p) : g_ptr_array_ref(p->pool->members);
  for (guint i = 0; i < list->len; i++) {
    const Target *t = list->pdata[i];
    if (!is_in_allowed_region(p, t, REGIONS_DONOR)) continue;
    int64_t had = count_movable_tokens(p, t);
    if (had <= p->donor_tokens) continue;
    p->donor = t;
    p->donor_tokens = had;
  }
  g_ptr_array_unref(list);
}

/* Takes what the donor has beyond the target's own. */
static void apply_donor(const Pick *p, TargetChoice *c) {
  int64_t all = parts_prompt_tokens(p->ask->ask);
  int64_t more = p->donor_tokens - (all - c->uncached_tokens);
  if (!p->donor || p->donor == c->target || more < MIN_MOVED_TOKENS) return;
  c->donor = p->donor;
  c->moved_tokens = more;
  c->uncached_tokens -= more;
}

/* == a pool in two parts == */

static bool is_long(const Pick *p) {
  const TargetRequest *a = p->ask;
  if (!a->engine || a->max_pause_s <= 0) return false;
  return (double)a->ask->tokens_in * p->prefill_s_per_token >
         LONG_PROMPT_PAUSE_RATIO * a->max_pause_s;
}

static bool has_healthy(const Pick *p, const GPtrArray *list, int from,
                        int to) {
  for (int i = from; i < to; i++)
    if (is_healthy(p, list->pdata[i])) return true;
  return false;
}

/* Long prompts hold up the streams beside them, so they are read at the first
   targets of the pool and everything else runs at the rest; where none of a
   part is sound, all serve. All instances see the same order. Returns whether
   long prompts are read at those that are left. */
static bool apply_division(const Pick *p, Pool *pool, GPtrArray *list) {
  int n = (int)list->len;
  if (!p->set->parts_are_exchanged) return true;
  int k = division_count_long(pool->division, p->now, n);
  int from = p->long_prompt ? 0 : k, to = p->long_prompt ? k : n;
  if (k == n || !has_healthy(p, list, from, to)) return true;
  g_ptr_array_remove_range(list, (guint)to, (guint)(n - to));
  g_ptr_array_remove_range(list, 0, (guint)from);
  return p->long_prompt;
}

/* == cost == */

static double engine_wait_s(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  double unread = (double)(c->load.tokens + c->uncached_tokens);
  if (!p->set->parts_are_exchanged)
    return unread * p->prefill_s_per_token * target_pace(t, p->now);
  double first = fit_value(&t->pool->first, unread);
  return first * t->first_byte_ratio * target_pace(t, p->now) +
         (double)c->moved_tokens * p->ask->move_token_s;
}

static double plain_wait_s(const Target *t, int open, double now) {
  double took = t->mean_answer_s > 0 ? t->mean_answer_s : INITIAL_ANSWER_S;
  int slots = MAX(t->info.slots, 1);
  bool fresh = now - t->reported_at < LOAD_REPORT_MAX_AGE_S;
  int reported = fresh ? t->reported_running + t->reported_waiting : 0;
  int there = MAX(open, reported);
  return took * target_pace(t, now) * (1 + (double)there / slots);
}

/* What is read, or moved, costs a target more than its own wait. */
static double engine_cost(const Pick *p, const TargetChoice *c) {
  double read_s = (double)c->uncached_tokens * p->prefill_s_per_token;
  double move_s = (double)c->moved_tokens * p->ask->move_token_s;
  double stray_s =
      (double)count_stray_tokens(p, c->target) * p->prefill_s_per_token;
  double weight =
      p->ask->n_reports > 0 ? PREFILL_WEIGHT_REPORTED : PREFILL_WEIGHT;
  return weight * (read_s + stray_s + move_s) +
         (c->load.open + 1) * STREAM_STEP_S;
}

/* Fills in what a choice of this target would mean; its cost. */
static double compute_cost(const Pick *p, TargetChoice *c) {
  const Target *t = c->target;
  double cost = t->failure_ratio * FAILURE_COST_S;
  c->load = get_load(p, t);
  if (p->ask->engine) {
    c->uncached_tokens = count_uncached_tokens(p, t);
    apply_donor(p, c);
    c->wait_s = engine_wait_s(p, c);
    cost += engine_cost(p, c);
  } else {
    c->wait_s = plain_wait_s(t, c->load.open, p->now);
  }
  cost += c->wait_s;
  if (strcmp(t->info.dc, p->set->dc) != 0) cost += CROSS_DC_COST_S;
  if (p->now < t->cold_until) cost += COLD_COST_S;
  if (is_beyond_limit(p, t)) cost += OVER_LIMIT_COST_S;
  if (p->now < t->ejected_until) cost += EJECTED_COST_S;
  if (t->lapsed) cost += LAPSED_COST_S;
  if (p->ask->isolate) cost += c->load.open * ISOLATION_COST_PER_REQUEST_S;
  return cost * (1 + COST_JITTER_RATIO * g_rand_double(p->set->rand));
}

/* == the choice == */

/* Why this one does not take it. */
static TargetNoneReason exclusion_reason(const Pick *p, const Target *t) {
  if (p->now >= t->leave_at || was_tried(p->ask, t))
    return TARGET_NONE_AVAILABLE;
  if (!is_in_allowed_region(p, t, REGIONS_TARGET)) return TARGET_NONE_ALLOWED;
  return t->evacuated ? TARGET_NONE_EVACUATED : TARGET_NONE_FULL;
}

/* What a full pool takes in a second, and when the first has room again. */
typedef struct PoolCapacity {
  double per_s, wait_s;
} PoolCapacity;

static void add_pool_capacity(const Pick *p, const Target *t,
                              PoolCapacity *capacity) {
  QuotaBounds b = target_bounds(t, p->now, p->ask);
  double per_s = b.limit;
  if (b.cold_per_s > 0) per_s = MIN(per_s, b.cold_per_s);
  if (per_s < QUOTA_UNLIMITED) capacity->per_s += per_s;
  capacity->wait_s = MIN(capacity->wait_s, MAX(0, t->full_until - p->now));
}

/* Those who are refused come back one after the other, at the pace at which the
   pool has room for the callers of one instance. */
static double next_retry_after_s(const Pick *p, const PoolCapacity *capacity) {
  Pool *pool = p->pool;
  int of = MAX(p->set->share.current_count, 1);
  double step = capacity->per_s > 0 ? of / capacity->per_s : RETRY_AFTER_MAX_S;
  double first =
      p->now + CLAMP(capacity->wait_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
  double at = MAX(first, pool->last_retry_at + step);
  pool->last_retry_at = MIN(at, p->now + RETRY_AFTER_MAX_S);
  return pool->last_retry_at - p->now;
}

/* Why nobody is left to take it, and when to come back. */
static void set_none_reason(const Pick *p, TargetChoice *c) {
  PoolCapacity capacity = {.wait_s = INFINITY};
  for (guint i = 0; i < p->pool->members->len; i++) {
    const Target *t = p->pool->members->pdata[i];
    TargetNoneReason why = exclusion_reason(p, t);
    c->none = MAX(c->none, why);
    if (why == TARGET_NONE_FULL) add_pool_capacity(p, t, &capacity);
  }
  if (c->none == TARGET_NONE_FULL)
    c->retry_after_s = next_retry_after_s(p, &capacity);
}

/* Fills in what bounds the target that was chosen. */
static void set_bounds(const Pick *p, TargetChoice *c) {
  c->bounds = target_bounds(c->target, p->now, p->ask);
  c->bounds.over_limit = is_beyond_limit(p, c->target);
  c->bounded = quota_is_bounded(&c->bounds);
}

static void list_all_eligible(const Pick *p, GPtrArray *list) {
  GPtrArray *members = pool_sorted_members(p->pool);
  p->pool->visits += members->len;
  for (guint i = 0; i < members->len; i++)
    if (may_send_to(p, members->pdata[i]))
      g_ptr_array_add(list, members->pdata[i]);
}

/* Some at random: of a few of many the one with the least work is nearly as
   good as the best of all. */
static void sample_eligible(const Pick *p, GPtrArray *list) {
  GPtrArray *members = p->pool->members;
  p->pool->visits += SAMPLED_TARGETS;
  for (int i = 0; i < SAMPLED_TARGETS; i++) {
    guint k = (guint)g_rand_int_range(p->set->rand, 0, (gint32)members->len);
    if (may_send_to(p, members->pdata[k]))
      g_ptr_array_add(list, members->pdata[k]);
  }
}

/* All that may take it, of a large pool its homes and some more; of these only
   those that somebody told of, if any. */
static GPtrArray *candidates(Pick *p) {
  GPtrArray *reported = list_reported_targets(p), *list = g_ptr_array_new();
  for (guint i = 0; i < reported->len; i++)
    if (may_be_home(p, reported->pdata[i]))
      g_ptr_array_add(list, reported->pdata[i]);
  g_ptr_array_free(reported, TRUE);
  if (list->len > 0) return list;
  if (is_large(p->pool)) {
    choose_homes(p, list);
    for (int i = 0; i < p->n_homes; i++) g_ptr_array_add(list, p->homes[i]);
    /* A prompt with homes asks only for those near them. */
    if (!p->querying || p->n_homes == 0) sample_eligible(p, list);
  }
  if (list->len == 0) list_all_eligible(p, list);
  return list;
}

/* Only those of the first home's group, whom one instance counts. */
static void keep_home_group(const Pick *p, GPtrArray *list) {
  Target *near[MAX_GROUP_CANDIDATES];
  int n = pool_group_members(p->pool, p->homes[0], may_be_home, p, near,
                             MAX_GROUP_CANDIDATES);
  g_ptr_array_set_size(list, 0);
  for (int i = 0; i < n; i++) g_ptr_array_add(list, near[i]);
}

int targets_to_query(Targets *s, double now, const TargetRequest *ask,
                     uint64_t out[TARGETS_MAX_QUERIED]) {
  Pool *pool = g_hash_table_lookup(s->pools, ask->service);
  if (!pool) return 0;
  Pick p = {.set = s, .pool = pool, .ask = ask, .now = now, .querying = true};
  GPtrArray *list = candidates(&p);
  choose_homes(&p, list);
  if (is_large(pool) && p.n_homes > 0) keep_home_group(&p, list);
  int len = (int)list->len, n = 0;
  for (int i = 0; i < p.n_homes; i++) out[n++] = p.homes[i]->hash;
  for (int tries = 0;
       n < TARGETS_MAX_QUERIED && tries < 2 * TARGETS_MAX_QUERIED && len > 0;
       tries++) {
    const Target *t = list->pdata[g_rand_int_range(s->rand, 0, len)];
    bool twice = !is_healthy(&p, t);
    for (int i = 0; i < n; i++) twice |= out[i] == t->hash;
    if (!twice) out[n++] = t->hash;
  }
  g_ptr_array_free(list, TRUE);
  return n;
}

TargetChoice targets_pick(Targets *s, double now, const TargetRequest *ask) {
  Pool *pool = g_hash_table_lookup(s->pools, ask->service);
  TargetChoice best = {0};
  double lowest_cost = INFINITY;
  bool beside_long = false;
  if (!pool) return best;
  Pick p = {.set = s, .pool = pool, .ask = ask, .now = now};
  p.prefill_s_per_token = s->parts_are_exchanged ? fit_slope(&pool->first)
                                                 : TARGETS_DEFAULT_TOKEN_S;
  p.long_prompt = is_long(&p);
  GPtrArray *list = candidates(&p);
  int n = (int)list->len;
  if (ask->engine) {
    beside_long = apply_division(&p, pool, list);
    choose_homes(&p, list);
    choose_donor(&p);
  }
  for (guint i = 0; i < list->len; i++) {
    TargetChoice c = {.target = list->pdata[i]};
    double cost = compute_cost(&p, &c);
    if (cost >= lowest_cost) continue;
    lowest_cost = cost;
    best = c;
  }
  if (best.target)
    set_bounds(&p, &best);
  else
    set_none_reason(&p, &best);
  best.candidates = n;
  best.regions = ask->regions;
  best.long_prompt = p.long_prompt;
  best.serves_long = beside_long;
  g_ptr_array_free(list, TRUE);
  return best;
}
