/* choose.c: which target takes a request. */
#include "route/state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FAIL_COST_S 0.2 /* a sure failure costs as much as this wait */
/* What is read holds up all that runs there, so it weighs this much more than
   its own time; of 0, 1 and 2 the best on the users' days (docs/BENCH.md). */
#define READ_COST 1.0
/* One more stream there: a step of a batch, as in the users' sheets. */
#define STEP_S 0.006
#define CROSS_S 0.003   /* another data centre costs as much as this */
#define COLD_S 0.05     /* one that has just started */
#define JITTER 0.02     /* of a cost, so that equal targets share the work */
#define TOOK_FIRST 0.03 /* seconds; a plain answer, before one was seen */
/* A target's word of its load counts for this long, in seconds. */
#define TOLD_FRESH_S 0.5
/* One that is put aside, and one whose entry is missing, get work only when
   there is no other: the first may fail, the second may be leaving. */
#define ASIDE_COST_S 100.0
#define LAPSED_COST_S 1000.0
/* A prompt is long when reading it alone takes this part of the longest pause
   that streams beside it allow: a few of them in a row break that pause. */
#define LONG_PAUSES 0.4

#define DONOR_AGE_S 0.5 /* a donor has read by then what it was sent */
#define MOVE_LEAST 64   /* tokens; less is read anew in a few milliseconds */

typedef struct Pick {
  const Targets *set;
  const TargetAsk *ask;
  double now;
  bool long_prompt;
  double slope;        /* seconds a token takes to be read */
  uint64_t home;       /* weight of the prompt's home, 0: none */
  const Target *donor; /* has most of the prompt in its memory; NULL: none */
  int64_t donated;     /* that many tokens */
} Pick;

static bool was_tried(const TargetAsk *ask, const Target *t) {
  for (int i = 0; i < ask->n_tried; i++)
    if (ask->tried[i] == t) return true;
  return false;
}

/* Neither put aside nor perhaps leaving. */
static bool sound(const Pick *p, const Target *t) {
  return target_usable(t, p->now) && !t->lapsed && p->now >= t->aside_until;
}

/* == homes of prompts == */

/* The deepest shared part decides the home, so that all instances agree
   without a word. */
static uint64_t home_weight(const Target *t, uint64_t key) {
  return XXH64(t->info.id, strlen(t->info.id), key);
}

static void find_home(Pick *p, GPtrArray *list) {
  uint64_t key = parts_key(p->ask->ask);
  for (guint i = 0; i < list->len && key != 0; i++)
    p->home = MAX(p->home, home_weight(list->pdata[i], key));
}

static int64_t fresh_tokens(const Pick *p, const Target *t) {
  const Ask *a = p->ask->ask;
  int64_t all = parts_tokens(a), had = parts_kept(t->parts, a, p->now, 0);
  uint64_t key = parts_key(a);
  if (had > 0 || key == 0 || p->set->parts_are_told) return all - had;
  /* Its home has most likely read the shared parts for somebody else. */
  if (home_weight(t, key) != p->home) return all;
  return all - parts_shared(a);
}

/* == memory that is moved == */

/* What one target has read another takes over in a fraction of the time, so a
   prompt need not wait where its parts are. Read again they cost the users'
   engines 20 to 40 us a token, moved 1 to 11. Worth 0.01 to 0.03 of the users'
   worth, and half of the tokens that are read again; measured on three sites,
   with and without. */
static void find_donor(Pick *p, const Pool *pool) {
  if (!p->set->parts_are_told) return; /* who has it is a guess there */
  if (p->ask->move_s <= 0 || p->ask->move_s >= p->slope) return;
  for (guint i = 0; i < pool->members->len; i++) {
    const Target *t = pool->members->pdata[i];
    int64_t had = sound(p, t)
                      ? parts_kept(t->parts, p->ask->ask, p->now, DONOR_AGE_S)
                      : 0;
    if (had <= p->donated) continue;
    p->donor = t;
    p->donated = had;
  }
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
  return (double)a->ask->tokens_in * p->slope > LONG_PAUSES * a->pause_s;
}

static bool any_sound(const Pick *p, const GPtrArray *list, int from, int to) {
  for (int i = from; i < to; i++)
    if (sound(p, list->pdata[i])) return true;
  return false;
}

/* Long prompts hold up the streams beside them, so they are read at the first
   targets of the pool and everything else runs at the rest; where none of a
   part is sound, all serve. All instances see the same order. Returns whether
   long prompts are read at those that are left. Worth 0.02 of the users' worth
   where streams are held up, a sixth of short streams late or a thirtieth;
   measured over eight seeds of three days, with and without. */
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
  TargetLoad load = target_load_now(t, p->now);
  double unread = (double)(load.tokens + c->fresh);
  if (!p->set->parts_are_told) return unread * p->slope;
  double first = fit_at(&t->pool->first, unread);
  return first * t->slow + (double)c->moved * p->ask->move_s;
}

static double wait_plain(const Target *t, double now) {
  double took = t->took_s > 0 ? t->took_s : TOOK_FIRST;
  int slots = MAX(t->info.slots, 1);
  bool fresh = now - t->told_at < TOLD_FRESH_S;
  int told = fresh ? t->told_running + t->told_waiting : 0;
  int there = MAX(target_load_now(t, now).open, told);
  return took * (1 + (double)there / slots);
}

/* What is read, or moved, costs a target more than its own wait. */
static double engine_cost(const Pick *p, const TargetChoice *c) {
  double read_s = (double)c->fresh * p->slope;
  double move_s = (double)c->moved * p->ask->move_s;
  int open = target_load_now(c->target, p->now).open;
  return READ_COST * (read_s + move_s) + (open + 1) * STEP_S;
}

/* Fills in what a choice of this target would mean; its cost. */
static double price(const Pick *p, TargetChoice *c) {
  const Target *t = c->target;
  double cost = t->fail * FAIL_COST_S;
  if (p->ask->engine) {
    c->fresh = fresh_tokens(p, t);
    take_over(p, c);
    c->wait_s = wait_engine(p, c);
    cost += engine_cost(p, c);
  } else {
    c->wait_s = wait_plain(t, p->now);
  }
  cost += c->wait_s;
  if (strcmp(t->info.dc, p->set->dc) != 0) cost += CROSS_S;
  if (t->info.cold_s > 0) cost += COLD_S;
  if (p->now < t->aside_until) cost += ASIDE_COST_S;
  if (t->lapsed) cost += LAPSED_COST_S;
  return cost * (1 + JITTER * g_rand_double(p->set->rand));
}

/* == the choice == */

static GPtrArray *candidates(const Pick *p, const Pool *pool) {
  GPtrArray *list = g_ptr_array_new();
  for (guint i = 0; i < pool->members->len; i++) {
    Target *t = pool->members->pdata[i];
    if (target_usable(t, p->now) && !was_tried(p->ask, t))
      g_ptr_array_add(list, t);
  }
  return list;
}

TargetChoice targets_pick(Targets *s, double now, const TargetAsk *ask) {
  Pool *pool = g_hash_table_lookup(s->pools, ask->service);
  TargetChoice best = {0};
  double least = INFINITY;
  bool beside_long = false;
  if (!pool) return best;
  Pick p = {.set = s, .ask = ask, .now = now};
  p.slope = s->parts_are_told ? fit_slope(&pool->first) : TARGETS_TOKEN_S;
  p.long_prompt = is_long(&p);
  GPtrArray *list = candidates(&p, pool);
  int n = (int)list->len;
  if (ask->engine) {
    beside_long = divide(&p, pool, list);
    find_home(&p, list);
    find_donor(&p, pool);
  }
  for (guint i = 0; i < list->len; i++) {
    TargetChoice c = {.target = list->pdata[i]};
    double cost = price(&p, &c);
    if (cost >= least) continue;
    least = cost;
    best = c;
  }
  best.candidates = n;
  best.long_prompt = p.long_prompt;
  best.beside_long = beside_long;
  g_ptr_array_free(list, TRUE);
  return best;
}
