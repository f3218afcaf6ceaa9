/* count.h: this process's counters, printed in the Prometheus text format. */
#ifndef KERNEL_COUNT_H
#define KERNEL_COUNT_H

#include <stdint.h>
#include <glib.h>

typedef enum {
  COUNT_REQUESTS,
  COUNT_RAN,
  COUNT_REFUSED_EMPTY,
  COUNT_REFUSED_HELD,
  COUNT_REFUSED_STORE,
  COUNT_REFUSED_CUT,
  COUNT_REFUSED_CUTOFF,
  COUNT_BUDGET_CUTOFFS,
  COUNT_REFUSED_CAP,
  COUNT_REFUSED_OVERLOAD,
  COUNT_REFUSED_OTHER,
  COUNT_TOKENS,
  COUNT_TOKENS_OVER_BOUND,
  COUNT_TOKENS_WASTED,
  COUNT_BILLS,
  COUNT_REPLAYS,
  COUNT_RETRIES,
  COUNT_EJECTED,
  COUNT_CALLER_GONE,
  COUNT_CALLER_PAUSED,
  COUNT_CALLER_SLOW,
  COUNT_TARGET_CUT,
  COUNT_RESUMED,
  COUNT_EVACUATIONS,
  COUNT_REGIONS_UNKNOWN,
  COUNT_LEAVING,
  COUNT_PAUSES_REQUESTED,
  COUNT_LIMITS,
  COUNT_LIMITS_DAMAGED,
  COUNT_PERMITS_REFUSED,
  COUNT_PERMITS_UNANSWERED,
  COUNT_TARGETS_ENDED,
  COUNT_SUSPECTS,
  COUNT_SUSPECTS_SHED,
  COUNT_TRIALS,
  COUNT_REFUSED_HELD_BACK,
  COUNT_ORDERS,
  COUNT_ORDERS_FENCED,
  COUNT_STORE_READS,
  COUNT_STORE_WRITES,
  COUNT_STORE_CONFLICTS,
  COUNT_STORE_FAILURES,
  COUNT_STORE_RESTORES,
  COUNT_FEED_GAPS,
  COUNT_FEED_HELD,
  COUNT_LINK_FULL,
  COUNT_PEER_BYTES_OUT,
  COUNT_PEER_BYTES_IN,
  COUNT_PEER_DROPPED,
  COUNT_LOG_DROPPED,
  COUNT_COUNTERS
} Count;

/* Any thread, no lock. */
void count_add(Count c, int64_t n);
int64_t count_get(Count c);
/* Durations that are kept as histograms. */
typedef enum {
  COUNT_TIME_FIRST_BYTE, /* until the first byte of a target's answer */
  COUNT_TIME_REQUEST,    /* of a whole served request */
  COUNT_TIME_STORE,      /* of a call to the store other than a watch */
  COUNT_TIMES
} CountTime;

/* Any thread, no lock. */
void count_observe_time(CountTime t, double seconds);
/* Appends all counters and histograms to `out`. */
void count_print(GString *out);

#endif
