/* fuzz_codec.c: frames of any bytes do no harm, and what is read as a message
   is one that our own encoder may have written: written again and read, it is
   the same. Built by fuzz.sh. */
#include <stdlib.h>
#include <string.h>

#include "peer/codec.h"

static void write_again(msgpack_sbuffer *b, const CodecMsg *m) {
  switch (m->type) {
  case CODEC_BEAT: codec_put_beat(b, &m->beat); break;
  case CODEC_LEDGER: codec_put_ledger(b, &m->ledger); break;
  case CODEC_ONCE: codec_put_once(b, &m->once); break;
  case CODEC_LOAD: codec_put_load(b, &m->load); break;
  case CODEC_CONF: codec_put_conf(b, m->conf.version, &m->conf.text); break;
  case CODEC_FEED: codec_put_feed(b, &m->feed); break;
  case CODEC_WORK: codec_put_work(b, &m->work); break;
  case CODEC_POOL: codec_put_pool(b, &m->pool); break;
  case CODEC_PARTS: codec_put_parts(b, &m->parts); break;
  case CODEC_NEWS: codec_put_news(b, &m->news); break;
  case CODEC_GOSSIP: codec_put_gossip(b, &m->gossip); break;
  case CODEC_TALLY_ASK: codec_put_tally_ask(b, &m->tally_ask); break;
  case CODEC_TALLY_WORD: codec_put_tally_word(b, &m->tally_word); break;
  case CODEC_TALLY_RUN: codec_put_tally_run(b, &m->tally_run); break;
  case CODEC_SUSPECT: codec_put_suspect(b, &m->suspect); break;
  case CODEC_PERMIT_ASK: codec_put_permit_ask(b, &m->permit_ask); break;
  case CODEC_PERMIT: codec_put_permit(b, &m->permit); break;
  case CODEC_LIMIT: codec_put_limit(b, &m->limit); break;
  case CODEC_TYPES: break;
  }
}

/* What was written of a message, read and written once more, has the same
   bytes. */
static void check(const CodecMsg *m) {
  msgpack_sbuffer once, twice;
  CodecMsg again;
  size_t off = 0;
  if (m->type == CODEC_TYPES) return;
  msgpack_sbuffer_init(&once);
  msgpack_sbuffer_init(&twice);
  write_again(&once, m);
  if (!codec_get(once.data, once.size, &off, &again)) abort();
  if (again.type != m->type || off != once.size) abort();
  write_again(&twice, &again);
  if (once.size != twice.size) abort();
  if (memcmp(once.data, twice.data, once.size) != 0) abort();
  codec_clear(&again);
  msgpack_sbuffer_destroy(&once);
  msgpack_sbuffer_destroy(&twice);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len) {
  const char *text = (const char *)data;
  size_t off = 0;
  CodecMsg m;
  while (off < len && codec_get(text, len, &off, &m)) {
    check(&m);
    codec_clear(&m);
  }
  return 0;
}
