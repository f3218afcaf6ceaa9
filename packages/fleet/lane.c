/* lane.c: carries out the actions of a core and lets request threads wait for
   its decisions. */
#include "fleet/lane.h"

#include <string.h>

#include "fleet/budgetlog.h"
#include "kernel/clock.h"
#include "kernel/count.h"
#include "ledger/shard.h"

/* == actions of a core; the caller holds the lane's lock == */

static void on_ledger_stored(void *ctx, const Job *j, PlatformAnswer *a);
static void on_once_stored(void *ctx, const Job *j, PlatformAnswer *a);
static void on_billed(void *ctx, const Job *j, PlatformAnswer *a);

static void complete_wait(Lane *l, uint64_t handle, LaneWait *filled) {
  LaneWait *w = g_hash_table_lookup(l->waits, &handle);
  if (!w) {
    g_free(filled->answer.body);
    return;
  }
  w->cause = filled->cause;
  w->retry_ms = filled->retry_ms;
  w->verdict = filled->verdict;
  w->answer = filled->answer;
  w->billed_before = filled->billed_before;
  g_strlcpy(w->target, filled->target, sizeof w->target);
  w->done = true;
  pthread_cond_signal(&w->ready);
}

static void run_ledger_actions(Lane *l) {
  LedgerAction a;
  char addr[LIMIT_NAME_BYTES];
  while (ledger_next_action(l->ledger, &a)) {
    Job j = {.urgent = true,
             .done = on_ledger_stored,
             .ctx = l,
             .caller_shard = a.shard,
             .version = a.version,
             .text = a.text};
    switch (a.action) {
    case LEDGER_ACTION_SEND:
      if (l->host->find_address(l->host->ctx, a.to, addr))
        peer_send_ledger(l->host->peer, addr, a.to, &a.msg);
      break;
    case LEDGER_ACTION_GET:
    case LEDGER_ACTION_PUT:
      j.kind = a.action == LEDGER_ACTION_PUT ? JOB_PUT : JOB_GET;
      shard_object_name(a.shard, j.name);
      jobs_add(l->host->jobs, &j);
      break;
    case LEDGER_ACTION_NOTE: break;
    case LEDGER_ACTION_SEALED: budgetlog_sealed(&a); break;
    case LEDGER_ACTION_DENIED: budgetlog_denied(&a); break;
    case LEDGER_ACTION_ANSWER:
      complete_wait(l, a.handle,
                    &(LaneWait){.cause = a.cause, .retry_ms = a.retry_ms});
      break;
    }
  }
}

static void run_record_actions(Lane *l) {
  OnceAction a;
  char addr[LIMIT_NAME_BYTES];
  while (once_next_action(l->once, &a)) {
    Job j = {.ctx = l,
             .caller_shard = a.shard,
             .caller_part = a.part,
             .version = a.version};
    g_strlcpy(j.name, a.name, sizeof j.name);
    switch (a.action) {
    case ONCE_DO_SEND:
      if (l->host->find_address(l->host->ctx, a.to, addr))
        peer_send_once(l->host->peer, addr, a.to, &a.msg);
      break;
    case ONCE_DO_GET:
    case ONCE_DO_PUT:
      j.kind = a.action == ONCE_DO_PUT ? JOB_PUT : JOB_GET;
      j.urgent = true;
      j.done = on_once_stored;
      j.text = g_steal_pointer(&a.text);
      jobs_add(l->host->jobs, &j);
      break;
    case ONCE_DO_DELETE:
      j.kind = JOB_DELETE;
      jobs_add(l->host->jobs, &j);
      break;
    case ONCE_DO_BILL:
      j.kind = JOB_PUT;
      j.done = on_billed;
      j.text = g_steal_pointer(&a.text);
      jobs_add(l->host->jobs, &j);
      break;
    case ONCE_DO_ANSWER: {
      LaneWait w = {.verdict = a.verdict, .answer = a.answer};
      g_strlcpy(w.target, a.target, sizeof w.target);
      complete_wait(l, a.handle, &w);
      a.answer.body = NULL;
      break;
    }
    case ONCE_DO_DONE:
      complete_wait(l, a.handle, &(LaneWait){.billed_before = a.duplicate});
      break;
    }
    once_action_clear(&a);
  }
}

void lane_run_actions(Lane *l) {
  if (l->ledger) run_ledger_actions(l);
  if (l->once) run_record_actions(l);
}

static void on_ledger_stored(void *ctx, const Job *j, PlatformAnswer *a) {
  Lane *l = ctx;
  pthread_mutex_lock(&l->lock);
  ledger_store_result(l->ledger, clock_now(), j->caller_shard, a->kind,
                      a->version, j->kind == JOB_GET ? a->text : NULL);
  run_ledger_actions(l);
  pthread_mutex_unlock(&l->lock);
  g_free(a->text);
}

static void on_once_stored(void *ctx, const Job *j, PlatformAnswer *a) {
  Lane *l = ctx;
  pthread_mutex_lock(&l->lock);
  once_claim_stored(l->once, clock_now(), j->caller_shard, j->caller_part,
                    a->kind, a->version, j->kind == JOB_GET ? a->text : NULL);
  run_record_actions(l);
  pthread_mutex_unlock(&l->lock);
  g_free(a->text);
}

static void on_billed(void *ctx, const Job *j, PlatformAnswer *a) {
  Lane *l = ctx;
  (void)j;
  pthread_mutex_lock(&l->lock);
  once_bill_stored(l->once, clock_now(), a->kind);
  run_record_actions(l);
  pthread_mutex_unlock(&l->lock);
  if (a->kind == ERR_NONE) count_add(COUNT_BILLS, 1);
  g_free(a->text);
}

/* == waits of request threads == */

void lane_wait_prepare(Lane *l, uint64_t handle, LaneWait *w) {
  *w = (LaneWait){0};
  pthread_cond_init(&w->ready, NULL);
  g_hash_table_insert(l->waits, g_memdup2(&handle, sizeof handle), w);
}

/* The wait is bounded because the core decides each request within a bounded
   time. */
void lane_wait(Lane *l, uint64_t handle, LaneWait *w) {
  while (!w->done) pthread_cond_wait(&w->ready, &l->lock);
  g_hash_table_remove(l->waits, &handle);
  pthread_cond_destroy(&w->ready);
}

/* == open and close == */

void lane_open(Lane *l, const LaneHost *host, Ledger *ledger, Once *once) {
  l->host = host;
  l->ledger = ledger;
  l->once = once;
  pthread_mutex_init(&l->lock, NULL);
  l->waits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void lane_close(Lane *l) {
  if (l->ledger) ledger_free(l->ledger);
  if (l->once) once_free(l->once);
  g_hash_table_destroy(l->waits);
  pthread_mutex_destroy(&l->lock);
}
