/* budgetlog.c: what an operator needs to tell where a budget's tokens are. */
#include "fleet/budgetlog.h"

#include <jansson.h>

#include "kernel/log.h"

void budgetlog_denied(const LedgerAction *a) {
  const LedgerBudgetState *s = &a->state;
  log_info("budget-denied", "s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I", "customer",
           a->msg.budget, "error", err_info(a->cause)->name, "total",
           (json_int_t)s->total, "remaining", (json_int_t)s->remaining,
           "unspent", (json_int_t)s->unspent, "unallotted",
           (json_int_t)s->unallotted, "in_lost_grants",
           (json_int_t)s->in_lost_grants, "in_other_grants",
           (json_int_t)s->in_other_grants);
}

void budgetlog_sealed(const LedgerAction *a) {
  const LedgerSealed *s = &a->sealed;
  log_info("budget-sealed", "s:s,s:s,s:I,s:I,s:I,s:I,s:I", "customer",
           a->msg.budget, "home", s->home, "granted", (json_int_t)s->granted,
           "base", (json_int_t)s->base, "per_s", (json_int_t)s->per_s,
           "elapsed_ms", (json_int_t)s->elapsed_ms, "limit",
           (json_int_t)s->limit);
}
