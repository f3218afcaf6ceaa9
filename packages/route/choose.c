/* choose.c: which target takes a request. */
#include "route/state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FAIL_COST_S 0.2 /* a sure failure costs as much as this wait */
/* What is read holds up all that runs there, so it weighs this much more than
   its own time. */
#define READ_COST 1.0
/* The same where all work at a target is told: queues are seen there, so a
   short one is no reason to read parts anew that stand elsewhere. */
#define READ_COST_TOLD 3.0
/* One more stream there: a step of a batch. */
#define STEP_S 0.006
#define CROSS_S 0.003 /* another data centre costs as much as this */
#define COLD_S 0.05   /* one that has just started */
/* One that gets more than it says that it takes, as far as that is tolerated:
   it is spared while others would be no later than this. */
#define BEYOND_S 0.1
#define JITTER 0.02     /* of a cost, so that equal targets share the work */
#define TOOK_FIRST 0.03 /* seconds; a plain answer, before one was seen */
/* A target's word of its load counts for this long, in seconds. */
#define TOLD_FRESH_S 0.5
/* One that is put aside, and one whose entry is missing, get work only when
   there is no other: the first may fail, the second may be leaving. */
#define ASIDE_COST_S 100.0
#define LAPSED_COST_S 1000.0
/* Of each request beside one that may end its target, in its place. */
#define BESIDE_COST_S 1.0
/* A prompt is long when reading it alone takes this part of the longest pause
   that streams beside it allow: a few of them in a row break that pause. */
#define LONG_PAUSES 0.4

#define TARGETS_DRAWN 16 /* of a large pool, beside the homes of a prompt */
#define TARGETS_NEAR 16  /* of a home's group, to draw from */

/* Seconds after which a caller may come back to a pool that is full, at least
   and at most: later, hardly one has time left to be served in. */
#define BACK_LEAST_S 0.1
#define BACK_MOST_S 4.0

#define DONOR_AGE_S 0.5 /* a donor has read by then what it was sent */
#define MOVE_LEAST 64   /* tokens; less is read anew in a few milliseconds */

typedef struct Pick {
  const Targets *set;
  Pool *pool;
  const TargetAsk *ask;
  double now;
  bool asking; /* which targets to ask for, not which gets it */
  bool long_prompt;
  double slope; /* seconds a token takes to be read */
  Target *homes[POOL_HOMES];
  int n_homes;
  const Target *donor; /* has most of the prompt in its memory; NULL: none */
  int64_t donated;     /* that many tokens */
} Pick;

static bool was_tried(const TargetAsk *ask, const Target *t) {
  for (int i = 0; i < ask->n_tried; i++)
    if (ask->tried[i] == t) return true;
  return false;
}

/* Whether its regions let the request come to this target. */
static bool allowed(const Pick *p, const Target *t, RegionsWay way) {
  return regions_admit(p->ask->regions, t->region, way);
}

/* Neither put aside nor perhaps leaving. */
static bool sound(const Pick *p, const Target *t) {
  return target_usable(t, p->now) && !t->lapsed && p->now >= t->aside_until;
}

/* What was told of this target; NULL: nothing. */
static const TallyWord *word_of(const Pick *p, const Target *t) {
  for (int i = 0; i < p->ask->n_words; i++)
    if (p->ask->words[i].target == t->hash) return &p->ask->words[i];
  return NULL;
}

static TargetLoad load_of(const Pick *p, const Target *t) {
  const TallyWord *w = word_of(p, t);
  if (!w) return target_load_now(t, p->now);
  return (TargetLoad){.open = w->open, .tokens = w->tokens};
}

static bool is_bounded(const Pick *p, const Target *t) {
  QuotaBounds b = target_bounds(t, p->now, p->ask);
  return quota_is_bounded(&b);
}

/* Bounded, and it has had all that it may get, as far as we know: who counts
   there decides (tally.h). */
static bool is_full(const Pick *p, const Target *t) {
  bool full = p->ask->no_permit || p->now < t->full_until;
  return full && is_bounded(p, t);
}

/* It has had as much as it says that it takes. */
static bool is_beyond_limit(const Pick *p, const Target *t) {
  return t->limit < QUOTA_UNLIMITED && p->now < t->limit_until;
}

/* May it be sent there at all? */
static bool may_take(const Pick *p, const Target *t) {
  if (!target_usable(t, p->now) || was_tried(p->ask, t)) return false;
  return allowed(p, t, REGIONS_TARGET) && !is_full(p, t);
}

/* == homes of prompts == */

/* The deepest shared part decides the home, so that all instances agree
   without a word. */
static uint64_t home_weight(const Target *t, uint64_t key) {
  return XXH64(t->info.id, strlen(t->info.id), key);
}

/* The two of a list with the highest weights. */
static int weigh(const Pick *p, const GPtrArray *list, bool sound_only,
                 Target *homes[POOL_HOMES]) {
  uint64_t key = parts_key(p->ask->ask), top[POOL_HOMES] = {0};
  int n = 0;
  for (guint i = 0; i < list->len && key != 0; i++) {
    Target *t = list->pdata[i];
    uint64_t w = home_weight(t, key);
    if ((sound_only && !sound(p, t)) || (n == 2 && w <= top[1])) continue;
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
  return may_take(p, t) && sound(p, t);
}

static bool is_large(const Pool *pool) {
  return pool->members->len > POOL_SMALL;
}

/* Among `list`; in a large pool among all that it holds, and once. */
static void find_homes(Pick *p, const GPtrArray *list) {
  uint64_t key = parts_key(p->ask->ask);
  if (!is_large(p->pool))
    p->n_homes = weigh(p, list, p->asking, p->homes);
  else if (key != 0 && p->n_homes == 0)
    p->n_homes = pool_homes(p->pool, key, may_be_home, p, p->homes);
}

/* Where work is told a prompt has two homes, else one. */
static bool is_home(const Pick *p, const Target *t) {
  int n = MIN(p->n_homes, p->ask->n_words > 0 ? 2 : 1);
  for (int i = 0; i < n; i++)
    if (p->homes[i] == t) return true;
  return false;
}

/* Tokens of the prompt that it got from us or, as far as they tell, from
   others, `age_s` ago or earlier. */
static int64_t kept_there(const Pick *p, const Target *t, double age_s) {
  if (!t->use) return 0;
  return parts_kept(t->use->parts, p->ask->ask, p->now, age_s);
}

/* Parts that are read elsewhere than at one of their homes are read once more
   there by the next request, which does not look for them here. */
static int64_t stray_tokens(const Pick *p, const Target *t) {
  const RequestInfo *a = p->ask->ask;
  const TallyWord *w = word_of(p, t);
  uint64_t key = parts_key(a);
  if (!w || key == 0 || is_home(p, t)) return 0;
  return parts_shared(a) - parts_first(a, w->known);
}

static int64_t fresh_tokens(const Pick *p, const Target *t) {
  const RequestInfo *a = p->ask->ask;
  const TallyWord *w = word_of(p, t);
  if (w) return parts_tokens(a) - parts_first(a, w->known);
  int64_t all = parts_tokens(a), had = kept_there(p, t, 0);
  uint64_t key = parts_key(a);
  if (had > 0 || key == 0 || p->set->parts_are_told) return all - had;
  /* Its home has most likely read the shared parts for somebody else. */
  if (!is_home(p, t)) return all;
  return all - parts_shared(a);
}

/* Those that somebody told of. */
static GPtrArray *told_of(const Pick *p) {
  GPtrArray *list = g_ptr_array_new();
  for (int i = 0; i < p->ask->n_words; i++) {
    uint64_t hash = p->ask->words[i].target;
    Target *t = g_hash_table_lookup(p->set->by_hash, &hash);
    if (t && t->pool == p->pool) g_ptr_array_add(list, t);
  }
  return list;
}

/* == memory that is moved == */

/* What one target has read another takes over in a fraction of the time, so a
   prompt need not wait where its parts are. */
static int64_t ripe_tokens(const Pick *p, const Target *t) {
  const TallyWord *w = word_of(p, t);
  if (!sound(p, t)) return 0;
  if (w) return parts_first(p->ask->ask, w->ripe);
  return kept_there(p, t, DONOR_AGE_S);
}

/* The one that has read the most, of those whose reading is known. */
static void find_donor(Pick *p) {
  bool told = p->set->parts_are_told || p->ask->n_words > 0;
  if (!told) return; /* who has it is a guess there */
  if (p->ask->move_s <= 0 || p->ask->move_s >= p->slope) return;
  bool words = p->ask->n_words > 0;
  GPtrArray *list = words ? told_of(p) : g_ptr_array_ref(p->pool->members);
  for (guint i = 0; i < list->len; i++) {
    const Target *t = list->pdata[i];
    if (!allowed(p, t, REGIONS_DONOR)) continue;
    int64_t had = ripe_tokens(p, t);
    if (had <= p->donated) continue;
    p->donor = t;
    p->donated = had;
  }
  g_ptr_array_unref(list);
}

/* Takes what the donor has beyond the target's own. */
static void take_over(const Pick *p, TargetChoice *c) {
  int64_t all = parts_tokens(p->ask->ask);
  int64_t more = p->donated - (all - c->fresh);
  if (!p->donor || p->donor == c->target || more < MOVE_LEAST) return;
  c->donor = p->donor;
  c->moved = more;
  c->fresh -= more;
}

/* == a pool in two parts == */

static bool is_long(const Pick *p) {
  const TargetAsk *a = p->ask;
  if (!a->engine || a->pause_s <= 0) return false;
  return (double)a->ask->prompt_tokens * p->slope > LONG_PAUSES * a->pause_s;
}

static bool any_sound(const Pick *p, const GPtrArray *list, int from, int to) {
  for (int i = from; i < to; i++)
    if (sound(p, list->pdata[i])) return true;
  return false;
}

/* Long prompts hold up the streams beside them, so they are read at the first
   targets of the pool and everything else runs at the rest; where none of a
   part is sound, all serve. All instances see the same order. Returns whether
   long prompts are read at those that are left. */
static bool divide(const Pick *p, Pool *pool, GPtrArray *list) {
  int n = (int)list->len;
  if (!p->set->parts_are_told) return true;
  int k = division_count(pool->division, p->now, n);
  int from = p->long_prompt ? 0 : k, to = p->long_prompt ? k : n;
  if (k == n || !any_sound(p, list, from, to)) return true;
  g_ptr_array_remove_range(list, (guint)to, (guint)(n - to));
  g_ptr_array_remove_range(list, 0, (guint)from);
  return p->long_prompt;
}

/* == cost == */

static double wait_engine(const Pick *p, const TargetChoice *c) {
  const Target *t = c->target;
  double unread = (double)(c->load.tokens + c->fresh);
  if (!p->set->parts_are_told)
    return unread * p->slope * target_pace(t, p->now);
  double first = fit_at(&t->pool->first, unread);
  return first * t->slow * target_pace(t, p->now) +
         (double)c->moved * p->ask->move_s;
}

static double wait_plain(const Target *t, int open, double now) {
  double took = t->took_s > 0 ? t->took_s : TOOK_FIRST;
  int slots = MAX(t->info.slots, 1);
  bool fresh = now - t->told_at < TOLD_FRESH_S;
  int told = fresh ? t->told_running + t->told_waiting : 0;
  int there = MAX(open, told);
  return took * target_pace(t, now) * (1 + (double)there / slots);
}

/* What is read, or moved, costs a target more than its own wait. */
static double engine_cost(const Pick *p, const TargetChoice *c) {
  double read_s = (double)c->fresh * p->slope;
  double move_s = (double)c->moved * p->ask->move_s;
  double stray_s = (double)stray_tokens(p, c->target) * p->slope;
  double weight = p->ask->n_words > 0 ? READ_COST_TOLD : READ_COST;
  return weight * (read_s + stray_s + move_s) + (c->load.open + 1) * STEP_S;
}

/* Fills in what a choice of this target would mean; its cost. */
static double price(const Pick *p, TargetChoice *c) {
  const Target *t = c->target;
  double cost = t->fail * FAIL_COST_S;
  c->load = load_of(p, t);
  if (p->ask->engine) {
    c->fresh = fresh_tokens(p, t);
    take_over(p, c);
    c->wait_s = wait_engine(p, c);
    cost += engine_cost(p, c);
  } else {
    c->wait_s = wait_plain(t, c->load.open, p->now);
  }
  cost += c->wait_s;
  if (strcmp(t->info.dc, p->set->dc) != 0) cost += CROSS_S;
  if (p->now < t->cold_until) cost += COLD_S;
  if (is_beyond_limit(p, t)) cost += BEYOND_S;
  if (p->now < t->aside_until) cost += ASIDE_COST_S;
  if (t->lapsed) cost += LAPSED_COST_S;
  if (p->ask->alone) cost += c->load.open * BESIDE_COST_S;
  return cost * (1 + JITTER * g_rand_double(p->set->rand));
}

/* == the choice == */

/* Why this one does not take it. */
static TargetNone why_not(const Pick *p, const Target *t) {
  if (p->now >= t->leave_at || was_tried(p->ask, t)) return TARGET_NONE_LEFT;
  if (!allowed(p, t, REGIONS_TARGET)) return TARGET_NONE_ALLOWED;
  return t->evacuated ? TARGET_NONE_EVACUATED : TARGET_NONE_FULL;
}

/* What a full pool takes in a second, and when the first has room again. */
typedef struct Room {
  double per_s, wait_s;
} Room;

static void add_room(const Pick *p, const Target *t, Room *room) {
  QuotaBounds b = target_bounds(t, p->now, p->ask);
  double per_s = b.limit;
  if (b.cold > 0) per_s = MIN(per_s, b.cold);
  if (per_s < QUOTA_UNLIMITED) room->per_s += per_s;
  room->wait_s = MIN(room->wait_s, MAX(0, t->full_until - p->now));
}

/* Those who are refused come back one after the other, at the pace at which the
   pool has room for the callers of one instance. */
static double back_after(const Pick *p, const Room *room) {
  Pool *pool = p->pool;
  int of = MAX(p->set->share.now_of, 1);
  double step = room->per_s > 0 ? of / room->per_s : BACK_MOST_S;
  double first = p->now + CLAMP(room->wait_s, BACK_LEAST_S, BACK_MOST_S);
  double at = MAX(first, pool->back_at + step);
  pool->back_at = MIN(at, p->now + BACK_MOST_S);
  return pool->back_at - p->now;
}

/* Why nobody is left to take it, and when to come back. */
static void explain_none(const Pick *p, TargetChoice *c) {
  Room room = {.wait_s = INFINITY};
  for (guint i = 0; i < p->pool->members->len; i++) {
    const Target *t = p->pool->members->pdata[i];
    TargetNone why = why_not(p, t);
    c->none = MAX(c->none, why);
    if (why == TARGET_NONE_FULL) add_room(p, t, &room);
  }
  if (c->none == TARGET_NONE_FULL) c->back_s = back_after(p, &room);
}

/* Fills in what bounds the target that was chosen. */
static void bound(const Pick *p, TargetChoice *c) {
  c->bounds = target_bounds(c->target, p->now, p->ask);
  c->bounds.beyond_limit = is_beyond_limit(p, c->target);
  c->bounded = quota_is_bounded(&c->bounds);
}

static void walk(const Pick *p, GPtrArray *list) {
  GPtrArray *members = pool_members(p->pool);
  p->pool->looks += members->len;
  for (guint i = 0; i < members->len; i++)
    if (may_take(p, members->pdata[i]))
      g_ptr_array_add(list, members->pdata[i]);
}

/* Some at random: of a few of many the one with the least work is nearly as
   good as the best of all. */
static void draw(const Pick *p, GPtrArray *list) {
  GPtrArray *members = p->pool->members;
  p->pool->looks += TARGETS_DRAWN;
  for (int i = 0; i < TARGETS_DRAWN; i++) {
    guint k = (guint)g_rand_int_range(p->set->rand, 0, (gint32)members->len);
    if (may_take(p, members->pdata[k]))
      g_ptr_array_add(list, members->pdata[k]);
  }
}

/* All that may take it, of a large pool its homes and some more; of these only
   those that somebody told of, if any. */
static GPtrArray *candidates(Pick *p) {
  GPtrArray *told = told_of(p), *list = g_ptr_array_new();
  for (guint i = 0; i < told->len; i++)
    if (may_be_home(p, told->pdata[i])) g_ptr_array_add(list, told->pdata[i]);
  g_ptr_array_free(told, TRUE);
  if (list->len > 0) return list;
  if (is_large(p->pool)) {
    find_homes(p, list);
    for (int i = 0; i < p->n_homes; i++) g_ptr_array_add(list, p->homes[i]);
    /* A prompt with homes asks only for those near them. */
    if (!p->asking || p->n_homes == 0) draw(p, list);
  }
  if (list->len == 0) walk(p, list);
  return list;
}

/* Only those of the first home's group, whom one instance counts. */
static void keep_near(const Pick *p, GPtrArray *list) {
  Target *near[TARGETS_NEAR];
  int n = pool_near(p->pool, p->homes[0], may_be_home, p, near, TARGETS_NEAR);
  g_ptr_array_set_size(list, 0);
  for (int i = 0; i < n; i++) g_ptr_array_add(list, near[i]);
}

int targets_to_ask(Targets *s, double now, const TargetAsk *ask,
                   uint64_t out[TARGETS_ASKED]) {
  Pool *pool = g_hash_table_lookup(s->pools, ask->service);
  if (!pool) return 0;
  Pick p = {.set = s, .pool = pool, .ask = ask, .now = now, .asking = true};
  GPtrArray *list = candidates(&p);
  find_homes(&p, list);
  if (is_large(pool) && p.n_homes > 0) keep_near(&p, list);
  int len = (int)list->len, n = 0;
  for (int i = 0; i < p.n_homes; i++) out[n++] = p.homes[i]->hash;
  for (int tries = 0; n < TARGETS_ASKED && tries < 2 * TARGETS_ASKED && len > 0;
       tries++) {
    const Target *t = list->pdata[g_rand_int_range(s->rand, 0, len)];
    bool twice = !sound(&p, t);
    for (int i = 0; i < n; i++) twice |= out[i] == t->hash;
    if (!twice) out[n++] = t->hash;
  }
  g_ptr_array_free(list, TRUE);
  return n;
}

TargetChoice targets_pick(Targets *s, double now, const TargetAsk *ask) {
  Pool *pool = g_hash_table_lookup(s->pools, ask->service);
  TargetChoice best = {0};
  double least = INFINITY;
  bool beside_long = false;
  if (!pool) return best;
  Pick p = {.set = s, .pool = pool, .ask = ask, .now = now};
  p.slope = s->parts_are_told ? fit_slope(&pool->first) : TARGETS_TOKEN_S;
  p.long_prompt = is_long(&p);
  GPtrArray *list = candidates(&p);
  int n = (int)list->len;
  if (ask->engine) {
    beside_long = divide(&p, pool, list);
    find_homes(&p, list);
    find_donor(&p);
  }
  for (guint i = 0; i < list->len; i++) {
    TargetChoice c = {.target = list->pdata[i]};
    double cost = price(&p, &c);
    if (cost >= least) continue;
    least = cost;
    best = c;
  }
  if (best.target)
    bound(&p, &best);
  else
    explain_none(&p, &best);
  best.candidates = n;
  best.regions = ask->regions;
  best.long_prompt = p.long_prompt;
  best.beside_long = beside_long;
  g_ptr_array_free(list, TRUE);
  return best;
}
