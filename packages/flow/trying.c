/* trying.c: suspects are tried once the store has their trial, and refused
   while another instance tries them or when they are held. */
#include <stdlib.h>

#include "flow/run.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "node/feed.h"

#define BACK_TRIED_MS 1000 /* Retry-After while it is tried elsewhere */
/* Seconds after a try broke until it has told nothing: a target's end is known
   within two (ends.c). */
#define SETTLE_S 2.5
/* A write that the store did not answer may be done so many seconds later. */
#define LATE_WRITE_S 8.0

/* One try of ours, until the store has its outcome. */
typedef struct Try {
  Relay *relay;
  Run *run; /* NULL: it is over */
  void (*go)(Run *x);
  Trial trial;
  TrialsOutcome outcome;
  bool well;    /* it ended well: the trial is taken away */
  bool unknown; /* the store may have it or not */
  bool calling;
  double left_at; /* when it was over */
} Try;

static double now_of(const Relay *r) {
  return loopclock_now(r->loop);
}

static void name_of(const Try *t, char out[DIGEST_TEXT_BYTES]) {
  digest_format(t->trial.digest, out);
}

static void log_try(const Try *t, const char *what) {
  char digest[DIGEST_TEXT_BYTES];
  name_of(t, digest);
  log_warn("trial", "s:s,s:s,s:i", "digest", digest, "what", what, "tries",
           t->trial.tries);
}

static void drop(Try *t) {
  g_ptr_array_remove(t->relay->tries, t);
  if (t->run) t->run->try = NULL;
  g_free(t);
}

/* The latest of our tries of a request that is not settled; NULL: none. */
static Try *find(const Relay *r, Digest d) {
  for (guint i = r->tries->len; i-- > 0;) {
    Try *t = r->tries->pdata[i];
    if (digest_equal(t->trial.digest, d)) return t;
  }
  return NULL;
}

/* == refusals == */

static void refuse(Run *x, TrialsVerdict verdict) {
  Err e;
  count_add(COUNT_REFUSED_HELD_BACK, 1);
  if (verdict == TRIALS_HELD) {
    err_set(&e, ERR_ENDS_TARGETS, "the targets that ran this request ended");
    e.ran = RAN_MAYBE; /* as earlier attempts */
  } else {
    err_retry(&e, ERR_ON_TRIAL, BACK_TRIED_MS,
              "targets ended under this request, and it is being tried");
  }
  run_give_up(x, &e);
}

static TrialsVerdict verdict_of(Run *x) {
  const Relay *r = x->relay;
  Digest d = run_digest(x);
  TrialsVerdict v =
      trials_verdict(r->trials, now_of(r), d, suspects_has(r->suspects, d));
  return v == TRIALS_TRY && find(r, d) ? TRIALS_BUSY : v;
}

/* == the outcome, into the store == */

static void close_try(Try *t);

static bool is_settled(ErrKind kind) {
  return kind == ERR_NONE || kind == ERR_STORE_ABSENT ||
         kind == ERR_STORE_CONFLICT;
}

/* What the store did not take is told again with the next sweep. */
static void on_closed(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  StoreObject o;
  t->calling = false;
  if (!is_settled(a->kind)) {
    log_try(t, err_info(a->kind)->name);
    return;
  }
  if (t->well) trials_remove(t->relay->trials, t->trial.digest);
  if (a->kind == ERR_NONE && !t->well && store_parse_object(a, &o)) {
    Trial closed = trials_close(&t->trial, t->outcome);
    closed.revision = o.revision;
    trials_set(t->relay->trials, now_of(t->relay), &closed);
  }
  drop(t);
}

/* Whether the trial was made, after a call without an answer. */
static void on_looked(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  StoreObject o;
  Trial found;
  char name[DIGEST_TEXT_BYTES];
  t->calling = false;
  name_of(t, name);
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_ABSENT) return;
  bool ours = store_parse_object(a, &o) &&
              trials_read(name, o.content, o.revision, &found) &&
              found.by == t->trial.by;
  if (!ours) {
    if (now_of(t->relay) - t->left_at > LATE_WRITE_S) drop(t);
    return;
  }
  t->unknown = false;
  t->trial = found;
  close_try(t);
}

static void close_try(Try *t) {
  static const char *const outcomes[] = {"unsent", "nothing", "target ended"};
  char name[DIGEST_TEXT_BYTES];
  Store *s = t->relay->store;
  name_of(t, name);
  t->calling = true;
  if (t->unknown) {
    store_get(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, on_looked, t);
    return;
  }
  log_try(t, t->well ? "well" : outcomes[t->outcome]);
  if (t->well) {
    store_delete(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
                 on_closed, t);
    return;
  }
  Trial closed = trials_close(&t->trial, t->outcome);
  store_put(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
            trials_write(&closed), on_closed, t);
}

/* Whether its outcome can't change any more. */
static bool is_over(const Try *t) {
  if (t->run || t->calling) return false;
  if (t->well || t->outcome != TRIALS_INCONCLUSIVE) return true;
  return now_of(t->relay) - t->left_at > SETTLE_S;
}

void run_leave_trial(Run *x, bool sent) {
  Try *t = x->try;
  if (!t) return;
  x->try = NULL;
  t->run = NULL;
  t->left_at = run_now(x);
  if (!sent) t->outcome = TRIALS_UNSENT;
  if (is_over(t)) close_try(t);
}

void relay_tried_ended(Relay *r, Digest d) {
  Try *t = find(r, d);
  if (!t || t->well) return;
  t->outcome = TRIALS_ENDED;
  if (is_over(t)) close_try(t);
}

void relay_tried_well(Relay *r, Digest d) {
  Try *t = find(r, d);
  if (t) t->well = true;
}

void relay_close_tries(Relay *r) {
  for (guint i = r->tries->len; i-- > 0;) {
    Try *t = r->tries->pdata[i];
    if (is_over(t)) close_try(t);
  }
}

void relay_free_tries(Relay *r) {
  for (guint i = 0; i < r->tries->len; i++) g_free(r->tries->pdata[i]);
  g_ptr_array_free(r->tries, TRUE);
}

/* == the trial, into the store == */

/* The store has another's trial: ours was not made. */
static void take_other(const Try *t, const StoreAnswer *a) {
  StoreObject o;
  Trial found;
  char name[DIGEST_TEXT_BYTES];
  name_of(t, name);
  if (store_parse_object(a, &o) &&
      trials_read(name, o.content, o.revision, &found))
    trials_set(t->relay->trials, now_of(t->relay), &found);
}

static void on_made(Try *t, const StoreAnswer *a) {
  StoreObject o;
  Run *x = t->run;
  if (store_parse_object(a, &o)) t->trial.revision = o.revision;
  trials_set(t->relay->trials, now_of(t->relay), &t->trial);
  log_try(t, "begins");
  count_add(COUNT_TRIALS, 1);
  if (x)
    t->go(x);
  else
    close_try(t);
}

static void on_begun(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  Run *x = t->run;
  t->calling = false;
  if (a->kind == ERR_NONE) {
    on_made(t, a);
    return;
  }
  log_try(t, err_info(a->kind)->name);
  if (a->kind == ERR_STORE_CONFLICT) take_other(t, a);
  if (a->kind == ERR_STORE_ABSENT)
    trials_remove(t->relay->trials, t->trial.digest);
  t->unknown = a->kind == ERR_STORE_UNKNOWN;
  if (t->unknown && x) run_leave_trial(x, false);
  if (!t->unknown) drop(t);
  if (!x) return;
  bool held = verdict_of(x) == TRIALS_HELD;
  refuse(x, held ? TRIALS_HELD : TRIALS_BUSY);
}

static void on_shed(void *ctx, const StoreAnswer *a) {
  (void)ctx;
  log_info("trial-shed", "s:s", "outcome", err_info(a->kind)->name);
}

static void make_room(Relay *r) {
  Trial old;
  char name[DIGEST_TEXT_BYTES];
  if (!trials_choose_evicted(r->trials, &old)) return;
  digest_format(old.digest, name);
  count_add(COUNT_SUSPECTS_SHED, 1);
  store_delete(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, old.revision,
               on_shed, NULL);
}

static void begin(Run *x, void (*go)(Run *x)) {
  Relay *r = x->relay;
  char name[DIGEST_TEXT_BYTES];
  Try *t = g_new0(Try, 1);
  make_room(r);
  t->relay = r;
  t->run = x;
  t->go = go;
  t->outcome = TRIALS_INCONCLUSIVE;
  t->trial =
      trials_begin(r->trials, run_digest(x), run_owner(x), clock_unix() * 1000);
  t->trial.by = (uint64_t)g_random_int() << 32 | g_random_int();
  t->calling = true;
  x->try = t;
  g_ptr_array_add(r->tries, t);
  name_of(t, name);
  store_put(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
            trials_write(&t->trial), on_begun, t);
}

void run_admit(Run *x, void (*go)(Run *x)) {
  const Relay *r = x->relay;
  if (!suspects_has_any(r->suspects) && !trials_has_any(r->trials)) {
    go(x);
    return;
  }
  TrialsVerdict v = verdict_of(x);
  if (v == TRIALS_FREE)
    go(x);
  else if (v == TRIALS_TRY)
    begin(x, go);
  else
    refuse(x, v);
}

/* == what the store says == */

void relay_trial(Relay *r, const char *name, const json_t *content,
                 uint64_t revision) {
  Trial x;
  if (!content) {
    if (digest_parse(name, &x.digest)) trials_remove(r->trials, x.digest);
    return;
  }
  if (trials_read(name, content, revision, &x))
    trials_set(r->trials, now_of(r), &x);
  else
    log_warn("trial-damaged", "s:s,s:I", "name", name, "revision",
             (json_int_t)revision);
}

void relay_trials(Relay *r, GHashTable *names) {
  trials_retain_only(r->trials, names);
}
