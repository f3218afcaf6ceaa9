/* rates.h: how fast targets read prompts and how long a request occupies one of
   their slots, learned from the reports that their counting instance gets
   anyway (tally.h); pure. docs/design/rates.md.

   The load that this is for: engines with 16 slots whose speeds are 0.6, 1.0 or
   1.6 of the mean, and whose work takes 2.5 times as long in some intervals of
   600 ms. With one constant rate for all targets, a choice sends as many tokens
   to the slow ones as to the others, and their queues miss the objective. */
#ifndef ROUTE_RATES_H
#define ROUTE_RATES_H

#include <stdbool.h>
#include <stdint.h>

/* Assumed seconds per token where no estimate exists. */
#define RATES_DEFAULT_TOKEN_S (1 / 45000.0)

/* Weighted sums of samples, with weights that decrease with newer samples. */
typedef struct RatesSums {
  double seconds, amount; /* amount: tokens read, or slot uses */
} RatesSums;

/* Means over the targets of one service that this instance counts. */
typedef struct RatesPool {
  RatesSums reading, slot;
  /* What short prompts take besides reading, that is, the network and the steps
     of the batch before the first byte; amount: prompts. */
  RatesSums besides;
} RatesPool;

/* The intervals of the last second, and the current one. */
#define RATES_READ_SLOT_S 0.25
#define RATES_READ_SLOTS 5

/* What is learned about one target. */
typedef struct RatesTarget {
  int slots;             /* requests that it runs at the same time */
  int n_unread, n_read;  /* requests there: with an unread prompt; the others */
  double at;             /* when the times below were last brought up to date */
  double read_pending_s; /* time with unread prompts that no sample covers */
  double slot_pending_s; /* slot time that no sample covers */
  RatesSums fast, slow;  /* of reading, over different times */
  RatesSums slot;
  double sampled_at; /* time of the newest sample; 0: none */
  /* Tokens read, by intervals of RATES_READ_SLOT_S in turn. */
  float read_tokens[RATES_READ_SLOTS];
  int32_t read_slot; /* number of the newest interval */
} RatesTarget;

/* The counting instance's estimate for a target, as it is sent to an instance
   that queries the target. */
typedef struct RatesEstimate {
  double token_s; /* seconds per token; 0: unknown, the target reads none */
  double slot_s;  /* seconds that a request occupies a slot after its prompt was
                     read; 0: unknown */
  double age_s;   /* of the newest sample; RATES_MAX_AGE_S without one */
  double tokens;  /* tokens behind the estimate: its confidence */
} RatesEstimate;

#define RATES_MAX_AGE_S 60.0

/* == samples == */

/* A request has arrived there, with an unread prompt or without one. */
void rates_note_arrival(RatesTarget *r, double now, bool unread);
/* A prompt of so many tokens was read; it was there since `since`. */
void rates_note_read(RatesTarget *r, RatesPool *pool, double now,
                     int64_t tokens, double since);
/* A request that had its prompt read at `since`, or arrived then without one,
   has ended. */
void rates_note_done(RatesTarget *r, RatesPool *pool, double now, double since);
/* A request is no longer counted, without any information about the target. */
void rates_drop(RatesTarget *r, double now, bool unread);

/* == estimates == */

/* `start_token_s`: seconds per token of the service as known without the
   counts; 0: its targets read no prompts. */
RatesEstimate rates_estimate(const RatesTarget *r, const RatesPool *pool,
                             double now, double start_token_s);
/* Tokens per second read in the last second. */
double rates_read_per_s(const RatesTarget *r, double now);
/* Whether the figures are possible; others must have no effect. */
bool rates_is_valid(const RatesEstimate *e);
/* Seconds until a new request has a slot at a target with `open` requests and
   `unread_tokens`. */
double rates_wait_s(int open, int slots, double unread_tokens, double token_s,
                    double slot_s);

/* == at the instance that queries == */

/* The last estimate received for a target. */
typedef struct RatesReceived {
  double token_s, slot_s; /* as in RatesEstimate */
  double sampled_at;      /* time of the newest sample behind it */
  double received_at;     /* 0: none was received */
} RatesReceived;

/* Means of the estimates received for the targets of a service. */
typedef struct RatesMean {
  double token_s, slot_s; /* 0: none was received that rests on samples */
  bool received;          /* any estimate */
} RatesMean;

/* Stores an estimate that is valid. */
void rates_receive(RatesReceived *r, RatesMean *mean, double now,
                   const RatesEstimate *e);
/* Seconds per token to expect now: the target's own, with the weight that its
   age leaves, and the service's. `start_token_s` as in rates_estimate. */
double rates_token_s(const RatesReceived *r, const RatesMean *mean, double now,
                     double start_token_s);
/* The same for the seconds of a slot use; 0: unknown. */
double rates_slot_s(const RatesReceived *r, const RatesMean *mean, double now);

#endif
