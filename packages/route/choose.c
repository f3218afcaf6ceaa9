/* choose.c: chooses the target of a request. */
#include "route/state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FAILURE_COST_S 0.2 /* cost of a certain failure, as waiting time */
/* Reading a prompt stalls everything that runs at the target, so it costs this
   multiple of its own time on top. */
#define PREFILL_WEIGHT 1.0
/* The same where all work at a target is reported: queues are visible there,
   so a short one is no reason to read parts again that are cached
   elsewhere. */
#define PREFILL_WEIGHT_REPORTED 3.0
/* Cost of one more stream at the target: a step of its batch. */
#define STREAM_STEP_S 0.006
#define CROSS_DC_COST_S 0.003 /* cost of another data centre */
#define COLD_COST_S 0.05      /* cost of a recently started target */
/* Cost of a target that gets more than its reported limit, as far as that is
   tolerated: it is avoided while others would be at most this much later. */
#define OVER_LIMIT_COST_S 0.1
/* Random part of a cost, so that equal targets share the work. */
#define COST_JITTER_RATIO 0.02
/* Assumed time of a plain answer until one was seen. */
#define INITIAL_ANSWER_S 0.03
/* Of two plain targets with a free slot the one with fewer requests is
   preferred: the counts are some milliseconds old. This part of a slot use is
   the cost of a target with all slots in use. */
#define BUSY_SLOTS_COST_RATIO 0.1
/* A target's reported load is used for this long. */
#define LOAD_REPORT_MAX_AGE_S 0.5
/* An ejected target and one whose entry is missing get work only when there is
   no other: the first may fail, the second may be leaving. */
#define EJECTED_COST_S 100.0
#define LAPSED_COST_S 1000.0
/* Cost of each other request at the target of a request that may end it. */
#define ISOLATION_COST_PER_REQUEST_S 1.0
/* A prompt is long when reading it alone takes this fraction of the longest
   pause that streams beside it allow: a few of them in a row exceed that
   pause. */
#define LONG_PROMPT_PAUSE_RATIO 0.4

/* Random targets considered in a large pool, besides the homes of a prompt. */
#define SAMPLED_TARGETS 16
/* Members of a home's group from which targets to query are drawn. */
#define MAX_GROUP_CANDIDATES 16

/* Bounds of the time after which a caller may retry on a full pool. With a
   longer one hardly any caller has time left to be served. */
#define RETRY_AFTER_MIN_S 0.1
#define RETRY_AFTER_MAX_S 4.0
/* Callers return within this time after the end of a target's pause. */
#define PAUSE_RETRY_SPREAD_S 0.3

#define DONOR_MIN_AGE_S 0.5 /* a donor has read by then what it was sent */
/* Moving less is not worthwhile: it is read again in a few milliseconds. */
#define MIN_MOVED_TOKENS 64

typedef struct Pick {
  const Targets *set;
  Pool *pool;
  const TargetRequest *request;
  double now;
  bool querying; /* chooses targets to query, not the one to use */
  bool long_prompt;
  double prefill_s_per_token;
  Target *homes[POOL_MAX_HOMES];
  int n_homes;
  const Target *donor;  /* has most of the prompt in its cache; NULL: none */
  int64_t donor_tokens; /* tokens it has */
} Pick;

static bool was_tried(const TargetRequest *request, const Target *t) {
  for (int i = 0; i < request->n_tried; i++)
    if (request->tried[i] == t) return true;
  return false;
}

/* Whether the request's regions admit this target. */
static bool is_in_allowed_region(const Pick *p, const Target *t,
                                 RegionsPath path) {
  return regions_admit(p->request->regions, t->region, path);
}

/* Neither ejected nor possibly leaving. */
static bool is_healthy(const Pick *p, const Target *t) {
  return target_is_usable(t, p->now) && !t->lapsed &&
         p->now >= t->ejected_until;
}

/* The counting instance's report on this target; NULL: none. */
static const TallyReport *find_report(const Pick *p, const Target *t) {
  for (int i = 0; i < p->request->n_reports; i++)
    if (p->request->reports[i].target == t->hash)
      return &p->request->reports[i];
  return NULL;
}

static TargetLoad get_load(const Pick *p, const Target *t) {
  const TallyReport *w = find_report(p, t);
  if (!w) return target_current_load(t, p->now);
  return (TargetLoad){.open = w->open, .tokens = w->tokens};
}

static bool is_bounded(const Pick *p, const Target *t) {
  QuotaBounds b = target_bounds(t, p->now, p->request);
  return quota_is_bounded(&b);
}

/* Bounded, and as far as we know it has had all that it may get; the counting
   instance decides (tally.h). */
static bool is_full(const Pick *p, const Target *t) {
  bool full = p->request->permits_exhausted || p->now < t->full_until;
  return full && is_bounded(p, t);
}

/* It has had all that its reported limit allows. */
static bool is_over_limit(const Pick *p, const Target *t) {
  return t->limit < QUOTA_UNLIMITED && p->now < t->limit_until;
}

/* A stream goes on only at the version that began it. */
static bool is_of_version(const Pick *p, const Target *t) {
  return !p->request->version || *p->request->version == t->version;
}

/* Whether the request may be sent there at all. */
static bool may_send_to(const Pick *p, const Target *t) {
  if (!target_is_usable(t, p->now) || was_tried(p->request, t)) return false;
  if (!is_of_version(p, t)) return false;
  return is_in_allowed_region(p, t, REGIONS_TARGET) && !is_full(p, t);
}

/* == homes of prompts == */

/* The deepest shared part determines the home, so that all instances agree
   without communication. */
static uint64_t home_weight(const Target *t, uint64_t key) {
  return XXH64(t->info.id, strlen(t->info.id), key);
}

/* Finds the two members of `list` with the highest weights. */
static int find_top_homes(const Pick *p, const GPtrArray *list,
                          bool healthy_only, Target *homes[POOL_MAX_HOMES]) {
  uint64_t key = parts_key(p->request->info), top[POOL_MAX_HOMES] = {0};
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

/* Chooses the homes among `list`, or, in a large pool, once among all of its
   members. */
static void choose_homes(Pick *p, const GPtrArray *list) {
  uint64_t key = parts_key(p->request->info);
  if (!is_large(p->pool))
    p->n_homes = find_top_homes(p, list, p->querying, p->homes);
  else if (key != 0 && p->n_homes == 0)
    p->n_homes = pool_homes(p->pool, key, may_be_home, p, p->homes);
}

/* A prompt has two homes where work is reported, otherwise one. */
static bool is_home(const Pick *p, const Target *t) {
  int n = MIN(p->n_homes, p->request->n_reports > 0 ? 2 : 1);
  for (int i = 0; i < n; i++)
    if (p->homes[i] == t) return true;
  return false;
}

/* Prompt tokens that it was sent by us or, as far as they reported, by other
   instances, at least `age_s` ago. */
static int64_t cached_tokens_at(const Pick *p, const Target *t, double age_s) {
  if (!t->use) return 0;
  return parts_cached_tokens(t->use->parts, p->request->info, p->now, age_s);
}

/* Tokens of the shared parts that a target other than a home would read. The
   next request does not look for them there, so it has to read them once
   more. */
static int64_t count_stray_tokens(const Pick *p, const Target *t) {
  const RequestInfo *a = p->request->info;
  const TallyReport *w = find_report(p, t);
  uint64_t key = parts_key(a);
  if (!w || key == 0 || is_home(p, t)) return 0;
  return parts_shared_tokens(a) - parts_prefix_tokens(a, w->known_parts);
}

static int64_t count_uncached_tokens(const Pick *p, const Target *t) {
  const RequestInfo *a = p->request->info;
  const TallyReport *w = find_report(p, t);
  if (w) return parts_prompt_tokens(a) - parts_prefix_tokens(a, w->known_parts);
  int64_t all = parts_prompt_tokens(a), cached = cached_tokens_at(p, t, 0);
  uint64_t key = parts_key(a);
  if (cached > 0 || key == 0 || p->set->parts_are_exchanged)
    return all - cached;
  /* Its home has most likely read the shared parts for another request. */
  if (!is_home(p, t)) return all;
  return all - parts_shared_tokens(a);
}

/* The members that reports are about. */
static GPtrArray *list_reported_targets(const Pick *p) {
  GPtrArray *list = g_ptr_array_new();
  for (int i = 0; i < p->request->n_reports; i++) {
    uint64_t hash = p->request->reports[i].target;
    Target *t = g_hash_table_lookup(p->set->by_hash, &hash);
    if (t && t->pool == p->pool) g_ptr_array_add(list, t);
  }
  return list;
}

/* == moving cached tokens == */

/* A target takes over tokens that another has read in a fraction of the
   reading time, so a prompt need not wait where its parts are cached. */
static int64_t count_movable_tokens(const Pick *p, const Target *t) {
  const TallyReport *w = find_report(p, t);
  if (!is_healthy(p, t)) return 0;
  if (w) return parts_prefix_tokens(p->request->info, w->finished_parts);
  return cached_tokens_at(p, t, DONOR_MIN_AGE_S);
}

/* Chooses the target that has read most of the prompt, of those whose cache is
   known. */
static void choose_donor(Pick *p) {
  bool reported = p->set->parts_are_exchanged || p->request->n_reports > 0;
  if (!reported) return; /* which target has it is unknown there */
  if (p->request->move_token_s <= 0 ||
      p->request->move_token_s >= p->prefill_s_per_token)
    return;
  bool has_reports = p->request->n_reports > 0;
  GPtrArray *list = has_reports ? list_reported_targets(p)
                                : g_ptr_array_ref(p->pool->members);
  for (guint i = 0; i < list->len; i++) {
    const Target *t = list->pdata[i];
    if (!is_in_allowed_region(p, t, REGIONS_DONOR)) continue;
    int64_t cached = count_movable_tokens(p, t);
    if (cached <= p->donor_tokens) continue;
    p->donor = t;
    p->donor_tokens = cached;
  }
  g_ptr_array_unref(list);
}

/* Takes those tokens from the donor that the target itself lacks. */
static void apply_donor(const Pick *p, TargetChoice *c) {
  int64_t all = parts_prompt_tokens(p->request->info);
  int64_t more = p->donor_tokens - (all - c->uncached_tokens);
  if (!p->donor || p->donor == c->target || more < MIN_MOVED_TOKENS) return;
  /* Versions may keep their caches in different formats. */
  if (p->donor->version != c->target->version) return;
  c->donor = p->donor;
  c->moved_tokens = more;
  c->uncached_tokens -= more;
}

/* == divided pools == */

static bool is_long(const Pick *p) {
  const TargetRequest *a = p->request;
  if (!a->engine || a->max_pause_s <= 0) return false;
  return (double)a->info->prompt_tokens * p->prefill_s_per_token >
         LONG_PROMPT_PAUSE_RATIO * a->max_pause_s;
}

static bool has_healthy(const Pick *p, const GPtrArray *list, int from,
                        int to) {
  for (int i = from; i < to; i++)
    if (is_healthy(p, list->pdata[i])) return true;
  return false;
}

/* Long prompts stall the streams beside them, so they are read at the first
   targets of the pool and everything else runs at the remaining ones; where a
   side has no healthy target, all targets serve both. All instances use the
   same order. Returns whether the remaining targets of `list` read long
   prompts. A pool of which rates are received is not divided: the border
   follows the work of the last 30 s. When requests began, all short prompts
   were sent to two of six targets, and later none to the first, while the
   queues of the others exceeded the objective. */
static bool apply_division(const Pick *p, Pool *pool, GPtrArray *list) {
  int n = (int)list->len;
  if (!p->set->parts_are_exchanged ||
      (p->request->rated && pool->rates.received))
    return true;
  int k = division_count_long(pool->division, p->now, n);
  int from = p->long_prompt ? 0 : k, to = p->long_prompt ? k : n;
  if (k == n || !has_healthy(p, list, from, to)) return true;
  g_ptr_array_remove_range(list, (guint)to, (guint)(n - to));
  g_ptr_array_remove_range(list, 0, (guint)from);
  return p->long_prompt;
}

/* == cost == */

/* Sets the rate that the choice uses; false: no rate of the service is known,
   and the choice is the same as without rates. */
static bool set_rate(const Pick *p, TargetChoice *c) {
  const Target *t = c->target;
  const RatesMean *mean = &t->pool->rates;
  if (!p->request->rated) return false;
  double known = p->request->engine ? mean->token_s : mean->slot_s;
  if (known <= 0) return false;
  c->rated = true;
  c->rate_age_s =
      t->rate.received_at > 0 ? p->now - t->rate.received_at : INFINITY;
  if (p->request->engine)
    c->token_s =
        rates_token_s(&t->rate, mean, p->now, targets_start_token_s(t->pool));
  return true;
}

/* Until a new request has a slot there. */
static double rated_wait_s(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  int slots = p->request->engine && p->request->slots > 0 ? p->request->slots
                                                          : t->info.slots;
  return rates_wait_s(c->load.open, slots, (double)c->load.tokens, c->token_s,
                      rates_slot_s(&t->rate, &t->pool->rates, p->now));
}

static double engine_wait_s(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  if (c->rated)
    return rated_wait_s(p, c) + (double)c->uncached_tokens * c->token_s +
           (double)c->moved_tokens * p->request->move_token_s;
  double unread = (double)(c->load.tokens + c->uncached_tokens);
  if (!p->set->parts_are_exchanged)
    return unread * p->prefill_s_per_token * target_slowdown(t, p->now);
  double first = fit_value(&t->pool->first_byte, unread);
  return first * t->first_byte_ratio * target_slowdown(t, p->now) +
         (double)c->moved_tokens * p->request->move_token_s;
}

/* Requests at a plain target, by our counts or its own report. */
static int count_plain_requests(const Target *t, int open, double now) {
  bool is_fresh = now - t->reported_at < LOAD_REPORT_MAX_AGE_S;
  int reported = is_fresh ? t->reported_running + t->reported_waiting : 0;
  return MAX(open, reported);
}

static double plain_wait_s(const Target *t, int there, double now) {
  double took = t->mean_answer_s > 0 ? t->mean_answer_s : INITIAL_ANSWER_S;
  int slots = MAX(t->info.slots, 1);
  return took * target_slowdown(t, now) * (1 + (double)there / slots);
}

static double rated_plain_wait_s(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  return rated_wait_s(p, c) + rates_slot_s(&t->rate, &t->pool->rates, p->now);
}

static double busy_slots_cost(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  double slot_s = rates_slot_s(&t->rate, &t->pool->rates, p->now);
  return BUSY_SLOTS_COST_RATIO * slot_s * c->load.open / MAX(t->info.slots, 1);
}

static double engine_own_s(const Pick *p, const TargetChoice *c) {
  double token_s =
      c->rated ? c->token_s
               : p->prefill_s_per_token * target_slowdown(c->target, p->now);
  double read_s = (double)c->uncached_tokens * token_s;
  double move_s = (double)c->moved_tokens * p->request->move_token_s;
  return MIN(c->wait_s, read_s + move_s);
}

/* Reading and moving tokens costs a target more than the wait of the request
   itself. The cost is at the rate of the service: with the rate of the target,
   which counts several times here, targets that seem slow get too little and
   the others too much (docs/design/rates.md). */
static double engine_cost(const Pick *p, const TargetChoice *c) {
  double read_s = (double)c->uncached_tokens * p->prefill_s_per_token;
  double move_s = (double)c->moved_tokens * p->request->move_token_s;
  double stray_s =
      (double)count_stray_tokens(p, c->target) * p->prefill_s_per_token;
  double weight =
      p->request->n_reports > 0 ? PREFILL_WEIGHT_REPORTED : PREFILL_WEIGHT;
  return weight * (read_s + stray_s + move_s) +
         (c->load.open + 1) * STREAM_STEP_S;
}

/* Fills in the consequences of choosing this target and returns its cost. */
static double compute_cost(const Pick *p, TargetChoice *c) {
  const Target *t = c->target;
  double cost = t->failure_ratio * FAILURE_COST_S;
  c->load = get_load(p, t);
  c->wait_is_reported = find_report(p, t) || p->set->parts_are_exchanged;
  bool rated = set_rate(p, c);
  if (p->request->engine) {
    c->uncached_tokens = count_uncached_tokens(p, t);
    apply_donor(p, c);
    c->wait_s = engine_wait_s(p, c);
    c->own_s = engine_own_s(p, c);
    c->is_free = c->load.tokens <= 0 && c->load.open < t->info.slots;
    cost += engine_cost(p, c);
  } else {
    int there = count_plain_requests(t, c->load.open, p->now);
    c->is_free = there < MAX(t->info.slots, 1);
    c->wait_s =
        rated ? rated_plain_wait_s(p, c) : plain_wait_s(t, there, p->now);
    if (rated) cost += busy_slots_cost(p, c);
  }
  cost += c->wait_s;
  if (strcmp(t->info.dc, p->set->dc) != 0) cost += CROSS_DC_COST_S;
  if (p->now < t->cold_until) cost += COLD_COST_S;
  if (is_over_limit(p, t)) cost += OVER_LIMIT_COST_S;
  if (p->now < t->ejected_until) cost += EJECTED_COST_S;
  if (t->lapsed) cost += LAPSED_COST_S;
  if (p->request->isolate) cost += c->load.open * ISOLATION_COST_PER_REQUEST_S;
  return cost * (1 + COST_JITTER_RATIO * g_rand_double(p->set->rand));
}

/* == choice == */

/* Why this target can't take the request. */
static TargetNoneReason exclusion_reason(const Pick *p, const Target *t) {
  if (target_may_have_left(t, p->now) || was_tried(p->request, t))
    return TARGET_NONE_AVAILABLE;
  if (!is_of_version(p, t)) return TARGET_NONE_OF_VERSION;
  if (!is_in_allowed_region(p, t, REGIONS_TARGET)) return TARGET_NONE_IN_REGION;
  if (t->evacuated) return TARGET_NONE_EVACUATED;
  return p->now < t->paused_until ? TARGET_NONE_PAUSED : TARGET_NONE_FULL;
}

/* Requests per second that a full pool accepts, and when its first target has
   capacity again. */
typedef struct PoolCapacity {
  double per_s, wait_s;
} PoolCapacity;

static void add_pool_capacity(const Pick *p, const Target *t,
                              PoolCapacity *capacity) {
  QuotaBounds b = target_bounds(t, p->now, p->request);
  double per_s = b.limit;
  if (b.cold_per_s > 0) per_s = MIN(per_s, b.cold_per_s);
  if (per_s < QUOTA_UNLIMITED) capacity->per_s += per_s;
  capacity->wait_s = MIN(capacity->wait_s, MAX(0, t->full_until - p->now));
}

/* Refused callers retry one after the other, at the rate at which the pool has
   capacity for the callers of one instance. */
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

/* Callers that were refused during a pause do not all return at its end. */
static double retry_after_pause_s(const Pick *p, double paused_until) {
  double spread_s = PAUSE_RETRY_SPREAD_S * g_rand_double(p->set->rand);
  return paused_until - p->now + spread_s;
}

/* Sets why no target can take the request, and when to retry. */
static void set_none_reason(const Pick *p, TargetChoice *c) {
  PoolCapacity capacity = {.wait_s = INFINITY};
  double paused_until = INFINITY; /* end of the first pause */
  for (guint i = 0; i < p->pool->members->len; i++) {
    const Target *t = p->pool->members->pdata[i];
    TargetNoneReason why = exclusion_reason(p, t);
    c->none = MAX(c->none, why);
    if (why == TARGET_NONE_FULL) add_pool_capacity(p, t, &capacity);
    if (why == TARGET_NONE_PAUSED)
      paused_until = MIN(paused_until, t->paused_until);
  }
  if (c->none == TARGET_NONE_PAUSED)
    c->retry_after_s = retry_after_pause_s(p, paused_until);
  if (c->none == TARGET_NONE_FULL)
    c->retry_after_s = next_retry_after_s(p, &capacity);
}

/* Fills in the bounds of the chosen target. */
static void set_bounds(const Pick *p, TargetChoice *c) {
  c->bounds = target_bounds(c->target, p->now, p->request);
  c->bounds.over_limit = is_over_limit(p, c->target);
  c->bounded = quota_is_bounded(&c->bounds);
}

static void list_all_eligible(const Pick *p, GPtrArray *list) {
  GPtrArray *members = pool_sorted_members(p->pool);
  p->pool->visits += members->len;
  for (guint i = 0; i < members->len; i++)
    if (may_send_to(p, members->pdata[i]))
      g_ptr_array_add(list, members->pdata[i]);
}

/* Adds a random sample: the least loaded of a few of many targets is nearly as
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

/* All targets that may take the request; in a large pool its homes and a
   sample. If there are reports, only the targets they are about. */
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
    /* A query of a prompt with homes goes only to targets near them. */
    if (!p->querying || p->n_homes == 0) sample_eligible(p, list);
  }
  if (list->len == 0) list_all_eligible(p, list);
  return list;
}

/* Keeps only the first home's group, which one instance counts. */
static void keep_home_group(const Pick *p, GPtrArray *list) {
  Target *near[MAX_GROUP_CANDIDATES];
  int n = pool_group_members(p->pool, p->homes[0], may_be_home, p, near,
                             MAX_GROUP_CANDIDATES);
  g_ptr_array_set_size(list, 0);
  for (int i = 0; i < n; i++) g_ptr_array_add(list, near[i]);
}

/* Adds random healthy members of `list` to the `n` hashes in `out`, none that
   is there or among the `n_known`. Returns the new number. */
static int add_random_targets(const Pick *p, const GPtrArray *list,
                              const uint64_t *known, int n_known,
                              uint64_t out[TARGETS_MAX_QUERIED], int n) {
  int len = (int)list->len;
  for (int tries = 0;
       n < TARGETS_MAX_QUERIED && tries < 2 * TARGETS_MAX_QUERIED && len > 0;
       tries++) {
    const Target *t = list->pdata[g_rand_int_range(p->set->rand, 0, len)];
    bool is_duplicate = !is_healthy(p, t);
    for (int i = 0; i < n; i++) is_duplicate |= out[i] == t->hash;
    for (int i = 0; i < n_known; i++) is_duplicate |= known[i] == t->hash;
    if (!is_duplicate) out[n++] = t->hash;
  }
  return n;
}

int targets_to_query(Targets *s, double now, const TargetRequest *request,
                     uint64_t out[TARGETS_MAX_QUERIED]) {
  Pool *pool = g_hash_table_lookup(s->pools, request->service);
  if (!pool) return 0;
  Pick p = {
      .set = s, .pool = pool, .request = request, .now = now, .querying = true};
  GPtrArray *list = candidates(&p);
  choose_homes(&p, list);
  if (is_large(pool) && p.n_homes > 0) keep_home_group(&p, list);
  int n = 0;
  for (int i = 0; i < p.n_homes; i++) out[n++] = p.homes[i]->hash;
  n = add_random_targets(&p, list, NULL, 0, out, n);
  g_ptr_array_free(list, TRUE);
  return n;
}

int targets_to_query_more(Targets *s, double now, const TargetRequest *request,
                          const uint64_t *known, int n_known,
                          uint64_t out[TARGETS_MAX_QUERIED]) {
  Pool *pool = g_hash_table_lookup(s->pools, request->service);
  if (!pool) return 0;
  TargetRequest all = *request;
  all.n_reports = 0; /* any target, not those that were reported */
  Pick p = {
      .set = s, .pool = pool, .request = &all, .now = now, .querying = true};
  GPtrArray *list = g_ptr_array_new();
  if (is_large(pool))
    sample_eligible(&p, list);
  else
    list_all_eligible(&p, list);
  int n = add_random_targets(&p, list, known, n_known, out, 0);
  g_ptr_array_free(list, TRUE);
  return n;
}

TargetChoice targets_pick(Targets *s, double now,
                          const TargetRequest *request) {
  Pool *pool = g_hash_table_lookup(s->pools, request->service);
  TargetChoice best = {0};
  double lowest_cost = INFINITY;
  bool beside_long = false;
  if (!pool) return best;
  Pick p = {.set = s, .pool = pool, .request = request, .now = now};
  p.prefill_s_per_token = s->parts_are_exchanged ? fit_slope(&pool->first_byte)
                                                 : TARGETS_DEFAULT_TOKEN_S;
  if (request->rated && pool->rates.token_s > 0)
    p.prefill_s_per_token = pool->rates.token_s;
  p.long_prompt = is_long(&p);
  GPtrArray *list = candidates(&p);
  int n = (int)list->len;
  if (request->engine) {
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
  best.regions = request->regions;
  best.long_prompt = p.long_prompt;
  best.serves_long = beside_long;
  g_ptr_array_free(list, TRUE);
  return best;
}
