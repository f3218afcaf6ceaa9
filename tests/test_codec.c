/* test_codec.c: messages survive encoding and decoding, and damaged data is
   rejected safely. */
#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "peer/codec.h"

static bool decodes_whole(const msgpack_sbuffer *b, CodecMsg *m) {
  size_t off = 0;
  return codec_get(b->data, b->size, &off, m) && off == b->size;
}

Test(codec, a_ledger_message_round_trips) {
  LedgerMsg l = {.kind = LEDGER_REPORT,
                 .grant = UINT64_MAX,
                 .granted = -1,
                 .returned = 1LL << 60,
                 .final = true,
                 .cause = ERR_BUDGET_HELD};
  g_strlcpy(l.budget, "customer/service", sizeof l.budget);
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_ledger(&b, &l);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_LEDGER);
  cr_assert_eq(memcmp(&m.ledger, &l, sizeof l), 0);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_demand_by_priority_round_trips) {
  LedgerMsg l = {.kind = LEDGER_DEMAND,
                 .priority = LEDGER_PRIORITIES,
                 .retry_ms = LEDGER_MAX_RETRY_MS,
                 .waiting = {0, 1, 1000000000000000},
                 .tokens_per_s = {7, 0, 1LL << 40}};
  g_strlcpy(l.budget, "customer", sizeof l.budget);
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_ledger(&b, &l);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_RESERVE);
  cr_assert_eq(memcmp(&m.ledger, &l, sizeof l), 0);
  msgpack_sbuffer_destroy(&b);
}

/* An absurd value must not reach the ledger: a home would keep tokens for
   demand that nobody has. */
Test(codec, absurd_demand_is_rejected) {
  const LedgerMsg rows[] = {
      {.kind = LEDGER_DEMAND, .waiting = {-1, 0, 0}},
      {.kind = LEDGER_DEMAND, .waiting = {0, 0, INT64_MAX}},
      {.kind = LEDGER_DEMAND, .tokens_per_s = {0, -5, 0}},
      {.kind = LEDGER_DEMAND, .tokens_per_s = {INT64_MAX, 0, 0}},
      {.kind = LEDGER_CUTOFF, .priority = LEDGER_PRIORITIES + 1},
      {.kind = LEDGER_CUTOFF, .retry_ms = -1},
      {.kind = LEDGER_CUTOFF, .retry_ms = LEDGER_MAX_RETRY_MS + 1}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    msgpack_sbuffer b;
    CodecMsg m;
    size_t off = 0;
    msgpack_sbuffer_init(&b);
    codec_put_ledger(&b, &rows[i]);
    cr_assert_not(codec_get(b.data, b.size, &off, &m), "row %d", (int)i);
    msgpack_sbuffer_destroy(&b);
  }
}

Test(codec, loads_and_heartbeats_round_trip) {
  LoadsMsg l = {.target = UINT64_MAX, .running = 7, .waiting = 300};
  Member beat = {
      .id = "n.1", .region = "r", .table = 9, .heartbeat_interval_s = 187.5};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_load(&b, &l);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_LOAD);
  cr_assert_eq(memcmp(&m.load, &l, sizeof l), 0);
  msgpack_sbuffer_clear(&b);
  codec_put_heartbeat(&b, &beat);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(memcmp(&m.heartbeat, &beat, sizeof beat), 0);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, member_updates_round_trip) {
  GossipUpdate n = {
      .m = {.id = "n.1", .region = "r", .dc = "d", .peer = "tcp://a"},
      .generation = 7,
      .state = GOSSIP_SUSPECT};
  GossipMsg g = {.kind = GOSSIP_FULL_STATE,
                 .subject = UINT64_MAX,
                 .digest = 3,
                 .table = 9,
                 .is_reply = true};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_member_update(&b, &n);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_MEMBER_UPDATE);
  cr_assert_eq(memcmp(&m.member_update, &n, sizeof n), 0);
  msgpack_sbuffer_clear(&b);
  codec_put_gossip(&b, &g);
  cr_assert(decodes_whole(&b, &m));
  cr_assert(m.gossip.kind == g.kind && m.gossip.subject == g.subject);
  cr_assert(m.gossip.digest == 3 && m.gossip.table == 9 && m.gossip.is_reply);
  msgpack_sbuffer_clear(&b);
  n.m.peer[0] = '\0';
  codec_put_member_update(&b, &n);
  cr_assert_not(decodes_whole(&b, &m), "a member needs an address");
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_record_message_keeps_bill_and_answer) {
  OnceMsg o = {
      .kind = ONCE_FINISH, .key = {1, 2}, .nonce = 3, .duplicate = true};
  g_strlcpy(o.bill.customer, "c", sizeof o.bill.customer);
  o.bill.tokens = 77;
  o.answer = (OnceAnswer){
      .status = 201, .type = "a/b", .body = (char *)"x\0y", .len = 3};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_once(&b, &o);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.once.bill.tokens, 77);
  cr_assert_eq(m.once.answer.len, 3);
  cr_assert_eq(memcmp(m.once.answer.body, "x\0y", 3), 0);
  cr_assert(m.once.duplicate);
  once_message_clear(&m.once);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, work_at_a_target_round_trips) {
  TargetWork w = {.target = UINT64_MAX, .open = 9, .tokens = 1LL << 40};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_work(&b, &w);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_WORK);
  cr_assert(m.work.target == w.target && m.work.open == 9);
  cr_assert_eq(m.work.tokens, w.tokens);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_suspect_message_round_trips) {
  msgpack_sbuffer b;
  CodecMsg m;
  CodecSuspect in = {.until = "a/n3.1",
                     .msg = {.kind = SUSPECTS_NAMED,
                             .digest = {.hi = UINT64_MAX, .lo = 7},
                             .owner = 1ULL << 63,
                             .target = 9,
                             .first_mark_age_s = 2.25}};
  msgpack_sbuffer_init(&b);
  codec_put_suspect(&b, &in);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_SUSPECT);
  cr_assert_str_eq(m.suspect.until, in.until);
  cr_assert_eq(m.suspect.msg.kind, in.msg.kind);
  cr_assert(digest_equal(m.suspect.msg.digest, in.msg.digest));
  cr_assert(m.suspect.msg.owner == in.msg.owner);
  cr_assert(m.suspect.msg.target == in.msg.target);
  cr_assert_float_eq(m.suspect.msg.first_mark_age_s, in.msg.first_mark_age_s,
                     0.001);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_suspect_message_about_a_part_round_trips) {
  msgpack_sbuffer b;
  CodecMsg m;
  CodecSuspect in = {
      .msg = {.kind = SUSPECTS_MARK, .is_part = true, .digest = {1, 2}}};
  msgpack_sbuffer_init(&b);
  codec_put_suspect(&b, &in);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_SUSPECT_PART);
  cr_assert(m.suspect.msg.is_part);
  cr_assert(digest_equal(m.suspect.msg.digest, in.msg.digest));
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_message_on_the_origin_of_a_stream_round_trips) {
  msgpack_sbuffer b;
  CodecMsg m;
  OriginsMsg in = {.kind = ORIGINS_SOLE,
                   .number = 7,
                   .key = UINT64_MAX,
                   .service = 1ULL << 63,
                   .version = 9};
  msgpack_sbuffer_init(&b);
  codec_put_origin(&b, &in);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_ORIGIN);
  cr_assert_eq(m.origin.kind, in.kind);
  cr_assert(m.origin.number == in.number && m.origin.key == in.key);
  cr_assert(m.origin.service == in.service && m.origin.version == in.version);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_pool_report_round_trips) {
  TargetsPoolReport w = {.pool = 7,
                         .report = {.long_tokens = 1e9,
                                    .short_tokens = 5,
                                    .streams = 12.25,
                                    .stalled = 0.5}};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_pool(&b, &w);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_POOL);
  cr_assert_eq(m.pool.pool, 7);
  cr_assert(m.pool.report.long_tokens == 1e9 &&
            m.pool.report.short_tokens == 5);
  cr_assert(m.pool.report.streams == 12.25 && m.pool.report.stalled == 0.5);
  msgpack_sbuffer_clear(&b);
  w.report.stalled = -1;
  codec_put_pool(&b, &w);
  cr_assert_not(decodes_whole(&b, &m), "a count is never below 0");
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_count_of_work_round_trips) {
  msgpack_sbuffer b;
  TallyReport w = {.number = 1,
                   .target = UINT64_MAX,
                   .open = 5,
                   .starts = 9,
                   .tokens = 70000,
                   .known_parts = 2,
                   .finished_parts = 1};
  CodecMsg m;
  size_t off = 0;
  msgpack_sbuffer_init(&b);
  codec_put_tally_report(&b, &w);
  cr_assert(codec_get(b.data, b.size, &off, &m));
  cr_assert_eq(m.type, CODEC_TALLY_REPORT);
  cr_assert(m.tally_report.target == w.target && m.tally_report.open == 5);
  cr_assert(m.tally_report.starts == 9 && m.tally_report.tokens == 70000);
  cr_assert(m.tally_report.known_parts == 2 &&
            m.tally_report.finished_parts == 1);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, parts_of_prompts_round_trip) {
  TargetParts w = {.target = 7, .n = 2, .names = {UINT64_MAX, 3}};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_parts(&b, &w);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_PARTS);
  cr_assert(m.parts.target == 7 && m.parts.n == 2);
  cr_assert(m.parts.names[0] == UINT64_MAX && m.parts.names[1] == 3);
  msgpack_sbuffer_clear(&b);
  w.n = REQUEST_MAX_PARTS;
  codec_put_parts(&b, &w);
  cr_assert(decodes_whole(&b, &m));
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_feed_report_round_trips) {
  CodecFeed f = {.reader = 77,
                 .until = "dc/n.1",
                 .store_result = READERS_STORE_REFUSED,
                 .kind = 1,
                 .from = 5,
                 .revision = UINT64_MAX,
                 .lapsed = true};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_feed(&b, &f);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_null(packed_text(&m.feed.changes), "no change");
  msgpack_sbuffer_clear(&b);
  f.changes = packed_new("[{\"gone\":true}]");
  codec_put_feed(&b, &f);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.type, CODEC_FEED);
  cr_assert(m.feed.kind == 1 && m.feed.from == 5 && m.feed.lapsed);
  cr_assert_eq(m.feed.revision, UINT64_MAX);
  cr_assert(m.feed.reader == 77 &&
            m.feed.store_result == READERS_STORE_REFUSED);
  cr_assert_str_eq(m.feed.until, "dc/n.1");
  char *text = packed_text(&m.feed.changes);
  cr_assert_str_eq(text, "[{\"gone\":true}]");
  g_free(text);
  packed_free(&f.changes);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}

/* A configuration of `n` routes that differ in name and path only, as operators
   with many routes have it. */
static char *make_routes(int n) {
  GString *s = g_string_new("{\"routes\":[");
  for (int i = 0; i < n; i++)
    g_string_append_printf(s,
                           "%s{\"name\":\"r%05d\",\"host\":\"front\","
                           "\"path_prefix\":\"/idle-%05d/\",\"type\":\"safe\","
                           "\"timeout_ms\":3000,\"slo_ms\":500,\"priority\":1,"
                           "\"service\":\"desk\",\"max_attempts\":2}",
                           i ? "," : "", i, i);
  g_string_append(s, "]}");
  return g_string_free(s, FALSE);
}

/* It has to fit on a link between instances, 256 kB in 1.5 s for all messages,
   and into a reader's report, 64 kB. */
Test(codec, a_large_configuration_is_sent_in_a_tenth_of_its_size) {
  char *text = make_routes(1640);
  Packed p = packed_new(text);
  msgpack_sbuffer b;
  CodecMsg m;
  cr_assert_gt(p.text_bytes, 200000);
  cr_assert_lt(p.data_bytes, p.text_bytes / 10, "%u of %u", p.data_bytes,
               p.text_bytes);
  msgpack_sbuffer_init(&b);
  codec_put_config(&b, 7, &p);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.config.version, 7);
  char *got = packed_text(&m.config.text);
  cr_assert_str_eq(got, text);
  g_free(got);
  g_free(text);
  packed_free(&p);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_damaged_text_is_rejected) {
  char *text = make_routes(100);
  Packed p = packed_new(text);
  p.data[p.data_bytes / 2] ^= 0x55;
  p.data[p.data_bytes / 2 + 1] ^= 0x55;
  cr_assert_null(packed_text(&p));
  packed_free(&p);
  p = packed_new(text);
  p.text_bytes += 1;
  cr_assert_null(packed_text(&p), "the length differs");
  p.text_bytes = UINT32_MAX;
  cr_assert_null(packed_text(&p), "exceeds the max length");
  packed_free(&p);
  g_free(text);
}

/* A forwarded message is decoded and encoded at each instance, which must not
   change its figures. */
Test(codec, forwarded_thousandths_keep_their_value) {
  for (int64_t ms = 0; ms < 5000; ms++) {
    CodecSuspect s = {.msg = {.first_mark_age_s = (double)ms / 1000}};
    for (int hop = 0; hop < 3; hop++) {
      msgpack_sbuffer b;
      CodecMsg m;
      msgpack_sbuffer_init(&b);
      codec_put_suspect(&b, &s);
      cr_assert(decodes_whole(&b, &m));
      s = m.suspect;
      msgpack_sbuffer_destroy(&b);
    }
    cr_assert_eq(s.msg.first_mark_age_s, (double)ms / 1000, "%d ms", (int)ms);
  }
}

Test(codec, permits_and_limits_round_trip) {
  static const double limits[] = {0, 0.29, 1.7, 100, QUOTA_UNLIMITED};
  for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
    TallyPermitRequest ask = {.number = 1,
                              .target = UINT64_MAX,
                              .counter = 3,
                              .run = 4,
                              .bounds = {14.9, limits[i], true},
                              .reachable_share = 0.5};
    TallyPermit permit = {.number = 5,
                          .target = 6,
                          .verdict = TALLY_GIVEN,
                          .wait_s = 0.25,
                          .limit = limits[i]};
    CodecLimit limit = {.to_all = true,
                        .until = "a b",
                        .msg = {.target = 7, .counter = 8, .limit = limits[i]}};
    msgpack_sbuffer b;
    CodecMsg m;
    size_t off = 0;
    msgpack_sbuffer_init(&b);
    codec_put_permit_request(&b, &ask);
    codec_put_permit(&b, &permit);
    codec_put_limit(&b, &limit);
    cr_assert(codec_get(b.data, b.size, &off, &m));
    cr_assert(m.permit_request.number == 1 &&
              m.permit_request.target == UINT64_MAX);
    cr_assert(m.permit_request.counter == 3 && m.permit_request.run == 4);
    cr_assert_float_eq(m.permit_request.bounds.cold_per_s, 14.9, 1e-9);
    cr_assert(m.permit_request.bounds.limit == limits[i]);
    cr_assert(m.permit_request.bounds.over_limit &&
              m.permit_request.reachable_share == 0.5);
    cr_assert(codec_get(b.data, b.size, &off, &m));
    cr_assert_eq(m.permit.verdict, TALLY_GIVEN);
    cr_assert(m.permit.number == 5 && m.permit.wait_s == 0.25);
    cr_assert_eq(m.permit.limit, limits[i]);
    cr_assert(codec_get(b.data, b.size, &off, &m));
    cr_assert_eq(memcmp(&m.limit.msg, &limit.msg, sizeof limit.msg), 0);
    cr_assert(m.limit.to_all && strcmp(m.limit.until, "a b") == 0);
    cr_assert_eq(off, b.size);
    msgpack_sbuffer_destroy(&b);
  }
}

/* An instance of an older build receives messages of unknown types in one frame
   with others: those that follow in the frame must not be lost. */
Test(codec, a_message_of_an_unknown_type_is_skipped) {
  LoadsMsg l = {.target = 5};
  msgpack_sbuffer b;
  msgpack_packer p;
  CodecMsg m;
  size_t off = 0;
  msgpack_sbuffer_init(&b);
  msgpack_packer_init(&p, &b, msgpack_sbuffer_write);
  msgpack_pack_array(&p, 3);
  msgpack_pack_uint8(&p, 100);
  msgpack_pack_str(&p, 4);
  msgpack_pack_str_body(&p, "more", 4);
  msgpack_pack_nil(&p);
  codec_put_load(&b, &l);
  cr_assert(codec_get(b.data, b.size, &off, &m));
  cr_assert_eq(m.type, CODEC_TYPES);
  cr_assert(codec_get(b.data, b.size, &off, &m));
  cr_assert(m.type == CODEC_LOAD && m.load.target == 5 && off == b.size);
  msgpack_sbuffer_destroy(&b);
}

/* Damage from a seeded generator: truncation, changed bytes, noise. */
Test(codec, damaged_frames_are_rejected_or_decoded_to_valid_messages) {
  GRand *r = g_rand_new_with_seed(1);
  Member beat = {.id = "n.1", .region = "r", .peer = "tcp://1.2.3.4:5"};
  LedgerMsg l = {.kind = LEDGER_DRAW, .grant = 5};
  LedgerMsg demand = {.kind = LEDGER_DEMAND, .waiting = {5, 6, 70000}};
  LoadsMsg load = {.target = 5, .running = 70000, .waiting = 1};
  OnceMsg o = {.kind = ONCE_FINISH,
               .answer = {.status = 200, .body = (char *)"body", .len = 4}};
  for (int i = 0; i < 30000; i++) {
    msgpack_sbuffer b;
    msgpack_sbuffer_init(&b);
    CodecHead h = {1, 2}, got;
    codec_put_head(&b, &h);
    if (i % 4 == 0) codec_put_heartbeat(&b, &beat);
    if (i % 4 == 1) codec_put_ledger(&b, i % 8 == 1 ? &l : &demand);
    if (i % 4 == 2) codec_put_once(&b, &o);
    if (i % 4 == 3) codec_put_load(&b, &load);
    int hits = g_rand_int_range(r, 0, 4);
    for (int k = 0; k < hits; k++)
      b.data[g_rand_int_range(r, 0, (gint32)b.size)] =
          (char)g_rand_int_range(r, 0, 256);
    size_t len = (size_t)g_rand_int_range(r, 0, (gint32)b.size + 1), off = 0;
    CodecMsg m;
    if (codec_get_head(b.data, len, &off, &got)) {
      while (off < len && codec_get(b.data, len, &off, &m)) {
        if (m.type == CODEC_LEDGER)
          cr_assert_lt(m.ledger.kind, LEDGER_FIRST_NEW_KIND);
        if (m.type == CODEC_RESERVE)
          cr_assert_lt(m.ledger.kind, LEDGER_KIND_COUNT);
        if (m.type == CODEC_ONCE)
          cr_assert_lt(m.once.kind, ONCE_MSG_KIND_COUNT);
        once_message_clear(&m.once);
      }
    }
    msgpack_sbuffer_destroy(&b);
  }
  g_rand_free(r);
}

static AllocationDemand full_demand(void) {
  AllocationDemand m = {
      .service = 5, .number = 6, .period_s = 0.25, .n = ALLOCATION_MAX_ROWS};
  for (int i = 0; i < m.n; i++)
    m.rows[i] = (AllocationRow){UINT64_MAX - (uint64_t)i, i, 1e9, 1e9};
  return m;
}

Test(codec, full_reports_of_demand_and_answers_round_trip) {
  AllocationDemand d = full_demand();
  AllocationAnswer a = {.service = 5,
                        .number = 6,
                        .is_short = true,
                        .retries_per_s = 0.01,
                        .n = ALLOCATION_MAX_CUTOFFS};
  for (int i = 0; i < a.n; i++)
    a.cutoffs[i] = (AllocationCutoff){UINT64_MAX - (uint64_t)i, i + 0.5};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_demand(&b, &d);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(memcmp(m.demand, &d, sizeof d), 0);
  codec_clear(&m);
  msgpack_sbuffer_clear(&b);
  codec_put_allocation(&b, &a);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(memcmp(m.allocation, &a, sizeof a), 0);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}

/* Guards against more rows than there is room for, rows that are cut off and
   values that no build writes. */
Test(codec, damaged_rows_of_demand_are_rejected) {
  AllocationDemand d = full_demand();
  CodecMsg m;
  msgpack_sbuffer b;
  msgpack_sbuffer_init(&b);
  d.n = 1;
  d.rows[0] = (AllocationRow){1, 2, 3, 3};
  codec_put_demand(&b, &d);
  size_t rows = 9; /* [19, 5, 6, 250, bin 8 of 4 bytes */
  cr_assert_eq((unsigned char)b.data[rows - 3], 0xc4);
  cr_assert_eq(b.data[rows - 2], 4);
  cr_assert(decodes_whole(&b, &m));
  codec_clear(&m);
  static const unsigned char bad[] = {0xc0, 0x91, 0xff, 0xcb, 0xdd, 0xcf};
  for (size_t i = 0; i < sizeof bad; i++)
    for (size_t at = rows - 1; at < rows + 3; at++) {
      char good = b.data[at];
      b.data[at] = (char)bad[i];
      cr_assert(!decodes_whole(&b, &m), "%zu at %zu", i, at);
      b.data[at] = good;
    }
  msgpack_sbuffer_destroy(&b);
}

Test(codec, an_invalid_cutoff_is_sent_as_one_that_admits_all) {
  AllocationAnswer a = {.n = 2, .cutoffs = {{1, NAN}, {2, -1}}};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_allocation(&b, &a);
  cr_assert(decodes_whole(&b, &m));
  cr_assert_eq(m.allocation->cutoffs[0].cutoff, ALLOCATION_PRIORITY_LIMIT);
  cr_assert_eq(m.allocation->cutoffs[1].cutoff, ALLOCATION_PRIORITY_LIMIT);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}
