/* count.c: a flat array of relaxed atomics. */
#include "kernel/count.h"

#include <stdatomic.h>

static _Atomic int64_t values[COUNT_LAST];

static const struct {
  const char *name, *help;
} names[COUNT_LAST] = {
    [COUNT_REQUESTS] = {"requests_total", "requests taken from callers"},
    [COUNT_RAN] = {"ran_total", "requests answered whole by a target"},
    [COUNT_REFUSED_EMPTY] = {"refused_empty_total", "budget truly empty"},
    [COUNT_REFUSED_HELD] = {"refused_held_total",
                            "tokens exist but are held elsewhere"},
    [COUNT_REFUSED_STORE] = {"refused_store_total", "store slow or down"},
    [COUNT_REFUSED_CUT] = {"refused_cut_total", "no holder reachable"},
    [COUNT_REFUSED_CAP] = {"refused_cap_total", "a row's cap reached"},
    [COUNT_REFUSED_OVERLOAD] = {"refused_overload_total", "shed by the queue"},
    [COUNT_REFUSED_OTHER] = {"refused_other_total", "every other refusal"},
    [COUNT_TOKENS] = {"tokens_total", "tokens settled"},
    [COUNT_TOKENS_OVER_BOUND] = {"tokens_over_bound_total",
                                 "tokens an engine counted above our bound; "
                                 "must stay 0"},
    [COUNT_WASTE] = {"waste_tokens_total", "consumed twice, billed once"},
    [COUNT_BILLS] = {"bills_total", "bill lines made durable"},
    [COUNT_REPLAYS] = {"replays_total", "retries answered from the record"},
    [COUNT_RETRIES] = {"retries_total", "dispatches after the first"},
    [COUNT_EJECTED] = {"ejections_total", "targets put aside"},
    [COUNT_CALLER_GONE] = {"caller_gone_total", "callers that hung up"},
    [COUNT_RESUMED] = {"resumed_total", "streams that went on after a break"},
    [COUNT_TARGET_CUT] = {"target_cut_total", "answers cut by a target"},
    [COUNT_ORDERS] = {"orders_total", "placement orders to targets"},
    [COUNT_ORDERS_FENCED] = {"orders_fenced_total",
                             "placement orders refused as old"},
    [COUNT_STORE_READS] = {"store_reads_total", "platform reads and watches"},
    [COUNT_STORE_WRITES] = {"store_writes_total", "platform writes"},
    [COUNT_STORE_CONFLICTS] = {"store_conflicts_total", "lost version races"},
    [COUNT_STORE_FAILURES] = {"store_failures_total", "no usable answer"},
    [COUNT_PEER_BYTES_OUT] = {"peer_bytes_out_total", "bytes to instances"},
    [COUNT_PEER_BYTES_IN] = {"peer_bytes_in_total", "bytes from instances"},
    [COUNT_PEER_DROPPED] = {"peer_dropped_total",
                            "messages not understood or not deliverable"},
};

void count_add(Count c, int64_t n) {
  atomic_fetch_add_explicit(&values[c], n, memory_order_relaxed);
}

int64_t count_get(Count c) {
  return atomic_load_explicit(&values[c], memory_order_relaxed);
}

void count_print(GString *out) {
  for (int i = 0; i < COUNT_LAST; i++)
    g_string_append_printf(out,
                           "# HELP loftpath_%s %s\n# TYPE loftpath_%s "
                           "counter\nloftpath_%s %" G_GINT64_FORMAT "\n",
                           names[i].name, names[i].help, names[i].name,
                           names[i].name, count_get((Count)i));
}
