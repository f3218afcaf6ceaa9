/* rates.c: sums of reading times and slot times, with exponential decay. */
#include "route/rates.h"

#include <glib.h>
#include <math.h>

/* Reading time over which the fast estimate is decayed. An engine may be slow
   for 600 ms. Near the end of such intervals the estimate was within 1.4 times
   of the speed in 78 of 80 of them, with 1.0 s in 26; with 0.1 s lost reports
   changed it too much (tests/test_rates.c). */
#define FAST_READ_S 0.2
/* The slow estimate is the target's usual speed. It covers several intervals in
   which the target is slow, so that a single one hardly changes it. */
#define SLOW_READ_S 5.0
/* The fast estimate loses its weight at this age. When a prompt was read
   slowly, a part of the 600 ms has passed; a target that is avoided for longer
   than the rest gets too little. With 0.6 s the 99th percentile of the first
   byte before slow readers was 1.52 s, with 0.15 s 1.46 s
   (docs/design/rates.md). */
#define FAST_FADE_S 0.15
/* Weight of the value toward which an estimate with few samples is shrunk, as
   reading time: about one prompt of 1,000 tokens. */
#define PRIOR_READ_S 0.02
/* The mean of a service covers this much reading time of its targets. */
#define POOL_READ_S 20.0
/* Weights that the slot uses before keep at each new one. Slot uses differ more
   than reading, as answers differ in length. */
#define SLOT_KEEP_RATIO 0.95
#define POOL_SLOT_KEEP_RATIO 0.99
/* Weight of the service's mean slot time, as slot uses. */
#define PRIOR_SLOT_USES 2.0
/* At the querying instance an estimate of this age has a weight of 1/e. Speeds
   of targets last, so it is longer than a change of speed. */
#define RECEIVED_FADE_S 10.0
/* Weight of one received estimate in the service's mean, which is thus over
   some fifty of them. */
#define MEAN_WEIGHT 0.02

/* What a prompt takes besides reading is subtracted where no other one was
   being read; at least this part remains. Without it, engines that read 800
   tokens in 13 ms and answer after 40 ms seem three times slower than they are.
 */
#define MIN_READING_RATIO 0.2
/* It is learned from prompts of up to so many tokens: of longer ones the speed
   of the target decides. */
#define SHORT_PROMPT_TOKENS 512
#define BESIDES_KEEP_RATIO 0.95

/* Possible figures: up to ten million tokens per second, no less than ten; a
   slot use of at most an hour. */
#define TOKEN_MIN_S 1e-7
#define TOKEN_MAX_S 0.1
#define SLOT_MAX_S 3600.0

static double decay(double elapsed_s, double over_s) {
  return exp(-MAX(0, elapsed_s) / over_s);
}

static void scale(RatesSums *s, double by) {
  s->seconds *= by;
  s->amount *= by;
}

static void add_sample(RatesSums *s, double keep, double seconds,
                       double amount) {
  scale(s, keep);
  s->seconds += seconds;
  s->amount += amount;
}

/* == samples == */

/* Adds the time since the last event to what the target was busy with. While
   streams occupy all slots, no prompt is read. */
static void advance(RatesTarget *r, double now) {
  double elapsed_s = now - r->at;
  r->at = MAX(r->at, now);
  if (elapsed_s <= 0) return;
  int slots = MAX(r->slots, 1);
  if (r->n_unread > 0 && r->n_read < slots) r->read_pending_s += elapsed_s;
  r->slot_pending_s += elapsed_s * MIN(r->n_read, slots);
}

/* == tokens read in the last second == */

static int32_t read_slot_at(double now) {
  return (int32_t)CLAMP(now / RATES_READ_SLOT_S, 0, INT32_MAX);
}

/* An exact window: a decaying sum shows two thirds of the speed when a target
   has read for a second, and the allocation took that for its capacity. */
static void count_read(RatesTarget *r, double now, double tokens) {
  int32_t slot = MAX(read_slot_at(now), r->read_slot);
  int32_t passed = MIN(slot - r->read_slot, RATES_READ_SLOTS);
  for (int32_t i = 0; i < passed; i++)
    r->read_tokens[(slot - i) % RATES_READ_SLOTS] = 0;
  r->read_slot = slot;
  r->read_tokens[slot % RATES_READ_SLOTS] += (float)tokens;
}

/* Removes a request from the counts. Without requests nothing is pending. */
static void remove_request(RatesTarget *r, int *count) {
  if (*count > 0) --*count;
  if (r->n_unread == 0) r->read_pending_s = 0;
  if (r->n_read == 0) r->slot_pending_s = 0;
}

/* Takes the sample of a request from the pending time. A request was there for
   `own_s`, so the sample can't be longer: the time of a request whose end was
   never reported remains pending. */
static double take_pending(double *pending_s, double own_s) {
  double s = MIN(*pending_s, MAX(own_s, 0));
  *pending_s -= s;
  return s;
}

void rates_note_arrival(RatesTarget *r, double now, bool unread) {
  advance(r, now);
  if (unread)
    r->n_unread++;
  else
    r->n_read++;
}

/* Returns the reading time of a sample of `s` seconds. `alone`: no other prompt
   was unread when this one arrived. */
static double reading_s(RatesPool *pool, double s, double tokens, bool alone) {
  if (!alone) return s;
  RatesSums *b = &pool->besides;
  const RatesSums *all = &pool->reading;
  double usual_s = all->amount > 0 ? tokens * all->seconds / all->amount : 0;
  if (tokens <= SHORT_PROMPT_TOKENS)
    add_sample(b, BESIDES_KEEP_RATIO, MAX(0, s - usual_s), 1);
  double besides_s = b->amount > 0 ? b->seconds / b->amount : 0;
  return MAX(s - besides_s, s * MIN_READING_RATIO);
}

void rates_note_read(RatesTarget *r, RatesPool *pool, double now,
                     int64_t tokens, double since) {
  advance(r, now);
  double s = take_pending(&r->read_pending_s, now - since);
  remove_request(r, &r->n_unread);
  r->n_read++;
  /* Outside of these figures it is no reading: a clock that stood still, or
     reports that were delayed and arrived together. */
  if (tokens <= 0 || s / (double)tokens < TOKEN_MIN_S ||
      s / (double)tokens > TOKEN_MAX_S)
    return;
  s = reading_s(pool, s, (double)tokens, s >= now - since);
  add_sample(&r->fast, decay(s, FAST_READ_S), s, (double)tokens);
  add_sample(&r->slow, decay(s, SLOW_READ_S), s, (double)tokens);
  add_sample(&pool->reading, decay(s, POOL_READ_S), s, (double)tokens);
  count_read(r, now, (double)tokens);
  r->sampled_at = now;
}

void rates_note_done(RatesTarget *r, RatesPool *pool, double now,
                     double since) {
  advance(r, now);
  double s = take_pending(&r->slot_pending_s, now - since);
  remove_request(r, &r->n_read);
  if (s <= 0 || s > SLOT_MAX_S) return;
  add_sample(&r->slot, SLOT_KEEP_RATIO, s, 1);
  add_sample(&pool->slot, POOL_SLOT_KEEP_RATIO, s, 1);
  r->sampled_at = now;
}

void rates_drop(RatesTarget *r, double now, bool unread) {
  advance(r, now);
  remove_request(r, unread ? &r->n_unread : &r->n_read);
}

/* == estimates == */

/* Seconds per token of sums shrunk toward `prior`, which counts for `weight_s`
   of reading. */
static double shrink(const RatesSums *s, double prior, double weight_s) {
  return (s->seconds + weight_s) / (s->amount + weight_s / prior);
}

/* A comparison with NaN is false. */
static bool is_within(double v, double low, double high) {
  return v >= low && v <= high;
}

static double pool_token_s(const RatesPool *pool, double start_token_s) {
  bool possible = is_within(start_token_s, TOKEN_MIN_S, TOKEN_MAX_S);
  double start = possible ? start_token_s : RATES_DEFAULT_TOKEN_S;
  return shrink(&pool->reading, start, PRIOR_READ_S);
}

static double estimate_token_s(const RatesTarget *r, const RatesPool *pool,
                               double age_s, double start_token_s) {
  if (start_token_s == 0) return 0;
  RatesSums fast = r->fast;
  double usual =
      shrink(&r->slow, pool_token_s(pool, start_token_s), PRIOR_READ_S);
  scale(&fast, decay(age_s, FAST_FADE_S));
  return shrink(&fast, usual, PRIOR_READ_S);
}

static double estimate_slot_s(const RatesTarget *r, const RatesPool *pool) {
  RatesSums s = r->slot;
  if (pool->slot.amount > 0) {
    s.seconds += PRIOR_SLOT_USES * pool->slot.seconds / pool->slot.amount;
    s.amount += PRIOR_SLOT_USES;
  }
  return s.amount > 0 ? s.seconds / s.amount : 0;
}

RatesEstimate rates_estimate(const RatesTarget *r, const RatesPool *pool,
                             double now, double start_token_s) {
  double age_s = r->sampled_at > 0 ? now - r->sampled_at : RATES_MAX_AGE_S;
  age_s = CLAMP(age_s, 0, RATES_MAX_AGE_S);
  return (RatesEstimate){.token_s =
                             estimate_token_s(r, pool, age_s, start_token_s),
                         .slot_s = estimate_slot_s(r, pool),
                         .age_s = age_s,
                         .tokens = r->slow.amount};
}

double rates_read_per_s(const RatesTarget *r, double now) {
  int32_t slot = MAX(read_slot_at(now), r->read_slot);
  int32_t oldest = MAX(slot - RATES_READ_SLOTS + 1, 0);
  double sum = 0, since_s = now - oldest * RATES_READ_SLOT_S;
  for (int32_t i = oldest; i <= r->read_slot; i++)
    sum += r->read_tokens[i % RATES_READ_SLOTS];
  return sum / MAX(since_s, (RATES_READ_SLOTS - 1) * RATES_READ_SLOT_S);
}

bool rates_is_valid(const RatesEstimate *e) {
  bool token_ok =
      e->token_s == 0 || is_within(e->token_s, TOKEN_MIN_S, TOKEN_MAX_S);
  return token_ok && is_within(e->slot_s, 0, SLOT_MAX_S) &&
         is_within(e->age_s, 0, RATES_MAX_AGE_S) && e->tokens >= 0 &&
         (e->token_s > 0 || e->slot_s > 0);
}

double rates_wait_s(int open, int slots, double unread_tokens, double token_s,
                    double slot_s) {
  int n = MAX(slots, 1);
  double reading_s = MAX(0, unread_tokens) * token_s;
  double slot_wait_s = open >= n ? (open - n + 1) * slot_s / n : 0;
  /* Slots become free while the prompts before it are read. */
  return MAX(reading_s, slot_wait_s);
}

/* == at the instance that queries == */

static void update_mean(double *mean, double v) {
  if (v > 0) *mean = *mean > 0 ? *mean + MEAN_WEIGHT * (v - *mean) : v;
}

void rates_receive(RatesReceived *r, RatesMean *mean, double now,
                   const RatesEstimate *e) {
  *r = (RatesReceived){e->token_s, e->slot_s, now - e->age_s, now};
  mean->received = true;
  if (e->tokens > 0) update_mean(&mean->token_s, e->token_s);
  update_mean(&mean->slot_s, e->slot_s);
}

static double weigh(double own, double usual, double weight) {
  if (own <= 0 || usual <= 0) return MAX(own, usual);
  return usual + weight * (own - usual);
}

double rates_token_s(const RatesReceived *r, const RatesMean *mean, double now,
                     double start_token_s) {
  double start = start_token_s > 0 ? start_token_s : RATES_DEFAULT_TOKEN_S;
  double usual = mean->token_s > 0 ? mean->token_s : start;
  return weigh(r->token_s, usual, decay(now - r->sampled_at, RECEIVED_FADE_S));
}

double rates_slot_s(const RatesReceived *r, const RatesMean *mean, double now) {
  return weigh(r->slot_s, mean->slot_s,
               decay(now - r->sampled_at, RECEIVED_FADE_S));
}
