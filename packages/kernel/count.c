/* count.c: counters in an array of relaxed atomics. */
#include "kernel/count.h"

#include <stdatomic.h>

static _Atomic int64_t counter_values[COUNT_COUNTERS];

static const struct {
  const char *name, *help;
} counter_infos[COUNT_COUNTERS] = {
    [COUNT_REQUESTS] = {"requests_total", "requests taken from callers"},
    [COUNT_RAN] = {"ran_total", "requests answered whole by a target"},
    [COUNT_REFUSED_EMPTY] = {"refused_empty_total", "budget truly empty"},
    [COUNT_REFUSED_HELD] = {"refused_held_total",
                            "tokens exist but are held elsewhere"},
    [COUNT_REFUSED_STORE] = {"refused_store_total", "store slow or down"},
    [COUNT_REFUSED_CUT] = {"refused_cut_total", "no holder reachable"},
    [COUNT_REFUSED_CUTOFF] = {"refused_cutoff_total",
                              "of refused_store_total, by priority: more "
                              "urgent requests need the tokens"},
    [COUNT_BUDGET_CUTOFFS] = {"budget_cutoffs_total",
                              "changes of the priorities that a budget's home "
                              "rejects"},
    [COUNT_REFUSED_CAP] = {"refused_cap_total", "a row's cap reached"},
    [COUNT_REFUSED_OVERLOAD] = {"refused_overload_total", "shed by the queue"},
    [COUNT_REFUSED_OTHER] = {"refused_other_total", "every other refusal"},
    [COUNT_TOKENS] = {"tokens_total", "tokens settled"},
    [COUNT_TOKENS_OVER_BOUND] = {"tokens_over_bound_total",
                                 "tokens an engine counted above our bound; "
                                 "must stay 0"},
    [COUNT_TOKENS_WASTED] = {"waste_tokens_total",
                             "consumed twice, billed once"},
    [COUNT_BILLS] = {"bills_total", "bill lines made durable"},
    [COUNT_REPLAYS] = {"replays_total", "retries answered from the record"},
    [COUNT_REJECTED_DEADLINE] = {"rejected_deadline_total",
                                 "requests not sent: their answers would begin "
                                 "after the deadline"},
    [COUNT_REJECTED_LATE] = {"rejected_late_total",
                             "requests not sent: they would be late, and their "
                             "service is persistently"},
    [COUNT_REJECTED_SHARE] = {"rejected_share_total",
                              "requests not sent: their customers are above "
                              "their shares"},
    [COUNT_RETRIES_PROMISED] = {"retries_promised_total",
                                "callers that were told a time to retry at "
                                "that they can wait for"},
    [COUNT_RETRIES_RETURNED] = {"retries_returned_total",
                                "of these, callers that came back here then"},
    [COUNT_RETRIES] = {"retries_total", "dispatches after the first"},
    [COUNT_EJECTED] = {"ejections_total", "targets put aside"},
    [COUNT_CALLER_GONE] = {"caller_gone_total", "callers that hung up"},
    [COUNT_CALLER_PAUSED] = {"caller_paused_total",
                             "times that a target waited for a slow caller"},
    [COUNT_CALLERS_DROPPED] = {"callers_dropped_total",
                               "Connections closed for want of memory"},
    [COUNT_CALLER_SLOW] = {"caller_slow_total",
                           "answers ended since their callers read too slowly"},
    [COUNT_ORIGINS_SHARED] = {"origins_shared_total",
                              "streams whose version was told to others"},
    [COUNT_REFUSED_ORIGIN] = {"refused_origin_total",
                              "streams not resumed, their version unknown"},
    [COUNT_RESUMED] = {"resumed_total", "streams that went on after a break"},
    [COUNT_ANSWERS_CLOSED] = {"answers_closed_total",
                              "answers of targets that only the end of their "
                              "connections ended"},
    [COUNT_ANSWERS_INVALID] = {"answers_invalid_total",
                               "answers of targets that HTTP does not allow"},
    [COUNT_ANSWERS_TOO_LONG] = {"answers_too_long_total",
                                "answers broken off since a part of them "
                                "exceeded its limit"},
    [COUNT_TARGET_CUT] = {"target_cut_total", "answers cut by a target"},
    [COUNT_EVACUATIONS] = {"evacuations_total",
                           "evacuations that came into force or ended here"},
    [COUNT_REGIONS_UNKNOWN] = {"regions_unknown_total",
                               "regions in the configuration that are unknown "
                               "here"},
    [COUNT_LEAVING] = {"target_leaving_answers_total",
                       "targets that stated in an answer that they leave"},
    [COUNT_PAUSES_REQUESTED] = {"target_pauses_total",
                                "times that a target asked for no requests"},
    [COUNT_LIMITS] = {"target_limits_total",
                      "limits that targets named, changed or ended here"},
    [COUNT_LIMITS_DAMAGED] = {"target_limits_damaged_total",
                              "limits whose figure is none"},
    [COUNT_PERMITS_REFUSED] = {"permits_refused_total",
                               "questions for a bounded target that had its "
                               "fill"},
    [COUNT_PERMITS_UNANSWERED] = {"permits_silent_total",
                                  "questions for a bounded target that nobody "
                                  "answered"},
    [COUNT_RATES] = {"target_rates_total", "rates of targets received"},
    [COUNT_RATES_INVALID] = {"target_rates_invalid_total",
                             "rates of targets ignored: impossible figures"},
    [COUNT_RATES_MISSING] = {"target_rates_missing_total",
                             "requests sent without a rate of the service"},
    [COUNT_SECOND_QUERIES] = {"second_queries_total",
                              "queries for more targets: those queried before "
                              "would miss the objective"},
    [COUNT_TARGETS_ENDED] = {"targets_ended_total",
                             "targets seen to end under requests"},
    [COUNT_PATHS_INTERRUPTED] = {"paths_interrupted_total",
                                 "times that no target could be reached from "
                                 "this instance"},
    [COUNT_TUNNELS_SERVED] = {"tunnels_served_total",
                              "tunnels opened to targets for other instances"},
    [COUNT_TUNNELS_REFUSED] = {"tunnels_refused_total",
                               "tunnels to targets not opened for other "
                               "instances"},
    [COUNT_GATEWAYS_FAILED] = {"gateways_failed_total",
                               "tunnels that other instances did not open"},
    [COUNT_SUSPECTS] = {"suspects_total",
                        "requests that were named: two targets ended"},
    [COUNT_SUSPECTS_SHED] = {"suspects_shed_total",
                             "marked requests forgotten for want of room"},
    [COUNT_TRIALS] = {"trials_total", "suspects sent to a target"},
    [COUNT_REFUSED_HELD_BACK] = {"refused_suspect_total",
                                 "refused as suspects, or on trial"},
    [COUNT_ORDERS] = {"orders_total", "placement orders to targets"},
    [COUNT_ORDERS_FENCED] = {"orders_fenced_total",
                             "placement orders refused as old"},
    [COUNT_STORE_READS] = {"store_reads_total", "platform reads and watches"},
    [COUNT_STORE_WRITES] = {"store_writes_total", "platform writes"},
    [COUNT_STORE_CONFLICTS] = {"store_conflicts_total", "lost version races"},
    [COUNT_STORE_FAILURES] = {"store_failures_total", "no usable answer"},
    [COUNT_STORE_RESTORES] = {"store_restores_total",
                              "restores of the store from a backup seen"},
    [COUNT_FEED_GAPS] = {"feed_gaps_total",
                         "times that what was told left something out"},
    [COUNT_FEED_HELD] = {"feed_held_total",
                         "gaps in which nothing was asked at first"},
    [COUNT_LINK_FULL] = {"link_full_total",
                         "times that callers sent more than the link bears"},
    [COUNT_SERVICES_SHORT] = {"services_short_total",
                              "times that a service divided here became short "
                              "of capacity"},
    [COUNT_ALLOCATIONS] = {"allocations_total",
                           "allocations of a service's capacity received"},
    [COUNT_CUTOFFS] = {"cutoffs_total",
                       "cutoffs of customers in allocations received"},
    [COUNT_ALLOCATION_INVALID] = {"allocation_invalid_total",
                                  "invalid values in reports of demand and in "
                                  "allocations"},
    [COUNT_PEER_BYTES_OUT] = {"peer_bytes_out_total", "bytes to instances"},
    [COUNT_PEER_BYTES_IN] = {"peer_bytes_in_total", "bytes from instances"},
    [COUNT_LOG_DROPPED] = {"log_dropped_total",
                           "log lines over the bound, or not taken in time"},
    [COUNT_PEER_DROPPED] = {"peer_dropped_total",
                            "messages not understood or not deliverable"},
};

/* Upper bounds of the buckets in seconds, from the store's latency of 4 ms to
   the longest deadline of a request. */
static const double bucket_bounds_s[] = {0.004, 0.01, 0.025, 0.05, 0.1, 0.2,
                                         0.4,   0.8,  1.5,   3,    6,   15};
#define BUCKET_BOUNDS G_N_ELEMENTS(bucket_bounds_s)

static const char *const time_names[COUNT_TIMES] = {
    [COUNT_TIME_FIRST_BYTE] = "first_byte_seconds",
    [COUNT_TIME_REQUEST] = "request_seconds",
    [COUNT_TIME_STORE] = "store_call_seconds"};

static _Atomic int64_t time_counts[COUNT_TIMES][BUCKET_BOUNDS + 1];
static _Atomic int64_t time_sums_us[COUNT_TIMES]; /* microseconds */

void count_observe_time(CountTime t, double seconds) {
  size_t i = 0;
  while (i < BUCKET_BOUNDS && seconds > bucket_bounds_s[i]) i++;
  atomic_fetch_add_explicit(&time_counts[t][i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit(&time_sums_us[t], (int64_t)(seconds * 1e6),
                            memory_order_relaxed);
}

static void print_time(CountTime t, GString *out) {
  const char *name = time_names[t];
  int64_t n = 0;
  g_string_append_printf(out, "# TYPE loftpath_%s histogram\n", name);
  for (size_t i = 0; i <= BUCKET_BOUNDS; i++) {
    n += atomic_load_explicit(&time_counts[t][i], memory_order_relaxed);
    if (i < BUCKET_BOUNDS)
      g_string_append_printf(
          out, "loftpath_%s_bucket{le=\"%g\"} %" G_GINT64_FORMAT "\n", name,
          bucket_bounds_s[i], n);
  }
  int64_t sum = atomic_load_explicit(&time_sums_us[t], memory_order_relaxed);
  g_string_append_printf(out,
                         "loftpath_%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT
                         "\nloftpath_%s_sum %g\nloftpath_%s_count "
                         "%" G_GINT64_FORMAT "\n",
                         name, n, name, (double)sum / 1e6, name, n);
}

void count_add(Count c, int64_t n) {
  atomic_fetch_add_explicit(&counter_values[c], n, memory_order_relaxed);
}

int64_t count_get(Count c) {
  return atomic_load_explicit(&counter_values[c], memory_order_relaxed);
}

void count_print(GString *out) {
  for (int i = 0; i < COUNT_COUNTERS; i++)
    g_string_append_printf(out,
                           "# HELP loftpath_%s %s\n# TYPE loftpath_%s "
                           "counter\nloftpath_%s %" G_GINT64_FORMAT "\n",
                           counter_infos[i].name, counter_infos[i].help,
                           counter_infos[i].name, counter_infos[i].name,
                           count_get((Count)i));
  for (int t = 0; t < COUNT_TIMES; t++) print_time((CountTime)t, out);
}
