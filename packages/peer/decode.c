/* decode.c: validated decoding of messages between instances. A message with
   any wrong type or length is rejected. */
#include <glib.h>
#include <string.h>

#include "peer/codec.h"
#include "peer/format.h"

#define MAX_REQUESTS 1000000 /* requests at one target */
#define CUTOFF_LIMIT (ALLOCATION_PRIORITY_LIMIT * 1000) /* in thousandths */
#define HEARTBEAT_INTERVAL_MAX_MS (24 * 3600 * 1000)

typedef struct Reader {
  const msgpack_object *at;
  uint32_t left;
  bool damaged;
} Reader;

static const msgpack_object *next_value(Reader *r) {
  if (r->left == 0) {
    r->damaged = true;
    return NULL;
  }
  r->left--;
  return r->at++;
}

static uint64_t get_u64(Reader *r) {
  const msgpack_object *o = next_value(r);
  if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return o->via.u64;
  r->damaged = true;
  return 0;
}

static int64_t get_i64(Reader *r) {
  const msgpack_object *o = next_value(r);
  if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) return o->via.i64;
  if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
      o->via.u64 <= INT64_MAX)
    return (int64_t)o->via.u64;
  r->damaged = true;
  return 0;
}

static int get_small(Reader *r, int limit) {
  uint64_t n = get_u64(r);
  if (n < (uint64_t)limit) return (int)n;
  r->damaged = true;
  return 0;
}

static void get_str(Reader *r, char *out, size_t size) {
  const msgpack_object *o = next_value(r);
  out[0] = '\0';
  if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
    r->damaged = true;
    return;
  }
  if (o->via.str.size > 0) memcpy(out, o->via.str.ptr, o->via.str.size);
  out[o->via.str.size] = '\0';
}

/* A message type of a newer build is skipped; the rest of the frame is read. */
static CodecType get_type(Reader *r) {
  uint64_t n = get_u64(r);
  return n < CODEC_TYPES ? (CodecType)n : CODEC_TYPES;
}

static void get_heartbeat(Reader *r, Member *m) {
  get_str(r, m->id, sizeof m->id);
  get_str(r, m->region, sizeof m->region);
  get_str(r, m->dc, sizeof m->dc);
  get_str(r, m->peer, sizeof m->peer);
  get_str(r, m->http, sizeof m->http);
  m->leaving = get_small(r, 2);
  m->table = get_u64(r);
  m->heartbeat_interval_s = get_small(r, HEARTBEAT_INTERVAL_MAX_MS) / 1000.0;
}

static void get_member_update(Reader *r, GossipUpdate *n) {
  get_str(r, n->m.id, sizeof n->m.id);
  get_str(r, n->m.region, sizeof n->m.region);
  get_str(r, n->m.dc, sizeof n->m.dc);
  get_str(r, n->m.peer, sizeof n->m.peer);
  n->m.leaving = get_small(r, 2);
  n->generation = (uint32_t)get_small(r, INT32_MAX);
  n->state = (GossipState)get_small(r, GOSSIP_STATES);
  r->damaged |= n->m.id[0] == '\0' || n->m.peer[0] == '\0';
}

static void get_gossip(Reader *r, GossipMsg *m) {
  m->kind = (GossipKind)get_small(r, GOSSIP_KINDS);
  m->subject = get_u64(r);
  m->digest = get_u64(r);
  m->table = get_u64(r);
  m->is_reply = get_small(r, 2);
}

static void get_ledger(Reader *r, LedgerMsg *m) {
  m->kind = (LedgerKind)get_small(r, LEDGER_FIRST_NEW_KIND);
  get_str(r, m->budget, sizeof m->budget);
  m->grant = get_u64(r);
  m->granted = get_i64(r);
  m->returned = get_i64(r);
  m->spent = get_i64(r);
  m->limit = get_i64(r);
  m->need = get_i64(r);
  bool has_clock = m->kind == LEDGER_RAISE || m->kind == LEDGER_RAISE_ACK;
  int64_t *last = has_clock ? &m->clock_ms : &m->want;
  *last = get_i64(r);
  m->cause = (ErrKind)get_small(r, ERR_COUNT);
  int flags = get_small(r, 4);
  m->final = flags & 1;
  m->sealed = flags & 2;
}

static int64_t get_tokens(Reader *r) {
  int64_t n = get_i64(r);
  r->damaged |= n < 0 || n > FORMAT_COUNT_MAX;
  return n;
}

static void get_reserve(Reader *r, LedgerMsg *m) {
  m->kind =
      (LedgerKind)(LEDGER_FIRST_NEW_KIND +
                   get_small(r, LEDGER_KIND_COUNT - LEDGER_FIRST_NEW_KIND));
  get_str(r, m->budget, sizeof m->budget);
  m->priority = get_small(r, LEDGER_PRIORITIES + 1);
  m->retry_ms = get_small(r, LEDGER_MAX_RETRY_MS + 1);
  for (int i = 0; i < LEDGER_PRIORITIES; i++) m->waiting[i] = get_tokens(r);
  for (int i = 0; i < LEDGER_PRIORITIES; i++)
    m->tokens_per_s[i] = get_tokens(r);
}

static void get_load(Reader *r, LoadsMsg *m) {
  m->target = get_u64(r);
  m->running = get_small(r, MAX_REQUESTS);
  m->waiting = get_small(r, MAX_REQUESTS);
  m->unresponsive = get_small(r, 2);
}

static Packed get_packed(Reader *r) {
  Packed p = {.text_bytes = (uint32_t)get_u64(r)};
  const msgpack_object *o = next_value(r);
  r->damaged |= !o || o->type != MSGPACK_OBJECT_BIN;
  if (r->damaged || o->via.bin.size == 0) return (Packed){0};
  p.data_bytes = o->via.bin.size;
  p.data = g_memdup2(o->via.bin.ptr, p.data_bytes);
  return p;
}

static void get_config(Reader *r, CodecConfig *m) {
  m->version = get_u64(r);
  m->text = get_packed(r);
}

/* A count, which is damaged when below 0 or too large. */
static double get_count(Reader *r) {
  int64_t n = get_i64(r);
  r->damaged |= n < 0 || n > FORMAT_COUNT_MAX;
  return (double)n;
}

static void get_pool(Reader *r, TargetsPoolReport *m) {
  m->pool = get_u64(r);
  m->report.long_tokens = get_count(r);
  m->report.short_tokens = get_count(r);
  m->report.streams = get_count(r) / FORMAT_FRACTION_SCALE;
  m->report.stalled = get_count(r) / FORMAT_FRACTION_SCALE;
}

static void get_parts(Reader *r, TargetParts *m) {
  m->target = get_u64(r);
  m->n = get_small(r, REQUEST_MAX_PARTS + 1);
  for (int i = 0; i < m->n; i++) m->names[i] = get_u64(r);
}

static void get_work(Reader *r, TargetWork *m) {
  m->target = get_u64(r);
  m->open = get_small(r, MAX_REQUESTS);
  m->tokens = get_i64(r);
}

static void get_tally_parts(Reader *r, TallyParts *m) {
  m->n = get_small(r, TALLY_MAX_PARTS + 1);
  for (int i = 0; i < m->n; i++) m->names[i] = get_u64(r);
}

static void get_tally_query(Reader *r, TallyQuery *m) {
  m->number = get_u64(r);
  m->target = get_u64(r);
  get_tally_parts(r, &m->parts);
}

static void get_tally_report(Reader *r, TallyReport *m) {
  m->number = get_u64(r);
  m->target = get_u64(r);
  m->open = get_small(r, MAX_REQUESTS);
  m->starts = get_small(r, MAX_REQUESTS);
  m->tokens = get_i64(r);
  m->known_parts = get_small(r, TALLY_MAX_PARTS + 1);
  m->finished_parts = get_small(r, TALLY_MAX_PARTS + 1);
  r->damaged |= m->tokens < 0;
}

static void get_tally_run(Reader *r, TallyRun *m) {
  m->target = get_u64(r);
  m->run = get_u64(r);
  m->open = get_small(r, 2);
  m->tokens = get_i64(r);
  get_tally_parts(r, &m->parts);
  r->damaged |= m->tokens < 0;
}

static void get_feed(Reader *r, CodecFeed *m) {
  m->reader = get_u64(r);
  get_str(r, m->until, sizeof m->until);
  m->store_result = (ReadersStoreResult)get_small(r, READERS_STORE_RESULTS);
  m->kind = get_small(r, CODEC_FEED_KINDS);
  m->from = get_u64(r);
  m->revision = get_u64(r);
  m->lapsed = get_small(r, 2);
  m->changes = get_packed(r);
}

static void get_suspect(Reader *r, CodecSuspect *m) {
  get_str(r, m->until, sizeof m->until);
  m->msg.kind = (SuspectsKind)get_small(r, SUSPECTS_KINDS);
  m->msg.digest.hi = get_u64(r);
  m->msg.digest.lo = get_u64(r);
  m->msg.owner = get_u64(r);
  m->msg.target = get_u64(r);
  m->msg.first_mark_age_s = get_count(r) / FORMAT_FRACTION_SCALE;
}

static void get_origin(Reader *r, OriginsMsg *m) {
  m->kind = (OriginsKind)get_small(r, ORIGINS_KINDS);
  m->number = get_u64(r);
  m->key = get_u64(r);
  m->service = get_u64(r);
  m->version = get_u64(r);
}

static double get_limit(Reader *r) {
  if (r->left > 0 && r->at->type == MSGPACK_OBJECT_NIL) {
    next_value(r);
    return QUOTA_UNLIMITED;
  }
  return get_count(r) / FORMAT_FRACTION_SCALE;
}

static void get_permit_request(Reader *r, TallyPermitRequest *m) {
  m->number = get_u64(r);
  m->target = get_u64(r);
  m->counter = get_u64(r);
  m->run = get_u64(r);
  m->bounds.cold_per_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->bounds.limit = get_limit(r);
  m->bounds.over_limit = get_small(r, 2);
  m->reachable_share = get_count(r) / FORMAT_FRACTION_SCALE;
  r->damaged |= m->reachable_share > 1;
}

static void get_permit(Reader *r, TallyPermit *m) {
  m->number = get_u64(r);
  m->target = get_u64(r);
  m->verdict = (TallyVerdict)get_small(r, TALLY_VERDICTS);
  m->wait_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->limit = get_limit(r);
}

static void get_limit_report(Reader *r, CodecLimit *m) {
  m->to_all = get_small(r, 2);
  get_str(r, m->until, sizeof m->until);
  m->msg.target = get_u64(r);
  m->msg.counter = get_u64(r);
  m->msg.limit = get_limit(r);
}

static void get_rate(Reader *r, TallyRate *m) {
  m->number = get_u64(r);
  m->target = get_u64(r);
  m->rate.token_s = get_count(r) / FORMAT_TOKEN_SCALE;
  m->rate.slot_s = get_count(r) / FORMAT_SLOT_SCALE;
  m->rate.age_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->rate.tokens = get_count(r);
}

/* == shares of customers == */

/* Numbers in a field of bytes. */
typedef struct Numbers {
  const char *data;
  size_t size, at;
  bool damaged;
} Numbers;

static Numbers get_numbers(Reader *r) {
  const msgpack_object *o = next_value(r);
  if (o && o->type == MSGPACK_OBJECT_BIN)
    return (Numbers){.data = o->via.bin.ptr, .size = o->via.bin.size};
  r->damaged = true;
  return (Numbers){0};
}

static bool has_number(const Numbers *n) {
  return !n->damaged && n->at < n->size;
}

/* Returns the next number, which is below `limit`. */
static uint64_t next_number(Numbers *n, uint64_t limit) {
  msgpack_unpacked u;
  uint64_t value = 0;
  /* Only unsigned integers: the library would allocate for other types. */
  unsigned char c = has_number(n) ? (unsigned char)n->data[n->at] : 0xc1;
  if (c > 0x7f && (c < 0xcc || c > 0xcf)) {
    n->damaged = true;
    return 0;
  }
  msgpack_unpacked_init(&u);
  n->damaged = msgpack_unpack_next(&u, n->data, n->size, &n->at) !=
               MSGPACK_UNPACK_SUCCESS;
  if (!n->damaged) value = u.data.via.u64;
  msgpack_unpacked_destroy(&u);
  n->damaged |= value > limit;
  return n->damaged ? 0 : value;
}

static void get_demand_rows(Reader *r, AllocationDemand *m) {
  Numbers n = get_numbers(r);
  while (has_number(&n) && m->n < ALLOCATION_MAX_ROWS) {
    AllocationRow *row = &m->rows[m->n++];
    row->customer = next_number(&n, UINT64_MAX);
    row->priority = (int)next_number(&n, ALLOCATION_PRIORITY_LIMIT - 1);
    row->asked = (double)next_number(&n, FORMAT_COUNT_MAX);
    row->admitted = (double)next_number(&n, FORMAT_COUNT_MAX);
  }
  r->damaged |= n.damaged || n.at < n.size;
}

static AllocationDemand *get_demand(Reader *r) {
  AllocationDemand *m = g_new0(AllocationDemand, 1);
  m->service = get_u64(r);
  m->number = get_u64(r);
  m->period_s = get_count(r) / FORMAT_FRACTION_SCALE;
  get_demand_rows(r, m);
  m->rest_asked = get_count(r);
  m->rest_admitted = get_count(r);
  m->rejected = get_count(r);
  m->promised = get_count(r);
  m->targets = get_small(r, INT32_MAX);
  m->reading_per_s = get_count(r);
  m->wait_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->read_per_s = get_count(r);
  return m;
}

static void get_cutoffs(Reader *r, AllocationAnswer *m) {
  Numbers n = get_numbers(r);
  while (has_number(&n) && m->n < ALLOCATION_MAX_CUTOFFS) {
    AllocationCutoff *row = &m->cutoffs[m->n++];
    row->customer = next_number(&n, UINT64_MAX);
    row->cutoff = (double)next_number(&n, CUTOFF_LIMIT) / FORMAT_FRACTION_SCALE;
  }
  r->damaged |= n.damaged || n.at < n.size;
}

static AllocationAnswer *get_allocation(Reader *r) {
  AllocationAnswer *m = g_new0(AllocationAnswer, 1);
  m->service = get_u64(r);
  m->number = get_u64(r);
  m->is_short = get_small(r, 2);
  m->age_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->retries_per_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->retries_in_s = get_count(r) / FORMAT_FRACTION_SCALE;
  m->report_s = get_count(r) / FORMAT_FRACTION_SCALE;
  get_cutoffs(r, m);
  return m;
}

static void get_answer(Reader *r, OnceAnswer *a) {
  a->status = (int)get_i64(r);
  get_str(r, a->type, sizeof a->type);
  const msgpack_object *o = next_value(r);
  if (!o || o->type != MSGPACK_OBJECT_BIN) return;
  a->len = o->via.bin.size;
  a->body = g_malloc(a->len + 1);
  if (a->len > 0) memcpy(a->body, o->via.bin.ptr, a->len);
  a->body[a->len] = '\0';
}

static void get_once(Reader *r, OnceMsg *m) {
  m->kind = (OnceMsgKind)get_small(r, ONCE_MSG_KIND_COUNT);
  m->key.hi = get_u64(r);
  m->key.lo = get_u64(r);
  m->nonce = get_u64(r);
  m->digest = get_u64(r);
  m->verdict = (OnceVerdict)get_small(r, ONCE_NO_CLAIM + 1);
  int flags = get_small(r, 16);
  m->duplicate = flags & 1;
  if (flags & 2) {
    get_str(r, m->bill.customer, sizeof m->bill.customer);
    get_str(r, m->bill.budget, sizeof m->bill.budget);
    m->bill.tokens = get_i64(r);
  }
  if (flags & 8) get_str(r, m->target, sizeof m->target);
  if (flags & 4) get_answer(r, &m->answer);
}

/* Size of the value at `p`, which has `left` bytes. Our messages have numbers,
   strings, bytes and nil, nothing nested; 0 for anything else. Without this
   check the library allocates as many elements as a damaged header claims. */
static size_t flat_size(const unsigned char *p, size_t left) {
  static const size_t numbers[] = {2, 3, 5, 9, 2, 3, 5, 9}; /* 0xcc to 0xd3 */
  unsigned char c = p[0];
  if (c <= 0x7f || c >= 0xe0 || c == 0xc0) return 1;
  if (c >= 0xa0 && c <= 0xbf) return 1 + (size_t)(c & 0x1f);
  if (c >= 0xcc && c <= 0xd3) return numbers[c - 0xcc];
  bool bytes = c >= 0xc4 && c <= 0xc6, text = c >= 0xd9 && c <= 0xdb;
  if (!bytes && !text) return 0;
  size_t width = (size_t)1 << (c - (bytes ? 0xc4 : 0xd9)), n = 0;
  if (left < 1 + width) return 0;
  for (size_t i = 0; i < width; i++) n = n << 8 | p[1 + i];
  return 1 + width + n;
}

static bool is_flat_array(const unsigned char *p, size_t left) {
  if (left == 0 || (p[0] & 0xf0) != 0x90) return false;
  size_t at = 1;
  for (int n = p[0] & 0x0f; n > 0; n--) {
    size_t size = at < left ? flat_size(p + at, left - at) : 0;
    if (size == 0 || size > left - at) return false;
    at += size;
  }
  return true;
}

static bool open_array(const char *data, size_t len, size_t *off,
                       msgpack_unpacked *u, Reader *r) {
  if (!is_flat_array((const unsigned char *)data + *off, len - *off))
    return false;
  msgpack_unpack_return rc = msgpack_unpack_next(u, data, len, off);
  if (rc != MSGPACK_UNPACK_SUCCESS) return false;
  if (u->data.type != MSGPACK_OBJECT_ARRAY) return false;
  *r = (Reader){.at = u->data.via.array.ptr, .left = u->data.via.array.size};
  return true;
}

bool codec_get_head(const char *data, size_t len, size_t *off, CodecHead *h) {
  msgpack_unpacked u;
  Reader r;
  msgpack_unpacked_init(&u);
  bool ok = open_array(data, len, off, &u, &r);
  if (ok) {
    ok = get_u64(&r) == FORMAT_VERSION;
    h->from = get_u64(&r);
    h->to = get_u64(&r);
    ok = ok && !r.damaged;
  }
  msgpack_unpacked_destroy(&u);
  return ok;
}

void codec_clear(CodecMsg *m) {
  once_message_clear(&m->once);
  packed_free(&m->config.text);
  packed_free(&m->feed.changes);
  g_free(m->demand);
  g_free(m->allocation);
  m->demand = NULL;
  m->allocation = NULL;
}

bool codec_get(const char *data, size_t len, size_t *off, CodecMsg *m) {
  msgpack_unpacked u;
  Reader r;
  memset(m, 0, sizeof *m);
  msgpack_unpacked_init(&u);
  bool ok = open_array(data, len, off, &u, &r);
  if (ok) {
    m->type = get_type(&r);
    switch (m->type) {
    case CODEC_HEARTBEAT: get_heartbeat(&r, &m->heartbeat); break;
    case CODEC_LEDGER: get_ledger(&r, &m->ledger); break;
    case CODEC_RESERVE: get_reserve(&r, &m->ledger); break;
    case CODEC_ONCE: get_once(&r, &m->once); break;
    case CODEC_LOAD: get_load(&r, &m->load); break;
    case CODEC_CONFIG: get_config(&r, &m->config); break;
    case CODEC_FEED: get_feed(&r, &m->feed); break;
    case CODEC_WORK: get_work(&r, &m->work); break;
    case CODEC_POOL: get_pool(&r, &m->pool); break;
    case CODEC_PARTS: get_parts(&r, &m->parts); break;
    case CODEC_MEMBER_UPDATE: get_member_update(&r, &m->member_update); break;
    case CODEC_GOSSIP: get_gossip(&r, &m->gossip); break;
    case CODEC_TALLY_QUERY: get_tally_query(&r, &m->tally_query); break;
    case CODEC_TALLY_REPORT: get_tally_report(&r, &m->tally_report); break;
    case CODEC_TALLY_RUN: get_tally_run(&r, &m->tally_run); break;
    case CODEC_SUSPECT: get_suspect(&r, &m->suspect); break;
    case CODEC_SUSPECT_PART:
      get_suspect(&r, &m->suspect);
      m->suspect.msg.is_part = true;
      break;
    case CODEC_PERMIT_REQUEST:
      get_permit_request(&r, &m->permit_request);
      break;
    case CODEC_PERMIT: get_permit(&r, &m->permit); break;
    case CODEC_LIMIT: get_limit_report(&r, &m->limit); break;
    case CODEC_RATE: get_rate(&r, &m->rate); break;
    case CODEC_ORIGIN: get_origin(&r, &m->origin); break;
    case CODEC_DEMAND: m->demand = get_demand(&r); break;
    case CODEC_ALLOCATION: m->allocation = get_allocation(&r); break;
    case CODEC_TYPES: break;
    }
    ok = !r.damaged;
    if (!ok) codec_clear(m);
  }
  msgpack_unpacked_destroy(&u);
  return ok;
}

/* == copies for the receiver == */

CodecFeed *codec_feed_copy(const CodecFeed *m) {
  CodecFeed *copy = g_memdup2(m, sizeof *m);
  copy->changes.data = g_memdup2(m->changes.data, m->changes.data_bytes);
  return copy;
}

void codec_feed_free(void *copy) {
  CodecFeed *m = copy;
  packed_free(&m->changes);
  g_free(m);
}
