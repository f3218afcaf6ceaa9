/* feed.h: follows four kinds of objects in the platform's store: the operators'
   configuration, the list of targets, the evacuations (data centres whose
   targets must get no requests) and the trials of suspect requests. Each kind
   is listed once and then watched. The platform's adapter implements it. */
#ifndef NODE_FEED_H
#define NODE_FEED_H

#include "conf/conf.h"
#include "member/readers.h"
#include "peer/codec.h"
#include "store/objects.h"
#include "route/roster.h"
#include "route/targets.h"

#define FEED_TRIALS_KIND "trials" /* written by the router */

typedef struct Feed Feed;

typedef struct FeedEvents {
  /* A configuration was read; it may be older than the one in force. */
  void (*conf_read)(void *ctx, Conf *c);
  /* An entry of a target was read. Returns false if nothing in it was new. */
  bool (*target_read)(void *ctx, const TargetInfo *t);
  /* A target's entry was removed. `after_outage`: the store was unavailable
     just before. */
  void (*target_removed)(void *ctx, const char *id, bool after_outage);
  /* The whole list of targets was read; `ids` is the set of their ids. */
  void (*targets_listed)(void *ctx, GHashTable *ids, bool after_outage);
  /* An evacuation began (`on`): the targets of a data centre must get no
     requests; or it ended. */
  void (*evacuation_changed)(void *ctx, const char *dc, bool on,
                             uint64_t revision);
  /* All evacuations were read; `dcs` is the set of their data centres. */
  void (*evacuations_listed)(void *ctx, GHashTable *dcs);
  /* The trial of a request (trials.h) was read; `content` NULL: it was
     removed. */
  void (*trial_changed)(void *ctx, const char *name, const json_t *content,
                        uint64_t revision);
  /* All trials were read; `names` is the set of their names. */
  void (*trials_listed)(void *ctx, GHashTable *names);
  /* Returns whether this instance reads the store, and for which instances. */
  ReadersDuty (*reader_duty)(void *ctx);
  /* Sends what this instance read to the other instances. */
  void (*broadcast)(void *ctx, const CodecFeed *m);
  /* Whether the other instances are known, and so `reader_duty` is reliable. */
  bool (*discovery_done)(void *ctx);
  /* Sends a message to one instance, which does not forward it. */
  void (*send_to)(void *ctx, const char *id, const CodecFeed *m);
  /* Returns the next part of the list of targets, to be freed with free, and
     sets `more` if another part follows. */
  char *(*next_part)(void *ctx, RosterCursor *at, bool *more);
  /* Reports the outcome of a call to the store. */
  void (*store_outcome)(void *ctx, ReadersStoreResult outcome);
  /* Whether to check now if the store accepts a connection, and, once it does,
     whether to send a request on it (readers_knocks, readers_asks). */
  bool (*may_probe_store)(void *ctx);
  bool (*may_query_store)(void *ctx);
} FeedEvents;

Feed *feed_open(struct ev_loop *loop, Store *store, const FeedEvents *ev,
                void *ctx);
void feed_close(Feed *f);
/* Handles an update that another instance read and `from` sent or forwarded, or
   a request of `from` for the list of targets, or its answer to one. */
void feed_receive(Feed *f, const char *from, const CodecFeed *m);
/* This process was paused: queries the store for all that it missed. */
void feed_note_pause(Feed *f);
/* Whether the store has answered for all kinds since then. */
bool feed_is_current_since(const Feed *f, double since);
/* Parses a configuration from its text, the form that Conf.text has. */
Conf *feed_parse_conf(const char *text, Err *e);
/* Whether, in a large fleet, the store does not answer the instances that read
   for all, as they report, or this instance if it is one of them. */
bool feed_store_is_unavailable(const Feed *f);
/* Whether all kinds were read, and the age of the latest information from the
   store, in seconds. */
bool feed_is_complete(const Feed *f);
double feed_age_s(const Feed *f);

#endif
