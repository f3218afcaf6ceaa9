/* codec_again.h: writes a message that was read, of any kind; for tests. */
#ifndef TESTS_CODEC_AGAIN_H
#define TESTS_CODEC_AGAIN_H

#include "peer/codec.h"

static inline void codec_again(msgpack_sbuffer *b, const CodecMsg *m) {
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
  case CODEC_TALLY_WORD: codec_put_tally_word(b, &m->tally_report); break;
  case CODEC_TALLY_RUN: codec_put_tally_run(b, &m->tally_run); break;
  case CODEC_SUSPECT: codec_put_suspect(b, &m->suspect); break;
  case CODEC_PERMIT_ASK: codec_put_permit_ask(b, &m->permit_ask); break;
  case CODEC_PERMIT: codec_put_permit(b, &m->permit); break;
  case CODEC_LIMIT: codec_put_limit(b, &m->limit); break;
  case CODEC_TYPES: break;
  }
}

#endif
