/* test_golden.c: golden bytes of messages between instances, and golden texts
   of objects in the store, as builds in production write them. Two builds run
   side by side while instances are replaced, so that each has to read what the
   other writes. A format changes by a new message type or a new member, never
   in place. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "codec_again.h"
#include "stored_again.h"

/* == messages of this build == */

static void put_heartbeat(msgpack_sbuffer *b) {
  Member m = {.id = "n.1",
              .region = "r",
              .dc = "d",
              .peer = "tcp://1.2.3.4:5",
              .http = "1.2.3.4:6",
              .leaving = true,
              .table = 9,
              .heartbeat_interval_s = 0.5};
  codec_put_heartbeat(b, &m);
}

static void put_member_update(msgpack_sbuffer *b) {
  GossipUpdate n = {.m = {.id = "n.1",
                          .region = "r",
                          .dc = "d",
                          .peer = "tcp://1.2.3.4:5",
                          .leaving = true},
                    .generation = 3,
                    .state = (GossipState)1};
  codec_put_member_update(b, &n);
}

static void put_gossip(msgpack_sbuffer *b) {
  GossipMsg m = {.kind = (GossipKind)1,
                 .subject = 2,
                 .digest = UINT64_MAX,
                 .table = 3,
                 .is_reply = true};
  codec_put_gossip(b, &m);
}

static void put_ledger(msgpack_sbuffer *b) {
  LedgerMsg m = {.kind = LEDGER_REPORT,
                 .grant = UINT64_MAX,
                 .granted = 1000,
                 .returned = 1LL << 40,
                 .spent = 3,
                 .limit = 4,
                 .need = 5,
                 .want = 6,
                 .cause = ERR_BUDGET_HELD,
                 .final = true,
                 .sealed = true};
  g_strlcpy(m.budget, "acme", sizeof m.budget);
  codec_put_ledger(b, &m);
}

static void put_reserve(msgpack_sbuffer *b) {
  LedgerMsg m = {.kind = LEDGER_CUTOFF,
                 .priority = 1,
                 .retry_ms = 4000,
                 .waiting = {1, 2, 1LL << 40},
                 .tokens_per_s = {4, 5, 6}};
  g_strlcpy(m.budget, "acme", sizeof m.budget);
  codec_put_ledger(b, &m);
}

static void put_once(msgpack_sbuffer *b) {
  OnceMsg m = {.kind = ONCE_FINISH,
               .key = {1, 2},
               .nonce = 3,
               .digest = 4,
               .duplicate = true,
               .answer = {.status = 200, .body = (char *)"body", .len = 4}};
  g_strlcpy(m.bill.customer, "acme", sizeof m.bill.customer);
  g_strlcpy(m.bill.budget, "acme", sizeof m.bill.budget);
  m.bill.tokens = 77;
  g_strlcpy(m.answer.type, "text/plain", sizeof m.answer.type);
  codec_put_once(b, &m);
}

static void put_load(msgpack_sbuffer *b) {
  LoadsMsg m = {
      .target = 5, .running = 70000, .waiting = 1, .unresponsive = true};
  codec_put_load(b, &m);
}

static void put_config(msgpack_sbuffer *b) {
  Packed text = {.text_bytes = 10, .data_bytes = 3, .data = (void *)"abc"};
  codec_put_config(b, 7, &text);
}

static void put_feed(msgpack_sbuffer *b) {
  CodecFeed m = {
      .reader = 1,
      .until = "d n.1",
      .store_result = (ReadersStoreResult)1,
      .kind = 2,
      .from = 3,
      .revision = 4,
      .lapsed = true,
      .changes = {.text_bytes = 10, .data_bytes = 3, .data = (void *)"abc"}};
  codec_put_feed(b, &m);
}

static void put_work(msgpack_sbuffer *b) {
  TargetWork m = {.target = UINT64_MAX, .open = 3, .tokens = 17000};
  codec_put_work(b, &m);
}

static void put_pool(msgpack_sbuffer *b) {
  TargetsPoolReport m = {.pool = 1,
                         .report = {.long_tokens = 2,
                                    .short_tokens = 3,
                                    .streams = 4.5,
                                    .stalled = 0.25}};
  codec_put_pool(b, &m);
}

static void put_parts(msgpack_sbuffer *b) {
  TargetParts m = {.target = 1, .n = 2, .names = {2, UINT64_MAX}};
  codec_put_parts(b, &m);
}

static void put_tally_query(msgpack_sbuffer *b) {
  TallyQuery m = {.number = 1, .target = 2, .parts = {2, {3, 4}}};
  codec_put_tally_query(b, &m);
}

static void put_tally_report(msgpack_sbuffer *b) {
  TallyReport m = {.number = 1,
                   .target = 2,
                   .open = 3,
                   .starts = 4,
                   .tokens = 5,
                   .known_parts = 2,
                   .finished_parts = 1};
  codec_put_tally_report(b, &m);
}

static void put_tally_run(msgpack_sbuffer *b) {
  TallyRun m = {
      .target = 1, .run = 2, .open = true, .tokens = 3, .parts = {1, {4}}};
  codec_put_tally_run(b, &m);
}

static void put_suspect(msgpack_sbuffer *b) {
  CodecSuspect m = {.until = "d n.1",
                    .msg = {.kind = SUSPECTS_NAMED,
                            .digest = {1, 2},
                            .owner = 3,
                            .target = 4,
                            .first_mark_age_s = 1.5}};
  codec_put_suspect(b, &m);
}

static void put_suspect_part(msgpack_sbuffer *b) {
  CodecSuspect m = {.until = "d n.1",
                    .msg = {.kind = SUSPECTS_NAMED,
                            .is_part = true,
                            .digest = {1, 2},
                            .owner = 3,
                            .target = 4,
                            .first_mark_age_s = 1.5}};
  codec_put_suspect(b, &m);
}

static void put_origin(msgpack_sbuffer *b) {
  OriginsMsg m = {.kind = ORIGINS_KNOWN,
                  .number = 1,
                  .key = UINT64_MAX,
                  .service = 2,
                  .version = 3};
  codec_put_origin(b, &m);
}

static void put_permit_request(msgpack_sbuffer *b) {
  TallyPermitRequest m = {
      .number = 1,
      .target = 2,
      .counter = 3,
      .run = 4,
      .bounds = {.cold_per_s = 14.5, .limit = 1.7, .over_limit = true},
      .reachable_share = 0.5};
  codec_put_permit_request(b, &m);
}

static void put_permit(msgpack_sbuffer *b) {
  TallyPermit m = {.number = 1,
                   .target = 2,
                   .verdict = TALLY_UNKNOWN,
                   .wait_s = 0.25,
                   .limit = QUOTA_UNLIMITED};
  codec_put_permit(b, &m);
}

static void put_limit(msgpack_sbuffer *b) {
  CodecLimit m = {.to_all = true,
                  .until = "d n.1",
                  .msg = {.target = 1, .counter = 2, .limit = 0.7}};
  codec_put_limit(b, &m);
}

static void put_rate(msgpack_sbuffer *b) {
  TallyRate m = {.number = 1,
                 .target = 2,
                 .rate = {.token_s = 1 / 61800.0,
                          .slot_s = 0.25,
                          .age_s = 0.1,
                          .tokens = 5000}};
  codec_put_rate(b, &m);
}

static void put_demand(msgpack_sbuffer *b) {
  AllocationDemand m = {
      .service = 1,
      .number = 2,
      .period_s = 0.5,
      .n = 2,
      .rows = {{.customer = UINT64_MAX, .asked = 9000, .admitted = 800},
               {.customer = 3, .priority = 5, .asked = 1}},
      .rest_asked = 7,
      .rest_admitted = 6,
      .rejected = 5,
      .promised = 4,
      .targets = 3,
      .reading_per_s = 185400,
      .wait_s = 1.25,
      .read_per_s = 90000};
  codec_put_demand(b, &m);
}

static void put_allocation(msgpack_sbuffer *b) {
  AllocationAnswer m = {
      .service = 1,
      .number = 2,
      .is_short = true,
      .age_s = 0.2,
      .retries_per_s = 1.5,
      .retries_in_s = 1,
      .report_s = 3.5,
      .n = 2,
      .cutoffs = {{.customer = UINT64_MAX, .cutoff = 2.25}, {.customer = 3}}};
  codec_put_allocation(b, &m);
}

/* == messages of the builds in production == */

typedef struct Golden {
  const char *name, *hex;
  CodecType type;
  void (*put)(msgpack_sbuffer *b);
} Golden;

static const Golden messages[] = {
    {"beat",
     "9900a36e2e31a172a164af7463703a2f2f312e322e332e343a35a9312e32"
     "2e332e343a360109cd01f4",
     CODEC_HEARTBEAT, put_heartbeat},
    {"news", "9809a36e2e31a172a164af7463703a2f2f312e322e332e343a35010301",
     CODEC_MEMBER_UPDATE, put_member_update},
    {"gossip", "960a0102cfffffffffffffffff0301", CODEC_GOSSIP, put_gossip},
    {"ledger",
     "9c0102a461636d65cfffffffffffffffffcd03e8cf000001000000000003"
     "0405060a03",
     CODEC_LEDGER, put_ledger},
    {"once",
     "9e0202010203040007a461636d65a461636d654dccc8aa746578742f706c"
     "61696ec404626f6479",
     CODEC_ONCE, put_once},
    {"load", "950305ce000111700101", CODEC_LOAD, put_load},
    {"conf", "9404070ac403616263", CODEC_CONFIG, put_config},
    {"feed", "9a0501a564206e2e3101020304010ac403616263", CODEC_FEED, put_feed},
    {"work", "9406cfffffffffffffffff03cd4268", CODEC_WORK, put_work},
    {"pool", "9607010203cd1194ccfa", CODEC_POOL, put_pool},
    {"parts", "9508010202cfffffffffffffffff", CODEC_PARTS, put_parts},
    {"tally_ask", "960b0102020304", CODEC_TALLY_QUERY, put_tally_query},
    {"tally_word", "980c01020304050201", CODEC_TALLY_REPORT, put_tally_report},
    {"tally_run", "970d010201030104", CODEC_TALLY_RUN, put_tally_run},
    {"suspect", "980ea564206e2e310101020304cd05dc", CODEC_SUSPECT, put_suspect},
    {"suspect_part", "9817a564206e2e310101020304cd05dc", CODEC_SUSPECT_PART,
     put_suspect_part},
    {"origin", "96160501cfffffffffffffffff0203", CODEC_ORIGIN, put_origin},
    {"permit_ask", "990f01020304cd38a4cd06a401cd01f4", CODEC_PERMIT_REQUEST,
     put_permit_request},
    {"permit", "9610010202ccfac0", CODEC_PERMIT, put_permit},
    {"reserve", "9b1501a461636d6501cd0fa00102cf0000010000000000040506",
     CODEC_RESERVE, put_reserve},
    {"limit", "961101a564206e2e310102cd02bc", CODEC_LIMIT, put_limit},
    {"rate", "97120102cd3f35ce0003d09064cd1388", CODEC_RATE, put_rate},
    {"demand",
     "9d130102cd01f4c414cfffffffffffffffff00cd2328cd03200305010007"
     "06050403ce0002d438cd04e2ce00015f90",
     CODEC_DEMAND, put_demand},
    {"allocation",
     "9914010201ccc8cd05dccd03e8cd0dacc40ecfffffffffffffffffcd08ca0300",
     CODEC_ALLOCATION, put_allocation},
};

static GString *hex_of(const msgpack_sbuffer *b) {
  GString *s = g_string_new(NULL);
  for (size_t i = 0; i < b->size; i++)
    g_string_append_printf(s, "%02x", (unsigned char)b->data[i]);
  return s;
}

static void put_bytes_of(const char *hex, msgpack_sbuffer *b) {
  for (const char *c = hex; *c; c += 2) {
    char two[] = {c[0], c[1], '\0'};
    char byte = (char)strtoul(two, NULL, 16);
    msgpack_sbuffer_write(b, &byte, 1);
  }
}

#define REMEDY                                                                 \
  "builds in production read this: leave it, and add a kind of message or an " \
  "optional member, with a line of its own here"

Test(golden, each_kind_of_message_is_here) {
  bool seen[CODEC_TYPES] = {false};
  for (size_t i = 0; i < G_N_ELEMENTS(messages); i++)
    seen[messages[i].type] = true;
  for (int k = 0; k < CODEC_TYPES; k++)
    cr_assert(seen[k], "add the bytes of the kind of message %d", k);
}

Test(golden, messages_are_written_as_before) {
  for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
    msgpack_sbuffer b;
    msgpack_sbuffer_init(&b);
    messages[i].put(&b);
    GString *hex = hex_of(&b);
    cr_assert_str_eq(hex->str, messages[i].hex, "%s: %s", messages[i].name,
                     REMEDY);
    g_string_free(hex, TRUE);
    msgpack_sbuffer_destroy(&b);
  }
}

Test(golden, earlier_messages_are_read_whole) {
  for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
    msgpack_sbuffer b, again;
    CodecMsg m;
    size_t off = 0;
    msgpack_sbuffer_init(&b);
    msgpack_sbuffer_init(&again);
    put_bytes_of(messages[i].hex, &b);
    cr_assert(codec_get(b.data, b.size, &off, &m), "%s: %s", messages[i].name,
              REMEDY);
    cr_assert(m.type == messages[i].type && off == b.size);
    codec_encode_again(&again, &m);
    GString *hex = hex_of(&again);
    cr_assert_str_eq(hex->str, messages[i].hex, "%s: %s", messages[i].name,
                     REMEDY);
    g_string_free(hex, TRUE);
    codec_clear(&m);
    msgpack_sbuffer_destroy(&b);
    msgpack_sbuffer_destroy(&again);
  }
}

/* == objects in the store == */

static char *golden_text(const char *name) {
  char *path = g_strconcat(GOLDEN_DIR "/", name, ".json", NULL), *text = NULL;
  cr_assert(g_file_get_contents(path, &text, NULL, NULL), "no %s", path);
  g_free(path);
  return g_strchomp(text);
}

static void check_encodes_same(const StoredKind *k, const char *text,
                               const char *golden) {
  char *again = k->reencode(text);
  cr_assert_not_null(again, "%s: %s", k->name, REMEDY);
  cr_assert_str_eq(again, golden, "%s: %s", k->name, REMEDY);
  g_free(again);
}

Test(golden, earlier_objects_are_read_and_written_as_before) {
  for (size_t i = 0; i < G_N_ELEMENTS(stored_kinds); i++) {
    char *golden = golden_text(stored_kinds[i].name);
    check_encodes_same(&stored_kinds[i], golden, golden);
    g_free(golden);
  }
}

/* A newer build may write objects with a member that this one does not know. */
Test(golden, objects_with_new_members_are_read) {
  for (size_t i = 0; i < G_N_ELEMENTS(stored_kinds); i++) {
    char *golden = golden_text(stored_kinds[i].name);
    if (golden[0] == '{') {
      char *newer = g_strconcat("{\"new\":[1],", golden + 1, NULL);
      check_encodes_same(&stored_kinds[i], newer, golden);
      g_free(newer);
    }
    g_free(golden);
  }
}
