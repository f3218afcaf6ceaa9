/* test_codec.c: what one instance packs another understands, and nothing else
   does harm. */
#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#include "peer/codec.h"

static bool same(const msgpack_sbuffer *b, CodecMsg *m) {
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
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_LEDGER);
  cr_assert_eq(memcmp(&m.ledger, &l, sizeof l), 0);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, loads_and_heartbeats_round_trip) {
  LoadsMsg l = {.target = UINT64_MAX, .running = 7, .waiting = 300};
  Member beat = {.id = "n.1", .region = "r", .table = 9, .every_s = 187.5};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_load(&b, &l);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_LOAD);
  cr_assert_eq(memcmp(&m.load, &l, sizeof l), 0);
  msgpack_sbuffer_clear(&b);
  codec_put_beat(&b, &beat);
  cr_assert(same(&b, &m));
  cr_assert_eq(memcmp(&m.beat, &beat, sizeof beat), 0);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, news_of_members_round_trip) {
  GossipNews n = {
      .m = {.id = "n.1", .region = "r", .dc = "d", .peer = "tcp://a"},
      .life = 7,
      .state = GOSSIP_SUSPECT};
  GossipMsg g = {.kind = GOSSIP_ALL,
                 .about = UINT64_MAX,
                 .digest = 3,
                 .table = 9,
                 .answer = true};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_news(&b, &n);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_NEWS);
  cr_assert_eq(memcmp(&m.news, &n, sizeof n), 0);
  msgpack_sbuffer_clear(&b);
  codec_put_gossip(&b, &g);
  cr_assert(same(&b, &m));
  cr_assert(m.gossip.kind == g.kind && m.gossip.about == g.about);
  cr_assert(m.gossip.digest == 3 && m.gossip.table == 9 && m.gossip.answer);
  msgpack_sbuffer_clear(&b);
  n.m.peer[0] = '\0';
  codec_put_news(&b, &n);
  cr_assert_not(same(&b, &m), "a member without an address is no member");
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_record_message_keeps_bill_and_answer) {
  OnceMsg o = {.kind = ONCE_FINISH, .key = {1, 2}, .nonce = 3, .doubled = true};
  g_strlcpy(o.bill.customer, "c", sizeof o.bill.customer);
  o.bill.tokens = 77;
  o.answer = (OnceAnswer){
      .status = 201, .type = "a/b", .body = (char *)"x\0y", .len = 3};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_once(&b, &o);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.once.bill.tokens, 77);
  cr_assert_eq(m.once.answer.len, 3);
  cr_assert_eq(memcmp(m.once.answer.body, "x\0y", 3), 0);
  cr_assert(m.once.doubled);
  once_message_clear(&m.once);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, work_at_a_target_round_trips) {
  TargetWork w = {.target = UINT64_MAX, .open = 9, .tokens = 1LL << 40};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_work(&b, &w);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_WORK);
  cr_assert(m.work.target == w.target && m.work.open == 9);
  cr_assert_eq(m.work.tokens, w.tokens);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, what_is_said_of_a_suspect_round_trips) {
  msgpack_sbuffer b;
  CodecMsg m;
  CodecSuspect in = {.until = "a/n3.1",
                     .msg = {.kind = SUSPECTS_NAMED,
                             .digest = {.hi = UINT64_MAX, .lo = 7},
                             .owner = 1ULL << 63,
                             .target = 9,
                             .age_s = 2.25}};
  msgpack_sbuffer_init(&b);
  codec_put_suspect(&b, &in);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_SUSPECT);
  cr_assert_str_eq(m.suspect.until, in.until);
  cr_assert_eq(m.suspect.msg.kind, in.msg.kind);
  cr_assert(digest_equal(m.suspect.msg.digest, in.msg.digest));
  cr_assert(m.suspect.msg.owner == in.msg.owner);
  cr_assert(m.suspect.msg.target == in.msg.target);
  cr_assert_float_eq(m.suspect.msg.age_s, in.msg.age_s, 0.001);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, what_was_seen_of_a_pool_round_trips) {
  TargetsPoolWord w = {
      .pool = 7,
      .word = {
          .long_read = 1e9, .short_read = 5, .streams = 12.25, .held = 0.5}};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_pool(&b, &w);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_POOL);
  cr_assert_eq(m.pool.pool, 7);
  cr_assert(m.pool.word.long_read == 1e9 && m.pool.word.short_read == 5);
  cr_assert(m.pool.word.streams == 12.25 && m.pool.word.held == 0.5);
  msgpack_sbuffer_clear(&b);
  w.word.held = -1;
  codec_put_pool(&b, &w);
  cr_assert_not(same(&b, &m), "a count is never below 0");
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_count_of_work_round_trips) {
  msgpack_sbuffer b;
  TallyWord w = {.number = 1,
                 .target = UINT64_MAX,
                 .open = 5,
                 .starts = 9,
                 .tokens = 70000,
                 .known = 2,
                 .ripe = 1};
  CodecMsg m;
  size_t off = 0;
  msgpack_sbuffer_init(&b);
  codec_put_tally_word(&b, &w);
  cr_assert(codec_get(b.data, b.size, &off, &m));
  cr_assert_eq(m.type, CODEC_TALLY_WORD);
  cr_assert(m.tally_word.target == w.target && m.tally_word.open == 5);
  cr_assert(m.tally_word.starts == 9 && m.tally_word.tokens == 70000);
  cr_assert(m.tally_word.known == 2 && m.tally_word.ripe == 1);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, parts_of_prompts_round_trip) {
  TargetParts w = {.target = 7, .n = 2, .names = {UINT64_MAX, 3}};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_parts(&b, &w);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_PARTS);
  cr_assert(m.parts.target == 7 && m.parts.n == 2);
  cr_assert(m.parts.names[0] == UINT64_MAX && m.parts.names[1] == 3);
  msgpack_sbuffer_clear(&b);
  w.n = REQUEST_MAX_PARTS;
  codec_put_parts(&b, &w);
  cr_assert(same(&b, &m));
  msgpack_sbuffer_destroy(&b);
}

Test(codec, what_was_read_round_trips) {
  CodecFeed f = {.reader = 77,
                 .until = "dc/n.1",
                 .word = READERS_REFUSED,
                 .kind = 1,
                 .from = 5,
                 .at = UINT64_MAX,
                 .lapsed = true};
  msgpack_sbuffer b;
  CodecMsg m;
  msgpack_sbuffer_init(&b);
  codec_put_feed(&b, &f);
  cr_assert(same(&b, &m));
  cr_assert_null(packed_text(&m.feed.changes), "no change");
  msgpack_sbuffer_clear(&b);
  f.changes = packed_new("[{\"gone\":true}]");
  codec_put_feed(&b, &f);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.type, CODEC_FEED);
  cr_assert(m.feed.kind == 1 && m.feed.from == 5 && m.feed.lapsed);
  cr_assert_eq(m.feed.at, UINT64_MAX);
  cr_assert(m.feed.reader == 77 && m.feed.word == READERS_REFUSED);
  cr_assert_str_eq(m.feed.until, "dc/n.1");
  char *text = packed_text(&m.feed.changes);
  cr_assert_str_eq(text, "[{\"gone\":true}]");
  g_free(text);
  packed_free(&f.changes);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}

/* A configuration as operators with many routes have it: `n` alike but for
   their names and paths. */
static char *many_routes(int n) {
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

/* It has to find room on a link between instances, 256 kB in 1.5 s beside all
   else, and in what a reader tells, 64 kB. */
Test(codec, a_large_configuration_travels_in_a_tenth_of_its_size) {
  char *text = many_routes(1640);
  Packed p = packed_new(text);
  msgpack_sbuffer b;
  CodecMsg m;
  cr_assert_gt(p.size, 200000);
  cr_assert_lt(p.n, p.size / 10, "%u of %u", p.n, p.size);
  msgpack_sbuffer_init(&b);
  codec_put_conf(&b, 7, &p);
  cr_assert(same(&b, &m));
  cr_assert_eq(m.conf.version, 7);
  char *got = packed_text(&m.conf.text);
  cr_assert_str_eq(got, text);
  g_free(got);
  g_free(text);
  packed_free(&p);
  codec_clear(&m);
  msgpack_sbuffer_destroy(&b);
}

Test(codec, a_damaged_text_is_none) {
  char *text = many_routes(100);
  Packed p = packed_new(text);
  p.data[p.n / 2] ^= 0x55;
  p.data[p.n / 2 + 1] ^= 0x55;
  cr_assert_null(packed_text(&p));
  packed_free(&p);
  p = packed_new(text);
  p.size += 1;
  cr_assert_null(packed_text(&p), "of another length");
  p.size = UINT32_MAX;
  cr_assert_null(packed_text(&p), "longer than any");
  packed_free(&p);
  g_free(text);
}

/* What is handed on from instance to instance is read and written at each. */
Test(codec, figures_in_thousandths_do_not_shrink_on_their_way) {
  for (int64_t ms = 0; ms < 5000; ms++) {
    CodecSuspect s = {.msg = {.age_s = (double)ms / 1000}};
    for (int hop = 0; hop < 3; hop++) {
      msgpack_sbuffer b;
      CodecMsg m;
      msgpack_sbuffer_init(&b);
      codec_put_suspect(&b, &s);
      cr_assert(same(&b, &m));
      s = m.suspect;
      msgpack_sbuffer_destroy(&b);
    }
    cr_assert_eq(s.msg.age_s, (double)ms / 1000, "%d ms", (int)ms);
  }
}

Test(codec, words_on_bounded_targets_round_trip) {
  static const double limits[] = {0, 0.29, 1.7, 100, QUOTA_UNLIMITED};
  for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
    TallyPermitAsk ask = {.number = 1,
                          .target = UINT64_MAX,
                          .counter = 3,
                          .run = 4,
                          .bounds = {14.9, limits[i], true},
                          .reach = 0.5};
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
    codec_put_permit_ask(&b, &ask);
    codec_put_permit(&b, &permit);
    codec_put_limit(&b, &limit);
    cr_assert(codec_get(b.data, b.size, &off, &m));
    cr_assert(m.permit_ask.number == 1 && m.permit_ask.target == UINT64_MAX);
    cr_assert(m.permit_ask.counter == 3 && m.permit_ask.run == 4);
    cr_assert_float_eq(m.permit_ask.bounds.cold, 14.9, 1e-9);
    cr_assert(m.permit_ask.bounds.limit == limits[i]);
    cr_assert(m.permit_ask.bounds.beyond_limit && m.permit_ask.reach == 0.5);
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

/* An instance of an older build hears a newer one's words in one frame with
   those that it knows: what stands behind them in the frame is not lost. */
Test(codec, a_message_of_an_unknown_type_is_passed_over) {
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

/* Seeded damage: cut short, bytes changed, noise. */
Test(codec, damaged_frames_are_refused_or_read_as_something_valid) {
  GRand *r = g_rand_new_with_seed(1);
  Member beat = {.id = "n.1", .region = "r", .peer = "tcp://1.2.3.4:5"};
  LedgerMsg l = {.kind = LEDGER_DRAW, .grant = 5};
  LoadsMsg load = {.target = 5, .running = 70000, .waiting = 1};
  OnceMsg o = {.kind = ONCE_FINISH,
               .answer = {.status = 200, .body = (char *)"body", .len = 4}};
  for (int i = 0; i < 30000; i++) {
    msgpack_sbuffer b;
    msgpack_sbuffer_init(&b);
    CodecHead h = {1, 2}, got;
    codec_put_head(&b, &h);
    if (i % 4 == 0) codec_put_beat(&b, &beat);
    if (i % 4 == 1) codec_put_ledger(&b, &l);
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
        if (m.type == CODEC_LEDGER) cr_assert_lt(m.ledger.kind, LEDGER_KINDS);
        if (m.type == CODEC_ONCE) cr_assert_lt(m.once.kind, ONCE_KINDS);
        once_message_clear(&m.once);
      }
    }
    msgpack_sbuffer_destroy(&b);
  }
  g_rand_free(r);
}
