/* encode.c: encodes messages between instances. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "peer/codec.h"
#include "peer/format.h"

static void put_str(msgpack_packer *p, const char *s) {
  size_t n = strlen(s);
  msgpack_pack_str(p, n);
  msgpack_pack_str_body(p, s, n);
}

void codec_put_head(msgpack_sbuffer *b, const CodecHead *h) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 3);
  msgpack_pack_uint8(&p, FORMAT_VERSION);
  msgpack_pack_uint64(&p, h->from);
  msgpack_pack_uint64(&p, h->to);
}

void codec_put_heartbeat(msgpack_sbuffer *b, const Member *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 9);
  msgpack_pack_uint8(&p, CODEC_HEARTBEAT);
  put_str(&p, m->id);
  put_str(&p, m->region);
  put_str(&p, m->dc);
  put_str(&p, m->peer);
  put_str(&p, m->http);
  msgpack_pack_uint8(&p, m->leaving);
  msgpack_pack_uint64(&p, m->table);
  msgpack_pack_uint32(&p, (uint32_t)(m->heartbeat_interval_s * 1000));
}

void codec_put_member_update(msgpack_sbuffer *b, const GossipUpdate *n) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 8);
  msgpack_pack_uint8(&p, CODEC_MEMBER_UPDATE);
  put_str(&p, n->m.id);
  put_str(&p, n->m.region);
  put_str(&p, n->m.dc);
  put_str(&p, n->m.peer);
  msgpack_pack_uint8(&p, n->m.leaving);
  msgpack_pack_uint32(&p, n->generation);
  msgpack_pack_uint8(&p, (uint8_t)n->state);
}

void codec_put_gossip(msgpack_sbuffer *b, const GossipMsg *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 6);
  msgpack_pack_uint8(&p, CODEC_GOSSIP);
  msgpack_pack_uint8(&p, (uint8_t)m->kind);
  msgpack_pack_uint64(&p, m->subject);
  msgpack_pack_uint64(&p, m->digest);
  msgpack_pack_uint64(&p, m->table);
  msgpack_pack_uint8(&p, m->is_reply);
}

static void put_reserve(msgpack_sbuffer *b, const LedgerMsg *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 5 + 2 * LEDGER_PRIORITIES);
  msgpack_pack_uint8(&p, CODEC_RESERVE);
  msgpack_pack_uint8(&p, (uint8_t)(m->kind - LEDGER_FIRST_NEW_KIND));
  put_str(&p, m->budget);
  msgpack_pack_uint8(&p, (uint8_t)m->priority);
  msgpack_pack_int64(&p, m->retry_ms);
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    msgpack_pack_int64(&p, m->waiting[i]);
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    msgpack_pack_int64(&p, m->tokens_per_s[i]);
}

void codec_put_ledger(msgpack_sbuffer *b, const LedgerMsg *m) {
  msgpack_packer p;
  if (m->kind >= LEDGER_FIRST_NEW_KIND) {
    put_reserve(b, m);
    return;
  }
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 12);
  msgpack_pack_uint8(&p, CODEC_LEDGER);
  msgpack_pack_uint8(&p, (uint8_t)m->kind);
  put_str(&p, m->budget);
  msgpack_pack_uint64(&p, m->grant);
  msgpack_pack_int64(&p, m->granted);
  msgpack_pack_int64(&p, m->returned);
  msgpack_pack_int64(&p, m->spent);
  msgpack_pack_int64(&p, m->limit);
  msgpack_pack_int64(&p, m->need);
  bool has_clock = m->kind == LEDGER_RAISE || m->kind == LEDGER_RAISE_ACK;
  msgpack_pack_int64(&p, has_clock ? m->clock_ms : m->want);
  msgpack_pack_uint8(&p, (uint8_t)m->cause);
  msgpack_pack_uint8(&p, (uint8_t)(m->final | m->sealed << 1));
}

void codec_put_once(msgpack_sbuffer *b, const OnceMsg *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  bool has_answer = m->answer.status != 0;
  bool has_bill = m->kind == ONCE_FINISH || m->kind == ONCE_COPY_BILL;
  bool has_target = m->target[0] != '\0';
  msgpack_pack_array(&p, 8 + (has_bill ? 3 : 0) + (has_target ? 1 : 0) +
                             (has_answer ? 3 : 0));
  msgpack_pack_uint8(&p, CODEC_ONCE);
  msgpack_pack_uint8(&p, (uint8_t)m->kind);
  msgpack_pack_uint64(&p, m->key.hi);
  msgpack_pack_uint64(&p, m->key.lo);
  msgpack_pack_uint64(&p, m->nonce);
  msgpack_pack_uint64(&p, m->digest);
  msgpack_pack_uint8(&p, (uint8_t)m->verdict);
  msgpack_pack_uint8(&p, (uint8_t)(m->duplicate | has_bill << 1 |
                                   has_answer << 2 | has_target << 3));
  if (has_bill) {
    put_str(&p, m->bill.customer);
    put_str(&p, m->bill.budget);
    msgpack_pack_int64(&p, m->bill.tokens);
  }
  if (has_target) put_str(&p, m->target);
  if (!has_answer) return;
  msgpack_pack_int(&p, m->answer.status);
  put_str(&p, m->answer.type);
  if (!m->answer.body) {
    msgpack_pack_nil(&p);
    return;
  }
  msgpack_pack_bin(&p, m->answer.len);
  msgpack_pack_bin_body(&p, m->answer.body, m->answer.len);
}

void codec_put_load(msgpack_sbuffer *b, const LoadsMsg *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 5);
  msgpack_pack_uint8(&p, CODEC_LOAD);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint32(&p, (uint32_t)m->running);
  msgpack_pack_uint32(&p, (uint32_t)m->waiting);
  msgpack_pack_uint8(&p, m->unresponsive);
}

static void put_packed(msgpack_packer *p, const Packed *text) {
  msgpack_pack_uint32(p, text->text_bytes);
  msgpack_pack_bin(p, text->data_bytes);
  msgpack_pack_bin_body(p, text->data, text->data_bytes);
}

void codec_put_config(msgpack_sbuffer *b, uint64_t version,
                      const Packed *text) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 4);
  msgpack_pack_uint8(&p, CODEC_CONFIG);
  msgpack_pack_uint64(&p, version);
  put_packed(&p, text);
}

void codec_put_work(msgpack_sbuffer *b, const TargetWork *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 4);
  msgpack_pack_uint8(&p, CODEC_WORK);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint32(&p, (uint32_t)m->open);
  msgpack_pack_int64(&p, m->tokens);
}

/* Converts a number with a fraction, such as a time, a rate or a decaying count
   of streams, to the integer that is sent for it. */
static int64_t thousandths(double v) {
  return (int64_t)round(v * FORMAT_FRACTION_SCALE);
}

void codec_put_pool(msgpack_sbuffer *b, const TargetsPoolReport *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 6);
  msgpack_pack_uint8(&p, CODEC_POOL);
  msgpack_pack_uint64(&p, m->pool);
  msgpack_pack_int64(&p, (int64_t)m->report.long_tokens);
  msgpack_pack_int64(&p, (int64_t)m->report.short_tokens);
  msgpack_pack_int64(&p, thousandths(m->report.streams));
  msgpack_pack_int64(&p, thousandths(m->report.stalled));
}

void codec_put_parts(msgpack_sbuffer *b, const TargetParts *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, (size_t)m->n + 3);
  msgpack_pack_uint8(&p, CODEC_PARTS);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint8(&p, (uint8_t)m->n);
  for (int i = 0; i < m->n; i++) msgpack_pack_uint64(&p, m->names[i]);
}

static void put_tally_parts(msgpack_packer *p, const TallyParts *m) {
  for (int i = 0; i < m->n; i++) msgpack_pack_uint64(p, m->names[i]);
}

void codec_put_tally_query(msgpack_sbuffer *b, const TallyQuery *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, (size_t)m->parts.n + 4);
  msgpack_pack_uint8(&p, CODEC_TALLY_QUERY);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint8(&p, (uint8_t)m->parts.n);
  put_tally_parts(&p, &m->parts);
}

void codec_put_tally_report(msgpack_sbuffer *b, const TallyReport *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 8);
  msgpack_pack_uint8(&p, CODEC_TALLY_REPORT);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint32(&p, (uint32_t)m->open);
  msgpack_pack_uint32(&p, (uint32_t)m->starts);
  msgpack_pack_int64(&p, m->tokens);
  msgpack_pack_uint8(&p, (uint8_t)m->known_parts);
  msgpack_pack_uint8(&p, (uint8_t)m->finished_parts);
}

void codec_put_tally_run(msgpack_sbuffer *b, const TallyRun *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, (size_t)m->parts.n + 6);
  msgpack_pack_uint8(&p, CODEC_TALLY_RUN);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint64(&p, m->run);
  msgpack_pack_uint8(&p, m->open);
  msgpack_pack_int64(&p, m->tokens);
  msgpack_pack_uint8(&p, (uint8_t)m->parts.n);
  put_tally_parts(&p, &m->parts);
}

void codec_put_feed(msgpack_sbuffer *b, const CodecFeed *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 10);
  msgpack_pack_uint8(&p, CODEC_FEED);
  msgpack_pack_uint64(&p, m->reader);
  put_str(&p, m->until);
  msgpack_pack_uint8(&p, (uint8_t)m->store_result);
  msgpack_pack_uint8(&p, (uint8_t)m->kind);
  msgpack_pack_uint64(&p, m->from);
  msgpack_pack_uint64(&p, m->revision);
  msgpack_pack_uint8(&p, m->lapsed);
  put_packed(&p, &m->changes);
}

/* Converts a figure, which may be any, to an integer that can be decoded. */
static uint64_t scaled(double v, double by) {
  double n = round(v * by);
  if (!(n > 0)) return 0; /* also NaN */
  return (uint64_t)MIN(n, FORMAT_COUNT_MAX);
}

void codec_put_rate(msgpack_sbuffer *b, const TallyRate *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 7);
  msgpack_pack_uint8(&p, CODEC_RATE);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint64(&p, scaled(m->rate.token_s, FORMAT_TOKEN_SCALE));
  msgpack_pack_uint64(&p, scaled(m->rate.slot_s, FORMAT_SLOT_SCALE));
  msgpack_pack_uint64(&p, scaled(m->rate.age_s, FORMAT_FRACTION_SCALE));
  msgpack_pack_uint64(&p, scaled(m->rate.tokens, 1));
}

void codec_put_suspect(msgpack_sbuffer *b, const CodecSuspect *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 8);
  msgpack_pack_uint8(&p, m->msg.is_part ? CODEC_SUSPECT_PART : CODEC_SUSPECT);
  put_str(&p, m->until);
  msgpack_pack_uint8(&p, (uint8_t)m->msg.kind);
  msgpack_pack_uint64(&p, m->msg.digest.hi);
  msgpack_pack_uint64(&p, m->msg.digest.lo);
  msgpack_pack_uint64(&p, m->msg.owner);
  msgpack_pack_uint64(&p, m->msg.target);
  msgpack_pack_int64(&p, thousandths(m->msg.first_mark_age_s));
}

void codec_put_origin(msgpack_sbuffer *b, const OriginsMsg *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 6);
  msgpack_pack_uint8(&p, CODEC_ORIGIN);
  msgpack_pack_uint8(&p, (uint8_t)m->kind);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->key);
  msgpack_pack_uint64(&p, m->service);
  msgpack_pack_uint64(&p, m->version);
}

/* Encodes a rate limit per second; nil: no limit. */
static void put_limit(msgpack_packer *p, double limit) {
  if (limit < QUOTA_UNLIMITED)
    msgpack_pack_int64(p, thousandths(MIN(limit, LIMIT_TARGET_RATE_PER_S)));
  else
    msgpack_pack_nil(p);
}

void codec_put_permit_request(msgpack_sbuffer *b, const TallyPermitRequest *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 9);
  msgpack_pack_uint8(&p, CODEC_PERMIT_REQUEST);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint64(&p, m->counter);
  msgpack_pack_uint64(&p, m->run);
  msgpack_pack_int64(
      &p, thousandths(MIN(m->bounds.cold_per_s, LIMIT_TARGET_RATE_PER_S)));
  put_limit(&p, m->bounds.limit);
  msgpack_pack_uint8(&p, m->bounds.over_limit);
  msgpack_pack_int64(&p, thousandths(m->reachable_share));
}

void codec_put_permit(msgpack_sbuffer *b, const TallyPermit *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 6);
  msgpack_pack_uint8(&p, CODEC_PERMIT);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint64(&p, m->target);
  msgpack_pack_uint8(&p, (uint8_t)m->verdict);
  msgpack_pack_int64(&p, thousandths(m->wait_s));
  put_limit(&p, m->limit);
}

void codec_put_limit(msgpack_sbuffer *b, const CodecLimit *m) {
  msgpack_packer p;
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 6);
  msgpack_pack_uint8(&p, CODEC_LIMIT);
  msgpack_pack_uint8(&p, m->to_all);
  put_str(&p, m->until);
  msgpack_pack_uint64(&p, m->msg.target);
  msgpack_pack_uint64(&p, m->msg.counter);
  put_limit(&p, m->msg.limit);
}

/* == shares of customers == */

/* Encodes a count; an invalid one as 0. */
static void put_count(msgpack_packer *p, double n) {
  msgpack_pack_uint64(p,
                      n > 0 && n <= FORMAT_COUNT_MAX ? (uint64_t)(n + 0.5) : 0);
}

static void put_scaled(msgpack_packer *p, double n) {
  put_count(p, n * FORMAT_FRACTION_SCALE);
}

/* Encodes a cutoff; an invalid one as one that admits all. */
static void put_cutoff(msgpack_packer *p, double cutoff) {
  bool valid = allocation_is_valid(cutoff, ALLOCATION_PRIORITY_LIMIT);
  put_scaled(p, valid ? cutoff : ALLOCATION_PRIORITY_LIMIT);
}

/* Rows are numbers in a field of bytes: older builds read no nested arrays, and
   an array has at most 15 members there. */
static void put_rows(msgpack_packer *p, const msgpack_sbuffer *rows) {
  msgpack_pack_bin(p, rows->size);
  msgpack_pack_bin_body(p, rows->data, rows->size);
}

void codec_put_demand(msgpack_sbuffer *b, const AllocationDemand *m) {
  msgpack_packer p;
  msgpack_sbuffer rows;
  msgpack_sbuffer_init(&rows);
  msgpack_packer_init(&p, &rows, msgpack_sbuffer_write);
  for (int i = 0; i < m->n; i++) {
    msgpack_pack_uint64(&p, m->rows[i].customer);
    msgpack_pack_int(&p, m->rows[i].priority);
    put_count(&p, m->rows[i].asked);
    put_count(&p, m->rows[i].admitted);
  }
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 13);
  msgpack_pack_uint8(&p, CODEC_DEMAND);
  msgpack_pack_uint64(&p, m->service);
  msgpack_pack_uint64(&p, m->number);
  put_scaled(&p, m->period_s);
  put_rows(&p, &rows);
  put_count(&p, m->rest_asked);
  put_count(&p, m->rest_admitted);
  put_count(&p, m->rejected);
  put_count(&p, m->promised);
  msgpack_pack_int(&p, m->targets);
  put_count(&p, m->reading_per_s);
  put_scaled(&p, m->wait_s);
  put_count(&p, m->read_per_s);
  msgpack_sbuffer_destroy(&rows);
}

void codec_put_allocation(msgpack_sbuffer *b, const AllocationAnswer *m) {
  msgpack_packer p;
  msgpack_sbuffer rows;
  msgpack_sbuffer_init(&rows);
  msgpack_packer_init(&p, &rows, msgpack_sbuffer_write);
  for (int i = 0; i < m->n; i++) {
    msgpack_pack_uint64(&p, m->cutoffs[i].customer);
    put_cutoff(&p, m->cutoffs[i].cutoff);
  }
  msgpack_packer_init(&p, b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 9);
  msgpack_pack_uint8(&p, CODEC_ALLOCATION);
  msgpack_pack_uint64(&p, m->service);
  msgpack_pack_uint64(&p, m->number);
  msgpack_pack_uint8(&p, m->is_short);
  put_scaled(&p, m->age_s);
  put_scaled(&p, m->retries_per_s);
  put_scaled(&p, m->retries_in_s);
  put_scaled(&p, m->report_s);
  put_rows(&p, &rows);
  msgpack_sbuffer_destroy(&rows);
}
