/* parts.c: parts of prompts that are suspects are kept in the store from their
   naming on, as trials without a try, so that they outlast a loss of all
   instances. */
#include "flow/run.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "node/feed.h"

typedef struct NamedPart {
  Relay *relay;
  Trial trial;
} NamedPart;

int run_shared_parts(const Run *x, uint64_t *ids) {
  const RequestInfo *a = &x->request;
  int n = a->has_more_parts ? a->n_parts : MAX(a->n_parts - 1, 0);
  for (int i = 0; i < n; i++) ids[i] = a->parts[i].id;
  return n;
}

static void on_removed(void *ctx, const StoreAnswer *a) {
  (void)ctx;
  log_info("part-released", "s:s", "outcome", err_info(a->kind)->name);
}

static void remove_from_store(Relay *r, const Trial *x) {
  char name[DIGEST_TEXT_BYTES];
  digest_format(x->digest, name);
  store_delete(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, x->revision,
               on_removed, NULL);
}

static void on_kept(void *ctx, const StoreAnswer *a) {
  NamedPart *p = ctx;
  Relay *r = p->relay;
  StoreObject o;
  if (a->kind == ERR_NONE && store_parse_object(a, &o)) {
    p->trial.revision = o.revision;
    if (suspects_is_named(r->suspects, p->trial.digest))
      trials_set(r->trials, loopclock_now(r->loop), &p->trial);
    else
      remove_from_store(r, &p->trial); /* cleared meanwhile */
  }
  /* A conflict: the other home was first. */
  if (a->kind != ERR_NONE && a->kind != ERR_STORE_CONFLICT)
    log_warn("part-not-kept", "s:s", "outcome", err_info(a->kind)->name);
  g_free(p);
}

void relay_keep_part(Relay *r, const SuspectsMsg *named) {
  char name[DIGEST_TEXT_BYTES];
  Trial known;
  if (trials_find(r->trials, named->digest, &known)) return;
  NamedPart *p = g_new0(NamedPart, 1);
  p->relay = r;
  p->trial = (Trial){.digest = named->digest,
                     .owner = named->owner,
                     .is_part = true,
                     .began = clock_unix() * 1000};
  digest_format(named->digest, name);
  store_put(r->store, CALLS_TRIAL, FEED_TRIALS_KIND, name, 0,
            trials_write(&p->trial), on_kept, p);
}

void relay_release_part(Relay *r, Digest part) {
  Trial held;
  if (relay_pass_part_trial(r, part)) return;
  if (!trials_find(r->trials, part, &held)) return;
  trials_remove(r->trials, part);
  remove_from_store(r, &held);
}

void relay_forget_part(Relay *r, Digest part) {
  Trial known;
  if (relay_pass_part_trial(r, part)) return;
  if (trials_find(r->trials, part, &known) && known.tries == 0)
    trials_remove(r->trials, part);
}
