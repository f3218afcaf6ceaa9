/* breaks.c: detects from broken exchanges and failed connections that targets
   ended, and marks the requests that may have ended them. */
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/text.h"

/* A request that ends its target does so as it begins to run: within a tenth of
   a second in observed cases. One that has run for longer than this did not end
   it. */
#define RECENT_START_S 1.0

Digest run_digest(Run *x) {
  if (x->has_digest) return x->digest;
  const char *customer = x->customer ? x->customer->name : "";
  const CallerRequest *q = x->http_request;
  DigestPart parts[] = {{q->method, strlen(q->method)},
                        {x->request.host, strlen(x->request.host)},
                        {q->uri->str, q->uri->len},
                        {customer, strlen(customer)},
                        {q->body->str, q->body->len}};
  x->digest = digest_of(parts, G_N_ELEMENTS(parts));
  x->has_digest = true;
  return x->digest;
}

uint64_t run_customer_hash(const Run *x) {
  return text_hash(x->customer ? x->customer->name : "");
}

bool run_is_recently_started(const Run *x) {
  return !x->has_first_byte || run_now(x) - x->first_byte_at < RECENT_START_S;
}

static void record_target_ended(Relay *r, Target *t) {
  target_note_ended(t, loopclock_now(r->loop));
  count_add(COUNT_TARGETS_ENDED, 1);
  log_warn("target-ended", "s:s,s:s,s:s", "target", target_id(t), "addr",
           target_addr(t), "sign", "refused");
}

/* A request was declared a suspect, or cleared, by this instance or another. */
static void log_suspect(const SuspectsMsg *m, const char *source) {
  char digest[DIGEST_TEXT_BYTES];
  bool named = m->kind == SUSPECTS_NAMED;
  digest_format(m->digest, digest);
  count_add(COUNT_SUSPECTS, named);
  log_info(named ? "suspect" : "suspect-cleared", "s:s,s:b,s:s,s:f", "digest",
           digest, "part", (int)m->is_part, "word", source, "age",
           m->first_mark_age_s);
}

/* Sends the pending messages about suspects; some are for this instance. */
static void send_suspect_messages(Relay *r) {
  SuspectsMsg m;
  while (suspects_next_message(r->suspects, &m)) {
    if (m.kind != SUSPECTS_MARK) log_suspect(&m, "ours");
    if (m.kind == SUSPECTS_NAMED && m.is_part) relay_keep_part(r, &m);
    cluster_send_suspect(r->cluster, &m);
  }
}

/* Processes the requests under which targets have ended. */
static void process_marks(Relay *r) {
  EndsMark m;
  while (ends_next_mark(r->ends, &m)) {
    char digest[DIGEST_TEXT_BYTES];
    digest_format(m.digest, digest);
    log_info("request-marked", "s:s", "digest", digest);
    suspects_mark(r->suspects, loopclock_now(r->loop), &m);
    relay_on_trial_target_ended(r, &m);
  }
  send_suspect_messages(r);
}

static bool tracks_successes(const Run *x) {
  return x->try || suspects_track_successes(x->relay->suspects, run_now(x));
}

/* A target goes on after it began to write an answer on these parts. */
static void record_sound_parts(Run *x) {
  Relay *r = x->relay;
  uint64_t ids[REQUEST_MAX_PARTS];
  int n = run_shared_parts(x, ids);
  for (int i = 0; i < n; i++) {
    Digest d = suspects_part_digest(ids[i]);
    suspects_note_success(r->suspects, run_now(x), d);
    relay_release_part(r, d);
  }
  run_pass_part_trial(x);
}

void run_record_completed(Run *x) {
  Relay *r = x->relay;
  if (!tracks_successes(x)) return;
  suspects_note_success(r->suspects, run_now(x), run_digest(x));
  relay_on_trial_succeeded(r, run_digest(x));
  if (x->has_first_byte && x->status / 100 == 2) record_sound_parts(x);
  send_suspect_messages(r);
}

/* An event has just arrived, long after the first byte. */
static bool goes_on(const Run *x) {
  return x->link && x->has_first_byte && x->stream &&
         x->forwarded_at - x->first_byte_at >= RECENT_START_S &&
         run_now(x) - x->forwarded_at < RECENT_START_S;
}

/* Answers may last for longer than it takes to suspect their parts. */
static void record_ongoing(Relay *r) {
  for (Run *x = r->first_run; x; x = x->next)
    if (goes_on(x) && tracks_successes(x)) record_sound_parts(x);
  send_suspect_messages(r);
}

void relay_on_suspect(Relay *r, const SuspectsMsg *m) {
  double now = loopclock_now(r->loop);
  bool known = suspects_is_named(r->suspects, m->digest);
  if (m->is_part && m->kind == SUSPECTS_NAMED) record_ongoing(r);
  suspects_apply_message(r->suspects, now, m);
  if (m->kind == SUSPECTS_CLEARED && m->is_part)
    relay_forget_part(r, m->digest);
  if (suspects_is_named(r->suspects, m->digest) != known &&
      m->kind != SUSPECTS_MARK)
    log_suspect(m, "another's");
  send_suspect_messages(r);
}

static EndsMark make_mark(Run *x, const Target *t) {
  EndsMark m = {.target = target_hash(t),
                .digest = run_digest(x),
                .owner = run_customer_hash(x),
                .trial = run_trial_number(x)};
  m.n_parts = run_shared_parts(x, m.parts);
  return m;
}

void run_record_cut_off(Run *x) {
  if (!x->target || !x->link || !link_has_sent(x->link) ||
      !run_is_recently_started(x))
    return;
  EndsMark m = make_mark(x, x->target);
  ends_note_abandoned(x->relay->ends, run_now(x), &m);
}

void run_record_broken(Run *x, Target *t, bool recently_started) {
  Relay *r = x->relay;
  double now = run_now(x);
  if (target_has_left(t, now)) return; /* its end was to be expected */
  EndsMark m = make_mark(x, t);
  if (ends_note_break(r->ends, now, &m, recently_started, target_open(t)))
    record_target_ended(r, t);
  if (ends_start_probe(r->ends, now, m.target))
    link_preconnect_via(r->links, target_addr(t),
                        relay_pick_gateway(r, target_addr(t)));
  process_marks(r);
}

/* == results of connection attempts == */

typedef struct ConnectAttempt {
  Relay *relay;
  bool direct;
  LinkConnectResult how;
} ConnectAttempt;

typedef struct VerdictAtAddr {
  Relay *relay;
  PathVerdict verdict;
} VerdictAtAddr;

static void record_refusal(Relay *r, Target *t) {
  double now = loopclock_now(r->loop);
  if (ends_note_refused(r->ends, now, target_hash(t), target_open(t)))
    record_target_ended(r, t);
}

/* Finds out by our own connections if the target or our path refuses them. That
   the paths are not known to be interrupted is no proof: the first refusals of
   a partition come before it is detected. */
static void check_own_path(Relay *r, const Target *t) {
  if (!paths_are_interrupted(r->paths) &&
      ends_start_path_check(r->ends, loopclock_now(r->loop), target_hash(t)))
    pathchecks_start(r->path_checks, target_addr(t), true);
}

/* Has another instance connect to a target that refused us, or does so itself
   if none can tell. */
static void confirm_refusal(Relay *r, Target *t) {
  double now = loopclock_now(r->loop);
  const char *via = relay_find_gateway(r, target_addr(t));
  if (ends_awaits_confirmation(r->ends, now, target_hash(t))) return;
  if (via && ends_start_confirmation(r->ends, now, target_hash(t)))
    link_preconnect_via(r->links, target_addr(t), via);
  else if (gateways_count(r->gateways) == 0)
    record_refusal(r, t);
  else
    check_own_path(r, t);
}

static void record_connect(void *ctx, Target *t) {
  const ConnectAttempt *attempt = ctx;
  Relay *r = attempt->relay;
  double now = loopclock_now(r->loop);
  bool awaited = ends_awaits_confirmation(r->ends, now, target_hash(t));
  if (!attempt->direct) ends_fail_confirmation(r->ends, now, target_hash(t));
  switch (attempt->how) {
  case LINK_CONNECTED: ends_note_connected(r->ends, now, target_hash(t)); break;
  case LINK_REFUSED:
    if (attempt->direct)
      confirm_refusal(r, t);
    else
      record_refusal(r, t);
    break;
  case LINK_UNREACHABLE: break;
  case LINK_TUNNEL_FAILED:
    if (awaited) confirm_refusal(r, t);
    break;
  }
}

static void record_verdict(void *ctx, Target *t) {
  const VerdictAtAddr *v = ctx;
  Relay *r = v->relay;
  double now = loopclock_now(r->loop);
  if (v->verdict == PATHCHECK_REFUSED)
    record_refusal(r, t);
  else if (v->verdict == PATHCHECK_UNKNOWN &&
           ends_has_path_check(r->ends, now, target_hash(t)))
    check_own_path(r, t);
}

void relay_record_verdict(Relay *r, const char *addr, PathVerdict verdict) {
  VerdictAtAddr v = {.relay = r, .verdict = verdict};
  if (ends_is_idle(r->ends)) return;
  targets_for_each_at_addr(r->targets, addr, record_verdict, &v);
  process_marks(r);
}

void relay_on_connect(void *ctx, const char *addr, const char *via,
                      LinkConnectResult how) {
  ConnectAttempt attempt = {.relay = ctx, .direct = via == NULL, .how = how};
  if (ends_is_idle(attempt.relay->ends)) return;
  targets_for_each_at_addr(attempt.relay->targets, addr, record_connect,
                           &attempt);
  process_marks(attempt.relay);
}

void relay_on_target_restarted(Relay *r, const char *addr, uint64_t old_hash) {
  links_close_idle(r->links, addr);
  if (ends_note_restart(r->ends, loopclock_now(r->loop), old_hash))
    log_warn("target-ended", "s:s,s:s", "addr", addr, "sign", "started again");
  process_marks(r);
}

void relay_sweep(Relay *r) {
  ends_sweep(r->ends, loopclock_now(r->loop));
  record_ongoing(r);
  relay_close_tries(r);
  relay_sweep_origins(r);
  relay_end_slow_callers(r);
}
