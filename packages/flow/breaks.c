/* breaks.c: exchanges with targets that broke, and what they tell. */
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/text.h"

/* A request that ends its target does so as it begins to run there: within a
   tenth of a second in what the users saw. Whoever has run for so long (s) did
   not end it. */
#define YOUNG_S 1.0

Digest run_digest(Run *x) {
  if (x->digested) return x->digest;
  const char *customer = x->customer ? x->customer->name : "";
  const CallerReq *q = x->req;
  DigestPart parts[] = {{q->method, strlen(q->method)},
                        {x->ask.host, strlen(x->ask.host)},
                        {q->target->str, q->target->len},
                        {customer, strlen(customer)},
                        {q->body->str, q->body->len}};
  x->digest = digest_of(parts, G_N_ELEMENTS(parts));
  x->digested = true;
  return x->digest;
}

uint64_t run_owner(const Run *x) {
  return text_hash(x->customer ? x->customer->name : "");
}

bool run_is_young(const Run *x) {
  return !x->first || run_now(x) - x->first_at < YOUNG_S;
}

static void note_ended(Relay *r, Target *t) {
  target_ended(t, loopclock_now(r->loop));
  count_add(COUNT_TARGETS_ENDED, 1);
  log_warn("target-ended", "s:s,s:s,s:s", "target", target_id(t), "addr",
           target_addr(t), "sign", "refused");
}

/* A request is named or cleared by us, or by another instance. */
static void log_suspect(const SuspectsMsg *m, const char *word) {
  char digest[DIGEST_TEXT];
  bool named = m->kind == SUSPECTS_NAMED;
  digest_text(m->digest, digest);
  count_add(COUNT_SUSPECTS, named);
  log_info(named ? "suspect" : "suspect-cleared", "s:s,s:s,s:f", "digest",
           digest, "word", word, "age", m->age_s);
}

/* Messages of the core leave, some of them to ourselves. */
static void tell_suspects(Relay *r) {
  SuspectsMsg m;
  while (suspects_next(r->suspects, &m)) {
    if (m.kind != SUSPECTS_MARK) log_suspect(&m, "ours");
    cluster_send_suspect(r->cluster, &m);
  }
}

/* Each request under which a target has ended. */
static void take_marks(Relay *r) {
  EndsMark m;
  while (ends_next(r->ends, &m)) {
    char digest[DIGEST_TEXT];
    digest_text(m.digest, digest);
    log_info("request-marked", "s:s", "digest", digest);
    suspects_mark(r->suspects, loopclock_now(r->loop), &m);
    relay_tried_ended(r, m.digest);
  }
  tell_suspects(r);
}

void relay_suspect(Relay *r, const SuspectsMsg *m) {
  bool known = suspects_has(r->suspects, m->digest);
  suspects_take(r->suspects, loopclock_now(r->loop), m);
  if (suspects_has(r->suspects, m->digest) != known && m->kind != SUSPECTS_MARK)
    log_suspect(m, "another's");
  tell_suspects(r);
}

void run_ran(Run *x) {
  Relay *r = x->relay;
  double now = run_now(x);
  if (!suspects_looks(r->suspects, now)) return;
  suspects_ran(r->suspects, now, run_digest(x));
  relay_tried_well(r, run_digest(x));
  tell_suspects(r);
}

static EndsMark mark_of(Run *x, const Target *t) {
  return (EndsMark){
      .target = target_hash(t), .digest = run_digest(x), .owner = run_owner(x)};
}

void run_cut_off(Run *x) {
  if (!x->target || !x->link || !link_sent(x->link) || !run_is_young(x)) return;
  EndsMark m = mark_of(x, x->target);
  ends_left(x->relay->ends, run_now(x), &m);
}

void run_broke(Run *x, Target *t, bool young) {
  Relay *r = x->relay;
  double now = run_now(x);
  EndsMark m = mark_of(x, t);
  if (ends_broke(r->ends, now, &m, young, target_open(t))) note_ended(r, t);
  if (ends_asks(r->ends, now, m.target)) link_open(r->links, target_addr(t));
  take_marks(r);
}

/* == what connections tell == */

typedef struct Reach {
  Relay *relay;
  LinkReach how;
} Reach;

static void note_reach(void *ctx, Target *t) {
  const Reach *reach = ctx;
  Ends *ends = reach->relay->ends;
  double now = loopclock_now(reach->relay->loop);
  if (reach->how == LINK_UP) ends_reached(ends, now, target_hash(t));
  if (reach->how != LINK_REFUSED) return;
  if (ends_refused(ends, now, target_hash(t), target_open(t)))
    note_ended(reach->relay, t);
}

void relay_reach(void *ctx, const char *addr, LinkReach how) {
  Reach reach = {.relay = ctx, .how = how};
  if (ends_is_idle(reach.relay->ends)) return;
  targets_at(reach.relay->targets, addr, note_reach, &reach);
  take_marks(reach.relay);
}

void relay_restarted(Relay *r, const char *addr, uint64_t life) {
  links_forget(r->links, addr);
  if (ends_again(r->ends, loopclock_now(r->loop), life))
    log_warn("target-ended", "s:s,s:s", "addr", addr, "sign", "started again");
  take_marks(r);
}

void relay_sweep(Relay *r) {
  ends_sweep(r->ends, loopclock_now(r->loop));
  relay_close_tries(r);
  relay_end_slow(r);
}
