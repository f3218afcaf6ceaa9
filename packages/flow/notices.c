/* notices.c: what a target's answer states about the target itself. */
#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"

static void record_leaving(Run *x) {
  if (!target_note_leaving(x->target, run_now(x))) return;
  count_add(COUNT_LEAVING, 1);
  log_info("target-leaving", "s:s,s:s,s:i", "target", target_id(x->target),
           "request", x->request.id, "open", target_open(x->target));
}

void run_record_notices(Run *x, const AnswerInfo *a) {
  if (a->is_leaving) record_leaving(x);
  run_record_limit(x, a);
}
