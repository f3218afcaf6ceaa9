/* trying.c: a suspect is sent to a target once the store has a trial for it. It
   is refused while another try is open, or when it is held because a target
   ended in its trial. */
#include <stdlib.h>

#include "flow/run.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "node/feed.h"

#define RETRY_TRIAL_MS 1000 /* Retry-After while another try is open */
/* Time after a try until its outcome is final: the end of a target is detected
   within 2 s (ends.c). */
#define OUTCOME_DELAY_S 2.5
/* A write that the store did not answer may take effect within this time. */
#define LATE_WRITE_TIMEOUT_S 8.0

/* A try of this instance, until the store has its outcome. */
typedef struct Try {
  Relay *relay;
  Run *run; /* NULL: it has ended */
  void (*proceed)(Run *x);
  Trial trial;
  TrialsOutcome outcome;
  bool succeeded; /* it was answered: the trial is deleted */
  bool unknown;   /* whether the store has the trial is unknown */
  bool store_pending;
  double ended_at; /* when the run ended */
} Try;

static double loop_time(const Relay *r) {
  return loopclock_now(r->loop);
}

static void format_name(const Try *t, char out[DIGEST_TEXT_BYTES]) {
  digest_format(t->trial.digest, out);
}

static void log_try(const Try *t, const char *what) {
  char digest[DIGEST_TEXT_BYTES];
  format_name(t, digest);
  log_warn("trial", "s:s,s:s,s:i", "digest", digest, "what", what, "tries",
           t->trial.tries);
}

static void remove_try(Try *t) {
  g_ptr_array_remove(t->relay->tries, t);
  if (t->run) t->run->try = NULL;
  g_free(t);
}

/* Returns this instance's latest open try of a request, or NULL. */
static Try *find_try(const Relay *r, Digest d) {
  for (guint i = r->tries->len; i-- > 0;) {
    Try *t = r->tries->pdata[i];
    if (digest_equal(t->trial.digest, d)) return t;
  }
  return NULL;
}

/* == refusals == */

static void refuse_run(Run *x, TrialsVerdict verdict) {
  Err e;
  count_add(COUNT_REFUSED_HELD_BACK, 1);
  if (verdict == TRIALS_HELD) {
    err_set(&e, ERR_ENDS_TARGETS, "the targets that ran this request ended");
    e.ran = RAN_MAYBE; /* in earlier attempts */
  } else {
    err_retry(&e, ERR_ON_TRIAL, RETRY_TRIAL_MS,
              "targets ended under this request, and it is being tried");
  }
  run_fail(x, &e);
}

static TrialsVerdict verdict_of(Run *x) {
  const Relay *r = x->relay;
  Digest d = run_digest(x);
  TrialsVerdict v =
      trials_verdict(r->trials, loop_time(r), d, suspects_has(r->suspects, d));
  return v == TRIALS_TRY && find_try(r, d) ? TRIALS_BUSY : v;
}

/* == writing the outcome == */

static void close_try(Try *t);

static bool is_settled(ErrKind kind) {
  return kind == ERR_NONE || kind == ERR_STORE_ABSENT ||
         kind == ERR_STORE_CONFLICT;
}

/* An outcome that the store did not accept is written again by the next
   sweep. */
static void on_closed(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  StoreObject o;
  t->store_pending = false;
  if (!is_settled(a->kind)) {
    log_try(t, err_info(a->kind)->name);
    return;
  }
  if (t->succeeded) trials_remove(t->relay->trials, t->trial.digest);
  if (a->kind == ERR_NONE && !t->succeeded && store_parse_object(a, &o)) {
    Trial closed = trials_close(&t->trial, t->outcome);
    closed.revision = o.revision;
    trials_set(t->relay->trials, loop_time(t->relay), &closed);
  }
  remove_try(t);
}

static bool is_outdated(const Try *t) {
  return store_is_outdated(t->relay->store, t->trial.revision);
}

/* The store has lost the trial: its outcome is written as a new object. */
static void close_lost(Try *t, uint64_t era) {
  log_try(t, "lost by the store");
  t->trial.revision = revision_make(era, 0);
  if (!t->succeeded) {
    close_try(t);
    return;
  }
  trials_remove(t->relay->trials, t->trial.digest);
  remove_try(t);
}

/* Finds whether the trial was created, after a call without an answer, or
   whether the store still has it. */
static void on_checked(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  StoreObject o;
  Trial found;
  char name[DIGEST_TEXT_BYTES];
  t->store_pending = false;
  format_name(t, name);
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_ABSENT) return;
  if (is_outdated(t) && !t->unknown && a->kind == ERR_STORE_ABSENT) {
    close_lost(t, a->era);
    return;
  }
  bool ours = store_parse_object(a, &o) &&
              trials_read(name, o.content, o.revision, &found) &&
              found.by == t->trial.by;
  if (!ours) {
    if (loop_time(t->relay) - t->ended_at > LATE_WRITE_TIMEOUT_S) remove_try(t);
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
  format_name(t, name);
  t->store_pending = true;
  if (t->unknown || is_outdated(t)) {
    store_get(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, on_checked, t);
    return;
  }
  log_try(t, t->succeeded ? "well" : outcomes[t->outcome]);
  if (t->succeeded) {
    store_delete(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
                 on_closed, t);
    return;
  }
  Trial closed = trials_close(&t->trial, t->outcome);
  store_put(s, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
            trials_write(&closed), on_closed, t);
}

/* Whether the outcome is final. */
static bool is_over(const Try *t) {
  if (t->run || t->store_pending) return false;
  if (t->succeeded || t->outcome != TRIALS_INCONCLUSIVE) return true;
  return loop_time(t->relay) - t->ended_at > OUTCOME_DELAY_S;
}

void run_end_trial(Run *x, bool sent) {
  Try *t = x->try;
  if (!t) return;
  x->try = NULL;
  t->run = NULL;
  t->ended_at = run_now(x);
  if (!sent) t->outcome = TRIALS_UNSENT;
  if (is_over(t)) close_try(t);
}

void relay_on_trial_target_ended(Relay *r, Digest d) {
  Try *t = find_try(r, d);
  if (!t || t->succeeded) return;
  t->outcome = TRIALS_ENDED;
  if (is_over(t)) close_try(t);
}

void relay_on_trial_succeeded(Relay *r, Digest d) {
  Try *t = find_try(r, d);
  if (t) t->succeeded = true;
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

/* == creating the trial == */

/* The store has another instance's trial, so ours was not created. */
static void record_other_trial(const Try *t, const StoreAnswer *a) {
  StoreObject o;
  Trial found;
  char name[DIGEST_TEXT_BYTES];
  format_name(t, name);
  if (store_parse_object(a, &o) &&
      trials_read(name, o.content, o.revision, &found))
    trials_set(t->relay->trials, loop_time(t->relay), &found);
}

static void on_trial_created(Try *t, const StoreAnswer *a) {
  StoreObject o;
  Run *x = t->run;
  if (store_parse_object(a, &o)) t->trial.revision = o.revision;
  trials_set(t->relay->trials, loop_time(t->relay), &t->trial);
  log_try(t, "begins");
  count_add(COUNT_TRIALS, 1);
  if (x)
    t->proceed(x);
  else
    close_try(t);
}

static void on_create_answer(void *ctx, const StoreAnswer *a) {
  Try *t = ctx;
  Run *x = t->run;
  t->store_pending = false;
  if (a->kind == ERR_NONE) {
    on_trial_created(t, a);
    return;
  }
  log_try(t, err_info(a->kind)->name);
  if (a->kind == ERR_STORE_CONFLICT) record_other_trial(t, a);
  if (a->kind == ERR_STORE_ABSENT)
    trials_remove(t->relay->trials, t->trial.digest);
  t->unknown = a->kind == ERR_STORE_UNKNOWN;
  if (t->unknown && x) run_end_trial(x, false);
  if (!t->unknown) remove_try(t);
  if (!x) return;
  bool held = verdict_of(x) == TRIALS_HELD;
  refuse_run(x, held ? TRIALS_HELD : TRIALS_BUSY);
}

static void on_trial_removed(void *ctx, const StoreAnswer *a) {
  (void)ctx;
  log_info("trial-shed", "s:s", "outcome", err_info(a->kind)->name);
}

static void remove_excess_trial(Relay *r) {
  Trial old;
  char name[DIGEST_TEXT_BYTES];
  if (!trials_choose_evicted(r->trials, &old)) return;
  digest_format(old.digest, name);
  count_add(COUNT_SUSPECTS_SHED, 1);
  store_delete(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, old.revision,
               on_trial_removed, NULL);
}

static void begin_trial(Run *x, void (*proceed)(Run *x)) {
  Relay *r = x->relay;
  char name[DIGEST_TEXT_BYTES];
  Try *t = g_new0(Try, 1);
  remove_excess_trial(r);
  t->relay = r;
  t->run = x;
  t->proceed = proceed;
  t->outcome = TRIALS_INCONCLUSIVE;
  t->trial = trials_begin(r->trials, run_digest(x), run_customer_hash(x),
                          clock_unix() * 1000);
  t->trial.by = (uint64_t)g_random_int() << 32 | g_random_int();
  /* If the store still has it, this fails and tells its state. */
  if (is_outdated(t)) t->trial.revision = 0;
  t->store_pending = true;
  x->try = t;
  g_ptr_array_add(r->tries, t);
  format_name(t, name);
  store_put(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, t->trial.revision,
            trials_write(&t->trial), on_create_answer, t);
}

void run_admit(Run *x, void (*proceed)(Run *x)) {
  const Relay *r = x->relay;
  if (!suspects_has_any(r->suspects) && !trials_has_any(r->trials)) {
    proceed(x);
    return;
  }
  TrialsVerdict v = verdict_of(x);
  if (v == TRIALS_FREE)
    proceed(x);
  else if (v == TRIALS_TRY)
    begin_trial(x, proceed);
  else
    refuse_run(x, v);
}

/* == updates from the store == */

void relay_on_trial(Relay *r, const char *name, const json_t *content,
                    uint64_t revision) {
  Trial x;
  if (!content) {
    if (digest_parse(name, &x.digest)) trials_remove(r->trials, x.digest);
    return;
  }
  if (trials_read(name, content, revision, &x))
    trials_set(r->trials, loop_time(r), &x);
  else
    log_warn("trial-damaged", "s:s,s:I", "name", name, "revision",
             (json_int_t)revision);
}

void relay_on_trial_names(Relay *r, GHashTable *names) {
  trials_retain_only(r->trials, names);
}
