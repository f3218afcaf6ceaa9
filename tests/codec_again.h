/* codec_again.h: encodes a decoded message of any type again; for tests. */
#ifndef TESTS_CODEC_AGAIN_H
#define TESTS_CODEC_AGAIN_H

#include "peer/codec.h"

static inline void codec_encode_again(msgpack_sbuffer *b, const CodecMsg *m) {
  switch (m->type) {
  case CODEC_HEARTBEAT: codec_put_heartbeat(b, &m->heartbeat); break;
  case CODEC_RESERVE:
  case CODEC_LEDGER: codec_put_ledger(b, &m->ledger); break;
  case CODEC_ONCE: codec_put_once(b, &m->once); break;
  case CODEC_LOAD: codec_put_load(b, &m->load); break;
  case CODEC_CONFIG:
    codec_put_config(b, m->config.version, &m->config.text);
    break;
  case CODEC_FEED: codec_put_feed(b, &m->feed); break;
  case CODEC_WORK: codec_put_work(b, &m->work); break;
  case CODEC_POOL: codec_put_pool(b, &m->pool); break;
  case CODEC_PARTS: codec_put_parts(b, &m->parts); break;
  case CODEC_MEMBER_UPDATE:
    codec_put_member_update(b, &m->member_update);
    break;
  case CODEC_GOSSIP: codec_put_gossip(b, &m->gossip); break;
  case CODEC_TALLY_QUERY: codec_put_tally_query(b, &m->tally_query); break;
  case CODEC_TALLY_REPORT: codec_put_tally_report(b, &m->tally_report); break;
  case CODEC_TALLY_RUN: codec_put_tally_run(b, &m->tally_run); break;
  case CODEC_SUSPECT_PART:
  case CODEC_SUSPECT: codec_put_suspect(b, &m->suspect); break;
  case CODEC_PERMIT_REQUEST:
    codec_put_permit_request(b, &m->permit_request);
    break;
  case CODEC_PERMIT: codec_put_permit(b, &m->permit); break;
  case CODEC_LIMIT: codec_put_limit(b, &m->limit); break;
  case CODEC_RATE: codec_put_rate(b, &m->rate); break;
  case CODEC_DEMAND: codec_put_demand(b, m->demand); break;
  case CODEC_ALLOCATION: codec_put_allocation(b, m->allocation); break;
  case CODEC_ORIGIN: codec_put_origin(b, &m->origin); break;
  case CODEC_TYPES: break;
  }
}

#endif
