/* feed.h: follows the operators' configuration, the list of targets, the
   evacuations and the trials of requests in the platform's store: one listing
   of each, then watches. The platform's adapter implements it. */
#ifndef NODE_FEED_H
#define NODE_FEED_H

#include "conf/conf.h"
#include "member/readers.h"
#include "peer/codec.h"
#include "store/objects.h"
#include "route/roster.h"
#include "route/targets.h"

#define FEED_TRIALS_KIND "trials" /* of our own, in the platform's store */

typedef struct Feed Feed;

typedef struct FeedEvents {
  /* A configuration as it was read; it may be an old one. */
  void (*conf)(void *ctx, Conf *c);
  /* False: nothing of it was new. */
  bool (*target)(void *ctx, const TargetInfo *t);
  /* `lapsed`: the store was away just before. */
  void (*gone)(void *ctx, const char *id, bool lapsed);
  /* The whole list was read; `ids` is the set of those in it. */
  void (*listed)(void *ctx, GHashTable *ids, bool lapsed);
  /* The targets of a data centre are to get nothing, or may again. */
  void (*evacuation)(void *ctx, const char *dc, bool on, uint64_t revision);
  /* All evacuations were read; `dcs` is the set of data centres. */
  void (*evacuations)(void *ctx, GHashTable *dcs);
  /* The trial of a request (trials.h); `content` NULL: it was taken away. */
  void (*trial)(void *ctx, const char *name, const json_t *content,
                uint64_t revision);
  /* All trials were read; `names` is the set of them. */
  void (*trials)(void *ctx, GHashTable *names);
  /* What this instance has to read. */
  ReadersDuty (*duty)(void *ctx);
  /* What it read, for the others. */
  void (*tell)(void *ctx, const CodecFeed *m);
  /* The other instances are known, and with them what we have to read. */
  bool (*settled)(void *ctx);
  /* A word for one neighbour alone. */
  void (*tell_one)(void *ctx, const char *id, const CodecFeed *m);
  /* The next part of the list of targets, and whether another follows; to be
     freed with free. */
  char *(*part)(void *ctx, RosterCursor *at, bool *more);
  /* How the store met a call of it. */
  void (*met)(void *ctx, ReadersStoreResult word);
  /* readers_knocks and readers_asks. */
  bool (*knocks)(void *ctx);
  bool (*asks)(void *ctx);
} FeedEvents;

Feed *feed_open(struct ev_loop *loop, Store *store, const FeedEvents *ev,
                void *ctx);
void feed_close(Feed *f);
/* Another instance tells what it read, by way of `from`, or this neighbour asks
   or answers for the list of targets. */
void feed_told(Feed *f, const char *from, const CodecFeed *m);
/* This instance stood still: the store is asked for all that it missed. */
void feed_stood_still(Feed *f);
/* The store has answered for all kinds since then. */
bool feed_knows_since(const Feed *f, double since);
/* The configuration from its text, as Conf.text has it. */
Conf *feed_parse(const char *text, Err *e);
/* In a large fleet: those that read for all say that the store does not answer
   them, or we are one of them and it does not answer us. */
bool feed_away(const Feed *f);
/* All kinds were read, and the last word of the store is this old (s). */
bool feed_complete(const Feed *f);
double feed_age(const Feed *f);

#endif
