/* admission.c: for each service and priority, the share of requests expected
   late, and how long requests waited relative to the expectation. */
#include "route/admission.h"

#include <glib.h>
#include <math.h>

/* Priorities that are told apart; all less urgent ones share the last. Routes
   have three, customers with a priority of their own shift them by three. */
#define PRIORITIES 16

/* == persistent lateness == */

/* Time over which the share of late requests fades, the most that one request
   counts for, and the share from which on the service is persistently late:
   reached after 0.42 s, and by five requests, that are all late. */
#define SHARE_WINDOW_S 0.3
#define SAMPLE_MAX_WEIGHT 0.25
#define ENTER_SHARE 0.75
/* A queue that is longer than the objective by this much, or by this part of
   the objective if that is less, makes late all that comes for longer than a
   moment, so it counts for up to LONG_MAX_WEIGHT: two requests in a row
   suffice. With two requests per second and service, as in a fleet of 72
   instances, five took 3 s, and the queue grew to three times the objective.
   One does not suffice: it may have been sent to a slow target for what that
   has cached. */
#define LONG_EXCESS_S 0.5
#define LONG_EXCESS_RATIO 0.5
#define LONG_MAX_WEIGHT 0.5
/* The state ends when the share has been below this for LEAVE_AFTER_S. At 10%
   more load than capacity a tenth is rejected, which keeps the state. */
#define LEAVE_SHARE 0.1
#define LEAVE_AFTER_S 2.0
/* While the state lasts, a request is late from this part of the objective on.
   The rest is for the error of the expectation: reports are some milliseconds
   old, and requests of other instances are on their way. */
#define AIM_RATIO 0.8
/* The same while the allocation holds back what is above the shares: the queues
   then no longer stand at the limit of what is admitted, and less is on its
   way. At 0.8 of 0.5 s, requests that had to read for 0.2 s were rejected
   behind a single other one that was being read. */
#define SHARE_AIM_RATIO 0.9
/* Part of the objective that a request may wait for others where its own
   reading takes up most of the objective, or where its customer is above its
   share. */
#define MIN_QUEUE_RATIO 0.2

/* == deadlines == */

/* The first byte of an engine must come within this part of the time left: a
   stream takes time after it, and one that is cut off at the deadline is
   wasted. The answer of a plain target ends with its first byte. */
#define DEADLINE_RATIO 0.9

/* == correction of the expectation == */

/* Measured waits fade over this time, and to this part with each further one:
   the composition of a queue changes within a second where there are many
   requests, and an instance with one in 1.4 s needs several of them. */
#define MEASURED_WINDOW_S 5.0
#define MEASURED_KEEP_RATIO 0.9
/* Weight of what is assumed without a measured wait, in seconds of waiting. */
#define PRIOR_S 0.2
/* Added to both sides of each measured wait. Without it, many waits of some
   milliseconds for the network and the next step of a batch would count as a
   queue that was several times longer than expected. */
#define SAMPLE_PRIOR_S 0.05
#define CORRECTION_MIN 0.05
#define CORRECTION_MAX 4.0
/* One request is admitted when no wait of its priority was measured, nor is
   about to be, for this long; the time doubles with each such request up to the
   maximum. A prompt of 12,000 tokens every 8 s from each of 72 instances is 1%
   of what 140 engines read. */
#define PROBE_MIN_S 1.0
#define PROBE_MAX_S 8.0

typedef struct Class {
  double late_share; /* of recent requests, 0 to 1 */
  double sampled_at;
  double calm_since;       /* late_share is below LEAVE_SHARE since then */
  bool late;               /* persistently */
  double waited, expected; /* sums over recent requests, as of faded_at */
  /* Sum over the same requests of the time to read one, times the time that it
     was unread: its part of the queue. */
  double queued;
  double faded_at;
  /* When a wait was last measured, or that of the last admitted request is
     expected to be. */
  double known_at;
  double probe_after_s;
} Class;

typedef struct ServiceState {
  Class classes[PRIORITIES];
} ServiceState;

struct Admission {
  GHashTable *services; /* hash of its name -> ServiceState */
};

static const char *const cause_names[ADMISSION_CAUSES] = {
    [ADMISSION_ADMITTED] = "",
    [ADMISSION_DEADLINE] = "deadline",
    [ADMISSION_LATE] = "late",
    [ADMISSION_SHARE] = "share"};

Admission *admission_new(void) {
  Admission *a = g_new0(Admission, 1);
  a->services =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  return a;
}

void admission_free(Admission *a) {
  g_hash_table_destroy(a->services);
  g_free(a);
}

const char *admission_cause_name(AdmissionCause cause) {
  return cause_names[cause];
}

static ServiceState *ensure_service(Admission *a, uint64_t service) {
  ServiceState *s = g_hash_table_lookup(a->services, &service);
  if (s) return s;
  s = g_new0(ServiceState, 1);
  for (int i = 0; i < PRIORITIES; i++) {
    Class *k = &s->classes[i];
    k->sampled_at = k->known_at = -INFINITY;
    k->probe_after_s = PROBE_MIN_S;
  }
  g_hash_table_insert(a->services, g_memdup2(&service, sizeof service), s);
  return s;
}

static int class_index(int priority) {
  return CLAMP(priority, 0, PRIORITIES - 1);
}

/* == shares == */

bool admission_is_within_share(const AdmissionCutoff *c, int priority,
                               double fraction) {
  bool is_valid = c->cutoff >= 0; /* false for NaN */
  return !is_valid || priority + fraction < c->cutoff;
}

/* == expectation == */

static void fade_measured(Class *k, double now) {
  double keep = exp(-MAX(0, now - k->faded_at) / MEASURED_WINDOW_S);
  k->waited *= keep;
  k->expected *= keep;
  k->queued *= keep;
  k->faded_at = now;
}

/* Part of what is unread that requests of class `at` have to wait for: that of
   the more urgent classes and their own. Known by what this instance sent; 1 if
   it sent nothing. */
static double part_ahead(ServiceState *s, double now, int at) {
  double ahead = 0, all = 0;
  for (int i = 0; i < PRIORITIES; i++) {
    Class *k = &s->classes[i];
    fade_measured(k, now);
    all += k->queued;
    if (i <= at) ahead += k->queued;
  }
  return all > 0 ? ahead / all : 1;
}

/* Time that requests of the class wait for others, relative to the expectation
   in order of arrival. */
static double correction(ServiceState *s, double now, int at) {
  double assumed = part_ahead(s, now, at);
  const Class *k = &s->classes[at];
  return CLAMP((k->waited + PRIOR_S * assumed) / (k->expected + PRIOR_S),
               CORRECTION_MIN, CORRECTION_MAX);
}

static bool is_time(double s) {
  return isfinite(s) && s >= 0;
}

static void add_measured(double *sum, double s) {
  *sum = *sum * MEASURED_KEEP_RATIO + s;
}

void admission_note_wait(Admission *a, double now, uint64_t service,
                         int priority, double wait_s, double own_s,
                         double took_s) {
  if (!is_time(wait_s) || !is_time(own_s) || !is_time(took_s)) return;
  Class *k = &ensure_service(a, service)->classes[class_index(priority)];
  fade_measured(k, now);
  k->known_at = MAX(k->known_at, now);
  add_measured(&k->waited, MAX(0, took_s - own_s) + SAMPLE_PRIOR_S);
  add_measured(&k->expected, MAX(0, wait_s - own_s) + SAMPLE_PRIOR_S);
  k->queued += own_s * took_s;
}

/* == persistent lateness == */

static bool is_current(const Class *k, double now) {
  return k->late && now - k->sampled_at <= LEAVE_AFTER_S;
}

static bool is_late(const ServiceState *s, double now, int priority) {
  for (int i = 0; i <= class_index(priority); i++)
    if (is_current(&s->classes[i], now)) return true;
  return false;
}

bool admission_is_late(const Admission *a, double now, uint64_t service,
                       int priority) {
  const ServiceState *s = g_hash_table_lookup(a->services, &service);
  return s && is_late(s, now, priority);
}

/* `excess`: how much later than its objective a request is expected, relative
   to what is long. */
static void note_sample(Class *k, double now, bool late, double excess) {
  double more = CLAMP(excess, 0, 1);
  double max_weight =
      SAMPLE_MAX_WEIGHT + (LONG_MAX_WEIGHT - SAMPLE_MAX_WEIGHT) * more;
  double weight = 1 - exp(-MAX(0, now - k->sampled_at) / SHARE_WINDOW_S);
  k->late = is_current(k, now);
  if (now - k->sampled_at > LEAVE_AFTER_S) k->late_share = 0;
  k->late_share += MIN(weight, max_weight) * (late - k->late_share);
  k->sampled_at = now;
  if (k->late_share >= LEAVE_SHARE) k->calm_since = now;
  if (k->late_share >= ENTER_SHARE) k->late = true;
  if (now - k->calm_since >= LEAVE_AFTER_S) k->late = false;
}

/* Time until the first byte up to which a request is not late. */
static double aim_of(const AdmissionRequest *r, bool state) {
  if (!state) return r->objective_s;
  double short_s = r->own_s + MIN_QUEUE_RATIO * r->objective_s;
  if (r->above_share) return MIN(short_s, r->objective_s);
  double ratio = r->short_of_capacity ? SHARE_AIM_RATIO : AIM_RATIO;
  return CLAMP(short_s, ratio * r->objective_s, r->objective_s);
}

/* Only what waits for others says something about the service: a prompt that
   can't be read within the objective is late on an idle target too. */
static void sample(Class *k, double now, const AdmissionRequest *r,
                   double expected_s) {
  if (!r->is_reported || r->own_s >= r->objective_s) return;
  double aim_s = aim_of(r, is_current(k, now));
  double long_s = MIN(LONG_EXCESS_S, LONG_EXCESS_RATIO * r->objective_s);
  note_sample(k, now, !r->is_free && expected_s > aim_s,
              (expected_s - r->objective_s) / long_s);
}

/* == decision == */

static AdmissionCause find_cause(const AdmissionRequest *r, double expected_s,
                                 bool late) {
  bool plain = r->priority < 0;
  double max_s = plain ? r->left_s : r->left_s * DEADLINE_RATIO;
  if (r->is_free) return ADMISSION_ADMITTED;
  if ((plain || r->is_reported) && expected_s > max_s)
    return ADMISSION_DEADLINE;
  if (!late || !r->is_reported || r->is_return || !(r->objective_s > 0))
    return ADMISSION_ADMITTED;
  return r->elapsed_s + expected_s > aim_of(r, true) ? ADMISSION_LATE
                                                     : ADMISSION_ADMITTED;
}

/* Whether a request to an engine is admitted in order to measure its wait. */
static bool take_probe(Class *k, double now, const AdmissionRequest *r) {
  if (r->priority < 0 || now - k->known_at < k->probe_after_s) return false;
  if (r->own_s > r->left_s) return false; /* however short the queue is */
  k->probe_after_s = MIN(k->probe_after_s * 2, PROBE_MAX_S);
  return true;
}

AdmissionVerdict admission_decide(Admission *a, double now,
                                  const AdmissionRequest *r) {
  AdmissionVerdict v = {.cause = ADMISSION_ADMITTED};
  if (!is_time(r->wait_s) || !is_time(r->own_s)) return v;
  ServiceState *s = ensure_service(a, r->service);
  int at = class_index(r->priority);
  Class *k = &s->classes[at];
  double own_s = MIN(r->own_s, r->wait_s);
  v.expected_s = own_s + (r->wait_s - own_s) * correction(s, now, at);
  sample(k, now, r, v.expected_s);
  bool late = r->short_of_capacity || is_late(s, now, r->priority);
  v.cause = find_cause(r, v.expected_s, late);
  if (v.cause == ADMISSION_ADMITTED)
    k->probe_after_s = PROBE_MIN_S;
  else if (take_probe(k, now, r))
    v.cause = ADMISSION_ADMITTED;
  else
    v.earliest_s = MAX(0, v.expected_s - aim_of(r, true));
  if (v.cause == ADMISSION_ADMITTED)
    k->known_at = MAX(k->known_at, now + v.expected_s);
  return v;
}
