/* trying.c: a suspect is sent to a target once the store has a trial for it. It
   is refused while another try is open, or when it is held because a target
   ended in its trial. A request is a suspect by itself, or for a part of its
   prompt; one with several suspect parts is a trial of these together, since it
   can't tell which of them ends targets. */
#include <stdlib.h>

#include "flow/run.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "node/feed.h"

/* A request with several suspect parts is tried only if none with fewer of
   them, whose trial tells more, came in this time for each part. */
#define FEWER_PARTS_WAIT_S 1.0
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

static Try *find_try_by_number(const Relay *r, uint64_t by) {
  for (guint i = 0; i < r->tries->len; i++) {
    Try *t = r->tries->pdata[i];
    if (t->trial.by == by) return t;
  }
  return NULL;
}

/* == verdicts == */

/* What a request is tried or refused for. */
typedef struct Verdict {
  TrialsVerdict verdict;
  Digest key;   /* of the trial: the request's, a part's, or several_key */
  bool is_part; /* the key is not that of the request */
} Verdict;

static bool has_no_suspects(const Relay *r) {
  return !suspects_has_any(r->suspects) && !trials_has_any(r->trials);
}

static TrialsVerdict verdict_on(const Relay *r, Digest d) {
  double now = loop_time(r);
  TrialsVerdict v =
      trials_verdict(r->trials, now, d, suspects_has(r->suspects, now, d));
  return v == TRIALS_TRY && find_try(r, d) ? TRIALS_BUSY : v;
}

/* The key of all trials of several parts, of which one is open in the fleet. */
static Digest several_key(void) {
  static const char name[] = "several parts";
  DigestPart text = {name, sizeof name};
  return digest_of(&text, 1);
}

/* The verdict on a request with several suspect parts. */
static Verdict judge_together(const Relay *r, const Digest *parts, int n) {
  double since = loop_time(r) - (n - 1) * FEWER_PARTS_WAIT_S;
  Verdict v = {.verdict = TRIALS_BUSY, .is_part = true, .key = several_key()};
  for (int i = 0; i < n; i++)
    if (suspects_is_named(r->suspects, parts[i]) &&
        !suspects_has(r->suspects, since, parts[i]))
      return v;
  if (!find_try(r, v.key))
    v.verdict = trials_verdict(r->trials, loop_time(r), v.key, true);
  return v;
}

/* The verdict on the parts of a request's prompt. One that is held decides,
   then one that is being tried. */
static Verdict judge_parts(const Run *x) {
  if (has_no_suspects(x->relay)) return (Verdict){.verdict = TRIALS_FREE};
  uint64_t ids[REQUEST_MAX_PARTS];
  Digest suspects[REQUEST_MAX_PARTS];
  Verdict v = {.verdict = TRIALS_FREE};
  int n = run_shared_parts(x, ids), n_suspects = 0;
  for (int i = 0; i < n; i++) {
    Digest d = suspects_part_digest(ids[i]);
    TrialsVerdict one = verdict_on(x->relay, d);
    if (one == TRIALS_TRY) suspects[n_suspects++] = d;
    if (one > v.verdict) v.verdict = one;
  }
  if (v.verdict != TRIALS_TRY) return v;
  if (n_suspects > 1) return judge_together(x->relay, suspects, n_suspects);
  v.key = suspects[0];
  v.is_part = true;
  return v;
}

static Verdict judge(Run *x) {
  Verdict v = judge_parts(x);
  if (v.verdict != TRIALS_FREE) return v;
  v.key = run_digest(x);
  v.verdict = verdict_on(x->relay, v.key);
  return v;
}

bool run_has_suspect_part(const Run *x) {
  return judge_parts(x).verdict != TRIALS_FREE;
}

uint64_t run_trial_number(const Run *x) {
  return x->try ? x->try->trial.by : 0;
}

/* == refusals == */

static void refuse_run(Run *x, const Verdict *v) {
  Err e;
  bool is_request = digest_equal(v->key, run_digest(x));
  count_add(COUNT_REFUSED_HELD_BACK, 1);
  if (v->verdict == TRIALS_HELD) {
    err_set(&e, ERR_ENDS_TARGETS, "the targets that ran %s ended",
            is_request ? "this request" : "a part of this prompt");
    e.ran = is_request ? RAN_MAYBE : RAN_NOT; /* in earlier attempts */
  } else {
    err_retry(&e, ERR_ON_TRIAL, RETRY_TRIAL_MS,
              "targets ended under %s, which is being tried",
              is_request ? "this request" : "a part of this prompt");
  }
  run_fail(x, &e);
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
  static const char *const outcomes[] = {"unsent", "nothing", "unproven",
                                         "target ended"};
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

static void fail_try(Try *t, TrialsOutcome outcome) {
  if (!t || t->succeeded || t->outcome >= outcome) return;
  t->outcome = outcome;
  if (is_over(t)) close_try(t);
}

/* Whether all parts of the prompt but the one on trial are sound. */
static bool proves_part(const Relay *r, const EndsMark *m, Digest on_trial) {
  for (int i = 0; i < m->n_parts; i++) {
    Digest d = suspects_part_digest(m->parts[i]);
    if (!digest_equal(d, on_trial) &&
        !suspects_is_sound(r->suspects, loop_time(r), d, on_trial))
      return false;
  }
  return true;
}

/* A repetition of a request on trial is as good as the trial. Other requests
   with a part on trial may end their targets for another reason. */
void relay_on_trial_target_ended(Relay *r, const EndsMark *m) {
  Try *t = m->trial != 0 ? find_try_by_number(r, m->trial) : NULL;
  fail_try(find_try(r, m->digest), TRIALS_ENDED);
  if (t && t->trial.is_part)
    fail_try(t, proves_part(r, m, t->trial.digest) ? TRIALS_ENDED
                                                   : TRIALS_UNPROVEN);
}

void run_pass_part_trial(Run *x) {
  Try *t = x->try;
  if (!t || digest_equal(t->trial.digest, run_digest(x))) return;
  t->succeeded = true;
  run_end_trial(x, true);
}

bool relay_pass_part_trial(Relay *r, Digest part) {
  Try *t = find_try(r, part);
  if (!t) return false;
  t->succeeded = true;
  /* Until the trial is created, its request waits for it. */
  if (t->run && !t->store_pending)
    run_end_trial(t->run, true);
  else if (is_over(t))
    close_try(t);
  return true;
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
  Verdict v = judge(x);
  if (v.verdict != TRIALS_HELD) v.verdict = TRIALS_BUSY;
  refuse_run(x, &v);
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

static void begin_trial(Run *x, const Verdict *v, void (*proceed)(Run *x)) {
  Relay *r = x->relay;
  char name[DIGEST_TEXT_BYTES];
  Try *t = g_new0(Try, 1);
  remove_excess_trial(r);
  t->relay = r;
  t->run = x;
  t->proceed = proceed;
  t->outcome = TRIALS_INCONCLUSIVE;
  t->trial = trials_begin(r->trials, v->key, run_customer_hash(x),
                          clock_unix() * 1000);
  t->trial.is_part = v->is_part;
  t->trial.instance = r->instance;
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
  if (has_no_suspects(x->relay)) {
    proceed(x);
    return;
  }
  Verdict v = judge(x);
  if (v.verdict == TRIALS_FREE)
    proceed(x);
  else if (v.verdict == TRIALS_TRY)
    begin_trial(x, &v, proceed);
  else
    refuse_run(x, &v);
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
