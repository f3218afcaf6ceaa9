/* breaks.c: exchanges with targets that broke, and what they tell. */
#include <string.h>

#include "flow/run.h"
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

bool run_is_young(const Run *x) {
  return !x->first || run_now(x) - x->first_at < YOUNG_S;
}

static void log_ended(const Target *t, const char *sign) {
  log_warn("target-ended", "s:s,s:s,s:s", "target", target_id(t), "addr",
           target_addr(t), "sign", sign);
}

/* Each request under which a target has ended. */
static void take_marks(Relay *r) {
  EndsMark m;
  while (ends_next(r->ends, &m)) {
    char digest[DIGEST_TEXT];
    digest_text(m.digest, digest);
    log_warn("request-marked", "s:s", "digest", digest);
  }
}

void run_broke(Run *x, Target *t, bool young) {
  Relay *r = x->relay;
  double now = run_now(x);
  EndsMark m = {.target = target_hash(t),
                .digest = run_digest(x),
                .owner = text_hash(x->customer ? x->customer->name : "")};
  if (ends_broke(r->ends, now, &m, young, target_open(t)))
    log_ended(t, "refused");
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
    log_ended(t, "refused");
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
}
