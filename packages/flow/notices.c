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

/* The target asks this instance not to send it requests for a time. */
static void record_pause(Run *x, const AnswerInfo *a) {
  if (a->retry_after_invalid)
    log_warn("target-pause-damaged", "s:s,s:s", "target", target_id(x->target),
             "request", x->request.id);
  if (a->retry_after_s <= 0) return;
  target_note_pause(x->target, run_now(x), a->retry_after_s);
  count_add(COUNT_PAUSES_REQUESTED, 1);
  log_info("target-pause", "s:s,s:s,s:f", "target", target_id(x->target),
           "request", x->request.id, "seconds", a->retry_after_s);
}

static bool is_rejection(int status) {
  return status == 503 || status == 429;
}

void run_record_notices(Run *x, int status, const AnswerInfo *a) {
  if (a->is_leaving) record_leaving(x);
  if (is_rejection(status)) record_pause(x, a);
  run_record_limit(x, a);
}
